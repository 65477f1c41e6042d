/** @file dispatch_admission.cpp Refusal of jobs that cannot end in time. */
#include "state/dispatch_internal.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace godwitcleat::state
{

namespace
{

constexpr auto ms_per_s = std::int64_t{1000};
constexpr auto backlog_decay_time = std::chrono::seconds{2};
// Less gives no rate of starts to rely on.
constexpr auto min_waited_s = 0.2;
// Weight of a start in the mean wait.
constexpr auto mean_wait_starts = 64.0;
// Part of the time left that may be spent waiting; the rest covers what is
// not predicted, such as later steps and starts that are answered late.
constexpr auto accepted_percent = 75;
// Nothing is refused unless tasks have waited for this part of the time left.
constexpr auto observed_percent = 25;
constexpr auto max_retry_after_s = std::int64_t{10};
constexpr auto refusal_memory = std::chrono::seconds{60};
constexpr auto max_refused_jobs = std::size_t{20'000};

auto is_first(plan_step const& step) -> bool
{
    return step.after.empty() && !step.long_running;
}

auto first_tasks_of(job_plan const& plan) -> std::uint64_t
{
    auto n = std::uint64_t{0};
    for (auto const& step : plan.steps)
    {
        n += is_first(step) ? step.tasks : 0;
    }
    return n;
}

auto may_be_refused(job_plan const& plan, std::int64_t now_ms) -> bool
{
    return plan.occurrences == 1 && plan.first_run_ms <= now_ms &&
           std::none_of(
               plan.steps.begin(), plan.steps.end(),
               [](plan_step const& it) { return it.long_running; });
}

auto to_duration(double seconds) -> core::duration
{
    return std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double>{seconds});
}

} // namespace

auto start_backlog::expected_wait(std::uint64_t tasks) const -> core::duration
{
    constexpr auto max_wait_s = 3600.0;
    if (waiting_tasks == 0 || waited_s < min_waited_s)
    {
        return {};
    }
    auto const ahead = static_cast<double>(waiting_tasks + tasks);
    auto const wait = starts > 0.0 ? ahead * waited_s / starts : max_wait_s;
    return to_duration(std::min(wait, max_wait_s));
}

auto dispatcher::implementation::admit(
    job_plan const& plan, queue_config const& config, queue_state& queue)
    -> bool
{
    auto const now_ms = hooks.unix_ms();
    auto const tasks = first_tasks_of(plan);
    auto const wait = to_ms(queue.backlog.expected_wait(tasks));
    if (wait == 0 || !may_be_refused(plan, now_ms))
    {
        queue.backlog.waiting_tasks +=
            queue.backlog.waiting_tasks > 0 ? tasks : 0;
        return true;
    }
    auto const known = refused_jobs.find(plan.id.value);
    auto const begin = known == refused_jobs.end() ? now_ms : known->second;
    auto const path = critical_path_ms(plan);
    auto const work = static_cast<std::int64_t>(
        queue.run_time_factor * static_cast<double>(path));
    auto objective = objective_ms(path, config);
    if (work > objective)
    {
        objective *= late_factor; // It is late even if it starts at once.
    }
    auto const left = begin + objective - now_ms - work;
    auto const observed = to_ms(to_duration(queue.backlog.mean_wait_s)) * 100 >=
                          left * observed_percent;
    if (wait * 100 <= left * accepted_percent || !observed)
    {
        queue.backlog.waiting_tasks += tasks;
        refused_jobs.erase(plan.id.value);
        return true;
    }
    if (known == refused_jobs.end() && refused_jobs.size() < max_refused_jobs)
    {
        refused_jobs.emplace(plan.id.value, now_ms);
    }
    ++totals.jobs_refused;
    auto reason = core::failure{};
    reason.kind = core::error_kind::no_capacity;
    reason.retry_after_s = std::clamp(
        (wait - std::max<std::int64_t>(left, 0) + ms_per_s - 1) / ms_per_s,
        std::int64_t{1}, max_retry_after_s);
    reason.message = fmt::format(
        "the job would wait {} ms for its first task and not end in time; "
        "submit it again in {} s",
        wait, reason.retry_after_s);
    core::fail(reason);
    event(
        "A job was refused.", {{"job", plan.id.value},
                               {"queue", plan.queue.value},
                               {"tasks", tasks},
                               {"expected_wait_ms", wait},
                               {"time_left_ms", left},
                               {"waiting_tasks", queue.backlog.waiting_tasks}});
    return false;
}

auto dispatcher::implementation::measure_backlogs(core::time_point now) -> void
{
    auto const elapsed =
        std::chrono::duration<double>{
            now - std::exchange(backlogs_measured_at, now)}
            .count();
    auto const factor = std::exp(
        -elapsed / std::chrono::duration<double>{backlog_decay_time}.count());
    for (auto& [id, queue] : queue_states)
    {
        auto& backlog = queue.backlog;
        auto const waits = backlog.waiting_tasks > 0;
        backlog.waited_s = backlog.waited_s * factor + (waits ? elapsed : 0.0);
        backlog.starts *= factor;
        backlog.mean_wait_s *= waits ? 1.0 : factor;
    }
}

auto dispatcher::implementation::count_first_starts(
    ready_step const& it, step_rank const& rank, std::size_t starts,
    core::time_point now) -> void
{
    auto const& step = it.job->steps[it.step];
    if (starts == 0 || rank.urgency() != step_urgency::in_time ||
        !is_first(it.job->spec(step)))
    {
        return;
    }
    auto& backlog = it.job->queue->backlog;
    auto const n = static_cast<double>(starts);
    backlog.starts += backlog.waiting_tasks > 0 ? n : 0.0;
    auto const wait =
        std::chrono::duration<double>{now - step.ready_since}.count();
    backlog.mean_wait_s +=
        std::min(n / mean_wait_starts, 1.0) * (wait - backlog.mean_wait_s);
}

auto dispatcher::implementation::count_waiting(
    std::vector<step_flow> const& flows) -> void
{
    for (auto& [id, queue] : queue_states)
    {
        queue.backlog.waiting_tasks = 0;
    }
    if (starts_left > 0)
    {
        return; // What waits has been tried and found no room.
    }
    for (auto const& flow : flows)
    {
        for (auto const& [rank, i] : flow.steps)
        {
            auto const& it = ready_steps[i];
            auto const& step = it.job->steps[it.step];
            if (rank.urgency() == step_urgency::in_time &&
                is_first(it.job->spec(step)))
            {
                it.job->queue->backlog.waiting_tasks += step.ready_tasks.size();
            }
        }
    }
}

auto dispatcher::implementation::forget_refused_jobs() -> void
{
    auto const before = hooks.unix_ms() - to_ms(refusal_memory);
    std::erase_if(
        refused_jobs, [=](auto const& it) { return it.second < before; });
}

} // namespace godwitcleat::state
