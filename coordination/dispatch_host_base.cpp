/** @file dispatch_host_base.cpp Runs the dispatcher on the owning instance. */
#include "coordination/dispatch_host_base.hpp"

#include "coordination/guarded_internal.hpp"
#include "coordination/line_budget_base.hpp"

#include <fmt/format.h>

#include <mutex>
#include <utility>

namespace godwitcleat::coordination
{

namespace
{

auto unix_ms() -> std::int64_t
{
    constexpr auto us_per_ms = 1000;
    return core::wall_clock_us() / us_per_ms;
}

auto milliseconds_of(core::duration value) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

auto name_of(state::job_latency kind) -> std::string_view
{
    switch (kind)
    {
    case state::job_latency::to_stored: return "job_to_stored_seconds";
    case state::job_latency::to_first_start:
        return "job_to_first_start_seconds";
    case state::job_latency::to_end: return "job_to_end_seconds";
    }
    return "job_seconds";
}

auto error_answer(core::failure const& reason) -> protocol::job_answer
{
    auto answer = protocol::job_answer{};
    answer.error = reason.kind;
    answer.message = reason.message;
    answer.retry_after_s = reason.retry_after_s;
    return answer;
}

auto answer_when_stored(dispatch_host::reply on_answer)
    -> state::dispatcher::completion
{
    return [on_answer = std::move(on_answer)](bool stored)
    {
        on_answer(
            stored ? protocol::job_answer{}
                   : error_answer(core::last_reason()));
    };
}

auto no_such_job(core::job_id const& job) -> protocol::job_answer
{
    auto answer = protocol::job_answer{};
    answer.error = core::error_kind::not_found;
    answer.message = fmt::format("job {} does not exist", job.value);
    return answer;
}

// So that a lease is hardly shorter than its limit while the store answers.
constexpr auto idle_writes_per_lease = 10;

} // namespace

struct dispatch_host::implementation
    : guarded_base<dispatch_host::implementation>
{
    implementation(
        dispatch_host_parts given, protocol::owner_record self,
        dispatch_host_settings figures)
        : parts(std::move(given))
        , log(parts.log.with_prefix("dispatch"))
        , settings(std::move(figures))
        , term(
              parts.target, parts.loop, parts.clock,
              parts.log.with_prefix("term"), settings.key_prefix,
              std::move(self), settings.term,
              {[this](
                   core::epoch number,
                   std::optional<core::time_point> last_write_by)
               { acquired(number, last_write_by); },
               [this](std::string_view cause)
               {
                   lost(cause);
               }})
    {
    }

    auto
    acquired(core::epoch number, std::optional<core::time_point> last_write_by)
        -> void;
    auto load_jobs(core::epoch number) -> void;
    auto load_progress(core::epoch number) -> void;
    auto load_workers(core::epoch number) -> void;
    auto load_again(core::epoch number) -> void;
    auto activate(core::epoch number) -> void;
    auto lost(std::string_view cause) -> void;
    auto pump() -> void;
    [[nodiscard]] auto is_write_due(core::time_point now) const -> bool;
    auto pump_by_timer() -> void;
    auto request_pump() -> void;
    auto send_hold(state::hold_order order) -> void;
    auto send_order(state::run_order order) -> void;
    auto write(state::dispatch_batch const& batch) -> void;
    auto written(core::epoch number, write_result result) -> void;
    auto report_counts(core::time_point now) -> void;
    auto report_queues() -> void;
    auto report_customers() -> void;
    auto submit(protocol::job_call call, reply on_answer) -> void;
    auto finish_leaving() -> void;
    /**
     * Hands the values under @p prefix to @p take, by key. Logs @p problem for
     * one that cannot be decoded; a failed call loads all again, and so does
     * an unreadable entry.
     */
    template <class Value, class Take>
    auto load(
        std::string const& prefix, core::epoch number, std::string_view problem,
        Take take) -> void;
    /** Changes what is loaded; false if the load is of a former term. */
    template <class Change>
    auto take_loaded(core::epoch number, Change const& change) -> bool;

    dispatch_host_parts parts;
    core::logger log;
    line_budget lines;
    dispatch_host_settings settings;

    mutable std::recursive_mutex mutex; ///< Replies may call back at once.
    std::optional<state::dispatcher> dispatcher;
    core::epoch active_term; ///< Of `dispatcher` or of the load.
    core::time_point acquired_at;
    state::dispatch_snapshot loading;
    state::queue_table_pointer queues;
    std::vector<state::listed_worker> workers;
    bool workers_given = false;
    std::set<core::data_centre_id> drained;
    bool writing = false;
    std::optional<core::time_point> refused_since;
    core::time_point write_after;
    core::time_point write_begun;
    bool pump_requested = false;
    core::time_point next_tick;
    core::time_point next_counts;
    std::optional<core::time_point> last_timer_at;
    /** Longest delay of the timer since the last report. */
    core::duration max_loop_delay{};
    /** Shortest time left for starts since the last report. */
    std::optional<core::duration> min_start_time;
    bool leaving = false;
    std::function<void()> on_left;
    transport::timer_handle load_timer;
    transport::timer_handle pump_timer;
    term_keeper term;
};

auto dispatch_host::implementation::acquired(
    core::epoch number, std::optional<core::time_point> last_write_by) -> void
{
    {
        auto const lock = std::scoped_lock{mutex};
        dispatcher.reset();
        active_term = number;
        loading = {};
        loading.last_write_by = last_write_by;
        writing = false;
        refused_since.reset();
        workers_given = false;
        acquired_at = parts.clock();
    }
    parts.metrics.count("take_overs_total");
    parts.on_owning(true);
    load_jobs(number);
}

auto dispatch_host::implementation::load_again(core::epoch number) -> void
{
    log.warn(
        "Jobs were not loaded; reading again.",
        {{"reason", core::last_reason().message}});
    load_timer = later(
        parts.loop, settings.store_retry,
        [number](auto& self)
        {
            if (self.active_term == number)
            {
                self.load_jobs(number);
            }
        });
}

template <class Value, class Take>
auto dispatch_host::implementation::load(
    std::string const& prefix, core::epoch number, std::string_view problem,
    Take take) -> void
{
    parts.target.range(
        prefix, prefix_end(prefix), 0,
        guarded(
            [number, problem, take](auto& self, auto answer)
            {
                if (!answer)
                {
                    return self.load_again(number);
                }
                auto values = std::vector<std::pair<std::string, Value>>{};
                for (auto const& it : answer->entries)
                {
                    // A damaged answer must not lose a job.
                    if (!it.readable)
                    {
                        core::fail(
                            core::error_kind::protocol,
                            fmt::format(
                                "the value of {} is no base64", it.key));
                        return self.load_again(number);
                    }
                    auto value = protocol::decode<Value>(it.value);
                    if (!value)
                    {
                        self.log.error(problem, {{"key", it.key}});
                        continue;
                    }
                    values.emplace_back(it.key, std::move(*value));
                }
                take(self, std::move(values));
            }));
}

template <class Change>
auto dispatch_host::implementation::take_loaded(
    core::epoch number, Change const& change) -> bool
{
    auto const lock = std::scoped_lock{mutex};
    if (active_term != number)
    {
        return false;
    }
    change(loading);
    return true;
}

auto dispatch_host::implementation::load_jobs(core::epoch number) -> void
{
    load<state::plan_record>(
        settings.key_prefix + "job/", number, "A stored job cannot be read.",
        [number](auto& self, auto values)
        {
            auto const take = [&](state::dispatch_snapshot& loaded)
            {
                loaded.jobs.clear();
                for (auto& [key, record] : values)
                {
                    loaded.jobs.push_back(std::move(record));
                }
            };
            if (self.take_loaded(number, take))
            {
                self.load_progress(number);
            }
        });
}

auto dispatch_host::implementation::load_progress(core::epoch number) -> void
{
    auto const prefix = settings.key_prefix + "progress/";
    load<state::plan_progress>(
        prefix, number, "Stored progress cannot be read.",
        [number, n = prefix.size()](auto& self, auto values)
        {
            auto const take = [&](state::dispatch_snapshot& loaded)
            {
                loaded.progress.clear();
                for (auto& [key, progress] : values)
                {
                    loaded.progress.emplace_back(
                        core::job_id{key.substr(n)}, std::move(progress));
                }
            };
            if (self.take_loaded(number, take))
            {
                self.load_workers(number);
            }
        });
}

auto dispatch_host::implementation::load_workers(core::epoch number) -> void
{
    parts.target.range(
        settings.key_prefix + "workers", "", 1,
        guarded(
            [number](auto& self, auto answer)
            {
                if (!answer)
                {
                    return self.load_again(number);
                }
                if (!answer->entries.empty())
                {
                    auto const revision =
                        answer->entries.front().modify_revision;
                    auto const written_by =
                        self.parts.target.reached_by(revision);
                    auto known =
                        protocol::decode<std::vector<state::stored_worker>>(
                            answer->entries.front().value);
                    if (!known)
                    {
                        self.log.error("Stored workers cannot be read.");
                    }
                    self.take_loaded(
                        number,
                        [&](state::dispatch_snapshot& loaded)
                        {
                            loaded.workers_written_by = written_by;
                            loaded.workers_readable = known.has_value();
                            loaded.workers = known.value_or(
                                std::vector<state::stored_worker>{});
                        });
                }
                self.activate(number);
            }));
}

auto dispatch_host::implementation::activate(core::epoch number) -> void
{
    {
        auto const lock = std::scoped_lock{mutex};
        if (active_term != number || leaving)
        {
            return;
        }
        auto hooks = state::dispatch_hooks{};
        hooks.on_event = [this](auto message, auto values)
        {
            if (lines.allow(message, parts.clock()))
            {
                log.info(message, values);
            }
        };
        hooks.unix_ms = unix_ms;
        hooks.on_job_latency = [this](auto kind, auto value)
        {
            parts.metrics.observe_time(name_of(kind), value);
        };
        auto const now = parts.clock();
        parts.metrics.observe_time("take_over_seconds", now - acquired_at);
        auto const since_write =
            loading.last_write_by
                ? fmt::format(
                      "{}", milliseconds_of(now - *loading.last_write_by))
                : "unknown";
        log.info(
            "Jobs are loaded.", {{"term", number.value},
                                 {"jobs", loading.jobs.size()},
                                 {"workers", loading.workers.size()},
                                 {"last_write_ms_ago", since_write}});
        dispatcher.emplace(
            number, std::exchange(loading, {}), settings.dispatch,
            std::move(hooks), now);
        if (queues)
        {
            dispatcher->set_queues(queues);
        }
        dispatcher->set_drained(drained);
        if (workers_given)
        {
            dispatcher->set_workers(workers, now);
        }
    }
    pump();
}

auto dispatch_host::implementation::lost(std::string_view cause) -> void
{
    {
        auto const lock = std::scoped_lock{mutex};
        core::fail(
            core::error_kind::unknown_outcome,
            fmt::format("the owner has changed ({}); ask again", cause));
        dispatcher.reset();
        active_term = {};
        workers_given = false;
    }
    parts.on_owning(false);
}

auto dispatch_host::implementation::request_pump() -> void
{
    {
        auto const lock = std::scoped_lock{mutex};
        if (std::exchange(pump_requested, true))
        {
            return;
        }
    }
    parts.loop.post(guarded([](auto& self) { self.pump(); }));
}

auto dispatch_host::implementation::pump_by_timer() -> void
{
    {
        auto const lock = std::scoped_lock{mutex};
        auto const now = parts.clock();
        if (last_timer_at)
        {
            max_loop_delay = std::max(
                max_loop_delay, now - *last_timer_at - settings.pump_interval);
        }
        last_timer_at = now;
    }
    pump();
}

auto dispatch_host::implementation::pump() -> void
{
    auto holds = std::vector<state::hold_order>{};
    auto orders = std::vector<state::run_order>{};
    auto batch = std::optional<state::dispatch_batch>{};
    {
        auto const lock = std::scoped_lock{mutex};
        pump_requested = false;
        if (!dispatcher)
        {
            return;
        }
        auto const now = parts.clock();
        if (now >= next_tick)
        {
            next_tick = now + settings.tick_interval;
            dispatcher->tick(now);
            report_counts(now);
        }
        if (!leaving && term.is_valid())
        {
            dispatcher->limit_leases(term.last_write_at());
            holds = dispatcher->take_holds(now);
            auto const allowed_until = parts.starts_allowed_until();
            min_start_time = std::min(
                min_start_time.value_or(core::duration::max()),
                allowed_until - now);
            dispatcher->limit_starts(allowed_until);
            orders = dispatcher->take_orders(now);
        }
        if (!writing && now >= write_after)
        {
            batch = dispatcher->take_batch(now);
            if (!batch && !leaving && term.is_valid() && is_write_due(now))
            {
                batch.emplace();
            }
            writing = batch.has_value();
            write_begun = now;
        }
        else if (writing && now - write_begun >= settings.refuse_after)
        {
            // Jobs that wait behind an unanswered write were not sent.
            dispatcher->reject_unstored(
                "the store does not answer; retry in a second");
        }
    }
    for (auto& it : orders)
    {
        send_order(std::move(it));
    }
    for (auto& it : holds)
    {
        send_hold(std::move(it));
    }
    if (batch)
    {
        write(*batch);
    }
    else if (leaving)
    {
        finish_leaving();
    }
}

// Without a write the leases of the workers are not prolonged.
auto dispatch_host::implementation::is_write_due(core::time_point now) const
    -> bool
{
    return now - term.last_write_at() >=
           settings.dispatch.lease_after_write / idle_writes_per_lease;
}

auto dispatch_host::implementation::send_hold(state::hold_order order) -> void
{
    parts.metrics.count("worker_holds");
    auto const number = active_term;
    auto const& hold = parts.link.hold;
    hold(
        order,
        guarded(
            [order, number](auto& self, hold_answer answer)
            {
                auto owned = true;
                {
                    auto const lock = std::scoped_lock{self.mutex};
                    if (!self.dispatcher || self.active_term != number)
                    {
                        return;
                    }
                    owned = self.dispatcher->hold_answered(
                        order, answer.result, answer.lists, self.parts.clock());
                }
                if (!owned)
                {
                    return self.term.step_down("a worker obeys a later owner");
                }
                self.request_pump();
            }));
}

auto dispatch_host::implementation::send_order(state::run_order order) -> void
{
    parts.metrics.count(
        order.kind == state::run_order_kind::start ? "worker_starts"
                                                   : "worker_orders");
    auto const number = active_term;
    parts.link.order(
        order,
        guarded(
            [order, number](auto& self, run_answer answer)
            {
                auto owned = true;
                {
                    auto const lock = std::scoped_lock{self.mutex};
                    if (!self.dispatcher || self.active_term != number)
                    {
                        return;
                    }
                    if (order.kind == state::run_order_kind::start)
                    {
                        self.parts.metrics.count(fmt::format(
                            "worker_start_results_total{{result=\"{}\"}}",
                            state::to_string(answer.result)));
                    }
                    owned = self.dispatcher->order_answered(
                        order, answer.result, answer.clock_ms,
                        self.parts.clock());
                }
                if (!owned)
                {
                    return self.term.step_down("a worker obeys a later owner");
                }
                if (answer.result != state::order_result::accepted)
                {
                    self.request_pump();
                }
            }));
}

auto dispatch_host::implementation::write(state::dispatch_batch const& batch)
    -> void
{
    auto const& prefix = settings.key_prefix;
    auto writes = std::vector<store_write>{};
    for (auto const& it : batch.accepted)
    {
        writes.push_back(
            {prefix + "job/" + it.plan.id.value, protocol::encode(it), "", {}});
    }
    for (auto const& [id, it] : batch.progress)
    {
        writes.push_back(
            {prefix + "progress/" + id.value, protocol::encode(it), "", {}});
    }
    for (auto const& id : batch.expired)
    {
        writes.push_back({prefix + "job/" + id.value, std::nullopt, "", {}});
        writes.push_back(
            {prefix + "progress/" + id.value, std::nullopt, "", {}});
    }
    if (batch.workers)
    {
        writes.push_back(
            {prefix + "workers", protocol::encode(*batch.workers), "", {}});
    }
    parts.metrics.count("store_batches");
    term.write(
        std::move(writes),
        guarded([number = active_term](auto& self, write_result result)
                { self.written(number, result); }));
}

auto dispatch_host::implementation::written(
    core::epoch number, write_result result) -> void
{
    {
        auto const lock = std::scoped_lock{mutex};
        if (!dispatcher || active_term != number)
        {
            return;
        }
        writing = false;
        auto const now = parts.clock();
        if (result == write_result::stored)
        {
            refused_since.reset();
            dispatcher->batch_committed(now);
        }
        else if (result == write_result::not_stored)
        {
            refused_since = refused_since.value_or(now);
            write_after = now + settings.store_retry;
            dispatcher->batch_rejected();
            if (now - *refused_since >= settings.refuse_after)
            {
                dispatcher->reject_unstored(
                    "the store refuses writes; retry in a second");
            }
        }
    }
    request_pump();
}

auto dispatch_host::implementation::report_counts(core::time_point now) -> void
{
    if (now < next_counts)
    {
        return;
    }
    next_counts = now + settings.count_interval;
    for (auto const& [kind, count] : lines.take_left_out())
    {
        log.warn("Lines were left out.", {{"kind", kind}, {"lines", count}});
    }
    auto const it = dispatcher->counts(now);
    auto const set = [this](std::string_view name, auto value)
    {
        parts.metrics.set(name, static_cast<double>(value));
    };
    set("dispatch_jobs_open", it.jobs_open);
    set("dispatch_tasks_ready", it.tasks_ready);
    set("dispatch_tasks_bound", it.tasks_bound);
    set("dispatch_tasks_unknown", it.tasks_unknown);
    set("dispatch_workers_live", it.workers_live);
    set("dispatch_workers_suspended", it.workers_suspended);
    set("dispatch_workers_without_contact", it.workers_without_contact);
    set("dispatch_starts", it.starts);
    set("dispatch_starts_rejected", it.starts_rejected);
    set("dispatch_starts_unknown", it.starts_unknown);
    set("dispatch_ends_done", it.ends_done);
    set("dispatch_ends_failed", it.ends_failed);
    set("dispatch_ends_other", it.ends_other);
    set("dispatch_runs_lost", it.runs_lost);
    set("dispatch_evictions", it.evictions);
    set("dispatch_jobs_accepted", it.jobs_accepted);
    set("dispatch_jobs_refused", it.jobs_refused);
    set("dispatch_jobs_completed", it.jobs_completed);
    set("dispatch_worker_looks", it.workers_considered);
    auto const loop_delay_ms =
        milliseconds_of(std::exchange(max_loop_delay, core::duration{}));
    auto const start_time_ms = milliseconds_of(
        std::exchange(min_start_time, std::nullopt).value_or(core::duration{}));
    set("dispatch_loop_delay_ms", loop_delay_ms);
    set("dispatch_start_time_ms", start_time_ms);
    log.info(
        "Sizes.", {{"jobs_open", it.jobs_open},
                   {"tasks_ready", it.tasks_ready},
                   {"tasks_bound", it.tasks_bound},
                   {"tasks_unknown", it.tasks_unknown},
                   {"workers_live", it.workers_live},
                   {"without_contact", it.workers_without_contact},
                   {"starts", it.starts},
                   {"rejected", it.starts_rejected},
                   {"unknown", it.starts_unknown},
                   {"done", it.ends_done},
                   {"failed", it.ends_failed},
                   {"other", it.ends_other},
                   {"lost", it.runs_lost},
                   {"evicted", it.evictions},
                   {"refused", it.jobs_refused},
                   {"loop_delay_ms", loop_delay_ms},
                   {"start_time_ms", start_time_ms}});
    report_queues();
    report_customers();
}

auto dispatch_host::implementation::report_queues() -> void
{
    using state::step_urgency;
    for (auto const& [queue, it] : dispatcher->queue_counts())
    {
        log.info(
            "Tasks of a queue.",
            {{"queue", queue.value},
             {"ready_in_time", it.ready[step_urgency::in_time]},
             {"ready_late", it.ready[step_urgency::late]},
             {"ready_expired", it.ready[step_urgency::expired]},
             {"ready_long_running", it.ready[step_urgency::long_running]},
             {"starts_in_time", it.starts[step_urgency::in_time]},
             {"starts_late", it.starts[step_urgency::late]},
             {"starts_expired", it.starts[step_urgency::expired]},
             {"starts_long_running", it.starts[step_urgency::long_running]}});
    }
}

auto dispatch_host::implementation::report_customers() -> void
{
    constexpr auto max_lines = 20;
    auto lines_written = 0;
    for (auto const& it : dispatcher->customer_counts())
    {
        if (it.waiting_tasks == 0 || ++lines_written > max_lines)
        {
            continue;
        }
        log.info(
            "Tasks of a customer wait.",
            {{"customer", it.customer.value},
             {"tasks", it.waiting_tasks},
             {"cpu_milli", it.running.cpu_milli},
             {"cpu_milli_limit", it.limit.cpu_milli},
             {"weight", fmt::format("{:g}", it.weight)},
             {"beyond_share", it.beyond_share},
             {"refused_jobs", it.refused_jobs}});
    }
}

auto dispatch_host::implementation::submit(
    protocol::job_call call, reply on_answer) -> void
{
    if (!call.plan)
    {
        core::fail(
            core::error_kind::invalid_input, "the submit has no job; add one");
        return on_answer(error_answer(core::last_reason()));
    }
    dispatcher->submit(
        std::move(*call.plan), parts.clock(),
        answer_when_stored(std::move(on_answer)), std::move(call.customer));
}

auto dispatch_host::implementation::finish_leaving() -> void
{
    auto call = std::function<void()>{};
    {
        auto const lock = std::scoped_lock{mutex};
        if (writing)
        {
            return;
        }
        core::fail(
            core::error_kind::unknown_outcome, "the owner leaves; ask again");
        dispatcher.reset();
        active_term = {};
        call = std::exchange(on_left, nullptr);
    }
    if (call)
    {
        parts.on_owning(false);
        term.leave(std::move(call));
    }
}

dispatch_host::dispatch_host(
    dispatch_host_parts parts, protocol::owner_record self,
    dispatch_host_settings settings)
    : implementation_(std::make_shared<implementation>(
          std::move(parts), std::move(self), std::move(settings)))
{
}

dispatch_host::~dispatch_host()
{
    implementation_->closed = true;
}

auto dispatch_host::start() -> void
{
    auto& it = *implementation_;
    it.pump_timer = it.parts.loop.every(
        it.settings.pump_interval,
        it.guarded([](auto& self) { self.pump_by_timer(); }));
    it.term.start();
}

auto dispatch_host::leave(std::function<void()> on_done) -> void
{
    auto& it = *implementation_;
    auto active = false;
    {
        auto const lock = std::scoped_lock{it.mutex};
        it.leaving = true;
        active = it.dispatcher.has_value();
        if (active)
        {
            it.on_left = on_done;
        }
    }
    if (active)
    {
        it.request_pump();
        return;
    }
    it.term.leave(std::move(on_done));
}

auto dispatch_host::set_settings(state::dispatch_settings settings) -> void
{
    auto& it = *implementation_;
    auto const lock = std::scoped_lock{it.mutex};
    it.settings.dispatch = settings;
    if (it.dispatcher)
    {
        it.dispatcher->set_settings(settings);
    }
}

auto dispatch_host::set_queues(state::queue_table_pointer queues) -> void
{
    auto& it = *implementation_;
    auto const lock = std::scoped_lock{it.mutex};
    it.queues = std::move(queues);
    if (it.dispatcher)
    {
        it.dispatcher->set_queues(it.queues);
    }
}

auto dispatch_host::set_workers(std::vector<state::listed_worker> workers)
    -> void
{
    auto& it = *implementation_;
    {
        auto const lock = std::scoped_lock{it.mutex};
        it.workers = std::move(workers);
        it.workers_given = true;
        if (it.dispatcher)
        {
            it.dispatcher->set_workers(it.workers, it.parts.clock());
        }
    }
    it.request_pump();
}

auto dispatch_host::set_drained(std::set<core::data_centre_id> data_centres)
    -> void
{
    auto& it = *implementation_;
    auto const lock = std::scoped_lock{it.mutex};
    it.drained = std::move(data_centres);
    if (it.dispatcher)
    {
        it.dispatcher->set_drained(it.drained);
    }
}

auto dispatch_host::call(protocol::job_call call, reply on_answer) -> void
{
    auto& it = *implementation_;
    auto const lock = std::unique_lock{it.mutex};
    if (!it.dispatcher || it.leaving)
    {
        core::fail(
            core::error_kind::not_owner,
            "this instance does not own the jobs; ask the owner");
        return on_answer(error_answer(core::last_reason()));
    }
    if (!it.term.is_valid())
    {
        // Another instance may own the jobs already.
        core::fail(
            core::error_kind::not_owner,
            "this instance cannot confirm that it owns the jobs; retry");
        return on_answer(error_answer(core::last_reason()));
    }
    if (call.term.value != 0 && call.term != it.active_term)
    {
        // Its caller may have been told what became of it by another owner.
        core::fail(
            core::error_kind::not_owner,
            "the call is for an owner of another term; ask again");
        auto refusal = error_answer(core::last_reason());
        refusal.term = it.active_term;
        return on_answer(std::move(refusal));
    }
    on_answer =
        [term = it.active_term, reply = std::move(on_answer)](auto value)
    {
        value.term = term;
        reply(std::move(value));
    };
    auto answer = protocol::job_answer{};
    auto const names_job = call.kind == protocol::job_call_kind::cancel ||
                           call.kind == protocol::job_call_kind::phase;
    if (names_job &&
        !it.dispatcher->may_access(call.job, call.queue, call.customer))
    {
        // As for an unknown job, so that ids of other customers do not show.
        return on_answer(no_such_job(call.job));
    }
    switch (call.kind)
    {
    case protocol::job_call_kind::submit:
        it.submit(std::move(call), std::move(on_answer));
        it.request_pump();
        return;
    case protocol::job_call_kind::cancel:
        it.dispatcher->cancel(
            call.job, it.parts.clock(),
            answer_when_stored(std::move(on_answer)), call.customer);
        it.request_pump();
        return;
    case protocol::job_call_kind::phase:
        if (auto const phase = it.dispatcher->phase(call.job))
        {
            answer.phase = *phase;
        }
        else
        {
            answer = no_such_job(call.job);
        }
        break;
    case protocol::job_call_kind::count:
        answer.waiting = it.dispatcher->pending(call.queue);
        break;
    case protocol::job_call_kind::config:
        answer.error = core::error_kind::invalid_input;
        answer.message = "the owner of the jobs keeps no configuration; ask "
                         "the instance";
        break;
    }
    on_answer(std::move(answer));
}

auto dispatch_host::pending_by_queue() const
    -> std::map<state::queue_id, std::uint64_t>
{
    auto const lock = std::scoped_lock{implementation_->mutex};
    return implementation_->dispatcher
               ? implementation_->dispatcher->pending_by_queue()
               : std::map<state::queue_id, std::uint64_t>{};
}

auto dispatch_host::customer_counts() const
    -> std::vector<state::customer_count>
{
    auto const lock = std::scoped_lock{implementation_->mutex};
    return implementation_->dispatcher
               ? implementation_->dispatcher->customer_counts()
               : std::vector<state::customer_count>{};
}

auto dispatch_host::owner() const -> std::optional<protocol::owner_record>
{
    return implementation_->term.owner();
}

auto dispatch_host::members() const -> std::vector<protocol::owner_record>
{
    return implementation_->term.members();
}

auto dispatch_host::is_active() const -> bool
{
    auto const lock = std::scoped_lock{implementation_->mutex};
    return implementation_->dispatcher.has_value() &&
           implementation_->term.is_valid();
}

} // namespace godwitcleat::coordination
