/** @file dispatch_work.cpp Work of steps as measured, for their objectives. */
#include "state/dispatch_internal.hpp"

#include <algorithm>

namespace godwitcleat::state
{

namespace
{

// Below this share of its work a run tells too little about its length.
constexpr auto min_percent = std::int64_t{10};
// A run that is further from its declared time has met a fault, not more work.
constexpr auto max_work_ratio = std::int64_t{10};
// Smaller changes of the longest run are not worth a new look at the chain.
constexpr auto change_percent = std::int64_t{10};

/** Returns the run time of a run that has done @p percent of its work in
 *  @p elapsed_ms; std::nullopt if that tells too little. */
auto expected_total_ms(std::int64_t elapsed_ms, std::int64_t percent)
    -> std::optional<std::int64_t>
{
    if (percent < min_percent)
    {
        return std::nullopt;
    }
    constexpr auto whole = std::int64_t{100};
    return elapsed_ms * whole / std::min(percent, whole);
}

} // namespace

auto job_entry::path_ms(step_entry const& step) const -> std::int64_t
{
    auto const measured =
        measured_path_ms.empty() ? 0 : measured_path_ms[step.occurrence];
    return measured > 0 ? measured : queue->actual_ms(critical_path_ms);
}

auto job_entry::remaining_ms(step_entry const& step) const -> std::int64_t
{
    auto const path = remaining_path_ms[step.step];
    return step.longest_run_ms > 0
               ? step.longest_run_ms +
                     queue->actual_ms(path - spec(step).expected_run_ms)
               : queue->actual_ms(path);
}

auto dispatcher::implementation::note_work(
    run_entry const& run, std::int64_t percent, core::time_point now) -> void
{
    auto const& job = run.job;
    if (!settings.measured_objectives || !job || !run.checkpoint.empty())
    {
        return;
    }
    auto& step = job->step_of(run.task);
    auto const& spec = job->spec(step);
    if (spec.long_running || spec.expected_run_ms <= 0)
    {
        return;
    }
    auto const total = expected_total_ms(to_ms(now - run.ordered_at), percent);
    if (!total)
    {
        return;
    }
    auto const work = std::min(*total, max_work_ratio * spec.expected_run_ms);
    if (work * 100 <= step.longest_run_ms * (100 + change_percent))
    {
        return;
    }
    step.longest_run_ms = work;
    measure_path(*job, step.occurrence);
}

auto dispatcher::implementation::measure_path(
    job_entry& job, std::uint32_t occurrence) -> void
{
    auto const& plan = job.record.plan;
    auto work_ms = std::vector<std::int64_t>(plan.steps.size());
    for (auto const& it : job.steps)
    {
        if (it.occurrence != occurrence)
        {
            continue;
        }
        work_ms[it.step] =
            it.longest_run_ms > 0
                ? it.longest_run_ms
                : job.queue->actual_ms(job.spec(it).expected_run_ms);
    }
    if (job.measured_path_ms.empty())
    {
        job.measured_path_ms.assign(plan.occurrences, 0);
    }
    job.measured_path_ms[occurrence] = critical_path_ms(plan, work_ms);
}

} // namespace godwitcleat::state
