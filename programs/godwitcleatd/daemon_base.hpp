/** @file daemon_base.hpp Entry daemon: composition of its components. */
#ifndef GODWITCLEAT_PROGRAMS_GODWITCLEATD_DAEMON_BASE_HPP
#define GODWITCLEAT_PROGRAMS_GODWITCLEATD_DAEMON_BASE_HPP

#include "coordination/coordination.hpp"
#include "core/core.hpp"
#include "programs/godwitcleatd/listener_limits_base.hpp"
#include "transport/transport.hpp"

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace godwitcleat::daemon
{

/** Faults that tests inject to verify the history checks. Off by default. */
struct daemon_faults
{
    /** A drain does not wait for requests in flight. */
    bool cut_requests_at_stop = false;
};

/** Addresses that a daemon listens on, with the actual ports. */
struct daemon_addresses
{
    transport::endpoint gateway;
    transport::endpoint control;
    transport::endpoint peer;
};

/**
 * Entry daemon: gateway, shard owner, configuration follower and peer. Members
 * are declared in the order of their dependencies.
 */
class entry_daemon
{
public:
    entry_daemon(
        coordination::daemon_settings settings, core::logger log,
        daemon_faults faults = {});
    ~entry_daemon();
    entry_daemon(entry_daemon const&) = delete;
    auto operator=(entry_daemon const&) -> entry_daemon& = delete;

    /** Listens and starts the timers; std::nullopt with error unavailable. */
    auto start() -> std::optional<bool>;

    /**
     * Drains: /ready answers 503, requests in flight finish and shards are
     * handed over. @p on_done is called once, at the latest when the drain
     * delay and the drain timeout have passed.
     */
    auto drain(std::function<void()> on_done) -> void;

    /** Requires that start() has succeeded. */
    [[nodiscard]] auto addresses() const -> daemon_addresses;

    /** Returns the event loop, for signal handlers. */
    auto loop() -> transport::reactor&
    {
        return loop_;
    }

private:
    /** Earlier owners of a shard of this instance. */
    struct former_holders
    {
        std::vector<coordination::shard_holder> list;
        core::time_point known_since;
    };

    auto peer_hooks() -> coordination::peer_hooks;
    auto host_hooks() -> coordination::shard_host_hooks;
    auto control_hooks() -> coordination::control_hooks;
    auto gateway_parts() -> coordination::gateway_parts;
    auto listen() -> std::optional<bool>;
    auto start_timers() -> void;
    auto tick() -> void;
    auto tick_peers() -> void;
    auto read_instances() -> void;
    auto make_peer_update() -> protocol::peer_update;
    auto handle_peer_update(protocol::peer_update const& update) -> void;
    auto fetch_config(std::string const& peer_address) -> void;
    auto ownership_changed(coordination::shard_ownership const& change) -> void;
    auto former_owner_stopped(core::shard_id shard, core::epoch owner_epoch)
        -> bool;
    auto is_ready() -> bool;
    auto status() -> coordination::daemon_status;
    auto finish_drain(std::function<void()> on_done) -> void;

    coordination::daemon_settings settings_;
    core::logger log_;
    daemon_faults faults_;
    core::clock now_ = core::system_clock();
    std::string boot_id_ = core::unique_id();
    std::atomic<bool> leaving_ = false;
    core::metrics metrics_;
    core::timeline timeline_;
    core::random_source random_;
    coordination::instance_history instances_;
    std::mutex former_holders_mutex_;
    std::map<core::shard_id, former_holders> former_holders_;

    listener_limits limits_{
        settings_, now_, log_.with_prefix("listener"), metrics_};
    transport::reactor loop_;
    transport::http_client platform_client_;
    transport::http_client backend_client_;
    transport::frame_client peer_client_;
    coordination::peer_call call_peer_;
    coordination::fetch_instances fetch_instances_;
    coordination::etcd_store store_;
    coordination::config_follower config_;
    coordination::shard_logs logs_;
    coordination::peer_set peers_;
    coordination::shard_host host_;
    coordination::ownership ownership_;
    coordination::forwarding forwarding_;
    coordination::router router_;
    coordination::gateway gateway_;
    coordination::peer_server peer_server_;
    coordination::control_server control_server_;
    std::optional<transport::http_server> gateway_listener_;
    std::optional<transport::http_server> control_listener_;
    std::optional<transport::frame_server> peer_listener_;
    std::vector<transport::timer_handle> timers_;
    core::time_point started_at_;
    core::time_point drain_deadline_;
};

} // namespace godwitcleat::daemon

#endif
