/** @file worker_call_test.cpp Calls to a worker that was restarted. */
#include "platform/platform.hpp"
#include "tests/support/transport_fixture_base.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <future>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace coordination = godwitcleat::coordination;
namespace core = godwitcleat::core;
namespace platform = godwitcleat::platform;
namespace state = godwitcleat::state;
namespace transport = godwitcleat::transport;
using namespace godwitcleat::tests;
using namespace std::chrono_literals;

namespace
{

constexpr auto former = std::int64_t{1000};
constexpr auto current = std::int64_t{2000};
constexpr auto known_clock_ms = std::int64_t{60'000};

auto process_of(std::int64_t started_ms) -> state::expected_process
{
    return {started_ms, known_clock_ms, known_clock_ms + 3000};
}

// Answers each call and records it as "TARGET BODY".
class fake_worker
{
public:
    fake_worker(
        transport::reactor& loop, transport::endpoint const& where,
        std::int64_t process, std::int64_t clock_ms = known_clock_ms)
        : server_(*transport::http_server::listen(
              loop, where, {},
              [this, process, clock_ms](auto const& request, auto reply)
              {
                  {
                      auto const lock = std::scoped_lock{mutex_};
                      calls_.push_back(request.target + " " + request.body);
                  }
                  auto response = transport::http_response{};
                  response.body =
                      request.target == "/api/hold"
                          ? fmt::format(
                                R"({{"clock-ms":{},"born":{},"running":[],)"
                                R"("ended":[]}})",
                                clock_ms, process)
                          : fmt::format(R"({{"clock-ms":{}}})", clock_ms);
                  reply(std::move(response));
              }))
    {
    }

    [[nodiscard]] auto local() const -> transport::endpoint
    {
        return server_.local();
    }

    auto take_calls() -> std::vector<std::string>
    {
        auto const lock = std::scoped_lock{mutex_};
        return std::exchange(calls_, {});
    }

private:
    std::mutex mutex_;
    std::vector<std::string> calls_;
    transport::http_server server_;
};

class worker_call : public http
{
protected:
    auto
    hold(transport::endpoint const& where, std::optional<std::int64_t> process)
        -> coordination::hold_answer
    {
        auto it = state::hold_order{};
        it.worker = core::worker_id{"w1"};
        it.address = transport::to_string(where);
        it.token = state::fencing_token{3};
        if (process)
        {
            it.process = process_of(*process);
            it.deadline_ms = 700'000;
            it.acknowledged = 9;
        }
        auto done = std::promise<coordination::hold_answer>{};
        link_.hold(it, [&](auto answer) { done.set_value(answer); });
        return done.get_future().get();
    }

    auto order(
        transport::endpoint const& where, state::run_order_kind kind,
        std::int64_t process) -> coordination::run_answer
    {
        auto it = state::run_order{};
        it.kind = kind;
        it.worker = core::worker_id{"w1"};
        it.address = transport::to_string(where);
        it.token = state::fencing_token{3};
        it.process = process_of(process);
        it.task = {core::job_id{"0123456789abcdef"}, 0, 0, 0};
        it.run = state::run_number{1};
        it.deadline_ms = 700'000;
        auto done = std::promise<coordination::run_answer>{};
        link_.order(it, [&](auto answer) { done.set_value(answer); });
        return done.get_future().get();
    }

    coordination::worker_link link_ = platform::make_worker_link(client, {});
};

constexpr auto plain_hold = "/api/hold {\"fencing-token\":3,\"ack-cursor\":0}";

} // namespace

// Guards against starts, stops, changes of pace, renewals and acknowledgements
// for the former process of a worker that its new one carries out.
TEST_F(worker_call, the_new_process_gets_no_call_for_the_former_one)
{
    auto where = any_port();
    {
        auto const before = std::make_unique<fake_worker>(loop, where, former);
        where = before->local();
        ASSERT_EQ(hold(where, {}).lists->started_ms, former);
        ASSERT_EQ(
            order(where, state::run_order_kind::start, former).result,
            state::order_result::accepted);
    }
    for (auto i = 0; i < 3000 && client.connections(where) > 0; ++i)
    {
        std::this_thread::sleep_for(10ms);
    }
    ASSERT_EQ(client.connections(where), 0U);
    auto after = fake_worker{loop, where, current};
    for (auto const kind :
         {state::run_order_kind::start, state::run_order_kind::stop,
          state::run_order_kind::pace})
    {
        auto const answer = order(where, kind, former);
        EXPECT_EQ(answer.result, state::order_result::other_process);
        EXPECT_FALSE(answer.clock_ms) << "of another clock";
    }
    EXPECT_EQ(hold(where, former).result, state::order_result::other_process);
    for (auto const& it : after.take_calls())
    {
        EXPECT_EQ(it, plain_hold);
    }
    EXPECT_EQ(
        order(where, state::run_order_kind::start, current).result,
        state::order_result::accepted);
}

// Guards against the same while connections to the former process still close,
// when a call may be lost with that process.
TEST_F(worker_call, the_new_process_gets_no_call_from_a_closing_connection)
{
    auto where = any_port();
    {
        auto const before = std::make_unique<fake_worker>(loop, where, former);
        where = before->local();
        ASSERT_EQ(hold(where, {}).lists->started_ms, former);
    }
    auto after = fake_worker{loop, where, current};
    auto const answer = order(where, state::run_order_kind::start, former);
    EXPECT_TRUE(
        answer.result == state::order_result::other_process ||
        answer.result == state::order_result::unknown);
    EXPECT_FALSE(answer.clock_ms) << "of another clock";
    for (auto const& it : after.take_calls())
    {
        EXPECT_EQ(it, plain_hold);
    }
    EXPECT_EQ(
        order(where, state::run_order_kind::start, current).result,
        state::order_result::accepted);
}

// Guards against calls for the former process of a worker that the next one
// carries out as its start time is the same, and only its clock differs.
TEST_F(
    worker_call, a_process_with_the_same_start_and_another_clock_gets_no_call)
{
    for (auto const clock_ms : {std::int64_t{500'000}, std::int64_t{5}})
    {
        auto worker = fake_worker{loop, any_port(), former, clock_ms};
        // A connection that has served a call to any process, and a new one.
        for (auto i = 0; i < 2; ++i)
        {
            EXPECT_EQ(
                order(worker.local(), state::run_order_kind::start, former)
                    .result,
                state::order_result::other_process);
            ASSERT_EQ(hold(worker.local(), {}).lists->clock_ms, clock_ms);
        }
        for (auto const& it : worker.take_calls())
        {
            EXPECT_EQ(it, plain_hold);
        }
    }
}

// Guards against a query before each call, where one for each connection tells
// the process.
TEST_F(worker_call, a_connection_is_identified_once)
{
    auto worker = fake_worker{loop, any_port(), current};
    for (auto i = 0; i < 5; ++i)
    {
        ASSERT_EQ(
            order(worker.local(), state::run_order_kind::start, current).result,
            state::order_result::accepted);
    }
    EXPECT_EQ(worker.take_calls().size(), 6U);
    ASSERT_TRUE(hold(worker.local(), {}).lists);
    ASSERT_TRUE(hold(worker.local(), current).lists);
    EXPECT_EQ(worker.take_calls().size(), 2U);
}

// Guards against an order that counts as possibly carried out although only the
// query was sent.
TEST_F(worker_call, an_order_behind_an_unanswered_query_was_not_sent)
{
    auto const listener = raw_listener{};
    auto const answer =
        order(listener.local(), state::run_order_kind::start, current);
    EXPECT_EQ(answer.result, state::order_result::not_sent);
    auto const silent = listener.accept();
    auto received = std::string{};
    ASSERT_TRUE(silent.read_until("}", received));
    EXPECT_EQ(received.find("run-start"), std::string::npos);
}

// Guards against an owner that goes on although a worker obeys a later one, and
// against a wrong worker that passes for a restarted one.
TEST_F(worker_call, a_refused_query_tells_why)
{
    auto status = std::atomic<int>{409};
    auto const server = serve(
        [&status](auto const&, auto reply)
        {
            auto response = transport::http_response{};
            response.status = status;
            response.body = R"({"clock-ms":5,"reason":"fence"})";
            reply(std::move(response));
        });
    auto const start = state::run_order_kind::start;
    EXPECT_EQ(
        order(server.local(), start, current).result,
        state::order_result::fenced);
    status = 421;
    EXPECT_EQ(
        order(server.local(), start, current).result,
        state::order_result::other_worker);
    status = 503;
    EXPECT_EQ(
        order(server.local(), start, current).result,
        state::order_result::unhealthy);
}
