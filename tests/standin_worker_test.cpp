/** @file standin_worker_test.cpp Tests of the simulated worker. */
#include "standins/support/worker_base.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace core = godwitcleat::core;
namespace state = godwitcleat::state;
namespace standins = godwitcleat::standins;

using namespace std::chrono_literals;
using standins::worker_event_kind;
using state::task_phase;
using state::worker_command_kind;

namespace
{

auto key_of(std::string job, std::uint64_t attempt = 1) -> state::attempt_key
{
    return {core::job_id{std::move(job)}, core::attempt_number{attempt}};
}

auto command_of(worker_command_kind kind, state::attempt_key key)
    -> state::worker_command
{
    auto result = state::worker_command{};
    result.kind = kind;
    result.key = std::move(key);
    return result;
}

auto start_of(state::attempt_key key, std::string text) -> state::worker_command
{
    auto result = command_of(worker_command_kind::start, std::move(key));
    result.spec.id = result.key.job;
    result.spec.need = {1000, 512, 0};
    result.spec.command = std::move(text);
    return result;
}

auto reply_of(std::vector<state::worker_command> commands = {})
    -> state::heartbeat_reply
{
    auto result = state::heartbeat_reply{};
    result.owner_epoch = core::epoch{5};
    result.lease_ms = 4000;
    result.start_valid_ms = 2000;
    result.next_heartbeat_ms = 500;
    result.commands = std::move(commands);
    return result;
}

/** A worker, its clock, and the events that it told. */
class standin_worker : public testing::Test
{
protected:
    static auto settings() -> standins::worker_settings
    {
        auto result = standins::worker_settings{};
        result.info.worker = core::worker_id{"w1"};
        return result;
    }

    /** Sends a heartbeat and takes the reply after @p delay. */
    auto beat(state::heartbeat_reply const& reply, core::duration delay = 0ms)
        -> bool
    {
        auto const sequence = worker.make_report(now).sequence;
        now += delay;
        return worker.take_reply(sequence, reply, now);
    }

    auto beat(
        std::vector<state::worker_command> commands, core::duration delay = 0ms)
        -> bool
    {
        return beat(reply_of(std::move(commands)), delay);
    }

    auto step(core::duration by) -> void
    {
        now += by;
        worker.advance(now);
    }

    /** Returns the report of the only task. */
    auto only_task() -> state::task_report
    {
        auto const report = worker.make_report(now);
        EXPECT_EQ(report.tasks.size(), 1U);
        return report.tasks.empty() ? state::task_report{}
                                    : report.tasks.front();
    }

    /** Returns the times of events of @p kind since the beginning. */
    auto times(worker_event_kind kind) const -> std::vector<core::duration>
    {
        auto result = std::vector<core::duration>{};
        for (auto const& it : events)
        {
            if (it.kind == kind)
            {
                result.push_back(it.at - begin);
            }
        }
        return result;
    }

    using durations = std::vector<core::duration>;

    core::time_point const begin{1h};
    core::time_point now{begin};
    std::vector<standins::worker_event> events;
    standins::standin_worker worker{
        settings(), [this](standins::worker_event const& event)
        {
            events.push_back(event);
        }};
};

} // namespace

// Guards against a misread command that runs for the wrong time.
TEST(task_script, parses_commands)
{
    EXPECT_EQ(standins::parse_task_script("work 3000")->work_ms, 3000);
    EXPECT_TRUE(standins::parse_task_script("fail 500")->fails);
    EXPECT_FALSE(standins::parse_task_script("serve")->work_ms);
    EXPECT_EQ(standins::parse_task_script("serve 20")->serve_ms, 20);
    auto const used = standins::parse_task_script("serve cpu 1500 memory 64");
    ASSERT_TRUE(used);
    EXPECT_EQ(used->cpu_milli, 1500);
    EXPECT_EQ(used->memory_mb, 64);
    for (auto const* it :
         {"", "work", "work x", "work -1", "run 5", "work 5 cpu", "work 5 6"})
    {
        EXPECT_FALSE(standins::parse_task_script(it)) << it;
    }
}

// Guards against crashes on arbitrary command text.
RC_GTEST_PROP(task_script, survives_any_text, (std::string const& text))
{
    standins::parse_task_script(text);
}

// Guards against an outcome that is lost before the owner has stored it.
TEST_F(standin_worker, reports_ended_tasks_until_forgotten)
{
    ASSERT_TRUE(beat(
        {start_of(key_of("done"), "work 3000"),
         start_of(key_of("bad"), "fail 500")}));
    step(3s);
    EXPECT_EQ(times(worker_event_kind::failed), durations{500ms});
    EXPECT_EQ(times(worker_event_kind::finished), durations{3s});
    for (auto it = 0; it < 3; ++it)
    {
        auto const report = worker.make_report(now);
        ASSERT_EQ(report.tasks.size(), 2U);
        EXPECT_EQ(report.tasks[0].phase, task_phase::failed);
        EXPECT_EQ(report.tasks[1].phase, task_phase::finished);
        EXPECT_EQ(report.tasks[1].progress, 3000);
    }
    ASSERT_TRUE(beat({command_of(worker_command_kind::forget, key_of("bad"))}));
    EXPECT_EQ(only_task().key, key_of("done"));
}

// Guards against `forget` for a task that still runs, which would leave it
// running without a report.
TEST_F(standin_worker, does_not_forget_running_tasks)
{
    ASSERT_TRUE(beat({start_of(key_of("a"), "serve")}));
    ASSERT_TRUE(beat({command_of(worker_command_kind::forget, key_of("a"))}));
    EXPECT_EQ(only_task().phase, task_phase::running);
}

// Guards against a lease counted from the arrival of the reply: the owner
// would regard the worker as lapsed while its tasks still run.
TEST_F(standin_worker, counts_lease_from_sending)
{
    ASSERT_TRUE(beat({start_of(key_of("a"), "serve")}, 1500ms));
    EXPECT_EQ(worker.lease_end(), begin + 4s);
    step(2499ms);
    EXPECT_TRUE(times(worker_event_kind::lapsed).empty());
    step(1ms);
    EXPECT_EQ(times(worker_event_kind::lapsed), durations{4s});
    EXPECT_EQ(only_task().phase, task_phase::stopped);
}

// Guards against tasks that go on after a long pause of the worker: what
// would have happened after the end of the lease must not happen.
TEST_F(standin_worker, pause_beyond_lease_stops_tasks_at_its_end)
{
    ASSERT_TRUE(beat(
        {start_of(key_of("long"), "work 5000"),
         start_of(key_of("short"), "work 3000")}));
    auto const open = worker.make_report(now).sequence;
    now += 1h;
    EXPECT_TRUE(worker.take_reply(
        open, reply_of({start_of(key_of("new"), "work 1")}), now));
    EXPECT_EQ(times(worker_event_kind::finished), durations{3s});
    EXPECT_EQ(times(worker_event_kind::lapsed), durations{4s});
    EXPECT_EQ(times(worker_event_kind::started), (durations{0s, 0s}));
    auto const report = worker.make_report(now);
    ASSERT_EQ(report.tasks.size(), 2U);
    EXPECT_EQ(report.tasks[0].progress, 0);
}

// Guards against a renewal that does not extend the lease, and against a
// lapsed worker that never works again.
TEST_F(standin_worker, renews_lease_and_recovers_after_lapse)
{
    ASSERT_TRUE(beat({start_of(key_of("a"), "serve")}));
    for (auto it = 0; it < 10; ++it)
    {
        step(1s);
        ASSERT_TRUE(beat(std::vector<state::worker_command>{}));
    }
    EXPECT_TRUE(times(worker_event_kind::lapsed).empty());
    step(4s);
    EXPECT_EQ(times(worker_event_kind::lapsed), durations{14s});
    ASSERT_TRUE(beat({start_of(key_of("a", 2), "work 10")}));
    step(10ms);
    EXPECT_EQ(times(worker_event_kind::finished), durations{14s + 10ms});
}

// Guards against commands from an owner that has been replaced.
TEST_F(standin_worker, refuses_lower_epoch)
{
    ASSERT_TRUE(beat(std::vector<state::worker_command>{}));
    step(1s);
    auto stale = reply_of({start_of(key_of("a"), "work 10")});
    stale.owner_epoch = core::epoch{4};
    EXPECT_FALSE(beat(stale));
    EXPECT_EQ(core::last_reason().kind, core::error_kind::stale_epoch);
    EXPECT_EQ(worker.lease_end(), begin + 4s);
    EXPECT_TRUE(events.empty());
    auto higher = reply_of();
    higher.owner_epoch = core::epoch{9};
    EXPECT_TRUE(beat(higher));
    EXPECT_EQ(worker.make_report(now).highest_epoch, core::epoch{9});
}

// Guards against starts that arrive after a drain has taken effect.
TEST_F(standin_worker, refuses_late_starts)
{
    ASSERT_TRUE(beat({start_of(key_of("late"), "work 10")}, 2000ms));
    EXPECT_TRUE(events.empty());
    ASSERT_TRUE(beat({start_of(key_of("early"), "work 10")}, 1999ms));
    EXPECT_EQ(events.size(), 1U);
}

// Guards against a start that the owner counts as failed already, because a
// later heartbeat has shown that the task does not run.
TEST_F(standin_worker, takes_starts_from_the_latest_reply_only)
{
    auto const reply = reply_of({start_of(key_of("a"), "work 1000")});
    auto const earlier = worker.make_report(now).sequence;
    auto const later = worker.make_report(now).sequence;
    EXPECT_TRUE(worker.take_reply(earlier, reply, now));
    EXPECT_TRUE(times(worker_event_kind::started).empty());
    EXPECT_TRUE(worker.take_reply(later, reply, now));
    EXPECT_EQ(times(worker_event_kind::started).size(), 1U);
}

// Guards against a task that runs twice because its start is repeated, or
// because an old reply arrives after the task was forgotten.
TEST_F(standin_worker, starts_an_attempt_once)
{
    auto const start = start_of(key_of("a"), "work 10");
    auto const old = worker.make_report(now).sequence;
    ASSERT_TRUE(beat({start}));
    ASSERT_TRUE(beat({start}));
    step(10ms);
    ASSERT_TRUE(beat({start}));
    ASSERT_TRUE(beat({command_of(worker_command_kind::forget, key_of("a"))}));
    EXPECT_FALSE(worker.take_reply(old, reply_of({start}), now));
    EXPECT_EQ(core::last_reason().kind, core::error_kind::conflict);
    EXPECT_EQ(times(worker_event_kind::started).size(), 1U);
}

// Guards against work that is lost or done twice over an eviction.
TEST_F(standin_worker, checkpoints_and_resumes)
{
    ASSERT_TRUE(beat({start_of(key_of("a"), "work 1000")}));
    step(300ms);
    ASSERT_TRUE(
        beat({command_of(worker_command_kind::checkpoint, key_of("a"))}));
    EXPECT_EQ(only_task().phase, task_phase::checkpointing);
    step(199ms);
    EXPECT_TRUE(times(worker_event_kind::checkpointed).empty());
    step(1ms);
    EXPECT_EQ(times(worker_event_kind::checkpointed), durations{500ms});
    EXPECT_EQ(times(worker_event_kind::stopped), durations{500ms});
    auto const stopped = only_task();
    EXPECT_EQ(stopped.phase, task_phase::stopped);
    EXPECT_EQ(stopped.progress, 300);
    auto resumed = start_of(key_of("a", 2), "work 1000");
    resumed.checkpoint = stopped.checkpoint;
    resumed.progress = stopped.progress;
    ASSERT_TRUE(
        beat({command_of(worker_command_kind::forget, key_of("a")), resumed}));
    EXPECT_EQ(only_task().progress, 300);
    step(700ms);
    EXPECT_EQ(times(worker_event_kind::finished), durations{1200ms});
}

// Guards against progress that is reported although it was not saved.
TEST_F(standin_worker, stop_loses_work_since_checkpoint)
{
    auto start = start_of(key_of("a"), "work 1000");
    start.checkpoint = "progress=400";
    ASSERT_TRUE(beat({start}));
    step(100ms);
    EXPECT_EQ(only_task().progress, 500);
    ASSERT_TRUE(beat({command_of(worker_command_kind::stop, key_of("a"))}));
    EXPECT_EQ(only_task().progress, 400);
    EXPECT_EQ(times(worker_event_kind::stopped), durations{100ms});
}

// Guards against a throttle without effect on progress or usage, and against
// usage figures that are visible at once.
TEST_F(standin_worker, throttles_and_reports_usage_late)
{
    ASSERT_TRUE(beat({start_of(key_of("a"), "work 2000 cpu 800 memory 64")}));
    auto throttle = command_of(worker_command_kind::throttle, key_of("a"));
    throttle.throttle_percent = 50;
    step(1s);
    ASSERT_TRUE(beat({throttle}));
    step(999ms);
    EXPECT_EQ(only_task().usage, core::resources{});
    step(1ms);
    EXPECT_EQ(only_task().usage, (core::resources{800, 64, 0}));
    EXPECT_EQ(only_task().usage_age_ms, 2000);
    EXPECT_EQ(only_task().progress, 1500);
    step(1s);
    EXPECT_EQ(only_task().usage, (core::resources{400, 64, 0}));
    EXPECT_EQ(times(worker_event_kind::finished), durations{3s});
}

// Guards against tasks that run at full speed beside a noisy one.
TEST(standin_worker_settings, interference_slows_neighbours)
{
    auto finished = std::vector<core::time_point>{};
    auto settings = standins::worker_settings{};
    settings.interference = [](state::job_spec const&, auto const& neighbours)
    {
        return neighbours.empty() ? 1.0 : 2.0;
    };
    auto worker = standins::standin_worker{
        settings, [&](standins::worker_event const& event)
        {
            if (event.kind == worker_event_kind::finished)
            {
                finished.push_back(event.at);
            }
        }};
    auto const begin = core::time_point{1h};
    auto const sequence = worker.make_report(begin).sequence;
    ASSERT_TRUE(worker.take_reply(
        sequence,
        reply_of(
            {start_of(key_of("a"), "work 100"),
             start_of(key_of("b"), "work 200")}),
        begin));
    worker.advance(begin + 1s);
    EXPECT_EQ(
        finished,
        (std::vector<core::time_point>{begin + 200ms, begin + 300ms}));
}

// Guards against a faulty worker that lets tasks through.
TEST(standin_worker_settings, faulty_worker_fails_all_tasks)
{
    auto settings = standins::worker_settings{};
    settings.fails_all_tasks = true;
    auto worker = standins::standin_worker{settings};
    auto const now = core::time_point{1h};
    auto const sequence = worker.make_report(now).sequence;
    ASSERT_TRUE(worker.take_reply(
        sequence, reply_of({start_of(key_of("a"), "work 100")}), now));
    auto const report = worker.make_report(now);
    ASSERT_EQ(report.tasks.size(), 1U);
    EXPECT_EQ(report.tasks.front().phase, task_phase::failed);
}

// Guards against tasks that run without a lease, whatever the order of delays
// and lost replies.
RC_GTEST_PROP(
    standin_worker_settings, no_task_runs_without_lease,
    (std::vector<std::uint16_t> const& delays))
{
    auto active = 0;
    auto const hook = [&active](standins::worker_event const& event)
    {
        if (event.kind != worker_event_kind::checkpointed)
        {
            active += event.kind == worker_event_kind::started ? 1 : -1;
        }
    };
    auto worker = standins::standin_worker{{}, hook};
    auto now = core::time_point{1h};
    auto last_sent = std::optional<core::time_point>{};
    auto attempt = std::uint64_t{0};
    for (auto const delay : delays)
    {
        auto const sent = now;
        auto const sequence = worker.make_report(now).sequence;
        now += std::chrono::milliseconds{delay % 6000};
        if (delay % 3 != 0)
        {
            ++attempt;
            auto const text = "work " + std::to_string(delay);
            RC_ASSERT(worker.take_reply(
                sequence, reply_of({start_of(key_of("a", attempt), text)}),
                now));
            last_sent = sent;
        }
        worker.advance(now);
        RC_ASSERT(active >= 0);
        RC_ASSERT(active == 0 || (last_sent && now < *last_sent + 4s));
    }
}
