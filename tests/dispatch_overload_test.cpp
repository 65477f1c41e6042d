/** @file dispatch_overload_test.cpp More work than can be started or run. */
#include "tests/support/played_load_base.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace core = godwitcleat::core;
namespace state = godwitcleat::state;
namespace tests = godwitcleat::tests;

namespace
{

constexpr auto warm_up_ms = 3000;
constexpr auto play_ms = 20'000;
constexpr auto finish_ms = 60'000;

auto make_queue(std::string name, std::uint32_t priority, double stretch)
    -> state::queue_config
{
    auto queue = state::queue_config{};
    queue.queue = state::queue_id{std::move(name)};
    queue.service = core::service_id{"s"};
    queue.priority = priority;
    queue.max_failures = 3;
    queue.stretch = stretch;
    queue.allowance_ms = priority == 0 ? 300 : 1000;
    return queue;
}

// Small jobs with a tight time objective; 225 tasks a second.
auto quick_checks() -> tests::load_class
{
    auto load = tests::load_class{};
    load.queue = make_queue("check", 0, 1.5);
    load.jobs_per_s = 12.5;
    load.steps = 2;
    load.tasks = 9;
    load.run_ms = 800;
    load.declared_run_ms = 700;
    return load;
}

// Large jobs with more time; 1,000 tasks a second.
auto large_reservations() -> tests::load_class
{
    auto load = tests::load_class{};
    load.queue = make_queue("reserve", 2, 2.0);
    load.jobs_per_s = 25;
    load.steps = 2;
    load.tasks = 20;
    load.run_ms = 1700;
    load.declared_run_ms = 1700;
    return load;
}

// Returns a world of @p workers whose starts are answered after @p answer_ms,
// which with 64 starts at a time limits how many there are in a second.
auto make_world(int workers, std::int64_t cpu_milli, std::int64_t answer_ms)
    -> std::unique_ptr<tests::dispatch_world>
{
    auto world = std::make_unique<tests::dispatch_world>();
    for (auto i = 0; i < workers; ++i)
    {
        world->add_worker(fmt::format("w{:02}", i), {cpu_milli, 10'000'000, 0});
    }
    world->begin_term();
    world->run_for(300);
    world->answer_delay_ms = answer_ms;
    return world;
}

} // namespace

// Guards against a class that gets next to nothing because its steps are late
// and wait behind those of another class.
TEST(dispatch_overload, no_class_is_starved_while_starts_are_scarce)
{
    for (auto const answer_ms : {70, 120, 180})
    {
        auto const world = make_world(40, 200'000, answer_ms);
        auto load =
            tests::played_load{*world, {quick_checks(), large_reservations()}};
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
