/** @file view_command_func.hpp Commands that show the state of the system. */
#ifndef GODWITCLEAT_PROGRAMS_CTL_VIEW_COMMAND_FUNC_HPP
#define GODWITCLEAT_PROGRAMS_CTL_VIEW_COMMAND_FUNC_HPP

#include "command_type.hpp"

#include <vector>

namespace godwitcleat::ctl
{

/** Returns `services`, `workers`, `status` and `metrics`. */
auto view_commands() -> std::vector<command>;

/** Returns `timeline`. */
auto timeline_commands() -> std::vector<command>;

} // namespace godwitcleat::ctl

#endif
