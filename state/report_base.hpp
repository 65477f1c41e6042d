/** @file report_base.hpp Writes and rebuilds partial heartbeats. */
#ifndef GODWITCLEAT_STATE_REPORT_BASE_HPP
#define GODWITCLEAT_STATE_REPORT_BASE_HPP

#include "state/report_type.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

namespace godwitcleat::state
{

/** When a report states new measurements. */
struct report_limits
{
    /// Time between two reports that state the measurements of all tasks. Two
    /// of them decide on a disturbance, for which the engine waits 3 s.
    core::duration sample_interval = std::chrono::seconds{2};
    /// Changes from which a measurement is stated at once.
    double significant_share = 0.25; ///< Of the use stated before.
    std::int64_t significant_cpu_milli = 100;
    std::int64_t significant_memory_mb = 64;
    /// A third of the slowdown from which the engine acts, 0.3.
    double significant_slowdown = 0.1;
};

/**
 * The worker's side: reduces complete heartbeats to what has changed since the
 * latest one that was answered. Progress alone is no change, because the owner
 * needs it only with a new phase or checkpoint. Not thread-safe.
 */
class report_writer
{
public:
    report_writer() = default;
    explicit report_writer(report_limits limits);

    /** Returns what to send in place of @p full at @p now. */
    auto write(worker_report const& full, core::time_point now)
        -> partial_report;

    /** The owner has answered heartbeat @p sequence. */
    auto answered(std::uint64_t sequence) -> void;

    /** The next report is complete. */
    auto restart() -> void;

private:
    using task_map = std::map<attempt_key, task_report>;

    /** What a heartbeat has stated. */
    struct statement
    {
        std::uint64_t sequence = 0;
        core::time_point sampled_at;
        task_map tasks;
    };

    auto write_changes(
        worker_report const& full, core::time_point now, statement& stated)
        -> partial_report;
    static auto write_samples(
        task_map const& current, partial_report& result, statement& stated)
        -> void;
    [[nodiscard]] auto
    is_significant(task_report const& before, task_report const& now) const
        -> bool;

    report_limits limits_;
    statement base_; ///< Latest one that was answered; sequence 0: none.
    std::map<std::uint64_t, statement> open_;
};

/**
 * The owner's side: rebuilds complete heartbeats. Keeps the latest report of
 * each worker and those that the worker may still build on. Not thread-safe.
 */
class report_reader
{
public:
    /**
     * Returns the complete heartbeat that @p report, received at @p now, stands
     * for; std::nullopt with conflict if its base is not held. The report is
     * then no inventory, and the worker must send a complete one. Lists of
     * workers that were silent for 10 min are dropped.
     */
    auto read(partial_report const& report, core::time_point now)
        -> std::optional<worker_report>;

    /** Returns the number of lists that are held. */
    [[nodiscard]] auto held_lists() const -> std::size_t;

private:
    struct held_task
    {
        task_report report;
        core::time_point received_at; ///< When its measurement was received.
    };

    using task_map = std::map<attempt_key, held_task>;

    struct held_worker
    {
        std::uint64_t boot = 0;
        worker_info info;
        std::map<std::uint64_t, task_map> lists; ///< By heartbeat.
        core::time_point heard_at;
    };

    [[nodiscard]] auto base_of(partial_report const& report) const
        -> std::optional<task_map>;
    static auto
    rebuild(partial_report const& report, core::time_point now, task_map& tasks)
        -> bool;
    static auto apply_samples(
        partial_report const& report, core::time_point now, task_map& tasks)
        -> bool;
    static auto
    keep(partial_report const& report, task_map tasks, held_worker& held)
        -> void;
    auto forget_silent(core::time_point now) -> void;

    std::map<core::worker_id, held_worker> workers_;
    core::time_point next_check_; ///< For silent workers.
};

/** Returns @p report as a partial one that names all tasks. */
auto complete_report(worker_report const& report) -> partial_report;

} // namespace godwitcleat::state

#endif
