/** @file router_internal.hpp What the router knows of a service. */
#ifndef GODWITCLEAT_COORDINATION_ROUTER_INTERNAL_HPP
#define GODWITCLEAT_COORDINATION_ROUTER_INTERNAL_HPP

#include "coordination/router_base.hpp"

#include <cstdint>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace godwitcleat::coordination::routing
{

struct backend
{
    state::service_endpoint endpoint;
    transport::endpoint where;
    bool listed = true;
    std::uint32_t in_flight = 0;
    std::vector<std::uint32_t> peers; ///< As in service_state::peers.
    double latency_ns = 0.0;          ///< 0: no answer yet.
    core::time_point latency_at;
    std::uint32_t failures = 0; ///< In a row.
    core::time_point suspect_until;
    std::uint32_t idle_reports = 0;
};

/** A peer's counts for one service. */
struct peer_summary
{
    core::instance_id peer;
    core::time_point counted;
    double mean = 0.0; ///< Over the listed backend servers.
};

struct pooled_probe
{
    core::backend_server_id backend_server;
    backend_probe probe;
    core::time_point at;
    std::uint32_t uses = 0;
};

struct service_state
{
    std::vector<backend> backends;
    std::vector<peer_summary> peers;
    double mean_ns = 0.0; ///< 0: no answer yet.
    std::uint64_t turn = 0;
    std::vector<pooled_probe> probes;       ///< Oldest first.
    std::vector<std::uint32_t> recent_load; ///< Ring of probe answers.
    std::size_t recent_next = 0;
};

struct service_shard
{
    mutable std::mutex mutex;
    std::unordered_map<core::service_id, service_state> services;
};

/** One peer's share of an estimate at the present time. */
struct peer_weight
{
    std::size_t index = 0; ///< In service_state::peers.
    double mean = 0.0;
    double weight = 0.0; ///< Of the difference from the mean.
};

/** Returns @p ns nanoseconds as a duration. */
auto to_duration(double ns) -> core::duration;

/** Returns the backend server @p id, or null. */
auto find(service_state& state, core::backend_server_id const& id) -> backend*;

/** Returns true if new requests may go to @p it. */
auto is_open(backend const& it) -> bool;

/** Returns how much of a count is left after @p age. */
auto decay(core::duration age, double memory_ns) -> double;

/**
 * Requests in flight turn over in about one latency. An older count tells
 * little more than the peer's mean, so it moves towards that mean.
 */
auto peer_weights(
    service_state const& state, core::time_point now, core::duration silence)
    -> std::vector<peer_weight>;

/** Returns the estimate of the peers' requests in flight to @p it. */
auto peers_in_flight(backend const& it, std::vector<peer_weight> const& peers)
    -> double;

/** Returns the position of @p peer, which is added if it is new. */
auto peer_index(service_state& state, core::instance_id const& peer)
    -> std::size_t;

/**
 * An estimate that is not renewed moves towards the mean, so that a backend
 * server that was slow is tried again.
 */
auto latency_now(
    service_state const& state, backend const& it, core::time_point now,
    core::duration memory) -> double;

/** Returns a quantile of the recent probes' requests in flight, at least 1. */
auto hot_limit(service_state const& state, double quantile) -> std::uint32_t;

/** Places a merged endpoint list into the state of a service. */
auto replace_endpoints(
    service_state& state, std::vector<state::service_endpoint> const& list)
    -> void;

} // namespace godwitcleat::coordination::routing

#endif
