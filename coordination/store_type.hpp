/** @file store_type.hpp The platform's key-value store as an interface. */
#ifndef GODWITCLEAT_COORDINATION_STORE_TYPE_HPP
#define GODWITCLEAT_COORDINATION_STORE_TYPE_HPP

#include "core/core.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace godwitcleat::coordination
{

/** A lease of the store; 0 is none. */
using store_lease = core::number_id<struct store_lease_tag>;

/** A key with its value. */
struct store_entry
{
    std::string key;
    std::string value;
    std::int64_t create_revision = 0; ///< Store revision of its creation.
    std::int64_t modify_revision = 0; ///< Store revision of its last put.
    /** False: the answer holds no bytes of the value, which is empty. Only in
     * ranges and changes. */
    bool readable = true;
};

/** A condition of a transaction. */
struct store_compare
{
    std::string key;
    std::int64_t modify_revision = 0; ///< 0: the key must be absent.
};

/** A write of a transaction. */
struct store_write
{
    std::string key;
    std::optional<std::string> value; ///< std::nullopt: delete the key.
    std::string range_end; ///< With delete: all keys from key to before it.
    store_lease lease;     ///< The key vanishes with this lease.
};

/** All compares hold, then all writes are done, atomically. */
struct store_transaction
{
    std::vector<store_compare> compares;
    std::vector<store_write> writes;
};

/** Result of a transaction that was carried out. */
struct store_commit
{
    bool succeeded = false;    ///< False: a compare failed, nothing written.
    std::int64_t revision = 0; ///< Store revision after it.
};

/** Which keys to read. */
struct store_query
{
    std::string key;
    std::string range_end;          ///< Empty: @p key alone.
    std::int64_t limit = 0;         ///< Most entries; 0: all.
    std::int64_t changed_after = 0; ///< Only entries of later revisions.
};

/** Keys of a range, sorted. */
struct store_range
{
    std::vector<store_entry> entries;
    std::int64_t revision = 0;
    std::int64_t count = 0; ///< Keys of the whole range, unchanged ones too.
    bool more = false;      ///< The limit cut the range.
};

/** What has changed under a prefix since a revision. */
struct store_changes
{
    std::vector<store_entry> written;
    std::vector<std::string> removed;
    std::int64_t revision = 0; ///< Watch on from here.
    /** The store may have left out changes after `revision`. */
    bool may_be_incomplete = false;
};

/**
 * The platform's store. Calls return at once; the handler is called exactly
 * once on some thread. Without a result it finds core::last_reason():
 * unavailable (certainly not done) or unknown_outcome (may be done, now or
 * later). Implementations are thread-safe.
 */
class store
{
public:
    template <class Result>
    using handler = std::function<void(std::optional<Result>)>;

    store() = default;
    store(store const&) = delete;
    auto operator=(store const&) -> store& = delete;
    virtual ~store() = default;

    /** Reads keys. */
    virtual auto range(store_query query, handler<store_range> on_done)
        -> void = 0;

    /** Reads the keys from @p key to before @p range_end, or @p key alone. */
    auto range(
        std::string key, std::string range_end, std::int64_t limit,
        handler<store_range> on_done) -> void
    {
        range(
            {std::move(key), std::move(range_end), limit, 0},
            std::move(on_done));
    }

    /** Carries out @p transaction. */
    virtual auto
    commit(store_transaction transaction, handler<store_commit> on_done)
        -> void = 0;

    /**
     * Waits up to @p wait for changes under @p prefix above revision @p after.
     * Fails with not_found if the store has dropped that history; the range
     * must then be read again.
     */
    virtual auto watch(
        std::string prefix, std::int64_t after, core::duration wait,
        handler<store_changes> on_done) -> void;

    /**
     * Returns a time by which the store had reached @p revision, as early a one
     * as its answers to this instance have shown; unset if none has.
     */
    [[nodiscard]] virtual auto reached_by(std::int64_t revision) const
        -> std::optional<core::time_point>;

    /** Grants a lease of @p time_to_live, rounded up to the store's unit. */
    virtual auto
    grant(core::duration time_to_live, handler<store_lease> on_done)
        -> void = 0;

    /** Renews @p lease; not_found if it has lapsed. */
    virtual auto keep_alive(store_lease lease, handler<store_lease> on_done)
        -> void = 0;

    /** Ends @p lease and deletes its keys. */
    virtual auto revoke(store_lease lease, handler<store_lease> on_done)
        -> void = 0;
};

/** Returns the first key after all keys that start with @p prefix. */
auto prefix_end(std::string prefix) -> std::string;

} // namespace godwitcleat::coordination

#endif
