/** @file dispatch_base.hpp Schedules the tasks of jobs on hosted workers. */
#ifndef GODWITCLEAT_STATE_DISPATCH_BASE_HPP
#define GODWITCLEAT_STATE_DISPATCH_BASE_HPP

#include "core/core.hpp"
#include "state/customer_type.hpp"
#include "state/dispatch_type.hpp"
#include "state/plan_type.hpp"
#include "state/queue_type.hpp"

#include <array>
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

/** Latencies of a job that the dispatcher reports. */
enum class job_latency
{
    to_stored,      ///< From the submit until its record is stored.
    to_first_start, ///< From the submit until a worker starts a task.
    to_end          ///< From the submit until its phase is final.
};

/** Functions that the dispatcher calls; on_* may be empty. */
struct dispatch_hooks
{
    /** Logs a decision, or an event that later explains one. */
    std::function<void(std::string_view message, core::fields values)> on_event;
    /** Returns Unix time in milliseconds. */
    std::function<std::int64_t()> unix_ms;
    /** Reports a latency of a job. */
    std::function<void(job_latency kind, core::duration value)> on_job_latency =
        {};
};

/** Totals since construction, and current sizes. */
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
    std::uint64_t workers_considered = 0; ///< Workers examined for a placement.
    std::size_t jobs_open = 0;
    std::size_t tasks_ready = 0;
    std::size_t tasks_bound = 0;
    std::size_t tasks_unknown = 0; ///< May run on a worker without contact.
    std::size_t workers_live = 0;
    std::size_t workers_suspended = 0;
    std::size_t workers_without_contact = 0;
};

/** Whether the job of a step can still end in time. */
enum class step_urgency
{
    long_running, ///< Ends only when it is cancelled; placed first.
    in_time,      ///< Can end within its time objective.
    late,         ///< Can end while it has partial value.
    expired       ///< Cannot end while it has any value.
};

/** Numbers of tasks by urgency of their step. */
struct task_counts
{
    std::array<std::uint64_t, 4> tasks{};

    auto operator[](step_urgency urgency) -> std::uint64_t&
    {
        return tasks.at(static_cast<std::size_t>(urgency));
    }
    auto operator[](step_urgency urgency) const -> std::uint64_t
    {
        return tasks.at(static_cast<std::size_t>(urgency));
    }
};

/** Tasks of a queue. */
struct queue_task_counts
{
    task_counts ready;  ///< Wait for a start.
    task_counts starts; ///< Starts since construction.
};

/** What a customer has running and waiting. */
struct customer_count
{
    customer_id customer; ///< Empty: jobs without a customer.
    double weight = 1.0;
    core::resources limit;   ///< 0: none.
    core::resources running; ///< Runs that may be at work.
    std::uint64_t waiting_tasks = 0;
    std::uint64_t refused_jobs = 0; ///< For its own backlog.
    double use_by_weight = 0.0;     ///< customer_shares::normalised_use().
    bool beyond_share = false;
};

/**
 * Queues the tasks of jobs, places them on workers and tracks their runs.
 *
 * The store contains accepted jobs and ended tasks; only the workers know which
 * tasks are running. A new dispatcher therefore requests the lists of each
 * worker under a higher fencing token. It starts no task that may still run on
 * a worker that has not answered and whose lease may still be valid.
 *
 * The caller passes all events with the current time, and sends or stores what
 * is returned: holds (long polls that renew the lease of a worker), orders and
 * batches of writes. The end of a run is acknowledged to its worker, and a
 * client is answered, only after the batch that contains it was committed.
 * Performs no I/O and reads no clock. Not thread-safe.
 */
class dispatcher
{
public:
    /** Called once with the result; if false, core::last_reason() is set. */
    using completion = std::function<void(bool stored)>;

    dispatcher(
        core::epoch term, dispatch_snapshot const& stored,
        dispatch_settings settings, dispatch_hooks hooks, core::time_point now);
    ~dispatcher();
    dispatcher(dispatcher&&) noexcept;
    auto operator=(dispatcher&&) noexcept -> dispatcher&;

    auto set_settings(dispatch_settings settings) -> void;

    /** Replaces the queues unless their configuration version is older. */
    auto set_queues(queue_table_pointer queues) -> void;

    /** Replaces the list of available workers. */
    auto
    set_workers(std::span<listed_worker const> workers, core::time_point now)
        -> void;

    /**
     * Workers carry out starts only before `until`. After that time, the
     * known state of workers and drained data centres is out of date.
     */
    auto limit_starts(core::time_point until) -> void;

    /**
     * Leases end at most dispatch_settings::lease_after_write after
     * `last_write`, when the owner's last acknowledged write was sent. A new
     * owner can tell by the last write how long former owners' leases last.
     */
    auto limit_leases(core::time_point last_write) -> void;

    /** Sets the data centres in which no task is started. */
    auto set_drained(std::set<core::data_centre_id> data_centres) -> void;

    /**
     * Accepts a job. Repeating the submit of a known job succeeds as soon as
     * the job is stored. Fails with invalid_input, not_found (no such queue)
     * no_capacity, quota_exceeded (its customer's own backlog is too long) or
     * conflict (the id is that of another customer's job); in these cases the
     * job never runs.
     */
    auto submit(
        job_plan plan, core::time_point now, completion on_done,
        customer_id customer = {}) -> void;

    /** Cancels a job; succeeds if its phase is already final. Fails with
     *  not_found. */
    auto cancel(
        core::job_id const& job, core::time_point now, completion on_done,
        customer_id customer = {}) -> void;

    /** Returns true if a call of @p customer on @p queue may name the job; so
     *  it may if the job is not known. */
    [[nodiscard]] auto may_access(
        core::job_id const& job, queue_id const& queue,
        customer_id const& customer) const -> bool;

    /**
     * Rejects, with unavailable, the jobs whose record was not yet part of a
     * batch or whose batch was rejected. Jobs of a batch in flight are kept.
     */
    auto reject_unstored(std::string_view cause) -> void;

    /** Returns the phase of a stored job, or std::nullopt. */
    [[nodiscard]] auto phase(core::job_id const& job) const
        -> std::optional<plan_phase>;

    /** Returns the number of stored jobs of a queue that have not started. */
    [[nodiscard]] auto pending(queue_id const& queue) const -> std::uint64_t;

    /** Returns pending() by queue; queues without such jobs are left out. */
    [[nodiscard]] auto pending_by_queue() const
        -> std::map<queue_id, std::uint64_t>;

    /** Returns the holds that are due; hold_answered() must follow for each. */
    auto take_holds(core::time_point now) -> std::vector<hold_order>;

    /**
     * Processes the answer to a hold, or its failure.
     * @return false if the worker has seen a higher token of another owner.
     */
    auto hold_answered(
        hold_order const& order, order_result result,
        std::optional<worker_lists> const& lists, core::time_point now) -> bool;

    /** Schedules tasks and returns the orders that are due. */
    auto take_orders(core::time_point now) -> std::vector<run_order>;

    /**
     * Processes the answer to an order of take_orders().
     * @return false if the worker has seen a higher token of another owner.
     */
    auto order_answered(
        run_order const& order, order_result result,
        std::optional<std::int64_t> clock_ms, core::time_point now) -> bool;

    /** Returns a batch, or std::nullopt if none is due or one is in flight. */
    auto take_batch(core::time_point now) -> std::optional<dispatch_batch>;

    /** Must be called when the batch in flight was stored. */
    auto batch_committed(core::time_point now) -> void;

    /** Must be called only if the batch in flight is certainly not stored;
     *  its writes go into a later batch. */
    auto batch_rejected() -> void;

    /** Handles lapsed leases, drains, the end of recovery and retention. */
    auto tick(core::time_point now) -> void;

    [[nodiscard]] auto counts(core::time_point now) const -> dispatch_counts;

    /** Returns the tasks of the queues that have jobs. */
    [[nodiscard]] auto queue_counts() const
        -> std::map<queue_id, queue_task_counts>;

    /** Returns the customers with jobs or in the configuration; none if the
     *  configuration has no customers. */
    [[nodiscard]] auto customer_counts() const -> std::vector<customer_count>;

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace godwitcleat::state

#endif
