/** @file dispatch_load_test.cpp Loads of large fleets, played on a dispatcher.
 */
#include "tests/support/dispatch_world_base.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>

namespace core = godwitcleat::core;
namespace state = godwitcleat::state;
namespace tests = godwitcleat::tests;

namespace
{

constexpr auto room = core::resources{16'000, 64'000, 0};
constexpr auto fleet = 350;
constexpr auto classes = 18;

auto make_fleet() -> std::unique_ptr<tests::dispatch_world>
{
    auto world = std::make_unique<tests::dispatch_world>();
    for (auto i = 0; i < fleet; ++i)
    {
        world->add_worker(fmt::format("w{:03}", i), room);
    }
    world->begin_term();
    world->run_for(300);
    return world;
}

// Returns a job whose tasks use spare processors.
auto make_filling(int number, std::uint32_t tasks) -> state::job_plan
{
    auto plan = tests::make_plan(fmt::format("f{}", number), tasks, 1800);
    auto& step = plan.steps.front();
    step.task_class = fmt::format("filling-{}", number % classes);
    step.uses_spare_cpu = true;
    step.expected_run_ms = 1700;
    return plan;
}

} // namespace

// Guards against an owner that spends its processor on work that cannot start.
// A look at a worker takes about 0.15 us, and control may cost an instance 2.7%
// of a core, which is 180,000 looks a second.
TEST(dispatch_load, waiting_steps_cost_at_most_180000_looks_a_second)
{
    auto const world = make_fleet();
    world->behave = [](auto const&, auto)
    {
        return tests::task_behaviour{60'000, false};
    };
    for (auto i = 0; i < 400; ++i)
    {
        ASSERT_TRUE(world->submit(make_filling(i, 20)));
    }
    auto const before = world->owner->counts(world->now());
    ASSERT_GT(before.tasks_ready, 2000U);
    world->run_for(1000);
    auto const after = world->owner->counts(world->now());
    EXPECT_LE(after.worker_looks - before.worker_looks, 180'000U);
    EXPECT_TRUE(world->violations.empty());
}
