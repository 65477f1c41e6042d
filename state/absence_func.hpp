/** @file absence_func.hpp Rules for workers that are taken out and return. */
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

/** Which interruptible batch work may run on while its worker is drained. */
enum class run_on_kind
{
    none,      ///< All of it is checkpointed at once.
    finishing, ///< Work that is expected to finish within the bound.
    all        ///< All of it, up to the bound.
};

/** How work leaves drained workers and returns; see docs/design.md, 5.5. */
struct absence_settings
{
    /// Services that wait for room evict interruptible batch work, and room
    /// for a runner on a drained worker is made while it still serves.
    bool services_evict = true;
    /// Batch work leaves after the services there have been told to stop.
    bool services_first = true;
    run_on_kind run_on = run_on_kind::none;
    core::duration run_on_bound =
        std::chrono::seconds{30};        ///< Since the worker was drained.
    std::uint32_t checkpoints_per_s = 0; ///< In one shard; 0: no limit.
    /// Least time between two batch starts on a worker that has returned.
    core::duration ramp_interval{0};
    core::duration ramp_length =
        std::chrono::seconds{30}; ///< Since the worker returned.
};

/** Interruptible batch work on a drained worker. */
struct leaving_task
{
    attempt_key key;
    core::duration drained_for{0}; ///< Since its worker was drained.
    std::optional<core::duration>
        remaining; ///< Declared run time less progress; unset: unknown.
};

/**
 * Returns the tasks to checkpoint now, at most @p most of them, the longest
 * remaining run time first. Unknown run times count as the longest. A task
 * whose declared run time has passed counts as unknown: the declaration was
 * wrong.
 */
auto choose_leaving(
    std::span<leaving_task const> tasks, absence_settings const& settings,
    std::size_t most) -> std::vector<attempt_key>;

/**
 * Returns true if batch work may start on a worker that returned
 * @p returned_for ago and whose latest batch start was @p started_for ago.
 */
auto may_ramp(
    std::optional<core::duration> returned_for,
    std::optional<core::duration> started_for, absence_settings const& settings)
    -> bool;

} // namespace godwitcleat::state

#endif
