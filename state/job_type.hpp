/** @file job_type.hpp Jobs, attempts and tasks. */
#ifndef GODWITCLEAT_STATE_JOB_TYPE_HPP
#define GODWITCLEAT_STATE_JOB_TYPE_HPP

#include "core/core.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace godwitcleat::state
{

/** What a job is. */
enum class job_kind
{
    batch,  ///< Runs until it finishes.
    service ///< A service runner; runs until it is cancelled.
};

/** Scheduling class; lower values are scheduled first. */
enum class priority_class
{
    urgent,  ///< Starts within 2.4 s; may evict interruptible batch jobs.
    service, ///< Latency-critical service runners.
    batch    ///< All other jobs.
};

/** Phase of a job, as known to its home shard. */
enum class job_phase
{
    queued,        ///< Waits for placement.
    placed,        ///< Bound to a worker, not yet reported as running.
    running,       ///< Its worker has reported the attempt as running.
    checkpointing, ///< The attempt writes a checkpoint and then stops.
    finished,      ///< Final: the work is done.
    failed,        ///< Final: too many failed attempts.
    cancelled,     ///< Final: cancelled by an operator or a new configuration.
    impossible     ///< Waits: no known worker is large enough.
};

/** How an attempt ended. */
enum class attempt_outcome
{
    finished,   ///< The work is done.
    failed,     ///< The task exited with an error.
    stopped,    ///< Stopped on request, with or without a checkpoint.
    lost,       ///< The worker's lease lapsed.
    not_started ///< The task is known never to have run.
};

auto to_string(job_kind value) -> std::string_view;
auto to_string(priority_class value) -> std::string_view;
auto to_string(job_phase value) -> std::string_view;
auto to_string(attempt_outcome value) -> std::string_view;
auto parse_job_kind(std::string_view text) -> std::optional<job_kind>;
auto parse_priority(std::string_view text) -> std::optional<priority_class>;

/** Returns true for phases that a job never leaves. */
auto is_final(job_phase phase) -> bool;

/** A job as submitted; runners and templates use it too. */
struct job_spec
{
    core::job_id id;    ///< Chosen by the submitter.
    core::team_id team; ///< Team whose quota is charged.
    job_kind kind = job_kind::batch;
    priority_class priority = priority_class::batch;
    core::service_id service;         ///< Only for service runners.
    std::string task_class;           ///< Groups tasks of equal interference.
    core::resources need;             ///< Reserved while the task runs.
    bool interruptible = true;        ///< May be checkpointed and moved.
    std::int64_t expected_run_ms = 0; ///< Declared run time; 0: unknown.
    std::int64_t deadline_s = 0;      ///< Seconds since 1970; 0: none.
    std::string command;              ///< Passed to the worker unchanged.

    auto operator==(job_spec const&) const -> bool = default;
};

/** The placement of the current attempt, as known to the home shard. */
struct attempt_binding
{
    core::attempt_number number;
    core::shard_id host; ///< Shard whose worker runs it.
    core::worker_id worker;

    auto operator==(attempt_binding const&) const -> bool = default;
};

/** A job in its home shard. */
struct job
{
    job_spec spec;
    job_phase phase = job_phase::queued;
    core::attempt_number last_attempt; ///< Highest number bound so far.
    std::optional<attempt_binding>
        binding;                    ///< Of the attempt that has not ended.
    std::uint32_t failures = 0;     ///< Attempts that ended as failed.
    std::uint32_t evictions = 0;    ///< Attempts that ended as stopped.
    bool cancel_requested = false;  ///< No further attempt is started.
    std::string checkpoint;         ///< The next attempt resumes from it.
    std::int64_t progress = 0;      ///< Work units done at the checkpoint.
    std::string reason;             ///< Why it ended or waits.
    std::uint64_t submit_order = 0; ///< Order of submits in the shard.

    auto operator==(job const&) const -> bool = default;
};

/** A task on a worker of this shard, as stored by the host shard. */
struct hosted_task
{
    job_spec spec;
    core::attempt_number attempt;
    core::shard_id home; ///< Shard that issued the attempt.
    core::worker_id worker;
    std::string checkpoint;    ///< Checkpoint to resume from; empty: none.
    std::int64_t progress = 0; ///< Work units done at the checkpoint.
    std::optional<attempt_outcome> outcome; ///< Set when the task has ended.
    std::string end_checkpoint;             ///< Checkpoint at the end.
    std::int64_t end_progress = 0;          ///< Work units done at the end.

    auto operator==(hosted_task const&) const -> bool = default;
};

/** Identifies one attempt of one job. */
struct attempt_key
{
    core::job_id job;
    core::attempt_number attempt;

    auto operator==(attempt_key const&) const -> bool = default;
    // A defaulted operator makes clang-tidy 14 report modernize-use-nullptr.
    auto operator<=>(attempt_key const& other) const
    {
        return std::tie(job, attempt) <=> std::tie(other.job, other.attempt);
    }
};

/** Returns the id of the backend server that the attempt runs. */
auto backend_server_of(attempt_key const& key) -> core::backend_server_id;

} // namespace godwitcleat::state

#endif
