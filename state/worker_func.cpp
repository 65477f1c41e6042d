/** @file worker_func.cpp Text names of task phases and worker commands. */
#include "state/worker_type.hpp"

#include <fmt/format.h>

namespace godwitcleat::state
{

auto to_string(task_phase value) -> std::string_view
{
    switch (value)
    {
    case task_phase::running: return "running";
    case task_phase::checkpointing: return "checkpointing";
    case task_phase::finished: return "finished";
    case task_phase::failed: return "failed";
    case task_phase::stopped: return "stopped";
    }
    return "running";
}

auto parse_task_phase(std::string_view text) -> std::optional<task_phase>
{
    for (auto const it :
         {task_phase::running, task_phase::checkpointing, task_phase::finished,
          task_phase::failed, task_phase::stopped})
    {
        if (to_string(it) == text)
        {
            return it;
        }
    }
    return core::fail(
        core::error_kind::invalid_input,
        fmt::format(
            "task phase \"{}\" is unknown; use running, checkpointing, "
            "finished, failed or stopped",
            text));
}

auto to_string(worker_command_kind value) -> std::string_view
{
    switch (value)
    {
    case worker_command_kind::start: return "start";
    case worker_command_kind::stop: return "stop";
    case worker_command_kind::checkpoint: return "checkpoint";
    case worker_command_kind::throttle: return "throttle";
    case worker_command_kind::forget: return "forget";
    }
    return "stop";
}

auto parse_worker_command_kind(std::string_view text)
    -> std::optional<worker_command_kind>
{
    for (auto const it :
         {worker_command_kind::start, worker_command_kind::stop,
          worker_command_kind::checkpoint, worker_command_kind::throttle,
          worker_command_kind::forget})
    {
        if (to_string(it) == text)
        {
            return it;
        }
    }
    return core::fail(
        core::error_kind::invalid_input,
        fmt::format(
            "worker command \"{}\" is unknown; use start, stop, checkpoint, "
            "throttle or forget",
            text));
}

} // namespace godwitcleat::state
