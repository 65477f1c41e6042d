/** @file dispatch_workers.cpp Contact with the workers and their leases. */
#include "state/dispatch_internal.hpp"

#include <algorithm>
#include <cstdlib>

namespace godwitcleat::state
{

namespace
{

// Tokens of one term; each restart of a worker uses the next one.
constexpr auto tokens_per_term = std::uint64_t{1000};
constexpr auto lease_margin = std::chrono::milliseconds{250};
// Workers with both serving and best-effort runs are polled more often.
constexpr auto shared_hold_wait =
    core::duration{std::chrono::milliseconds{400}};
// Far below the minimum time in which a lease may lapse, so that it is renewed
// in time.
constexpr auto lost_contact_pause = std::chrono::milliseconds{150};
// Pause between holds until the store allows the renewal of the lease.
constexpr auto unrenewed_pause = std::chrono::milliseconds{50};
// If even the fastest answer of an interval took longer, the owner is behind
// with processing them. The pauses between holds then grow by a step, else they
// shrink by half of it.
constexpr auto acceptable_answer_time = std::chrono::milliseconds{50};
constexpr auto poll_adaptation_interval = std::chrono::milliseconds{100};
constexpr auto poll_pause_step = core::duration{std::chrono::milliseconds{40}};
constexpr auto max_extra_poll_pause =
    core::duration{std::chrono::milliseconds{600}};
// The wait of a hold and the pause after it take at most this part of a lease,
// so that the next hold renews it even if the answer is late.
constexpr auto max_cycle_percent = 50;
// Contact is often regained sooner; naming the tasks of a worker in the store
// costs a write, and another one before its next start.
constexpr auto min_lost_time = std::chrono::milliseconds{500};
// A new owner needs some time to call all workers of a large fleet.
constexpr auto first_contact_time = std::chrono::seconds{1};
constexpr auto lease_update_interval = std::chrono::seconds{2};
constexpr auto unanswered_pause = std::chrono::milliseconds{300};
constexpr auto rejected_pause = std::chrono::milliseconds{300};
// Runs are stopped this long before their worker leaves; stopping one and
// saving its checkpoint take this long.
constexpr auto leave_margin = std::chrono::milliseconds{900};
// How long the runs of a forgotten worker are kept.
constexpr auto max_absence = std::chrono::seconds{60};
constexpr auto unhealthy_pause = std::chrono::milliseconds{500};
// Added to a run number that a worker has rejected as old, so that the next run
// exceeds all earlier ones there.
constexpr auto run_number_jump = std::uint64_t{10};
// Readings of one clock differ by less: answers take time, and it may drift.
constexpr auto max_clock_deviation_ms = std::int64_t{3000};

} // namespace

auto expected_process::may_have_told(
    std::int64_t told_started_ms, std::int64_t told_clock_ms,
    core::duration age) const -> bool
{
    return told_started_ms == started_ms &&
           told_clock_ms + to_ms(with_drift(age)) >= min_clock_ms &&
           told_clock_ms + to_ms(less_drift(age)) <= max_clock_ms;
}

auto known_process::expected(
    core::time_point from, core::time_point until) const -> expected_process
{
    // Readings are whole milliseconds, rounded down.
    return {
        started_ms, clock_ms + to_ms(less_drift(from - answered_at)),
        clock_ms + to_ms(with_drift(until - asked_at)) + 1};
}

auto dispatcher::implementation::set_workers(
    std::span<listed_worker const> listed, core::time_point now) -> void
{
    worker_list_known = true;
    schedule_due = true;
    for (auto& [id, worker] : workers)
    {
        worker->in_worker_list = false;
    }
    for (auto const& info : listed)
    {
        auto& worker = workers[info.worker];
        if (!worker)
        {
            worker = std::make_unique<dispatch_worker>();
            begin_session(*worker);
            worker->next_hold_at = now;
            recall(*worker, info.worker);
            worker->lost_at = now;
            worker->may_have_unknown_runs = recovering && !stored_list_readable;
            if (worker->may_have_unknown_runs)
            {
                worker->lease_until = recovery_until;
            }
            worker_list_changed = true;
        }
        if (!worker->info.address.empty() &&
            worker->info.address != info.address)
        {
            lose_contact(*worker, now);
            worker->in_stored_list = false;
            worker_list_changed = true;
        }
        // Its runs may be of jobs that the stored service does not show.
        if (!worker->info.address.empty() &&
            worker->info.service != info.service)
        {
            worker->had_other_service = true;
            worker->in_stored_list = false;
            worker_list_changed = true;
        }
        if (worker->info.capacity != info.capacity)
        {
            worker->estimates_valid = false;
        }
        worker->info = info;
        worker->in_worker_list = true;
        if (!info.draining)
        {
            if (std::exchange(worker->drain_seen_at, std::nullopt))
            {
                worker->drain_lifted_at = now;
                lift_restriction(*worker, now);
            }
        }
        else if (!worker->drain_seen_at)
        {
            worker->drain_seen_at = now;
        }
        // The process that replaces it may be listed before its runs end.
        for (auto& run : worker->runs)
        {
            run.drain_seen = run.drain_seen || info.draining;
        }
        update_retired(*worker, now);
    }
    forget_lost_workers(now);
    update_capacity();
    if (worker_list_changed)
    {
        commit_at(now);
    }
}

// Lets the worker get starts again once the store names it without tasks.
auto dispatcher::implementation::lift_restriction(
    dispatch_worker& worker, core::time_point now) -> void
{
    if (worker.stored_with_tasks && !std::exchange(worker.lift_pending, true))
    {
        worker.in_stored_list = false;
        worker_list_changed = true;
        commit_at(now);
    }
}

auto dispatcher::implementation::update_retired(
    dispatch_worker& worker, core::time_point now) -> void
{
    auto const retires =
        worker.info.draining && worker.runs.empty() &&
        (worker.retired ||
         (worker.contact == contact_state::live && worker.all_ends_stored()));
    if (worker.retired != retires)
    {
        worker.retired = retires;
        worker.in_stored_list = false;
        worker_list_changed = true;
        commit_at(retires ? now + settings.commit_delay : now);
    }
}

// Returns the tasks that may run on a worker that drains or has no contact:
// nothing is started there. Unset if others may run there.
auto dispatcher::implementation::possible_tasks(
    dispatch_worker const& worker, core::time_point now) const
    -> std::optional<std::vector<task_name>>
{
    if (worker.may_have_unknown_runs)
    {
        return worker.former_tasks;
    }
    auto const lost =
        worker.lost_at &&
        (!worker.in_worker_list || now - *worker.lost_at >= min_lost_time);
    auto const gets_starts = !worker.drain_seen_at && !lost;
    if (gets_starts || !worker.all_ends_stored())
    {
        return std::nullopt;
    }
    auto result = std::vector<task_name>{};
    for (auto const& run : worker.runs)
    {
        result.push_back(run.name);
    }
    return result;
}

auto dispatcher::implementation::update_stored_tasks(
    dispatch_worker& worker, core::time_point now) -> void
{
    if (worker.may_have_runs() && !worker.stored_with_tasks &&
        possible_tasks(worker, now))
    {
        worker_list_changed = true;
        auto const has_left = worker.lost_at && !worker.in_worker_list;
        commit_at(has_left ? now : now + settings.commit_delay);
    }
    // The earlier its lease is known not to be renewed, the sooner a new owner
    // starts the tasks elsewhere.
    if (worker.contact == contact_state::live && worker.may_have_runs() &&
        worker.is_emptied() != worker.stored_with_lease &&
        !worker_list_in_flight)
    {
        worker_list_changed = true;
        commit_at(now);
    }
}

auto dispatcher::implementation::lease_left(
    dispatch_worker const& worker, core::time_point now) const
    -> std::optional<core::duration>
{
    auto const is_lost =
        worker.lost_at && now - *worker.lost_at >= min_lost_time;
    auto const never_answered =
        worker.may_have_unknown_runs && now - loaded_at >= first_contact_time;
    auto const is_silent =
        worker.contact == contact_state::none && (is_lost || never_answered);
    if (!is_silent && !worker.is_emptied())
    {
        return std::nullopt;
    }
    return std::max(core::duration{}, worker.lease_until - now);
}

auto dispatcher::implementation::update_stored_leases(core::time_point now)
    -> void
{
    if (now < next_lease_update)
    {
        return;
    }
    next_lease_update = now + lease_update_interval;
    auto const any_left = std::any_of(
        workers.begin(), workers.end(),
        [&](auto const& it)
        {
            auto const left = lease_left(*it.second, now);
            return it.second->contact == contact_state::none &&
                   it.second->may_have_runs() && left > core::duration{};
        });
    if (any_left)
    {
        worker_list_changed = true;
        commit_at(now + settings.commit_delay);
    }
}

auto dispatcher::implementation::forget_lost_workers(core::time_point now)
    -> void
{
    std::erase_if(
        workers,
        [&](auto const& it)
        {
            auto const& worker = *it.second;
            auto const lost = !worker.in_worker_list && worker.runs.empty() &&
                              !worker.hold_in_flight &&
                              now > worker.lease_until;
            if (lost)
            {
                worker_list_changed = true;
                commit_at(now + settings.commit_delay);
                remember(*it.second, now);
            }
            return lost;
        });
    for (auto& [id, it] : former_workers)
    {
        if (now > it.kept_until)
        {
            it.lapsed_runs.clear();
        }
    }
    std::erase_if(
        former_workers, [&](auto const& it)
        { return it.second.restarts == 0 && now > it.second.kept_until; });
}

auto dispatcher::implementation::remember(
    dispatch_worker& worker, core::time_point now) -> void
{
    if (worker.restarts == 0 && !worker.process)
    {
        return;
    }
    auto& it = former_workers[worker.info.worker];
    it.restarts = worker.restarts;
    it.process = worker.process;
    it.heard_at = worker.clock_at;
    it.service = worker.info.service;
    it.data_centre = worker.info.data_centre;
    it.lost_at = worker.possible_crash_since();
    it.drain_lifted_at =
        worker.drain_seen_at ? std::optional{now} : worker.drain_lifted_at;
    it.lapsed_runs = std::move(worker.lapsed_runs);
    it.kept_until = now + max_absence;
}

auto dispatcher::implementation::recall(
    dispatch_worker& worker, core::worker_id const& id) -> void
{
    auto const it = former_workers.find(id);
    if (it == former_workers.end())
    {
        return;
    }
    worker.restarts = it->second.restarts;
    worker.process = it->second.process;
    worker.clock_at = it->second.heard_at;
    worker.known_since = it->second.heard_at;
    worker.drain_lifted_at = it->second.drain_lifted_at;
    worker.lapsed_runs = std::exchange(it->second.lapsed_runs, {});
}

auto dispatcher::implementation::find_worker(core::worker_id const& id)
    -> dispatch_worker*
{
    auto const it = workers.find(id);
    return it == workers.end() ? nullptr : it->second.get();
}

auto dispatcher::implementation::token_of(dispatch_worker const& worker) const
    -> fencing_token
{
    return fencing_token{term.value * tokens_per_term + worker.restarts};
}

auto dispatcher::implementation::clock_of(
    dispatch_worker const& worker, core::time_point now) const -> std::int64_t
{
    return worker.clock_ms + to_ms(now - worker.clock_at);
}

auto dispatcher::implementation::take_holds(core::time_point now)
    -> std::vector<hold_order>
{
    auto result = std::vector<hold_order>{};
    for (auto& [id, worker] : workers)
    {
        auto const needs_hold = worker->in_worker_list ||
                                !worker->runs.empty() ||
                                (!worker->exited && now <= worker->lease_until);
        if (needs_hold && !worker->hold_in_flight &&
            now >= worker->next_hold_at)
        {
            result.push_back(make_hold(*worker, now));
        }
    }
    return result;
}

auto dispatcher::implementation::make_hold(
    dispatch_worker& worker, core::time_point now) -> hold_order
{
    auto order = make_order_to<hold_order>(worker, now);
    order.sent_at = now;
    order.session = worker.session;
    worker.hold_in_flight = true;
    if (worker.contact == contact_state::none)
    {
        order.process.reset();
        return order;
    }
    auto const length = lease_length(now);
    if (!worker.stored_with_lease && length > core::duration{})
    {
        order.deadline_ms = clock_of(worker, now) + to_ms(length);
        worker.lease_until = std::max(
            worker.lease_until, now + with_drift(length) + lease_margin);
    }
    if (worker.contact == contact_state::live)
    {
        while (!worker.unacknowledged_ends.empty())
        {
            auto const& it = worker.unacknowledged_ends.front();
            if (!it.is_stored())
            {
                break;
            }
            worker.acknowledged = it.number;
            worker.unacknowledged_ends.pop_front();
        }
        order.acknowledged = worker.acknowledged;
        auto const is_shared =
            worker.serving_runs > 0 && worker.best_effort_runs > 0;
        order.wait = is_shared ? std::min(settings.hold_wait, shared_hold_wait)
                               : settings.hold_wait;
        // The next hold renews the lease; answers may be late as well.
        auto const max_wait =
            settings.lease_limit * max_cycle_percent / 100 - extra_poll_pause;
        order.wait = std::max(core::duration{}, std::min(order.wait, max_wait));
        if (worker.stored_with_lease && !worker.is_emptied())
        {
            order.wait = core::duration{}; // To renew its lease soon.
        }
    }
    return order;
}

auto dispatcher::implementation::adapt_poll_pause(core::time_point now) -> void
{
    if (now < next_poll_adaptation)
    {
        return;
    }
    next_poll_adaptation = now + poll_adaptation_interval;
    auto const answer_time = std::exchange(min_answer_time, std::nullopt);
    extra_poll_pause =
        answer_time > acceptable_answer_time
            ? std::min(max_extra_poll_pause, extra_poll_pause + poll_pause_step)
            : std::max(
                  core::duration{}, extra_poll_pause - poll_pause_step / 2);
}

auto dispatcher::implementation::lose_contact(
    dispatch_worker& worker, core::time_point now) -> void
{
    if (worker.contact != contact_state::none)
    {
        worker.lost_at = now;
    }
    worker.contact = contact_state::none;
    begin_session(worker);
    worker.next_hold_at = now + lost_contact_pause;
}

auto dispatcher::implementation::hold_answered(
    hold_order const& order, order_result result,
    std::optional<worker_lists> const& lists, core::time_point now) -> bool
{
    auto* const worker = find_worker(order.worker);
    if (worker == nullptr)
    {
        return result != order_result::fenced;
    }
    auto const is_void = order.session != worker->session;
    if (!is_void)
    {
        worker->hold_in_flight = false;
    }
    if (result == order_result::fenced)
    {
        worker->next_hold_at = now + lost_contact_pause;
        return order.token != token_of(*worker);
    }
    if (is_void)
    {
        return true;
    }
    if (result != order_result::accepted || !lists)
    {
        if (worker->contact != contact_state::none)
        {
            event(
                "Contact with a worker was lost.",
                {{"worker", order.worker.value},
                 {"result", to_string(result)},
                 {"runs", worker->runs.size()}});
        }
        lose_contact(*worker, now);
        // An entry of another writer may name an address where the worker has
        // never been.
        auto const is_its_address = order.address == worker->info.address &&
                                    (worker->answered_address.empty() ||
                                     worker->answered_address == order.address);
        // A refused connection proves no exit, even of a worker that is not
        // listed: a network that is cut off with resets looks the same.
        if (is_its_address && result == order_result::other_worker)
        {
            handle_exit(*worker, now);
        }
        return true;
    }
    process_lists(*worker, order, *lists, now);
    return true;
}

// Another worker answers at its address.
auto dispatcher::implementation::handle_exit(
    dispatch_worker& worker, core::time_point now) -> void
{
    auto const may_have_had_runs = worker.may_have_runs();
    if (!std::exchange(worker.exited, true))
    {
        event(
            "The process of a worker has ended.",
            {{"worker", worker.info.worker.value},
             {"runs", worker.runs.size()}});
        worker.may_have_unknown_runs = false;
        add_crash(worker, worker.clock_at, now);
    }
    for (auto i = worker.runs.size(); i-- > 0;)
    {
        auto const& run = worker.runs[i];
        if (run.waits_for_store)
        {
            retry_run(worker, i, now);
        }
        // A start without an answer may reach the process that replaces it.
        else if (
            run.seen_running || run.start_confirmed_at ||
            now > run.startable_until)
        {
            ++totals.runs_lost;
            count_crash(worker, run, now);
            retry_run(worker, i, now);
        }
    }
    if (worker.may_have_runs() != may_have_had_runs)
    {
        worker_list_changed = true;
        commit_at(now + settings.commit_delay);
    }
}

auto dispatcher::implementation::handle_restart(
    dispatch_worker& worker, known_process const& heard, core::time_point now)
    -> void
{
    event(
        "A worker has been restarted.",
        {{"worker", worker.info.worker.value},
         {"runs", worker.runs.size()},
         {"started_ms", heard.started_ms},
         {"former_started_ms", worker.process->started_ms},
         {"clock_ms", heard.clock_ms},
         {"former_clock_ms", clock_of(worker, now)},
         {"lease_left_ms", to_ms(worker.lease_until - now)}});
    // The higher token fences orders that were sent before the restart.
    ++worker.restarts;
    begin_session(worker);
    worker.restarted = true;
    worker.former_heard_at = worker.clock_at;
    worker.set_process(heard);
    add_crash(worker, worker.former_heard_at, now);
    for (auto const& run : std::exchange(worker.lapsed_runs, {}))
    {
        count_crash(worker, run, now);
    }
    worker.unacknowledged_ends.clear();
    worker.ends_complete = true;
    worker.last_processed_end = 0;
    worker.acknowledged = 0;
    worker.contact = contact_state::adopting;
    worker.next_hold_at = now;
}

auto dispatcher::implementation::process_lists(
    dispatch_worker& worker, hold_order const& order, worker_lists const& lists,
    core::time_point now) -> void
{
    auto const heard =
        known_process{lists.started_ms, lists.clock_ms, order.sent_at, now};
    if (worker.process && !worker.process->expected(order.sent_at, now)
                               .may_have_told(heard.started_ms, heard.clock_ms))
    {
        return handle_restart(worker, heard, now);
    }
    if (!worker.process)
    {
        worker.known_since = now;
    }
    worker.set_process(heard);
    worker.lapsed_runs.clear();
    worker.answered_address = order.address;
    ++worker.list_count;
    auto const ends_before = worker.last_processed_end;
    for (auto const& row : lists.ended)
    {
        process_end(worker, row, now);
    }
    for (auto const& row : lists.running)
    {
        process_running(worker, row, now);
    }
    worker.ends_complete = lists.ends_complete;
    // A run that is not listed may be among the ends that are not listed yet.
    if (lists.ends_complete)
    {
        resolve_missing_runs(worker, order.sent_at, now);
        worker.restarted = false;
        worker.may_have_unknown_runs = false;
    }
    worker.lost_at.reset();
    if (std::exchange(worker.exited, false))
    {
        worker.in_stored_list = false;
        worker_list_changed = true;
        commit_at(now);
    }
    if (!worker.drain_seen_at)
    {
        lift_restriction(worker, now);
    }
    if (worker.contact != contact_state::live)
    {
        worker.contact = contact_state::live;
        schedule_due = true;
        worker.next_hold_at = now;
        if (worker.stored_with_lease)
        {
            worker_list_changed = true;
            commit_at(now);
        }
        return;
    }
    if (worker.stored_with_lease && !worker.is_emptied())
    {
        worker.next_hold_at = now + unrenewed_pause;
        return;
    }
    auto const has_new_ends = worker.last_processed_end != ends_before;
    worker.next_hold_at =
        now + extra_poll_pause +
        (has_new_ends ? settings.poll_pause : core::duration{});
    move_stalled_runs(worker, now);
    learn_interference(worker, now);
    add_pace_orders(worker, now);
}

auto dispatcher::implementation::order_answered(
    run_order const& order, order_result result,
    std::optional<std::int64_t> clock_ms, core::time_point now) -> bool
{
    auto* const worker = find_worker(order.worker);
    if (worker == nullptr)
    {
        return result != order_result::fenced;
    }
    if (result == order_result::fenced && order.token == token_of(*worker))
    {
        return false;
    }
    // Each process of the worker has a token of its own.
    auto const is_known_process = order.token == token_of(*worker);
    if (result == order_result::other_process && is_known_process &&
        worker->contact != contact_state::none)
    {
        event(
            "An order has found a worker restarted.",
            {{"worker", order.worker.value}, {"runs", worker->runs.size()}});
        lose_contact(*worker, now);
        worker->next_hold_at = now;
    }
    // A late answer of a former process tells another clock.
    if (clock_ms && is_known_process && worker->contact == contact_state::live)
    {
        auto const expected = clock_of(*worker, now);
        if (std::abs(*clock_ms - expected) > max_clock_deviation_ms)
        {
            event(
                "An order was answered on another clock.",
                {{"worker", order.worker.value},
                 {"job", order.task.job.value},
                 {"step", order.task.step},
                 {"task", order.task.index},
                 {"run", order.run.value},
                 {"result", to_string(result)},
                 {"deadline_ms", order.deadline_ms},
                 {"expected_clock_ms", expected},
                 {"clock_ms", *clock_ms}});
        }
        worker->clock_ms = *clock_ms;
        worker->clock_at = now;
    }
    auto const i = find_run(*worker, order.task, order.run);
    if (!i)
    {
        return true;
    }
    auto& run = worker->runs[*i];
    if (order.kind == run_order_kind::start)
    {
        start_answered(*worker, *i, order, result, now);
    }
    else if (order.kind == run_order_kind::stop)
    {
        run.stop_pending = false;
        if (result == order_result::accepted)
        {
            run.stop_confirmed_at = now;
            worker->next_hold_at = std::min(worker->next_hold_at, now);
        }
    }
    else if (result == order_result::accepted)
    {
        run.confirmed_pace = order.percent;
    }
    return true;
}

auto dispatcher::implementation::start_answered(
    dispatch_worker& worker, std::size_t index, run_order const& order,
    order_result result, core::time_point now) -> void
{
    auto& run = worker.runs[index];
    // One with the same start time may be the same, with a clock that stood
    // still.
    auto const is_of_former_process =
        order.process && worker.process &&
        order.process->started_ms != worker.process->started_ms;
    if (result == order_result::unknown && is_of_former_process)
    {
        // Only the higher token keeps the new process from carrying it out. The
        // first lists under that token tell whether it has.
        auto const may_run =
            worker.restarted || run.last_seen_in_list == worker.list_count;
        if (may_run)
        {
            run.start_pending = false;
            return;
        }
        if (worker.may_have_begun_before_restart(run))
        {
            count_crash(worker, run, now);
        }
        return retry_run(worker, index, now);
    }
    run.start_pending = false;
    switch (result)
    {
    case order_result::accepted:
        run.start_confirmed_at = now;
        window.answered(now - run.ordered_at);
        min_answer_time = std::min(
            min_answer_time.value_or(core::duration::max()),
            now - run.ordered_at);
        if (run.job)
        {
            mark_started(run.job, now);
        }
        return;
    case order_result::unknown:
        ++totals.starts_unknown;
        worker.starts_blocked_until =
            std::max(worker.starts_blocked_until, now + unanswered_pause);
        return;
    case order_result::fenced: return; // Sent before a restart was seen.
    default: break;
    }
    ++totals.starts_rejected;
    event(
        "A start was rejected.", {{"worker", worker.info.worker.value},
                                  {"job", run.name.job.value},
                                  {"step", run.name.step},
                                  {"task", run.name.index},
                                  {"run", run.run.value},
                                  {"result", to_string(result)}});
    if (result == order_result::old_run && run.job)
    {
        run.job->tasks[run.task].last_run.value += run_number_jump;
        run.run = run.job->tasks[run.task].last_run;
    }
    auto const pause = result == order_result::unhealthy
                           ? core::duration{unhealthy_pause}
                           : core::duration{rejected_pause};
    worker.starts_blocked_until =
        std::max(worker.starts_blocked_until, now + pause);
    if (result == order_result::other_worker)
    {
        lose_contact(worker, now);
    }
    retry_run(worker, index, now);
}

auto dispatcher::implementation::tick(core::time_point now) -> void
{
    decay_offered(now);
    shares.advance(now);
    forget_refused_jobs();
    for (auto& [id, worker] : workers)
    {
        if (!worker->runs.empty() && now > worker->lease_until)
        {
            lose_runs(*worker, "its lease has lapsed", now);
            lose_contact(*worker, now);
        }
    }
    for (auto& [id, worker] : workers)
    {
        move_from_draining(*worker, now);
        update_retired(*worker, now);
        update_stored_tasks(*worker, now);
    }
    settle_crashes(now);
    update_stored_leases(now);
    finish_recovery(now);
    update_unseen();
    forget_lost_workers(now);
    adapt_poll_pause(now);
    expire_old_jobs(now);
    coefficient_cache.clear();
    schedule_due = true;
}

// Moves long-running tasks as soon as the worker drains, and tasks that can
// resume from a checkpoint when it is about to leave.
auto dispatcher::implementation::move_from_draining(
    dispatch_worker& worker, core::time_point now) -> void
{
    if (!worker.drain_seen_at)
    {
        return;
    }
    auto const left = std::chrono::milliseconds{worker.info.drain_left_ms};
    auto const about_to_leave =
        now + leave_margin >= *worker.drain_seen_at + left;
    for (auto& run : worker.runs)
    {
        if (!run.job || run.stop_requested)
        {
            continue;
        }
        auto const& spec = run.job->spec(run.job->step_of(run.task));
        run.stop_requested =
            spec.long_running || (about_to_leave && spec.checkpoints);
    }
}

auto dispatcher::implementation::finish_recovery(core::time_point now) -> void
{
    release_heard_tasks(now);
    if (!recovering || !worker_list_known)
    {
        return;
    }
    auto const expired = now >= recovery_until;
    if (!expired && !stored_list_readable)
    {
        return;
    }
    auto unheard = std::size_t{0};
    auto held = std::set<task_name>{};
    auto services = std::set<core::service_id>{};
    for (auto const& [id, worker] : workers)
    {
        if (!worker->may_have_unknown_runs)
        {
            continue;
        }
        ++unheard;
        // One in contact may not have reported all ends yet.
        auto const lapsed = worker->contact == contact_state::none &&
                            (expired || now > worker->lease_until);
        if (lapsed)
        {
            worker->may_have_unknown_runs = false;
            worker->lost_at = worker->lost_at.value_or(now);
            event(
                "A worker has not answered this owner.",
                {{"worker", id.value},
                 {"listed", worker->in_worker_list},
                 {"drains", worker->drain_seen_at.has_value()}});
            continue;
        }
        if (worker->former_tasks)
        {
            held.insert(
                worker->former_tasks->begin(), worker->former_tasks->end());
        }
        else
        {
            services.insert(worker->former_service);
        }
    }
    if (held_tasks_known && held == held_tasks && services == held_services)
    {
        return;
    }
    held_tasks_known = true;
    held_tasks = std::move(held);
    held_services = std::move(services);
    recovering = !held_tasks.empty() || !held_services.empty();
    release_unknown_tasks(unheard, now);
}

auto dispatcher::implementation::release_unknown_tasks(
    std::size_t unheard, core::time_point now) -> void
{
    auto released = std::size_t{0};
    for (auto const& [id, job] : jobs)
    {
        for (auto i = std::uint32_t{0}; i < job->tasks.size(); ++i)
        {
            if (job->tasks[i].state == task_state::unknown &&
                !may_run_unseen(*job, i))
            {
                release_task(job, i, now);
                ++released;
            }
        }
    }
    if (released == 0 && recovering)
    {
        return;
    }
    event(
        "The runs of the previous owner are known.",
        {{"workers_not_heard", unheard},
         {"tasks_held", held_tasks.size()},
         {"services_held", held_services.size()},
         {"tasks_released", released}});
}

} // namespace godwitcleat::state
