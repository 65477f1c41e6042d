/** @file json_test.cpp Tests of the JSON codec. */
#include "protocol/protocol.hpp"
#include "tests/support/random_value_func.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdlib>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

namespace core = godwitcleat::core;
namespace state = godwitcleat::state;
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
