/** @file task_history_base.cpp Checker of what workers really ran. */
#include "standins/support/task_history_base.hpp"

#include <fmt/format.h>

#include <iterator>
#include <set>
#include <tuple>
#include <utility>

namespace godwitcleat::standins
{

namespace
{

auto name_of(task_event_kind kind) -> std::string_view
{
    switch (kind)
    {
    case task_event_kind::started: return "started";
    case task_event_kind::ended: return "ended";
    case task_event_kind::drain_accepted: return "drain_accepted";
    case task_event_kind::undrain_accepted: return "undrain_accepted";
    }
    return "?";
}

} // namespace

auto to_string(history_violation const& violation) -> std::string
{
    auto result = fmt::format("rule {} is broken by:", violation.rule);
    for (auto const& it : violation.events)
    {
        auto const ms = std::chrono::duration_cast<std::chrono::milliseconds>(
            it.at.time_since_epoch());
        fmt::format_to(
            std::back_inserter(result),
            "\n  {} ms {} {}#{} worker={} data_centre={} progress={} {}",
            ms.count(), name_of(it.kind), it.key.job.value,
            it.key.attempt.value, it.worker.value, it.data_centre.value,
            it.progress, it.text);
    }
    return result;
}

auto find_overlap(task_history const& history)
    -> std::optional<history_violation>
{
    auto running = std::map<core::job_id, task_event>{};
    for (auto const& it : history.events)
    {
        auto const known = running.find(it.key.job);
        if (it.kind == task_event_kind::started)
        {
            if (known != running.end())
            {
                return history_violation{"overlap", {known->second, it}};
            }
            running.emplace(it.key.job, it);
        }
        if (it.kind == task_event_kind::ended && known != running.end() &&
            known->second.key == it.key && known->second.worker == it.worker)
        {
            running.erase(known);
        }
    }
    return std::nullopt;
}

auto find_overcommitment(task_history const& history)
    -> std::optional<history_violation>
{
    auto used = std::map<core::worker_id, core::resources>{};
    for (auto const& it : history.events)
    {
        auto const need = history.needs.find(it.key.job);
        if (need == history.needs.end())
        {
            continue;
        }
        auto& sum = used[it.worker];
        if (it.kind == task_event_kind::ended)
        {
            sum -= need->second;
        }
        if (it.kind == task_event_kind::started)
        {
            sum += need->second;
            if (!sum.fits_in(history.capacities.at(it.worker)))
            {
                return history_violation{"overcommitment", {it}};
            }
        }
    }
    return std::nullopt;
}

auto find_bad_resume(
    task_history const& history,
    std::map<core::job_id, core::time_point> const& stored_finished)
    -> std::optional<history_violation>
{
    auto checkpoints =
        std::map<core::job_id, std::map<std::int64_t, task_event>>{};
    auto starts = std::map<state::attempt_key, task_event>{};
    for (auto const& it : history.events)
    {
        if (it.kind == task_event_kind::ended && it.checkpointed)
        {
            checkpoints[it.key.job].insert_or_assign(it.progress, it);
        }
        if (it.kind != task_event_kind::started)
        {
            continue;
        }
        auto const [first, is_new] = starts.emplace(it.key, it);
        if (!is_new)
        {
            return history_violation{"resume", {first->second, it}};
        }
        auto const& known = checkpoints[it.key.job];
        if (it.progress != 0 && !known.contains(it.progress))
        {
            return history_violation{"resume", {it}};
        }
        auto const stored = stored_finished.find(it.key.job);
        if (stored != stored_finished.end() && stored->second < it.at)
        {
            return history_violation{"start-after-finish", {it}};
        }
    }
    return std::nullopt;
}

auto find_start_after_drain(task_history const& history, core::duration bound)
    -> std::optional<history_violation>
{
    auto drained = std::map<core::data_centre_id, task_event>{};
    for (auto const& it : history.events)
    {
        switch (it.kind)
        {
        case task_event_kind::drain_accepted:
            drained.emplace(it.data_centre, it);
            break;
        case task_event_kind::undrain_accepted:
            drained.erase(it.data_centre);
            break;
        case task_event_kind::started:
        {
            auto const known = drained.find(it.data_centre);
            if (known != drained.end() && it.at - known->second.at > bound)
            {
                return history_violation{"drain", {known->second, it}};
            }
            break;
        }
        case task_event_kind::ended: break;
        }
    }
    return std::nullopt;
}

} // namespace godwitcleat::standins
