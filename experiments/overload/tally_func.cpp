/** @file tally_func.cpp Figures of one service from its counts. */
#include "tally_func.hpp"

#include "experiments/support/figures_func.hpp"
#include "workload_func.hpp"

#include <algorithm>

namespace godwitcleat::experiments
{

namespace
{

using namespace std::chrono_literals;

/** Returns the time to recover, -1 if it has not ended. */
auto recovery_ms(
    run_options const& options, tally const& from_tally, std::size_t service)
    -> double
{
    constexpr std::size_t lasting = 3; ///< Buckets.
    constexpr double enough = 0.9;
    if (options.what != scenario::step && options.what != scenario::half_lost)
    {
        return 0.0;
    }
    auto const& good = from_tally.good_by_bucket;
    auto const change = change_time(options);
    auto const from =
        options.what == scenario::step ? change + step_length : change;
    auto const begin = static_cast<std::size_t>(warm_up / bucket);
    auto const at = static_cast<std::size_t>(change / bucket);
    auto before = 0.0;
    for (auto i = begin; i < at; ++i)
    {
        before += good[i] / static_cast<double>(at - begin);
    }
    auto const load = load_at(options, service, 0s);
    auto const possible = options.what == scenario::half_lost
                              ? before * std::min(1.0, 0.5 / load)
                              : before;
    auto const first = static_cast<std::size_t>(from / bucket);
    auto const last = static_cast<std::size_t>(end_time(options) / bucket);
    auto run = std::size_t{0};
    for (auto i = first; i < last; ++i)
    {
        run = good[i] >= enough * possible ? run + 1 : 0;
        if (run == lasting)
        {
            return std::chrono::duration<double, std::milli>(bucket).count() *
                   static_cast<double>(i + 1 - lasting - first);
        }
    }
    return -1.0;
}

} // namespace

auto summary(
    run_options const& options, tally& from, std::size_t service,
    double answered) -> run_result
{
    auto result = from.result;
    auto const seconds = std::chrono::duration<double>(options.length).count();
    result.offered = from.first_tries / seconds;
    result.goodput = from.good / seconds;
    result.good_ratio = answered / from.first_tries;
    result.p50_ms = quantile(from.latencies, 0.5);
    result.p99_ms = quantile(from.latencies, 0.99);
    result.wasted = from.work > 0.0 ? 1.0 - from.used_work / from.work : 0.0;
    result.recovery_ms = recovery_ms(options, from, service);
    return result;
}

} // namespace godwitcleat::experiments
