/** @file config_follower_test.cpp Tests of the configuration follower. */
#include "coordination/coordination.hpp"
#include "standins/support/memory_store_base.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace core = godwitcleat::core;
namespace coordination = godwitcleat::coordination;
namespace standins = godwitcleat::standins;
namespace state = godwitcleat::state;
using standins::store_fate;
using namespace std::chrono_literals;

namespace
{

// A document is its number and its drained workers.
auto test_codec() -> coordination::config_codec
{
    auto codec = coordination::config_codec{};
    codec.encode_document = [](state::config_document const& it)
    {
        auto text = fmt::format("{}", it.number.value);
        for (auto const& worker : it.drained_workers)
        {
            text += " " + worker.value;
        }
        return text;
    };
    codec.decode_document = [](std::string_view bytes)
    {
        auto in = std::istringstream{std::string{bytes}};
        auto result = state::config_document{};
        in >> result.number.value;
        for (auto name = std::string{}; in >> name;)
        {
            result.drained_workers.insert(core::worker_id{name});
        }
        return std::optional{result};
    };
    codec.encode_change = [](state::config_change const& it)
    {
        return fmt::format(
            "{} {} {} {}", it.number.value, it.author, it.summary, it.wall_us);
    };
    codec.decode_change = [](std::string_view bytes)
    {
        auto in = std::istringstream{std::string{bytes}};
        auto it = state::config_change{};
        in >> it.number.value >> it.author >> it.summary >> it.wall_us;
        return std::optional{it};
    };
    return codec;
}

auto document_of(std::string const& worker, std::uint64_t number = 0)
    -> state::config_document
{
    auto result = state::config_document{};
    result.number = core::generation{number};
    result.drained_workers.insert(core::worker_id{worker});
    return result;
}

struct config_fixture
{
    core::manual_clock time;
    std::vector<store_fate> fates; ///< Of the next commits, last one first.
    standins::memory_store store{
        time.reader(),
        {{},
         [this](standins::store_call call)
         {
             auto result = std::optional<store_fate>{};
             if (call == standins::store_call::commit && !fates.empty())
             {
                 result = fates.back();
                 fates.pop_back();
             }
             return result;
         },
         {}}};
    bool late_while_settling = false; ///< Late writes overtake repetitions.
    std::vector<std::uint64_t> seen;  ///< Generations of the first follower.
    std::set<std::string> workers;    ///< Of the documents that it applied.
    std::vector<std::unique_ptr<coordination::config_follower>> followers;

    explicit config_fixture(
        std::size_t count = 1,
        coordination::config_follower_settings const& settings = {})
    {
        for (std::size_t i = 0; i < count; ++i)
        {
            auto hooks = coordination::config_follower_hooks{};
            // A fixed time: equal authors and summaries make equal changes.
            hooks.wall_us = []
            {
                return 7;
            };
            if (i == 0)
            {
                hooks.on_generation = [this](auto const& it)
                {
                    seen.push_back(it->number.value);
                    for (auto const& worker : it->drained_workers)
                    {
                        workers.insert(worker.value);
                    }
                };
            }
            followers.push_back(std::make_unique<coordination::config_follower>(
                store, time.reader(), core::null_logger(), test_codec(),
                settings, hooks));
        }
    }

    auto run(core::duration length) -> void
    {
        for (auto i = core::duration{}; i < length; i += 100ms)
        {
            time.advance(100ms);
            for (auto const& it : followers)
            {
                it->tick();
            }
        }
    }

    auto
    publish(std::uint64_t base, std::string const& worker, std::size_t who = 0)
        -> std::optional<coordination::publish_outcome>
    {
        auto result = std::optional<coordination::publish_outcome>{};
        auto finished = false;
        followers[who]->publish(
            core::generation{base}, "author", "drain", document_of(worker),
            [&](auto done)
            {
                result = done;
                finished = true;
            });
        for (auto i = 0; i < 120 && !finished; ++i)
        {
            if (late_while_settling)
            {
                store.apply_late();
            }
            run(100ms);
        }
        EXPECT_TRUE(finished);
        return result;
    }

    auto number(std::size_t who = 0) -> std::uint64_t
    {
        return followers[who]->current().document->number.value;
    }
};

} // namespace

// Guards against a change that is not in force everywhere within 2 s, and
// against a store load above one read a second.
TEST(config_follower, every_follower_applies_a_publish)
{
    auto it = config_fixture{3};
    EXPECT_TRUE(it.publish(0, "w1")->accepted);
    it.run(1100ms);
    for (std::size_t i = 0; i < 3; ++i)
    {
        auto const view = it.followers[i]->current();
        EXPECT_EQ(view.document->number.value, 1U);
        EXPECT_EQ(
            view.head_revision, it.store.peek("config/head")->modify_revision);
    }
    EXPECT_EQ(it.seen, std::vector<std::uint64_t>{1});
    auto const before = it.store.calls(standins::store_call::range);
    it.run(10s);
    EXPECT_EQ(it.store.calls(standins::store_call::range) - before, 30U);
}

// Guards against a publish that overwrites another one unseen.
TEST(config_follower, conflict_names_the_changes)
{
    auto it = config_fixture{2};
    it.publish(0, "w1");
    it.publish(1, "w2");
    auto const late = it.publish(0, "w3", 1);
    ASSERT_TRUE(late);
    EXPECT_FALSE(late->accepted);
    ASSERT_EQ(late->changes.size(), 2U);
    EXPECT_EQ(late->changes.back().number, core::generation{2});
}

// Guards against two publishers that both believe they were first, although
// author, summary and time of their changes are equal.
TEST(config_follower, one_of_two_racing_publishers_wins)
{
    for (auto const lost : {0U, 1U, 2U})
    {
        auto it = config_fixture{2};
        it.store.set_faults({.held = true, .lose_replies = lost});
        auto accepted = std::vector<std::string>{};
        auto answers = 0;
        for (std::size_t i = 0; i < 2; ++i)
        {
            auto const name = "w" + std::to_string(i);
            it.followers[i]->publish(
                core::generation{0}, "author", "drain", document_of(name),
                [&, name](auto done)
                {
                    ++answers;
                    if (done && done->accepted)
                    {
                        accepted.push_back(name);
                    }
                });
        }
        for (auto i = 0; i < 20; ++i)
        {
            it.store.run_pending();
            it.run(100ms);
        }
        EXPECT_EQ(answers, 2);
        ASSERT_EQ(accepted.size(), 1U);
        EXPECT_EQ(it.store.peek("config/head")->value, "1 " + accepted.front());
    }
}

// Guards against a publish that is reported as failed, or twice in force,
// because its reply was lost.
TEST(config_follower, settles_lost_replies)
{
    auto it = config_fixture{};
    it.fates = {store_fate::reply_lost};
    EXPECT_TRUE(it.publish(0, "w1")->accepted);
    it.fates = {store_fate::request_lost, store_fate::request_lost};
    EXPECT_TRUE(it.publish(1, "w2")->accepted);
    it.fates = {store_fate::applied_later};
    EXPECT_TRUE(it.publish(2, "w3")->accepted);
    it.publish(3, "w4");
    EXPECT_TRUE(it.store.apply_late());
    it.run(2s);
    EXPECT_EQ(it.number(), 4U);
    EXPECT_EQ(it.store.peek("config/head")->value, "4 w4");
}

// Guards against "not published" for a change that may still take effect.
TEST(config_follower, reports_unknown_outcomes_as_unknown)
{
    auto it = config_fixture{};
    it.fates = {store_fate::refused};
    EXPECT_FALSE(it.publish(0, "w1"));
    EXPECT_EQ(core::last_reason().kind, core::error_kind::unavailable);
    it.fates.assign(1000, store_fate::refused);
    it.fates.back() = store_fate::applied_later;
    EXPECT_FALSE(it.publish(0, "w1"));
    EXPECT_EQ(core::last_reason().kind, core::error_kind::unknown_outcome);
}

// Guards against a restarted instance that has no configuration while the
// store is down, and against a revision that does not belong to its document.
TEST(config_follower, restart_learns_from_a_peer)
{
    auto it = config_fixture{2};
    it.publish(0, "w1", 1);
    it.store.set_faults({.down = true});
    EXPECT_TRUE(it.followers[0]->offer(*it.followers[1]->current().document));
    it.run(3s);
    EXPECT_EQ(it.number(), 1U);
    EXPECT_FALSE(it.followers[0]->current().head_revision);
    it.store.set_faults({});
    it.run(1100ms);
    EXPECT_EQ(
        it.followers[0]->current().head_revision,
        it.store.peek("config/head")->modify_revision);
    EXPECT_FALSE(it.followers[0]->offer(document_of("w9", 1)));
}

// Guards against change keys that fill the store.
TEST(config_follower, keeps_the_last_changes)
{
    auto it = config_fixture{};
    for (std::uint64_t i = 0; i < 230; ++i)
    {
        ASSERT_TRUE(it.publish(i, "w")->accepted);
    }
    EXPECT_EQ(it.store.size(), 201U);
    EXPECT_TRUE(
        it.store.peek(coordination::config_change_key(core::generation{31})));
    EXPECT_FALSE(
        it.store.peek(coordination::config_change_key(core::generation{30})));
}

// Guards against a document that is too large for the store.
TEST(config_follower, refuses_a_large_document)
{
    auto it = config_fixture{};
    EXPECT_FALSE(it.publish(0, std::string(1024 * 1024 + 1, 'w')));
    EXPECT_EQ(core::last_reason().kind, core::error_kind::invalid_input);
}

// Guards against a history check that accepts a reverted generation.
TEST(config_follower, check_rejects_a_reverted_generation)
{
    auto settings = coordination::config_follower_settings{};
    settings.apply_lower_generations = true;
    auto it = config_fixture{1, settings};
    it.followers[0]->offer(document_of("a", 2));
    it.followers[0]->offer(document_of("b", 1));
    EXPECT_FALSE(std::is_sorted(it.seen.begin(), it.seen.end()));
}

// Guards against a generation that reverts, against two accepted publishes of
// one generation, and against a refused publish that comes into force, under
// any mix of faults.
RC_GTEST_PROP(config_follower, generations_never_revert, ())
{
    auto it = config_fixture{2};
    auto accepted = std::set<std::uint64_t>{};
    auto refused = std::set<std::string>{};
    auto former = std::vector<state::config_document>{{}};
    auto const steps =
        *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 100U));
    for (auto const step : steps)
    {
        auto const who = step / 10 % 2;
        auto const base = it.number(who);
        auto const name = "w" + std::to_string(former.size());
        former.push_back(*it.followers[who]->current().document);
        switch (step % 10)
        {
        case 0: it.store.apply_late(); break;
        case 1: it.followers[who]->offer(former[step % former.size()]); break;
        case 2:
        case 3: it.store.set_faults({.down = step > 50}); break;
        case 4: it.run(1s); break;
        default:
            it.fates = {static_cast<store_fate>(step / 20)};
            it.late_while_settling = step % 2 == 0;
            auto const done = it.publish(base, name, who);
            auto const kind = core::last_reason().kind;
            if (done && done->accepted)
            {
                RC_ASSERT(accepted.insert(base + 1).second);
            }
            else if (done || kind != core::error_kind::unknown_outcome)
            {
                refused.insert(name);
            }
        }
        RC_ASSERT(it.number(who) >= base);
    }
    it.store.set_faults({});
    while (it.store.apply_late())
    {
    }
    it.run(2s);
    RC_ASSERT(std::is_sorted(it.seen.begin(), it.seen.end()));
    auto const highest = accepted.empty() ? 0U : *accepted.rbegin();
    RC_ASSERT(it.number() >= highest);
    for (auto const& name : it.workers)
    {
        RC_ASSERT(!refused.contains(name));
    }
}
