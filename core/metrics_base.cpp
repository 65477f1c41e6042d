/** @file metrics_base.cpp Metrics on Boost.Accumulators. */
#include "core/metrics_base.hpp"

// Boost.Accumulators 1.74 uses std::ostringstream without including it.
// clang-format off
#include <sstream>
// clang-format on

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <fmt/format.h>

#include <array>
#include <functional>
#include <iterator>
#include <map>
#include <mutex>

namespace godwitcleat::core
{

namespace
{

namespace acc = boost::accumulators;

using distribution = acc::accumulator_set<
    double, acc::stats<
                acc::tag::count, acc::tag::mean, acc::tag::max,
                acc::tag::extended_p_square_quantile>>;

// Neighbouring quantiles keep the estimates of p50, p99 and p99.9 stable.
constexpr std::array tracked_quantiles{0.25, 0.5,  0.75,  0.9,
                                       0.95, 0.99, 0.995, 0.999};

// The estimator needs one observation for each of its markers.
constexpr std::size_t least_observations = 2 * tracked_quantiles.size() + 3;

auto new_distribution() -> distribution
{
    return distribution{
        acc::extended_p_square_probabilities = tracked_quantiles};
}

auto append(
    std::vector<metric_sample>& result, std::string_view name,
    distribution const& values) -> void
{
    auto const n = acc::count(values);
    auto const add = [&](std::string_view suffix, double value)
    {
        result.push_back({fmt::format("{}_{}", name, suffix), value});
    };
    add("count", static_cast<double>(n));
    add("max", n == 0 ? 0.0 : acc::max(values));
    add("mean", acc::mean(values));
    if (n >= least_observations)
    {
        add("p50", acc::quantile(values, acc::quantile_probability = 0.5));
        add("p99", acc::quantile(values, acc::quantile_probability = 0.99));
        add("p999", acc::quantile(values, acc::quantile_probability = 0.999));
    }
}

} // namespace

struct metrics::implementation
{
    std::mutex mutex;
    std::map<std::string, std::uint64_t, std::less<>> counters;
    std::map<std::string, double, std::less<>> gauges;
    std::map<std::string, distribution, std::less<>> distributions;
};

metrics::metrics()
    : implementation_(std::make_unique<implementation>())
{
}
metrics::~metrics() = default;

auto metrics::count(std::string_view name, std::uint64_t amount) -> void
{
    auto const lock = std::scoped_lock{implementation_->mutex};
    auto const it = implementation_->counters.find(name);
    if (it != implementation_->counters.end())
    {
        it->second += amount;
        return;
    }
    implementation_->counters.emplace(name, amount);
}

auto metrics::set(std::string_view name, double value) -> void
{
    auto const lock = std::scoped_lock{implementation_->mutex};
    implementation_->gauges.insert_or_assign(std::string{name}, value);
}

auto metrics::observe(std::string_view name, double value) -> void
{
    auto const lock = std::scoped_lock{implementation_->mutex};
    auto it = implementation_->distributions.find(name);
    if (it == implementation_->distributions.end())
    {
        it = implementation_->distributions
                 .emplace(std::string{name}, new_distribution())
                 .first;
    }
    it->second(value);
}

auto metrics::samples() const -> std::vector<metric_sample>
{
    auto const lock = std::scoped_lock{implementation_->mutex};
    auto result = std::vector<metric_sample>{};
    for (auto const& [name, value] : implementation_->counters)
    {
        result.push_back({name, static_cast<double>(value)});
    }
    for (auto const& [name, value] : implementation_->gauges)
    {
        result.push_back({name, value});
    }
    for (auto const& [name, values] : implementation_->distributions)
    {
        append(result, name, values);
    }
    return result;
}

auto metrics::text() const -> std::string
{
    auto result = std::string{};
    for (auto const& it : samples())
    {
        fmt::format_to(
            std::back_inserter(result), "godwitcleat_{} {}\n", it.name,
            it.value);
    }
    return result;
}

} // namespace godwitcleat::core
