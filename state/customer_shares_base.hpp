/** @file customer_shares_base.hpp Limits and shares of customers. */
#ifndef GODWITCLEAT_STATE_CUSTOMER_SHARES_BASE_HPP
#define GODWITCLEAT_STATE_CUSTOMER_SHARES_BASE_HPP

#include "core/core.hpp"
#include "state/customer_type.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace godwitcleat::state
{

/** What a customer has running and waiting. */
struct customer_account
{
    customer_id customer;
    double weight = 1.0;
    core::resources limit; ///< 0: none.
    /** Of the runs that may be at work on any worker. */
    core::resources running;
    /** Upper bound of runs of a former owner that are not known yet. */
    core::resources unseen;
    /** Of the runs that were found after the change of owner. They were at work
     *  at the same time as the unseen ones. */
    core::resources found;
    /** Has tasks that wait, and not because of its own limit. */
    bool contends = false;
    double mean_use = 0.0;     ///< Decaying mean of customer_shares::use_of().
    std::uint64_t refused = 0; ///< Jobs.
    core::time_point next_report; ///< Of a job that waits for its limit.
};

/**
 * Decides which customers may start tasks, and whose tasks go first while they
 * wait. Performs no I/O and reads no clock. Not thread-safe.
 *
 * A customer's use is the largest, over the resources, of its parts of the
 * capacity of all workers (its dominant share). Among the customers that
 * contend, those whose use by weight is above the mean are beyond their share.
 * Their tasks are placed after those of the others, so that unused shares go to
 * those who ask, and no use stays above the mean while others wait.
 */
class customer_shares
{
public:
    /** Returns the account of a customer. The reference stays valid. */
    auto account_of(customer_id const& customer) -> customer_account&;

    /**
     * Sets weights and limits. A customer that is not listed any more keeps its
     * last ones, because its accepted jobs still have to end.
     */
    auto set_customers(customer_table const& table) -> void;

    /** Sets the capacity of all workers. */
    auto set_capacity(core::resources const& capacity) -> void;

    /** Updates the means of the use. */
    auto advance(core::time_point now) -> void;

    /** Clears customer_account::contends of all customers. */
    auto begin_pass() -> void;

    /** Compares the customers that contend; is_beyond_share() then holds until
     *  the next call. */
    auto compare() -> void;

    /** Returns true if @p need more stays within the limit. */
    [[nodiscard]] static auto
    fits(customer_account const& account, core::resources const& need) -> bool;

    /** @pre compare() was called */
    [[nodiscard]] auto is_beyond_share(customer_account const& account) const
        -> bool;

    /** Returns is_beyond_share() as it would be if the customer contended. */
    [[nodiscard]] auto
    would_be_beyond_share(customer_account const& account) const -> bool;

    /** Sets customer_account::unseen: at most @p possible, and no more than the
     *  former owner, which kept to the limit, can have started beside the runs
     *  that were found. */
    static auto
    set_unseen(customer_account& account, core::resources const& possible)
        -> void;

    /** Returns the larger one of the present and the mean use by weight. */
    [[nodiscard]] auto normalised_use(customer_account const& account) const
        -> double;

    /**
     * Returns the processors that a customer can rely on while it waits: its
     * part by weight among those who contend, or what it has running if that is
     * more, and at most its limit; at least 1.
     */
    [[nodiscard]] auto entitled_cpu_milli(customer_account const& account) const
        -> std::int64_t;

    [[nodiscard]] auto accounts() -> std::map<customer_id, customer_account>&;
    [[nodiscard]] auto accounts() const
        -> std::map<customer_id, customer_account> const&;

private:
    /** Returns the dominant share of what may be running. */
    [[nodiscard]] auto use_of(customer_account const& account) const -> double;

    std::map<customer_id, customer_account> accounts_;
    core::resources capacity_;
    std::optional<core::time_point> advanced_at_;
    double contending_weight_ = 0.0;
    double contending_use_ = 0.0; ///< Not divided by the weights.
};

} // namespace godwitcleat::state

#endif
