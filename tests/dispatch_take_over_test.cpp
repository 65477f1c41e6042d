/** @file dispatch_take_over_test.cpp Which tasks a new owner holds. */
#include "tests/support/dispatch_world_base.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <string>

namespace core = godwitcleat::core;
namespace state = godwitcleat::state;
namespace tests = godwitcleat::tests;

namespace
{

constexpr auto worker_capacity = core::resources{4000, 8000, 0};

auto count_starts(tests::dispatch_world const& world, std::string const& task)
    -> std::ptrdiff_t
{
    return std::count_if(
        world.starts.begin(), world.starts.end(),
        [&](auto const& it) { return it.starts_with(task + "@"); });
}

auto make_long_running(std::string id, std::uint32_t tasks) -> state::job_plan
{
    auto plan = tests::make_plan(std::move(id), tasks, 1000);
    plan.steps.front().long_running = true;
    return plan;
}

// Three workers; the one that a job runs on has its id as a label.
auto three_workers() -> std::unique_ptr<tests::dispatch_world>
{
    auto world = std::make_unique<tests::dispatch_world>();
    for (auto const* const id : {"w1", "w2", "w3"})
    {
        world->add_worker(id, worker_capacity).info.labels.insert(id);
    }
    // Tasks that are not long-running make progress, else they are moved.
    world->behaviour_of = [](state::task_name const& task, auto)
    {
        auto const ends = task.job.value == "ends";
        return tests::task_behaviour{ends ? 60'000 : -1, false};
    };
    world->begin_term();
    world->run_for(200);
    return world;
}

auto submit_on(
    tests::dispatch_world& world, std::string const& worker,
    state::job_plan plan) -> bool
{
    plan.steps.front().label = worker;
    return world.submit(std::move(plan));
}

// Ends the process of w1, which nothing proves; w2 may run its tasks.
auto end_unseen(tests::dispatch_world& world) -> void
{
    world.worker("w1").info.labels.erase("w1");
    world.worker("w2").info.labels.insert("w1");
    world.exit_worker("w1");
    world.worker("w1").unreachable_result =
        state::order_result::connection_refused;
}

} // namespace

// Guards against a long-running task that stays down because of a silent worker
// where it cannot run.
TEST(take_over, holds_a_long_running_task_only_for_its_own_worker)
{
    auto const world = three_workers();
    ASSERT_TRUE(submit_on(*world, "w1", make_long_running("here", 1)));
    ASSERT_TRUE(submit_on(*world, "w2", make_long_running("lost", 1)));
    world->run_for(300);
    ASSERT_EQ(world->running(), 2U);
    world->restart_worker("w1");
    world->worker("w2").reachable = false;
    world->begin_term();
    world->run_for(1000);
    EXPECT_EQ(count_starts(*world, "here.0.0.0"), 2);
    world->worker("w2").info.labels.erase("w2");
    world->worker("w3").info.labels.insert("w2");
    world->run_for(6000);
    EXPECT_EQ(count_starts(*world, "lost.0.0.0"), 1);
    world->run_for(8000);
    EXPECT_EQ(count_starts(*world, "lost.0.0.0"), 2);
    EXPECT_TRUE(world->violations.empty());
}

// Guards against the same after several changes of owner, the last ones of
// which have heard no worker.
TEST(take_over, waits_of_several_owners_do_not_add_up_for_other_workers)
{
    auto const world = three_workers();
    ASSERT_TRUE(submit_on(*world, "w1", make_long_running("here", 1)));
    world->run_for(300);
    world->worker("w2").reachable = false;
    world->restart_worker("w1");
    world->worker("w1").reachable = false;
    world->begin_term();
    world->run_for(500);
    world->begin_term();
    world->run_for(500);
    EXPECT_EQ(count_starts(*world, "here.0.0.0"), 1);
    world->worker("w1").reachable = true;
    world->begin_term();
    world->run_for(1000);
    EXPECT_EQ(count_starts(*world, "here.0.0.0"), 2);
    EXPECT_TRUE(world->violations.empty());
}

// Guards against a start that a new owner would not know of.
TEST(take_over, a_long_running_task_starts_after_its_worker_is_stored)
{
    auto const world = three_workers();
    ASSERT_TRUE(submit_on(*world, "w1", make_long_running("j1", 2)));
    world->run_for(300);
    ASSERT_EQ(world->starts.size(), 2U);
    world->store_delay_ms = 500;
    world->restart_worker("w1");
    world->run_for(900);
    EXPECT_EQ(world->starts.size(), 2U);
    world->run_for(3000);
    EXPECT_EQ(world->starts.size(), 4U);
    EXPECT_TRUE(world->violations.empty());
}

// Guards against a start on a worker that has begun to drain since the choice.
TEST(take_over, a_stored_start_is_not_sent_to_a_worker_that_drains)
{
    auto const world = three_workers();
    world->store_delay_ms = 200;
    auto plan = make_long_running("j1", 1);
    plan.steps.front().near_rack = "r1";
    world->owner->submit(plan, world->now(), [](bool) {});
    world->run_for(600);
    ASSERT_TRUE(world->starts.empty());
    for (auto const* const id : {"w1", "w2", "w3"})
    {
        world->worker(id).info.draining = true;
        world->worker(id).info.drain_left_ms = 2000;
    }
    world->run_for(3000);
    EXPECT_TRUE(world->starts.empty());
    world->worker("w3").info.draining = false;
    world->run_for(3000);
    EXPECT_EQ(world->starts.size(), 1U);
    EXPECT_EQ(world->worker("w3").runs.size(), 1U);
    EXPECT_TRUE(world->violations.empty());
}

// Guards against a job that never starts because its start waited for the store
// when its worker was lost.
TEST(take_over, a_stored_start_on_a_lost_worker_is_placed_elsewhere)
{
    for (auto const exits : {false, true})
    {
        auto const world = three_workers();
        ASSERT_TRUE(submit_on(*world, "w1", make_long_running("fills", 3)));
        world->run_for(1000);
        ASSERT_EQ(world->running(), 3U);
        world->store_delay_ms = 200;
        // Packed on the worker with the least room.
        world->owner->submit(
            make_long_running("j1", 1), world->now(), [](bool) {});
        world->run_for(600);
        ASSERT_EQ(world->running(), 3U);
        if (exits)
        {
            world->exit_worker("w1");
        }
        else
        {
            world->worker("w1").reachable = false;
        }
        world->run_for(3000);
        EXPECT_EQ(count_starts(*world, "j1.0.0.0"), 1) << exits;
        EXPECT_TRUE(world->violations.empty());
    }
}

// Guards against a start on a worker that has returned with less capacity or
// without the label, or whose queue has moved, since the choice.
TEST(take_over, a_stored_start_is_not_sent_to_a_worker_that_no_longer_fits)
{
    for (auto const change : {0, 1, 2})
    {
        auto const world = three_workers();
        world->store_delay_ms = 200;
        auto plan = make_long_running("j1", 2);
        plan.steps.front().label = "w1";
        world->owner->submit(plan, world->now(), [](bool) {});
        world->run_for(600);
        ASSERT_TRUE(world->starts.empty());
        auto& worker = world->worker("w1");
        if (change == 2)
        {
            auto queue = state::queue_config{};
            queue.queue = state::queue_id{"q"};
            queue.service = core::service_id{"other"};
            world->add_queue(queue);
        }
        else
        {
            world->restart_worker("w1");
            worker.info.capacity.cpu_milli = change == 0 ? 1500 : 4000;
            worker.info.labels.erase(change == 1 ? "w1" : "");
        }
        world->run_for(3000);
        EXPECT_EQ(world->starts.size(), change == 0 ? 1U : 0U) << change;
        EXPECT_TRUE(world->violations.empty());
    }
}

// Guards against a cancelled task that starts when its worker is stored.
TEST(take_over, a_start_that_waits_for_the_store_is_cancelled)
{
    auto const world = three_workers();
    world->store_delay_ms = 200;
    world->owner->submit(make_long_running("j1", 2), world->now(), [](bool) {});
    world->run_for(600);
    ASSERT_TRUE(world->starts.empty());
    world->owner->cancel(core::job_id{"j1"}, world->now(), [](bool) {});
    world->run_for(3000);
    EXPECT_TRUE(world->starts.empty());
    EXPECT_EQ(world->owner->counts(world->now()).tasks_bound, 0U);
}

// Guards against a second run of a task of a job that an earlier release has
// accepted, which stored no workers.
TEST(take_over, a_job_without_stored_workers_waits_for_all_workers)
{
    auto const world = three_workers();
    ASSERT_TRUE(submit_on(*world, "w1", make_long_running("old", 1)));
    world->run_for(300);
    ASSERT_EQ(world->starts.size(), 1U);
    world->stored.jobs.front().stores_workers = false;
    world->stored.progress.clear();
    world->worker("w1").reachable = false;
    world->worker("w1").info.labels.erase("w1");
    world->worker("w2").info.labels.insert("w1");
    world->begin_term();
    world->run_for(4000);
    EXPECT_EQ(world->starts.size(), 1U);
    world->run_for(10'000);
    EXPECT_EQ(world->starts.size(), 2U);
    EXPECT_TRUE(world->violations.empty());
}

// Guards against tasks that wait for a drained worker on which they cannot run:
// it has left when the next owner calls it.
TEST(take_over, holds_only_the_tasks_of_a_drained_worker_that_has_left)
{
    auto const world = three_workers();
    auto drained = tests::make_plan("drained", 1, 1000);
    ASSERT_TRUE(submit_on(*world, "w1", drained));
    world->run_for(100);
    world->drained = {core::data_centre_id{"dc-1"}};
    ASSERT_TRUE(submit_on(*world, "w2", tests::make_plan("waits", 1, 1000)));
    world->worker("w1").info.draining = true;
    world->worker("w1").info.drain_left_ms = 2000;
    world->run_for(500);
    world->worker("w1").listed = false;
    world->worker("w1").reachable = false;
    world->begin_term();
    world->drained.clear();
    world->run_for(1000);
    EXPECT_EQ(count_starts(*world, "waits.0.0.0"), 1);
    EXPECT_EQ(count_starts(*world, "drained.0.0.0"), 1);
    EXPECT_TRUE(world->violations.empty());
}

// Guards against a start on a worker whose new address is not stored, because a
// list with the former one was stored after the change.
TEST(take_over, a_list_with_the_former_address_allows_no_start)
{
    auto const world = three_workers();
    world->drained = {core::data_centre_id{"dc-1"}};
    ASSERT_TRUE(submit_on(*world, "w1", tests::make_plan("j1", 1, 1000)));
    world->store_delay_ms = 200;
    world->add_worker("w4", worker_capacity); // Its list is stored at 400 ms.
    world->run_for(100);
    world->restart_worker("w1");
    world->worker("w1").info.address = "127.0.0.1:2";
    world->run_for(100);
    world->drained.clear();
    world->run_for(3000);
    EXPECT_EQ(world->starts.size(), 1U);
    EXPECT_TRUE(world->violations.empty())
        << (world->violations.empty() ? "" : world->violations.front());
}

// Guards against a second run of tasks whose ends a worker lists only after its
// earlier ends are acknowledged.
TEST(take_over, waits_for_all_ends_of_a_worker)
{
    auto const world = three_workers();
    world->behaviour_of = [](auto const&, auto)
    {
        return tests::task_behaviour{200, false};
    };
    ASSERT_TRUE(world->submit(tests::make_plan("j1", 30, 1000)));
    world->store_down = true;
    world->run_for(3000);
    ASSERT_EQ(world->starts.size(), 30U);
    world->store_down = false;
    world->max_listed_ends = 3;
    world->begin_term();
    world->run_for(5000);
    EXPECT_EQ(world->starts.size(), 30U);
    EXPECT_EQ(world->phase("j1"), state::plan_phase::completed);
    EXPECT_TRUE(world->violations.empty());
}

// The leases have ended when the new owner begins, so that it waits for 1 s
// only.
TEST(take_over, waits_for_all_ends_of_a_worker_after_a_long_outage)
{
    auto const world = three_workers();
    world->behaviour_of = [](auto const&, auto)
    {
        return tests::task_behaviour{200, false};
    };
    ASSERT_TRUE(world->submit(tests::make_plan("j1", 30, 1000)));
    world->store_down = true;
    world->run_for(12'000);
    ASSERT_EQ(world->starts.size(), 30U);
    world->store_down = false;
    world->max_listed_ends = 1;
    world->begin_term();
    world->run_for(15'000);
    EXPECT_EQ(world->starts.size(), 30U);
    EXPECT_EQ(world->phase("j1"), state::plan_phase::completed);
    EXPECT_TRUE(world->violations.empty());
}

// Guards against a long-running task that stays down because its own worker has
// left before the new owner called it. One may be down for 3 s after 4 calm
// ones.
TEST(take_over, a_worker_that_has_left_holds_its_own_task_for_at_most_7_s)
{
    auto const world = three_workers();
    ASSERT_TRUE(submit_on(*world, "w1", make_long_running("j1", 1)));
    world->run_for(300);
    ASSERT_EQ(world->running(), 1U);
    world->worker("w1").info.draining = true;
    world->worker("w1").info.drain_left_ms = 2000;
    world->loses_stop_orders = true;
    world->run_for(300);
    world->worker("w1").info.labels.erase("w1");
    world->worker("w2").info.labels.insert("w1");
    world->exit_worker("w1");
    world->worker("w1").unreachable_result = state::order_result::not_sent;
    world->begin_term();
    world->run_for(7000);
    EXPECT_EQ(count_starts(*world, "j1.0.0.0"), 2);
}

// Guards against a bound that counts from the last write of the former owner,
// which may be seconds later.
TEST(take_over, the_lease_of_a_leaving_worker_counts_from_when_it_was_stored)
{
    auto const world = three_workers();
    world->settings.lease_limit = std::chrono::seconds{10};
    world->begin_term();
    ASSERT_TRUE(submit_on(*world, "w1", make_long_running("j1", 1)));
    world->run_for(3000);
    world->worker("w1").info.draining = true;
    world->worker("w1").info.drain_left_ms = 2000;
    world->loses_stop_orders = true;
    world->run_for(100);
    ASSERT_TRUE(world->stored.workers.front().lease_left_ms);
    end_unseen(*world);
    world->stored.workers_written_by = world->now() - std::chrono::seconds{3};
    world->begin_term();
    world->run_for(6100);
    EXPECT_EQ(count_starts(*world, "j1.0.0.0"), 2);
}

// Guards against runs that lapse on a worker that drains for long.
TEST(take_over, a_draining_worker_keeps_its_lease_for_runs_that_end)
{
    auto const world = three_workers();
    ASSERT_TRUE(submit_on(*world, "w1", make_long_running("j1", 1)));
    ASSERT_TRUE(submit_on(*world, "w1", tests::make_plan("ends", 1, 1000)));
    world->run_for(300);
    world->worker("w1").info.draining = true;
    world->worker("w1").info.drain_left_ms = 60'000;
    world->run_for(20'000);
    EXPECT_EQ(world->worker("w1").runs.size(), 1U);
    EXPECT_EQ(count_starts(*world, "ends.0.0.0"), 1);
    EXPECT_TRUE(world->violations.empty());
}

TEST(take_over, a_withdrawn_drain_renews_the_lease_again)
{
    auto const world = three_workers();
    ASSERT_TRUE(submit_on(*world, "w1", make_long_running("j1", 1)));
    world->run_for(300);
    auto& worker = world->worker("w1");
    worker.info.draining = true;
    worker.info.drain_left_ms = 60'000;
    world->loses_stop_orders = true;
    world->run_for(1000);
    auto const deadline_ms = worker.deadline_ms;
    world->run_for(1000);
    ASSERT_EQ(worker.deadline_ms, deadline_ms);
    worker.info.draining = false;
    world->loses_stop_orders = false;
    world->run_for(1000);
    EXPECT_GT(worker.deadline_ms, deadline_ms);
    world->run_for(10'000);
    EXPECT_EQ(world->running(), 1U);
    EXPECT_TRUE(world->violations.empty());
}

// The same, up to the time after which LOST counts the task: 6 s after its last
// run and 3 s more.
TEST(take_over, a_worker_that_has_left_holds_its_own_task_for_at_most_9_s)
{
    auto const world = three_workers();
    world->settings.lease_limit = std::chrono::seconds{10};
    world->begin_term();
    ASSERT_TRUE(submit_on(*world, "w1", make_long_running("j1", 1)));
    world->run_for(3000);
    ASSERT_EQ(world->running(), 1U);
    end_unseen(*world);
    world->begin_term();
    world->run_for(9000);
    EXPECT_EQ(count_starts(*world, "j1.0.0.0"), 2);
    EXPECT_TRUE(world->violations.empty());
}

// Guards against leases that outlast those which the next owner expects.
TEST(take_over, leases_end_8400_ms_after_the_last_write_that_was_acknowledged)
{
    constexpr auto limit_ms = 8400;
    auto const world = three_workers();
    ASSERT_TRUE(submit_on(*world, "w1", make_long_running("j1", 1)));
    world->run_for(1000);
    auto const& worker = world->worker("w1");
    auto const last_write_at_most = worker.clock_ms;
    world->store_down = true;
    world->run_for(5000);
    EXPECT_LE(worker.deadline_ms, last_write_at_most + limit_ms);
    world->store_down = false;
    world->run_for(100);
    EXPECT_GT(worker.deadline_ms, last_write_at_most + limit_ms);
}

// Guards against a write that is acknowledged late and counts from then.
TEST(take_over, leases_do_not_count_from_the_answer_to_a_write)
{
    constexpr auto limit_ms = 8400;
    constexpr auto step_ms = 10;
    auto const world = three_workers();
    world->run_for(700);
    world->store_delay_ms = 1500;
    auto const& worker = world->worker("w1");
    auto const before = worker.clock_ms;
    world->owner->submit(make_long_running("j1", 1), world->now(), [](bool) {});
    world->run_for(3100);
    EXPECT_EQ(worker.deadline_ms, before + step_ms + limit_ms);
}

// Guards against a wait for leases that have ended with the former owner's last
// write, long before the take-over.
TEST(take_over, an_outage_of_the_store_shortens_the_wait_for_a_worker)
{
    auto const world = three_workers();
    ASSERT_TRUE(submit_on(*world, "w1", make_long_running("j1", 1)));
    ASSERT_TRUE(submit_on(*world, "w1", tests::make_plan("ends", 1, 1000)));
    world->run_for(1000);
    ASSERT_EQ(world->running(), 2U);
    world->store_down = true;
    world->run_for(3000);
    end_unseen(*world);
    world->run_for(1000);
    world->store_down = false;
    world->begin_term();
    world->run_for(3900);
    EXPECT_EQ(world->starts.size(), 2U);
    world->run_for(1100);
    EXPECT_EQ(count_starts(*world, "j1.0.0.0"), 2);
    EXPECT_EQ(count_starts(*world, "ends.0.0.0"), 2);
    EXPECT_TRUE(world->violations.empty());
}

// Guards against second runs on a worker whose lease was renewed while the
// store did not answer, as its owner still counted as valid.
TEST(take_over, a_lease_that_was_renewed_during_an_outage_holds_its_tasks)
{
    for (auto const outage_ms : {1000, 3000, 5000, 8000})
    {
        auto const world = three_workers();
        world->settings.lease_limit = std::chrono::seconds{10};
        world->begin_term();
        ASSERT_TRUE(submit_on(*world, "w1", make_long_running("j1", 1)));
        ASSERT_TRUE(submit_on(*world, "w1", tests::make_plan("ends", 1, 1000)));
        world->run_for(1000);
        ASSERT_EQ(world->running(), 2U);
        world->store_down = true;
        world->run_for(outage_ms);
        world->worker("w1").reachable = false;
        world->worker("w1").listed = false;
        world->worker("w1").info.labels.erase("w1");
        world->worker("w2").info.labels.insert("w1");
        world->store_down = false;
        world->begin_term();
        world->run_for(20'000);
        EXPECT_EQ(world->starts.size(), 4U) << outage_ms;
        EXPECT_TRUE(world->violations.empty()) << outage_ms;
    }
}

// Guards against tasks that are started again because a long outage has ended
// all leases, although their workers report their ends at once.
TEST(take_over, after_a_long_outage_workers_are_heard_first)
{
    auto const world = three_workers();
    world->behaviour_of = [](auto const&, auto)
    {
        return tests::task_behaviour{3000, false};
    };
    ASSERT_TRUE(submit_on(*world, "w1", tests::make_plan("ends", 2, 1000)));
    world->run_for(1000);
    ASSERT_EQ(world->running(), 2U);
    world->worker("w2").info.labels.insert("w1");
    world->store_down = true;
    world->run_for(20'000);
    world->store_down = false;
    world->worker("w1").reachable = false;
    world->begin_term();
    world->run_for(300);
    world->worker("w1").reachable = true;
    world->run_for(8000);
    EXPECT_EQ(world->starts.size(), 2U);
    EXPECT_EQ(
        world->phase("ends"), std::optional{state::plan_phase::completed});
    EXPECT_TRUE(world->violations.empty());
}

// Guards against long-running tasks that stay down because the only worker with
// room for them has failed their starts. One may be down for 9 s after a run.
TEST(take_over, a_worker_that_failed_all_runs_gets_all_long_running_tasks_back)
{
    auto const world = three_workers();
    world->worker("w1").fails_all_runs = true;
    ASSERT_TRUE(submit_on(*world, "w1", make_long_running("j1", 4)));
    world->run_for(6500);
    ASSERT_EQ(world->running(), 0U);
    world->worker("w1").fails_all_runs = false;
    world->run_for(9000);
    EXPECT_EQ(world->running(), 4U);
    EXPECT_TRUE(world->violations.empty());
}

// Guards against short tasks that never run beside long-running ones on a
// worker that has failed runs.
TEST(take_over, a_worker_that_failed_runs_gets_short_tasks_beside_lasting_ones)
{
    auto const world = three_workers();
    world->worker("w1").fails_all_runs = true;
    ASSERT_TRUE(submit_on(*world, "w1", make_long_running("j1", 2)));
    world->run_for(1000);
    world->worker("w1").fails_all_runs = false;
    world->run_for(20'000);
    ASSERT_EQ(world->running(), 2U);
    ASSERT_TRUE(submit_on(*world, "w1", tests::make_plan("ends", 1, 1000)));
    world->run_for(1000);
    EXPECT_EQ(world->running(), 3U);
    EXPECT_TRUE(world->violations.empty());
}

// Guards against starts without limit on a worker that fails all runs while an
// earlier long-running task is at work there.
TEST(take_over, a_worker_that_fails_runs_beside_a_lasting_one_is_avoided)
{
    auto const world = three_workers();
    ASSERT_TRUE(submit_on(*world, "w1", make_long_running("j1", 1)));
    world->run_for(8000);
    world->behaviour_of = [](auto const&, auto)
    {
        return tests::task_behaviour{100, true};
    };
    for (auto i = 0; i < 20; ++i)
    {
        auto const id = fmt::format("bad{}", i);
        ASSERT_TRUE(submit_on(*world, "w1", tests::make_plan(id, 1, 3000)));
    }
    world->run_for(3000);
    EXPECT_LE(world->starts.size(), 4U);
    EXPECT_EQ(world->running(), 1U);
}

// Guards against tasks that wait for a silent worker of a service that does not
// run them.
TEST(take_over, a_silent_worker_of_another_service_holds_no_tasks)
{
    auto const world = three_workers();
    world->worker("w3").info.service = core::service_id{"other"};
    world->run_for(200);
    world->drained = {core::data_centre_id{"dc-1"}};
    ASSERT_TRUE(world->submit(tests::make_plan("ends", 1, 1000)));
    world->worker("w3").reachable = false;
    world->begin_term();
    world->drained.clear();
    world->run_for(3000);
    EXPECT_EQ(count_starts(*world, "ends.0.0.0"), 1);
}

// Guards against a task that runs twice, since a new owner does not expect it
// on a worker of the service that its queue had for a while.
TEST(take_over, a_task_of_a_queue_that_was_moved_waits_for_all_services)
{
    auto const world = three_workers();
    world->worker("w3").info.service = core::service_id{"other"};
    world->drained = {core::data_centre_id{"dc-1"}};
    ASSERT_TRUE(world->submit(tests::make_plan("ends", 1, 1000)));
    world->set_service(core::service_id{"other"});
    world->drained.clear();
    world->run_for(500);
    ASSERT_EQ(world->worker("w3").runs.size(), 1U);
    world->worker("w3").reachable = false;
    world->set_service(core::service_id{"s"});
    world->begin_term();
    world->run_for(3000);
    EXPECT_EQ(count_starts(*world, "ends.0.0.0"), 1);
    world->run_for(7000);
    EXPECT_EQ(count_starts(*world, "ends.0.0.0"), 2);
    EXPECT_TRUE(world->violations.empty());
}

// Guards against the same after a change of the worker's service.
TEST(take_over, a_worker_that_has_changed_its_service_holds_its_tasks)
{
    auto const world = three_workers();
    ASSERT_TRUE(submit_on(*world, "w3", tests::make_plan("ends", 1, 1000)));
    world->run_for(300);
    ASSERT_EQ(world->worker("w3").runs.size(), 1U);
    world->worker("w3").info.service = core::service_id{"other"};
    world->worker("w2").info.labels.insert("w3");
    world->run_for(300);
    world->worker("w3").reachable = false;
    world->begin_term();
    world->run_for(3000);
    EXPECT_EQ(count_starts(*world, "ends.0.0.0"), 1);
    world->run_for(7000);
    EXPECT_EQ(count_starts(*world, "ends.0.0.0"), 2);
    EXPECT_TRUE(world->violations.empty());
}

// Guards against a task that is started again although its run has ended as
// done: the end was heard, not stored, and the worker has changed its service.
TEST(take_over, an_unstored_end_after_a_change_of_service_holds_its_task)
{
    auto const world = three_workers();
    // The list of workers fills a batch; the end is in the next one.
    world->settings.max_batch_writes = 2;
    world->behaviour_of = [](auto const&, auto)
    {
        return tests::task_behaviour{600, false};
    };
    world->begin_term();
    world->run_for(300);
    ASSERT_TRUE(submit_on(*world, "w3", tests::make_plan("j1", 1, 1000)));
    world->run_for(200);
    auto& worker = world->worker("w3");
    ASSERT_EQ(worker.runs.size(), 1U);
    world->store_down = true;
    worker.info.service = core::service_id{"other"};
    world->worker("w2").info.labels.insert("w3");
    world->run_for(1000);
    ASSERT_EQ(worker.ended.size(), 1U);
    world->store_down = false;
    world->run_for(10);
    ASSERT_EQ(worker.ended.size(), 1U);
    worker.reachable = false;
    world->begin_term();
    world->run_for(2000);
    EXPECT_EQ(count_starts(*world, "j1.0.0.0"), 1);
}

// Guards against a lease that a new owner does not renew before it has heard
// which runs a draining worker has.
TEST(take_over, a_draining_worker_keeps_its_lease_after_a_take_over)
{
    auto const world = three_workers();
    ASSERT_TRUE(submit_on(*world, "w1", tests::make_plan("ends", 1, 1000)));
    world->run_for(300);
    auto& worker = world->worker("w1");
    worker.info.draining = true;
    worker.info.drain_left_ms = 60'000;
    world->run_for(1000);
    ASSERT_EQ(worker.runs.size(), 1U);
    worker.reachable = false;
    world->add_worker("w4", worker_capacity);
    world->store_down = true;
    world->begin_term();
    world->run_for(50);
    worker.reachable = true;
    world->run_for(6000);
    EXPECT_EQ(worker.runs.size(), 1U);
}

// Guards against workers that get starts but no lease.
TEST(take_over, workers_whose_drain_is_withdrawn_get_starts_again)
{
    auto world = tests::dispatch_world{};
    for (auto const* const id : {"w0", "w1", "w2", "w3"})
    {
        world.add_worker(id, worker_capacity);
    }
    world.behaviour_of = [](auto const&, auto)
    {
        return tests::task_behaviour{-1, false};
    };
    world.begin_term();
    world.run_for(200);
    for (auto const* const id : {"w0", "w1", "w2"})
    {
        world.worker(id).info.draining = true;
        world.run_for(300);
    }
    ASSERT_TRUE(world.submit(make_long_running("l0", 4)));
    ASSERT_TRUE(world.submit(make_long_running("l1", 4)));
    world.run_for(200);
    ASSERT_EQ(world.running(), 4U);
    world.begin_term();
    world.run_for(100);
    for (auto const* const id : {"w0", "w1", "w2"})
    {
        world.worker(id).info.draining = false;
    }
    world.run_for(3000);
    EXPECT_EQ(world.running(), 8U);
    EXPECT_TRUE(world.violations.empty());
}

// Guards against tasks of a worker that is only silent for a while, which are
// started again elsewhere or given up, with one owner and with several.
TEST(take_over, a_silent_worker_keeps_its_tasks_until_its_lease_has_lapsed)
{
    for (auto const changes : {0, 1, 3})
    {
        auto const world = three_workers();
        ASSERT_TRUE(submit_on(*world, "w1", make_long_running("j1", 2)));
        ASSERT_TRUE(submit_on(*world, "w1", tests::make_plan("ends", 2, 1000)));
        world->run_for(300);
        ASSERT_EQ(world->running(), 4U);
        world->worker("w1").info.labels.erase("w1");
        world->worker("w2").info.labels.insert("w1");
        for (auto round = 0; round < 5; ++round)
        {
            world->worker("w1").reachable = false;
            world->worker("w1").listed = round % 2 == 0;
            for (auto i = 0; i < changes; ++i)
            {
                world->begin_term();
                world->run_for(1000);
            }
            world->run_for(5000 - 1000 * changes);
            world->worker("w1").reachable = true;
            world->worker("w1").listed = true;
            world->run_for(1000);
        }
        EXPECT_EQ(world->starts.size(), 4U) << changes;
        EXPECT_EQ(world->worker("w1").runs.size(), 4U) << changes;
        EXPECT_TRUE(world->violations.empty());
    }
}

// Guards against second runs of the tasks of workers that are cut off with
// resets: they are not listed and refuse connections, but work on.
TEST(take_over, a_worker_that_refuses_connections_keeps_its_tasks)
{
    for (auto const changes : {0, 1, 3})
    {
        auto const world = three_workers();
        ASSERT_TRUE(submit_on(*world, "w1", make_long_running("j1", 2)));
        ASSERT_TRUE(submit_on(*world, "w1", tests::make_plan("ends", 2, 1000)));
        world->run_for(300);
        ASSERT_EQ(world->running(), 4U);
        auto& worker = world->worker("w1");
        worker.info.labels.erase("w1");
        world->worker("w2").info.labels.insert("w1");
        worker.reachable = false;
        worker.unreachable_result = state::order_result::connection_refused;
        world->run_for(1000);
        worker.listed = false;
        for (auto i = 0; i < changes; ++i)
        {
            world->begin_term();
            world->run_for(1000);
        }
        world->run_for(4000 - 1000 * changes);
        EXPECT_EQ(world->starts.size(), 4U) << changes;
        worker.reachable = true;
        worker.listed = true;
        world->run_for(1000);
        EXPECT_EQ(world->starts.size(), 4U) << changes;
        EXPECT_EQ(worker.runs.size(), 4U) << changes;
        EXPECT_TRUE(world->violations.empty());
    }
}

// Guards against tasks of an ended worker that wait longer than its lease.
TEST(take_over, a_worker_that_ended_unseen_holds_its_tasks_for_its_lease)
{
    auto const world = three_workers();
    ASSERT_TRUE(submit_on(*world, "w1", make_long_running("j1", 2)));
    world->run_for(300);
    end_unseen(*world);
    world->run_for(5500);
    EXPECT_EQ(world->starts.size(), 2U);
    world->run_for(1200); // 6 s, 3% and a margin after the last renewal.
    EXPECT_EQ(world->starts.size(), 4U);
    EXPECT_TRUE(world->violations.empty());
}

// Guards against waits for an ended worker that begin again with each owner.
TEST(take_over, waits_of_several_owners_for_an_ended_worker_do_not_add_up)
{
    auto const world = three_workers();
    ASSERT_TRUE(submit_on(*world, "w1", make_long_running("j1", 2)));
    world->run_for(300);
    end_unseen(*world);
    world->run_for(3500);
    world->begin_term();
    world->run_for(2500);
    world->begin_term();
    world->run_for(4000);
    EXPECT_EQ(world->starts.size(), 4U);
    EXPECT_TRUE(world->violations.empty());
}

// Guards against a bound of a lease that is too short after the worker has
// returned and its lease was renewed.
TEST(take_over, a_lease_that_was_renewed_after_a_silence_holds_its_tasks)
{
    for (auto const delay_ms : {0, 300})
    {
        auto const world = three_workers();
        ASSERT_TRUE(submit_on(*world, "w1", make_long_running("j1", 2)));
        world->run_for(300);
        auto& worker = world->worker("w1");
        worker.reachable = false;
        world->run_for(4000);
        worker.reachable = true;
        world->store_delay_ms = delay_ms;
        world->run_for(1000);
        worker.reachable = false;
        worker.info.labels.erase("w1");
        world->worker("w2").info.labels.insert("w1");
        world->begin_term();
        world->run_for(5500);
        EXPECT_EQ(world->starts.size(), 2U) << delay_ms;
        EXPECT_EQ(worker.runs.size(), 2U) << delay_ms;
        EXPECT_TRUE(world->violations.empty());
    }
}

// Guards against a start that a new owner would not know of: the store holds a
// list with the tasks of the worker and has refused one without them.
TEST(take_over, no_start_while_the_store_names_other_tasks_of_the_worker)
{
    auto const world = three_workers();
    world->behaviour_of = [](auto const&, auto)
    {
        return tests::task_behaviour{1500, false};
    };
    ASSERT_TRUE(submit_on(*world, "w1", tests::make_plan("ends", 1, 1000)));
    world->run_for(300);
    auto& worker = world->worker("w1");
    worker.info.draining = true;
    worker.info.drain_left_ms = 20'000;
    world->loses_stop_orders = true;
    world->run_for(500);
    ASSERT_TRUE(submit_on(*world, "w1", tests::make_plan("waits", 1, 1000)));
    world->store_down = true;
    world->worker("w3").listed = false;
    world->worker("w3").reachable = false;
    world->run_for(1500);
    worker.info.draining = false;
    world->run_for(1000);
    EXPECT_TRUE(world->violations.empty());
    EXPECT_EQ(count_starts(*world, "waits.0.0.0"), 0);
    world->store_down = false;
    world->run_for(2000);
    EXPECT_EQ(count_starts(*world, "waits.0.0.0"), 1);
    EXPECT_TRUE(world->violations.empty())
        << (world->violations.empty() ? "" : world->violations.front());
}

// Guards against orders of an owner that was paused, which arrive after the
// next owner has taken over.
TEST(take_over, late_starts_of_a_paused_owner_have_no_effect)
{
    for (auto const pause_ms : {200, 1000, 3000, 8000})
    {
        auto const world = three_workers();
        world->store_delay_ms = 20;
        for (auto const* const id : {"w1", "w2"})
        {
            world->worker(id).delays_starts = true;
        }
        ASSERT_TRUE(submit_on(*world, "w1", make_long_running("j1", 2)));
        ASSERT_TRUE(submit_on(*world, "w2", tests::make_plan("ends", 2, 1000)));
        world->run_for(300);
        ASSERT_TRUE(world->starts.empty());
        for (auto const* const id : {"w1", "w2"})
        {
            world->worker(id).delays_starts = false;
        }
        world->begin_term();
        world->run_for(pause_ms);
        world->carry_out_delayed("w1");
        world->carry_out_delayed("w2");
        world->run_for(10'000);
        EXPECT_EQ(world->starts.size(), 4U) << pause_ms;
        EXPECT_TRUE(world->violations.empty());
    }
}

// Random faults while long-running tasks run: each runs at most once at a time,
// only on a stored worker, and all run again after the last fault.
RC_GTEST_PROP(take_over, long_running_tasks_keep_the_rules, ())
{
    constexpr auto workers = 4;
    auto world = tests::dispatch_world{};
    for (auto i = 0; i < workers; ++i)
    {
        world.add_worker(fmt::format("w{}", i), worker_capacity);
    }
    auto const seed = *rc::gen::inRange(0, 1000);
    world.behaviour_of = [seed](auto const& task, auto run)
    {
        auto const hash = core::stable_hash(
            fmt::format("{}/{}/{}", seed, tests::text_of(task), run.value));
        return tests::task_behaviour{
            hash % 3 == 0 ? static_cast<std::int64_t>(100 + hash % 3000) : -1,
            true};
    };
    world.begin_term();
    world.run_for(200);
    auto jobs = 0;
    auto const events = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 14), rc::gen::inRange(0, workers)));
    for (auto const& [kind, which] : events)
    {
        auto const id = fmt::format("w{}", which);
        auto& worker = world.worker(id);
        switch (kind)
        {
        case 0: worker.reachable = !worker.reachable; break;
        case 1: worker.loses_answers = !worker.loses_answers; break;
        case 2: worker.delays_starts = !worker.delays_starts; break;
        case 3: world.carry_out_delayed(id); break;
        case 4: world.restart_worker(id); break;
        case 5: world.store_down = !world.store_down; break;
        case 6:
        case 7:
        case 8: world.begin_term(); break;
        case 9: worker.info.draining = !worker.info.draining; break;
        case 10: worker.listed = !worker.listed; break;
        case 11: world.store_delay_ms = which * 100; break;
        default:
            if (jobs < 3)
            {
                world.submit(make_long_running(fmt::format("l{}", jobs++), 4));
            }
            break;
        }
        world.run_for(std::int64_t{100} * (1 + which));
    }
    world.behaviour_of = [](auto const&, auto)
    {
        return tests::task_behaviour{-1, false};
    };
    world.store_down = false;
    world.store_delay_ms = 0;
    for (auto i = 0; i < workers; ++i)
    {
        auto& worker = world.worker(fmt::format("w{}", i));
        worker.reachable = true;
        worker.listed = true;
        worker.loses_answers = false;
        worker.delays_starts = false;
        worker.info.draining = false;
    }
    // A task under which two workers have crashed waits until the tasks that
    // were there have proved sound.
    world.run_for(30'000);
    if (!world.violations.empty())
    {
        RC_FAIL(world.violations.front());
    }
    auto const open_jobs = std::count_if(
        world.stored.jobs.begin(), world.stored.jobs.end(),
        [&](auto const& it)
        {
            auto const phase = world.phase(it.plan.id.value);
            return phase && !state::is_final(*phase);
        });
    RC_ASSERT(world.running() == static_cast<std::size_t>(4 * open_jobs));
}

// Guards against callers that are told nothing certain, and cannot safely try
// again, although their job was part of no write when the owner changed.
TEST(take_over, what_was_not_sent_to_the_store_is_known_as_not_done)
{
    auto world = tests::dispatch_world{};
    world.begin_term();
    world.store_delay_ms = 1000;
    auto const submit = [&](std::string const& id)
    {
        auto error = std::make_shared<core::error_kind>();
        world.submit(
            tests::make_plan(id, 1, 1000),
            [error](bool stored) {
                *error =
                    stored ? core::error_kind::none : core::last_reason().kind;
            });
        world.run_for(50);
        return error;
    };
    auto const sent = submit("sent");
    auto const unsent = submit("unsent");
    world.begin_term();
    EXPECT_EQ(*sent, core::error_kind::unknown_outcome);
    EXPECT_EQ(*unsent, core::error_kind::not_owner);
}
