/** @file tally_func.hpp Figures of one service from its counts. */
#ifndef GODWITCLEAT_EXPERIMENTS_OVERLOAD_TALLY_FUNC_HPP
#define GODWITCLEAT_EXPERIMENTS_OVERLOAD_TALLY_FUNC_HPP

#include "simulation_base.hpp"

#include <chrono>
#include <vector>

namespace godwitcleat::experiments
{

/// Of the counts that give the time to recover.
constexpr core::duration bucket = std::chrono::milliseconds{100};

/** Counts of one service. */
struct tally
{
    run_result result;
    std::vector<core::duration> latencies;
    std::vector<double> good_by_bucket; ///< By the time of the answer.
    double first_tries = 0.0;
    double good = 0.0;
    double work = 0.0;
    double used_work = 0.0;
};

/**
 * Returns the figures of @p service.
 * @param answered callers that had a good answer at last.
 */
auto summary(
    run_options const& options, tally& from, std::size_t service,
    double answered) -> run_result;

} // namespace godwitcleat::experiments

#endif
