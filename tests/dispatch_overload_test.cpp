/** @file dispatch_overload_test.cpp More work than can be started or run. */
#include "tests/support/played_load_base.hpp"

#include <gtest/gtest.h>

namespace core = godwitcleat::core;
namespace state = godwitcleat::state;
namespace tests = godwitcleat::tests;

using tests::finish_ms;
using tests::play_ms;
using tests::warm_up_ms;

// Guards against a class that gets next to nothing because its steps are late
// and wait behind those of another class.
TEST(dispatch_overload, no_class_is_starved_while_starts_are_scarce)
{
    for (auto const answer_ms : {70, 120, 180})
    {
        auto const world = tests::make_world(40, 200'000, answer_ms);
        auto load = tests::played_load{
            *world, {tests::quick_checks(), tests::large_reservations()}};
        load.run_for(warm_up_ms + play_ms);
        load.finish(finish_ms);
        for (auto const* const queue : {"check", "reserve"})
        {
            EXPECT_GE(load.result_of(queue).credit(), load.whole() / 3)
                << queue << " at " << answer_ms << " ms of " << load.whole()
                << ", refused " << load.result_of(queue).refused;
        }
        EXPECT_TRUE(world->violations.empty());
    }
}

// The same while the workers have too little room.
TEST(dispatch_overload, no_class_is_starved_while_workers_are_scarce)
{
    // A quarter of both classes needs 470 processors.
    constexpr auto part = 0.25;
    for (auto const cpu_milli : {35'000, 24'000, 12'000})
    {
        auto const world = tests::make_world(10, cpu_milli, 10);
        auto load = tests::played_load{
            *world, {tests::quick_checks(), tests::large_reservations()}};
        load.run_for(warm_up_ms + play_ms, part);
        load.finish(finish_ms);
        for (auto const* const queue : {"check", "reserve"})
        {
            EXPECT_GE(load.result_of(queue).credit(), load.whole() / 3)
                << queue << " with " << cpu_milli << " of " << load.whole();
        }
        EXPECT_TRUE(world->violations.empty());
    }
}

// Guards against a queue of low priority that gets nothing while one of higher
// priority has more tasks than can be started.
TEST(dispatch_overload, a_queue_of_low_priority_keeps_a_part_of_its_share)
{
    auto const world = tests::make_world(40, 200'000, 120);
    auto checks = tests::quick_checks();
    checks.jobs_per_s = 80;
    auto load =
        tests::played_load{*world, {checks, tests::large_reservations()}};
    load.run_for(warm_up_ms + play_ms);
    load.finish(finish_ms);
    EXPECT_GE(load.result_of("reserve").credit(), load.whole() / 3)
        << load.whole();
    EXPECT_GE(load.result_of("check").credit(), load.whole() / 3)
        << load.whole();
}

// Guards against jobs that are accepted although they cannot end in time: they
// use starts that others need, and their callers wait for nothing.
TEST(dispatch_overload, a_job_that_cannot_end_in_time_is_refused)
{
    auto const world = tests::make_world(40, 200'000, 120);
    auto load = tests::played_load{
        *world, {tests::quick_checks(), tests::large_reservations()}};
    load.run_for(warm_up_ms);
    auto const before = world->owner->counts(world->now()).starts;
    load.run_for(play_ms);
    auto const started = world->owner->counts(world->now()).starts - before;
    load.finish(finish_ms);
    constexpr auto offered_per_s = 1225.0;
    constexpr auto ms_per_s = 1000;
    auto const bound =
        static_cast<double>(started) / (offered_per_s * play_ms / ms_per_s);
    EXPECT_GE(load.whole(), bound * 3 / 4) << bound;
    auto const& result = load.result_of("reserve");
    EXPECT_GT(result.refused, result.jobs / 3);
    EXPECT_GE((result.in_time + result.late) * 10, result.accepted * 7);
    EXPECT_EQ(result.refused + result.accepted, result.jobs);
    EXPECT_TRUE(world->violations.empty());
}

// Guards against a refused job that runs, and against one that is still refused
// once there is room.
TEST(dispatch_overload, a_refused_job_runs_only_if_it_is_submitted_again)
{
    auto const world = tests::make_world(40, 200'000, 120);
    auto load = tests::played_load{
        *world, {tests::quick_checks(), tests::large_reservations()}};
    load.run_for(warm_up_ms + play_ms, 2.0);
    auto plan = tests::make_plan("1-refused", 20, 1000);
    plan.queue = state::queue_id{"reserve"};
    plan.steps.front().expected_run_ms = 1700;
    ASSERT_FALSE(world->submit(plan));
    EXPECT_EQ(core::last_reason().kind, core::error_kind::no_capacity);
    EXPECT_GE(core::last_reason().retry_after_s, 1);
    EXPECT_EQ(world->phase("1-refused"), std::nullopt);
    load.finish(finish_ms);
    for (auto const& it : world->starts)
    {
        EXPECT_FALSE(it.starts_with("1-refused.")) << it;
    }
    EXPECT_TRUE(world->submit(plan));
    world->run_for(5000);
    EXPECT_EQ(world->phase("1-refused"), state::plan_phase::completed);
}

// Guards against an owner that fills its own link with starts: its calls time
// out, leases lapse, and tasks that have ended run again.
TEST(dispatch_overload, a_full_link_loses_no_calls)
{
    constexpr auto starts_per_s = 100;
    constexpr auto ms_per_s = 1000;
    auto const world = tests::make_world(160, 20'000, 5);
    world->holds_wait = true;
    auto load = tests::played_load{
        *world, {tests::quick_checks(), tests::large_reservations()}};
    load.run_for(warm_up_ms, 0.05);
    world->link_ms_per_start = ms_per_s / starts_per_s;
    load.run_for(warm_up_ms);
    world->orders_given_up = 0;
    world->holds_given_up = 0;
    auto const before = world->owner->counts(world->now());
    load.run_for(play_ms);
    auto const after = world->owner->counts(world->now());
    EXPECT_EQ(world->orders_given_up, 0U);
    EXPECT_EQ(world->holds_given_up, 0U);
    EXPECT_EQ(after.runs_lost, 0U);
    EXPECT_GE(
        after.ends_done - before.ends_done,
        starts_per_s * play_ms / ms_per_s * 7 / 10);
    EXPECT_GE(
        load.result_of("reserve").refused, load.result_of("reserve").jobs / 2);
    EXPECT_TRUE(world->violations.empty());
}
