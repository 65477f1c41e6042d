/** @file dispatch_batches.cpp What the dispatcher stores, and when. */
#include "state/dispatch_internal.hpp"

#include <algorithm>

namespace godwitcleat::state
{

namespace
{

// An estimate of what a step takes in a record, to bound a batch.
constexpr auto bytes_per_step = std::size_t{96};
constexpr auto bytes_per_task = std::size_t{24};
// A worker that is gone has to be removed from the stored list some day only.
constexpr auto cleanup_interval = std::chrono::seconds{1};

auto progress_of(job_entry const& job) -> plan_progress
{
    auto result = plan_progress{};
    if (is_final(job.phase))
    {
        result.phase = job.phase;
        return result;
    }
    for (auto i = std::uint32_t{0}; i < job.tasks.size(); ++i)
    {
        auto const& task = job.tasks[i];
        if (task.state == task_state::done)
        {
            mark_done(result, i);
        }
        else if (!task.failed_runs.empty() || !task.checkpoint.empty())
        {
            result.tasks.push_back({i, task.failed_runs, task.checkpoint});
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

auto dispatcher::implementation::changed(
    job_pointer const& job, core::time_point commit_by) -> void
{
    ++job->version;
    commit_at(commit_by);
    if (job->dirty)
    {
        return;
    }
    job->dirty = true;
    if (is_final(job->phase))
    {
        dirty.push_front(job);
    }
    else
    {
        dirty.push_back(job);
    }
}

auto dispatcher::implementation::take_batch(core::time_point now)
    -> std::optional<dispatch_batch>
{
    if (batch_open || !commit_due || now < *commit_due)
    {
        return std::nullopt;
    }
    auto batch = dispatch_batch{};
    auto writes = std::size_t{0};
    auto bytes = std::size_t{0};
    if (workers_changed)
    {
        batch.workers.emplace();
        workers_in_flight.clear();
        for (auto const& [id, worker] : workers)
        {
            batch.workers->push_back(worker->info);
            workers_in_flight.push_back(id);
        }
        workers_changed = false;
        workers_sent = true;
        ++writes;
    }
    while (!dirty.empty() && writes + 2 <= settings.most_batch_writes &&
           bytes < settings.most_batch_bytes)
    {
        auto const job = dirty.front();
        dirty.pop_front();
        job->dirty = false;
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
        in_flight.push_back(job);
    }
    while (!forgotten.empty() && writes + 2 <= settings.most_batch_writes)
    {
        batch.forgotten.push_back(forgotten.back());
        forgotten_in_flight.push_back(forgotten.back());
        forgotten.pop_back();
        writes += 2; // The record and its progress.
    }
    if (dirty.empty() && forgotten.empty())
    {
        commit_due.reset();
    }
    if (batch.empty())
    {
        return std::nullopt;
    }
    batch_open = true;
    return batch;
}

auto dispatcher::implementation::committed(core::time_point now) -> void
{
    batch_open = false;
    if (workers_sent)
    {
        workers_sent = false;
        for (auto const& id : workers_in_flight)
        {
            if (auto* const worker = find_worker(id))
            {
                worker->stored = true;
            }
        }
        schedule_due = true;
    }
    forgotten_in_flight.clear();
    for (auto const& job : std::exchange(in_flight, {}))
    {
        auto const accepted = std::exchange(job->record_sent, false);
        job->stored_version = std::max(job->stored_version, job->sent_version);
        if (accepted)
        {
            job->record_stored = true;
            measure(job_time::to_stored, *job);
            if (!is_final(job->phase))
            {
                open_steps(job);
            }
        }
        if (is_final(job->phase) && job->stored_version == job->version)
        {
            job->stored_phase = job->phase;
        }
        answer_waiting(*job);
    }
    if (!dirty.empty())
    {
        commit_at(now);
    }
}

auto dispatcher::implementation::rejected() -> void
{
    batch_open = false;
    workers_changed = workers_changed || std::exchange(workers_sent, false);
    for (auto const& id : std::exchange(forgotten_in_flight, {}))
    {
        forgotten.push_back(id);
    }
    auto const jobs_back = std::exchange(in_flight, {});
    for (auto it = jobs_back.rbegin(); it != jobs_back.rend(); ++it)
    {
        auto const& job = *it;
        job->record_sent = false;
        if (!job->dirty)
        {
            job->dirty = true;
            dirty.push_front(job);
        }
    }
    commit_due = core::time_point{};
}

auto dispatcher::implementation::reject_unstored(std::string_view cause) -> void
{
    auto rejected_jobs = std::vector<job_pointer>{};
    std::erase_if(
        dirty,
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
        job->fail_waiting(core::error_kind::unavailable, cause);
    }
}

auto job_entry::fail_waiting(core::error_kind kind, std::string_view cause)
    -> void
{
    for (auto& [version, call] : std::exchange(waiting, {}))
    {
        core::fail(kind, std::string{cause});
        call(false);
    }
}

auto dispatcher::implementation::answer_waiting(job_entry& job) -> void
{
    auto answered = std::vector<done>{};
    std::erase_if(
        job.waiting,
        [&](auto& it)
        {
            if (!job.record_stored || it.first > job.stored_version)
            {
                return false;
            }
            answered.push_back(std::move(it.second));
            return true;
        });
    for (auto const& call : answered)
    {
        call(true);
    }
}

auto dispatcher::implementation::forget_old_jobs(core::time_point now) -> void
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
            auto const old = is_final(job.stored_phase) && job.bound == 0 &&
                             job.stored_version == job.version &&
                             now - job.final_at > settings.retention;
            if (old)
            {
                forgotten.push_back(job.record.plan.id);
            }
            return old;
        });
    if (!forgotten.empty())
    {
        commit_at(now);
    }
}

} // namespace godwitcleat::state
