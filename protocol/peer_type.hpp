/** @file peer_type.hpp Messages between daemons. */
#ifndef GODWITCLEAT_PROTOCOL_PEER_TYPE_HPP
#define GODWITCLEAT_PROTOCOL_PEER_TYPE_HPP

#include "core/core.hpp"
#include "state/state.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace godwitcleat::protocol
{

/** A shard that an instance owns. */
struct owned_shard
{
    core::shard_id shard;
    core::epoch owner_epoch;

    auto operator==(owned_shard const&) const -> bool = default;
};

/** Endpoints of the runners that one shard hosts. */
struct endpoint_table
{
    core::shard_id shard;
    core::epoch owner_epoch;
    std::uint64_t version = 0; ///< Grows within an epoch.
    std::vector<state::service_endpoint> endpoints;
};

/** Requests in flight from the sender to one backend server. */
struct backend_load
{
    core::backend_server_id backend_server;
    std::uint32_t in_flight = 0;
};

/** State of one daemon, sent to a peer that does not hold an earlier one. */
struct peer_update
{
    core::instance_id instance;
    std::string boot_id;      ///< Changes with each start of the process.
    std::uint64_t number = 0; ///< Counts the states of this process, from 1.
    core::data_centre_id data_centre;
    std::string peer_address;    ///< ADDRESS:PORT of the peer port.
    std::string control_address; ///< ADDRESS:PORT of the control port.
    bool leaving = false;
    bool store_reachable = true;
    core::generation config;
    std::vector<owned_shard> shards;
    std::vector<state::shard_summary> summaries;
    std::vector<endpoint_table> tables; ///< Changed since the last reply.
    std::vector<backend_load> loads;
    std::vector<owned_shard> seen; ///< Highest epochs seen, of any owner.
};

/** How a daemon's state differs from an earlier one; sent every 500 ms. */
struct peer_changes
{
    core::instance_id instance;
    std::string boot_id;
    std::uint64_t base = 0;          ///< Number of the earlier state.
    std::uint64_t number = 0;        ///< Number of the state after the changes.
    std::uint64_t known_version = 0; ///< Latest peer_update_reply::known.
    bool leaving = false;
    bool store_reachable = true;
    core::generation config;
    std::optional<std::vector<owned_shard>> shards; ///< Absent: unchanged.
    std::vector<state::shard_summary> summaries;    ///< New or changed.
    std::vector<endpoint_table> tables;
    std::vector<backend_load> loads; ///< Changed; 0 in flight: left out now.
    std::optional<std::vector<owned_shard>> seen; ///< Absent: unchanged.
};

/** Receiver's view, so that the sender can leave out what is known. */
struct peer_update_reply
{
    core::instance_id instance;
    std::uint64_t number = 0;        ///< State held now; 0: send a peer_update.
    std::uint64_t known_version = 0; ///< Changes with each change of known.
    /** Table versions without endpoints; absent if the sender has them. */
    std::optional<std::vector<endpoint_table>> known;
};

/** Asks for the configuration document. */
struct config_request
{
};

/** The sender's document. */
struct config_reply
{
    state::config_document document;
};

/** Submits a job to its home shard. */
struct submit_request
{
    state::job_spec spec;
};

/** Cancels a job in its home shard. */
struct cancel_request
{
    core::job_id job;
    std::string reason;
};

/** Asks for the jobs of all shards that the receiver owns. */
struct jobs_request
{
    std::optional<core::job_id> job; ///< Only this one.
};

struct jobs_reply
{
    std::vector<state::job> jobs;
};

/** Asks for the workers of all shards that the receiver owns. */
struct workers_request
{
};

struct workers_reply
{
    std::vector<state::worker_view> workers;
};

/** Asks for time-line events. */
struct timeline_request
{
    std::uint64_t after = 0; ///< Sequence number at the receiver.
};

struct timeline_reply
{
    std::vector<core::timeline_event> events;
};

/** The request was done. */
struct done_reply
{
};

/** The request failed. */
struct error_reply
{
    core::error_kind kind = core::error_kind::internal;
    std::string message;
};

using peer_request = std::variant<
    peer_update, peer_changes, config_request, submit_request, cancel_request,
    jobs_request, workers_request, timeline_request, state::offer_request,
    state::claim_request, state::attempt_ended_request, state::status_request>;

using peer_reply = std::variant<
    peer_update_reply, config_reply, jobs_reply, workers_reply, timeline_reply,
    done_reply, error_reply, state::offer_reply, state::claim_reply,
    state::attempt_ended_reply, state::status_reply>;

} // namespace godwitcleat::protocol

#endif
