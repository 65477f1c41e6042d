/** @file job_loader_test.cpp Tests of what a new owner reads. */
#include "coordination/coordination.hpp"
#include "standins/support/memory_store_base.hpp"
#include "tests/support/dispatch_world_base.hpp"
#include "tests/support/transport_fixture_base.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <future>
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
using namespace std::chrono_literals;

namespace
{

constexpr auto prefix = "godwitcleat/00/";

auto size_of(coordination::store_range const& answer) -> std::int64_t
{
    auto result = std::int64_t{0};
    for (auto const& it : answer.entries)
    {
        result += std::ssize(it.value);
    }
    return result;
}

/** Ranges are carried out at once; their answers take a link one after the
 *  other, or are held. */
class slow_store : public coordination::store
{
public:
    slow_store(coordination::store& target, transport::reactor& loop)
        : target_(target)
        , loop_(loop)
    {
    }

    using store::range;
    auto range(
        coordination::store_query query,
        handler<coordination::store_range> on_done) -> void override
    {
        auto const is_job_read =
            query.key.starts_with(std::string{prefix} + "job/") ||
            query.key.starts_with(std::string{prefix} + "progress/");
        target_.range(
            std::move(query),
            [&](auto answer)
            {
                if (!is_job_read || !answer)
                {
                    return on_done(std::move(answer));
                }
                if (after_job_read)
                {
                    after_job_read();
                }
                pass_on(std::move(*answer), std::move(on_done));
            });
    }

    auto commit(
        coordination::store_transaction transaction,
        handler<coordination::store_commit> on_done) -> void override
    {
        target_.commit(std::move(transaction), std::move(on_done));
    }

    auto grant(
        core::duration time_to_live, handler<coordination::store_lease> on_done)
        -> void override
    {
        target_.grant(time_to_live, std::move(on_done));
    }

    auto keep_alive(
        coordination::store_lease lease,
        handler<coordination::store_lease> on_done) -> void override
    {
        target_.keep_alive(lease, std::move(on_done));
    }

    auto revoke(
        coordination::store_lease lease,
        handler<coordination::store_lease> on_done) -> void override
    {
        target_.revoke(lease, std::move(on_done));
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

    core::duration time_per_byte{};
    core::duration timeout = 100ms;
    std::atomic<bool> holds = false;
    std::function<void()> after_job_read;

private:
    auto pass_on(
        coordination::store_range answer,
        handler<coordination::store_range> on_done) -> void
    {
        auto const lock = std::scoped_lock{mutex_};
        if (holds)
        {
            held_.emplace_back(
                [answer = std::move(answer), on_done = std::move(on_done)]
                { on_done(answer); });
            return;
        }
        // What is given up has begun to take the link all the same.
        auto const now = core::suspend_aware_clock()();
        auto const begins = std::max(free_at_, now);
        auto const due = begins + time_per_byte * size_of(answer);
        auto const in_time = due <= now + timeout;
        free_at_ = in_time ? due : std::max(begins, now + timeout);
        timers_.push_back(loop_.after(
            (in_time ? due : now + timeout) - now,
            [in_time, answer = std::move(answer), on_done = std::move(on_done)]
            {
                if (in_time)
                {
                    return on_done(answer);
                }
                core::fail(core::error_kind::unavailable, "no answer in time");
                on_done(std::nullopt);
            }));
    }

    coordination::store& target_;
    transport::reactor& loop_;
    std::mutex mutex_;
    core::time_point free_at_;
    std::deque<std::function<void()>> held_;
    std::deque<transport::timer_handle> timers_;
};

struct loader_fixture : testing::Test
{
    ~loader_fixture() override
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
        record.plan.command = std::string(1000, 'x');
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

    auto become_owner() -> bool
    {
        host.start();
        return tests::eventually([this] { return host.is_active(); });
    }

    core::metrics metrics;
    transport::reactor loop{1};
    standins::memory_store memory{core::suspend_aware_clock()};
    slow_store store{memory, loop};
    coordination::dispatch_host host{
        {store,
         loop,
         core::suspend_aware_clock(),
         core::null_logger(),
         metrics,
         {[](auto const&, auto const&) {},
          [](auto const&, auto const&) {
          }},
         [](bool) {},
         []
         {
             return core::time_point{};
         }},
        {core::instance_id{"a"}, "boot-a", "127.0.0.1:1", {}, 0},
        {}};
};

} // namespace

// Guards against an owner that never answers calls because all jobs together
// take its link for longer than a call of the store may.
TEST_F(loader_fixture, an_owner_with_a_slow_link_loads_many_jobs)
{
    for (auto i = 0; i < 64; ++i)
    {
        put_job(fmt::format("{:x}{:015x}", i % 16, i));
    }
    store.time_per_byte = 5us;
    ASSERT_TRUE(become_owner());
    for (auto i = 0; i < 64; ++i)
    {
        EXPECT_TRUE(has_job(fmt::format("{:x}{:015x}", i % 16, i)));
    }
}

TEST_F(loader_fixture, jobs_with_the_same_first_digits_are_loaded_in_parts)
{
    for (auto i = 0; i < 64; ++i)
    {
        put_job(fmt::format("a{:x}{:014x}", i % 16, i));
    }
    store.time_per_byte = 5us;
    ASSERT_TRUE(become_owner());
    for (auto i = 0; i < 64; ++i)
    {
        EXPECT_TRUE(has_job(fmt::format("a{:x}{:014x}", i % 16, i)));
    }
}

// Guards against parts of two states: an end that is noted in between would be
// missed, and its task run twice.
TEST_F(loader_fixture, a_change_between_two_parts_is_not_missed)
{
    put_job("0000000000000001");
    put("term", "1.0");
    auto changed = false;
    store.after_job_read = [&]
    {
        if (!std::exchange(changed, true))
        {
            put_job("0000000000000002");
            put("term", "1.1");
        }
    };
    auto done = std::promise<state::dispatch_snapshot>{};
    auto loaded = done.get_future();
    auto loader = coordination::job_loader{
        store,
        loop,
        core::null_logger(),
        {},
        [&](auto snapshot)
        {
            done.set_value(std::move(snapshot));
        }};
    loader.start();
    ASSERT_EQ(loaded.wait_for(3s), std::future_status::ready);
    EXPECT_EQ(loaded.get().jobs.size(), 2U);
}

// Guards against an owner of a second term that takes answers to the reads of
// its first one for its own.
TEST_F(loader_fixture, late_answers_of_a_former_term_are_not_taken)
{
    store.holds = true;
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
