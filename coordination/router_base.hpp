/** @file router_base.hpp Choice of a backend server for a request. */
#ifndef GODWITCLEAT_COORDINATION_ROUTER_BASE_HPP
#define GODWITCLEAT_COORDINATION_ROUTER_BASE_HPP

#include "core/core.hpp"
#include "protocol/protocol.hpp"
#include "transport/transport.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace godwitcleat::coordination
{

/** Answer of a backend server to a probe. */
struct backend_probe
{
    std::uint32_t in_flight = 0; ///< From all instances, at the answer.
    core::duration latency{};    ///< Recent latency at this load.
};

/** What a policy knows about one usable backend server. */
struct backend_view
{
    std::uint32_t own_in_flight = 0;    ///< Requests of this instance.
    double peers_in_flight = 0.0;       ///< Estimate for the other instances.
    core::duration latency{};           ///< Estimate; the mean if unknown.
    std::uint32_t idle_reports = 0;     ///< Unused reports of a free slot.
    std::optional<backend_probe> probe; ///< Most recent one in the pool.
};

/** What a policy knows about a service. */
struct routing_view
{
    std::span<backend_view const> backends; ///< At least one.
    core::duration mean_latency{};          ///< Over all backend servers.
    std::uint64_t turn = 0;                 ///< Grows with each choice.
    std::uint32_t hot_in_flight = 0;        ///< Probes from here on are hot.
};

/** Returns the index of the chosen backend server in the view. */
using routing_policy =
    std::function<std::size_t(routing_view const&, core::random_source&)>;

/** Returns a policy that chooses uniformly at random. */
auto random_policy() -> routing_policy;

/** Returns a policy that takes backend servers in turn. */
auto round_robin_policy() -> routing_policy;

/** Returns a policy that takes the least own requests in flight. */
auto least_own_policy() -> routing_policy;

/** Returns a policy that takes the better of two by own requests in flight. */
auto two_choices_own_policy() -> routing_policy;

/// Number of choices that considers all backend servers.
constexpr auto all_choices = std::numeric_limits<std::size_t>::max();

/**
 * Returns a policy that takes the best of @p choices random backend servers by
 * requests in flight, weighted by latency outliers.
 * @param peers_weight of the peers' requests in flight; own ones weigh 1.
 */
auto weighted_policy(std::size_t choices, double peers_weight)
    -> routing_policy;

/** Returns a policy that prefers reported free slots, else chooses randomly. */
auto idle_queue_policy() -> routing_policy;

/**
 * Returns a policy that chooses from probes: the lowest latency among cold
 * ones, else the least requests in flight (Prequal, NSDI 2024).
 */
auto probing_policy() -> routing_policy;

/** Returns the policy that the daemon uses; see docs/EXPERIMENTS.md. */
auto default_policy() -> routing_policy;

/** Returns the policy named @p name, or std::nullopt with invalid_input. */
auto parse_routing_policy(std::string_view name)
    -> std::optional<routing_policy>;

/** Limits and time constants of a router. */
struct router_settings
{
    std::uint32_t connections = 9; ///< Per backend server and instance.
    core::duration peer_silence = std::chrono::seconds{3};   ///< Then ignored.
    core::duration latency_memory = std::chrono::seconds{1}; ///< Decay time.
    std::uint32_t suspect_after = 2; ///< Failures in a row.
    core::duration suspect_first = std::chrono::seconds{1};
    core::duration suspect_longest = std::chrono::seconds{8};
    std::size_t probe_pool = 16; ///< Probes kept for each service.
    core::duration probe_age = std::chrono::seconds{1}; ///< Then removed.
    std::uint32_t probe_uses = 3; ///< Choices made from one probe.
    /// Requests in flight above this quantile of recent probes are hot. The
    /// published evaluation finds values from 0.6 to 0.9 about equal.
    double hot_quantile = 0.84;
};

/** How an attempt ended. */
enum class attempt_result
{
    answered, ///< A whole answer arrived.
    failed,   ///< No usable answer, or a refusal.
    cancelled ///< Nothing is known about the backend server.
};

/** A chosen backend server; give it back with router::finish(). */
struct backend_choice
{
    core::service_id service;
    core::backend_server_id backend_server;
    transport::endpoint where;
};

/** Restrictions of one choice. */
struct choice_options
{
    std::span<core::backend_server_id const> excluded; ///< Tried before.
    bool include_leaving = false;                      ///< Test-only fault.
};

/** Load of a service as this instance knows it. */
struct service_load
{
    std::size_t usable = 0;        ///< Listed and not leaving.
    double in_flight = 0.0;        ///< Own and peers' at usable ones.
    core::duration mean_latency{}; ///< 0: no answer seen yet.
    double own_in_flight = 0.0;    ///< The part of this instance.
    std::size_t instances = 1;     ///< This one and peers that are heard.
};

/**
 * Chooses backend servers and counts requests in flight. Keeps the endpoint
 * tables of all shards. Thread-safe; state is in shards by service, each under
 * its own lock. The random source must outlive the router.
 */
class router
{
public:
    router(
        core::clock now, core::random_source& random, routing_policy policy,
        router_settings settings = {});
    ~router();
    router(router const&) = delete;
    auto operator=(router const&) -> router& = delete;

    /**
     * Replaces the table of one shard.
     * @return false if a table of the same or a higher epoch and version is
     *         present; it is kept.
     */
    auto update_table(protocol::endpoint_table table) -> bool;

    /** Returns true if update_table() would take @p table. */
    [[nodiscard]] auto is_newer(protocol::endpoint_table const& table) const
        -> bool;

    /** Returns true if the table of at least one shard is present. */
    [[nodiscard]] auto has_tables() const -> bool;

    /** Returns all tables, for new peers. */
    [[nodiscard]] auto tables() const -> std::vector<protocol::endpoint_table>;

    /**
     * Replaces the counts of one peer. Backend servers that @p loads does not
     * name have 0.
     * @param age time since the peer counted.
     */
    auto update_peer(
        core::instance_id const& peer,
        std::span<protocol::backend_load const> loads, core::duration age = {})
        -> void;

    /** Forgets the counts of a peer. */
    auto remove_peer(core::instance_id const& peer) -> void;

    /** Returns the own counts above 0, for peer_update::loads. */
    [[nodiscard]] auto loads() const -> std::vector<protocol::backend_load>;

    /** Notes that @p backend_server told this instance of a free slot. */
    auto report_idle(
        core::service_id const& service,
        core::backend_server_id const& backend_server) -> void;

    /** Adds the answer to a probe to the pool. */
    auto record_probe(
        core::service_id const& service,
        core::backend_server_id const& backend_server, backend_probe probe)
        -> void;

    /**
     * Chooses a backend server and counts one request in flight to it.
     * @return std::nullopt with unavailable if none is listed that is not
     *         leaving, or no_capacity if all are excluded or at their limit
     *         of connections.
     */
    auto choose(core::service_id const& service, choice_options options = {})
        -> std::optional<backend_choice>;

    /** Ends an attempt that took @p elapsed. */
    auto finish(
        backend_choice const& choice, attempt_result result,
        core::duration elapsed) -> void;

    /** Returns the load of @p service. */
    [[nodiscard]] auto load(core::service_id const& service) const
        -> service_load;

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace godwitcleat::coordination

#endif
