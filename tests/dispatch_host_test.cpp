/** @file dispatch_host_test.cpp Tests of what a new owner reads. */
#include "coordination/coordination.hpp"
#include "standins/support/memory_store_base.hpp"
#include "tests/support/dispatch_world_base.hpp"
#include "tests/support/job_owner_base.hpp"
#include "tests/support/transport_fixture_base.hpp"

#include <gtest/gtest.h>

#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

namespace coordination = godwitcleat::coordination;
namespace core = godwitcleat::core;
namespace protocol = godwitcleat::protocol;
namespace standins = godwitcleat::standins;
namespace state = godwitcleat::state;
namespace tests = godwitcleat::tests;
namespace transport = godwitcleat::transport;

namespace
{

constexpr auto prefix = "godwitcleat/00/";

/** Ranges of jobs and their progress are read at once; the answers are held. */
class holding_store : public tests::forwarding_store
{
public:
    using forwarding_store::forwarding_store;
    using forwarding_store::range;
    auto range(
        coordination::store_query query,
        handler<coordination::store_range> on_done) -> void override
    {
        auto const is_job_read =
            query.key.starts_with(std::string{prefix} + "job/") ||
            query.key.starts_with(std::string{prefix} + "progress/");
        target_.range(
            std::move(query),
            [this, is_job_read, on_done = std::move(on_done)](auto answer)
            {
                if (!is_job_read)
                {
                    return on_done(std::move(answer));
                }
                auto const lock = std::scoped_lock{mutex_};
                held_.emplace_back([answer = std::move(answer), on_done]
                                   { on_done(answer); });
            });
    }

    /** Passes the newest or the oldest held answer on; false if there is none.
     */
    auto release(bool newest) -> bool
    {
        auto answer = std::function<void()>{};
        {
            auto const lock = std::scoped_lock{mutex_};
            if (held_.empty())
            {
                return false;
            }
            answer = newest ? held_.back() : held_.front();
            newest ? held_.pop_back() : held_.pop_front();
        }
        answer();
        return true;
    }

    auto held() -> std::size_t
    {
        auto const lock = std::scoped_lock{mutex_};
        return held_.size();
    }

private:
    std::mutex mutex_;
    std::deque<std::function<void()>> held_;
};

struct owner_fixture : testing::Test
{
    ~owner_fixture() override
    {
        loop.stop();
    }

    auto put(std::string const& key, std::string value) -> void
    {
        memory.commit(
            {{}, {{prefix + key, std::move(value), "", {}}}}, [](auto) {});
    }

    auto put_job(std::string const& id) -> void
    {
        auto record = state::plan_record{};
        record.plan = tests::make_plan(id, 1, 1000);
        put("job/" + id, protocol::encode(record));
    }

    auto has_job(std::string const& id) -> bool
    {
        auto call = protocol::job_call{};
        call.kind = protocol::job_call_kind::phase;
        call.job = core::job_id{id};
        auto found = false;
        host.call(
            std::move(call), [&](auto const& answer)
            { found = answer.error == core::error_kind::none; });
        return found;
    }

    core::metrics metrics;
    transport::reactor loop{1};
    standins::memory_store memory{core::suspend_aware_clock()};
    holding_store store{memory};
    coordination::dispatch_host host =
        tests::host_without_workers(store, loop, metrics, "a");
};

} // namespace

// Guards against an owner of a second term that takes answers to the reads of
// its first one for its own.
TEST_F(owner_fixture, late_answers_of_a_former_term_are_not_taken)
{
    host.start();
    ASSERT_TRUE(tests::eventually([this] { return store.held() > 0; }));
    auto const of_first_term = store.held();
    // Another owner takes the jobs, accepts one and is gone.
    auto const term = memory.peek(std::string{prefix} + "term");
    ASSERT_TRUE(term);
    put_job("0000000000000001");
    put("term", "2.1");
    memory.commit(
        {{}, {{std::string{prefix} + "live/owner", std::nullopt, "", {}}}},
        [](auto) {});
    memory.expire(coordination::store_lease{1});
    ASSERT_TRUE(
        tests::eventually([&] { return store.held() > of_first_term; }));
    store.release(true);
    store.release(false);
    ASSERT_TRUE(tests::eventually(
        [this]
        {
            while (store.release(true))
            {
            }
            return host.is_active();
        }));
    EXPECT_TRUE(has_job("0000000000000001"));
}

// Guards against a call whose caller was told by a later owner that it did not
// run, and which arrives there once more and runs.
TEST_F(owner_fixture, a_call_for_another_term_is_not_taken)
{
    host.start();
    ASSERT_TRUE(tests::eventually(
        [this]
        {
            while (store.release(true))
            {
            }
            return host.is_active();
        }));
    auto call = protocol::job_call{};
    call.kind = protocol::job_call_kind::submit;
    call.job = core::job_id{"0000000000000002"};
    call.plan = tests::make_plan(call.job.value, 1, 1000);
    call.term = core::epoch{host.owner()->term.value + 1};
    auto refusal = std::optional<protocol::job_answer>{};
    host.call(call, [&](auto const& answer) { refusal = answer; });
    ASSERT_TRUE(refusal);
    EXPECT_EQ(refusal->error, core::error_kind::not_owner);
    EXPECT_EQ(refusal->term, host.owner()->term);
}
