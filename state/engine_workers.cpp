/** @file engine_workers.cpp Heartbeats, leases, starts and ends of tasks. */
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

// Lengths of an exclusion: the first one, then twice the former one.
auto next_exclusion(core::duration former, engine_settings const& settings)
    -> core::duration
{
    return former.count() == 0 ? settings.exclusion_first
                               : std::min(2 * former, settings.exclusion_most);
}

} // namespace

auto shard_engine::implementation::empty_reply() const -> heartbeat_reply
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
    auto reply = empty_reply();
    if (is_outdated(report))
    {
        // Epoch 0 makes the worker refuse this reply.
        return reply;
    }
    reply.owner_epoch = epoch_;
    if (is_unproved_boot(report))
    {
        auto& known = workers_.at(report.info.worker);
        known.unproved_boots.insert(report.boot);
        known.last_reply = now_; // The reply grants a lease.
        return reply;
    }
    auto& worker = accept_report(report);
    learn(worker);
    follow_reports(worker, true, reply);
    relieve(worker, reply);
    if (faults_.start_before_commit)
    {
        send_uncommitted_starts(worker, reply);
    }
    return reply;
}

// The list of the heartbeat may be older than a start that was sent since. So
// only a new heartbeat may show that a start has failed. Disturbance is left to
// heartbeats, because the ages of their measurements count from their receipt.
auto shard_engine::implementation::answer_again(
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
                "heartbeat {} of {} is not its latest one or its lease has "
                "lapsed; send another heartbeat",
                sequence, name.value));
    }
    auto reply = empty_reply();
    reply.owner_epoch = epoch_;
    it->second.last_reply = now_;
    follow_reports(it->second, false, reply);
    return reply;
}

// Compares the worker's tasks with the committed ones.
auto shard_engine::implementation::follow_reports(
    worker_entry& worker, bool is_new_report, heartbeat_reply& reply) -> void
{
    for (auto const& [key, report] : worker.reports)
    {
        follow_report(worker, report, reply);
    }
    auto const hosted = tasks_of_.find(worker.info.worker);
    if (hosted == tasks_of_.end())
    {
        return;
    }
    for (auto const& key : hosted->second)
    {
        if (!worker.reports.contains(key))
        {
            follow_missing(worker, key, is_new_report, reply);
        }
    }
}

// A heartbeat that was overtaken by a later one is not an inventory.
auto shard_engine::implementation::is_outdated(
    worker_report const& report) const -> bool
{
    auto const it = workers_.find(report.info.worker);
    if (it == workers_.end())
    {
        return false;
    }
    auto const& known = it->second;
    return known.past_boots.contains(report.boot) ||
           (known.boot == report.boot && report.sequence <= known.sequence);
}

// A heartbeat of an unknown boot may be a late one of an earlier boot that this
// owner never heard. A boot that has heard this owner's epoch is the later one:
// an earlier one was dead before it could.
auto shard_engine::implementation::is_unproved_boot(
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
        event("worker_heard", {}, report.info.worker, report.info.rack.value);
    }
    else if (worker.boot != report.boot)
    {
        worker.past_boots.insert(worker.boot);
        worker.past_boots.merge(worker.unproved_boots);
        worker.past_boots.erase(report.boot);
        worker.unproved_boots.clear();
        event("worker_restarted", {}, report.info.worker, {});
        lose_former_boot(report);
    }
    worker.info = report.info;
    worker.boot = report.boot;
    worker.sequence = report.sequence;
    worker.last_reply = now_;
    worker.adopted = report.highest_epoch >= epoch_;
    worker.lapsed = false;
    worker.reports.clear();
    for (auto const& task : report.tasks)
    {
        worker.reports[task.key] = task;
    }
    return worker;
}

// The tasks of a worker's former boot ended with its process.
auto shard_engine::implementation::lose_former_boot(worker_report const& report)
    -> void
{
    auto const hosted = tasks_of_.find(report.info.worker);
    if (hosted == tasks_of_.end())
    {
        return;
    }
    for (auto const& key : hosted->second)
    {
        auto const is_listed = std::any_of(
            report.tasks.begin(), report.tasks.end(),
            [&key](task_report const& it) { return it.key == key; });
        auto const* task = state_.find_task(key);
        if (!is_listed && task != nullptr && !is_unsent(tasks_[key]))
        {
            end_hosted(*task, attempt_outcome::lost);
        }
    }
}

auto shard_engine::implementation::follow_report(
    worker_entry& worker, task_report const& report, heartbeat_reply& reply)
    -> void
{
    auto const* task = state_.find_task(report.key);
    auto const is_known = task != nullptr && task->worker == worker.info.worker;
    if (is_known && !task->outcome)
    {
        follow_known(worker, report, reply);
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
        event(
            "stop_sent", report.key.job, worker.info.worker,
            attempt_text(report.key.attempt) + " unknown");
    }
}

auto shard_engine::implementation::follow_known(
    worker_entry& worker, task_report const& report, heartbeat_reply& reply)
    -> void
{
    auto const& task = *state_.find_task(report.key);
    auto& entry = tasks_[report.key];
    if (!entry.reported)
    {
        entry.reported = true;
        event(
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
        if (!is_busy(report.key))
        {
            count_failure(worker, outcome_of(report.phase));
            if (report.phase == task_phase::failed &&
                task.home == state_.shard())
            {
                home_[report.key.job].failed_on.insert(worker.info.worker);
            }
            end_hosted(task, outcome_of(report.phase));
        }
        return;
    }
    if (!is_stop_due(task))
    {
        return;
    }
    if (entry.wanted == stop_kind::stop)
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

// A committed task that the worker does not report: it is not yet started, its
// start was refused, or it is lost.
auto shard_engine::implementation::follow_missing(
    worker_entry& worker, attempt_key const& key, bool is_new_report,
    heartbeat_reply& reply) -> void
{
    auto const* task = state_.find_task(key);
    if (task == nullptr || task->outcome || is_busy(key))
    {
        return;
    }
    auto& entry = tasks_[key];
    if (entry.reported)
    {
        end_hosted(*task, attempt_outcome::lost);
        return;
    }
    // The worker refuses replies of former owners, so none of their starts
    // can take effect after this heartbeat.
    entry.cleared |= worker.adopted;
    if (entry.recovered && entry.cleared)
    {
        // The former owner may have sent the start to a worker that has been
        // restarted since. Sending it again could run one attempt twice.
        end_hosted(*task, attempt_outcome::lost);
        return;
    }
    auto const is_unwanted =
        entry.wanted != stop_kind::none ||
        (!faults_.ignore_drain && is_drained_worker(worker.info.worker));
    if (!is_unwanted)
    {
        send_start(worker, *task, reply);
        return;
    }
    if (is_unsent(entry))
    {
        end_hosted(*task, attempt_outcome::not_started);
        return;
    }
    // A heartbeat may have been sent before the start's validity passed, even
    // if it is received later. The worker sends the next one only after it, so
    // the second one after the validity decides.
    auto const valid = with_margin(settings_.start_validity, settings_);
    if (!is_new_report || !entry.start_sent ||
        now_ - entry.start_sent_at < valid)
    {
        return;
    }
    if (entry.after_validity)
    {
        end_hosted(*task, attempt_outcome::not_started);
        return;
    }
    entry.after_validity = worker.sequence;
}

auto shard_engine::implementation::send_start(
    worker_entry& worker, hosted_task const& task, heartbeat_reply& reply)
    -> void
{
    auto const key = key_of(task);
    auto& entry = tasks_[key];
    if (!view_.config || (entry.recovered && !entry.cleared))
    {
        return;
    }
    if (!start_allowed_at_ ||
        now_ - *start_allowed_at_ >= settings_.commit_to_start)
    {
        if (!reconfirm_waits_)
        {
            enqueue({reconfirm{}});
        }
        waits_for_start_.insert(worker.info.worker);
        return;
    }
    if (!entry.start_sent)
    {
        event(
            "start_sent", key.job, worker.info.worker,
            attempt_text(key.attempt));
    }
    entry.start_sent = true;
    entry.start_sent_at = now_;
    entry.after_validity.reset();
    reply.commands.push_back(start_of(task));
}

// The fault start_before_commit: sends starts of tasks that are only decided.
auto shard_engine::implementation::send_uncommitted_starts(
    worker_entry const& worker, heartbeat_reply& reply) -> void
{
    for (auto const& [key, value] : reservations_)
    {
        if (value.task.worker == worker.info.worker &&
            !worker.reports.contains(key))
        {
            reply.commands.push_back(start_of(value.task));
            event(
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
        worker.failures_in_row = 0;
        worker.exclusion = core::duration{0};
    }
    if (outcome != attempt_outcome::failed)
    {
        return;
    }
    ++worker.failures_in_row;
    if (worker.failures_in_row < settings_.excluding_failures ||
        now_ < worker.excluded_until)
    {
        return;
    }
    worker.exclusion = next_exclusion(worker.exclusion, settings_);
    worker.excluded_until = now_ + worker.exclusion;
    event(
        "worker_excluded", {}, worker.info.worker,
        fmt::format("failures={}", worker.failures_in_row));
}

// Enqueues the end of a hosted task. For a job of this shard, both sides end
// in one batch.
auto shard_engine::implementation::end_hosted(
    hosted_task const& task, attempt_outcome outcome) -> void
{
    auto const key = key_of(task);
    if (task.outcome || is_busy(key))
    {
        return;
    }
    auto const& entry = tasks_[key];
    auto const* known = state_.find_job(key.job);
    auto records = std::vector<record>{end_task{
        key, outcome, entry.checkpoint,
        outcome == attempt_outcome::finished ? entry.progress
                                             : entry.checkpoint_progress}};
    if (task.home == state_.shard() && !is_busy(key.job) && known != nullptr &&
        known->binding && known->binding->number == key.attempt)
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
