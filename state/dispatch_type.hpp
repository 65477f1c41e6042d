/** @file dispatch_type.hpp Messages between the dispatcher and its workers. */
#ifndef GODWITCLEAT_STATE_DISPATCH_TYPE_HPP
#define GODWITCLEAT_STATE_DISPATCH_TYPE_HPP

#include "core/core.hpp"
#include "state/plan_type.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace godwitcleat::state
{

/** A hosted worker as described in the list of workers. */
struct listed_worker
{
    core::worker_id worker;
    std::string address; ///< ADDRESS:PORT.
    core::service_id service;
    core::data_centre_id data_centre;
    std::string rack;
    std::set<std::string> labels; ///< Including the rack.
    core::resources capacity;
    bool draining = false;
    std::int64_t drain_left_ms = 0; ///< Minimum time until it leaves.
    std::int64_t started_ms = 0;    ///< Unix time of its start; 0: unknown.

    auto operator==(listed_worker const&) const -> bool = default;
};

/** A worker in the store, where a new owner looks for runs. */
struct stored_worker
{
    listed_worker info;
    /** Tasks that may run there, if the owner has lost contact with it; unset
     *  while the owner may start others. */
    std::optional<std::vector<task_name>> possible_tasks;
    /** Upper bound of the rest of its lease when this was written, if the owner
     *  has lost contact with it or stops all its runs before it leaves; unset
     *  while the owner may renew the lease. */
    std::optional<std::int64_t> lease_left_ms;
};

/** Fencing token of the orders to one worker; it never decreases. */
using fencing_token = core::number_id<struct fencing_token_tag>;

/** Number of a run of a task; increases with each start. */
using run_number = core::number_id<struct run_number_tag>;

/** Outcome of a run as reported by the worker. */
enum class run_outcome
{
    done,        ///< Completed.
    failed,      ///< Failed because of the task or of the worker.
    stopped,     ///< Stopped by an order.
    lapsed,      ///< The worker's lease lapsed.
    gang_broken, ///< Another member of its gang has ended.
    gang_missing ///< Not all members of its gang were started.
};

auto to_string(run_outcome value) -> std::string_view;

/** A run that a worker reports as running. */
struct running_row
{
    task_name task;
    run_number run;
    std::string checkpoint;   ///< Latest one; empty: none.
    std::int64_t percent = 0; ///< Completed share of its work.
    /** Tail latency in ms if the step has a target, else used milli-cores. */
    std::int64_t measurement = 0;
};

/** An ended run, which the worker reports until it is acknowledged. */
struct ended_row
{
    /** Increases by one with each end; restarts with the worker process. */
    std::uint64_t number = 0;
    task_name task;
    run_number run;
    run_outcome outcome = run_outcome::failed;
    std::string checkpoint;
};

/** Running and ended runs of a worker. */
struct worker_lists
{
    std::int64_t started_ms = 0; ///< Unix time of its start; 0: unknown.
    std::int64_t clock_ms = 0;   ///< The worker's own clock.
    std::vector<running_row> running;
    std::vector<ended_row> ended;
    /** False: there are later ends, listed once these are acknowledged. */
    bool ends_complete = true;
};

/** The process of a worker that may get an order. A start time may come again,
 *  as the time of day can step back; a process's own clock only goes on. */
struct expected_process
{
    std::int64_t started_ms = 0;   ///< worker_lists::started_ms.
    std::int64_t min_clock_ms = 0; ///< Its clock while the order is under way.
    std::int64_t max_clock_ms = 0;

    /** Returns true for the start time and the clock that the process may have
     *  told @p age ago. */
    [[nodiscard]] auto may_have_told(
        std::int64_t told_started_ms, std::int64_t told_clock_ms,
        core::duration age = {}) const -> bool;
};

/** A long poll that renews a worker's lease, acknowledges ended runs and
 *  requests both lists. */
struct hold_order
{
    core::worker_id worker;
    std::string address;
    std::optional<expected_process> process; ///< Unset: any may get it.
    fencing_token token;
    std::optional<std::int64_t> deadline_ms; ///< On the worker's clock.
    std::uint64_t acknowledged = 0; ///< The worker may drop ends up to this.
    core::duration wait{};          ///< Maximum wait for the end of a run.
    core::time_point sent_at;       ///< When the order was made.
    std::uint64_t session = 0;      ///< dispatch_worker::session at that time.
};

/** Kinds of orders about a run. */
enum class run_order_kind
{
    start,
    stop,
    pace
};

/** An order about one run. */
struct run_order
{
    run_order_kind kind = run_order_kind::start;
    core::worker_id worker;
    std::string address;
    std::optional<expected_process> process; ///< As hold_order::process.
    fencing_token token;
    task_name task;
    run_number run;
    std::string command;          ///< For start.
    std::string checkpoint;       ///< For start; empty: from the beginning.
    std::int64_t deadline_ms = 0; ///< For start, on the worker's clock.
    std::uint32_t percent = 100;  ///< For pace; share of its full speed.
};

/** Result of an order. */
enum class order_result
{
    accepted,           ///< Carried out, now or earlier.
    fenced,             ///< The worker has seen a higher token.
    old_run,            ///< The same or a higher run has ended there.
    late,               ///< Received after its deadline.
    no_room,            ///< The worker has no free capacity.
    refused,            ///< Refused for another reason; not carried out.
    unhealthy,          ///< Not carried out; the worker is unhealthy.
    other_worker,       ///< Not carried out; another worker has the address.
    other_process,      ///< Not sent; the worker has been restarted.
    not_sent,           ///< The order was not sent.
    connection_refused, ///< Not sent; the address refused the connection.
    unknown             ///< No answer; it may still be carried out.
};

auto to_string(order_result value) -> std::string_view;

/** Settings of a dispatcher. */
struct dispatch_settings
{
    /** Maximum length of a worker's lease. */
    core::duration lease_limit = std::chrono::seconds{6};
    /** Leases end at most this long after the owner's last write. Shorter: a
     *  new owner waits less for silent workers; longer: tasks go on through a
     *  longer outage of the store. */
    core::duration lease_after_write = std::chrono::milliseconds{8400};
    /** How long a previous owner may still act after its term has ended. */
    core::duration previous_owner_validity = std::chrono::seconds{3};
    /** Maximum time until a start is carried out. */
    core::duration start_validity = std::chrono::milliseconds{1500};
    /** Maximum number of starts without an answer. More would delay the other
     *  events of an owner with little processor time. */
    std::size_t max_pending_starts = 64;
    /** The same for orders to stop a run. */
    std::size_t max_pending_stops = 64;
    /** Maximum time for which a worker may delay the answer to a hold. */
    core::duration hold_wait = std::chrono::milliseconds{1000};
    /** Maximum delay until the end of a task is stored. */
    core::duration commit_delay = std::chrono::milliseconds{300};
    /** Pause before the next hold after an answer with ended runs. */
    core::duration poll_pause = std::chrono::milliseconds{40};
    /** Maximum time that a worker needs to stop a run. */
    core::duration stop_time = std::chrono::milliseconds{900};
    /** How long jobs are kept after they have ended. */
    core::duration retention = std::chrono::seconds{180};
    /** Time objectives follow the longest runs that are measured; else the
     *  declared run times. */
    bool measured_objectives = false;
    /** Best-effort tasks are placed by the coming load of the serving tasks
     *  beside them; else by the mean of their class. */
    bool followed_load = false;
    /** Maximum bytes of a batch; below the store's transaction limit. */
    std::size_t max_batch_bytes = std::size_t{512} * 1024;
    /** Maximum writes of a batch; below the store's transaction limit. */
    std::size_t max_batch_writes = 28;
};

/** Jobs and progress to be written in one transaction. */
struct dispatch_batch
{
    std::vector<plan_record> accepted;
    std::vector<std::pair<core::job_id, plan_progress>> progress;
    std::vector<core::job_id> expired; ///< Deleted after the retention.
    /** The new list of workers; unset if it has not changed. */
    std::optional<std::vector<stored_worker>> workers;

    [[nodiscard]] auto empty() const -> bool
    {
        return accepted.empty() && progress.empty() && expired.empty() &&
               !workers;
    }
};

/** State that a new owner reads from the store. */
struct dispatch_snapshot
{
    std::vector<plan_record> jobs;
    std::vector<std::pair<core::job_id, plan_progress>> progress;
    std::vector<stored_worker> workers;
    bool workers_readable = true; ///< False if `workers` may lack some.
    /** The list of workers had been written by this time; unset if that is not
     *  known. */
    std::optional<core::time_point> workers_written_by;
    /** All writes of former owners were carried out before this time; unset if
     *  that is not known. */
    std::optional<core::time_point> last_write_by;
};

} // namespace godwitcleat::state

#endif
