/** @file engine_internal.hpp Members of the shard engine, private to state. */
#ifndef GODWITCLEAT_STATE_ENGINE_INTERNAL_HPP
#define GODWITCLEAT_STATE_ENGINE_INTERNAL_HPP

#include "state/engine_base.hpp"

#include <deque>
#include <set>
#include <utility>

namespace godwitcleat::state
{

/** A callback that is run after the engine's own changes are complete. */
struct due_call
{
    shard_engine::done on_done;
    std::optional<core::failure> reason; ///< Empty: committed.
};

/** Records that are committed together or not at all. */
struct change
{
    std::vector<record> records;
    std::vector<shard_engine::done> on_done;
    core::generation generation; ///< Under which its starts were decided.
};

/** How a hosted task is to be ended. */
enum class stop_kind
{
    none,       ///< It runs on.
    checkpoint, ///< Write a checkpoint, then stop.
    stop        ///< Stop at once.
};

/** What this owner knows of a hosted task beyond the durable state. */
struct task_entry
{
    bool recovered = false;  ///< A former owner may have sent its start.
    bool cleared = false;    ///< No start of a former owner can take effect.
    bool start_sent = false; ///< This owner sent a start.
    bool reported = false;   ///< The worker has reported it.
    core::time_point start_sent_at;
    std::optional<std::uint64_t>
        after_validity; ///< First heartbeat received after its last start's
                        ///< validity.
    stop_kind wanted = stop_kind::none;
    core::time_point wanted_since;
    task_phase phase = task_phase::running; ///< As last reported.
    std::int64_t progress = 0;              ///< As last reported.
    std::string checkpoint;                 ///< Latest one reported.
    std::int64_t checkpoint_progress = 0;   ///< When it was first reported.
    core::time_point next_over;             ///< Next sending of over_request.
    std::optional<core::time_point>
        disturbed_since; ///< Slowed above the limit since this measurement.
    std::optional<std::int64_t> throttle_percent; ///< Sent with each reply.
    core::time_point throttled_at;
    std::optional<core::time_point>
        measured_at; ///< Latest measurement that the model has learned from.
};

/** The tasks that ran on a worker from one time on. */
struct past_tasks
{
    core::time_point since;
    std::map<attempt_key, std::string> tasks; ///< With their task classes.
};

/** Returns true if no start of the task can have been sent. */
inline auto is_unsent(task_entry const& entry) -> bool
{
    return !entry.reported && !entry.start_sent &&
           (!entry.recovered || entry.cleared);
}

/** Returns the key of @p task. */
inline auto key_of(hosted_task const& task) -> attempt_key
{
    return {task.spec.id, task.attempt};
}

/** A worker that this owner has heard from. */
struct worker_entry
{
    worker_info info;
    std::uint64_t boot = 0;
    std::uint64_t sequence = 0;
    std::set<std::uint64_t> past_boots;
    std::set<std::uint64_t> unproved_boots; ///< Perhaps older than `boot`.
    core::time_point last_reply;
    bool adopted = false; ///< It refuses replies of former owners.
    bool lapsed = false;
    std::map<attempt_key, task_report> reports; ///< Of the last heartbeat.
    std::uint32_t failures_in_row = 0;
    core::duration exclusion{0}; ///< Length of the latest exclusion.
    core::time_point excluded_until;
    std::deque<past_tasks> past;  ///< Oldest first.
    core::time_point relieved_at; ///< Latest throttling or eviction.
    std::optional<core::time_point> drained_since; ///< While it is drained.
    std::optional<core::time_point> returned_at;   ///< Latest end of a drain.
    std::optional<core::time_point>
        batch_placed_at; ///< Latest one since it returned.
};

/** The offer of a queued job that another shard may still claim. */
struct open_offer
{
    core::attempt_number attempt;
    core::shard_id host;
    core::time_point expires;
};

/** What this owner knows of a home job beyond the durable state. */
struct home_entry
{
    std::optional<open_offer> offer;
    std::map<core::shard_id, core::time_point> not_before; ///< Refusals.
    std::set<core::worker_id> failed_on; ///< Own workers where it failed.
    core::time_point heard_at;           ///< Latest news of a remote attempt.
    core::time_point asked_at;           ///< Latest status_request.
    bool running = false;                ///< Remote attempt reported running.
    std::optional<core::time_point> final_since;
    std::string waits;       ///< Why it is not placed.
    bool impossible = false; ///< Its needs exceed every known worker.
    /// Shard that evicts for this job.
    std::optional<core::shard_id> evicting_host;
    core::time_point evicting_until; ///< No other shard is asked before.
};

/** Room that is kept in memory for a task that is not yet committed. */
struct reservation
{
    hosted_task task;
    bool own = false;     ///< The job's home is this shard.
    bool granted = false; ///< The home has bound the attempt.
    core::time_point expires;
    core::time_point next_claim;
};

/** Room that evictions free for an urgent job. */
struct room_hold
{
    core::worker_id worker;
    core::resources need;
    core::time_point expires;
};

/** A cancellation that waits until the job has no waiting record. */
struct deferred_cancel
{
    std::string reason;
    std::vector<shard_engine::done> on_done;
};

/** State and decisions of the engine; see the functions' source files. */
struct shard_engine::implementation
{
    implementation(
        core::epoch owner_epoch, shard_state recovered,
        engine_settings settings, engine_hooks hooks, core::time_point now,
        engine_faults faults);

    // engine_batch.cpp: records that wait and their commits.
    auto enqueue(std::vector<record> records, done on_done = {}) -> void;
    auto is_busy(core::job_id const& id) const -> bool;
    auto is_busy(attempt_key const& key) const -> bool;
    auto find_change(std::function<bool(record const&)> const& matches)
        -> change*;
    auto take_batch() -> std::optional<commit_batch>;
    auto batch_committed(core::time_point sent_at) -> void;
    auto batch_rejected(batch_rejection cause) -> void;
    auto drop_outdated_starts() -> void;
    auto fail_everything(core::failure const& reason) -> void;
    auto mark_busy(change const& value) -> void;
    auto unmark_busy(change const& value) -> void;
    auto drop_start(change value, std::vector<due_call>& calls) -> void;
    auto apply(change& value, std::vector<due_call>& calls) -> void;
    auto applied(record const& value) -> void;
    static auto run(std::vector<due_call> const& calls) -> void;

    // engine_jobs.cpp: jobs at home in this shard.
    auto submit(job_spec spec, done on_done) -> void;
    auto cancel(core::job_id const& id, std::string reason, done on_done)
        -> void;
    auto retry_cancels() -> void;
    auto load_wanted() -> void;
    auto follow_configuration() -> void;
    auto replace_changed_runner(job const& known, job_spec const& wanted)
        -> void;
    auto follow_jobs() -> void;
    auto follow_cancelled(job const& known) -> void;
    auto follow_remote(job const& known) -> void;
    auto follow_final(job const& known) -> void;
    auto end_binding(
        job const& known, attempt_outcome outcome, std::string checkpoint,
        std::int64_t progress, done on_done) -> void;
    auto phase_of(job const& known) const -> job_phase;

    // engine_workers.cpp: heartbeats, leases, starts and ends of tasks.
    auto heartbeat(worker_report const& report) -> heartbeat_reply;
    auto answer_again(
        core::worker_id const& name, std::uint64_t boot, std::uint64_t sequence)
        -> std::optional<heartbeat_reply>;
    auto empty_reply() const -> heartbeat_reply;
    auto follow_reports(
        worker_entry& worker, bool is_new_report, heartbeat_reply& reply)
        -> void;
    auto is_unproved_boot(worker_report const& report) const -> bool;
    auto is_outdated(worker_report const& report) const -> bool;
    auto accept_report(worker_report const& report) -> worker_entry&;
    auto lose_former_boot(worker_report const& report) -> void;
    auto follow_report(
        worker_entry& worker, task_report const& report, heartbeat_reply& reply)
        -> void;
    auto follow_known(
        worker_entry& worker, task_report const& report, heartbeat_reply& reply)
        -> void;
    auto follow_missing(
        worker_entry& worker, attempt_key const& key, bool is_new_report,
        heartbeat_reply& reply) -> void;
    auto send_start(
        worker_entry& worker, hosted_task const& task, heartbeat_reply& reply)
        -> void;
    auto
    send_uncommitted_starts(worker_entry const& worker, heartbeat_reply& reply)
        -> void;
    auto count_failure(worker_entry& worker, attempt_outcome outcome) -> void;
    auto end_hosted(hosted_task const& task, attempt_outcome outcome) -> void;
    auto lapse_time(core::worker_id const& id) const
        -> std::optional<core::time_point>;
    auto follow_leases() -> void;
    auto follow_tasks() -> void;
    auto follow_task(hosted_task const& task, bool services_left) -> void;
    auto follow_drains() -> void;
    auto move_service(hosted_task const& task) -> void;
    auto note_leaving(hosted_task const& task) -> void;
    auto checkpoint_leaving() -> void;
    auto follow_over(hosted_task const& task) -> void;
    auto want_stop(attempt_key const& key, stop_kind kind) -> void;
    auto is_drained_worker(core::worker_id const& id) const -> bool;
    auto is_stop_due(hosted_task const& task) const -> bool;

    // engine_interference.cpp: learning from and acting on interference.
    auto learn(worker_entry& worker) -> void;
    auto describe_disturbed(worker_entry const& worker)
        -> std::vector<disturbed_task>;
    auto is_disturbed(worker_entry const& worker) -> bool;
    auto relieve(worker_entry& worker, heartbeat_reply& reply) -> void;
    auto
    act(worker_entry& worker, attempt_key const& key, worker_command_kind kind)
        -> void;
    auto release_throttled(worker_entry& worker) -> void;

    // engine_offers.cpp: the protocol with other shards.
    auto handle(shard_request const& request, answer on_answer) -> void;
    auto on_offer(offer_request const& request) -> offer_reply;
    auto on_claim(claim_request const& request, answer on_answer) -> void;
    auto on_over(over_request const& request, answer on_answer) -> void;
    auto on_status(status_request const& request, answer on_answer) -> void;
    auto decline(attempt_key const& key, done on_done) -> void;
    auto
    replied(shard_request const& request, std::optional<shard_reply> const& it)
        -> void;
    auto on_offer_reply(
        offer_request const& request, std::optional<offer_reply> const& it)
        -> void;
    auto on_claim_reply(claim_request const& request, claim_reply const& it)
        -> void;
    auto on_status_reply(status_request const& request, status_reply const& it)
        -> void;
    auto reserve(reservation value) -> void;
    auto release(attempt_key const& key) -> void;
    auto host_granted(reservation const& value) -> void;
    auto follow_reservations() -> void;
    auto follow_offers() -> void;

    // engine_schedule.cpp: order, placement and eviction.
    auto tick(cluster_view const& view) -> void;
    auto schedule() -> void;
    auto schedule_class(std::vector<job const*> const& queue) -> void;
    auto may_schedule(job const& known) const -> bool;
    auto place_job(job const& known) -> bool;
    auto place_here(job const& known, std::set<core::worker_id> const& avoided)
        -> bool;
    auto is_room_made(home_entry const& entry) const -> bool;
    auto offer_elsewhere(job const& known, bool without_room) -> bool;
    auto choose_worker(
        job_spec const& spec, std::set<core::worker_id> const& avoided,
        std::vector<placement_candidate>& usable) const
        -> std::optional<core::worker_id>;
    auto usable_workers() const -> std::vector<placement_candidate>;
    auto note_placed(job_spec const& spec, core::worker_id const& worker)
        -> void;
    auto describe_tasks(
        std::set<attempt_key> const& keys, placement_candidate& value) const
        -> void;
    static auto describe_task(job_spec const& spec, placement_candidate& value)
        -> void;
    auto is_usable(worker_entry const& worker) const -> bool;
    auto is_ramping(core::worker_id const& name) const -> bool;
    auto free_room(
        core::worker_id const& name, core::resources const& capacity,
        core::job_id const& id) const -> core::resources;
    auto may_evict(job_spec const& spec) const -> bool;
    auto hold_room(job_spec const& spec) -> void;
    auto evict_for(job_spec const& spec) -> bool;
    auto victims(core::worker_id const& worker) const
        -> std::vector<hosted_task const*>;
    auto test_possible(job const& known) -> bool;
    auto team_uses() const -> std::map<core::team_id, core::resources>;
    auto quota_of(core::team_id const& team) const
        -> std::optional<core::resources>;
    auto within_quota(job_spec const& spec) const -> bool;

    // engine_views.cpp: what other parts see.
    auto jobs() const -> std::vector<job>;
    auto workers(core::time_point now) const -> std::vector<worker_view>;
    auto endpoints() const -> std::vector<service_endpoint>;
    auto knows_all_endpoints() const -> bool;
    auto summary(core::time_point now) const -> shard_summary;
    auto event(
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
    core::time_point made_at_;
    cluster_view view_;
    std::optional<core::time_point> former_stopped_at_;

    std::deque<change> waiting_;
    std::optional<std::vector<change>> flight_;
    bool flight_allows_start_ = false;
    std::set<core::job_id> busy_jobs_;
    std::set<attempt_key> busy_tasks_;
    bool reconfirm_waits_ = false;
    std::optional<core::time_point> start_allowed_at_; ///< Latest such commit.

    std::map<core::job_id, home_entry> home_;
    std::map<core::job_id, deferred_cancel> cancels_;
    std::map<core::job_id, job_spec> wanted_;       ///< From the configuration.
    std::map<core::team_id, core::resources> uses_; ///< During schedule().
    std::vector<core::resources> without_room_; ///< Needs, during schedule().
    std::uint32_t starts_left_ = 0;
    std::vector<leaving_task> leaving_; ///< During follow_tasks().
    core::time_point next_leaving_at_;  ///< Earliest next checkpoint.
    /// Candidates of this schedule(). Tasks and leases do not change during
    /// it; the free room does and is set for each job.
    std::optional<std::vector<placement_candidate>> usable_;

    std::map<core::worker_id, worker_entry> workers_;
    std::map<core::worker_id, std::set<attempt_key>> tasks_of_;
    std::map<attempt_key, task_entry> tasks_;
    std::map<attempt_key, reservation> reservations_;
    std::map<core::worker_id, core::resources> reserved_;
    std::map<core::job_id, room_hold> holds_;
    /// Tasks forgotten lately, with the time until which repeated offers of
    /// them are refused.
    std::map<attempt_key, core::time_point> forgotten_;
    std::vector<shard_request> outbox_;
    std::set<core::worker_id> due_workers_;     ///< A command became due.
    std::set<core::worker_id> waits_for_start_; ///< Until a reconfirm.
    interference_model interference_;
};

/** Returns `attempt=N` for time lines. */
auto attempt_text(core::attempt_number number) -> std::string;

/** Returns @p length lengthened by the margin for clock rate drift. */
auto with_margin(core::duration length, engine_settings const& settings)
    -> core::duration;

} // namespace godwitcleat::state

#endif
