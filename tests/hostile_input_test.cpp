/** @file hostile_input_test.cpp Hostile input on the three ports of a daemon.
 */
#include "standins/support/standin_store_base.hpp"
#include "tests/support/daemon_fixture_base.hpp"
#include "tests/support/raw_client_base.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

#include <fstream>
#include <limits>
#include <thread>
#include <unistd.h>

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
// Of the sanitizers' allocator_interface.h, which g++ does not always install.
extern "C" auto __sanitizer_get_current_allocated_bytes() -> std::size_t;
#endif

namespace core = godwitcleat::core;
namespace protocol = godwitcleat::protocol;
namespace standins = godwitcleat::standins;
namespace state = godwitcleat::state;
namespace tests = godwitcleat::tests;
namespace transport = godwitcleat::transport;
using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

// A body kept by each of the 40 oversized requests would exceed this.
constexpr std::size_t most_growth_bytes = std::size_t{200} * 1024 * 1024;

constexpr std::size_t body_limit = std::size_t{8} * 1024 * 1024;

// Longer than the servers' read timeout of 10 s.
constexpr auto answer_limit = 20s;

// A sanitizer keeps freed memory, so its own count of live bytes is used.
auto used_bytes() -> std::size_t
{
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
    return __sanitizer_get_current_allocated_bytes();
#else
    auto file = std::ifstream{"/proc/self/statm"};
    auto size = std::size_t{};
    auto resident = std::size_t{};
    file >> size >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
#endif
}

/** A store on a free port, kept by the tests' process. */
struct store_server
{
    standins::standin_store store{core::system_clock(), {}};
    transport::reactor loop{1};
    std::optional<transport::http_server> server =
        transport::http_server::listen(
            loop, {"127.0.0.1", 0}, {},
            [this](auto const& request, auto reply)
            {
                store.handle(
                    request.method, request.target, request.body,
                    [reply](int status, std::string body)
                    {
                        auto response = transport::http_response{};
                        response.status = status;
                        response.body = std::move(body);
                        reply(std::move(response));
                    });
            });
    transport::timer_handle timer = loop.every(5ms, [this] { store.tick(); });

    ~store_server()
    {
        loop.stop();
    }
};

/** One daemon that owns the only shard; all tests share it. */
class hostile : public testing::Environment
{
public:
    auto SetUp() -> void override
    {
        store_ = std::make_unique<store_server>();
        fixture_ = std::make_unique<tests::daemon_fixture>(
            godwitcleat::daemon::daemon_faults{},
            [](auto& settings)
            {
                settings.store = {store_->server->local()};
                settings.peers = {};
                settings.threads = 2;
            });
        EXPECT_TRUE(tests::within([] { return owns_shard(); }, 30s));
        before_ = used_bytes();
    }

    auto TearDown() -> void override
    {
        fixture_.reset();
        store_.reset();
    }

    static auto where() -> godwitcleat::daemon::daemon_addresses
    {
        return fixture_->addresses();
    }

    static auto
    call(std::string method, std::string target, std::string body = "")
        -> transport::http_result
    {
        auto request = transport::http_request{};
        request.method = std::move(method);
        request.target = std::move(target);
        request.body = std::move(body);
        return fixture_->call(where().control, std::move(request));
    }

    static auto call_peer(std::string payload) -> std::optional<std::string>
    {
        return fixture_->call_peer(std::move(payload));
    }

    static auto owns_shard() -> bool
    {
        auto const result = call("GET", "/v1/status");
        return result.response && result.response->status == 200 &&
               !json::parse(result.response->body)["shards"].empty();
    }

    /** Returns true if all views of the control port can be read. */
    static auto is_serving() -> bool
    {
        for (auto const* it :
             {"/v1/status", "/v1/jobs", "/v1/workers", "/v1/services",
              "/v1/config", "/v1/metrics", "/v1/timeline?after=0"})
        {
            auto const result = call("GET", it);
            if (!result.response || result.response->status != 200)
            {
                ADD_FAILURE() << it << " "
                              << (result.response ? result.response->body
                                                  : result.reason.message);
                return false;
            }
        }
        return true;
    }

    /** Expects that the daemon goes on for others, with bounded memory. */
    static auto expect_health() -> void
    {
        EXPECT_TRUE(is_serving());
        EXPECT_LT(used_bytes(), before_ + most_growth_bytes);
    }

private:
    static std::unique_ptr<store_server> store_;
    static std::unique_ptr<tests::daemon_fixture> fixture_;
    static std::size_t before_;
};

std::unique_ptr<store_server> hostile::store_;
std::unique_ptr<tests::daemon_fixture> hostile::fixture_;
std::size_t hostile::before_ = 0;

// GoogleTest owns it.
auto const* const environment =
    testing::AddGlobalTestEnvironment(new hostile{});

/** Makes hostile values out of valid ones. */
class mutator
{
public:
    explicit mutator(std::uint64_t seed)
        : random_(seed)
    {
    }

    auto below(std::size_t limit) -> std::size_t
    {
        return random_.below(limit);
    }

    auto bytes(std::size_t most) -> std::string
    {
        auto result = std::string(below(most + 1), '\0');
        for (auto& it : result)
        {
            it = static_cast<char>(below(256));
        }
        return result;
    }

    /** Cuts, repeats, overwrites or inserts bytes. */
    auto spoil(std::string text) -> std::string
    {
        auto const at = below(text.size() + 1);
        switch (below(5))
        {
        case 0: return text.substr(0, at);
        case 1: return text + text.substr(at);
        case 2: return text.insert(at, bytes(40));
        case 3: return text.insert(at, std::string(below(40'000), 'a'));
        default:
            for (auto i = below(4) + 1; i > 0 && !text.empty(); --i)
            {
                text[below(text.size())] = static_cast<char>(below(256));
            }
            return text;
        }
    }

    /** Replaces or removes some values in a tree. */
    auto spoil(json value) -> json
    {
        for (auto i = below(3) + 1; i > 0; --i)
        {
            spoil_one(value);
        }
        return value;
    }

    /** Returns a value of any type, within or beyond any range. */
    auto value() -> json
    {
        constexpr auto most = std::numeric_limits<std::int64_t>::max();
        constexpr auto least = std::numeric_limits<std::int64_t>::min();
        switch (below(16))
        {
        case 0: return nullptr;
        case 1: return true;
        case 2: return most;
        case 3: return least;
        case 4: return std::numeric_limits<std::uint64_t>::max();
        case 5: return -1;
        case 6: return std::numeric_limits<double>::max();
        case 7: return std::numeric_limits<double>::denorm_min();
        case 8: return "";
        case 9: return std::string(below(10'000), 'x');
        case 10: return nested(below(200));
        case 11: return json::object();
        case 12: return json::array({1, 2, 3});
        case 13: return most / 2 + 1;
        case 14: return 0;
        default: return std::string{"\xff\xfe\x00 z", 5};
        }
    }

private:
    static auto nested(std::size_t depth) -> json
    {
        auto result = json::array();
        for (; depth > 0; --depth)
        {
            result = json::array({std::move(result)});
        }
        return result;
    }

    auto spoil_one(json& root) -> void
    {
        auto* it = &root;
        while (it->is_structured() && !it->empty() && below(6) != 0)
        {
            auto child = it->begin();
            std::advance(child, below(it->size()));
            if (below(30) == 0)
            {
                it->erase(child);
                return;
            }
            it = &*child;
        }
        *it = value();
    }

    core::random_source random_;
};

auto resources() -> core::resources
{
    return {1000, 1024, 0};
}

auto spec() -> state::job_spec
{
    auto result = state::job_spec{};
    result.id = core::job_id{"job"};
    result.team = core::team_id{"team"};
    result.need = resources();
    result.command = "work 1";
    return result;
}

auto report() -> state::worker_report
{
    auto result = state::worker_report{};
    result.info.worker = core::worker_id{"w1"};
    result.info.rack = core::rack_id{"r1"};
    result.info.data_centre = core::data_centre_id{"dc-1"};
    result.info.capacity = {8000, 8192, 2};
    result.boot = 1;
    result.sequence = 1;
    auto task = state::task_report{};
    task.key = {core::job_id{"job"}, core::attempt_number{1}};
    task.usage = resources();
    result.tasks = {task, task};
    return result;
}

auto document() -> state::config_document
{
    auto result = state::config_document{};
    auto& team = result.teams[core::team_id{"team"}];
    team.team = core::team_id{"team"};
    auto& service = result.services[core::service_id{"desk"}];
    service.service = core::service_id{"desk"};
    service.team = core::team_id{"team"};
    service.need = resources();
    service.command = "serve";
    result.drained_data_centres = {core::data_centre_id{"dc-9"}};
    return result;
}

struct http_call
{
    std::string target;
    json body;
};

auto calls() -> std::vector<http_call>
{
    return {
        {"/v1/heartbeat", json::parse(protocol::to_json(report()))},
        {"/v1/jobs", json::parse(protocol::to_json(spec()))},
        {"/v1/cancel", {{"job", "job"}, {"reason", "none"}}},
        {"/v1/config",
         {{"base", 0},
          {"author", "a"},
          {"summary", "s"},
          {"document", json::parse(protocol::to_json(document()))}}}};
}

auto frames() -> std::vector<protocol::peer_request>
{
    auto update = protocol::peer_update{};
    update.instance = core::instance_id{"peer"};
    update.boot_id = "b";
    update.peer_address = "127.0.0.1:1";
    update.control_address = "127.0.0.1:1";
    update.shards = {{core::shard_id{1}, core::epoch{1}}};
    update.seen = update.shards;
    update.summaries = {{}};
    update.tables = {
        {core::shard_id{1},
         core::epoch{1},
         1,
         {{core::service_id{"desk"}, core::backend_server_id{"desk/1"},
           "127.0.0.1:1", core::data_centre_id{"dc-1"}, false}}}};
    update.loads = {{core::backend_server_id{"desk/1"}, 1}};
    auto const key =
        state::attempt_key{core::job_id{"job"}, core::attempt_number{1}};
    auto const shard = core::shard_id{0};
    return {
        update,
        protocol::config_request{},
        protocol::submit_request{spec()},
        protocol::cancel_request{core::job_id{"job"}, "none"},
        protocol::jobs_request{core::job_id{"job"}},
        protocol::workers_request{},
        protocol::timeline_request{0},
        state::offer_request{shard, shard, key, spec(), "c", 1},
        state::claim_request{shard, shard, key, core::worker_id{"w1"}},
        state::attempt_ended_request{
            shard, shard, key, state::attempt_outcome::finished, "c", 1},
        state::status_request{shard, shard, key}};
}

auto frame_of(std::string const& payload) -> std::string
{
    auto result = std::string{};
    auto const size = payload.size();
    for (auto shift = 24; shift >= 0; shift -= 8)
    {
        result += static_cast<char>(size >> shift);
    }
    return result + std::string(8, '\1') + payload;
}

// Sends bytes and expects an answer or the end of the connection.
auto is_ended(transport::endpoint const& to, std::string const& bytes) -> bool
{
    auto const client = tests::raw_client{to};
    client.write(bytes);
    client.end_writing();
    return client.read_to_end(answer_limit).has_value();
}

auto http_text(http_call const& call) -> std::string
{
    auto const body = call.body.dump();
    return fmt::format(
        "POST {} HTTP/1.1\r\nHost: a\r\nX-Request-Id: r\r\n"
        "Content-Length: {}\r\n\r\n{}",
        call.target, body.size(), body);
}

} // namespace

// Guards against a crash or a stuck connection on damaged HTTP requests.
RC_GTEST_PROP(hostile_input, ends_damaged_http_requests, (std::uint64_t seed))
{
    auto random = mutator{seed};
    auto const all = calls();
    auto const text = http_text(all[random.below(all.size())]);
    auto const damaged = random.spoil(text);
    RC_ASSERT(is_ended(hostile::where().control, damaged));
    RC_ASSERT(is_ended(
        hostile::where().gateway,
        "POST /s/desk/" +
            damaged.substr(std::min<std::size_t>(5, damaged.size()))));
    RC_ASSERT(is_ended(hostile::where().gateway, random.bytes(2000)));
    hostile::expect_health();
}

// Guards against a crash, a missing answer or an error without a kind when a
// body has wrong types, deep nesting, missing keys or huge numbers.
RC_GTEST_PROP(
    hostile_input, answers_wrong_json_with_an_error, (std::uint64_t seed))
{
    auto random = mutator{seed};
    auto const all = calls();
    auto const& chosen = all[random.below(all.size())];
    auto const result = hostile::call(
        "POST", chosen.target,
        random.spoil(chosen.body)
            .dump(-1, ' ', false, json::error_handler_t::ignore));
    RC_ASSERT(result.response.has_value());
    if (result.response->status >= 400)
    {
        auto const body = json::parse(result.response->body, nullptr, false);
        RC_ASSERT(body.is_object());
        RC_ASSERT(body["error"].is_string());
        RC_ASSERT(body["message"].is_string());
        RC_ASSERT(body["error"] != "internal");
    }
    hostile::expect_health();
}

// Guards against a crash or a missing answer when a frame holds random bytes,
// or msgpack with wrong types and ranges.
RC_GTEST_PROP(
    hostile_input, answers_wrong_frames_with_an_error, (std::uint64_t seed))
{
    auto random = mutator{seed};
    auto const all = frames();
    auto const valid = protocol::encode(all[random.below(all.size())]);
    auto payload = std::string{};
    switch (random.below(4))
    {
    case 0: payload = random.bytes(500); break;
    case 1: payload = random.spoil(valid); break;
    default:
        auto const tree = json::from_msgpack(valid);
        auto const bytes = json::to_msgpack(random.spoil(tree));
        payload.assign(bytes.begin(), bytes.end());
    }
    auto const reply = hostile::call_peer(payload);
    RC_ASSERT(reply.has_value());
    RC_ASSERT(protocol::decode<protocol::peer_reply>(*reply).has_value());
    hostile::expect_health();
}

// Guards against a view of the control port that throws on such names.
TEST(hostile_input, shows_names_that_are_not_utf8)
{
    auto const name = std::string{"\xff\xfe"};
    auto update = std::get<protocol::peer_update>(frames().front());
    update.instance = core::instance_id{name};
    update.control_address = name;
    auto& table = update.tables.front();
    table.shard = core::shard_id{2};
    table.endpoints.front().service = core::service_id{name};
    table.endpoints.front().address = name;
    EXPECT_TRUE(hostile::call_peer(
        protocol::encode(protocol::peer_request{std::move(update)})));
    hostile::expect_health();
}

// Guards against a stuck connection on frames that are cut short or lie about
// their length.
RC_GTEST_PROP(hostile_input, ends_damaged_frames, (std::uint64_t seed))
{
    auto random = mutator{seed};
    auto const all = frames();
    auto const frame =
        frame_of(protocol::encode(all[random.below(all.size())]));
    RC_ASSERT(is_ended(hostile::where().peer, random.spoil(frame)));
    hostile::expect_health();
}

// Guards against a crash by nesting that is deeper than the stack.
TEST(hostile_input, refuses_deep_nesting)
{
    constexpr std::size_t depth = 2'000'000;
    for (auto const& it : calls())
    {
        auto const deep = std::string(depth, '[') + std::string(depth, ']');
        auto const result = hostile::call("POST", it.target, deep);
        ASSERT_TRUE(result.response) << result.reason.message;
        EXPECT_EQ(result.response->status, 400) << it.target;
    }
    auto const inside = R"({"base": 0, "document": {"teams": )" +
                        std::string(depth, '[') + std::string(depth, ']') +
                        "}}";
    auto const result = hostile::call("POST", "/v1/config", inside);
    ASSERT_TRUE(result.response) << result.reason.message;
    EXPECT_EQ(result.response->status, 400);
    EXPECT_TRUE(hostile::call_peer(std::string(depth, '\x91')));
    hostile::expect_health();
}

// Guards against bodies and frames that are kept although they are too large.
TEST(hostile_input, refuses_oversized_input)
{
    for (auto i = 0; i < 20; ++i)
    {
        for (auto const& to :
             {hostile::where().gateway, hostile::where().control})
        {
            auto const client = tests::raw_client{to};
            client.write("POST /s/desk/ HTTP/1.1\r\nHost: a\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n");
            auto const chunk = fmt::format(
                "{:x}\r\n{}\r\n", 1 << 20, std::string(1 << 20, 'a'));
            auto sent = std::size_t{0};
            while (sent < 4 * body_limit && client.write(chunk))
            {
                sent += chunk.size();
            }
            EXPECT_TRUE(client.read_to_end(answer_limit));
        }
        EXPECT_TRUE(is_ended(
            hostile::where().peer,
            "\x7f\xff\xff\xff" + std::string(1 << 20, 'a')));
    }
    auto const client = tests::raw_client{hostile::where().control};
    client.write("GET /v1/status HTTP/1.1\r\nX-A: " + std::string(20'000, 'a'));
    auto const answer = client.read_to_end(answer_limit);
    ASSERT_TRUE(answer);
    EXPECT_TRUE(answer->starts_with("HTTP/1.1 431")) << *answer;
    hostile::expect_health();
}

// Guards against slow senders that hold up others or are never closed.
TEST(hostile_input, closes_slow_senders_while_others_go_on)
{
    constexpr auto senders = 50;
    auto slow = std::vector<tests::raw_client>{};
    for (auto i = 0; i < senders; ++i)
    {
        for (auto const& to :
             {hostile::where().gateway, hostile::where().control,
              hostile::where().peer})
        {
            slow.emplace_back(to);
        }
    }
    auto const end = std::chrono::steady_clock::now() + 3s;
    while (std::chrono::steady_clock::now() < end)
    {
        for (auto const& it : slow)
        {
            it.write("G");
        }
        auto const begin = std::chrono::steady_clock::now();
        EXPECT_TRUE(hostile::is_serving());
        EXPECT_LT(std::chrono::steady_clock::now() - begin, 5s);
        std::this_thread::sleep_for(200ms);
    }
    auto const& http = slow.front();
    EXPECT_TRUE(http.read_to_end(answer_limit));
    hostile::expect_health();
}
