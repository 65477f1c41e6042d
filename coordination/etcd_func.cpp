/** @file etcd_func.cpp Messages of the etcd v3 JSON gateway protocol. */
#include "coordination/etcd_func.hpp"

#include <nlohmann/json.hpp>

#include <charconv>
#include <limits>
#include <openssl/evp.h>
#include <utility>

namespace godwitcleat::coordination
{

namespace
{

using nlohmann::json;

auto malformed() -> std::nullopt_t
{
    return core::fail(
        core::error_kind::protocol,
        "The store's answer cannot be decoded; check the store address.");
}

auto parse_object(std::string_view body) -> std::optional<json>
{
    auto value = json::parse(body, nullptr, false);
    if (!value.is_object())
    {
        return malformed();
    }
    return value;
}

/** Returns the member, or null if it is absent. */
auto member(json const& object, char const* name) -> json const&
{
    static auto const absent = json{};
    auto const it = object.find(name);
    return it == object.end() ? absent : *it;
}

/** Reads an integer that may be a string, a number or absent (0). */
auto integer(json const& object, char const* name)
    -> std::optional<std::int64_t>
{
    auto const& it = member(object, name);
    if (it.is_null())
    {
        return 0;
    }
    auto const wraps =
        it.is_number_unsigned() &&
        std::cmp_greater(
            it.get<std::uint64_t>(), std::numeric_limits<std::int64_t>::max());
    if (it.is_number_integer() && !wraps)
    {
        return it.get<std::int64_t>();
    }
    if (!it.is_string())
    {
        return malformed();
    }
    auto const& text = it.get_ref<std::string const&>();
    auto value = std::int64_t{0};
    auto const* const end = text.data() + text.size();
    auto const [stop, ec] = std::from_chars(text.data(), end, value);
    if (ec != std::errc{} || stop != end)
    {
        return malformed();
    }
    return value;
}

auto bytes(json const& object, char const* name) -> std::optional<std::string>
{
    auto const& it = member(object, name);
    if (it.is_null())
    {
        return std::string{};
    }
    if (!it.is_string())
    {
        return malformed();
    }
    return base64_decode(it.get_ref<std::string const&>());
}

auto flag(json const& object, char const* name) -> bool
{
    auto const& it = member(object, name);
    return it.is_boolean() && it.get<bool>();
}

/** Every answer carries a header; its absence shows that it is none. */
auto header_revision(json const& answer) -> std::optional<std::int64_t>
{
    auto const& header = member(answer, "header");
    if (!header.is_object())
    {
        return malformed();
    }
    return integer(header, "revision");
}

auto entry_of(json const& value) -> std::optional<store_entry>
{
    if (!value.is_object())
    {
        return malformed();
    }
    auto key = bytes(value, "key");
    auto content = bytes(value, "value");
    auto const created = integer(value, "create_revision");
    auto const modified = integer(value, "mod_revision");
    if (!key || !content || !created || !modified)
    {
        return std::nullopt;
    }
    return store_entry{
        std::move(*key), std::move(*content), *created, *modified};
}

auto write_json(store_write const& it) -> json
{
    if (!it.value)
    {
        auto request = json{{"key", base64_encode(it.key)}};
        if (!it.range_end.empty())
        {
            request["range_end"] = base64_encode(it.range_end);
        }
        return {{"request_delete_range", std::move(request)}};
    }
    auto request = json{
        {"key", base64_encode(it.key)}, {"value", base64_encode(*it.value)}};
    if (it.lease.value != 0)
    {
        request["lease"] = std::to_string(it.lease.value);
    }
    return {{"request_put", std::move(request)}};
}

} // namespace

auto etcd_range_body(store_query const& query) -> std::string
{
    auto body = json{{"key", base64_encode(query.key)}};
    if (!query.range_end.empty())
    {
        body["range_end"] = base64_encode(query.range_end);
    }
    if (query.limit > 0)
    {
        body["limit"] = std::to_string(query.limit);
    }
    if (query.changed_after > 0)
    {
        body["min_mod_revision"] = std::to_string(query.changed_after + 1);
    }
    return body.dump();
}

auto etcd_commit_body(store_transaction const& transaction) -> std::string
{
    auto compares = json::array();
    for (auto const& it : transaction.compares)
    {
        compares.push_back(
            {{"key", base64_encode(it.key)},
             {"target", "MOD"},
             {"result", "EQUAL"},
             {"mod_revision", std::to_string(it.modify_revision)}});
    }
    auto writes = json::array();
    for (auto const& it : transaction.writes)
    {
        writes.push_back(write_json(it));
    }
    auto body = json::object();
    body["compare"] = std::move(compares);
    body["success"] = std::move(writes);
    return body.dump();
}

auto etcd_grant_body(std::int64_t seconds) -> std::string
{
    return json{{"TTL", std::to_string(seconds)}, {"ID", "0"}}.dump();
}

auto etcd_lease_body(store_lease lease) -> std::string
{
    return json{{"ID", std::to_string(lease.value)}}.dump();
}

auto etcd_range_answer(std::string_view body) -> std::optional<store_range>
{
    auto const answer = parse_object(body);
    auto const revision = answer ? header_revision(*answer) : std::nullopt;
    if (!revision)
    {
        return std::nullopt;
    }
    auto const count = integer(*answer, "count");
    if (!count)
    {
        return std::nullopt;
    }
    auto result = store_range{};
    result.revision = *revision;
    result.count = *count;
    result.more = flag(*answer, "more");
    for (auto const& it : member(*answer, "kvs"))
    {
        auto entry = entry_of(it);
        if (!entry)
        {
            return std::nullopt;
        }
        result.entries.push_back(std::move(*entry));
    }
    return result;
}

auto etcd_commit_answer(std::string_view body) -> std::optional<store_commit>
{
    auto const answer = parse_object(body);
    auto const revision = answer ? header_revision(*answer) : std::nullopt;
    if (!revision)
    {
        return std::nullopt;
    }
    return store_commit{flag(*answer, "succeeded"), *revision};
}

auto etcd_grant_answer(std::string_view body) -> std::optional<store_lease>
{
    auto const answer = parse_object(body);
    auto const id = answer ? integer(*answer, "ID") : std::nullopt;
    if (!id)
    {
        return std::nullopt;
    }
    if (*id <= 0)
    {
        return malformed();
    }
    return store_lease{static_cast<std::uint64_t>(*id)};
}

auto etcd_revoke_answer(std::string_view body) -> std::optional<bool>
{
    auto const answer = parse_object(body);
    if (!answer || !header_revision(*answer))
    {
        return std::nullopt;
    }
    return true;
}

auto etcd_keep_alive_answer(std::string_view body)
    -> std::optional<std::int64_t>
{
    // The call is a stream: one JSON object on each line.
    auto const answer = parse_object(body.substr(0, body.find('\n')));
    if (!answer)
    {
        return std::nullopt;
    }
    auto const& result = member(*answer, "result");
    if (!result.is_object())
    {
        return malformed();
    }
    return integer(result, "TTL");
}

auto etcd_error_code(std::string_view body) -> std::optional<std::int64_t>
{
    auto const answer = json::parse(body, nullptr, false);
    if (!answer.is_object() || !member(answer, "code").is_number_integer())
    {
        return std::nullopt;
    }
    return member(answer, "code").get<std::int64_t>();
}

auto base64_encode(std::string_view bytes) -> std::string
{
    // EVP_EncodeBlock writes a terminating zero after the text.
    auto text = std::string((bytes.size() + 2) / 3 * 4 + 1, '\0');
    auto const n = EVP_EncodeBlock(
        reinterpret_cast<unsigned char*>(text.data()),
        reinterpret_cast<unsigned char const*>(bytes.data()),
        static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(n));
    return text;
}

auto base64_decode(std::string_view text) -> std::optional<std::string>
{
    auto result = std::string(text.size() / 4 * 3, '\0');
    auto const n = EVP_DecodeBlock(
        reinterpret_cast<unsigned char*>(result.data()),
        reinterpret_cast<unsigned char const*>(text.data()),
        static_cast<int>(text.size()));
    // EVP_DecodeBlock trims blanks, which would leave the length wrong, and
    // counts the padding as bytes.
    if (text.size() % 4 != 0 || std::cmp_not_equal(n, result.size()))
    {
        return malformed();
    }
    auto const padding =
        text.ends_with("==") ? 2U : (text.ends_with("=") ? 1U : 0U);
    result.resize(result.size() - padding);
    return result;
}

} // namespace godwitcleat::coordination
