/** @file main.cpp Checks the histories that stand-ins and callers wrote. */
#include "standins/support/history_base.hpp"
#include "standins/support/history_check_base.hpp"
#include "standins/support/main_func.hpp"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <cstdlib>
#include <fstream>

namespace core = godwitcleat::core;
namespace standins = godwitcleat::standins;

namespace
{

constexpr int exit_violation = 1;

auto make_options() -> cxxopts::Options
{
    auto options = cxxopts::Options{
        "history-check",
        "Reports the first rule that histories of one run break.\n"
        "Exit codes: 0 no violation, 1 violation, 2 wrong usage or history."};
    auto add = options.add_options();
    add("files", "history files of workers, callers and operators",
        cxxopts::value<std::vector<std::string>>());
    add("finished", "job that must have finished; may be repeated",
        cxxopts::value<std::vector<std::string>>());
    add("planned-stop",
        "ADDRESS:PORT of a gateway with a planned stop: no request may fail "
        "during it, unless this gateway refuses the connection after the "
        "drain delay",
        cxxopts::value<std::string>()->default_value(""));
    add("mark-killed", "append to the file that this worker is killed now",
        cxxopts::value<std::string>());
    add("mark-drained",
        "append to the file that this data centre has been taken out",
        cxxopts::value<std::string>());
    add("mark-undrained",
        "append to the file that this data centre is brought back now",
        cxxopts::value<std::string>());
    add("mark-finished",
        "append to the file that this job is stored as finished",
        cxxopts::value<std::string>());
    add("mark-stopping", "append to the file that this gateway stops now",
        cxxopts::value<std::string>());
    add("mark-stopped", "append to the file that this gateway has stopped",
        cxxopts::value<std::string>());
    add("help", "print this text");
    options.parse_positional({"files"});
    options.positional_help("FILE...");
    return options;
}

auto mark_of(cxxopts::ParseResult const& options) -> std::string
{
    auto const now = core::system_clock()();
    if (options.count("mark-killed") > 0)
    {
        return standins::to_json(standins::worker_process_event{
            true, options["mark-killed"].as<std::string>(), {}, {}, now});
    }
    if (options.count("mark-finished") > 0)
    {
        return standins::to_json(standins::job_finish_event{
            options["mark-finished"].as<std::string>(), now});
    }
    for (auto const* it : {"mark-drained", "mark-undrained"})
    {
        if (options.count(it) > 0)
        {
            return standins::to_json(standins::drain_event{
                std::string_view{it} == "mark-drained",
                options[it].as<std::string>(), now});
        }
    }
    for (auto const* it : {"mark-stopping", "mark-stopped"})
    {
        if (options.count(it) > 0)
        {
            return standins::to_json(standins::gateway_stop_event{
                std::string_view{it} == "mark-stopped",
                options[it].as<std::string>(), now});
        }
    }
    return {};
}

auto append(std::string const& path, std::string const& line) -> int
{
    auto opened = standins::history::open(path);
    if (!opened)
    {
        fmt::print(stderr, "{}\n", core::last_reason().message);
        return standins::exit_usage;
    }
    opened->write(line);
    return EXIT_SUCCESS;
}

auto read(std::vector<std::string> const& paths)
    -> std::optional<std::vector<std::string>>
{
    auto result = std::vector<std::string>{};
    for (auto const& path : paths)
    {
        auto file = std::ifstream{path};
        if (!file)
        {
            return core::fail(
                core::error_kind::invalid_input,
                fmt::format(
                    "cannot read history \"{}\"; check the path", path));
        }
        for (auto line = std::string{}; std::getline(file, line);)
        {
            result.push_back(line);
        }
    }
    return result;
}

auto check(cxxopts::ParseResult const& options) -> int
{
    auto settings = standins::history_check_settings{};
    settings.planned_stop = options["planned-stop"].as<std::string>();
    if (options.count("finished") > 0)
    {
        settings.finished_jobs =
            options["finished"].as<std::vector<std::string>>();
    }
    auto const lines = read(options["files"].as<std::vector<std::string>>());
    auto const verdict =
        lines ? standins::check_histories(*lines, settings) : std::nullopt;
    if (!verdict)
    {
        fmt::print(stderr, "{}\n", core::last_reason().message);
        return standins::exit_usage;
    }
    auto const& counts = verdict->counts;
    fmt::print(
        "task starts {}, requests {} (ok {}, failed {}), runs in runners {}, "
        "drains {}, stored finishes {}\n",
        counts.task_starts, counts.calls, counts.calls_ok, counts.calls_failed,
        counts.runs, counts.drains, counts.finishes);
    if (!verdict->violation)
    {
        fmt::print("no violation\n");
        return EXIT_SUCCESS;
    }
    fmt::print("rule {} is broken by:\n", verdict->violation->rule);
    for (auto const& it : verdict->violation->lines)
    {
        fmt::print("  {}\n", it);
    }
    return exit_violation;
}

auto run(cxxopts::ParseResult const& parsed) -> int
{
    auto const mark = mark_of(parsed);
    return mark.empty()
               ? check(parsed)
               : append(
                     parsed["files"].as<std::vector<std::string>>().front(),
                     mark);
}

} // namespace

auto main(int count, char** arguments) -> int
{
    return standins::run_main(count, arguments, make_options(), {"files"}, run);
}
