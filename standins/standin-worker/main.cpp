/** @file main.cpp Stand-in of a worker: options and signals. */
#include "standins/support/main_func.hpp"
#include "standins/support/process_base.hpp"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <csignal>
#include <cstdlib>
#include <future>
#include <utility>

namespace core = godwitcleat::core;
namespace standins = godwitcleat::standins;
namespace transport = godwitcleat::transport;

namespace
{

// One thread for heartbeats and one so that runners do not delay them.
constexpr std::size_t reactor_threads = 2;

auto make_options() -> cxxopts::Options
{
    auto options = cxxopts::Options{
        "standin-worker", "Simulates one worker of the platform."};
    auto add = options.add_options();
    add("id", "name of the worker", cxxopts::value<std::string>());
    add("rack", "name of its rack", cxxopts::value<std::string>());
    add("data-centre", "name of its data centre",
        cxxopts::value<std::string>());
    add("cpu-milli", "processors in thousandths of a core",
        cxxopts::value<std::int64_t>()->default_value("16000"));
    add("memory-mb", "memory in MB",
        cxxopts::value<std::int64_t>()->default_value("61440"));
    add("accelerators", "number of accelerators",
        cxxopts::value<std::int64_t>()->default_value("0"));
    add("daemon", "ADDRESS:PORT of a control port; may be repeated",
        cxxopts::value<std::vector<std::string>>());
    add("address", "IP address on which runners listen",
        cxxopts::value<std::string>()->default_value("127.0.0.1"));
    add("history", "file to which history is appended",
        cxxopts::value<std::string>()->default_value(""));
    add("checkpoint-ms", "duration of a checkpoint",
        cxxopts::value<std::int64_t>()->default_value("200"));
    add("usage-lag-ms", "age of usage figures",
        cxxopts::value<std::int64_t>()->default_value("2000"));
    add("fail-all", "fail every task that is started");
    add("help", "print this text");
    return options;
}

// Rejects amounts and durations below 0, which no worker can have.
auto check_numbers(cxxopts::ParseResult const& from) -> bool
{
    for (auto const* it :
         {"cpu-milli", "memory-mb", "accelerators", "checkpoint-ms",
          "usage-lag-ms"})
    {
        if (from[it].as<std::int64_t>() < 0)
        {
            core::fail(
                core::error_kind::invalid_input,
                fmt::format("option --{} is below 0; raise it", it));
            return false;
        }
    }
    return true;
}

auto read_settings(cxxopts::ParseResult const& from)
    -> std::optional<standins::process_settings>
{
    if (!check_numbers(from))
    {
        return std::nullopt;
    }
    auto result = standins::process_settings{};
    auto& info = result.worker.info;
    info.worker = core::worker_id{from["id"].as<std::string>()};
    info.rack = core::rack_id{from["rack"].as<std::string>()};
    info.data_centre =
        core::data_centre_id{from["data-centre"].as<std::string>()};
    info.capacity = {
        from["cpu-milli"].as<std::int64_t>(),
        from["memory-mb"].as<std::int64_t>(),
        from["accelerators"].as<std::int64_t>()};
    result.worker.boot = std::hash<std::string>{}(core::unique_id());
    result.worker.checkpoint_delay =
        std::chrono::milliseconds{from["checkpoint-ms"].as<std::int64_t>()};
    result.worker.usage_lag =
        std::chrono::milliseconds{from["usage-lag-ms"].as<std::int64_t>()};
    result.worker.fails_all_tasks = from.count("fail-all") > 0;
    result.address = from["address"].as<std::string>();
    for (auto const& it : from["daemon"].as<std::vector<std::string>>())
    {
        auto const daemon = transport::parse_endpoint(it);
        if (!daemon)
        {
            return std::nullopt;
        }
        result.daemons.push_back(*daemon);
    }
    return result;
}

auto run(cxxopts::ParseResult const& parsed) -> int
{
    auto const settings = read_settings(parsed);
    if (!settings)
    {
        fmt::print(stderr, "{}\n", core::last_reason().message);
        return EXIT_FAILURE;
    }
    auto record = standins::history{};
    auto const path = parsed["history"].as<std::string>();
    if (!path.empty())
    {
        auto opened = standins::history::open(path);
        if (!opened)
        {
            fmt::print(stderr, "{}\n", core::last_reason().message);
            return EXIT_FAILURE;
        }
        record = std::move(*opened);
    }
    auto const log =
        core::logger{core::standard_error_sink(), core::log_level::info}
            .with_prefix("worker");
    auto loop = transport::reactor{reactor_threads};
    auto process = standins::worker_process{
        loop, *settings, core::system_clock(), log, record};
    auto stopped = std::promise<int>{};
    loop.on_signal(
        {SIGTERM, SIGINT}, [&](int number) { stopped.set_value(number); });
    auto const& info = settings->worker.info;
    record.write(standins::to_json(standins::worker_process_event{
        false, info.worker.value, info.capacity, info.data_centre.value,
        core::system_clock()()}));
    process.start();
    log.info("started", {{"id", settings->worker.info.worker.value}});
    log.info("stopping", {{"signal", stopped.get_future().get()}});
    loop.stop();
    return EXIT_SUCCESS;
}

} // namespace

auto main(int count, char** arguments) -> int
{
    return standins::run_main(
        count, arguments, make_options(),
        {"id", "rack", "data-centre", "daemon"}, run);
}
