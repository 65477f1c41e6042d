/** @file admission_test.cpp Rules of admission. */
#include "coordination/coordination.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace
{

using namespace godwitcleat;
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

// Guards against a queue without a bound, in which requests that time out hide
// the work that they leave behind.
TEST(admission, bounds_the_queue_for_any_deadline)
{
    auto const queue = coordination::admission{};
    EXPECT_TRUE(queue.admits(1h, {599.0, 400, 100.0, 6}));
    EXPECT_FALSE(queue.admits(1h, {600.0, 400, 100.0, 6}));
}

// Guards against an instance that gets nothing because the counts that its
// peers sent are old.
TEST(admission, leaves_each_instance_its_share)
{
    auto const queue = coordination::admission{};
    EXPECT_TRUE(queue.admits(1h, {900.0, 400, 99.0, 6}));
    EXPECT_FALSE(queue.admits(1h, {900.0, 400, 100.0, 6}));
}

// Guards against refusals of a service with few slots at usual load.
TEST(admission, lets_few_slots_have_a_longer_queue)
{
    auto const queue = coordination::admission{};
    EXPECT_TRUE(queue.admits(1h, {23.0, 8, 23.0, 1}));
    EXPECT_FALSE(queue.admits(1h, {24.0, 8, 24.0, 1}));
    EXPECT_FALSE(queue.is_full({24.0, 0, 24.0, 1}));
}

// Guards against refusing most requests behind a queue as late as they are.
TEST(admission, keeps_a_margin_for_the_service_time)
{
    auto queue = coordination::admission{};
    queue.note_answer(20ms, {1.0, 400});
    EXPECT_EQ(queue.expected_wait({599.0, 400}), 10ms);
    EXPECT_FALSE(queue.admits(39ms, {599.0, 400}));
    EXPECT_TRUE(queue.admits(40ms, {599.0, 400}));
}

// Guards against a longer queue or a shorter deadline that gets more admitted.
RC_GTEST_PROP(admission, is_monotonic, ())
{
    auto queue = coordination::admission{};
    auto const slots = *rc::gen::inRange<std::size_t>(1, 600);
    auto const n = static_cast<double>(*rc::gen::inRange(0, 1200));
    auto const left = core::duration{*rc::gen::inRange(1, 200) * 1ms};
    queue.note_answer(20ms, {1.0, slots});
    auto const shorter = coordination::queue_state{n, slots, n};
    auto const longer = coordination::queue_state{n + 1, slots, n + 1};
    RC_ASSERT(queue.admits(left, shorter) || !queue.admits(left, longer));
    RC_ASSERT(queue.admits(left, longer) || !queue.admits(left - 1ms, longer));
}

} // namespace
