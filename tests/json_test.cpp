/** @file json_test.cpp Tests of the JSON codec. */
#include "platform/document_func.hpp"
#include "protocol/protocol.hpp"
#include "tests/support/random_value_func.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

#include <cstdlib>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

namespace core = godwitcleat::core;
namespace state = godwitcleat::state;
namespace platform = godwitcleat::platform;
namespace protocol = godwitcleat::protocol;
using namespace godwitcleat::tests;

namespace
{

/** Makes the amounts valid for operator input. */
auto make_valid(core::resources& value) -> void
{
    constexpr auto bound = std::int64_t{1'000'000'000'000};
    value.cpu_milli = std::abs(value.cpu_milli % bound);
    value.memory_mb = std::abs(value.memory_mb % bound);
    value.accelerators = std::abs(value.accelerators % bound);
}

auto make_valid(state::job_spec& value) -> void
{
    make_valid(value.need);
    value.expected_run_ms &= std::numeric_limits<std::int64_t>::max();
    value.deadline_s &= std::numeric_limits<std::int64_t>::max();
}

/** Makes a random document valid for operator input. */
auto make_valid(state::config_document& value) -> void
{
    value.teams[core::team_id{"crew"}];
    for (auto& [key, it] : value.teams)
    {
        it.team = key;
        make_valid(it.quota);
    }
    for (auto& [key, it] : value.services)
    {
        it.service = key;
        it.team = core::team_id{"crew"};
        it.runners %= 1000;
        it.slots = it.slots % 1000 + 1;
        it.connections = it.connections % 1000 + 1;
        it.default_deadline_ms = std::abs(it.default_deadline_ms % 1000) + 1;
        make_valid(it.need);
    }
    for (auto& [key, it] : value.jobs)
    {
        it.spec.id = key;
        it.spec.team = core::team_id{"crew"};
        make_valid(it.spec);
    }
}

/** Reads what was written and writes it again. */
template <class Type, class Read>
auto check_json_round_trip(Type const& value, Read read) -> void
{
    auto const text = protocol::to_json(value);
    auto const decoded = read(text);
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(protocol::to_json(*decoded) == text);
    if constexpr (has_equality<Type>)
    {
        RC_ASSERT(*decoded == value);
    }
}

/** Reads random, truncated and changed text; errors are invalid_input. */
template <class Read>
auto check_hostile_text(std::string text, Read read) -> void
{
    auto const check = [&read](std::string_view input)
    {
        core::fail(core::error_kind::none, "");
        auto const decoded = read(input);
        if (!decoded)
        {
            auto const& reason = core::last_reason();
            RC_ASSERT(reason.kind == core::error_kind::invalid_input);
            RC_ASSERT(!reason.message.empty());
        }
        return decoded.has_value();
    };
    check(*rc::gen::arbitrary<std::string>());
    auto const cut = *rc::gen::inRange<std::size_t>(0, text.size());
    RC_ASSERT(!check(std::string_view{text}.substr(0, cut)));
    for (auto n = *rc::gen::inRange(1, 4); n > 0; --n)
    {
        auto const at = *rc::gen::inRange<std::size_t>(0, text.size());
        text[at] = *rc::gen::arbitrary<char>();
    }
    check(text);
}

/** Expects invalid_input with @p part in the message. */
template <class Result>
auto expect_refused(Result const& result, std::string_view part) -> void
{
    EXPECT_FALSE(result.has_value());
    auto const& reason = core::last_reason();
    EXPECT_EQ(reason.kind, core::error_kind::invalid_input);
    EXPECT_NE(reason.message.find(part), std::string::npos) << reason.message;
}

/** Returns the document with the value at a JSON pointer replaced. */
auto with(std::string_view document, char const* path, std::string_view value)
    -> std::string
{
    auto root = nlohmann::json::parse(document);
    root[nlohmann::json::json_pointer{path}] = nlohmann::json::parse(value);
    return root.dump();
}

constexpr auto worker_entry = std::string_view{
    R"({"address":"127.0.0.1:7000","service":"svc","zone":"dc-1",)"
    R"("state":"draining","remaining-ms":1000,"born":1700000000000,)"
    R"("capacity":{"cpu":4000,"mem-mb":64000,"gpu":1},"labels":["a","r1"]})"};

constexpr auto plan_body = std::string_view{
    R"({"spec":"x","steps":[{"count":1,"cpu":500,"mem-mb":100,"gpu":0,)"
    R"("estimate-ms":150,"target-ms":0}],"repeat-count":2,)"
    R"("first-run-ms":1700000000000,"interval-ms":1000})"};

constexpr auto queue_document = std::string_view{
    R"({"version":2,"routes":[{"name":"r1","host":"h","prefix":"/jobs/",)"
    R"("timeout-ms":3000,"target-duration-ms":500,"stretch":2.0}],)"
    R"("limits":{"body-bytes":65536}})"};

constexpr auto lists_answer =
    std::string_view{R"({"clock-ms":5,"born":1700000000000,)"
                     R"("running":[["j.0.0.0",1,"",50,8]],)"
                     R"("ended":[[1,"j.0.0.1",1,"done",""]]})"};

constexpr auto range_answer = std::string_view{
    R"({"store-revision":7,"items":[)"
    R"({"key":"servers/a","value":"YQ==","created":1,"revision":2},)"
    R"({"key":"servers/b","value":"Yg==","created":1,"revision":3}]})"};

constexpr auto changes_answer = std::string_view{
    R"({"store-revision":7,"events":[)"
    R"({"key":"servers/a","value":"YQ==","created":1,"revision":2},)"
    R"({"key":"servers/b","value":"Yg==","created":1,"revision":3}]})"};

auto parse_worker(std::string_view text)
{
    return platform::parse_worker("w", text);
}

auto parse_plan(std::string_view text)
{
    return platform::parse_job_plan(
        text, core::job_id{"j"}, state::queue_id{"r1"});
}

// Beyond the range of 64 bits in one of four ways, or only just within it.
constexpr auto odd_numbers = {
    "-9223372036854775808", "9223372036854775807", "18446744073709551615",
    "1e30", "123456789012345678901"};

/** Expects that @p read refuses each odd number at @p path with a message that
 * names the member, and takes @p document as it is. */
template <class Read>
auto expect_range(
    std::string_view document, char const* path, Read read,
    std::vector<std::string_view> more = {}) -> void
{
    EXPECT_TRUE(read(document).has_value()) << core::last_reason().message;
    auto const member =
        std::string_view{path}.substr(std::string_view{path}.rfind('/') + 1);
    more.insert(more.end(), odd_numbers.begin(), odd_numbers.end());
    for (auto const it : more)
    {
        auto const trace = testing::Message() << path << " " << it;
        SCOPED_TRACE(trace);
        expect_refused(
            read(with(document, path, it)),
            fmt::format("key \"{}\" must be ", member));
    }
}

/** Expects that @p read takes no odd number at @p path of an answer. */
template <class Read>
auto expect_invalid_answer(
    std::string_view document, char const* path, Read read,
    std::vector<std::string_view> numbers) -> void
{
    ASSERT_TRUE(read(document).has_value()) << core::last_reason().message;
    for (auto const it : numbers)
    {
        core::fail(core::error_kind::none, "");
        EXPECT_FALSE(read(with(document, path, it)).has_value())
            << path << " " << it;
        EXPECT_EQ(core::last_reason().kind, core::error_kind::protocol);
    }
}

auto random_document() -> state::config_document
{
    auto value = random_value<state::config_document>(strings::printable);
    make_valid(value);
    return value;
}

auto random_spec() -> state::job_spec
{
    auto value = random_value<state::job_spec>(strings::printable);
    make_valid(value);
    return value;
}

} // namespace

// Guard against values that change on their way through JSON.
RC_GTEST_PROP(json, worker_report_round_trip, ())
{
    check_json_round_trip(
        random_value<state::worker_report>(strings::printable),
        protocol::worker_report_from_json);
}

RC_GTEST_PROP(json, heartbeat_reply_round_trip, ())
{
    check_json_round_trip(
        random_value<state::heartbeat_reply>(strings::printable),
        protocol::heartbeat_reply_from_json);
}

RC_GTEST_PROP(json, job_spec_round_trip, ())
{
    check_json_round_trip(random_spec(), protocol::job_spec_from_json);
}

RC_GTEST_PROP(json, jobs_round_trip, ())
{
    check_json_round_trip(
        random_value<std::vector<state::job>>(strings::printable),
        protocol::jobs_from_json);
}

RC_GTEST_PROP(json, workers_round_trip, ())
{
    check_json_round_trip(
        random_value<std::vector<state::worker_view>>(strings::printable),
        protocol::workers_from_json);
}

RC_GTEST_PROP(json, timeline_round_trip, ())
{
    check_json_round_trip(
        random_value<std::vector<core::timeline_event>>(strings::printable),
        protocol::timeline_from_json);
}

RC_GTEST_PROP(json, config_document_round_trip, ())
{
    check_json_round_trip(
        random_document(), protocol::config_document_from_json);
}

RC_GTEST_PROP(json, failure_round_trip, ())
{
    auto failure = core::failure{};
    fill(failure.kind, strings::printable);
    fill(failure.message, strings::printable);
    auto const decoded =
        protocol::failure_from_json(protocol::to_json(failure));
    RC_ASSERT(decoded.kind == failure.kind);
    RC_ASSERT(decoded.message == failure.message);
}

// Guard against crashes and exceptions on hostile text.
RC_GTEST_PROP(json, worker_report_survives_hostile_text, ())
{
    check_hostile_text(
        protocol::to_json(
            random_value<state::worker_report>(strings::any_bytes)),
        protocol::worker_report_from_json);
}

RC_GTEST_PROP(json, heartbeat_reply_survives_hostile_text, ())
{
    check_hostile_text(
        protocol::to_json(
            random_value<state::heartbeat_reply>(strings::any_bytes)),
        protocol::heartbeat_reply_from_json);
}

RC_GTEST_PROP(json, job_spec_survives_hostile_text, ())
{
    check_hostile_text(
        protocol::to_json(random_value<state::job_spec>(strings::any_bytes)),
        protocol::job_spec_from_json);
}

RC_GTEST_PROP(json, lists_survive_hostile_text, ())
{
    check_hostile_text(
        protocol::to_json(
            random_value<std::vector<state::job>>(strings::any_bytes)),
        protocol::jobs_from_json);
    check_hostile_text(
        protocol::to_json(
            random_value<std::vector<state::worker_view>>(strings::any_bytes)),
        protocol::workers_from_json);
    check_hostile_text(
        protocol::to_json(random_value<std::vector<core::timeline_event>>(
            strings::any_bytes)),
        protocol::timeline_from_json);
}

RC_GTEST_PROP(json, config_document_survives_hostile_text, ())
{
    check_hostile_text(
        protocol::to_json(random_document()),
        protocol::config_document_from_json);
}

RC_GTEST_PROP(json, failure_survives_hostile_text, (std::string const& text))
{
    protocol::failure_from_json(text);
    protocol::failure_from_json(R"({"error": 1, "message": ")" + text + "\"}");
}

// Guards against a misspelt key of an operator that is silently ignored.
TEST(json, operator_input_refuses_unknown_keys)
{
    expect_refused(
        protocol::job_spec_from_json(
            R"({"id": "a", "team": "t", "need": {"cpus": 1}})"),
        "\"need.cpus\" is unknown");
    expect_refused(
        protocol::config_document_from_json(
            R"({"services": {"desk": {"runner": 3}}})"),
        "\"services.desk.runner\" is unknown");
}

// Guards against a worker of a newer release that is refused by a daemon.
TEST(json, heartbeats_ignore_unknown_keys)
{
    auto const report = protocol::worker_report_from_json(
        R"({"info": {"worker": "w", "colour": 1}, "new": [], "boot": 3})");
    ASSERT_TRUE(report.has_value());
    EXPECT_EQ(report->info.worker.value, "w");
    EXPECT_EQ(report->boot, 3U);
}

// Guards against numbers that wrap round or lose their fraction.
TEST(json, refuses_numbers_out_of_range)
{
    for (auto const* number : {"-1", "4294967296", "1.5", "1e3", "\"7\""})
    {
        expect_refused(
            protocol::config_document_from_json(
                R"({"services": {"desk": {"runners": )" + std::string{number} +
                "}}}"),
            "\"services.desk.runners\" is");
    }
    expect_refused(
        protocol::job_spec_from_json(
            R"({"id": "a", "team": "t", "need": {"cpu_milli": -5}})"),
        "\"need\"");
}

// Guards against entries that the daemon cannot run.
TEST(json, refuses_inconsistent_documents)
{
    expect_refused(
        protocol::config_document_from_json(
            R"({"services": {"desk": {"service": "desk", "team": "crew"}}})"),
        "team \"crew\", which does not exist");
    expect_refused(
        protocol::config_document_from_json(
            R"({"teams": {"crew": {"team": "other"}}})"),
        "\"teams.crew\"");
    expect_refused(
        protocol::config_document_from_json(
            R"({"teams": {"crew": {"team": "crew"}}, "services": {"desk":
            {"service": "desk", "team": "crew", "runners": 4000000000}}})"),
        "\"runners\"");
}

// Guards against a capacity or a time of another writer that wraps round, or
// that leaves the range of the type when it is added to another.
TEST(json, refuses_worker_entries_with_numbers_out_of_range)
{
    for (auto const* it :
         {"/capacity/cpu", "/capacity/mem-mb", "/capacity/gpu", "/born",
          "/remaining-ms"})
    {
        expect_range(worker_entry, it, parse_worker, {"-5", "1.5", "true"});
    }
    expect_refused(
        parse_worker(with(worker_entry, "/capacity/cpu", "-5")),
        "key \"cpu\" must be an integer from 0 to 1000000000");
    expect_refused(
        parse_worker(with(worker_entry, "/remaining-ms", "-5")),
        "key \"remaining-ms\" must be an integer from 0 to 315360000000");
}

// Guards against a limit that refuses the largest worker that may be honest.
TEST(json, accepts_worker_entries_at_the_limits)
{
    auto text = with(worker_entry, "/capacity/cpu", "1000000000");
    text = with(text, "/capacity/mem-mb", "1073741824");
    text = with(text, "/born", "253402300799999");
    text = with(text, "/remaining-ms", "315360000000");
    EXPECT_TRUE(parse_worker(text)) << core::last_reason().message;
}

// Guards against a worker that is listed but can't be called.
TEST(json, refuses_worker_entries_with_ports_out_of_range)
{
    for (auto const* it : {"0", "-1", "65536", "99999", "", "7000x"})
    {
        auto const address = fmt::format("\"127.0.0.1:{}\"", it);
        SCOPED_TRACE(address);
        expect_refused(
            parse_worker(with(worker_entry, "/address", address)),
            "key \"address\" must be ");
    }
}

// Guards against a job whose needs or times wrap round or overflow in a sum.
TEST(json, refuses_job_plans_with_numbers_out_of_range)
{
    for (auto const* it :
         {"/steps/0/cpu", "/steps/0/mem-mb", "/steps/0/gpu",
          "/steps/0/estimate-ms", "/steps/0/target-ms", "/steps/0/count",
          "/steps/0/may-miss", "/repeat-count", "/first-run-ms",
          "/interval-ms"})
    {
        expect_range(plan_body, it, parse_plan, {"-5", "1.5"});
    }
    expect_refused(
        parse_plan(with(plan_body, "/interval-ms", "315360000001")),
        "key \"interval-ms\" must be an integer from 0 to 315360000000");
}

// Guards against a configuration whose times overflow, and against a version
// that wraps round and so is newer than all later ones.
TEST(json, refuses_queue_tables_with_numbers_out_of_range)
{
    for (auto const* it :
         {"/routes/0/timeout-ms", "/routes/0/target-duration-ms",
          "/routes/0/priority", "/routes/0/attempts", "/limits/body-bytes"})
    {
        expect_range(queue_document, it, platform::parse_queue_table, {"-5"});
    }
    for (auto const* it : {"-1", "18446744073709551615", "1e30"})
    {
        expect_refused(
            platform::parse_queue_table(with(queue_document, "/version", it)),
            "key \"version\" must be an integer from 0 to ");
    }
    for (auto const* it : {"-1", "1e30", "1e300"})
    {
        expect_refused(
            platform::parse_queue_table(
                with(queue_document, "/routes/0/stretch", it)),
            "key \"stretch\" must be a number from 0 to 10000");
    }
}

// Guards against an answer of a worker with a number that wraps round.
TEST(json, refuses_worker_lists_with_numbers_out_of_range)
{
    for (auto const* it :
         {"/clock-ms", "/born", "/running/0/1", "/running/0/3", "/running/0/4",
          "/ended/0/0", "/ended/0/2"})
    {
        expect_invalid_answer(
            lists_answer, it, platform::parse_worker_lists,
            {"-9223372036854775808", "9223372036854775807",
             "18446744073709551615", "1e30"});
    }
    for (auto const* it : {"/running/0/1", "/ended/0/0", "/ended/0/2"})
    {
        expect_invalid_answer(
            lists_answer, it, platform::parse_worker_lists, {"-1", "1.5"});
    }
    expect_invalid_answer(
        R"({"clock-ms":5})", "/clock-ms", platform::parse_worker_clock,
        {"-1", "1.5", "18446744073709551615"});
}

// Guards against a revision or a lease of the store that wraps round.
TEST(json, refuses_store_answers_with_numbers_out_of_range)
{
    auto const odd = std::vector<std::string_view>{
        "-1", "1.5", "18446744073709551615", "1e30"};
    for (auto const* it :
         {"/store-revision", "/items/0/revision", "/items/0/created"})
    {
        expect_invalid_answer(
            range_answer, it, platform::parse_range_page, odd);
    }
    for (auto const* it :
         {"/store-revision", "/events/0/revision", "/events/0/created"})
    {
        expect_invalid_answer(
            changes_answer, it, platform::parse_store_changes, odd);
    }
    expect_invalid_answer(
        R"({"revision":5})", "/revision", platform::parse_revision, odd);
    expect_invalid_answer(
        R"({"lease":5})", "/lease", platform::parse_lease,
        {"-1", "1.5", "1e30", "0"});
}

// Guards against a list that nobody follows any more because another writer's
// entry can't be read.
TEST(json, one_unreadable_entry_leaves_the_others_of_a_store_answer)
{
    for (auto const* it : {"\"YQ=\"", "\"%%%%\"", "7", "[]"})
    {
        SCOPED_TRACE(it);
        auto const page = platform::parse_range_page(
            with(range_answer, "/items/0/value", it));
        ASSERT_TRUE(page) << core::last_reason().message;
        ASSERT_EQ(page->range.entries.size(), 2U);
        EXPECT_FALSE(page->range.entries[0].readable);
        EXPECT_EQ(page->range.entries[0].modify_revision, 2);
        EXPECT_EQ(page->range.entries[1].value, "b");
        EXPECT_TRUE(page->range.entries[1].readable);
        auto const changes = platform::parse_store_changes(
            with(changes_answer, "/events/0/value", it));
        ASSERT_TRUE(changes) << core::last_reason().message;
        ASSERT_EQ(changes->written.size(), 2U);
        EXPECT_FALSE(changes->written[0].readable);
        EXPECT_EQ(changes->written[1].value, "b");
        // A single entry holds the daemons' own data.
        EXPECT_FALSE(platform::parse_store_entry(fmt::format(
            R"({{"key":"a","value":{},"created":1,"revision":2}})", it)));
    }
}
