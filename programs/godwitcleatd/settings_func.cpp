/** @file settings_func.cpp Derives the settings of the daemon's components. */
#include "programs/godwitcleatd/settings_func.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace godwitcleat::daemon
{

namespace
{

// Limit for the log batches of all shards together.
constexpr std::int64_t max_writes_per_second = 250;

} // namespace

auto host_settings(coordination::daemon_settings const& settings)
    -> coordination::shard_host_settings
{
    auto result = coordination::shard_host_settings{};
    result.engine.lease = settings.lease;
    result.engine.heartbeat_interval = settings.heartbeat;
    result.engine.start_validity = settings.start_validity;
    result.engine.shard_count = settings.shards;
    // A held reply leaves half of a start's validity, and a worker's lease
    // outlasts three lost replies.
    result.heartbeat_hold = std::min(
        {result.heartbeat_hold, settings.start_validity / 2,
         settings.lease / 4});
    // Holds end at ticks only, so a hold shorter than a tick would overrun.
    if (result.heartbeat_hold < settings.tick)
    {
        result.heartbeat_hold = core::duration{0};
    }
    result.batch_interval =
        core::duration{std::chrono::seconds{settings.shards}} /
        max_writes_per_second;
    return result;
}

auto ownership_settings(coordination::daemon_settings const& settings)
    -> coordination::ownership_settings
{
    auto result = coordination::ownership_settings{};
    result.shard_count = settings.shards;
    return result;
}

auto store_settings(coordination::daemon_settings const& settings)
    -> coordination::etcd_store_settings
{
    auto result = coordination::etcd_store_settings{};
    result.addresses = settings.store;
    // A call must end before the next renewal of the lease is due.
    result.timeout = std::min(settings.store_timeout, result.timeout);
    return result;
}

auto backend_limits(coordination::daemon_settings const& settings)
    -> transport::http_client_limits
{
    auto result = transport::http_client_limits{};
    result.connections_per_endpoint = settings.connections_per_backend;
    return result;
}

auto router_settings(coordination::daemon_settings const& settings)
    -> coordination::router_settings
{
    auto result = coordination::router_settings{};
    result.connections =
        static_cast<std::uint32_t>(settings.connections_per_backend);
    return result;
}

} // namespace godwitcleat::daemon
