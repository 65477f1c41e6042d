/** @file engine_tasks.cpp Leases of workers and the course of hosted tasks. */
#include "state/engine_internal.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace godwitcleat::state
{

// Returns when the lease of a worker has certainly lapsed, if that is known.
auto shard_engine::implementation::lapse_time(core::worker_id const& id) const
    -> std::optional<core::time_point>
{
    auto const it = workers_.find(id);
    auto const is_heard = it != workers_.end();
    if (faults_.ignore_lease_margin)
    {
        return (is_heard ? it->second.last_reply : made_at_) +
               2 * settings_.heartbeat_interval;
    }
    auto const lease = with_margin(settings_.lease, settings_);
    if (is_heard && it->second.adopted)
    {
        return it->second.last_reply + lease;
    }
    // A worker that has not seen this owner's epoch may hold a lease from the
    // former owner.
    if (!former_stopped_at_)
    {
        return std::nullopt;
    }
    auto const latest =
        is_heard ? std::max(it->second.last_reply, *former_stopped_at_)
                 : *former_stopped_at_;
    return latest + lease;
}

auto shard_engine::implementation::follow_leases() -> void
{
    for (auto& [id, worker] : workers_)
    {
        auto const time = lapse_time(id);
        if (!worker.lapsed && time && now_ > *time)
        {
            worker.lapsed = true;
            worker.reports.clear();
            event("worker_lapsed", {}, id, {});
        }
    }
}

auto shard_engine::implementation::follow_tasks() -> void
{
    follow_drains();
    leaving_.clear();
    // Batch work on drained workers is stopped after the services there have
    // been told to stop, so that services find room first.
    auto const& all = state_.data().tasks;
    auto const services_left =
        settings_.absence.services_first &&
        std::any_of(
            all.begin(), all.end(),
            [this](auto const& it)
            {
                return it.second.spec.kind == job_kind::service &&
                       !it.second.outcome &&
                       is_drained_worker(it.second.worker) &&
                       !is_stop_due(it.second);
            });
    for (auto const& [key, task] : all)
    {
        if (task.outcome)
        {
            follow_over(task);
        }
        else if (!is_busy(key))
        {
            follow_task(task, services_left);
        }
    }
    usable_.reset();
    checkpoint_leaving();
}

// Notes when workers were drained and when they returned.
auto shard_engine::implementation::follow_drains() -> void
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

auto shard_engine::implementation::note_leaving(hosted_task const& task) -> void
{
    auto const key = key_of(task);
    auto const& entry = tasks_[key];
    if (entry.wanted != stop_kind::none)
    {
        return;
    }
    auto value = leaving_task{};
    value.key = key;
    auto const worker = workers_.find(task.worker);
    if (worker != workers_.end() && worker->second.drained_since)
    {
        value.drained_for = now_ - *worker->second.drained_since;
    }
    auto const left = task.spec.expected_run_ms - entry.progress;
    if (left > 0)
    {
        value.remaining = std::chrono::milliseconds{left};
    }
    leaving_.push_back(std::move(value));
}

auto shard_engine::implementation::checkpoint_leaving() -> void
{
    auto const rate = settings_.absence.checkpoints_per_s;
    auto const gap = rate == 0 ? core::duration{0}
                               : core::duration{std::chrono::seconds{1}} / rate;
    if (leaving_.empty() || (rate > 0 && now_ < next_leaving_at_))
    {
        return;
    }
    next_leaving_at_ =
        std::max(next_leaving_at_, now_ - std::chrono::seconds{1});
    auto const most =
        rate == 0
            ? leaving_.size()
            : static_cast<std::size_t>((now_ - next_leaving_at_) / gap) + 1;
    for (auto const& key : choose_leaving(leaving_, settings_.absence, most))
    {
        next_leaving_at_ += gap;
        want_stop(key, stop_kind::checkpoint);
    }
}

auto shard_engine::implementation::follow_task(
    hosted_task const& task, bool services_left) -> void
{
    auto const key = key_of(task);
    auto const& entry = tasks_[key];
    auto const lapse = lapse_time(task.worker);
    auto const is_drained = is_drained_worker(task.worker);
    if (lapse && now_ > *lapse)
    {
        end_hosted(
            task, is_unsent(entry) ? attempt_outcome::not_started
                                   : attempt_outcome::lost);
    }
    else if (
        is_unsent(entry) && ((is_drained && !faults_.ignore_drain) ||
                             entry.wanted != stop_kind::none))
    {
        end_hosted(task, attempt_outcome::not_started);
    }
    else if (is_drained && !faults_.ignore_drain)
    {
        if (task.spec.kind == job_kind::service)
        {
            move_service(task);
        }
        else if (task.spec.interruptible && !services_left)
        {
            note_leaving(task);
        }
    }
}

// Stops a runner on a drained worker. Room elsewhere is made while it still
// answers requests; that is possible only if this shard will place it.
auto shard_engine::implementation::move_service(hosted_task const& task) -> void
{
    if (task.home == state_.shard() && settings_.absence.services_evict &&
        tasks_[key_of(task)].phase == task_phase::running)
    {
        hold_room(task.spec);
    }
    want_stop(
        key_of(task),
        task.spec.interruptible ? stop_kind::checkpoint : stop_kind::stop);
}

// Reports the end of a task to its home until it is stored there.
auto shard_engine::implementation::follow_over(hosted_task const& task) -> void
{
    auto const key = key_of(task);
    auto& entry = tasks_[key];
    if (is_busy(key))
    {
        return;
    }
    if (task.home != state_.shard())
    {
        if (now_ >= entry.next_over)
        {
            entry.next_over = now_ + settings_.message_retry;
            outbox_.emplace_back(over_request{
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
    else if (!is_busy(key.job))
    {
        enqueue(
            {end_attempt{
                 key.job, key.attempt, *task.outcome, task.end_checkpoint,
                 task.end_progress, std::string{to_string(*task.outcome)}},
             forget_task{key}});
    }
}

auto shard_engine::implementation::want_stop(
    attempt_key const& key, stop_kind kind) -> void
{
    auto const it = tasks_.find(key);
    if (it == tasks_.end() || it->second.wanted == kind ||
        it->second.wanted == stop_kind::stop)
    {
        return;
    }
    auto& entry = it->second;
    if (entry.wanted == stop_kind::none)
    {
        entry.wanted_since = now_;
        event(
            "stop_requested", key.job, state_.find_task(key)->worker,
            attempt_text(key.attempt));
    }
    entry.wanted = kind;
    due_workers_.insert(state_.find_task(key)->worker);
    auto const* known = state_.find_job(key.job);
    if (faults_.resume_without_end && kind == stop_kind::checkpoint &&
        known != nullptr && known->binding &&
        known->binding->number == key.attempt && !is_busy(key.job))
    {
        end_binding(*known, attempt_outcome::stopped, entry.checkpoint, 0, {});
    }
}

auto shard_engine::implementation::is_drained_worker(
    core::worker_id const& id) const -> bool
{
    auto const it = workers_.find(id);
    auto const place = it == workers_.end() ? core::data_centre_id{}
                                            : it->second.info.data_centre;
    return view_.config && is_drained(*view_.config, id, place);
}

// Returns true if a stop may be sent now. A service runner first gets time to
// answer the requests in flight while no new ones arrive.
auto shard_engine::implementation::is_stop_due(hosted_task const& task) const
    -> bool
{
    auto const it = tasks_.find(key_of(task));
    if (it == tasks_.end() || it->second.wanted == stop_kind::none)
    {
        return false;
    }
    return task.spec.kind != job_kind::service ||
           now_ - it->second.wanted_since >= settings_.leaving_grace;
}

} // namespace godwitcleat::state
