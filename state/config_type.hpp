/** @file config_type.hpp The configuration document that operators publish. */
#ifndef GODWITCLEAT_STATE_CONFIG_TYPE_HPP
#define GODWITCLEAT_STATE_CONFIG_TYPE_HPP

#include "state/job_type.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace godwitcleat::state
{

/** A team and its quota. */
struct team_config
{
    core::team_id team;
    core::resources quota; ///< Soft limit, summed over all shards.
    auto operator==(team_config const&) const -> bool = default;
};

/** A service with identical runners that answer requests. */
struct service_config
{
    core::service_id service;
    core::team_id team;
    std::uint32_t runners = 1;
    std::uint32_t slots = 8;        ///< Concurrent requests per runner.
    std::uint32_t connections = 64; ///< Connections per runner.
    core::resources need;           ///< Resources of one runner.
    bool interruptible = false;
    std::string task_class;
    std::int64_t default_deadline_ms = 2000;
    std::string command;
    auto operator==(service_config const&) const -> bool = default;
};

/** A batch job that is submitted when the document is published. */
struct batch_config
{
    job_spec spec;
    auto operator==(batch_config const&) const -> bool = default;
};

/** The complete configuration of one generation. */
struct config_document
{
    core::generation number;
    std::map<core::team_id, team_config> teams;
    std::map<core::service_id, service_config> services;
    std::map<core::job_id, batch_config> jobs;
    std::set<core::data_centre_id> drained_data_centres;
    std::set<core::worker_id> drained_workers;
    auto operator==(config_document const&) const -> bool = default;
};

using config_pointer = std::shared_ptr<config_document const>;

/** Author and summary of a change; stored for each generation. */
struct config_change
{
    core::generation number;
    std::string author;
    std::string summary;
    std::int64_t wall_us = 0; ///< Microseconds since 1970, UTC.
    auto operator==(config_change const&) const -> bool = default;
};

/** Returns the job ids of the runners of @p service: `service/NAME/INDEX`. */
auto runner_ids(service_config const& service) -> std::vector<core::job_id>;

/** Returns the job specification of runner @p id of @p service. */
auto runner_spec(service_config const& service, core::job_id const& id)
    -> job_spec;

/** Returns true if the worker or its data centre is drained. */
auto is_drained(
    config_document const& document, core::worker_id const& worker,
    core::data_centre_id const& data_centre) -> bool;

} // namespace godwitcleat::state

#endif
