/** @file term_test.cpp Tests of the ownership of the jobs. */
#include "coordination/coordination.hpp"
#include "standins/support/memory_store_base.hpp"
#include "tests/support/job_owner_base.hpp"
#include "transport/transport.hpp"

#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace core = godwitcleat::core;
namespace coordination = godwitcleat::coordination;
namespace protocol = godwitcleat::protocol;
namespace standins = godwitcleat::standins;
namespace tests = godwitcleat::tests;
namespace transport = godwitcleat::transport;
using namespace std::chrono_literals;

namespace
{

/** Passes calls on; grants and commits can be held back or lose answers. */
class gated_store : public tests::forwarding_store
{
public:
    using forwarding_store::forwarding_store;
    using forwarding_store::range;
    auto range(
        coordination::store_query query,
        handler<coordination::store_range> on_done) -> void override
    {
        if (fail_watches && !query.range_end.empty())
        {
            core::fail(core::error_kind::unavailable, "the store is cut off");
            return on_done(std::nullopt);
        }
        target_.range(std::move(query), late_answer(std::move(on_done)));
    }

    auto commit(
        coordination::store_transaction transaction,
        handler<coordination::store_commit> on_done) -> void override
    {
        if (lose_commits > 0)
        {
            --lose_commits;
            target_.commit(std::move(transaction), [](auto) {});
            core::fail(core::error_kind::unknown_outcome, "the answer is lost");
            return on_done(std::nullopt);
        }
        if (intercept && intercept(transaction))
        {
            core::fail(core::error_kind::unknown_outcome, "the answer is lost");
            return on_done(std::nullopt);
        }
        if (hold_commits)
        {
            held = [this, transaction, on_done]
            {
                target_.commit(transaction, on_done);
            };
            return;
        }
        if (repeat_commits_late)
        {
            late.push_back(transaction);
        }
        target_.commit(std::move(transaction), late_answer(std::move(on_done)));
    }

    auto grant(
        core::duration time_to_live, handler<coordination::store_lease> on_done)
        -> void override
    {
        if (hold_grants)
        {
            held = [this, time_to_live, on_done]
            {
                target_.grant(time_to_live, on_done);
            };
            return;
        }
        target_.grant(time_to_live, std::move(on_done));
    }

    auto keep_alive(
        coordination::store_lease lease,
        handler<coordination::store_lease> on_done) -> void override
    {
        if (fail_renewals)
        {
            core::fail(core::error_kind::unavailable, "the store is cut off");
            return on_done(std::nullopt);
        }
        if (hold_renewals > 0)
        {
            --hold_renewals;
            held_renewal = [this, lease, on_done]
            {
                target_.keep_alive(lease, on_done);
            };
            has_held_renewal = true;
            return;
        }
        target_.keep_alive(lease, std::move(on_done));
    }

    auto reached_by(std::int64_t revision) const
        -> std::optional<core::time_point> override
    {
        return reached ? reached(revision) : std::nullopt;
    }

    std::atomic<bool> fail_watches = false;
    std::atomic<bool> fail_renewals = false;
    bool hold_commits = false;
    /** Returns true if a commit gets no answer and is not carried out. */
    std::function<bool(coordination::store_transaction const&)> intercept;
    std::function<std::optional<core::time_point>(std::int64_t)> reached;
    bool hold_grants = false;
    bool repeat_commits_late = false;
    int lose_commits = 0;
    std::atomic<int> hold_renewals = 0;
    std::function<void()> held_renewal;
    std::atomic<bool> has_held_renewal = false;
    std::function<void()> held;
    std::vector<coordination::store_transaction> late;
    /** Time from the execution of a range or commit to its answer. */
    std::atomic<std::chrono::milliseconds> answer_delay{};

private:
    template <class Result>
    auto late_answer(handler<Result> on_done) -> handler<Result>
    {
        return [this, on_done = std::move(on_done)](auto answer)
        {
            std::this_thread::sleep_for(answer_delay.load());
            on_done(std::move(answer));
        };
    }
};

/** Waits, when it is destroyed, until the loop's only thread has left the
 *  handler that it is in. */
class end_of_handlers
{
public:
    explicit end_of_handlers(transport::reactor& loop)
        : loop_(loop)
    {
    }

    ~end_of_handlers()
    {
        auto const reached = std::make_shared<std::promise<void>>();
        loop_.post([reached] { reached->set_value(); });
        reached->get_future().wait();
    }

    end_of_handlers(end_of_handlers const&) = delete;
    auto operator=(end_of_handlers const&) -> end_of_handlers& = delete;

private:
    transport::reactor& loop_;
};

struct keeper
{
    keeper(
        coordination::store& target, transport::reactor& loop,
        std::string const& name, std::uint32_t cpu_milli = 0)
        : store(target)
        , handlers(loop)
        , term(
              store, loop, core::suspend_aware_clock(), core::null_logger(),
              "p/",
              {core::instance_id{name},
               name + "-boot",
               "127.0.0.1:1",
               {},
               cpu_milli},
              {},
              {[this](core::epoch number, auto by)
               {
                   dated = by.has_value();
                   last_write_by = by.value_or(core::time_point{});
                   acquired = number.value;
               },
               [this](std::string_view)
               {
                   acquired = 0;
               }})
    {
    }

    gated_store store;
    std::atomic<std::uint64_t> acquired = 0;
    std::atomic<bool> dated = false;
    std::atomic<core::time_point> last_write_by = core::time_point{};
    /** A handler that has begun uses the members above after the end of the
     *  term, as a daemon's handlers do until its loop stops. */
    end_of_handlers handlers;
    coordination::term_keeper term;
};

// Waits up to 3 s, the time that other tests allow for handlers.
auto eventually(std::function<bool()> const& condition) -> bool
{
    for (auto i = 0; i < 300 && !condition(); ++i)
    {
        std::this_thread::sleep_for(10ms);
    }
    return condition();
}

struct term_fixture : testing::Test
{
    ~term_fixture() override
    {
        loop.stop();
    }

    auto write(keeper& it, std::string key, std::string value)
        -> std::future<coordination::write_result>
    {
        auto done =
            std::make_shared<std::promise<coordination::write_result>>();
        it.term.write(
            {{std::move(key), std::move(value), "", {}}},
            [done](auto result) { done->set_value(result); });
        return done->get_future();
    }

    standins::memory_store store{core::suspend_aware_clock()};
    transport::reactor loop{1};
};

} // namespace

// Guards against an instance that takes the jobs from one that has just begun
// its term: the owner key was read again between the lease and the write.
TEST_F(term_fixture, a_late_candidate_does_not_take_a_new_owner_s_jobs)
{
    auto first = keeper{store, loop, "first"};
    auto second = keeper{store, loop, "second"};
    second.store.hold_grants = true;
    second.term.start();
    ASSERT_TRUE(eventually([&] { return second.store.held != nullptr; }));
    first.term.start();
    ASSERT_TRUE(eventually([&] { return first.acquired.load() == 1; }));
    ASSERT_TRUE(eventually([&] { return second.term.owner().has_value(); }));
    loop.post(second.store.held);
    std::this_thread::sleep_for(500ms);
    EXPECT_TRUE(first.term.is_valid());
    EXPECT_FALSE(second.term.is_valid());
    EXPECT_EQ(second.acquired.load(), 0U);
}

// Guards against a write whose lost answer leads to a second one, or to none.
TEST_F(term_fixture, a_write_with_a_lost_answer_is_stored_once)
{
    auto it = keeper{store, loop, "first"};
    it.term.start();
    ASSERT_TRUE(eventually([&] { return it.acquired.load() == 1; }));
    it.store.lose_commits = 2;
    auto result = write(it, "a", "1");
    ASSERT_EQ(result.wait_for(3s), std::future_status::ready);
    EXPECT_EQ(result.get(), coordination::write_result::stored);
    auto next = write(it, "a", "2");
    ASSERT_EQ(next.wait_for(3s), std::future_status::ready);
    EXPECT_EQ(next.get(), coordination::write_result::stored);
    EXPECT_EQ(store.peek("a")->value, "2");
}

// Guards against a late write of the store that undoes a newer one.
TEST_F(term_fixture, a_write_that_is_carried_out_late_has_no_effect)
{
    auto it = keeper{store, loop, "first"};
    it.term.start();
    ASSERT_TRUE(eventually([&] { return it.acquired.load() == 1; }));
    it.store.repeat_commits_late = true;
    write(it, "a", "old").get();
    it.store.repeat_commits_late = false;
    write(it, "a", "new").get();
    for (auto const& late : it.store.late)
    {
        store.commit(late, [](auto) {});
    }
    EXPECT_EQ(store.peek("a")->value, "new");
}

// Guards against a former owner that stores after a later term has begun.
TEST_F(term_fixture, a_former_owner_s_write_is_refused)
{
    auto first = keeper{store, loop, "first"};
    auto second = keeper{store, loop, "second"};
    first.term.start();
    ASSERT_TRUE(eventually([&] { return first.acquired.load() == 1; }));
    // The store drops the first owner's lease; its holder does not know.
    store.expire(coordination::store_lease{1});
    second.term.start();
    ASSERT_TRUE(eventually([&] { return second.acquired.load() == 2; }));
    auto result = write(first, "a", "late");
    ASSERT_EQ(result.wait_for(3s), std::future_status::ready);
    EXPECT_EQ(result.get(), coordination::write_result::lost);
    EXPECT_FALSE(store.peek("a"));
    EXPECT_FALSE(first.term.is_valid());
}

// The later owner has left, and the former one has a write without an answer.
TEST_F(term_fixture, an_open_write_does_not_bring_an_older_term_back)
{
    auto first = keeper{store, loop, "first"};
    auto second = keeper{store, loop, "second"};
    first.term.start();
    ASSERT_TRUE(eventually([&] { return first.acquired.load() == 1; }));
    first.store.hold_commits = true;
    auto result = write(first, "a", "1");
    first.store.hold_commits = false;
    first.store.fail_watches = true;
    first.store.fail_renewals = true;
    store.expire(coordination::store_lease{1});
    second.term.start();
    ASSERT_TRUE(eventually([&] { return second.acquired.load() == 2; }));
    second.term.leave([] {});
    ASSERT_TRUE(eventually([&] { return !first.term.is_valid(); }));
    first.store.fail_renewals = false;
    EXPECT_TRUE(eventually([&] { return first.acquired.load() == 0; }));
    EXPECT_FALSE(first.term.is_valid());
    EXPECT_FALSE(store.peek("p/live/owner"));
    loop.post(first.store.held);
    ASSERT_EQ(result.wait_for(3s), std::future_status::ready);
    EXPECT_EQ(result.get(), coordination::write_result::lost);
}

// Guards against two owners: one that renews another lease than that of the
// owner key, and the next one, which finds no owner key.
TEST_F(term_fixture, a_take_over_that_is_carried_out_late_leaves_one_owner)
{
    auto first = keeper{store, loop, "first"};
    auto second = keeper{store, loop, "second"};
    auto late = coordination::store_transaction{};
    auto n = 0;
    first.store.intercept = [&](auto const& it)
    {
        if (it.writes.front().key != "p/live/owner" || ++n > 2)
        {
            return false;
        }
        if (n == 1)
        {
            late = it;
        }
        else
        {
            store.commit(late, [](auto) {});
        }
        return true;
    };
    first.term.start();
    ASSERT_TRUE(eventually([&] { return first.acquired.load() == 1; }));
    first.store.fail_watches = true;
    store.expire(late.writes.front().lease);
    second.term.start();
    for (auto i = 0; i < 100 && second.acquired == 0; ++i)
    {
        std::this_thread::sleep_for(10ms);
    }
    EXPECT_FALSE(first.term.is_valid() && second.term.is_valid());
    EXPECT_TRUE(store.peek("p/live/owner").has_value());
}

TEST_F(term_fixture, a_term_goes_on_after_its_lease_beside_an_open_write)
{
    auto it = keeper{store, loop, "first"};
    it.term.start();
    ASSERT_TRUE(eventually([&] { return it.acquired.load() == 1; }));
    it.store.hold_commits = true;
    auto result = write(it, "a", "1");
    it.store.hold_commits = false;
    store.expire(coordination::store_lease{1});
    ASSERT_TRUE(
        eventually([&] { return store.peek("p/live/owner").has_value(); }));
    loop.post(it.store.held);
    ASSERT_EQ(result.wait_for(3s), std::future_status::ready);
    EXPECT_EQ(result.get(), coordination::write_result::stored);
    EXPECT_TRUE(it.term.is_valid());
    EXPECT_EQ(it.acquired.load(), 1U);
}

// Guards against a restored owner key under a lease that nobody knows.
TEST_F(term_fixture, a_restored_key_with_a_lost_answer_keeps_the_term)
{
    auto it = keeper{store, loop, "first"};
    it.term.start();
    ASSERT_TRUE(eventually([&] { return it.acquired.load() == 1; }));
    it.store.lose_commits = 1;
    store.expire(coordination::store_lease{1});
    ASSERT_TRUE(eventually([&] { return !it.term.is_valid(); }));
    EXPECT_TRUE(eventually([&] { return it.term.is_valid(); }));
    EXPECT_EQ(it.acquired.load(), 1U);
}

// Guards against an owner that gives up because its former lease has lapsed.
TEST_F(term_fixture, a_late_answer_for_the_former_lease_is_ignored)
{
    auto it = keeper{store, loop, "first"};
    it.term.start();
    ASSERT_TRUE(eventually([&] { return it.acquired.load() == 1; }));
    it.store.hold_renewals = 1;
    ASSERT_TRUE(eventually([&] { return it.store.has_held_renewal.load(); }));
    store.expire(coordination::store_lease{1});
    ASSERT_TRUE(
        eventually([&] { return store.peek("p/live/owner").has_value(); }));
    ASSERT_TRUE(eventually([&] { return it.term.is_valid(); }));
    ASSERT_EQ(it.acquired.load(), 1U);
    loop.post(it.store.held_renewal);
    std::this_thread::sleep_for(200ms);
    EXPECT_EQ(it.acquired.load(), 1U);
    EXPECT_TRUE(it.term.is_valid());
}

// Guards against an owner key that keeps others from the jobs after its owner
// has left.
TEST_F(term_fixture, a_key_restored_after_leaving_is_given_up)
{
    auto it = keeper{store, loop, "first"};
    it.term.start();
    ASSERT_TRUE(eventually([&] { return it.acquired.load() == 1; }));
    it.store.hold_commits = true;
    store.expire(coordination::store_lease{1});
    ASSERT_TRUE(eventually([&] { return it.store.held != nullptr; }));
    auto const restore = it.store.held;
    it.store.hold_commits = false;
    it.term.leave([] {});
    loop.post(restore);
    std::this_thread::sleep_for(500ms);
    EXPECT_FALSE(store.peek("p/live/owner").has_value());
}

// Guards against an owner that never gets its lease back, as each of its writes
// moves the revision on which the owner key depends.
TEST_F(term_fixture, an_owner_with_steady_writes_gets_its_lease_back)
{
    auto it = keeper{store, loop, "first"};
    it.term.start();
    ASSERT_TRUE(eventually([&] { return it.acquired.load() == 1; }));
    it.store.answer_delay = 20ms;
    auto stopped = std::atomic<bool>{false};
    auto stored = std::atomic<int>{0};
    auto writer = std::thread{
        [&]
        {
            while (!stopped)
            {
                auto const result = write(it, "a", "1").get();
                stored += result == coordination::write_result::stored ? 1 : 0;
            }
        }};
    store.expire(coordination::store_lease{1});
    EXPECT_TRUE(
        eventually([&] { return store.peek("p/live/owner").has_value(); }));
    EXPECT_TRUE(eventually([&] { return it.term.is_valid(); }));
    auto const before = stored.load();
    EXPECT_TRUE(eventually([&] { return stored > before; }));
    stopped = true;
    writer.join();
    EXPECT_EQ(it.acquired.load(), 1U);
}

// Guards against an instance that stops while its view of the others arrives.
TEST_F(term_fixture, a_destroyed_keeper_takes_no_view)
{
    auto gated = gated_store{store};
    auto arrives = std::promise<void>{};
    auto destroyed = std::promise<void>{};
    auto const log = core::logger{
        [&](std::string_view line)
        {
            if (line.find("Store answers again.") != std::string_view::npos)
            {
                arrives.set_value();
                destroyed.get_future().wait_for(3s);
            }
        },
        core::log_level::info};
    gated.fail_watches = true;
    {
        auto const term = std::make_unique<coordination::term_keeper>(
            gated, loop, core::suspend_aware_clock(), log, "p/",
            protocol::owner_record{
                core::instance_id{"first"}, "first-boot", "127.0.0.1:1", {}, 0},
            coordination::term_settings{}, coordination::term_hooks{});
        term->start();
        gated.fail_watches = false;
        ASSERT_EQ(arrives.get_future().wait_for(3s), std::future_status::ready);
    }
    destroyed.set_value();
    std::this_thread::sleep_for(100ms);
    EXPECT_FALSE(store.peek("p/live/owner"));
}

// Guards against a new owner that waits for the leases of workers longer than
// the former owner can have granted them.
TEST_F(term_fixture, a_new_owner_is_told_when_the_former_one_last_wrote)
{
    auto const clock = core::suspend_aware_clock();
    auto const began = clock();
    auto second = keeper{store, loop, "second"};
    {
        auto first = keeper{store, loop, "first"};
        first.term.start();
        ASSERT_TRUE(eventually([&] { return first.acquired.load() == 1; }));
        ASSERT_EQ(
            write(first, "a", "1").get(), coordination::write_result::stored);
        first.term.leave([] {});
    }
    auto const last = store.peek("p/term")->modify_revision;
    second.store.reached = [&](std::int64_t revision)
    {
        return revision == last ? std::optional{began} : std::nullopt;
    };
    second.term.start();
    ASSERT_TRUE(eventually([&] { return second.acquired.load() == 2; }));
    EXPECT_TRUE(second.dated);
    EXPECT_EQ(second.last_write_by.load(), began);
}

// Guards against a short wait for the leases of an owner of an earlier release,
// which grants them without writing, or to any process of a worker.
TEST_F(term_fixture, a_former_owner_without_the_lease_limit_gives_no_date)
{
    constexpr auto limits =
        std::array{"", "1.8400", "1.9000.2", "0.8400.2", "1.8400.1", "x"};
    for (auto const* const limit : limits)
    {
        auto fresh = standins::memory_store{core::suspend_aware_clock()};
        auto second = keeper{fresh, loop, "second"};
        {
            auto first = keeper{fresh, loop, "first"};
            first.term.start();
            ASSERT_TRUE(eventually([&] { return first.acquired.load() == 1; }));
            first.term.leave([] {});
        }
        ASSERT_EQ(fresh.peek("p/lease-limit")->value, "1.8400.2");
        fresh.commit({{}, {{"p/lease-limit", limit, "", {}}}}, [](auto) {});
        second.term.start();
        ASSERT_TRUE(eventually([&] { return second.acquired.load() == 2; }));
        EXPECT_FALSE(second.dated) << limit;
        EXPECT_EQ(fresh.peek("p/lease-limit")->value, "2.8400.2");
    }
}

// Guards against a wait that ends early because nothing tells when the former
// owner has written: no answer has shown the revision, or there is no term key.
TEST_F(term_fixture, a_last_write_that_cannot_be_dated_counts_as_just_done)
{
    auto const clock = core::suspend_aware_clock();
    auto const began = clock();
    auto it = keeper{store, loop, "first"};
    it.store.reached = [&](std::int64_t revision)
    {
        return revision == 0 ? std::optional{began} : std::nullopt;
    };
    std::this_thread::sleep_for(20ms);
    it.term.start();
    ASSERT_TRUE(eventually([&] { return it.acquired.load() == 1; }));
    EXPECT_FALSE(it.dated);
    it.term.leave([] {});
    auto next = keeper{store, loop, "second"};
    auto const restarted = clock();
    next.term.start();
    ASSERT_TRUE(eventually([&] { return next.acquired.load() == 2; }));
    EXPECT_TRUE(next.dated);
    EXPECT_GE(next.last_write_by.load(), restarted);
}

// Guards against leases that outlast those which the next owner expects: a
// write whose answers are lost may have been carried out when it was first
// sent.
TEST_F(term_fixture, the_last_write_counts_from_its_first_sending)
{
    auto const clock = core::suspend_aware_clock();
    auto it = keeper{store, loop, "first"};
    it.term.start();
    ASSERT_TRUE(eventually([&] { return it.acquired.load() == 1; }));
    auto const taken = it.term.last_write_at();
    EXPECT_LE(taken, clock());
    it.store.lose_commits = 3;
    auto const before = clock();
    auto result = write(it, "a", "1");
    auto const after = clock();
    EXPECT_EQ(it.term.last_write_at(), taken);
    ASSERT_EQ(result.wait_for(3s), std::future_status::ready);
    EXPECT_EQ(result.get(), coordination::write_result::stored);
    EXPECT_GE(it.term.last_write_at(), before);
    EXPECT_LE(it.term.last_write_at(), after);
}

// Guards against a stop that leaves the jobs without owner until the lease
// lapses.
TEST_F(term_fixture, a_leaving_owner_hands_over_at_once)
{
    auto first = keeper{store, loop, "first"};
    auto second = keeper{store, loop, "second"};
    first.term.start();
    ASSERT_TRUE(eventually([&] { return first.acquired.load() == 1; }));
    second.term.start();
    first.term.leave([] {});
    EXPECT_TRUE(eventually([&] { return second.acquired.load() == 2; }));
    std::this_thread::sleep_for(300ms);
    EXPECT_FALSE(first.term.is_valid());
}

// Guards against a restarted instance that waits for its own former lease.
TEST_F(term_fixture, a_restarted_instance_takes_its_own_jobs_at_once)
{
    {
        auto killed = keeper{store, loop, "first"};
        killed.term.start();
        ASSERT_TRUE(eventually([&] { return killed.acquired.load() == 1; }));
    }
    auto acquired = std::atomic<std::uint64_t>{0};
    auto const handlers = end_of_handlers{loop};
    auto again = coordination::term_keeper{
        store,
        loop,
        core::suspend_aware_clock(),
        core::null_logger(),
        "p/",
        {core::instance_id{"first"}, "another-boot", "127.0.0.1:1", {}, 0},
        {},
        {[&](core::epoch number, auto) { acquired = number.value; },
         [](std::string_view) {
         }}};
    again.start();
    for (auto i = 0; i < 100 && acquired == 0; ++i)
    {
        std::this_thread::sleep_for(10ms);
    }
    EXPECT_EQ(acquired, 2U); // Within 1 s; the lease lasts 3 s.
}

// Guards against jobs that are owned by an instance too small to reach the
// workers in time, because it was the first to see that the owner was gone.
TEST_F(term_fixture, a_weaker_instance_leaves_a_free_ownership_to_others)
{
    auto weak = keeper{store, loop, "weak", 69};
    auto strong = keeper{store, loop, "strong", 500};
    auto owner = keeper{store, loop, "owner", 500};
    owner.term.start();
    ASSERT_TRUE(eventually([&] { return owner.acquired.load() == 1; }));
    weak.term.start();
    ASSERT_TRUE(eventually([&] { return !weak.term.members().empty(); }));
    strong.term.start();
    ASSERT_TRUE(eventually([&] { return strong.term.owner().has_value(); }));
    owner.term.leave([] {});
    EXPECT_TRUE(eventually([&] { return strong.acquired.load() == 2; }));
    EXPECT_EQ(weak.acquired.load(), 0U);
}

// Guards against jobs without owner while the stronger instances are away.
TEST_F(term_fixture, a_weaker_instance_owns_the_jobs_if_nobody_else_does)
{
    auto weak = keeper{store, loop, "weak", 69};
    {
        auto owner = keeper{store, loop, "owner", 500};
        owner.term.start();
        ASSERT_TRUE(eventually([&] { return owner.acquired.load() == 1; }));
        weak.term.start();
        ASSERT_TRUE(eventually([&] { return weak.term.owner().has_value(); }));
    }
    // The killed owner's lease has to lapse first.
    EXPECT_TRUE(
        eventually([&] { return weak.acquired.load() == 2; }) ||
        eventually([&] { return weak.acquired.load() == 2; }));
}

// Guards against a weak owner that keeps the jobs once a stronger instance is
// back, and against one that two candidates make give them up twice.
TEST_F(term_fixture, a_weaker_owner_hands_the_jobs_to_a_stronger_instance)
{
    auto weak = keeper{store, loop, "weak", 69};
    weak.term.start();
    ASSERT_TRUE(eventually([&] { return weak.acquired.load() == 1; }));
    auto strong = keeper{store, loop, "strong", 500};
    auto another = keeper{store, loop, "another", 500};
    strong.term.start();
    another.term.start();
    ASSERT_TRUE(eventually(
        [&] {
            return strong.acquired.load() == 2 || another.acquired.load() == 2;
        }));
    EXPECT_FALSE(weak.term.is_valid());
    std::this_thread::sleep_for(1500ms);
    EXPECT_TRUE(strong.term.is_valid() || another.term.is_valid());
    EXPECT_FALSE(weak.term.is_valid());
    EXPECT_EQ(strong.acquired.load() + another.acquired.load(), 2U);
}
