/** @file listener_limits_base.hpp Limits of the daemon's listeners. */
#ifndef GODWITCLEAT_PROGRAMS_GODWITCLEATD_LISTENER_LIMITS_BASE_HPP
#define GODWITCLEAT_PROGRAMS_GODWITCLEATD_LISTENER_LIMITS_BASE_HPP

#include "coordination/coordination.hpp"
#include "core/core.hpp"
#include "transport/transport.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <string_view>

namespace godwitcleat::daemon
{

/**
 * Divides memory and descriptors of the process among its listeners, which all
 * share one memory budget, and reports when a limit acts. Thread-safe.
 */
class listener_limits
{
public:
    listener_limits(
        coordination::daemon_settings const& settings, core::clock clock,
        core::logger log, core::metrics& metrics);

    /** Of the listener for callers. */
    [[nodiscard]] auto for_callers() -> transport::http_server_limits;

    /** Of a listener for workers and operators. */
    [[nodiscard]] auto for_workers() -> transport::http_server_limits;

    /** Of a listener for checks and collectors. */
    [[nodiscard]] auto for_checks() -> transport::http_server_limits;

    [[nodiscard]] auto for_peers() -> transport::frame_limits;

    /** Sets the gauges of the memory budget. */
    auto report_use() -> void;

private:
    [[nodiscard]] auto http_limits(std::size_t connections)
        -> transport::http_server_limits;
    [[nodiscard]] auto on_limit() -> std::function<void(std::string_view)>;

    coordination::daemon_settings const& settings_;
    core::clock clock_;
    core::logger log_;
    core::metrics& metrics_;
    std::size_t descriptors_; ///< That the process may open.
    std::shared_ptr<transport::memory_budget> budget_;
    std::mutex mutex_; ///< Guards `lines_`.
    coordination::line_budget lines_{1};
};

} // namespace godwitcleat::daemon

#endif
