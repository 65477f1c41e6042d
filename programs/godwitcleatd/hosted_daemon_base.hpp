/** @file hosted_daemon_base.hpp Entry daemon on the hosting platform. */
#ifndef GODWITCLEAT_PROGRAMS_GODWITCLEATD_HOSTED_DAEMON_BASE_HPP
#define GODWITCLEAT_PROGRAMS_GODWITCLEATD_HOSTED_DAEMON_BASE_HPP

#include "coordination/coordination.hpp"
#include "core/core.hpp"
#include "platform/platform.hpp"
#include "programs/godwitcleatd/listener_limits_base.hpp"
#include "transport/transport.hpp"

#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace godwitcleat::daemon
{

/**
 * Entry daemon on a platform that provides the store and the workers. Members
 * are declared in the order of their dependencies.
 */
class hosted_daemon
{
public:
    /** @param settings_path is reloaded when the file changes; may be empty. */
    hosted_daemon(
        coordination::daemon_settings settings, core::logger log,
        std::string settings_path = {});
    ~hosted_daemon();
    hosted_daemon(hosted_daemon const&) = delete;
    auto operator=(hosted_daemon const&) -> hosted_daemon& = delete;

    /** Listens and starts the timers; std::nullopt with error unavailable. */
    auto start() -> std::optional<bool>;

    /**
     * Drains: the readiness port answers 503, the ownership of the jobs is
     * handed over and requests in flight finish. @p on_done is called once, at
     * the latest when the drain delay and the drain timeout have passed.
     */
    auto drain(std::function<void()> on_done) -> void;

    /** Returns the event loop, for signal handlers. */
    auto loop() -> transport::reactor&
    {
        return loop_;
    }

private:
    auto config_exchange_hooks() -> coordination::config_exchange_hooks;
    auto host_parts() -> coordination::dispatch_host_parts;
    auto directory_hooks() -> platform::directory_hooks;
    auto make_owner_record() const -> protocol::owner_record;
    auto listen() -> std::optional<bool>;
    auto is_ready() const -> bool;
    auto finish_drain(std::function<void()> on_done) -> void;
    auto listen_for_metrics() -> void;
    auto metrics_page() -> std::string;
    auto customer_metrics() const -> std::string;
    auto watch_settings_file() -> void;
    auto reload(std::string_view cause) -> void;
    auto apply_settings(coordination::daemon_settings settings) -> void;

    coordination::daemon_settings settings_;
    std::string settings_path_;
    std::mutex reload_mutex_;
    std::string settings_text_; ///< Content at the last read.
    core::logger log_;
    core::clock now_ = core::suspend_aware_clock();
    std::string boot_id_ = core::unique_id();
    std::atomic<bool> leaving_ = false;
    core::metrics metrics_;

    listener_limits limits_{
        settings_, now_, log_.with_prefix("listener"), metrics_};
    transport::reactor loop_;
    transport::http_client store_client_;
    transport::http_client worker_client_;
    transport::frame_client peer_client_;
    platform::hosted_store store_;
    coordination::dispatch_host host_;
    coordination::job_router router_;
    platform::job_api api_;
    platform::directory directory_;
    coordination::config_exchange config_exchange_;
    std::optional<transport::http_server> gateway_listener_;
    std::optional<transport::http_server> control_listener_;
    std::optional<transport::http_server> readiness_listener_;
    std::optional<transport::http_server> metrics_listener_;
    std::optional<transport::frame_server> peer_listener_;
    std::vector<transport::timer_handle> timers_;
    core::time_point drain_deadline_;
};

} // namespace godwitcleat::daemon

#endif
