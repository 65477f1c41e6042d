/** @file report_base.cpp Writes and rebuilds partial heartbeats. */
#include "state/report_base.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <set>
#include <utility>

namespace godwitcleat::state
{

namespace
{

// Unanswered heartbeats that may still become a base.
constexpr std::size_t most_open = 8;

// The base, a report whose reply is under way, and one that overtook it.
constexpr std::size_t most_held = 3;

// Keeps the ages computed from foreign input far from overflow.
constexpr std::int64_t longest_age_ms = 1'000'000'000;

constexpr double milli = 1000.0;

// Replaced workers have new names; their lists would stay for ever. Longer than
// any lease, so that a worker that returns has no task left to build on.
constexpr auto longest_silence = std::chrono::minutes{10};

auto is_active(task_report const& report) -> bool
{
    return report.phase == task_phase::running ||
           report.phase == task_phase::checkpointing;
}

// Returns the slowdown in thousandths; 0 for values that no task can have.
auto slowdown_milli(task_report const& report) -> std::int64_t
{
    constexpr double most = 1e9;
    auto const is_usable =
        std::isfinite(report.slowdown) && std::abs(report.slowdown) < most;
    return is_usable ? std::llround(report.slowdown * milli) : 0;
}

auto has_same_sample(task_report const& left, task_report const& right) -> bool
{
    return left.usage == right.usage &&
           slowdown_milli(left) == slowdown_milli(right);
}

auto has_same_state(task_report const& left, task_report const& right) -> bool
{
    return left.phase == right.phase && left.checkpoint == right.checkpoint &&
           left.endpoint == right.endpoint;
}

auto by_key(std::vector<task_report> const& tasks)
    -> std::map<attempt_key, task_report>
{
    auto result = std::map<attempt_key, task_report>{};
    for (auto const& it : tasks)
    {
        result[it.key] = it;
    }
    return result;
}

// Returns the age that the measurements of most tasks have in common.
auto common_age(std::map<attempt_key, task_report> const& tasks) -> std::int64_t
{
    auto const it = std::find_if(
        tasks.begin(), tasks.end(),
        [](auto const& task) { return is_active(task.second); });
    return it == tasks.end() ? 0 : it->second.usage_age_ms;
}

auto header_of(worker_report const& full) -> partial_report
{
    auto result = partial_report{};
    result.worker = full.info.worker;
    result.rack = full.info.rack;
    result.highest_epoch = full.highest_epoch;
    result.boot = full.boot;
    result.sequence = full.sequence;
    return result;
}

} // namespace

auto complete_report(worker_report const& report) -> partial_report
{
    auto result = header_of(report);
    result.place = worker_place{report.info.data_centre, report.info.capacity};
    result.changed = report.tasks;
    return result;
}

report_writer::report_writer(report_limits limits)
    : limits_(limits)
{
}

auto report_writer::write(worker_report const& full, core::time_point now)
    -> partial_report
{
    auto stated = statement{full.sequence, now, by_key(full.tasks)};
    auto result = base_.sequence == 0 ? complete_report(full)
                                      : write_changes(full, now, stated);
    open_[full.sequence] = std::move(stated);
    if (open_.size() > most_open)
    {
        open_.erase(open_.begin());
    }
    return result;
}

auto report_writer::write_changes(
    worker_report const& full, core::time_point now, statement& stated)
    -> partial_report
{
    auto result = header_of(full);
    result.base = base_.sequence;
    auto const current = std::exchange(stated.tasks, base_.tasks);
    auto const is_round = now - base_.sampled_at >= limits_.sample_interval;
    auto const age = common_age(current);
    stated.sampled_at = is_round ? now : base_.sampled_at;
    for (auto const& [key, before] : base_.tasks)
    {
        if (!current.contains(key))
        {
            result.removed.push_back(key);
            stated.tasks.erase(key);
        }
    }
    for (auto const& [key, task] : current)
    {
        auto const before = base_.tasks.find(key);
        auto const is_changed =
            before == base_.tasks.end() ||
            !has_same_state(before->second, task) ||
            (is_active(task) &&
             (is_round ? task.usage_age_ms != age
                       : is_significant(before->second, task)));
        if (is_changed)
        {
            result.changed.push_back(task);
            stated.tasks[key] = task;
        }
    }
    if (is_round)
    {
        result.sample_age_ms = age;
        write_samples(current, result, stated);
    }
    return result;
}

auto report_writer::write_samples(
    task_map const& current, partial_report& result, statement& stated) -> void
{
    auto position = std::uint32_t{0};
    for (auto& [key, before] : stated.tasks)
    {
        auto const& task = current.at(key);
        if (is_active(task) && !has_same_sample(before, task))
        {
            result.samples.push_back(
                {position, task.usage, slowdown_milli(task)});
            before.usage = task.usage;
            before.slowdown = task.slowdown;
        }
        ++position;
    }
}

auto report_writer::is_significant(
    task_report const& before, task_report const& now) const -> bool
{
    auto const is_large =
        [this](std::int64_t left, std::int64_t right, std::int64_t least)
    {
        auto const share =
            static_cast<double>(left) * limits_.significant_share;
        return static_cast<double>(std::abs(left - right)) >=
               std::max(share, static_cast<double>(least));
    };
    return is_large(
               before.usage.cpu_milli, now.usage.cpu_milli,
               limits_.significant_cpu_milli) ||
           is_large(
               before.usage.memory_mb, now.usage.memory_mb,
               limits_.significant_memory_mb) ||
           std::abs(before.slowdown - now.slowdown) >=
               limits_.significant_slowdown;
}

auto report_writer::answered(std::uint64_t sequence) -> void
{
    auto const it = open_.find(sequence);
    if (it == open_.end())
    {
        return;
    }
    base_ = std::move(it->second);
    open_.erase(open_.begin(), std::next(it));
}

auto report_writer::restart() -> void
{
    base_ = {};
    open_.clear();
}

auto report_reader::read(partial_report const& report, core::time_point now)
    -> std::optional<worker_report>
{
    auto tasks = base_of(report);
    if (!tasks || !rebuild(report, now, *tasks))
    {
        return core::fail(
            core::error_kind::conflict,
            fmt::format(
                "report {} of worker {} builds on report {}, which is not "
                "held; send a complete one",
                report.sequence, report.worker.value, report.base));
    }
    forget_silent(now);
    auto& held = workers_[report.worker];
    held.heard_at = now;
    auto result = worker_report{};
    result.info = {report.worker, report.rack, {}, {}};
    auto const place = report.place.value_or(
        worker_place{held.info.data_centre, held.info.capacity});
    result.info.data_centre = place.data_centre;
    result.info.capacity = place.capacity;
    result.highest_epoch = report.highest_epoch;
    result.boot = report.boot;
    result.sequence = report.sequence;
    for (auto const& [key, task] : *tasks)
    {
        auto const since =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                now - task.received_at);
        auto& added = result.tasks.emplace_back(task.report);
        added.usage_age_ms =
            std::clamp<std::int64_t>(added.usage_age_ms, 0, longest_age_ms) +
            since.count();
    }
    auto const is_other_boot = held.boot != report.boot;
    auto const is_newest =
        held.lists.empty() || held.lists.rbegin()->first < report.sequence;
    if (is_other_boot || is_newest)
    {
        held.info = result.info;
        keep(report, std::move(*tasks), held);
    }
    return result;
}

// Returns the list that @p report builds on; an empty one without a base.
auto report_reader::base_of(partial_report const& report) const
    -> std::optional<task_map>
{
    if (report.base == 0)
    {
        return report.place ? std::optional{task_map{}} : std::nullopt;
    }
    auto const held = workers_.find(report.worker);
    if (held == workers_.end() || held->second.boot != report.boot ||
        report.base >= report.sequence)
    {
        return std::nullopt;
    }
    auto const base = held->second.lists.find(report.base);
    return base == held->second.lists.end() ? std::nullopt
                                            : std::optional{base->second};
}

auto report_reader::rebuild(
    partial_report const& report, core::time_point now, task_map& tasks) -> bool
{
    for (auto const& it : report.removed)
    {
        if (tasks.erase(it) == 0)
        {
            return false;
        }
    }
    for (auto const& it : report.changed)
    {
        tasks[it.key] = {it, now};
    }
    return apply_samples(report, now, tasks);
}

auto report_reader::apply_samples(
    partial_report const& report, core::time_point now, task_map& tasks) -> bool
{
    if (!report.sample_age_ms)
    {
        return report.samples.empty();
    }
    auto ordered = std::vector<held_task*>{};
    for (auto& [key, task] : tasks)
    {
        ordered.push_back(&task);
    }
    for (auto const& it : report.samples)
    {
        if (it.position >= ordered.size())
        {
            return false;
        }
        auto& task = ordered[it.position]->report;
        task.usage = it.usage;
        task.slowdown = static_cast<double>(it.slowdown_milli) / milli;
    }
    auto changed = std::set<attempt_key>{};
    for (auto const& it : report.changed)
    {
        changed.insert(it.key);
    }
    for (auto& [key, task] : tasks)
    {
        if (!changed.contains(key))
        {
            task.report.usage_age_ms = *report.sample_age_ms;
            task.received_at = now;
        }
    }
    return true;
}

// The worker has the reply to the base, so it builds on no earlier list.
auto report_reader::keep(
    partial_report const& report, task_map tasks, held_worker& held) -> void
{
    if (held.boot != report.boot || report.base == 0)
    {
        held.lists.clear();
    }
    held.boot = report.boot;
    held.lists.erase(held.lists.begin(), held.lists.lower_bound(report.base));
    while (held.lists.size() >= most_held)
    {
        held.lists.erase(std::next(held.lists.begin()));
    }
    held.lists[report.sequence] = std::move(tasks);
}

auto report_reader::forget_silent(core::time_point now) -> void
{
    if (now < next_check_)
    {
        return;
    }
    next_check_ = now + longest_silence;
    std::erase_if(
        workers_, [now](auto const& it)
        { return now - it.second.heard_at > longest_silence; });
}

auto report_reader::held_lists() const -> std::size_t
{
    auto result = std::size_t{0};
    for (auto const& [name, held] : workers_)
    {
        result += held.lists.size();
    }
    return result;
}

} // namespace godwitcleat::state
