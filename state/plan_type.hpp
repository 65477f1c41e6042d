/** @file plan_type.hpp Jobs of several steps, and their stored records. */
#ifndef GODWITCLEAT_STATE_PLAN_TYPE_HPP
#define GODWITCLEAT_STATE_PLAN_TYPE_HPP

#include "core/core.hpp"
#include "state/queue_type.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace godwitcleat::state
{

/** A group of identical tasks of a job. */
struct plan_step
{
    std::uint32_t tasks = 1;
    core::resources need;             ///< Of one task.
    std::int64_t expected_run_ms = 0; ///< As declared; 0: unknown.
    std::vector<std::uint32_t> after; ///< Earlier steps that must end first.
    bool checkpoints = false;     ///< A stopped task resumes from a checkpoint.
    bool gang = false;            ///< All tasks must run at the same time.
    bool same_rack = false;       ///< The tasks run slower on several racks.
    bool long_running = false;    ///< The tasks run until the job is cancelled.
    bool parallel_copies = false; ///< Runs of the same task may overlap.
    bool uses_spare_cpu = false;  ///< Best effort; reserves no processors.
    std::string label;            ///< Required of its workers; empty: none.
    std::string near_rack;        ///< Rack of its data; empty: any.
    std::uint32_t max_per_worker = 0;  ///< 0: no limit.
    std::uint32_t max_unavailable = 0; ///< Tasks that may be down at once.
    std::string task_class;          ///< Tasks of a class use resources alike.
    std::int64_t tail_target_ms = 0; ///< Target for the tail latency; 0: none.

    auto operator==(plan_step const&) const -> bool = default;
};

/** The specification of a job, as submitted by the caller. */
struct job_plan
{
    core::job_id id;
    queue_id queue;
    std::string command; ///< Passed to the workers unchanged.
    std::vector<plan_step> steps;
    std::uint32_t occurrences = 1; ///< Number of times that the steps run.
    std::int64_t first_run_ms = 0; ///< Unix time of occurrence 0; 0: at once.
    std::int64_t interval_ms = 0;  ///< Between occurrences.

    auto operator==(job_plan const&) const -> bool = default;
};

/** Phase of a job of steps. */
enum class plan_phase
{
    queued,    ///< No task has started.
    active,    ///< A task has started.
    completed, ///< Final: all tasks have completed.
    failed,    ///< Final: a task failed max_failures times or crashed workers.
    cancelled  ///< Final: cancelled by the caller.
};

auto to_string(plan_phase value) -> std::string_view;

auto is_final(plan_phase phase) -> bool;

/** The stored record of an accepted job; it is never updated. */
struct plan_record
{
    job_plan plan;
    core::epoch accepted_term;    ///< Term of the owner that accepted it.
    std::int64_t accepted_ms = 0; ///< Unix time.
    /** The worker of a long-running task is stored before its start. Owners
     *  that do not store it leave this unset. */
    bool stores_workers = false;
    /** Service of its queue at that time; empty: not known. */
    core::service_id service;
    customer_id customer; ///< Its owner; empty: none.

    auto operator==(plan_record const&) const -> bool = default;
};

/** Progress of a task that has failed, crashed workers, has a checkpoint or may
 *  run on a stored worker. */
struct task_progress
{
    std::uint32_t task = 0; ///< Index over all tasks of the job.
    std::vector<std::uint64_t> failed_runs; ///< Each counts as a failure.
    std::string checkpoint;
    std::vector<std::uint64_t> crashed_runs; ///< Each crashed its worker.
    /** The only worker where a long-running task may run; empty: none. Only
     *  with plan_record::stores_workers. */
    core::worker_id worker;

    auto operator==(task_progress const&) const -> bool = default;
};

/** The stored progress of a job. */
struct plan_progress
{
    plan_phase phase = plan_phase::queued; ///< Only final phases are stored.
    std::string done; ///< One bit for each task, lowest bit first.
    std::vector<task_progress> tasks;
    /** Tasks may run on workers of other services than plan_record::service,
     *  because the queue was moved to another one. */
    bool any_service = false;
    /** A task has started. Owners of earlier releases leave this unset. */
    bool started = false;

    auto operator==(plan_progress const&) const -> bool = default;
};

/** Sets the bit of task @p task. */
auto mark_done(plan_progress& progress, std::uint32_t task) -> void;

/** Returns true if the bit of task @p task is set. */
auto is_done(plan_progress const& progress, std::uint32_t task) -> bool;

/** Identifies a task of a job. */
struct task_name
{
    core::job_id job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    auto operator<=>(task_name const&) const = default; // NOLINT
};

/** Limits of a plan. */
constexpr std::uint32_t max_steps = 64;
constexpr std::uint32_t max_tasks_per_step = 10'000;
constexpr std::uint32_t max_occurrences = 10'000;
constexpr std::uint64_t max_tasks_per_job = 100'000;
constexpr std::size_t max_command_bytes = 4'000;

/** Returns true, or std::nullopt with invalid_input and a description. */
auto check_plan(job_plan const& plan) -> std::optional<bool>;

/**
 * Returns the length of the critical path, the longest chain of dependent
 * steps, by the declared run times.
 */
auto critical_path_ms(job_plan const& plan) -> std::int64_t;

/** As above, by @p run_ms, one value for each step. */
auto critical_path_ms(
    job_plan const& plan, std::span<std::int64_t const> run_ms) -> std::int64_t;

} // namespace godwitcleat::state

#endif
