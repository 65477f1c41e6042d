/** @file ownership_test.cpp Tests of shard ownership against store faults. */
#include "coordination/coordination.hpp"
#include "standins/support/memory_store_base.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace core = godwitcleat::core;
namespace coordination = godwitcleat::coordination;
namespace standins = godwitcleat::standins;
using coordination::ownership_state;
using standins::store_call;
using namespace std::chrono_literals;

namespace
{

constexpr auto shard_count = 8U;

struct cluster
{
    core::manual_clock time;
    standins::memory_store store{time.reader()};
    std::vector<std::unique_ptr<coordination::ownership>> members;
    std::vector<std::vector<coordination::shard_ownership>> changes;

    explicit cluster(std::size_t count)
        : changes(count)
    {
        auto names = std::vector<core::instance_id>{};
        for (std::size_t i = 0; i < count; ++i)
        {
            names.emplace_back("i" + std::to_string(i));
            auto settings = coordination::ownership_settings{};
            settings.shard_count = shard_count;
            members.push_back(std::make_unique<coordination::ownership>(
                store, time.reader(), core::null_logger(), names.back(), "boot",
                settings,
                coordination::ownership_hooks{[this, i](auto const& it)
                                              {
                                                  changes[i].push_back(it);
                                              }}));
        }
        for (auto const& it : members)
        {
            it->set_live(names);
        }
    }

    auto step(std::set<std::size_t> const& paused = {}) -> void
    {
        time.advance(100ms);
        for (std::size_t i = 0; i < members.size(); ++i)
        {
            if (!paused.contains(i))
            {
                members[i]->tick();
            }
        }
    }

    auto run(core::duration length, std::set<std::size_t> const& paused = {})
        -> void
    {
        for (auto i = core::duration{}; i < length; i += 100ms)
        {
            step(paused);
        }
    }

    auto count(std::size_t member, ownership_state state) -> std::size_t
    {
        auto n = std::size_t{0};
        for (auto const& it : members[member]->held())
        {
            n += it.state == state ? 1 : 0;
        }
        return n;
    }

    /** Returns the highest number of members that own one shard now. */
    auto most_owners() -> std::size_t
    {
        auto most = std::size_t{0};
        for (auto shard = 0U; shard < shard_count; ++shard)
        {
            auto n = std::size_t{0};
            for (auto const& it : members)
            {
                auto const state = it->find(core::shard_id{shard}).state;
                n += state == ownership_state::owned ? 1 : 0;
            }
            most = std::max(most, n);
        }
        return most;
    }

    auto has_owner(std::uint32_t shard) -> bool
    {
        return std::any_of(
            members.begin(), members.end(),
            [shard](auto const& it) {
                return it->find(core::shard_id{shard}).state ==
                       ownership_state::owned;
            });
    }

    auto owned_in_total() -> std::size_t
    {
        auto n = std::size_t{0};
        for (std::size_t i = 0; i < members.size(); ++i)
        {
            n += count(i, ownership_state::owned);
        }
        return n;
    }

    auto epoch_of(std::uint32_t shard) -> std::string
    {
        return store.peek(coordination::epoch_key(core::shard_id{shard}))
            ->value;
    }
};

} // namespace

// Guards against shards without an owner, and against a store load that grows
// with the number of shards.
TEST(ownership, takes_all_shards_with_one_lease_and_one_poll)
{
    auto it = cluster{1};
    it.run(10s);
    EXPECT_EQ(it.count(0, ownership_state::owned), shard_count);
    EXPECT_EQ(it.store.calls(store_call::grant), 1U);
    EXPECT_EQ(it.store.calls(store_call::commit), shard_count);
    EXPECT_LE(it.store.calls(store_call::range), 10U);
    EXPECT_LE(it.store.calls(store_call::keep_alive), 5U);
}

// Guards against a shard that nobody works on because the reply to its
// take-over was lost, and against a second epoch for the same take-over.
TEST(ownership, settles_lost_and_late_take_overs)
{
    for (auto const faults :
         {standins::store_faults{.lose_replies = 4},
          standins::store_faults{.lose_requests = 4},
          standins::store_faults{.apply_later = 4}})
    {
        auto it = cluster{1};
        it.members[0]->tick();
        it.store.set_faults(faults);
        it.run(100ms);
        while (it.store.apply_late())
        {
        }
        it.run(3s);
        EXPECT_EQ(it.count(0, ownership_state::owned), shard_count);
        for (auto shard = 0U; shard < shard_count; ++shard)
        {
            EXPECT_EQ(it.epoch_of(shard), "1\ni0 boot");
        }
    }
}

// Guards against a new owner that does not know which process may still renew
// leases of its workers, also after the owner in between has failed.
TEST(ownership, names_all_former_owners)
{
    auto it = cluster{3};
    it.members[1]->set_live({});
    it.run(20s, {1, 2});
    ASSERT_EQ(it.count(0, ownership_state::owned), shard_count);
    it.run(40s, {0, 2});
    ASSERT_EQ(it.count(1, ownership_state::owned), shard_count);
    it.run(40s, {0, 1});
    ASSERT_EQ(it.count(2, ownership_state::owned), shard_count);
    auto const expected = std::vector<coordination::shard_holder>{
        {core::instance_id{"i1"}, "boot"}, {core::instance_id{"i0"}, "boot"}};
    auto taken = std::set<core::shard_id>{};
    for (auto const& change : it.changes[2])
    {
        if (change.state == ownership_state::owned)
        {
            EXPECT_EQ(change.former, expected);
            taken.insert(change.shard);
        }
    }
    EXPECT_EQ(taken.size(), shard_count);
}

// Guards against two owners when both candidates saw the shard without one.
TEST(ownership, one_of_two_racing_candidates_wins)
{
    auto it = cluster{2};
    it.members[0]->set_live({});
    it.members[1]->set_live({});
    it.store.set_faults({.held = true});
    for (auto i = 0; i < 30; ++i)
    {
        it.step();
        while (it.store.step(it.store.pending() / 2))
        {
            EXPECT_LE(it.most_owners(), 1U);
        }
    }
    EXPECT_EQ(it.owned_in_total(), shard_count);
}

// Guards against a paused owner that goes on working after it resumes.
TEST(ownership, paused_owner_loses_its_shards)
{
    auto it = cluster{2};
    it.run(5s);
    auto const mine = it.members[0]->held();
    ASSERT_FALSE(mine.empty());
    it.run(12s, {0});
    EXPECT_EQ(it.count(1, ownership_state::owned), shard_count);
    for (auto const& shard : mine)
    {
        EXPECT_EQ(
            it.members[0]->find(shard.shard).state, ownership_state::lost);
        EXPECT_LT(
            shard.owner_epoch, it.members[1]->find(shard.shard).owner_epoch);
    }
    it.step();
    EXPECT_EQ(it.changes[0].back().state, ownership_state::lost);
}

// Guards against dropping all shards, and with them the renewal of workers'
// leases, because the store is down; and against starting work meanwhile.
TEST(ownership, outage_makes_shards_unconfirmed)
{
    auto it = cluster{1};
    it.run(3s);
    it.store.set_faults({.down = true});
    it.run(5s);
    EXPECT_EQ(it.count(0, ownership_state::unconfirmed), shard_count);
    it.run(60s);
    EXPECT_EQ(it.count(0, ownership_state::unconfirmed), shard_count);
    EXPECT_FALSE(it.members[0]->store_reachable());
    it.store.set_faults({});
    it.run(5s);
    EXPECT_EQ(it.count(0, ownership_state::owned), shard_count);
    EXPECT_EQ(it.epoch_of(0), "2\ni0 boot")
        << "the lease had lapsed in the store";
}

// Guards against a new epoch, and so a recovery, after a short outage.
TEST(ownership, short_outage_keeps_the_epoch)
{
    auto it = cluster{1};
    it.run(3s);
    it.store.set_faults({.down = true});
    it.run(4500ms);
    EXPECT_EQ(it.count(0, ownership_state::unconfirmed), shard_count);
    it.store.set_faults({});
    it.run(2s);
    EXPECT_EQ(it.count(0, ownership_state::owned), shard_count);
    EXPECT_EQ(it.epoch_of(0), "1\ni0 boot");
}

// Guards against a planned stop that leaves shards without an owner until the
// lease lapses.
TEST(ownership, leaving_hands_over_at_once)
{
    auto it = cluster{2};
    it.run(5s);
    ASSERT_GT(it.count(0, ownership_state::owned), 0U);
    it.store.set_faults({.lose_requests = 1});
    auto left = false;
    it.members[0]->leave([&] { left = true; });
    EXPECT_EQ(it.members[0]->held().size(), 0U);
    it.members[1]->set_live({});
    it.run(2500ms);
    EXPECT_TRUE(left);
    EXPECT_EQ(it.count(1, ownership_state::owned), shard_count);
}

// Guards against a restart that redistributes all shards at once, and against
// shards that move back and forth.
TEST(ownership, rebalances_one_shard_at_a_time)
{
    auto it = cluster{2};
    it.run(12s, {1});
    ASSERT_EQ(it.count(0, ownership_state::owned), shard_count);
    for (auto i = 0; i < 100; ++i)
    {
        auto const before = it.count(0, ownership_state::owned);
        it.run(1s);
        EXPECT_LE(before - it.count(0, ownership_state::owned), 1U);
    }
    auto const kept = it.count(0, ownership_state::owned);
    EXPECT_LT(kept, shard_count);
    EXPECT_EQ(it.owned_in_total(), shard_count);
    it.run(30s);
    EXPECT_EQ(it.count(0, ownership_state::owned), kept);
}

// Guards against an owner that ignores its successor, and against a second
// engine under the same epoch.
TEST(ownership, higher_epoch_ends_ownership)
{
    auto it = cluster{1};
    it.run(2s);
    it.members[0]->observe(core::shard_id{0}, core::epoch{1});
    EXPECT_EQ(it.count(0, ownership_state::owned), shard_count);
    it.members[0]->observe(core::shard_id{0}, core::epoch{2});
    EXPECT_EQ(it.count(0, ownership_state::owned), shard_count - 1);
    it.run(3s);
    EXPECT_EQ(it.count(0, ownership_state::owned), shard_count);
    EXPECT_EQ(it.epoch_of(0), "2\ni0 boot");
}

// Guards against two owners at one time under any mix of outages, lost
// replies, late writes, reordered calls and paused processes, and against
// shards that stay without an owner afterwards.
RC_GTEST_PROP(ownership, never_two_owners, ())
{
    auto it = cluster{3};
    auto paused = std::set<std::size_t>{};
    auto const steps =
        *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 100U));
    for (auto const step : steps)
    {
        switch (step % 10)
        {
        case 0: it.store.set_faults({.down = true}); break;
        case 1: it.store.set_faults({.lose_replies = step / 10}); break;
        case 2: it.store.set_faults({.apply_later = step / 10}); break;
        case 3: it.store.set_faults({.held = true}); break;
        case 4: it.store.set_faults({.slow = true}); break;
        case 5: it.store.set_faults({}); break;
        case 6: paused = {step / 10 % 3}; break;
        case 7: paused.clear(); break;
        case 8: it.store.apply_late(); break;
        default: it.members[step / 10 % 3]->release(core::shard_id{0});
        }
        for (auto i = 0U; i < step; ++i)
        {
            it.step(paused);
            it.store.step(step % 3);
            RC_ASSERT(it.most_owners() <= 1);
        }
    }
    it.store.set_faults({});
    it.store.run_pending();
    // Rebalancing may still hand over shards, which takes up to 1 s each (the
    // poll of the next owner); another member may hand over the next one as
    // soon as it is taken. No shard must stay without an owner longer.
    auto missing = std::vector<int>(shard_count);
    for (auto i = 0; i < 400; ++i)
    {
        it.step();
        RC_ASSERT(it.most_owners() <= 1);
        for (auto shard = 0U; shard < shard_count; ++shard)
        {
            missing[shard] = it.has_owner(shard) ? 0 : missing[shard] + 1;
            RC_ASSERT(i < 200 || missing[shard] <= 11);
        }
    }
    // An epoch that was lost must not be held again by a new engine.
    for (auto const& member : it.changes)
    {
        auto lost = std::map<core::shard_id, core::epoch>{};
        for (auto const& change : member)
        {
            RC_ASSERT(lost[change.shard] < change.owner_epoch);
            if (change.state == ownership_state::lost)
            {
                lost[change.shard] = change.owner_epoch;
            }
        }
    }
}
