/** @file ownership_base.hpp Which shards this instance owns. */
#ifndef GODWITCLEAT_COORDINATION_OWNERSHIP_BASE_HPP
#define GODWITCLEAT_COORDINATION_OWNERSHIP_BASE_HPP

#include "coordination/store_type.hpp"
#include "core/core.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace godwitcleat::coordination
{

/** What an instance may do with a shard. */
enum class ownership_state
{
    owned,       ///< All work.
    unconfirmed, ///< The store cannot be reached: start nothing, keep the rest.
    lost         ///< Not owned, or no longer: drop the shard.
};

/** Returns the fixed lower-case name of @p value. */
auto to_string(ownership_state value) -> std::string_view;

/** A process that owned a shard. */
struct shard_holder
{
    core::instance_id instance;
    std::string boot_id; ///< Tells processes of the instance apart.
    auto operator==(shard_holder const&) const -> bool = default;
};

/** One shard and this instance's part in it. */
struct shard_ownership
{
    core::shard_id shard;
    ownership_state state = ownership_state::lost;
    core::epoch owner_epoch;         ///< 0 if lost and never owned.
    std::int64_t epoch_revision = 0; ///< modify_revision of the epoch key.
    /** While owned: the latest process of each other instance that owned the
     *  shard before, newest first. One that lost the store only may still
     *  renew leases of workers. */
    std::vector<shard_holder> former;
    auto operator==(shard_ownership const&) const -> bool = default;
};

/** Times of ownership. Store calls must time out within `renew_interval`. */
struct ownership_settings
{
    std::uint32_t shard_count = 16;
    core::duration lease = std::chrono::seconds{6};
    double clock_rate_margin = 0.02; ///< Share taken off for clock rate drift.
    core::duration renew_interval = std::chrono::seconds{2};
    core::duration poll_interval = std::chrono::seconds{1};
    core::duration retry_interval = std::chrono::milliseconds{500};
    /** Without a renewal for this long, shards are unconfirmed. */
    core::duration unconfirmed_after = std::chrono::seconds{4};
    /** The n-th candidate takes a shard that had no owner for n times this. */
    core::duration candidate_delay = std::chrono::seconds{2};
    core::duration rebalance_interval = std::chrono::seconds{5};
    /** No hand-over to an instance that did not take a shard last time. */
    core::duration avoid_interval = std::chrono::seconds{60};
};

/** Hooks of ownership. Each may be empty. */
struct ownership_hooks
{
    /** Called for each change, in order and never by two threads at once. */
    std::function<void(shard_ownership const&)> on_change;
};

/**
 * Takes, keeps and hands over shards; see docs/design.md 5.2. All shards of
 * the instance share one store lease. Safety rests on the epoch alone: every
 * write of an owner compares it. Thread-safe.
 */
class ownership
{
public:
    /** @param boot_id tells this process from earlier ones of the instance. */
    ownership(
        store& platform, core::clock clock, core::logger const& log,
        core::instance_id instance, std::string boot_id,
        ownership_settings settings = {}, ownership_hooks hooks = {});
    ~ownership();
    ownership(ownership const&) = delete;
    auto operator=(ownership const&) -> ownership& = delete;

    /** Replaces the candidates; this instance is always one of them. */
    auto set_live(std::vector<core::instance_id> const& instances) -> void;

    /** Renews, polls, takes and drops what is due; call every 100 ms or so. */
    auto tick() -> void;

    /** Reports that @p seen was seen as an epoch of @p shard. */
    auto observe(core::shard_id shard, core::epoch seen) -> void;

    /** Gives up @p shard and deletes its owner key. */
    auto release(core::shard_id shard) -> void;

    /**
     * Gives up all shards and takes none any more. @p on_done is called when
     * the store has dropped the lease, or the lease has lapsed.
     */
    auto leave(std::function<void()> on_done) -> void;

    /** Returns the present state of @p shard; it follows the clock. */
    [[nodiscard]] auto find(core::shard_id shard) const -> shard_ownership;

    /** Returns all shards that are not lost. */
    [[nodiscard]] auto held() const -> std::vector<shard_ownership>;

    /** Returns the owner of each shard that had one at the last poll. */
    [[nodiscard]] auto owners() const
        -> std::map<core::shard_id, core::instance_id>;

    /** Returns false if the last completed store call was not answered. */
    [[nodiscard]] auto store_reachable() const -> bool;

private:
    struct implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace godwitcleat::coordination

#endif
