/** @file shard_host_base.hpp The shards that this instance owns. */
#ifndef GODWITCLEAT_COORDINATION_SHARD_HOST_BASE_HPP
#define GODWITCLEAT_COORDINATION_SHARD_HOST_BASE_HPP

#include "coordination/held_replies_base.hpp"
#include "core/core.hpp"
#include "protocol/protocol.hpp"
#include "state/state.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace godwitcleat::coordination
{

/** Result of appending a batch to a shard's log. */
enum class append_result
{
    committed,      ///< The batch is in the log.
    config_changed, ///< Certainly not: the configuration has a new generation.
    not_owner       ///< Certainly not: the shard has another owner.
};

/** Hooks of a shard_host. Handlers may be called on any thread. */
struct shard_host_hooks
{
    /** Reads snapshot and log; std::nullopt with core::last_reason(). */
    std::function<void(
        core::shard_id, core::epoch,
        std::function<void(std::optional<state::shard_state>)>)>
        load;

    /**
     * Appends a batch; answers once the outcome is certain. With a
     * generation, only if that is still the configuration in force.
     */
    std::function<void(
        core::shard_id, core::epoch, state::record_batch,
        std::optional<core::generation>, std::function<void(append_result)>)>
        append;

    /** Returns true if the shard's log is long enough for a snapshot. */
    std::function<bool(core::shard_id)> snapshot_due;

    /** Writes a snapshot; only called while no batch is being appended. */
    std::function<void(
        core::shard_id, state::shard_data const&,
        std::function<void(append_result)>)>
        write_snapshot;

    /** Returns true if the shard is too large to take more jobs. */
    std::function<bool(core::shard_id)> full;

    /** Sends a request to the owner of another shard. */
    std::function<void(
        state::shard_request,
        std::function<void(std::optional<state::shard_reply>)>)>
        send;

    /** Returns true once the former owner surely renews no lease. */
    std::function<bool(core::shard_id, core::epoch)> former_owner_stopped;

    /** Tells that a commit found another owner. */
    std::function<void(core::shard_id)> on_lost;

    std::function<state::config_pointer()> config;
    std::function<std::vector<state::shard_summary>()> other_summaries;
    std::function<void(core::timeline_event)> on_event;
    std::function<void(std::function<void()>)> post; ///< Runs it soon.
    core::clock now;
};

/** Settings of a shard_host. */
struct shard_host_settings
{
    state::engine_settings engine;
    core::duration batch_interval = std::chrono::milliseconds{64};
    /// How long the reply to a heartbeat is held open at most. A start in it is
    /// valid for 2 s from the sending of the heartbeat, so half of that is
    /// left.
    core::duration heartbeat_hold = std::chrono::seconds{1};
    state::engine_faults faults; ///< For tests only.
};

/**
 * Runs the engines of the shards that this instance owns: ticks them, commits
 * their batches and carries their requests. Each shard has its own lock.
 * Thread-safe.
 */
class shard_host
{
public:
    using done = state::shard_engine::commit_callback;
    using answer = state::shard_engine::reply_callback;

    shard_host(
        shard_host_settings settings, shard_host_hooks hooks,
        core::logger const& log);
    ~shard_host();
    shard_host(shard_host const&) = delete;
    auto operator=(shard_host const&) -> shard_host& = delete;

    /** Starts to own @p shard: loads its state, then serves it. */
    auto acquire(core::shard_id shard, core::epoch owner_epoch) -> void;

    /** Stops to own @p shard at once; waiting submits fail. */
    auto release(core::shard_id shard) -> void;

    /** Stops to own @p shard if it is owned with a lower epoch. */
    auto release_below(core::shard_id shard, core::epoch owner_epoch) -> void;

    /** Advances all shards; call it each tick. */
    auto tick() -> void;

    /**
     * Answers a heartbeat, or fails with not_owner. The answer is held as long
     * as the report allows, at most for `heartbeat_hold`, until a command for
     * the worker is due, its next heartbeat arrives or the shard is released.
     */
    auto
    heartbeat(state::partial_report const& report, heartbeat_answer on_reply)
        -> void;

    /** Fails with not_owner if the job's home shard is not owned here. */
    auto submit(state::job_spec spec, done on_done) -> void;
    auto cancel(core::job_id const& id, std::string reason, done on_done)
        -> void;

    /** Handles a request of another shard's owner. */
    auto handle(state::shard_request const& request, answer on_answer) -> void;

    /** Returns true if @p shard is owned and its state has been loaded. */
    [[nodiscard]] auto serves(core::shard_id shard) const -> bool;

    [[nodiscard]] auto owned() const -> std::vector<protocol::owned_shard>;
    [[nodiscard]] auto jobs(std::optional<core::job_id> const& wanted) const
        -> std::vector<state::job>;

    /**
     * Returns job @p id of its home shard, or nothing if the shard has no such
     * job; std::nullopt with not_owner if this instance does not serve it.
     */
    [[nodiscard]] auto find_job(core::job_id const& id) const
        -> std::optional<std::vector<state::job>>;
    [[nodiscard]] auto workers() const -> std::vector<state::worker_view>;
    [[nodiscard]] auto summaries() const -> std::vector<state::shard_summary>;
    /** Returns the endpoint tables of the own shards that @p wanted accepts. */
    [[nodiscard]] auto
    tables(std::function<bool(protocol::endpoint_table const&)> const& wanted)
        const -> std::vector<protocol::endpoint_table>;

private:
    struct shard_entry;
    using entry_pointer = std::shared_ptr<shard_entry>;

    [[nodiscard]] auto find(core::shard_id shard) const -> entry_pointer;
    [[nodiscard]] auto entries() const -> std::vector<entry_pointer>;
    auto loaded(entry_pointer const& entry, state::shard_state state) -> void;
    auto tick_entry(
        entry_pointer const& entry,
        std::vector<state::shard_summary> const& summaries) -> void;
    auto send_requests(
        entry_pointer const& entry, std::vector<state::shard_request> requests)
        -> void;
    auto
    send_batch(entry_pointer const& entry, state::commit_batch const& batch)
        -> void;
    auto
    start_snapshot(entry_pointer const& entry, state::shard_data const& data)
        -> void;
    auto lost(entry_pointer const& entry) -> void;
    auto batch_done(
        entry_pointer const& entry, append_result result,
        core::time_point sent_at) -> void;
    auto refresh_table(shard_entry& entry) -> void;
    auto take_heartbeat(
        shard_entry& entry, state::partial_report const& report,
        heartbeat_answer on_reply) -> std::vector<std::function<void()>>;
    auto reply_to(
        shard_entry& entry, state::partial_report const& report,
        core::time_point now) -> state::heartbeat_reply;
    [[nodiscard]] auto hold_of(
        state::partial_report const& report,
        state::heartbeat_reply const& reply) const -> core::duration;
    static auto
    end_hold(shard_entry& entry, held_reply held, core::time_point now)
        -> std::function<void()>;
    static auto end_holds(shard_entry& entry, core::time_point now)
        -> std::vector<std::function<void()>>;

    shard_host_settings settings_;
    shard_host_hooks hooks_;
    core::logger log_;
    mutable std::mutex mutex_; ///< Guards the map, not the entries.
    std::map<core::shard_id, entry_pointer> entries_;
};

} // namespace godwitcleat::coordination

#endif
