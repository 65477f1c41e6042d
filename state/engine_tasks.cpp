/** @file engine_tasks.cpp Worker leases and the life cycle of hosted tasks. */
#include "state/engine_internal.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace godwitcleat::state
{

// Returns the time after which the worker's lease has certainly lapsed, or
// std::nullopt while that is unknown.
auto shard_engine::implementation::lapse_time(core::worker_id const& id) const
    -> std::optional<core::time_point>
{
    auto const it = workers_.find(id);
    auto const is_known = it != workers_.end();
    if (faults_.ignore_lease_margin)
    {
        return (is_known ? it->second.last_reply_at : created_at_) +
               2 * settings_.heartbeat_interval;
    }
    auto const lease = with_margin(settings_.lease, settings_);
    if (is_known && it->second.epoch_acknowledged)
    {
        return it->second.last_reply_at + lease;
    }
    // A worker that has not acknowledged this owner's epoch may hold a lease
    // from the former owner.
    if (!former_owner_stopped_at_)
    {
        return std::nullopt;
    }
    auto const latest =
        is_known ? std::max(it->second.last_reply_at, *former_owner_stopped_at_)
                 : *former_owner_stopped_at_;
    return latest + lease;
}

auto shard_engine::implementation::expire_leases() -> void
{
    for (auto& [id, worker] : workers_)
    {
        auto const time = lapse_time(id);
        if (!worker.lapsed && time && now_ > *time)
        {
            worker.lapsed = true;
            worker.reports.clear();
            emit_event("worker_lapsed", {}, id, {});
        }
    }
}

auto shard_engine::implementation::advance_tasks() -> void
{
    track_drains();
    draining_tasks_.clear();
    // Batch work on drained workers is stopped only after all service runners
    // there were told to stop, so that services get the free capacity elsewhere
    // first.
    auto const& tasks = state_.data().tasks;
    auto const services_left =
        settings_.drain.services_first &&
        std::any_of(
            tasks.begin(), tasks.end(),
            [this](auto const& it)
            {
                return it.second.spec.kind == job_kind::service &&
                       !it.second.outcome &&
                       is_drained_worker(it.second.worker) &&
                       !is_stop_due(it.second);
            });
    for (auto const& [key, task] : tasks)
    {
        if (task.outcome)
        {
            report_end(task);
        }
        else if (!has_pending_change(key))
        {
            advance_task(task, services_left);
        }
    }
    usable_workers_.reset();
    checkpoint_draining_tasks();
}

// Records when workers were drained and when they returned.
auto shard_engine::implementation::track_drains() -> void
{
    for (auto& [id, worker] : workers_)
    {
        auto const is_drained = is_drained_worker(id);
        if (is_drained && !worker.drained_since)
        {
            worker.drained_since = now_;
        }
        else if (!is_drained && worker.drained_since)
        {
            worker.drained_since.reset();
            worker.returned_at = now_;
            worker.batch_placed_at.reset();
        }
    }
}

auto shard_engine::implementation::add_draining_task(hosted_task const& task)
    -> void
{
    auto const key = key_of(task);
    auto const& entry = task_entries_[key];
    if (entry.requested_stop != stop_kind::none)
    {
        return;
    }
    auto value = draining_task{};
    value.key = key;
    auto const worker = workers_.find(task.worker);
    if (worker != workers_.end() && worker->second.drained_since)
    {
        value.drained_for = now_ - *worker->second.drained_since;
    }
    auto const remaining_ms = task.spec.expected_run_ms - entry.progress;
    if (remaining_ms > 0)
    {
        value.remaining = std::chrono::milliseconds{remaining_ms};
    }
    draining_tasks_.push_back(std::move(value));
}

auto shard_engine::implementation::checkpoint_draining_tasks() -> void
{
    auto const rate = settings_.drain.checkpoints_per_s;
    auto const interval = rate == 0
                              ? core::duration{0}
                              : core::duration{std::chrono::seconds{1}} / rate;
    if (draining_tasks_.empty() ||
        (rate > 0 && now_ < next_drain_checkpoint_at_))
    {
        return;
    }
    next_drain_checkpoint_at_ =
        std::max(next_drain_checkpoint_at_, now_ - std::chrono::seconds{1});
    auto const max_count =
        rate == 0 ? draining_tasks_.size()
                  : static_cast<std::size_t>(
                        (now_ - next_drain_checkpoint_at_) / interval) +
                        1;
    for (auto const& key : choose_tasks_to_checkpoint(
             draining_tasks_, settings_.drain, max_count))
    {
        next_drain_checkpoint_at_ += interval;
        request_stop(key, stop_kind::checkpoint);
    }
}

auto shard_engine::implementation::advance_task(
    hosted_task const& task, bool services_left) -> void
{
    auto const key = key_of(task);
    auto const& entry = task_entries_[key];
    auto const lapse = lapse_time(task.worker);
    auto const is_drained = is_drained_worker(task.worker);
    if (lapse && now_ > *lapse)
    {
        end_hosted_task(
            task, is_start_unsent(entry) ? attempt_outcome::not_started
                                         : attempt_outcome::lost);
    }
    else if (
        is_start_unsent(entry) && ((is_drained && !faults_.ignore_drain) ||
                                   entry.requested_stop != stop_kind::none))
    {
        end_hosted_task(task, attempt_outcome::not_started);
    }
    else if (is_drained && !faults_.ignore_drain)
    {
        if (task.spec.kind == job_kind::service)
        {
            move_service(task);
        }
        else if (task.spec.interruptible && !services_left)
        {
            add_draining_task(task);
        }
    }
}

// Stops a service runner on a drained worker. Capacity for its successor is
// freed while it still answers requests, if this shard will place it.
auto shard_engine::implementation::move_service(hosted_task const& task) -> void
{
    if (task.home == state_.shard() && settings_.drain.services_evict &&
        task_entries_[key_of(task)].phase == task_phase::running)
    {
        hold_capacity(task.spec);
    }
    request_stop(
        key_of(task),
        task.spec.interruptible ? stop_kind::checkpoint : stop_kind::stop);
}

// Reports the end of a task to its home shard until it is stored there.
auto shard_engine::implementation::report_end(hosted_task const& task) -> void
{
    auto const key = key_of(task);
    auto& entry = task_entries_[key];
    if (has_pending_change(key))
    {
        return;
    }
    if (task.home != state_.shard())
    {
        if (now_ >= entry.next_end_report)
        {
            entry.next_end_report = now_ + settings_.message_retry;
            outbox_.emplace_back(attempt_ended_request{
                task.home, state_.shard(), key, *task.outcome,
                task.end_checkpoint, task.end_progress});
        }
        return;
    }
    auto const* known = state_.find_job(key.job);
    if (known == nullptr || !known->binding ||
        known->binding->number != key.attempt)
    {
        enqueue({forget_task{key}});
    }
    else if (!has_pending_change(key.job))
    {
        enqueue(
            {end_attempt{
                 key.job, key.attempt, *task.outcome, task.end_checkpoint,
                 task.end_progress, std::string{to_string(*task.outcome)}},
             forget_task{key}});
    }
}

auto shard_engine::implementation::request_stop(
    attempt_key const& key, stop_kind kind) -> void
{
    auto const it = task_entries_.find(key);
    if (it == task_entries_.end() || it->second.requested_stop == kind ||
        it->second.requested_stop == stop_kind::stop)
    {
        return;
    }
    auto& entry = it->second;
    if (entry.requested_stop == stop_kind::none)
    {
        entry.stop_requested_at = now_;
        emit_event(
            "stop_requested", key.job, state_.find_task(key)->worker,
            attempt_text(key.attempt));
    }
    entry.requested_stop = kind;
    due_workers_.insert(state_.find_task(key)->worker);
    auto const* known = state_.find_job(key.job);
    if (faults_.resume_without_end && kind == stop_kind::checkpoint &&
        known != nullptr && known->binding &&
        known->binding->number == key.attempt && !has_pending_change(key.job))
    {
        end_binding(*known, attempt_outcome::stopped, entry.checkpoint, 0, {});
    }
}

auto shard_engine::implementation::is_drained_worker(
    core::worker_id const& id) const -> bool
{
    auto const it = workers_.find(id);
    auto const data_centre = it == workers_.end() ? core::data_centre_id{}
                                                  : it->second.info.data_centre;
    return view_.config && is_drained(*view_.config, id, data_centre);
}

// Returns true if a requested stop may be sent now. A service runner is first
// marked as leaving and gets time to complete the requests in flight.
auto shard_engine::implementation::is_stop_due(hosted_task const& task) const
    -> bool
{
    auto const it = task_entries_.find(key_of(task));
    if (it == task_entries_.end() ||
        it->second.requested_stop == stop_kind::none)
    {
        return false;
    }
    return task.spec.kind != job_kind::service ||
           now_ - it->second.stop_requested_at >= settings_.leaving_grace;
}

} // namespace godwitcleat::state
