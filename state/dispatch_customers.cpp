/** @file dispatch_customers.cpp Limits and shares of customers in the
 * dispatcher. */
#include "state/dispatch_internal.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace godwitcleat::state
{

namespace
{

// A long-running task has to be at work again soon, whatever its customer uses.
constexpr auto max_long_running_wait = std::chrono::seconds{2};
// Share of the starts of customers beyond their share, so that a customer
// whose long-running tasks keep it there still starts others.
constexpr auto beyond_percent = 5;
constexpr auto max_beyond_owed = 8.0;
constexpr auto report_interval = std::chrono::seconds{1};
// A customer's own backlog is known, so that a longer wait than for other
// refusals is still true.
constexpr auto max_retry_after_s = std::int64_t{60};

auto smaller(core::resources const& left, core::resources const& right)
    -> core::resources
{
    return {
        std::min(left.cpu_milli, right.cpu_milli),
        std::min(left.memory_mb, right.memory_mb),
        std::min(left.accelerators, right.accelerators)};
}

auto times(core::resources const& need, std::size_t count) -> core::resources
{
    auto const n = static_cast<std::int64_t>(count);
    return {need.cpu_milli * n, need.memory_mb * n, need.accelerators * n};
}

} // namespace

auto charged_need(run_entry const& run) -> core::resources
{
    return {run.cpu_demand, run.need.memory_mb, run.need.accelerators};
}

auto dispatcher::implementation::charge(run_entry const& run) -> void
{
    if (run.job)
    {
        run.job->account->running += charged_need(run);
    }
}

auto dispatcher::implementation::discharge(run_entry const& run) -> void
{
    if (run.job)
    {
        run.job->account->running -= charged_need(run);
    }
}

auto dispatcher::implementation::uses_customers() const -> bool
{
    return queues->customers.has_value();
}

auto dispatcher::implementation::is_within_limit(
    job_entry const& job, plan_step const& spec) const -> bool
{
    return !uses_customers() ||
           customer_shares::fits(
               *job.account, times(spec.need, spec.gang ? spec.tasks : 1));
}

auto dispatcher::implementation::is_beyond_share(job_entry const& job) const
    -> bool
{
    return uses_customers() && shares.is_beyond_share(*job.account);
}

auto dispatcher::implementation::is_held_back(
    job_entry const& job, step_entry const& step) const -> bool
{
    return is_beyond_share(job) &&
           !(job.spec(step).long_running &&
             last_pass_at - step.ready_since >= max_long_running_wait);
}

auto dispatcher::implementation::charge_tiers(
    step_rank const& rank, std::size_t starts) -> void
{
    auto const n = static_cast<double>(starts);
    if (rank.beyond_share != 0)
    {
        beyond_owed_starts = std::max(beyond_owed_starts - n, 0.0);
    }
    else if (uses_customers())
    {
        beyond_owed_starts = std::min(
            beyond_owed_starts + n * beyond_percent / 100.0, max_beyond_owed);
    }
}

auto dispatcher::implementation::goes_before(
    job_entry const& job, customer_account const& account) const -> bool
{
    return !uses_customers() || job.account == &account ||
           shares.normalised_use(*job.account) <=
               shares.normalised_use(account);
}

auto dispatcher::implementation::may_access(
    job_entry const& job, queue_id const& queue,
    customer_id const& customer) const -> bool
{
    if (!uses_customers() || job.record.customer.empty() ||
        job.record.customer == customer)
    {
        return true;
    }
    auto const it = queues->queues.find(queue);
    return it != queues->queues.end() && it->second.is_open &&
           job.record.plan.queue == queue;
}

auto dispatcher::implementation::compare_customers(std::int64_t now_ms) -> void
{
    if (!uses_customers())
    {
        return;
    }
    shares.begin_pass();
    for (auto const& it : ready_steps)
    {
        auto const& step = it.job->steps[it.step];
        auto& account = *it.job->account;
        if (!account.contends && !step.ready_tasks.empty() &&
            is_schedulable(it, now_ms) &&
            is_within_limit(*it.job, it.job->spec(step)))
        {
            account.contends = true;
        }
    }
    shares.compare();
}

auto dispatcher::implementation::update_capacity() -> void
{
    auto capacity = core::resources{};
    for (auto const& [id, worker] : workers)
    {
        capacity +=
            worker->in_worker_list ? worker->info.capacity : core::resources{};
    }
    shares.set_capacity(capacity);
}

// No more can run unseen than the workers that have not answered can hold.
auto dispatcher::implementation::update_unseen() -> void
{
    if (!uses_customers() || (!recovering && !has_unseen))
    {
        return;
    }
    for (auto& [id, account] : shares.accounts())
    {
        account.unseen = {};
    }
    has_unseen = recovering;
    if (!recovering)
    {
        return;
    }
    for (auto const& [id, job] : jobs)
    {
        for (auto const& step : job->steps)
        {
            auto const first = job->tasks.begin() +
                               static_cast<std::ptrdiff_t>(step.first_task);
            auto const n = std::count_if(
                first,
                first + static_cast<std::ptrdiff_t>(job->spec(step).tasks),
                [](dispatch_task const& it)
                { return it.state == task_state::unknown; });
            job->account->unseen +=
                times(job->spec(step).need, static_cast<std::size_t>(n));
        }
    }
    auto unheard = core::resources{};
    for (auto const& [id, worker] : workers)
    {
        unheard += worker->may_have_unknown_runs ? worker->info.capacity
                                                 : core::resources{};
    }
    for (auto& [id, account] : shares.accounts())
    {
        customer_shares::set_unseen(account, smaller(account.unseen, unheard));
    }
}

auto dispatcher::implementation::report_limit(
    ready_step const& it, core::time_point now) -> void
{
    auto& account = *it.job->account;
    if (now < account.next_report)
    {
        return;
    }
    account.next_report = now + report_interval;
    auto const& step = it.job->steps[it.step];
    event(
        "A job waits for the limit of its customer.",
        {{"job", it.job->record.plan.id.value},
         {"customer", account.customer.value},
         {"tasks", step.ready_tasks.size()},
         {"waited_ms", to_ms(now - step.ready_since)},
         {"cpu_milli", account.running.cpu_milli},
         {"cpu_milli_unseen", account.unseen.cpu_milli},
         {"cpu_milli_limit", account.limit.cpu_milli},
         {"memory_mb", account.running.memory_mb},
         {"memory_mb_limit", account.limit.memory_mb}});
}

auto dispatcher::implementation::customer_backlog_of(
    customer_account const& account) const -> room_backlog
{
    auto result = room_backlog{};
    auto work = 0.0; // In milli-cores times milliseconds.
    auto const now_ms = hooks.unix_ms();
    for (auto const& it : ready_steps)
    {
        auto const& step = it.job->steps[it.step];
        auto const& spec = it.job->spec(step);
        if (it.job->account != &account || step.ready_tasks.empty() ||
            spec.long_running || !is_schedulable(it, now_ms))
        {
            continue;
        }
        work += it.job->queue->run_time_factor *
                static_cast<double>(step.ready_tasks.size()) *
                static_cast<double>(spec.need.cpu_milli) *
                static_cast<double>(spec.expected_run_ms);
        result.waited =
            std::max(result.waited, last_pass_at - step.ready_since);
    }
    auto const wait_ms =
        work / static_cast<double>(shares.entitled_cpu_milli(account));
    constexpr auto max_wait_ms = 3'600'000.0;
    result.expected_wait = std::chrono::milliseconds{
        static_cast<std::int64_t>(std::min(wait_ms, max_wait_ms))};
    return result;
}

auto dispatcher::implementation::refuse_for_customer(
    job_plan const& plan, customer_account& account, std::int64_t wait_ms,
    std::int64_t left_ms) -> void
{
    ++account.refused;
    fail_refused(
        core::error_kind::quota_exceeded,
        fmt::format(
            "the customer's own jobs would make this one wait {} ms", wait_ms),
        retry_after(wait_ms, left_ms, max_retry_after_s));
    event(
        "A job was refused for its customer's share.",
        {{"job", plan.id.value},
         {"customer", account.customer.value},
         {"expected_wait_ms", wait_ms},
         {"time_left_ms", left_ms},
         {"cpu_milli", account.running.cpu_milli},
         {"cpu_milli_limit", account.limit.cpu_milli},
         {"cpu_milli_entitled", shares.entitled_cpu_milli(account)}});
}

auto dispatcher::implementation::customer_counts() const
    -> std::vector<customer_count>
{
    auto waiting = std::map<customer_id, std::uint64_t>{};
    for (auto const& it : ready_steps)
    {
        waiting[it.job->record.customer] +=
            it.job->steps[it.step].ready_tasks.size();
    }
    auto result = std::vector<customer_count>{};
    for (auto const& [id, account] : shares.accounts())
    {
        auto it = customer_count{};
        it.customer = id;
        it.weight = account.weight;
        it.limit = account.limit;
        it.running = account.running;
        it.waiting_tasks = waiting[id];
        it.refused_jobs = account.refused;
        it.use_by_weight = shares.normalised_use(account);
        it.beyond_share = shares.is_beyond_share(account);
        result.push_back(std::move(it));
    }
    return result;
}

} // namespace godwitcleat::state
