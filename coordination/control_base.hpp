/** @file control_base.hpp The control port: operators and workers. */
#ifndef GODWITCLEAT_COORDINATION_CONTROL_BASE_HPP
#define GODWITCLEAT_COORDINATION_CONTROL_BASE_HPP

#include "coordination/config_follower_base.hpp"
#include "core/core.hpp"
#include "protocol/protocol.hpp"
#include "state/state.hpp"
#include "transport/transport.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace godwitcleat::coordination
{

/** The reply to a heartbeat, or the address of the shard's owner. */
struct heartbeat_result
{
    std::optional<state::heartbeat_reply> reply;
    std::string owner; ///< ADDRESS:PORT of the owner's control port, or empty.
};

/** A shard and its owner's epoch, or a peer, as `GET /v1/status` shows them. */
struct peer_status
{
    core::instance_id instance;
    std::string control_address;
    core::generation config;
    bool suspect = false;
    std::vector<core::shard_id> shards;
};

/** State of this daemon. */
struct daemon_status
{
    core::instance_id instance;
    std::string boot_id;
    core::data_centre_id data_centre;
    bool ready = false;
    core::generation config;
    bool store_reachable = false;
    std::vector<protocol::owned_shard> shards;
    std::vector<peer_status> peers;
};

/** A publish of a new configuration. */
struct publish_command
{
    core::generation base;
    std::string author;
    std::string summary;
    state::config_document document;
};

/** What the control port calls. Handlers may answer on any thread. */
struct control_hooks
{
    /** Gets true, or false with core::last_reason(). */
    using done = std::function<void(bool)>;

    std::function<void(
        state::partial_report, std::function<void(heartbeat_result)>)>
        heartbeat;
    std::function<void(state::job_spec, done)> submit;
    std::function<void(core::job_id, std::string reason, done)> cancel;
    std::function<void(
        std::optional<core::job_id>,
        std::function<void(std::optional<std::vector<state::job>>)>)>
        jobs; ///< std::nullopt with core::last_reason().
    std::function<void(std::function<void(std::vector<state::worker_view>)>)>
        workers;
    std::function<std::vector<state::service_endpoint>()> endpoints;
    std::function<state::config_pointer()> config;
    std::function<void(
        publish_command, std::function<void(std::optional<publish_outcome>)>)>
        publish;
    std::function<daemon_status()> status;
    std::function<std::string()> metrics;
    std::function<std::vector<core::timeline_event>(std::uint64_t after)>
        timeline;
};

/** Returns the HTTP status that stands for @p kind on the control port. */
auto http_status(core::error_kind kind) -> int;

/** Routes requests of the control port; see docs/design.md 5.11. */
class control_server
{
public:
    explicit control_server(control_hooks hooks);

    /** Handles one request. */
    auto
    handle(transport::http_request const& request, transport::http_reply reply)
        -> void;

private:
    using route = std::function<void(
        transport::http_request const&, transport::http_reply)>;

    auto add_worker_routes() -> void;
    auto add_job_routes() -> void;
    auto add_config_routes() -> void;
    auto add_status_routes() -> void;

    control_hooks hooks_;
    std::map<std::string, route, std::less<>> routes_;
};

} // namespace godwitcleat::coordination

#endif
