/** @file protocol_test.cpp Round trips and hostile bytes for all codecs. */
#include "protocol/members_internal.hpp"
#include "protocol/protocol.hpp"
#include "tests/support/random_value_func.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

namespace core = godwitcleat::core;
namespace state = godwitcleat::state;
namespace protocol = godwitcleat::protocol;
using namespace godwitcleat::tests;

namespace
{

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
    expect_complete_description<state::worker_attributes>("worker_place");
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

// Guards against a record with a number that wraps round when it is read.
TEST(msgpack, refuses_numbers_out_of_range)
{
    auto record = protocol::owner_record{};
    record.term = core::epoch{5};
    record.cpu_milli = 6;
    auto const bytes = protocol::encode(record);
    ASSERT_TRUE(bytes.ends_with("\x05\x06"));
    auto const head = bytes.substr(0, bytes.size() - 2);
    using namespace std::string_literals;
    auto const negative = "\xff"s;
    auto const too_large = "\xcf\xff\xff\xff\xff\xff\xff\xff\xff"s;
    auto const real = "\xcb\x46\x29\x3e\x59\x39\xa0\x8c\xea"s; // 1e30.
    auto const decodes = [&](std::string const& end)
    {
        return protocol::decode<protocol::owner_record>(head + end).has_value();
    };
    EXPECT_TRUE(decodes(too_large + "\x06"));
    for (auto const& it : {negative, real})
    {
        EXPECT_FALSE(decodes(it + "\x06"));
        EXPECT_FALSE(decodes("\x05" + it));
    }
    EXPECT_FALSE(decodes("\x05" + too_large));
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
