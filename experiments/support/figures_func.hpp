/** @file figures_func.hpp Helpers that the experiments share. */
#ifndef GODWITCLEAT_EXPERIMENTS_SUPPORT_FIGURES_FUNC_HPP
#define GODWITCLEAT_EXPERIMENTS_SUPPORT_FIGURES_FUNC_HPP

#include "core/core.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <vector>

namespace godwitcleat::experiments
{

inline auto from_seconds(double value) -> core::duration
{
    return std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double>{value});
}

/** Returns a quantile in milliseconds, 0 without values; reorders @p values. */
inline auto quantile(std::vector<core::duration>& values, double q) -> double
{
    if (values.empty())
    {
        return 0.0;
    }
    auto const n = static_cast<double>(values.size());
    auto const at =
        std::min(static_cast<std::size_t>(q * n), values.size() - 1);
    std::nth_element(
        values.begin(), values.begin() + static_cast<std::ptrdiff_t>(at),
        values.end());
    return std::chrono::duration<double, std::milli>(values[at]).count();
}

/** Median, least and greatest of one figure over all seeds. */
struct spread
{
    double median = 0.0;
    double least = 0.0;
    double greatest = 0.0;
};

/** Returns the spread of @p values, of which there must be at least one. */
inline auto spread_of(std::vector<double> values) -> spread
{
    std::sort(values.begin(), values.end());
    auto const n = values.size();
    return {
        (values[(n - 1) / 2] + values[n / 2]) / 2.0, values.front(),
        values.back()};
}

} // namespace godwitcleat::experiments

#endif
