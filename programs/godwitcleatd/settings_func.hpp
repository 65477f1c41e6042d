/** @file settings_func.hpp Derives the settings of the daemon's components. */
#ifndef GODWITCLEAT_PROGRAMS_GODWITCLEATD_SETTINGS_FUNC_HPP
#define GODWITCLEAT_PROGRAMS_GODWITCLEATD_SETTINGS_FUNC_HPP

#include "coordination/coordination.hpp"

namespace godwitcleat::daemon
{

/** Each function returns the settings of one component; settings that the
 * daemon's file does not cover keep their defaults. */
auto host_settings(coordination::daemon_settings const& settings)
    -> coordination::shard_host_settings;

auto ownership_settings(coordination::daemon_settings const& settings)
    -> coordination::ownership_settings;

auto store_settings(coordination::daemon_settings const& settings)
    -> coordination::etcd_store_settings;

auto backend_limits(coordination::daemon_settings const& settings)
    -> transport::http_client_limits;

auto router_settings(coordination::daemon_settings const& settings)
    -> coordination::router_settings;

} // namespace godwitcleat::daemon

#endif
