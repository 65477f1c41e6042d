/** @file simulation_base.hpp Event queue that drives the request path. */
#ifndef GODWITCLEAT_EXPERIMENTS_OVERLOAD_SIMULATION_BASE_HPP
#define GODWITCLEAT_EXPERIMENTS_OVERLOAD_SIMULATION_BASE_HPP

#include "coordination/coordination.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace godwitcleat::experiments
{

/** What happens during a run. */
enum class scenario
{
    steady,       ///< Nothing.
    step,         ///< The stated load for 3 s, 70% before and after.
    two_services, ///< One has the stated load, the other 70%.
    half_lost     ///< Half the backend servers stop answering.
};

/** Returns the scenario named @p text, or std::nullopt with invalid_input. */
auto parse_scenario(std::string_view text) -> std::optional<scenario>;

/** A part of the requests that has one deadline. */
struct deadline_share
{
    core::duration deadline{};
    double share = 0.0; ///< Of all requests; all shares add up to 1.
};

/** Callers that repeat a request after a refusal with `not run`. */
struct caller_retries
{
    double fraction = 0.5; ///< Of the callers.
    bool backoff = true;   ///< 100 ms, doubled, with jitter; otherwise 10 ms.
    int most = 3;          ///< For one request.
};

/** Parameters of a run. */
struct run_options
{
    std::string limiter = "estimate";
    scenario what = scenario::steady;
    std::uint64_t seed = 1;
    std::size_t instances = 6;
    std::size_t backends = 50;
    double load = 1.0; ///< Of all slots of all backend servers.
    core::duration mean_service{};
    core::duration length{}; ///< Measured time, after the warm-up.
    double idempotent = 0.5; ///< Fraction of the requests.
    std::vector<deadline_share> deadlines;
    caller_retries callers;
    coordination::admission_settings bounded; ///< Of that limiter.
    std::uint32_t connections = 9; ///< Per instance and backend server.
    bool shared_servers = false;   ///< Two services use the same ones.
};

/** Figures of one service in one run. */
struct run_result
{
    double offered = 0.0;      ///< First requests of callers per second.
    double goodput = 0.0;      ///< Answers within the deadline per second.
    double good_ratio = 0.0;   ///< Requests with a good answer at last.
    double p50_ms = 0.0;       ///< Of good answers.
    double p99_ms = 0.0;       ///< Of good answers.
    std::uint64_t refused = 0; ///< Refusals with `not run`.
    std::uint64_t late = 0;    ///< Handed over, and no answer in time.
    std::uint64_t retries = 0; ///< By the instances.
    std::uint64_t repeats = 0; ///< By callers after a refusal.
    double wasted = 0.0;       ///< Part of the work whose answer was not used.
    /// After the end of the step or the loss, until goodput has been 90% of
    /// what is possible for 300 ms; -1: not before the end.
    double recovery_ms = 0.0;
};

/** Returns one result for each service. */
auto run_overload(run_options const& options) -> std::vector<run_result>;

} // namespace godwitcleat::experiments

#endif
