/** @file absence_func.hpp Rules for workers that are drained and return. */
#ifndef GODWITCLEAT_STATE_ABSENCE_FUNC_HPP
#define GODWITCLEAT_STATE_ABSENCE_FUNC_HPP

#include "state/job_type.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace godwitcleat::state
{

/** Which interruptible batch tasks may continue on a drained worker. */
enum class drain_grace
{
    none,      ///< None: all are checkpointed at once.
    finishing, ///< Those expected to finish within the grace period.
    all        ///< All, until the grace period ends.
};

/** How tasks are moved off drained workers; see docs/design.md, 5.5. */
struct drain_settings
{
    /// Service runners that wait for capacity evict interruptible batch tasks.
    /// For a runner on a drained worker this happens while it still serves.
    bool services_evict = true;
    /// Batch tasks are checkpointed after the worker's services were told to
    /// stop.
    bool services_first = true;
    drain_grace grace = drain_grace::none;
    core::duration grace_period =
        std::chrono::seconds{30};        ///< From the drain of the worker.
    std::uint32_t checkpoints_per_s = 0; ///< Per shard; 0: unlimited.
    /// Minimum time between two batch starts on a worker that has returned.
    core::duration ramp_interval{0};
    core::duration ramp_length =
        std::chrono::seconds{30}; ///< From the return of the worker.
};

/** An interruptible batch task on a drained worker. */
struct draining_task
{
    attempt_key key;
    core::duration drained_for{0}; ///< Time since the drain of its worker.
    std::optional<core::duration>
        remaining; ///< Declared run time minus progress; unset: unknown.
};

/**
 * Returns at most @p max_tasks tasks to checkpoint now, the longest remaining
 * run time first. Unknown run times count as the longest. The run time of a
 * task that exceeds its declared run time is unknown, because the declaration
 * was wrong.
 */
auto choose_tasks_to_checkpoint(
    std::span<draining_task const> tasks, drain_settings const& settings,
    std::size_t max_tasks) -> std::vector<attempt_key>;

/**
 * Returns true if a batch task may start on a worker that returned
 * @p since_return ago and whose latest batch start was @p since_start ago.
 * Unset values mean that the event did not occur.
 */
auto may_start_batch(
    std::optional<core::duration> since_return,
    std::optional<core::duration> since_start, drain_settings const& settings)
    -> bool;

} // namespace godwitcleat::state

#endif
