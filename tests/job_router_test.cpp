/** @file job_router_test.cpp Tests of the way of calls to the owner. */
#include "coordination/coordination.hpp"
#include "standins/support/memory_store_base.hpp"
#include "tests/support/dispatch_world_base.hpp"
#include "tests/support/job_owner_base.hpp"
#include "tests/support/transport_fixture_base.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <future>
#include <optional>
#include <string>
#include <utility>

namespace coordination = godwitcleat::coordination;
namespace core = godwitcleat::core;
namespace protocol = godwitcleat::protocol;
namespace standins = godwitcleat::standins;
namespace tests = godwitcleat::tests;
namespace transport = godwitcleat::transport;
using namespace std::chrono_literals;

namespace
{

/** A store with an owner of the jobs and another instance. */
struct router_fixture : testing::Test
{
    ~router_fixture() override
    {
        loop.stop();
    }

    /** The one owns the jobs, and the other knows it. */
    auto start() -> void
    {
        owner.start();
        ASSERT_TRUE(tests::eventually([this] { return owner.is_active(); }));
        other.start();
        ASSERT_TRUE(
            tests::eventually([this] { return other.owner().has_value(); }));
    }

    /** Returns the router of the other instance. */
    auto router_of(coordination::frame_call call_peer)
        -> coordination::job_router
    {
        return {
            other,
            std::move(call_peer),
            loop,
            core::suspend_aware_clock(),
            core::null_logger(),
            {}};
    }

    static auto submit_of(std::string const& id) -> protocol::job_call
    {
        auto call = protocol::job_call{};
        call.kind = protocol::job_call_kind::submit;
        call.job = core::job_id{id};
        call.plan = tests::make_plan(id, 1, 1000);
        return call;
    }

    static auto answer_of(
        coordination::job_router& router, protocol::job_call call,
        std::chrono::milliseconds budget) -> core::error_kind
    {
        auto done = std::promise<core::error_kind>{};
        auto answered = done.get_future();
        router.route(
            std::move(call), budget,
            [&done](auto const& answer) { done.set_value(answer.error); });
        return answered.wait_for(tests::patience) == std::future_status::ready
                   ? answered.get()
                   : core::error_kind::timeout;
    }

    core::metrics metrics;
    transport::reactor loop{1};
    standins::memory_store store{core::suspend_aware_clock()};
    coordination::dispatch_host owner =
        tests::host_without_workers(store, loop, metrics, "owner");
    coordination::dispatch_host other =
        tests::host_without_workers(store, loop, metrics, "other");
};

} // namespace

// Guards against a new owner whose link is full of jobs that it cannot accept
// yet, sent again and again, while it has to load its own.
TEST_F(router_fixture, a_job_is_not_sent_again_to_an_owner_that_cannot_take_it)
{
    start();
    auto submits = std::atomic<int>{0};
    auto loads = std::atomic<bool>{true};
    auto router = router_of(
        [&](auto const&, auto const& payload, auto, auto on_done)
        {
            auto const call = protocol::decode<protocol::job_call>(payload);
            submits += call->kind == protocol::job_call_kind::submit ? 1 : 0;
            auto answer = protocol::job_answer{};
            answer.error =
                loads ? core::error_kind::not_owner : core::error_kind::none;
            on_done(protocol::encode(answer));
        });
    auto done = std::promise<core::error_kind>{};
    auto answered = done.get_future();
    auto const wakes = loop.after(400ms, [&] { loads = false; });
    router.route(
        submit_of("00000000000000f5"), 10s,
        [&done](auto const& answer) { done.set_value(answer.error); });
    ASSERT_EQ(answered.wait_for(tests::patience), std::future_status::ready);
    EXPECT_EQ(answered.get(), core::error_kind::none);
    EXPECT_EQ(submits, 2);
}

// Guards against a job that is sent, and runs, after its caller was told that
// it did not.
TEST_F(router_fixture, a_job_is_not_sent_after_its_caller_was_refused)
{
    start();
    auto submits = std::atomic<int>{0};
    auto asked = std::promise<std::function<void()>>{};
    auto router = router_of(
        [&](auto const&, auto const& payload, auto, auto on_done)
        {
            auto const call = protocol::decode<protocol::job_call>(payload);
            if (call->kind == protocol::job_call_kind::submit)
            {
                ++submits;
                core::fail(core::error_kind::unavailable, "not sent");
                return on_done(std::nullopt);
            }
            asked.set_value(
                [on_done]
                {
                    auto answer = protocol::job_answer{};
                    answer.error = core::error_kind::not_found;
                    on_done(protocol::encode(answer));
                });
        });
    auto done = std::promise<core::error_kind>{};
    auto answered = done.get_future();
    router.route(
        submit_of("00000000000000f6"), 400ms,
        [&done](auto const& answer) { done.set_value(answer.error); });
    ASSERT_EQ(answered.wait_for(tests::patience), std::future_status::ready);
    EXPECT_EQ(answered.get(), core::error_kind::unavailable);
    asked.get_future().get()();
    EXPECT_EQ(submits, 1);
}

// Guards against a question that is answered as if it had perhaps run: a
// question changes nothing, and its caller may ask again.
TEST_F(router_fixture, a_question_without_an_answer_is_refused)
{
    start();
    auto router = router_of(
        [](auto const&, auto const&, auto, auto on_done)
        {
            core::fail(core::error_kind::unknown_outcome, "the answer is lost");
            on_done(std::nullopt);
        });
    auto call = protocol::job_call{};
    call.kind = protocol::job_call_kind::phase;
    EXPECT_EQ(
        answer_of(router, std::move(call), 300ms),
        core::error_kind::unavailable);
}

// Guards against a refusal that a caller cannot rely on although only a former
// owner has an unanswered try, and against one that is untrue.
TEST_F(router_fixture, only_a_later_owner_settles_an_unanswered_try)
{
    start();
    for (auto const later : {true, false})
    {
        auto named = core::epoch{};
        auto router = router_of(
            [&](auto const&, auto const& payload, auto, auto on_done)
            {
                auto const call = protocol::decode<protocol::job_call>(payload);
                auto answer = protocol::job_answer{};
                if (call->kind != protocol::job_call_kind::submit)
                {
                    answer.error = core::error_kind::not_found;
                }
                else if (named.value == 0)
                {
                    named = call->term;
                    core::fail(core::error_kind::unknown_outcome, "lost");
                    return on_done(std::nullopt);
                }
                else
                {
                    answer.error = core::error_kind::no_capacity;
                    answer.term = core::epoch{named.value + (later ? 1U : 0U)};
                }
                on_done(protocol::encode(answer));
            });
        EXPECT_EQ(
            answer_of(router, submit_of("00000000000000f7"), 1s),
            later ? core::error_kind::no_capacity
                  : core::error_kind::unknown_outcome);
        EXPECT_EQ(named, other.owner()->term);
    }
}
