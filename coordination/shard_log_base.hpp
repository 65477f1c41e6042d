/** @file shard_log_base.hpp Recovery and writing of one shard's log. */
#ifndef GODWITCLEAT_COORDINATION_SHARD_LOG_BASE_HPP
#define GODWITCLEAT_COORDINATION_SHARD_LOG_BASE_HPP

#include "coordination/store_type.hpp"
#include "core/core.hpp"
#include "protocol/protocol.hpp"
#include "state/state.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace godwitcleat::coordination
{

/** Codecs of log entries and snapshots. None may be empty. */
struct shard_log_codec
{
    std::function<std::string(state::record_batch const&)> encode_batch;
    std::function<std::optional<state::record_batch>(std::string_view)>
        decode_batch;
    std::function<std::string(protocol::shard_snapshot const&)> encode_snapshot;
    std::function<std::optional<protocol::shard_snapshot>(std::string_view)>
        decode_snapshot;
};

/** Returns the msgpack codecs of the protocol library. */
auto msgpack_shard_log_codec() -> shard_log_codec;

/** Limits and times of a shard log. */
struct shard_log_settings
{
    std::uint32_t snapshot_batches = 256; ///< A snapshot is due after these.
    /** The same while the shard may be full, to notice ended jobs sooner. */
    std::uint32_t full_snapshot_batches = 32;
    std::size_t value_limit_bytes = 1024UL * 1024; ///< Of the store's values.
    std::size_t full_bytes =
        768UL * 1024;               ///< Submits are refused from here on.
    std::int64_t page_entries = 64; ///< Log entries of one read.
    core::duration retry_interval = std::chrono::milliseconds{200};
};

/** How an append or a snapshot ended, for certain. */
enum class log_outcome
{
    committed,
    config_changed, ///< Not written: `config/head` has another revision.
    /**
     * The epoch has changed; the shard must be dropped. If a reply was lost
     * before, the next owner may have found the batch in the log.
     */
    epoch_changed,
    too_large ///< Not written: the snapshot exceeds the value limit.
};

/** Result of an append or a snapshot. */
struct log_result
{
    log_outcome outcome = log_outcome::committed;
    /** No later than the sending of the transaction that took effect. */
    core::time_point sent_at;
};

/** What a new owner replays: the snapshot, then the batches in order. */
struct recovered_log
{
    state::shard_data data;
    std::vector<state::record_batch> batches;
};

/**
 * Reads and writes the log of one shard for one epoch; see docs/design.md 5.3.
 * At most one append or snapshot is in flight. It is repeated until its outcome
 * is certain, also across outages of the store. Thread-safe. Handlers run on
 * threads of the store; none is called after the destructor has returned,
 * except one that had already begun.
 */
class shard_log
{
public:
    using done = std::function<void(log_result)>;

    /** @param epoch_revision modify_revision of the epoch key that this owner
     *  wrote; every write compares it. */
    shard_log(
        store& platform, core::clock clock, core::logger const& log,
        core::shard_id shard, std::int64_t epoch_revision,
        shard_log_codec codec, shard_log_settings settings = {});
    ~shard_log();
    shard_log(shard_log&&) noexcept;
    auto operator=(shard_log&&) noexcept -> shard_log&;

    /**
     * Loads snapshot and log. Must succeed once before the first append.
     * Without a result the handler finds unavailable (call again),
     * stale_epoch, or protocol if the log is damaged.
     */
    auto recover(store::handler<recovered_log> on_done) -> void;

    /**
     * Appends @p batch.
     * @param config_revision also compare the modify_revision of
     *        `config/head`.
     * @return std::nullopt, without calling @p on_done, with conflict if a
     *         write is in flight or recover() has not succeeded, or with
     *         invalid_input if the batch exceeds the value limit.
     */
    auto append(
        state::record_batch const& batch,
        std::optional<std::int64_t> config_revision, done on_done)
        -> std::optional<bool>;

    /** Returns true if write_snapshot() should be called. */
    [[nodiscard]] auto snapshot_due() const -> bool;

    /**
     * Writes @p data, the state after all committed batches, and deletes the
     * log keys that it covers. Returns std::nullopt as append() does.
     */
    auto write_snapshot(state::shard_data const& data, done on_done)
        -> std::optional<bool>;

    /** Returns an upper bound of the snapshot's present size in bytes. */
    [[nodiscard]] auto size_bytes() const -> std::size_t;

    /** Returns true if submits must be refused: size from full_bytes on. */
    [[nodiscard]] auto full() const -> bool;

    /** Returns true while an append or a snapshot is in flight. */
    [[nodiscard]] auto busy() const -> bool;

    /** Repeats a failed call when it is due; call every 50 ms or so. */
    auto tick() -> void;

private:
    struct implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace godwitcleat::coordination

#endif
