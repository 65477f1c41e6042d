/** @file http_client_test.cpp Tests of the HTTP client. */
#include "tests/support/transport_fixture_base.hpp"

#include <gtest/gtest.h>

#include <future>
#include <string>
#include <vector>

namespace core = godwitcleat::core;
namespace transport = godwitcleat::transport;
using namespace godwitcleat::tests;
using namespace std::chrono_literals;

// Guards against a new connection for each request.
TEST_F(http, keeps_connections_alive)
{
    auto const server = serve(echo);
    for (auto it = 0; it < 10; ++it)
    {
        auto request = request_of("POST", "/a?b=" + std::to_string(it), "xyz");
        request.headers.set("X-Request-Id", std::to_string(it));
        auto const result = fetch(client, server.local(), request);
        ASSERT_TRUE(result.response) << result.reason.message;
        EXPECT_EQ(
            result.response->body, "POST /a?b=" + std::to_string(it) + " xyz");
        EXPECT_EQ(
            result.response->headers.get("x-request-id"), std::to_string(it));
    }
    EXPECT_EQ(client.connections(server.local()), 1U);
}

// Guards against an idle connection that is closed because the readiness of the
// last response is noticed after the response was read.
TEST_F(http, an_idle_connection_is_kept_while_the_server_keeps_it)
{
    constexpr auto count = 10'000;
    auto const server = serve(echo);
    for (auto it = 0; it < count; ++it)
    {
        auto const result =
            fetch(client, server.local(), request_of("GET", "/"));
        ASSERT_TRUE(result.response) << result.reason.message;
        ASSERT_EQ(client.connections(server.local()), 1U) << it;
    }
}

// Guards against answers that reach another caller, and against requests that
// are lost while others wait for a connection.
TEST_F(http, many_requests_get_their_own_answers)
{
    constexpr auto count = 60;
    auto const server = serve(echo);
    auto futures = std::vector<std::future<transport::http_result>>{};
    for (auto it = 0; it < count; ++it)
    {
        futures.push_back(start(
            client, server.local(),
            request_of("GET", "/" + std::to_string(it))));
    }
    for (auto it = 0; it < count; ++it)
    {
        auto const result = await(futures[static_cast<std::size_t>(it)]);
        ASSERT_TRUE(result && result->response);
        EXPECT_EQ(result->response->body, "GET /" + std::to_string(it) + " ");
    }
    EXPECT_LE(client.connections(server.local()), 9U);
}

// Guards against a caller that waits longer than it asked for, and against a
// late answer that reaches the next caller on the same connection.
TEST_F(http, timeout_closes_the_connection)
{
    auto held = held_replies{};
    auto const server = serve(held.handler());
    auto const result =
        fetch(client, server.local(), request_of("POST", "/"), 50ms);
    EXPECT_FALSE(result.response);
    EXPECT_EQ(result.reason.kind, core::error_kind::timeout);
    EXPECT_EQ(result.progress, transport::send_progress::maybe_written);
    EXPECT_FALSE(result.connection_refused);
    EXPECT_EQ(client.connections(server.local()), 0U);
    held.answer_all("late");
    auto next = start(client, server.local(), request_of("POST", "/"));
    ASSERT_TRUE(eventually([&] { return held.count() == 1; }));
    held.answer_all("fresh");
    auto const fresh = await(next);
    ASSERT_TRUE(fresh && fresh->response);
    EXPECT_EQ(fresh->response->body, "fresh");
}

// Guards against calls that fail one after the other, each on another idle
// connection that has gone silent, while new connections work.
TEST_F(http, a_silent_endpoint_costs_one_timeout)
{
    constexpr auto count = 4;
    auto const listener = raw_listener{};
    auto first = std::vector<std::future<transport::http_result>>{};
    auto silent = std::vector<raw_socket>{};
    for (auto it = 0; it < count; ++it)
    {
        first.push_back(
            start(client, listener.local(), request_of("POST", "/")));
        silent.push_back(listener.accept());
    }
    for (auto& it : silent)
    {
        auto received = std::string{};
        ASSERT_TRUE(it.read_until("\r\n\r\n", received));
        it.write(ok_response);
    }
    for (auto& it : first)
    {
        auto const result = await(it);
        ASSERT_TRUE(result && result->response);
    }
    ASSERT_EQ(client.connections(listener.local()), std::size_t{count});
    auto const unanswered =
        fetch(client, listener.local(), request_of("POST", "/"), 50ms);
    EXPECT_EQ(unanswered.reason.kind, core::error_kind::timeout);
    EXPECT_EQ(client.connections(listener.local()), 0U);
    auto next = start(client, listener.local(), request_of("POST", "/"), 5s);
    ASSERT_TRUE(eventually(
        [&]
        {
            return listener.has_connection() ||
                   next.wait_for(0s) == std::future_status::ready;
        }));
    ASSERT_TRUE(listener.has_connection()) << "a silent connection was used";
    auto const fresh = listener.accept();
    auto received = std::string{};
    ASSERT_TRUE(fresh.read_until("\r\n\r\n", received));
    fresh.write(ok_response);
    auto const result = await(next);
    ASSERT_TRUE(result && result->response);
}

// Guards against new connections for each slow answer: those that have answered
// meanwhile are kept.
TEST_F(http, a_timeout_keeps_connections_that_have_answered_since)
{
    auto const listener = raw_listener{};
    auto slow = start(client, listener.local(), request_of("POST", "/"), 500ms);
    auto const unanswered = listener.accept();
    auto other = start(client, listener.local(), request_of("POST", "/"));
    auto const answers = listener.accept();
    auto received = std::string{};
    ASSERT_TRUE(answers.read_until("\r\n\r\n", received));
    answers.write(ok_response);
    auto const answered = await(other);
    ASSERT_TRUE(answered && answered->response);
    auto const late = await(slow);
    ASSERT_TRUE(late);
    EXPECT_EQ(late->reason.kind, core::error_kind::timeout);
    EXPECT_EQ(client.connections(listener.local()), 1U);
}

// Guards against unbounded queues, and against a request reported as written
// although it only waited for a connection.
TEST_F(http, bounds_connections_and_waiting_requests)
{
    auto held = held_replies{};
    auto const server = serve(held.handler());
    auto limits = transport::http_client_limits{};
    limits.connections_per_endpoint = 1;
    limits.waiting_per_endpoint = 1;
    auto narrow = transport::http_client{loop, limits};
    auto first = start(narrow, server.local(), request_of("POST", "/1"));
    ASSERT_TRUE(eventually([&] { return held.count() == 1; }));
    auto second = start(narrow, server.local(), request_of("POST", "/2"), 50ms);
    auto const third = fetch(narrow, server.local(), request_of("POST", "/3"));
    EXPECT_EQ(third.reason.kind, core::error_kind::no_capacity);
    EXPECT_EQ(third.progress, transport::send_progress::nothing_written);
    auto const waited = await(second);
    ASSERT_TRUE(waited);
    EXPECT_EQ(waited->reason.kind, core::error_kind::timeout);
    EXPECT_EQ(waited->progress, transport::send_progress::nothing_written);
    EXPECT_EQ(narrow.connections(server.local()), 1U);
    held.answer_all("done");
    auto const answered = await(first);
    ASSERT_TRUE(answered && answered->response);
    EXPECT_EQ(held.count(), 0U);
}

// Guards against a refused connection that is reported as a possible run.
TEST_F(http, refused_connection_writes_nothing)
{
    auto where = transport::endpoint{};
    {
        auto const server = serve(echo);
        where = server.local();
    }
    // The server closes its socket before the destructor returns.
    auto const result = fetch(client, where, request_of("POST", "/"));
    EXPECT_FALSE(result.response);
    EXPECT_EQ(result.reason.kind, core::error_kind::unavailable);
    EXPECT_EQ(result.progress, transport::send_progress::nothing_written);
    EXPECT_TRUE(result.connection_refused);
    EXPECT_EQ(client.connections(where), 0U);
}

// Guards against an incomplete answer that is passed on as a whole one.
TEST_F(http, response_cut_short_is_an_error)
{
    auto const cut = std::vector<std::string>{
        "", "HTTP/1.1 200 OK\r\nContent-Le",
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n",
        "HTTP/1.1 200 OK\r\n\r\nno length"};
    auto const listener = raw_listener{};
    for (auto const& bytes : cut)
    {
        auto future = start(client, listener.local(), request_of("POST", "/"));
        auto peer = listener.accept();
        auto received = std::string{};
        ASSERT_TRUE(peer.read_until("\r\n\r\n", received));
        peer.write(bytes);
        peer.close();
        auto const result = await(future);
        ASSERT_TRUE(result);
        EXPECT_FALSE(result->response) << bytes;
        EXPECT_NE(result->reason.kind, core::error_kind::none);
        EXPECT_EQ(result->progress, transport::send_progress::maybe_written);
        EXPECT_FALSE(listener.has_connection()) << "the request was repeated";
    }
}

// Guards against a request written to a connection that the server has
// closed, and against one that is sent twice.
TEST_F(http, replaces_pooled_connection_closed_by_server)
{
    auto const listener = raw_listener{};
    for (auto it = 0; it < 20; ++it)
    {
        auto future = start(client, listener.local(), request_of("POST", "/"));
        auto peer = listener.accept();
        auto received = std::string{};
        ASSERT_TRUE(peer.read_until("\r\n\r\n", received));
        peer.write(ok_response);
        auto const result = await(future);
        ASSERT_TRUE(result && result->response);
        EXPECT_EQ(result->response->body, "ok");
        peer.close();
    }
    EXPECT_FALSE(listener.has_connection());
}

// Guards against an unasked-for answer that is taken for the next one.
TEST_F(http, surplus_answer_makes_connection_unusable)
{
    auto const listener = raw_listener{};
    auto first = start(client, listener.local(), request_of("GET", "/1"));
    auto peer = listener.accept();
    auto received = std::string{};
    ASSERT_TRUE(peer.read_until("\r\n\r\n", received));
    peer.write(std::string{ok_response} + std::string{ok_response});
    ASSERT_TRUE(await(first));
    auto second = start(client, listener.local(), request_of("GET", "/2"));
    auto fresh = listener.accept();
    received.clear();
    ASSERT_TRUE(fresh.read_until("\r\n\r\n", received));
    fresh.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfresh");
    auto const result = await(second);
    ASSERT_TRUE(result && result->response);
    EXPECT_EQ(result->response->body, "fresh");
}

// Guards against interim responses taken for the final one, and endless ones.
TEST_F(http, skips_a_few_interim_responses)
{
    constexpr std::string_view interim = "HTTP/1.1 102 Processing\r\n\r\n";
    auto const listener = raw_listener{};
    auto first = start(client, listener.local(), request_of("GET", "/"));
    auto peer = listener.accept();
    auto received = std::string{};
    ASSERT_TRUE(peer.read_until("\r\n\r\n", received));
    peer.write(std::string{interim} + std::string{ok_response});
    auto const result = await(first);
    ASSERT_TRUE(result && result->response) << result->reason.message;
    EXPECT_EQ(result->response->body, "ok");
    auto second = start(client, listener.local(), request_of("GET", "/"));
    received.clear();
    ASSERT_TRUE(peer.read_until("\r\n\r\n", received));
    for (auto it = 0; it < 100; ++it)
    {
        peer.write(interim);
    }
    auto const endless = await(second);
    ASSERT_TRUE(endless);
    EXPECT_EQ(endless->reason.kind, core::error_kind::protocol);
}

// Guards against a response that uses up the memory.
TEST_F(http, response_body_is_limited)
{
    auto const server = serve(
        [](transport::http_request const&, transport::http_reply const& reply) {
            reply(transport::http_response{200, {}, std::string(101, 'x')});
        });
    auto limits = transport::http_client_limits{};
    limits.body_bytes = 100;
    auto small = transport::http_client{loop, limits};
    auto const result = fetch(small, server.local(), request_of("GET", "/"));
    EXPECT_FALSE(result.response);
    EXPECT_EQ(result.reason.kind, core::error_kind::protocol);
}

// Guards against a peer that accepts but does not read: the bytes that went
// out make the outcome unknown.
TEST_F(http, unread_request_times_out_as_maybe_written)
{
    auto const listener = raw_listener{};
    auto const result = fetch(
        client, listener.local(),
        request_of("POST", "/", std::string(16 * 1024 * 1024, 'x')), 200ms);
    EXPECT_EQ(result.reason.kind, core::error_kind::timeout);
    EXPECT_EQ(result.progress, transport::send_progress::maybe_written);
}

// Guards against a caller left without a result when the client is destroyed.
TEST_F(http, destroyed_client_completes_requests)
{
    auto held = held_replies{};
    auto const server = serve(held.handler());
    auto limits = transport::http_client_limits{};
    limits.connections_per_endpoint = 1;
    auto brief = std::make_unique<transport::http_client>(loop, limits);
    auto first = start(*brief, server.local(), request_of("POST", "/"));
    auto second = start(*brief, server.local(), request_of("POST", "/"));
    ASSERT_TRUE(eventually([&] { return held.count() == 1; }));
    brief.reset();
    auto const written = await(first);
    auto const waiting = await(second);
    ASSERT_TRUE(written && waiting);
    EXPECT_EQ(written->reason.kind, core::error_kind::shutting_down);
    EXPECT_EQ(written->progress, transport::send_progress::maybe_written);
    EXPECT_EQ(waiting->progress, transport::send_progress::nothing_written);
}

// Guards against an answer of the store that a busy event loop reads in so many
// turns that it is out of date.
TEST_F(http, a_large_response_takes_few_turns_of_a_busy_loop)
{
    auto const server = serve(
        [](transport::http_request, transport::http_reply reply)
        {
            reply(transport::http_response{
                200, {}, std::string(large_body_bytes, 'x')});
        });
    auto own_loop = transport::reactor{1};
    auto own_client = transport::http_client{own_loop, {}};
    auto const busy = busy_loop{own_loop};
    auto const result =
        fetch(own_client, server.local(), request_of("GET", "/"));
    ASSERT_TRUE(result.response) << result.reason.message;
    EXPECT_EQ(result.response->body.size(), large_body_bytes);
    EXPECT_LE(busy.turns(), max_turns);
}
