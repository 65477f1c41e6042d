/** @file main.cpp Command line of the daemon. */
#include "programs/godwitcleatd/daemon_base.hpp"
#include "programs/godwitcleatd/hosted_daemon_base.hpp"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <future>
#include <string>

namespace
{

using namespace godwitcleat;

constexpr int exit_done = 0;
constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

// Runs a daemon until SIGTERM or SIGINT; returns after the drain.
template <class Daemon>
auto run_until_signal(Daemon& daemon, core::logger const& log) -> int
{
    auto stopped = std::promise<void>{};
    daemon.loop().on_signal(
        {SIGTERM, SIGINT}, [&daemon, &stopped](int /*signal*/)
        { daemon.drain([&stopped] { stopped.set_value(); }); });
    if (!daemon.start())
    {
        log.error(
            "Daemon did not start.", {{"reason", core::last_reason().message}});
        return exit_failed;
    }
    stopped.get_future().wait();
    return exit_done;
}

auto run(coordination::daemon_settings settings, std::string path) -> int
{
    if (settings.hosted)
    {
        // A log pipe that is closed by its reader must not end the process.
        std::signal(SIGPIPE, SIG_IGN); // NOLINT(cert-err33-c)
        auto const log =
            core::logger{core::standard_output_sink(), settings.level};
        auto daemon =
            daemon::hosted_daemon{std::move(settings), log, std::move(path)};
        return run_until_signal(daemon, log);
    }
    auto const log = core::logger{core::standard_error_sink(), settings.level};
    auto daemon = daemon::entry_daemon{std::move(settings), log};
    return run_until_signal(daemon, log);
}

auto make_options() -> cxxopts::Options
{
    auto options = cxxopts::Options{
        "godwitcleatd",
        "Entry daemon: gateway, shard owner, configuration follower, peer.\n"
        "Exit codes: 0 stopped by SIGTERM or SIGINT after draining, 1 failed "
        "to start, 2 wrong usage or settings.\n"};
    options.add_options()(
        "settings",
        "Settings file (docs/configuration.md); default: the file that the "
        "environment variable GODWITCLEAT_SETTINGS names",
        cxxopts::value<std::string>())("check", "Check the settings and exit")(
        "help", "Show this help");
    return options;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    try
    {
        auto options = make_options();
        auto const arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0)
        {
            fmt::print("{}", options.help());
            return exit_done;
        }
        auto const* const from_environment =
            std::getenv("GODWITCLEAT_SETTINGS"); // NOLINT(concurrency-*)
        if (arguments.count("settings") == 0 && from_environment == nullptr)
        {
            fmt::print(
                stderr, "option --settings FILE is missing; see --help\n");
            return exit_usage;
        }
        auto path = arguments.count("settings") > 0
                        ? arguments["settings"].as<std::string>()
                        : std::string{from_environment};
        auto settings = coordination::load_daemon_settings(path);
        if (!settings)
        {
            fmt::print(stderr, "{}\n", core::last_reason().message);
            return exit_usage;
        }
        if (arguments.count("check") > 0)
        {
            fmt::print("settings are valid\n");
            return exit_done;
        }
        return run(std::move(*settings), std::move(path));
    }
    catch (cxxopts::exceptions::exception const& error)
    {
        fmt::print(stderr, "{}; see --help\n", error.what());
        return exit_usage;
    }
}
