/** @file protocol_test.cpp Round trips and hostile bytes for all codecs. */
#include "protocol/members_internal.hpp"
#include "protocol/protocol.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdlib>
#include <limits>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace core = godwitcleat::core;
namespace state = godwitcleat::state;
namespace protocol = godwitcleat::protocol;

namespace
{

/** Which strings random values hold. */
enum class strings
{
    any_bytes, ///< As msgpack carries them.
    printable  ///< As JSON carries them without loss.
};

auto random_string(strings kind) -> std::string
{
    if (kind == strings::any_bytes)
    {
        return *rc::gen::arbitrary<std::string>();
    }
    auto const n = *rc::gen::inRange(1, 12);
    return *rc::gen::container<std::string>(
        n, rc::gen::inRange<char>(' ', '\x7f'));
}

/** Sets @p value and all its members to random values. */
template <class Type>
auto fill(Type& value, strings kind) -> void
{
    if constexpr (protocol::described<Type>)
    {
        protocol::visit_members(
            value, [kind](char const*, auto& member) { fill(member, kind); });
    }
    else if constexpr (std::is_enum_v<Type>)
    {
        value =
            static_cast<Type>(*rc::gen::inRange(0, protocol::enum_size<Type>));
    }
    else if constexpr (std::is_same_v<Type, std::string>)
    {
        value = random_string(kind);
    }
    else if constexpr (
        protocol::is_instance<Type, core::string_id> ||
        protocol::is_instance<Type, core::number_id>)
    {
        fill(value.value, kind);
    }
    else if constexpr (protocol::is_instance<Type, std::optional>)
    {
        value.reset();
        if (*rc::gen::arbitrary<bool>())
        {
            fill(value.emplace(), kind);
        }
    }
    else if constexpr (
        protocol::is_instance<Type, std::vector> ||
        protocol::is_instance<Type, std::set> ||
        protocol::is_instance<Type, std::map>)
    {
        value.clear();
        for (auto n = *rc::gen::inRange(0, 4); n > 0; --n)
        {
            if constexpr (protocol::is_instance<Type, std::vector>)
            {
                fill(value.emplace_back(), kind);
            }
            else
            {
                auto key = typename Type::key_type{};
                fill(key, kind);
                if constexpr (protocol::is_instance<Type, std::set>)
                {
                    value.insert(std::move(key));
                }
                else
                {
                    fill(value[std::move(key)], kind);
                }
            }
        }
    }
    else
    {
        value = *rc::gen::arbitrary<Type>();
    }
}

template <class... Types>
auto fill(std::variant<Types...>& value, strings kind) -> void
{
    auto const index = *rc::gen::inRange<std::size_t>(0, sizeof...(Types));
    auto n = std::size_t{0};
    auto const fill_if = [&]<class Type>(std::type_identity<Type>)
    {
        if (n++ == index)
        {
            fill(value.template emplace<Type>(), kind);
        }
    };
    (fill_if(std::type_identity<Types>{}), ...);
}

template <class Type>
auto random_value(strings kind) -> Type
{
    auto value = Type{};
    fill(value, kind);
    return value;
}

/** Counts the members of an aggregate without its description. */
struct any_value
{
    template <class Type>
    requires(!std::is_lvalue_reference_v<Type>) operator Type() const;
};

template <class Type, class... Values>
constexpr auto declared_members() -> std::size_t
{
    if constexpr (requires { Type{Values{}..., any_value{}}; })
    {
        return declared_members<Type, Values..., any_value>();
    }
    else
    {
        return sizeof...(Values);
    }
}

/** Fails if a member of @p Type is missing in visit_members(). */
template <class Type>
auto expect_complete_description(char const* name) -> void
{
    EXPECT_EQ(protocol::member_count(Type{}), declared_members<Type>()) << name;
}

template <class... Types>
auto expect_complete_alternatives(std::variant<Types...> const*) -> void
{
    (expect_complete_description<Types>(__PRETTY_FUNCTION__), ...);
}

/** True if values can be compared; variants and vectors claim it always. */
template <class Type>
inline constexpr bool has_equality = std::equality_comparable<Type>;
template <class... Types>
inline constexpr bool has_equality<std::variant<Types...>> = false;
template <class Type>
inline constexpr bool has_equality<std::vector<Type>> = has_equality<Type>;

/** Encodes, decodes and encodes again a random value. */
template <class Type>
auto check_round_trip() -> void
{
    auto const value = random_value<Type>(strings::any_bytes);
    auto const bytes = protocol::encode(value);
    auto const decoded = protocol::decode<Type>(bytes);
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(protocol::encode(*decoded) == bytes);
    if constexpr (has_equality<Type>)
    {
        RC_ASSERT(*decoded == value);
    }
}

/** Decodes bytes; a failure must be reported as protocol. */
template <class Type>
auto check_decode(std::string_view bytes) -> bool
{
    core::fail(core::error_kind::none, "");
    auto const decoded = protocol::decode<Type>(bytes);
    if (!decoded)
    {
        RC_ASSERT(core::last_reason().kind == core::error_kind::protocol);
        RC_ASSERT(!core::last_reason().message.empty());
    }
    return decoded.has_value();
}

/** Decodes random, truncated, extended and changed bytes. */
template <class Type>
auto check_hostile_bytes() -> void
{
    check_decode<Type>(*rc::gen::arbitrary<std::string>());
    auto bytes = protocol::encode(random_value<Type>(strings::any_bytes));
    auto const cut = *rc::gen::inRange<std::size_t>(0, bytes.size());
    RC_ASSERT(!check_decode<Type>(std::string_view{bytes}.substr(0, cut)));
    RC_ASSERT(!check_decode<Type>(bytes + '\x01'));
    for (auto n = *rc::gen::inRange(1, 4); n > 0; --n)
    {
        auto const at = *rc::gen::inRange<std::size_t>(0, bytes.size());
        bytes[at] = *rc::gen::arbitrary<char>();
    }
    check_decode<Type>(bytes);
}

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

/** Returns the array header of msgpack for @p count elements. */
auto array_header(std::uint32_t count) -> std::string
{
    auto result = std::string{'\xdd'};
    for (auto shift = 24; shift >= 0; shift -= 8)
    {
        result += static_cast<char>((count >> shift) & 0xffU);
    }
    return result;
}

} // namespace

// Guards against a member that is added to a type and not to its description:
// it would be lost on the wire without any error.
TEST(members, descriptions_are_complete)
{
    expect_complete_alternatives(static_cast<protocol::peer_request*>(nullptr));
    expect_complete_alternatives(static_cast<protocol::peer_reply*>(nullptr));
    expect_complete_alternatives(static_cast<state::record*>(nullptr));
    expect_complete_description<state::config_document>("config_document");
    expect_complete_description<state::config_change>("config_change");
    expect_complete_description<state::team_config>("team_config");
    expect_complete_description<state::service_config>("service_config");
    expect_complete_description<state::batch_config>("batch_config");
    expect_complete_description<state::job_spec>("job_spec");
    expect_complete_description<state::job>("job");
    expect_complete_description<state::attempt_binding>("attempt_binding");
    expect_complete_description<state::attempt_key>("attempt_key");
    expect_complete_description<state::hosted_task>("hosted_task");
    expect_complete_description<state::record_batch>("record_batch");
    expect_complete_description<state::shard_data>("shard_data");
    expect_complete_description<protocol::shard_snapshot>("shard_snapshot");
    expect_complete_description<state::shard_summary>("shard_summary");
    expect_complete_description<state::service_endpoint>("service_endpoint");
    expect_complete_description<state::worker_info>("worker_info");
    expect_complete_description<state::worker_view>("worker_view");
    expect_complete_description<state::worker_report>("worker_report");
    expect_complete_description<state::task_report>("task_report");
    expect_complete_description<state::partial_report>("partial_report");
    expect_complete_description<state::worker_place>("worker_place");
    expect_complete_description<state::usage_sample>("usage_sample");
    expect_complete_description<state::worker_command>("worker_command");
    expect_complete_description<state::heartbeat_reply>("heartbeat_reply");
    expect_complete_description<protocol::owned_shard>("owned_shard");
    expect_complete_description<protocol::endpoint_table>("endpoint_table");
    expect_complete_description<protocol::backend_load>("backend_load");
    expect_complete_description<core::timeline_event>("timeline_event");
    expect_complete_description<core::resources>("resources");
}

// Guard against values that change on their way through msgpack.
RC_GTEST_PROP(msgpack, peer_request_round_trip, ())
{
    check_round_trip<protocol::peer_request>();
}

RC_GTEST_PROP(msgpack, peer_reply_round_trip, ())
{
    check_round_trip<protocol::peer_reply>();
}

RC_GTEST_PROP(msgpack, record_batch_round_trip, ())
{
    check_round_trip<state::record_batch>();
}

RC_GTEST_PROP(msgpack, shard_snapshot_round_trip, ())
{
    check_round_trip<protocol::shard_snapshot>();
}

RC_GTEST_PROP(msgpack, config_document_round_trip, ())
{
    check_round_trip<state::config_document>();
}

RC_GTEST_PROP(msgpack, config_change_round_trip, ())
{
    check_round_trip<state::config_change>();
}

// Guard against crashes, exceptions and accepted damage on hostile bytes.
RC_GTEST_PROP(msgpack, peer_request_survives_hostile_bytes, ())
{
    check_hostile_bytes<protocol::peer_request>();
}

RC_GTEST_PROP(msgpack, peer_reply_survives_hostile_bytes, ())
{
    check_hostile_bytes<protocol::peer_reply>();
}

RC_GTEST_PROP(msgpack, record_batch_survives_hostile_bytes, ())
{
    check_hostile_bytes<state::record_batch>();
}

RC_GTEST_PROP(msgpack, shard_snapshot_survives_hostile_bytes, ())
{
    check_hostile_bytes<protocol::shard_snapshot>();
}

RC_GTEST_PROP(msgpack, config_document_survives_hostile_bytes, ())
{
    check_hostile_bytes<state::config_document>();
}

RC_GTEST_PROP(msgpack, config_change_survives_hostile_bytes, ())
{
    check_hostile_bytes<state::config_change>();
}

// Guards against a peer of a newer release whose types have grown, and
// against one of an older release whose types lack the last members.
TEST(msgpack, types_may_grow_at_the_end)
{
    auto change = state::config_change{};
    change.author = "ann";
    change.wall_us = 7;
    auto bytes = protocol::encode(change);
    ASSERT_EQ(bytes.front(), '\x94');
    auto longer = bytes + "\xc0";
    longer.front() = '\x95';
    EXPECT_EQ(protocol::decode<state::config_change>(longer), change);
    auto shorter = bytes.substr(0, bytes.size() - 1);
    shorter.front() = '\x93';
    change.wall_us = 0;
    EXPECT_EQ(protocol::decode<state::config_change>(shorter), change);
}

// Guards against enum values and alternatives of a newer release that would
// be read as undefined values.
TEST(msgpack, refuses_unknown_alternatives_and_enum_values)
{
    EXPECT_FALSE(protocol::decode<protocol::peer_reply>("\x92\x0b\x90"));
    EXPECT_TRUE(protocol::decode<protocol::peer_reply>("\x92\x05\x90"));
    EXPECT_TRUE(protocol::decode<protocol::peer_reply>("\x92\x06\x91\x0d"));
    EXPECT_FALSE(protocol::decode<protocol::peer_reply>("\x92\x06\x91\x0e"));
    EXPECT_FALSE(protocol::decode<protocol::peer_reply>("\x92\x06\x91\xff"));
}

// Guards against a few bytes that make the decoder allocate gigabytes.
TEST(msgpack, bounds_memory_by_the_input_size)
{
    auto nested = std::string{};
    for (auto i = 0; i < 1000; ++i)
    {
        nested += array_header(0xffffffffU);
    }
    EXPECT_FALSE(protocol::decode<protocol::shard_snapshot>(nested));
    auto const many = std::uint32_t{1'000'000};
    auto const jobs =
        "\x92\x02\x91" + array_header(many) + std::string(many, '\x90');
    EXPECT_FALSE(protocol::decode<protocol::peer_reply>(jobs));
    EXPECT_FALSE(
        protocol::decode<protocol::peer_reply>(std::string(1'000'000, '\x91')));
}

// Guards against a memory limit that refuses valid batches: reconfirm is the
// record with the fewest bytes for its size in memory.
TEST(msgpack, accepts_large_batches_of_small_records)
{
    auto batch = state::record_batch{};
    batch.records.resize(100'000, state::reconfirm{});
    EXPECT_EQ(
        protocol::decode<state::record_batch>(protocol::encode(batch)), batch);
}

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
