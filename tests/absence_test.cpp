/** @file absence_test.cpp Tests of workers that are drained and return. */
#include "tests/support/engine_fixture_base.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace core = godwitcleat::core;
using namespace godwitcleat::state;
using namespace godwitcleat::tests;
using namespace std::chrono_literals;

namespace
{

auto make_draining_task(
    std::string const& name, core::duration drained_for,
    std::optional<core::duration> remaining) -> draining_task
{
    return {
        {core::job_id{name}, core::attempt_number{1}}, drained_for, remaining};
}

auto job_names(std::vector<attempt_key> const& keys) -> std::vector<std::string>
{
    auto result = std::vector<std::string>{};
    for (auto const& it : keys)
    {
        result.push_back(it.job.value);
    }
    return result;
}

// Publishes a service with one runner and returns the job id of the runner.
auto publish_service(
    cluster& all, std::string const& name, std::int64_t cpu_milli)
    -> core::job_id
{
    auto service = service_config{};
    service.service = core::service_id{name};
    service.need = {cpu_milli, 256, 0};
    all.change_config([&service](auto& it)
                      { it.services[service.service] = service; });
    return runner_ids(service).front();
}

auto drain(cluster& all, std::string const& data_centre) -> void
{
    all.change_config(
        [&data_centre](auto& it)
        { it.drained_data_centres.insert(core::data_centre_id{data_centre}); });
}

auto count_events(cluster const& all, std::string const& kind) -> std::ptrdiff_t
{
    return std::count(all.events.begin(), all.events.end(), kind);
}

} // namespace

// Guards against tasks that continue after the grace period or are not expected
// to finish within it, and against an order that first interrupts tasks that
// are nearly finished.
TEST(absence, chooses_tasks_to_checkpoint)
{
    using list = std::vector<std::string>;
    auto const tasks = std::vector<draining_task>{
        make_draining_task("short", 0s, 5s),
        make_draining_task("long", 0s, 60s),
        make_draining_task("unknown", 0s, std::nullopt),
        make_draining_task("overdue", 30s, 5s)};
    auto settings = drain_settings{};
    auto const choose = [&](std::size_t max_tasks)
    {
        return job_names(
            choose_tasks_to_checkpoint(tasks, settings, max_tasks));
    };
    EXPECT_EQ(choose(9), (list{"unknown", "long", "short", "overdue"}));
    EXPECT_EQ(choose(2), (list{"unknown", "long"}));
    settings.grace = drain_grace::finishing;
    EXPECT_EQ(choose(9), (list{"unknown", "long", "overdue"}));
    settings.grace = drain_grace::all;
    EXPECT_EQ(choose(9), (list{"overdue"}));
}

// Guards against a start limit that never ends or that applies to workers that
// have not returned from a drain.
TEST(absence, ramp_spaces_starts_after_a_return_only)
{
    auto settings = drain_settings{};
    settings.ramp_interval = 2s;
    EXPECT_TRUE(may_start_batch(std::nullopt, 0s, settings));
    EXPECT_TRUE(may_start_batch(1s, std::nullopt, settings));
    EXPECT_FALSE(may_start_batch(1s, 1s, settings));
    EXPECT_TRUE(may_start_batch(1s, 2s, settings));
    EXPECT_TRUE(may_start_batch(settings.ramp_length, 0s, settings));
    settings.ramp_interval = 0s;
    EXPECT_TRUE(may_start_batch(1s, 0s, settings));
}

// Guards against a runner of a drained data centre that waits for batch tasks
// elsewhere to finish, and against evictions that begin only after the runner
// has stopped.
TEST(absence, capacity_for_a_runner_is_freed_while_it_serves)
{
    auto all = cluster{1};
    auto& first = all.add_worker("w1", "dc1");
    auto const runner = publish_service(all, "a", 3000);
    all.steps(3);
    ASSERT_TRUE(first.runs(runner));
    auto& second = all.add_worker("w2", "dc2");
    all.submit(batch_spec("b", 4000));
    all.steps(3);
    ASSERT_TRUE(second.runs(core::job_id{"b"}));
    drain(all, "dc1");
    all.steps(4);
    EXPECT_TRUE(first.runs(runner));
    EXPECT_FALSE(second.runs(core::job_id{"b"}));
    all.steps(12);
    EXPECT_TRUE(second.runs(runner));
    EXPECT_FALSE(first.runs(runner));
    EXPECT_EQ(all.find("b").evictions, 1U);
    EXPECT_EQ(count_events(all, "eviction_requested"), 1);
}

// Guards against the eviction of a non-interruptible task for a runner.
TEST(absence, runner_waits_for_non_interruptible_work)
{
    auto all = cluster{1};
    auto& first = all.add_worker("w1", "dc1");
    auto const runner = publish_service(all, "a", 3000);
    all.steps(3);
    auto& second = all.add_worker("w2", "dc2");
    auto fixed = batch_spec("b", 4000);
    fixed.interruptible = false;
    all.submit(fixed);
    all.steps(3);
    drain(all, "dc1");
    all.steps(20);
    EXPECT_FALSE(first.runs(runner));
    EXPECT_TRUE(second.runs(core::job_id{"b"}));
    EXPECT_EQ(count_events(all, "eviction_requested"), 0);
    second.end(core::job_id{"b"}, task_phase::finished);
    all.steps(4);
    EXPECT_TRUE(second.runs(runner));
}

// Guards against evictions in more than one shard for the same runner.
TEST(absence, one_shard_evicts_for_a_runner)
{
    auto all = cluster{3};
    auto& own = all.add_worker("w0");
    auto& others = all.workers;
    all.add_worker("w1");
    all.add_worker("w2");
    own.info.capacity = {500, 512, 0};
    all.steps(2);
    for (auto n = 0; n < 8; ++n)
    {
        all.submit(batch_spec("batch-" + std::to_string(n), 1000));
    }
    all.steps(12);
    ASSERT_EQ(others[1]->tasks.size() + others[2]->tasks.size(), 8U);
    auto name = std::string{"a"};
    while (all.home_shard("service/" + name + "/0") != 0)
    {
        name += "a";
    }
    auto const runner = publish_service(all, name, 4000);
    all.steps(16);
    EXPECT_TRUE(others[1]->runs(runner) || others[2]->runs(runner));
    EXPECT_EQ(count_events(all, "eviction_requested"), 4);
}

// Guards against batch tasks that are checkpointed before the grace period ends
// or continue after it.
TEST(absence, batch_work_continues_for_the_grace_period)
{
    auto all = cluster{1};
    all.settings.drain.grace = drain_grace::all;
    all.settings.drain.grace_period = 3s;
    all.replace_owner(0);
    auto& first = all.add_worker("w1", "dc1");
    all.steps(2);
    all.submit(batch_spec("a"));
    all.steps(4);
    ASSERT_TRUE(first.runs(job_a));
    auto& second = all.add_worker("w2", "dc2");
    drain(all, "dc1");
    all.steps(5);
    EXPECT_TRUE(first.runs(job_a));
    all.steps(6);
    EXPECT_FALSE(first.runs(job_a));
    EXPECT_TRUE(second.runs(job_a));
}

// Guards against a burst of batch starts on a worker that returns, and against
// a start limit that also delays urgent jobs.
TEST(absence, returned_worker_starts_batch_work_one_by_one)
{
    auto all = cluster{1};
    all.settings.drain.ramp_interval = 2s;
    all.replace_owner(0);
    auto& worker = all.add_worker("w1", "dc1");
    all.steps(2);
    drain(all, "dc1");
    all.steps(2);
    all.submit(batch_spec("a"));
    all.submit(batch_spec("b"));
    all.steps(2);
    EXPECT_TRUE(worker.started.empty());
    all.change_config([](auto& it) { it.drained_data_centres.clear(); });
    all.steps(3);
    EXPECT_EQ(worker.started.size(), 1U);
    all.submit(batch_spec("c", 1000, priority_class::urgent));
    all.steps(2);
    EXPECT_TRUE(worker.runs(core::job_id{"c"}));
    EXPECT_EQ(worker.started.size(), 2U);
    all.steps(4);
    EXPECT_EQ(worker.started.size(), 3U);
}
