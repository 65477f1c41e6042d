/** @file engine_workers.cpp Processing of heartbeats and their replies. */
#include "state/engine_internal.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace godwitcleat::state
{

namespace
{

auto is_ended(task_phase phase) -> bool
{
    return phase != task_phase::running && phase != task_phase::checkpointing;
}

auto outcome_of(task_phase phase) -> attempt_outcome
{
    switch (phase)
    {
    case task_phase::finished: return attempt_outcome::finished;
    case task_phase::failed: return attempt_outcome::failed;
    default: return attempt_outcome::stopped;
    }
}

auto command_of(worker_command_kind kind, attempt_key const& key)
    -> worker_command
{
    auto result = worker_command{};
    result.kind = kind;
    result.key = key;
    return result;
}

auto start_of(hosted_task const& task) -> worker_command
{
    auto result = command_of(worker_command_kind::start, key_of(task));
    result.spec = task.spec;
    result.checkpoint = task.checkpoint;
    result.progress = task.progress;
    return result;
}

// Each exclusion is twice as long as the previous one, up to the maximum.
auto next_exclusion(core::duration former, engine_settings const& settings)
    -> core::duration
{
    return former.count() == 0 ? settings.initial_exclusion
                               : std::min(2 * former, settings.max_exclusion);
}

} // namespace

auto shard_engine::implementation::make_reply() const -> heartbeat_reply
{
    auto reply = heartbeat_reply{};
    reply.shard = state_.shard();
    reply.lease_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(settings_.lease)
            .count();
    reply.start_valid_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            settings_.start_validity)
            .count();
    reply.next_heartbeat_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            settings_.heartbeat_interval)
            .count();
    return reply;
}

auto shard_engine::implementation::heartbeat(worker_report const& report)
    -> heartbeat_reply
{
    auto reply = make_reply();
    if (is_outdated(report))
    {
        // The worker refuses this reply because its epoch is 0.
        return reply;
    }
    reply.owner_epoch = epoch_;
    if (is_unconfirmed_boot(report))
    {
        auto& known = workers_.at(report.info.worker);
        known.unconfirmed_boots.insert(report.boot);
        known.last_reply_at = now_; // The reply grants a lease.
        return reply;
    }
    auto& worker = accept_report(report);
    learn_interference(worker);
    process_reports(worker, true, reply);
    mitigate_interference(worker, reply);
    if (faults_.start_before_commit)
    {
        send_uncommitted_starts(worker, reply);
    }
    return reply;
}

// The latest heartbeat may predate a start that was sent since, so a task that
// it lacks does not prove that the start failed. Interference is not evaluated
// here, because the ages of measurements count from the receipt of a heartbeat.
auto shard_engine::implementation::refresh_reply(
    core::worker_id const& name, std::uint64_t boot, std::uint64_t sequence)
    -> std::optional<heartbeat_reply>
{
    auto const it = workers_.find(name);
    if (it == workers_.end() || it->second.boot != boot ||
        it->second.sequence != sequence || it->second.lapsed)
    {
        return core::fail(
            core::error_kind::conflict,
            fmt::format(
                "heartbeat {} of worker {} is not the latest one or its lease "
                "has lapsed; send another heartbeat",
                sequence, name.value));
    }
    auto reply = make_reply();
    reply.owner_epoch = epoch_;
    it->second.last_reply_at = now_;
    process_reports(it->second, false, reply);
    return reply;
}

// Compares the reported tasks of the worker with the committed ones.
auto shard_engine::implementation::process_reports(
    worker_entry& worker, bool is_new_report, heartbeat_reply& reply) -> void
{
    for (auto const& [key, report] : worker.reports)
    {
        process_report(worker, report, reply);
    }
    auto const hosted = tasks_by_worker_.find(worker.info.worker);
    if (hosted == tasks_by_worker_.end())
    {
        return;
    }
    for (auto const& key : hosted->second)
    {
        if (!worker.reports.contains(key))
        {
            process_missing_task(worker, key, is_new_report, reply);
        }
    }
}

// Returns true if a later heartbeat of the worker was already received; the
// task list of an outdated one must not be used.
auto shard_engine::implementation::is_outdated(
    worker_report const& report) const -> bool
{
    auto const it = workers_.find(report.info.worker);
    if (it == workers_.end())
    {
        return false;
    }
    auto const& known = it->second;
    return known.former_boots.contains(report.boot) ||
           (known.boot == report.boot && report.sequence <= known.sequence);
}

// Returns true if the heartbeat may be a late one of an earlier boot that this
// owner has not seen before. A boot that reports this owner's epoch is newer
// than the known one: an earlier boot had ended before it could learn the
// epoch.
auto shard_engine::implementation::is_unconfirmed_boot(
    worker_report const& report) const -> bool
{
    auto const it = workers_.find(report.info.worker);
    return it != workers_.end() && it->second.boot != report.boot &&
           report.highest_epoch < epoch_;
}

auto shard_engine::implementation::accept_report(worker_report const& report)
    -> worker_entry&
{
    auto const [it, is_new] = workers_.try_emplace(report.info.worker);
    auto& worker = it->second;
    if (is_new)
    {
        emit_event(
            "worker_heard", {}, report.info.worker, report.info.rack.value);
    }
    else if (worker.boot != report.boot)
    {
        worker.former_boots.insert(worker.boot);
        worker.former_boots.merge(worker.unconfirmed_boots);
        worker.former_boots.erase(report.boot);
        worker.unconfirmed_boots.clear();
        emit_event("worker_restarted", {}, report.info.worker, {});
        end_tasks_of_former_boot(report);
    }
    worker.info = report.info;
    worker.boot = report.boot;
    worker.sequence = report.sequence;
    worker.last_reply_at = now_;
    worker.epoch_acknowledged = report.highest_epoch >= epoch_;
    worker.lapsed = false;
    worker.reports.clear();
    for (auto const& task : report.tasks)
    {
        worker.reports[task.key] = task;
    }
    return worker;
}

// Ends the tasks of a worker's former boot, which ended with its process.
auto shard_engine::implementation::end_tasks_of_former_boot(
    worker_report const& report) -> void
{
    auto const hosted = tasks_by_worker_.find(report.info.worker);
    if (hosted == tasks_by_worker_.end())
    {
        return;
    }
    for (auto const& key : hosted->second)
    {
        auto const is_listed = std::any_of(
            report.tasks.begin(), report.tasks.end(),
            [&key](task_report const& it) { return it.key == key; });
        auto const* task = state_.find_task(key);
        if (!is_listed && task != nullptr &&
            !is_start_unsent(task_entries_[key]))
        {
            end_hosted_task(*task, attempt_outcome::lost);
        }
    }
}

auto shard_engine::implementation::process_report(
    worker_entry& worker, task_report const& report, heartbeat_reply& reply)
    -> void
{
    auto const* task = state_.find_task(report.key);
    auto const is_known = task != nullptr && task->worker == worker.info.worker;
    if (is_known && !task->outcome)
    {
        process_known_task(worker, report, reply);
        return;
    }
    auto const reserved = reservations_.find(report.key);
    if (!is_known && reserved != reservations_.end() &&
        faults_.start_before_commit)
    {
        return;
    }
    auto const kind = is_ended(report.phase) ? worker_command_kind::forget
                                             : worker_command_kind::stop;
    reply.commands.push_back(command_of(kind, report.key));
    if (kind == worker_command_kind::stop)
    {
        emit_event(
            "stop_sent", report.key.job, worker.info.worker,
            attempt_text(report.key.attempt) + " unknown");
    }
}

auto shard_engine::implementation::process_known_task(
    worker_entry& worker, task_report const& report, heartbeat_reply& reply)
    -> void
{
    auto const& task = *state_.find_task(report.key);
    auto& entry = task_entries_[report.key];
    if (!entry.reported)
    {
        entry.reported = true;
        emit_event(
            "task_running", report.key.job, worker.info.worker,
            attempt_text(report.key.attempt));
    }
    entry.phase = report.phase;
    entry.progress = report.progress;
    if (!report.checkpoint.empty() && report.checkpoint != entry.checkpoint)
    {
        entry.checkpoint = report.checkpoint;
        entry.checkpoint_progress = report.progress;
    }
    if (is_ended(report.phase))
    {
        if (!has_pending_change(report.key))
        {
            count_failure(worker, outcome_of(report.phase));
            if (report.phase == task_phase::failed &&
                task.home == state_.shard())
            {
                home_entries_[report.key.job].failed_on.insert(
                    worker.info.worker);
            }
            end_hosted_task(task, outcome_of(report.phase));
        }
        return;
    }
    if (!is_stop_due(task))
    {
        return;
    }
    if (entry.requested_stop == stop_kind::stop)
    {
        reply.commands.push_back(
            command_of(worker_command_kind::stop, report.key));
    }
    else if (report.phase == task_phase::running)
    {
        reply.commands.push_back(
            command_of(worker_command_kind::checkpoint, report.key));
    }
}

// Handles a committed task that the worker does not report: it is not started
// yet, its start was refused, or it is lost.
auto shard_engine::implementation::process_missing_task(
    worker_entry& worker, attempt_key const& key, bool is_new_report,
    heartbeat_reply& reply) -> void
{
    auto const* task = state_.find_task(key);
    if (task == nullptr || task->outcome || has_pending_change(key))
    {
        return;
    }
    auto& entry = task_entries_[key];
    if (entry.reported)
    {
        end_hosted_task(*task, attempt_outcome::lost);
        return;
    }
    // The worker refuses replies from former owners once it has acknowledged
    // this epoch, so none of their starts can take effect after this heartbeat.
    entry.former_starts_void |= worker.epoch_acknowledged;
    if (entry.recovered && entry.former_starts_void)
    {
        // The worker may have executed the former owner's start and restarted
        // since. Sending the start again could run one attempt twice.
        end_hosted_task(*task, attempt_outcome::lost);
        return;
    }
    auto const is_unwanted =
        entry.requested_stop != stop_kind::none ||
        (!faults_.ignore_drain && is_drained_worker(worker.info.worker));
    if (!is_unwanted)
    {
        send_start(worker, *task, reply);
        return;
    }
    if (is_start_unsent(entry))
    {
        end_hosted_task(*task, attempt_outcome::not_started);
        return;
    }
    // The first heartbeat received after the start has expired may have been
    // sent before that. The second one was certainly sent later, so it proves
    // that the task was not started.
    auto const valid = with_margin(settings_.start_validity, settings_);
    if (!is_new_report || !entry.start_sent ||
        now_ - entry.start_sent_at < valid)
    {
        return;
    }
    if (entry.heartbeat_after_validity)
    {
        end_hosted_task(*task, attempt_outcome::not_started);
        return;
    }
    entry.heartbeat_after_validity = worker.sequence;
}

auto shard_engine::implementation::send_start(
    worker_entry& worker, hosted_task const& task, heartbeat_reply& reply)
    -> void
{
    auto const key = key_of(task);
    auto& entry = task_entries_[key];
    if (!view_.config || (entry.recovered && !entry.former_starts_void))
    {
        return;
    }
    if (!last_start_commit_at_ ||
        now_ - *last_start_commit_at_ >= settings_.max_commit_to_start)
    {
        if (!reconfirm_pending_)
        {
            enqueue({reconfirm{}});
        }
        workers_awaiting_start_.insert(worker.info.worker);
        return;
    }
    if (!entry.start_sent)
    {
        emit_event(
            "start_sent", key.job, worker.info.worker,
            attempt_text(key.attempt));
    }
    entry.start_sent = true;
    entry.start_sent_at = now_;
    entry.heartbeat_after_validity.reset();
    reply.commands.push_back(start_of(task));
}

// Implements the fault start_before_commit: sends starts of tasks that are
// placed but not yet committed.
auto shard_engine::implementation::send_uncommitted_starts(
    worker_entry const& worker, heartbeat_reply& reply) -> void
{
    for (auto const& [key, value] : reservations_)
    {
        if (value.task.worker == worker.info.worker &&
            !worker.reports.contains(key))
        {
            reply.commands.push_back(start_of(value.task));
            emit_event(
                "start_sent", key.job, worker.info.worker,
                attempt_text(key.attempt));
        }
    }
}

auto shard_engine::implementation::count_failure(
    worker_entry& worker, attempt_outcome outcome) -> void
{
    if (outcome == attempt_outcome::finished)
    {
        worker.consecutive_failures = 0;
        worker.exclusion = core::duration{0};
    }
    if (outcome != attempt_outcome::failed)
    {
        return;
    }
    ++worker.consecutive_failures;
    if (worker.consecutive_failures < settings_.failures_before_exclusion ||
        now_ < worker.excluded_until)
    {
        return;
    }
    worker.exclusion = next_exclusion(worker.exclusion, settings_);
    worker.excluded_until = now_ + worker.exclusion;
    emit_event(
        "worker_excluded", {}, worker.info.worker,
        fmt::format("failures={}", worker.consecutive_failures));
}

// Enqueues the end of a hosted task. If its job's home is this shard, the
// attempt is ended and the task forgotten in the same batch.
auto shard_engine::implementation::end_hosted_task(
    hosted_task const& task, attempt_outcome outcome) -> void
{
    auto const key = key_of(task);
    if (task.outcome || has_pending_change(key))
    {
        return;
    }
    auto const& entry = task_entries_[key];
    auto const* known = state_.find_job(key.job);
    auto records = std::vector<record>{end_task{
        key, outcome, entry.checkpoint,
        outcome == attempt_outcome::finished ? entry.progress
                                             : entry.checkpoint_progress}};
    if (task.home == state_.shard() && !has_pending_change(key.job) &&
        known != nullptr && known->binding &&
        known->binding->number == key.attempt)
    {
        auto const& end = std::get<end_task>(records.front());
        records.emplace_back(end_attempt{
            key.job, key.attempt, outcome, end.checkpoint, end.progress,
            outcome == attempt_outcome::finished
                ? std::string{}
                : fmt::format(
                      "attempt {} ended: {}", key.attempt.value,
                      to_string(outcome))});
        records.emplace_back(forget_task{key});
    }
    enqueue(std::move(records));
}

} // namespace godwitcleat::state
