/** @file workload_func.hpp Requests of callers in a run. */
#ifndef GODWITCLEAT_EXPERIMENTS_OVERLOAD_WORKLOAD_FUNC_HPP
#define GODWITCLEAT_EXPERIMENTS_OVERLOAD_WORKLOAD_FUNC_HPP

#include "simulation_base.hpp"

#include <chrono>
#include <deque>
#include <vector>

namespace godwitcleat::experiments
{

/// Not measured.
constexpr core::duration warm_up = std::chrono::seconds{2};

/// Of the scenario `step`.
constexpr core::duration step_length = std::chrono::seconds{3};

/// Slots of one backend server.
constexpr std::uint64_t slots = 8;

/** One try of a caller. */
struct request
{
    core::duration at{};
    core::duration work{};
    core::duration deadline{}; ///< Length.
    std::uint32_t instance = 0;
    std::uint32_t service = 0;
    int repeats = 0; ///< That the caller will make.
    bool idempotent = false;

    /// State
    std::size_t first = 0; ///< The caller's first try.
    bool good = false;     ///< Of the first try: answered at last.
    bool uncertain = false;
    std::vector<core::backend_server_id> tried;
};

/** Returns when the scenario's change happens. */
auto change_time(run_options const& options) -> core::duration;

/** Returns when the last request arrives. */
auto end_time(run_options const& options) -> core::duration;

auto service_count(run_options const& options) -> std::size_t;

/** Returns the load of @p service at @p at, of the slots that are its own. */
auto load_at(run_options const& options, std::size_t service, core::duration at)
    -> double;

/** Returns the callers' first tries by time, the same for each limiter. */
auto make_workload(run_options const& options) -> std::deque<request>;

} // namespace godwitcleat::experiments

#endif
