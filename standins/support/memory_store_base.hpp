/** @file memory_store_base.hpp In-process store with faults, for tests. */
#ifndef GODWITCLEAT_STANDINS_SUPPORT_MEMORY_STORE_BASE_HPP
#define GODWITCLEAT_STANDINS_SUPPORT_MEMORY_STORE_BASE_HPP

#include "coordination/coordination.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace godwitcleat::standins
{

/** Kinds of store calls. */
enum class store_call
{
    range,
    commit,
    grant,
    keep_alive,
    revoke
};

/** Returns the fixed lower-case name of @p call. */
auto to_string(store_call call) -> std::string_view;

/** What happens to one call. */
enum class store_fate
{
    answered,      ///< Done, and the reply arrives.
    refused,       ///< Not done; the caller sees unavailable.
    reply_lost,    ///< Done; the caller sees unknown_outcome.
    request_lost,  ///< Never done; the caller sees unknown_outcome.
    applied_later, ///< The caller sees unknown_outcome; apply_late() does it.
    late           ///< History only: a write that apply_late() carried out.
};

/** Returns the fixed lower-case name of @p fate. */
auto to_string(store_fate fate) -> std::string_view;

/** Faults that apply until they are changed; counters count down. */
struct store_faults
{
    bool down = false; ///< Every call is refused.
    bool slow = false; ///< Done at once; the handler waits for step().
    bool held = false; ///< The whole call waits for step().
    std::uint32_t lose_replies = 0;  ///< Of the next calls other than range.
    std::uint32_t lose_requests = 0; ///< The next calls other than range.
    std::uint32_t apply_later = 0;   ///< The next commits.
};

/** One call as the history shows it. */
struct store_history_entry
{
    store_call call = store_call::range;
    store_fate fate = store_fate::answered;
    core::time_point at;   ///< When the call took effect or was refused.
    std::string key;       ///< Of a range.
    std::string range_end; ///< Of a range.
    coordination::store_transaction transaction; ///< Of a commit.
    coordination::store_lease lease; ///< Of grant, keep_alive and revoke.
    bool succeeded = false;    ///< Commit: the compares held; else: no error.
    std::int64_t revision = 0; ///< Store revision afterwards.
};

/** One change of what is stored: writes, a new lease, or a lease's end. */
struct store_change
{
    std::int64_t revision = 0; ///< Store revision afterwards.
    std::vector<coordination::store_write> writes; ///< Of a transaction.
    coordination::store_lease granted;             ///< 0: none.
    core::duration time_to_live{};                 ///< Of the granted lease.
    coordination::store_lease ended; ///< Revoked or lapsed; 0: none.
};

/** Hooks of a memory store. Each may be empty. */
struct memory_store_hooks
{
    /** Called for each call; called with the store's lock held. */
    std::function<void(store_history_entry const&)> on_call;
    /** Chooses the fate of a call before the counters of store_faults do. */
    std::function<std::optional<store_fate>(store_call)> choose_fate;
    /**
     * Called with each change before it takes effect, with the store's lock
     * held. If it returns false, the call fails with unavailable.
     */
    std::function<bool(store_change const&)> on_change = {};
};

/**
 * Implements the store in memory. Handlers run on the caller's thread before
 * the call returns, unless a fault queues them. Leases lapse by the injected
 * clock, at the latest at the next call. Thread-safe.
 */
class memory_store : public coordination::store
{
public:
    explicit memory_store(core::clock clock, memory_store_hooks hooks = {});

    using coordination::store::range;
    auto range(
        coordination::store_query query,
        handler<coordination::store_range> on_done) -> void override;
    auto commit(
        coordination::store_transaction transaction,
        handler<coordination::store_commit> on_done) -> void override;
    auto grant(
        core::duration time_to_live, handler<coordination::store_lease> on_done)
        -> void override;
    auto keep_alive(
        coordination::store_lease lease,
        handler<coordination::store_lease> on_done) -> void override;
    auto revoke(
        coordination::store_lease lease,
        handler<coordination::store_lease> on_done) -> void override;

    /** Replaces the faults. */
    auto set_faults(store_faults faults) -> void;

    /** Runs the queued task @p index, 0 being the oldest; false if absent. */
    auto step(std::size_t index = 0) -> bool;

    /** Runs queued tasks until none is left; returns their number. */
    auto run_pending() -> std::size_t;

    /** Returns the number of queued tasks. */
    [[nodiscard]] auto pending() const -> std::size_t;

    /** Carries out the oldest write of fate applied_later; false if none. */
    auto apply_late() -> bool;

    /** Lets @p lease lapse now. */
    auto expire(coordination::store_lease lease) -> void;

    /** Lets the leases lapse that are due by the clock. */
    auto expire_due() -> void;

    /**
     * Repeats a change of an earlier store, without calling a hook. A lease
     * that it grants has its whole time again, counted from now.
     */
    auto restore(store_change const& change) -> void;

    /** Returns the number of calls of kind @p call so far. */
    [[nodiscard]] auto calls(store_call call) const -> std::uint64_t;

    /** Returns the entry of @p key without counting a call. */
    [[nodiscard]] auto peek(std::string const& key) const
        -> std::optional<coordination::store_entry>;

    /** Returns the number of keys without counting a call. */
    [[nodiscard]] auto size() const -> std::size_t;

private:
    struct stored
    {
        coordination::store_entry entry;
        coordination::store_lease lease;
    };
    struct lease_state
    {
        core::duration time_to_live;
        core::time_point end;
    };

    template <class Result>
    auto
    run(store_history_entry entry,
        std::function<std::optional<Result>(store_history_entry&)> effect,
        handler<Result> on_done) -> void;

    auto choose(store_call call) -> store_fate;
    auto queue_if(bool queued, std::function<void()> task) -> bool;
    auto record(store_history_entry const& entry) -> void;
    auto apply(coordination::store_transaction const& transaction)
        -> std::optional<coordination::store_commit>;
    auto test_writes(coordination::store_transaction const& transaction)
        -> bool;
    auto has_effect(coordination::store_write const& value) const -> bool;
    auto change(store_change const& value) -> bool;
    auto carry_out(store_change const& value) -> void;
    auto write(coordination::store_write const& value, std::int64_t revision)
        -> void;
    auto drop_lease(coordination::store_lease lease) -> bool;
    auto drop_due_leases() -> void;

    core::clock clock_;
    memory_store_hooks hooks_;
    mutable std::mutex mutex_;
    store_faults faults_;
    std::map<std::string, stored> entries_;
    std::map<coordination::store_lease, lease_state> leases_;
    std::int64_t revision_ = 1;
    std::uint64_t next_lease_ = 1;
    std::array<std::uint64_t, 5> calls_{};
    std::deque<std::function<void()>> queue_;
    std::deque<coordination::store_transaction> late_;
};

} // namespace godwitcleat::standins

#endif
