/** @file interference_base.cpp Learned interference between task classes. */
#include "state/interference_base.hpp"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace godwitcleat::state
{

namespace
{

// Removes the least recently updated entry if @p entries is full.
template <class Map>
auto evict_if_full(Map& entries, std::size_t max_entries) -> void
{
    if (entries.size() < std::max<std::size_t>(max_entries, 1))
    {
        return;
    }
    entries.erase(std::min_element(
        entries.begin(), entries.end(),
        [](auto const& left, auto const& right)
        { return left.second.updated < right.second.updated; }));
}

// Sums the loads per class, because each pair is updated once per measurement.
auto sum_by_class(std::span<measured_neighbour const> neighbours)
    -> std::map<std::string_view, double>
{
    auto result = std::map<std::string_view, double>{};
    for (auto const& it : neighbours)
    {
        if (!it.task_class.empty() && it.load > 0)
        {
            result[it.task_class] += it.load;
        }
    }
    return result;
}

} // namespace

interference_model::interference_model(interference_settings settings)
    : settings_(settings)
{
}

auto interference_model::decayed(coefficient value, core::time_point now) const
    -> coefficient
{
    auto const age = std::max(now - value.updated, core::duration{0});
    auto const kept = std::exp2(
        -static_cast<double>(age.count()) /
        static_cast<double>(settings_.half_life.count()));
    value.mean = settings_.prior + (value.mean - settings_.prior) * kept;
    value.variance = settings_.prior_variance +
                     (value.variance - settings_.prior_variance) * kept;
    value.updated = std::max(value.updated, now);
    return value;
}

auto interference_model::observe(
    std::string_view task, std::span<measured_neighbour const> neighbours,
    double slowdown, core::time_point measured_at) -> void
{
    auto const loads = sum_by_class(neighbours);
    if (task.empty() || loads.empty() || !std::isfinite(slowdown))
    {
        return;
    }
    latest_ = std::max(latest_, measured_at);
    auto terms = std::vector<std::pair<pair_key, coefficient>>{};
    auto expected = 0.0;
    auto variance = settings_.noise_variance;
    for (auto const& [other, load] : loads)
    {
        auto const key = pair_key{task, other};
        auto const found = coefficients_.find(key);
        auto const value =
            found == coefficients_.end()
                ? coefficient{settings_.prior, settings_.prior_variance, measured_at}
                : decayed(found->second, measured_at);
        expected += value.mean * load;
        variance += value.variance * load * load;
        terms.emplace_back(key, value);
    }
    // Clips the residual, so that a single outlier has a bounded effect.
    auto const max_residual = settings_.max_deviations * std::sqrt(variance);
    auto const residual = std::clamp(
        std::max(slowdown, 1.0) - 1.0 - expected, -max_residual, max_residual);
    for (auto& [key, value] : terms)
    {
        auto const load = loads.at(key.second);
        auto const gain = value.variance * load / variance;
        value.mean = std::max(0.0, value.mean + gain * residual);
        value.variance *= 1.0 - gain * load;
        if (!coefficients_.contains(key))
        {
            evict_if_full(coefficients_, settings_.max_pairs);
        }
        coefficients_[key] = value;
    }
}

auto interference_model::observe_load(
    std::string_view task_class, double load, core::time_point measured_at)
    -> void
{
    if (task_class.empty() || !std::isfinite(load) || load <= 0)
    {
        return;
    }
    auto found = loads_.find(task_class);
    if (found == loads_.end())
    {
        evict_if_full(loads_, settings_.max_classes);
        found =
            loads_
                .emplace(
                    task_class, class_load{settings_.default_load, measured_at})
                .first;
    }
    auto& value = found->second;
    value.share +=
        settings_.load_smoothing * (std::min(load, 1.0) - value.share);
    value.updated = std::max(value.updated, measured_at);
}

auto interference_model::excess(
    std::string_view task, std::string_view other, double load) const -> double
{
    if (task.empty() || other.empty())
    {
        return 0.0;
    }
    auto const found = coefficients_.find(pair_key{task, other});
    auto const mean = found == coefficients_.end()
                          ? settings_.prior
                          : decayed(found->second, latest_).mean;
    return mean * load;
}

auto interference_model::expected_load(std::string_view task_class) const
    -> double
{
    auto const found = loads_.find(task_class);
    return found == loads_.end() ? settings_.default_load : found->second.share;
}

auto interference_model::estimate() const -> interference_estimate
{
    return [this](std::string_view task, std::string_view other)
    {
        return 1.0 + excess(task, other, expected_load(other));
    };
}

auto interference_model::pairs() const -> std::size_t
{
    return coefficients_.size();
}

auto choose_mitigation(
    std::span<colocated_task const> tasks, excess_estimate const& estimate,
    mitigation_limits const& limits) -> std::optional<mitigation_action>
{
    auto worst = std::optional<std::size_t>{};
    auto worst_interference = limits.min_interference;
    for (auto n = std::size_t{0}; n < tasks.size(); ++n)
    {
        if (tasks[n].latency_critical || !tasks[n].interruptible)
        {
            continue;
        }
        auto sum = 0.0;
        for (auto const& it : tasks)
        {
            if (it.latency_critical && it.slowdown > limits.slowdown)
            {
                sum +=
                    estimate(it.task_class, tasks[n].task_class, tasks[n].load);
            }
        }
        if (sum > worst_interference)
        {
            worst = n;
            worst_interference = sum;
        }
    }
    if (!worst)
    {
        return std::nullopt;
    }
    auto const& throttled_for = tasks[*worst].throttled_for;
    if (!throttled_for)
    {
        return mitigation_action{worker_command_kind::throttle, *worst};
    }
    if (*throttled_for < limits.throttle_trial)
    {
        return std::nullopt;
    }
    return mitigation_action{worker_command_kind::checkpoint, *worst};
}

} // namespace godwitcleat::state
