/** @file dispatch_jobs.cpp Jobs of the dispatcher and their stored state. */
#include "state/dispatch_internal.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace godwitcleat::state
{

namespace
{

// The lease of a worker that has not answered may exceed the requested length
// by this much: its clock may be 2% slow, and its last reading a little old.
constexpr auto lease_margin = std::chrono::milliseconds{300};
// Workers that can be reached report their ends in this time.
constexpr auto min_recovery_time = std::chrono::seconds{1};

// Returns true if a task has failed as often as its queue allows.
auto has_exhausted_task(job_entry const& job, queue_config const& queue) -> bool
{
    return std::any_of(
        job.steps.begin(), job.steps.end(),
        [&](step_entry const& step)
        {
            auto const& spec = job.spec(step);
            auto const first = job.tasks.begin() + step.first_task;
            return !spec.long_running &&
                   std::any_of(
                       first, first + spec.tasks,
                       [&](dispatch_task const& it)
                       { return it.failed_runs.size() >= queue.max_failures; });
        });
}

} // namespace

auto job_entry::step_of(std::uint32_t task) -> step_entry&
{
    auto const it = std::upper_bound(
        steps.begin(), steps.end(), task,
        [](std::uint32_t index, step_entry const& step)
        { return index < step.first_task; });
    return *std::prev(it);
}

auto job_entry::name_of(std::uint32_t task) -> task_name
{
    auto const& step = step_of(task);
    return {record.plan.id, step.occurrence, step.step, task - step.first_task};
}

auto job_entry::index_of(task_name const& name) const
    -> std::optional<std::uint32_t>
{
    auto const per_occurrence = record.plan.steps.size();
    if (name.step >= per_occurrence ||
        name.occurrence >= record.plan.occurrences ||
        name.index >= record.plan.steps[name.step].tasks)
    {
        return std::nullopt;
    }
    return steps.at(name.occurrence * per_occurrence + name.step).first_task +
           name.index;
}

auto dispatcher::implementation::restore(
    dispatch_snapshot const& stored, core::time_point now) -> void
{
    recovering = true;
    loaded_at = now;
    offered_decayed_at = now;
    backlogs_measured_at = now;
    stored_list_readable = stored.workers_readable;
    recovery_until = now + settings.previous_owner_validity +
                     with_drift(settings.lease_limit) + lease_margin;
    if (stored.last_write_by)
    {
        recovery_until = std::clamp(
            *stored.last_write_by + with_drift(settings.lease_after_write) +
                lease_margin,
            now + min_recovery_time, recovery_until);
    }
    auto progress = std::unordered_map<std::string, plan_progress const*>{};
    for (auto const& [id, it] : stored.progress)
    {
        progress.emplace(id.value, &it);
    }
    for (auto const& it : stored.workers)
    {
        auto const& info = it.info;
        auto worker = std::make_unique<dispatch_worker>();
        begin_session(*worker);
        worker->info = info;
        worker->former_tasks = it.possible_tasks;
        worker->former_service = info.service;
        worker->stored_with_tasks = it.possible_tasks.has_value();
        worker->stored_with_lease = it.lease_left_ms.has_value();
        worker->in_stored_list = true;
        worker->may_have_unknown_runs = true;
        worker->lease_until = recovery_until;
        // An owner of an earlier release stores bounds that are too early.
        if (it.lease_left_ms && stored.last_write_by)
        {
            auto const left = std::chrono::milliseconds{*it.lease_left_ms};
            auto const until = std::max(
                stored.workers_written_by.value_or(now) + left,
                now + std::min<core::duration>(left, min_recovery_time));
            worker->lease_until = std::min(recovery_until, until);
        }
        worker->next_hold_at = now;
        workers.emplace(info.worker, std::move(worker));
    }
    for (auto const& record : stored.jobs)
    {
        auto const job = add_job(record);
        job->restored = true;
        job->submitted = !record.plan.steps.empty();
        job->record_stored = true;
        auto const it = progress.find(record.plan.id.value);
        if (it != progress.end())
        {
            restore_progress(*job, *it->second);
        }
        job->stored_phase = job->phase;
        job->final_at = now;
        if (!is_final(job->phase))
        {
            count_offered(*job->queue, record.plan);
            release_runnable_steps(job);
        }
    }
    recovering = !stored.jobs.empty();
    report_restored_jobs();
}

auto dispatcher::implementation::report_restored_jobs() const -> void
{
    auto open = std::size_t{0};
    auto started = std::size_t{0};
    auto placed = std::size_t{0};
    for (auto const& [id, job] : jobs)
    {
        if (is_final(job->phase))
        {
            continue;
        }
        ++open;
        started += job->started ? 1 : 0;
        placed += std::any_of(
                      job->tasks.begin(), job->tasks.end(),
                      [](auto const& it) { return !it.stored_worker.empty(); })
                      ? 1
                      : 0;
    }
    event(
        "Open jobs were restored.",
        {{"open", open}, {"started", started}, {"placed", placed}});
}

auto dispatcher::implementation::add_job(plan_record record) -> job_pointer
{
    auto job = std::make_shared<job_entry>();
    job->record = std::move(record);
    job->queue = &queue_state_of(job->record.plan.queue);
    job->account = &shares.account_of(job->record.customer);
    build_steps(*job);
    jobs.emplace(job->record.plan.id.value, job);
    return job;
}

auto dispatcher::implementation::build_steps(job_entry& job) -> void
{
    auto const& plan = job.record.plan;
    auto first = std::uint32_t{0};
    for (auto k = std::uint32_t{0}; k < plan.occurrences; ++k)
    {
        for (auto i = std::uint32_t{0}; i < plan.steps.size(); ++i)
        {
            auto step = step_entry{};
            step.occurrence = k;
            step.step = i;
            step.first_task = first;
            step.open_tasks = plan.steps[i].tasks;
            step.task_class = intern_task_class(plan.steps[i].task_class);
            step.unfinished_dependencies = plan.steps[i].after.size();
            step.not_before_ms = plan.first_run_ms + k * plan.interval_ms;
            first += step.open_tasks;
            job.steps.push_back(std::move(step));
        }
    }
    job.tasks.resize(first);
    job.open_steps = job.steps.size();
    job.critical_path_ms = critical_path_ms(plan);
    job.remaining_path_ms.assign(plan.steps.size(), 0);
    for (auto i = plan.steps.size(); i-- > 0;)
    {
        job.remaining_path_ms[i] += plan.steps[i].expected_run_ms;
        for (auto const before : plan.steps[i].after)
        {
            job.remaining_path_ms[before] = std::max(
                job.remaining_path_ms[before], job.remaining_path_ms[i]);
        }
    }
}

auto dispatcher::implementation::restore_progress(
    job_entry& job, plan_progress const& progress) -> void
{
    job.phase = progress.phase;
    job.any_service = progress.any_service;
    job.started = progress.started;
    for (auto i = std::uint32_t{0}; i < job.tasks.size(); ++i)
    {
        if (is_done(progress, i))
        {
            job.tasks[i].state = task_state::done;
            --job.step_of(i).open_tasks;
            job.started = true;
        }
    }
    for (auto const& it : progress.tasks)
    {
        if (it.task < job.tasks.size())
        {
            job.tasks[it.task].failed_runs = it.failed_runs;
            job.tasks[it.task].checkpoint = it.checkpoint;
            job.tasks[it.task].crashed_runs = it.crashed_runs;
            job.tasks[it.task].stored_worker = it.worker;
            // A stored worker or a crash may be of a start that was lost.
            job.started = job.started || !it.failed_runs.empty() ||
                          !it.checkpoint.empty();
        }
    }
}

auto dispatcher::implementation::release_runnable_steps(job_pointer const& job)
    -> void
{
    // Counted anew, because a restored job may have finished steps.
    auto const per_occurrence = job->record.plan.steps.size();
    job->open_steps = 0;
    for (auto& step : job->steps)
    {
        auto const base = step.occurrence * per_occurrence;
        step.unfinished_dependencies = 0;
        for (auto const before : job->spec(step).after)
        {
            step.unfinished_dependencies +=
                job->steps[base + before].open_tasks > 0 ? 1 : 0;
        }
        job->open_steps += step.open_tasks > 0 ? 1 : 0;
    }
    for (auto& step : job->steps)
    {
        if (step.unfinished_dependencies == 0 && step.open_tasks > 0)
        {
            release_step(job, step);
        }
    }
}

auto dispatcher::implementation::release_step(
    job_pointer const& job, step_entry& step) -> void
{
    auto const tasks = job->spec(step).tasks;
    for (auto i = step.first_task; i < step.first_task + tasks; ++i)
    {
        auto& task = job->tasks[i];
        if (task.state != task_state::blocked)
        {
            continue;
        }
        if (may_run_unseen(*job, i))
        {
            hold_task(job, i);
        }
        else
        {
            make_ready(job, i);
        }
    }
}

auto dispatcher::implementation::may_run_unseen(
    job_entry& job, std::uint32_t task) const -> bool
{
    if (!recovering || !job.restored)
    {
        return false;
    }
    if (!job.stores_worker_of(task))
    {
        return !held_tasks_known || held_tasks.contains(job.name_of(task)) ||
               std::any_of(
                   held_services.begin(), held_services.end(),
                   [&](auto const& it) { return job.may_run_on(it); });
    }
    auto const& stored = job.tasks[task].stored_worker;
    if (stored.empty())
    {
        return false;
    }
    auto const it = workers.find(stored);
    if (it == workers.end())
    {
        return !stored_list_readable;
    }
    auto const& worker = *it->second;
    auto const& named = worker.former_tasks;
    return worker.may_have_unknown_runs &&
           (!named ||
            std::find(named->begin(), named->end(), job.name_of(task)) !=
                named->end());
}

auto dispatcher::implementation::is_service_stored(
    job_pointer const& job, step_entry const& step,
    core::service_id const& service, core::time_point now) -> bool
{
    if (job->stores_worker_of(step.first_task))
    {
        return true;
    }
    if (!job->may_run_on(service))
    {
        job->any_service = true;
        job->any_service_version = job->version + 1;
        mark_changed(job, now);
    }
    return job->stored_version >= job->any_service_version;
}

auto dispatcher::implementation::mark_started(
    job_pointer const& job, core::time_point now) -> void
{
    if (std::exchange(job->started, true))
    {
        return;
    }
    report_latency(job_latency::to_first_start, *job);
    auto const& steps = job->record.plan.steps;
    auto const lasts = std::any_of(
        steps.begin(), steps.end(),
        [](auto const& it) { return it.long_running; });
    // The ends of other tasks will tell a new owner that the job has started.
    if (lasts && !is_final(job->phase))
    {
        mark_changed(job, now + settings.commit_delay);
    }
}

auto dispatcher::implementation::hold_task(
    job_pointer const& job, std::uint32_t task) -> void
{
    job->tasks[task].state = task_state::unknown;
    if (job->stores_worker_of(task))
    {
        held_for_worker.emplace_back(job, task);
    }
}

auto dispatcher::implementation::release_task(
    job_pointer const& job, std::uint32_t task, core::time_point now) -> void
{
    set_stored_worker(job, task, {}, now + settings.commit_delay);
    make_ready(job, task);
}

auto dispatcher::implementation::release_heard_tasks(core::time_point now)
    -> void
{
    std::erase_if(
        held_for_worker,
        [&](auto const& it)
        {
            auto const& [job, task] = it;
            auto const held = job->tasks[task].state == task_state::unknown;
            if (held && may_run_unseen(*job, task))
            {
                return false;
            }
            if (held)
            {
                release_task(job, task, now);
            }
            return true;
        });
}

auto dispatcher::implementation::set_stored_worker(
    job_pointer const& job, std::uint32_t task, core::worker_id worker,
    core::time_point commit_by) -> void
{
    auto& stored = job->tasks[task].stored_worker;
    if (stored != worker && job->stores_worker_of(task))
    {
        stored = std::move(worker);
        mark_changed(job, commit_by);
    }
}

auto dispatcher::implementation::make_ready(
    job_pointer const& job, std::uint32_t index) -> void
{
    auto& task = job->tasks[index];
    auto& step = job->step_of(index);
    task.worker = nullptr;
    if (is_final(job->phase) || job->cancel_requested)
    {
        task.state = task_state::blocked;
        return;
    }
    task.state = task_state::ready;
    if (step.ready_tasks.empty())
    {
        step.ready_since = last_pass_at;
    }
    step.ready_tasks.push_back(index);
    if (!step.in_ready_steps)
    {
        step.in_ready_steps = true;
        ready_steps.push_back(
            {job, static_cast<std::uint32_t>(&step - job->steps.data())});
    }
    schedule_due = true;
}

auto dispatcher::implementation::complete_task(
    job_pointer const& job, std::uint32_t index) -> void
{
    auto& task = job->tasks[index];
    auto& step = job->step_of(index);
    if (task.state == task_state::done)
    {
        return;
    }
    if (task.state == task_state::ready)
    {
        std::erase(step.ready_tasks, index);
    }
    task.state = task_state::done;
    task.worker = nullptr;
    task.checkpoint.clear();
    if (--step.open_tasks == 0)
    {
        complete_step(job, step);
    }
}

auto dispatcher::implementation::complete_step(
    job_pointer const& job, step_entry& step) -> void
{
    --job->open_steps;
    auto const per_occurrence =
        static_cast<std::uint32_t>(job->record.plan.steps.size());
    auto const base = step.occurrence * per_occurrence;
    for (auto i = base; i < base + per_occurrence; ++i)
    {
        auto& next = job->steps[i];
        auto const& after = job->spec(next).after;
        auto const named = static_cast<std::uint32_t>(
            std::count(after.begin(), after.end(), step.step));
        if (named == 0)
        {
            continue;
        }
        next.unfinished_dependencies -= named;
        if (next.unfinished_dependencies == 0)
        {
            release_step(job, next);
        }
    }
}

auto dispatcher::implementation::finish_job(
    job_pointer const& job, plan_phase phase, core::time_point now) -> void
{
    if (is_final(job->phase))
    {
        return;
    }
    job->phase = phase;
    job->final_at = now;
    for (auto& step : job->steps)
    {
        step.ready_tasks.clear();
    }
    request_stops(*job);
    totals.jobs_completed += phase == plan_phase::completed ? 1 : 0;
    report_latency(job_latency::to_end, *job);
    event(
        "Job ended.", {{"job", job->record.plan.id.value},
                       {"phase", to_string(phase)},
                       {"age_ms", hooks.unix_ms() - job->record.accepted_ms}});
    mark_changed(job, now);
}

auto dispatcher::implementation::submit(
    job_plan plan, core::time_point now, completion on_done,
    customer_id customer) -> void
{
    if (auto const job = find_job(plan.id.value))
    {
        if (!may_access(*job, plan.queue, customer))
        {
            core::fail(
                core::error_kind::conflict,
                "another customer's job has this id; choose another one");
            return on_done(false);
        }
        job->submitted = true;
        if (job->record_stored)
        {
            return on_done(true);
        }
        job->waiting_callbacks.emplace_back(0, std::move(on_done));
        return;
    }
    if (!check_plan(plan))
    {
        return on_done(false);
    }
    auto const queue = queues->queues.find(plan.queue);
    if (queue == queues->queues.end())
    {
        core::fail(
            core::error_kind::not_found,
            fmt::format("queue {} does not exist", plan.queue.value));
        return on_done(false);
    }
    auto& state = queue_state_of(plan.queue);
    if (!refused_jobs.contains(plan.id.value))
    {
        count_offered(state, plan);
    }
    if (!admit(plan, queue->second, state, shares.account_of(customer)))
    {
        return on_done(false);
    }
    auto const job = add_job(
        {std::move(plan), term, hooks.unix_ms(), true, queue->second.service,
         std::move(customer)});
    job->submitted = true;
    event(
        "Job was submitted.", {{"job", job->record.plan.id.value},
                               {"queue", job->record.plan.queue.value},
                               {"steps", job->record.plan.steps.size()},
                               {"tasks", job->tasks.size()},
                               {"config", queues->version}});
    ++totals.jobs_accepted;
    job->waiting_callbacks.emplace_back(0, std::move(on_done));
    job->in_dirty_jobs = true;
    dirty_jobs.push_front(job);
    commit_at(now);
}

auto dispatcher::implementation::cancel(
    core::job_id const& id, core::time_point now, completion on_done,
    customer_id customer) -> void
{
    auto const job = find_job(id.value);
    if (!job)
    {
        return cancel_unknown_job(
            id, now, std::move(on_done), std::move(customer));
    }
    if (!is_final(job->phase))
    {
        job->cancel_requested = true;
        finish_job(job, plan_phase::cancelled, now);
    }
    if (job->record_stored && job->stored_version >= job->version)
    {
        return on_done(true);
    }
    job->waiting_callbacks.emplace_back(job->version, std::move(on_done));
}

// The submit of an unknown job may still arrive, so its cancellation is stored.
// The write also shows that this instance is still the owner, so that no other
// owner knows the job.
auto dispatcher::implementation::cancel_unknown_job(
    core::job_id const& id, core::time_point now, completion on_done,
    customer_id customer) -> void
{
    auto record = plan_record{};
    record.plan.id = id;
    record.customer = std::move(customer);
    record.accepted_term = term;
    record.accepted_ms = hooks.unix_ms();
    auto const job = add_job(std::move(record));
    job->cancel_requested = true;
    finish_job(job, plan_phase::cancelled, now);
    job->waiting_callbacks.emplace_back(
        job->version,
        [id, on_done = std::move(on_done)](bool stored)
        {
            if (stored)
            {
                core::fail(
                    core::error_kind::not_found,
                    fmt::format("job {} does not exist", id.value));
            }
            on_done(false);
        });
}

auto dispatcher::implementation::find_job(std::string_view id) const
    -> job_pointer
{
    auto const it = jobs.find(id);
    return it == jobs.end() ? nullptr : it->second;
}

auto dispatcher::implementation::queue_state_of(queue_id const& queue)
    -> queue_state&
{
    auto const [it, inserted] = queue_states.try_emplace(queue);
    if (inserted)
    {
        auto const found = queues->queues.find(queue);
        it->second.config =
            found == queues->queues.end() ? nullptr : &found->second;
    }
    return it->second;
}

auto dispatcher::implementation::set_queues(queue_table_pointer table) -> void
{
    if (table->version < queues->version)
    {
        return;
    }
    queues = std::move(table);
    if (queues->customers)
    {
        shares.set_customers(*queues->customers);
        update_unseen(); // Before the first start of a new owner.
    }
    for (auto& [id, it] : queue_states)
    {
        auto const found = queues->queues.find(id);
        it.config = found == queues->queues.end() ? nullptr : &found->second;
    }
    unplaceable.clear();
    failure_limits_changed = true;
    schedule_due = true;
}

auto dispatcher::implementation::fail_exhausted_jobs(core::time_point now)
    -> void
{
    for (auto const& [id, job] : jobs)
    {
        auto const* const queue = find_queue(*job);
        if (queue == nullptr || is_final(job->phase))
        {
            continue;
        }
        if (has_exhausted_task(*job, *queue))
        {
            finish_job(job, plan_phase::failed, now);
        }
    }
}

auto dispatcher::implementation::intern_task_class(
    std::string const& task_class) -> task_class_id
{
    if (task_class.empty())
    {
        return {};
    }
    auto const [it, inserted] = task_class_ids.try_emplace(
        task_class, task_class_id{task_class_names.size()});
    if (inserted)
    {
        task_class_names.push_back(task_class);
    }
    return it->second;
}

} // namespace godwitcleat::state
