/** @file report_base.hpp Encodes and rebuilds partial heartbeats. */
#ifndef GODWITCLEAT_STATE_REPORT_BASE_HPP
#define GODWITCLEAT_STATE_REPORT_BASE_HPP

#include "state/report_type.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

namespace godwitcleat::state
{

/** When a partial report includes new measurements. */
struct report_limits
{
    /// Time between two reports with the measurements of all tasks. The engine
    /// acts on a slowdown that lasts for 3 s, so two of them must fall into it.
    core::duration sample_interval = std::chrono::seconds{2};
    /// Smallest changes that are reported without waiting for the interval.
    double significant_share = 0.25; ///< Of the last reported use.
    std::int64_t significant_cpu_milli = 100;
    std::int64_t significant_memory_mb = 64;
    /// A third of the excess slowdown at which the engine acts, 0.3.
    double significant_slowdown = 0.1;
};

/**
 * Worker side: reduces a complete heartbeat to what has changed since the last
 * acknowledged one. Progress alone does not count as a change, because the
 * owner needs it only with a new phase or checkpoint. Not thread-safe.
 */
class report_writer
{
public:
    report_writer() = default;
    explicit report_writer(report_limits limits);

    /** Returns the report to send in place of @p full at @p now. */
    auto write(worker_report const& full, core::time_point now)
        -> partial_report;

    /** Makes heartbeat @p sequence, which the owner has answered, the base. */
    auto acknowledge(std::uint64_t sequence) -> void;

    /** Drops the base, so that the next report is complete. */
    auto reset() -> void;

private:
    using task_map = std::map<attempt_key, task_report>;

    /** The state that the owner knows after a heartbeat. */
    struct sent_state
    {
        std::uint64_t sequence = 0;
        core::time_point sampled_at;
        task_map tasks;
    };

    auto write_changes(
        worker_report const& full, core::time_point now, sent_state& sent)
        -> partial_report;
    static auto write_samples(
        task_map const& current, partial_report& result, sent_state& sent)
        -> void;
    [[nodiscard]] auto
    is_significant(task_report const& before, task_report const& now) const
        -> bool;

    report_limits limits_;
    sent_state base_; ///< Last acknowledged heartbeat; sequence 0: none.
    std::map<std::uint64_t, sent_state> unanswered_;
};

/**
 * Owner side: rebuilds complete heartbeats. Retains the latest task list of
 * each worker and those that the worker may still use as a base. Not
 * thread-safe.
 */
class report_reader
{
public:
    /**
     * Rebuilds the complete heartbeat from @p report, received at @p now.
     * Returns std::nullopt with conflict if its base is not retained; the
     * worker must then send a complete report. Task lists of workers that were
     * silent for 10 min are dropped.
     */
    auto read(partial_report const& report, core::time_point now)
        -> std::optional<worker_report>;

    /** Returns the number of task lists of all workers in memory. */
    [[nodiscard]] auto retained_lists() const -> std::size_t;

private:
    struct retained_task
    {
        task_report report;
        core::time_point received_at; ///< Time of its last measurement.
    };

    using task_map = std::map<attempt_key, retained_task>;

    struct retained_worker
    {
        std::uint64_t boot = 0;
        worker_info info;
        std::map<std::uint64_t, task_map>
            task_lists; ///< By heartbeat sequence.
        core::time_point last_report_at;
    };

    [[nodiscard]] auto find_base(partial_report const& report) const
        -> std::optional<task_map>;
    static auto
    rebuild(partial_report const& report, core::time_point now, task_map& tasks)
        -> bool;
    static auto apply_samples(
        partial_report const& report, core::time_point now, task_map& tasks)
        -> bool;
    static auto retain(
        partial_report const& report, task_map tasks, retained_worker& retained)
        -> void;
    auto remove_silent_workers(core::time_point now) -> void;

    std::map<core::worker_id, retained_worker> workers_;
    core::time_point next_check_; ///< Next search for silent workers.
};

/** Returns @p report as a partial report without a base. */
auto complete_report(worker_report const& report) -> partial_report;

} // namespace godwitcleat::state

#endif
