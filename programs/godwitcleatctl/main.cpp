/** @file main.cpp Command-line tool for operators. */
#include "api_client_base.hpp"
#include "command_type.hpp"
#include "config_command_func.hpp"
#include "explain_command_func.hpp"
#include "job_command_func.hpp"
#include "output_func.hpp"
#include "transport/transport.hpp"
#include "view_command_func.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <iterator>
#include <optional>
#include <span>

namespace
{

namespace ctl = godwitcleat::ctl;
namespace transport = godwitcleat::transport;

constexpr std::string_view exit_codes =
    "Exit codes:\n"
    "  0  done\n"
    "  1  the daemon refused the command, or the job failed or was cancelled\n"
    "  2  wrong options, arguments or input files\n"
    "  3  no daemon could be reached, nothing was done\n"
    "  4  another change came first, nothing was done\n"
    "  5  the outcome is unknown, the command may have taken effect\n";

auto all_commands() -> std::vector<ctl::command>
{
    auto result = std::vector<ctl::command>{};
    for (auto&& group :
         {ctl::config_commands(), ctl::drain_commands(), ctl::job_commands(),
          ctl::view_commands(), ctl::timeline_commands(),
          ctl::explain_commands()})
    {
        std::copy(group.begin(), group.end(), std::back_inserter(result));
    }
    return result;
}

// Returns the first clause of a summary, for the list of commands.
auto first_clause(std::string_view text) -> std::string_view
{
    auto end = text.size();
    for (std::string_view separator : {". ", "; ", ": "})
    {
        end = std::min(end, text.find(separator));
    }
    return text.substr(0, end);
}

auto print_overview(std::vector<ctl::command> const& commands) -> void
{
    ctl::print_line("Usage: godwitcleatctl COMMAND [OPTION...]\n\n"
                    "Commands (COMMAND --help shows options and examples):");
    for (auto const& it : commands)
    {
        ctl::print_line(fmt::format(
            "  {:<9} {:<31} {}", it.name, it.argument_usage,
            first_clause(it.summary)));
    }
    ctl::print_line(fmt::format(
        "\nOptions of all commands:\n"
        "  --daemon ADDRESS:PORT  control port of a daemon; may be repeated "
        "(default: $GODWITCLEAT_DAEMON, separated by commas)\n"
        "  --timeout-ms N         timeout of one request in ms (default: "
        "10000)\n"
        "  --json                 print JSON\n"
        "  -h, --help             print this help\n\n{}",
        exit_codes));
}

auto make_options(ctl::command const& command) -> cxxopts::Options
{
    auto options = cxxopts::Options{
        fmt::format("godwitcleatctl {}", command.name),
        std::string{command.summary}};
    auto add = options.add_options();
    if (command.add_options)
    {
        command.add_options(add);
    }
    add("daemon", "control port of a daemon; may be repeated",
        cxxopts::value<std::vector<std::string>>(), "ADDRESS:PORT");
    add("timeout-ms", "timeout of one request in ms",
        cxxopts::value<std::uint32_t>()->default_value("10000"), "N");
    add("json", "print JSON");
    add("h,help", "print this help");
    options.add_options("hidden")(
        "arguments", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"arguments"});
    options.positional_help(std::string{command.argument_usage});
    return options;
}

auto print_help(ctl::command const& command, cxxopts::Options const& options)
    -> void
{
    ctl::print_line(fmt::format(
        "{}\nExamples:\n{}\n{}", options.help({""}), command.examples,
        exit_codes));
}

// Returns the index of the command's name, or the number of arguments if there
// is none.
auto find_command(std::span<char* const> arguments) -> std::size_t
{
    for (auto i = std::size_t{1}; i < arguments.size(); ++i)
    {
        auto const text = std::string_view{arguments[i]};
        if (text == "--daemon" || text == "--timeout-ms")
        {
            ++i;
        }
        else if (!text.starts_with('-'))
        {
            return i;
        }
    }
    return arguments.size();
}

auto split_at_commas(std::string_view text) -> std::vector<std::string>
{
    auto result = std::vector<std::string>{};
    while (!text.empty())
    {
        auto const comma = std::min(text.find(','), text.size());
        result.emplace_back(text.substr(0, comma));
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return result;
}

auto find_daemons(cxxopts::ParseResult const& options)
    -> std::optional<std::vector<transport::endpoint>>
{
    auto addresses = std::vector<std::string>{};
    auto const* environment = std::getenv("GODWITCLEAT_DAEMON");
    if (options.count("daemon") != 0)
    {
        addresses = options["daemon"].as<std::vector<std::string>>();
    }
    else if (environment != nullptr)
    {
        addresses = split_at_commas(environment);
    }
    auto result = std::vector<transport::endpoint>{};
    for (auto const& it : addresses)
    {
        auto address = transport::parse_endpoint(it);
        if (!address)
        {
            return std::nullopt;
        }
        result.push_back(std::move(*address));
    }
    return result;
}

auto run_command(
    ctl::command const& command, cxxopts::ParseResult const& options,
    std::vector<std::string> arguments) -> ctl::exit_status
{
    auto const daemons = find_daemons(options);
    if (!daemons)
    {
        return ctl::report_input_error();
    }
    auto loop = transport::reactor{1};
    auto http = transport::http_client{loop, {}};
    auto client = ctl::api_client{
        http, *daemons,
        std::chrono::milliseconds{options["timeout-ms"].as<std::uint32_t>()}};
    auto context = ctl::command_context{
        client, options, std::move(arguments), options.count("json") != 0};
    return command.run(context);
}

auto parse_and_run(ctl::command const& command, int count, char** arguments)
    -> ctl::exit_status
{
    auto options = make_options(command);
    auto const parsed = options.parse(count, arguments);
    if (parsed.count("help") != 0)
    {
        print_help(command, options);
        return ctl::exit_status::done;
    }
    auto positional = parsed["arguments"].as<std::vector<std::string>>();
    positional.erase(positional.begin());
    if (positional.size() < command.min_arguments ||
        positional.size() > command.max_arguments)
    {
        auto const* const blank = command.argument_usage.empty() ? "" : " ";
        ctl::print_error(fmt::format(
            "wrong number of arguments; use {}{}{} (see {} --help)",
            command.name, blank, command.argument_usage, command.name));
        return ctl::exit_status::usage;
    }
    return run_command(command, parsed, std::move(positional));
}

auto run(int count, char** arguments) -> ctl::exit_status
{
    auto const commands = all_commands();
    auto const all =
        std::span<char* const>{arguments, static_cast<std::size_t>(count)};
    auto const index = find_command(all);
    if (index == all.size())
    {
        auto const help_requested = std::any_of(
            all.begin(), all.end(),
            [](std::string_view it) { return it == "--help" || it == "-h"; });
        print_overview(commands);
        if (!help_requested)
        {
            ctl::print_error(
                "no command is given; use one of those listed above");
        }
        return help_requested ? ctl::exit_status::done
                              : ctl::exit_status::usage;
    }
    auto const name = std::string_view{all[index]};
    auto const it = std::find_if(
        commands.begin(), commands.end(),
        [name](auto const& each) { return each.name == name; });
    if (it == commands.end())
    {
        ctl::print_error(fmt::format(
            "command \"{}\" is unknown; see godwitcleatctl --help", name));
        return ctl::exit_status::usage;
    }
    return parse_and_run(*it, count, arguments);
}

} // namespace

auto main(int argc, char** argv) -> int
{
    try
    {
        return static_cast<int>(run(argc, argv));
    }
    catch (cxxopts::exceptions::exception const& error)
    {
        ctl::print_error(fmt::format("{}; see --help", error.what()));
        return static_cast<int>(ctl::exit_status::usage);
    }
    catch (nlohmann::json::exception const& error)
    {
        ctl::print_error(fmt::format(
            "the response cannot be parsed ({}); check that the address is a "
            "daemon's control port",
            error.what()));
        return static_cast<int>(ctl::exit_status::refused);
    }
    catch (std::exception const& error)
    {
        ctl::print_error(error.what());
        return static_cast<int>(ctl::exit_status::refused);
    }
}
