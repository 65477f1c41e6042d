/** @file simulation_base.hpp Event queue that drives the router's decisions. */
#ifndef GODWITCLEAT_EXPERIMENTS_ROUTING_SIMULATION_BASE_HPP
#define GODWITCLEAT_EXPERIMENTS_ROUTING_SIMULATION_BASE_HPP

#include "coordination/coordination.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace godwitcleat::experiments
{

/** What happens to one backend server, instance or the load. */
enum class scenario
{
    steady,        ///< Nothing.
    slow,          ///< One backend server becomes ten times slower.
    frozen,        ///< One backend server stops answering.
    leaving,       ///< One backend server is marked as leaving.
    returning,     ///< One backend server appears.
    instance_lost, ///< One entry instance ends.
    load_step      ///< The load rises from 60% of the stated load to all of it.
};

/** Returns the scenario named @p text, or std::nullopt with invalid_input. */
auto parse_scenario(std::string_view text) -> std::optional<scenario>;

/** Parameters of a run. */
struct run_options
{
    std::string policy = "default";
    scenario what = scenario::steady;
    std::uint64_t seed = 1;
    std::size_t instances = 6;
    std::size_t backends = 50;
    double load = 0.8; ///< Of all slots of all backend servers.
    bool lognormal = false;
    double sigma = 1.0;            ///< Of the lognormal service time.
    core::duration mean_service{}; ///< Of one request.
    core::duration exchange{};     ///< Between peer updates; 0: none.
    bool indexed = false;          ///< Updates carry positions, not names.
    core::duration length{};       ///< Measured time, after the warm-up.
    coordination::router_settings router;
};

/** Figures of one run. */
struct run_result
{
    double p50_ms = 0.0;
    double p99_ms = 0.0;
    double p999_ms = 0.0;
    std::uint64_t answers = 0;
    std::uint64_t refusals = 0; ///< No backend server could be chosen.
    std::uint64_t failures = 0; ///< No answer within the deadline.
    std::uint64_t lost = 0;     ///< In flight on the lost instance.
    std::uint64_t retries = 0;
    std::uint64_t wasted = 0;     ///< Runs whose answer came too late.
    std::uint64_t to_leaving = 0; ///< Sent after the table arrived.
    double bytes_per_s = 0.0;     ///< Sent for the exchange, per instance.
};

/** Runs the router of each instance against modelled backend servers. */
auto run_routers(run_options const& options) -> run_result;

/**
 * Runs one queue that knows all free slots, with the same arrivals and service
 * times. It never uses a slow, frozen, leaving or absent backend server.
 */
auto run_omniscient(run_options const& options) -> run_result;

} // namespace godwitcleat::experiments

#endif
