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

#include <algorithm>
#include <array>
#include <functional>
#include <iterator>
#include <map>
#include <mutex>
#include <numeric>

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

// Upper bounds in seconds: from one round trip to the longest deadlines.
constexpr std::array time_buckets{0.005, 0.01, 0.025, 0.05, 0.1,  0.25,
                                  0.5,   1.0,  2.5,   5.0,  10.0, 30.0};

/** Counts of times by bucket; the last one has no upper bound. */
struct time_histogram
{
    std::array<std::uint64_t, time_buckets.size() + 1> counts{};
    double sum_s = 0.0;

    auto add(double seconds) -> void
    {
        auto const* const it =
            std::lower_bound(time_buckets.begin(), time_buckets.end(), seconds);
        ++counts.at(static_cast<std::size_t>(it - time_buckets.begin()));
        sum_s += seconds;
    }

    [[nodiscard]] auto count() const -> std::uint64_t
    {
        return std::accumulate(counts.begin(), counts.end(), std::uint64_t{0});
    }
};

// Writes the type of the metric @p name once for all of its labels.
auto write_type(
    std::string& text, std::string& last, std::string_view name,
    std::string_view type) -> void
{
    name = name.substr(0, name.find('{'));
    if (name != last)
    {
        last = name;
        fmt::format_to(
            std::back_inserter(text), "# TYPE godwitcleat_{} {}\n", name, type);
    }
}

auto write_histogram(
    std::string& text, std::string_view name, time_histogram const& values)
    -> void
{
    auto const line = [&](std::string_view suffix, auto value)
    {
        fmt::format_to(
            std::back_inserter(text), "godwitcleat_{}_{} {}\n", name, suffix,
            value);
    };
    auto below = std::uint64_t{0};
    for (auto i = std::size_t{0}; i < time_buckets.size(); ++i)
    {
        below += values.counts.at(i);
        line(fmt::format("bucket{{le=\"{}\"}}", time_buckets.at(i)), below);
    }
    line("bucket{le=\"+Inf\"}", values.count());
    line("sum", values.sum_s);
    line("count", values.count());
}

} // namespace

struct metrics::implementation
{
    std::mutex mutex;
    std::map<std::string, std::uint64_t, std::less<>> counters;
    std::map<std::string, double, std::less<>> gauges;
    std::map<std::string, distribution, std::less<>> distributions;
    std::map<std::string, time_histogram, std::less<>> histograms;
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

auto metrics::observe_time(std::string_view name, duration value) -> void
{
    auto const seconds = std::chrono::duration<double>(value).count();
    auto const lock = std::scoped_lock{implementation_->mutex};
    auto it = implementation_->histograms.find(name);
    if (it == implementation_->histograms.end())
    {
        it = implementation_->histograms
                 .emplace(std::string{name}, time_histogram{})
                 .first;
    }
    it->second.add(seconds);
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
    for (auto const& [name, values] : implementation_->histograms)
    {
        result.push_back(
            {name + "_count", static_cast<double>(values.count())});
        result.push_back({name + "_sum", values.sum_s});
    }
    return result;
}

auto metrics::text() const -> std::string
{
    auto text = std::string{};
    auto last = std::string{};
    auto const write =
        [&](std::string_view name, std::string_view type, auto value)
    {
        write_type(text, last, name, type);
        fmt::format_to(
            std::back_inserter(text), "godwitcleat_{} {}\n", name, value);
    };
    auto const lock = std::scoped_lock{implementation_->mutex};
    for (auto const& [name, value] : implementation_->counters)
    {
        write(name, "counter", value);
    }
    for (auto const& [name, value] : implementation_->gauges)
    {
        write(name, "gauge", value);
    }
    for (auto const& [name, values] : implementation_->distributions)
    {
        auto parts = std::vector<metric_sample>{};
        append(parts, name, values);
        for (auto const& it : parts)
        {
            write(it.name, "gauge", it.value);
        }
    }
    for (auto const& [name, values] : implementation_->histograms)
    {
        write_type(text, last, name, "histogram");
        write_histogram(text, name, values);
    }
    return text;
}

} // namespace godwitcleat::core
