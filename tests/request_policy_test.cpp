/** @file request_policy_test.cpp Tests of admission and request rules. */
#include "coordination/coordination.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <chrono>
#include <string>

namespace coordination = godwitcleat::coordination;
namespace core = godwitcleat::core;
namespace transport = godwitcleat::transport;
using namespace std::chrono_literals;

// Guards against admission that refuses without a queue, or that lets a queue
// grow that no request can wait for.
TEST(admission, refuses_only_behind_a_queue)
{
    auto queue = coordination::admission{};
    queue.note_answer(20ms, {1.0, 8});
    EXPECT_TRUE(queue.admits(1ms, {7.0, 8}));
    EXPECT_FALSE(queue.admits(0ms, {0.0, 8}));
    EXPECT_FALSE(queue.admits(30ms, {15.0, 8}));
    EXPECT_TRUE(queue.admits(50ms, {15.0, 8}));
}

// Guards against connection lists in several fields, any case and blanks.
TEST(request_policy, removes_all_named_fields)
{
    auto headers = transport::http_headers{};
    headers.values = {
        {"Connection", ""}, {"CONNECTION", " a ,, B"},        {"A", "1"},
        {"b", "2"},         {"Transfer-Encoding", "chunked"}, {"c", "3"}};
    coordination::remove_hop_by_hop(headers);
    ASSERT_EQ(headers.values.size(), 1U);
    EXPECT_EQ(headers.values.front().first, "c");
}

// Guards against parsers that fail on unusual input.
RC_GTEST_PROP(request_policy, survives_any_text, (std::string const& text))
{
    auto const target = coordination::parse_service_target(text);
    // RC_ASSERT overloads `||`, which then evaluates both sides.
    RC_ASSERT((!target || target->rest.front() == '/'));
    auto request = transport::http_request{};
    request.headers.values = {{"Connection", text}, {"X-Deadline-Ms", text}};
    auto const deadline = coordination::parse_deadline(request, 1s);
    RC_ASSERT((!deadline || *deadline > 0s));
    coordination::remove_hop_by_hop(request.headers);
}
