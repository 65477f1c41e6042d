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

/// Power of two choices.
constexpr std::size_t default_choices = 2;

using score_function = double (*)(routing_view const&, backend_view const&);

auto own_score(routing_view const& /*view*/, backend_view const& it) -> double
{
    return it.own_in_flight;
}

auto shared_score(routing_view const& view, backend_view const& it) -> double
{
    auto const queue = it.own_in_flight + it.peers_in_flight + 1.0;
    auto const mean = static_cast<double>(view.mean_latency.count());
    if (mean <= 0.0)
    {
        return queue;
    }
    auto const ratio = static_cast<double>(it.latency.count()) / mean;
    return queue * std::max(1.0, ratio / outlier_ratio);
}

auto random_index(std::size_t n, core::random_source& random) -> std::size_t
{
    return n == 1 ? 0 : random.below(n);
}

/** Returns the lowest score of all; ties are broken at random. */
auto lowest(
    routing_view const& view, score_function score, core::random_source& random)
    -> std::size_t
{
    auto const n = view.backends.size();
    auto const first = random_index(n, random);
    auto best = first;
    auto best_score = std::numeric_limits<double>::infinity();
    for (std::size_t i = 0; i < n; ++i)
    {
        auto const at = (first + i) % n;
        auto const value = score(view, view.backends[at]);
        if (value < best_score)
        {
            best = at;
            best_score = value;
        }
    }
    return best;
}

/** Returns the lowest score of @p choices random ones without repetition. */
auto lowest_of(
    routing_view const& view, std::size_t choices, score_function score,
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
            return score(view, view.backends[a]) <
                   score(view, view.backends[b]);
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

auto choices_shared_policy(std::size_t choices) -> routing_policy
{
    return [choices](routing_view const& view, core::random_source& random)
    {
        return lowest_of(view, choices, shared_score, random);
    };
}

auto least_shared_policy() -> routing_policy
{
    return [](routing_view const& view, core::random_source& random)
    {
        return lowest(view, shared_score, random);
    };
}

auto idle_queue_policy() -> routing_policy
{
    return [](routing_view const& view, core::random_source& random)
    {
        auto const n = view.backends.size();
        auto const first = random_index(n, random);
        for (std::size_t i = 0; i < n; ++i)
        {
            auto const at = (first + i) % n;
            if (view.backends[at].idle_reports > 0)
            {
                return at;
            }
        }
        return first;
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
    return choices_shared_policy(default_choices);
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
        {"two_shared", choices_shared_policy(2)},
        {"four_shared", choices_shared_policy(4)},
        {"least_shared", least_shared_policy()},
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
