/** @file shard_log_internal.hpp State of one shard's log. */
#ifndef GODWITCLEAT_COORDINATION_SHARD_LOG_INTERNAL_HPP
#define GODWITCLEAT_COORDINATION_SHARD_LOG_INTERNAL_HPP

#include "coordination/guarded_internal.hpp"
#include "coordination/shard_log_base.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

namespace godwitcleat::coordination
{

/** An append or a snapshot until its outcome is certain. */
struct log_operation
{
    store_transaction transaction;
    std::string key;                  ///< The key that tells the outcome.
    std::int64_t former_revision = 0; ///< Of that key before the write.
    std::function<bool(std::string const&)> is_ours; ///< Tests its value.
    std::optional<std::int64_t> config_revision;
    std::size_t bytes = 0;
    bool is_snapshot = false;
    shard_log::done on_done;
    core::time_point sent_at;
    std::optional<core::time_point> unknown_since; ///< First unknown sending.
    std::optional<core::time_point> retry_at;
};

using log_operation_pointer = std::shared_ptr<log_operation>;

/** A recovery that is reading. */
struct log_recovery
{
    recovered_log result;
    core::log_index applied;
    std::int64_t snapshot_revision = 0;
    std::size_t snapshot_bytes = 0;
    std::size_t batch_bytes = 0;
    bool complete = true; ///< No log entry is missing.
    store::handler<recovered_log> on_done;
};

using log_recovery_pointer = std::shared_ptr<log_recovery>;

/** Returns the entry of a range that names one key, or null. */
inline auto single(std::optional<store_range> const& found)
    -> store_entry const*
{
    return found && !found->entries.empty() ? &found->entries.front() : nullptr;
}

/** Returns the revision of that entry, 0 if it is absent. */
inline auto revision_of(std::optional<store_range> const& found) -> std::int64_t
{
    auto const* const entry = single(found);
    return entry == nullptr ? 0 : entry->modify_revision;
}

struct shard_log::implementation
    : public guarded_base<shard_log::implementation>
{
    implementation(
        store& platform, core::clock clock, core::logger const& log,
        core::shard_id shard, std::int64_t epoch_revision,
        shard_log_codec codec, shard_log_settings settings)
        : platform(platform)
        , clock(std::move(clock))
        , log(log.with_prefix("shard"))
        , shard(shard)
        , epoch_revision(epoch_revision)
        , codec(std::move(codec))
        , settings(settings)
        , page_entries(settings.page_entries)
    {
    }

    auto read_snapshot(log_recovery_pointer const& it) -> void;
    auto read_page(log_recovery_pointer const& it) -> void;
    auto take_page(log_recovery_pointer const& it, store_range const& page)
        -> bool;
    auto check_epoch(log_recovery_pointer const& it) -> void;
    auto finish_recovery(log_recovery_pointer const& it) -> void;

    auto start(log_operation_pointer const& it) -> std::optional<bool>;
    auto send(log_operation_pointer const& it) -> void;
    auto on_commit(
        log_operation_pointer const& it, std::optional<store_commit> result)
        -> void;
    /** Reads @p key; retries the operation if the store does not answer. */
    auto read_or_retry(
        std::string key, log_operation_pointer const& it,
        std::function<void(implementation&, std::optional<store_range> const&)>
            on_read) -> void;
    auto read_key(log_operation_pointer const& it) -> void;
    auto find_cause(log_operation_pointer const& it) -> void;
    auto find_config_cause(log_operation_pointer const& it) -> void;
    auto
    settle(log_operation_pointer const& it, std::optional<log_outcome> cause)
        -> void;
    auto retry(log_operation_pointer const& it) -> void;
    auto committed(
        log_operation_pointer const& it, core::time_point sent_at,
        std::int64_t revision) -> void;
    auto finish(log_operation_pointer const& it, log_result result) -> void;
    auto size_locked() const -> std::size_t
    {
        return snapshot_bytes + batch_bytes;
    }

    store& platform;
    core::clock clock;
    core::logger log;
    core::shard_id shard;
    std::int64_t epoch_revision;
    shard_log_codec codec;
    shard_log_settings settings;

    std::mutex mutex;
    std::int64_t page_entries;
    bool recovered = false;
    core::log_index applied;
    std::int64_t snapshot_revision = 0;
    std::size_t snapshot_bytes = 0;
    std::size_t batch_bytes = 0;
    std::uint64_t batches = 0;           ///< Since the last written snapshot.
    std::uint64_t batches_since_try = 0; ///< Or since a too large one.
    log_operation_pointer current;
};

} // namespace godwitcleat::coordination

#endif
