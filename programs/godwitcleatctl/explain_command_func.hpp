/** @file explain_command_func.hpp Command that traces a job in log files. */
#ifndef GODWITCLEAT_PROGRAMS_CTL_EXPLAIN_COMMAND_FUNC_HPP
#define GODWITCLEAT_PROGRAMS_CTL_EXPLAIN_COMMAND_FUNC_HPP

#include "command_type.hpp"

#include <vector>

namespace godwitcleat::ctl
{

/** Returns `explain`. */
auto explain_commands() -> std::vector<command>;

} // namespace godwitcleat::ctl

#endif
