/** @file history_check_test.cpp history-check rejects hand-made histories. */
#include "standins/support/history_base.hpp"
#include "standins/support/history_check_base.hpp"

#include <gtest/gtest.h>

using namespace godwitcleat;
using namespace std::chrono_literals;
using standins::call_event;
using standins::worker_event_kind;

namespace
{

using lines = std::vector<std::string>;

constexpr auto gateway = "127.0.0.1:7001";
constexpr auto needed_cpu_milli = 3000;

auto at(std::chrono::milliseconds time) -> core::time_point
{
    return core::time_point{time};
}

auto worker(std::string name, std::chrono::milliseconds time, bool killed)
    -> std::string
{
    return standins::to_json(standins::worker_process_event{
        killed, std::move(name), {4000, 1024, 0}, "dc-1", at(time)});
}

auto task(
    worker_event_kind kind, std::string job, std::uint64_t attempt,
    std::string place, std::chrono::milliseconds time,
    std::int64_t progress = 0) -> std::string
{
    auto event = standins::worker_event{};
    event.kind = kind;
    event.key = {core::job_id{std::move(job)}, core::attempt_number{attempt}};
    event.worker = core::worker_id{std::move(place)};
    event.at = at(time);
    event.progress = progress;
    event.spec.need = {needed_cpu_milli, 512, 0};
    return standins::to_json(event);
}

auto run(std::string id, std::string method, std::chrono::milliseconds time)
    -> std::string
{
    return standins::to_json(standins::request_event{
        false, "127.0.0.1:9", "w1", std::move(id), std::move(method), "/",
        at(time)});
}

auto call(
    std::string id, call_event::kind kind, std::chrono::milliseconds time,
    int status = 200, std::string outcome = "", bool own = true,
    std::string reason = "") -> std::string
{
    auto event = call_event{};
    event.event = kind;
    event.request_id = std::move(id);
    event.method = "POST";
    event.gateway = gateway;
    event.status = status;
    event.outcome = std::move(outcome);
    event.own = own;
    event.reason = std::move(reason);
    event.at = at(time);
    return standins::to_json(event);
}

auto mark(bool completed, std::chrono::milliseconds time) -> std::string
{
    return standins::to_json(
        standins::gateway_stop_event{completed, gateway, at(time)});
}

// Returns the broken rule, "" if there is none, "unreadable" without verdict.
auto rule_of(
    lines const& history, standins::history_check_settings const& settings = {})
    -> std::string
{
    auto const verdict = standins::check_histories(history, settings);
    if (!verdict)
    {
        return "unreadable";
    }
    return verdict->violation ? verdict->violation->rule : "";
}

constexpr auto invoked = call_event::kind::invoked;
constexpr auto answered = call_event::kind::answered;
constexpr auto failed = call_event::kind::failed;
constexpr auto started = worker_event_kind::started;
constexpr auto stopped = worker_event_kind::stopped;

} // namespace

// Guards against a check that misses a job on two workers, or that takes a
// killed worker for one that still runs its tasks.
TEST(history_check, rejects_overlap)
{
    auto const w1 = worker("w1", 0ms, false);
    auto const w2 = worker("w2", 0ms, false);
    auto const first = task(started, "a", 1, "w1", 10ms);
    auto const second = task(started, "a", 2, "w2", 30ms);
    EXPECT_EQ(rule_of({w1, w2, first, second}), "overlap");
    auto const ended = task(stopped, "a", 1, "w1", 20ms);
    EXPECT_EQ(rule_of({w1, w2, second, first, ended}), "");
    EXPECT_EQ(rule_of({w1, w2, first, second, worker("w1", 20ms, true)}), "");
    EXPECT_EQ(rule_of({w1, w2, first, second, worker("w1", 20ms, false)}), "");
    EXPECT_EQ(
        rule_of({w1, w2, first, second, worker("w2", 20ms, true)}), "overlap");
}

// Guards against a check that accepts more tasks than a worker has room for.
TEST(history_check, rejects_overcommitment)
{
    auto const w1 = worker("w1", 0ms, false);
    auto const first = task(started, "a", 1, "w1", 10ms);
    auto const second = task(started, "b", 1, "w1", 20ms);
    EXPECT_EQ(rule_of({w1, first, second}), "overcommitment");
    auto const ended = task(worker_event_kind::finished, "a", 1, "w1", 15ms);
    EXPECT_EQ(rule_of({w1, first, second, ended}), "");
    EXPECT_EQ(rule_of({first}), "unreadable");
}

// Guards against a check that accepts progress that no checkpoint holds.
TEST(history_check, rejects_start_without_checkpoint)
{
    auto const w1 = worker("w1", 0ms, false);
    auto const first = task(started, "a", 1, "w1", 10ms);
    auto const ended = task(stopped, "a", 1, "w1", 20ms, 7);
    auto const resumed = task(started, "a", 2, "w1", 30ms, 7);
    EXPECT_EQ(rule_of({w1, first, ended, resumed}), "resume");
    auto const written =
        task(worker_event_kind::checkpointed, "a", 1, "w1", 20ms, 7);
    EXPECT_EQ(rule_of({w1, first, written, ended, resumed}), "");
    auto const again = task(started, "a", 1, "w1", 30ms);
    EXPECT_EQ(rule_of({w1, first, ended, again}), "resume");
}

// Guards against a job that only the daemons call finished.
TEST(history_check, rejects_job_that_no_worker_finished)
{
    auto settings = standins::history_check_settings{};
    settings.finished_jobs = {"a"};
    auto const w1 = worker("w1", 0ms, false);
    auto const first = task(started, "a", 1, "w1", 10ms);
    EXPECT_EQ(rule_of({w1, first}, settings), "not-finished");
    auto const ended = task(worker_event_kind::finished, "a", 1, "w1", 15ms);
    EXPECT_EQ(rule_of({w1, first, ended}, settings), "");
}

// Guards against a check that accepts wrong or repeated work for callers.
TEST(history_check, rejects_bad_requests)
{
    auto const sent = call("r", invoked, 10ms);
    auto const good = call("r", answered, 20ms);
    EXPECT_EQ(rule_of({sent, run("r", "POST", 12ms), good}), "");
    EXPECT_EQ(
        rule_of({sent, run("r", "POST", 12ms), run("r", "POST", 14ms), good}),
        "post-ran-twice");
    EXPECT_EQ(
        rule_of({sent, run("r", "GET", 12ms), run("r", "GET", 14ms), good}),
        "");
    auto const refused = call("r", answered, 20ms, 503, "not-run", false);
    EXPECT_EQ(rule_of({sent, refused}), "");
    EXPECT_EQ(
        rule_of({sent, refused, run("r", "POST", 30ms)}), "not-run-but-ran");
    auto const wrong = call("r", answered, 20ms, 200, "", false);
    EXPECT_EQ(rule_of({sent, wrong}), "wrong-answer");
    EXPECT_EQ(rule_of({sent}), "not-answered");
    EXPECT_EQ(rule_of({good}), "unreadable");
}

// Guards against a check that excuses requests interrupted by a planned stop.
TEST(history_check, rejects_failure_during_planned_stop)
{
    auto settings = standins::history_check_settings{};
    settings.planned_stop = gateway;
    auto const result =
        [&settings](call_event::kind kind, auto time, std::string reason)
    {
        return rule_of(
            {mark(false, 1000ms), mark(true, 4000ms),
             call("r", invoked, time - 5ms),
             call("r", kind, time, 503, "not-run", false, std::move(reason))},
            settings);
    };
    EXPECT_EQ(result(failed, 1500ms, "unknown_outcome"), "planned-stop");
    EXPECT_EQ(result(failed, 3500ms, "unknown_outcome"), "planned-stop");
    EXPECT_EQ(result(failed, 1500ms, "refused"), "planned-stop");
    EXPECT_EQ(result(failed, 3500ms, "refused"), "");
    EXPECT_EQ(result(failed, 900ms, "unknown_outcome"), "");
    EXPECT_EQ(result(answered, 1500ms, ""), "planned-stop");
    EXPECT_EQ(rule_of({}, settings), "unreadable");
}

// Guards against a verdict on a history that was cut short.
TEST(history_check, rejects_unreadable_lines)
{
    EXPECT_EQ(rule_of({R"({"type": "task", "event": "sta)"}), "unreadable");
    EXPECT_EQ(
        rule_of({R"({"type": "task", "event": "started"})"}), "unreadable");
}
