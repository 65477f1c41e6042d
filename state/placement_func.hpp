/** @file placement_func.hpp Policies that choose a worker for a task. */
#ifndef GODWITCLEAT_STATE_PLACEMENT_FUNC_HPP
#define GODWITCLEAT_STATE_PLACEMENT_FUNC_HPP

#include "state/job_type.hpp"
#include "state/worker_type.hpp"

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace godwitcleat::state
{

/** A worker that can accept a task now; input of a placement policy. */
struct placement_candidate
{
    core::worker_id worker;
    core::rack_id rack;
    core::data_centre_id data_centre;
    core::resources capacity;
    core::resources free;                  ///< Capacity minus commitments.
    std::vector<std::string> task_classes; ///< Of its tasks.
    std::uint32_t latency_critical = 0;    ///< Number of its service tasks.
    /// Task classes of its service tasks; empty: only their number is known.
    std::vector<std::string> critical_classes;
};

/** Expected slowdown that @p other causes to @p task; 1.0 is none. */
using interference_estimate =
    std::function<double(std::string_view task, std::string_view other)>;

/** Returns the index of the candidate for @p spec, or std::nullopt. */
using placement_policy = std::function<std::optional<std::size_t>(
    job_spec const& spec, std::span<placement_candidate const> candidates)>;

/** Chooses the first worker with enough free capacity. */
auto first_fit() -> placement_policy;

/** Chooses the worker with the least free capacity left. */
auto best_fit() -> placement_policy;

/** Chooses the worker with the most free capacity left. */
auto spread() -> placement_policy;

/**
 * Chooses the worker with the least expected interference, then the least free
 * capacity left. Interference with latency-critical tasks has the largest
 * weight. For a latency-critical task, the free processors left count as
 * interference by tasks that will be placed there later.
 */
auto interference_aware(interference_estimate estimate) -> placement_policy;

} // namespace godwitcleat::state

#endif
