/** @file metrics_base.hpp Counters, gauges, distributions and histograms. */
#ifndef GODWITCLEAT_CORE_METRICS_BASE_HPP
#define GODWITCLEAT_CORE_METRICS_BASE_HPP

#include "core/clock_type.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace godwitcleat::core
{

/** One value of the metrics page. */
struct metric_sample
{
    std::string name;   ///< Lower-case, with the unit as suffix.
    double value = 0.0; ///< In the unit that the name states.
};

/**
 * Metrics of one process. Names are created at first use; names must come
 * from code, never from input, so that their number is bounded. A name may end
 * with labels, as in `calls{kind="read"}`. Thread-safe.
 */
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(metrics const&) = delete;
    auto operator=(metrics const&) -> metrics& = delete;

    /** Adds @p amount to the counter @p name. */
    auto count(std::string_view name, std::uint64_t amount = 1) -> void;

    /** Sets the gauge @p name. */
    auto set(std::string_view name, double value) -> void;

    /** Adds a value to the distribution @p name (count, mean, p50, p99). */
    auto observe(std::string_view name, double value) -> void;

    /**
     * Adds a time to the histogram @p name, which has no labels. Its buckets
     * reach from 5 ms to 30 s.
     */
    auto observe_time(std::string_view name, duration value) -> void;

    /** Returns all values, sorted by name; histograms as count and sum. */
    [[nodiscard]] auto samples() const -> std::vector<metric_sample>;

    /** Returns all values in the Prometheus text format, with their types. */
    [[nodiscard]] auto text() const -> std::string;

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace godwitcleat::core

#endif
