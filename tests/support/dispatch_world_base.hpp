/** @file dispatch_world_base.hpp Simulated workers and store of a dispatcher.
 */
#ifndef GODWITCLEAT_TESTS_SUPPORT_DISPATCH_WORLD_BASE_HPP
#define GODWITCLEAT_TESTS_SUPPORT_DISPATCH_WORLD_BASE_HPP

#include "core/core.hpp"
#include "state/state.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace godwitcleat::tests
{

/** A run on a fake worker. */
struct fake_run
{
    state::task_name task;
    state::run_number run;
    std::string command;
    std::string checkpoint;
    std::int64_t left_ms = 0; ///< Remaining work; negative: never ends.
    std::int64_t total_ms = 0;
    std::uint32_t pace = 100;
    bool fails = false;
};

/** A fake worker with a lease, a fencing token, both lists and a clock. */
struct fake_dispatch_worker
{
    state::listed_worker info;
    bool listed = true; ///< In the list of workers.
    /** Start time in that list; unset: of the present process. */
    std::optional<std::int64_t> listed_started_ms;
    bool reachable = true; ///< Orders and holds reach it.
    /** Result of orders and holds that do not reach it. */
    state::order_result unreachable_result = state::order_result::unknown;
    bool loses_answers = false;  ///< Carries out orders, but answers are lost.
    bool stalled = false;        ///< Its runs make no progress.
    bool fails_all_runs = false; ///< Each run fails immediately.
    bool delays_starts = false;  ///< Starts are queued in `delayed`.
    bool keeps_delayed = false;  ///< `delayed` outlasts its process.
    std::int64_t clock_ms = 1000;
    std::uint64_t process = 0; ///< Number of its restarts.
    state::fencing_token token;
    std::int64_t deadline_ms = 0; ///< End of its lease, on its own clock.
    std::uint64_t next_end = 1;
    std::vector<fake_run> runs;
    std::vector<state::ended_row> ended;
    /** Highest run of each task that it was told to stop, even if that run had
     *  not arrived; it refuses runs up to it. */
    std::map<state::task_name, state::run_number> stopped;
    std::uint64_t acknowledged = 0;
    std::vector<state::run_order> delayed;
};

/** Duration of a run on a fake worker, and whether it fails. */
struct task_behaviour
{
    std::int64_t run_ms = 200;
    bool fails = false;
};

/**
 * Runs one dispatcher at a time against fake workers and an in-memory store.
 * Each start is checked: a task must not run in two places at a time, nor after
 * its completion was acknowledged; the capacity of a worker must not be
 * exceeded; nothing may start in a drained data centre, nor on a worker that
 * the stored list lacks; a long-running task must not start on a worker that
 * the store does not name for it; no customer may exceed its limit; and no task
 * may start after as many acknowledged failures as its queue allows. No job may
 * be shown as active before a task of it has started.
 */
class dispatch_world
{
public:
    dispatch_world();

    auto add_worker(std::string id, core::resources capacity)
        -> fake_dispatch_worker&;
    auto worker(std::string const& id) -> fake_dispatch_worker&;
    auto add_queue(state::queue_config queue) -> void;
    auto set_customers(state::customer_table customers) -> void;
    auto remove_queue(std::string const& id) -> void;
    /** Moves queue "q" to another service. */
    auto set_service(core::service_id service) -> void;

    /** Replaces the dispatcher by one of a new term, loaded from the store. */
    auto begin_term() -> void;

    /** Advances the time in steps of 10 ms. */
    auto run_for(std::int64_t ms) -> void;

    /** Restarts a worker process; its runs and lists are lost. Its time of day
     *  steps by @p step_ms; unset: back to the former start. */
    auto restart_worker(
        std::string const& id, std::optional<std::int64_t> step_ms = 0) -> void;

    /** Ends a worker process, which leaves the list of workers; another process
     *  takes its address. */
    auto exit_worker(std::string const& id) -> void;

    /** Starts a worker process again after exit_worker(). */
    auto return_worker(std::string const& id) -> void;

    /** Carries out the delayed starts of a worker. */
    auto carry_out_delayed(std::string const& id) -> void;

    /** Submits a job; returns true if it was stored within 100 ms. */
    auto submit(state::job_plan plan, state::customer_id customer = {}) -> bool;
    /** Submits a job; @p on_done is called by a later run_for(), or at once. */
    auto submit(
        state::job_plan plan, state::dispatcher::completion on_done,
        state::customer_id customer = {}) -> void;
    auto cancel(std::string const& id) -> bool;
    [[nodiscard]] auto phase(std::string const& id) const
        -> std::optional<state::plan_phase>;

    /** Returns what the runs of a customer need on all workers; of best-effort
     *  ones their declared processors. */
    [[nodiscard]] auto running_of(state::customer_id const& customer) const
        -> core::resources;

    /** Returns the number of runs on all workers. */
    [[nodiscard]] auto running() const -> std::size_t;

    state::dispatch_settings settings;
    std::function<task_behaviour(state::task_name const&, state::run_number)>
        behaviour_of;
    /** Returns the measurement of a run; 0 if unset. */
    std::function<std::int64_t(fake_dispatch_worker const&, fake_run const&)>
        measurement_of;
    std::vector<std::string> violations;
    /** Limits by which starts are checked; set_customers() sets them. */
    std::map<state::customer_id, core::resources> checked_limits;
    std::vector<std::string> starts; ///< TASK@WORKER of each started run.
    std::size_t holds = 0;           ///< Holds that the dispatcher has made.
    bool store_down = false;
    /** Time until the store carries out a batch, and until its answer. */
    std::int64_t store_delay_ms = 0;
    /** Holds wait for an end, and their answers take answer_delay_ms. */
    bool holds_wait = false;
    /** Workers list at most this many ends at a time. */
    std::size_t max_listed_ends = 500;
    bool loses_pace_orders = false; ///< Pace orders are lost.
    bool loses_stop_orders = false; ///< Stop orders are lost.
    /** Order answers reach the dispatcher this much later. */
    std::int64_t answer_delay_ms = 0;
    /** Time that a start takes of the owner's link, which orders and holds pass
     *  one after the other. What takes over 700 ms is given up. */
    std::int64_t link_ms_per_start = 0;
    std::size_t orders_given_up = 0; ///< By a full link.
    std::size_t holds_given_up = 0;  ///< By a full link.
    core::epoch term;
    std::unique_ptr<state::dispatcher> owner;
    state::dispatch_snapshot stored;
    std::set<core::data_centre_id> drained;
    /** Argument of dispatcher::limit_starts(). */
    std::optional<core::time_point> start_limit;

    auto now() const -> core::time_point
    {
        return core::time_point{std::chrono::milliseconds{now_ms_}};
    }

private:
    auto step() -> void;
    auto advance_worker(fake_dispatch_worker& worker) -> void;
    auto answer_holds() -> void;
    auto carry_out(state::run_order const& order) -> void;
    /** Returns the time until the link has sent a message that takes @p ms of
     *  it; over call_timeout_ms: it is given up. */
    auto send_over_link(std::int64_t ms) -> std::int64_t;
    auto pass_on_answers() -> void;
    auto
    apply_order(fake_dispatch_worker& worker, state::run_order const& order)
        -> state::order_result;
    /** Workers shorten a longer lease to dispatch_settings::lease_limit. */
    auto
    prolong_lease(fake_dispatch_worker& worker, std::int64_t deadline_ms) const
        -> void;
    auto stop_run(fake_dispatch_worker& worker, state::run_order const& order)
        -> void;
    auto end_run(
        fake_dispatch_worker& worker, std::size_t index,
        state::run_outcome outcome) -> void;
    auto commit() -> void;
    auto apply(state::dispatch_batch const& batch) -> void;

    auto lists_of(fake_dispatch_worker const& worker) -> state::worker_lists;
    auto answer_hold(state::hold_order const& order) -> void;
    struct waiting_hold
    {
        std::int64_t due_ms = 0;
        core::epoch term;
        state::hold_order order;
        std::uint64_t process = 0; ///< That has received it.
        std::optional<state::worker_lists> lists;
    };
    std::vector<waiting_hold> waiting_holds_;
    std::optional<state::dispatch_batch> batch_;
    std::int64_t batch_applied_at_ = 0;
    std::int64_t batch_answered_at_ = 0;
    bool batch_applied_ = false;
    std::int64_t batch_sent_at_ = 0;
    /** When the store carried out the last write of any owner. */
    std::optional<std::int64_t> last_write_ms_;
    /** When the owner's last acknowledged write was sent. */
    std::int64_t acknowledged_write_ms_ = 0;
    auto check_start(
        fake_dispatch_worker const& worker, state::run_order const& order)
        -> void;
    auto need_of(state::task_name const& name) const -> core::resources;
    auto check_limit(state::task_name const& task) -> void;
    auto check_failures(state::task_name const& task) -> void;
    auto check_phases() -> void;
    /** Returns need_of(), with the declared processors of best-effort tasks. */
    auto charged_need(state::task_name const& name) const -> core::resources;
    /** Returns true if the store shows that the task may run on workers of
     *  @p service. */
    [[nodiscard]] auto is_service_stored(
        state::task_name const& task, core::service_id const& service) const
        -> bool;
    /** Returns true if a new owner would call @p worker and wait for it before
     *  it starts the task. */
    [[nodiscard]] auto is_in_stored_list(
        state::task_name const& task, state::listed_worker const& worker) const
        -> bool;
    /** Returns true if the stored progress names @p worker, where the task has
     *  one. */
    [[nodiscard]] auto is_stored_for(
        state::task_name const& task, core::worker_id const& worker) const
        -> bool;
    auto set_queues() -> void;

    /** The answer to an order, on its way to the dispatcher. */
    struct late_answer
    {
        std::int64_t due_ms = 0;
        core::epoch term;
        state::run_order order;
        state::order_result result = state::order_result::unknown;
    };

    std::int64_t now_ms_ = 1'000'000;
    std::int64_t link_free_at_ms_ = 0;
    std::deque<late_answer> late_answers_;
    std::map<std::string, fake_dispatch_worker> workers_;
    /** The list that `owner` has; it is passed on only when it changes. */
    std::optional<std::vector<state::listed_worker>> last_listed_;
    state::queue_table queues_;
    std::map<std::string, state::job_plan> plans_;
    std::map<std::string, state::customer_id> customer_of_; ///< By job.
    std::set<std::string> done_; ///< Tasks with an acknowledged completion.
    /** Runs of each task with an acknowledged failure. */
    std::map<std::string, std::set<std::uint64_t>> failed_runs_;
    std::set<std::string> started_jobs_;
};

/** Returns JOB.OCCURRENCE.STEP.INDEX. */
auto text_of(state::task_name const& name) -> std::string;

/** Returns queue "q" of service "s". */
auto make_queue() -> state::queue_config;

/** Returns a job of one step. */
auto make_plan(std::string id, std::uint32_t tasks, std::int64_t cpu_milli)
    -> state::job_plan;

} // namespace godwitcleat::tests

#endif
