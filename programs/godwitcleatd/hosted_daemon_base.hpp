/** @file hosted_daemon_base.hpp The daemon on a platform that hosts workers. */
#ifndef GODWITCLEAT_PROGRAMS_GODWITCLEATD_HOSTED_DAEMON_BASE_HPP
#define GODWITCLEAT_PROGRAMS_GODWITCLEATD_HOSTED_DAEMON_BASE_HPP

#include "coordination/coordination.hpp"
#include "core/core.hpp"
#include "platform/platform.hpp"
#include "transport/transport.hpp"

#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace godwitcleat::daemon
{

/** One daemon. Members are declared in the order of their dependencies. */
class hosted_daemon
{
public:
    /** @param settings_path is read again when it changes; empty: never. */
    hosted_daemon(
        coordination::daemon_settings settings, core::logger log,
        std::string settings_path = {});
    ~hosted_daemon();
    hosted_daemon(hosted_daemon const&) = delete;
    auto operator=(hosted_daemon const&) -> hosted_daemon& = delete;

    /** Listens and starts the timers; std::nullopt with unavailable. */
    auto start() -> std::optional<bool>;

    /**
     * Drains: readiness turns false, the ownership of the jobs is handed over
     * and requests in flight finish. @p on_done is called once.
     */
    auto drain(std::function<void()> on_done) -> void;

    /** Returns the event loop, for signal handlers. */
    auto loop() -> transport::reactor&
    {
        return loop_;
    }

private:
    auto host_parts() -> coordination::dispatch_host_parts;
    auto directory_hooks() -> platform::directory_hooks;
    auto own_record() const -> protocol::owner_record;
    auto listen() -> std::optional<bool>;
    auto is_ready() const -> bool;
    auto finish_drain(std::function<void()> on_done) -> void;
    auto listen_for_collectors() -> void;
    auto metrics_page() -> std::string;
    auto follow_settings() -> void;
    auto reload(std::string_view cause) -> void;
    auto take_settings(coordination::daemon_settings settings) -> void;

    coordination::daemon_settings settings_;
    std::string settings_path_;
    std::mutex reload_mutex_;
    std::string settings_text_; ///< Of the file as it was last read.
    core::logger log_;
    core::clock now_ = core::suspend_aware_clock();
    std::string boot_id_ = core::unique_id();
    std::atomic<bool> leaving_ = false;
    core::metrics metrics_;

    transport::reactor loop_;
    transport::http_client store_client_;
    transport::http_client worker_client_;
    transport::frame_client peer_client_;
    platform::hosted_store store_;
    coordination::dispatch_host host_;
    coordination::job_router router_;
    platform::job_api api_;
    platform::directory directory_;
    std::optional<transport::http_server> gateway_listener_;
    std::optional<transport::http_server> control_listener_;
    std::optional<transport::http_server> readiness_listener_;
    std::optional<transport::http_server> metrics_listener_;
    std::optional<transport::frame_server> peer_listener_;
    std::vector<transport::timer_handle> timers_;
    core::time_point drain_end_;
};

} // namespace godwitcleat::daemon

#endif
