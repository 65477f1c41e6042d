/** @file job_command_func.hpp Commands for jobs. */
#ifndef GODWITCLEAT_PROGRAMS_CTL_JOB_COMMAND_FUNC_HPP
#define GODWITCLEAT_PROGRAMS_CTL_JOB_COMMAND_FUNC_HPP

#include "command_type.hpp"

#include <vector>

namespace godwitcleat::ctl
{

/** Returns `submit`, `cancel`, `jobs` and `wait`. */
auto job_commands() -> std::vector<command>;

} // namespace godwitcleat::ctl

#endif
