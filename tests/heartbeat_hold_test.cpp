/** @file heartbeat_hold_test.cpp Tests of held replies to heartbeats. */
#include "coordination/coordination.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <vector>

namespace coordination = godwitcleat::coordination;
namespace core = godwitcleat::core;
namespace state = godwitcleat::state;
using namespace std::chrono_literals;

namespace
{

using result = std::optional<state::heartbeat_reply>;

/** A shard host with one shard whose batches are committed at once. */
class heartbeat_hold : public testing::Test
{
protected:
    heartbeat_hold()
    {
        auto hooks = coordination::shard_host_hooks{};
        hooks.load = [](auto shard, auto, auto on_done)
        {
            on_done(state::shard_state{shard});
        };
        hooks.append = [this](auto, auto, auto, auto, auto on_done)
        {
            appends.push_back(on_done);
        };
        hooks.snapshot_due = [](auto)
        {
            return false;
        };
        hooks.full = [](auto)
        {
            return false;
        };
        hooks.former_owner_stopped = [](auto, auto)
        {
            return true;
        };
        hooks.on_lost = [](auto) {
        };
        hooks.config = []
        {
            return std::make_shared<state::config_document>();
        };
        hooks.other_summaries = []
        {
            return std::vector<state::shard_summary>{};
        };
        hooks.post = [](auto task)
        {
            task();
        };
        hooks.now = [this]
        {
            return now;
        };
        auto settings = coordination::shard_host_settings{};
        settings.engine.shard_count = 1;
        host.emplace(
            settings, std::move(hooks),
            core::logger{[](auto) {}, core::log_level::error});
        host->acquire(core::shard_id{0}, core::epoch{1});
        tick();
        report.info = {
            core::worker_id{"w"}, core::rack_id{"r"}, core::data_centre_id{"d"},
            core::resources{4'000, 16'000, 0}};
        report.boot = 1;
        send(); // Hears the epoch.
        EXPECT_EQ(replies.size(), 1U);
        replies.clear();
        report.highest_epoch = core::epoch{1};
    }

    auto tick() -> void
    {
        now += 100ms;
        host->tick();
        for (auto const& it : std::exchange(appends, {}))
        {
            it(coordination::append_result::committed);
        }
    }

    auto send(std::uint32_t hold_ms = 1'000) -> void
    {
        ++report.sequence;
        auto sent = state::complete_report(report);
        sent.hold_ms = hold_ms;
        host->heartbeat(
            sent,
            [this](result reply) { replies.push_back(std::move(reply)); });
    }

    auto submit(std::string id) -> void
    {
        auto spec = state::job_spec{};
        spec.id = core::job_id{std::move(id)};
        spec.team = core::team_id{"t"};
        spec.need = {1'000, 1'000, 0};
        spec.command = "work 1000";
        host->submit(spec, [](bool) {});
    }

    core::time_point now{100s};
    state::worker_report report;
    std::vector<std::function<void(coordination::append_result)>> appends;
    std::vector<result> replies;
    std::optional<coordination::shard_host> host;
};

} // namespace

// Guards against replies that are sent at once, which doubles the calls, or
// never, which lets the lease lapse.
TEST_F(heartbeat_hold, ends_after_the_hold)
{
    send();
    for (auto n = 0; n < 9; ++n)
    {
        tick();
        EXPECT_TRUE(replies.empty());
    }
    tick();
    ASSERT_EQ(replies.size(), 1U);
    ASSERT_TRUE(replies.front());
    EXPECT_EQ(replies.front()->owner_epoch, core::epoch{1});
    EXPECT_EQ(replies.front()->next_heartbeat_ms, 0);
    EXPECT_GT(replies.front()->lease_ms, 0);
}

// Guards against a start that waits for the end of the hold.
TEST_F(heartbeat_hold, ends_when_a_start_is_committed)
{
    send();
    submit("a");
    for (auto n = 0; n < 5 && replies.empty(); ++n)
    {
        tick();
    }
    ASSERT_EQ(replies.size(), 1U);
    ASSERT_EQ(replies.front()->commands.size(), 1U);
    EXPECT_EQ(
        replies.front()->commands.front().kind,
        state::worker_command_kind::start);
}

// Guards against a stop that waits for the end of the hold.
TEST_F(heartbeat_hold, ends_when_a_stop_is_due)
{
    submit("a");
    send(0);
    for (auto n = 0; n < 5; ++n)
    {
        tick();
    }
    auto task = state::task_report{};
    task.key = {core::job_id{"a"}, core::attempt_number{1}};
    report.tasks.push_back(task);
    replies.clear();
    send();
    EXPECT_TRUE(replies.empty());
    host->cancel(core::job_id{"a"}, "test", [](bool) {});
    for (auto n = 0; n < 5 && replies.empty(); ++n)
    {
        tick();
    }
    ASSERT_EQ(replies.size(), 1U);
    ASSERT_EQ(replies.front()->commands.size(), 1U);
}

// Guards against held replies that pile up while a worker reports changes, and
// against a late heartbeat that ends the hold of a newer one.
TEST_F(heartbeat_hold, ends_with_the_next_heartbeat)
{
    send();
    send();
    ASSERT_EQ(replies.size(), 1U);
    EXPECT_EQ(replies.front()->owner_epoch, core::epoch{1});
    report.sequence -= 2;
    send(); // Repeats the first of the two.
    ASSERT_EQ(replies.size(), 2U);
    EXPECT_EQ(replies.back()->owner_epoch, core::epoch{0});
    for (auto n = 0; n < 10; ++n)
    {
        tick();
    }
    ASSERT_EQ(replies.size(), 3U);
    EXPECT_EQ(replies.back()->owner_epoch, core::epoch{1});
}

// Guards against workers that wait for a daemon that has lost the shard.
TEST_F(heartbeat_hold, ends_when_the_shard_is_released)
{
    send();
    host->release(core::shard_id{0});
    ASSERT_EQ(replies.size(), 1U);
    EXPECT_FALSE(replies.front());
    EXPECT_EQ(core::last_reason().kind, core::error_kind::not_owner);
    send();
    ASSERT_EQ(replies.size(), 2U);
    EXPECT_FALSE(replies.back());
}

// Guards against curl commands that hang, and against a complete report that
// is asked for too late.
TEST_F(heartbeat_hold, is_not_for_everyone)
{
    send(0);
    ASSERT_EQ(replies.size(), 1U);
    EXPECT_EQ(replies.front()->next_heartbeat_ms, 500);
    auto partial = state::complete_report(report);
    partial.base = 77;
    partial.sequence = 78;
    partial.hold_ms = 1'000;
    host->heartbeat(
        partial, [this](result reply) { replies.push_back(std::move(reply)); });
    ASSERT_EQ(replies.size(), 2U);
    EXPECT_TRUE(replies.back()->full_report_requested);
    EXPECT_TRUE(replies.back()->commands.empty());
}

// Guards against a start that a held reply shows as failed: its heartbeat may
// be older than the start, which would then run twice.
TEST_F(heartbeat_hold, is_no_proof_that_a_start_failed)
{
    auto engine = state::shard_engine{
        core::epoch{1},
        state::shard_state{core::shard_id{0}},
        state::engine_settings{},
        {},
        now};
    auto config = std::make_shared<state::config_document>();
    auto const step = [&]
    {
        now += 100ms;
        engine.tick(now, {config, {}, true});
        if (engine.take_batch(now))
        {
            engine.batch_committed(now);
        }
    };
    engine.heartbeat(report, now);
    auto spec = state::job_spec{};
    spec.id = core::job_id{"a"};
    spec.team = core::team_id{"t"};
    spec.need = {1'000, 1'000, 0};
    engine.submit(spec, [](bool) {});
    for (auto n = 0; n < 4; ++n)
    {
        step();
    }
    auto const again = [&]
    {
        return engine.refresh_reply(
            report.info.worker, report.boot, report.sequence, now);
    };
    ASSERT_EQ(again()->commands.size(), 1U);
    config = std::make_shared<state::config_document>();
    config->number = core::generation{2};
    config->drained_data_centres.insert(core::data_centre_id{"d"});
    auto const is_over = [&]
    {
        return engine.state().data().tasks.empty();
    };
    for (auto n = 0; n < 30; ++n)
    {
        step();
        ASSERT_TRUE(again());
    }
    EXPECT_FALSE(is_over());
    ++report.sequence;
    engine.heartbeat(report, now);
    again();
    again();
    step();
    EXPECT_FALSE(is_over());
    ++report.sequence;
    engine.heartbeat(report, now);
    step();
    EXPECT_TRUE(is_over());
}
