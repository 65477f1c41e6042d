/** @file report_base.cpp Encodes and rebuilds partial heartbeats. */
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

// Unacknowledged heartbeats that may still become a base.
constexpr std::size_t max_unanswered = 8;

// The base, a report whose reply is in flight, and one that overtook it.
constexpr std::size_t max_retained_lists = 3;

// Prevents overflow when ages are computed from untrusted input.
constexpr std::int64_t max_age_ms = 1'000'000'000;

constexpr double milli = 1000.0;

// Replaced workers have new names, so the lists of old ones would accumulate.
// Longer than any lease: a worker that returns later has no tasks left.
constexpr auto max_silence = std::chrono::minutes{10};

auto is_active(task_report const& report) -> bool
{
    return report.phase == task_phase::running ||
           report.phase == task_phase::checkpointing;
}

// Returns the slowdown in thousandths; 0 if it is not finite or implausible.
auto slowdown_milli(task_report const& report) -> std::int64_t
{
    constexpr double max_slowdown = 1e9;
    auto const is_usable = std::isfinite(report.slowdown) &&
                           std::abs(report.slowdown) < max_slowdown;
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

// Returns the age of the measurements of the first active task, which most
// tasks share.
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
    result.attributes =
        worker_attributes{report.info.data_centre, report.info.capacity};
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
    auto sent = sent_state{full.sequence, now, by_key(full.tasks)};
    auto result = base_.sequence == 0 ? complete_report(full)
                                      : write_changes(full, now, sent);
    unanswered_[full.sequence] = std::move(sent);
    if (unanswered_.size() > max_unanswered)
    {
        unanswered_.erase(unanswered_.begin());
    }
    return result;
}

auto report_writer::write_changes(
    worker_report const& full, core::time_point now, sent_state& sent)
    -> partial_report
{
    auto result = header_of(full);
    result.base = base_.sequence;
    auto const current = std::exchange(sent.tasks, base_.tasks);
    auto const is_sample_due =
        now - base_.sampled_at >= limits_.sample_interval;
    auto const age = common_age(current);
    sent.sampled_at = is_sample_due ? now : base_.sampled_at;
    for (auto const& [key, before] : base_.tasks)
    {
        if (!current.contains(key))
        {
            result.removed.push_back(key);
            sent.tasks.erase(key);
        }
    }
    for (auto const& [key, task] : current)
    {
        auto const before = base_.tasks.find(key);
        auto const is_changed =
            before == base_.tasks.end() ||
            !has_same_state(before->second, task) ||
            (is_active(task) &&
             (is_sample_due ? task.usage_age_ms != age
                            : is_significant(before->second, task)));
        if (is_changed)
        {
            result.changed.push_back(task);
            sent.tasks[key] = task;
        }
    }
    if (is_sample_due)
    {
        result.sample_age_ms = age;
        write_samples(current, result, sent);
    }
    return result;
}

auto report_writer::write_samples(
    task_map const& current, partial_report& result, sent_state& sent) -> void
{
    auto position = std::uint32_t{0};
    for (auto& [key, before] : sent.tasks)
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
    auto const is_large_change =
        [this](std::int64_t left, std::int64_t right, std::int64_t min_change)
    {
        auto const relative =
            static_cast<double>(left) * limits_.significant_share;
        return static_cast<double>(std::abs(left - right)) >=
               std::max(relative, static_cast<double>(min_change));
    };
    return is_large_change(
               before.usage.cpu_milli, now.usage.cpu_milli,
               limits_.significant_cpu_milli) ||
           is_large_change(
               before.usage.memory_mb, now.usage.memory_mb,
               limits_.significant_memory_mb) ||
           std::abs(before.slowdown - now.slowdown) >=
               limits_.significant_slowdown;
}

auto report_writer::acknowledge(std::uint64_t sequence) -> void
{
    auto const it = unanswered_.find(sequence);
    if (it == unanswered_.end())
    {
        return;
    }
    base_ = std::move(it->second);
    unanswered_.erase(unanswered_.begin(), std::next(it));
}

auto report_writer::reset() -> void
{
    base_ = {};
    unanswered_.clear();
}

auto report_reader::read(partial_report const& report, core::time_point now)
    -> std::optional<worker_report>
{
    auto tasks = find_base(report);
    if (!tasks || !rebuild(report, now, *tasks))
    {
        return core::fail(
            core::error_kind::conflict,
            fmt::format(
                "report {} of worker {} is based on report {}, which is not "
                "retained; send a complete report",
                report.sequence, report.worker.value, report.base));
    }
    remove_silent_workers(now);
    auto& retained = workers_[report.worker];
    retained.last_report_at = now;
    auto result = worker_report{};
    result.info = {report.worker, report.rack, {}, {}};
    auto const attributes = report.attributes.value_or(
        worker_attributes{retained.info.data_centre, retained.info.capacity});
    result.info.data_centre = attributes.data_centre;
    result.info.capacity = attributes.capacity;
    result.highest_epoch = report.highest_epoch;
    result.boot = report.boot;
    result.sequence = report.sequence;
    for (auto const& [key, task] : *tasks)
    {
        auto const elapsed =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                now - task.received_at);
        auto& added = result.tasks.emplace_back(task.report);
        added.usage_age_ms =
            std::clamp<std::int64_t>(added.usage_age_ms, 0, max_age_ms) +
            elapsed.count();
    }
    auto const is_other_boot = retained.boot != report.boot;
    auto const is_newest =
        retained.task_lists.empty() ||
        retained.task_lists.rbegin()->first < report.sequence;
    if (is_other_boot || is_newest)
    {
        retained.info = result.info;
        retain(report, std::move(*tasks), retained);
    }
    return result;
}

// Returns the task list that @p report is based on; an empty list for a
// complete report.
auto report_reader::find_base(partial_report const& report) const
    -> std::optional<task_map>
{
    if (report.base == 0)
    {
        return report.attributes ? std::optional{task_map{}} : std::nullopt;
    }
    auto const retained = workers_.find(report.worker);
    if (retained == workers_.end() || retained->second.boot != report.boot ||
        report.base >= report.sequence)
    {
        return std::nullopt;
    }
    auto const base = retained->second.task_lists.find(report.base);
    return base == retained->second.task_lists.end()
               ? std::nullopt
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
    auto ordered = std::vector<retained_task*>{};
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

// The worker has received the reply to the base, so it will not use an earlier
// list as a base; those are dropped.
auto report_reader::retain(
    partial_report const& report, task_map tasks, retained_worker& retained)
    -> void
{
    if (retained.boot != report.boot || report.base == 0)
    {
        retained.task_lists.clear();
    }
    retained.boot = report.boot;
    retained.task_lists.erase(
        retained.task_lists.begin(),
        retained.task_lists.lower_bound(report.base));
    while (retained.task_lists.size() >= max_retained_lists)
    {
        retained.task_lists.erase(std::next(retained.task_lists.begin()));
    }
    retained.task_lists[report.sequence] = std::move(tasks);
}

auto report_reader::remove_silent_workers(core::time_point now) -> void
{
    if (now < next_check_)
    {
        return;
    }
    next_check_ = now + max_silence;
    std::erase_if(
        workers_, [now](auto const& it)
        { return now - it.second.last_report_at > max_silence; });
}

auto report_reader::retained_lists() const -> std::size_t
{
    auto result = std::size_t{0};
    for (auto const& [name, retained] : workers_)
    {
        result += retained.task_lists.size();
    }
    return result;
}

} // namespace godwitcleat::state
