/** @file peer_server_base.hpp Requests of other daemons on the peer port. */
#ifndef GODWITCLEAT_COORDINATION_PEER_SERVER_BASE_HPP
#define GODWITCLEAT_COORDINATION_PEER_SERVER_BASE_HPP

#include "coordination/peers_base.hpp"
#include "coordination/shard_host_base.hpp"
#include "core/core.hpp"
#include "protocol/protocol.hpp"
#include "state/state.hpp"

#include <functional>
#include <string>

namespace godwitcleat::coordination
{

/** Decodes, dispatches and answers the frames of the peer port. */
class peer_server
{
public:
    using reply = std::function<void(protocol::peer_reply)>;

    peer_server(
        peer_set& peers, shard_host& host, core::timeline& events,
        std::function<state::config_pointer()> config, core::clock now);

    /** Handles one frame; malformed frames get an error reply. */
    auto
    handle(std::string const& payload, std::function<void(std::string)> send)
        -> void;

private:
    auto answer(protocol::peer_changes const& request, reply const& send)
        -> void;
    auto answer(protocol::peer_update const& request, reply const& send)
        -> void;
    auto answer(protocol::config_request const& request, reply const& send)
        -> void;
    auto answer(protocol::submit_request const& request, reply const& send)
        -> void;
    auto answer(protocol::cancel_request const& request, reply const& send)
        -> void;
    auto answer(protocol::jobs_request const& request, reply const& send)
        -> void;
    auto answer(protocol::workers_request const& request, reply const& send)
        -> void;
    auto answer(protocol::timeline_request const& request, reply const& send)
        -> void;

    peer_set& peers_;
    shard_host& host_;
    core::timeline& events_;
    std::function<state::config_pointer()> config_;
    core::clock now_;
};

} // namespace godwitcleat::coordination

#endif
