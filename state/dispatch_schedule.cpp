/** @file dispatch_schedule.cpp Order of the tasks and choice of workers. */
#include "state/dispatch_internal.hpp"

#include <algorithm>
#include <limits>

namespace godwitcleat::state
{

namespace
{

// Placement is limited by the rate at which capacity becomes free; an interval
// combines several ended runs into one pass.
constexpr auto schedule_interval = std::chrono::milliseconds{8};
constexpr auto start_margin = std::chrono::milliseconds{150};
// Limits how many workers are considered for best-effort steps that fit
// nowhere. Trying 500 such steps on 350 workers in each pass took a third of a
// core. Each worker takes 0.15 us, and scheduling may use 2.7% of a core.
constexpr auto workers_considered_per_s = std::int64_t{150'000};
// A worker that has not answered a start for this long does not hold up starts
// on other workers.
constexpr auto max_answer_time = std::chrono::milliseconds{200};
// Minimum for the round trip of a start to another data centre.
constexpr auto min_start_validity = std::chrono::milliseconds{250};
constexpr auto stop_retry = std::chrono::milliseconds{400};
constexpr auto stop_overrun = std::chrono::milliseconds{1000};
// A run that is at work for this long does not fail for the fault of its
// worker.
constexpr auto sound_run_time = std::chrono::seconds{5};
// How long a worker stays reserved for a long-running task.
constexpr auto reservation_time = std::chrono::milliseconds{2500};
constexpr auto runs_per_term = std::uint64_t{1000};

// While less than this share of all processors is reserved, a best-effort task
// that has waited for this long is placed regardless of the expected
// interference; pace orders then limit its effect.
constexpr auto mostly_free_percent = 55;
constexpr auto max_wait = std::chrono::milliseconds{1500};

// Costs of a placement; the worker with the lowest total is chosen.
constexpr auto avoided_cost = 1000.0;
constexpr auto other_rack_cost = 100.0;
constexpr auto beside_best_effort_cost = 0.3;
// Exceeds the maximum share of spare processors, so that this cost dominates.
constexpr auto beside_serving_cost = 1.0;
constexpr auto failure_cost = 10.0;
// Of a task beside a run under whose task a worker has crashed, and of such a
// task beside other runs; either exceeds the costs of packing and spreading.
constexpr auto beside_suspect_cost = 5.0;

auto has_label(dispatch_worker const& worker, std::string const& label) -> bool
{
    return label.empty() || worker.info.labels.contains(label);
}

auto raise(core::resources& bound, core::resources const& value) -> void
{
    bound.cpu_milli = std::max(bound.cpu_milli, value.cpu_milli);
    bound.memory_mb = std::max(bound.memory_mb, value.memory_mb);
    bound.accelerators = std::max(bound.accelerators, value.accelerators);
}

} // namespace

auto dispatcher::implementation::take_orders(core::time_point now)
    -> std::vector<run_order>
{
    last_pass_at = now;
    if (std::exchange(failure_limits_changed, false))
    {
        fail_exhausted_jobs(now);
    }
    send_stored_starts(now);
    if (schedule_due && now >= next_schedule)
    {
        next_schedule = now + schedule_interval;
        schedule_due = start_validity(now) < min_start_validity;
        if (!schedule_due)
        {
            schedule(now);
        }
        else
        {
            // No start is allowed, which tells nothing about their rate.
            backlogs_measured_at = now;
        }
        add_stop_orders(now);
    }
    return std::exchange(orders, {});
}

// Returns how long a start sent now remains valid.
auto dispatcher::implementation::start_validity(core::time_point now) const
    -> core::duration
{
    return std::min(
        {settings.start_validity, start_limit - now, lease_length(now)});
}

auto dispatcher::implementation::count_pending_starts(
    core::time_point now) const -> std::size_t
{
    auto result = std::size_t{0};
    for (auto const& [id, worker] : workers)
    {
        result += std::count_if(
            worker->runs.begin(), worker->runs.end(),
            [&](run_entry const& it)
            {
                return it.start_pending &&
                       (window.is_congested() ||
                        now - it.ordered_at < max_answer_time);
            });
    }
    return result;
}

auto dispatcher::implementation::count_pending_stops(core::time_point now) const
    -> std::size_t
{
    auto result = std::size_t{0};
    for (auto const& [id, worker] : workers)
    {
        result += std::count_if(
            worker->runs.begin(), worker->runs.end(),
            [now](run_entry const& it) {
                return it.stop_pending &&
                       now - *it.stop_sent_at < max_answer_time;
            });
    }
    return result;
}

auto dispatcher::implementation::adapt_window(core::time_point now) -> void
{
    constexpr auto min_pending = std::size_t{4};
    if (!window.is_due(now))
    {
        return;
    }
    auto ages = std::vector<core::duration>{};
    for (auto const& [id, worker] : workers)
    {
        for (auto const& run : worker->runs)
        {
            if (run.start_pending)
            {
                ages.push_back(now - run.ordered_at);
            }
        }
    }
    auto median = std::optional<core::duration>{};
    if (ages.size() >= min_pending)
    {
        auto const middle =
            ages.begin() + static_cast<std::ptrdiff_t>(ages.size() / 2);
        std::nth_element(ages.begin(), middle, ages.end());
        median = *middle;
    }
    window.adapt(now, median);
}

auto dispatcher::implementation::schedule(core::time_point now) -> void
{
    adapt_window(now);
    auto const pending = count_pending_starts(now);
    auto const allowed = window.size(settings.max_pending_starts);
    starts_left = allowed - std::min(allowed, pending);
    if (starts_left == 0)
    {
        schedule_due = true;
        return;
    }
    std::erase_if(
        ready_steps,
        [](ready_step const& it)
        {
            auto& step = it.job->steps[it.step];
            step.in_ready_steps = !step.ready_tasks.empty();
            return !step.in_ready_steps;
        });
    measure_backlogs(now);
    compare_customers(hooks.unix_ms());
    auto flows = make_flows(hooks.unix_ms());
    mostly_free = is_mostly_free();
    update_startable_workers(now);
    previous_unplaceable_count = unplaceable.size();
    std::erase_if(
        unplaceable, [now](auto const& it) { return now >= it.until; });
    auto reserved = static_cast<std::size_t>(std::count_if(
        workers.begin(), workers.end(),
        [now](auto const& it) { return now < it.second->reserved_until; }));
    while (starts_left > 0)
    {
        auto const beyond_first = beyond_owed_starts >= 1.0;
        auto* const flow = next_flow(flows, beyond_first);
        if (flow == nullptr)
        {
            break;
        }
        auto& list = flow->front(beyond_first);
        auto const& [rank, i] = list.steps[list.next++];
        auto const it = ready_steps[i];
        auto const& step = it.job->steps[it.step];
        auto const& spec = it.job->spec(step);
        if (is_unplaceable(*it.job, step, false, now) ||
            !is_service_stored(it.job, step, find_queue(*it.job)->service, now))
        {
            continue;
        }
        if (!is_within_limit(*it.job, spec))
        {
            report_limit(it, now);
            continue;
        }
        auto const waiting = step.ready_tasks.size();
        auto const all_starts = starts_left;
        if (beyond_first && rank.beyond_share != 0)
        {
            // A wide step would take all room out of turn.
            starts_left = std::min(
                starts_left, static_cast<std::size_t>(beyond_owed_starts));
        }
        auto const placed =
            spec.gang ? place_gang(it, now) : place_step(it, now);
        auto const started = waiting - step.ready_tasks.size();
        starts_left = all_starts - std::min(all_starts, started);
        it.job->queue->starts[rank.urgency()] += started;
        charge_starts(flows, *flow, started);
        charge_tiers(rank, started);
        count_first_starts(it, rank, started, now);
        if (placed)
        {
            continue;
        }
        remember_unplaceable(*it.job, step, false, now);
        if (spec.long_running)
        {
            auto const waiting = static_cast<std::size_t>(std::count_if(
                step.ready_tasks.begin(), step.ready_tasks.end(),
                [&](std::uint32_t index)
                { return !is_backing_off(spec, it.job->tasks[index], now); }));
            auto const& queue = *find_queue(*it.job);
            report_waiting_step(it, queue, now);
            while (reserved < waiting && reserve_worker(it, queue, now))
            {
                ++reserved;
            }
            reserved -= std::min(reserved, waiting);
        }
    }
    count_waiting(flows);
    schedule_due = schedule_due || starts_left == 0;
}

auto dispatcher::implementation::update_startable_workers(core::time_point now)
    -> void
{
    for (auto& [service, found] : startable_workers)
    {
        found.clear();
    }
    rooms.clear();
    for (auto const& [id, worker] : workers)
    {
        if (accepts_starts(*worker, now))
        {
            startable_workers[worker->info.service].push_back(worker.get());
            raise(rooms[{worker->info.service, {}}].free, worker->free());
        }
    }
}

auto dispatcher::implementation::startable_workers_for(
    queue_config const& queue) const -> std::span<dispatch_worker* const>
{
    auto const it = startable_workers.find(queue.service);
    return it == startable_workers.end() ? std::span<dispatch_worker* const>{}
                                         : std::span{it->second};
}

auto dispatcher::implementation::room_of(
    queue_config const& queue, std::string const& label) -> room_bounds&
{
    auto const [it, inserted] = rooms.try_emplace({queue.service, label});
    if (inserted)
    {
        auto const candidates = startable_workers_for(queue);
        totals.workers_considered += candidates.size();
        for (auto const* const worker : candidates)
        {
            if (has_label(*worker, label))
            {
                raise(it->second.free, worker->free());
            }
        }
    }
    return it->second;
}

// Such a step is placed regardless of the expected interference, so that its
// job does not wait indefinitely.
auto dispatcher::implementation::has_waited_long(
    job_entry const& job, step_entry const& step, core::time_point now) const
    -> bool
{
    return mostly_free && job.active_runs == 0 &&
           now - step.ready_since >= max_wait;
}

auto dispatcher::implementation::is_unplaceable(
    job_entry const& job, step_entry const& step, bool suspect,
    core::time_point now) const -> bool
{
    auto const& spec = job.spec(step);
    // A step that has waited long is placed regardless of interference.
    if (unplaceable.empty() || spec.gang || spec.long_running ||
        (spec.uses_spare_cpu && has_waited_long(job, step, now)))
    {
        return false;
    }
    auto const& service = find_queue(job)->service;
    return std::any_of(
        unplaceable.begin(), unplaceable.end(),
        [&](unplaceable_need const& it)
        {
            return (suspect || !it.suspects_only) &&
                   it.uses_spare_cpu == spec.uses_spare_cpu &&
                   (!spec.uses_spare_cpu || it.task_class == step.task_class) &&
                   it.need.fits_in(spec.need) && it.service == service;
        });
}

auto dispatcher::implementation::remember_unplaceable(
    job_entry const& job, step_entry const& step, bool suspects_only,
    core::time_point now) -> void
{
    auto const& spec = job.spec(step);
    auto const is_plain = spec.label.empty() && !spec.gang &&
                          !spec.long_running && spec.max_per_worker == 0;
    auto const waited_long =
        spec.uses_spare_cpu && has_waited_long(job, step, now);
    if (!is_plain || waited_long)
    {
        return;
    }
    auto it = unplaceable_need{};
    it.service = find_queue(job)->service;
    it.task_class = step.task_class;
    it.uses_spare_cpu = spec.uses_spare_cpu;
    it.suspects_only = suspects_only;
    it.need = spec.need;
    // Other steps need reserved processors, which may become free at any time.
    it.until = now;
    if (spec.uses_spare_cpu)
    {
        auto const kinds =
            std::max(previous_unplaceable_count, unplaceable.size() + 1);
        auto const considered = static_cast<std::int64_t>(
            kinds * startable_workers_for(*find_queue(job)).size());
        it.until += core::duration{std::chrono::seconds{1}} * considered /
                    workers_considered_per_s;
    }
    unplaceable.push_back(std::move(it));
}

auto dispatcher::implementation::is_mostly_free() const -> bool
{
    auto used = std::int64_t{0};
    auto capacity = std::int64_t{0};
    for (auto const& [id, worker] : workers)
    {
        used += worker->in_worker_list ? worker->used.cpu_milli : 0;
        capacity +=
            worker->in_worker_list ? worker->info.capacity.cpu_milli : 0;
    }
    return used * 100 < capacity * mostly_free_percent;
}

auto dispatcher::implementation::accepts_starts(
    dispatch_worker const& worker, core::time_point now) const -> bool
{
    return worker.in_worker_list && worker.in_stored_list &&
           !worker.stored_with_lease && worker.contact == contact_state::live &&
           !worker.info.draining && now >= worker.starts_blocked_until &&
           now >= worker.suspended_until && now <= worker.lease_until &&
           !worker.is_listed_as_other_process() &&
           !drained.contains(worker.info.data_centre);
}

// A worker with repeated failures gets one run at a time, but for long-running
// ones, which never end as done.
auto dispatcher::implementation::is_on_trial(
    dispatch_worker const& worker, core::time_point now) -> bool
{
    return worker.consecutive_failures > 1 &&
           std::any_of(
               worker.runs.begin(), worker.runs.end(),
               [&](run_entry const& it)
               {
                   return it.ordered_at > worker.last_failure_at &&
                          (is_short(it) ||
                           now - it.ordered_at < sound_run_time);
               });
}

auto dispatcher::implementation::clear_failures(
    dispatch_worker& worker, run_entry const& run, core::time_point now) -> void
{
    // A run from before the last failure does not tell whether the worker fails
    // what it starts now.
    auto const is_sound = run.ordered_at > worker.last_failure_at &&
                          now - run.ordered_at >= sound_run_time &&
                          run.percent > 0 && !run.stop_requested;
    if (worker.consecutive_failures > 0 && is_sound)
    {
        worker.consecutive_failures = 0;
    }
}

auto dispatcher::implementation::choose_worker(
    job_entry& job, step_entry& step, dispatch_task const& task,
    queue_config const& queue, core::time_point now,
    std::span<dispatch_worker* const> members) -> worker_choice
{
    auto const& spec = job.spec(step);
    auto need = spec.need;
    if (spec.uses_spare_cpu)
    {
        need.cpu_milli = 0;
    }
    if (!need.fits_in(room_of(queue, spec.label).free))
    {
        return {};
    }
    auto const waited_long =
        spec.uses_spare_cpu && has_waited_long(job, step, now);
    // All members of a gang need a worker at the same time.
    auto const isolated = is_isolated(spec, task, now);
    auto result = worker_choice{};
    auto best_cost = std::numeric_limits<double>::max();
    auto const candidates = startable_workers_for(queue);
    totals.workers_considered += candidates.size();
    for (auto* const worker : candidates)
    {
        auto const& info = worker->info;
        auto const free = worker->free();
        if (!need.fits_in(free) || !has_label(*worker, spec.label))
        {
            continue;
        }
        if (now < worker->reserved_until && !spec.long_running)
        {
            continue;
        }
        if (spec.uses_spare_cpu &&
            !tolerates(*worker, spec, step.task_class, waited_long, now))
        {
            continue;
        }
        // Long-running tasks have no limit of failures, and no other worker may
        // have room.
        if (!spec.long_running && is_on_trial(*worker, now))
        {
            continue;
        }
        if (spec.max_per_worker > 0)
        {
            auto const same = std::count_if(
                worker->runs.begin(), worker->runs.end(),
                [&](run_entry const& it)
                {
                    return it.name.job == job.record.plan.id &&
                           it.name.step == step.step &&
                           it.name.occurrence == step.occurrence;
                });
            auto const chosen =
                std::count(members.begin(), members.end(), worker);
            if (same + chosen >=
                static_cast<std::ptrdiff_t>(spec.max_per_worker))
            {
                continue;
            }
        }
        if (worker->suspect_runs > 0 && isolated)
        {
            result.beside_suspect = true;
            continue;
        }
        auto const capacity =
            std::max<double>(1.0, static_cast<double>(info.capacity.cpu_milli));
        auto const left =
            static_cast<double>(free.cpu_milli - spec.need.cpu_milli) /
            capacity;
        // Tasks with reserved processors are packed, which leaves whole workers
        // to best-effort tasks; those are spread.
        auto cost = left;
        if (spec.uses_spare_cpu)
        {
            cost = expected_interference(*worker, spec, step.task_class) -
                   static_cast<double>(worker->spare_cpu_milli) / capacity +
                   (worker->serving_runs > 0 ? beside_serving_cost : 0.0);
        }
        else if (spec.tail_target_ms > 0 && worker->best_effort_runs > 0)
        {
            cost += beside_best_effort_cost;
        }
        cost += info.worker == task.avoided_worker ? avoided_cost : 0.0;
        cost += failure_cost * worker->consecutive_failures;
        auto const beside_suspect =
            worker->suspect_runs > 0 ||
            (task.is_suspect() && !worker->runs.empty());
        cost += beside_suspect ? beside_suspect_cost : 0.0;
        if (!spec.near_rack.empty() && info.rack != spec.near_rack)
        {
            cost += other_rack_cost;
        }
        if (cost < best_cost)
        {
            result.worker = worker;
            best_cost = cost;
        }
    }
    result.beside_suspect = result.beside_suspect && result.worker == nullptr;
    return result;
}

auto dispatcher::implementation::place_step(
    ready_step const& it, core::time_point now) -> bool
{
    auto& job = *it.job;
    auto& step = job.steps[it.step];
    auto const& spec = job.spec(step);
    auto const* const queue = find_queue(job);
    auto const waiting = step.ready_tasks.size();
    auto const log_starts = [&]
    {
        if (step.ready_tasks.size() < waiting)
        {
            event(
                "Tasks start.", {{"job", job.record.plan.id.value},
                                 {"step", step.step},
                                 {"tasks", waiting - step.ready_tasks.size()},
                                 {"still_waiting", step.ready_tasks.size()},
                                 {"waited_ms", to_ms(now - step.ready_since)}});
        }
    };
    auto suspects_wait = std::optional<bool>{};
    for (auto i = step.ready_tasks.size(); starts_left > 0 && i-- > 0;)
    {
        if (!is_within_limit(job, spec))
        {
            break; // Another worker would not help.
        }
        auto const index = step.ready_tasks[i];
        auto& task = job.tasks[index];
        if (is_backing_off(spec, task, now))
        {
            continue;
        }
        if (is_isolated(spec, task, now))
        {
            if (!suspects_wait)
            {
                suspects_wait = is_unplaceable(job, step, true, now);
            }
            if (*suspects_wait)
            {
                continue;
            }
        }
        auto const choice = choose_worker(job, step, task, *queue, now, {});
        if (choice.beside_suspect)
        {
            suspects_wait = true;
            remember_unplaceable(job, step, true, now);
            continue;
        }
        if (choice.worker == nullptr)
        {
            log_starts();
            return false;
        }
        step.ready_tasks.erase(
            step.ready_tasks.begin() + static_cast<std::ptrdiff_t>(i));
        start(it.job, index, *choice.worker, next_run(job, task), now);
    }
    log_starts();
    return true;
}

auto dispatcher::implementation::place_gang(
    ready_step const& it, core::time_point now) -> bool
{
    auto& job = *it.job;
    auto& step = job.steps[it.step];
    auto const* const queue = find_queue(job);
    if (step.ready_tasks.size() != step.open_tasks)
    {
        return true; // Members of the previous run have not ended yet.
    }
    auto const waits = std::any_of(
        step.ready_tasks.begin(), step.ready_tasks.end(),
        [&](std::uint32_t index)
        { return is_backing_off(job.spec(step), job.tasks[index], now); });
    if (waits)
    {
        return true;
    }
    // Capacity is reserved temporarily, so that it is not counted twice.
    auto chosen = std::vector<dispatch_worker*>{};
    auto const need = job.spec(step).need;
    for (auto const index : step.ready_tasks)
    {
        auto* const worker =
            choose_worker(job, step, job.tasks[index], *queue, now, chosen)
                .worker;
        if (worker == nullptr)
        {
            break;
        }
        worker->used += need;
        chosen.push_back(worker);
    }
    for (auto* const worker : chosen)
    {
        worker->used -= need;
    }
    if (chosen.size() != step.ready_tasks.size())
    {
        return false;
    }
    auto run = run_number{};
    for (auto const index : step.ready_tasks)
    {
        run = std::max(run, next_run(job, job.tasks[index]));
    }
    auto const members = std::exchange(step.ready_tasks, {});
    for (auto i = std::size_t{0}; i < members.size(); ++i)
    {
        start(it.job, members[i], *chosen[i], run, now);
    }
    return true;
}

auto dispatcher::implementation::next_run(
    job_entry const& job, dispatch_task const& task) const -> run_number
{
    // Exceeds the runs of previous owners, even those that are not known.
    auto const terms = term.value - job.record.accepted_term.value;
    return run_number{std::max(task.last_run.value, terms * runs_per_term) + 1};
}

auto dispatcher::implementation::start(
    job_pointer const& job, std::uint32_t index, dispatch_worker& worker,
    run_number number, core::time_point now) -> void
{
    auto& task = job->tasks[index];
    task.state = task_state::bound;
    task.worker = &worker;
    task.last_run = number;
    job->start_ordered = true;
    ++job->active_runs;
    ++totals.starts;
    starts_left -= std::min<std::size_t>(starts_left, 1);
    auto run = make_run(job, index, number, now);
    worker.used += run.need;
    charge(run);
    worker.serving_runs += run.tail_target_ms > 0 ? 1 : 0;
    worker.best_effort_runs += run.uses_spare_cpu ? 1 : 0;
    worker.suspect_runs += run.suspect ? 1 : 0;
    if (job->spec(job->step_of(index)).long_running)
    {
        worker.reserved_until = core::time_point{};
    }
    worker.estimates_valid = false;
    worker.runs.push_back(std::move(run));
    if (!job->stores_worker_of(index))
    {
        return send_start(worker, worker.runs.back(), now);
    }
    worker.runs.back().waits_for_store = true;
    set_stored_worker(job, index, worker.info.worker, now);
    stored_starts.push_back(
        {job, index, number, worker.info.worker, job->version});
}

auto dispatcher::implementation::send_start(
    dispatch_worker& worker, run_entry& run, core::time_point now) -> void
{
    run.start_pending = true;
    run.ordered_at = now;
    run.percent_changed_at = now;
    run.pace_sent_at = now;
    run.startable_until =
        now + with_drift(settings.start_validity) + start_margin;
    worker.lease_until = std::max(worker.lease_until, run.startable_until);
    auto order = make_order(worker, run, run_order_kind::start, now);
    order.command = run.job->record.plan.command;
    order.checkpoint = run.checkpoint;
    order.deadline_ms = clock_of(worker, now) + to_ms(start_validity(now));
    orders.push_back(std::move(order));
}

// The worker or the queue may have changed since the choice.
auto dispatcher::implementation::still_fits(
    dispatch_worker const& worker, run_entry const& run) -> bool
{
    auto const* const queue = find_queue(*run.job);
    auto const& label = run.job->spec(run.job->step_of(run.task)).label;
    return queue != nullptr && queue->service == worker.info.service &&
           (label.empty() || worker.info.labels.contains(label)) &&
           worker.used.fits_in(worker.info.capacity);
}

// A new owner holds a long-running task until it has heard the stored worker,
// so that the start must not precede the write.
auto dispatcher::implementation::send_stored_starts(core::time_point now)
    -> void
{
    if (stored_starts.empty() || start_validity(now) < min_start_validity)
    {
        return;
    }
    auto pending = count_pending_starts(now);
    std::erase_if(
        stored_starts,
        [&](stored_start const& it)
        {
            if (it.job->stored_version < it.version)
            {
                return false;
            }
            auto* const worker = find_worker(it.worker);
            auto const i =
                worker == nullptr
                    ? std::nullopt
                    : find_run(*worker, it.job->name_of(it.task), it.run);
            if (!i)
            {
                return true;
            }
            auto& run = worker->runs[*i];
            if (run.stop_requested || !accepts_starts(*worker, now) ||
                !still_fits(*worker, run))
            {
                retry_run(*worker, *i, now);
                return true;
            }
            if (pending >= window.size(settings.max_pending_starts))
            {
                return false;
            }
            ++pending;
            run.waits_for_store = false;
            send_start(*worker, run, now);
            return true;
        });
}

auto dispatcher::implementation::make_run(
    job_pointer const& job, std::uint32_t index, run_number number,
    core::time_point now) -> run_entry
{
    auto const& step = job->step_of(index);
    auto const& spec = job->spec(step);
    auto run = run_entry{};
    run.job = job;
    run.task = index;
    run.name = job->name_of(index);
    run.run = number;
    run.need = spec.need;
    run.cpu_demand = spec.need.cpu_milli;
    run.task_class = step.task_class;
    run.uses_spare_cpu = spec.uses_spare_cpu;
    run.tail_target_ms = spec.tail_target_ms;
    if (spec.uses_spare_cpu)
    {
        run.need.cpu_milli = 0;
    }
    run.suspect = job->tasks[index].is_suspect();
    run.ordered_at = now;
    run.percent_changed_at = now;
    run.pace_sent_at = now;
    run.checkpoint = job->tasks[spec.gang ? step.first_task : index].checkpoint;
    return run;
}

auto dispatcher::implementation::make_order(
    dispatch_worker const& worker, run_entry const& run, run_order_kind kind,
    core::time_point now) const -> run_order
{
    auto order = make_order_to<run_order>(worker, now);
    order.kind = kind;
    order.task = run.name;
    order.run = run.run;
    return order;
}

auto dispatcher::implementation::report_waiting_step(
    ready_step const& it, queue_config const& queue, core::time_point now)
    -> void
{
    constexpr auto min_wait = std::chrono::seconds{3};
    constexpr auto report_interval = std::chrono::seconds{1};
    auto const& step = it.job->steps[it.step];
    if (now < next_waiting_report || now - step.ready_since < min_wait)
    {
        return;
    }
    next_waiting_report = now + report_interval;
    auto const& spec = it.job->spec(step);
    auto max_free = std::int64_t{0};
    auto max_available = std::int64_t{0};
    auto suspended = 0;
    auto blocked = 0;
    auto no_contact = 0;
    auto not_stored = 0;
    for (auto const& [id, worker] : workers)
    {
        auto const& info = worker->info;
        if (!worker->in_worker_list || info.draining ||
            info.service != queue.service ||
            drained.contains(info.data_centre) ||
            !has_label(*worker, spec.label))
        {
            continue;
        }
        auto const available = without_short_runs(*worker);
        if (accepts_starts(*worker, now))
        {
            max_free = std::max(max_free, worker->free().cpu_milli);
            max_available = std::max(max_available, available.cpu_milli);
        }
        else if (spec.need.fits_in(available))
        {
            no_contact += worker->contact != contact_state::live ? 1 : 0;
            suspended += now < worker->suspended_until ? 1 : 0;
            blocked += now < worker->starts_blocked_until ? 1 : 0;
            not_stored += worker->in_stored_list ? 0 : 1;
        }
    }
    event(
        "A long-running task waits for a worker.",
        {{"job", it.job->record.plan.id.value},
         {"waited_ms", to_ms(now - step.ready_since)},
         {"cpu_milli", spec.need.cpu_milli},
         {"memory_mb", spec.need.memory_mb},
         {"label", spec.label},
         {"largest_free_milli", max_free},
         {"largest_without_short_milli", max_available},
         {"suspended", suspended},
         {"blocked", blocked},
         {"no_contact", no_contact},
         {"not_stored", not_stored}});
}

// Reserves a worker for a long-running task that fits nowhere: short tasks on
// it may finish, and those of lower priority are evicted if that frees enough
// capacity.
auto dispatcher::implementation::reserve_worker(
    ready_step const& it, queue_config const& queue, core::time_point now)
    -> bool
{
    auto const& spec = it.job->spec(it.job->steps[it.step]);
    auto const candidates = startable_workers_for(queue);
    auto& room = room_of(queue, spec.label).without_short;
    if (!room)
    {
        totals.workers_considered += candidates.size();
        room.emplace();
        for (auto const* const worker : candidates)
        {
            if (now >= worker->reserved_until && has_label(*worker, spec.label))
            {
                raise(*room, without_short_runs(*worker));
            }
        }
    }
    if (!spec.need.fits_in(*room))
    {
        return false;
    }
    totals.workers_considered += candidates.size();
    auto* best = static_cast<dispatch_worker*>(nullptr);
    auto max_free = std::int64_t{-1};
    for (auto* const worker : candidates)
    {
        if (now < worker->reserved_until || !has_label(*worker, spec.label))
        {
            continue;
        }
        auto const free = worker->free().cpu_milli;
        if (free > max_free && spec.need.fits_in(without_short_runs(*worker)))
        {
            best = worker;
            max_free = free;
        }
    }
    if (best == nullptr)
    {
        return false;
    }
    best->reserved_until = now + reservation_time;
    room.reset();
    evict_for(*best, spec, queue);
    event(
        "A worker is reserved for a long-running task.",
        {{"worker", best->info.worker.value},
         {"job", it.job->record.plan.id.value},
         {"free_milli", max_free}});
    return true;
}

auto dispatcher::implementation::is_short(run_entry const& run) -> bool
{
    return run.job && !run.job->spec(run.job->step_of(run.task)).long_running;
}

auto dispatcher::implementation::without_short_runs(
    dispatch_worker const& worker) -> core::resources
{
    auto result = worker.free();
    for (auto const& run : worker.runs)
    {
        result += is_short(run) ? run.need : core::resources{};
    }
    return result;
}

auto dispatcher::implementation::evict_for(
    dispatch_worker& worker, plan_step const& spec, queue_config const& queue)
    -> void
{
    auto const may_evict = [&](run_entry const& run)
    {
        auto const* const other =
            is_short(run) ? find_queue(*run.job) : nullptr;
        return other != nullptr && other->priority > queue.priority;
    };
    auto available = worker.free();
    for (auto const& run : worker.runs)
    {
        available += may_evict(run) ? run.need : core::resources{};
    }
    if (!spec.need.fits_in(available))
    {
        return; // Short tasks of the same priority have to end as well.
    }
    available = worker.free();
    for (auto& run : worker.runs)
    {
        if (spec.need.fits_in(available) || !may_evict(run))
        {
            continue;
        }
        available += run.need;
        run.stop_requested = true;
        ++totals.evictions;
    }
}

auto dispatcher::implementation::add_stop_orders(core::time_point now) -> void
{
    auto pending = count_pending_stops(now);
    for (auto const& [id, worker] : workers)
    {
        for (auto& run : worker->runs)
        {
            if (!run.stop_requested || run.waits_for_store)
            {
                continue;
            }
            auto const retry = run.stop_confirmed_at
                                   ? settings.stop_time + stop_overrun
                                   : core::duration{stop_retry};
            if (run.stop_sent_at && now - *run.stop_sent_at < retry)
            {
                continue;
            }
            if (pending >= settings.max_pending_stops)
            {
                schedule_due = true;
                return;
            }
            ++pending;
            run.stop_sent_at = now;
            run.stop_pending = true;
            run.stop_confirmed_at.reset();
            orders.push_back(
                make_order(*worker, run, run_order_kind::stop, now));
        }
    }
}

} // namespace godwitcleat::state
