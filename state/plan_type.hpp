/** @file plan_type.hpp Jobs of several steps, and what is stored of them. */
#ifndef GODWITCLEAT_STATE_PLAN_TYPE_HPP
#define GODWITCLEAT_STATE_PLAN_TYPE_HPP

#include "core/core.hpp"
#include "state/queue_type.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace godwitcleat::state
{

/** A group of equal tasks of a job. */
struct plan_step
{
    std::uint32_t tasks = 1;
    core::resources need;             ///< Of one task.
    std::int64_t expected_run_ms = 0; ///< Declared; 0: unknown.
    std::vector<std::uint32_t> after; ///< Earlier steps that must be done.
    bool checkpoints = false;     ///< A stopped task resumes from a checkpoint.
    bool gang = false;            ///< The tasks work only all together.
    bool same_rack = false;       ///< The tasks are slower on several racks.
    bool long_running = false;    ///< Runs until the job is cancelled.
    bool parallel_copies = false; ///< Several runs of a task may overlap.
    bool uses_spare_cpu = false;  ///< Its processors are not committed.
    std::string label;            ///< That its workers must have; empty: any.
    std::string near_rack;        ///< Where its data is; empty: anywhere.
    std::uint32_t most_per_worker = 0;  ///< 0: no limit.
    std::uint32_t most_unavailable = 0; ///< Tasks that may be away at once.
    std::string task_class;             ///< Tasks of one class behave alike.
    std::int64_t tail_target_ms = 0;    ///< Response time to keep; 0: none.

    auto operator==(plan_step const&) const -> bool = default;
};

/** A job of steps, as its caller describes it. */
struct job_plan
{
    core::job_id id;
    queue_id queue;
    std::string command; ///< Passed to the workers as it is.
    std::vector<plan_step> steps;
    std::uint32_t occurrences = 1; ///< How often the steps run.
    std::int64_t first_run_ms = 0; ///< Unix time of occurrence 0; 0: at once.
    std::int64_t interval_ms = 0;  ///< Between occurrences.

    auto operator==(job_plan const&) const -> bool = default;
};

/** Outcome of a job of steps. */
enum class plan_phase
{
    queued,    ///< No task has started.
    active,    ///< A task has started.
    completed, ///< Final: all tasks are done.
    failed,    ///< Final: a task has failed too often.
    cancelled  ///< Final: the caller has cancelled it.
};

auto to_string(plan_phase value) -> std::string_view;

/** Returns true for phases that a job never leaves. */
auto is_final(plan_phase phase) -> bool;

/** An accepted job in the store. It is written once. */
struct plan_record
{
    job_plan plan;
    core::epoch accepted_in;      ///< Term of the owner that accepted it.
    std::int64_t accepted_ms = 0; ///< Unix time.

    auto operator==(plan_record const&) const -> bool = default;
};

/** A task that is not done and has something to remember. */
struct task_progress
{
    std::uint32_t task = 0; ///< Index over all tasks of the job.
    std::vector<std::uint64_t> failed_runs; ///< Each counts as a failure.
    std::string checkpoint;

    auto operator==(task_progress const&) const -> bool = default;
};

/** The progress of a job in the store. */
struct plan_progress
{
    plan_phase phase = plan_phase::queued; ///< Only final phases are stored.
    std::string done; ///< One bit for each task, lowest bit first.
    std::vector<task_progress> tasks;

    auto operator==(plan_progress const&) const -> bool = default;
};

/** Sets the bit of task @p task. */
auto mark_done(plan_progress& progress, std::uint32_t task) -> void;

/** Returns true if the bit of task @p task is set. */
auto is_done(plan_progress const& progress, std::uint32_t task) -> bool;

/** Names one task of a job. */
struct task_name
{
    core::job_id job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    auto operator==(task_name const&) const -> bool = default;
};

/** Limits of a plan. */
constexpr std::uint32_t most_steps = 64;
constexpr std::uint32_t most_tasks_per_step = 10'000;
constexpr std::uint32_t most_occurrences = 10'000;
constexpr std::uint64_t most_tasks_per_job = 100'000;
constexpr std::size_t most_command_bytes = 4'000;

/** Returns true, or std::nullopt with invalid_input that names the problem. */
auto check_plan(job_plan const& plan) -> std::optional<bool>;

/**
 * Returns the length of the longest chain of dependent steps in milliseconds,
 * by the declared run times.
 */
auto longest_chain_ms(job_plan const& plan) -> std::int64_t;

} // namespace godwitcleat::state

#endif
