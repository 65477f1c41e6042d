/** @file store_test.cpp Tests of the in-process store and key helpers. */
#include "coordination/coordination.hpp"
#include "standins/support/memory_store_base.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <optional>
#include <set>
#include <string>

namespace core = godwitcleat::core;
namespace coordination = godwitcleat::coordination;
namespace standins = godwitcleat::standins;
using namespace std::chrono_literals;

namespace
{

struct store_fixture
{
    core::manual_clock time;
    standins::memory_store store{time.reader()};

    auto put(std::string key, std::string value, std::int64_t revision)
        -> std::optional<coordination::store_commit>
    {
        auto result = std::optional<coordination::store_commit>{};
        store.commit(
            {{{key, revision}}, {{key, std::move(value), "", {}}}},
            [&](auto done) { result = done; });
        return result;
    }
};

} // namespace

// Guards against a fake that accepts a write whose compare does not hold.
TEST(memory_store, compares_revisions)
{
    auto it = store_fixture{};
    auto const first = it.put("a", "1", 0);
    ASSERT_TRUE(first && first->succeeded);
    auto const again = it.put("a", "2", 0);
    ASSERT_TRUE(again);
    EXPECT_FALSE(again->succeeded);
    EXPECT_EQ(it.store.peek("a")->value, "1");
    EXPECT_TRUE(it.put("a", "2", first->revision)->succeeded);
    EXPECT_EQ(it.store.calls(standins::store_call::commit), 3U);
}

// Guards against faults that report the wrong kind or have the wrong effect.
TEST(memory_store, faults_have_their_effect)
{
    auto it = store_fixture{};
    it.store.set_faults({.down = true});
    EXPECT_FALSE(it.put("a", "1", 0));
    EXPECT_EQ(core::last_reason().kind, core::error_kind::unavailable);
    it.store.set_faults({.lose_replies = 1});
    EXPECT_FALSE(it.put("a", "1", 0));
    EXPECT_EQ(core::last_reason().kind, core::error_kind::unknown_outcome);
    EXPECT_TRUE(it.store.peek("a"));
    it.store.set_faults({.apply_later = 1});
    EXPECT_FALSE(it.put("b", "1", 0));
    EXPECT_FALSE(it.store.peek("b"));
    EXPECT_TRUE(it.store.apply_late());
    EXPECT_TRUE(it.store.peek("b"));
    it.store.set_faults({.slow = true});
    EXPECT_FALSE(it.put("c", "1", 0));
    EXPECT_TRUE(it.store.peek("c"));
    EXPECT_EQ(it.store.pending(), 1U);
}

// Guards against keys that outlive their lease.
TEST(memory_store, lease_removes_its_keys)
{
    auto it = store_fixture{};
    auto lease = coordination::store_lease{};
    it.store.grant(5500ms, [&](auto done) { lease = *done; });
    it.store.commit({{}, {{"a", "1", "", lease}}}, [](auto) {});
    it.time.advance(5900ms);
    it.store.expire_due();
    EXPECT_TRUE(it.store.peek("a"));
    it.time.advance(100ms);
    it.store.expire_due();
    EXPECT_FALSE(it.store.peek("a"));
    auto renewed = true;
    it.store.keep_alive(lease, [&](auto done) { renewed = done.has_value(); });
    EXPECT_FALSE(renewed);
    EXPECT_EQ(core::last_reason().kind, core::error_kind::not_found);
}

// Guards against a range that misses keys or leaves its bounds. The small
// alphabet makes common prefixes likely; 0xff is the edge case of prefix_end.
RC_GTEST_PROP(memory_store, prefix_range_returns_exactly_the_prefix, ())
{
    auto const text = rc::gen::container<std::string>(
        rc::gen::element('a', 'b', static_cast<char>(0xff)));
    auto const keys = *rc::gen::container<std::set<std::string>>(text);
    auto const prefix = *text;
    auto const end = coordination::prefix_end(prefix);
    RC_PRE(!end.empty());
    auto it = store_fixture{};
    auto expected = std::size_t{0};
    for (auto const& key : keys)
    {
        it.put(key, "value", 0);
        expected += key.starts_with(prefix) ? 1 : 0;
    }
    auto found = std::size_t{0};
    it.store.range(
        prefix, end, 0, [&](auto done) { found = done->entries.size(); });
    RC_ASSERT(found == expected);
}
