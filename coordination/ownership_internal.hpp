/** @file ownership_internal.hpp Members of ownership, private to the library.
 */
#ifndef GODWITCLEAT_COORDINATION_OWNERSHIP_INTERNAL_HPP
#define GODWITCLEAT_COORDINATION_OWNERSHIP_INTERNAL_HPP

#include "coordination/guarded_internal.hpp"
#include "coordination/key_func.hpp"
#include "coordination/ordered_hook_internal.hpp"
#include "coordination/ownership_base.hpp"
#include "coordination/range_cache_base.hpp"
#include "coordination/store_type.hpp"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace godwitcleat::coordination
{

/** A shard that this instance holds. Owner and epoch key were put by one
 *  transaction, so both have the same modify_revision. */
struct held_shard
{
    core::epoch owner_epoch;
    std::int64_t revision = 0;
    ownership_state announced = ownership_state::owned;
};

/** The keys of one shard as the last poll returned them. */
struct polled_shard
{
    std::optional<store_entry> owner;
    core::epoch owner_epoch;
    std::int64_t epoch_revision = 0;
    std::vector<shard_holder> holders; ///< Owner of the epoch, then former.
};

// Bounds the epoch key's value; more instances than this never share a shard.
constexpr std::size_t most_holders = 32;

using polled_shards = std::map<core::shard_id, polled_shard>;

/** Returns line @p line of @p text, counted from 0; empty if there is none. */
auto text_of_line(std::string_view text, std::size_t line) -> std::string_view;

/** Returns the instance named in an owner key. */
auto instance_of(store_entry const& owner) -> core::instance_id;

/** Returns the value of an epoch key: the epoch, then a line
 *  `INSTANCE BOOT` for each holder. */
auto epoch_value(
    core::epoch owner_epoch, std::vector<shard_holder> const& holders)
    -> std::string;

/** Returns the holders after @p next takes over. */
auto succeeded_by(shard_holder next, std::vector<shard_holder> holders)
    -> std::vector<shard_holder>;

/** Returns all holders but the present one. */
auto former_of(std::vector<shard_holder> holders) -> std::vector<shard_holder>;

/** Adds a key of the ownership range to the shard that it belongs to. */
auto add_entry(polled_shards& shards, store_entry entry) -> void;

struct ownership::implementation
    : public guarded_base<ownership::implementation>
{
    implementation(
        store& platform, core::clock clock, core::logger const& log,
        core::instance_id instance, std::string boot_id,
        ownership_settings settings, ownership_hooks hooks)
        : platform(platform)
        , clock(std::move(clock))
        , log(log.with_prefix("shard"))
        , instance(std::move(instance))
        , boot_id(std::move(boot_id))
        , settings(settings)
        , changes(std::move(hooks.on_change))
        , keys(ownership_prefix(), prefix_end(ownership_prefix()))
        , live{this->instance.value}
    {
    }

    /** Notes whether the store answered; call with the handler's result. */
    auto note_answer(bool has_result, bool is_renewal = false) -> void;
    auto identity(store_lease lease) const -> std::string;
    auto state_now(core::time_point now) const -> ownership_state;
    auto lease_length() const -> core::duration;
    auto rank_of(core::shard_id shard) const -> std::size_t;
    auto proposed(core::shard_id shard) const -> core::instance_id;

    auto hold(
        core::shard_id shard, held_shard value,
        std::vector<shard_holder> const& holders) -> void;
    auto lose(core::shard_id shard, std::string_view cause) -> void;
    auto lose_all(std::string_view cause) -> void;
    auto announce(core::time_point now) -> void;

    auto grant() -> void;
    auto renew(store_lease lease) -> void;
    auto poll() -> void;
    auto on_poll(store_range const& found) -> void;
    auto check_held(
        core::shard_id shard, polled_shard const& it, std::int64_t revision)
        -> void;
    auto check_own_key(core::shard_id shard, polled_shard const& it) -> void;
    auto check_absent(core::shard_id shard, polled_shard const& it) -> void;
    auto rebalance(polled_shards const& shards) -> void;
    auto take(core::shard_id shard, polled_shard const& it) -> void;
    auto on_taken(
        core::shard_id shard, core::epoch owner_epoch, store_lease lease,
        std::vector<shard_holder> const& holders,
        std::optional<store_commit> result) -> void;
    auto delete_owner_key(core::shard_id shard, std::int64_t revision) -> void;
    auto finish_leaving() -> void;
    auto run_actions() -> void;

    store& platform;
    core::clock clock;
    core::logger log;
    core::instance_id instance;
    std::string boot_id;
    ownership_settings settings;
    ordered_hook<shard_ownership> changes;

    mutable std::mutex mutex;
    range_cache keys;
    std::vector<std::string> live; ///< Sorted.
    std::map<core::shard_id, held_shard> held;
    std::map<core::shard_id, core::instance_id> owners;
    /** Owner keys up to this revision are given up and must be deleted. */
    std::map<core::shard_id, std::int64_t> given_up;
    std::map<core::shard_id, core::time_point> absent_since;
    std::map<core::shard_id, core::instance_id> handed_to;
    std::map<core::instance_id, core::time_point> avoid_until;
    std::set<core::shard_id> taking;
    /** Store calls to make once the lock is released. */
    std::vector<std::function<void()>> actions;
    std::optional<store_lease> current_lease;
    core::time_point renewed_at; ///< Sending of the last good renewal.
    core::time_point next_renew;
    core::time_point next_grant;
    core::time_point next_poll;
    core::time_point next_rebalance;
    bool renewing = false;
    bool granting = false;
    bool polling = false;
    bool reachable = true;
    bool leaving = false;
    bool revoking = false;
    std::function<void()> on_left;
};

} // namespace godwitcleat::coordination

#endif
