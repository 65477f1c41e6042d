/** @file term_base.hpp Which instance owns the jobs, and its writes. */
#ifndef GODWITCLEAT_COORDINATION_TERM_BASE_HPP
#define GODWITCLEAT_COORDINATION_TERM_BASE_HPP

#include "coordination/store_type.hpp"
#include "coordination/term_policy_func.hpp"
#include "core/core.hpp"
#include "protocol/protocol.hpp"
#include "transport/transport.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace godwitcleat::coordination
{

/** Times of ownership. */
struct term_settings
{
    /** Store lease of the owner. Shorter: faster take-over; longer: starts go
     *  on through a longer outage of the store. */
    core::duration lease = std::chrono::milliseconds{3000};
    /** Taken off the lease, for the way to the store and clock drift. */
    core::duration margin = std::chrono::milliseconds{250};
    core::duration renew_interval = std::chrono::milliseconds{600};
    /** Leases of workers end at most this long after the last write. */
    core::duration lease_after_write = std::chrono::milliseconds{8400};
    core::duration retry_interval = std::chrono::milliseconds{150};
    /** An unanswered write is sent again after this. */
    core::duration write_retry = std::chrono::milliseconds{60};
    term_preference preference;
};

/** Outcome of a fenced write. */
enum class write_result
{
    stored,     ///< Stored exactly once.
    not_stored, ///< Certainly not stored; may be tried again.
    lost        ///< A later term has begun; not stored from now on.
};

/** Hooks of a term. Called on threads of the store, without locks. */
struct term_hooks
{
    /** This instance owns the jobs from now on, until on_lost. All writes of
     *  former owners were carried out before @p last_write_by; unset if their
     *  leases may last longer than term_settings::lease_after_write. */
    std::function<void(
        core::epoch, std::optional<core::time_point> last_write_by)>
        on_acquired;
    /** Another instance may own the jobs now. */
    std::function<void(std::string_view cause)> on_lost;
};

/**
 * Takes and keeps the ownership of the jobs. The owner key carries a lease of
 * the store and names the owner to the other instances. The term key carries
 * the number of the term and of the owner's last write: each write requires the
 * term key to be unchanged and replaces it, so that a write that the store
 * carries out late, or one of a former owner, has no effect. An instance with
 * far more processors than the owner asks for the jobs by the candidate key,
 * and the owner hands them over. Thread-safe.
 */
class term_keeper
{
public:
    term_keeper(
        store& target, transport::reactor& loop, core::clock clock,
        core::logger log, std::string const& key_prefix,
        protocol::owner_record self, term_settings settings, term_hooks hooks);
    ~term_keeper();
    term_keeper(term_keeper const&) = delete;
    auto operator=(term_keeper const&) -> term_keeper& = delete;

    /** Follows the owner and takes the ownership when there is none. */
    auto start() -> void;

    /** Gives the ownership up and does not take it again. */
    auto leave(std::function<void()> on_done) -> void;

    /** Ends the ownership, because a later owner was noticed. */
    auto step_down(std::string_view cause) -> void;

    /** Returns true while no other instance can have become the owner, unless
     *  the store has revoked the lease early. */
    [[nodiscard]] auto is_valid() const -> bool;

    /** Returns when the last acknowledged write of this term was sent, or the
     *  take-over if there is none. */
    [[nodiscard]] auto last_write_at() const -> core::time_point;

    /** Returns the owner that the store names, if any. */
    [[nodiscard]] auto owner() const -> std::optional<protocol::owner_record>;

    /** Returns the other instances that the store names, dead ones included. */
    [[nodiscard]] auto members() const -> std::vector<protocol::owner_record>;

    /**
     * Stores @p writes at once if this instance still owns the jobs. Only one
     * call may be open.
     */
    auto write(
        std::vector<store_write> writes,
        std::function<void(write_result)> on_done) -> void;

private:
    struct implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace godwitcleat::coordination

#endif
