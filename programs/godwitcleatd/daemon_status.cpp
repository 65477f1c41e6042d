/** @file daemon_status.cpp Addresses, readiness and status of the daemon. */
#include "programs/godwitcleatd/daemon_base.hpp"

#include <chrono>
#include <utility>

namespace godwitcleat::daemon
{

namespace
{

// A restarted daemon receives the endpoint tables from its peers within two
// peer updates. Without peers it becomes ready after this time.
constexpr auto max_wait_for_tables = std::chrono::seconds{3};

} // namespace

auto entry_daemon::addresses() const -> daemon_addresses
{
    return {
        gateway_listener_->local(), control_listener_->local(),
        peer_listener_->local()};
}

auto entry_daemon::is_ready() -> bool
{
    auto const view = config_.current();
    auto const has_config =
        view.head_revision.has_value() || view.document->number.value > 0;
    auto const has_tables = router_.has_tables();
    auto const has_waited = now_() - started_at_ >= max_wait_for_tables;
    return gateway_.ready() && has_config && (has_tables || has_waited);
}

auto entry_daemon::status() -> coordination::daemon_status
{
    auto result = coordination::daemon_status{};
    result.instance = settings_.name;
    result.boot_id = boot_id_;
    result.data_centre = settings_.data_centre;
    result.ready = is_ready();
    result.config = config_.current().document->number;
    result.store_reachable = ownership_.store_reachable();
    result.shards = host_.owned();
    for (auto const& it : peers_.peers(now_()))
    {
        auto peer = coordination::peer_status{};
        peer.instance = it.update.instance;
        peer.control_address = it.update.control_address;
        peer.config = it.update.config;
        peer.suspect = it.suspect;
        for (auto const& owned : it.update.shards)
        {
            peer.shards.push_back(owned.shard);
        }
        result.peers.push_back(std::move(peer));
    }
    return result;
}

} // namespace godwitcleat::daemon
