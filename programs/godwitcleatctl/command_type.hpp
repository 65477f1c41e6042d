/** @file command_type.hpp Command descriptions and exit codes. */
#ifndef GODWITCLEAT_PROGRAMS_CTL_COMMAND_TYPE_HPP
#define GODWITCLEAT_PROGRAMS_CTL_COMMAND_TYPE_HPP

#include <cxxopts.hpp>

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace godwitcleat::ctl
{

class api_client;

/** Exit codes, documented in the output of `--help`. */
enum class exit_status
{
    done = 0,        ///< The command succeeded.
    refused = 1,     ///< The daemon refused, or the job failed or is unknown.
    usage = 2,       ///< Wrong options, arguments or input files.
    unreachable = 3, ///< No daemon could be reached; nothing was done.
    conflict = 4,    ///< Another change was published first; nothing was done.
    unknown = 5      ///< The command may or may not have taken effect.
};

/** Connection and parsed command line of a command. */
struct command_context
{
    api_client& client;
    cxxopts::ParseResult const& options;
    std::vector<std::string> arguments; ///< Positional, after the command name.
    bool json = false;                  ///< Print JSON instead of tables.
};

/** One command of the tool. */
struct command
{
    std::string_view name;
    std::string_view argument_usage; ///< Arguments in the usage line.
    std::string_view summary;        ///< One sentence.
    std::string_view examples;       ///< Lines of the help text, indented.
    std::size_t min_arguments = 0;
    std::size_t max_arguments = 0;
    std::function<void(cxxopts::OptionAdder)> add_options; ///< Optional.
    std::function<exit_status(command_context&)> run;
};

} // namespace godwitcleat::ctl

#endif
