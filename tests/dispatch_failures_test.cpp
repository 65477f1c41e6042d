/** @file dispatch_failures_test.cpp The limit of failures of a task while its
 *  queue is not configured.
 */
#include "tests/support/dispatch_world_base.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <string>

namespace core = godwitcleat::core;
namespace state = godwitcleat::state;
namespace tests = godwitcleat::tests;

using state::plan_phase;

namespace
{

auto queue_with_failures(std::uint32_t max_failures) -> state::queue_config
{
    auto queue = tests::make_queue();
    queue.max_failures = max_failures;
    return queue;
}

// Two workers; tasks fail after 200 ms, and two failures end their job.
auto failing_world() -> std::unique_ptr<tests::dispatch_world>
{
    auto world = std::make_unique<tests::dispatch_world>();
    world->add_worker("w1", {4000, 8000, 0});
    world->add_worker("w2", {4000, 8000, 0});
    world->behaviour_of = [](auto const&, auto)
    {
        return tests::task_behaviour{200, true};
    };
    world->add_queue(queue_with_failures(2));
    world->begin_term();
    world->run_for(200);
    return world;
}

// Removes the queue while the second run of job "j1" is at work.
auto remove_queue_during_last_run(tests::dispatch_world& world) -> void
{
    ASSERT_TRUE(world.submit(tests::make_plan("j1", 1, 1000)));
    world.run_for(300);
    ASSERT_EQ(world.starts.size(), 2U);
    world.remove_queue("q");
}

// Puts the queue back, and checks that the job ends without another run.
auto check_end_with_queue(tests::dispatch_world& world) -> void
{
    ASSERT_EQ(world.running(), 0U);
    world.add_queue(queue_with_failures(2));
    world.run_for(1000);
    EXPECT_EQ(world.starts.size(), 2U);
    EXPECT_EQ(world.phase("j1"), plan_phase::failed);
    EXPECT_TRUE(world.violations.empty());
}

} // namespace

// Guards against a start after the last failure that the queue allows, which
// came while the queue was not configured.
TEST(dispatch_failures, a_last_failure_counts_when_the_queue_is_back)
{
    auto const world = failing_world();
    remove_queue_during_last_run(*world);
    world->run_for(1000);
    check_end_with_queue(*world);
}

// Guards against the same by an owner that hears of the failure before it has
// read the configuration, or finds it in the store.
TEST(dispatch_failures, a_last_failure_counts_when_a_new_owner_gets_the_queue)
{
    for (auto const heard_before : {true, false})
    {
        auto const world = failing_world();
        remove_queue_during_last_run(*world);
        if (heard_before)
        {
            world->run_for(1000);
        }
        world->begin_term();
        world->run_for(1000);
        check_end_with_queue(*world);
    }
}

// Guards against a start beyond a limit that was lowered.
TEST(dispatch_failures, a_lowered_limit_holds_for_earlier_failures)
{
    auto const world = failing_world();
    world->add_queue(queue_with_failures(5));
    ASSERT_TRUE(world->submit(tests::make_plan("j1", 1, 1000)));
    world->run_for(300);
    ASSERT_EQ(world->starts.size(), 2U);
    world->worker("w1").info.draining = true;
    world->worker("w2").info.draining = true;
    world->run_for(1000);
    world->add_queue(queue_with_failures(2));
    world->worker("w1").info.draining = false;
    world->worker("w2").info.draining = false;
    world->run_for(1000);
    EXPECT_EQ(world->starts.size(), 2U);
    EXPECT_EQ(world->phase("j1"), plan_phase::failed);
    EXPECT_TRUE(world->violations.empty());
}

// Guards against a job that is given up although its queue allows a retry.
TEST(dispatch_failures, a_failure_without_the_queue_leaves_the_other_retries)
{
    auto const world = failing_world();
    world->behaviour_of = [](auto const&, state::run_number run)
    {
        return tests::task_behaviour{200, run.value == 1};
    };
    ASSERT_TRUE(world->submit(tests::make_plan("j1", 1, 1000)));
    world->run_for(100);
    world->remove_queue("q");
    world->run_for(1000);
    ASSERT_EQ(world->starts.size(), 1U);
    EXPECT_EQ(world->phase("j1"), plan_phase::active);
    world->add_queue(queue_with_failures(2));
    world->run_for(1000);
    EXPECT_EQ(world->starts.size(), 2U);
    EXPECT_EQ(world->phase("j1"), plan_phase::completed);
    EXPECT_TRUE(world->violations.empty());
}
