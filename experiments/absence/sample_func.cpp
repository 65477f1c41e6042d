/** @file sample_func.cpp Summaries of samples. */
#include "sample_func.hpp"

#include <algorithm>

namespace godwitcleat::experiments
{

auto quantile(std::vector<double>& values, double share) -> double
{
    if (values.empty())
    {
        return 0;
    }
    std::sort(values.begin(), values.end());
    auto const n =
        static_cast<std::size_t>(share * static_cast<double>(values.size()));
    return values[std::min(n, values.size() - 1)];
}

auto mean(std::vector<double> const& values) -> double
{
    auto sum = 0.0;
    for (auto const it : values)
    {
        sum += it;
    }
    return values.empty() ? 0 : sum / static_cast<double>(values.size());
}

auto jain(std::map<core::team_id, double> const& work) -> double
{
    auto sum = 0.0;
    auto squares = 0.0;
    for (auto const& [team, value] : work)
    {
        sum += value;
        squares += value * value;
    }
    return squares > 0
               ? sum * sum / (squares * static_cast<double>(work.size()))
               : 1.0;
}

} // namespace godwitcleat::experiments
