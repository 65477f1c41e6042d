/** @file engine_interference.cpp Learning and mitigating interference. */
#include "state/engine_internal.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace godwitcleat::state
{

namespace
{

// Bounds the memory per worker. Even if the tasks change with every heartbeat,
// it covers measurements that arrive 32 s late.
constexpr std::size_t max_task_snapshots = 64;

constexpr std::int64_t full_speed_percent = 100;

auto age_of(task_report const& report) -> core::duration
{
    return std::chrono::milliseconds{
        std::max<std::int64_t>(report.usage_age_ms, 0)};
}

auto is_active(task_report const& report) -> bool
{
    return report.phase == task_phase::running ||
           report.phase == task_phase::checkpointing;
}

auto is_throttled(task_entry const& entry) -> bool
{
    return entry.throttle_percent.value_or(full_speed_percent) <
           full_speed_percent;
}

// Returns false for a measurement that an earlier heartbeat has reported, which
// must not be weighted twice. Ages are rounded to milliseconds, so the computed
// time of a repeated measurement may differ by one.
auto is_new_measurement(task_entry& entry, core::time_point measured_at) -> bool
{
    constexpr auto resolution = std::chrono::milliseconds{1};
    if (entry.measured_at && measured_at - *entry.measured_at <= resolution)
    {
        return false;
    }
    entry.measured_at = measured_at;
    return true;
}

auto load_of(task_report const& report, worker_entry const& worker) -> double
{
    auto const capacity = worker.info.capacity.cpu_milli;
    return capacity > 0 ? static_cast<double>(report.usage.cpu_milli) /
                              static_cast<double>(capacity)
                        : 0.0;
}

// Appends the set of running tasks to the history if it has changed.
auto record_running_tasks(
    worker_entry& worker, std::map<attempt_key, std::string> running,
    core::time_point now) -> void
{
    if (!worker.task_history.empty() &&
        worker.task_history.back().tasks == running)
    {
        return;
    }
    worker.task_history.push_back({now, std::move(running)});
    if (worker.task_history.size() > max_task_snapshots)
    {
        worker.task_history.pop_front();
    }
}

// Returns the tasks that ran at @p time, or nullptr if unknown.
auto tasks_at(worker_entry const& worker, core::time_point time)
    -> std::map<attempt_key, std::string> const*
{
    auto const it = std::find_if(
        worker.task_history.rbegin(), worker.task_history.rend(),
        [time](task_snapshot const& value) { return value.since <= time; });
    return it == worker.task_history.rend() ? nullptr : &it->tasks;
}

} // namespace

// Updates the interference model. A measurement is attributed to the tasks that
// ran when it was taken, because usage is reported seconds late.
auto shard_engine::implementation::learn_interference(worker_entry& worker)
    -> void
{
    auto running = std::map<attempt_key, std::string>{};
    for (auto const& [key, report] : worker.reports)
    {
        auto const* task = state_.find_task(key);
        if (task != nullptr && is_active(report))
        {
            running[key] = task->spec.task_class;
        }
    }
    record_running_tasks(worker, std::move(running), now_);
    for (auto const& [key, report] : worker.reports)
    {
        auto const measured_at = now_ - age_of(report);
        auto const* tasks_then = tasks_at(worker, measured_at);
        if (!is_active(report) || tasks_then == nullptr ||
            !tasks_then->contains(key))
        {
            continue;
        }
        auto const entry = task_entries_.find(key);
        if (entry != task_entries_.end() &&
            !is_new_measurement(entry->second, measured_at))
        {
            continue;
        }
        auto neighbours = std::vector<measured_neighbour>{};
        for (auto const& [other, task_class] : *tasks_then)
        {
            auto const found = worker.reports.find(other);
            auto const is_measured =
                found != worker.reports.end() && is_active(found->second);
            if (other != key)
            {
                neighbours.push_back(
                    {task_class,
                     is_measured ? load_of(found->second, worker)
                                 : interference_.expected_load(task_class)});
            }
        }
        auto const& own_class = tasks_then->at(key);
        if (entry != task_entries_.end() && !is_throttled(entry->second))
        {
            interference_.observe_load(
                own_class, load_of(report, worker), measured_at);
        }
        interference_.observe(
            own_class, neighbours, report.slowdown, measured_at);
    }
}

auto shard_engine::implementation::collect_colocated_tasks(
    worker_entry const& worker) -> std::vector<colocated_task>
{
    auto result = std::vector<colocated_task>{};
    for (auto const& [key, report] : worker.reports)
    {
        auto const* task = state_.find_task(key);
        if (task == nullptr || task->outcome ||
            report.phase != task_phase::running || has_pending_change(key))
        {
            continue;
        }
        auto const& entry = task_entries_[key];
        if (entry.requested_stop != stop_kind::none)
        {
            continue;
        }
        auto value = colocated_task{};
        value.key = key;
        value.task_class = task->spec.task_class;
        value.need = task->spec.need;
        value.latency_critical = task->spec.kind == job_kind::service;
        value.interruptible = task->spec.kind == job_kind::batch &&
                              task->spec.interruptible &&
                              task->spec.priority == priority_class::batch;
        value.slowdown = entry.slowed_since ? report.slowdown : 1.0;
        value.load = load_of(report, worker);
        if (is_throttled(entry))
        {
            value.throttled_for = now_ - entry.throttled_at;
        }
        result.push_back(std::move(value));
    }
    return result;
}

// Returns true if a latency-critical task has been slowed above the limit for
// at least mitigation_delay.
auto shard_engine::implementation::is_slowed(worker_entry const& worker) -> bool
{
    auto result = false;
    for (auto const& [key, report] : worker.reports)
    {
        auto const* task = state_.find_task(key);
        if (task == nullptr || task->spec.kind != job_kind::service)
        {
            continue;
        }
        auto& since = task_entries_[key].slowed_since;
        auto const measured_at = now_ - age_of(report);
        if (!is_active(report) ||
            report.slowdown <= settings_.mitigation.slowdown)
        {
            since.reset();
            continue;
        }
        since = since.value_or(measured_at);
        // Measurements from before the latest action do not show its effect.
        result |= measured_at - *since >= settings_.mitigation_delay &&
                  measured_at >= worker.last_mitigation_at;
    }
    return result;
}

auto shard_engine::implementation::mitigate_interference(
    worker_entry& worker, heartbeat_reply& reply) -> void
{
    if (is_slowed(worker))
    {
        auto const tasks = collect_colocated_tasks(worker);
        auto const choice = hooks_.mitigate(
            tasks,
            [this](auto task, auto other, double load)
            { return interference_.excess(task, other, load); },
            settings_.mitigation);
        if (choice && choice->task < tasks.size())
        {
            apply_mitigation(worker, tasks[choice->task].key, choice->kind);
        }
    }
    else
    {
        end_throttling(worker);
    }
    // The CPU limit is sent in every reply because replies may be lost.
    for (auto const& [key, report] : worker.reports)
    {
        auto const entry = task_entries_.find(key);
        if (entry != task_entries_.end() && entry->second.throttle_percent &&
            report.phase == task_phase::running)
        {
            auto command = worker_command{};
            command.kind = worker_command_kind::throttle;
            command.key = key;
            command.throttle_percent = *entry->second.throttle_percent;
            reply.commands.push_back(std::move(command));
        }
    }
}

auto shard_engine::implementation::apply_mitigation(
    worker_entry& worker, attempt_key const& key, worker_command_kind kind)
    -> void
{
    worker.last_mitigation_at = now_;
    if (kind == worker_command_kind::throttle)
    {
        auto& entry = task_entries_[key];
        entry.throttle_percent = settings_.throttle_percent;
        entry.throttled_at = now_;
        emit_event(
            "throttle_requested", key.job, worker.info.worker,
            attempt_text(key.attempt));
        return;
    }
    emit_event(
        "eviction_requested", key.job, worker.info.worker,
        attempt_text(key.attempt) + " for=disturbed");
    request_stop(key, stop_kind::checkpoint);
}

// Ends the throttling of tasks whose unthrottled load is not expected to slow
// a latency-critical task above the limit.
auto shard_engine::implementation::end_throttling(worker_entry& worker) -> void
{
    for (auto const& [key, report] : worker.reports)
    {
        auto const* throttled = state_.find_task(key);
        if (throttled == nullptr || !is_throttled(task_entries_[key]) ||
            now_ - age_of(report) < task_entries_[key].throttled_at)
        {
            continue;
        }
        auto& entry = task_entries_[key];
        auto const& other = throttled->spec.task_class;
        auto const load = load_of(report, worker);
        auto const percent = static_cast<double>(*entry.throttle_percent);
        auto const added =
            load * (static_cast<double>(full_speed_percent) / percent - 1.0);
        auto const is_tolerable = std::all_of(
            worker.reports.begin(), worker.reports.end(),
            [&](auto const& it)
            {
                auto const* task = state_.find_task(it.first);
                return task == nullptr ||
                       task->spec.kind != job_kind::service ||
                       it.second.slowdown +
                               interference_.excess(
                                   task->spec.task_class, other, added) <
                           settings_.mitigation.slowdown;
            });
        if (is_tolerable)
        {
            entry.throttle_percent = full_speed_percent;
            emit_event(
                "throttle_released", key.job, worker.info.worker,
                attempt_text(key.attempt));
        }
    }
}

} // namespace godwitcleat::state
