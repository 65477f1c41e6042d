/** @file dispatch_load_test.cpp Cost of scheduling on a large fleet. */
#include "tests/support/dispatch_world_base.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>

namespace core = godwitcleat::core;
namespace state = godwitcleat::state;
namespace tests = godwitcleat::tests;

namespace
{

constexpr auto worker_capacity = core::resources{16'000, 64'000, 0};
constexpr auto fleet_size = 350;
constexpr auto class_count = 18;

auto make_fleet() -> std::unique_ptr<tests::dispatch_world>
{
    auto world = std::make_unique<tests::dispatch_world>();
    for (auto i = 0; i < fleet_size; ++i)
    {
        world->add_worker(fmt::format("w{:03}", i), worker_capacity);
    }
    world->begin_term();
    world->run_for(300);
    return world;
}

// Returns a job of best-effort tasks, which use spare processors.
auto make_best_effort(int number, std::uint32_t tasks) -> state::job_plan
{
    auto plan = tests::make_plan(fmt::format("f{}", number), tasks, 1800);
    auto& step = plan.steps.front();
    step.task_class = fmt::format("filling-{}", number % class_count);
    step.uses_spare_cpu = true;
    step.expected_run_ms = 1700;
    return plan;
}

// Only one such task fits on a worker.
auto make_long_running(std::string id, std::uint32_t tasks) -> state::job_plan
{
    auto plan = tests::make_plan(
        std::move(id), tasks, worker_capacity.cpu_milli * 2 / 3);
    plan.steps.front().long_running = true;
    return plan;
}

} // namespace

// Guards against high CPU use by trying to place steps that fit nowhere.
// Considering a worker (a look) takes about 0.15 us, and scheduling may
// use 2.7% of a core of an instance, which is 180,000 workers per second.
TEST(dispatch_load, waiting_steps_consider_at_most_180000_workers_per_second)
{
    auto const world = make_fleet();
    world->behaviour_of = [](auto const&, auto)
    {
        return tests::task_behaviour{60'000, false};
    };
    for (auto i = 0; i < 400; ++i)
    {
        ASSERT_TRUE(world->submit(make_best_effort(i, 20)));
    }
    auto const before = world->owner->counts(world->now());
    ASSERT_GT(before.tasks_ready, 2000U);
    world->run_for(1000);
    auto const after = world->owner->counts(world->now());
    EXPECT_LE(after.workers_considered - before.workers_considered, 180'000U);
    EXPECT_TRUE(world->violations.empty());
}

// Guards against an owner whose processor is used up by long-running tasks that
// fit on no worker, so that it starts the others late.
TEST(dispatch_load, long_running_tasks_without_room_consider_few_workers)
{
    auto const world = make_fleet();
    world->behaviour_of = [](auto const&, auto)
    {
        return tests::task_behaviour{-1, false};
    };
    ASSERT_TRUE(world->submit(make_long_running("fill", fleet_size)));
    world->run_for(5000);
    ASSERT_EQ(world->running(), std::size_t{fleet_size});
    for (auto i = 0; i < 100; ++i)
    {
        ASSERT_TRUE(world->submit(make_long_running(fmt::format("j{}", i), 2)));
    }
    auto const before = world->owner->counts(world->now());
    world->run_for(1000);
    auto const after = world->owner->counts(world->now());
    EXPECT_LE(after.workers_considered - before.workers_considered, 180'000U);
    EXPECT_TRUE(world->violations.empty());
}

// The same for tasks that need a label which no worker with room has.
TEST(
    dispatch_load,
    labelled_long_running_tasks_without_room_consider_few_workers)
{
    auto const world = make_fleet();
    world->behaviour_of = [](auto const&, auto)
    {
        return tests::task_behaviour{-1, false};
    };
    ASSERT_TRUE(world->submit(make_long_running("fill", fleet_size - 1)));
    world->run_for(5000);
    ASSERT_EQ(world->running(), std::size_t{fleet_size - 1});
    auto const& start = world->starts.front();
    world->worker(start.substr(start.find('@') + 1)).info.labels.insert("x");
    for (auto i = 0; i < 100; ++i)
    {
        auto plan = make_long_running(fmt::format("j{}", i), 2);
        plan.steps.front().label = "x";
        ASSERT_TRUE(world->submit(std::move(plan)));
    }
    auto const before = world->owner->counts(world->now());
    world->run_for(1000);
    auto const after = world->owner->counts(world->now());
    EXPECT_LE(after.workers_considered - before.workers_considered, 180'000U);
    EXPECT_TRUE(world->violations.empty());
}

// Guards against a backlog whose starts are sent at once: the owner processes
// nothing else until they are answered, and its copy of the store expires.
TEST(dispatch_load, at_most_64_starts_wait_for_an_answer)
{
    auto const world = make_fleet();
    world->behaviour_of = [](auto const&, auto)
    {
        return tests::task_behaviour{60'000, false};
    };
    world->answer_delay_ms = 100;
    ASSERT_TRUE(world->submit(tests::make_plan("j1", 500, 1000)));
    for (auto i = 0; i < 200 && world->starts.size() < 500; ++i)
    {
        auto const before = world->starts.size();
        world->run_for(world->answer_delay_ms);
        EXPECT_LE(world->starts.size() - before, 64U);
    }
    EXPECT_EQ(world->starts.size(), 500U);
    EXPECT_TRUE(world->violations.empty());
}

// Guards against a cancelled job whose stops are all sent at once, and against
// one whose stops wait for workers that do not answer.
TEST(dispatch_load, at_most_64_stops_wait_for_an_answer)
{
    auto const world = make_fleet();
    world->behaviour_of = [](auto const&, auto)
    {
        return tests::task_behaviour{60'000, false};
    };
    ASSERT_TRUE(world->submit(tests::make_plan("j1", 500, 1000)));
    world->run_for(2000);
    ASSERT_EQ(world->running(), 500U);
    for (auto i = 0; i < 10; ++i)
    {
        world->worker(fmt::format("w{:03}", i)).reachable = false;
    }
    world->answer_delay_ms = 100;
    world->holds_wait = true;
    world->owner->cancel(core::job_id{"j1"}, world->now(), [](bool) {});
    for (auto i = 0; i < 20; ++i)
    {
        auto const before = world->running();
        world->run_for(world->answer_delay_ms);
        EXPECT_LE(before - world->running(), 64U);
    }
    for (auto i = 0; i < 10; ++i)
    {
        world->worker(fmt::format("w{:03}", i)).reachable = true;
    }
    world->run_for(3000);
    EXPECT_EQ(world->running(), 0U);
    EXPECT_TRUE(world->violations.empty());
}

// Guards against workers without an answer that hold up starts on others.
TEST(dispatch_load, starts_continue_beside_workers_that_do_not_answer)
{
    auto const world = make_fleet();
    for (auto i = 0; i < 70; ++i)
    {
        world->worker(fmt::format("w{:03}", i)).loses_answers = true;
    }
    world->answer_delay_ms = 1000;
    ASSERT_TRUE(world->submit(tests::make_plan("j1", 500, 1000)));
    world->run_for(5000);
    EXPECT_EQ(world->phase("j1"), state::plan_phase::completed);
    EXPECT_TRUE(world->violations.empty());
}

// Guards against an owner that falls behind and spends its processor on polls.
TEST(dispatch_load, workers_are_polled_less_often_while_answers_are_late)
{
    auto world = tests::dispatch_world{};
    for (auto i = 0; i < 20; ++i)
    {
        world.add_worker(fmt::format("w{:02}", i), worker_capacity);
    }
    world.begin_term();
    world.run_for(300);
    for (auto i = 0; i < 3; ++i)
    {
        ASSERT_TRUE(
            world.submit(tests::make_plan(fmt::format("j{}", i), 8000, 1000)));
    }
    auto const holds_in_a_second = [&world]
    {
        auto const before = world.holds;
        world.run_for(1000);
        return world.holds - before;
    };
    auto const in_time = holds_in_a_second();
    world.answer_delay_ms = 100;
    world.run_for(4000);
    auto const late = holds_in_a_second();
    world.answer_delay_ms = 0;
    world.run_for(5000);
    EXPECT_LT(late * 2, in_time);
    EXPECT_GT(holds_in_a_second() * 10, in_time * 9);
    EXPECT_TRUE(world.violations.empty());
}
