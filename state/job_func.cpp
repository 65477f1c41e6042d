/** @file job_func.cpp Text names of the enum values of jobs. */
#include "state/job_type.hpp"

#include <fmt/format.h>

namespace godwitcleat::state
{

auto backend_server_of(attempt_key const& key) -> core::backend_server_id
{
    return core::backend_server_id{
        fmt::format("{}#{}", key.job.value, key.attempt.value)};
}

auto to_string(job_kind value) -> std::string_view
{
    switch (value)
    {
    case job_kind::batch: return "batch";
    case job_kind::service: return "service";
    }
    return "batch";
}

auto to_string(priority_class value) -> std::string_view
{
    switch (value)
    {
    case priority_class::urgent: return "urgent";
    case priority_class::service: return "service";
    case priority_class::batch: return "batch";
    }
    return "batch";
}

auto to_string(job_phase value) -> std::string_view
{
    switch (value)
    {
    case job_phase::queued: return "queued";
    case job_phase::placed: return "placed";
    case job_phase::running: return "running";
    case job_phase::checkpointing: return "checkpointing";
    case job_phase::finished: return "finished";
    case job_phase::failed: return "failed";
    case job_phase::cancelled: return "cancelled";
    case job_phase::impossible: return "impossible";
    }
    return "queued";
}

auto to_string(attempt_outcome value) -> std::string_view
{
    switch (value)
    {
    case attempt_outcome::finished: return "finished";
    case attempt_outcome::failed: return "failed";
    case attempt_outcome::stopped: return "stopped";
    case attempt_outcome::lost: return "lost";
    case attempt_outcome::not_started: return "not_started";
    }
    return "lost";
}

auto parse_job_kind(std::string_view text) -> std::optional<job_kind>
{
    for (auto const it : {job_kind::batch, job_kind::service})
    {
        if (to_string(it) == text)
        {
            return it;
        }
    }
    return core::fail(
        core::error_kind::invalid_input,
        fmt::format("job kind \"{}\" is unknown; use batch or service", text));
}

auto parse_priority(std::string_view text) -> std::optional<priority_class>
{
    for (auto const it :
         {priority_class::urgent, priority_class::service,
          priority_class::batch})
    {
        if (to_string(it) == text)
        {
            return it;
        }
    }
    return core::fail(
        core::error_kind::invalid_input,
        fmt::format(
            "priority \"{}\" is unknown; use urgent, service or batch", text));
}

auto is_final(job_phase phase) -> bool
{
    return phase == job_phase::finished || phase == job_phase::failed ||
           phase == job_phase::cancelled;
}

} // namespace godwitcleat::state
