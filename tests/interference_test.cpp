/** @file interference_test.cpp Tests of learned interference and mitigation. */
#include "state/state.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <array>
#include <cmath>
#include <limits>
#include <string>
#include <utility>
#include <vector>

namespace core = godwitcleat::core;
using namespace godwitcleat::state;
using namespace std::chrono_literals;

namespace
{

constexpr auto start = core::time_point{1h};

// Reports `web` next to `scan` and `tally` alternately, every 10 s. The excess
// values are those of a neighbour that uses all processors.
auto train(
    interference_model& model, core::time_point from, double scan_excess,
    double tally_excess, int reports) -> core::time_point
{
    for (auto n = 0; n < reports; ++n)
    {
        auto const is_scan = n % 2 == 0;
        auto const other =
            std::array{measured_neighbour{is_scan ? "scan" : "tally", 0.25}};
        model.observe(
            "web", other, 1.0 + 0.25 * (is_scan ? scan_excess : tally_excess),
            from);
        from += 10s;
    }
    return from;
}

auto task_of(std::string const& task_class, double load) -> colocated_task
{
    auto value = colocated_task{};
    value.key.job = core::job_id{task_class};
    value.task_class = task_class;
    value.load = load;
    value.interruptible = true;
    return value;
}

auto service_of(std::string const& task_class, double slowdown)
    -> colocated_task
{
    auto value = task_of(task_class, 0.1);
    value.latency_critical = true;
    value.slowdown = slowdown;
    return value;
}

} // namespace

// Guards against coefficients that are attributed to the wrong class, and
// against a model that does not adapt to changes.
TEST(interference_model, tells_pairs_apart_and_follows_changes)
{
    auto model = interference_model{};
    auto const later = train(model, start, 4.0, 0.0, 60);
    EXPECT_NEAR(model.excess("web", "scan", 0.25), 1.0, 0.2);
    EXPECT_NEAR(model.excess("web", "tally", 0.25), 0.0, 0.1);
    train(model, later, 0.0, 4.0, 120);
    EXPECT_NEAR(model.excess("web", "scan", 0.25), 0.0, 0.2);
    EXPECT_NEAR(model.excess("web", "tally", 0.25), 1.0, 0.2);
}

// Guards against one outlier that changes the estimate without limit.
TEST(interference_model, limits_outliers)
{
    auto model = interference_model{};
    auto const later = train(model, start, 1.0, 0.0, 100);
    auto const before = model.excess("web", "scan", 0.25);
    auto const other = std::array{measured_neighbour{"scan", 0.25}};
    model.observe("web", other, 1000.0, later);
    model.observe(
        "web", other, std::numeric_limits<double>::quiet_NaN(), later);
    EXPECT_LT(model.excess("web", "scan", 0.25), before + 0.3);
}

// Guards against memory that grows with the number of class names.
TEST(interference_model, drops_the_oldest_pair)
{
    auto settings = interference_settings{};
    settings.max_pairs = 8;
    auto model = interference_model{settings};
    for (auto n = 0; n < 100; ++n)
    {
        auto const name = fmt::format("class-{}", n);
        auto const other = std::array{measured_neighbour{name, 0.25}};
        model.observe("web", other, 3.0, start + n * 1s);
        EXPECT_LE(model.pairs(), 8U);
    }
    EXPECT_GT(
        model.excess("web", "class-99", 1.0),
        model.excess("web", "class-0", 1.0));
}

// Guards against a prior that also applies to tasks without a class and would
// spread them over many workers.
TEST(interference_model, expects_nothing_of_tasks_without_class)
{
    auto model = interference_model{};
    EXPECT_EQ(model.estimate()("web", ""), 1.0);
    EXPECT_EQ(model.estimate()("", "scan"), 1.0);
    EXPECT_GT(model.estimate()("web", "scan"), 1.0);
}

// Guards against a choice by size instead of by expected interference, and
// against an eviction before throttling was tried.
TEST(choose_mitigation, throttles_the_worst_then_evicts_it)
{
    auto const estimate = [](auto, auto other, double load)
    {
        return other == "scan" ? 8.0 * load : 0.1 * load;
    };
    auto tasks = std::vector{
        service_of("web", 2.0), task_of("tally", 0.6), task_of("scan", 0.1)};
    auto const limits = mitigation_limits{};
    auto choice = choose_mitigation(tasks, estimate, limits);
    ASSERT_TRUE(choice);
    EXPECT_EQ(choice->task, 2U);
    EXPECT_EQ(choice->kind, worker_command_kind::throttle);
    tasks[2].throttled_for = limits.throttle_trial - 1s;
    EXPECT_FALSE(choose_mitigation(tasks, estimate, limits));
    tasks[2].throttled_for = limits.throttle_trial;
    choice = choose_mitigation(tasks, estimate, limits);
    ASSERT_TRUE(choice);
    EXPECT_EQ(choice->task, 2U);
    EXPECT_EQ(choice->kind, worker_command_kind::checkpoint);
}

// Guards against actions on non-interruptible tasks, and against actions for a
// service whose slowdown does not exceed the limit.
TEST(choose_mitigation, leaves_other_tasks_alone)
{
    auto const estimate = [](auto, auto, double load)
    {
        return 8.0 * load;
    };
    auto const limits = mitigation_limits{};
    auto tasks = std::vector{service_of("web", 2.0), task_of("scan", 0.5)};
    tasks[1].interruptible = false;
    EXPECT_FALSE(choose_mitigation(tasks, estimate, limits));
    tasks[1].interruptible = true;
    tasks[0].slowdown = limits.slowdown;
    EXPECT_FALSE(choose_mitigation(tasks, estimate, limits));
}

namespace
{

auto make_hosted_task(
    std::string const& name, std::string const& task_class, bool batch)
    -> hosted_task
{
    auto task = hosted_task{};
    task.spec.id = core::job_id{name};
    task.spec.kind = batch ? job_kind::batch : job_kind::service;
    task.spec.priority =
        batch ? priority_class::batch : priority_class::service;
    task.spec.task_class = task_class;
    task.spec.need = {1000, 256, 0};
    task.attempt = core::attempt_number{1};
    task.worker = core::worker_id{"worker"};
    task.home = core::shard_id{1};
    return task;
}

// Runs a shard engine for @p length with a service that reports @p slowdown.
// Returns the commands for @p job without consecutive duplicates.
auto commands_for(
    std::string const& job, double slowdown, core::duration length)
    -> std::vector<std::pair<worker_command_kind, std::int64_t>>
{
    auto data = shard_data{};
    auto report = worker_report{};
    report.info.worker = core::worker_id{"worker"};
    report.info.capacity = {4000, 4096, 0};
    report.highest_epoch = core::epoch{1};
    for (auto const& it :
         {make_hosted_task("web", "web", false),
          make_hosted_task("scan", "scan", true)})
    {
        auto const key = attempt_key{it.spec.id, it.attempt};
        data.tasks[key] = it;
        auto task = task_report{};
        task.key = key;
        task.usage = {1000, 256, 0};
        task.usage_age_ms = 2000;
        task.slowdown = it.spec.kind == job_kind::service ? slowdown : 1.0;
        report.tasks.push_back(task);
    }
    auto engine = shard_engine{
        core::epoch{1}, shard_state{core::shard_id{0}, std::move(data)},
        engine_settings{}, engine_hooks{}, start};
    auto result = std::vector<std::pair<worker_command_kind, std::int64_t>>{};
    for (auto now = start; now < start + length; now += 500ms)
    {
        ++report.sequence;
        for (auto const& it : engine.heartbeat(report, now).commands)
        {
            auto const value = std::pair{it.kind, it.throttle_percent};
            if (it.key.job.value == job &&
                (result.empty() || result.back() != value))
            {
                result.push_back(value);
            }
        }
    }
    return result;
}

} // namespace

// Guards against an engine that ignores a slowed service, that evicts before it
// throttles, or that does not lift a throttle that a previous owner has set.
TEST(engine_mitigation, throttles_then_evicts_beside_a_slowed_service)
{
    auto const throttle = worker_command_kind::throttle;
    auto const all = commands_for("scan", 2.0, 30s);
    ASSERT_GE(all.size(), 3U);
    EXPECT_EQ(all[0], std::pair(throttle, std::int64_t{100}));
    EXPECT_EQ(all[1], std::pair(throttle, engine_settings{}.throttle_percent));
    EXPECT_EQ(all[2].first, worker_command_kind::checkpoint);
    auto const early = commands_for("scan", 2.0, 15s);
    EXPECT_EQ(early.back().first, throttle);
}

// Guards against throttling next to a service without a significant slowdown.
TEST(engine_mitigation, leaves_batch_beside_an_unslowed_service_alone)
{
    for (auto const& [kind, percent] : commands_for("scan", 1.1, 60s))
    {
        EXPECT_EQ(kind, worker_command_kind::throttle);
        EXPECT_EQ(percent, 100);
    }
}
