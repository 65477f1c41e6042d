/** @file router_policy_func.cpp Policies that choose a backend server. */
#include "coordination/router_base.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <limits>

namespace godwitcleat::coordination
{

namespace
{

/// Latency up to this multiple of the mean is noise of the service times.
constexpr double outlier_ratio = 2.0;

auto own_score(backend_view const& it, routing_view const& /*view*/) -> double
{
    return it.own_in_flight;
}

/** Requests in flight, weighted by how far the latency is above the mean. */
struct weighted_score
{
    double peers_weight = 1.0; ///< Of the peers' requests in flight.

    auto operator()(backend_view const& it, routing_view const& view) const
        -> double
    {
        auto const queue =
            it.own_in_flight + peers_weight * it.peers_in_flight + 1.0;
        auto const mean = static_cast<double>(view.mean_latency.count());
        if (mean <= 0.0)
        {
            return queue;
        }
        auto const ratio = static_cast<double>(it.latency.count()) / mean;
        return queue * std::max(1.0, ratio / outlier_ratio);
    }
};

auto random_index(std::size_t n, core::random_source& random) -> std::size_t
{
    return n == 1 ? 0 : random.below(n);
}

/** Returns the lowest score of all; ties are broken uniformly at random. */
template <class Score>
auto lowest(
    routing_view const& view, Score const& score, core::random_source& random)
    -> std::size_t
{
    auto best = std::vector<std::size_t>{};
    auto best_score = std::numeric_limits<double>::infinity();
    for (std::size_t i = 0; i < view.backends.size(); ++i)
    {
        auto const value = score(view.backends[i], view);
        if (value < best_score)
        {
            best.clear();
            best_score = value;
        }
        if (value == best_score)
        {
            best.push_back(i);
        }
    }
    return best.at(random_index(best.size(), random));
}

/** Returns the lowest score of @p choices random ones without repetition. */
template <class Score>
auto lowest_of(
    routing_view const& view, std::size_t choices, Score const& score,
    core::random_source& random) -> std::size_t
{
    auto const n = view.backends.size();
    if (choices >= n)
    {
        return lowest(view, score, random);
    }
    auto picked = std::vector<std::size_t>{};
    while (picked.size() < choices)
    {
        auto const at = random.below(n);
        if (std::find(picked.begin(), picked.end(), at) == picked.end())
        {
            picked.push_back(at);
        }
    }
    return *std::min_element(
        picked.begin(), picked.end(),
        [&](auto a, auto b) {
            return score(view.backends[a], view) <
                   score(view.backends[b], view);
        });
}

/** Returns true if probe @p a is the better choice of the two. */
auto better_probe(
    backend_probe const& a, backend_probe const& b, std::uint32_t hot) -> bool
{
    auto const a_hot = a.in_flight >= hot;
    auto const b_hot = b.in_flight >= hot;
    if (a_hot != b_hot)
    {
        return b_hot;
    }
    return a_hot ? a.in_flight < b.in_flight : a.latency < b.latency;
}

} // namespace

auto random_policy() -> routing_policy
{
    return [](routing_view const& view, core::random_source& random)
    {
        return random_index(view.backends.size(), random);
    };
}

auto round_robin_policy() -> routing_policy
{
    return [](routing_view const& view, core::random_source& /*random*/)
    {
        return static_cast<std::size_t>(view.turn % view.backends.size());
    };
}

auto least_own_policy() -> routing_policy
{
    return [](routing_view const& view, core::random_source& random)
    {
        return lowest(view, own_score, random);
    };
}

auto two_choices_own_policy() -> routing_policy
{
    return [](routing_view const& view, core::random_source& random)
    {
        return lowest_of(view, 2, own_score, random);
    };
}

auto weighted_policy(std::size_t choices, double peers_weight) -> routing_policy
{
    return [choices, score = weighted_score{peers_weight}](
               routing_view const& view, core::random_source& random)
    {
        return lowest_of(view, choices, score, random);
    };
}

auto idle_queue_policy() -> routing_policy
{
    return [](routing_view const& view, core::random_source& random)
    {
        auto const score = [](backend_view const& it, routing_view const&)
        {
            return it.idle_reports > 0 ? 0.0 : 1.0;
        };
        return lowest(view, score, random);
    };
}

auto probing_policy() -> routing_policy
{
    return [](routing_view const& view, core::random_source& random)
    {
        auto best = std::optional<std::size_t>{};
        for (std::size_t i = 0; i < view.backends.size(); ++i)
        {
            auto const& probe = view.backends[i].probe;
            if (probe && (!best || better_probe(
                                       *probe, *view.backends[*best].probe,
                                       view.hot_in_flight)))
            {
                best = i;
            }
        }
        return best ? *best : random_index(view.backends.size(), random);
    };
}

auto default_policy() -> routing_policy
{
    return weighted_policy(all_choices, 0.0);
}

auto parse_routing_policy(std::string_view name)
    -> std::optional<routing_policy>
{
    struct entry
    {
        std::string_view name;
        routing_policy policy;
    };
    auto const known = std::vector<entry>{
        {"random", random_policy()},
        {"round_robin", round_robin_policy()},
        {"least_own", least_own_policy()},
        {"two_own", two_choices_own_policy()},
        {"two_shared", weighted_policy(2, 1.0)},
        {"four_shared", weighted_policy(4, 1.0)},
        {"least_shared", weighted_policy(all_choices, 1.0)},
        {"least_quarter", weighted_policy(all_choices, 0.25)},
        {"least_weighted", weighted_policy(all_choices, 0.0)},
        {"idle_queue", idle_queue_policy()},
        {"probing", probing_policy()}};
    auto names = std::string{};
    for (auto const& it : known)
    {
        if (it.name == name)
        {
            return it.policy;
        }
        names += fmt::format("{}{}", names.empty() ? "" : ", ", it.name);
    }
    return core::fail(
        core::error_kind::invalid_input,
        fmt::format("unknown policy \"{}\"; use one of {}", name, names));
}

} // namespace godwitcleat::coordination
