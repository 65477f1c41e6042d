/** @file router_estimate_func.cpp Estimates from counts and latencies. */
#include "coordination/router_internal.hpp"

#include <algorithm>
#include <cmath>

namespace godwitcleat::coordination::routing
{

auto to_duration(double ns) -> core::duration
{
    return core::duration{static_cast<core::duration::rep>(ns)};
}

auto find(service_state& state, core::backend_server_id const& id) -> backend*
{
    auto const it = std::find_if(
        state.backends.begin(), state.backends.end(),
        [&](auto const& b) { return b.endpoint.backend_server == id; });
    return it == state.backends.end() ? nullptr : &*it;
}

auto is_open(backend const& it) -> bool
{
    return it.listed && !it.endpoint.leaving;
}

auto decay(core::duration age, double memory_ns) -> double
{
    auto const ns = std::max(0.0, static_cast<double>(age.count()));
    return std::exp(-ns / std::max(memory_ns, 1e6));
}

auto peer_weights(
    service_state const& state, core::time_point now, core::duration silence)
    -> std::vector<peer_weight>
{
    auto result = std::vector<peer_weight>{};
    for (std::size_t i = 0; i < state.peers.size(); ++i)
    {
        auto const& it = state.peers[i];
        auto const age = now - it.counted;
        if (age < silence)
        {
            result.push_back({i, it.mean, decay(age, state.mean_ns)});
        }
    }
    return result;
}

auto peers_in_flight(backend const& it, std::vector<peer_weight> const& peers)
    -> double
{
    auto sum = 0.0;
    for (auto const& [index, mean, weight] : peers)
    {
        auto const count = index < it.peers.size() ? it.peers[index] : 0U;
        sum += mean + weight * (count - mean);
    }
    return sum;
}

auto peer_index(service_state& state, core::instance_id const& peer)
    -> std::size_t
{
    auto const it = std::find_if(
        state.peers.begin(), state.peers.end(),
        [&](auto const& p) { return p.peer == peer; });
    if (it != state.peers.end())
    {
        return static_cast<std::size_t>(it - state.peers.begin());
    }
    state.peers.push_back({peer, {}, 0.0});
    return state.peers.size() - 1;
}

auto latency_now(
    service_state const& state, backend const& it, core::time_point now,
    core::duration memory) -> double
{
    if (it.latency_ns <= 0.0)
    {
        return state.mean_ns;
    }
    auto const left =
        decay(now - it.latency_at, static_cast<double>(memory.count()));
    return state.mean_ns + left * (it.latency_ns - state.mean_ns);
}

auto hot_limit(service_state const& state, double quantile) -> std::uint32_t
{
    if (state.recent_load.empty())
    {
        return 1;
    }
    auto sorted = state.recent_load;
    auto const n = static_cast<double>(sorted.size());
    auto const at =
        std::min(static_cast<std::size_t>(quantile * n), sorted.size() - 1);
    std::nth_element(
        sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(at),
        sorted.end());
    return std::max(1U, sorted[at]);
}

auto replace_endpoints(
    service_state& state, std::vector<state::service_endpoint> const& list)
    -> void
{
    for (auto& it : state.backends)
    {
        it.listed = false;
    }
    for (auto const& entry : list)
    {
        auto const where = transport::parse_endpoint(entry.address);
        if (!where)
        {
            continue;
        }
        auto* known = find(state, entry.backend_server);
        if (known == nullptr)
        {
            known = &state.backends.emplace_back();
        }
        // Two shards may list one backend server during a hand-over; it is
        // leaving if either says so.
        auto const leaving =
            entry.leaving || (known->listed && known->endpoint.leaving);
        known->endpoint = entry;
        known->endpoint.leaving = leaving;
        known->where = *where;
        known->listed = true;
    }
    std::erase_if(
        state.backends,
        [](auto const& it) { return !it.listed && it.in_flight == 0; });
}

} // namespace godwitcleat::coordination::routing
