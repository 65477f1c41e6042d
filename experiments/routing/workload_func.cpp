/** @file workload_func.cpp Requests of a run and figures of its answers. */
#include "workload_func.hpp"

#include "experiments/support/figures_func.hpp"

#include <algorithm>
#include <cmath>
#include <random>

namespace godwitcleat::experiments
{

namespace
{

constexpr double step_from = 0.6;

} // namespace

auto fault_time(run_options const& options) -> core::duration
{
    return warm_up + options.length / 4;
}

auto end_time(run_options const& options) -> core::duration
{
    return warm_up + options.length;
}

auto make_workload(run_options const& options) -> std::vector<request>
{
    auto engine = std::mt19937_64{options.seed};
    auto const mean =
        std::chrono::duration<double>(options.mean_service).count();
    auto const full =
        options.load * static_cast<double>(options.backends * slots) / mean;
    auto exponential = std::exponential_distribution<double>{1.0};
    auto normal = std::normal_distribution<double>{0.0, 1.0};
    auto pick = std::uniform_int_distribution<std::uint32_t>{
        0, static_cast<std::uint32_t>(options.instances - 1)};
    auto result = std::vector<request>{};
    auto at = core::duration{};
    while (at < end_time(options))
    {
        auto const early =
            options.what == scenario::load_step && at < fault_time(options);
        auto const rate = early ? step_from * full : full;
        at += from_seconds(exponential(engine) / rate);
        auto const s = options.sigma;
        auto const factor = options.lognormal
                                ? std::exp(s * normal(engine) - s * s / 2.0)
                                : exponential(engine);
        result.push_back({at, from_seconds(mean * factor), pick(engine)});
    }
    return result;
}

auto fill_quantiles(run_result& into, std::vector<core::duration>& values)
    -> void
{
    into.answers = values.size();
    into.p50_ms = quantile(values, 0.5);
    into.p99_ms = quantile(values, 0.99);
    into.p999_ms = quantile(values, 0.999);
}

} // namespace godwitcleat::experiments
