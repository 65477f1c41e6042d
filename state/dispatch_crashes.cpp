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

// Returns true if the run was at work for so long that it crashes no worker.
auto has_proved_sound(run_entry const& run) -> bool
{
    return run.seen_running && run.last_seen_at - run.ordered_at > crash_time;
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
    crashed.push_back(run.run.value);
    event(
        "A worker crashed under a task.", {{"worker", worker.info.worker.value},
                                           {"job", run.name.job.value},
                                           {"step", run.name.step},
                                           {"task", run.name.index},
                                           {"run", run.run.value},
                                           {"crashes", crashed.size()}});
    if (crashed.size() < max_crashes)
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

auto dispatcher::implementation::update_suspicion(
    dispatch_worker& worker, run_entry& run) -> void
{
    if (run.suspect && has_proved_sound(run))
    {
        run.suspect = false;
        --worker.suspect_runs;
        schedule_due = true;
    }
}

} // namespace godwitcleat::state
