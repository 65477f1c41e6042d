/** @file store_data_test.cpp Tests of the store stand-in's data file. */
#include "coordination/coordination.hpp"
#include "standins/support/standin_store_base.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <unistd.h>
#include <vector>

namespace core = godwitcleat::core;
namespace coordination = godwitcleat::coordination;
namespace standins = godwitcleat::standins;
using namespace std::chrono_literals;

namespace
{

/** A data file that is removed at the end, and stores that use it. */
struct data_fixture
{
    core::manual_clock time;
    std::vector<std::string> lines; ///< Of the log.
    std::string path =
        fmt::format("{}store_data_{}", testing::TempDir(), getpid());

    data_fixture()
    {
        std::filesystem::remove(path);
    }
    data_fixture(data_fixture const&) = delete;
    auto operator=(data_fixture const&) -> data_fixture& = delete;
    ~data_fixture()
    {
        std::filesystem::remove(path);
    }

    // Starts a store on the file; null if it refuses the file.
    auto start() -> std::unique_ptr<standins::standin_store>
    {
        auto result = std::make_unique<standins::standin_store>(
            time.reader(), standins::standin_store_settings{});
        auto const log = core::logger{
            [this](auto line) { lines.emplace_back(line); },
            core::log_level::info};
        return result->open_data(path, log) ? std::move(result) : nullptr;
    }
};

auto post(
    standins::standin_store& store, std::string_view path,
    std::string const& body) -> std::string
{
    auto result = std::string{};
    store.handle(
        "POST", path, body, [&](int, auto answer) { result = answer; });
    return result;
}

// Returns all keys with their values and revisions, and the store's revision.
auto read_all(standins::standin_store& store) -> std::string
{
    return post(store, "/v3/kv/range", R"({"key":"AA==","range_end":"/w=="})");
}

auto put(standins::standin_store& store, std::string_view key, int lease)
    -> void
{
    constexpr auto body =
        R"({{"success":[{{"request_put":{{"key":"{}","value":"/wAK",)"
        R"("lease":"{}"}}}}]}})";
    post(
        store, "/v3/kv/txn",
        fmt::format(body, coordination::base64_encode(key), lease));
}

auto remove(
    standins::standin_store& store, std::string_view key, std::string_view end)
    -> void
{
    constexpr auto body = R"({{"success":[{{"request_delete_range":)"
                          R"({{"key":"{}","range_end":"{}"}}}}]}})";
    post(
        store, "/v3/kv/txn",
        fmt::format(
            body, coordination::base64_encode(key),
            coordination::base64_encode(end)));
}

auto grant(standins::standin_store& store) -> void
{
    post(store, "/v3/lease/grant", R"({"TTL":"2"})");
}

auto revoke(standins::standin_store& store, int lease) -> void
{
    post(store, "/v3/lease/revoke", fmt::format(R"({{"ID":"{}"}})", lease));
}

} // namespace

// Guards against a restarted store that lacks an acknowledged change, changes
// a revision that a later compare names, or keeps a lapsed lease's keys.
RC_GTEST_PROP(standin_store_data, restart_keeps_everything, ())
{
    auto it = data_fixture{};
    auto store = it.start();
    auto const steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 24));
    for (auto const step : steps)
    {
        auto const key = std::string(1, static_cast<char>('a' + step % 4));
        auto const lease = step % 3 + 1;
        if (step < 10)
        {
            put(*store, key, step < 5 ? 0 : lease);
        }
        else if (step < 14)
        {
            remove(*store, key, step < 12 ? "" : "d");
        }
        else if (step < 19)
        {
            grant(*store);
        }
        else if (step < 21)
        {
            revoke(*store, lease);
        }
        else if (step < 22)
        {
            it.time.advance(1s);
            store->tick();
        }
        else
        {
            auto const before = read_all(*store);
            store = it.start();
            RC_ASSERT(store != nullptr);
            RC_ASSERT(read_all(*store) == before);
        }
    }
    auto const copy = it.start();
    RC_ASSERT(copy != nullptr);
    RC_ASSERT(read_all(*copy) == read_all(*store));
    it.time.advance(3s);
    store->tick();
    copy->tick();
    RC_ASSERT(read_all(*copy) == read_all(*store));
}

// Guards against a restarted store that ends the leases of living owners, and
// against leases that never end after a restart.
TEST(standin_store_data, leases_have_their_time_again)
{
    auto it = data_fixture{};
    auto store = it.start();
    grant(*store);
    put(*store, "a", 1);
    it.time.advance(1500ms);
    store = it.start();
    ASSERT_TRUE(store);
    it.time.advance(1500ms);
    store->tick();
    EXPECT_NE(read_all(*store).find("YQ=="), std::string::npos);
    it.time.advance(500ms);
    store->tick();
    EXPECT_EQ(read_all(*store).find("YQ=="), std::string::npos);
}

// Guards against a store that takes half a record for a change, or that cannot
// start again after it was killed during a write.
TEST(standin_store_data, cuts_off_an_incomplete_record)
{
    auto it = data_fixture{};
    auto store = it.start();
    put(*store, "a", 0);
    auto const before = read_all(*store);
    auto const kept = std::filesystem::file_size(it.path);
    put(*store, "b", 0);
    std::filesystem::resize_file(
        it.path, std::filesystem::file_size(it.path) - 1);
    store = it.start();
    ASSERT_TRUE(store);
    EXPECT_EQ(read_all(*store), before);
    EXPECT_EQ(std::filesystem::file_size(it.path), kept);
    ASSERT_EQ(it.lines.size(), 1U);
    EXPECT_NE(it.lines[0].find("record is incomplete"), std::string::npos);
    put(*store, "c", 0);
    auto const after = read_all(*store);
    auto const copy = it.start();
    ASSERT_TRUE(copy);
    EXPECT_EQ(read_all(*copy), after);
}

// Guards against a store that drops acknowledged changes in silence.
TEST(standin_store_data, refuses_a_damaged_record)
{
    auto it = data_fixture{};
    auto store = it.start();
    put(*store, "a", 0);
    auto const second = std::filesystem::file_size(it.path);
    put(*store, "b", 0);
    auto file = std::fstream{it.path};
    file.seekp(static_cast<std::streamoff>(second) + 30);
    file.put('#').flush();
    EXPECT_FALSE(it.start());
    EXPECT_EQ(core::last_reason().kind, core::error_kind::invalid_input);
    EXPECT_TRUE(core::last_reason().message.starts_with(it.path + ":2: "));
}

// Guards against a store that carries out, or acknowledges, a change that its
// data file does not hold.
TEST(standin_store_data, refuses_changes_that_are_not_kept)
{
    auto time = core::manual_clock{};
    auto kept = true;
    auto store = standins::memory_store{
        time.reader(),
        {{},
         {},
         [&kept](auto const&)
         {
             return kept;
         }}};
    auto lease = coordination::store_lease{};
    store.grant(2s, [&](auto done) { lease = *done; });
    store.commit({{}, {{"a", "1", "", lease}}}, [](auto) {});
    kept = false;
    auto failures = 0;
    auto const count = [&failures](auto const& done)
    {
        failures += done ? 0 : 1;
        EXPECT_EQ(core::last_reason().kind, core::error_kind::unavailable);
    };
    store.commit({{}, {{"b", "1", "", {}}}}, count);
    store.grant(2s, count);
    store.revoke(lease, count);
    EXPECT_EQ(failures, 3);
    EXPECT_TRUE(store.peek("a"));
    EXPECT_FALSE(store.peek("b"));
}
