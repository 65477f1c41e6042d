/** @file dispatch_crashes.cpp Tasks under which workers crash. */
#include "state/dispatch_verdicts_internal.hpp"

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
// One that is heard of this much later is not compared.
constexpr auto max_crash_age = std::chrono::seconds{30};
constexpr auto crash_check_interval = std::chrono::milliseconds{200};
// A task waits no longer until it is known whether a crash counts.
constexpr auto max_verdict_delay = std::chrono::milliseconds{2900};
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

auto dispatcher::implementation::add_crash(
    dispatch_worker const& worker, core::time_point alive_at,
    core::time_point now) -> worker_crash&
{
    auto& crash = recent_crashes.emplace_back();
    crash.worker = worker.info.worker;
    crash.service = worker.info.service;
    crash.data_centre = worker.info.data_centre;
    crash.alive_at = alive_at == core::time_point{} ? now : alive_at;
    crash.heard_at = now;
    // The process that replaces it may be listed before it is heard.
    crash.announced =
        worker.drain_seen_at || worker.drain_lifted_at >= crash.alive_at;
    for (auto const* const runs : {&worker.runs, &worker.lapsed_runs})
    {
        for (auto const& run : *runs)
        {
            if (!run.waits_for_store)
            {
                crash.jobs.insert(run.name.job);
            }
        }
    }
    return crash;
}

auto dispatcher::implementation::settle_crash(
    crash_judge& judge, std::size_t index, core::time_point now) -> void
{
    auto& crash = recent_crashes[index];
    auto const verdict = judge.judge(index, now);
    if (verdict == crash_verdict::open)
    {
        return;
    }
    auto dismissed = std::size_t{0};
    for (auto const& it : std::exchange(crash.open, {}))
    {
        auto& task = it.job->tasks[it.task];
        if (std::erase(task.open_crashes, it.run.value) == 0)
        {
            continue;
        }
        schedule_due = true;
        if (is_final(it.job->phase) || task.state == task_state::done)
        {
            continue;
        }
        if (verdict == crash_verdict::common &&
            !judge.explains(it.job->record.plan.id, index))
        {
            ++task.dismissed_crashes;
            ++dismissed;
            continue;
        }
        confirm_crash(it, now);
    }
    if (dismissed > 0)
    {
        event(
            "A crash of most workers of a data centre does not count.",
            {{"worker", crash.worker.value},
             {"data_centre", crash.data_centre.value},
             {"tasks", dismissed}});
    }
}

auto dispatcher::implementation::settle_crashes(core::time_point now) -> void
{
    if (recent_crashes.empty() || now < next_crash_check)
    {
        return;
    }
    next_crash_check = now + crash_check_interval;
    auto const is_open = [](worker_crash const& it)
    {
        return !it.open.empty();
    };
    if (std::any_of(recent_crashes.begin(), recent_crashes.end(), is_open))
    {
        auto judge = crash_judge{workers, former_workers, recent_crashes};
        for (auto i = std::size_t{0}; i < recent_crashes.size(); ++i)
        {
            if (is_open(recent_crashes[i]))
            {
                settle_crash(judge, i, now);
            }
        }
    }
    while (!recent_crashes.empty() &&
           now > recent_crashes.front().heard_at + max_crash_age)
    {
        recent_crashes.pop_front();
    }
}

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
    auto const is_run = [&](std::uint64_t it)
    {
        return it == run.run.value;
    };
    auto const counted =
        std::any_of(
            task.crashed_runs.begin(), task.crashed_runs.end(), is_run) ||
        std::any_of(task.open_crashes.begin(), task.open_crashes.end(), is_run);
    if (is_final(job->phase) || task.state == task_state::done || counted)
    {
        return;
    }
    task.open_crashes.push_back(run.run.value);
    task.crash_heard_at = now;
    note_loss(run);
    event(
        "A worker crashed under a task.", {{"worker", worker.info.worker.value},
                                           {"job", run.name.job.value},
                                           {"step", run.name.step},
                                           {"task", run.name.index},
                                           {"run", run.run.value},
                                           {"crashes", task.crash_count()}});
    auto const lasts = job->spec(job->step_of(run.task)).long_running;
    if (lasts && restart_delay(task.crash_count()) > core::duration{})
    {
        event(
            "A long-running task is restarted with a delay because workers "
            "crash under it.",
            {{"job", run.name.job.value},
             {"step", run.name.step},
             {"task", run.name.index},
             {"delay_ms", to_ms(restart_delay(task.crash_count()))}});
    }
    auto const it = std::find_if(
        recent_crashes.rbegin(), recent_crashes.rend(),
        [&](auto const& crash) { return crash.worker == worker.info.worker; });
    auto& crash =
        it != recent_crashes.rend() ? *it : add_crash(worker, now, now);
    crash.open.push_back({job, run.task, run.run});
}

auto dispatcher::implementation::confirm_crash(
    crashed_run const& run, core::time_point now) -> void
{
    auto const& job = run.job;
    auto& crashed = job->tasks[run.task].crashed_runs;
    auto const lasts = job->spec(job->step_of(run.task)).long_running;
    if (lasts && crashed.size() >= max_crash_history)
    {
        crashed.erase(crashed.begin());
    }
    crashed.push_back(run.run.value);
    if (lasts || crashed.size() < max_crashes)
    {
        mark_changed(job, now + settings.commit_delay);
        return;
    }
    auto const name = job->name_of(run.task);
    event(
        "A task is given up because workers crash under it.",
        {{"job", name.job.value},
         {"step", name.step},
         {"task", name.index},
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
    if (task.last_run != run.run)
    {
        return;
    }
    task.dismissed_crashes = 0;
    if (task.is_suspect())
    {
        task.crashed_runs.clear();
        task.open_crashes.clear();
        mark_changed(job, now + settings.commit_delay);
    }
}

auto dispatcher::implementation::is_backing_off(
    plan_step const& spec, dispatch_task const& task,
    core::time_point now) const -> bool
{
    auto const waits_for_verdict =
        !spec.long_running && task.crash_count() >= max_crashes &&
        now < task.crash_heard_at + max_verdict_delay;
    if (waits_for_verdict)
    {
        return true;
    }
    auto const is_delayed = spec.long_running || task.dismissed_crashes > 0;
    auto const crashes = task.crash_count() + task.dismissed_crashes;
    return is_delayed && now < task.lost_at + restart_delay(crashes);
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
