/** @file shard_log_test.cpp Tests of the shard log against store faults. */
#include "coordination/coordination.hpp"
#include "standins/support/memory_store_base.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

namespace core = godwitcleat::core;
namespace coordination = godwitcleat::coordination;
namespace protocol = godwitcleat::protocol;
namespace standins = godwitcleat::standins;
namespace state = godwitcleat::state;
using coordination::log_outcome;
using names = std::vector<std::string>;
using namespace std::chrono_literals;

namespace
{

auto const shard = core::shard_id{3};

// A batch is its id; a snapshot lists the ids of all batches in `declined`.
auto test_codec() -> coordination::shard_log_codec
{
    auto codec = coordination::shard_log_codec{};
    codec.encode_batch = [](state::record_batch const& it)
    {
        return it.unique_id;
    };
    codec.decode_batch = [](std::string_view bytes)
    {
        return std::optional{state::record_batch{std::string{bytes}, {}}};
    };
    codec.encode_snapshot = [](protocol::shard_snapshot const& it)
    {
        auto text = fmt::format("{}", it.applied.value);
        for (auto const& [id, place] : it.data.declined)
        {
            text += fmt::format(" {} {}", id.value, place.value);
        }
        return text;
    };
    codec.decode_snapshot = [](std::string_view bytes)
    {
        auto in = std::istringstream{std::string{bytes}};
        auto result = protocol::shard_snapshot{};
        in >> result.applied.value;
        auto id = std::string{};
        auto place = std::uint64_t{0};
        while (in >> id >> place)
        {
            result.data.declined[core::job_id{id}] =
                core::attempt_number{place};
        }
        return std::optional{result};
    };
    return codec;
}

auto data_of(names const& batches) -> state::shard_data
{
    auto data = state::shard_data{};
    for (auto const& it : batches)
    {
        data.declined[core::job_id{it}] =
            core::attempt_number{data.declined.size() + 1};
    }
    return data;
}

auto names_of(coordination::recovered_log const& log) -> names
{
    auto sorted = std::map<std::uint64_t, std::string>{};
    for (auto const& [id, place] : log.data.declined)
    {
        sorted[place.value] = id.value;
    }
    auto result = names{};
    for (auto const& [place, id] : sorted)
    {
        result.push_back(id);
    }
    for (auto const& it : log.batches)
    {
        result.push_back(it.unique_id);
    }
    return result;
}

struct log_fixture
{
    core::manual_clock time;
    std::optional<standins::store_fate> next_fate;
    standins::memory_store store{
        time.reader(),
        {{},
         [this](standins::store_call call)
         {
             auto const fate = next_fate;
             if (call == standins::store_call::commit)
             {
                 next_fate.reset();
                 return fate;
             }
             return std::optional<standins::store_fate>{};
         },
         {}}};
    coordination::shard_log_settings settings;
    std::unique_ptr<coordination::shard_log> log;
    std::optional<coordination::log_result> result;

    auto put(std::string const& key) -> std::int64_t
    {
        store.commit({{}, {{key, "x", "", {}}}}, [](auto) {});
        return store.peek(key)->modify_revision;
    }

    /** Starts a new epoch and returns the recovered batches. */
    auto take_over() -> names
    {
        log = std::make_unique<coordination::shard_log>(
            store, time.reader(), core::null_logger(), shard,
            put(coordination::epoch_key(shard)), test_codec(), settings);
        auto found = names{"not recovered"};
        log->recover(
            [&](auto done)
            {
                if (done)
                {
                    found = names_of(*done);
                }
            });
        return found;
    }

    /** Appends and waits; gives up after 5 s of test time. */
    auto append(std::string const& id, std::optional<std::int64_t> config = {})
        -> std::optional<log_outcome>
    {
        result.reset();
        log->append({id, {}}, config, [&](auto done) { result = done; });
        return wait();
    }

    auto snapshot(names const& batches) -> std::optional<log_outcome>
    {
        result.reset();
        log->write_snapshot(
            data_of(batches), [&](auto done) { result = done; });
        return wait();
    }

    auto wait() -> std::optional<log_outcome>
    {
        for (auto i = 0; i < 50 && !result; ++i)
        {
            time.advance(100ms);
            log->tick();
        }
        return result ? std::optional{result->outcome} : std::nullopt;
    }
};

} // namespace

// Guards against a batch that is lost or doubled when a reply is lost.
TEST(shard_log, settles_lost_replies)
{
    auto it = log_fixture{};
    EXPECT_EQ(it.take_over(), names{});
    it.next_fate = standins::store_fate::reply_lost;
    EXPECT_EQ(it.append("a"), log_outcome::committed);
    it.next_fate = standins::store_fate::request_lost;
    EXPECT_EQ(it.append("b"), log_outcome::committed);
    EXPECT_EQ(it.take_over(), (names{"a", "b"}));
}

// Guards against a commit time after the real one, which would let a start
// leave too late.
TEST(shard_log, reports_the_first_unknown_sending)
{
    auto it = log_fixture{};
    it.take_over();
    auto const before = it.time.reader()();
    it.next_fate = standins::store_fate::applied_later;
    it.log->append({"a", {}}, {}, [&](auto done) { it.result = done; });
    it.time.advance(1s);
    EXPECT_TRUE(it.store.apply_late());
    EXPECT_EQ(it.wait(), log_outcome::committed);
    EXPECT_EQ(it.result->sent_at, before);
}

// Guards against a batch that is given up during an outage.
TEST(shard_log, waits_for_the_store)
{
    auto it = log_fixture{};
    it.take_over();
    it.store.set_faults({.down = true});
    EXPECT_EQ(it.append("a"), std::nullopt);
    EXPECT_FALSE(it.log->append({"b", {}}, {}, [](auto) {}));
    EXPECT_EQ(core::last_reason().kind, core::error_kind::conflict);
    it.store.set_faults({});
    EXPECT_EQ(it.wait(), log_outcome::committed);
}

// Guards against a start that commits after a drain was accepted.
TEST(shard_log, rejects_batches_of_an_older_configuration)
{
    auto it = log_fixture{};
    it.take_over();
    auto const old = it.put(coordination::config_head_key());
    EXPECT_EQ(it.append("a", old), log_outcome::committed);
    auto const current = it.put(coordination::config_head_key());
    EXPECT_EQ(it.append("b", old), log_outcome::config_changed);
    EXPECT_EQ(it.append("b", current), log_outcome::committed);
    EXPECT_EQ(it.take_over(), (names{"a", "b"}));
}

// Guards against a former owner that still writes.
TEST(shard_log, rejects_a_former_owner)
{
    auto it = log_fixture{};
    it.take_over();
    it.append("a");
    auto former = std::move(it.log);
    EXPECT_EQ(it.take_over(), names{"a"});
    it.log.swap(former);
    EXPECT_EQ(it.append("b"), log_outcome::epoch_changed);
    EXPECT_EQ(it.snapshot({}), log_outcome::epoch_changed);
    auto recovered = true;
    it.log->recover([&](auto done) { recovered = done.has_value(); });
    EXPECT_FALSE(recovered);
    EXPECT_EQ(core::last_reason().kind, core::error_kind::stale_epoch);
}

// Guards against a log that grows without bound, and against a late write of
// an old snapshot that brings back an old state.
TEST(shard_log, snapshot_covers_the_log)
{
    auto it = log_fixture{};
    it.settings.snapshot_batches = 4;
    it.settings.page_entries = 2;
    it.take_over();
    auto all = names{};
    auto const add = [&]
    {
        for (auto i = 0; i < 4; ++i)
        {
            EXPECT_FALSE(it.log->snapshot_due());
            all.push_back(fmt::format("b{}", all.size()));
            EXPECT_EQ(it.append(all.back()), log_outcome::committed);
        }
    };
    add();
    EXPECT_TRUE(it.log->snapshot_due());
    it.next_fate = standins::store_fate::applied_later;
    EXPECT_EQ(it.snapshot(all), log_outcome::committed);
    add();
    EXPECT_EQ(it.snapshot(all), log_outcome::committed);
    EXPECT_EQ(it.store.size(), 2U);
    EXPECT_TRUE(it.store.apply_late());
    all.push_back("last");
    it.append("last");
    EXPECT_EQ(it.take_over(), all);
}

// Guards against a shard that outgrows the store's value limit.
TEST(shard_log, reports_its_size)
{
    auto it = log_fixture{};
    it.settings.value_limit_bytes = 200;
    it.settings.full_bytes = 100;
    it.take_over();
    EXPECT_EQ(it.append(std::string(90, 'a')), log_outcome::committed);
    EXPECT_FALSE(it.log->full());
    it.append(std::string(90, 'b'));
    EXPECT_TRUE(it.log->full());
    EXPECT_FALSE(it.log->append({std::string(201, 'c'), {}}, {}, [](auto) {}));
    EXPECT_EQ(core::last_reason().kind, core::error_kind::invalid_input);
    EXPECT_EQ(it.snapshot({std::string(300, 'd')}), log_outcome::too_large);
    EXPECT_GT(it.log->size_bytes(), 300U);
    EXPECT_EQ(it.snapshot({}), log_outcome::committed);
    EXPECT_FALSE(it.log->full());
}

// Guards against recovery from a log with a missing entry.
TEST(shard_log, detects_a_gap)
{
    auto it = log_fixture{};
    it.take_over();
    it.append("a");
    it.append("b");
    it.store.commit(
        {{}, {{coordination::log_key(shard, core::log_index{1}), {}, "", {}}}},
        [](auto) {});
    EXPECT_EQ(it.take_over(), names{"not recovered"});
    EXPECT_EQ(core::last_reason().kind, core::error_kind::protocol);
}

// Guards against any mix of lost, late and repeated writes, snapshots,
// configuration changes and take-overs that loses, doubles or reorders
// batches. A batch is in the log if and only if it was reported committed.
RC_GTEST_PROP(shard_log, holds_exactly_the_committed_batches, ())
{
    using standins::store_fate;
    auto it = log_fixture{};
    it.settings.page_entries = 2;
    it.take_over();
    auto config = it.put(coordination::config_head_key());
    auto all = names{};
    auto count = 0;
    auto const steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 60));
    for (auto const step : steps)
    {
        auto constexpr fates = std::array{
            store_fate::answered, store_fate::reply_lost,
            store_fate::request_lost, store_fate::applied_later,
            store_fate::refused};
        auto const fate = fates.at(static_cast<std::size_t>(step % 5));
        auto const id = fmt::format("b{}", ++count);
        switch (step / 5)
        {
        case 0:
            it.next_fate = fate;
            RC_ASSERT(it.snapshot(all) == log_outcome::committed);
            break;
        case 1: config = it.put(coordination::config_head_key()); break;
        case 2: RC_ASSERT(it.take_over() == all); break;
        case 3:
        case 4: it.store.apply_late(); break;
        case 5:
            it.next_fate = fate;
            RC_ASSERT(it.append(id, config - 1) == log_outcome::config_changed);
            break;
        default:
            it.next_fate = fate;
            RC_ASSERT(it.append(id, config) == log_outcome::committed);
            all.push_back(id);
        }
    }
    while (it.store.apply_late())
    {
    }
    RC_ASSERT(it.take_over() == all);
}
