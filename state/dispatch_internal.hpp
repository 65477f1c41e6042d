/** @file dispatch_internal.hpp Internal state of the dispatcher. */
#ifndef GODWITCLEAT_STATE_DISPATCH_INTERNAL_HPP
#define GODWITCLEAT_STATE_DISPATCH_INTERNAL_HPP

#include "state/customer_shares_base.hpp"
#include "state/dispatch_base.hpp"
#include "state/interference_base.hpp"
#include "state/serving_load_base.hpp"
#include "state/start_window_base.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <span>
#include <unordered_map>

namespace godwitcleat::state
{

struct job_entry;
struct dispatch_worker;
class crash_judge;
struct queue_state;
using job_pointer = std::shared_ptr<job_entry>;

/** Identifies a class of tasks within a dispatcher; 0: no class. */
using task_class_id = core::number_id<struct task_class_id_tag>;

/** A worker's clock may be 2% slow; 1% covers the age of its last reading. */
constexpr auto clock_drift_percent = 3;

/** Returns an upper bound of the time that @p value on a worker's clock takes.
 */
constexpr auto with_drift(core::duration value) -> core::duration
{
    return value * (100 + clock_drift_percent) / 100;
}

/** Returns a lower bound of the time that a worker's clock goes on in @p value.
 */
constexpr auto less_drift(core::duration value) -> core::duration
{
    return value * (100 - clock_drift_percent) / 100;
}

constexpr auto to_ms(core::duration value) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

/** A job that ends within this multiple of its time objective has partial
 * value.
 */
constexpr auto late_factor = 3;

/** Calls to workers time out earlier. */
constexpr auto max_call_time = core::duration{std::chrono::seconds{3}};

/** Returns the time objective of a job with this critical path. */
auto objective_ms(std::int64_t path_ms, queue_config const& queue)
    -> std::int64_t;

/** State of a task. */
enum class task_state
{
    blocked, ///< Its step has unfinished dependencies.
    unknown, ///< May run on a worker that has not answered this owner yet.
    ready,   ///< Waits for a worker with free capacity.
    bound,   ///< A run was ordered and has not ended.
    done     ///< Completed.
};

/** A task of a job. */
struct dispatch_task
{
    task_state state = task_state::blocked;
    std::vector<std::uint64_t> failed_runs; ///< Each counts as a failure.
    run_number last_run; ///< Highest run that was ordered or reported.
    dispatch_worker* worker = nullptr; ///< Of the bound run.
    /** Worker of the last run that failed, stalled or was paused too long. */
    core::worker_id avoided_worker;
    std::string checkpoint;
    /** Each crashed its worker, since the task was last proved sound. Of a
     *  long-running one at most max_crash_history. */
    std::vector<std::uint64_t> crashed_runs;
    /** Runs under which a worker crashed, not known yet whether they count. */
    std::vector<std::uint64_t> open_crashes;
    core::time_point crash_heard_at;   ///< Of the last of `open_crashes`.
    std::size_t dismissed_crashes = 0; ///< Crashes that did not count.
    /** When its last run that was lost with its worker was at work. */
    core::time_point lost_at;
    /** The only worker where it may run, if job_entry::stores_worker_of() is
     *  true; empty: none. Part of the progress. */
    core::worker_id stored_worker;

    /** Returns the number of crashes that count or may count. */
    [[nodiscard]] auto crash_count() const -> std::size_t
    {
        return crashed_runs.size() + open_crashes.size();
    }

    /** Returns true if a worker has crashed under the task. */
    [[nodiscard]] auto is_suspect() const -> bool
    {
        return crash_count() > 0;
    }

    /** Returns true if it is kept from other suspects. After one crash, the
     *  other tasks of that worker are suspects as well. */
    [[nodiscard]] auto needs_isolation() const -> bool
    {
        return crash_count() > 1;
    }
};

/** A step of one occurrence of a job. */
struct step_entry
{
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t first_task = 0; ///< Index over all tasks of the job.
    std::uint32_t open_tasks = 0; ///< Tasks that are not done.
    std::uint32_t unfinished_dependencies = 0; ///< Steps it waits for.
    std::int64_t not_before_ms = 0;         ///< Earliest start, in Unix time.
    std::vector<std::uint32_t> ready_tasks; ///< Tasks in task_state::ready.
    task_class_id task_class;
    bool in_ready_steps = false;  ///< In implementation::ready_steps.
    core::time_point ready_since; ///< When `ready_tasks` last became non-empty.
    /** Of the runs that have ended or tell how far they are; 0: none has. */
    std::int64_t longest_run_ms = 0;
};

/** Groups of steps in the order in which they are placed. */
enum class step_group
{
    long_running, ///< Ends only when it is cancelled.
    valuable,     ///< Can end while its job has value.
    expired       ///< Cannot.
};

/** Order in which steps are placed; lower first. */
struct step_rank
{
    step_group group = step_group::long_running;
    std::uint32_t beyond_share = 0; ///< 1: its customer is beyond its share.
    std::uint32_t priority = 0;     ///< Of its queue; 0 if the step is expired.
    std::uint32_t late = 0;         ///< 1 if it cannot end in time.
    std::uint32_t not_begun = 1;    ///< 0 if the job has started.
    std::int64_t order_ms = 0;

    auto operator<=>(step_rank const&) const = default; // NOLINT

    [[nodiscard]] auto urgency() const -> step_urgency
    {
        if (group == step_group::valuable)
        {
            return late == 0 ? step_urgency::in_time : step_urgency::late;
        }
        return group == step_group::expired ? step_urgency::expired
                                            : step_urgency::long_running;
    }
};

/** How long the first tasks of new jobs of a queue wait for their starts. */
struct start_backlog
{
    /** Tasks of first steps for which the last pass had no starts left, and
     *  those that were submitted since. */
    std::uint64_t waiting_tasks = 0;
    double waited_s = 0.0;    ///< Time in which tasks waited; decays.
    double starts = 0.0;      ///< Starts of first steps in that time; decays.
    double mean_wait_s = 0.0; ///< Of the tasks that were started last.

    /** Returns the time until @p tasks more have been started after @p waiting
     *  ones; 0 if new tasks do not wait. */
    [[nodiscard]] auto
    expected_wait(std::uint64_t tasks, std::uint64_t waiting) const
        -> core::duration;
};

/** Tasks that wait for room before a new job. */
struct room_backlog
{
    core::duration expected_wait{}; ///< Until all of them have started.
    core::duration waited{};        ///< Of the oldest one.
};

/** Processors of the workers of a service. */
struct service_room
{
    std::size_t workers = 0;
    std::int64_t cpu_milli = 0; ///< Of all, without what others occupy.
};

/** State of a queue. */
struct queue_state
{
    queue_config const* config = nullptr; ///< Null if it is not configured.
    double run_time_factor = 1.0; ///< Mean of actual to declared run time.
    task_counts starts;           ///< Starts that were ordered, in total.
    /** Tasks that were submitted, with an exponentially decaying weight. */
    double offered_tasks = 0.0;
    /** Starts of its guaranteed share that it has not had yet. */
    double owed_starts = 0.0;
    start_backlog backlog;

    /** Returns the actual run time that is expected of a declared one. */
    [[nodiscard]] auto actual_ms(std::int64_t declared_ms) const -> std::int64_t
    {
        return static_cast<std::int64_t>(
            run_time_factor * static_cast<double>(declared_ms));
    }
};

/** Steps that wait, by rank. */
struct step_list
{
    std::vector<std::pair<step_rank, std::size_t>> steps;
    std::size_t next = 0; ///< The first one that was not tried in this pass.

    [[nodiscard]] auto is_empty() const -> bool
    {
        return next == steps.size();
    }
};

/** The steps of a queue that wait, or the expired ones of all queues. */
struct step_flow
{
    queue_state* queue = nullptr; ///< Null: expired steps of all queues.
    step_list within_share; ///< Of customers that are not beyond their share.
    step_list beyond_share;
    double share = 0.0; ///< Guaranteed share of all starts.
    double* owed_starts = nullptr;

    [[nodiscard]] auto is_empty() const -> bool
    {
        return within_share.is_empty() && beyond_share.is_empty();
    }

    auto add(step_rank const& rank, std::size_t step) -> void
    {
        auto& list = rank.beyond_share != 0 ? beyond_share : within_share;
        list.steps.emplace_back(rank, step);
    }

    /** Returns the list from which the next step comes.
     *  @pre the flow is not empty */
    [[nodiscard]] auto front(bool beyond_first) -> step_list&
    {
        auto const takes_beyond = within_share.is_empty() ||
                                  (beyond_first && !beyond_share.is_empty());
        return takes_beyond ? beyond_share : within_share;
    }
};

/** A job. */
struct job_entry
{
    plan_record record;
    queue_state* queue = nullptr; ///< Owned by implementation::queue_states.
    customer_account* account = nullptr; ///< Owned by implementation::shares.
    plan_phase phase = plan_phase::queued;
    plan_phase stored_phase = plan_phase::queued; ///< Phase that callers see.
    std::vector<dispatch_task> tasks;
    std::vector<step_entry> steps; ///< Of all occurrences, in order.
    /** Critical path from the start of each step to the end of the job. */
    std::vector<std::int64_t> remaining_path_ms;
    std::unique_ptr<serving_load> load; ///< Of its serving tasks, if followed.
    std::int64_t critical_path_ms = 0;  ///< By the declared run times.
    /** By the measured ones, for each occurrence; 0 or absent: none is. */
    std::vector<std::int64_t> measured_path_ms;
    std::uint32_t open_steps = 0;
    std::uint32_t active_runs = 0; ///< On workers; ordered or found there.
    bool restored = false;         ///< Loaded from the store.
    bool start_ordered = false;    ///< This owner has sent a start.
    bool started = false;          ///< A run of it has started on a worker.
    bool submitted = false;        ///< False if only its cancellation is known.
    bool cancel_requested = false;
    core::worker_id first_failing_worker;
    bool record_stored = false;
    bool record_sent = false;   ///< In the batch in flight.
    bool in_dirty_jobs = false; ///< In implementation::dirty_jobs.
    std::uint64_t version = 0;  ///< Incremented at each change of the progress.
    std::uint64_t sent_version = 0;
    std::uint64_t stored_version = 0;
    bool any_service = false;              ///< plan_progress::any_service.
    std::uint64_t any_service_version = 0; ///< Progress that first has it.
    /** Callbacks by the progress version that has to be stored first. */
    std::vector<std::pair<std::uint64_t, dispatcher::completion>>
        waiting_callbacks;
    core::time_point final_at;

    [[nodiscard]] auto spec(step_entry const& step) const -> plan_step const&
    {
        return record.plan.steps[step.step];
    }
    /** Returns the time from the start of the step to the end of the job. */
    [[nodiscard]] auto remaining_ms(step_entry const& step) const
        -> std::int64_t;
    /** Returns the critical path of the step's occurrence. */
    [[nodiscard]] auto path_ms(step_entry const& step) const -> std::int64_t;
    [[nodiscard]] auto step_of(std::uint32_t task) -> step_entry&;
    /** Returns true if no run of the task is started before its worker is
     *  stored. The members of a gang have to start at the same time. */
    [[nodiscard]] auto stores_worker_of(std::uint32_t task) -> bool
    {
        auto const& it = spec(step_of(task));
        return record.stores_workers && it.long_running && !it.gang;
    }
    /** Returns true if tasks whose workers are not stored may run on a worker
     *  of @p service; empty: a service that is not known. */
    [[nodiscard]] auto may_run_on(core::service_id const& service) const -> bool
    {
        return any_service || record.service.empty() || service.empty() ||
               service == record.service;
    }
    [[nodiscard]] auto name_of(std::uint32_t task) -> task_name;
    auto fail_callbacks(core::error_kind kind, std::string_view cause) -> void;
    /** Fails them as the dispatcher ends: not_owner for what was not sent to
     *  the store, else unknown_outcome. */
    auto fail_callbacks_at_end() -> void;
    /** Returns the index of a task, or std::nullopt if it does not exist. */
    [[nodiscard]] auto index_of(task_name const& name) const
        -> std::optional<std::uint32_t>;
};

/** A run that may be active on a worker. */
struct run_entry
{
    job_pointer job; ///< Null if the job is unknown.
    std::uint32_t task = 0;
    task_name name;
    run_number run;
    core::resources need;
    task_class_id task_class;
    std::int64_t cpu_demand = 0; ///< Milli-cores at full pace.
    bool uses_spare_cpu = false;
    std::int64_t tail_target_ms = 0;
    bool seen_running = false;     ///< The worker has reported it as running.
    core::time_point last_seen_at; ///< When it was last reported as running.
    bool drain_seen = false;       ///< Its worker was listed as draining.
    /** A worker has crashed under its task, and may crash under this run. */
    bool suspect = false;
    core::time_point ordered_at;
    /** No worker carries out the start after this. */
    core::time_point startable_until;
    std::optional<core::time_point> start_confirmed_at;
    bool start_pending = false; ///< The start was sent and not answered.
    /** The start is sent when dispatch_task::stored_worker is stored. */
    bool waits_for_store = false;
    bool stop_requested = false;
    std::optional<core::time_point> stop_sent_at;
    bool stop_pending = false; ///< The stop was sent and not answered.
    std::optional<core::time_point> stop_confirmed_at;
    std::string checkpoint;
    std::int64_t percent = 0; ///< Completed share of its work.
    core::time_point percent_changed_at;
    std::int64_t measurement = 0;       ///< As running_row::measurement.
    std::uint32_t pace = 100;           ///< Percent of full speed.
    std::uint32_t confirmed_pace = 100; ///< Last one that the worker accepted.
    core::time_point pace_sent_at;
    /** Since when its tail latency has been near or above its target. */
    std::optional<core::time_point> over_target_since;
    std::uint64_t last_seen_in_list = 0; ///< dispatch_worker::list_count.
};

/** A run under which a worker crashed. */
struct crashed_run
{
    job_pointer job;
    std::uint32_t task = 0;
    run_number run;
};

/** A crash of a worker, at some time between two signs of life. */
struct worker_crash
{
    core::worker_id worker;
    core::service_id service;
    core::data_centre_id data_centre;
    core::time_point alive_at;     ///< Last answer of the former process.
    core::time_point heard_at;     ///< When this owner heard of the crash.
    bool announced = false;        ///< It drained: a planned restart or stop.
    std::set<core::job_id> jobs;   ///< May have had runs there.
    std::vector<crashed_run> open; ///< Not known yet whether they count.

    /** Returns true if both may have happened at one moment. */
    [[nodiscard]] auto overlaps(worker_crash const& other) const -> bool
    {
        return alive_at <= other.heard_at && other.alive_at <= heard_at;
    }
};

/** What is known of a crash. */
enum class crash_verdict
{
    open,   ///< Other workers have to be heard first.
    single, ///< Its tasks may be the cause.
    common  ///< Its data centre crashed.
};

/** A run whose start is sent when its worker is stored. */
struct stored_start
{
    job_pointer job;
    std::uint32_t task = 0;
    run_number run;
    core::worker_id worker;
    std::uint64_t version = 0; ///< Progress that has to be stored first.
};

/** Where the stored list names a worker. */
struct stored_place
{
    core::worker_id worker;
    std::string address;
    core::service_id service;
};

/** A reported end of a run that is not acknowledged yet. */
struct pending_end
{
    std::uint64_t number = 0;
    job_pointer job;           ///< Null if nothing has to be stored.
    std::uint64_t version = 0; ///< Progress to store before acknowledging.

    [[nodiscard]] auto is_stored() const -> bool
    {
        return !job || job->stored_version >= version;
    }
};

/** State of the contact with a worker. */
enum class contact_state
{
    none,     ///< No answer yet, or the contact was lost.
    adopting, ///< Its clock is known, its runs are not.
    live      ///< Its runs are known under the current token.
};

/**
 * A class of serving tasks, which have a tail latency target, on a worker.
 * Excess is the logarithm of the factor on the undisturbed tail latency.
 */
struct serving_class
{
    task_class_id task_class;
    double excess = 0.0;        ///< Expected from the best-effort runs.
    double excess_limit = 0.0;  ///< Excess at which all targets are still met.
    double recent_excess = 0.0; ///< Part that no measurement contains yet.
    double recent_excess_limit = 0.0; ///< Above the latest measurement.
};

/** A process of a worker, as its lists have told. */
struct known_process
{
    std::int64_t started_ms = 0; ///< 0: unknown.
    std::int64_t clock_ms = 0;   ///< Read after `asked_at`, by `answered_at`.
    core::time_point asked_at;
    core::time_point answered_at;

    /** Returns how lists can be told from those of other processes if their
     *  worker reads its clock after @p from and by @p until. */
    [[nodiscard]] auto
    expected(core::time_point from, core::time_point until) const
        -> expected_process;
};

/** A worker and its runs. */
struct dispatch_worker
{
    listed_worker info;
    bool in_worker_list = false; ///< In the latest set_workers().
    bool in_stored_list = false; ///< A new owner finds it in the store.
    /** May have runs of a previous owner that this owner does not know. */
    bool may_have_unknown_runs = false;
    bool exited = false;  ///< Its process has ended; it has no runs or lease.
    bool retired = false; ///< Draining without runs, so it gets no runs.
    /** Possible tasks of previous owners; unset if they are not known. */
    std::optional<std::vector<task_name>> former_tasks;
    /** Service that the previous owner stored; empty: not known. */
    core::service_id former_service;
    /** May have runs of another service than that in `info`. */
    bool had_other_service = false;
    /** The store may hold a list of its possible tasks, so it gets no others.
     */
    bool stored_with_tasks = false;
    bool lift_pending = false; ///< A list without its tasks was asked for.
    /** The store may hold a bound of its lease, so that it is not renewed. */
    bool stored_with_lease = false;
    std::optional<core::time_point> lost_at; ///< Unset while in contact.
    /** Where it has last answered this owner; empty: nowhere yet. */
    std::string answered_address;
    contact_state contact = contact_state::none;
    std::uint64_t session = 0;  ///< See implementation::begin_session().
    std::uint64_t restarts = 0; ///< Of the worker under this owner.
    std::optional<known_process> process; ///< That has answered last.
    core::time_point known_since;         ///< When `process` was set first.
    bool restarted = false;    ///< Runs from before its restart have ended.
    std::int64_t clock_ms = 0; ///< Its clock at `clock_at`.
    core::time_point clock_at;
    core::time_point former_heard_at; ///< Last answer before its restart.
    core::time_point lease_until;     ///< Upper bound of the end of its lease.
    std::uint64_t last_processed_end = 0;
    std::uint64_t acknowledged = 0; ///< Highest end that was acknowledged.
    std::deque<pending_end> unacknowledged_ends;
    bool ends_complete = true; ///< worker_lists::ends_complete of the last one.
    std::vector<run_entry> runs;
    /** Where find_run() begins: rows of lists are mostly in the order of runs.
     */
    std::size_t likely_run = 0;
    /** Ended with its lease; they count as crashes if it was restarted. */
    std::vector<run_entry> lapsed_runs;
    core::resources used;
    bool hold_in_flight = false; ///< A hold of this session.
    core::time_point next_hold_at;
    std::uint64_t list_count = 0; ///< Number of processed lists.
    core::time_point starts_blocked_until;
    /** When it was first listed as draining. */
    std::optional<core::time_point> drain_seen_at;
    /** When it was last listed as draining no more. */
    std::optional<core::time_point> drain_lifted_at;
    /** No best-effort run is placed there before; set when a serving run is
     *  near its target. */
    core::time_point near_target_until;
    core::time_point reserved_until; ///< For a long-running task.
    /** Failed or stalled runs in a row that were attributed to the worker. */
    std::uint32_t consecutive_failures = 0;
    core::time_point last_failure_at; ///< Of `consecutive_failures`.
    core::time_point suspended_until;
    std::uint32_t serving_runs = 0;     ///< Runs with a tail latency target.
    std::uint32_t best_effort_runs = 0; ///< Runs that use spare processors.
    std::uint32_t suspect_runs = 0;     ///< Runs with run_entry::suspect.
    /** Since when no serving run has been near its target. */
    core::time_point below_target_since;
    /** When a best-effort run last ended. */
    core::time_point best_effort_ended_at;
    /** When measurements were last passed to the interference model. */
    core::time_point last_observed_at;
    bool estimates_valid = false; ///< False if the members below are stale.
    std::vector<serving_class> serving_classes;
    std::int64_t spare_cpu_milli = 0; ///< Estimated unused processors.

    /** Returns when contact was lost, if its process may have crashed since;
     *  unset: in contact, or it drains or has ended. */
    [[nodiscard]] auto possible_crash_since() const
        -> std::optional<core::time_point>
    {
        auto const may_have_crashed =
            contact == contact_state::none && !drain_seen_at && !exited;
        return may_have_crashed ? lost_at : std::nullopt;
    }

    [[nodiscard]] auto all_ends_stored() const -> bool
    {
        return ends_complete &&
               std::all_of(
                   unacknowledged_ends.begin(), unacknowledged_ends.end(),
                   [](pending_end const& it) { return it.is_stored(); });
    }

    [[nodiscard]] auto free() const -> core::resources
    {
        return info.capacity - used;
    }

    auto set_process(known_process const& heard) -> void
    {
        process = heard;
        clock_ms = heard.clock_ms;
        clock_at = heard.answered_at;
    }

    /** Returns true if the listed capacity and labels are of another process
     *  than the one that has answered. */
    [[nodiscard]] auto is_listed_as_other_process() const -> bool
    {
        return info.started_ms != 0 && process && process->started_ms != 0 &&
               info.started_ms != process->started_ms;
    }

    /** Returns false for a run whose start was sent after the last sign of life
     *  of the former process, which was likely gone already. */
    [[nodiscard]] auto may_have_begun_before_restart(run_entry const& run) const
        -> bool
    {
        return run.seen_running || run.start_confirmed_at ||
               run.ordered_at <= former_heard_at;
    }

    /** Returns true if it drains and all its runs are to be stopped, so that
     *  its lease is not renewed. */
    [[nodiscard]] auto is_emptied() const -> bool
    {
        return drain_seen_at && !may_have_unknown_runs && !runs.empty() &&
               std::all_of(
                   runs.begin(), runs.end(),
                   [](run_entry const& it) { return it.stop_requested; });
    }

    /** Returns true unless it is known to have no run. */
    [[nodiscard]] auto may_have_hidden_runs() const -> bool
    {
        return contact != contact_state::live || may_have_unknown_runs ||
               !runs.empty() || !all_ends_stored();
    }

    /** Returns true if a new owner has to hear it before it knows all runs. */
    [[nodiscard]] auto may_have_runs() const -> bool
    {
        return !retired && (!exited || !runs.empty());
    }
};

/** What is kept of a worker that was forgotten, in case it returns. */
struct former_worker
{
    std::uint64_t restarts = 0; ///< It obeys no lower token.
    std::optional<known_process> process;
    core::time_point heard_at; ///< Its last answer.
    core::service_id service;
    core::data_centre_id data_centre;
    /** When contact was lost; unset: it drained or has ended. */
    std::optional<core::time_point> lost_at;
    /** As dispatch_worker::drain_lifted_at; when forgotten, if it drained. */
    std::optional<core::time_point> drain_lifted_at;
    std::vector<run_entry> lapsed_runs;
    core::time_point kept_until; ///< Later only `restarts` matters.
};

/** A step with tasks that wait for free capacity. */
struct ready_step
{
    job_pointer job;
    std::uint32_t step = 0;
};

/** A need that fitted on no worker; larger needs of its kind are skipped. */
struct unplaceable_need
{
    core::service_id service;
    task_class_id task_class; ///< Relevant if `uses_spare_cpu` is set.
    bool uses_spare_cpu = false;
    bool suspects_only = false; ///< It fits, but beside suspect runs only.
    core::resources need;
    core::time_point until; ///< When placement is tried again.
};

/** Upper bounds, by kind of resource, over the workers of a service with a
 * label that accept starts in a pass. What exceeds one fits on none of them. */
struct room_bounds
{
    core::resources free;
    /** Of workers that are not reserved, once their short tasks have ended;
     *  unset until it is needed. */
    std::optional<core::resources> without_short;
};

/** Result of the choice of a worker for a task. */
struct worker_choice
{
    dispatch_worker* worker = nullptr; ///< Null if there is none.
    bool beside_suspect = false; ///< It fits, but beside suspect runs only.
};

/** Returns what a run counts in the account of its customer. Best-effort runs
 *  reserve no processors on their worker, but use them. */
auto charged_need(run_entry const& run) -> core::resources;

/** Returns after how many seconds a job that would wait for @p wait_ms and may
 *  wait for less than @p left_ms is worth submitting again. */
auto retry_after(std::int64_t wait_ms, std::int64_t left_ms, std::int64_t max_s)
    -> std::int64_t;

/** Returns the settings of the interference model of tail latencies. */
auto tail_model_settings(bool follows_load) -> interference_settings;

struct dispatcher::implementation
{
    implementation(
        core::epoch owner_term, dispatch_settings initial_settings,
        dispatch_hooks initial_hooks)
        : term(owner_term)
        , settings(initial_settings)
        , hooks(std::move(initial_hooks))
    {
    }

    // Jobs (dispatch_jobs.cpp)
    auto restore(dispatch_snapshot const& stored, core::time_point now) -> void;
    /** Reports how many jobs that have not ended were loaded, how many of them
     *  count as started, and how many have a task with a stored worker. */
    auto report_restored_jobs() const -> void;
    auto add_job(plan_record record) -> job_pointer;
    auto build_steps(job_entry& job) -> void;
    auto restore_progress(job_entry& job, plan_progress const& progress)
        -> void;
    auto release_runnable_steps(job_pointer const& job) -> void;
    auto release_step(job_pointer const& job, step_entry& step) -> void;
    auto make_ready(job_pointer const& job, std::uint32_t task) -> void;
    auto complete_step(job_pointer const& job, step_entry& step) -> void;
    auto complete_task(job_pointer const& job, std::uint32_t task) -> void;
    auto
    finish_job(job_pointer const& job, plan_phase phase, core::time_point now)
        -> void;
    auto submit(
        job_plan plan, core::time_point now, completion on_done,
        customer_id customer) -> void;
    auto cancel(
        core::job_id const& id, core::time_point now, completion on_done,
        customer_id customer) -> void;
    auto cancel_unknown_job(
        core::job_id const& id, core::time_point now, completion on_done,
        customer_id customer) -> void;
    auto find_job(std::string_view id) const -> job_pointer;
    static auto find_queue(job_entry const& job) -> queue_config const*
    {
        return job.queue->config;
    }
    auto queue_state_of(queue_id const& queue) -> queue_state&;
    auto set_queues(queue_table_pointer table) -> void;
    /** Ends jobs with tasks that have failed as often as their queues allow.
     *  Those that failed while their queue was not configured had no limit. */
    auto fail_exhausted_jobs(core::time_point now) -> void;
    auto intern_task_class(std::string const& task_class) -> task_class_id;
    auto mark_changed(job_pointer const& job, core::time_point commit_by)
        -> void;
    /** Makes a batch due at @p latest_at, unless one is due earlier. */
    auto commit_at(core::time_point latest_at) -> void
    {
        commit_due_at = std::min(commit_due_at.value_or(latest_at), latest_at);
    }
    auto take_batch(core::time_point now) -> std::optional<dispatch_batch>;
    auto batch_committed(core::time_point now) -> void;
    auto batch_rejected() -> void;
    auto reject_unstored(std::string_view cause) -> void;
    auto answer_callbacks(job_entry& job) -> void;
    auto expire_old_jobs(core::time_point now) -> void;

    // Workers (dispatch_workers.cpp)
    auto
    set_workers(std::span<listed_worker const> workers, core::time_point now)
        -> void;
    auto forget_lost_workers(core::time_point now) -> void;
    auto remember(dispatch_worker& worker, core::time_point now) -> void;
    auto recall(dispatch_worker& worker, core::worker_id const& id) -> void;
    auto lift_restriction(dispatch_worker& worker, core::time_point now)
        -> void;
    auto update_retired(dispatch_worker& worker, core::time_point now) -> void;
    auto
    possible_tasks(dispatch_worker const& worker, core::time_point now) const
        -> std::optional<std::vector<task_name>>;
    auto update_stored_tasks(dispatch_worker& worker, core::time_point now)
        -> void;
    [[nodiscard]] auto may_run_unseen(job_entry& job, std::uint32_t task) const
        -> bool;
    /** Returns true if a new owner finds in the store that tasks of the step
     *  may run on workers of @p service; else has it stored. */
    auto is_service_stored(
        job_pointer const& job, step_entry const& step,
        core::service_id const& service, core::time_point now) -> bool;
    /** Takes note that a worker has begun a task of the job. */
    auto mark_started(job_pointer const& job, core::time_point now) -> void;
    auto hold_task(job_pointer const& job, std::uint32_t task) -> void;
    auto release_task(
        job_pointer const& job, std::uint32_t task, core::time_point now)
        -> void;
    auto release_heard_tasks(core::time_point now) -> void;
    auto set_stored_worker(
        job_pointer const& job, std::uint32_t task, core::worker_id worker,
        core::time_point commit_by) -> void;
    auto token_of(dispatch_worker const& worker) const -> fencing_token;
    /** Makes an order for the present process of the worker, or for any if that
     *  is not known. */
    template <class Order>
    auto
    make_order_to(dispatch_worker const& worker, core::time_point now) const
        -> Order
    {
        auto order = Order{};
        order.worker = worker.info.worker;
        order.address = worker.info.address;
        order.token = token_of(worker);
        if (worker.process && worker.process->started_ms != 0)
        {
            order.process = worker.process->expected(now, now + max_call_time);
        }
        return order;
    }
    auto clock_of(dispatch_worker const& worker, core::time_point now) const
        -> std::int64_t;
    auto take_holds(core::time_point now) -> std::vector<hold_order>;
    auto make_hold(dispatch_worker& worker, core::time_point now) -> hold_order;
    /** Returns the length of a lease that is granted now. */
    [[nodiscard]] auto lease_length(core::time_point now) const
        -> core::duration
    {
        auto const until =
            std::min(last_write, now) + settings.lease_after_write;
        return std::min(settings.lease_limit, until - now);
    }
    auto hold_answered(
        hold_order const& order, order_result result,
        std::optional<worker_lists> const& lists, core::time_point now) -> bool;
    auto adapt_poll_pause(core::time_point now) -> void;
    /** Makes the answers to all holds that are under way void. */
    auto begin_session(dispatch_worker& worker) -> void
    {
        worker.session = ++last_session;
        worker.hold_in_flight = false;
    }
    auto lose_contact(dispatch_worker& worker, core::time_point now) -> void;
    auto handle_exit(dispatch_worker& worker, core::time_point now) -> void;
    /** Returns a bound of the rest of the lease of a worker that is without
     *  contact or emptied; unset if the lease may be renewed. */
    auto lease_left(dispatch_worker const& worker, core::time_point now) const
        -> std::optional<core::duration>;
    /** Stores the bounds of the leases of workers without contact again, as
     *  they have become shorter. */
    auto update_stored_leases(core::time_point now) -> void;
    auto process_lists(
        dispatch_worker& worker, hold_order const& order,
        worker_lists const& lists, core::time_point now) -> void;
    auto process_end(
        dispatch_worker& worker, ended_row const& row, core::time_point now)
        -> void;
    auto process_running(
        dispatch_worker& worker, running_row const& row, core::time_point now)
        -> void;
    auto adopt_run(
        dispatch_worker& worker, running_row const& row, core::time_point now)
        -> run_entry&;
    auto resolve_missing_runs(
        dispatch_worker& worker, core::time_point sent_at, core::time_point now)
        -> void;
    auto handle_restart(
        dispatch_worker& worker, known_process const& heard,
        core::time_point now) -> void;
    auto fail_task(
        job_pointer const& job, std::uint32_t task, run_number run,
        core::time_point now) -> void;
    auto store_checkpoint(
        job_pointer const& job, std::uint32_t task, std::string checkpoint,
        core::time_point now) -> void;
    auto
    find_run(dispatch_worker& worker, task_name const& name, run_number run)
        -> std::optional<std::size_t>;
    auto lose_runs(
        dispatch_worker& worker, std::string_view cause, core::time_point now)
        -> void;
    auto end_run(
        dispatch_worker& worker, std::size_t index, run_outcome outcome,
        std::string checkpoint, core::time_point now) -> void;
    /**
     * Applies the end of a run to its task. @p was_current states that the task
     * was bound to this run, so that no other run of it exists.
     */
    auto apply_end(
        job_pointer const& job, std::uint32_t task, dispatch_worker& worker,
        run_number run, run_outcome outcome, std::string checkpoint,
        bool was_current, core::time_point now) -> void;
    auto record_worker_result(
        dispatch_worker& worker, job_entry& job, run_outcome outcome,
        core::time_point now) -> void;
    /** Returns true if the worker has failed runs repeatedly, and a later run
     *  there may still fail for its fault. */
    [[nodiscard]] static auto
    is_on_trial(dispatch_worker const& worker, core::time_point now) -> bool;
    /** Forgets the failures of a worker on which a later run is at work. */
    static auto clear_failures(
        dispatch_worker& worker, run_entry const& run, core::time_point now)
        -> void;
    /** Counts a run whose worker process has ended, if it may be the cause. */
    auto count_crash(
        dispatch_worker& worker, run_entry const& run, core::time_point now)
        -> void;
    /** Notes that the process of the worker has ended. */
    auto add_crash(
        dispatch_worker const& worker, core::time_point alive_at,
        core::time_point now) -> worker_crash&;
    /** Counts or dismisses the open runs of a crash, once that is known. */
    auto
    settle_crash(crash_judge& judge, std::size_t index, core::time_point now)
        -> void;
    auto settle_crashes(core::time_point now) -> void;
    auto confirm_crash(crashed_run const& run, core::time_point now) -> void;
    auto note_loss(run_entry const& run) -> void;
    auto update_suspicion(
        dispatch_worker& worker, run_entry& run, core::time_point now) -> void;
    /** Returns true if a task is not started again yet, because workers crash
     *  under it. */
    [[nodiscard]] auto is_backing_off(
        plan_step const& spec, dispatch_task const& task,
        core::time_point now) const -> bool;
    /** Returns true if the task is not started beside another suspect. */
    [[nodiscard]] auto is_isolated(
        plan_step const& spec, dispatch_task const& task,
        core::time_point now) const -> bool;
    auto
    retry_run(dispatch_worker& worker, std::size_t index, core::time_point now)
        -> void;
    auto request_stops(job_entry& job) -> void;
    auto order_answered(
        run_order const& order, order_result result,
        std::optional<std::int64_t> clock_ms, core::time_point now) -> bool;
    auto start_answered(
        dispatch_worker& worker, std::size_t index, run_order const& order,
        order_result result, core::time_point now) -> void;
    auto find_worker(core::worker_id const& id) -> dispatch_worker*;
    auto tick(core::time_point now) -> void;
    auto finish_recovery(core::time_point now) -> void;
    auto release_unknown_tasks(std::size_t unheard, core::time_point now)
        -> void;
    auto move_stalled_runs(dispatch_worker& worker, core::time_point now)
        -> void;

    // Order of the steps (dispatch_order.cpp)
    /** Returns true if tasks of the step may start now. */
    [[nodiscard]] static auto
    is_schedulable(ready_step const& it, std::int64_t now_ms) -> bool;
    /** @pre is_schedulable(it, now_ms) */
    [[nodiscard]] auto rank_of(ready_step const& it, std::int64_t now_ms) const
        -> step_rank;
    [[nodiscard]] auto queue_counts() const
        -> std::map<queue_id, queue_task_counts>;
    /** Counts the tasks of a job that was submitted or loaded. */
    static auto count_offered(queue_state& queue, job_plan const& plan) -> void;
    auto decay_offered(core::time_point now) -> void;
    /** Returns the steps that may be placed, by queue. Long-running ones form
     *  a flow of their own, as do expired ones. */
    auto make_flows(std::int64_t now_ms) -> std::vector<step_flow>;
    /** Returns the flow whose next step is placed, or null. @p beyond_first:
     *  steps of customers beyond their share go before the others. */
    static auto next_flow(std::vector<step_flow>& flows, bool beyond_first)
        -> step_flow*;
    /** Charges @p starts to the guaranteed share of @p flow. */
    static auto charge_starts(
        std::vector<step_flow>& flows, step_flow& flow, std::size_t starts)
        -> void;

    // Customers (dispatch_customers.cpp)
    /** Counts a run in the account of its customer. */
    static auto charge(run_entry const& run) -> void;
    /** Reverts charge(). */
    static auto discharge(run_entry const& run) -> void;
    [[nodiscard]] auto uses_customers() const -> bool;
    /** Returns true if a task of the step, or a whole gang, may start within
     *  the limit of the job's customer. */
    [[nodiscard]] auto
    is_within_limit(job_entry const& job, plan_step const& spec) const -> bool;
    [[nodiscard]] auto is_beyond_share(job_entry const& job) const -> bool;
    /** Returns true if tasks of the step are placed after those of customers
     *  within their share. */
    [[nodiscard]] auto
    is_held_back(job_entry const& job, step_entry const& step) const -> bool;
    /** Counts what customers beyond their share are owed of the starts. */
    auto charge_tiers(step_rank const& rank, std::size_t starts) -> void;
    /** Returns true unless tasks of the job are placed after those of a
     * customer because of the shares. */
    [[nodiscard]] auto
    goes_before(job_entry const& job, customer_account const& account) const
        -> bool;
    /** See dispatcher::may_access(). */
    [[nodiscard]] auto may_access(
        job_entry const& job, queue_id const& queue,
        customer_id const& customer) const -> bool;
    /** Compares the use of the customers whose tasks wait. */
    auto compare_customers(std::int64_t now_ms) -> void;
    auto update_capacity() -> void;
    /** Counts what may run on workers that this owner has not heard yet. */
    auto update_unseen() -> void;
    auto report_limit(ready_step const& it, core::time_point now) -> void;
    /** Returns the customer's own waiting work by what it can rely on. */
    [[nodiscard]] auto
    customer_backlog_of(customer_account const& account) const -> room_backlog;
    /** Sets core::last_reason() for a job that would wait for @p wait_ms behind
     *  other jobs of its customer and may wait for less than @p left_ms. */
    auto refuse_for_customer(
        job_plan const& plan, customer_account& account, std::int64_t wait_ms,
        std::int64_t left_ms) -> void;
    [[nodiscard]] auto customer_counts() const -> std::vector<customer_count>;

    // Measured work (dispatch_work.cpp)
    /** Takes note of how long a run will have taken that has done @p percent of
     *  its work, or all. */
    auto
    note_work(run_entry const& run, std::int64_t percent, core::time_point now)
        -> void;
    static auto measure_path(job_entry& job, std::uint32_t occurrence) -> void;

    // Admission of jobs (dispatch_admission.cpp)
    /**
     * Returns true if a new job is accepted. Else core::last_reason() is set:
     * no_capacity, and when to retry. While tasks of the queue wait, a job is
     * accepted only if it is expected to end within its time objective, counted
     * from its first submit.
     */
    auto admit(
        job_plan const& plan, queue_config const& config, queue_state& queue,
        customer_account& account) -> bool;
    /** As admit(), by the backlog of the job's customer. */
    auto admit_for_customer(
        job_plan const& plan, queue_config const& config, queue_state& queue,
        customer_account& account) -> bool;
    /** Returns when a job was first submitted, in Unix time. */
    [[nodiscard]] auto
    first_submitted_ms(core::job_id const& job, std::int64_t now_ms) const
        -> std::int64_t;
    /** Remembers when a refused job was first submitted. */
    auto remember_refused(core::job_id const& job, std::int64_t now_ms) -> void;
    /** Counts a refused job and sets core::last_reason(). */
    auto fail_refused(
        core::error_kind kind, std::string_view cause,
        std::int64_t retry_after_s) -> void;
    /** Sets core::last_reason() for a job that would wait for @p wait_ms and
     *  may wait for less than @p left_ms. */
    auto
    refuse(job_plan const& plan, std::int64_t wait_ms, std::int64_t left_ms)
        -> void;
    /** Returns true if the last pass has found no room for tasks that need no
     *  more than those of @p step. */
    [[nodiscard]] auto
    lacks_room(plan_step const& step, queue_config const& config) const -> bool;
    /** Returns those waiting tasks of the queue that are due no later after
     *  their submit than a new job with step @p first and this time objective,
     *  in ms; nothing if the tasks of that step find room at once. */
    [[nodiscard]] auto room_backlog_for(
        plan_step const& first, std::int64_t objective,
        queue_config const& config, queue_state const& queue,
        customer_account const& account) const -> room_backlog;
    /** Returns the wait until @p tasks more first tasks of the queue have been
     *  started; 0 if new tasks do not wait. */
    [[nodiscard]] auto start_wait_for(
        std::uint64_t tasks, queue_state const& queue,
        customer_account const& account) const -> core::duration;
    /** Returns what long-running tasks and tasks of jobs with a shorter time
     *  objective than @p objective, in ms, leave of the workers that are large
     *  enough for @p need. */
    [[nodiscard]] auto room_for(
        core::resources const& need, std::int64_t objective,
        core::service_id const& service) const -> service_room;
    /** Adds the time since the last pass to the backlogs. */
    auto measure_backlogs(core::time_point now) -> void;
    /** Counts the tasks that a pass has started. */
    auto count_first_starts(
        ready_step const& it, step_rank const& rank, std::size_t starts,
        core::time_point now) -> void;
    /** Counts the tasks that a pass has left waiting. */
    auto count_waiting(std::vector<step_flow> const& flows) -> void;
    auto forget_refused_jobs() -> void;

    // Placement (dispatch_schedule.cpp)
    auto take_orders(core::time_point now) -> std::vector<run_order>;
    [[nodiscard]] auto startable_workers_for(queue_config const& queue) const
        -> std::span<dispatch_worker* const>;
    [[nodiscard]] auto
    room_of(queue_config const& queue, std::string const& label)
        -> room_bounds&;
    [[nodiscard]] auto start_validity(core::time_point now) const
        -> core::duration;
    auto schedule(core::time_point now) -> void;
    [[nodiscard]] auto count_pending_starts(core::time_point now) const
        -> std::size_t;
    /** Adapts the window to the ages of the starts without an answer. */
    auto adapt_window(core::time_point now) -> void;
    [[nodiscard]] auto count_pending_stops(core::time_point now) const
        -> std::size_t;
    auto place_step(ready_step const& it, core::time_point now) -> bool;
    auto place_gang(ready_step const& it, core::time_point now) -> bool;
    /** Takes the workers that other members of the gang are to start on. */
    auto choose_worker(
        job_entry& job, step_entry& step, dispatch_task const& task,
        queue_config const& queue, core::time_point now,
        std::span<dispatch_worker* const> members) -> worker_choice;
    auto update_startable_workers(core::time_point now) -> void;
    [[nodiscard]] auto has_waited_long(
        job_entry const& job, step_entry const& step,
        core::time_point now) const -> bool;
    [[nodiscard]] auto is_unplaceable(
        job_entry const& job, step_entry const& step, bool suspect,
        core::time_point now) const -> bool;
    auto remember_unplaceable(
        job_entry const& job, step_entry const& step, bool suspects_only,
        core::time_point now) -> void;
    auto learn_run_time(run_entry const& run, core::time_point now) -> void;
    [[nodiscard]] auto is_mostly_free() const -> bool;
    /** Reports why a long-running task that has waited long is on no worker. */
    auto report_waiting_step(
        ready_step const& it, queue_config const& queue, core::time_point now)
        -> void;
    auto
    accepts_starts(dispatch_worker const& worker, core::time_point now) const
        -> bool;
    auto start(
        job_pointer const& job, std::uint32_t task, dispatch_worker& worker,
        run_number run, core::time_point now) -> void;
    auto
    send_start(dispatch_worker& worker, run_entry& run, core::time_point now)
        -> void;
    [[nodiscard]] static auto
    still_fits(dispatch_worker const& worker, run_entry const& run) -> bool;
    auto send_stored_starts(core::time_point now) -> void;
    auto next_run(job_entry const& job, dispatch_task const& task) const
        -> run_number;
    auto reserve_worker(
        ready_step const& it, queue_config const& queue, core::time_point now)
        -> bool;
    [[nodiscard]] static auto is_short(run_entry const& run) -> bool;
    [[nodiscard]] static auto without_short_runs(dispatch_worker const& worker)
        -> core::resources;
    auto evict_for(
        dispatch_worker& worker, plan_step const& spec,
        queue_config const& queue) -> void;
    auto add_stop_orders(core::time_point now) -> void;
    auto make_run(
        job_pointer const& job, std::uint32_t task, run_number number,
        core::time_point now) -> run_entry;

    // Interference (dispatch_interference.cpp)
    auto learn_interference(dispatch_worker& worker, core::time_point now)
        -> void;
    auto update_estimates(dispatch_worker& worker, core::time_point now)
        -> void;
    auto add_serving_class(
        dispatch_worker& worker, run_entry const& run, core::time_point now)
        -> void;
    /** Returns the expected effect of the best-effort runs on a serving one. */
    auto excess_of_neighbours(
        dispatch_worker const& worker, run_entry const& serving) -> double;
    /** Adds a measured tail latency to the load of the run's job; its
     *  neighbours are expected to cause @p excess. */
    auto follow_load(
        run_entry const& run, double tail, double excess, core::time_point now)
        -> void;
    /** Returns the logarithm of the present undisturbed tail latency, if the
     *  load of the run's job is followed. */
    [[nodiscard]] auto
    load_level(run_entry const& run, core::time_point now) const
        -> std::optional<double>;
    auto undisturbed_tail(task_class_id task_class, std::int64_t target)
        -> double&;
    auto tolerates(
        dispatch_worker& worker, plan_step const& spec,
        task_class_id task_class, bool waited_long, core::time_point now)
        -> bool;
    auto expected_interference(
        dispatch_worker& worker, plan_step const& spec,
        task_class_id task_class) -> double;
    auto move_from_draining(dispatch_worker& worker, core::time_point now)
        -> void;
    auto coefficient(task_class_id serving, task_class_id best_effort)
        -> double;
    auto add_pace_orders(dispatch_worker& worker, core::time_point now) -> void;
    auto slow_down(
        dispatch_worker& worker, run_entry const& serving, bool pause_all,
        core::time_point now) -> void;
    auto repeat_pace_orders(dispatch_worker& worker, core::time_point now)
        -> void;
    auto speed_up(dispatch_worker& worker, core::time_point now) -> void;
    auto set_pace(
        dispatch_worker& worker, run_entry& run, std::uint32_t pace,
        core::time_point now) -> void;
    auto make_order(
        dispatch_worker const& worker, run_entry const& run,
        run_order_kind kind, core::time_point now) const -> run_order;

    /** Reports the time since the job was accepted. */
    auto report_latency(job_latency kind, job_entry const& job) const -> void
    {
        if (hooks.on_job_latency)
        {
            hooks.on_job_latency(
                kind, std::chrono::milliseconds{
                          hooks.unix_ms() - job.record.accepted_ms});
        }
    }

    auto event(std::string_view message, core::fields values) const -> void
    {
        if (hooks.on_event)
        {
            hooks.on_event(message, values);
        }
    }

    core::epoch term;
    dispatch_settings settings;
    dispatch_hooks hooks;
    queue_table_pointer queues = std::make_shared<queue_table const>();
    bool failure_limits_changed = false; ///< By `queues`; not applied yet.
    std::set<core::data_centre_id> drained;
    core::time_point start_limit = core::time_point::max();
    /** Argument of dispatcher::limit_leases(). */
    core::time_point last_write = core::time_point::max();
    /** Added to the pauses between holds while answers are processed late. */
    core::duration extra_poll_pause{};
    /** Shortest time from a start to its answer in this interval. */
    std::optional<core::duration> min_answer_time;
    core::time_point next_poll_adaptation;
    std::unordered_map<std::string, job_pointer, string_hash, std::equal_to<>>
        jobs;
    std::map<core::worker_id, std::unique_ptr<dispatch_worker>> workers;
    std::map<core::worker_id, former_worker> former_workers;
    std::uint64_t last_session = 0; ///< Of all workers.
    std::deque<worker_crash> recent_crashes;
    core::time_point next_crash_check;
    std::vector<ready_step> ready_steps;
    /** Workers that accept starts in this pass, by service. */
    std::map<core::service_id, std::vector<dispatch_worker*>> startable_workers;
    /** By service and required label; empty: any. */
    std::map<std::pair<core::service_id, std::string>, room_bounds> rooms;
    std::vector<unplaceable_need> unplaceable;
    std::size_t previous_unplaceable_count = 0; ///< Entries before this pass.
    std::size_t starts_left = 0;                ///< That this pass may send.
    start_window window;
    std::vector<run_order> orders;
    std::vector<stored_start> stored_starts;
    /** Tasks in task_state::unknown that wait for their stored worker only. */
    std::vector<std::pair<job_pointer, std::uint32_t>> held_for_worker;
    std::deque<job_pointer> dirty_jobs;
    std::vector<core::job_id> expired_jobs;
    std::optional<core::time_point> commit_due_at;
    std::vector<job_pointer> jobs_in_flight;
    std::vector<core::job_id> expired_in_flight;
    /** Workers of the list in flight that may get starts. */
    std::vector<stored_place> workers_in_flight;
    /** Workers without dispatch_worker::stored_with_lease in that list. */
    std::vector<core::worker_id> renewable_in_flight;
    bool batch_in_flight = false;
    bool worker_list_changed = false;
    bool worker_list_in_flight = false;
    bool worker_list_known = false;
    bool recovering = false;
    /** While recovering: only tasks in `held_tasks` and of jobs that may run on
     *  `held_services` may run unseen, not all tasks. */
    bool held_tasks_known = false;
    std::set<task_name> held_tasks; ///< Of workers that have not answered.
    /** Of workers that have not answered and may have any tasks. */
    std::set<core::service_id> held_services;
    core::time_point recovery_until;
    core::time_point loaded_at;
    core::time_point next_lease_update;
    bool stored_list_readable = true; ///< False: unknown workers have runs.
    core::time_point next_cleanup;
    bool mostly_free = false; ///< Less than mostly_free_percent is reserved.
    bool schedule_due = true;
    core::time_point next_schedule;
    core::time_point next_waiting_report;
    core::time_point last_pass_at; ///< Time of the last take_orders().
    interference_model interference{
        tail_model_settings(settings.followed_load)};
    std::map<queue_id, queue_state> queue_states;
    customer_shares shares;
    double beyond_owed_starts = 0.0;
    bool has_unseen = false; ///< An account may have unseen runs.
    core::time_point offered_decayed_at;
    core::time_point backlogs_measured_at;
    /** When jobs that were refused were first submitted, in Unix time. */
    std::unordered_map<std::string, std::int64_t> refused_jobs;
    double expired_owed_starts = 0.0; ///< As queue_state::owed_starts.
    std::unordered_map<std::string, task_class_id> task_class_ids;
    std::vector<std::string> task_class_names{{}};     ///< By task_class_id.
    std::map<task_class_id, double> undisturbed_tails; ///< In ms.
    /** Coefficients of `interference` by pair of classes; cleared by tick(). */
    std::unordered_map<std::uint64_t, double> coefficient_cache;
    dispatch_counts totals;
};

} // namespace godwitcleat::state

#endif
