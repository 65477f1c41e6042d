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
