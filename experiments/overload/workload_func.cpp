/** @file workload_func.cpp Requests of callers in a run. */
#include "workload_func.hpp"

#include "experiments/support/choice_func.hpp"
#include "experiments/support/figures_func.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <random>
#include <utility>

namespace godwitcleat::experiments
{

namespace
{

constexpr double calm_load = 0.7;

/** Returns the slots that a service may count on. */
auto capacity(run_options const& options) -> double
{
    auto const parts = static_cast<double>(service_count(options));
    return static_cast<double>(options.backends * slots) / parts;
}

auto pick_deadline(run_options const& options, double at) -> core::duration
{
    for (auto const& it : options.deadlines)
    {
        at -= it.share;
        if (at < 0.0)
        {
            return it.deadline;
        }
    }
    return options.deadlines.back().deadline;
}

/** Returns the first tries of one service, the same for each limiter. */
auto service_workload(run_options const& options, std::uint32_t service)
    -> std::vector<request>
{
    auto engine = std::mt19937_64{options.seed * 2 + service};
    auto const mean =
        std::chrono::duration<double>(options.mean_service).count();
    auto exponential = std::exponential_distribution<double>{1.0};
    auto unit = std::uniform_real_distribution<double>{};
    auto pick = std::uniform_int_distribution<std::uint32_t>{
        0, static_cast<std::uint32_t>(options.instances - 1)};
    auto result = std::vector<request>{};
    auto at = core::duration{};
    while (at < end_time(options))
    {
        auto const rate =
            load_at(options, service, at) * capacity(options) / mean;
        at += from_seconds(exponential(engine) / rate);
        auto it = request{};
        it.at = at;
        it.work = from_seconds(mean * exponential(engine));
        it.deadline = pick_deadline(options, unit(engine));
        it.instance = pick(engine);
        it.service = service;
        it.idempotent = unit(engine) < options.idempotent;
        it.repeats =
            unit(engine) < options.callers.fraction ? options.callers.most : 0;
        result.push_back(std::move(it));
    }
    return result;
}

} // namespace

auto change_time(run_options const& options) -> core::duration
{
    return warm_up + options.length / 4;
}

auto end_time(run_options const& options) -> core::duration
{
    return warm_up + options.length;
}

auto service_count(run_options const& options) -> std::size_t
{
    return options.what == scenario::two_services ? 2 : 1;
}

auto load_at(run_options const& options, std::size_t service, core::duration at)
    -> double
{
    auto const from = change_time(options);
    if (options.what == scenario::step)
    {
        return at >= from && at < from + step_length ? options.load : calm_load;
    }
    return service == 1 ? calm_load : options.load;
}

auto make_workload(run_options const& options) -> std::deque<request>
{
    auto result = std::deque<request>{};
    for (std::uint32_t i = 0; i < service_count(options); ++i)
    {
        auto const part = service_workload(options, i);
        result.insert(result.end(), part.begin(), part.end());
    }
    std::sort(
        result.begin(), result.end(),
        [](auto const& a, auto const& b) { return a.at < b.at; });
    for (std::size_t i = 0; i < result.size(); ++i)
    {
        result[i].first = i;
    }
    return result;
}

auto parse_scenario(std::string_view text) -> std::optional<scenario>
{
    return parse_choice<scenario>(
        "scenario", text,
        {{"steady", scenario::steady},
         {"step", scenario::step},
         {"two_services", scenario::two_services},
         {"half_lost", scenario::half_lost}});
}

} // namespace godwitcleat::experiments
