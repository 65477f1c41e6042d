/** @file engine_test.cpp Tests of one shard engine. */
#include "tests/support/engine_fixture_base.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace core = godwitcleat::core;
using namespace godwitcleat::state;
using namespace godwitcleat::tests;
using namespace std::chrono_literals;

// Guards against a job that does not run, or whose end is not stored.
TEST(engine, runs_a_job_to_its_end)
{
    auto all = cluster{1};
    auto& worker = all.add_worker("w");
    all.submit(batch_spec("a"));
    all.steps(2);
    ASSERT_TRUE(worker.runs(job_a));
    all.steps(1);
    EXPECT_EQ(all.find("a").phase, job_phase::running);
    worker.end(job_a, task_phase::finished);
    all.steps(2);
    EXPECT_EQ(all.find("a").phase, job_phase::finished);
    EXPECT_TRUE(worker.tasks.empty());
    EXPECT_TRUE(all.engines[0]->state().data().tasks.empty());
    for (auto const* kind :
         {"job_submitted", "attempt_bound", "task_committed", "start_sent",
          "task_running", "task_ended", "attempt_ended"})
    {
        EXPECT_TRUE(all.has_event(kind)) << kind;
    }
}

// Guards against a submit that is acknowledged before its commit, and against a
// repeated submit that is rejected or adds a second job.
TEST(engine, answers_submits_after_the_commit)
{
    auto all = cluster{1};
    auto answers = std::vector<bool>{};
    auto const note = [&answers](bool committed)
    {
        answers.push_back(committed);
    };
    all.engines[0]->submit(batch_spec("a"), note);
    all.engines[0]->submit(batch_spec("a"), note);
    EXPECT_TRUE(answers.empty());
    all.engines[0]->submit(batch_spec("a", 5), note);
    EXPECT_EQ(answers, std::vector<bool>{false});
    EXPECT_EQ(core::last_reason().kind, core::error_kind::conflict);
    all.settle();
    all.engines[0]->submit(batch_spec("a"), note);
    EXPECT_EQ(answers, (std::vector<bool>{false, true, true, true}));
}

// Guards against restarting the task of a lost worker before the worker's
// lease, with the margin for clock drift, has lapsed.
TEST(engine, waits_for_the_lease_with_margin)
{
    auto all = cluster{1};
    auto& lost = all.add_worker("w1");
    all.submit(batch_spec("a"));
    all.steps(3);
    ASSERT_TRUE(lost.runs(job_a));
    auto const last = all.now;
    lost.connected = false;
    auto& other = all.add_worker("w2");
    while (all.now < last + 4050ms)
    {
        all.step(50ms);
        EXPECT_FALSE(other.runs(job_a) && lost.runs(job_a));
        EXPECT_FALSE(other.runs(job_a));
    }
    all.steps(3);
    EXPECT_TRUE(other.runs(job_a));
    EXPECT_TRUE(all.has_event("worker_lapsed"));
}

// Guards against a start that is sent too long after the commit that allows it,
// so that it could take effect after a drain was accepted.
TEST(engine, late_start_needs_a_new_commit)
{
    auto all = cluster{1};
    auto& worker = all.add_worker("w");
    all.step();
    all.submit(batch_spec("a"));
    all.tick(0);
    all.settle();
    all.now += 3s;
    all.send_heartbeat(0);
    EXPECT_FALSE(worker.runs(job_a));
    auto const batch = all.engines[0]->take_batch(all.now);
    ASSERT_TRUE(batch);
    EXPECT_TRUE(batch->allows_start);
    EXPECT_EQ(batch->batch.records, std::vector<record>{reconfirm{}});
    all.engines[0]->batch_committed(all.now);
    all.send_heartbeat(0);
    EXPECT_TRUE(worker.runs(job_a));
}

// Guards against starts in a drained data centre, and against batch work that
// is not moved away from it.
TEST(engine, drain_moves_work)
{
    auto all = cluster{1};
    auto& first = all.add_worker("w1", "dc1");
    all.submit(batch_spec("a"));
    all.steps(3);
    ASSERT_TRUE(first.runs(job_a));
    auto& second = all.add_worker("w2", "dc2");
    all.change_config(
        [](auto& it)
        { it.drained_data_centres.insert(core::data_centre_id{"dc1"}); });
    all.submit(batch_spec("b"));
    all.steps(6);
    EXPECT_TRUE(second.runs(job_a));
    EXPECT_TRUE(second.runs(core::job_id{"b"}));
    EXPECT_EQ(first.started.size(), 1U);
    EXPECT_EQ(second.resumed_from.at({job_a, core::attempt_number{2}}), "at 5");
    EXPECT_EQ(all.find("a").evictions, 1U);
}

// Guards against a committed task that is neither started nor queued again when
// its worker is drained before the start is sent.
TEST(engine, unsent_task_on_drained_worker_is_not_started)
{
    auto all = cluster{1};
    auto& worker = all.add_worker("w");
    all.step();
    all.submit(batch_spec("a"));
    all.tick(0);
    all.settle();
    all.change_config([](auto& it)
                      { it.drained_workers.insert(core::worker_id{"w"}); });
    all.tick(0);
    all.steps(2);
    EXPECT_TRUE(worker.started.empty());
    EXPECT_EQ(all.find("a").phase, job_phase::queued);
    EXPECT_EQ(all.find("a").evictions, 0U);
    EXPECT_EQ(all.engines[0]->workers(all.now).front().state, "drained");
}

// Guards against a cancelled job that keeps running.
TEST(engine, cancel_stops_the_task)
{
    auto all = cluster{1};
    auto& worker = all.add_worker("w");
    all.submit(batch_spec("a"));
    all.steps(3);
    auto answered = false;
    auto const note = [&answered](bool committed)
    {
        answered = committed;
    };
    all.engines[0]->cancel(job_a, "unwanted", note);
    EXPECT_FALSE(answered);
    all.steps(5);
    EXPECT_TRUE(answered);
    EXPECT_FALSE(worker.runs(job_a));
    EXPECT_EQ(all.find("a").phase, job_phase::cancelled);
}

// Guards against a cancellation that is lost because it arrives while the job's
// placement is being committed.
TEST(engine, cancel_waits_for_the_placement)
{
    auto all = cluster{1};
    all.add_worker("w");
    all.step();
    all.submit(batch_spec("a"));
    all.tick(0);
    auto answered = false;
    all.engines[0]->cancel(
        job_a, "unwanted",
        [&answered](bool committed) { answered = committed; });
    all.steps(5);
    EXPECT_TRUE(answered);
    EXPECT_EQ(all.find("a").phase, job_phase::cancelled);
}

// Guards against urgent work that waits for batch work to finish, and against
// evicted work that is lost or restarts without its checkpoint.
TEST(engine, urgent_work_evicts_the_least_progress)
{
    auto all = cluster{1};
    auto& worker = all.add_worker("w");
    all.submit(batch_spec("a", 2000));
    all.submit(batch_spec("b", 2000));
    all.steps(3);
    worker.tasks.begin()->second.progress = 100;
    all.step();
    all.submit(batch_spec("u", 2000, priority_class::urgent));
    all.submit(batch_spec("c", 2000));
    all.steps(7);
    EXPECT_TRUE(worker.runs(core::job_id{"u"}));
    EXPECT_TRUE(worker.runs(job_a));
    EXPECT_EQ(all.find("b").evictions, 1U);
    worker.end(core::job_id{"u"}, task_phase::finished);
    all.steps(4);
    EXPECT_EQ(
        worker.resumed_from.at({core::job_id{"b"}, core::attempt_number{2}}),
        "at 5");
}

// Guards against overcommitment by placements in the same tick that do not
// account for each other.
TEST(engine, one_tick_never_exceeds_the_capacity_of_a_worker)
{
    auto all = cluster{1};
    auto& first = all.add_worker("w1");
    auto& second = all.add_worker("w2");
    for (auto n = 0; n < 5; ++n)
    {
        all.submit(batch_spec(fmt::format("a{}", n), 2000));
    }
    all.steps(3);
    EXPECT_EQ(first.tasks.size(), 2U);
    EXPECT_EQ(second.tasks.size(), 2U);
}

// Guards against a worker on which every task fails and that uses up the
// attempts of many jobs.
TEST(engine, failing_worker_is_excluded)
{
    auto all = cluster{1};
    auto& bad = all.add_worker("w1");
    for (auto n = 0; n < 3; ++n)
    {
        all.submit(batch_spec(fmt::format("a{}", n)));
    }
    all.steps(2);
    for (auto& [key, task] : bad.tasks)
    {
        task.phase = task_phase::failed;
    }
    all.add_worker("w2");
    all.steps(3);
    EXPECT_EQ(all.engines[0]->workers(all.now).front().state, "excluded");
    EXPECT_TRUE(bad.tasks.empty());
    EXPECT_EQ(all.workers[1]->tasks.size(), 3U);
    all.steps(62);
    EXPECT_EQ(all.engines[0]->workers(all.now).front().state, "live");
}

// Guards against a job that can never run and blocks other jobs, or whose
// status does not show the reason.
TEST(engine, impossible_job_is_shown_and_retested)
{
    auto all = cluster{2};
    auto const name = all.job_id_at(0);
    all.add_worker("w1");
    all.submit(batch_spec(name, 9000));
    all.steps(2);
    EXPECT_EQ(all.find(name).phase, job_phase::impossible);
    EXPECT_NE(
        all.find(name).reason.find("9000 milli-cores"), std::string::npos);
    auto const next = all.job_id_at(0, "next");
    all.submit(batch_spec(next));
    all.steps(2);
    EXPECT_TRUE(all.workers[0]->runs(core::job_id{next}));
    all.add_worker("w2").info.capacity = {9000, 9000, 0};
    all.steps(5);
    EXPECT_TRUE(all.workers[1]->runs(core::job_id{name}));
}

// Guards against a start that was decided under an outdated configuration, and
// against losing the other records of the rejected batch.
TEST(engine, starts_of_a_rejected_batch_are_decided_again)
{
    auto all = cluster{1};
    auto& worker = all.add_worker("w");
    all.step();
    all.submit(batch_spec("a"));
    all.tick(0);
    auto answered = false;
    all.engines[0]->submit(
        batch_spec("b"), [&answered](bool committed) { answered = committed; });
    ASSERT_TRUE(all.engines[0]->take_batch(all.now));
    EXPECT_FALSE(all.engines[0]->take_batch(all.now));
    all.change_config([](auto&) {});
    all.engines[0]->batch_rejected(batch_rejection::config_changed);
    auto const batch = all.engines[0]->take_batch(all.now);
    ASSERT_TRUE(batch);
    EXPECT_FALSE(batch->allows_start);
    EXPECT_EQ(batch->batch.records.size(), 1U);
    all.engines[0]->batch_committed(all.now);
    EXPECT_TRUE(answered);
    all.steps(2);
    EXPECT_TRUE(worker.runs(job_a));
}

// Guards against a replaced owner that reports success to its callers.
TEST(engine, replaced_owner_fails_its_callers)
{
    auto all = cluster{1};
    auto answers = std::vector<bool>{};
    all.engines[0]->submit(
        batch_spec("a"),
        [&answers](bool committed) { answers.push_back(committed); });
    ASSERT_TRUE(all.engines[0]->take_batch(all.now));
    all.engines[0]->batch_rejected(batch_rejection::not_owner);
    EXPECT_EQ(answers, std::vector<bool>{false});
    EXPECT_EQ(core::last_reason().kind, core::error_kind::not_owner);
    all.engines[0].reset();
    EXPECT_EQ(answers.size(), 1U);
}

// Guards against a team that exceeds its quota.
TEST(engine, quota_limits_a_team)
{
    auto all = cluster{1};
    auto& worker = all.add_worker("w");
    all.change_config(
        [](auto& it)
        {
            auto const team = core::team_id{"t"};
            it.teams[team] = {team, {2000, 4096, 0}};
        });
    for (auto n = 0; n < 3; ++n)
    {
        auto spec = batch_spec(fmt::format("a{}", n));
        spec.team = core::team_id{"t"};
        all.submit(spec);
    }
    all.steps(3);
    EXPECT_EQ(worker.tasks.size(), 2U);
    EXPECT_NE(all.find("a2").reason.find("quota"), std::string::npos);
}

// Guards against a number of runners that differs from the configuration, and
// against stopping a runner before its endpoint was published as leaving.
TEST(engine, runners_follow_the_configuration)
{
    auto all = cluster{1};
    auto& worker = all.add_worker("w");
    auto const name = core::service_id{"desk"};
    all.change_config(
        [&name](auto& it)
        {
            auto& service = it.services[name];
            service.service = name;
            service.runners = 2;
            service.need = {1000, 256, 0};
        });
    all.steps(4);
    EXPECT_EQ(all.engines[0]->endpoints().size(), 2U);
    all.change_config([&name](auto& it) { it.services[name].runners = 1; });
    all.steps(2);
    auto const endpoints = all.engines[0]->endpoints();
    ASSERT_EQ(endpoints.size(), 2U);
    EXPECT_FALSE(endpoints[0].leaving);
    EXPECT_TRUE(endpoints[1].leaving);
    EXPECT_EQ(endpoints[1].backend_server.value, "service/desk/1#1");
    all.steps(14);
    EXPECT_EQ(all.engines[0]->endpoints().size(), 1U);
    EXPECT_EQ(worker.tasks.size(), 1U);
    all.change_config([&name](auto& it) { it.services[name].runners = 2; });
    all.steps(4);
    EXPECT_EQ(all.engines[0]->endpoints().size(), 2U);
}

// Guards against final jobs that accumulate in the snapshot, and against a
// configured batch job that is submitted and run again after its retention.
TEST(engine, final_jobs_are_dropped_unless_configured)
{
    auto all = cluster{1};
    auto& worker = all.add_worker("w");
    all.change_config([](auto& it) { it.jobs[job_a] = {batch_spec("a")}; });
    all.submit(batch_spec("b"));
    all.steps(3);
    worker.end(job_a, task_phase::finished);
    worker.end(core::job_id{"b"}, task_phase::finished);
    all.steps(2);
    all.step(all.settings.retention - 1s);
    EXPECT_EQ(all.engines[0]->jobs().size(), 2U);
    all.steps(4);
    ASSERT_EQ(all.engines[0]->jobs().size(), 1U);
    EXPECT_EQ(all.find("a").phase, job_phase::finished);
    EXPECT_EQ(worker.started.size(), 2U);
}

// Guards against batch work that starts before services, and against a team
// that gets all capacity because it submitted first.
TEST(engine, order_is_priority_then_share_then_submit)
{
    auto all = cluster{1};
    auto& worker = all.add_worker("w");
    all.change_config(
        [](auto& it)
        {
            for (auto const* name : {"s", "t"})
            {
                auto const team = core::team_id{name};
                it.teams[team] = {team, {4000, 4096, 0}};
            }
        });
    auto const submit = [&all](
                            std::string const& name, std::string const& team,
                            priority_class priority)
    {
        auto spec = batch_spec(name, 1000, priority);
        spec.team = core::team_id{team};
        all.submit(spec);
    };
    submit("s1", "s", priority_class::batch);
    submit("s2", "s", priority_class::batch);
    submit("s3", "s", priority_class::batch);
    submit("t1", "t", priority_class::batch);
    submit("t2", "t", priority_class::batch);
    submit("s4", "s", priority_class::service);
    all.steps(3);
    for (auto const* name : {"s4", "s1", "t1", "t2"})
    {
        EXPECT_TRUE(worker.runs(core::job_id{name})) << name;
    }
}

// Guards against a configuration change that stops all runners of a service at
// once.
TEST(engine, changed_runners_are_replaced_one_by_one)
{
    auto all = cluster{1};
    auto& worker = all.add_worker("w");
    auto const name = core::service_id{"desk"};
    auto const set_need = [&name](std::int64_t cpu_milli)
    {
        return [&name, cpu_milli](config_document& it)
        {
            it.services[name].service = name;
            it.services[name].runners = 3;
            it.services[name].need = {cpu_milli, 256, 0};
        };
    };
    all.change_config(set_need(1000));
    all.steps(5);
    ASSERT_EQ(all.engines[0]->endpoints().size(), 3U);
    all.change_config(set_need(500));
    for (auto n = 0; n < 80; ++n)
    {
        all.step();
        auto const endpoints = all.engines[0]->endpoints();
        EXPECT_GE(
            std::count_if(
                endpoints.begin(), endpoints.end(),
                [](auto const& it) { return !it.leaving; }),
            2);
    }
    ASSERT_EQ(worker.tasks.size(), 3U);
    for (auto const& [key, task] : worker.tasks)
    {
        EXPECT_EQ(worker.specs[key].need.cpu_milli, 500);
    }
}

// Guards against tasks that count as running although their worker restarted.
TEST(engine, restarted_worker_loses_its_tasks_at_once)
{
    auto all = cluster{1};
    auto& worker = all.add_worker("w");
    all.submit(batch_spec("a"));
    all.steps(3);
    worker.restart();
    // The reply to the first heartbeat tells the new boot the epoch, which its
    // second heartbeat acknowledges.
    all.steps(4);
    EXPECT_TRUE(worker.runs(job_a));
    EXPECT_EQ(all.find("a").last_attempt, core::attempt_number{2});
}

// Guards against a task that keeps running although the owner does not know it.
TEST(engine, unknown_task_is_stopped_and_forgotten)
{
    auto all = cluster{1};
    auto& worker = all.add_worker("w");
    all.step();
    auto const key = attempt_key{job_a, core::attempt_number{4}};
    worker.tasks[key].key = key;
    all.step();
    EXPECT_FALSE(worker.runs(job_a));
    all.step();
    EXPECT_TRUE(worker.tasks.empty());
}

// Guards against restarting a task while the former owner may still renew the
// lease of its worker.
TEST(engine, new_owner_waits_for_the_former_owner)
{
    auto all = cluster{1};
    auto& worker = all.add_worker("w");
    all.submit(batch_spec("a"));
    all.steps(3);
    worker.connected = false;
    auto const former = all.replace_owner(0);
    for (auto n = 0; n < 40; ++n)
    {
        all.step();
        all.send_heartbeat(0, former.get());
    }
    EXPECT_TRUE(worker.runs(job_a));
    EXPECT_EQ(all.find("a").last_attempt, core::attempt_number{1});
    ASSERT_EQ(all.engines[0]->workers(all.now).size(), 1U);
    EXPECT_EQ(all.engines[0]->workers(all.now).front().state, "unheard");
    all.former_stopped[0] = true;
    all.steps(10);
    EXPECT_EQ(all.find("a").phase, job_phase::queued);
    EXPECT_FALSE(worker.runs(job_a));
}

// Guards against a new owner that publishes an empty endpoint list before the
// first heartbeats arrive, which would remove running service runners.
TEST(engine, new_owner_knows_endpoints_after_heartbeats)
{
    auto all = cluster{1};
    auto& worker = all.add_worker("w");
    auto const name = core::service_id{"desk"};
    all.change_config(
        [&name](auto& it)
        {
            auto& service = it.services[name];
            service.service = name;
            service.runners = 1;
            service.need = {1000, 256, 0};
        });
    all.steps(4);
    ASSERT_EQ(all.engines[0]->endpoints().size(), 1U);
    EXPECT_TRUE(all.engines[0]->knows_all_endpoints());
    worker.connected = false;
    auto const former = all.replace_owner(0);
    EXPECT_FALSE(all.engines[0]->knows_all_endpoints());
    EXPECT_TRUE(all.engines[0]->endpoints().empty());
    worker.connected = true;
    all.steps(2);
    EXPECT_TRUE(all.engines[0]->knows_all_endpoints());
    EXPECT_EQ(all.engines[0]->endpoints().size(), 1U);
}

// Guards against a new owner that counts the lease from a heartbeat it
// received, although the worker has not acknowledged its epoch and only the
// former owner's replies reach it.
TEST(engine, lease_counts_after_the_worker_reports_the_epoch)
{
    auto all = cluster{1};
    auto& worker = all.add_worker("w");
    all.submit(batch_spec("a"));
    all.steps(3);
    worker.connected = false;
    auto const former = all.replace_owner(0);
    all.engines[0]->heartbeat(worker.report(all.now), all.now);
    for (auto n = 0; n < 20; ++n)
    {
        all.step();
        all.send_heartbeat(0, former.get());
    }
    EXPECT_TRUE(worker.runs(job_a));
    EXPECT_TRUE(all.find("a").binding);
}
