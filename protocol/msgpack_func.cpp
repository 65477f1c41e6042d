/** @file msgpack_func.cpp msgpack codecs, on msgpack-cxx. */
#include "protocol/msgpack_func.hpp"

#include "protocol/msgpack_internal.hpp"

#include <fmt/format.h>
#include <msgpack.hpp>

#include <exception>

namespace godwitcleat::protocol
{

namespace
{

// The deepest type, a snapshot's task, nests 7 arrays. The rest is reserve for
// types that grow.
constexpr auto most_depth = std::size_t{16};

// Checks the structure without allocating memory, so that unpacking allocates
// arrays only for elements that are present.
class structure_checker : public msgpack::null_visitor
{
public:
    auto start_array(std::uint32_t /*count*/) -> bool
    {
        return ++depth_ <= most_depth;
    }
    auto end_array() -> bool
    {
        --depth_;
        return true;
    }
    auto start_map(std::uint32_t /*count*/) -> bool
    {
        return false;
    }

private:
    std::size_t depth_ = 0;
};

auto has_valid_structure(std::string_view bytes) -> bool
{
    auto checker = structure_checker{};
    auto end = std::size_t{0};
    return msgpack::parse(bytes.data(), bytes.size(), end, checker) &&
           end == bytes.size();
}

auto keep_reference(
    msgpack::type::object_type /*type*/, std::size_t /*size*/, void* /*user*/)
    -> bool
{
    return true;
}

template <class Type>
auto encode_value(Type const& value) -> std::string
{
    auto buf = msgpack::sbuffer{};
    auto out = packer{buf};
    pack(out, value);
    return {buf.data(), buf.size()};
}

auto malformed(std::string_view bytes, std::string_view cause) -> std::nullopt_t
{
    return core::fail(
        core::error_kind::protocol,
        fmt::format(
            "{} bytes of msgpack cannot be decoded ({}); check that both sides "
            "run the same release",
            bytes.size(), cause));
}

} // namespace

auto encode(peer_request const& value) -> std::string
{
    return encode_value(value);
}

auto encode(peer_reply const& value) -> std::string
{
    return encode_value(value);
}

auto encode(state::record_batch const& value) -> std::string
{
    return encode_value(value);
}

auto encode(shard_snapshot const& value) -> std::string
{
    return encode_value(value);
}

auto encode(state::config_document const& value) -> std::string
{
    return encode_value(value);
}

auto encode(state::config_change const& value) -> std::string
{
    return encode_value(value);
}

auto encode(state::partial_report const& value) -> std::string
{
    return encode_value(value);
}

auto encode(state::heartbeat_reply const& value) -> std::string
{
    return encode_value(value);
}

auto encode(state::plan_record const& value) -> std::string
{
    return encode_value(value);
}

auto encode(state::plan_progress const& value) -> std::string
{
    return encode_value(value);
}

auto encode(std::vector<state::stored_worker> const& value) -> std::string
{
    return encode_value(value);
}

auto encode(job_call const& value) -> std::string
{
    return encode_value(value);
}

auto encode(job_answer const& value) -> std::string
{
    return encode_value(value);
}

auto encode(owner_record const& value) -> std::string
{
    return encode_value(value);
}

template <class Type>
auto decode(std::string_view bytes) -> std::optional<Type>
{
    try
    {
        if (!has_valid_structure(bytes))
        {
            return malformed(bytes, "truncated, too deep or trailing bytes");
        }
        auto const n = bytes.size();
        auto const limit = msgpack::unpack_limit{n, 0, n, n, n, most_depth};
        auto const handle =
            msgpack::unpack(bytes.data(), n, keep_reference, nullptr, limit);
        auto value = std::optional<Type>{std::in_place};
        unpacker{n}.read(handle.get(), *value);
        return value;
    }
    catch (std::exception const& error)
    {
        return malformed(bytes, error.what());
    }
}

template auto decode(std::string_view) -> std::optional<peer_request>;
template auto decode(std::string_view) -> std::optional<peer_reply>;
template auto decode(std::string_view) -> std::optional<state::record_batch>;
template auto decode(std::string_view) -> std::optional<shard_snapshot>;
template auto decode(std::string_view) -> std::optional<state::config_document>;
template auto decode(std::string_view) -> std::optional<state::config_change>;
template auto decode(std::string_view) -> std::optional<state::partial_report>;
template auto decode(std::string_view) -> std::optional<state::heartbeat_reply>;
template auto decode(std::string_view) -> std::optional<state::plan_record>;
template auto decode(std::string_view) -> std::optional<state::plan_progress>;
template auto decode(std::string_view)
    -> std::optional<std::vector<state::stored_worker>>;
template auto decode(std::string_view) -> std::optional<job_call>;
template auto decode(std::string_view) -> std::optional<job_answer>;
template auto decode(std::string_view) -> std::optional<owner_record>;

} // namespace godwitcleat::protocol
