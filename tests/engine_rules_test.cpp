/** @file engine_rules_test.cpp Tests of single rules of the engine. */
#include "tests/support/engine_fixture_base.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <set>
#include <string>

namespace core = godwitcleat::core;
using namespace godwitcleat::state;
using namespace godwitcleat::tests;
using namespace std::chrono_literals;

namespace
{

// Returns true if no attempt was started twice.
auto starts_each_attempt_once(fake_worker const& worker) -> bool
{
    auto const& all = worker.started;
    return std::set<attempt_key>(all.begin(), all.end()).size() == all.size();
}

// Submits job a and commits its placement; no start is sent yet.
auto commit_placement(cluster& all) -> void
{
    all.step();
    all.submit(batch_spec("a"));
    all.tick(0);
    all.settle();
    ASSERT_EQ(all.engines[0]->state().data().tasks.size(), 1U);
}

// Sends a heartbeat whose reply is lost.
auto heartbeat_without_reply(cluster& all, fake_worker& worker) -> void
{
    all.engines[0]->heartbeat(worker.report(all.now), all.now);
    all.settle();
}

auto drain_first_data_centre(config_document& config) -> void
{
    config.drained_data_centres.insert(core::data_centre_id{"dc1"});
}

} // namespace

// Guards against a host that runs a finished and forgotten task again when the
// offer is repeated and the grant of its first claim arrives late.
TEST(engine_rules, forgotten_task_refuses_a_repeated_offer)
{
    auto all = cluster{2};
    auto const name = all.job_id_at(0);
    all.add_worker("w0").connected = false;
    auto& host = all.add_worker("w1");
    auto offer = std::optional<shard_request>{};
    auto claim = std::optional<shard_request>{};
    all.should_lose_request = [&](shard_request const& it)
    {
        offer = std::holds_alternative<offer_request>(it) ? it : offer;
        claim = std::holds_alternative<claim_request>(it) ? it : claim;
        return false;
    };
    all.step();
    all.submit(batch_spec(name));
    all.steps(3);
    ASSERT_TRUE(host.end(core::job_id{name}, task_phase::finished));
    all.steps(3);
    ASSERT_TRUE(all.engines[1]->state().data().tasks.empty());
    ASSERT_TRUE(offer && claim);
    auto const first_offer = *offer;
    auto const first_claim = *claim;
    all.deliver(first_offer);
    all.deliver_reply(first_claim, claim_reply{true});
    all.settle();
    all.steps(3);
    EXPECT_EQ(host.started.size(), 1U);
}

// Guards against a start that is treated as failed while it may still take
// effect, and against a task that keeps its capacity although its start has
// expired: the second heartbeat after the start's validity decides.
TEST(engine_rules, second_heartbeat_after_the_validity_ends_a_start)
{
    auto all = cluster{1};
    auto& worker = all.add_worker("w");
    commit_placement(all);
    heartbeat_without_reply(all, worker);
    ASSERT_TRUE(all.has_event("start_sent"));
    all.change_config(drain_first_data_centre);
    all.tick(0);
    all.settle();
    auto const tasks_after_heartbeat = [&all](core::duration length)
    {
        all.now += length;
        all.send_heartbeat(0);
        all.settle();
        return all.engines[0]->state().data().tasks.size();
    };
    EXPECT_EQ(tasks_after_heartbeat(500ms), 1U);
    EXPECT_EQ(tasks_after_heartbeat(500ms), 1U);
    EXPECT_EQ(tasks_after_heartbeat(1100ms), 1U);
    EXPECT_EQ(tasks_after_heartbeat(500ms), 0U);
    EXPECT_TRUE(worker.started.empty());
    EXPECT_EQ(all.find("a").phase, job_phase::queued);
}

// Guards against a start that was decided before a drain and is committed in
// the same batch as a start that was decided after it.
TEST(engine_rules, change_of_configuration_drops_waiting_starts)
{
    auto all = cluster{1};
    all.add_worker("w1", "dc1");
    all.step();
    all.submit(batch_spec("a", 4000));
    all.submit(batch_spec("b", 4000));
    all.tick(0);
    all.change_config(drain_first_data_centre);
    all.add_worker("w2", "dc2");
    all.send_heartbeat(1);
    all.tick(0);
    all.settle();
    auto const& tasks = all.engines[0]->state().data().tasks;
    ASSERT_EQ(tasks.size(), 1U);
    EXPECT_EQ(tasks.begin()->second.worker.value, "w2");
}

// Guards against treating a late heartbeat of a former boot as a restart, which
// would end the tasks of the current boot.
TEST(engine_rules, late_heartbeat_of_a_past_boot_changes_nothing)
{
    auto all = cluster{1};
    auto& worker = all.add_worker("w");
    commit_placement(all);
    all.steps(2);
    ASSERT_TRUE(worker.runs(job_a));
    auto const late = worker.report(all.now);
    worker.restart();
    all.steps(5);
    ASSERT_TRUE(worker.runs(job_a));
    auto const attempt = all.find("a").last_attempt;
    auto const reply = all.engines[0]->heartbeat(late, all.now);
    EXPECT_EQ(reply.owner_epoch, core::epoch{0});
    all.settle();
    all.steps(3);
    EXPECT_TRUE(worker.runs(job_a));
    EXPECT_EQ(all.find("a").last_attempt, attempt);
}

// Guards against an attempt that runs in two boots of its worker: the worker
// restarts after the start and before its next heartbeat.
TEST(engine_rules, start_sent_to_a_past_boot_is_lost)
{
    auto all = cluster{1};
    auto& worker = all.add_worker("w");
    commit_placement(all);
    all.send_heartbeat(0);
    ASSERT_TRUE(worker.runs(job_a));
    worker.restart();
    all.steps(5);
    EXPECT_TRUE(worker.runs(job_a));
    EXPECT_TRUE(starts_each_attempt_once(worker));
    EXPECT_EQ(all.find("a").last_attempt, core::attempt_number{2});
}

// Guards against a host that commits an attempt whose grant arrives after the
// data centre was drained.
TEST(engine_rules, host_declines_a_grant_after_a_drain)
{
    auto all = cluster{2};
    auto const name = all.job_id_at(0);
    all.add_worker("w0").connected = false;
    auto& host = all.add_worker("w1");
    auto claim = std::optional<shard_request>{};
    all.should_lose_reply = [&claim](shard_request const& it)
    {
        auto const is_claim = std::holds_alternative<claim_request>(it);
        claim = is_claim ? it : claim;
        return is_claim;
    };
    all.step();
    all.submit(batch_spec(name));
    all.step();
    ASSERT_TRUE(claim);
    ASSERT_TRUE(all.find(name).binding);
    all.change_config(drain_first_data_centre);
    all.tick(1);
    all.deliver_reply(*claim, claim_reply{true});
    all.settle();
    all.steps(3);
    EXPECT_FALSE(all.has_event("task_committed"));
    EXPECT_TRUE(all.has_event("attempt_declined"));
    EXPECT_TRUE(host.started.empty());
    EXPECT_FALSE(all.find(name).binding);
}

// Guards against accepting the end of an attempt from a shard that does not
// host it, which would start the job again while it is running.
TEST(engine_rules, only_the_host_ends_an_attempt)
{
    auto all = cluster{3};
    auto const name = all.job_id_at(0);
    all.add_worker("w0").connected = false;
    auto& host = all.add_worker("w1");
    all.step();
    all.submit(batch_spec(name));
    all.steps(3);
    ASSERT_TRUE(host.runs(core::job_id{name}));
    all.deliver(attempt_ended_request{
        core::shard_id{0},
        core::shard_id{2},
        {core::job_id{name}, core::attempt_number{1}},
        attempt_outcome::not_started,
        {},
        0});
    all.settle();
    all.steps(3);
    ASSERT_TRUE(all.find(name).binding);
    EXPECT_EQ(all.find(name).last_attempt, core::attempt_number{1});
    EXPECT_EQ(host.started.size(), 1U);
}

// Guards against a new owner that repeats a start of the former owner to a
// worker that has restarted since. Until the worker acknowledges the new epoch,
// a start of the former owner may still arrive; then the attempt is lost.
TEST(engine_rules, recovered_task_is_not_sent_again)
{
    auto all = cluster{1};
    auto& worker = all.add_worker("w");
    commit_placement(all);
    all.send_heartbeat(0);
    ASSERT_TRUE(worker.runs(job_a));
    auto const former = all.replace_owner(0);
    worker.restart();
    all.tick(0);
    heartbeat_without_reply(all, worker);
    all.steps(5);
    EXPECT_TRUE(starts_each_attempt_once(worker));
    EXPECT_TRUE(worker.runs(job_a));
    EXPECT_EQ(all.find("a").last_attempt, core::attempt_number{2});
}

// Guards against a new owner that treats a running task as not started because
// its worker has not sent a heartbeat yet.
TEST(engine_rules, recovered_task_counts_as_sent)
{
    auto all = cluster{1};
    auto& worker = all.add_worker("w");
    commit_placement(all);
    all.steps(2);
    ASSERT_TRUE(worker.runs(job_a));
    auto const former = all.replace_owner(0);
    all.change_config([](auto& it)
                      { it.drained_workers.insert(core::worker_id{"w"}); });
    all.tick(0);
    all.settle();
    ASSERT_TRUE(all.find("a").binding);
    EXPECT_EQ(all.find("a").binding->number, core::attempt_number{1});
}
