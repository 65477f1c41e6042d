/** @file standin_lifetime_test.cpp Tests of stand-ins destroyed in use. */
#include "standins/support/hosted_gateway_base.hpp"
#include "standins/support/hosted_runner_base.hpp"
#include "standins/support/memory_store_base.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace core = godwitcleat::core;
namespace standins = godwitcleat::standins;
namespace transport = godwitcleat::transport;

using namespace std::chrono_literals;

namespace
{

// Bound for events that must happen; it is reached only by a failing test.
constexpr auto patience = 30s;
constexpr auto server_threads = 3;
constexpr auto requests = 6; // Of each kind.

auto send(
    transport::http_client& client, transport::endpoint const& where,
    std::string target, std::string body) -> std::future<transport::http_result>
{
    auto request = transport::http_request{};
    request.method = "POST";
    request.target = std::move(target);
    request.body = std::move(body);
    auto promise = std::make_shared<std::promise<transport::http_result>>();
    auto future = promise->get_future();
    client.send(
        where, std::move(request), patience,
        [promise](transport::http_result result)
        { promise->set_value(std::move(result)); });
    return future;
}

auto unanswered(std::vector<std::future<transport::http_result>> const& calls)
    -> std::ptrdiff_t
{
    return std::ranges::count_if(
        calls, [](auto const& it)
        { return it.wait_for(0s) == std::future_status::timeout; });
}

auto wait_all(std::vector<std::future<transport::http_result>> const& calls)
    -> bool
{
    return std::ranges::all_of(
        calls, [](auto const& it)
        { return it.wait_for(patience) == std::future_status::ready; });
}

} // namespace

TEST(standin_lifetime, a_worker_destroyed_under_requests_is_not_used_afterwards)
{
    constexpr auto rounds = 100;
    // Long to parse, so that handlers run when the worker is destroyed.
    auto const hold =
        nlohmann::json{{"wait-ms", 60'000}, {"pad", std::vector<int>(1'500)}}
            .dump();
    auto store = standins::memory_store{core::system_clock()};
    auto history = standins::runner_history{};
    auto loop = transport::reactor{server_threads};
    auto client_loop = transport::reactor{1};
    auto client = transport::http_client{client_loop, {}};
    auto in_flight = std::ptrdiff_t{0};
    for (auto i = 0; i < rounds; ++i)
    {
        auto settings = standins::hosted_runner_settings{};
        settings.id = "w";
        auto worker = std::make_unique<standins::hosted_runner>(
            store, loop, history, settings);
        ASSERT_TRUE(worker->start());
        auto const entry =
            nlohmann::json::parse(store.peek("servers/w")->value);
        auto const where =
            *transport::parse_endpoint(entry.at("address").get<std::string>());
        auto calls = std::vector<std::future<transport::http_result>>{};
        for (auto n = 0; n < requests; ++n)
        {
            calls.push_back(send(client, where, "/api/hold", hold));
            auto const start = nlohmann::json{
                {"task", fmt::format("j.{}.s.{}", i, n)},
                {"run", 1},
                {"deadline-ms", 60'000},
                {"spec", "serve"}};
            calls.push_back(
                send(client, where, "/api/run-start", start.dump()));
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{i % 10});
        in_flight += unanswered(calls);
        worker.reset();
        auto const starts = history.all();
        ASSERT_TRUE(wait_all(calls));
        EXPECT_EQ(history.all().size(), starts.size());
        for (auto const& it : starts)
        {
            EXPECT_NE(it.ended, core::time_point{}) << it.task;
        }
    }
    EXPECT_GT(in_flight, 0);
}

TEST(standin_lifetime, a_gateway_destroyed_under_calls_is_not_used_afterwards)
{
    constexpr auto rounds = 40;
    auto reads = std::atomic<int>{0};
    auto hooks = standins::memory_store_hooks{};
    // Slow, so that a timer or handler runs when the gateway is destroyed.
    hooks.on_call = [&reads](auto const&)
    {
        ++reads;
        std::this_thread::sleep_for(2ms);
    };
    auto store = standins::memory_store{core::system_clock(), hooks};
    auto loop = transport::reactor{server_threads};
    auto client_loop = transport::reactor{1};
    auto client = transport::http_client{client_loop, {}};
    auto in_flight = std::ptrdiff_t{0};
    for (auto i = 0; i < rounds; ++i)
    {
        auto gateway = std::make_unique<standins::hosted_gateway>(store, loop);
        auto const where = gateway->listen();
        ASSERT_TRUE(where);
        auto calls = std::vector<std::future<transport::http_result>>{};
        for (auto n = 0; n < requests; ++n)
        {
            calls.push_back(send(
                client, *where, "/api/kv-watch?prefix=a&wait-ms=60000", ""));
            calls.push_back(send(client, *where, "/api/kv-range?prefix=a", ""));
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{i % 10});
        in_flight += unanswered(calls);
        gateway.reset();
        auto const seen = reads.load();
        ASSERT_TRUE(wait_all(calls));
        EXPECT_EQ(reads, seen);
    }
    EXPECT_GT(in_flight, 0);
}
