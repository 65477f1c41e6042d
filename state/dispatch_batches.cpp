/** @file dispatch_batches.cpp Batches of writes to the store. */
#include "state/dispatch_internal.hpp"

#include <algorithm>

namespace godwitcleat::state
{

namespace
{

// Estimated sizes in a stored record, which bound the size of a batch.
constexpr auto bytes_per_step = std::size_t{96};
constexpr auto bytes_per_task = std::size_t{24};
// The removal of expired jobs is not urgent.
constexpr auto cleanup_interval = std::chrono::seconds{1};

auto progress_of(job_entry const& job) -> plan_progress
{
    auto result = plan_progress{};
    if (is_final(job.phase))
    {
        result.phase = job.phase;
        return result;
    }
    result.any_service = job.any_service;
    result.started = job.started;
    for (auto i = std::uint32_t{0}; i < job.tasks.size(); ++i)
    {
        auto const& task = job.tasks[i];
        if (task.state == task_state::done)
        {
            mark_done(result, i);
        }
        else if (
            !task.failed_runs.empty() || !task.checkpoint.empty() ||
            !task.crashed_runs.empty() || !task.stored_worker.empty())
        {
            result.tasks.push_back(
                {i, task.failed_runs, task.checkpoint, task.crashed_runs,
                 task.stored_worker});
        }
    }
    return result;
}

auto size_of(job_entry const& job) -> std::size_t
{
    return job.record.plan.command.size() +
           job.record.plan.steps.size() * bytes_per_step +
           job.tasks.size() * bytes_per_task;
}

} // namespace

auto dispatcher::implementation::mark_changed(
    job_pointer const& job, core::time_point commit_by) -> void
{
    ++job->version;
    commit_at(commit_by);
    if (job->in_dirty_jobs)
    {
        return;
    }
    job->in_dirty_jobs = true;
    if (is_final(job->phase))
    {
        dirty_jobs.push_front(job);
    }
    else
    {
        dirty_jobs.push_back(job);
    }
}

auto dispatcher::implementation::take_batch(core::time_point now)
    -> std::optional<dispatch_batch>
{
    if (batch_in_flight || !commit_due_at || now < *commit_due_at)
    {
        return std::nullopt;
    }
    auto batch = dispatch_batch{};
    auto writes = std::size_t{0};
    auto bytes = std::size_t{0};
    if (worker_list_changed)
    {
        batch.workers.emplace();
        workers_in_flight.clear();
        renewable_in_flight.clear();
        for (auto const& [id, worker] : workers)
        {
            if (!worker->may_have_runs())
            {
                continue;
            }
            auto tasks = possible_tasks(*worker, now);
            if (tasks)
            {
                worker->stored_with_tasks = true;
                worker->lift_pending = false;
            }
            else
            {
                workers_in_flight.push_back(
                    {id, worker->info.address, worker->info.service});
            }
            auto& stored = batch.workers->emplace_back();
            stored.info = worker->info;
            stored.possible_tasks = std::move(tasks);
            worker->had_other_service =
                worker->had_other_service && worker->may_have_hidden_runs();
            if (worker->had_other_service)
            {
                stored.info.service = {};
            }
            if (auto const left = lease_left(*worker, now))
            {
                stored.lease_left_ms = to_ms(*left);
                worker->stored_with_lease = true;
            }
            else
            {
                renewable_in_flight.push_back(id);
            }
        }
        worker_list_changed = false;
        worker_list_in_flight = true;
        ++writes;
    }
    while (!dirty_jobs.empty() && writes + 2 <= settings.max_batch_writes &&
           bytes < settings.max_batch_bytes)
    {
        auto const job = dirty_jobs.front();
        dirty_jobs.pop_front();
        job->in_dirty_jobs = false;
        bytes += size_of(*job);
        if (!job->record_stored)
        {
            job->record_sent = true;
            batch.accepted.push_back(job->record);
            ++writes;
        }
        if (job->version > job->stored_version)
        {
            job->sent_version = job->version;
            batch.progress.emplace_back(job->record.plan.id, progress_of(*job));
            ++writes;
        }
        jobs_in_flight.push_back(job);
    }
    while (!expired_jobs.empty() && writes + 2 <= settings.max_batch_writes)
    {
        batch.expired.push_back(expired_jobs.back());
        expired_in_flight.push_back(expired_jobs.back());
        expired_jobs.pop_back();
        writes += 2; // The record and its progress.
    }
    if (dirty_jobs.empty() && expired_jobs.empty())
    {
        commit_due_at.reset();
    }
    if (batch.empty())
    {
        return std::nullopt;
    }
    batch_in_flight = true;
    return batch;
}

auto dispatcher::implementation::batch_committed(core::time_point now) -> void
{
    batch_in_flight = false;
    if (worker_list_in_flight)
    {
        worker_list_in_flight = false;
        for (auto const& id : renewable_in_flight)
        {
            if (auto* const worker = find_worker(id))
            {
                worker->stored_with_lease = false;
            }
        }
        for (auto const& it : workers_in_flight)
        {
            auto* const worker = find_worker(it.worker);
            if (worker != nullptr && worker->info.address == it.address &&
                worker->info.service == it.service)
            {
                worker->in_stored_list = worker->may_have_runs();
                worker->stored_with_tasks = false;
                worker->lift_pending = false;
            }
        }
        schedule_due = true;
    }
    expired_in_flight.clear();
    for (auto const& job : std::exchange(jobs_in_flight, {}))
    {
        auto const accepted = std::exchange(job->record_sent, false);
        job->stored_version = std::max(job->stored_version, job->sent_version);
        if (accepted)
        {
            job->record_stored = true;
            report_latency(job_latency::to_stored, *job);
            if (!is_final(job->phase))
            {
                release_runnable_steps(job);
            }
        }
        if (is_final(job->phase) && job->stored_version == job->version)
        {
            job->stored_phase = job->phase;
        }
        answer_callbacks(*job);
    }
    if (!dirty_jobs.empty())
    {
        commit_at(now);
    }
}

auto dispatcher::implementation::batch_rejected() -> void
{
    batch_in_flight = false;
    worker_list_changed =
        worker_list_changed || std::exchange(worker_list_in_flight, false);
    for (auto const& id : std::exchange(expired_in_flight, {}))
    {
        expired_jobs.push_back(id);
    }
    auto const returned_jobs = std::exchange(jobs_in_flight, {});
    for (auto it = returned_jobs.rbegin(); it != returned_jobs.rend(); ++it)
    {
        auto const& job = *it;
        job->record_sent = false;
        if (!job->in_dirty_jobs)
        {
            job->in_dirty_jobs = true;
            dirty_jobs.push_front(job);
        }
    }
    commit_due_at = core::time_point{};
}

auto dispatcher::implementation::reject_unstored(std::string_view cause) -> void
{
    auto rejected_jobs = std::vector<job_pointer>{};
    std::erase_if(
        dirty_jobs,
        [&](job_pointer const& job)
        {
            if (job->record_stored || job->record_sent)
            {
                return false;
            }
            rejected_jobs.push_back(job);
            return true;
        });
    for (auto const& job : rejected_jobs)
    {
        jobs.erase(job->record.plan.id.value);
        ++totals.jobs_refused;
        job->fail_callbacks(core::error_kind::unavailable, cause);
    }
}

auto job_entry::fail_callbacks(core::error_kind kind, std::string_view cause)
    -> void
{
    for (auto& [version, callback] : std::exchange(waiting_callbacks, {}))
    {
        core::fail(kind, std::string{cause});
        callback(false);
    }
}

// What was part of no batch in flight is certainly not stored: this owner
// writes no more, and the next one has not heard of it.
auto job_entry::fail_callbacks_at_end() -> void
{
    auto const unsent = !record_stored && !record_sent;
    for (auto& [version, callback] : std::exchange(waiting_callbacks, {}))
    {
        if (unsent || version > sent_version)
        {
            core::fail(
                core::error_kind::not_owner,
                "the owner of the jobs has changed before it stored this; ask "
                "the new one");
        }
        else
        {
            core::fail(
                core::error_kind::unknown_outcome,
                "the owner of the jobs has changed; repeat the request");
        }
        callback(false);
    }
}

auto dispatcher::implementation::answer_callbacks(job_entry& job) -> void
{
    auto answered = std::vector<completion>{};
    std::erase_if(
        job.waiting_callbacks,
        [&](auto& it)
        {
            if (!job.record_stored || it.first > job.stored_version)
            {
                return false;
            }
            answered.push_back(std::move(it.second));
            return true;
        });
    for (auto const& callback : answered)
    {
        callback(true);
    }
}

auto dispatcher::implementation::expire_old_jobs(core::time_point now) -> void
{
    if (now < next_cleanup)
    {
        return;
    }
    next_cleanup = now + cleanup_interval;
    std::erase_if(
        jobs,
        [&](auto const& it)
        {
            auto const& job = *it.second;
            auto const old = is_final(job.stored_phase) &&
                             job.active_runs == 0 &&
                             job.stored_version == job.version &&
                             now - job.final_at > settings.retention;
            if (old)
            {
                expired_jobs.push_back(job.record.plan.id);
            }
            return old;
        });
    if (!expired_jobs.empty())
    {
        commit_at(now);
    }
}

} // namespace godwitcleat::state
