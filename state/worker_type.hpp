/** @file worker_type.hpp Worker heartbeats and the replies to them. */
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
    finished,      ///< Reported until the owner sends `forget`.
    failed,        ///< Exited with an error; reported until `forget`.
    stopped        ///< Stopped on request; reported until `forget`.
};

/** Identity, location and capacity of a worker. */
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
    core::resources usage;     ///< Measured usage, usage_age_ms old.
    std::int64_t usage_age_ms = 0;
    double slowdown = 1.0; ///< Run time divided by that when run alone.
};

/** A heartbeat from a worker. */
struct worker_report
{
    worker_info info;
    core::epoch highest_epoch;  ///< Highest owner epoch seen for its shard.
    std::uint64_t boot = 0;     ///< Identifies one start of the worker process.
    std::uint64_t sequence = 0; ///< Number of the heartbeat since that start.
    std::vector<task_report> tasks;
};

/** Kind of a command to a worker. */
enum class worker_command_kind
{
    start,      ///< Start the task, unless it is already known.
    stop,       ///< Stop immediately.
    checkpoint, ///< Write a checkpoint, then stop.
    throttle,   ///< Limit its processor share to `throttle_percent`.
    forget      ///< The outcome is stored; stop reporting the task.
};

/** A command to a worker. */
struct worker_command
{
    worker_command_kind kind = worker_command_kind::stop;
    attempt_key key;
    job_spec spec;             ///< For start.
    std::string checkpoint;    ///< For start: checkpoint to resume from.
    std::int64_t progress = 0; ///< For start: work units done there.
    std::int64_t throttle_percent = 100; ///< For throttle.
};

/** The reply to a heartbeat. */
struct heartbeat_reply
{
    core::shard_id shard;
    core::epoch owner_epoch;   ///< Workers ignore replies of lower epochs.
    std::int64_t lease_ms = 0; ///< Counts from the sending of the heartbeat.
    std::int64_t start_valid_ms = 0; ///< Start commands expire after this time.
    std::int64_t next_heartbeat_ms = 0;
    std::vector<worker_command> commands;
    bool full_report_requested =
        false; ///< Ignore the rest; send a complete report.
};

auto to_string(task_phase value) -> std::string_view;
auto parse_task_phase(std::string_view text) -> std::optional<task_phase>;
auto to_string(worker_command_kind value) -> std::string_view;
auto parse_worker_command_kind(std::string_view text)
    -> std::optional<worker_command_kind>;

} // namespace godwitcleat::state

#endif
