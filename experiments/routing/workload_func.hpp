/** @file workload_func.hpp Requests of a run and figures of its answers. */
#ifndef GODWITCLEAT_EXPERIMENTS_ROUTING_WORKLOAD_FUNC_HPP
#define GODWITCLEAT_EXPERIMENTS_ROUTING_WORKLOAD_FUNC_HPP

#include "simulation_base.hpp"

#include <chrono>
#include <cstdint>
#include <vector>

namespace godwitcleat::experiments
{

constexpr std::uint64_t slots = 8; ///< Of each backend server.
constexpr core::duration one_way = std::chrono::microseconds{1500};
constexpr core::duration warm_up = std::chrono::seconds{2};

/** One request as it arrives at an instance. */
struct request
{
    core::duration at{};
    core::duration work{};
    std::uint32_t instance = 0;
};

/** Returns the time of the scenario's change. */
auto fault_time(run_options const& options) -> core::duration;

/** Returns the time of the last arrival. */
auto end_time(run_options const& options) -> core::duration;

/** Returns the arrivals and service times of a run. */
auto make_workload(run_options const& options) -> std::vector<request>;

/** Sets the number and the quantiles of @p values, which are reordered. */
auto fill_quantiles(run_result& into, std::vector<core::duration>& values)
    -> void;

} // namespace godwitcleat::experiments

#endif
