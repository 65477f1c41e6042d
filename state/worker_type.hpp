/** @file worker_type.hpp Heartbeats of workers and the replies to them. */
#ifndef GODWITCLEAT_STATE_WORKER_TYPE_HPP
#define GODWITCLEAT_STATE_WORKER_TYPE_HPP

#include "state/job_type.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace godwitcleat::state
{

/** Phase of a task on its worker. */
enum class task_phase
{
    running,       ///< Runs under the worker's lease.
    checkpointing, ///< Writes a checkpoint, then stops.
    finished,      ///< Done; reported until forgotten.
    failed,        ///< Exited with an error; reported until forgotten.
    stopped        ///< Stopped; reported until forgotten.
};

/** Name and position of a worker. */
struct worker_info
{
    core::worker_id worker;
    core::rack_id rack;
    core::data_centre_id data_centre;
    core::resources capacity;

    auto operator==(worker_info const&) const -> bool = default;
};

/** One task in a heartbeat. */
struct task_report
{
    attempt_key key;
    task_phase phase = task_phase::running;
    std::int64_t progress = 0; ///< Work units done.
    std::string checkpoint;    ///< Latest checkpoint; empty: none.
    std::string endpoint;      ///< ADDRESS:PORT of a service runner.
    core::resources usage;     ///< Measured use; late by usage_age_ms.
    std::int64_t usage_age_ms = 0;
    double slowdown = 1.0; ///< Measured run time over undisturbed one.
};

/** A heartbeat from a worker. */
struct worker_report
{
    worker_info info;
    core::epoch highest_epoch;  ///< Highest epoch seen for its shard.
    std::uint64_t boot = 0;     ///< Changes with each start of the worker.
    std::uint64_t sequence = 0; ///< Grows with each heartbeat of a boot.
    std::vector<task_report> tasks;
};

/** What a worker must do with a task. */
enum class worker_command_kind
{
    start,      ///< Start unless it is known already.
    stop,       ///< Stop at once.
    checkpoint, ///< Write a checkpoint, then stop.
    throttle,   ///< Limit the processor share to `throttle_percent`.
    forget      ///< The outcome is stored; stop reporting the task.
};

/** One command in a reply. */
struct worker_command
{
    worker_command_kind kind = worker_command_kind::stop;
    attempt_key key;
    job_spec spec;             ///< For start.
    std::string checkpoint;    ///< For start: resume from it.
    std::int64_t progress = 0; ///< For start: work units already done.
    std::int64_t throttle_percent = 100; ///< For throttle.
};

/** The answer to a heartbeat. */
struct heartbeat_reply
{
    core::shard_id shard;
    core::epoch owner_epoch;         ///< Lower than the highest: refuse.
    std::int64_t lease_ms = 0;       ///< From the sending of the heartbeat.
    std::int64_t start_valid_ms = 0; ///< Starts are refused after this.
    std::int64_t next_heartbeat_ms = 0;
    std::vector<worker_command> commands;
    bool full_wanted = false; ///< Ignore the rest; send a full report at once.
};

auto to_string(task_phase value) -> std::string_view;
auto parse_task_phase(std::string_view text) -> std::optional<task_phase>;
auto to_string(worker_command_kind value) -> std::string_view;
auto parse_worker_command_kind(std::string_view text)
    -> std::optional<worker_command_kind>;

} // namespace godwitcleat::state

#endif
