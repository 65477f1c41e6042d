/** @file absence_func.cpp Rules for workers that are taken out and return. */
#include "state/absence_func.hpp"

#include <algorithm>

namespace godwitcleat::state
{

namespace
{

auto runs_on(leaving_task const& task, absence_settings const& settings) -> bool
{
    if (task.drained_for >= settings.run_on_bound)
    {
        return false;
    }
    switch (settings.run_on)
    {
    case run_on_kind::none: return false;
    case run_on_kind::finishing:
        return task.remaining &&
               *task.remaining <= settings.run_on_bound - task.drained_for;
    case run_on_kind::all: return true;
    }
    return false;
}

} // namespace

auto choose_leaving(
    std::span<leaving_task const> tasks, absence_settings const& settings,
    std::size_t most) -> std::vector<attempt_key>
{
    auto chosen = std::vector<leaving_task const*>{};
    for (auto const& it : tasks)
    {
        if (!runs_on(it, settings))
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
    chosen.resize(std::min(chosen.size(), most));
    auto result = std::vector<attempt_key>{};
    for (auto const* it : chosen)
    {
        result.push_back(it->key);
    }
    return result;
}

auto may_ramp(
    std::optional<core::duration> returned_for,
    std::optional<core::duration> started_for, absence_settings const& settings)
    -> bool
{
    return !returned_for || *returned_for >= settings.ramp_length ||
           !started_for || *started_for >= settings.ramp_interval;
}

} // namespace godwitcleat::state
