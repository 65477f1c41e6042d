/** @file dispatch_internal.hpp State of the dispatcher, for its sources. */
#ifndef GODWITCLEAT_STATE_DISPATCH_INTERNAL_HPP
#define GODWITCLEAT_STATE_DISPATCH_INTERNAL_HPP

#include "state/dispatch_base.hpp"
#include "state/interference_base.hpp"

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
struct queue_state;
using job_pointer = std::shared_ptr<job_entry>;

/** Number of a class of tasks within a dispatcher; 0: no class. */
using class_number = core::number_id<struct class_number_tag>;

/** A worker's clock may be 2% slow; the rest covers the age of the figure. */
constexpr auto clock_drift_percent = 3;

/** Returns the longest time that @p value on a worker's clock may take. */
constexpr auto with_drift(core::duration value) -> core::duration
{
    return value * (100 + clock_drift_percent) / 100;
}

/** Returns whole milliseconds. */
constexpr auto to_ms(core::duration value) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

/** Phase of one task. */
enum class task_state
{
    blocked, ///< Waits for other steps or for its time.
    unknown, ///< May run on a worker that this owner has not heard yet.
    ready,   ///< Waits for room.
    bound,   ///< A run was ordered and is not over.
    done     ///< Final.
};

/** One task of a job. */
struct dispatch_task
{
    task_state state = task_state::blocked;
    std::vector<std::uint64_t> failed_runs; ///< Each counts as a failure.
    run_number last_run; ///< Highest run that was ordered or seen.
    dispatch_worker* worker = nullptr; ///< Of the bound run.
    core::worker_id avoided; ///< Worker of the last run that went wrong.
    std::string checkpoint;
};

/** One step of one occurrence. */
struct step_entry
{
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t first = 0;     ///< Index of its first task.
    std::uint32_t open = 0;      ///< Tasks that are not done.
    std::uint32_t waits_for = 0; ///< Steps that are not done.
    std::int64_t due_ms = 0;     ///< Unix time before which it may not start.
    std::vector<std::uint32_t> ready; ///< Tasks that wait for room.
    class_number task_class;
    bool listed = false;          ///< In implementation::ready_steps.
    core::time_point ready_since; ///< When `ready` last became non-empty.
};

/** What is known of a queue. */
struct queue_state
{
    queue_config const* config = nullptr; ///< Null: not in the configuration.
    double run_factor = 1.0;              ///< Run time to the declared one.
};

/** One job. */
struct job_entry
{
    plan_record record;
    queue_state* queue = nullptr; ///< In implementation::queue_states.
    plan_phase phase = plan_phase::queued;
    plan_phase stored_phase = plan_phase::queued; ///< What callers are told.
    std::vector<dispatch_task> tasks;
    std::vector<step_entry> steps;     ///< Of all occurrences, in order.
    std::vector<std::int64_t> tail_ms; ///< Longest chain from each step on.
    std::int64_t chain_ms = 0;
    std::uint32_t open_steps = 0;
    std::uint32_t bound = 0; ///< Runs that are not over.
    bool restored = false;   ///< Accepted by an earlier owner.
    bool ordered = false;    ///< This owner has ordered a start.
    bool started = false;    ///< A worker is known to have begun a task.
    bool submitted = false;  ///< False: only its cancelling is known.
    bool cancel_requested = false;
    core::worker_id blamed; ///< Worker of the job's first failure.
    bool record_stored = false;
    bool record_sent = false;  ///< In the batch in flight.
    bool dirty = false;        ///< In implementation::dirty.
    std::uint64_t version = 0; ///< Changes of the progress.
    std::uint64_t sent_version = 0;
    std::uint64_t stored_version = 0;
    std::vector<std::pair<std::uint64_t, dispatcher::done>> waiting;
    core::time_point final_at;

    [[nodiscard]] auto spec(step_entry const& step) const -> plan_step const&
    {
        return record.plan.steps[step.step];
    }
    [[nodiscard]] auto step_of(std::uint32_t task) -> step_entry&;
    [[nodiscard]] auto name_of(std::uint32_t task) -> task_name;
    /** Answers all calls that wait with a failure. */
    auto fail_waiting(core::error_kind kind, std::string_view cause) -> void;
    /** Returns the index of a named task, or std::nullopt. */
    [[nodiscard]] auto index_of(task_name const& name) const
        -> std::optional<std::uint32_t>;
};

/** One run that a worker may be running. */
struct run_entry
{
    job_pointer job; ///< Null: no such job is known.
    std::uint32_t task = 0;
    task_name name;
    run_number run;
    core::resources need;
    class_number task_class;
    std::int64_t cpu_demand = 0; ///< Thousandths of a core at full pace.
    bool uses_spare_cpu = false;
    std::int64_t tail_target_ms = 0;
    bool listed = false; ///< The worker has shown it as running.
    core::time_point ordered_at;
    core::time_point startable_until; ///< The start is not done after this.
    std::optional<core::time_point> confirmed_at; ///< The start was answered.
    bool stop_wanted = false;
    std::optional<core::time_point> stop_sent;
    std::optional<core::time_point> stop_confirmed;
    std::string checkpoint;
    std::int64_t percent = 0;
    core::time_point percent_at; ///< When the percentage last changed.
    std::int64_t measure = 0;
    std::uint32_t pace = 100;
    std::uint32_t confirmed_pace = 100; ///< As the worker last confirmed.
    core::time_point paced_at;          ///< When an order was last sent.
    std::optional<core::time_point> over_since; ///< Tail above its target.
    std::uint64_t seen_in = 0; ///< Number of the last list that shows it.
};

/** An end that is not acknowledged yet. */
struct pending_end
{
    std::uint64_t number = 0;
    job_pointer job; ///< Null: nothing has to be stored.
    std::uint64_t version = 0;
};

/** What is known of a worker. */
enum class contact_state
{
    none,     ///< No answer yet, or none since the contact was lost.
    adopting, ///< Its clock is known; its lists are not.
    live      ///< Its lists are known under the current token.
};

/** A class of serving tasks on a worker. */
struct serving_class
{
    class_number task_class;
    double excess = 0.0;    ///< Expected from the tasks beside it.
    double limit = 0.0;     ///< Excess up to which its target is kept.
    double recent = 0.0;    ///< Part of `excess` that no figure shows yet.
    double limit_now = 0.0; ///< Excess above the latest figure.
};

/** One worker. */
struct dispatch_worker
{
    listed_worker info;
    bool listed = false;
    bool stored = false; ///< The store names it, so that a new owner asks it.
    contact_state contact = contact_state::none;
    std::uint64_t life = 1; ///< Counts the lives and losses of contact.
    std::uint64_t rebirths = 0;
    std::int64_t born_ms = 0;
    bool born_known = false;
    bool reborn = false;       ///< Its runs of the former life are over.
    std::int64_t clock_ms = 0; ///< Its clock at `clock_at`.
    core::time_point clock_at;
    core::time_point lease_until; ///< Its lease has surely lapsed after this.
    std::uint64_t seen_end = 0;   ///< Highest end that was processed.
    std::uint64_t acknowledged = 0;
    std::deque<pending_end> ends;
    std::vector<run_entry> runs;
    core::resources used;
    bool hold_open = false;
    core::time_point hold_at;
    std::uint64_t lists = 0;        ///< Number of lists that were taken.
    core::time_point blocked_until; ///< No starts before this.
    std::optional<core::time_point> drain_seen; ///< First notice of its drain.
    core::time_point hot_until;      ///< A serving task was near its target.
    core::time_point reserved_until; ///< Kept for a long-running task.
    std::uint32_t suspicion = 0; ///< Failures in a row that it is blamed for.
    core::time_point suspended_until;
    std::uint32_t serving = 0;         ///< Runs with a tail target.
    std::uint32_t spare_runs = 0;      ///< Runs that use spare processors.
    core::time_point calm_since;       ///< No serving run was over its target.
    core::time_point spare_ended_at;   ///< A run with spare processors ended.
    core::time_point learned_at;       ///< Of the last lesson on interference.
    bool assessed = false;             ///< The members below are up to date.
    std::vector<serving_class> served; ///< Classes with a tail target.
    std::int64_t spare_cpu = 0; ///< Not used by committed tasks, estimated.

    [[nodiscard]] auto free() const -> core::resources
    {
        return info.capacity - used;
    }
};

/** A step with tasks that wait for room. */
struct ready_step
{
    job_pointer job;
    std::uint32_t step = 0;
};

/** What fitted on no worker, so that nothing larger of its kind does. */
struct unfit_need
{
    core::service_id service;
    class_number task_class; ///< Of a step that uses spare processors.
    bool uses_spare_cpu = false;
    core::resources need;
    core::time_point until; ///< Room may have become free after this.
};

struct string_hash
{
    using is_transparent = void;
    auto operator()(std::string_view text) const noexcept -> std::size_t
    {
        return std::hash<std::string_view>{}(text);
    }
};

/** Returns the settings of the model of tails; see interference_model. */
auto learning_settings() -> interference_settings;

struct dispatcher::implementation
{
    implementation(
        core::epoch owner_term, dispatch_settings figures, dispatch_hooks calls)
        : term(owner_term)
        , settings(figures)
        , hooks(std::move(calls))
    {
    }

    // Jobs (dispatch_jobs.cpp)
    auto restore(dispatch_snapshot const& stored, core::time_point now) -> void;
    auto add_job(plan_record record) -> job_pointer;
    auto prepare(job_entry& job) -> void;
    auto restore_progress(job_entry& job, plan_progress const& progress)
        -> void;
    auto open_steps(job_pointer const& job) -> void;
    auto release_step(job_pointer const& job, step_entry& step) -> void;
    auto make_ready(job_pointer const& job, std::uint32_t task) -> void;
    auto step_done(job_pointer const& job, step_entry& step) -> void;
    auto task_done(job_pointer const& job, std::uint32_t task) -> void;
    auto finish(job_pointer const& job, plan_phase phase, core::time_point now)
        -> void;
    auto submit(job_plan plan, core::time_point now, done on_done) -> void;
    auto cancel(core::job_id const& id, core::time_point now, done on_done)
        -> void;
    auto refuse_later_submit(
        core::job_id const& id, core::time_point now, done on_done) -> void;
    auto find(std::string_view id) const -> job_pointer;
    static auto find_queue(job_entry const& job) -> queue_config const*
    {
        return job.queue->config;
    }
    auto state_of(queue_id const& queue) -> queue_state&;
    auto set_queues(queue_table_pointer table) -> void;
    auto number_of(std::string const& task_class) -> class_number;
    auto changed(job_pointer const& job, core::time_point commit_by) -> void;
    /** Offers a batch at @p latest_at at the latest. */
    auto commit_at(core::time_point latest_at) -> void
    {
        commit_due = std::min(commit_due.value_or(latest_at), latest_at);
    }
    auto take_batch(core::time_point now) -> std::optional<dispatch_batch>;
    auto committed(core::time_point now) -> void;
    auto rejected() -> void;
    auto reject_unstored(std::string_view cause) -> void;
    auto answer_waiting(job_entry& job) -> void;
    auto forget_old_jobs(core::time_point now) -> void;

    // Workers (dispatch_workers.cpp)
    auto
    set_workers(std::span<listed_worker const> workers, core::time_point now)
        -> void;
    auto token_of(dispatch_worker const& worker) const -> fencing_token;
    auto clock_of(dispatch_worker const& worker, core::time_point now) const
        -> std::int64_t;
    auto take_holds(core::time_point now) -> std::vector<hold_order>;
    auto make_hold(dispatch_worker& worker, core::time_point now) -> hold_order;
    auto hold_answered(
        hold_order const& order, order_result result,
        std::optional<worker_lists> const& lists, core::time_point now) -> bool;
    auto lose_contact(dispatch_worker& worker, core::time_point now) -> void;
    auto take_lists(
        dispatch_worker& worker, hold_order const& order,
        worker_lists const& lists, core::time_point now) -> void;
    auto take_end(
        dispatch_worker& worker, ended_row const& row, core::time_point now)
        -> void;
    auto take_running(
        dispatch_worker& worker, running_row const& row, core::time_point now)
        -> void;
    auto
    adopt(dispatch_worker& worker, running_row const& row, core::time_point now)
        -> run_entry&;
    auto resolve_missing(
        dispatch_worker& worker, core::time_point sent_at, core::time_point now)
        -> void;
    auto start_new_life(
        dispatch_worker& worker, worker_lists const& lists,
        core::time_point now) -> void;
    auto fail_task(
        job_pointer const& job, std::uint32_t task, run_number run,
        core::time_point now) -> void;
    auto keep_checkpoint(
        job_pointer const& job, std::uint32_t task, std::string checkpoint,
        core::time_point now) -> void;
    auto
    find_run(dispatch_worker& worker, task_name const& name, run_number run)
        -> std::optional<std::size_t>;
    auto lose_runs(
        dispatch_worker& worker, std::string_view cause, core::time_point now)
        -> void;
    auto end_run(
        dispatch_worker& worker, std::size_t index, run_end how,
        std::string checkpoint, core::time_point now) -> void;
    auto apply_end(
        job_pointer const& job, std::uint32_t task, dispatch_worker& worker,
        run_number run, run_end how, std::string checkpoint,
        core::time_point now) -> void;
    auto judge_worker(
        dispatch_worker& worker, job_entry& job, run_end how,
        core::time_point now) -> void;
    auto
    retry_run(dispatch_worker& worker, std::size_t index, core::time_point now)
        -> void;
    auto want_stops(job_entry& job) -> void;
    auto order_answered(
        run_order const& order, order_result result,
        std::optional<std::int64_t> clock_ms, core::time_point now) -> bool;
    auto start_answered(
        dispatch_worker& worker, std::size_t index, order_result result,
        core::time_point now) -> void;
    auto find_worker(core::worker_id const& id) -> dispatch_worker*;
    auto tick(core::time_point now) -> void;
    auto finish_recovery(core::time_point now) -> void;
    auto watch_progress(dispatch_worker& worker, core::time_point now) -> void;

    // Placement (dispatch_schedule.cpp)
    auto take_orders(core::time_point now) -> std::vector<run_order>;
    [[nodiscard]] auto startable_for(queue_config const& queue) const
        -> std::span<dispatch_worker* const>;
    [[nodiscard]] auto start_validity(core::time_point now) const
        -> core::duration;
    auto schedule(core::time_point now) -> void;
    auto place_step(ready_step const& it, core::time_point now) -> bool;
    auto place_gang(ready_step const& it, core::time_point now) -> bool;
    auto choose_worker(
        job_entry& job, step_entry& step, dispatch_task const& task,
        queue_config const& queue, core::time_point now) -> dispatch_worker*;
    auto find_startable(core::time_point now) -> void;
    [[nodiscard]] auto waits_long(
        job_entry const& job, step_entry const& step,
        core::time_point now) const -> bool;
    [[nodiscard]] auto is_unfit(
        job_entry const& job, step_entry const& step,
        core::time_point now) const -> bool;
    auto note_unfit(
        job_entry const& job, step_entry const& step, core::time_point now)
        -> void;
    auto learn_run_time(run_entry const& run, core::time_point now) -> void;
    [[nodiscard]] auto is_mostly_free() const -> bool;
    auto may_start(dispatch_worker const& worker, core::time_point now) const
        -> bool;
    auto start(
        job_pointer const& job, std::uint32_t task, dispatch_worker& worker,
        run_number run, core::time_point now) -> void;
    auto next_run(job_entry const& job, dispatch_task const& task) const
        -> run_number;
    auto make_room(
        ready_step const& it, queue_config const& queue, core::time_point now)
        -> bool;
    [[nodiscard]] static auto is_short(run_entry const& run) -> bool;
    auto evict_for(
        dispatch_worker& worker, plan_step const& spec,
        queue_config const& queue) -> void;
    auto add_stop_orders(core::time_point now) -> void;
    auto plan_run(
        job_pointer const& job, std::uint32_t task, run_number number,
        core::time_point now) -> run_entry;

    // Interference (dispatch_interference.cpp)
    auto learn_interference(dispatch_worker& worker, core::time_point now)
        -> void;
    auto assess(dispatch_worker& worker, core::time_point now) -> void;
    auto add_served(dispatch_worker& worker, run_entry const& run) -> void;
    auto base_tail(class_number task_class, std::int64_t target) -> double&;
    auto bears(
        dispatch_worker& worker, plan_step const& spec, class_number task_class,
        bool waits_long, core::time_point now) -> bool;
    auto disturbance(
        dispatch_worker& worker, plan_step const& spec, class_number task_class)
        -> double;
    auto leave_draining(dispatch_worker& worker, core::time_point now) -> void;
    auto coefficient(class_number serving, class_number filling) -> double;
    auto add_pace_orders(dispatch_worker& worker, core::time_point now) -> void;
    auto slow_down(
        dispatch_worker& worker, run_entry const& serving, bool stop_all,
        core::time_point now) -> void;
    auto repeat_pace_orders(dispatch_worker& worker, core::time_point now)
        -> void;
    auto speed_up(dispatch_worker& worker, core::time_point now) -> void;
    auto set_pace(
        dispatch_worker& worker, run_entry& run, std::uint32_t pace,
        core::time_point now) -> void;
    auto order_for(
        dispatch_worker const& worker, run_entry const& run,
        run_order_kind kind) -> run_order;

    /** Tells how long ago a job was handed in. */
    auto measure(job_time kind, job_entry const& job) const -> void
    {
        if (hooks.on_time)
        {
            hooks.on_time(
                kind, std::chrono::milliseconds{
                          hooks.unix_ms() - job.record.accepted_ms});
        }
    }

    auto note_started(job_entry& job) const -> void
    {
        if (!std::exchange(job.started, true))
        {
            measure(job_time::to_first_start, job);
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
    std::set<core::data_centre_id> drained;
    core::time_point start_limit = core::time_point::max();
    std::unordered_map<std::string, job_pointer, string_hash, std::equal_to<>>
        jobs;
    std::map<core::worker_id, std::unique_ptr<dispatch_worker>> workers;
    std::vector<ready_step> ready_steps;
    /** Workers that may be given starts in this pass. */
    std::map<core::service_id, std::vector<dispatch_worker*>> startable;
    std::vector<unfit_need> unfit;
    std::size_t unfit_kinds = 0; ///< Entries of `unfit` before this pass.
    std::vector<run_order> orders;
    std::deque<job_pointer> dirty;
    std::vector<core::job_id> forgotten;
    std::optional<core::time_point> commit_due;
    std::vector<job_pointer> in_flight; ///< Jobs of the batch in flight.
    std::vector<core::job_id> forgotten_in_flight;
    std::vector<core::worker_id> workers_in_flight;
    bool batch_open = false;
    bool workers_changed = false;
    bool workers_sent = false;
    bool workers_known = false;
    bool recovering = false;
    core::time_point recovery_until;
    core::time_point next_cleanup;
    bool mostly_free = false; ///< Little is committed in this pass.
    bool schedule_due = true;
    core::time_point next_schedule;
    core::time_point latest; ///< Time of the latest pass.
    interference_model interference{learning_settings()};
    std::map<queue_id, queue_state> queue_states;
    std::unordered_map<std::string, class_number> class_numbers;
    std::vector<std::string> class_names{{}};  ///< By class_number.
    std::map<class_number, double> base_tails; ///< Undisturbed, in ms.
    /** Read from `interference` since the latest tick, by pair of classes. */
    std::unordered_map<std::uint64_t, double> coefficients;
    dispatch_counts totals;
};

} // namespace godwitcleat::state

#endif
