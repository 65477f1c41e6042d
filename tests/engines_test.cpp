/** @file engines_test.cpp Tests of the protocol between shard engines. */
#include "tests/support/engine_fixture_base.hpp"

#include <gtest/gtest.h>

namespace core = godwitcleat::core;
using namespace godwitcleat::state;
using namespace godwitcleat::tests;
using namespace std::chrono_literals;

// Guards against a job that can run only on workers of its home shard.
TEST(engines, job_runs_on_another_shard)
{
    auto all = cluster{2};
    auto const name = all.job_id_at(0);
    all.add_worker("w0").connected = false;
    auto& host = all.add_worker("w1");
    all.step();
    all.submit(batch_spec(name));
    all.steps(2);
    ASSERT_TRUE(host.runs(core::job_id{name}));
    EXPECT_EQ(all.find(name).binding->host, core::shard_id{1});
    host.end(core::job_id{name}, task_phase::finished);
    all.steps(3);
    EXPECT_EQ(all.find(name).phase, job_phase::finished);
    EXPECT_TRUE(all.engines[1]->state().data().tasks.empty());
}

// Guards against granting the claim of an outdated or unknown attempt.
TEST(engines, stale_claim_is_void)
{
    auto all = cluster{2};
    auto const name = all.job_id_at(0);
    all.submit(batch_spec(name));
    auto const claim = [&](std::uint64_t number)
    {
        all.deliver(claim_request{
            core::shard_id{0},
            core::shard_id{1},
            {core::job_id{name}, core::attempt_number{number}},
            core::worker_id{"w"}});
    };
    all.tick(0);
    claim(2);
    ASSERT_EQ(all.replies.size(), 1U);
    EXPECT_FALSE(std::get<claim_reply>(*all.replies[0].second).granted);
    claim(1);
    EXPECT_EQ(all.replies.size(), 1U);
    all.commit(0);
    ASSERT_EQ(all.replies.size(), 2U);
    EXPECT_TRUE(std::get<claim_reply>(*all.replies[1].second).granted);
    claim(1);
    EXPECT_EQ(all.replies.size(), 2U);
    all.commit(0);
    ASSERT_EQ(all.replies.size(), 3U);
    EXPECT_TRUE(std::get<claim_reply>(*all.replies[2].second).granted);
}

// Guards against a repeated offer that reserves capacity twice or runs an ended
// task again.
TEST(engines, repeated_offer_changes_nothing)
{
    auto all = cluster{2};
    auto const name = all.job_id_at(0);
    all.add_worker("w0").connected = false;
    auto& host = all.add_worker("w1");
    all.step();
    auto offer = std::optional<shard_request>{};
    all.should_lose_request = [&offer](shard_request const& it)
    {
        offer = std::holds_alternative<offer_request>(it) ? it : offer;
        return false;
    };
    all.submit(batch_spec(name));
    all.step();
    ASSERT_TRUE(offer);
    auto const repeat = [&all, &offer]
    {
        all.deliver(*offer);
        all.settle();
        return all.engines[1]->summary(all.now).largest_free[0].cpu_milli;
    };
    EXPECT_EQ(repeat(), 3000);
    all.steps(2);
    ASSERT_TRUE(host.end(core::job_id{name}, task_phase::finished));
    all.steps(3);
    EXPECT_EQ(repeat(), 4000);
    all.steps(3);
    EXPECT_EQ(host.started.size(), 1U);
}

// Guards against urgent work that cannot evict tasks on another shard.
TEST(engines, host_evicts_for_urgent_work)
{
    auto all = cluster{2};
    auto const name = all.job_id_at(0, "urgent");
    all.add_worker("w0").connected = false;
    auto& host = all.add_worker("w1");
    all.submit(batch_spec(all.job_id_at(1), 3000));
    all.steps(3);
    all.submit(batch_spec(name, 3000, priority_class::urgent));
    all.steps(10);
    EXPECT_TRUE(host.runs(core::job_id{name}));
    EXPECT_EQ(all.find(all.job_id_at(1)).evictions, 1U);
}

// Guards against a replaced owner that acknowledges an outcome without storing
// it, because it does not know that its successor bound the attempt.
TEST(engines, end_of_unseen_attempt_needs_ownership)
{
    auto all = cluster{2};
    auto const name = all.job_id_at(0);
    all.submit(batch_spec(name));
    all.deliver(attempt_ended_request{
        core::shard_id{0},
        core::shard_id{1},
        {core::job_id{name}, core::attempt_number{1}},
        attempt_outcome::finished,
        {},
        0});
    EXPECT_TRUE(all.replies.empty());
    ASSERT_TRUE(all.engines[0]->take_batch(all.now));
    all.engines[0]->batch_rejected(batch_rejection::not_owner);
    ASSERT_EQ(all.replies.size(), 1U);
    EXPECT_FALSE(all.replies[0].second);
}

// Guards against lost replies that make a task get lost or run twice.
TEST(engines, lost_replies_are_repaired)
{
    for (auto kind = std::size_t{0}; kind < 4; ++kind)
    {
        auto all = cluster{2};
        auto const name = all.job_id_at(0);
        auto lost = 0;
        all.should_lose_reply = [&lost, kind](shard_request const& it)
        {
            return it.index() == kind && lost++ < 2;
        };
        all.add_worker("w0").connected = false;
        auto& host = all.add_worker("w1");
        all.step();
        all.submit(batch_spec(name));
        for (auto n = 0; n < 60; ++n)
        {
            all.step();
            host.end(core::job_id{name}, task_phase::finished);
        }
        EXPECT_EQ(all.find(name).phase, job_phase::finished) << kind;
        EXPECT_EQ(host.started.size(), 1U) << kind;
        EXPECT_TRUE(all.engines[1]->state().data().tasks.empty()) << kind;
    }
}

// Guards against a bound attempt that the new owner of the host shard neither
// starts nor declines, and against a start after it was declined.
TEST(engines, replaced_host_declines_for_good)
{
    auto all = cluster{2};
    auto const name = all.job_id_at(0);
    all.add_worker("w0").connected = false;
    auto& host = all.add_worker("w1");
    all.step();
    auto is_lost = true;
    all.should_lose_reply = [&is_lost](shard_request const& it)
    {
        return is_lost && std::holds_alternative<claim_request>(it);
    };
    all.submit(batch_spec(name));
    all.step();
    ASSERT_TRUE(all.find(name).binding);
    all.replace_owner(1);
    all.former_stopped[1] = true;
    is_lost = false;
    all.steps(16);
    EXPECT_TRUE(all.has_event("attempt_declined"));
    ASSERT_TRUE(host.runs(core::job_id{name}));
    EXPECT_EQ(all.find(name).last_attempt, core::attempt_number{2});
    EXPECT_EQ(host.started.size(), 1U);
}
