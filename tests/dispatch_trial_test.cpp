/** @file dispatch_trial_test.cpp How workers that have failed runs get further
 *  ones.
 */
#include "tests/support/dispatch_world_base.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>

namespace core = godwitcleat::core;
namespace state = godwitcleat::state;
namespace tests = godwitcleat::tests;

using state::plan_phase;

namespace
{

constexpr auto long_run_ms = std::int64_t{60'000};

auto make_long(std::string id) -> state::job_plan
{
    auto plan = tests::make_plan(std::move(id), 1, 1000);
    plan.steps.front().expected_run_ms = long_run_ms;
    return plan;
}

// One worker. Tasks of jobs whose ids begin with "hopeless" fail, those of jobs
// "long" take a minute.
auto one_worker() -> std::unique_ptr<tests::dispatch_world>
{
    auto world = std::make_unique<tests::dispatch_world>();
    world->add_worker("w1", {8000, 8000, 0});
    world->behaviour_of = [](state::task_name const& task, auto)
    {
        auto const& id = task.job.value;
        return tests::task_behaviour{
            id.starts_with("long") ? long_run_ms : 200,
            id.starts_with("hopeless")};
    };
    auto queue = tests::make_queue();
    queue.max_failures = 2;
    world->add_queue(queue);
    world->begin_term();
    world->run_for(200);
    return world;
}

auto fail_job(tests::dispatch_world& world, std::string const& id) -> void
{
    ASSERT_TRUE(world.submit(tests::make_plan(id, 4, 1000)));
    world.run_for(7000);
    ASSERT_EQ(world.phase(id), plan_phase::failed);
}

} // namespace

// Guards against jobs that wait beside free processors for the end of the one
// run that a worker has got after a hopeless job.
TEST(trial, ends_when_a_long_run_makes_progress)
{
    auto const world = one_worker();
    fail_job(*world, "hopeless");
    for (auto const* const id : {"long1", "long2", "long3"})
    {
        ASSERT_TRUE(world->submit(make_long(id)));
    }
    world->run_for(7000);
    EXPECT_EQ(world->running(), 1U);
    world->run_for(6000);
    EXPECT_EQ(world->running(), 3U);
    EXPECT_TRUE(world->violations.empty());
}

// Guards against the same wait for a run that began before the failures.
TEST(trial, does_not_wait_for_an_earlier_run)
{
    auto const world = one_worker();
    ASSERT_TRUE(world->submit(make_long("long")));
    world->run_for(200);
    fail_job(*world, "hopeless");
    ASSERT_TRUE(world->submit(tests::make_plan("short", 3, 1000)));
    world->run_for(9000);
    EXPECT_EQ(world->running(), 1U);
    EXPECT_EQ(world->phase("short"), plan_phase::completed);
    EXPECT_TRUE(world->violations.empty());
}

// Guards against a worker that fails what it starts and gets more than one run
// at a time again because an earlier run goes on there.
TEST(trial, an_earlier_run_does_not_prove_a_failing_worker)
{
    auto const world = one_worker();
    ASSERT_TRUE(world->submit(make_long("long")));
    world->run_for(10'000);
    auto queue = tests::make_queue();
    queue.max_failures = 100;
    world->add_queue(queue);
    ASSERT_TRUE(world->submit(tests::make_plan("hopeless", 4, 1000)));
    world->run_for(1000);
    auto const before = world->starts.size();
    world->run_for(20'000);
    EXPECT_GT(world->starts.size(), before);
    EXPECT_LE(world->starts.size(), before + 7);
}

// Guards against a worker that stops making progress and gets more than one
// run at a time.
TEST(trial, goes_on_while_runs_stand_still)
{
    auto const world = one_worker();
    fail_job(*world, "hopeless");
    world->worker("w1").stalled = true;
    for (auto const* const id : {"long1", "long2", "long3"})
    {
        ASSERT_TRUE(world->submit(make_long(id)));
    }
    for (auto i = 0; i < 300; ++i)
    {
        world->run_for(100);
        ASSERT_LE(world->running(), 1U);
    }
}
