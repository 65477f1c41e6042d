/** @file serving_load_base.hpp Tail latency of a job whose load changes. */
#ifndef GODWITCLEAT_STATE_SERVING_LOAD_BASE_HPP
#define GODWITCLEAT_STATE_SERVING_LOAD_BASE_HPP

#include "core/core.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace godwitcleat::state
{

/**
 * The undisturbed tail latency of a long-running job over the last seconds, as
 * a logarithm. Its tasks share the load of the job, so that tasks without
 * neighbours tell the tail latency of the others. Not thread-safe.
 */
class serving_load
{
public:
    /**
     * Takes a measurement of one of the tasks, without the effect that its
     * neighbours are expected to have. @p weight is 1 for a task without
     * neighbours.
     */
    auto add(double log_tail, double weight, core::time_point now) -> void;

    /** Returns the mean of the last second or so; std::nullopt if nothing was
     *  measured for two seconds. */
    [[nodiscard]] auto level(core::time_point now) const
        -> std::optional<double>;

    /**
     * Returns the highest level that is expected within @p horizon: the present
     * rise goes on, up to the highest level of the last ten seconds or so.
     */
    [[nodiscard]] auto
    forecast(core::time_point now, core::duration horizon) const
        -> std::optional<double>;

private:
    /** Workers report means over half a second. */
    static constexpr auto bin_length = std::chrono::milliseconds{500};
    static constexpr auto bins = std::size_t{24};

    struct bin
    {
        std::int64_t number = -1; ///< Of the half second; -1: unused.
        double sum = 0.0;
        double weight = 0.0;

        [[nodiscard]] auto mean() const -> double
        {
            return sum / weight;
        }
    };

    static auto number_of(core::time_point now) -> std::int64_t;
    /** Returns the newest bin from @p number backwards, of at most @p most. */
    [[nodiscard]] auto newest(std::int64_t number, std::int64_t most) const
        -> bin const*;

    std::array<bin, bins> bins_;
};

} // namespace godwitcleat::state

#endif
