/** @file dispatch_order.cpp Order in which steps of jobs are placed. */
#include "state/dispatch_internal.hpp"

#include <algorithm>

namespace godwitcleat::state
{

namespace
{

// A job that ends within this multiple of its time objective has partial value.
constexpr auto late_factor = 3;

auto objective_ms(job_entry const& job, queue_config const& queue)
    -> std::int64_t
{
    return static_cast<std::int64_t>(
               queue.stretch * static_cast<double>(job.critical_path_ms)) +
           queue.allowance_ms;
}

} // namespace

auto dispatcher::implementation::is_schedulable(
    ready_step const& it, std::int64_t now_ms) -> bool
{
    auto const* const queue = find_queue(*it.job);
    return queue != nullptr && !queue->needs_advice &&
           it.job->steps[it.step].not_before_ms <= now_ms;
}

auto dispatcher::implementation::rank_of(
    ready_step const& it, std::int64_t now_ms) -> step_rank
{
    auto const& job = *it.job;
    auto const& step = job.steps[it.step];
    auto const& queue = *find_queue(job);
    auto const begin = std::max(job.record.accepted_ms, step.not_before_ms);
    if (job.spec(step).long_running)
    {
        return {step_urgency::long_running, queue.priority, 0, begin};
    }
    auto const objective = objective_ms(job, queue);
    auto const end =
        now_ms + static_cast<std::int64_t>(
                     job.queue->run_time_factor *
                     static_cast<double>(job.remaining_path_ms[step.step]));
    auto const due = begin + objective;
    auto const late = begin + late_factor * objective;
    auto const urgency = end <= due    ? step_urgency::in_time
                         : end <= late ? step_urgency::late
                                       : step_urgency::expired;
    auto const not_begun = job.start_ordered || job.started ? 0U : 1U;
    return {urgency, queue.priority, not_begun, due};
}

auto dispatcher::implementation::queue_counts() const
    -> std::map<queue_id, queue_task_counts>
{
    auto result = std::map<queue_id, queue_task_counts>{};
    for (auto const& [id, queue] : queue_states)
    {
        result[id].starts = queue.starts;
    }
    auto const now_ms = hooks.unix_ms();
    for (auto const& it : ready_steps)
    {
        if (is_schedulable(it, now_ms))
        {
            result[it.job->record.plan.queue]
                .ready[rank_of(it, now_ms).urgency] +=
                it.job->steps[it.step].ready_tasks.size();
        }
    }
    return result;
}

} // namespace godwitcleat::state
