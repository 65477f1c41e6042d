/** @file engine_candidates.cpp Workers that may take a task, and their room. */
#include "state/engine_internal.hpp"

#include <algorithm>
#include <iterator>

namespace godwitcleat::state
{

// Returns a worker for @p spec. The free room of @p usable is set for this job.
auto shard_engine::implementation::choose_worker(
    job_spec const& spec, std::set<core::worker_id> const& avoided,
    std::vector<placement_candidate>& usable) const
    -> std::optional<core::worker_id>
{
    for (auto& it : usable)
    {
        auto const waits =
            spec.priority == priority_class::batch && is_ramping(it.worker);
        it.free = waits ? core::resources{}
                        : free_room(it.worker, it.capacity, spec.id);
    }
    auto allowed = std::vector<placement_candidate>{};
    if (!avoided.empty())
    {
        std::copy_if(
            usable.begin(), usable.end(), std::back_inserter(allowed),
            [&avoided](auto const& it)
            { return !avoided.contains(it.worker); });
    }
    auto const& all = avoided.empty() ? usable : allowed;
    auto const choice = hooks_.place(spec, all);
    if (!choice || *choice >= all.size() ||
        !spec.need.fits_in(all[*choice].free))
    {
        return std::nullopt;
    }
    return all[*choice].worker;
}

// Returns all usable workers; choose_worker() sets their free room.
auto shard_engine::implementation::usable_workers() const
    -> std::vector<placement_candidate>
{
    auto result = std::vector<placement_candidate>{};
    for (auto const& [name, worker] : workers_)
    {
        if (!is_usable(worker))
        {
            continue;
        }
        auto value = placement_candidate{};
        value.worker = name;
        value.rack = worker.info.rack;
        value.data_centre = worker.info.data_centre;
        value.capacity = worker.info.capacity;
        auto const hosted = tasks_of_.find(name);
        if (hosted != tasks_of_.end())
        {
            describe_tasks(hosted->second, value);
        }
        result.push_back(std::move(value));
    }
    // Tasks that are placed in one tick are not hosted before the commit.
    for (auto const& [key, reserved] : reservations_)
    {
        auto const found = std::lower_bound(
            result.begin(), result.end(), reserved.task.worker,
            [](auto const& left, auto const& right)
            { return left.worker < right; });
        if (found != result.end() && found->worker == reserved.task.worker)
        {
            describe_task(reserved.task.spec, *found);
        }
    }
    return result;
}

auto shard_engine::implementation::describe_task(
    job_spec const& spec, placement_candidate& value) -> void
{
    value.task_classes.push_back(spec.task_class);
    if (spec.kind == job_kind::service)
    {
        ++value.latency_critical;
        value.critical_classes.push_back(spec.task_class);
    }
}

auto shard_engine::implementation::describe_tasks(
    std::set<attempt_key> const& keys, placement_candidate& value) const -> void
{
    for (auto const& key : keys)
    {
        auto const& task = *state_.find_task(key);
        if (!task.outcome)
        {
            describe_task(task.spec, value);
        }
    }
}

auto shard_engine::implementation::is_usable(worker_entry const& worker) const
    -> bool
{
    return !worker.lapsed && now_ >= worker.excluded_until &&
           (faults_.ignore_drain || !is_drained_worker(worker.info.worker));
}

// Returns true if the worker has returned lately and may take no batch work
// yet.
auto shard_engine::implementation::is_ramping(core::worker_id const& name) const
    -> bool
{
    auto const& worker = workers_.at(name);
    auto const since = [this](auto const& time)
    {
        return time ? std::optional<core::duration>{now_ - *time}
                    : std::nullopt;
    };
    return !may_ramp(
        since(worker.returned_at), since(worker.batch_placed_at),
        settings_.absence);
}

// Returns the room on a worker for job @p id: room that evictions free for
// another job is not counted.
auto shard_engine::implementation::free_room(
    core::worker_id const& name, core::resources const& capacity,
    core::job_id const& id) const -> core::resources
{
    auto room = capacity;
    if (faults_.ignore_commitments)
    {
        return room;
    }
    room -= state_.committed(name);
    auto const reserved = reserved_.find(name);
    if (reserved != reserved_.end())
    {
        room -= reserved->second;
    }
    for (auto const& [job, hold] : holds_)
    {
        if (job != id && hold.worker == name)
        {
            room -= hold.need;
        }
    }
    return room;
}

} // namespace godwitcleat::state
