/** @file dispatch_base.cpp Public interface of the dispatcher. */
#include "state/dispatch_base.hpp"

#include "state/dispatch_internal.hpp"

#include <algorithm>

namespace godwitcleat::state
{

auto to_string(run_outcome value) -> std::string_view
{
    switch (value)
    {
    case run_outcome::done: return "done";
    case run_outcome::failed: return "failed";
    case run_outcome::stopped: return "stopped";
    case run_outcome::lapsed: return "lapsed";
    case run_outcome::gang_broken: return "gang_broken";
    case run_outcome::gang_missing: return "gang_missing";
    }
    return "unknown";
}

auto to_string(order_result value) -> std::string_view
{
    switch (value)
    {
    case order_result::accepted: return "accepted";
    case order_result::fenced: return "fenced";
    case order_result::old_run: return "old_run";
    case order_result::late: return "late";
    case order_result::no_room: return "no_room";
    case order_result::refused: return "refused";
    case order_result::unhealthy: return "unhealthy";
    case order_result::other_worker: return "other_worker";
    case order_result::other_process: return "other_process";
    case order_result::not_sent: return "not_sent";
    case order_result::connection_refused: return "connection_refused";
    case order_result::unknown: return "unknown";
    }
    return "unknown";
}

dispatcher::dispatcher(
    core::epoch term, dispatch_snapshot const& stored,
    dispatch_settings settings, dispatch_hooks hooks, core::time_point now)
    : implementation_(
          std::make_unique<implementation>(term, settings, std::move(hooks)))
{
    implementation_->restore(stored, now);
}

dispatcher::~dispatcher()
{
    if (!implementation_)
    {
        return;
    }
    for (auto const& [id, job] : implementation_->jobs)
    {
        job->fail_callbacks_at_end();
    }
}

dispatcher::dispatcher(dispatcher&&) noexcept = default;

auto dispatcher::operator=(dispatcher&&) noexcept -> dispatcher& = default;

auto dispatcher::set_settings(dispatch_settings settings) -> void
{
    implementation_->settings = settings;
}

auto dispatcher::set_queues(queue_table_pointer queues) -> void
{
    implementation_->set_queues(std::move(queues));
}

auto dispatcher::set_workers(
    std::span<listed_worker const> workers, core::time_point now) -> void
{
    implementation_->set_workers(workers, now);
}

auto dispatcher::limit_starts(core::time_point until) -> void
{
    implementation_->start_limit = until;
}

auto dispatcher::limit_leases(core::time_point last_write) -> void
{
    implementation_->last_write = last_write;
}

auto dispatcher::set_drained(std::set<core::data_centre_id> data_centres)
    -> void
{
    implementation_->drained = std::move(data_centres);
    implementation_->schedule_due = true;
}

auto dispatcher::submit(
    job_plan plan, core::time_point now, completion on_done,
    customer_id customer) -> void
{
    implementation_->submit(
        std::move(plan), now, std::move(on_done), std::move(customer));
}

auto dispatcher::cancel(
    core::job_id const& job, core::time_point now, completion on_done,
    customer_id customer) -> void
{
    implementation_->cancel(job, now, std::move(on_done), std::move(customer));
}

auto dispatcher::may_access(
    core::job_id const& job, queue_id const& queue,
    customer_id const& customer) const -> bool
{
    auto const it = implementation_->find_job(job.value);
    return !it || implementation_->may_access(*it, queue, customer);
}

auto dispatcher::reject_unstored(std::string_view cause) -> void
{
    implementation_->reject_unstored(cause);
}

auto dispatcher::phase(core::job_id const& job) const
    -> std::optional<plan_phase>
{
    auto const it = implementation_->find_job(job.value);
    if (!it || !it->record_stored || !it->submitted)
    {
        return std::nullopt;
    }
    if (is_final(it->stored_phase))
    {
        return it->stored_phase;
    }
    return it->started ? plan_phase::active : plan_phase::queued;
}

namespace
{

auto is_waiting(job_entry const& job) -> bool
{
    return job.record_stored && job.submitted && !job.started &&
           !is_final(job.phase);
}

} // namespace

auto dispatcher::pending(queue_id const& queue) const -> std::uint64_t
{
    auto n = std::uint64_t{0};
    for (auto const& [id, it] : implementation_->jobs)
    {
        n += is_waiting(*it) && it->record.plan.queue == queue ? 1 : 0;
    }
    return n;
}

auto dispatcher::pending_by_queue() const -> std::map<queue_id, std::uint64_t>
{
    auto result = std::map<queue_id, std::uint64_t>{};
    for (auto const& [id, it] : implementation_->jobs)
    {
        if (is_waiting(*it))
        {
            ++result[it->record.plan.queue];
        }
    }
    return result;
}

auto dispatcher::take_holds(core::time_point now) -> std::vector<hold_order>
{
    return implementation_->take_holds(now);
}

auto dispatcher::hold_answered(
    hold_order const& order, order_result result,
    std::optional<worker_lists> const& lists, core::time_point now) -> bool
{
    return implementation_->hold_answered(order, result, lists, now);
}

auto dispatcher::take_orders(core::time_point now) -> std::vector<run_order>
{
    return implementation_->take_orders(now);
}

auto dispatcher::order_answered(
    run_order const& order, order_result result,
    std::optional<std::int64_t> clock_ms, core::time_point now) -> bool
{
    return implementation_->order_answered(order, result, clock_ms, now);
}

auto dispatcher::take_batch(core::time_point now)
    -> std::optional<dispatch_batch>
{
    return implementation_->take_batch(now);
}

auto dispatcher::batch_committed(core::time_point now) -> void
{
    implementation_->batch_committed(now);
}

auto dispatcher::batch_rejected() -> void
{
    implementation_->batch_rejected();
}

auto dispatcher::tick(core::time_point now) -> void
{
    implementation_->tick(now);
}

auto dispatcher::counts(core::time_point now) const -> dispatch_counts
{
    auto result = implementation_->totals;
    for (auto const& [id, job] : implementation_->jobs)
    {
        result.jobs_open += is_final(job->phase) ? 0 : 1;
        result.tasks_bound += job->active_runs;
        if (implementation_->recovering)
        {
            result.tasks_unknown += static_cast<std::size_t>(std::count_if(
                job->tasks.begin(), job->tasks.end(),
                [](auto const& it)
                { return it.state == task_state::unknown; }));
        }
    }
    for (auto const& it : implementation_->ready_steps)
    {
        result.tasks_ready += it.job->steps[it.step].ready_tasks.size();
    }
    for (auto const& [id, worker] : implementation_->workers)
    {
        auto const live = worker->contact == contact_state::live;
        result.workers_live += live ? 1 : 0;
        result.workers_without_contact += live ? 0 : 1;
        result.workers_suspended += now < worker->suspended_until ? 1 : 0;
    }
    return result;
}

auto dispatcher::queue_counts() const -> std::map<queue_id, queue_task_counts>
{
    return implementation_->queue_counts();
}

auto dispatcher::customer_counts() const -> std::vector<customer_count>
{
    return implementation_->uses_customers()
               ? implementation_->customer_counts()
               : std::vector<customer_count>{};
}

} // namespace godwitcleat::state
