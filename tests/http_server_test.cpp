/** @file http_server_test.cpp Tests of the HTTP server. */
#include "tests/support/transport_fixture_base.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <functional>
#include <future>
#include <string>
#include <thread>
#include <vector>

namespace core = godwitcleat::core;
namespace transport = godwitcleat::transport;
using namespace godwitcleat::tests;
using namespace std::chrono_literals;

// Guards against a body sent in answer to HEAD, which the caller would take
// for the next response.
TEST_F(http, head_has_length_but_no_body)
{
    auto const server = serve(
        [](transport::http_request const&, transport::http_reply const& reply) {
            reply(transport::http_response{200, {}, "12345"});
        });
    for (auto it = 0; it < 2; ++it)
    {
        auto const result =
            fetch(client, server.local(), request_of("HEAD", "/"));
        ASSERT_TRUE(result.response) << result.reason.message;
        EXPECT_EQ(result.response->headers.get("Content-Length"), "5");
        EXPECT_TRUE(result.response->body.empty());
    }
}

// Guards against a handler that loses its reply and blocks the caller.
TEST_F(http, dropped_reply_gives_500)
{
    auto const server =
        serve([](transport::http_request const&, transport::http_reply) {});
    auto const result = fetch(client, server.local(), request_of("GET", "/"));
    ASSERT_TRUE(result.response);
    EXPECT_EQ(result.response->status, 500);
}

// Guards against a line end in a header that starts a second message.
TEST_F(http, headers_cannot_inject_messages)
{
    auto const server = serve(
        [](transport::http_request const&, transport::http_reply const& reply)
        {
            auto response = transport::http_response{};
            response.headers.set("X-A", "1\r\nX-B: 2");
            reply(response);
        });
    auto const result = fetch(client, server.local(), request_of("GET", "/"));
    ASSERT_TRUE(result.response);
    EXPECT_EQ(result.response->status, 500);
    auto bad = request_of("GET", "/a b");
    auto const refused = fetch(client, server.local(), bad);
    EXPECT_FALSE(refused.response);
    EXPECT_EQ(refused.reason.kind, core::error_kind::invalid_input);
    EXPECT_EQ(refused.progress, transport::send_progress::nothing_written);
}

// Guards against bodies and headers beyond the limits, with and without a
// declared length.
TEST_F(http, refuses_oversized_and_malformed_requests)
{
    auto const big = std::string(5000, 'x');
    auto const cases = std::vector<std::pair<std::string, std::string>>{
        {"POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n" + big, "413"},
        {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1388\r\n" + big +
             "\r\n0\r\n\r\n",
         "413"},
        {"GET / HTTP/1.1\r\nX: " + big + "\r\n\r\n", "431"},
        {"GET /" + big + " HTTP/1.1\r\n\r\n", "431"},
        {"no http at all\r\n\r\n", "400"},
        {"GET / HTTP/1.1\r\nbad header\r\n\r\n", "400"},
        {"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "400"},
        {"POST / HTTP/1.1\r\nContent-Length: 3\r\n"
         "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
         "400"}};
    auto calls = std::atomic<int>{0};
    auto const server = serve(
        [&calls](transport::http_request request, transport::http_reply reply)
        {
            ++calls;
            echo(std::move(request), reply);
        });
    for (auto const& [bytes, status] : cases)
    {
        auto const peer = raw_socket{server.local()};
        peer.write(bytes);
        auto received = std::string{};
        EXPECT_TRUE(peer.read_until("\r\n\r\n", received))
            << bytes.substr(0, 60);
        EXPECT_TRUE(received.starts_with("HTTP/1.1 " + status))
            << bytes.substr(0, 60) << " got " << received;
        peer.finish_writing();
        EXPECT_TRUE(peer.read_to_end(received));
    }
    EXPECT_EQ(calls, 0);
    EXPECT_TRUE(eventually([&] { return server.in_flight() == 0; }));
}

// Guards against callers that wait for permission to send the body.
TEST_F(http, answers_expect_continue)
{
    auto const server = serve(echo);
    auto const peer = raw_socket{server.local()};
    peer.write(
        "POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    auto received = std::string{};
    ASSERT_TRUE(peer.read_until("\r\n\r\n", received));
    EXPECT_TRUE(received.starts_with("HTTP/1.1 100"));
    peer.write("hi");
    EXPECT_TRUE(peer.read_until("POST / hi", received));
}

// Guards against lost or reordered requests that arrive in one segment.
TEST_F(http, answers_pipelined_requests_in_order)
{
    auto const server = serve(echo);
    auto const peer = raw_socket{server.local()};
    peer.write("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n"
               "GET /3 HTTP/1.1\r\nConnection: close\r\n\r\n");
    auto received = std::string{};
    ASSERT_TRUE(peer.read_to_end(received));
    auto const first = received.find("GET /1");
    auto const second = received.find("GET /2");
    auto const third = received.find("GET /3");
    EXPECT_LT(first, second);
    EXPECT_LT(second, third);
    EXPECT_NE(third, std::string::npos);
}

// Guards against slow senders and silent connections that hold resources.
TEST_F(http, closes_slow_and_idle_connections)
{
    auto bounds = limits();
    bounds.read_timeout = 100ms;
    bounds.idle_timeout = 100ms;
    auto const server = serve(echo, bounds);
    auto const idle = raw_socket{server.local()};
    auto const slow = raw_socket{server.local()};
    for (auto const letter : std::string_view{"GET / HTTP/1.1\r\nX: "})
    {
        slow.write({&letter, 1});
        std::this_thread::sleep_for(10ms);
    }
    auto received = std::string{};
    EXPECT_TRUE(slow.read_to_end(received));
    EXPECT_TRUE(idle.read_to_end(received));
    EXPECT_EQ(received, "");
    EXPECT_TRUE(eventually([&] { return server.in_flight() == 0; }));
}

// Guards against more connections than configured.
TEST_F(http, limits_connections)
{
    auto bounds = limits();
    bounds.connections = 1;
    auto const server = serve(echo, bounds);
    ASSERT_TRUE(fetch(client, server.local(), request_of("GET", "/")).response);
    auto const surplus = raw_socket{server.local()};
    auto received = std::string{};
    EXPECT_TRUE(surplus.read_to_end(received));
    EXPECT_TRUE(fetch(client, server.local(), request_of("GET", "/")).response);
}

// Guards against one address that takes the connections of all others.
TEST_F(http, limits_connections_by_address)
{
    auto bounds = limits();
    bounds.connections_per_address = 1;
    auto const server = serve(echo, bounds);
    auto const is_answered = [](raw_socket const& it)
    {
        auto received = std::string{};
        it.write("GET / HTTP/1.1\r\n\r\n");
        return it.read_until("\r\n\r\n", received);
    };
    {
        auto const first = raw_socket{server.local()};
        EXPECT_TRUE(is_answered(first));
        auto received = std::string{};
        EXPECT_TRUE(raw_socket{server.local()}.read_to_end(received));
        auto const other = raw_socket{server.local(), "127.0.0.2"};
        EXPECT_TRUE(is_answered(other));
        EXPECT_TRUE(is_answered(first));
    }
    EXPECT_TRUE(eventually([&] { return server.open_connections() == 0; }));
    EXPECT_TRUE(is_answered(raw_socket{server.local()}));
}

// Guards against a planned stop that interrupts a request.
TEST_F(http, close_listener_lets_requests_finish)
{
    auto held = held_replies{};
    auto server = serve(held.handler());
    auto const idle = raw_socket{server.local()};
    auto const busy = raw_socket{server.local()};
    busy.write("GET / HTTP/1.1\r\n\r\n");
    auto const half = raw_socket{server.local()};
    half.write("GET / HT");
    ASSERT_TRUE(eventually([&] { return server.in_flight() == 2; }));
    server.close_listener();
    auto received = std::string{};
    EXPECT_TRUE(idle.read_to_end(received));
    EXPECT_EQ(received, "");
    half.write("TP/1.1\r\n\r\n");
    ASSERT_TRUE(eventually([&] { return held.count() == 2; }));
    EXPECT_EQ(server.in_flight(), 2U);
    held.answer_all("answer");
    for (auto const* it : {&busy, &half})
    {
        received.clear();
        EXPECT_TRUE(it->read_to_end(received));
        EXPECT_NE(received.find("Connection: close"), std::string::npos);
        EXPECT_NE(received.find("answer"), std::string::npos);
    }
    EXPECT_TRUE(eventually([&] { return server.in_flight() == 0; }));
    auto const refused = fetch(client, server.local(), request_of("GET", "/"));
    EXPECT_EQ(refused.reason.kind, core::error_kind::unavailable);
}

// Guards against a request that arrives together with the planned stop and is
// neither answered nor refused before anything was written.
TEST_F(http, close_listener_answers_requests_that_have_arrived)
{
    for (auto round = 0; round < 20; ++round)
    {
        auto server = serve(echo);
        auto const peer = raw_socket{server.local()};
        auto received = std::string{};
        peer.write("GET /1 HTTP/1.1\r\n\r\n");
        ASSERT_TRUE(peer.read_until("GET /1", received));
        peer.write("GET /2 HTTP/1.1\r\n\r\n");
        server.close_listener();
        EXPECT_TRUE(peer.read_to_end(received));
        EXPECT_NE(received.find("GET /2"), std::string::npos) << round;
    }
}

// Guards against a reset of connections whose first request is on its way when
// the listener closes. The busy reactor leaves half of them unaccepted.
TEST_F(http, close_listener_serves_connections_without_a_request)
{
    auto loop_of_one = transport::reactor{1};
    auto server =
        *transport::http_server::listen(loop_of_one, any_port(), {}, echo);
    auto peers = std::vector<raw_socket>{};
    for (auto i = 0; i < 8; ++i)
    {
        peers.emplace_back(server.local());
    }
    ASSERT_TRUE(eventually([&] { return server.open_connections() == 8; }));
    auto busy = std::promise<void>{};
    loop_of_one.post([wait = busy.get_future().share()] { wait.wait(); });
    for (auto i = 0; i < 8; ++i)
    {
        peers.emplace_back(server.local());
    }
    server.close_listener();
    std::this_thread::sleep_for(10ms);
    busy.set_value();
    for (auto const& it : peers)
    {
        auto received = std::string{};
        it.write("GET /1 HTTP/1.1\r\n\r\n");
        EXPECT_TRUE(it.read_to_end(received));
        EXPECT_NE(received.find("GET /1"), std::string::npos);
        EXPECT_NE(received.find("Connection: close"), std::string::npos);
    }
}

// Guards against a planned stop that resets requests of callers that do not
// heed readiness: each is answered or its connection is refused.
TEST_F(http, close_listener_answers_or_refuses_under_load)
{
    constexpr auto rounds = 5;
    constexpr auto caller_count = 4;
    for (auto round = 0; round < rounds; ++round)
    {
        auto server = serve(echo);
        auto const where = server.local();
        auto answers = std::array<std::atomic<int>, caller_count>{};
        auto const each_gets = [&](int more)
        {
            auto due = std::array<int, caller_count>{};
            std::transform(
                answers.begin(), answers.end(), due.begin(),
                [&](auto const& it) { return it + more; });
            return eventually(
                [&]
                {
                    return std::equal(
                        answers.begin(), answers.end(), due.begin(),
                        std::greater_equal<int>{});
                });
        };
        auto callers = std::vector<std::thread>{};
        for (auto& count : answers)
        {
            callers.emplace_back(
                [&]
                {
                    auto result = fetch(client, where, request_of("GET", "/"));
                    while (result.response)
                    {
                        ++count;
                        result = fetch(client, where, request_of("GET", "/"));
                    }
                    EXPECT_NE(
                        result.reason.message.find("refused"),
                        std::string::npos)
                        << result.reason.message;
                });
        }
        EXPECT_TRUE(each_gets(25));
        server.end_keep_alive();
        // From a caller's second answer on, its connections are not kept.
        EXPECT_TRUE(each_gets(2));
        // Each request uses up an idle connection, if there is one. One may
        // have been sent before the last caller got its second answer.
        EXPECT_TRUE(each_gets(caller_count + 1));
        server.close_listener();
        for (auto& it : callers)
        {
            it.join();
        }
    }
}

// Guards against replies after the server, or the whole reactor, is gone.
TEST_F(http, reply_may_outlive_server)
{
    auto held = held_replies{};
    {
        auto inner = transport::reactor{2};
        auto server = transport::http_server::listen(
            inner, any_port(), {}, held.handler());
        ASSERT_TRUE(server);
        auto const peer = raw_socket{server->local()};
        peer.write("GET / HTTP/1.1\r\n\r\n");
        ASSERT_TRUE(eventually([&] { return held.count() == 1; }));
        server.reset();
    }
    held.answer_all("too late");
}

// Guards against hostile bytes that crash the server or disturb another
// connection.
RC_GTEST_FIXTURE_PROP(
    http, survives_random_bytes, (std::vector<std::uint8_t> const& bytes))
{
    auto const server = serve(echo);
    auto const prefix = *rc::gen::element<std::string>(
        "", "GET ", "GET / HTTP/1.1\r\n",
        "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
    auto const peer = raw_socket{server.local()};
    peer.write(prefix + std::string{bytes.begin(), bytes.end()});
    peer.finish_writing();
    auto const result = fetch(client, server.local(), request_of("GET", "/x"));
    RC_ASSERT(result.response.has_value());
    RC_ASSERT(result.response->body == "GET /x ");
    auto received = std::string{};
    RC_ASSERT(peer.read_to_end(received));
}

// Guards against the same for a request to a busy server.
TEST_F(http, a_large_request_takes_few_turns_of_a_busy_loop)
{
    auto own_loop = transport::reactor{1};
    auto bounds = transport::http_server_limits{};
    auto const server = transport::http_server::listen(
        own_loop, any_port(), bounds,
        [](transport::http_request request, transport::http_reply reply)
        {
            reply(transport::http_response{
                200, {}, std::to_string(request.body.size())});
        });
    ASSERT_TRUE(server.has_value());
    auto const busy = busy_loop{own_loop};
    auto const result = fetch(
        client, server->local(),
        request_of("POST", "/", std::string(large_body_bytes, 'x')));
    ASSERT_TRUE(result.response) << result.reason.message;
    EXPECT_EQ(result.response->body, std::to_string(large_body_bytes));
    EXPECT_LE(busy.turns(), max_turns);
}
