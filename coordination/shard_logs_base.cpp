/** @file shard_logs_base.cpp The logs of all shards that this instance owns. */
#include "coordination/shard_logs_base.hpp"

#include <fmt/format.h>

#include <utility>
#include <vector>

namespace godwitcleat::coordination
{

namespace
{

// Replays the log; a record that fails its test means a damaged log.
auto replay(core::shard_id shard, recovered_log recovered)
    -> std::optional<state::shard_state>
{
    auto result = state::shard_state{shard, std::move(recovered.data)};
    for (auto const& batch : recovered.batches)
    {
        for (auto const& it : batch.records)
        {
            if (!result.apply(it))
            {
                return core::fail(
                    core::error_kind::protocol,
                    fmt::format(
                        "log of shard {} is damaged: {}; restore the keys of "
                        "the shard from the platform's backup",
                        shard.value, core::last_reason().message));
            }
        }
    }
    return result;
}

auto to_append_result(log_outcome outcome) -> append_result
{
    switch (outcome)
    {
    case log_outcome::committed: return append_result::committed;
    case log_outcome::epoch_changed: return append_result::not_owner;
    case log_outcome::config_changed:
    case log_outcome::too_large: return append_result::config_changed;
    }
    return append_result::not_owner;
}

} // namespace

shard_logs::shard_logs(
    store& platform, config_follower& config, core::clock now, core::logger log)
    : platform_(platform)
    , config_(config)
    , now_(std::move(now))
    , log_(std::move(log))
{
}

auto shard_logs::find(core::shard_id shard) const -> log_pointer
{
    auto const lock = std::scoped_lock{mutex_};
    auto const it = logs_.find(shard);
    return it == logs_.end() ? nullptr : it->second;
}

auto shard_logs::open(core::shard_id shard, std::int64_t epoch_revision) -> void
{
    auto log = std::make_shared<shard_log>(
        platform_, now_, log_, shard, epoch_revision,
        msgpack_shard_log_codec());
    auto const lock = std::scoped_lock{mutex_};
    logs_[shard] = std::move(log);
}

auto shard_logs::close(core::shard_id shard) -> void
{
    auto closed = log_pointer{};
    auto const lock = std::scoped_lock{mutex_};
    waiting_.erase(shard);
    if (auto const it = logs_.find(shard); it != logs_.end())
    {
        closed = std::move(it->second);
        logs_.erase(it);
    }
}

auto shard_logs::load(core::shard_id shard, loaded on_done) -> void
{
    auto const log = find(shard);
    if (!log)
    {
        core::fail(
            core::error_kind::not_owner,
            "the shard's log is not open; the shard was lost meanwhile");
        on_done(std::nullopt);
        return;
    }
    recover(shard, log, std::move(on_done));
}

auto shard_logs::recover(
    core::shard_id shard, log_pointer const& log, loaded on_done) -> void
{
    log->recover(
        [this, shard,
         on_done = std::move(on_done)](std::optional<recovered_log> recovered)
        {
            if (recovered)
            {
                on_done(replay(shard, std::move(*recovered)));
                return;
            }
            if (core::last_reason().kind != core::error_kind::unavailable)
            {
                on_done(std::nullopt);
                return;
            }
            auto const lock = std::scoped_lock{mutex_};
            if (logs_.contains(shard))
            {
                waiting_[shard] = on_done;
            }
        });
}

auto shard_logs::append(
    core::shard_id shard, state::record_batch const& batch,
    std::optional<core::generation> number, done const& on_done) -> void
{
    auto const log = find(shard);
    if (!log)
    {
        on_done(append_result::not_owner);
        return;
    }
    auto revision = std::optional<std::int64_t>{};
    if (number)
    {
        auto const view = config_.current();
        if (view.document->number != *number || !view.head_revision)
        {
            on_done(append_result::config_changed);
            return;
        }
        revision = view.head_revision;
    }
    auto const finish = [on_done](log_result const& result)
    {
        on_done(to_append_result(result.outcome));
    };
    if (!log->append(batch, revision, finish))
    {
        log_.error(
            "Batch was refused.",
            {{"shard", shard.value}, {"reason", core::last_reason().message}});
        on_done(append_result::config_changed);
    }
}

auto shard_logs::write_snapshot(
    core::shard_id shard, state::shard_data const& data, done const& on_done)
    -> void
{
    auto const log = find(shard);
    if (!log)
    {
        on_done(append_result::not_owner);
        return;
    }
    auto const finish = [on_done](log_result const& result)
    {
        on_done(to_append_result(result.outcome));
    };
    if (!log->write_snapshot(data, finish))
    {
        log_.warn(
            "Snapshot was refused.",
            {{"shard", shard.value}, {"reason", core::last_reason().message}});
        on_done(append_result::config_changed);
    }
}

auto shard_logs::snapshot_due(core::shard_id shard) const -> bool
{
    auto const log = find(shard);
    return log && log->snapshot_due();
}

auto shard_logs::full(core::shard_id shard) const -> bool
{
    auto const log = find(shard);
    return log && log->full();
}

auto shard_logs::tick() -> void
{
    auto logs = std::map<core::shard_id, log_pointer>{};
    auto waiting = std::map<core::shard_id, loaded>{};
    {
        auto const lock = std::scoped_lock{mutex_};
        logs = logs_;
        waiting = std::exchange(waiting_, {});
    }
    for (auto const& [shard, log] : logs)
    {
        log->tick();
    }
    for (auto& [shard, on_done] : waiting)
    {
        load(shard, std::move(on_done));
    }
}

} // namespace godwitcleat::coordination
