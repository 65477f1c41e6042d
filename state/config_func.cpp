/** @file config_func.cpp Service runners and drained workers. */
#include "state/config_type.hpp"

#include <fmt/format.h>

namespace godwitcleat::state
{

auto runner_ids(service_config const& service) -> std::vector<core::job_id>
{
    auto ids = std::vector<core::job_id>{};
    ids.reserve(service.runners);
    for (auto n = std::uint32_t{0}; n < service.runners; ++n)
    {
        ids.emplace_back(
            fmt::format("service/{}/{}", service.service.value, n));
    }
    return ids;
}

auto runner_spec(service_config const& service, core::job_id const& id)
    -> job_spec
{
    auto spec = job_spec{};
    spec.id = id;
    spec.team = service.team;
    spec.kind = job_kind::service;
    spec.priority = priority_class::service;
    spec.service = service.service;
    spec.task_class = service.task_class;
    spec.need = service.need;
    spec.interruptible = service.interruptible;
    spec.command = service.command;
    return spec;
}

auto is_drained(
    config_document const& document, core::worker_id const& worker,
    core::data_centre_id const& data_centre) -> bool
{
    return document.drained_workers.contains(worker) ||
           document.drained_data_centres.contains(data_centre);
}

} // namespace godwitcleat::state
