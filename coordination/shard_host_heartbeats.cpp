/** @file shard_host_heartbeats.cpp Heartbeats and their held replies. */
#include "coordination/shard_host_internal.hpp"

#include <algorithm>
#include <mutex>
#include <utility>

namespace godwitcleat::coordination
{

auto shard_host::heartbeat(
    state::partial_report const& report, heartbeat_answer on_reply) -> void
{
    auto const shard =
        state::shard_of(report.rack, settings_.engine.shard_count);
    if (auto const entry = find(shard))
    {
        auto lock = std::unique_lock{entry->mutex};
        if (entry->engine)
        {
            auto const calls =
                take_heartbeat(*entry, report, std::move(on_reply));
            lock.unlock();
            run_all(calls);
            return;
        }
    }
    fail_not_owner(shard);
    on_reply(std::nullopt);
}

// Returns the calls that answer this heartbeat, unless its reply is held, and
// the earlier one whose reply was held.
auto shard_host::take_heartbeat(
    shard_entry& entry, state::partial_report const& report,
    heartbeat_answer on_reply) -> std::vector<std::function<void()>>
{
    auto result = std::vector<std::function<void()>>{};
    auto const now = hooks_.now();
    auto former =
        entry.held.take_before(report.worker, report.boot, report.sequence);
    if (former)
    {
        result.push_back(end_hold(entry, std::move(*former), now));
    }
    auto reply = reply_to(entry, report, now);
    auto const hold = hold_of(report, reply);
    if (hold > core::duration{0})
    {
        entry.held.add(
            {report.worker, report.boot, report.sequence, now + hold,
             std::move(on_reply)});
        return result;
    }
    result.emplace_back([reply = std::move(reply), answer = std::move(on_reply)]
                        { answer(reply); });
    return result;
}

auto shard_host::reply_to(
    shard_entry& entry, state::partial_report const& report,
    core::time_point now) -> state::heartbeat_reply
{
    if (auto const complete = entry.reports.read(report, now))
    {
        return entry.engine->heartbeat(*complete, now);
    }
    auto reply = state::heartbeat_reply{};
    reply.shard = entry.shard;
    reply.full_report_requested = true;
    return reply;
}

// A reply with commands or a new epoch must not wait.
auto shard_host::hold_of(
    state::partial_report const& report,
    state::heartbeat_reply const& reply) const -> core::duration
{
    auto const may_wait = !reply.full_report_requested &&
                          reply.commands.empty() &&
                          reply.owner_epoch.value != 0 &&
                          reply.owner_epoch == report.highest_epoch;
    auto const wanted =
        core::duration{std::chrono::milliseconds{report.hold_ms}};
    return may_wait ? std::min(wanted, settings_.heartbeat_hold)
                    : core::duration{0};
}

// Returns the call that answers @p held with what is due now.
auto shard_host::end_hold(
    shard_entry& entry, held_reply held, core::time_point now)
    -> std::function<void()>
{
    auto reply =
        entry.engine->refresh_reply(held.worker, held.boot, held.sequence, now);
    if (!reply)
    {
        // Epoch 0 makes the worker refuse this reply.
        reply.emplace();
        reply->shard = entry.shard;
    }
    reply->next_heartbeat_ms = 0;
    return [reply = std::move(*reply), answer = std::move(held.answer)]
    {
        answer(reply);
    };
}

// Answers the heartbeats of workers with commands and those held long enough.
auto shard_host::end_holds(shard_entry& entry, core::time_point now)
    -> std::vector<std::function<void()>>
{
    auto result = std::vector<std::function<void()>>{};
    for (auto const& worker : entry.engine->take_due_workers())
    {
        auto held = entry.held.take(worker);
        if (!held)
        {
            continue;
        }
        auto const reply = entry.engine->refresh_reply(
            worker, held->boot, held->sequence, now);
        if (reply && reply->commands.empty())
        {
            entry.held.add(std::move(*held));
            continue;
        }
        result.push_back(end_hold(entry, std::move(*held), now));
    }
    for (auto& it : entry.held.take_ended(now))
    {
        result.push_back(end_hold(entry, std::move(it), now));
    }
    return result;
}

} // namespace godwitcleat::coordination
