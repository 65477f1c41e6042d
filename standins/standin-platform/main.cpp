/** @file main.cpp Runs the hosting platform's stand-in as a process. */
#include "platform/platform.hpp"
#include "standins/support/hosted_gateway_base.hpp"
#include "standins/support/hosted_runner_base.hpp"
#include "standins/support/main_func.hpp"

#include <cxxopts.hpp>

#include <csignal>
#include <fstream>
#include <future>
#include <iterator>

namespace
{

namespace core = godwitcleat::core;
namespace coordination = godwitcleat::coordination;
namespace platform = godwitcleat::platform;
namespace standins = godwitcleat::standins;
namespace transport = godwitcleat::transport;

constexpr std::size_t threads = 3;
constexpr auto workers_per_rack = 6;

auto make_options() -> cxxopts::Options
{
    auto options = cxxopts::Options{
        "standin-platform",
        "Serves the hosting platform's store, runs workers, or both. SIGUSR1 "
        "drains all workers, SIGUSR2 takes that back."};
    auto add = options.add_options();
    add("listen", "ADDRESS:PORT of the store that is served",
        cxxopts::value<std::string>());
    add("store", "ADDRESS:PORT of a store in another process",
        cxxopts::value<std::string>());
    add("config", "file that is written as the operators' configuration",
        cxxopts::value<std::string>()->default_value(""));
    add("workers", "number of workers",
        cxxopts::value<int>()->default_value("0"));
    add("first", "number of the first worker",
        cxxopts::value<int>()->default_value("1"));
    add("data-centres", "number of data centres",
        cxxopts::value<int>()->default_value("2"));
    add("cpu-milli", "processors of each worker in thousandths of a core",
        cxxopts::value<std::int64_t>()->default_value("4000"));
    add("late-share", "share of the starts that get no answer in time",
        cxxopts::value<double>()->default_value("0"));
    add("history", "file for one JSON line per start and end",
        cxxopts::value<std::string>()->default_value(""));
    add("help", "print this text");
    return options;
}

/** The store: its own, served to others, or that of another process. */
struct store_parts
{
    std::unique_ptr<standins::memory_store> own;
    std::unique_ptr<standins::hosted_gateway> gateway;
    std::unique_ptr<transport::http_client> client;
    std::unique_ptr<platform::hosted_store> remote;

    [[nodiscard]] auto target() const -> coordination::store*
    {
        return own ? static_cast<coordination::store*>(own.get())
                   : remote.get();
    }
};

auto open_store(
    cxxopts::ParseResult const& options, transport::reactor& loop,
    core::logger const& log) -> std::optional<store_parts>
{
    auto parts = store_parts{};
    auto const served = options.count("listen") > 0;
    if (!served && options.count("store") == 0)
    {
        return core::fail(
            core::error_kind::invalid_input, "set --listen or --store");
    }
    auto const where = transport::parse_endpoint(
        options[served ? "listen" : "store"].as<std::string>());
    if (!where)
    {
        return std::nullopt;
    }
    if (!served)
    {
        parts.client = std::make_unique<transport::http_client>(
            loop, transport::http_client_limits{});
        parts.remote = std::make_unique<platform::hosted_store>(
            *parts.client, platform::hosted_store_settings{*where},
            core::system_clock());
        return parts;
    }
    parts.own = std::make_unique<standins::memory_store>(core::system_clock());
    parts.gateway =
        std::make_unique<standins::hosted_gateway>(*parts.own, loop);
    auto const listening = parts.gateway->listen(*where);
    if (!listening)
    {
        return std::nullopt;
    }
    log.info("Listening.", {{"address", transport::to_string(*listening)}});
    return parts;
}

auto write_config(
    coordination::store& target, std::string const& path,
    core::logger const& log) -> void
{
    auto file = std::ifstream{path};
    auto const text = std::string{
        std::istreambuf_iterator<char>{file}, std::istreambuf_iterator<char>{}};
    if (text.empty())
    {
        log.error("The configuration cannot be read.", {{"path", path}});
        return;
    }
    target.commit({{}, {{"op/config", text, "", {}}}}, [](auto) {});
}

auto make_settings(cxxopts::ParseResult const& options, int number)
    -> standins::hosted_runner_settings
{
    auto const places = std::max(1, options["data-centres"].as<int>());
    auto settings = standins::hosted_runner_settings{};
    settings.id = fmt::format("i-{:08x}", number);
    settings.data_centre = fmt::format("dc-{}", number % places + 1);
    settings.rack = fmt::format("r-{}", number / workers_per_rack + 1);
    settings.cpu_milli = options["cpu-milli"].as<std::int64_t>();
    settings.late_share = options["late-share"].as<double>();
    return settings;
}

auto run(cxxopts::ParseResult const& options) -> int
{
    auto const log =
        core::logger{core::standard_error_sink(), core::log_level::info}
            .with_prefix("platform");
    auto loop = transport::reactor{threads};
    auto const store = open_store(options, loop, log);
    if (!store)
    {
        log.error(core::last_reason().message);
        return standins::exit_usage;
    }
    auto const config = options["config"].as<std::string>();
    if (!config.empty())
    {
        write_config(*store->target(), config, log);
    }
    auto history = standins::runner_history{};
    auto const path = options["history"].as<std::string>();
    auto lines = std::ofstream{};
    if (!path.empty())
    {
        lines.open(path, std::ios::app);
        history.on_line = [&lines](auto const& line)
        {
            lines << line << std::endl; // Whole lines survive a kill.
        };
    }
    auto workers = std::vector<std::unique_ptr<standins::hosted_runner>>{};
    auto const first = options["first"].as<int>();
    for (auto i = 0; i < options["workers"].as<int>(); ++i)
    {
        workers.push_back(std::make_unique<standins::hosted_runner>(
            *store->target(), loop, history,
            make_settings(options, first + i)));
        if (!workers.back()->start())
        {
            log.error(core::last_reason().message);
            return EXIT_FAILURE;
        }
    }
    auto stopped = std::promise<void>{};
    loop.on_signal({SIGTERM, SIGINT}, [&stopped](int) { stopped.set_value(); });
    loop.on_signal(
        {SIGUSR1, SIGUSR2},
        [&workers](int signal)
        {
            for (auto const& it : workers)
            {
                it->draining = signal == SIGUSR1;
            }
        });
    stopped.get_future().wait();
    loop.stop();
    return EXIT_SUCCESS;
}

} // namespace

auto main(int count, char** arguments) -> int
{
    return standins::run_main(count, arguments, make_options(), {}, run);
}
