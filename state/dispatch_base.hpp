/** @file dispatch_base.hpp Decides where and when the tasks of jobs run. */
#ifndef GODWITCLEAT_STATE_DISPATCH_BASE_HPP
#define GODWITCLEAT_STATE_DISPATCH_BASE_HPP

#include "core/core.hpp"
#include "state/dispatch_type.hpp"
#include "state/plan_type.hpp"
#include "state/queue_type.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace godwitcleat::state
{

/** Times in the life of a job that the dispatcher measures. */
enum class job_time
{
    to_stored,      ///< From the submit to its record in the store.
    to_first_start, ///< From the submit until a worker has begun a task.
    to_end          ///< From the submit to the final phase.
};

/** What the dispatcher tells its owner. Each may be empty. */
struct dispatch_hooks
{
    /** A decision or an observation that explains one later. */
    std::function<void(std::string_view message, core::fields values)> on_event;
    /** Returns Unix time in milliseconds. */
    std::function<std::int64_t()> unix_ms;
    /** A time in the life of a job. */
    std::function<void(job_time kind, core::duration value)> on_time = {};
};

/** Counts since the dispatcher was made, and sizes now. */
struct dispatch_counts
{
    std::uint64_t starts = 0;
    std::uint64_t starts_rejected = 0;
    std::uint64_t starts_unknown = 0;
    std::uint64_t ends_done = 0;
    std::uint64_t ends_failed = 0;
    std::uint64_t ends_other = 0;
    std::uint64_t runs_lost = 0;
    std::uint64_t evictions = 0;
    std::uint64_t jobs_accepted = 0;
    std::uint64_t jobs_refused = 0;
    std::uint64_t jobs_completed = 0;
    std::uint64_t worker_looks = 0; ///< Workers considered for a task.
    std::size_t jobs_open = 0;
    std::size_t tasks_ready = 0;
    std::size_t tasks_bound = 0;
    std::size_t workers_live = 0;
    std::size_t workers_suspended = 0;
};

/**
 * Queues, places and follows the tasks of jobs on workers that it calls.
 *
 * The store holds accepted jobs and ended tasks; what runs is known to the
 * workers only. A new dispatcher therefore asks each worker for its lists under
 * a higher fencing token, and starts no task that might still run on a worker
 * that has not answered and whose lease may not have lapsed.
 *
 * All inputs are calls with the current time, all outputs are returned: holds,
 * orders and batches of writes. An end is acknowledged to its worker, and a
 * client answered, only after the batch that holds it was committed. Performs
 * no I/O and reads no clock. Not thread-safe.
 */
class dispatcher
{
public:
    /** Called once: true if stored; else false, with core::last_reason(). */
    using done = std::function<void(bool stored)>;

    dispatcher(
        core::epoch term, dispatch_snapshot const& stored,
        dispatch_settings settings, dispatch_hooks hooks, core::time_point now);
    ~dispatcher();
    dispatcher(dispatcher&&) noexcept;
    auto operator=(dispatcher&&) noexcept -> dispatcher&;

    /** Goes by other figures from now on. */
    auto set_settings(dispatch_settings settings) -> void;

    /** Takes the queues of a newer configuration; an older one is ignored. */
    auto set_queues(queue_table_pointer queues) -> void;

    /** Takes the workers that are listed now. */
    auto
    set_workers(std::span<listed_worker const> workers, core::time_point now)
        -> void;

    /**
     * Lets workers carry out starts before `until` only. What is known of
     * workers and drained data centres is too old afterwards.
     */
    auto limit_starts(core::time_point until) -> void;

    /** Starts nothing in these data centres. */
    auto set_drained(std::set<core::data_centre_id> data_centres) -> void;

    /**
     * Accepts a job. A job that is known already succeeds as soon as it is
     * stored. Fails with invalid_input, not_found (no such queue) or
     * no_capacity; in these cases it never runs.
     */
    auto submit(job_plan plan, core::time_point now, done on_done) -> void;

    /** Cancels a job; succeeds if it is final. Fails with not_found. */
    auto cancel(core::job_id const& job, core::time_point now, done on_done)
        -> void;

    /**
     * Rejects the jobs whose first write was not offered in a batch, or was
     * rejected, all with unavailable. Jobs of a batch in flight are kept.
     */
    auto reject_unstored(std::string_view cause) -> void;

    /** Returns the phase of a stored job, or std::nullopt. */
    [[nodiscard]] auto phase(core::job_id const& job) const
        -> std::optional<plan_phase>;

    /** Returns the number of stored jobs of a queue without a start. */
    [[nodiscard]] auto pending(queue_id const& queue) const -> std::uint64_t;

    /** Returns pending() of all queues with such jobs. */
    [[nodiscard]] auto pending_by_queue() const
        -> std::map<queue_id, std::uint64_t>;

    /** Returns the holds that are due; each must be answered once. */
    auto take_holds(core::time_point now) -> std::vector<hold_order>;

    /**
     * Takes the answer to a hold, or its lack.
     * @return false if the worker has seen a higher token of another owner.
     */
    auto hold_answered(
        hold_order const& order, order_result result,
        std::optional<worker_lists> const& lists, core::time_point now) -> bool;

    /** Decides; returns the orders that are due. */
    auto take_orders(core::time_point now) -> std::vector<run_order>;

    /**
     * Takes the answer to an order of take_orders().
     * @return false if the worker has seen a higher token of another owner.
     */
    auto order_answered(
        run_order const& order, order_result result,
        std::optional<std::int64_t> clock_ms, core::time_point now) -> bool;

    /** Returns a batch, or std::nullopt: none is due or one is in flight. */
    auto take_batch(core::time_point now) -> std::optional<dispatch_batch>;

    /** The batch in flight is stored. */
    auto batch_committed(core::time_point now) -> void;

    /** The batch in flight is certainly not stored; it is offered again. */
    auto batch_rejected() -> void;

    /** Handles leases that lapse and times that pass. */
    auto tick(core::time_point now) -> void;

    [[nodiscard]] auto counts(core::time_point now) const -> dispatch_counts;

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace godwitcleat::state

#endif
