/** @file main.cpp Stand-in of the platform's list of instances. */
#include "protocol/protocol.hpp"
#include "standins/support/instances_base.hpp"
#include "standins/support/main_func.hpp"
#include "transport/transport.hpp"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <csignal>
#include <cstdlib>
#include <future>
#include <mutex>
#include <utility>

namespace core = godwitcleat::core;
namespace protocol = godwitcleat::protocol;
namespace standins = godwitcleat::standins;
namespace transport = godwitcleat::transport;

namespace
{

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;

/** Answers requests from the list. Thread-safe. */
class service
{
public:
    service(core::duration lag, core::clock clock)
        : clock_(std::move(clock))
        , list_(lag)
    {
    }

    auto answer(transport::http_request const& request)
        -> transport::http_response
    {
        if (request.target == "/v1/instances" && request.method == "GET")
        {
            auto const lock = std::scoped_lock{mutex_};
            return response_of(status_ok, list_.to_json(clock_()));
        }
        if (request.target == "/v1/instances" && request.method == "POST")
        {
            return change(request.body);
        }
        return response_of(
            status_not_found, protocol::to_json(core::failure{
                                  core::error_kind::not_found,
                                  "use GET or POST with /v1/instances"}));
    }

private:
    static auto response_of(int status, std::string body)
        -> transport::http_response
    {
        auto result = transport::http_response{status, {}, std::move(body)};
        result.headers.set("Content-Type", "application/json");
        return result;
    }

    auto change(std::string_view body) -> transport::http_response
    {
        auto entry = standins::instance_entry_from_json(body);
        if (!entry)
        {
            return response_of(
                status_bad_request, protocol::to_json(core::last_reason()));
        }
        auto const lock = std::scoped_lock{mutex_};
        list_.change(std::move(*entry), clock_());
        return response_of(status_ok, "{}");
    }

    core::clock clock_;
    std::mutex mutex_; ///< Guards the list.
    standins::instance_list list_;
};

auto make_options() -> cxxopts::Options
{
    auto options = cxxopts::Options{
        "standin-instances", "Serves the platform's list of instances."};
    auto add = options.add_options();
    add("listen", "ADDRESS:PORT",
        cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
    add("lag-ms", "time until a change is visible",
        cxxopts::value<std::int64_t>()->default_value("0"));
    add("help", "print this text");
    return options;
}

auto run(cxxopts::ParseResult const& parsed) -> int
{
    auto const log =
        core::logger{core::standard_error_sink(), core::log_level::info}
            .with_prefix("instances");
    auto const lag =
        std::chrono::milliseconds{parsed["lag-ms"].as<std::int64_t>()};
    if (lag.count() < 0)
    {
        log.error("option --lag-ms is below 0; raise it");
        return EXIT_FAILURE;
    }
    auto list = service{lag, core::system_clock()};
    auto const where =
        transport::parse_endpoint(parsed["listen"].as<std::string>());
    auto loop = transport::reactor{1};
    auto server = where ? transport::http_server::listen(
                              loop, *where, {},
                              [&list](
                                  transport::http_request const& request,
                                  transport::http_reply const& reply)
                              { reply(list.answer(request)); })
                        : std::nullopt;
    if (!server)
    {
        log.error("cannot listen", {{"reason", core::last_reason().message}});
        return EXIT_FAILURE;
    }
    auto stopped = std::promise<int>{};
    loop.on_signal(
        {SIGTERM, SIGINT}, [&](int number) { stopped.set_value(number); });
    log.info("listening", {{"endpoint", to_string(server->local())}});
    log.info("stopping", {{"signal", stopped.get_future().get()}});
    loop.stop();
    return EXIT_SUCCESS;
}

} // namespace

auto main(int count, char** arguments) -> int
{
    return standins::run_main(count, arguments, make_options(), {}, run);
}
