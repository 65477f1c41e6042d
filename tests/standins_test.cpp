/** @file standins_test.cpp Tests of runner, history and list of instances. */
#include "standins/support/history_base.hpp"
#include "standins/support/instances_base.hpp"
#include "standins/support/runner_base.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <future>

namespace core = godwitcleat::core;
namespace standins = godwitcleat::standins;
namespace transport = godwitcleat::transport;

using namespace std::chrono_literals;

namespace
{

// Bound for events that must happen; it is reached only by a failing test.
constexpr auto patience = 30s;

/** A file that is removed at the end of the test. */
struct temporary_file
{
    ~temporary_file()
    {
        std::filesystem::remove(path);
    }

    [[nodiscard]] auto lines() const -> std::vector<nlohmann::json>
    {
        auto result = std::vector<nlohmann::json>{};
        auto file = std::ifstream{path};
        for (auto line = std::string{}; std::getline(file, line);)
        {
            result.push_back(nlohmann::json::parse(line));
        }
        return result;
    }

    std::string path =
        (std::filesystem::temp_directory_path() / core::unique_id()).string();
};

auto start(
    transport::http_client& client, transport::endpoint const& where,
    std::string const& id, std::string body = "text",
    std::string_view backend_server = {}) -> std::future<transport::http_result>
{
    auto request = transport::http_request{};
    request.method = "POST";
    request.target = "/book?x=1";
    request.headers.set("X-Request-Id", id);
    if (!backend_server.empty())
    {
        request.headers.set("X-Backend-Server", backend_server);
    }
    request.body = std::move(body);
    auto promise = std::make_shared<std::promise<transport::http_result>>();
    auto future = promise->get_future();
    client.send(
        where, std::move(request), patience,
        [promise](transport::http_result result)
        { promise->set_value(std::move(result)); });
    return future;
}

auto entry_of(std::string id, std::string state) -> std::string
{
    return nlohmann::json{
        {"id", std::move(id)},
        {"kind", "worker"},
        {"address", "10.0.0.1:80"},
        {"data_centre", "dc1"},
        {"state", std::move(state)}}
        .dump();
}

auto states_of(std::string const& list) -> std::map<std::string, std::string>
{
    auto result = std::map<std::string, std::string>{};
    auto const value = nlohmann::json::parse(list);
    for (auto const& it : value.at("instances"))
    {
        result[it.at("id")] = it.at("state");
    }
    return result;
}

/** A runner with a record and a client. */
struct recorded_runner
{
    explicit recorded_runner(standins::runner_settings const& settings)
        : record(standins::history::open(file.path))
    {
        if (record)
        {
            runner = standins::runner::listen(
                loop, settings, core::system_clock(), *record);
        }
    }

    temporary_file file;
    std::optional<standins::history> record;
    transport::reactor loop{2};
    transport::http_client client{loop, {}};
    std::optional<standins::runner> runner;
};

} // namespace

// Guards against an answer to another request than the one that was sent.
TEST(runner, echoes_the_request)
{
    auto settings = standins::runner_settings{};
    settings.worker = "w1";
    auto it = recorded_runner{settings};
    ASSERT_TRUE(it.runner);
    auto const result = start(it.client, it.runner->local(), "id-7").get();
    ASSERT_TRUE(result.response);
    EXPECT_EQ(result.response->status, 200);
    EXPECT_EQ(result.response->headers.get("X-Request-Id"), "id-7");
    auto const body = nlohmann::json::parse(result.response->body);
    EXPECT_EQ(body.at("request_id"), "id-7");
    EXPECT_EQ(body.at("method"), "POST");
    EXPECT_EQ(body.at("target"), "/book?x=1");
    EXPECT_EQ(body.at("body"), "text");
    auto const lines = it.file.lines();
    ASSERT_EQ(lines.size(), 2U);
    EXPECT_EQ(lines[0].at("event"), "started");
    EXPECT_EQ(lines[1].at("event"), "finished");
    EXPECT_EQ(lines[1].at("request_id"), "id-7");
    EXPECT_EQ(lines[1].at("runner"), transport::to_string(it.runner->local()));
    EXPECT_LE(lines[0].at("at_us"), lines[1].at("at_us"));
}

// Guards against a request for the runner that had the address before.
TEST(runner, refuses_requests_for_another_runner)
{
    auto settings = standins::runner_settings{};
    settings.backend_server = "stock#2";
    auto it = recorded_runner{settings};
    ASSERT_TRUE(it.runner);
    auto const status_for = [&it](std::string_view backend_server)
    {
        auto const where = it.runner->local();
        auto const result =
            start(it.client, where, "1", "text", backend_server).get();
        return result.response ? result.response->status : 0;
    };
    EXPECT_EQ(status_for("desk#1"), 421);
    EXPECT_TRUE(it.file.lines().empty());
    EXPECT_EQ(status_for("stock#2"), 200);
}

// Guards against a body that is no UTF-8 and ends the stand-in.
TEST(runner, answers_bodies_that_are_no_text)
{
    auto record = standins::history{};
    auto loop = transport::reactor{2};
    auto client = transport::http_client{loop, {}};
    auto const runner =
        standins::runner::listen(loop, {}, core::system_clock(), record);
    ASSERT_TRUE(runner);
    auto const result =
        start(client, runner->local(), "1", "\xff\xfe\x80").get();
    ASSERT_TRUE(result.response);
    EXPECT_EQ(result.response->status, 200);
}

// Guards against more running requests than slots, and against waiting
// requests that never run.
TEST(runner, runs_at_most_slots_requests_at_once)
{
    auto file = temporary_file{};
    auto record = standins::history::open(file.path);
    ASSERT_TRUE(record);
    auto loop = transport::reactor{4};
    auto limits = transport::http_client_limits{};
    limits.connections_per_endpoint = 20;
    auto client = transport::http_client{loop, limits};
    auto settings = standins::runner_settings{};
    settings.slots = 3;
    settings.serve_time = 5ms;
    auto const runner =
        standins::runner::listen(loop, settings, core::system_clock(), *record);
    ASSERT_TRUE(runner);
    auto futures = std::vector<std::future<transport::http_result>>{};
    for (auto it = 0; it < 20; ++it)
    {
        futures.push_back(start(client, runner->local(), std::to_string(it)));
    }
    for (auto& it : futures)
    {
        EXPECT_TRUE(it.get().response);
    }
    auto running = 0;
    auto most = 0;
    for (auto const& it : file.lines())
    {
        running += it.at("event") == "started" ? 1 : -1;
        most = std::max(most, running);
    }
    EXPECT_EQ(running, 0);
    EXPECT_EQ(most, 3);
}

// Guards against requests that go on running after their task was stopped.
TEST(runner, stops_at_once)
{
    auto file = temporary_file{};
    auto record = standins::history::open(file.path);
    ASSERT_TRUE(record);
    auto loop = transport::reactor{2};
    auto client = transport::http_client{loop, {}};
    auto settings = standins::runner_settings{};
    settings.serve_time = 1h;
    auto runner =
        standins::runner::listen(loop, settings, core::system_clock(), *record);
    ASSERT_TRUE(runner);
    auto future = start(client, runner->local(), "1");
    while (runner->running() == 0)
    {
        std::this_thread::sleep_for(1ms);
    }
    runner.reset();
    auto const result = future.get();
    EXPECT_FALSE(result.response);
    EXPECT_EQ(result.progress, transport::send_progress::maybe_written);
    EXPECT_EQ(file.lines().size(), 1U);
}

// Guards against changes that are visible before the lag, or never.
TEST(instance_list, shows_changes_after_the_lag)
{
    auto list = standins::instance_list{3s};
    auto const begin = core::time_point{1h};
    list.change(
        *standins::instance_entry_from_json(entry_of("a", "live")), begin);
    list.change(
        *standins::instance_entry_from_json(entry_of("a", "leaving")),
        begin + 1s);
    list.change(
        *standins::instance_entry_from_json(R"({"id": "a", "state": "gone"})"),
        begin + 2s);
    using states = std::map<std::string, std::string>;
    EXPECT_EQ(states_of(list.to_json(begin + 2999ms)), states{});
    EXPECT_EQ(states_of(list.to_json(begin + 3s)), (states{{"a", "live"}}));
    EXPECT_EQ(states_of(list.to_json(begin + 4s)), (states{{"a", "leaving"}}));
    EXPECT_EQ(states_of(list.to_json(begin + 5s)), states{});
}

// Guards against entries that readers of the list cannot understand.
TEST(instance_list, checks_entries)
{
    ASSERT_TRUE(
        standins::instance_entry_from_json(entry_of("a-1.B_2", "live")));
    auto const bad = std::vector<std::pair<std::string, std::string>>{
        {"[]", "object"},
        {"{", "object"},
        {entry_of("", "live"), "\"id\""},
        {entry_of("a b", "live"), "\"id\""},
        {entry_of(std::string(65, 'a'), "live"), "\"id\""},
        {entry_of("a", "dead"), "\"state\""},
        {R"({"id": 5, "state": "gone"})", "\"id\""},
        {R"({"id": "a", "state": "live", "kind": "x"})", "\"kind\""},
        {R"({"id": "a", "state": "live", "kind": "entry",)"
         R"( "address": "host:1", "data_centre": "d"})",
         "\"address\""},
        {R"({"id": "a", "state": "live", "kind": "entry",)"
         R"( "address": "1.2.3.4:1"})",
         "\"data_centre\""},
        {R"({"id": "a", "state": "gone", "colour": 1})", "\"colour\""}};
    for (auto const& [text, mark] : bad)
    {
        EXPECT_FALSE(standins::instance_entry_from_json(text)) << text;
        EXPECT_NE(core::last_reason().message.find(mark), std::string::npos)
            << text << " gave " << core::last_reason().message;
    }
}

// Guards against crashes on arbitrary bodies.
RC_GTEST_PROP(instance_list, survives_any_text, (std::string const& text))
{
    standins::instance_entry_from_json(text);
}
