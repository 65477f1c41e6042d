/** @file reactor_test.cpp Tests of the reactor and of HTTP headers. */
#include "tests/support/transport_fixture_base.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <csignal>
#include <future>
#include <memory>
#include <thread>

namespace core = godwitcleat::core;
namespace transport = godwitcleat::transport;
using namespace godwitcleat::tests;
using namespace std::chrono_literals;

// Guards against timers that fire early, never, or after being cancelled.
TEST(reactor, runs_timers)
{
    auto loop = transport::reactor{2};
    auto promise = std::promise<std::chrono::steady_clock::time_point>{};
    auto future = promise.get_future();
    auto cancelled_ran = std::atomic<bool>{false};
    auto const begin = std::chrono::steady_clock::now();
    auto cancelled = loop.after(20ms, [&] { cancelled_ran = true; });
    cancelled.cancel();
    auto const timer = loop.after(
        40ms, [&] { promise.set_value(std::chrono::steady_clock::now()); });
    auto const end = await(future);
    ASSERT_TRUE(end);
    EXPECT_GE(*end - begin, 40ms);
    EXPECT_FALSE(cancelled_ran);
}

// Guards against periodic calls that overlap or stop after the first one.
TEST(reactor, repeats_without_overlap)
{
    auto loop = transport::reactor{4};
    auto running = std::atomic<int>{0};
    auto overlaps = std::atomic<int>{0};
    auto calls = std::atomic<int>{0};
    auto timer = loop.every(
        1ms,
        [&]
        {
            overlaps += running++ > 0 ? 1 : 0;
            std::this_thread::sleep_for(3ms);
            --running;
            ++calls;
        });
    EXPECT_TRUE(eventually([&] { return calls >= 10; }));
    EXPECT_EQ(overlaps, 0);
    timer.cancel();
    loop.stop();
}

// Guards against a crash when a handle outlives its reactor, or is destroyed
// by its own task.
TEST(reactor, handle_may_die_at_any_time)
{
    auto outliving = transport::timer_handle{};
    {
        auto loop = transport::reactor{2};
        outliving = loop.every(1ms, [] {});
        auto own = std::make_shared<transport::timer_handle>();
        auto done = std::promise<bool>{};
        auto future = done.get_future();
        auto ready = std::promise<void>{};
        auto assigned = ready.get_future().share();
        *own = loop.every(
            1ms,
            [&]
            {
                assigned.wait();
                *own = transport::timer_handle{};
                done.set_value(true);
            });
        ready.set_value();
        EXPECT_TRUE(await(future));
    }
}

// Guards against a lost termination signal.
TEST(reactor, delivers_signals)
{
    auto loop = transport::reactor{1};
    auto promise = std::promise<int>{};
    auto future = promise.get_future();
    loop.on_signal(
        {SIGUSR1, SIGUSR2}, [&](int number) { promise.set_value(number); });
    std::raise(SIGUSR2);
    EXPECT_EQ(await(future), SIGUSR2);
}

// Guards against header lookups that depend on case, and duplicates.
TEST(http_headers, compares_names_without_case)
{
    auto headers = transport::http_headers{};
    headers.values = {{"a", "1"}, {"B", "2"}, {"A", "3"}};
    EXPECT_EQ(headers.get("A"), "1");
    headers.set("b", headers.get("B"));
    headers.remove("A");
    ASSERT_EQ(headers.values.size(), 1U);
    EXPECT_EQ(headers.get("B"), "2");
}
