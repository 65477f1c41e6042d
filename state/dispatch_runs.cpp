/** @file dispatch_runs.cpp Runs on the workers and how they end. */
#include "state/dispatch_internal.hpp"

#include <algorithm>

namespace godwitcleat::state
{

namespace
{

// A run that may not work for this long does better on another worker.
constexpr auto held_back_time = std::chrono::milliseconds{1500};
// A run whose percentage stays the same for this long stands still.
constexpr auto least_standstill = std::chrono::milliseconds{1800};
constexpr auto standstill_percent = 8; // Of the declared run time.
// Failures in a row that one worker alone is blamed for.
constexpr auto most_suspicion = std::uint32_t{2};
constexpr auto first_suspension = std::chrono::seconds{3};
constexpr auto most_suspension_doublings = std::uint32_t{2};
// Weight of one run in the factor on declared run times, and the largest ratio
// that one run counts for.
constexpr auto run_factor_rate = 0.03;
constexpr auto most_run_factor = 4.0;

} // namespace

auto dispatcher::implementation::find_run(
    dispatch_worker& worker, task_name const& name, run_number run)
    -> std::optional<std::size_t>
{
    for (auto i = std::size_t{0}; i < worker.runs.size(); ++i)
    {
        auto const& it = worker.runs[i];
        if (it.run == run && it.name == name)
        {
            return i;
        }
    }
    return std::nullopt;
}

auto dispatcher::implementation::take_end(
    dispatch_worker& worker, ended_row const& row, core::time_point now) -> void
{
    if (row.number <= worker.seen_end)
    {
        return;
    }
    worker.seen_end = row.number;
    auto const job = find(row.task.job.value);

    if (job)
    {
        note_started(*job);
    }
    if (auto const i = find_run(worker, row.task, row.run))
    {
        end_run(worker, *i, row.how, row.checkpoint, now);
    }
    else if (job)
    {
        if (auto const index = job->index_of(row.task))
        {
            auto& task = job->tasks[*index];
            task.last_run = std::max(task.last_run, row.run);
            apply_end(
                job, *index, worker, row.run, row.how, row.checkpoint, now);
        }
    }
    // The end may have changed nothing because of a change that is not stored,
    // such as a cancelling; a new owner would not know that either.
    auto const unstored = job && job->version > job->stored_version;
    worker.ends.push_back(
        {row.number, unstored ? job : nullptr, unstored ? job->version : 0});
}

auto dispatcher::implementation::take_running(
    dispatch_worker& worker, running_row const& row, core::time_point now)
    -> void
{
    auto const i = find_run(worker, row.task, row.run);
    auto& run = i ? worker.runs[*i] : adopt(worker, row, now);
    run.seen_in = worker.lists;
    run.listed = true;
    if (run.job)
    {
        note_started(*run.job);
    }
    if (!row.checkpoint.empty())
    {
        run.checkpoint = row.checkpoint;
    }
    if (run.percent != row.percent)
    {
        run.percent = row.percent;
        run.percent_at = now;
    }
    run.measure = row.measure;
}

auto dispatcher::implementation::adopt(
    dispatch_worker& worker, running_row const& row, core::time_point now)
    -> run_entry&
{
    auto const job = find(row.task.job.value);
    auto const index = job ? job->index_of(row.task) : std::nullopt;
    auto run = index ? plan_run(job, *index, row.run, now) : run_entry{};
    run.name = row.task;
    run.run = row.run;
    run.startable_until = now;
    run.confirmed_at = now;
    run.stop_wanted = true;
    if (index)
    {
        auto& task = job->tasks[*index];
        task.last_run = std::max(task.last_run, row.run);
        ++job->bound;
        auto const free = task.state != task_state::bound &&
                          task.state != task_state::done &&
                          !is_final(job->phase);
        if (free)
        {
            if (task.state == task_state::ready)
            {
                std::erase(job->step_of(*index).ready, *index);
            }
            task.state = task_state::bound;
            task.worker = &worker;
            run.stop_wanted = false;
        }
    }
    worker.assessed = false;
    worker.used += run.need;
    worker.serving += run.tail_target_ms > 0 ? 1 : 0;
    worker.spare_runs += run.uses_spare_cpu ? 1 : 0;
    event(
        "A run was found on a worker.", {{"worker", worker.info.worker.value},
                                         {"job", row.task.job.value},
                                         {"step", row.task.step},
                                         {"task", row.task.index},
                                         {"run", row.run.value},
                                         {"kept", !run.stop_wanted}});
    return worker.runs.emplace_back(std::move(run));
}

auto dispatcher::implementation::resolve_missing(
    dispatch_worker& worker, core::time_point sent_at, core::time_point now)
    -> void
{
    for (auto i = worker.runs.size(); i-- > 0;)
    {
        auto const& run = worker.runs[i];
        if (run.seen_in == worker.lists)
        {
            continue;
        }
        auto const confirmed = run.confirmed_at && *run.confirmed_at < sent_at;
        auto const stopped =
            run.stop_confirmed && *run.stop_confirmed < sent_at;
        if (worker.reborn || confirmed || stopped ||
            sent_at > run.startable_until)
        {
            retry_run(worker, i, now);
        }
    }
}

auto dispatcher::implementation::lose_runs(
    dispatch_worker& worker, std::string_view cause, core::time_point now)
    -> void
{
    if (worker.runs.empty())
    {
        return;
    }
    event(
        "Runs of a worker are lost.", {{"worker", worker.info.worker.value},
                                       {"runs", worker.runs.size()},
                                       {"cause", cause}});
    totals.runs_lost += worker.runs.size();
    while (!worker.runs.empty())
    {
        retry_run(worker, worker.runs.size() - 1, now);
    }
}

auto dispatcher::implementation::retry_run(
    dispatch_worker& worker, std::size_t index, core::time_point now) -> void
{
    end_run(worker, index, run_end::lapsed, {}, now);
}

auto dispatcher::implementation::end_run(
    dispatch_worker& worker, std::size_t index, run_end how,
    std::string checkpoint, core::time_point now) -> void
{
    auto run = std::move(worker.runs[index]);
    worker.runs.erase(worker.runs.begin() + static_cast<std::ptrdiff_t>(index));
    worker.assessed = false;
    if (run.uses_spare_cpu)
    {
        worker.spare_ended_at = now;
    }
    worker.used -= run.need;
    worker.serving -= run.tail_target_ms > 0 ? 1 : 0;
    worker.spare_runs -= run.uses_spare_cpu ? 1 : 0;
    schedule_due = true;
    if (!run.job)
    {
        return;
    }
    --run.job->bound;
    if (how == run_end::done)
    {
        learn_run_time(run, now);
    }
    if (checkpoint.empty())
    {
        checkpoint = std::move(run.checkpoint);
    }
    auto& task = run.job->tasks[run.task];
    auto const is_current = task.state == task_state::bound &&
                            task.worker == &worker && task.last_run == run.run;
    if (is_current)
    {
        task.state = task_state::blocked;
        task.worker = nullptr;
    }
    if (is_current || how == run_end::done || how == run_end::failed)
    {
        apply_end(
            run.job, run.task, worker, run.run, how, std::move(checkpoint),
            now);
    }
}

auto dispatcher::implementation::learn_run_time(
    run_entry const& run, core::time_point now) -> void
{
    auto const& spec = run.job->spec(run.job->step_of(run.task));
    if (spec.expected_run_ms <= 0 || !run.checkpoint.empty())
    {
        return;
    }
    auto const ratio = static_cast<double>(to_ms(now - run.ordered_at)) /
                       static_cast<double>(spec.expected_run_ms);
    auto& factor = run.job->queue->run_factor;
    factor += run_factor_rate * (std::min(ratio, most_run_factor) - factor);
}

auto dispatcher::implementation::apply_end(
    job_pointer const& job, std::uint32_t index, dispatch_worker& worker,
    run_number run, run_end how, std::string checkpoint, core::time_point now)
    -> void
{
    auto& task = job->tasks[index];
    auto& step = job->step_of(index);
    auto const& spec = job->spec(step);
    if (is_final(job->phase) || task.state == task_state::done)
    {
        return;
    }
    judge_worker(worker, *job, how, now);
    auto const later = now + settings.commit_delay;
    if (how == run_end::done && !spec.long_running)
    {
        ++totals.ends_done;
        if (task.state == task_state::bound)
        {
            // Another run of the task was started meanwhile.
            for (auto& it : task.worker->runs)
            {
                it.stop_wanted =
                    it.stop_wanted || (it.job == job && it.task == index);
            }
        }
        auto const members = spec.gang ? spec.tasks : 1;
        auto const first = spec.gang ? step.first : index;
        for (auto i = first; i < first + members; ++i)
        {
            task_done(job, i);
        }
        if (job->open_steps == 0)
        {
            finish(job, plan_phase::completed, now);
        }
        else
        {
            changed(job, later);
        }
        return;
    }
    if (how != run_end::failed)
    {
        ++totals.ends_other;
        keep_checkpoint(job, index, std::move(checkpoint), now);
    }
    else
    {
        ++totals.ends_failed;
        task.avoided = worker.info.worker;
        if (!spec.long_running)
        {
            fail_task(job, index, run, now);
        }
    }
    auto const waits =
        task.state == task_state::blocked || task.state == task_state::unknown;
    if (is_final(job->phase) || !waits || step.waits_for > 0)
    {
        return;
    }
    if (recovering && job->restored)
    {
        // A later run may have ended on a worker that was not heard yet.
        task.state = task_state::unknown;
        return;
    }
    make_ready(job, index);
}

auto dispatcher::implementation::keep_checkpoint(
    job_pointer const& job, std::uint32_t index, std::string checkpoint,
    core::time_point now) -> void
{
    auto const& step = job->step_of(index);
    // One checkpoint serves all members of a gang.
    auto& task = job->tasks[job->spec(step).gang ? step.first : index];
    if (checkpoint.empty() || checkpoint == task.checkpoint)
    {
        return;
    }
    task.checkpoint = std::move(checkpoint);
    changed(job, now + settings.commit_delay);
}

auto dispatcher::implementation::fail_task(
    job_pointer const& job, std::uint32_t index, run_number run,
    core::time_point now) -> void
{
    auto const& step = job->step_of(index);
    auto const& spec = job->spec(step);
    auto const* const queue = find_queue(*job);
    auto& task = job->tasks[spec.gang ? step.first : index];
    // A new owner hears a stored end again, and members of a gang fail
    // together.
    auto& failed = task.failed_runs;
    if (std::find(failed.begin(), failed.end(), run.value) != failed.end())
    {
        return;
    }
    failed.push_back(run.value);
    event(
        "A run has failed.", {{"job", job->record.plan.id.value},
                              {"step", step.step},
                              {"task", index - step.first},
                              {"worker", job->tasks[index].avoided.value},
                              {"failures", failed.size()}});
    if (queue != nullptr && failed.size() >= queue->most_failures)
    {
        finish(job, plan_phase::failed, now);
        return;
    }
    changed(job, now + settings.commit_delay);
}

auto dispatcher::implementation::judge_worker(
    dispatch_worker& worker, job_entry& job, run_end how, core::time_point now)
    -> void
{
    if (how == run_end::done)
    {
        worker.suspicion = 0;
        return;
    }
    if (how != run_end::failed)
    {
        return;
    }
    // A job that fails on several workers is at fault itself.
    if (job.blamed.empty())
    {
        job.blamed = worker.info.worker;
    }
    if (job.blamed != worker.info.worker)
    {
        return;
    }
    ++worker.suspicion;
    if (worker.suspicion >= most_suspicion)
    {
        auto const doublings = std::min(
            worker.suspicion - most_suspicion, most_suspension_doublings);
        worker.suspended_until = now + first_suspension * (1U << doublings);
        event(
            "A worker is avoided because its runs fail.",
            {{"worker", worker.info.worker.value},
             {"failures", worker.suspicion}});
    }
}

auto dispatcher::implementation::want_stops(job_entry& job) -> void
{
    if (job.bound == 0)
    {
        return;
    }
    for (auto& [id, worker] : workers)
    {
        for (auto& run : worker->runs)
        {
            run.stop_wanted = run.stop_wanted || run.job.get() == &job;
        }
    }
    schedule_due = true;
}

auto dispatcher::implementation::watch_progress(
    dispatch_worker& worker, core::time_point now) -> void
{
    for (auto& run : worker.runs)
    {
        auto const held_back =
            run.job && run.uses_spare_cpu && !run.stop_wanted && run.listed &&
            run.pace == 0 && now - run.paced_at >= held_back_time;
        if (held_back)
        {
            run.stop_wanted = true;
            run.job->tasks[run.task].avoided = worker.info.worker;
            continue;
        }
        auto const may_stand = !run.job || run.stop_wanted || !run.listed ||
                               run.uses_spare_cpu || run.tail_target_ms > 0;
        if (may_stand)
        {
            continue;
        }
        auto const& spec = run.job->spec(run.job->step_of(run.task));
        auto const limit = std::max<core::duration>(
            least_standstill,
            std::chrono::milliseconds{
                spec.expected_run_ms * standstill_percent / 100});
        if (spec.long_running || spec.gang || now - run.percent_at < limit)
        {
            continue;
        }
        run.stop_wanted = true;
        run.job->tasks[run.task].avoided = worker.info.worker;
        worker.suspicion = std::max(worker.suspicion + 1, most_suspicion);
        worker.suspended_until = now + first_suspension;
        event(
            "A run stands still and is moved.",
            {{"worker", worker.info.worker.value},
             {"job", run.name.job.value},
             {"step", run.name.step},
             {"task", run.name.index},
             {"percent", run.percent},
             {"for_ms", to_ms(now - run.percent_at)}});
    }
}

} // namespace godwitcleat::state
