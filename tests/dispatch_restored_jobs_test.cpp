/** @file dispatch_restored_jobs_test.cpp Which jobs a new owner shows as
 *  started.
 */
#include "protocol/protocol.hpp"
#include "tests/support/dispatch_world_base.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>

namespace core = godwitcleat::core;
namespace protocol = godwitcleat::protocol;
namespace state = godwitcleat::state;
namespace tests = godwitcleat::tests;

using state::plan_phase;

namespace
{

auto const queue = state::queue_id{"q"};

auto make_long_running(std::string id, std::uint32_t tasks) -> state::job_plan
{
    auto plan = tests::make_plan(std::move(id), tasks, 1000);
    plan.steps.front().long_running = true;
    return plan;
}

// One worker, which is heard; its tasks do not end.
auto one_worker() -> std::unique_ptr<tests::dispatch_world>
{
    auto world = std::make_unique<tests::dispatch_world>();
    world->add_worker("w1", {4000, 8000, 0});
    world->behaviour_of = [](auto const&, auto)
    {
        return tests::task_behaviour{-1, false};
    };
    world->begin_term();
    world->run_for(200);
    return world;
}

auto progress_of(tests::dispatch_world const& world, std::string const& id)
    -> state::plan_progress
{
    auto const& stored = world.stored.progress;
    auto const it = std::find_if(
        stored.begin(), stored.end(),
        [&](auto const& row) { return row.first.value == id; });
    return it == stored.end() ? state::plan_progress{} : it->second;
}

} // namespace

// Guards against a count that leaves out jobs of long-running tasks that were
// placed on a lost worker and have not begun.
TEST(restored_jobs, a_job_whose_starts_were_lost_is_pending)
{
    auto const world = one_worker();
    world->worker("w1").delays_starts = true;
    ASSERT_TRUE(world->submit(make_long_running("j1", 2)));
    world->run_for(200);
    ASSERT_FALSE(progress_of(*world, "j1").tasks.empty());
    ASSERT_TRUE(world->starts.empty());
    world->worker("w1").reachable = false;
    world->begin_term();
    world->run_for(1000);
    EXPECT_EQ(world->owner->pending(queue), 1U);
    EXPECT_EQ(world->phase("j1"), plan_phase::queued);
    world->worker("w1").reachable = true;
    world->worker("w1").delays_starts = false;
    world->run_for(15'000);
    ASSERT_EQ(world->running(), 2U);
    EXPECT_EQ(world->owner->pending(queue), 0U);
    EXPECT_EQ(world->phase("j1"), plan_phase::active);
    EXPECT_TRUE(world->violations.empty());
}

// Guards against the same after a crash was counted for a start that never
// reached its worker.
TEST(restored_jobs, a_crash_before_any_start_leaves_a_job_pending)
{
    auto const world = one_worker();
    world->worker("w1").delays_starts = true;
    ASSERT_TRUE(world->submit(tests::make_plan("j1", 1, 1000)));
    world->run_for(200);
    world->restart_worker("w1");
    world->run_for(4000);
    ASSERT_EQ(progress_of(*world, "j1").tasks.size(), 1U);
    ASSERT_EQ(progress_of(*world, "j1").tasks.front().crashed_runs.size(), 1U);
    world->worker("w1").reachable = false;
    world->begin_term();
    world->run_for(1000);
    EXPECT_EQ(world->owner->pending(queue), 1U);
    EXPECT_EQ(world->phase("j1"), plan_phase::queued);
    EXPECT_TRUE(world->violations.empty());
}

// Guards against a long-running job that falls back to queued as its owner
// changes while its worker is silent.
TEST(restored_jobs, a_long_running_job_that_has_begun_stays_active)
{
    auto const world = one_worker();
    ASSERT_TRUE(world->submit(make_long_running("j1", 2)));
    world->run_for(1000);
    ASSERT_EQ(world->running(), 2U);
    world->worker("w1").reachable = false;
    for (auto i = 0; i < 2; ++i)
    {
        world->begin_term();
        EXPECT_EQ(world->owner->pending(queue), 0U);
        EXPECT_EQ(world->phase("j1"), plan_phase::active);
        world->run_for(1000);
    }
    EXPECT_TRUE(world->violations.empty());
}

// Guards against the same fall of a gang, whose workers are not stored.
TEST(restored_jobs, a_long_running_gang_that_has_begun_stays_active)
{
    auto const world = one_worker();
    auto plan = make_long_running("j1", 2);
    plan.steps.front().gang = true;
    ASSERT_TRUE(world->submit(plan));
    world->run_for(1000);
    ASSERT_EQ(world->running(), 2U);
    world->worker("w1").reachable = false;
    world->begin_term();
    EXPECT_EQ(world->owner->pending(queue), 0U);
    EXPECT_EQ(world->phase("j1"), plan_phase::active);
}

// Guards against jobs with ends or checkpoints in the progress of an earlier
// release, which does not tell what has begun, that are shown as queued.
TEST(restored_jobs, ends_and_checkpoints_show_that_a_job_has_begun)
{
    auto const world = one_worker();
    world->worker("w1").reachable = false;
    ASSERT_TRUE(world->submit(tests::make_plan("done", 2, 1000)));
    ASSERT_TRUE(world->submit(tests::make_plan("failed", 2, 1000)));
    ASSERT_TRUE(world->submit(tests::make_plan("saved", 2, 1000)));
    ASSERT_TRUE(world->submit(make_long_running("placed", 2)));
    auto const store = [&](std::string const& id, state::task_progress task)
    {
        auto progress = state::plan_progress{};
        progress.tasks.push_back(std::move(task));
        std::erase_if(
            world->stored.progress,
            [&](auto const& it) { return it.first.value == id; });
        world->stored.progress.emplace_back(core::job_id{id}, progress);
    };
    store("failed", {0, {1}, {}, {}, {}});
    store("saved", {0, {}, "c", {}, {}});
    store("placed", {0, {}, {}, {}, core::worker_id{"w1"}});
    auto done = state::plan_progress{};
    state::mark_done(done, 0);
    world->stored.progress.emplace_back(core::job_id{"done"}, done);
    world->begin_term();
    EXPECT_EQ(world->phase("done"), plan_phase::active);
    EXPECT_EQ(world->phase("failed"), plan_phase::active);
    EXPECT_EQ(world->phase("saved"), plan_phase::active);
    EXPECT_EQ(world->phase("placed"), plan_phase::queued);
    EXPECT_EQ(world->owner->pending(queue), 1U);
}

// Guards against progress of an earlier release that an update makes
// unreadable.
TEST(restored_jobs, progress_that_ends_before_the_start_is_readable)
{
    auto const bytes = std::string{"\x94\x00\xa0\x90\xc3", 5};
    auto const progress = protocol::decode<state::plan_progress>(bytes);
    ASSERT_TRUE(progress);
    EXPECT_TRUE(progress->any_service);
    EXPECT_EQ(
        protocol::decode<state::plan_progress>(protocol::encode(*progress)),
        progress);
}
