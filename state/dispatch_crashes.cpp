/** @file dispatch_crashes.cpp Tasks under which workers crash. */
#include "state/dispatch_internal.hpp"

#include <algorithm>

namespace godwitcleat::state
{

namespace
{

// Crashes of workers under a task after which it is given up.
constexpr auto max_crashes = std::size_t{3};
// A task that crashes its worker does so within this time of its start.
constexpr auto crash_time = std::chrono::seconds{10};
// Delay of the restart of a long-running task after the second crash, doubled
// with each further one. The task has to be started 9 s after its last run.
constexpr auto first_restart_delay = std::chrono::seconds{2};
constexpr auto max_restart_delay = std::chrono::seconds{6};
// With as many crashes, the delay has its maximum.
constexpr auto max_crash_history = std::size_t{4};

// Returns true if the run was at work for so long that it crashes no worker.
auto has_proved_sound(run_entry const& run) -> bool
{
    return run.seen_running && run.last_seen_at - run.ordered_at > crash_time;
}

// Returns how long after its last run a long-running task is started again.
auto restart_delay(std::size_t crashes) -> core::duration
{
    if (crashes < 2)
    {
        return {};
    }
    auto const doublings = std::min(crashes, max_crash_history) - 2;
    return std::min<core::duration>(
        first_restart_delay * (1U << doublings), max_restart_delay);
}

} // namespace

auto dispatcher::implementation::count_crash(
    dispatch_worker& worker, run_entry const& run, core::time_point now) -> void
{
    auto const exempt = !run.job || run.stop_requested || run.drain_seen ||
                        worker.drain_seen_at || has_proved_sound(run);
    if (exempt)
    {
        return;
    }
    auto const job = run.job;
    auto& task = job->tasks[run.task];
    auto& crashed = task.crashed_runs;
    auto const counted =
        std::find(crashed.begin(), crashed.end(), run.run.value) !=
        crashed.end();
    if (is_final(job->phase) || task.state == task_state::done || counted)
    {
        return;
    }
    auto const lasts = job->spec(job->step_of(run.task)).long_running;
    if (lasts && crashed.size() >= max_crash_history)
    {
        crashed.erase(crashed.begin());
    }
    crashed.push_back(run.run.value);
    note_loss(run);
    event(
        "A worker crashed under a task.", {{"worker", worker.info.worker.value},
                                           {"job", run.name.job.value},
                                           {"step", run.name.step},
                                           {"task", run.name.index},
                                           {"run", run.run.value},
                                           {"crashes", crashed.size()}});
    if (lasts && restart_delay(crashed.size()) > core::duration{})
    {
        event(
            "A long-running task is restarted with a delay because workers "
            "crash under it.",
            {{"job", run.name.job.value},
             {"step", run.name.step},
             {"task", run.name.index},
             {"delay_ms", to_ms(restart_delay(crashed.size()))}});
    }
    if (lasts || crashed.size() < max_crashes)
    {
        mark_changed(job, now + settings.commit_delay);
        return;
    }
    event(
        "A task is given up because workers crash under it.",
        {{"job", run.name.job.value},
         {"step", run.name.step},
         {"task", run.name.index},
         {"crashes", crashed.size()}});
    finish_job(job, plan_phase::failed, now);
}

auto dispatcher::implementation::note_loss(run_entry const& run) -> void
{
    if (!run.job || has_proved_sound(run))
    {
        return;
    }
    auto& task = run.job->tasks[run.task];
    task.lost_at = std::max({task.lost_at, run.ordered_at, run.last_seen_at});
}

auto dispatcher::implementation::update_suspicion(
    dispatch_worker& worker, run_entry& run, core::time_point now) -> void
{
    if (!has_proved_sound(run))
    {
        return;
    }
    if (run.suspect)
    {
        run.suspect = false;
        --worker.suspect_runs;
        schedule_due = true;
    }
    auto const& job = run.job;
    if (!job || is_final(job->phase))
    {
        return;
    }
    auto& task = job->tasks[run.task];
    if (task.is_suspect() && task.last_run == run.run &&
        job->spec(job->step_of(run.task)).long_running)
    {
        task.crashed_runs.clear();
        mark_changed(job, now + settings.commit_delay);
    }
}

auto dispatcher::implementation::is_backing_off(
    plan_step const& spec, dispatch_task const& task,
    core::time_point now) const -> bool
{
    return spec.long_running &&
           now < task.lost_at + restart_delay(task.crashed_runs.size());
}

auto dispatcher::implementation::is_isolated(
    plan_step const& spec, dispatch_task const& task,
    core::time_point now) const -> bool
{
    if (!task.needs_isolation() || spec.gang)
    {
        return false;
    }
    // A new owner does not know when its last run was at work.
    auto const lost_at = std::max(task.lost_at, loaded_at);
    return !spec.long_running || now < lost_at + max_restart_delay;
}

} // namespace godwitcleat::state
