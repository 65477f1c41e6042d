/** @file store_test.cpp Tests of the in-process store and the etcd store. */
#include "coordination/coordination.hpp"
#include "standins/support/etcd_gateway_base.hpp"
#include "standins/support/memory_store_base.hpp"
#include "standins/support/standin_store_base.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace core = godwitcleat::core;
namespace coordination = godwitcleat::coordination;
namespace standins = godwitcleat::standins;
namespace transport = godwitcleat::transport;
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

namespace
{

/** An etcd store whose requests are answered by a function. */
struct etcd_fixture
{
    core::manual_clock time;
    std::function<transport::http_result(transport::http_request const&)> serve;
    std::vector<std::string> asked; ///< Addresses in the order of requests.
    coordination::etcd_store store{
        [this](auto const& where, auto request, auto, auto on_done)
        {
            asked.push_back(where.address);
            on_done(serve(request));
        },
        time.reader(),
        core::null_logger(),
        {{{"10.0.0.1", 1}, {"10.0.0.2", 2}, {"10.0.0.3", 3}}}};

    /** Answers every request with @p status and @p body. */
    auto always(int status, std::string body) -> void
    {
        serve = [status, body](auto const&)
        {
            auto result = transport::http_result{};
            result.response = transport::http_response{status, {}, body};
            return result;
        };
    }

    /** Returns the kind of error of a put, none if it succeeded. */
    auto put_error() -> core::error_kind
    {
        auto kind = core::error_kind::none;
        store.commit(
            {{{"foo", 0}}, {{"foo", "bar", "", {}}}},
            [&](auto done) {
                kind = done ? core::error_kind::none : core::last_reason().kind;
            });
        return kind;
    }

    auto read_error() -> core::error_kind
    {
        auto kind = core::error_kind::none;
        store.range(
            "foo", "", 1,
            [&](auto done) {
                kind = done ? core::error_kind::none : core::last_reason().kind;
            });
        return kind;
    }
};

auto no_response(transport::send_progress progress) -> transport::http_result
{
    auto result = transport::http_result{};
    result.reason = {core::error_kind::unavailable, "test"};
    result.progress = progress;
    return result;
}

} // namespace

// Guards against requests that a real etcd does not understand. The texts are
// those of the published gateway documentation ("foo" is Zm9v).
TEST(etcd_store, speaks_the_published_protocol)
{
    using coordination::etcd_commit_body;
    EXPECT_EQ(
        coordination::etcd_range_body({"foo", "", 0, 0}), R"({"key":"Zm9v"})");
    EXPECT_EQ(
        coordination::etcd_range_body({"foo", "fop", 5, 0}),
        R"({"key":"Zm9v","limit":"5","range_end":"Zm9w"})");
    EXPECT_EQ(
        etcd_commit_body(
            {{{"foo", 2}},
             {{"foo", "bar", "", coordination::store_lease{9}},
              {"a", std::nullopt, "b", {}}}}),
        R"({"compare":[{"key":"Zm9v","mod_revision":"2","result":"EQUAL",)"
        R"("target":"MOD"}],"success":[{"request_put":{"key":"Zm9v",)"
        R"("lease":"9","value":"YmFy"}},{"request_delete_range":)"
        R"({"key":"YQ==","range_end":"Yg=="}}]})");
    auto const found = coordination::etcd_range_answer(
        R"({"header":{"cluster_id":"12585971608760269493","revision":"2"},)"
        R"("kvs":[{"key":"Zm9v","create_revision":"2","mod_revision":"3",)"
        R"("version":"1","value":"YmFy"}],"count":"1"})");
    ASSERT_TRUE(found && found->entries.size() == 1);
    EXPECT_EQ(found->entries.front().value, "bar");
    EXPECT_EQ(found->entries.front().modify_revision, 3);
    EXPECT_FALSE(found->more);
    auto const failed = coordination::etcd_commit_answer(
        R"({"header":{"revision":"4"},"responses":[]})");
    ASSERT_TRUE(failed);
    EXPECT_FALSE(failed->succeeded);
    EXPECT_EQ(
        coordination::etcd_keep_alive_answer(
            R"({"result":{"header":{"revision":"4"},"ID":"7"}})"),
        0);
}

// Guards against a write that is repeated at another address although the
// first one may have carried it out.
TEST(etcd_store, tries_the_next_address_only_if_nothing_was_written)
{
    auto it = etcd_fixture{};
    it.serve = [](auto const&)
    {
        return no_response(transport::send_progress::nothing_written);
    };
    EXPECT_EQ(it.put_error(), core::error_kind::unavailable);
    EXPECT_EQ(it.asked.size(), 3U);
    it.asked.clear();
    it.serve = [](auto const&)
    {
        return no_response(transport::send_progress::maybe_written);
    };
    EXPECT_EQ(it.put_error(), core::error_kind::unknown_outcome);
    EXPECT_EQ(it.read_error(), core::error_kind::unavailable);
    ASSERT_EQ(it.asked.size(), 2U);
    EXPECT_NE(it.asked.front(), it.asked.back());
}

// Guards against "certainly not done" for a write that may have been done.
TEST(etcd_store, maps_errors)
{
    using core::error_kind;
    struct expectation
    {
        int status;
        std::string body;
        error_kind put;
        error_kind read;
    };
    auto const lapsed = standins::etcd_error_body(5, "lease not found");
    for (auto const& [status, body, put, read] : std::vector<expectation>{
             {429, "", error_kind::unavailable, error_kind::unavailable},
             {400, "", error_kind::invalid_input, error_kind::invalid_input},
             {404, "", error_kind::unavailable, error_kind::unavailable},
             {404, lapsed, error_kind::not_found, error_kind::not_found},
             {503, "", error_kind::unknown_outcome, error_kind::unavailable},
             {500, "", error_kind::unknown_outcome, error_kind::unavailable},
             {200, "{", error_kind::unknown_outcome, error_kind::unavailable},
             {200, "{}", error_kind::unknown_outcome, error_kind::unavailable},
             {200, R"({"header":{}})", error_kind::none, error_kind::none}})
    {
        auto it = etcd_fixture{};
        it.always(status, body);
        EXPECT_EQ(it.put_error(), put) << status << body;
        EXPECT_EQ(it.read_error(), read) << status << body;
    }
}

// Guards against a revision that wraps round when it is read.
TEST(etcd_store, refuses_numbers_out_of_range)
{
    for (auto const* it :
         {"18446744073709551615", "\"18446744073709551615\"", "1e30", "1.5"})
    {
        auto const body =
            R"({"header":{"revision":)" + std::string{it} + R"(},"kvs":[]})";
        EXPECT_FALSE(coordination::etcd_range_answer(body)) << it;
    }
    EXPECT_TRUE(
        coordination::etcd_range_answer(R"({"header":{"revision":7}})"));
}

// Guards against crashes on arbitrary answers.
RC_GTEST_PROP(etcd_store, survives_any_answer, (std::string const& text))
{
    coordination::etcd_range_answer(text);
    coordination::etcd_keep_alive_answer(text);
    coordination::base64_decode(text);
    coordination::etcd_range_answer(
        R"({"header":{},"kvs":[{"key":")" + text + R"("}]})");
    RC_ASSERT(
        coordination::base64_decode(coordination::base64_encode(text)) == text);
}

// Guards against a difference between the two stores: the same calls, one by
// one, must have the same results over the gateway as without it.
RC_GTEST_PROP(etcd_store, equals_the_store_behind_it, ())
{
    auto direct = store_fixture{};
    auto behind = store_fixture{};
    auto gateway = standins::etcd_gateway{behind.store};
    auto it = etcd_fixture{};
    it.serve = [&](transport::http_request const& request)
    {
        auto result = transport::http_result{};
        gateway.handle(
            request.target, request.body,
            [&](int status, std::string body) {
                result.response = transport::http_response{status, {}, body};
            });
        return result;
    };
    auto lease = coordination::store_lease{};
    auto const steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::inRange(0, 4)));
    for (auto const& [kind, which] : steps)
    {
        auto const key = std::string(1, static_cast<char>(which * 85));
        auto const old = direct.store.peek(key);
        auto const revision = old && kind < 3 ? old->modify_revision : 0;
        auto text = std::vector<std::string>{};
        for (auto* const store :
             std::vector<coordination::store*>{&direct.store, &it.store})
        {
            auto const note = [&](auto const& done, auto const& describe)
            {
                text.push_back(
                    done ? describe(*done)
                         : std::string{
                               core::to_string(core::last_reason().kind)});
            };
            auto const note_commit = [&](auto done)
            {
                note(
                    done,
                    [](auto const& value) {
                        return fmt::format(
                            "{} {}", value.succeeded, value.revision);
                    });
            };
            auto const note_lease = [&](auto done)
            {
                lease = done.value_or(lease);
                note(
                    done, [](auto const& value)
                    { return std::to_string(value.value); });
            };
            switch (kind)
            {
            case 0: store->grant(2500ms, note_lease); break;
            case 1: store->keep_alive(lease, note_lease); break;
            case 2:
                store->commit(
                    {{{key, revision}}, {{key, std::nullopt, "", {}}}},
                    note_commit);
                break;
            case 3:
                store->range(
                    std::string(1, '\0'), key, which,
                    [&](auto done)
                    {
                        note(
                            done,
                            [](auto const& value)
                            {
                                auto all = fmt::format(
                                    "{} {}", value.revision, value.more);
                                for (auto const& entry : value.entries)
                                {
                                    all += fmt::format(
                                        " {}={} {} {}", entry.key, entry.value,
                                        entry.create_revision,
                                        entry.modify_revision);
                                }
                                return all;
                            });
                    });
                break;
            default:
                store->commit(
                    {{{key, revision}},
                     {{key, std::string(which, 'v'), "", lease}}},
                    note_commit);
            }
        }
        RC_ASSERT(text.at(0) == text.at(1));
        direct.time.advance(500ms);
        behind.time.advance(500ms);
    }
}

namespace
{

/** Collects the replies of a stand-in. */
struct standin_fixture
{
    core::manual_clock time;
    standins::standin_store store{time.reader(), {"", 2, 1}};
    std::vector<int> statuses;

    auto post(std::string_view path, std::string_view body) -> void
    {
        store.handle(
            "POST", path, body,
            [this](int status, std::string const&)
            { statuses.push_back(status); });
    }
};

constexpr auto read_request = R"({"key":"Zm9v"})";
constexpr auto write_request =
    R"({"success":[{"request_put":{"key":"Zm9v","value":"YmFy"}}]})";

} // namespace

// Guards against a stand-in that is faster than the platform's store, and
// against reads that use up the rate of writes.
TEST(standin_store, limits_reads_and_writes)
{
    auto it = standin_fixture{};
    for (auto i = 0; i < 2; ++i)
    {
        it.post("/v3/kv/range", read_request);
    }
    for (auto i = 0; i < 3; ++i)
    {
        it.post("/v3/kv/txn", write_request);
    }
    it.time.advance(1s);
    it.post("/v3/kv/txn", write_request);
    EXPECT_EQ(it.statuses, (std::vector{200, 429, 200, 200, 429, 200}));
}

// Guards against faults that tests set but that have no effect.
TEST(standin_store, carries_out_faults)
{
    auto it = standin_fixture{};
    it.post("/fault", R"({"lose_replies": 1})");
    it.post("/v3/kv/txn", write_request);
    it.post("/v3/kv/txn", write_request);
    EXPECT_EQ(it.statuses, (std::vector{200, 503, 200}));
    it.time.advance(1s);
    it.post("/fault", R"({"down": true})");
    it.post("/v3/kv/txn", write_request);
    it.post("/fault", R"({"delay_ms": 50})");
    it.post("/v3/kv/range", read_request);
    it.store.tick();
    EXPECT_EQ(it.statuses, (std::vector{200, 503, 200, 200, 503, 200}));
    it.time.advance(50ms);
    it.store.tick();
    EXPECT_EQ(it.statuses.size(), 7U);
    it.post("/fault", "{}");
    it.post("/fault", "[]");
    it.post("/v3/kv/txn", "nonsense");
    EXPECT_EQ(
        it.statuses,
        (std::vector{200, 503, 200, 200, 503, 200, 200, 200, 400, 400}));
}
