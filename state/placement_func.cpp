/** @file placement_func.cpp Placement policies. */
#include "state/placement_func.hpp"

#include <algorithm>
#include <utility>

namespace godwitcleat::state
{

namespace
{

// Returns a cost; the candidate with the lowest cost is chosen.
using cost_function =
    std::function<double(job_spec const&, placement_candidate const&)>;

// Weight of a latency-critical task relative to a batch task.
constexpr double latency_critical_weight = 10.0;

// Expected excess slowdown of a latency-critical task if batch tasks use the
// rest of its worker. docs/EXPERIMENTS.md compares values from 0.5 to 4.
constexpr double future_excess = 1.0;

// Free capacity only breaks ties; it is at most 3, one per kind of resource.
constexpr double capacity_weight = 1e-3;

auto share(std::int64_t part, std::int64_t whole) -> double
{
    return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole)
                     : 0.0;
}

// Returns the sum of the shares of each resource left free by the placement.
auto capacity_left(job_spec const& spec, placement_candidate const& candidate)
    -> double
{
    auto const left = candidate.free - spec.need;
    return share(left.cpu_milli, candidate.capacity.cpu_milli) +
           share(left.memory_mb, candidate.capacity.memory_mb) +
           share(left.accelerators, candidate.capacity.accelerators);
}

auto interference_cost(
    interference_estimate const& estimate, job_spec const& spec,
    placement_candidate const& candidate) -> double
{
    auto const critical_share = share(
        candidate.latency_critical,
        static_cast<std::int64_t>(candidate.task_classes.size()));
    auto const others_weight =
        1.0 + (latency_critical_weight - 1.0) * critical_share;
    auto const own_weight =
        spec.kind == job_kind::service ? latency_critical_weight : 1.0;
    auto sum = 0.0;
    for (auto const& it : candidate.task_classes)
    {
        sum += own_weight * (estimate(spec.task_class, it) - 1.0);
        sum += (candidate.critical_classes.empty() ? others_weight : 1.0) *
               (estimate(it, spec.task_class) - 1.0);
    }
    for (auto const& it : candidate.critical_classes)
    {
        sum += (latency_critical_weight - 1.0) *
               (estimate(it, spec.task_class) - 1.0);
    }
    return sum;
}

// Batch tasks will use the processors left next to a latency-critical task, so
// services are placed together unless that slows them down more.
auto future_interference_cost(
    job_spec const& spec, placement_candidate const& candidate) -> double
{
    auto const left = candidate.free.cpu_milli - spec.need.cpu_milli;
    return spec.kind == job_kind::service
               ? latency_critical_weight * future_excess *
                     share(left, candidate.capacity.cpu_milli)
               : 0.0;
}

auto lowest_cost(cost_function cost) -> placement_policy
{
    return [cost = std::move(cost)](
               job_spec const& spec,
               std::span<placement_candidate const> candidates)
               -> std::optional<std::size_t>
    {
        auto best = std::optional<std::size_t>{};
        auto best_cost = 0.0;
        for (auto n = std::size_t{0}; n < candidates.size(); ++n)
        {
            if (!spec.need.fits_in(candidates[n].free))
            {
                continue;
            }
            auto const current = cost(spec, candidates[n]);
            if (!best || current < best_cost)
            {
                best = n;
                best_cost = current;
            }
        }
        return best;
    };
}

} // namespace

auto first_fit() -> placement_policy
{
    return lowest_cost([](auto const&, auto const&) { return 0.0; });
}

auto best_fit() -> placement_policy
{
    return lowest_cost(capacity_left);
}

auto spread() -> placement_policy
{
    return lowest_cost(
        [](job_spec const& spec, placement_candidate const& candidate)
        { return -capacity_left(spec, candidate); });
}

auto interference_aware(interference_estimate estimate) -> placement_policy
{
    return lowest_cost(
        [estimate = std::move(estimate)](
            job_spec const& spec, placement_candidate const& candidate)
        {
            return interference_cost(estimate, spec, candidate) +
                   future_interference_cost(spec, candidate) +
                   capacity_weight * capacity_left(spec, candidate);
        });
}

} // namespace godwitcleat::state
