/** @file daemon_stop_test.cpp Tests start and planned stop of a daemon. */
#include "standins/support/history_check_base.hpp"
#include "standins/support/runner_base.hpp"
#include "tests/support/daemon_fixture_base.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <cstdio>
#include <fstream>

namespace core = godwitcleat::core;
namespace standins = godwitcleat::standins;
namespace tests = godwitcleat::tests;
namespace transport = godwitcleat::transport;
using namespace std::chrono_literals;

namespace
{

constexpr auto serve_time = 600ms;
constexpr auto drain_delay = 200ms;
constexpr std::size_t requests_in_flight = 6;

/** Sends POST requests to one gateway and records them in a history. */
class caller
{
public:
    caller(
        transport::reactor& loop, transport::endpoint gateway,
        standins::history& history)
        : gateway_(std::move(gateway))
        , history_(history)
        , client_(loop, {})
    {
    }

    auto send() -> void
    {
        auto event = standins::call_event{};
        event.request_id = "r" + std::to_string(++sent_);
        event.method = "POST";
        event.gateway = transport::to_string(gateway_);
        event.at = clock_();
        history_.write(standins::to_json(event));
        auto request = transport::http_request{};
        request.method = "POST";
        request.target = "/s/desk/";
        request.headers.set("X-Request-Id", event.request_id);
        client_.send(
            gateway_, std::move(request), tests::event_timeout,
            [this, event](auto const& result) { finish(event, result); });
    }

    [[nodiscard]] auto all_ended() const -> bool
    {
        return ended_ == sent_;
    }

private:
    auto
    finish(standins::call_event event, transport::http_result const& result)
        -> void
    {
        event.at = clock_();
        event.event = standins::call_event::kind::failed;
        event.reason = core::to_string(result.reason.kind);
        if (result.response)
        {
            auto const body =
                nlohmann::json::parse(result.response->body, nullptr, false);
            event.event = standins::call_event::kind::answered;
            event.status = result.response->status;
            event.outcome = result.response->headers.get("X-Outcome");
            event.own = body.is_object() &&
                        body.value("request_id", "") == event.request_id;
        }
        history_.write(standins::to_json(event));
        ++ended_;
    }

    transport::endpoint gateway_;
    standins::history& history_;
    core::clock clock_ = core::system_clock();
    std::atomic<std::size_t> sent_ = 0;
    std::atomic<std::size_t> ended_ = 0;
    transport::http_client client_;
};

auto read_lines(std::string const& path) -> std::vector<std::string>
{
    auto file = std::ifstream{path};
    auto result = std::vector<std::string>{};
    for (auto line = std::string{}; std::getline(file, line);)
    {
        result.push_back(line);
    }
    return result;
}

// Stops a daemon with requests in flight and checks the recorded history.
auto check_planned_stop(godwitcleat::daemon::daemon_faults faults)
    -> standins::history_verdict
{
    auto const path = testing::TempDir() + "daemon_stop_test_" +
                      std::string{core::unique_id()} + ".history";
    auto history = standins::history::open(path).value();
    auto fixture = tests::daemon_fixture{
        faults, [](auto& settings)
        {
            settings.drain_delay = drain_delay;
        }};
    auto server_settings = standins::runner_settings{};
    server_settings.worker = "w1";
    server_settings.slots = requests_in_flight;
    server_settings.serve_time = serve_time;
    auto runner = standins::runner::listen(
                      fixture.loop(), std::move(server_settings),
                      core::system_clock(), history)
                      .value();
    fixture.send_endpoint(runner.local());
    EXPECT_TRUE(tests::within(
        [&fixture] { return fixture.is_ready(); }, tests::event_timeout));
    auto const gateway = fixture.addresses().gateway;
    auto sender = caller{fixture.loop(), gateway, history};
    for (std::size_t i = 0; i < requests_in_flight; ++i)
    {
        sender.send();
    }
    EXPECT_TRUE(tests::within(
        [&runner] { return runner.running() == requests_in_flight; },
        tests::event_timeout));
    auto const record_stop = [&](bool completed)
    {
        history.write(standins::to_json(standins::gateway_stop_event{
            completed, transport::to_string(gateway), core::system_clock()()}));
    };
    record_stop(false);
    fixture.begin_stop();
    sender.send(); // Within the drain delay, so it must succeed too.
    EXPECT_TRUE(fixture.end_stop());
    record_stop(true);
    EXPECT_TRUE(tests::within(
        [&sender] { return sender.all_ended(); }, tests::event_timeout));
    auto settings = standins::history_check_settings{};
    settings.planned_stop = transport::to_string(gateway);
    settings.drain_delay = drain_delay;
    auto const verdict = standins::check_histories(read_lines(path), settings);
    std::remove(path.c_str());
    fixture.loop().stop();
    return verdict.value();
}

} // namespace

// Guards against a planned stop that aborts requests in flight.
TEST(daemon_stop, lets_requests_in_flight_finish)
{
    auto const verdict = check_planned_stop({});
    EXPECT_FALSE(verdict.violation) << verdict.violation->rule;
    EXPECT_EQ(verdict.counts.calls_ok, requests_in_flight + 1);
}

// Guards against a `planned-stop` rule that accepts a daemon that aborts
// requests in flight.
TEST(daemon_stop, check_rejects_a_stop_that_cuts_requests)
{
    auto const verdict = check_planned_stop({.cut_requests_at_stop = true});
    ASSERT_TRUE(verdict.violation);
    EXPECT_EQ(verdict.violation->rule, "planned-stop");
    EXPECT_GE(verdict.counts.calls_failed, 1U);
}

// Guards against a restarted daemon that is ready before it knows any backend
// server, and against one that is slow to become ready afterwards.
TEST(daemon_start, is_ready_with_an_endpoint_table)
{
    auto fixture = tests::daemon_fixture{};
    EXPECT_FALSE(fixture.is_ready());
    auto const begin = std::chrono::steady_clock::now();
    fixture.send_endpoint({"127.0.0.1", 1});
    EXPECT_TRUE(tests::within(
        [&fixture] { return fixture.is_ready(); }, tests::event_timeout));
    EXPECT_LT(std::chrono::steady_clock::now() - begin, 2s);
}

// Guards against a daemon that never becomes ready because no peer sends it an
// endpoint table, and against one that becomes ready with a configuration
// alone.
TEST(daemon_start, is_ready_without_endpoint_table_after_3_s)
{
    auto const begin = std::chrono::steady_clock::now();
    auto fixture = tests::daemon_fixture{};
    fixture.send_config();
    EXPECT_TRUE(tests::within(
        [&fixture] { return fixture.is_ready(); }, tests::event_timeout));
    auto const waited = std::chrono::steady_clock::now() - begin;
    EXPECT_GE(waited, 2900ms);
}

// Guards against a daemon that becomes ready without a configuration.
TEST(daemon_start, is_not_ready_without_configuration)
{
    auto fixture = tests::daemon_fixture{};
    EXPECT_FALSE(
        tests::within([&fixture] { return fixture.is_ready(); }, 3500ms));
}
