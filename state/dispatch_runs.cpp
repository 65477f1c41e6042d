/** @file dispatch_runs.cpp Runs on the workers and their outcomes. */
#include "state/dispatch_internal.hpp"

#include <algorithm>
#include <iterator>

namespace godwitcleat::state
{

namespace
{

// A run that is paused for this long is moved to another worker.
constexpr auto max_paused_time = std::chrono::milliseconds{1500};
// A run whose percentage does not change for this long has stalled.
constexpr auto min_stall_time = std::chrono::milliseconds{1800};
constexpr auto stall_percent = 8; // Percent of the declared run time.
// Failed runs in a row, attributed to a worker, that suspend it.
constexpr auto failures_before_suspension = std::uint32_t{2};
constexpr auto first_suspension = std::chrono::seconds{3};
constexpr auto max_suspension_doublings = std::uint32_t{1};
// Weight of a run in the mean of actual to declared run time, and the maximum
// ratio that a run contributes.
constexpr auto run_time_factor_rate = 0.03;
constexpr auto max_run_time_ratio = 4.0;

} // namespace

auto dispatcher::implementation::find_run(
    dispatch_worker& worker, task_name const& name, run_number run)
    -> std::optional<std::size_t>
{
    auto const size = worker.runs.size();
    for (auto n = std::size_t{0}; n < size; ++n)
    {
        auto const i = (worker.likely_run + n) % size;
        auto const& it = worker.runs[i];
        if (it.run == run && it.name == name)
        {
            worker.likely_run = i + 1;
            return i;
        }
    }
    return std::nullopt;
}

auto dispatcher::implementation::process_end(
    dispatch_worker& worker, ended_row const& row, core::time_point now) -> void
{
    if (row.number <= worker.last_processed_end)
    {
        return;
    }
    worker.last_processed_end = row.number;
    auto const job = find_job(row.task.job.value);

    if (job)
    {
        mark_started(job, now);
    }
    if (auto const i = find_run(worker, row.task, row.run))
    {
        end_run(worker, *i, row.outcome, row.checkpoint, now);
    }
    else if (job)
    {
        if (auto const index = job->index_of(row.task))
        {
            auto& task = job->tasks[*index];
            task.last_run = std::max(task.last_run, row.run);
            apply_end(
                job, *index, worker, row.run, row.outcome, row.checkpoint,
                false, now);
        }
    }
    // The end may have been ignored because of a change that is not stored yet,
    // such as a cancellation. It is acknowledged after that change is stored,
    // as a new owner would not know of either.
    auto const unstored = job && job->version > job->stored_version;
    worker.unacknowledged_ends.push_back(
        {row.number, unstored ? job : nullptr, unstored ? job->version : 0});
}

auto dispatcher::implementation::process_running(
    dispatch_worker& worker, running_row const& row, core::time_point now)
    -> void
{
    auto const i = find_run(worker, row.task, row.run);
    auto& run = i ? worker.runs[*i] : adopt_run(worker, row, now);
    run.last_seen_in_list = worker.list_count;
    run.seen_running = true;
    run.last_seen_at = now;
    update_suspicion(worker, run, now);
    if (run.job)
    {
        mark_started(run.job, now);
    }
    if (!row.checkpoint.empty())
    {
        run.checkpoint = row.checkpoint;
    }
    if (run.percent != row.percent)
    {
        run.percent = row.percent;
        run.percent_changed_at = now;
        note_work(run, row.percent, now);
    }
    clear_failures(worker, run, now);
    run.measurement = row.measurement;
}

auto dispatcher::implementation::adopt_run(
    dispatch_worker& worker, running_row const& row, core::time_point now)
    -> run_entry&
{
    auto const job = find_job(row.task.job.value);
    auto const index = job ? job->index_of(row.task) : std::nullopt;
    auto run = index ? make_run(job, *index, row.run, now) : run_entry{};
    run.name = row.task;
    run.run = row.run;
    run.startable_until = now;
    run.start_confirmed_at = now;
    run.stop_requested = true;
    if (index)
    {
        auto& task = job->tasks[*index];
        task.last_run = std::max(task.last_run, row.run);
        ++job->active_runs;
        auto const free = task.state != task_state::bound &&
                          task.state != task_state::done &&
                          !is_final(job->phase);
        if (free)
        {
            if (task.state == task_state::ready)
            {
                std::erase(job->step_of(*index).ready_tasks, *index);
            }
            task.state = task_state::bound;
            task.worker = &worker;
            run.stop_requested = false;
            set_stored_worker(
                job, *index, worker.info.worker, now + settings.commit_delay);
        }
    }
    worker.estimates_valid = false;
    worker.used += run.need;
    charge(run);
    if (recovering && run.job && run.job->restored)
    {
        run.job->account->found += charged_need(run);
    }
    worker.serving_runs += run.tail_target_ms > 0 ? 1 : 0;
    worker.best_effort_runs += run.uses_spare_cpu ? 1 : 0;
    worker.suspect_runs += run.suspect ? 1 : 0;
    event(
        "A run was found on a worker.", {{"worker", worker.info.worker.value},
                                         {"job", row.task.job.value},
                                         {"step", row.task.step},
                                         {"task", row.task.index},
                                         {"run", row.run.value},
                                         {"kept", !run.stop_requested}});
    return worker.runs.emplace_back(std::move(run));
}

auto dispatcher::implementation::resolve_missing_runs(
    dispatch_worker& worker, core::time_point sent_at, core::time_point now)
    -> void
{
    for (auto i = worker.runs.size(); i-- > 0;)
    {
        auto const& run = worker.runs[i];
        if (run.last_seen_in_list == worker.list_count || run.waits_for_store)
        {
            continue;
        }
        auto const confirmed =
            run.start_confirmed_at && *run.start_confirmed_at < sent_at;
        auto const stopped =
            run.stop_confirmed_at && *run.stop_confirmed_at < sent_at;
        // Its answer tells whether it was sent to the former process.
        if (worker.restarted && run.start_pending)
        {
            continue;
        }
        if (worker.restarted && worker.may_have_begun_before_restart(run))
        {
            count_crash(worker, run, now);
        }
        if (worker.restarted || confirmed || stopped ||
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
    worker.lapsed_runs.clear();
    std::copy_if(
        worker.runs.begin(), worker.runs.end(),
        std::back_inserter(worker.lapsed_runs),
        [](run_entry const& it) { return !it.waits_for_store; });
    for (auto const& it : worker.runs)
    {
        if (it.seen_running || it.start_confirmed_at)
        {
            note_loss(it);
        }
    }
    while (!worker.runs.empty())
    {
        retry_run(worker, worker.runs.size() - 1, now);
    }
    if (worker.stored_with_tasks)
    {
        worker_list_changed = true;
        commit_at(now + settings.commit_delay);
    }
}

auto dispatcher::implementation::retry_run(
    dispatch_worker& worker, std::size_t index, core::time_point now) -> void
{
    end_run(worker, index, run_outcome::lapsed, {}, now);
}

auto dispatcher::implementation::end_run(
    dispatch_worker& worker, std::size_t index, run_outcome outcome,
    std::string checkpoint, core::time_point now) -> void
{
    auto run = std::move(worker.runs[index]);
    worker.runs.erase(worker.runs.begin() + static_cast<std::ptrdiff_t>(index));
    worker.estimates_valid = false;
    if (run.uses_spare_cpu)
    {
        worker.best_effort_ended_at = now;
    }
    worker.used -= run.need;
    discharge(run);
    worker.serving_runs -= run.tail_target_ms > 0 ? 1 : 0;
    worker.best_effort_runs -= run.uses_spare_cpu ? 1 : 0;
    worker.suspect_runs -= run.suspect ? 1 : 0;
    schedule_due = true;
    if (!run.job)
    {
        return;
    }
    --run.job->active_runs;
    if (outcome == run_outcome::done)
    {
        learn_run_time(run, now);
        note_work(run, 100, now);
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
    if (is_current || outcome == run_outcome::done ||
        outcome == run_outcome::failed)
    {
        apply_end(
            run.job, run.task, worker, run.run, outcome, std::move(checkpoint),
            is_current, now);
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
    auto& factor = run.job->queue->run_time_factor;
    factor +=
        run_time_factor_rate * (std::min(ratio, max_run_time_ratio) - factor);
}

auto dispatcher::implementation::apply_end(
    job_pointer const& job, std::uint32_t index, dispatch_worker& worker,
    run_number run, run_outcome outcome, std::string checkpoint,
    bool was_current, core::time_point now) -> void
{
    auto& task = job->tasks[index];
    auto& step = job->step_of(index);
    auto const& spec = job->spec(step);
    if (is_final(job->phase) || task.state == task_state::done)
    {
        return;
    }
    record_worker_result(worker, *job, outcome, now);
    auto const later = now + settings.commit_delay;
    if (was_current)
    {
        // Often replaced by the worker of the next run within the delay.
        set_stored_worker(job, index, {}, later);
    }
    if (outcome == run_outcome::done && !spec.long_running)
    {
        ++totals.ends_done;
        if (task.state == task_state::bound)
        {
            // Another run of the task was started in the meantime.
            for (auto& it : task.worker->runs)
            {
                it.stop_requested =
                    it.stop_requested || (it.job == job && it.task == index);
            }
        }
        auto const members = spec.gang ? spec.tasks : 1;
        auto const first = spec.gang ? step.first_task : index;
        for (auto i = first; i < first + members; ++i)
        {
            complete_task(job, i);
        }
        if (job->open_steps == 0)
        {
            finish_job(job, plan_phase::completed, now);
        }
        else
        {
            mark_changed(job, later);
        }
        return;
    }
    if (outcome != run_outcome::failed)
    {
        ++totals.ends_other;
        store_checkpoint(job, index, std::move(checkpoint), now);
    }
    else
    {
        ++totals.ends_failed;
        task.avoided_worker = worker.info.worker;
        if (!spec.long_running)
        {
            fail_task(job, index, run, now);
        }
    }
    auto const waits =
        task.state == task_state::blocked || task.state == task_state::unknown;
    if (is_final(job->phase) || !waits || step.unfinished_dependencies > 0)
    {
        return;
    }
    if (!was_current && may_run_unseen(*job, index))
    {
        // A later run may exist on a worker that has not answered yet.
        hold_task(job, index);
        event(
            "A task waits for workers without contact.",
            {{"job", job->record.plan.id.value},
             {"step", step.step},
             {"task", index - step.first_task},
             {"worker", worker.info.worker.value},
             {"run", run.value},
             {"outcome", to_string(outcome)}});
        return;
    }
    make_ready(job, index);
}

auto dispatcher::implementation::store_checkpoint(
    job_pointer const& job, std::uint32_t index, std::string checkpoint,
    core::time_point now) -> void
{
    auto const& step = job->step_of(index);
    // All members of a gang share one checkpoint.
    auto& task = job->tasks[job->spec(step).gang ? step.first_task : index];
    if (checkpoint.empty() || checkpoint == task.checkpoint)
    {
        return;
    }
    task.checkpoint = std::move(checkpoint);
    mark_changed(job, now + settings.commit_delay);
}

auto dispatcher::implementation::fail_task(
    job_pointer const& job, std::uint32_t index, run_number run,
    core::time_point now) -> void
{
    auto const& step = job->step_of(index);
    auto const& spec = job->spec(step);
    auto const* const queue = find_queue(*job);
    auto& task = job->tasks[spec.gang ? step.first_task : index];
    // A new owner receives a stored end again, and all members of a gang fail
    // with the same run number; each failed run counts once.
    auto& failed = task.failed_runs;
    if (std::find(failed.begin(), failed.end(), run.value) != failed.end())
    {
        return;
    }
    failed.push_back(run.value);
    event(
        "A run has failed.",
        {{"job", job->record.plan.id.value},
         {"step", step.step},
         {"task", index - step.first_task},
         {"worker", job->tasks[index].avoided_worker.value},
         {"failures", failed.size()}});
    if (queue != nullptr && failed.size() >= queue->max_failures)
    {
        finish_job(job, plan_phase::failed, now);
        return;
    }
    mark_changed(job, now + settings.commit_delay);
}

auto dispatcher::implementation::record_worker_result(
    dispatch_worker& worker, job_entry& job, run_outcome outcome,
    core::time_point now) -> void
{
    if (outcome == run_outcome::done)
    {
        worker.consecutive_failures = 0;
        return;
    }
    if (outcome != run_outcome::failed)
    {
        return;
    }
    // Failures of a job on several workers are attributed to the job.
    if (job.first_failing_worker.empty())
    {
        job.first_failing_worker = worker.info.worker;
    }
    if (job.first_failing_worker != worker.info.worker)
    {
        return;
    }
    ++worker.consecutive_failures;
    worker.last_failure_at = now;
    if (worker.consecutive_failures >= failures_before_suspension)
    {
        auto const doublings = std::min(
            worker.consecutive_failures - failures_before_suspension,
            max_suspension_doublings);
        worker.suspended_until = now + first_suspension * (1U << doublings);
        event(
            "A worker is avoided because its runs fail.",
            {{"worker", worker.info.worker.value},
             {"failures", worker.consecutive_failures}});
    }
}

auto dispatcher::implementation::request_stops(job_entry& job) -> void
{
    if (job.active_runs == 0)
    {
        return;
    }
    for (auto& [id, worker] : workers)
    {
        for (auto& run : worker->runs)
        {
            run.stop_requested = run.stop_requested || run.job.get() == &job;
        }
    }
    schedule_due = true;
}

auto dispatcher::implementation::move_stalled_runs(
    dispatch_worker& worker, core::time_point now) -> void
{
    for (auto& run : worker.runs)
    {
        auto const paused_too_long = run.job && run.uses_spare_cpu &&
                                     !run.stop_requested && run.seen_running &&
                                     run.pace == 0 &&
                                     now - run.pace_sent_at >= max_paused_time;
        if (paused_too_long)
        {
            run.stop_requested = true;
            run.job->tasks[run.task].avoided_worker = worker.info.worker;
            continue;
        }
        auto const exempt = !run.job || run.stop_requested ||
                            !run.seen_running || run.uses_spare_cpu ||
                            run.tail_target_ms > 0;
        if (exempt)
        {
            continue;
        }
        auto const& spec = run.job->spec(run.job->step_of(run.task));
        auto const limit = std::max<core::duration>(
            min_stall_time, std::chrono::milliseconds{
                                spec.expected_run_ms * stall_percent / 100});
        if (spec.long_running || spec.gang ||
            now - run.percent_changed_at < limit)
        {
            continue;
        }
        run.stop_requested = true;
        run.job->tasks[run.task].avoided_worker = worker.info.worker;
        worker.consecutive_failures = std::max(
            worker.consecutive_failures + 1, failures_before_suspension);
        worker.last_failure_at = now;
        worker.suspended_until = now + first_suspension;
        event(
            "A run makes no progress and is moved.",
            {{"worker", worker.info.worker.value},
             {"job", run.name.job.value},
             {"step", run.name.step},
             {"task", run.name.index},
             {"percent", run.percent},
             {"for_ms", to_ms(now - run.percent_changed_at)}});
    }
}

} // namespace godwitcleat::state
