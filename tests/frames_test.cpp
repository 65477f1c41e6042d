/** @file frames_test.cpp Tests of framed calls. */
#include "tests/support/transport_fixture_base.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <future>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace core = godwitcleat::core;
namespace transport = godwitcleat::transport;
using namespace godwitcleat::tests;
using namespace std::chrono_literals;

namespace
{

auto frame_of(std::uint64_t number, std::string_view payload) -> std::string
{
    auto result = std::string{};
    for (auto it = 24; it >= 0; it -= 8)
    {
        result.push_back(static_cast<char>(payload.size() >> it));
    }
    for (auto it = 56; it >= 0; it -= 8)
    {
        result.push_back(static_cast<char>(number >> it));
    }
    return result + std::string{payload};
}

struct call_result
{
    std::optional<std::string> payload;
    core::failure reason;
};

auto start_call(
    transport::frame_client& client, transport::endpoint const& where,
    std::string payload, core::duration timeout = ample)
    -> std::future<call_result>
{
    auto promise = std::make_shared<std::promise<call_result>>();
    auto future = promise->get_future();
    client.call(
        where, std::move(payload), timeout,
        [promise](std::optional<std::string> reply)
        {
            auto const reason =
                reply ? core::failure{} : core::failure{core::last_reason()};
            promise->set_value(call_result{std::move(reply), reason});
        });
    return future;
}

auto call(
    transport::frame_client& client, transport::endpoint const& where,
    std::string payload, core::duration timeout = ample) -> call_result
{
    auto future = start_call(client, where, std::move(payload), timeout);
    return await(future).value_or(call_result{});
}

/** Event loop, client, and servers of frames with small limits. */
class frames : public testing::Test
{
protected:
    static auto limits() -> transport::frame_limits
    {
        auto result = transport::frame_limits{};
        result.frame_bytes = 100'000;
        return result;
    }

    auto serve(
        transport::frame_handler handler,
        transport::frame_limits bounds = limits()) -> transport::frame_server
    {
        auto server = transport::frame_server::listen(
            loop, any_port(), bounds, std::move(handler));
        EXPECT_TRUE(server.has_value());
        return std::move(*server);
    }

    auto serve_echo() -> transport::frame_server
    {
        return serve([](std::string payload, transport::frame_reply reply)
                     { reply(std::move(payload)); });
    }

    transport::reactor loop{4};
    transport::frame_client client{loop, limits()};
};

} // namespace

// Guards against replies that reach the wrong call when they come out of
// order.
TEST_F(frames, replies_may_come_out_of_order)
{
    constexpr std::size_t count = 50;
    auto mutex = std::mutex{};
    auto held = std::vector<std::pair<std::string, transport::frame_reply>>{};
    auto const server = serve(
        [&](std::string payload, transport::frame_reply reply)
        {
            auto const lock = std::scoped_lock{mutex};
            held.emplace_back(std::move(payload), std::move(reply));
        });
    auto futures = std::vector<std::future<call_result>>{};
    for (std::size_t it = 0; it < count; ++it)
    {
        futures.push_back(
            start_call(client, server.local(), std::to_string(it)));
    }
    ASSERT_TRUE(eventually(
        [&]
        {
            auto const lock = std::scoped_lock{mutex};
            return held.size() == count;
        }));
    for (auto it = held.rbegin(); it != held.rend(); ++it)
    {
        it->second("reply to " + it->first);
    }
    for (std::size_t it = 0; it < count; ++it)
    {
        auto const result = await(futures[it]);
        ASSERT_TRUE(result && result->payload);
        EXPECT_EQ(*result->payload, "reply to " + std::to_string(it));
    }
}

// Guards against empty and largest payloads that are cut or refused.
TEST_F(frames, carries_payloads_up_to_the_limit)
{
    auto const server = serve_echo();
    for (auto const size :
         {std::size_t{0}, std::size_t{99'999}, std::size_t{100'000}})
    {
        auto const payload = std::string(size, 'p');
        EXPECT_EQ(call(client, server.local(), payload).payload, payload);
    }
    auto const refused =
        call(client, server.local(), std::string(100'001, 'p'));
    EXPECT_EQ(refused.reason.kind, core::error_kind::invalid_input);
}

// Guards against failures that do not say whether the request was sent.
TEST_F(frames, reports_what_is_known_about_failures)
{
    auto where = transport::endpoint{};
    {
        auto const gone = serve_echo();
        where = gone.local();
    }
    EXPECT_EQ(
        call(client, where, "x").reason.kind, core::error_kind::unavailable);
    auto const listener = raw_listener{};
    auto sent = start_call(client, listener.local(), "x");
    {
        auto const peer = listener.accept();
        ASSERT_EQ(peer.read_count(13), frame_of(1, "x"));
    }
    auto const cut = await(sent);
    ASSERT_TRUE(cut);
    EXPECT_EQ(cut->reason.kind, core::error_kind::unknown_outcome);
    auto late = start_call(client, listener.local(), "y", 50ms);
    auto const peer = listener.accept();
    auto const expired = await(late);
    ASSERT_TRUE(expired);
    EXPECT_EQ(expired->reason.kind, core::error_kind::timeout);
    // The reply to the expired call is dropped; the connection stays usable.
    peer.read_count(13);
    peer.write(frame_of(1, "late"));
    auto next = start_call(client, listener.local(), "z");
    ASSERT_EQ(peer.read_count(13), frame_of(2, "z"));
    peer.write(frame_of(2, "fresh"));
    auto const fresh = await(next);
    ASSERT_TRUE(fresh);
    EXPECT_EQ(fresh->payload, "fresh");
}

// Guards against a peer that stays unreachable because its connection has gone
// silent while new ones work. A caller waits for 3 s.
TEST_F(frames, a_silent_connection_is_replaced)
{
    auto const listener = raw_listener{};
    for (auto const timeout : {core::duration{ample}, core::duration{50ms}})
    {
        auto caller = transport::frame_client{loop, limits()};
        auto const begun = std::chrono::steady_clock::now();
        auto lost = start_call(caller, listener.local(), "x", timeout);
        auto const silent = listener.accept();
        auto const result = await(lost);
        ASSERT_TRUE(result);
        EXPECT_FALSE(result->payload);
        auto received = std::string{};
        EXPECT_TRUE(silent.read_to_end(received));
        EXPECT_LT(std::chrono::steady_clock::now() - begun, 3s);
        auto next = start_call(caller, listener.local(), "y");
        auto const fresh = listener.accept();
        ASSERT_EQ(fresh.read_count(13), frame_of(1, "y"));
        fresh.write(frame_of(1, "z"));
        auto const reply = await(next);
        ASSERT_TRUE(reply);
        EXPECT_EQ(reply->payload, "z");
    }
}

// Guards against a peer that stays unreachable because its silent connection
// takes no more bytes, so that no request is sent. A caller waits for 3 s.
TEST_F(frames, a_silent_connection_that_takes_no_bytes_is_replaced)
{
    // 30 MB, more than the buffers of a connection hold.
    constexpr auto count = 300;
    auto const listener = raw_listener{};
    auto const begun = std::chrono::steady_clock::now();
    auto lost = std::vector<std::future<call_result>>{};
    for (auto it = 0; it < count; ++it)
    {
        lost.push_back(start_call(
            client, listener.local(), std::string(limits().frame_bytes, 'x'),
            500ms));
    }
    auto const silent = listener.accept();
    auto unsent = 0;
    for (auto& it : lost)
    {
        auto const result = await(it);
        ASSERT_TRUE(result);
        EXPECT_FALSE(result->payload);
        unsent += result->reason.kind == core::error_kind::unavailable ? 1 : 0;
    }
    EXPECT_GT(unsent, 0) << "the buffers hold all requests; send more";
    EXPECT_TRUE(eventually(
        [&]
        {
            call(client, listener.local(), "y", 100ms);
            return listener.has_connection();
        }));
    EXPECT_LT(std::chrono::steady_clock::now() - begun, 3s);
}

// Guards against a slow reply that is taken for a silent connection.
TEST_F(frames, a_connection_with_a_slow_reply_is_kept)
{
    auto held = std::promise<transport::frame_reply>{};
    auto const server = serve([&](std::string, transport::frame_reply reply)
                              { held.set_value(std::move(reply)); });
    auto slow = start_call(client, server.local(), "x");
    auto const reply = held.get_future().get();
    auto const bounds = limits();
    std::this_thread::sleep_for(
        2 * (bounds.probe_after + bounds.probe_timeout));
    reply("late");
    auto const result = await(slow);
    ASSERT_TRUE(result);
    EXPECT_EQ(result->payload, "late");
}

// Guards against a hostile server: a reply to no request, and a length that
// would use up the memory.
TEST_F(frames, client_closes_on_bad_replies)
{
    auto const listener = raw_listener{};
    auto const bad = std::vector<std::string>{
        frame_of(77, "x"), std::string("\xff\xff\xff\xff", 4) + "12345678"};
    for (auto const& bytes : bad)
    {
        auto future = start_call(client, listener.local(), "x");
        auto const peer = listener.accept();
        peer.write(bytes);
        auto const result = await(future);
        ASSERT_TRUE(result);
        EXPECT_FALSE(result->payload);
        auto received = std::string{};
        EXPECT_TRUE(peer.read_to_end(received));
    }
}

// Guards against a sender that queues requests without bound: reading stops
// while too many are in flight, and goes on afterwards.
TEST_F(frames, bounds_requests_in_flight)
{
    auto bounds = limits();
    bounds.in_flight_per_connection = 3;
    auto mutex = std::mutex{};
    auto held = std::vector<transport::frame_reply>{};
    auto most = std::size_t{0};
    auto handled = std::size_t{0};
    auto const server = serve(
        [&](std::string, transport::frame_reply reply)
        {
            auto const lock = std::scoped_lock{mutex};
            held.push_back(std::move(reply));
            most = std::max(most, held.size());
            ++handled;
        },
        bounds);
    constexpr std::size_t count = 20;
    auto const peer = raw_socket{server.local()};
    for (std::size_t it = 1; it <= count; ++it)
    {
        peer.write(frame_of(it, "x"));
    }
    for (auto done = std::size_t{0}; done < count;)
    {
        auto reply = transport::frame_reply{};
        ASSERT_TRUE(eventually(
            [&]
            {
                auto const lock = std::scoped_lock{mutex};
                return !held.empty();
            }));
        {
            auto const lock = std::scoped_lock{mutex};
            reply = std::move(held.back());
            held.pop_back();
        }
        reply("y");
        ++done;
    }
    EXPECT_EQ(peer.read_count(count * 13).size(), count * 13);
    auto const lock = std::scoped_lock{mutex};
    EXPECT_LE(most, 3U);
    EXPECT_EQ(handled, count);
}

// Guards against hostile frames that crash the server, hold resources, or
// disturb another connection.
TEST_F(frames, closes_oversized_truncated_slow_and_idle_connections)
{
    auto bounds = limits();
    bounds.idle_timeout = 100ms;
    auto const server = serve(
        [](std::string payload, transport::frame_reply reply)
        { reply(std::move(payload)); },
        bounds);
    auto const oversized = raw_socket{server.local()};
    oversized.write(std::string("\x00\x01\x86\xa1", 4) + "12345678");
    auto const truncated = raw_socket{server.local()};
    truncated.write(frame_of(1, "abc").substr(0, 14));
    truncated.finish_writing();
    auto const idle = raw_socket{server.local()};
    auto const slow = raw_socket{server.local()};
    for (auto const letter : frame_of(1, "slow payload").substr(0, 20))
    {
        slow.write({&letter, 1});
        std::this_thread::sleep_for(10ms);
    }
    auto received = std::string{};
    for (auto const* it : {&oversized, &truncated, &idle, &slow})
    {
        EXPECT_TRUE(it->read_to_end(received));
    }
    EXPECT_EQ(received, "");
    EXPECT_EQ(call(client, server.local(), "works").payload, "works");
}

// Guards against random bytes that crash the server or disturb another
// connection.
RC_GTEST_FIXTURE_PROP(
    frames, survives_random_bytes, (std::vector<std::uint8_t> const& bytes))
{
    auto const server = serve_echo();
    auto const whole = *rc::gen::arbitrary<bool>();
    auto const peer = raw_socket{server.local()};
    peer.write(
        (whole ? frame_of(1, "a") : "") +
        std::string{bytes.begin(), bytes.end()});
    peer.finish_writing();
    RC_ASSERT(call(client, server.local(), "works").payload == "works");
    auto received = std::string{};
    RC_ASSERT(peer.read_to_end(received));
}

// Guards against calls without a result when the server or the client closes.
TEST_F(frames, closing_completes_calls)
{
    auto mutex = std::mutex{};
    auto held = std::vector<transport::frame_reply>{};
    auto server = serve(
        [&](std::string, transport::frame_reply reply)
        {
            auto const lock = std::scoped_lock{mutex};
            held.push_back(std::move(reply));
        });
    auto const count = [&]
    {
        auto const lock = std::scoped_lock{mutex};
        return held.size();
    };
    auto first = start_call(client, server.local(), "x");
    ASSERT_TRUE(eventually([&] { return count() == 1; }));
    auto brief = std::make_unique<transport::frame_client>(loop, limits());
    auto second = start_call(*brief, server.local(), "x");
    ASSERT_TRUE(eventually([&] { return count() == 2; }));
    brief.reset();
    auto const by_client = await(second);
    ASSERT_TRUE(by_client);
    EXPECT_EQ(by_client->reason.kind, core::error_kind::unknown_outcome);
    server.close();
    auto const by_server = await(first);
    ASSERT_TRUE(by_server);
    EXPECT_EQ(by_server->reason.kind, core::error_kind::unknown_outcome);
    held.front()("too late");
}
