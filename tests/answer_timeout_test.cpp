/** @file answer_timeout_test.cpp Tests of time-outs of calls to the store. */
#include "platform/platform.hpp"
#include "tests/support/transport_fixture_base.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <future>
#include <map>

namespace coordination = godwitcleat::coordination;
namespace core = godwitcleat::core;
namespace platform = godwitcleat::platform;
namespace transport = godwitcleat::transport;
using namespace godwitcleat::tests;
using namespace std::chrono_literals;

// Guards against a time-out that does not come down with the answer times.
TEST(answer_timeout, follows_the_answer_times)
{
    auto it = transport::answer_timeout{200ms, 1s};
    EXPECT_EQ(it.value(), 1s);
    for (auto i = 0; i < 50; ++i)
    {
        it.answered(5ms);
    }
    EXPECT_EQ(it.value(), 200ms);
    for (auto i = 0; i < 50; ++i)
    {
        it.answered(400ms);
    }
    EXPECT_GE(it.value(), 400ms);
    EXPECT_LE(it.value(), 600ms);
}

// Guards against calls to a server that has become slow and that are all given
// up before their answers.
TEST(answer_timeout, doubles_until_an_answer_comes)
{
    auto it = transport::answer_timeout{200ms, 1s};
    it.answered(5ms);
    it.expired();
    EXPECT_EQ(it.value(), 400ms);
    it.expired();
    it.expired();
    it.expired();
    EXPECT_EQ(it.value(), 1s);
    it.answered(5ms);
    EXPECT_EQ(it.value(), 200ms);
}

// Guards against times far out of the bounds.
TEST(answer_timeout, stays_between_its_bounds)
{
    auto it = transport::answer_timeout{200ms, 1s};
    it.answered(1h);
    EXPECT_EQ(it.value(), 1s);
    auto small = transport::answer_timeout{200ms, 50ms};
    small.answered(0ms);
    EXPECT_EQ(small.value(), 50ms);
}

namespace
{

// Answers writes; the reply of each second one is never sent.
class losing_store
{
public:
    auto handler() -> transport::http_handler
    {
        return [this](auto const& /*request*/, auto reply)
        {
            if (++calls_ % 2 == 0)
            {
                auto const lock = std::scoped_lock{mutex_};
                kept_.push_back(std::move(reply));
                return;
            }
            auto response = transport::http_response{};
            response.body = R"({"revision":7})";
            reply(std::move(response));
        };
    }

private:
    std::atomic<int> calls_ = 0;
    std::mutex mutex_;
    std::vector<transport::http_reply> kept_;
};

} // namespace

// Guards against a write that waits for the whole time-out of the store each
// time an answer is lost, while the others come within milliseconds.
TEST_F(http, a_lost_answer_of_the_store_is_noticed_early)
{
    auto lost = losing_store{};
    auto const server = serve(lost.handler());
    auto settings = platform::hosted_store_settings{};
    settings.address = server.local();
    settings.timeout = 20s;
    auto store = platform::hosted_store{client, settings, core::system_clock()};
    auto const begun = std::chrono::steady_clock::now();
    for (auto i = 0; i < 6; ++i)
    {
        auto done = std::promise<bool>{};
        auto answered = done.get_future();
        store.commit(
            {{}, {{"key", "value", "", {}}}},
            [&](std::optional<coordination::store_commit> const& answer)
            {
                EXPECT_TRUE(
                    answer || core::last_reason().kind ==
                                  core::error_kind::unknown_outcome);
                done.set_value(answer.has_value());
            });
        ASSERT_EQ(answered.wait_for(patience), std::future_status::ready);
        EXPECT_EQ(answered.get(), i % 2 == 0);
    }
    // Three lost answers, each noticed within a tenth of the time-out.
    EXPECT_LT(std::chrono::steady_clock::now() - begun, 6s);
}

// Guards against a write that counts as not done, and is followed by others,
// although the store may have carried it out and may do so late.
TEST_F(http, only_429_and_503_of_the_store_show_that_a_write_was_not_done)
{
    using core::error_kind;
    auto status = std::atomic<int>{0};
    auto const server = serve(
        [&status](auto const& /*request*/, auto reply)
        {
            auto response = transport::http_response{};
            response.status = status;
            reply(std::move(response));
        });
    auto settings = platform::hosted_store_settings{};
    settings.address = server.local();
    auto store = platform::hosted_store{client, settings, core::system_clock()};
    auto const write = [&]
    {
        auto done = std::promise<error_kind>{};
        store.commit(
            {{}, {{"key", "value", "", {}}}},
            [&](std::optional<coordination::store_commit> const& answer) {
                done.set_value(
                    answer ? error_kind::none : core::last_reason().kind);
            });
        return done.get_future().get();
    };
    auto const expected = std::map<int, error_kind>{
        {400, error_kind::invalid_input},   {403, error_kind::invalid_input},
        {404, error_kind::not_found},       {429, error_kind::unavailable},
        {500, error_kind::unknown_outcome}, {502, error_kind::unknown_outcome},
        {503, error_kind::unavailable},     {504, error_kind::unknown_outcome}};
    for (auto const& [given, kind] : expected)
    {
        status = given;
        EXPECT_EQ(write(), kind) << given;
    }
}
