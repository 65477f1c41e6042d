/** @file simulation_base.hpp Placement on modelled workers with interference.
 */
#ifndef GODWITCLEAT_EXPERIMENTS_PLACEMENT_SIMULATION_BASE_HPP
#define GODWITCLEAT_EXPERIMENTS_PLACEMENT_SIMULATION_BASE_HPP

#include "core/core.hpp"
#include "state/state.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace godwitcleat::experiments
{

/** How tasks are placed. */
enum class placement_kind
{
    first_fit, ///< state::first_fit().
    best_fit,  ///< state::best_fit().
    spread,    ///< state::spread().
    unlearned, ///< interference_aware() with one estimate for all pairs.
    learned    ///< The default of the engine.
};

/** What is done on a worker where a service is disturbed. */
enum class relief_kind
{
    none,    ///< Nothing.
    largest, ///< The largest interruptible task is evicted.
    worst    ///< The default of the engine.
};

auto parse_placement(std::string_view text) -> std::optional<placement_kind>;
auto parse_relief(std::string_view text) -> std::optional<relief_kind>;

/** Options of one run. */
struct run_options
{
    placement_kind placement = placement_kind::learned;
    relief_kind relief = relief_kind::worst;
    std::uint64_t seed = 1;
    std::uint32_t workers = 22;
    std::uint32_t failing_workers = 2; ///< They fail each task at its start.
    std::uint32_t services = 24;       ///< Service runners.
    double calm_rate = 0.4;            ///< Batch jobs per second.
    double wave_rate = 2.0;            ///< Batch jobs per second in a wave.
    std::uint32_t warm_up_s = 180;
    std::uint32_t length_s = 900; ///< Measured, after the warm-up.
};

/** Results of one run. */
struct run_result
{
    double mean_slowdown = 1.0;   ///< Of services, over time and runners.
    double p99_slowdown = 1.0;    ///< Of services, over time and runners.
    double batch_work = 0;        ///< Core seconds of finished batch jobs.
    double lost_work = 0;         ///< Core seconds that evictions cost.
    std::uint64_t batch_jobs = 0; ///< Finished.
    std::uint64_t evictions = 0;
    std::uint64_t throttles = 0;
    std::uint64_t failed_jobs = 0; ///< Jobs given up after failed attempts.
};

auto run_placement(run_options const& options) -> run_result;

} // namespace godwitcleat::experiments

#endif
