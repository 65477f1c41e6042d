/** @file daemon_settings_base.hpp The daemon's settings file. */
#ifndef GODWITCLEAT_COORDINATION_DAEMON_SETTINGS_BASE_HPP
#define GODWITCLEAT_COORDINATION_DAEMON_SETTINGS_BASE_HPP

#include "core/core.hpp"
#include "transport/transport.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace godwitcleat::coordination
{

/** Settings of a daemon on a hosting platform that calls its workers. */
struct hosted_settings
{
    transport::endpoint readiness; ///< Listens here for the balancer.
    std::optional<transport::endpoint> metrics; ///< For collectors, if set.
    core::duration lease_limit = std::chrono::milliseconds{6000};
    core::duration owner_lease = std::chrono::milliseconds{3000};
    core::duration start_validity = std::chrono::milliseconds{1500};
    core::duration stop_time = std::chrono::milliseconds{900};
    core::duration worker_notice = std::chrono::milliseconds{2000};
    core::duration data_centre_notice = std::chrono::milliseconds{5000};
    core::duration commit_delay = std::chrono::milliseconds{300};
    core::duration poll_pause = std::chrono::milliseconds{40};
    core::duration retention = std::chrono::milliseconds{180'000};
    bool measured_objectives = false; ///< Else by the declared run times.
    bool followed_load = false;       ///< Of serving tasks; else the mean.

    auto operator==(hosted_settings const&) const -> bool = default;
};

/** Checked settings of one daemon; docs/configuration.md lists the keys. */
struct daemon_settings
{
    core::instance_id name;
    core::data_centre_id data_centre;
    std::uint32_t cpu_milli = 1000;        ///< Processors of the instance.
    transport::endpoint gateway;           ///< Listens here for callers.
    transport::endpoint control;           ///< Operators and workers.
    transport::endpoint peer;              ///< Other daemons.
    transport::endpoint advertise_gateway; ///< As others reach `gateway`.
    transport::endpoint advertise_control; ///< As others reach `control`.
    transport::endpoint advertise_peer;    ///< As others reach `peer`.

    std::vector<transport::endpoint> store; ///< At least one.
    core::duration store_timeout = std::chrono::seconds{2};

    std::optional<transport::endpoint> instances; ///< The platform's list.
    core::duration instances_interval = std::chrono::seconds{2};
    core::duration instances_lag = std::chrono::seconds{30};

    std::vector<transport::endpoint> peers; ///< May hold the own address.

    std::uint32_t shards = 16;
    core::duration heartbeat = std::chrono::milliseconds{500};
    core::duration lease = std::chrono::seconds{12};
    core::duration tick = std::chrono::milliseconds{100};
    core::duration start_validity = std::chrono::seconds{2};

    std::size_t connections_per_backend = 9;
    std::uint32_t retry_percent = 10; ///< Retries per 100 requests.
    std::size_t most_in_flight = 4096;

    core::log_level level = core::log_level::info;

    std::optional<hosted_settings> hosted; ///< Set if [hosted] is given.

    /** Memory of the instance in MB; 0: that of the machine. */
    std::size_t memory_mb = 0;
    /** Memory for requests in progress in MB; 0: a quarter of the instance's.
     */
    std::size_t request_memory_mb = 0;
    /** Connections of callers; 0: by the descriptors of the process. */
    std::size_t connections = 0;
    std::size_t connections_per_address = 0; ///< Of callers; 0: no limit.
    std::size_t min_body_bytes_per_s = std::size_t{16} * 1024;
    core::duration body_grace = std::chrono::seconds{5};

    std::size_t threads = 2;
    std::size_t timeline_events = 20'000;
    core::duration drain_delay = std::chrono::seconds{2};
    core::duration drain_timeout = std::chrono::seconds{30};

    auto operator==(daemon_settings const&) const -> bool = default;
};

/**
 * Reads the settings from INI text.
 * @param path names the file in messages.
 * @return std::nullopt with invalid_input; the message has one line for each
 *         problem, with file, line, key and remedy.
 */
auto parse_daemon_settings(std::string_view text, std::string_view path)
    -> std::optional<daemon_settings>;

/**
 * Returns the keys in which @p now differs from @p before and that a running
 * daemon cannot take up, as `[section] key`.
 */
auto keys_that_need_a_restart(
    daemon_settings const& before, daemon_settings const& now)
    -> std::vector<std::string>;

/** Reads the file @p path; also fails with not_found. */
auto load_daemon_settings(std::string const& path)
    -> std::optional<daemon_settings>;

} // namespace godwitcleat::coordination

#endif
