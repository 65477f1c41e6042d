/** @file command_type.hpp Commands of the tool and their exit codes. */
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

/** Exit codes, as `--help` documents them. */
enum class exit_status
{
    done = 0,        ///< The command did what it says.
    refused = 1,     ///< The daemon answered with an error.
    usage = 2,       ///< Wrong options, arguments or input files.
    unreachable = 3, ///< No daemon could be reached; nothing was done.
    conflict = 4,    ///< Another change came first; nothing was done.
    unknown = 5      ///< The command may or may not have taken effect.
};

/** What a command works with. */
struct command_context
{
    api_client& client;
    cxxopts::ParseResult const& options;
    std::vector<std::string> arguments; ///< Without the command's name.
    bool json = false;                  ///< Print JSON instead of tables.
};

/** One command of the tool. */
struct command
{
    std::string_view name;
    std::string_view arguments; ///< As the usage line shows them.
    std::string_view summary;   ///< One sentence.
    std::string_view examples;  ///< Indented lines for the help text.
    std::size_t least_arguments = 0;
    std::size_t most_arguments = 0;
    std::function<void(cxxopts::OptionAdder)> add_options; ///< May be empty.
    std::function<exit_status(command_context&)> run;
};

} // namespace godwitcleat::ctl

#endif
