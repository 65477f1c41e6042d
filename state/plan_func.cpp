/** @file plan_func.cpp Validation and progress of jobs of several steps. */
#include "state/plan_type.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace godwitcleat::state
{

namespace
{

constexpr auto bits_per_byte = std::uint32_t{8};

auto invalid(std::string message) -> std::nullopt_t
{
    return core::fail(core::error_kind::invalid_input, std::move(message));
}

auto check_step(plan_step const& step, std::size_t number)
    -> std::optional<bool>
{
    if (step.tasks == 0 || step.tasks > max_tasks_per_step)
    {
        return invalid(fmt::format(
            "step {} has {} tasks; use 1 to {}", number, step.tasks,
            max_tasks_per_step));
    }
    if (step.need.cpu_milli < 0 || step.need.memory_mb < 0 ||
        step.need.accelerators < 0 || step.expected_run_ms < 0)
    {
        return invalid(fmt::format(
            "step {} has a negative resource need or run time; use 0 or more",
            number));
    }
    for (auto const it : step.after)
    {
        if (it >= number)
        {
            return invalid(fmt::format(
                "step {} depends on step {}; use earlier steps only", number,
                it));
        }
    }
    return true;
}

} // namespace

auto to_string(plan_phase value) -> std::string_view
{
    switch (value)
    {
    case plan_phase::queued: return "queued";
    case plan_phase::active: return "active";
    case plan_phase::completed: return "completed";
    case plan_phase::failed: return "failed";
    case plan_phase::cancelled: return "cancelled";
    }
    return "unknown";
}

auto is_final(plan_phase phase) -> bool
{
    return phase == plan_phase::completed || phase == plan_phase::failed ||
           phase == plan_phase::cancelled;
}

auto check_plan(job_plan const& plan) -> std::optional<bool>
{
    if (plan.steps.empty() || plan.steps.size() > max_steps)
    {
        return invalid(fmt::format(
            "the job has {} steps; use 1 to {}", plan.steps.size(), max_steps));
    }
    if (plan.command.size() > max_command_bytes)
    {
        return invalid(fmt::format(
            "the command has {} bytes; use at most {}", plan.command.size(),
            max_command_bytes));
    }
    if (plan.occurrences == 0 || plan.occurrences > max_occurrences ||
        plan.interval_ms < 0 || plan.first_run_ms < 0)
    {
        return invalid(fmt::format(
            "the job repeats {} times every {} ms; use 1 to {} times and an "
            "interval of 0 or more",
            plan.occurrences, plan.interval_ms, max_occurrences));
    }
    auto tasks = std::uint64_t{0};
    for (auto i = std::size_t{0}; i < plan.steps.size(); ++i)
    {
        if (!check_step(plan.steps[i], i))
        {
            return std::nullopt;
        }
        tasks += plan.steps[i].tasks;
    }
    if (tasks * plan.occurrences > max_tasks_per_job)
    {
        return invalid(fmt::format(
            "the job has {} tasks; use at most {}", tasks * plan.occurrences,
            max_tasks_per_job));
    }
    return true;
}

auto mark_done(plan_progress& progress, std::uint32_t task) -> void
{
    auto const at = task / bits_per_byte;
    if (at >= progress.done.size())
    {
        progress.done.resize(at + 1, '\0');
    }
    auto& byte = progress.done[at];
    byte = static_cast<char>(
        static_cast<unsigned char>(byte) | 1U << (task % bits_per_byte));
}

auto is_done(plan_progress const& progress, std::uint32_t task) -> bool
{
    auto const at = task / bits_per_byte;
    if (at >= progress.done.size())
    {
        return false;
    }
    auto const byte = static_cast<unsigned char>(progress.done[at]);
    return (byte >> (task % bits_per_byte) & 1U) != 0;
}

auto critical_path_ms(job_plan const& plan) -> std::int64_t
{
    auto declared = std::vector<std::int64_t>{};
    for (auto const& it : plan.steps)
    {
        declared.push_back(it.expected_run_ms);
    }
    return critical_path_ms(plan, declared);
}

auto critical_path_ms(
    job_plan const& plan, std::span<std::int64_t const> run_ms) -> std::int64_t
{
    auto ends = std::vector<std::int64_t>{};
    auto longest = std::int64_t{0};
    for (auto const& step : plan.steps)
    {
        auto begin = std::int64_t{0};
        for (auto const it : step.after)
        {
            begin = std::max(begin, ends.at(it));
        }
        ends.push_back(begin + run_ms[ends.size()]);
        longest = std::max(longest, ends.back());
    }
    return longest;
}

} // namespace godwitcleat::state
