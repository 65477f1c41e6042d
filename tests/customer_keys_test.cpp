/** @file customer_keys_test.cpp Keys of customers: which calls are carried out,
 * and how changes of the keys reach an instance. */
#include "platform/platform.hpp"
#include "tests/support/transport_fixture_base.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace coordination = godwitcleat::coordination;
namespace core = godwitcleat::core;
namespace platform = godwitcleat::platform;
namespace protocol = godwitcleat::protocol;
namespace state = godwitcleat::state;
namespace tests = godwitcleat::tests;
namespace transport = godwitcleat::transport;
using namespace std::chrono_literals;

namespace
{

constexpr auto unauthorized = 401;
constexpr auto forbidden = 403;
constexpr auto ok = 200;

/** A configuration of a closed and an open queue with @p customers. */
auto config(std::string_view customers, int version = 1) -> std::string
{
    return fmt::format(
        R"({{"version":{},"routes":[{{"name":"r1","host":"desk.example",)"
        R"("prefix":"/jobs/","service":"svc","auth-exempt":false}},)"
        R"({{"name":"r2","host":"desk.example","prefix":"/open/",)"
        R"("service":"svc","auth-exempt":true}}]{}}})",
        version, customers);
}

constexpr auto two_customers =
    R"(,"tenants":[{"name":"a","api-keys":["key-a","key-b"],"weight":2.5,)"
    R"("max-count":{"cpu":4000,"mem-mb":100,"gpu":1}},)"
    R"({"name":"b","api-keys":["key-c"]}])";

/** The interface for callers with a route that only records its calls. */
struct customer_keys : testing::Test
{
    auto use(std::string const& document) -> void
    {
        auto table = platform::parse_queue_table(document);
        ASSERT_TRUE(table) << core::last_reason().message;
        api.set_queues(
            std::make_shared<state::queue_table const>(std::move(*table)));
    }

    auto call(
        std::string const& method, std::string const& target,
        std::optional<std::string> const& key) -> int
    {
        auto request = transport::http_request{};
        request.method = method;
        request.target = target;
        request.headers.set("Host", "desk.example");
        if (key)
        {
            request.headers.set("X-Api-Key", *key);
        }
        request.body =
            R"({"spec":"text","steps":[{"count":1,"cpu":100,"mem-mb":1}]})";
        auto status = 0;
        api.handle(
            request, [&](auto const& response) { status = response.status; });
        return status;
    }

    /** Returns true if every kind of call with @p key is carried out. */
    auto is_accepted(std::optional<std::string> const& key) -> bool
    {
        auto accepted = 0;
        constexpr auto kinds = 4;
        accepted += call("POST", job, key) == ok ? 1 : 0;
        accepted += call("GET", job, key) == ok ? 1 : 0;
        accepted += call("DELETE", job, key) == ok ? 1 : 0;
        accepted += call("GET", "/jobs/", key) == ok ? 1 : 0;
        EXPECT_TRUE(accepted == 0 || accepted == kinds) << accepted;
        return accepted == kinds;
    }

    std::string job = "/jobs/0123456789abcdef";
    core::metrics metrics;
    std::vector<protocol::job_call> calls;
    protocol::job_answer answer;
    platform::job_api api{
        [this](auto it, auto, auto const& on_answer)
        {
            calls.push_back(std::move(it));
            on_answer(answer);
        },
        core::null_logger(), metrics};
};

/** An exchange with one other instance, whose answer the test sets. */
struct exchange_fixture
{
    exchange_fixture()
    {
        exchange.start();
    }

    ~exchange_fixture()
    {
        loop.stop();
    }

    std::atomic<bool> needed = true;
    std::atomic<bool> confirmed = false;
    std::atomic<std::uint64_t> version = 5;
    std::atomic<std::uint64_t> offered = 7;
    std::atomic<int> asked = 0;
    std::atomic<int> taken = 0;
    core::metrics metrics;
    transport::reactor loop{1};
    coordination::config_exchange exchange{
        loop,
        core::suspend_aware_clock(),
        core::null_logger(),
        metrics,
        [this](auto const&, auto const& payload, auto, auto const& on_done)
        {
            auto const call = protocol::decode<protocol::job_call>(payload);
            ASSERT_TRUE(call);
            EXPECT_EQ(call->kind, protocol::job_call_kind::config);
            EXPECT_EQ(call->config_version, version);
            ++asked;
            auto answer = protocol::job_answer{};
            answer.config_version = offered;
            answer.config = "document";
            on_done(protocol::encode(answer));
        },
        {[this] { return needed.load(); },
         [this]
         {
             return confirmed ? std::optional{core::suspend_aware_clock()()}
                              : std::nullopt;
         },
         [this] { return version.load(); },
         [] {
             return std::vector{transport::endpoint{"127.0.0.1", 1}};
         },
         [this](auto const& document)
         {
             EXPECT_EQ(document, "document");
             ++taken;
             version = offered.load();
         }},
        {1500ms, 10ms, 450ms}};
};

} // namespace

// Guards against calls that are carried out without a key of a customer.
TEST_F(customer_keys, an_unknown_key_is_refused_before_anything_is_stored)
{
    use(config(two_customers));
    EXPECT_FALSE(is_accepted(std::nullopt));
    EXPECT_FALSE(is_accepted(""));
    EXPECT_FALSE(is_accepted("key"));
    EXPECT_TRUE(calls.empty());
    EXPECT_EQ(call("POST", job, "key-x"), unauthorized);
}

// Guards against jobs that count for another customer.
TEST_F(customer_keys, each_key_names_its_customer)
{
    use(config(two_customers));
    EXPECT_TRUE(is_accepted("key-a"));
    EXPECT_TRUE(is_accepted("key-b"));
    EXPECT_EQ(calls.back().customer.value, "a");
    EXPECT_TRUE(is_accepted("key-c"));
    EXPECT_EQ(calls.back().customer.value, "b");
}

// Guards against an open queue that asks for a key, or that ignores one.
TEST_F(customer_keys, an_open_queue_needs_no_key)
{
    use(config(two_customers));
    auto const open = "/open/0123456789abcdef";
    EXPECT_EQ(call("GET", open, std::nullopt), ok);
    EXPECT_TRUE(calls.back().customer.empty());
    EXPECT_EQ(call("GET", open, "unknown"), ok);
    EXPECT_TRUE(calls.back().customer.empty());
    EXPECT_EQ(call("GET", open, "key-c"), ok);
    EXPECT_EQ(calls.back().customer.value, "b");
}

// Guards against a key that is in force after it was taken away, and against
// one that was added and is refused.
TEST_F(customer_keys, a_new_version_decides_at_once)
{
    use(config(two_customers));
    EXPECT_TRUE(is_accepted("key-a"));
    use(config(R"(,"tenants":[{"name":"a","api-keys":["key-d"]}])", 2));
    EXPECT_FALSE(is_accepted("key-a"));
    EXPECT_FALSE(is_accepted("key-c"));
    EXPECT_TRUE(is_accepted("key-d"));
}

// Guards against deployments without customers that need a key.
TEST_F(customer_keys, without_customers_no_key_is_needed)
{
    use(config(""));
    EXPECT_TRUE(is_accepted(std::nullopt));
    EXPECT_TRUE(is_accepted("any"));
    EXPECT_TRUE(calls.back().customer.empty());
}

// Guards against an instance that serves by no configuration.
TEST_F(customer_keys, without_a_configuration_nobody_is_served)
{
    constexpr auto unavailable = 503;
    EXPECT_EQ(call("GET", job, "key-a"), unavailable);
}

// Guards against an answer that shows a job of another customer's id as taken.
TEST_F(customer_keys, the_id_of_another_customer_is_forbidden)
{
    use(config(two_customers));
    answer.error = core::error_kind::conflict;
    EXPECT_EQ(call("POST", job, "key-a"), forbidden);
}

// Guards against limits and weights that are read wrongly.
TEST(customer_config, limits_and_weights_are_read)
{
    auto const table = platform::parse_queue_table(config(two_customers));
    ASSERT_TRUE(table);
    ASSERT_TRUE(table->customers);
    auto const& customers = table->customers->customers;
    auto const& a = customers.at(state::customer_id{"a"});
    EXPECT_DOUBLE_EQ(a.weight, 2.5);
    EXPECT_EQ(a.limit, (core::resources{4000, 100, 1}));
    auto const& b = customers.at(state::customer_id{"b"});
    EXPECT_DOUBLE_EQ(b.weight, 1.0);
    EXPECT_EQ(b.limit, core::resources{});
    EXPECT_EQ(table->customers->keys.size(), 3U);
    EXPECT_TRUE(table->queues.at(state::queue_id{"r2"}).is_open);
    EXPECT_FALSE(table->queues.at(state::queue_id{"r1"}).is_open);
}

// Guards against a damaged list that is taken in part, and against keys in
// messages, which are logged.
TEST(customer_config, bad_lists_are_refused_with_the_member)
{
    struct bad_list
    {
        std::string text;
        std::string member;
    };
    auto const lists = std::vector<bad_list>{
        {R"([{"name":"a","api-keys":["secret"]},)"
         R"({"name":"b","api-keys":["secret"]}])",
         "tenants[1].api-keys"},
        {R"([{"name":"a","api-keys":["secret"]},)"
         R"({"name":"a","api-keys":["other"]}])",
         "tenants[1].name"},
        {R"([{"name":"a","api-keys":[""]}])", "tenants[0].api-keys"},
        {R"([{"name":"a","api-keys":["secret",7]}])", "tenants[0].api-keys"},
        {R"([{"name":"a","api-keys":"secret"}])", "api-keys"},
        {R"([{"name":"a","weight":0}])", "tenants[0].weight"},
        {R"([{"name":"a","weight":-1}])", "weight"},
        {R"([{"api-keys":["secret"]}])", "name"},
        {R"([{"name":"a","max-count":{"cpu":-1}}])", "cpu"},
        {R"([7])", "tenants[0]"},
        {R"({"a":"secret"})", "tenants"}};
    for (auto const& it : lists)
    {
        auto const document = config(R"(,"tenants":)" + it.text);
        EXPECT_FALSE(platform::parse_queue_table(document)) << it.text;
        auto const& message = core::last_reason().message;
        EXPECT_NE(message.find(it.member), std::string::npos) << message;
        EXPECT_EQ(message.find("secret"), std::string::npos) << message;
    }
}

// Guards against an instance that the store turns away and that goes on with
// keys that were taken away.
TEST(config_exchange, a_newer_version_comes_from_another_instance)
{
    auto fixture = exchange_fixture{};
    EXPECT_TRUE(tests::eventually([&] { return fixture.taken == 1; }));
    EXPECT_EQ(fixture.version, 7U);
}

// Guards against a version that is taken back.
TEST(config_exchange, an_older_version_is_never_taken)
{
    auto fixture = exchange_fixture{};
    ASSERT_TRUE(tests::eventually([&] { return fixture.taken == 1; }));
    fixture.offered = 6;
    auto const before = fixture.asked.load();
    EXPECT_TRUE(tests::eventually([&] { return fixture.asked > before + 3; }));
    EXPECT_EQ(fixture.taken, 1);
    EXPECT_EQ(fixture.version, 7U);
}

// Guards against calls between instances while the store confirms the
// configuration, or in a deployment without customers.
TEST(config_exchange, nothing_is_asked_without_need)
{
    auto fixture = exchange_fixture{};
    ASSERT_TRUE(tests::eventually([&] { return fixture.asked > 0; }));
    auto const stays_silent = [&]
    {
        std::this_thread::sleep_for(50ms);
        auto const before = fixture.asked.load();
        std::this_thread::sleep_for(200ms);
        return fixture.asked == before;
    };
    fixture.confirmed = true;
    EXPECT_TRUE(stays_silent());
    fixture.confirmed = false;
    fixture.needed = false;
    EXPECT_TRUE(stays_silent());
}
