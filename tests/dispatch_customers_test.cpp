/** @file dispatch_customers_test.cpp Limits and shares of customers under load
 * and failures. */
#include "tests/support/played_load_base.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace core = godwitcleat::core;
namespace state = godwitcleat::state;
namespace tests = godwitcleat::tests;

using tests::finish_ms;
using tests::play_ms;
using tests::warm_up_ms;

namespace
{

constexpr auto customers = 5;

auto customer(int index) -> state::customer_id
{
    return state::customer_id{fmt::format("c{}", index)};
}

/** Customers of equal weight with a limit of processors; 0: none. */
auto equal_customers(std::int64_t limit_milli = 0) -> state::customer_table
{
    auto table = state::customer_table{};
    for (auto i = 0; i < customers; ++i)
    {
        auto it = state::customer_config{};
        it.customer = customer(i);
        it.limit.cpu_milli = limit_milli;
        table.customers.emplace(it.customer, it);
    }
    return table;
}

/** Jobs of one customer that keep 16 cores busy on the mean. */
auto jobs_of(int index) -> tests::load_class
{
    auto load = tests::large_reservations();
    load.customer = customer(index);
    load.steps = 1;
    load.tasks = 8;
    load.run_ms = 1000;
    load.declared_run_ms = 1000;
    load.jobs_per_s = 2.0;
    return load;
}

auto loads_of_all() -> std::vector<tests::load_class>
{
    auto result = std::vector<tests::load_class>{};
    for (auto i = 0; i < customers; ++i)
    {
        result.push_back(jobs_of(i));
    }
    return result;
}

/** 96 cores on 24 workers, of which the load needs 80. */
auto world_of_customers(std::int64_t limit_milli = 0)
    -> std::unique_ptr<tests::dispatch_world>
{
    auto world = tests::make_world(24, 4000, 10);
    world->set_customers(equal_customers(limit_milli));
    return world;
}

auto listed(tests::dispatch_world const& world) -> std::string
{
    return world.violations.empty() ? "" : world.violations.front();
}

/** A job of long tasks that keeps to the limit of its customer only if the
 *  dispatcher does. */
auto wide_plan(std::string id, std::uint32_t tasks = 40) -> state::job_plan
{
    auto plan = tests::make_plan(std::move(id), tasks, 1000);
    plan.steps.front().expected_run_ms = 2000;
    return plan;
}

auto slow_tasks(state::task_name const& /*task*/, state::run_number /*run*/)
    -> tests::task_behaviour
{
    return {2000, false};
}

/** Customer 0 is beyond its share with long-running tasks; the others have
 *  short tasks for all starts of several seconds. */
auto world_with_scarce_starts() -> std::unique_ptr<tests::dispatch_world>
{
    auto world = tests::make_world(24, 40'000, 300);
    world->set_customers(equal_customers());
    world->behaviour_of = [](auto const& task, auto)
    {
        auto const lasts = task.job.value.starts_with("long");
        return tests::task_behaviour{lasts ? -1 : 100, false};
    };
    auto lasting = tests::make_plan("long", 300, 1000);
    lasting.steps.front().long_running = true;
    EXPECT_TRUE(world->submit(lasting, customer(0)));
    world->run_for(6000);
    EXPECT_EQ(world->running_of(customer(0)).cpu_milli, 300'000);
    for (auto i = 1; i < customers; ++i)
    {
        auto plan = tests::make_plan(fmt::format("j{}", i), 4000, 1000);
        plan.steps.front().expected_run_ms = 100;
        EXPECT_TRUE(world->submit(std::move(plan), customer(i)));
    }
    world->run_for(500);
    return world;
}

} // namespace

// Guards against a customer that sends eight times its usual load and makes the
// others wait.
TEST(dispatch_customers, one_at_eight_times_its_load_hurts_itself_only)
{
    constexpr auto hot = std::size_t{0};
    auto const play = [](double factor)
    {
        auto const world = world_of_customers();
        auto load = tests::played_load{*world, loads_of_all()};
        load.run_for(warm_up_ms);
        load.set_rate(hot, jobs_of(0).jobs_per_s * factor);
        load.run_for(play_ms);
        load.finish(finish_ms);
        EXPECT_EQ(listed(*world), "");
        auto result = std::vector<tests::load_result>{};
        for (auto i = std::size_t{0}; i < customers; ++i)
        {
            result.push_back(load.result_at(i));
        }
        return result;
    };
    auto const calm = play(1.0);
    auto const loaded = play(8.0);
    for (auto i = std::size_t{1}; i < customers; ++i)
    {
        EXPECT_GE(loaded[i].credit(), calm[i].credit() - 0.02) << i;
        EXPECT_EQ(loaded[i].refused, 0) << i;
    }
    EXPECT_GT(loaded[hot].refused, 0);
    // It still gets what it usually has.
    EXPECT_GE(loaded[hot].in_time, static_cast<int>(0.9 * calm[hot].in_time));
}

// Guards against shares that are left unused although a customer asks for them.
TEST(dispatch_customers, unused_shares_go_to_those_who_ask)
{
    auto const world = world_of_customers();
    world->behaviour_of = slow_tasks;
    ASSERT_TRUE(world->submit(wide_plan("alone", 96), customer(0)));
    world->run_for(600);
    EXPECT_EQ(world->running(), 96U);
}

// Guards against a customer that never gets room while others send more than
// fits, and against shares that do not follow the weights.
TEST(dispatch_customers, room_is_divided_by_weight)
{
    auto const world = tests::make_world(10, 4000, 10);
    auto table = equal_customers();
    table.customers.at(customer(1)).weight = 3.0;
    world->set_customers(table);
    world->behaviour_of = [](auto const&, auto)
    {
        return tests::task_behaviour{500, false};
    };
    for (auto i = 0; i < 2; ++i)
    {
        auto plan = tests::make_plan(fmt::format("j{}", i), 4000, 1000);
        plan.steps.front().expected_run_ms = 500;
        ASSERT_TRUE(world->submit(std::move(plan), customer(i)));
    }
    world->run_for(5000);
    auto total = std::int64_t{0};
    auto light = std::int64_t{0};
    for (auto i = 0; i < 100; ++i)
    {
        world->run_for(50);
        light += world->running_of(customer(0)).cpu_milli;
        total += world->running_of(customer(0)).cpu_milli +
                 world->running_of(customer(1)).cpu_milli;
    }
    auto const part = static_cast<double>(light) / static_cast<double>(total);
    EXPECT_NEAR(part, 0.25, 0.05);
}

// Guards against callers without a key that push out customers through an open
// queue.
TEST(dispatch_customers, jobs_without_a_customer_share_one_weight)
{
    auto const world = world_of_customers();
    world->behaviour_of = slow_tasks;
    ASSERT_TRUE(world->submit(wide_plan("open", 400)));
    world->run_for(3000);
    ASSERT_TRUE(world->submit(wide_plan("small", 10), customer(1)));
    world->run_for(2100); // All runs of the first job have ended once.
    EXPECT_EQ(world->running_of(customer(1)).cpu_milli, 10'000);
}

// Guards against long-running tasks that stay down because their customer is
// beyond its share while the others take all starts.
TEST(dispatch_customers, long_running_tasks_beyond_the_share_start_soon)
{
    auto const world = world_with_scarce_starts();
    auto later = tests::make_plan("longer", 4, 1000);
    later.steps.front().long_running = true;
    ASSERT_TRUE(world->submit(later, customer(0)));
    world->run_for(4000);
    EXPECT_EQ(world->running_of(customer(0)).cpu_milli, 304'000);
    EXPECT_NE(world->phase("j1"), state::plan_phase::completed);
}

// Guards against jobs of a customer beyond its share that wait forever.
TEST(dispatch_customers, a_customer_beyond_its_share_still_starts_tasks)
{
    auto const world = world_with_scarce_starts();
    ASSERT_TRUE(world->submit(tests::make_plan("small", 4, 1000), customer(0)));
    world->run_for(5000);
    EXPECT_EQ(world->phase("small"), state::plan_phase::completed);
    EXPECT_NE(world->phase("j1"), state::plan_phase::completed);
}

// Guards against jobs of a customer beyond its share that start only once they
// have lost their value, because others of the same queue always wait.
TEST(dispatch_customers, a_customer_beyond_its_share_starts_some_tasks_in_time)
{
    auto const world = world_with_scarce_starts();
    auto const small = tests::make_plan("small", 4, 1000);
    ASSERT_TRUE(world->submit(small, customer(0)));
    auto const queue = tests::make_queue();
    world->run_for(
        static_cast<std::int64_t>(
            queue.stretch *
            static_cast<double>(small.steps.front().expected_run_ms)) +
        queue.allowance_ms);
    EXPECT_EQ(world->phase("small"), state::plan_phase::completed);
    EXPECT_NE(world->phase("j1"), state::plan_phase::completed);
}

// Guards against a customer with little recent use that waits behind others.
TEST(dispatch_customers, who_has_used_little_goes_first)
{
    auto const world = world_of_customers();
    world->behaviour_of = slow_tasks;
    ASSERT_TRUE(world->submit(wide_plan("large", 400), customer(0)));
    world->run_for(3000);
    ASSERT_TRUE(world->submit(wide_plan("small", 10), customer(1)));
    world->run_for(2100); // All runs of the first job have ended once.
    EXPECT_EQ(world->running_of(customer(1)).cpu_milli, 10'000);
}

// Guards against jobs of a customer that are started above its limit.
TEST(dispatch_customers, limits_hold_under_load)
{
    auto const world = world_of_customers(10'000);
    auto load = tests::played_load{*world, loads_of_all()};
    load.run_for(play_ms, 3.0);
    EXPECT_EQ(listed(*world), "");
    for (auto i = 0; i < customers; ++i)
    {
        EXPECT_GT(load.result_at(static_cast<std::size_t>(i)).in_time, 0);
    }
}

// Guards against starts above a limit that was lowered under load, and against
// tasks that are stopped for it.
TEST(dispatch_customers, a_lowered_limit_stops_nothing_and_starts_nothing)
{
    auto const world = world_of_customers(30'000);
    world->behaviour_of = slow_tasks;
    ASSERT_TRUE(world->submit(wide_plan("wide"), customer(0)));
    world->run_for(200);
    ASSERT_EQ(world->running(), 30U);
    world->set_customers(equal_customers(5'000));
    auto const before = world->starts.size();
    world->run_for(1500);
    EXPECT_EQ(world->running(), 30U);
    EXPECT_EQ(world->starts.size(), before);
    world->run_for(15'000);
    EXPECT_EQ(world->phase("wide"), state::plan_phase::completed);
    EXPECT_EQ(listed(*world), "");
}

// Guards against a gang of which a part starts within the limit.
TEST(dispatch_customers, a_gang_starts_only_as_a_whole)
{
    auto const world = world_of_customers(10'000);
    world->behaviour_of = slow_tasks;
    auto gang = wide_plan("gang", 8);
    gang.steps.front().gang = true;
    ASSERT_TRUE(world->submit(wide_plan("first", 4), customer(0)));
    world->run_for(100);
    ASSERT_TRUE(world->submit(gang, customer(0)));
    world->run_for(1000);
    EXPECT_EQ(world->running(), 4U);
    world->run_for(1500);
    EXPECT_EQ(world->running(), 8U);
    EXPECT_EQ(listed(*world), "");
}

// Guards against a new owner that starts tasks beside runs that it has not
// heard of yet.
TEST(dispatch_customers, a_new_owner_counts_runs_it_has_not_heard)
{
    auto const world = world_of_customers(20'000);
    world->behaviour_of = slow_tasks;
    ASSERT_TRUE(world->submit(wide_plan("wide", 200), customer(0)));
    world->run_for(500);
    for (auto i = 0; i < 2; ++i)
    {
        world->worker(fmt::format("w{:02}", i)).reachable = false;
    }
    world->begin_term();
    ASSERT_TRUE(world->submit(wide_plan("later", 40), customer(0)));
    world->run_for(6000);
    EXPECT_EQ(listed(*world), "");
    EXPECT_GT(world->running_of(customer(0)).cpu_milli, 0);
}

// Guards against a start without an answer that is not counted.
TEST(dispatch_customers, starts_without_an_answer_count)
{
    auto const world = world_of_customers(20'000);
    world->behaviour_of = slow_tasks;
    for (auto i = 0; i < 12; ++i)
    {
        world->worker(fmt::format("w{:02}", i)).loses_answers = true;
    }
    ASSERT_TRUE(world->submit(wide_plan("wide", 200), customer(0)));
    world->run_for(10'000);
    EXPECT_EQ(listed(*world), "");
}

// Guards against a start that a worker carries out late, after its place in the
// account was given to another task.
TEST(dispatch_customers, starts_that_are_carried_out_late_count)
{
    auto const world = world_of_customers(20'000);
    world->behaviour_of = slow_tasks;
    for (auto i = 0; i < 6; ++i)
    {
        world->worker(fmt::format("w{:02}", i)).delays_starts = true;
    }
    ASSERT_TRUE(world->submit(wide_plan("wide", 200), customer(0)));
    for (auto round = 0; round < 10; ++round)
    {
        world->run_for(700);
        for (auto i = 0; i < 6; ++i)
        {
            world->carry_out_delayed(fmt::format("w{:02}", i));
        }
    }
    EXPECT_EQ(listed(*world), "");
}

// Guards against a limit that is lost with an outage of the store halfway.
TEST(dispatch_customers, limits_hold_through_an_outage_of_the_store)
{
    auto const world = world_of_customers(20'000);
    world->behaviour_of = slow_tasks;
    ASSERT_TRUE(world->submit(wide_plan("wide", 200), customer(0)));
    world->run_for(500);
    world->store_down = true;
    world->run_for(3000);
    world->begin_term();
    world->run_for(1000);
    world->store_down = false;
    world->run_for(12'000);
    EXPECT_EQ(listed(*world), "");
    EXPECT_GT(world->running_of(customer(0)).cpu_milli, 0);
}

// A planted fault: the check has to find a dispatcher that applies a higher
// limit than the configured one.
TEST(dispatch_customers, the_check_finds_a_customer_above_its_limit)
{
    auto const world = world_of_customers(20'000);
    world->checked_limits[customer(0)].cpu_milli = 19'000;
    world->behaviour_of = slow_tasks;
    ASSERT_TRUE(world->submit(wide_plan("wide"), customer(0)));
    world->run_for(500);
    EXPECT_FALSE(world->violations.empty());
}

// Guards against another order of starts in deployments without customers.
TEST(dispatch_customers, one_customer_without_a_limit_changes_no_start)
{
    auto const play = [](std::optional<state::customer_table> table)
    {
        auto const world = tests::make_world(24, 4000, 30);
        auto classes = std::vector<tests::load_class>{
            tests::quick_checks(), tests::large_reservations()};
        if (table)
        {
            world->set_customers(std::move(*table));
            for (auto& it : classes)
            {
                it.customer = customer(0);
            }
        }
        auto load = tests::played_load{*world, std::move(classes)};
        load.run_for(play_ms, 0.3);
        return world->starts;
    };
    auto const without = play(std::nullopt);
    EXPECT_GT(without.size(), 1000U);
    EXPECT_EQ(play(equal_customers()), without);
}

// Guards against calls that show or change jobs of other customers.
TEST(dispatch_customers, a_job_is_hidden_from_other_customers)
{
    auto const world = world_of_customers();
    ASSERT_TRUE(world->submit(tests::make_plan("j", 1, 1000), customer(0)));
    auto const job = core::job_id{"j"};
    auto const queue = state::queue_id{"q"};
    EXPECT_TRUE(world->owner->may_access(job, queue, customer(0)));
    EXPECT_FALSE(world->owner->may_access(job, queue, customer(1)));
    EXPECT_FALSE(world->owner->may_access(job, queue, {}));
    EXPECT_FALSE(world->submit(tests::make_plan("j", 1, 1000), customer(1)));
    EXPECT_EQ(core::last_reason().kind, core::error_kind::conflict);
    world->begin_term();
    world->run_for(300);
    EXPECT_FALSE(world->owner->may_access(job, queue, customer(1)));
    auto open = tests::make_queue();
    open.is_open = true;
    world->add_queue(open);
    EXPECT_TRUE(world->owner->may_access(job, queue, {}));
}

// Guards against accepted jobs that are never run because their customer was
// removed from the configuration.
TEST(dispatch_customers, jobs_of_a_removed_customer_end)
{
    auto const world = world_of_customers(2'000);
    ASSERT_TRUE(world->submit(wide_plan("j", 10), customer(0)));
    auto table = equal_customers(2'000);
    table.customers.erase(customer(0));
    world->set_customers(table);
    world->run_for(5000);
    EXPECT_EQ(world->phase("j"), state::plan_phase::completed);
}
