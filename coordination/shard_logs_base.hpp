/** @file shard_logs_base.hpp The logs of all shards that this instance owns. */
#ifndef GODWITCLEAT_COORDINATION_SHARD_LOGS_BASE_HPP
#define GODWITCLEAT_COORDINATION_SHARD_LOGS_BASE_HPP

#include "coordination/config_follower_base.hpp"
#include "coordination/shard_host_base.hpp"
#include "coordination/shard_log_base.hpp"
#include "coordination/store_type.hpp"
#include "core/core.hpp"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

namespace godwitcleat::coordination
{

/** Opens, reads and writes shard logs for a shard_host. Thread-safe. */
class shard_logs
{
public:
    /** Gets the recovered state, or std::nullopt with core::last_reason(). */
    using loaded = std::function<void(std::optional<state::shard_state>)>;
    using done = std::function<void(append_result)>;

    shard_logs(
        store& platform, config_follower& config, core::clock now,
        core::logger log);

    /** Opens the log of a shard that was taken over. */
    auto open(core::shard_id shard, std::int64_t epoch_revision) -> void;

    /** Closes the log; waiting calls are never answered. */
    auto close(core::shard_id shard) -> void;

    /** Reads snapshot and log; repeated while the store is unavailable. */
    auto load(core::shard_id shard, loaded on_done) -> void;

    /** Appends @p batch; with a generation, only while it is in force. */
    auto append(
        core::shard_id shard, state::record_batch const& batch,
        std::optional<core::generation> number, done const& on_done) -> void;

    /** Writes a snapshot and deletes the log entries that it covers. */
    auto write_snapshot(
        core::shard_id shard, state::shard_data const& data,
        done const& on_done) -> void;

    [[nodiscard]] auto snapshot_due(core::shard_id shard) const -> bool;
    [[nodiscard]] auto full(core::shard_id shard) const -> bool;

    /** Repeats failed calls; call it each tick. */
    auto tick() -> void;

private:
    using log_pointer = std::shared_ptr<shard_log>;

    [[nodiscard]] auto find(core::shard_id shard) const -> log_pointer;
    auto recover(core::shard_id shard, log_pointer const& log, loaded on_done)
        -> void;

    store& platform_;
    config_follower& config_;
    core::clock now_;
    core::logger log_;
    mutable std::mutex mutex_;
    std::map<core::shard_id, log_pointer> logs_;
    std::map<core::shard_id, loaded> waiting_; ///< Loads to repeat.
};

} // namespace godwitcleat::coordination

#endif
