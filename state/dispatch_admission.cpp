/** @file dispatch_admission.cpp Refusal of jobs that cannot end in time. */
#include "state/dispatch_internal.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace godwitcleat::state
{

namespace
{

constexpr auto ms_per_s = std::int64_t{1000};
constexpr auto backlog_decay_time = std::chrono::seconds{2};
// Less gives no rate of starts to rely on.
constexpr auto min_waited_s = 0.2;
// Weight of a start in the mean wait.
constexpr auto mean_wait_starts = 64.0;
// Part of the time left that may be spent waiting; the rest covers what is
// not predicted, such as later steps and starts that are answered late.
constexpr auto accepted_percent = 75;
// Nothing is refused unless tasks have waited for this part of the time left.
constexpr auto observed_percent = 25;
constexpr auto max_retry_after_s = std::int64_t{10};
constexpr auto refusal_memory = std::chrono::seconds{60};
constexpr auto max_refused_jobs = std::size_t{20'000};
constexpr auto max_wait = std::chrono::hours{1};

auto is_first(plan_step const& step) -> bool
{
    return step.after.empty() && !step.long_running;
}

auto first_tasks_of(job_plan const& plan) -> std::uint64_t
{
    auto n = std::uint64_t{0};
    for (auto const& step : plan.steps)
    {
        n += is_first(step) ? step.tasks : 0;
    }
    return n;
}

auto may_be_refused(job_plan const& plan, std::int64_t now_ms) -> bool
{
    return plan.occurrences == 1 && plan.first_run_ms <= now_ms &&
           std::none_of(
               plan.steps.begin(), plan.steps.end(),
               [](plan_step const& it) { return it.long_running; });
}

// Its first tasks need reserved room on any worker.
auto needs_any_room(plan_step const& step) -> bool
{
    return !step.long_running && !step.uses_spare_cpu && !step.gang &&
           step.label.empty() && step.max_per_worker == 0 &&
           step.need.cpu_milli > 0;
}

// Returns true if tasks have waited for a part of the time that is left.
auto is_observed(core::duration waited, std::int64_t left_ms) -> bool
{
    return to_ms(waited) * 100 >= left_ms * observed_percent;
}

auto to_duration(double seconds) -> core::duration
{
    return std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double>{seconds});
}

} // namespace

auto start_backlog::expected_wait(
    std::uint64_t tasks, std::uint64_t waiting) const -> core::duration
{
    constexpr auto max_wait_s = std::chrono::duration<double>{max_wait}.count();
    if (waiting == 0 || waited_s < min_waited_s)
    {
        return {};
    }
    auto const ahead = static_cast<double>(waiting + tasks);
    auto const wait = starts > 0.0 ? ahead * waited_s / starts : max_wait_s;
    return to_duration(std::min(wait, max_wait_s));
}

auto retry_after(std::int64_t wait_ms, std::int64_t left_ms, std::int64_t max_s)
    -> std::int64_t
{
    auto const excess_ms = wait_ms - std::max<std::int64_t>(left_ms, 0);
    return std::clamp(
        (excess_ms + ms_per_s - 1) / ms_per_s, std::int64_t{1}, max_s);
}

auto dispatcher::implementation::admit(
    job_plan const& plan, queue_config const& config, queue_state& queue,
    customer_account& account) -> bool
{
    auto const now_ms = hooks.unix_ms();
    auto const tasks = first_tasks_of(plan);
    auto const accept = [&]
    {
        queue.backlog.waiting_tasks +=
            queue.backlog.waiting_tasks > 0 ? tasks : 0;
        return true;
    };
    if (!may_be_refused(plan, now_ms))
    {
        return accept();
    }
    auto const held_back =
        uses_customers() &&
        (shares.would_be_beyond_share(account) ||
         !customer_shares::fits(account, plan.steps.front().need));
    if (held_back)
    {
        return admit_for_customer(plan, config, queue, account);
    }
    auto const path = critical_path_ms(plan);
    auto const objective = objective_ms(path, config);
    auto const start_wait = to_ms(start_wait_for(tasks, queue, account));
    auto const room =
        room_backlog_for(plan.steps.front(), objective, config, queue, account);
    auto const room_wait = to_ms(room.expected_wait);
    if (start_wait == 0 && room_wait == 0)
    {
        return accept();
    }
    auto const begin = first_submitted_ms(plan.id, now_ms);
    auto const work = queue.actual_ms(path);
    auto const end = now_ms - begin + work; // If it starts at once.
    auto const late_left = late_factor * objective - end;
    auto const start_left = work > objective ? late_left : objective - end;
    // What is late by now may still end with partial value.
    auto const room_left = end > objective ? late_left : objective - end;
    auto const starts_late =
        start_wait * 100 > start_left * accepted_percent && start_wait > 0 &&
        is_observed(to_duration(queue.backlog.mean_wait_s), start_left);
    auto const finds_no_room = room_wait > room_left && room_wait > 0 &&
                               is_observed(room.waited, room_left);
    if (!starts_late && !finds_no_room)
    {
        refused_jobs.erase(plan.id.value);
        return accept();
    }
    remember_refused(plan.id, now_ms);
    refuse(
        plan, starts_late ? start_wait : room_wait,
        starts_late ? start_left : room_left);
    return false;
}

auto dispatcher::implementation::start_wait_for(
    std::uint64_t tasks, queue_state const& queue,
    customer_account const& account) const -> core::duration
{
    auto const& backlog = queue.backlog;
    if (!uses_customers() || backlog.waiting_tasks == 0)
    {
        return backlog.expected_wait(tasks, backlog.waiting_tasks);
    }
    auto waiting = std::uint64_t{0};
    auto const now_ms = hooks.unix_ms();
    for (auto const& it : ready_steps)
    {
        auto const& step = it.job->steps[it.step];
        if (it.job->queue == &queue && is_first(it.job->spec(step)) &&
            is_schedulable(it, now_ms) && goes_before(*it.job, account) &&
            rank_of(it, now_ms).urgency() == step_urgency::in_time)
        {
            waiting += step.ready_tasks.size();
        }
    }
    return backlog.expected_wait(tasks, waiting);
}

auto dispatcher::implementation::admit_for_customer(
    job_plan const& plan, queue_config const& config, queue_state& queue,
    customer_account& account) -> bool
{
    auto const now_ms = hooks.unix_ms();
    auto const path = critical_path_ms(plan);
    auto const objective = objective_ms(path, config);
    auto const work = queue.actual_ms(path);
    auto const end = now_ms - first_submitted_ms(plan.id, now_ms) + work;
    auto const left =
        (end > objective ? late_factor * objective : objective) - end;
    auto const backlog = customer_backlog_of(account);
    auto const wait = to_ms(backlog.expected_wait);
    if (wait <= left || !is_observed(backlog.waited, left))
    {
        refused_jobs.erase(plan.id.value);
        return true;
    }
    remember_refused(plan.id, now_ms);
    refuse_for_customer(plan, account, wait, left);
    return false;
}

auto dispatcher::implementation::first_submitted_ms(
    core::job_id const& job, std::int64_t now_ms) const -> std::int64_t
{
    auto const known = refused_jobs.find(job.value);
    return known == refused_jobs.end() ? now_ms : known->second;
}

auto dispatcher::implementation::remember_refused(
    core::job_id const& job, std::int64_t now_ms) -> void
{
    if (refused_jobs.size() < max_refused_jobs)
    {
        refused_jobs.try_emplace(job.value, now_ms);
    }
}

auto dispatcher::implementation::fail_refused(
    core::error_kind kind, std::string_view cause, std::int64_t retry_after_s)
    -> void
{
    ++totals.jobs_refused;
    auto reason = core::failure{};
    reason.kind = kind;
    reason.retry_after_s = retry_after_s;
    reason.message =
        fmt::format("{}; submit it again in {} s", cause, retry_after_s);
    core::fail(reason);
}

auto dispatcher::implementation::refuse(
    job_plan const& plan, std::int64_t wait_ms, std::int64_t left_ms) -> void
{
    fail_refused(
        core::error_kind::no_capacity,
        fmt::format(
            "the job would wait {} ms for its first task and not end in time",
            wait_ms),
        retry_after(wait_ms, left_ms, max_retry_after_s));
    auto const& backlog = queue_state_of(plan.queue).backlog;
    event(
        "A job was refused.", {{"job", plan.id.value},
                               {"queue", plan.queue.value},
                               {"tasks", first_tasks_of(plan)},
                               {"expected_wait_ms", wait_ms},
                               {"time_left_ms", left_ms},
                               {"waiting_tasks", backlog.waiting_tasks}});
}

auto dispatcher::implementation::lacks_room(
    plan_step const& step, queue_config const& config) const -> bool
{
    return std::any_of(
        unplaceable.begin(), unplaceable.end(),
        [&](unplaceable_need const& it)
        {
            return !it.suspects_only && !it.uses_spare_cpu &&
                   it.service == config.service && it.need.fits_in(step.need);
        });
}

auto dispatcher::implementation::room_backlog_for(
    plan_step const& first, std::int64_t objective, queue_config const& config,
    queue_state const& queue, customer_account const& account) const
    -> room_backlog
{
    auto result = room_backlog{};
    if (!needs_any_room(first) || !lacks_room(first, config))
    {
        return result;
    }
    auto work = 0.0; // In milli-cores times milliseconds.
    auto const now_ms = hooks.unix_ms();
    for (auto const& it : ready_steps)
    {
        auto const& step = it.job->steps[it.step];
        auto const& spec = it.job->spec(step);
        if (it.job->queue == &queue && !step.ready_tasks.empty() &&
            goes_before(*it.job, account) && needs_any_room(spec) &&
            spec.need.fits_in(first.need) && is_schedulable(it, now_ms) &&
            objective_ms(it.job->critical_path_ms, config) <= objective)
        {
            work += static_cast<double>(step.ready_tasks.size()) *
                    static_cast<double>(spec.need.cpu_milli) *
                    static_cast<double>(spec.expected_run_ms);
            result.waited =
                std::max(result.waited, last_pass_at - step.ready_since);
        }
    }
    if (work == 0.0)
    {
        return {};
    }
    auto const room = room_for(first.need, objective, config.service);
    if (room.workers == 0)
    {
        return {};
    }
    auto const cpu_milli = std::max<std::int64_t>(room.cpu_milli, 1);
    auto const wait = std::chrono::duration<double, std::milli>{
        queue.run_time_factor * work / static_cast<double>(cpu_milli)};
    result.expected_wait = std::chrono::duration_cast<core::duration>(
        std::min<std::chrono::duration<double, std::milli>>(wait, max_wait));
    return result;
}

auto dispatcher::implementation::room_for(
    core::resources const& need, std::int64_t objective,
    core::service_id const& service) const -> service_room
{
    auto result = service_room{};
    for (auto const& [id, worker] : workers)
    {
        auto const& info = worker->info;
        if (!worker->in_worker_list || info.draining ||
            info.service != service || drained.contains(info.data_centre) ||
            !need.fits_in(info.capacity))
        {
            continue;
        }
        ++result.workers;
        result.cpu_milli += info.capacity.cpu_milli;
        for (auto const& run : worker->runs)
        {
            auto const* const queue =
                run.job ? run.job->queue->config : nullptr;
            auto const goes_first =
                queue != nullptr &&
                (!is_short(run) ||
                 objective_ms(run.job->critical_path_ms, *queue) < objective);
            result.cpu_milli -= goes_first ? run.need.cpu_milli : 0;
        }
    }
    return result;
}

auto dispatcher::implementation::measure_backlogs(core::time_point now) -> void
{
    auto const elapsed =
        std::chrono::duration<double>{
            now - std::exchange(backlogs_measured_at, now)}
            .count();
    auto const factor = std::exp(
        -elapsed / std::chrono::duration<double>{backlog_decay_time}.count());
    for (auto& [id, queue] : queue_states)
    {
        auto& backlog = queue.backlog;
        auto const waits = backlog.waiting_tasks > 0;
        backlog.waited_s = backlog.waited_s * factor + (waits ? elapsed : 0.0);
        backlog.starts *= factor;
        backlog.mean_wait_s *= waits ? 1.0 : factor;
    }
}

auto dispatcher::implementation::count_first_starts(
    ready_step const& it, step_rank const& rank, std::size_t starts,
    core::time_point now) -> void
{
    auto const& step = it.job->steps[it.step];
    if (starts == 0 || rank.urgency() != step_urgency::in_time ||
        !is_first(it.job->spec(step)))
    {
        return;
    }
    auto& backlog = it.job->queue->backlog;
    auto const n = static_cast<double>(starts);
    backlog.starts += backlog.waiting_tasks > 0 ? n : 0.0;
    auto const wait =
        std::chrono::duration<double>{now - step.ready_since}.count();
    backlog.mean_wait_s +=
        std::min(n / mean_wait_starts, 1.0) * (wait - backlog.mean_wait_s);
}

auto dispatcher::implementation::count_waiting(
    std::vector<step_flow> const& flows) -> void
{
    for (auto& [id, queue] : queue_states)
    {
        queue.backlog.waiting_tasks = 0;
    }
    if (starts_left > 0)
    {
        return; // What waits has been tried and found no room.
    }
    auto const count = [this](step_list const& list)
    {
        for (auto const& [rank, i] : list.steps)
        {
            auto const& it = ready_steps[i];
            auto const& step = it.job->steps[it.step];
            if (rank.urgency() == step_urgency::in_time &&
                is_first(it.job->spec(step)))
            {
                it.job->queue->backlog.waiting_tasks += step.ready_tasks.size();
            }
        }
    };
    for (auto const& flow : flows)
    {
        count(flow.within_share);
        count(flow.beyond_share);
    }
}

auto dispatcher::implementation::forget_refused_jobs() -> void
{
    auto const before = hooks.unix_ms() - to_ms(refusal_memory);
    std::erase_if(
        refused_jobs, [=](auto const& it) { return it.second < before; });
}

} // namespace godwitcleat::state
