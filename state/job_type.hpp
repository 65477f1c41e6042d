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
    service ///< One runner of a service; runs until it is cancelled.
};

/** Scheduling class; lower values start first. */
enum class priority_class
{
    urgent,  ///< Starts within 2.4 s, may evict interruptible batch work.
    service, ///< Latency-critical.
    batch    ///< Everything else.
};

/** Phase of a job, as its home shard knows it. */
enum class job_phase
{
    queued,        ///< Waits for a placement.
    placed,        ///< An attempt is bound to a worker, not yet reported.
    running,       ///< The worker reported the attempt as running.
    checkpointing, ///< The attempt is being checkpointed and stopped.
    finished,      ///< Final: the work is done.
    failed,        ///< Final: too many failed attempts.
    cancelled,     ///< Final: an operator or a publish cancelled it.
    impossible     ///< Waits: its needs exceed every known worker.
};

/** How an attempt ended. */
enum class attempt_outcome
{
    finished,   ///< The work is done.
    failed,     ///< The task exited with an error.
    stopped,    ///< It was stopped on request, with or without checkpoint.
    lost,       ///< Its worker's lease lapsed.
    not_started ///< The task certainly never ran.
};

auto to_string(job_kind value) -> std::string_view;
auto to_string(priority_class value) -> std::string_view;
auto to_string(job_phase value) -> std::string_view;
auto to_string(attempt_outcome value) -> std::string_view;
auto parse_job_kind(std::string_view text) -> std::optional<job_kind>;
auto parse_priority(std::string_view text) -> std::optional<priority_class>;

/** Returns true for phases that a job never leaves. */
auto is_final(job_phase phase) -> bool;

/** What an operator asks for. */
struct job_spec
{
    core::job_id id;    ///< Chosen by the submitter.
    core::team_id team; ///< Team whose quota is charged.
    job_kind kind = job_kind::batch;
    priority_class priority = priority_class::batch;
    core::service_id service;         ///< Set for runners of a service.
    std::string task_class;           ///< Kind of work, for interference.
    core::resources need;             ///< Committed while the task runs.
    bool interruptible = true;        ///< May be checkpointed and moved.
    std::int64_t expected_run_ms = 0; ///< Declared run time; 0: unknown.
    std::int64_t deadline_s = 0;      ///< Seconds since 1970; 0: none.
    std::string command;              ///< Passed to the worker as it is.

    auto operator==(job_spec const&) const -> bool = default;
};

/** The placement of the current attempt, as the home shard knows it. */
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
    core::attempt_number last_attempt;      ///< Highest number bound so far.
    std::optional<attempt_binding> binding; ///< Set while one is not over.
    std::uint32_t failures = 0;             ///< Attempts that ended as failed.
    std::uint32_t evictions = 0;            ///< Attempts that ended as stopped.
    bool cancel_requested = false;          ///< No further attempt is issued.
    std::string checkpoint;         ///< The next attempt resumes from it.
    std::int64_t progress = 0;      ///< Work units done at the checkpoint.
    std::string reason;             ///< Why it failed or waits.
    std::uint64_t submit_order = 0; ///< Order of submits in the shard.

    auto operator==(job const&) const -> bool = default;
};

/** A task that a worker of this shard runs or ran, in its host shard. */
struct hosted_task
{
    job_spec spec;
    core::attempt_number attempt;
    core::shard_id home; ///< Shard that issued the attempt.
    core::worker_id worker;
    std::string checkpoint;    ///< State to resume from; empty: none.
    std::int64_t progress = 0; ///< Work units done at that checkpoint.
    std::optional<attempt_outcome> outcome; ///< Set once the task is over.
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

} // namespace godwitcleat::state

#endif
