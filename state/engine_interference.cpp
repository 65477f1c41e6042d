/** @file engine_interference.cpp Learning from and acting on interference. */
#include "state/engine_internal.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace godwitcleat::state
{

namespace
{

// Bounds the memory per worker; at a change with each heartbeat this covers
// reports that are 32 s late.
constexpr std::size_t most_past_sets = 64;

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

// A heartbeat may repeat a measurement; counted twice, it would weigh more than
// others. Ages are in whole milliseconds, so that the time of a repeated one
// may differ by one.
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
    auto const whole = worker.info.capacity.cpu_milli;
    return whole > 0 ? static_cast<double>(report.usage.cpu_milli) /
                           static_cast<double>(whole)
                     : 0.0;
}

// Records which tasks run now, if that has changed.
auto remember_tasks(
    worker_entry& worker, std::map<attempt_key, std::string> running,
    core::time_point now) -> void
{
    if (!worker.past.empty() && worker.past.back().tasks == running)
    {
        return;
    }
    worker.past.push_back({now, std::move(running)});
    if (worker.past.size() > most_past_sets)
    {
        worker.past.pop_front();
    }
}

// Returns the tasks that ran at @p time, or nullptr if that is not known.
auto tasks_at(worker_entry const& worker, core::time_point time)
    -> std::map<attempt_key, std::string> const*
{
    auto const it = std::find_if(
        worker.past.rbegin(), worker.past.rend(),
        [time](past_tasks const& value) { return value.since <= time; });
    return it == worker.past.rend() ? nullptr : &it->tasks;
}

} // namespace

// Feeds the model. A report is compared with the tasks that ran when it was
// measured, because usage arrives seconds late.
auto shard_engine::implementation::learn(worker_entry& worker) -> void
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
    remember_tasks(worker, std::move(running), now_);
    for (auto const& [key, report] : worker.reports)
    {
        auto const measured_at = now_ - age_of(report);
        auto const* present = tasks_at(worker, measured_at);
        if (!is_active(report) || present == nullptr || !present->contains(key))
        {
            continue;
        }
        auto const entry = tasks_.find(key);
        if (entry != tasks_.end() &&
            !is_new_measurement(entry->second, measured_at))
        {
            continue;
        }
        auto others = std::vector<measured_neighbour>{};
        for (auto const& [other, task_class] : *present)
        {
            auto const found = worker.reports.find(other);
            auto const is_measured =
                found != worker.reports.end() && is_active(found->second);
            if (other != key)
            {
                others.push_back(
                    {task_class, is_measured
                                     ? load_of(found->second, worker)
                                     : interference_.usual_load(task_class)});
            }
        }
        auto const& own_class = present->at(key);
        if (entry != tasks_.end() && !is_throttled(entry->second))
        {
            interference_.observe_load(
                own_class, load_of(report, worker), measured_at);
        }
        interference_.observe(own_class, others, report.slowdown, measured_at);
    }
}

auto shard_engine::implementation::describe_disturbed(
    worker_entry const& worker) -> std::vector<disturbed_task>
{
    auto result = std::vector<disturbed_task>{};
    for (auto const& [key, report] : worker.reports)
    {
        auto const* task = state_.find_task(key);
        if (task == nullptr || task->outcome ||
            report.phase != task_phase::running || is_busy(key))
        {
            continue;
        }
        auto const& entry = tasks_[key];
        if (entry.wanted != stop_kind::none)
        {
            continue;
        }
        auto value = disturbed_task{};
        value.key = key;
        value.task_class = task->spec.task_class;
        value.need = task->spec.need;
        value.latency_critical = task->spec.kind == job_kind::service;
        value.interruptible = task->spec.kind == job_kind::batch &&
                              task->spec.interruptible &&
                              task->spec.priority == priority_class::batch;
        value.slowdown = entry.disturbed_since ? report.slowdown : 1.0;
        value.load = load_of(report, worker);
        if (is_throttled(entry))
        {
            value.throttled_for = now_ - entry.throttled_at;
        }
        result.push_back(std::move(value));
    }
    return result;
}

// Returns true if a latency-critical task has been slowed for the patience.
auto shard_engine::implementation::is_disturbed(worker_entry const& worker)
    -> bool
{
    auto result = false;
    for (auto const& [key, report] : worker.reports)
    {
        auto const* task = state_.find_task(key);
        if (task == nullptr || task->spec.kind != job_kind::service)
        {
            continue;
        }
        auto& since = tasks_[key].disturbed_since;
        auto const measured_at = now_ - age_of(report);
        if (!is_active(report) || report.slowdown <= settings_.relief.slowdown)
        {
            since.reset();
            continue;
        }
        since = since.value_or(measured_at);
        // Reports from before the latest action do not show its effect.
        result |= measured_at - *since >= settings_.relief_patience &&
                  measured_at >= worker.relieved_at;
    }
    return result;
}

auto shard_engine::implementation::relieve(
    worker_entry& worker, heartbeat_reply& reply) -> void
{
    if (is_disturbed(worker))
    {
        auto const tasks = describe_disturbed(worker);
        auto const choice = hooks_.relieve(
            tasks,
            [this](auto task, auto other, double load)
            { return interference_.excess(task, other, load); },
            settings_.relief);
        if (choice && choice->task < tasks.size())
        {
            act(worker, tasks[choice->task].key, choice->kind);
        }
    }
    else
    {
        release_throttled(worker);
    }
    // The limit is sent with each reply, because replies may be lost.
    for (auto const& [key, report] : worker.reports)
    {
        auto const entry = tasks_.find(key);
        if (entry != tasks_.end() && entry->second.throttle_percent &&
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

auto shard_engine::implementation::act(
    worker_entry& worker, attempt_key const& key, worker_command_kind kind)
    -> void
{
    worker.relieved_at = now_;
    if (kind == worker_command_kind::throttle)
    {
        auto& entry = tasks_[key];
        entry.throttle_percent = settings_.throttle_percent;
        entry.throttled_at = now_;
        event(
            "throttle_requested", key.job, worker.info.worker,
            attempt_text(key.attempt));
        return;
    }
    event(
        "eviction_requested", key.job, worker.info.worker,
        attempt_text(key.attempt) + " for=disturbed");
    want_stop(key, stop_kind::checkpoint);
}

// Ends the throttling of a task where its usual load is not expected to slow
// a latency-critical task above the limit.
auto shard_engine::implementation::release_throttled(worker_entry& worker)
    -> void
{
    for (auto const& [key, report] : worker.reports)
    {
        auto const* throttled = state_.find_task(key);
        if (throttled == nullptr || !is_throttled(tasks_[key]) ||
            now_ - age_of(report) < tasks_[key].throttled_at)
        {
            continue;
        }
        auto& entry = tasks_[key];
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
                           settings_.relief.slowdown;
            });
        if (is_tolerable)
        {
            entry.throttle_percent = full_speed_percent;
            event(
                "throttle_released", key.job, worker.info.worker,
                attempt_text(key.attempt));
        }
    }
}

} // namespace godwitcleat::state
