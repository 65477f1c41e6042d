/** @file dispatch_admission_test.cpp Days on which jobs are refused or not. */
#include "tests/support/played_load_base.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <cstdint>

namespace state = godwitcleat::state;
namespace tests = godwitcleat::tests;

using tests::finish_ms;
using tests::play_ms;
using tests::warm_up_ms;

namespace
{

// Jobs that run for longer than others of their queue, on a part of a worker.
auto long_reports() -> tests::load_class
{
    auto load = tests::large_reservations();
    load.need = {500, 100, 0};
    load.steps = 1;
    load.tasks = 3;
    load.run_ms = 13'500;
    load.declared_run_ms = 13'500;
    load.jobs_per_s = 10;
    return load;
}

auto short_reports() -> tests::load_class
{
    auto load = long_reports();
    load.run_ms = 1300;
    load.declared_run_ms = 1300;
    load.jobs_per_s = 24;
    return load;
}

} // namespace

// Guards against refusals by the rate of starts of an earlier overload.
TEST(dispatch_admission, an_earlier_overload_refuses_nothing_later)
{
    auto const world = tests::make_world(40, 200'000, 180);
    auto load = tests::played_load{
        *world, {tests::quick_checks(), tests::large_reservations()}};
    load.run_for(warm_up_ms + play_ms);
    load.finish(finish_ms);
    world->answer_delay_ms = 30;
    load.run_for(10'000, 0.2);
    auto const refused = [&load]
    {
        return load.result_of("check").refused +
               load.result_of("reserve").refused;
    };
    auto const before = refused();
    load.run_for(2000, 2.0);
    load.run_for(play_ms);
    EXPECT_EQ(refused(), before);
}

// Guards against jobs that fit on no worker and have others refused.
TEST(dispatch_admission, jobs_that_fit_nowhere_refuse_no_others)
{
    auto const world = tests::make_world(40, 200'000, 30);
    auto hopeless = tests::large_reservations();
    hopeless.queue.queue = state::queue_id{"hopeless"};
    hopeless.need = {1'000'000, 100, 0};
    auto checks = tests::quick_checks();
    auto mixed = hopeless;
    mixed.queue = checks.queue;
    mixed.jobs_per_s = 12;
    auto load = tests::played_load{*world, {checks, hopeless, mixed}};
    load.run_for(warm_up_ms + play_ms);
    EXPECT_EQ(load.result_of("check").refused, 0);
    EXPECT_EQ(load.result_of("hopeless").refused, 0);
}

// Guards against jobs that are accepted although all workers are busy for
// longer than the jobs may wait, and that then end late or lose their value.
TEST(dispatch_admission, a_job_that_finds_no_room_in_time_is_refused)
{
    constexpr auto overload_ms = 90'000;
    auto const world = tests::make_world(40, 4000, 10);
    auto load = tests::played_load{*world, {long_reports(), short_reports()}};
    load.run_for(overload_ms);
    load.finish(std::int64_t{2} * finish_ms);
    auto const& result = load.result_of("reserve");
    EXPECT_GT(result.refused, result.jobs / 4);
    EXPECT_GE(result.in_time * 10, result.accepted * 9);
    EXPECT_TRUE(world->violations.empty());
}

// Guards against a job that was refused and is then refused again as long as
// anything waits, although it can still end with partial value.
TEST(dispatch_admission, a_refused_job_that_is_late_is_accepted)
{
    constexpr auto most_tries = 50;
    auto const world = tests::make_world(40, 4000, 10);
    auto load = tests::played_load{*world, {long_reports(), short_reports()}};
    load.run_for(std::int64_t{2} * play_ms);
    auto const submit = [&world](std::string const& id)
    {
        auto plan = tests::make_plan(id, 1, 500);
        plan.queue = state::queue_id{"reserve"};
        plan.steps.front().expected_run_ms = 13'500;
        return world->submit(plan);
    };
    auto refused = std::string{};
    for (auto i = 0; i < most_tries && refused.empty(); ++i)
    {
        auto const id = fmt::format("0-back{}", i);
        refused = submit(id) ? "" : id;
        load.run_for(100);
    }
    ASSERT_NE(refused, "");
    load.run_for(play_ms);
    EXPECT_TRUE(submit(refused));
    world->run_for(finish_ms);
    EXPECT_EQ(world->phase(refused), state::plan_phase::completed);
}
