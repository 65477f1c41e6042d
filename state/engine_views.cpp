/** @file engine_views.cpp Shard status for operators, gateways and peers. */
#include "state/engine_internal.hpp"

#include <algorithm>

namespace godwitcleat::state
{

namespace
{

constexpr std::size_t max_free_workers = 8;     // In a shard_summary.
constexpr std::size_t workers_per_resource = 3; // The rest: accelerators.

auto raise_to(std::int64_t& value, std::int64_t other) -> void
{
    value = std::max(value, other);
}

// Moves the @p count entries with the most of one resource to @p chosen.
auto move_largest(
    std::int64_t core::resources::*resource, std::size_t count,
    std::vector<core::resources>& remaining,
    std::vector<core::resources>& chosen) -> void
{
    std::sort(
        remaining.begin(), remaining.end(),
        [resource](auto const& left, auto const& right)
        { return left.*resource < right.*resource; });
    while (count > 0 && !remaining.empty() && chosen.size() < max_free_workers)
    {
        chosen.push_back(remaining.back());
        remaining.pop_back();
        --count;
    }
}

} // namespace

auto shard_engine::implementation::jobs() const -> std::vector<job>
{
    auto result = std::vector<job>{};
    result.reserve(state_.data().jobs.size());
    for (auto const& [id, known] : state_.data().jobs)
    {
        auto value = known;
        value.phase = phase_of(known);
        auto const entry = home_entries_.find(id);
        if (!known.binding && !is_final(known.phase) &&
            entry != home_entries_.end() && !entry->second.wait_reason.empty())
        {
            value.reason = entry->second.wait_reason;
        }
        result.push_back(std::move(value));
    }
    return result;
}

auto shard_engine::implementation::workers(core::time_point now) const
    -> std::vector<worker_view>
{
    auto result = std::vector<worker_view>{};
    auto const count_tasks = [this](core::worker_id const& id)
    {
        auto const it = tasks_by_worker_.find(id);
        return it == tasks_by_worker_.end()
                   ? 0
                   : std::count_if(
                         it->second.begin(), it->second.end(),
                         [this](auto const& key)
                         { return !state_.find_task(key)->outcome; });
    };
    auto const add = [&](worker_info info, std::string state)
    {
        auto value = worker_view{};
        value.committed = state_.committed(info.worker);
        value.tasks = static_cast<std::uint32_t>(count_tasks(info.worker));
        value.info = std::move(info);
        value.shard = state_.shard();
        value.state = std::move(state);
        result.push_back(std::move(value));
    };
    for (auto const& [id, worker] : workers_)
    {
        add(worker.info, worker.lapsed                 ? "lapsed"
                         : is_drained_worker(id)       ? "drained"
                         : now < worker.excluded_until ? "excluded"
                                                       : "live");
    }
    for (auto const& [id, keys] : tasks_by_worker_)
    {
        if (!workers_.contains(id))
        {
            auto info = worker_info{};
            info.worker = id;
            add(info, "unheard");
        }
    }
    return result;
}

auto shard_engine::implementation::endpoints() const
    -> std::vector<service_endpoint>
{
    auto result = std::vector<service_endpoint>{};
    for (auto const& [id, worker] : workers_)
    {
        for (auto const& [key, report] : worker.reports)
        {
            auto const* task = state_.find_task(key);
            if (report.endpoint.empty() || task == nullptr || task->outcome ||
                task->worker != id || task->spec.kind != job_kind::service ||
                (report.phase != task_phase::running &&
                 report.phase != task_phase::checkpointing))
            {
                continue;
            }
            auto const entry = task_entries_.find(key);
            auto value = service_endpoint{};
            value.service = task->spec.service;
            value.backend_server = backend_server_of(key);
            value.address = report.endpoint;
            value.data_centre = worker.info.data_centre;
            value.leaving = is_drained_worker(id) || has_pending_change(key) ||
                            report.phase == task_phase::checkpointing ||
                            (entry != task_entries_.end() &&
                             entry->second.requested_stop != stop_kind::none);
            result.push_back(std::move(value));
        }
    }
    return result;
}

auto shard_engine::implementation::knows_all_endpoints() const -> bool
{
    auto const may_serve = [this](attempt_key const& key)
    {
        auto const* task = state_.find_task(key);
        return task != nullptr && !task->outcome &&
               task->spec.kind == job_kind::service;
    };
    return std::all_of(
        tasks_by_worker_.begin(), tasks_by_worker_.end(),
        [&](auto const& it)
        {
            return workers_.contains(it.first) ||
                   std::none_of(it.second.begin(), it.second.end(), may_serve);
        });
}

auto shard_engine::implementation::summary(core::time_point now) const
    -> shard_summary
{
    auto result = shard_summary{};
    result.shard = state_.shard();
    result.owner_epoch = epoch_;
    auto free = std::vector<core::resources>{};
    for (auto const& [id, worker] : workers_)
    {
        auto const& capacity = worker.info.capacity;
        auto& largest = result.largest_capacity;
        raise_to(largest.cpu_milli, capacity.cpu_milli);
        raise_to(largest.memory_mb, capacity.memory_mb);
        raise_to(largest.accelerators, capacity.accelerators);
        if (is_usable(worker) && now >= worker.excluded_until)
        {
            free.push_back(free_capacity(id, capacity, {}));
        }
    }
    move_largest(
        &core::resources::cpu_milli, workers_per_resource, free,
        result.largest_free);
    move_largest(
        &core::resources::memory_mb, workers_per_resource, free,
        result.largest_free);
    move_largest(
        &core::resources::accelerators, max_free_workers, free,
        result.largest_free);
    for (auto const& [id, known] : state_.data().jobs)
    {
        if (known.binding)
        {
            result.team_use[known.spec.team] += known.spec.need;
        }
    }
    return result;
}

auto shard_engine::implementation::emit_event(
    std::string kind, core::job_id job, core::worker_id worker,
    std::string detail) const -> void
{
    if (!hooks_.on_event)
    {
        return;
    }
    auto value = core::timeline_event{};
    value.part = "shard";
    value.kind = std::move(kind);
    value.job = std::move(job);
    value.worker = std::move(worker);
    value.detail = std::move(detail);
    hooks_.on_event(std::move(value));
}

} // namespace godwitcleat::state
