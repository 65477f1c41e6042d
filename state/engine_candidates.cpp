/** @file engine_candidates.cpp Candidate workers and their free capacity. */
#include "state/engine_internal.hpp"

#include <algorithm>
#include <iterator>

namespace godwitcleat::state
{

// Returns the worker that the placement policy chooses for @p spec. Sets the
// free capacity of the candidates in @p usable for this job.
auto shard_engine::implementation::choose_worker(
    job_spec const& spec, std::set<core::worker_id> const& avoided,
    std::vector<placement_candidate>& usable) const
    -> std::optional<core::worker_id>
{
    for (auto& it : usable)
    {
        auto const is_deferred =
            spec.priority == priority_class::batch && is_ramping_up(it.worker);
        it.free = is_deferred ? core::resources{}
                              : free_capacity(it.worker, it.capacity, spec.id);
    }
    auto allowed = std::vector<placement_candidate>{};
    if (!avoided.empty())
    {
        std::copy_if(
            usable.begin(), usable.end(), std::back_inserter(allowed),
            [&avoided](auto const& it)
            { return !avoided.contains(it.worker); });
    }
    auto const& candidates = avoided.empty() ? usable : allowed;
    auto const choice = hooks_.place(spec, candidates);
    if (!choice || *choice >= candidates.size() ||
        !spec.need.fits_in(candidates[*choice].free))
    {
        return std::nullopt;
    }
    return candidates[*choice].worker;
}

// Returns all usable workers; choose_worker() sets their free capacity.
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
        auto const hosted = tasks_by_worker_.find(name);
        if (hosted != tasks_by_worker_.end())
        {
            add_hosted_tasks(hosted->second, value);
        }
        result.push_back(std::move(value));
    }
    // Tasks placed earlier in this tick are hosted only after the commit.
    for (auto const& [key, reserved] : reservations_)
    {
        auto const found = std::lower_bound(
            result.begin(), result.end(), reserved.task.worker,
            [](auto const& left, auto const& right)
            { return left.worker < right; });
        if (found != result.end() && found->worker == reserved.task.worker)
        {
            add_task(reserved.task.spec, *found);
        }
    }
    return result;
}

auto shard_engine::implementation::add_task(
    job_spec const& spec, placement_candidate& value) -> void
{
    value.task_classes.push_back(spec.task_class);
    if (spec.kind == job_kind::service)
    {
        ++value.latency_critical;
        value.critical_classes.push_back(spec.task_class);
    }
}

auto shard_engine::implementation::add_hosted_tasks(
    std::set<attempt_key> const& keys, placement_candidate& value) const -> void
{
    for (auto const& key : keys)
    {
        auto const& task = *state_.find_task(key);
        if (!task.outcome)
        {
            add_task(task.spec, value);
        }
    }
}

auto shard_engine::implementation::is_usable(worker_entry const& worker) const
    -> bool
{
    return !worker.lapsed && now_ >= worker.excluded_until &&
           (faults_.ignore_drain || !is_drained_worker(worker.info.worker));
}

// Returns true if the worker has recently returned from a drain and may not
// get batch work yet.
auto shard_engine::implementation::is_ramping_up(
    core::worker_id const& name) const -> bool
{
    auto const& worker = workers_.at(name);
    auto const since = [this](auto const& time)
    {
        return time ? std::optional<core::duration>{now_ - *time}
                    : std::nullopt;
    };
    return !may_start_batch(
        since(worker.returned_at), since(worker.batch_placed_at),
        settings_.drain);
}

// Returns the capacity of a worker that is free for job @p id. Capacity that is
// held for other jobs does not count.
auto shard_engine::implementation::free_capacity(
    core::worker_id const& name, core::resources const& capacity,
    core::job_id const& id) const -> core::resources
{
    auto free = capacity;
    if (faults_.ignore_commitments)
    {
        return free;
    }
    free -= state_.committed(name);
    auto const reserved = reserved_by_worker_.find(name);
    if (reserved != reserved_by_worker_.end())
    {
        free -= reserved->second;
    }
    for (auto const& [job, hold] : capacity_holds_)
    {
        if (job != id && hold.worker == name)
        {
            free -= hold.need;
        }
    }
    return free;
}

} // namespace godwitcleat::state
