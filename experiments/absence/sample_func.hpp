/** @file sample_func.hpp Summaries of samples. */
#ifndef GODWITCLEAT_EXPERIMENTS_ABSENCE_SAMPLE_FUNC_HPP
#define GODWITCLEAT_EXPERIMENTS_ABSENCE_SAMPLE_FUNC_HPP

#include "core/core.hpp"

#include <map>
#include <vector>

namespace godwitcleat::experiments
{

/** Returns the value below which @p share of @p values lie; sorts them. */
auto quantile(std::vector<double>& values, double share) -> double;

auto mean(std::vector<double> const& values) -> double;

/** Returns Jain's index: 1 if all teams did the same work, 1/N if one did all.
 */
auto jain(std::map<core::team_id, double> const& work) -> double;

} // namespace godwitcleat::experiments

#endif
