/** @file absence_func.cpp Rules for workers that are drained and return. */
#include "state/absence_func.hpp"

#include <algorithm>

namespace godwitcleat::state
{

namespace
{

auto may_continue(draining_task const& task, drain_settings const& settings)
    -> bool
{
    if (task.drained_for >= settings.grace_period)
    {
        return false;
    }
    switch (settings.grace)
    {
    case drain_grace::none: return false;
    case drain_grace::finishing:
        return task.remaining &&
               *task.remaining <= settings.grace_period - task.drained_for;
    case drain_grace::all: return true;
    }
    return false;
}

} // namespace

auto choose_tasks_to_checkpoint(
    std::span<draining_task const> tasks, drain_settings const& settings,
    std::size_t max_tasks) -> std::vector<attempt_key>
{
    auto chosen = std::vector<draining_task const*>{};
    for (auto const& it : tasks)
    {
        if (!may_continue(it, settings))
        {
            chosen.push_back(&it);
        }
    }
    std::stable_sort(
        chosen.begin(), chosen.end(),
        [](auto const* left, auto const* right)
        {
            constexpr auto unknown = core::duration::max();
            return left->remaining.value_or(unknown) >
                   right->remaining.value_or(unknown);
        });
    chosen.resize(std::min(chosen.size(), max_tasks));
    auto result = std::vector<attempt_key>{};
    for (auto const* it : chosen)
    {
        result.push_back(it->key);
    }
    return result;
}

auto may_start_batch(
    std::optional<core::duration> since_return,
    std::optional<core::duration> since_start, drain_settings const& settings)
    -> bool
{
    return !since_return || *since_return >= settings.ramp_length ||
           !since_start || *since_start >= settings.ramp_interval;
}

} // namespace godwitcleat::state
