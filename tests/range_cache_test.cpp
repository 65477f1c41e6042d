/** @file range_cache_test.cpp Tests of repeated reads of changed keys only. */
#include "coordination/coordination.hpp"
#include "standins/support/memory_store_base.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace core = godwitcleat::core;
namespace coordination = godwitcleat::coordination;
namespace standins = godwitcleat::standins;

namespace
{

struct cache_fixture
{
    core::manual_clock time;
    standins::memory_store store{time.reader()};
    coordination::range_cache cache{"a", "b"};
    std::size_t transferred = 0; ///< Entries of all answers.

    auto write(std::string key, std::optional<std::string> value) -> void
    {
        store.commit(
            {{}, {{std::move(key), std::move(value), "", {}}}}, [](auto) {});
    }

    auto read(coordination::store_query query) -> coordination::store_range
    {
        auto result = coordination::store_range{};
        store.range(std::move(query), [&](auto found) { result = *found; });
        transferred += result.entries.size();
        return result;
    }

    /** Reads once more if the cache asks for it, as a poll does. */
    auto poll() -> bool
    {
        return cache.update(read(cache.query())) ||
               cache.update(read(cache.query()));
    }
};

auto values_of(coordination::store_range const& found)
    -> std::vector<std::pair<std::string, std::int64_t>>
{
    auto result = std::vector<std::pair<std::string, std::int64_t>>{};
    for (auto const& it : found.entries)
    {
        result.emplace_back(it.key + "=" + it.value, it.modify_revision);
    }
    return result;
}

} // namespace

// Guards against a cache that misses a deleted, changed or new key.
RC_GTEST_PROP(range_cache, equals_a_whole_read, ())
{
    auto it = cache_fixture{};
    auto const steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 14));
    for (auto const step : steps)
    {
        auto const key = "a" + std::to_string(step % 4);
        if (step < 4)
        {
            it.write(key, "value");
        }
        else if (step < 8)
        {
            it.write(key, std::nullopt);
        }
        else if (step < 10)
        {
            it.write("c" + key, "outside");
        }
        else
        {
            RC_ASSERT(it.poll());
            auto const whole = it.read({"a", "b", 0, 0});
            RC_ASSERT(values_of(it.cache.content()) == values_of(whole));
            RC_ASSERT(it.cache.content().revision == whole.revision);
        }
    }
}

// Guards against repeated transfers of keys that have not changed.
TEST(range_cache, transfers_changed_keys_only)
{
    auto it = cache_fixture{};
    for (auto const* key : {"a1", "a2", "a3"})
    {
        it.write(key, "value");
    }
    ASSERT_TRUE(it.poll());
    EXPECT_EQ(it.transferred, 3U);
    ASSERT_TRUE(it.poll());
    EXPECT_EQ(it.transferred, 3U);
    it.write("a2", "new");
    ASSERT_TRUE(it.poll());
    EXPECT_EQ(it.transferred, 4U);
}

// Guards against an answer of a store that was set back.
TEST(range_cache, reads_all_after_a_lower_revision)
{
    auto it = cache_fixture{};
    it.write("a1", "value");
    ASSERT_TRUE(it.poll());
    auto older = coordination::store_range{};
    older.count = 1;
    older.revision = it.cache.content().revision - 1;
    EXPECT_FALSE(it.cache.update(older));
    EXPECT_EQ(it.cache.query().changed_after, 0);
}

// Guards against a filter that a real etcd does not understand; the text is
// that of the published gateway documentation.
TEST(range_cache, asks_by_the_published_filter)
{
    EXPECT_EQ(
        coordination::etcd_range_body({"foo", "", 0, 6}),
        R"({"key":"Zm9v","min_mod_revision":"7"})");
}
