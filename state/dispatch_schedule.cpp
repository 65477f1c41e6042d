/** @file dispatch_schedule.cpp Which tasks start next, and where. */
#include "state/dispatch_internal.hpp"

#include <algorithm>
#include <limits>

namespace godwitcleat::state
{

namespace
{

// Placing is bounded by the rate at which room becomes free; a pause gathers
// several ends into one pass.
constexpr auto schedule_interval = std::chrono::milliseconds{8};
constexpr auto start_margin = std::chrono::milliseconds{150};
// Looks at workers that may be spent on steps that use spare processors and fit
// nowhere. Trying each of 500 such steps on 350 workers in each pass took a
// third of a core; a look takes 0.15 us, and control may cost 2.7% of a core.
constexpr auto looks_per_s = std::int64_t{150'000};
// A start needs a round trip to a worker in another data centre.
constexpr auto least_start_validity = std::chrono::milliseconds{250};
constexpr auto stop_retry = std::chrono::milliseconds{400};
constexpr auto stop_overrun = std::chrono::milliseconds{1000};
// Room that was made for a serving task is kept for it this long.
constexpr auto reservation = std::chrono::milliseconds{2500};
constexpr auto runs_per_term = std::uint64_t{1000};
// Up to this multiple of its objective a job still earns a part.
constexpr auto late_factor = 3;

// While less than this share of all processors is committed, a task that uses
// spare processors is placed without regard to the expected disturbance after
// it has waited for this long; the pace then keeps it in check.
constexpr auto mostly_free_percent = 55;
constexpr auto longest_wait = std::chrono::milliseconds{1500};

// Costs of a placement; the worker with the lowest sum is taken.
constexpr auto avoided_cost = 1000.0;
constexpr auto far_cost = 100.0;
constexpr auto beside_filling_cost = 0.3;
// Above the largest share of spare processors.
constexpr auto beside_serving_cost = 1.0;
constexpr auto suspicion_cost = 10.0;

/** Order in which steps get room; lower first. */
struct step_rank
{
    std::uint32_t group = 0; ///< 0: runs on and on, 1: in time, 2: late, 3.
    std::uint32_t priority = 0;
    std::uint32_t begun = 1; ///< 0: a start was ordered for the job already.
    std::int64_t order_ms = 0;

    auto operator<=>(step_rank const&) const = default; // NOLINT
};

auto rank_of(
    job_entry const& job, step_entry const& step, queue_config const& queue,
    double run_factor, std::int64_t now_ms) -> step_rank
{
    auto const& spec = job.spec(step);
    auto const begin = std::max(job.record.accepted_ms, step.due_ms);
    if (spec.long_running)
    {
        return {0, queue.priority, 0, begin};
    }
    auto const objective =
        static_cast<std::int64_t>(
            queue.stretch * static_cast<double>(job.chain_ms)) +
        queue.allowance_ms;
    auto const end =
        now_ms + static_cast<std::int64_t>(
                     run_factor * static_cast<double>(job.tail_ms[step.step]));
    auto const due = begin + objective;
    auto const begun = job.ordered || job.started ? 0U : 1U;
    if (end <= due)
    {
        return {1, queue.priority, begun, due};
    }
    auto const late = begin + late_factor * objective;
    return {end <= late ? 2U : 3U, queue.priority, begun, due};
}

} // namespace

auto dispatcher::implementation::take_orders(core::time_point now)
    -> std::vector<run_order>
{
    latest = now;
    if (schedule_due && now >= next_schedule)
    {
        next_schedule = now + schedule_interval;
        schedule_due = start_validity(now) < least_start_validity;
        if (!schedule_due)
        {
            schedule(now);
        }
        add_stop_orders(now);
    }
    return std::exchange(orders, {});
}

// Returns how long a start that is sent now may be carried out.
auto dispatcher::implementation::start_validity(core::time_point now) const
    -> core::duration
{
    return std::min(settings.start_validity, start_limit - now);
}

auto dispatcher::implementation::schedule(core::time_point now) -> void
{
    std::erase_if(
        ready_steps,
        [](ready_step const& it)
        {
            auto& step = it.job->steps[it.step];
            step.listed = !step.ready.empty();
            return !step.listed;
        });
    auto const now_ms = hooks.unix_ms();
    auto ranked = std::vector<std::pair<step_rank, std::size_t>>{};
    ranked.reserve(ready_steps.size());
    for (auto i = std::size_t{0}; i < ready_steps.size(); ++i)
    {
        auto const& it = ready_steps[i];
        auto const& step = it.job->steps[it.step];
        auto const* const queue = find_queue(*it.job);
        if (queue != nullptr && step.due_ms <= now_ms && !queue->needs_advice)
        {
            ranked.emplace_back(
                rank_of(
                    *it.job, step, *queue, it.job->queue->run_factor, now_ms),
                i);
        }
    }
    std::sort(ranked.begin(), ranked.end());
    mostly_free = is_mostly_free();
    find_startable(now);
    unfit_kinds = unfit.size();
    std::erase_if(unfit, [now](auto const& it) { return now >= it.until; });
    auto reserved = static_cast<std::size_t>(std::count_if(
        workers.begin(), workers.end(),
        [now](auto const& it) { return now < it.second->reserved_until; }));
    for (auto const& [rank, i] : ranked)
    {
        auto const it = ready_steps[i];
        auto const& step = it.job->steps[it.step];
        auto const& spec = it.job->spec(step);
        if (is_unfit(*it.job, step, now))
        {
            continue;
        }
        auto const placed =
            spec.gang ? place_gang(it, now) : place_step(it, now);
        if (placed)
        {
            continue;
        }
        note_unfit(*it.job, step, now);
        if (spec.long_running)
        {
            auto const waiting = step.ready.size();
            auto const& queue = *find_queue(*it.job);
            while (reserved < waiting && make_room(it, queue, now))
            {
                ++reserved;
            }
            reserved -= std::min(reserved, waiting);
        }
    }
}

auto dispatcher::implementation::find_startable(core::time_point now) -> void
{
    for (auto& [service, found] : startable)
    {
        found.clear();
    }
    for (auto const& [id, worker] : workers)
    {
        if (may_start(*worker, now))
        {
            startable[worker->info.service].push_back(worker.get());
        }
    }
}

auto dispatcher::implementation::startable_for(queue_config const& queue) const
    -> std::span<dispatch_worker* const>
{
    auto const it = startable.find(queue.service);
    return it == startable.end() ? std::span<dispatch_worker* const>{}
                                 : std::span{it->second};
}

// A job must not wait for undisturbed room for ever.
auto dispatcher::implementation::waits_long(
    job_entry const& job, step_entry const& step, core::time_point now) const
    -> bool
{
    return mostly_free && job.bound == 0 &&
           now - step.ready_since >= longest_wait;
}

auto dispatcher::implementation::is_unfit(
    job_entry const& job, step_entry const& step, core::time_point now) const
    -> bool
{
    auto const& spec = job.spec(step);
    // A step that has waited long is placed by a rule of its own.
    if (unfit.empty() || spec.gang || spec.long_running ||
        (spec.uses_spare_cpu && waits_long(job, step, now)))
    {
        return false;
    }
    auto const& service = find_queue(job)->service;
    return std::any_of(
        unfit.begin(), unfit.end(),
        [&](unfit_need const& it)
        {
            return it.uses_spare_cpu == spec.uses_spare_cpu &&
                   (!spec.uses_spare_cpu || it.task_class == step.task_class) &&
                   it.need.fits_in(spec.need) && it.service == service;
        });
}

auto dispatcher::implementation::note_unfit(
    job_entry const& job, step_entry const& step, core::time_point now) -> void
{
    auto const& spec = job.spec(step);
    auto const is_plain = spec.label.empty() && !spec.gang &&
                          !spec.long_running && spec.most_per_worker == 0;
    auto const patient = spec.uses_spare_cpu && waits_long(job, step, now);
    if (!is_plain || patient)
    {
        return;
    }
    auto it = unfit_need{};
    it.service = find_queue(job)->service;
    it.task_class = step.task_class;
    it.uses_spare_cpu = spec.uses_spare_cpu;
    it.need = spec.need;
    // Others wait for committed processors, which may become free at any time.
    it.until = now;
    if (spec.uses_spare_cpu)
    {
        auto const kinds = std::max(unfit_kinds, unfit.size() + 1);
        auto const looks = static_cast<std::int64_t>(
            kinds * startable_for(*find_queue(job)).size());
        it.until +=
            core::duration{std::chrono::seconds{1}} * looks / looks_per_s;
    }
    unfit.push_back(std::move(it));
}

auto dispatcher::implementation::is_mostly_free() const -> bool
{
    auto used = std::int64_t{0};
    auto capacity = std::int64_t{0};
    for (auto const& [id, worker] : workers)
    {
        used += worker->listed ? worker->used.cpu_milli : 0;
        capacity += worker->listed ? worker->info.capacity.cpu_milli : 0;
    }
    return used * 100 < capacity * mostly_free_percent;
}

auto dispatcher::implementation::may_start(
    dispatch_worker const& worker, core::time_point now) const -> bool
{
    return worker.listed && worker.stored &&
           worker.contact == contact_state::live && !worker.info.draining &&
           now >= worker.blocked_until && now >= worker.suspended_until &&
           !drained.contains(worker.info.data_centre);
}

auto dispatcher::implementation::choose_worker(
    job_entry& job, step_entry& step, dispatch_task const& task,
    queue_config const& queue, core::time_point now) -> dispatch_worker*
{
    auto const& spec = job.spec(step);
    auto need = spec.need;
    if (spec.uses_spare_cpu)
    {
        need.cpu_milli = 0;
    }
    auto const patient = spec.uses_spare_cpu && waits_long(job, step, now);
    auto* best = static_cast<dispatch_worker*>(nullptr);
    auto best_cost = std::numeric_limits<double>::max();
    auto const candidates = startable_for(queue);
    totals.worker_looks += candidates.size();
    for (auto* const worker : candidates)
    {
        auto const& info = worker->info;
        auto const free = worker->free();
        if (!need.fits_in(free) ||
            (!spec.label.empty() && !info.labels.contains(spec.label)))
        {
            continue;
        }
        if (now < worker->reserved_until && !spec.long_running)
        {
            continue;
        }
        if (spec.uses_spare_cpu &&
            !bears(*worker, spec, step.task_class, patient, now))
        {
            continue;
        }
        // A worker whose runs failed gets one trial at a time.
        if (worker->suspicion > 1 && !worker->runs.empty())
        {
            continue;
        }
        if (spec.most_per_worker > 0)
        {
            auto const same = std::count_if(
                worker->runs.begin(), worker->runs.end(),
                [&](run_entry const& it)
                {
                    return it.name.job == job.record.plan.id &&
                           it.name.step == step.step &&
                           it.name.occurrence == step.occurrence;
                });
            if (same >= static_cast<std::ptrdiff_t>(spec.most_per_worker))
            {
                continue;
            }
        }
        auto const capacity =
            std::max<double>(1.0, static_cast<double>(info.capacity.cpu_milli));
        auto const left =
            static_cast<double>(free.cpu_milli - spec.need.cpu_milli) /
            capacity;
        // Serving and other tasks are packed, which leaves whole workers to
        // filling tasks; those are spread.
        auto cost = left;
        if (spec.uses_spare_cpu)
        {
            cost = disturbance(*worker, spec, step.task_class) -
                   static_cast<double>(worker->spare_cpu) / capacity +
                   (worker->serving > 0 ? beside_serving_cost : 0.0);
        }
        else if (spec.tail_target_ms > 0 && worker->spare_runs > 0)
        {
            cost += beside_filling_cost;
        }
        cost += info.worker == task.avoided ? avoided_cost : 0.0;
        cost += suspicion_cost * worker->suspicion;
        if (!spec.near_rack.empty() && info.rack != spec.near_rack)
        {
            cost += far_cost;
        }
        if (cost < best_cost)
        {
            best = worker;
            best_cost = cost;
        }
    }
    return best;
}

auto dispatcher::implementation::place_step(
    ready_step const& it, core::time_point now) -> bool
{
    auto& job = *it.job;
    auto& step = job.steps[it.step];
    auto const* const queue = find_queue(job);
    auto const waiting = step.ready.size();
    auto const note = [&]
    {
        if (step.ready.size() < waiting)
        {
            event(
                "Tasks start.", {{"job", job.record.plan.id.value},
                                 {"step", step.step},
                                 {"tasks", waiting - step.ready.size()},
                                 {"still_waiting", step.ready.size()},
                                 {"waited_ms", to_ms(now - step.ready_since)}});
        }
    };
    while (!step.ready.empty())
    {
        auto const index = step.ready.back();
        auto& task = job.tasks[index];
        auto* const worker = choose_worker(job, step, task, *queue, now);
        if (worker == nullptr)
        {
            note();
            return false;
        }
        step.ready.pop_back();
        start(it.job, index, *worker, next_run(job, task), now);
    }
    note();
    return true;
}

auto dispatcher::implementation::place_gang(
    ready_step const& it, core::time_point now) -> bool
{
    auto& job = *it.job;
    auto& step = job.steps[it.step];
    auto const* const queue = find_queue(job);
    if (step.ready.size() != step.open)
    {
        return true; // Members of the former run are not over yet.
    }
    // Room is taken tentatively, so that members do not share it.
    auto chosen = std::vector<dispatch_worker*>{};
    auto const need = job.spec(step).need;
    for (auto const index : step.ready)
    {
        auto* const worker =
            choose_worker(job, step, job.tasks[index], *queue, now);
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
    if (chosen.size() != step.ready.size())
    {
        return false;
    }
    auto run = run_number{};
    for (auto const index : step.ready)
    {
        run = std::max(run, next_run(job, job.tasks[index]));
    }
    auto const members = std::exchange(step.ready, {});
    for (auto i = std::size_t{0}; i < members.size(); ++i)
    {
        start(it.job, members[i], *chosen[i], run, now);
    }
    return true;
}

auto dispatcher::implementation::next_run(
    job_entry const& job, dispatch_task const& task) const -> run_number
{
    // Runs of a former owner that this one has not seen are lower.
    auto const terms = term.value - job.record.accepted_in.value;
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
    job->ordered = true;
    ++job->bound;
    ++totals.starts;
    auto run = plan_run(job, index, number, now);
    worker.used += run.need;
    worker.serving += run.tail_target_ms > 0 ? 1 : 0;
    worker.spare_runs += run.uses_spare_cpu ? 1 : 0;
    worker.lease_until = std::max(worker.lease_until, run.startable_until);
    if (job->spec(job->step_of(index)).long_running)
    {
        worker.reserved_until = core::time_point{};
    }
    auto order = order_for(worker, run, run_order_kind::start);
    order.command = job->record.plan.command;
    order.checkpoint = run.checkpoint;
    order.deadline_ms = clock_of(worker, now) + to_ms(start_validity(now));
    orders.push_back(std::move(order));
    worker.runs.push_back(std::move(run));
    worker.assessed = false;
}

auto dispatcher::implementation::plan_run(
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
    run.ordered_at = now;
    run.percent_at = now;
    run.paced_at = now;
    run.startable_until =
        now + with_drift(settings.start_validity) + start_margin;
    run.checkpoint = job->tasks[spec.gang ? step.first : index].checkpoint;
    return run;
}

auto dispatcher::implementation::order_for(
    dispatch_worker const& worker, run_entry const& run, run_order_kind kind)
    -> run_order
{
    auto order = run_order{};
    order.kind = kind;
    order.worker = worker.info.worker;
    order.address = worker.info.address;
    order.token = token_of(worker);
    order.task = run.name;
    order.run = run.run;
    return order;
}

// Reserves a worker for a long-running task that fits nowhere: short tasks
// there run out, and those of lower priority are evicted if that makes enough
// room.
auto dispatcher::implementation::make_room(
    ready_step const& it, queue_config const& queue, core::time_point now)
    -> bool
{
    auto const& spec = it.job->spec(it.job->steps[it.step]);
    auto* best = static_cast<dispatch_worker*>(nullptr);
    auto most_free = std::int64_t{-1};
    for (auto* const worker : startable_for(queue))
    {
        if (now < worker->reserved_until ||
            (!spec.label.empty() && !worker->info.labels.contains(spec.label)))
        {
            continue;
        }
        auto room = worker->free();
        for (auto const& run : worker->runs)
        {
            room += is_short(run) ? run.need : core::resources{};
        }
        auto const free = worker->free().cpu_milli;
        if (spec.need.fits_in(room) && free > most_free)
        {
            best = worker;
            most_free = free;
        }
    }
    if (best == nullptr)
    {
        return false;
    }
    best->reserved_until = now + reservation;
    evict_for(*best, spec, queue);
    event(
        "A worker is reserved for a long-running task.",
        {{"worker", best->info.worker.value},
         {"job", it.job->record.plan.id.value},
         {"free_milli", most_free}});
    return true;
}

auto dispatcher::implementation::is_short(run_entry const& run) -> bool
{
    return run.job && !run.job->spec(run.job->step_of(run.task)).long_running;
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
    auto room = worker.free();
    for (auto const& run : worker.runs)
    {
        room += may_evict(run) ? run.need : core::resources{};
    }
    if (!spec.need.fits_in(room))
    {
        return; // The short tasks of the same priority have to end as well.
    }
    room = worker.free();
    for (auto& run : worker.runs)
    {
        if (spec.need.fits_in(room) || !may_evict(run))
        {
            continue;
        }
        room += run.need;
        run.stop_wanted = true;
        ++totals.evictions;
    }
}

auto dispatcher::implementation::add_stop_orders(core::time_point now) -> void
{
    for (auto const& [id, worker] : workers)
    {
        for (auto& run : worker->runs)
        {
            if (!run.stop_wanted)
            {
                continue;
            }
            auto const retry = run.stop_confirmed
                                   ? settings.stop_time + stop_overrun
                                   : core::duration{stop_retry};
            if (run.stop_sent && now - *run.stop_sent < retry)
            {
                continue;
            }
            run.stop_sent = now;
            run.stop_confirmed.reset();
            orders.push_back(order_for(*worker, run, run_order_kind::stop));
        }
    }
}

} // namespace godwitcleat::state
