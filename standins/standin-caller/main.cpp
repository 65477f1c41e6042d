/** @file main.cpp Sends requests through gateways and records the outcomes. */
#include "standins/support/history_base.hpp"
#include "standins/support/main_func.hpp"
#include "transport/transport.hpp"

#include <cxxopts.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <thread>

namespace core = godwitcleat::core;
namespace standins = godwitcleat::standins;
namespace transport = godwitcleat::transport;

namespace
{

constexpr std::size_t reactor_threads = 2;

// Longer than the gateway's default deadline of 2 s, so that a missing answer
// is the gateway's fault.
constexpr auto call_timeout = std::chrono::seconds{10};

constexpr auto poll_interval = std::chrono::milliseconds{2};

/** Options of the program. */
struct caller_settings
{
    std::vector<transport::endpoint> gateways;
    std::string service;
    std::chrono::milliseconds duration{};
    std::int64_t rate = 0; ///< Requests a second.
    std::size_t in_flight = 0;
    double post_share = 0;
    std::uint64_t seed = 0;
};

auto make_options() -> cxxopts::Options
{
    auto options = cxxopts::Options{
        "standin-caller",
        "Sends requests until the duration has passed or SIGTERM arrives."};
    auto add = options.add_options();
    add("gateway", "ADDRESS:PORT of a gateway; may be repeated",
        cxxopts::value<std::vector<std::string>>());
    add("service", "name of the service", cxxopts::value<std::string>());
    add("duration-ms", "how long requests are sent",
        cxxopts::value<std::int64_t>()->default_value("10000"));
    add("rate", "requests a second",
        cxxopts::value<std::int64_t>()->default_value("100"));
    add("in-flight", "most requests at a time; more are not sent",
        cxxopts::value<std::size_t>()->default_value("64"));
    add("post-share", "share of POST requests, 0 to 1",
        cxxopts::value<double>()->default_value("0.5"));
    add("history", "file to which history is appended",
        cxxopts::value<std::string>());
    add("seed", "seed of the choice of gateway and method",
        cxxopts::value<std::uint64_t>()->default_value("1"));
    add("help", "print this text");
    return options;
}

/** Sends requests and records each one. Thread-safe. */
class caller
{
public:
    caller(
        transport::reactor& loop, caller_settings settings,
        standins::history& record)
        : settings_(std::move(settings))
        , record_(record)
        , random_(settings_.seed)
        , client_(loop, limits(settings_))
        , prefix_(core::unique_id())
    {
    }

    /** Returns the number of requests without an outcome. */
    [[nodiscard]] auto open() const -> std::size_t
    {
        return open_;
    }

    auto send() -> void
    {
        auto const where =
            settings_.gateways[random_.below(settings_.gateways.size())];
        auto event = standins::call_event{};
        event.request_id = fmt::format("{}-{}", prefix_, ++last_number_);
        event.method = random_.unit() < settings_.post_share ? "POST" : "GET";
        event.gateway = transport::to_string(where);
        event.at = clock_();
        auto request = transport::http_request{};
        request.method = event.method;
        request.target =
            fmt::format("/s/{}/{}", settings_.service, event.request_id);
        request.headers.set("X-Request-Id", event.request_id);
        request.body = body_of(event.request_id);
        ++open_;
        record_.write(standins::to_json(event));
        client_.send(
            where, std::move(request), call_timeout,
            [this, event](transport::http_result const& result)
            { finish(event, result); });
    }

private:
    static auto limits(caller_settings const& settings)
        -> transport::http_client_limits
    {
        auto result = transport::http_client_limits{};
        result.connections_per_endpoint = settings.in_flight;
        return result;
    }

    // Long enough for an answer that is cut short to be noticed.
    static auto body_of(std::string const& id) -> std::string
    {
        constexpr int repetitions = 32;
        auto result = std::string{};
        for (auto i = 0; i < repetitions; ++i)
        {
            result += id;
        }
        return result;
    }

    static auto
    is_own(std::string const& id, transport::http_response const& response)
        -> bool
    {
        auto const value = nlohmann::json::parse(response.body, nullptr, false);
        return value.is_object() && value.value("request_id", "") == id &&
               value.value("body", "") == body_of(id) &&
               response.headers.get("X-Request-Id") == id;
    }

    // Other failures with this kind, such as a reset, are no refusal.
    static auto is_refused(core::failure const& reason) -> bool
    {
        return reason.kind == core::error_kind::unavailable &&
               reason.message.find("refused") != std::string::npos;
    }

    auto
    finish(standins::call_event event, transport::http_result const& result)
        -> void
    {
        auto const now = clock_();
        event.latency = std::chrono::duration_cast<std::chrono::microseconds>(
            now - event.at);
        event.at = now;
        if (result.response)
        {
            event.event = standins::call_event::kind::answered;
            event.status = result.response->status;
            event.outcome = result.response->headers.get("X-Outcome");
            event.own = is_own(event.request_id, *result.response);
        }
        else
        {
            event.event = standins::call_event::kind::failed;
            event.message = result.reason.message;
            event.reason = is_refused(result.reason)
                               ? "refused"
                               : core::to_string(result.reason.kind);
        }
        record_.write(standins::to_json(event));
        --open_;
    }

    caller_settings settings_;
    standins::history& record_;
    core::clock clock_ = core::system_clock();
    core::random_source random_;
    transport::http_client client_;
    std::string prefix_; ///< Makes ids unique among callers.
    std::uint64_t last_number_ = 0;
    std::atomic<std::size_t> open_ = 0;
};

auto read_settings(cxxopts::ParseResult const& from)
    -> std::optional<caller_settings>
{
    auto result = caller_settings{};
    for (auto const& it : from["gateway"].as<std::vector<std::string>>())
    {
        auto const where = transport::parse_endpoint(it);
        if (!where)
        {
            return std::nullopt;
        }
        result.gateways.push_back(*where);
    }
    result.service = from["service"].as<std::string>();
    result.duration =
        std::chrono::milliseconds{from["duration-ms"].as<std::int64_t>()};
    result.rate = from["rate"].as<std::int64_t>();
    result.in_flight = from["in-flight"].as<std::size_t>();
    result.post_share = from["post-share"].as<double>();
    result.seed = from["seed"].as<std::uint64_t>();
    if (result.rate < 1 || result.in_flight < 1)
    {
        return core::fail(
            core::error_kind::invalid_input,
            "--rate and --in-flight must be 1 or more; raise them");
    }
    return result;
}

auto run(caller_settings const& settings, standins::history record) -> int
{
    auto loop = transport::reactor{reactor_threads};
    auto stopped = std::atomic<bool>{false};
    loop.on_signal({SIGTERM, SIGINT}, [&stopped](int) { stopped = true; });
    auto sender = caller{loop, settings, record};
    auto const begin = std::chrono::steady_clock::now();
    auto const interval =
        std::chrono::nanoseconds{std::chrono::seconds{1}} / settings.rate;
    auto next = begin;
    while (!stopped &&
           std::chrono::steady_clock::now() - begin < settings.duration)
    {
        std::this_thread::sleep_until(next);
        next += interval;
        if (sender.open() < settings.in_flight)
        {
            sender.send();
        }
    }
    while (sender.open() > 0)
    {
        std::this_thread::sleep_for(poll_interval);
    }
    loop.stop();
    return EXIT_SUCCESS;
}

auto run_parsed(cxxopts::ParseResult const& parsed) -> int
{
    auto const settings = read_settings(parsed);
    auto record = standins::history::open(parsed["history"].as<std::string>());
    if (!settings || !record)
    {
        fmt::print(stderr, "{}\n", core::last_reason().message);
        return standins::exit_usage;
    }
    return run(*settings, std::move(*record));
}

} // namespace

auto main(int count, char** arguments) -> int
{
    return standins::run_main(
        count, arguments, make_options(), {"gateway", "service", "history"},
        run_parsed);
}
