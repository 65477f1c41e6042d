/** @file simulation_base.hpp A data centre that is taken out and brought back.
 */
#ifndef GODWITCLEAT_EXPERIMENTS_ABSENCE_SIMULATION_BASE_HPP
#define GODWITCLEAT_EXPERIMENTS_ABSENCE_SIMULATION_BASE_HPP

#include "core/core.hpp"
#include "state/state.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace godwitcleat::experiments
{

/** Instances of one operator. */
struct fleet
{
    std::uint32_t data_centres = 0;
    std::uint32_t workers = 0;
    std::uint32_t rack_size = 0;
    core::resources capacity;   ///< Of each worker.
    std::uint32_t services = 0; ///< Service runners.
    double scale = 1.0;         ///< Of task sizes; 1.0 on 16 cores.
};

/** Returns the fleet `small` or `large`; std::nullopt with invalid_input. */
auto parse_fleet(std::string_view text) -> std::optional<fleet>;

/** Options of one run. */
struct run_options
{
    fleet instances;
    std::uint64_t seed = 1;
    std::uint32_t shards = 1;
    double load = 0.9;         ///< Share of the room that batch jobs ask for.
    double urgent_rate = 0.25; ///< Urgent jobs per second.
    core::duration checkpoint_delay = std::chrono::milliseconds{1000};
    /// A task that loads its data in its first 5 s uses so many times its
    /// processors.
    double start_factor = 2.0;
    /// Seconds from the drain until the instances are off; 0: they stay on.
    std::uint32_t notice_s = 0;
    std::uint32_t warm_up_s = 150;
    std::uint32_t before_s = 120;
    std::uint32_t out_s = 240;
    std::uint32_t after_s = 240;
};

/** The part of a run in which something was measured. */
enum class phase
{
    before, ///< All data centres are in use.
    out,    ///< One is drained.
    after   ///< It is back.
};

constexpr std::size_t phase_count = 3;

/** Results of one phase. */
struct phase_result
{
    double work_per_min = 0;     ///< Core seconds of batch work, new only.
    std::uint64_t evictions = 0; ///< Checkpoints that were written.
    double lost_work = 0;        ///< Core seconds paused or to be repeated.
    double mean_slowdown = 1.0;  ///< Of services.
    double p99_slowdown = 1.0;   ///< Of services, over time and runners.
    double urgent_p99_s = 0;     ///< Submit to start.
    double urgent_worst_s = 0;   ///< Submit to start.
    double urgent_late = 0;      ///< Share that started after 2.4 s.
    double queue = 0;            ///< Mean number of queued batch jobs.
    double fairness = 1.0;       ///< Jain's index of work by team.
    double missing_runner_s = 0; ///< Runner seconds without a serving runner.
};

/** Results of one run. */
struct run_result
{
    std::array<phase_result, phase_count> phases;
    double restored_s = 0;  ///< From the drain until all runners serve again.
    double cleared_s = 0;   ///< Until no movable task is left there.
    double resumed_s = 0;   ///< Mean wait from an eviction to the next start.
    double regained_s = 0;  ///< From the return to 90% of the former work rate.
    double return_load = 0; ///< p99 load of returned workers, first 60 s.
    double return_slowdown = 1; ///< p99 of their tasks, first 60 s.
    std::uint64_t killed = 0;   ///< Batch tasks stopped without a checkpoint.
    std::uint64_t forced = 0;   ///< Evictions of non-interruptible tasks.
    std::uint64_t throttles = 0;
};

auto run_absence(
    run_options const& options, state::engine_settings const& settings)
    -> run_result;

} // namespace godwitcleat::experiments

#endif
