/** @file router_test.cpp Tests of the router and its policies. */
#include "coordination/coordination.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <thread>
#include <vector>

namespace coordination = godwitcleat::coordination;
namespace core = godwitcleat::core;
namespace protocol = godwitcleat::protocol;
namespace state = godwitcleat::state;
using namespace std::chrono_literals;

namespace
{

auto const service = core::service_id{"desk"};

auto backend_name(std::uint64_t n) -> core::backend_server_id
{
    return core::backend_server_id{"desk/" + std::to_string(n)};
}

auto table_of(
    std::uint64_t shard, std::uint64_t epoch, std::uint64_t version,
    std::vector<bool> const& leaving, std::uint64_t first = 0)
    -> protocol::endpoint_table
{
    auto result = protocol::endpoint_table{
        core::shard_id{shard}, core::epoch{epoch}, version, {}};
    for (std::size_t i = 0; i < leaving.size(); ++i)
    {
        result.endpoints.push_back(
            {service, backend_name(first + i),
             "127.0.0.1:" + std::to_string(1000 + first + i),
             core::data_centre_id{"a"}, leaving[i]});
    }
    return result;
}

struct fixture
{
    core::manual_clock clock;
    core::random_source random{7};
    coordination::router router;

    explicit fixture(
        coordination::routing_policy policy = coordination::default_policy())
        : router(clock.reader(), random, std::move(policy))
    {
    }

    /** Returns how often each backend server is chosen in @p n requests. */
    auto chosen(int n, core::duration latency = 20ms)
        -> std::map<core::backend_server_id, int>
    {
        auto result = std::map<core::backend_server_id, int>{};
        for (int i = 0; i < n; ++i)
        {
            auto const it = router.choose(service);
            ++result[it->backend_server];
            router.finish(*it, coordination::attempt_result::answered, latency);
        }
        return result;
    }
};

auto const all_policies = std::vector<std::string>{
    "random",         "round_robin", "least_own",    "two_own",
    "two_shared",     "four_shared", "least_shared", "least_quarter",
    "least_weighted", "idle_queue",  "probing"};

} // namespace

// Guards against a delayed message that brings back an older table.
RC_GTEST_PROP(router, keeps_the_newest_table_of_each_shard, ())
{
    using message = std::tuple<int, int, int>;
    auto const messages =
        *rc::gen::container<std::vector<message>>(rc::gen::tuple(
            rc::gen::inRange(1, 4), rc::gen::inRange(1, 4),
            rc::gen::inRange(1, 4)));
    auto test = fixture{};
    auto newest = std::map<int, std::pair<int, int>>{};
    for (auto const& [shard, epoch, version] : messages)
    {
        auto const rank = std::pair{epoch, version};
        auto const newer = rank > newest[shard];
        newest[shard] = std::max(newest[shard], rank);
        auto const table = table_of(shard, epoch, version, {false});
        RC_ASSERT(test.router.is_newer(table) == newer);
        RC_ASSERT(test.router.update_table(table) == newer);
    }
    auto const tables = test.router.tables();
    RC_ASSERT(tables.size() == newest.size());
    RC_ASSERT(test.router.has_tables() == !newest.empty());
    for (auto const& it : tables)
    {
        auto const [epoch, version] = newest[static_cast<int>(it.shard.value)];
        RC_ASSERT(it.owner_epoch == core::epoch(epoch));
        RC_ASSERT(it.version == static_cast<std::uint64_t>(version));
        RC_ASSERT(it.endpoints.size() == 1U);
    }
}

// Guards against new requests to leaving, removed, excluded or full backend
// servers, and against counts that do not match the requests in flight.
RC_GTEST_PROP(router, each_policy_respects_limits, ())
{
    auto const name = *rc::gen::elementOf(all_policies);
    auto test = fixture{*coordination::parse_routing_policy(name)};
    auto const actions =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
    auto open = std::vector<coordination::backend_choice>{};
    auto leaving = std::vector<bool>(3, false);
    auto version = std::uint64_t{1};
    test.router.update_table(table_of(1, 1, version, leaving));
    for (auto const action : actions)
    {
        if (action < 10)
        {
            leaving[action % 3] = !leaving[action % 3];
            test.router.update_table(table_of(1, 1, ++version, leaving));
        }
        else if (action < 30 && !open.empty())
        {
            test.router.finish(
                open.back(),
                action % 4 == 0 ? coordination::attempt_result::failed
                                : coordination::attempt_result::answered,
                20ms);
            open.pop_back();
        }
        else if (action < 40)
        {
            test.clock.advance(300ms);
            test.router.report_idle(service, backend_name(action % 4));
            test.router.record_probe(
                service, backend_name(action % 4), {1, 20ms});
        }
        else
        {
            auto const excluded = std::vector{backend_name(action % 5)};
            auto const it = test.router.choose(service, {excluded});
            if (it)
            {
                RC_ASSERT(it->backend_server != excluded.front());
                auto const index = it->where.port - 1000;
                RC_ASSERT(!leaving.at(index));
                open.push_back(*it);
            }
        }
        auto total = std::size_t{0};
        for (auto const& it : test.router.loads())
        {
            RC_ASSERT(it.in_flight <= 9U);
            total += it.in_flight;
        }
        RC_ASSERT(total == open.size());
    }
}

// Guards against a hand-over in which the former owner's table without the
// mark hides that a backend server is leaving.
TEST(router, leaving_in_one_table_is_enough)
{
    auto test = fixture{};
    test.router.update_table(table_of(1, 1, 1, {true, false}));
    test.router.update_table(table_of(2, 1, 1, {false, false}));
    EXPECT_EQ(test.chosen(100).count(backend_name(0)), 0U);
}

// Guards against requests that keep going to a server loaded by peers, and
// against counts of a silent peer that are believed forever.
TEST(router, uses_fresh_counts_of_peers)
{
    auto test = fixture{*coordination::parse_routing_policy("least_shared")};
    test.router.update_table(table_of(1, 1, 1, {false, false}));
    auto const loads =
        std::vector<protocol::backend_load>{{backend_name(0), 9}};
    test.router.update_peer(core::instance_id{"p"}, loads);
    EXPECT_EQ(test.chosen(50).count(backend_name(0)), 0U);
    test.clock.advance(10s);
    EXPECT_GT(test.chosen(50)[backend_name(0)], 10);
}

// Guards against a share of the queue that counts silent peers, or that mixes
// up the own requests with those of the peers.
TEST(router, load_tells_own_requests_and_instances)
{
    auto test = fixture{};
    test.router.update_table(table_of(1, 1, 1, {false, false}));
    auto const one = test.router.choose(service);
    auto const loads =
        std::vector<protocol::backend_load>{{backend_name(0), 5}};
    test.router.update_peer(core::instance_id{"p"}, loads);
    auto const load = test.router.load(service);
    EXPECT_EQ(load.own_in_flight, 1.0);
    EXPECT_NEAR(load.in_flight, 6.0, 1e-6);
    EXPECT_EQ(load.instances, 2U);
    test.clock.advance(3s);
    EXPECT_EQ(test.router.load(service).instances, 1U);
}

// Guards against a slow server that keeps its share, and against one that is
// never tried again.
TEST(router, avoids_a_slow_server_until_the_estimate_is_old)
{
    auto test = fixture{};
    test.router.update_table(table_of(1, 1, 1, {false, false, false}));
    test.chosen(300);
    for (int i = 0; i < 60; ++i)
    {
        auto const others = std::vector{backend_name(1), backend_name(2)};
        auto const it = test.router.choose(service, {others});
        ASSERT_TRUE(it);
        test.router.finish(*it, coordination::attempt_result::answered, 400ms);
    }
    EXPECT_LT(test.chosen(100)[backend_name(0)], 10);
    test.clock.advance(10s);
    EXPECT_GT(test.chosen(300)[backend_name(0)], 50);
}

// Guards against a backend server that refuses at once and, because it always
// has the least requests in flight, attracts all of them.
TEST(router, pauses_a_server_after_repeated_failures)
{
    auto test = fixture{*coordination::parse_routing_policy("least_own")};
    test.router.update_table(table_of(1, 1, 1, {false, false}));
    auto const other = std::vector{backend_name(1)};
    for (int i = 0; i < 2; ++i)
    {
        auto const it = test.router.choose(service, {other});
        test.router.finish(*it, coordination::attempt_result::failed, 1ms);
    }
    EXPECT_EQ(test.chosen(50).count(backend_name(0)), 0U);
    test.clock.advance(1100ms);
    EXPECT_GT(test.chosen(50)[backend_name(0)], 0);
}

// Guards against an error that does not tell which of the two remedies helps.
TEST(router, tells_absent_from_busy)
{
    auto test = fixture{};
    EXPECT_FALSE(test.router.choose(service));
    EXPECT_EQ(core::last_reason().kind, core::error_kind::unavailable);
    test.router.update_table(table_of(1, 1, 1, {false}));
    for (int i = 0; i < 9; ++i)
    {
        EXPECT_TRUE(test.router.choose(service));
    }
    EXPECT_FALSE(test.router.choose(service));
    EXPECT_EQ(core::last_reason().kind, core::error_kind::no_capacity);
}

// Guards against probing that prefers a fast but overloaded server.
TEST(router, probing_prefers_cold_then_fast)
{
    auto const views = std::vector<coordination::backend_view>{
        {0, 0.0, 1ms, 0, coordination::backend_probe{9, 1ms}},
        {0, 0.0, 1ms, 0, coordination::backend_probe{3, 9ms}},
        {0, 0.0, 1ms, 0, coordination::backend_probe{4, 5ms}}};
    auto random = core::random_source{1};
    auto const policy = coordination::probing_policy();
    EXPECT_EQ(policy({views, 1ms, 0, 8}, random), 2U);
    EXPECT_EQ(policy({views, 1ms, 0, 2}, random), 1U);
}

// Guards against races between choices, tables and peers' counts; the thread
// sanitizer reports them.
TEST(router, concurrent_use_leaves_no_count_behind)
{
    auto test = fixture{};
    test.router.update_table(table_of(1, 1, 1, {false, false, false}));
    auto threads = std::vector<std::thread>{};
    for (int t = 0; t < 4; ++t)
    {
        threads.emplace_back(
            [&test, t]
            {
                for (std::uint64_t i = 2; i < 500; ++i)
                {
                    auto const it = test.router.choose(service);
                    test.router.update_table(
                        table_of(1, 1, i, {i % 3 == 0, false, i % 5 == 0}));
                    test.router.update_peer(
                        core::instance_id{std::to_string(t)},
                        test.router.loads());
                    if (it)
                    {
                        test.router.finish(
                            *it, coordination::attempt_result::answered, 1ms);
                    }
                }
            });
    }
    for (auto& it : threads)
    {
        it.join();
    }
    EXPECT_TRUE(test.router.loads().empty());
}
