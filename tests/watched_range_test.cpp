/** @file watched_range_test.cpp Tests of a followed range of the store. */
#include "coordination/coordination.hpp"
#include "platform/document_func.hpp"
#include "transport/transport.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <string>
#include <utility>

namespace core = godwitcleat::core;
namespace coordination = godwitcleat::coordination;
namespace platform = godwitcleat::platform;
namespace transport = godwitcleat::transport;
using namespace std::chrono_literals;

namespace
{

/** Answers reads with an empty range; the test answers the watches. */
class scripted_store : public coordination::store
{
public:
    using coordination::store::range;

    auto range(
        coordination::store_query /*query*/,
        handler<coordination::store_range> on_done) -> void override
    {
        on_done(coordination::store_range{});
    }
    auto watch(
        std::string /*prefix*/, std::int64_t /*after*/, core::duration /*wait*/,
        handler<coordination::store_changes> on_done) -> void override
    {
        pending_watch = std::move(on_done);
    }
    auto commit(
        coordination::store_transaction /*transaction*/,
        handler<coordination::store_commit> /*on_done*/) -> void override
    {
    }
    auto grant(
        core::duration /*time_to_live*/,
        handler<coordination::store_lease> /*on_done*/) -> void override
    {
    }
    auto keep_alive(
        coordination::store_lease /*lease*/,
        handler<coordination::store_lease> /*on_done*/) -> void override
    {
    }
    auto revoke(
        coordination::store_lease /*lease*/,
        handler<coordination::store_lease> /*on_done*/) -> void override
    {
    }

    auto answer_watch(std::string key, bool may_be_incomplete) -> void
    {
        auto changes = coordination::store_changes{};
        changes.written.emplace_back();
        changes.written.back().key = std::move(key);
        changes.written.back().modify_revision = ++revision_;
        changes.revision = revision_;
        changes.may_be_incomplete = may_be_incomplete;
        std::exchange(pending_watch, nullptr)(std::move(changes));
    }

    handler<coordination::store_changes> pending_watch;

private:
    std::int64_t revision_ = 0;
};

auto changes_with(std::size_t events) -> std::string
{
    auto text = std::string{};
    for (auto i = std::size_t{0}; i < events; ++i)
    {
        text += fmt::format(
            R"({}{{"key":"servers/{}","revision":{},"tombstone":true}})",
            i == 0 ? "" : ",", i, i + 1);
    }
    return fmt::format(
        R"({{"events":[{}],"store-revision":{}}})", text, events);
}

} // namespace

// Guards against starts on a draining worker: the store had left out changes of
// a long answer, but the copy was taken as current.
TEST(watched_range, an_incomplete_answer_does_not_confirm_the_copy)
{
    auto time = core::manual_clock{};
    auto source = scripted_store{};
    auto loop = transport::reactor{1};
    auto settings = coordination::watched_range_settings{};
    settings.gap = 10s;
    auto range = coordination::watched_range{
        source,
        loop,
        time.reader(),
        core::null_logger(),
        "servers/",
        settings,
        [](auto const&) {
        }};
    auto const begin = time.reader()();
    range.start();
    ASSERT_EQ(range.confirmed_at(), begin);

    time.advance(1s);
    source.answer_watch("a", true);
    ASSERT_TRUE(source.pending_watch); // Sent at once, without the pause.
    time.advance(1s);
    source.answer_watch("b", true);
    EXPECT_EQ(range.confirmed_at(), begin);
    ASSERT_TRUE(source.pending_watch);
    source.answer_watch("c", false);
    EXPECT_EQ(range.confirmed_at(), begin + 2s);
}

// Guards against a full answer of the store that is taken as complete.
TEST(watched_range, a_full_answer_of_the_store_may_be_incomplete)
{
    auto const few = platform::parse_store_changes(changes_with(100));
    ASSERT_TRUE(few);
    EXPECT_FALSE(few->may_be_incomplete);
    auto const full = platform::parse_store_changes(changes_with(500));
    ASSERT_TRUE(full);
    EXPECT_TRUE(full->may_be_incomplete);
    EXPECT_EQ(full->removed.size(), 500U);
}
