/** @file engine_internal.hpp Implementation class of the shard engine. */
#ifndef GODWITCLEAT_STATE_ENGINE_INTERNAL_HPP
#define GODWITCLEAT_STATE_ENGINE_INTERNAL_HPP

#include "state/engine_base.hpp"

#include <deque>
#include <set>
#include <utility>

namespace godwitcleat::state
{

/** A callback to run once the engine's state is consistent again. */
struct due_callback
{
    shard_engine::commit_callback on_done;
    std::optional<core::failure> reason; ///< Unset: committed.
};

/** Records that are committed atomically, and the callbacks to run then. */
struct pending_change
{
    std::vector<record> records;
    std::vector<shard_engine::commit_callback> on_done;
    core::generation generation; ///< Configuration that its starts assume.
};

/** How the engine has decided to stop a hosted task. */
enum class stop_kind
{
    none,       ///< No stop is requested.
    checkpoint, ///< Write a checkpoint, then stop.
    stop        ///< Stop immediately.
};

/** Volatile state of a hosted task. */
struct task_entry
{
    bool recovered = false; ///< Hosted by a former owner, which may have
                            ///< sent its start.
    bool former_starts_void = false; ///< No start from a former owner can
                                     ///< take effect any more.
    bool start_sent = false;         ///< By this owner.
    bool reported = false;           ///< The worker has reported the task.
    core::time_point start_sent_at;
    /// Sequence number of the first heartbeat received after the latest start
    /// expired.
    std::optional<std::uint64_t> heartbeat_after_validity;
    stop_kind requested_stop = stop_kind::none;
    core::time_point stop_requested_at;
    task_phase phase = task_phase::running; ///< As last reported.
    std::int64_t progress = 0;              ///< As last reported.
    std::string checkpoint;                 ///< Latest one reported.
    std::int64_t checkpoint_progress =
        0;                            ///< Progress when it was first reported.
    core::time_point next_end_report; ///< When to report the end again.
    /// Time of the first measurement of the current period of slowdown above
    /// the limit.
    std::optional<core::time_point> slowed_since;
    std::optional<std::int64_t> throttle_percent; ///< Sent in every reply.
    core::time_point throttled_at;
    /// Time of the latest measurement used by the interference model.
    std::optional<core::time_point> measured_at;
};

/** The set of tasks that ran on a worker from `since` until the next entry. */
struct task_snapshot
{
    core::time_point since;
    std::map<attempt_key, std::string> tasks; ///< Keys and task classes.
};

/** Returns true if this owner sent no start and no start of a former owner can
 * take effect. */
inline auto is_start_unsent(task_entry const& entry) -> bool
{
    return !entry.reported && !entry.start_sent &&
           (!entry.recovered || entry.former_starts_void);
}

inline auto key_of(hosted_task const& task) -> attempt_key
{
    return {task.spec.id, task.attempt};
}

/** A worker that has sent a heartbeat to this owner. */
struct worker_entry
{
    worker_info info;
    std::uint64_t boot = 0;
    std::uint64_t sequence = 0; ///< Of the latest heartbeat.
    std::set<std::uint64_t> former_boots;
    std::set<std::uint64_t> unconfirmed_boots; ///< May be older than `boot`.
    core::time_point last_reply_at;
    bool epoch_acknowledged = false; ///< Refuses replies from former owners.
    bool lapsed = false;
    std::map<attempt_key, task_report> reports; ///< Of the latest heartbeat.
    std::uint32_t consecutive_failures = 0;
    core::duration exclusion{0}; ///< Length of the latest exclusion.
    core::time_point excluded_until;
    std::deque<task_snapshot> task_history; ///< Oldest first.
    core::time_point last_mitigation_at;    ///< Latest throttling or eviction.
    std::optional<core::time_point> drained_since; ///< Set while drained.
    std::optional<core::time_point> returned_at;   ///< End of the latest drain.
    /// Latest placement of batch work since the end of the drain.
    std::optional<core::time_point> batch_placed_at;
};

/** An offer of a queued job to another shard, which may still claim it. */
struct open_offer
{
    core::attempt_number attempt;
    core::shard_id host;
    core::time_point expires;
};

/** Volatile state of a home job. */
struct home_entry
{
    std::optional<open_offer> offer;
    std::map<core::shard_id, core::time_point>
        next_offer_at;                   ///< After refusals.
    std::set<core::worker_id> failed_on; ///< Only workers of this shard.
    core::time_point last_heard_at; ///< Latest message about a remote attempt.
    core::time_point status_requested_at; ///< Latest status_request.
    bool remote_running = false; ///< The host reports the task as running.
    std::optional<core::time_point> final_since;
    std::string wait_reason; ///< Why the job is not placed yet.
    bool impossible = false; ///< Needs more than any known worker has.
    /// Shard that is evicting tasks for this job.
    std::optional<core::shard_id> evicting_host;
    core::time_point evicting_until; ///< Until then no other shard is asked.
};

/** Capacity reserved in memory for a task that is not yet committed. */
struct reservation
{
    hosted_task task;
    bool is_home_job = false; ///< The job's home is this shard.
    bool granted = false;     ///< The home shard has bound the attempt.
    core::time_point expires;
    core::time_point next_claim;
};

/** Capacity freed by evictions and held for one job. */
struct capacity_hold
{
    core::worker_id worker;
    core::resources need;
    core::time_point expires;
};

/** A cancellation that is deferred until the job has no pending record. */
struct deferred_cancel
{
    std::string reason;
    std::vector<shard_engine::commit_callback> on_done;
};

/** Implementation of the engine. */
struct shard_engine::implementation
{
    implementation(
        core::epoch owner_epoch, shard_state recovered,
        engine_settings settings, engine_hooks hooks, core::time_point now,
        engine_faults faults);

    // engine_batch.cpp: pending records and group commits.
    auto enqueue(std::vector<record> records, commit_callback on_done = {})
        -> void;
    auto has_pending_change(core::job_id const& id) const -> bool;
    auto has_pending_change(attempt_key const& key) const -> bool;
    auto find_pending_change(std::function<bool(record const&)> const& matches)
        -> pending_change*;
    auto take_batch() -> std::optional<commit_batch>;
    auto batch_committed(core::time_point sent_at) -> void;
    auto batch_rejected(batch_rejection cause) -> void;
    auto drop_outdated_starts() -> void;
    auto fail_open_calls(core::failure const& reason) -> void;
    auto mark_pending(pending_change const& value) -> void;
    auto clear_pending(pending_change const& value) -> void;
    auto drop_start(pending_change value, std::vector<due_callback>& callbacks)
        -> void;
    auto apply(pending_change& value, std::vector<due_callback>& callbacks)
        -> void;
    auto update_volatile_state(record const& value) -> void;
    static auto run_callbacks(std::vector<due_callback> const& callbacks)
        -> void;

    // engine_jobs.cpp: jobs whose home is this shard.
    auto submit(job_spec spec, commit_callback on_done) -> void;
    auto
    cancel(core::job_id const& id, std::string reason, commit_callback on_done)
        -> void;
    auto retry_cancels() -> void;
    auto load_configured_jobs() -> void;
    auto reconcile_configuration() -> void;
    auto replace_changed_runner(job const& known, job_spec const& configured)
        -> void;
    auto advance_jobs() -> void;
    auto stop_cancelled(job const& known) -> void;
    auto poll_remote_attempt(job const& known) -> void;
    auto expire_final_job(job const& known) -> void;
    auto end_binding(
        job const& known, attempt_outcome outcome, std::string checkpoint,
        std::int64_t progress, commit_callback on_done) -> void;
    auto phase_of(job const& known) const -> job_phase;

    // engine_workers.cpp, engine_tasks.cpp: heartbeats, leases, starts and
    // stops of tasks.
    auto heartbeat(worker_report const& report) -> heartbeat_reply;
    auto refresh_reply(
        core::worker_id const& name, std::uint64_t boot, std::uint64_t sequence)
        -> std::optional<heartbeat_reply>;
    auto make_reply() const -> heartbeat_reply;
    auto process_reports(
        worker_entry& worker, bool is_new_report, heartbeat_reply& reply)
        -> void;
    auto is_unconfirmed_boot(worker_report const& report) const -> bool;
    auto is_outdated(worker_report const& report) const -> bool;
    auto accept_report(worker_report const& report) -> worker_entry&;
    auto end_tasks_of_former_boot(worker_report const& report) -> void;
    auto process_report(
        worker_entry& worker, task_report const& report, heartbeat_reply& reply)
        -> void;
    auto process_known_task(
        worker_entry& worker, task_report const& report, heartbeat_reply& reply)
        -> void;
    auto process_missing_task(
        worker_entry& worker, attempt_key const& key, bool is_new_report,
        heartbeat_reply& reply) -> void;
    auto send_start(
        worker_entry& worker, hosted_task const& task, heartbeat_reply& reply)
        -> void;
    auto
    send_uncommitted_starts(worker_entry const& worker, heartbeat_reply& reply)
        -> void;
    auto count_failure(worker_entry& worker, attempt_outcome outcome) -> void;
    auto end_hosted_task(hosted_task const& task, attempt_outcome outcome)
        -> void;
    auto lapse_time(core::worker_id const& id) const
        -> std::optional<core::time_point>;
    auto expire_leases() -> void;
    auto advance_tasks() -> void;
    auto advance_task(hosted_task const& task, bool services_left) -> void;
    auto track_drains() -> void;
    auto move_service(hosted_task const& task) -> void;
    auto add_draining_task(hosted_task const& task) -> void;
    auto checkpoint_draining_tasks() -> void;
    auto report_end(hosted_task const& task) -> void;
    auto request_stop(attempt_key const& key, stop_kind kind) -> void;
    auto is_drained_worker(core::worker_id const& id) const -> bool;
    auto is_stop_due(hosted_task const& task) const -> bool;

    // engine_interference.cpp: learning and mitigating interference.
    auto learn_interference(worker_entry& worker) -> void;
    auto collect_colocated_tasks(worker_entry const& worker)
        -> std::vector<colocated_task>;
    auto is_slowed(worker_entry const& worker) -> bool;
    auto mitigate_interference(worker_entry& worker, heartbeat_reply& reply)
        -> void;
    auto apply_mitigation(
        worker_entry& worker, attempt_key const& key, worker_command_kind kind)
        -> void;
    auto end_throttling(worker_entry& worker) -> void;

    // engine_offers.cpp: the protocol with other shards.
    auto handle(shard_request const& request, reply_callback on_reply) -> void;
    auto on_offer(offer_request const& request) -> offer_reply;
    auto on_claim(claim_request const& request, reply_callback on_reply)
        -> void;
    auto on_attempt_end(
        attempt_ended_request const& request, reply_callback on_reply) -> void;
    auto on_status(status_request const& request, reply_callback on_reply)
        -> void;
    auto decline(attempt_key const& key, commit_callback on_done) -> void;
    auto handle_reply(
        shard_request const& request, std::optional<shard_reply> const& it)
        -> void;
    auto on_offer_reply(
        offer_request const& request, std::optional<offer_reply> const& it)
        -> void;
    auto on_claim_reply(claim_request const& request, claim_reply const& it)
        -> void;
    auto on_status_reply(status_request const& request, status_reply const& it)
        -> void;
    auto reserve(reservation value) -> void;
    auto release_reservation(attempt_key const& key) -> void;
    auto host_granted_task(reservation const& value) -> void;
    auto advance_reservations() -> void;
    auto expire_offers() -> void;

    // engine_schedule.cpp, engine_candidates.cpp: queue order, placement and
    // eviction.
    auto tick(cluster_view const& view) -> void;
    auto schedule() -> void;
    auto schedule_class(std::vector<job const*> const& queue) -> void;
    auto may_schedule(job const& known) const -> bool;
    auto place_job(job const& known) -> bool;
    auto
    place_locally(job const& known, std::set<core::worker_id> const& avoided)
        -> bool;
    auto is_evicting_elsewhere(home_entry const& entry) const -> bool;
    auto offer_to_other_shard(job const& known, bool allow_eviction) -> bool;
    auto choose_worker(
        job_spec const& spec, std::set<core::worker_id> const& avoided,
        std::vector<placement_candidate>& usable) const
        -> std::optional<core::worker_id>;
    auto usable_workers() const -> std::vector<placement_candidate>;
    auto add_placed_task(job_spec const& spec, core::worker_id const& worker)
        -> void;
    auto add_hosted_tasks(
        std::set<attempt_key> const& keys, placement_candidate& value) const
        -> void;
    static auto add_task(job_spec const& spec, placement_candidate& value)
        -> void;
    auto is_usable(worker_entry const& worker) const -> bool;
    auto is_ramping_up(core::worker_id const& name) const -> bool;
    auto free_capacity(
        core::worker_id const& name, core::resources const& capacity,
        core::job_id const& id) const -> core::resources;
    auto may_evict(job_spec const& spec) const -> bool;
    auto hold_capacity(job_spec const& spec) -> void;
    auto evict_for(job_spec const& spec) -> bool;
    auto evictable_tasks(core::worker_id const& worker) const
        -> std::vector<hosted_task const*>;
    auto check_possible(job const& known) -> bool;
    auto team_uses() const -> std::map<core::team_id, core::resources>;
    auto quota_of(core::team_id const& team) const
        -> std::optional<core::resources>;
    auto within_quota(job_spec const& spec) const -> bool;

    // engine_views.cpp: status for operators, gateways and other shards.
    auto jobs() const -> std::vector<job>;
    auto workers(core::time_point now) const -> std::vector<worker_view>;
    auto endpoints() const -> std::vector<service_endpoint>;
    auto knows_all_endpoints() const -> bool;
    auto summary(core::time_point now) const -> shard_summary;
    auto emit_event(
        std::string kind, core::job_id job, core::worker_id worker,
        std::string detail) const -> void;

private:
    friend class shard_engine;

    core::epoch epoch_;
    shard_state state_;
    engine_settings settings_;
    engine_hooks hooks_;
    engine_faults faults_;
    core::time_point now_;
    core::time_point created_at_;
    cluster_view view_;
    std::optional<core::time_point> former_owner_stopped_at_;

    std::deque<pending_change> queued_changes_;
    std::optional<std::vector<pending_change>> changes_in_flight_;
    bool in_flight_allows_start_ = false;
    std::set<core::job_id> pending_jobs_;
    std::set<attempt_key> pending_tasks_;
    bool reconfirm_pending_ = false;
    std::optional<core::time_point>
        last_start_commit_at_; ///< Latest commit that allows starts.

    std::map<core::job_id, home_entry> home_entries_;
    std::map<core::job_id, deferred_cancel> deferred_cancels_;
    std::map<core::job_id, job_spec> configured_jobs_; ///< Home jobs.
    std::map<core::team_id, core::resources>
        team_uses_;                                  ///< Valid in schedule().
    std::vector<core::resources> unplaceable_needs_; ///< Valid in schedule().
    std::uint32_t remaining_starts_ = 0;             ///< In this tick.
    std::vector<draining_task> draining_tasks_; ///< Valid in advance_tasks().
    core::time_point next_drain_checkpoint_at_; ///< For checkpoints_per_s.
    /// Cache of usable_workers() within schedule(), during which tasks and
    /// leases do not change. choose_worker() sets the free capacity anew for
    /// each job.
    std::optional<std::vector<placement_candidate>> usable_workers_;

    std::map<core::worker_id, worker_entry> workers_;
    std::map<core::worker_id, std::set<attempt_key>> tasks_by_worker_;
    std::map<attempt_key, task_entry> task_entries_;
    std::map<attempt_key, reservation> reservations_;
    std::map<core::worker_id, core::resources> reserved_by_worker_;
    std::map<core::job_id, capacity_hold> capacity_holds_;
    /// Recently forgotten tasks, and until when repeated offers of them are
    /// refused.
    std::map<attempt_key, core::time_point> forgotten_tasks_;
    std::vector<shard_request> outbox_;
    std::set<core::worker_id> due_workers_; ///< For take_due_workers().
    std::set<core::worker_id>
        workers_awaiting_start_; ///< Until a reconfirm is committed.
    interference_model interference_;
};

/** Returns `attempt=N` for timeline events. */
auto attempt_text(core::attempt_number number) -> std::string;

/** Returns @p length plus the margin for clock rate drift. */
auto with_margin(core::duration length, engine_settings const& settings)
    -> core::duration;

} // namespace godwitcleat::state

#endif
