/** @file peers_base.hpp The other daemons: membership, state, requests. */
#ifndef GODWITCLEAT_COORDINATION_PEERS_BASE_HPP
#define GODWITCLEAT_COORDINATION_PEERS_BASE_HPP

#include "core/core.hpp"
#include "protocol/protocol.hpp"
#include "state/state.hpp"
#include "transport/transport.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace godwitcleat::coordination
{

/** Calls a peer; the handler gets the reply or std::nullopt with a reason. */
using peer_call = std::function<void(
    transport::endpoint const& where, protocol::peer_request request,
    core::duration timeout,
    std::function<void(std::optional<protocol::peer_reply>)> on_done)>;

/** Returns a peer_call that encodes requests and sends them by @p client. */
auto make_peer_call(transport::frame_client& client) -> peer_call;

/** What is known of one peer. */
struct peer_info
{
    protocol::peer_update update; ///< The latest, without endpoint tables.
    transport::endpoint address;  ///< Of its peer port.
    core::time_point last_seen;
    core::time_point process_seen; ///< When its process was first heard.
    bool suspect = false; ///< Silent for too long; skipped, not removed.
};

/** Where the owner of a shard is. */
struct shard_owner
{
    core::instance_id instance;
    core::epoch owner_epoch;
    transport::endpoint peer_address;
    std::string control_address;
};

/** Times of the exchange between peers. */
struct peer_settings
{
    core::duration call_timeout = std::chrono::seconds{1};
    core::duration suspect_after = std::chrono::seconds{3};
};

/** Hooks of a peer_set; called without any lock held. */
struct peer_hooks
{
    peer_call call;
    std::function<protocol::peer_update()> own_update; ///< With all tables.
    std::function<void(protocol::peer_update const&)> on_update;
};

/**
 * Exchanges state with all other daemons. Membership is the union of the
 * addresses given and those that peers state for themselves. Thread-safe.
 */
class peer_set
{
public:
    peer_set(
        core::instance_id self, peer_settings settings, peer_hooks hooks,
        core::logger const& log);

    /** Adds addresses of peer ports, from settings or the instance list. */
    auto add_addresses(std::span<transport::endpoint const> addresses) -> void;

    /** Sends the own state to every peer; call it each 500 ms. */
    auto tick(core::time_point now) -> void;

    /** Handles the state of a peer; an older one changes nothing. */
    auto received(protocol::peer_update update, core::time_point now)
        -> protocol::peer_update_reply;

    /** Handles changes to a state of a peer, or asks for the whole state. */
    auto received(protocol::peer_changes changes, core::time_point now)
        -> protocol::peer_update_reply;

    /** Returns all peers that were ever heard from. */
    [[nodiscard]] auto peers(core::time_point now) const
        -> std::vector<peer_info>;

    /** Returns peers neither suspect nor leaving, and this instance. */
    [[nodiscard]] auto live_instances(core::time_point now) const
        -> std::vector<std::string>;

    /** Returns the owner with the highest epoch among peers not suspect. */
    [[nodiscard]] auto
    owner_of(core::shard_id shard, core::time_point now) const
        -> std::optional<shard_owner>;

    /** Returns summaries of shards that live peers own. */
    [[nodiscard]] auto summaries(core::time_point now) const
        -> std::vector<state::shard_summary>;

    /**
     * Returns true if process @p boot_id of @p instance renews no lease of
     * @p shard any more: the instance has acknowledged epoch @p current, and
     * does not own the shard below it or runs as a later process. Without the
     * acknowledgement an update that was delayed on the way could be taken
     * for a new one.
     */
    [[nodiscard]] auto has_stepped_down(
        core::instance_id const& instance, std::string const& boot_id,
        core::shard_id shard, core::epoch current) const -> bool;

    /** Returns when process @p boot_id of @p instance was first heard. */
    [[nodiscard]] auto first_heard(
        core::instance_id const& instance, std::string const& boot_id) const
        -> std::optional<core::time_point>;

private:
    using table_versions =
        std::map<core::shard_id, std::pair<core::epoch, std::uint64_t>>;

    using update_pointer = std::shared_ptr<protocol::peer_update const>;

    /** What the peer at one address is known to hold. */
    struct peer_link
    {
        update_pointer state; ///< Own state; null: none.
        table_versions known;
        std::uint64_t known_version = 0;
    };

    auto send_update(
        transport::endpoint const& address, update_pointer const& update,
        std::span<protocol::endpoint_table const> tables) -> void;
    auto make_request(
        peer_link const& link, protocol::peer_update const& update,
        std::span<protocol::endpoint_table const> tables) const
        -> protocol::peer_request;
    auto handle_reply(
        transport::endpoint const& address, update_pointer const& sent,
        protocol::peer_update_reply const* reply) -> void;
    auto apply(protocol::peer_update& update, core::time_point now) -> void;
    auto take_tables(std::vector<protocol::endpoint_table>& tables) -> void;
    [[nodiscard]] auto known_tables() const
        -> std::vector<protocol::endpoint_table>;
    [[nodiscard]] auto seen_epochs(protocol::peer_update const& own) const
        -> std::vector<protocol::owned_shard>;
    [[nodiscard]] auto
    is_suspect(peer_info const& peer, core::time_point now) const -> bool;

    mutable std::mutex mutex_;
    core::instance_id self_;
    peer_settings settings_;
    peer_hooks hooks_;
    core::logger log_;
    std::set<transport::endpoint> addresses_;
    std::set<transport::endpoint> in_flight_; ///< Updates not answered yet.
    std::map<core::instance_id, peer_info> peers_;
    std::uint64_t number_ = 0; ///< Of the latest own state.
    std::map<transport::endpoint, peer_link> links_;
    table_versions known_here_;
    std::uint64_t known_version_ = 1; ///< Of known_here_.
};

} // namespace godwitcleat::coordination

#endif
