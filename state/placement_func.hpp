/** @file placement_func.hpp Choosing a worker for a task. */
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

/** A worker that may take a task now, as the policy sees it. */
struct placement_candidate
{
    core::worker_id worker;
    core::rack_id rack;
    core::data_centre_id data_centre;
    core::resources capacity;
    core::resources free;                  ///< Capacity less commitments.
    std::vector<std::string> task_classes; ///< Of the tasks on it.
    std::uint32_t latency_critical = 0;    ///< Service tasks on it.
    /// Of the service tasks on it; empty: only their number is known.
    std::vector<std::string> critical_classes;
};

/** Expected slowdown that @p other causes to @p task; 1.0 is none. */
using interference_estimate =
    std::function<double(std::string_view task, std::string_view other)>;

/** Returns the index of the candidate for @p spec, or std::nullopt. */
using placement_policy = std::function<std::optional<std::size_t>(
    job_spec const& spec, std::span<placement_candidate const> candidates)>;

/** The first worker with enough room. */
auto first_fit() -> placement_policy;

/** The worker with the least room left. */
auto best_fit() -> placement_policy;

/** The worker with the most room left. */
auto spread() -> placement_policy;

/**
 * The worker with the least expected disturbance, then the least room left.
 * Disturbance of latency-critical tasks counts most. For a latency-critical
 * task, the room left counts as a disturbance that later tasks will cause.
 */
auto interference_aware(interference_estimate estimate) -> placement_policy;

} // namespace godwitcleat::state

#endif
