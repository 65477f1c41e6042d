/** @file peers_test.cpp Tests of the exchange of states between daemons. */
#include "coordination/coordination.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace core = godwitcleat::core;
namespace coordination = godwitcleat::coordination;
namespace protocol = godwitcleat::protocol;
namespace state = godwitcleat::state;
namespace transport = godwitcleat::transport;
using namespace std::chrono_literals;

namespace
{

auto shards_from(std::vector<int> const& numbers)
    -> std::vector<protocol::owned_shard>
{
    auto result = std::vector<protocol::owned_shard>{};
    for (std::size_t i = 0; i < numbers.size(); ++i)
    {
        if (numbers[i] > 0)
        {
            result.push_back(
                {core::shard_id{static_cast<std::uint32_t>(i)},
                 core::epoch{static_cast<std::uint64_t>(numbers[i])}});
        }
    }
    return result;
}

/** Returns a state of a daemon with few distinct contents. */
auto any_update() -> rc::Gen<protocol::peer_update>
{
    auto const numbers = [](int most)
    {
        return rc::gen::container<std::vector<int>>(
            3, rc::gen::inRange(0, most));
    };
    return rc::gen::map(
        rc::gen::tuple(numbers(3), numbers(3), numbers(3), numbers(3)),
        [](auto const& from)
        {
            auto const& [owned, seen, use, loads] = from;
            auto it = protocol::peer_update{};
            it.instance = core::instance_id{"entry-1"};
            it.boot_id = "boot";
            it.peer_address = "127.0.0.1:1";
            it.leaving = use[0] == 2;
            it.shards = shards_from(owned);
            it.seen = shards_from(seen);
            for (auto const& shard : it.shards)
            {
                auto summary = state::shard_summary{};
                summary.shard = shard.shard;
                summary.owner_epoch = shard.owner_epoch;
                summary.team_use[core::team_id{"stock"}].cpu_milli =
                    use[shard.shard.value];
                it.summaries.push_back(summary);
                it.tables.push_back(
                    {shard.shard,
                     shard.owner_epoch,
                     static_cast<std::uint64_t>(use[shard.shard.value]),
                     {}});
            }
            for (std::size_t i = 0; i < loads.size(); ++i)
            {
                if (loads[i] > 0)
                {
                    it.loads.push_back(
                        {core::backend_server_id{fmt::format("runner-{}", i)},
                         static_cast<std::uint32_t>(loads[i])});
                }
            }
            return it;
        });
}

/** Compares two states apart from tables and the order of their members. */
auto text_of(protocol::peer_update update) -> std::string
{
    update.tables.clear();
    std::sort(
        update.summaries.begin(), update.summaries.end(),
        [](auto const& a, auto const& b) { return a.shard < b.shard; });
    return protocol::encode(protocol::peer_request{std::move(update)});
}

/** A daemon that sends its states to another one over an unreliable link. */
struct link_fixture
{
    using handler =
        std::function<void(std::optional<protocol::peer_reply> const&)>;
    struct sent_request
    {
        protocol::peer_request request;
        handler on_done;
    };

    core::time_point now{1s};
    protocol::peer_update own;
    std::vector<protocol::peer_update> received;
    std::deque<sent_request> on_the_way;
    std::vector<protocol::peer_request> delivered;

    std::optional<coordination::peer_set> sender;
    std::optional<coordination::peer_set> receiver;
    int process = 0; ///< Of the sender.

    link_fixture()
    {
        restart_receiver();
        restart_sender();
    }

    auto restart_sender() -> void
    {
        ++process;
        sender.emplace(
            core::instance_id{"entry-1"}, coordination::peer_settings{},
            coordination::peer_hooks{
                [this](auto const&, auto request, auto, auto on_done) {
                    on_the_way.push_back(
                        {std::move(request), std::move(on_done)});
                },
                [this]
                {
                    own.boot_id = fmt::format("boot {}", process);
                    return own;
                },
                [](auto const&) {
                }},
            core::null_logger());
        auto const where = std::vector{transport::endpoint{"127.0.0.1", 2}};
        sender->add_addresses(where);
    }

    auto restart_receiver() -> void
    {
        receiver.emplace(
            core::instance_id{"entry-2"}, coordination::peer_settings{},
            coordination::peer_hooks{
                [](auto const&, auto, auto, auto) {},
                [] { return protocol::peer_update{}; },
                [this](auto const& it)
                {
                    received.push_back(it);
                }},
            core::null_logger());
    }

    auto receive(protocol::peer_request request) -> protocol::peer_update_reply
    {
        delivered.push_back(request);
        if (auto const* whole = std::get_if<protocol::peer_update>(&request))
        {
            return receiver->received(*whole, now);
        }
        return receiver->received(
            std::get<protocol::peer_changes>(request), now);
    }

    /** Sends a state, which arrives and is answered. */
    auto exchange() -> void
    {
        sender->tick(now);
        auto const it = std::move(on_the_way.front());
        on_the_way.pop_front();
        it.on_done(receive(it.request));
    }

    auto held() -> protocol::peer_update
    {
        auto const peers = receiver->peers(now);
        return peers.empty() ? protocol::peer_update{} : peers.front().update;
    }
};

} // namespace

// Guards against a member of the state that is left out of the changes.
RC_GTEST_PROP(peer_changes, rebuild_any_state, ())
{
    auto const base = *any_update();
    auto present = *any_update();
    present.number = 2;
    auto const changes = coordination::changes_between(base, present);
    RC_ASSERT(
        text_of(coordination::with_changes(base, changes)) == text_of(present));
}

// Guards against a peer that holds a mixture of states after lost, repeated or
// late requests, lost replies or a restart of either. Once requests and replies
// arrive again, two exchanges must bring it up to date.
RC_GTEST_PROP(peer_set, recovers_from_any_schedule, ())
{
    enum step
    {
        exchange,
        lose_request,
        lose_reply,
        repeat_request,
        restart,
        restart_sender,
        step_count
    };
    auto it = link_fixture{};
    auto states = std::vector<std::string>{};
    auto const steps = *rc::gen::container<std::vector<int>>(
        rc::gen::inRange(0, static_cast<int>(step_count)));
    for (auto const next : steps)
    {
        it.own = *any_update();
        if (next == restart)
        {
            it.restart_receiver();
        }
        else if (next == restart_sender)
        {
            it.restart_sender();
        }
        else if (next == repeat_request && !it.delivered.empty())
        {
            it.receive(it.delivered.front());
        }
        else if (next == lose_request || next == lose_reply)
        {
            it.sender->tick(it.now);
            auto const sent = std::move(it.on_the_way.front());
            it.on_the_way.pop_front();
            if (next == lose_reply)
            {
                it.receive(sent.request);
            }
            sent.on_done(std::nullopt);
        }
        else
        {
            it.exchange();
        }
    }
    it.exchange();
    it.exchange();
    auto const held = it.held();
    auto expected = it.own;
    expected.number = held.number;
    expected.seen = held.seen;
    RC_ASSERT(text_of(held) == text_of(expected));
}

// Guards against an earlier state that arrives late and brings back shards
// that the peer has given up.
TEST(peer_set, ignores_an_earlier_state)
{
    auto it = link_fixture{};
    it.own = {};
    it.own.instance = core::instance_id{"entry-1"};
    it.own.boot_id = "boot";
    it.own.shards = shards_from({1});
    it.exchange();
    it.own.shards = {};
    it.exchange();
    it.receive(it.delivered.front());
    EXPECT_TRUE(it.held().shards.empty());
}

// Guards against a late state of a former process that lets the present one
// count as stopped, and against a present one that counts as heard before.
TEST(peer_set, a_late_state_of_a_former_process_stops_no_owner)
{
    auto it = link_fixture{};
    auto const shard = core::shard_id{0};
    auto const name = core::instance_id{"entry-1"};
    auto const has_stopped = [&]
    {
        return it.receiver->has_stepped_down(
            name, "boot 2", shard, core::epoch{3});
    };
    it.own.instance = name;
    it.exchange();
    it.restart_sender();
    it.own.shards = shards_from({2});
    it.now += 1s;
    it.exchange();
    EXPECT_EQ(it.receiver->first_heard(name, "boot 2"), it.now);
    EXPECT_FALSE(it.receiver->first_heard(name, "boot 1"));
    it.receive(it.delivered.front());
    EXPECT_FALSE(has_stopped());
    auto next_owner = protocol::peer_update{};
    next_owner.instance = core::instance_id{"entry-3"};
    next_owner.shards = shards_from({3});
    it.sender->received(next_owner, it.now);
    it.exchange();
    it.exchange();
    EXPECT_FALSE(has_stopped()) << "still owns the shard";
    it.own.shards = {};
    it.exchange();
    EXPECT_TRUE(has_stopped());
}

// Guards against whole states on each exchange, which exceed the byte budget
// of an instance with many backend servers and teams.
TEST(peer_set, sends_changes_only)
{
    auto it = link_fixture{};
    it.own.instance = core::instance_id{"entry-1"};
    it.own.boot_id = "boot";
    for (std::uint32_t i = 0; i < 100; ++i)
    {
        it.own.loads.push_back(
            {core::backend_server_id{fmt::format("runner-{}", i)}, 1});
    }
    it.exchange();
    it.own.loads.front().in_flight = 2;
    it.exchange();
    it.exchange();
    ASSERT_EQ(it.delivered.size(), 3U);
    auto const* const second =
        std::get_if<protocol::peer_changes>(&it.delivered[1]);
    auto const* const third =
        std::get_if<protocol::peer_changes>(&it.delivered[2]);
    ASSERT_TRUE(second != nullptr && third != nullptr);
    EXPECT_EQ(second->loads.size(), 1U);
    EXPECT_TRUE(third->loads.empty());
    EXPECT_EQ(it.received.back().loads.size(), 100U);
}
