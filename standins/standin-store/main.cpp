/** @file main.cpp Runs the store stand-in as a process. */
#include "standins/support/main_func.hpp"
#include "standins/support/standin_store_base.hpp"

#include <cxxopts.hpp>

#include <chrono>
#include <csignal>
#include <future>

namespace
{

namespace core = godwitcleat::core;
namespace standins = godwitcleat::standins;
namespace transport = godwitcleat::transport;

constexpr auto tick_interval = std::chrono::milliseconds{2};
constexpr std::size_t threads = 2;

auto make_options() -> cxxopts::Options
{
    auto options = cxxopts::Options{
        "standin-store", "Serves the etcd v3 JSON gateway from memory."};
    auto add = options.add_options();
    add("listen", "ADDRESS:PORT",
        cxxopts::value<std::string>()->default_value("127.0.0.1:2379"));
    add("history", "file for one JSON line per call",
        cxxopts::value<std::string>()->default_value(""));
    add("data", "file that keeps the data over a restart, empty: none",
        cxxopts::value<std::string>()->default_value(""));
    add("writes-per-s", "rate limit of writes and lease calls, 0: none",
        cxxopts::value<std::uint32_t>()->default_value("0"));
    add("reads-per-s", "rate limit of reads, 0: none",
        cxxopts::value<std::uint32_t>()->default_value("0"));
    add("help", "print this text");
    return options;
}

auto run(cxxopts::ParseResult const& options) -> int
{
    auto const log =
        core::logger{core::standard_error_sink(), core::log_level::info}
            .with_prefix("store");
    auto const where =
        transport::parse_endpoint(options["listen"].as<std::string>());
    if (!where)
    {
        log.error(core::last_reason().message);
        return standins::exit_usage;
    }
    auto settings = standins::standin_store_settings{};
    settings.history_path = options["history"].as<std::string>();
    settings.writes_per_s = options["writes-per-s"].as<std::uint32_t>();
    settings.reads_per_s = options["reads-per-s"].as<std::uint32_t>();
    auto store = standins::standin_store{core::system_clock(), settings};
    if (!store.history_good())
    {
        log.error(
            "The history file cannot be written; check --history.",
            {{"path", settings.history_path}});
        return standins::exit_usage;
    }
    auto const data = options["data"].as<std::string>();
    if (!data.empty() && !store.open_data(data, log))
    {
        log.error(core::last_reason().message);
        return EXIT_FAILURE;
    }
    auto loop = transport::reactor{threads};
    auto server = transport::http_server::listen(
        loop, *where, {},
        [&store](
            transport::http_request const& request, transport::http_reply reply)
        {
            store.handle(
                request.method, request.target, request.body,
                [reply = std::move(reply)](int status, std::string body)
                {
                    auto response = transport::http_response{};
                    response.status = status;
                    response.headers.set("Content-Type", "application/json");
                    response.body = std::move(body);
                    reply(std::move(response));
                });
        });
    if (!server)
    {
        log.error(core::last_reason().message);
        return EXIT_FAILURE;
    }
    auto stopped = std::promise<void>{};
    loop.on_signal({SIGTERM, SIGINT}, [&stopped](int) { stopped.set_value(); });
    auto const timer = loop.every(tick_interval, [&store] { store.tick(); });
    log.info("Listening.", {{"address", to_string(server->local())}});
    stopped.get_future().wait();
    server->close();
    loop.stop();
    return EXIT_SUCCESS;
}

} // namespace

auto main(int count, char** arguments) -> int
{
    return standins::run_main(count, arguments, make_options(), {}, run);
}
