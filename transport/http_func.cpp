/** @file http_func.cpp Header fields and conversion to Beast's types. */
#include "core/core.hpp"
#include "transport/http_internal.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cctype>

namespace godwitcleat::transport
{

namespace http = boost::beast::http;

namespace
{

constexpr unsigned http_1_1 = 11;

// Headers that describe one connection (RFC 9110, 7.6.1), and the length,
// which is set from the body.
constexpr std::array<std::string_view, 8> framing_headers{
    "Connection", "Keep-Alive",        "Proxy-Connection", "TE",
    "Trailer",    "Transfer-Encoding", "Upgrade",          "Content-Length"};

auto lower(char letter) -> char
{
    return letter >= 'A' && letter <= 'Z'
               ? static_cast<char>(letter - 'A' + 'a')
               : letter;
}

auto same_name(std::string_view left, std::string_view right) -> bool
{
    return std::equal(
        left.begin(), left.end(), right.begin(), right.end(),
        [](char a, char b) { return lower(a) == lower(b); });
}

auto is_framing(std::string_view name) -> bool
{
    return std::any_of(
        framing_headers.begin(), framing_headers.end(),
        [name](auto const it) { return same_name(it, name); });
}

auto is_token(std::string_view text) -> bool
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return !text.empty() &&
           std::all_of(
               text.begin(), text.end(),
               [marks](char it)
               {
                   return (it >= '0' && it <= '9') ||
                          (lower(it) >= 'a' && lower(it) <= 'z') ||
                          marks.find(it) != std::string_view::npos;
               });
}

// A line end in a value would start another header or message.
auto is_value(std::string_view text) -> bool
{
    return std::none_of(
        text.begin(), text.end(),
        [](char it)
        {
            auto const code = static_cast<unsigned char>(it);
            return (code < 0x20 && it != '\t') || code == 0x7f;
        });
}

auto is_target(std::string_view text) -> bool
{
    return !text.empty() && is_value(text) &&
           text.find_first_of(" \t") == std::string_view::npos;
}

template <class Fields>
auto copy_headers(Fields const& fields) -> http_headers
{
    auto result = http_headers{};
    for (auto const& it : fields)
    {
        auto const name =
            std::string_view{it.name_string().data(), it.name_string().size()};
        if (!is_framing(name) || same_name(name, "Content-Length"))
        {
            result.values.emplace_back(name, std::string{it.value()});
        }
    }
    return result;
}

template <class Fields>
auto copy_headers(http_headers const& from, Fields& to) -> bool
{
    for (auto const& [name, value] : from.values)
    {
        if (is_framing(name))
        {
            continue;
        }
        if (!is_token(name) || !is_value(value))
        {
            return false;
        }
        to.insert(name, value);
    }
    return true;
}

auto internal_error() -> beast_response
{
    auto result = beast_response{http::status::internal_server_error, http_1_1};
    result.prepare_payload();
    return result;
}

} // namespace

auto percent_encode(std::string_view text, std::string_view plain)
    -> std::string
{
    auto result = std::string{};
    for (auto const it : text)
    {
        auto const byte = static_cast<unsigned char>(it);
        if (std::isalnum(byte) != 0 || plain.find(it) != std::string_view::npos)
        {
            result += it;
        }
        else
        {
            result += fmt::format("%{:02X}", byte);
        }
    }
    return result;
}

auto http_headers::get(std::string_view name) const -> std::string_view
{
    auto const it = std::find_if(
        values.begin(), values.end(),
        [name](auto const& value) { return same_name(value.first, name); });
    return it == values.end() ? std::string_view{}
                              : std::string_view{it->second};
}

auto http_headers::set(std::string_view name, std::string_view value) -> void
{
    // The arguments may refer to a value that is about to be removed.
    auto entry = std::pair{std::string{name}, std::string{value}};
    remove(entry.first);
    values.push_back(std::move(entry));
}

auto http_headers::remove(std::string_view name) -> void
{
    auto const copy = std::string{name};
    std::erase_if(
        values,
        [&copy](auto const& value) { return same_name(value.first, copy); });
}

auto from_beast(beast_request&& message) -> http_request
{
    auto result = http_request{};
    result.method = std::string{message.method_string()};
    result.target = std::string{message.target()};
    result.headers = copy_headers(message.base());
    result.body = std::move(message.body());
    return result;
}

auto from_beast(beast_response&& message) -> http_response
{
    auto result = http_response{};
    result.status = static_cast<int>(message.result_int());
    result.headers = copy_headers(message.base());
    result.body = std::move(message.body());
    return result;
}

auto to_beast(http_request&& request, endpoint const& where)
    -> std::optional<beast_request>
{
    auto result = beast_request{};
    result.version(http_1_1);
    if (!is_token(request.method) || !is_target(request.target) ||
        !copy_headers(request.headers, result))
    {
        return core::fail(
            core::error_kind::invalid_input,
            "the request has a method, target or header with characters that "
            "HTTP does not allow; remove them");
    }
    result.method_string(request.method);
    result.target(request.target);
    if (result.find(http::field::host) == result.end())
    {
        result.set(http::field::host, to_string(where));
    }
    result.body() = std::move(request.body);
    result.prepare_payload();
    return result;
}

auto to_beast(http_response&& response, bool to_head) -> beast_response
{
    constexpr int lowest_final_status = 200;
    constexpr int highest_status = 999;
    if (response.status < lowest_final_status ||
        response.status > highest_status)
    {
        return internal_error();
    }
    auto result = beast_response{};
    result.version(http_1_1);
    result.result(static_cast<unsigned>(response.status));
    if (!copy_headers(response.headers, result))
    {
        return internal_error();
    }
    if (result.result() == http::status::no_content ||
        result.result() == http::status::not_modified)
    {
        return result;
    }
    if (to_head)
    {
        // The length is that of the body which GET would return.
        auto const length = response.headers.get("Content-Length");
        result.set(
            http::field::content_length,
            response.body.empty() && !length.empty() && is_value(length)
                ? std::string{length}
                : std::to_string(response.body.size()));
        return result;
    }
    result.body() = std::move(response.body);
    result.prepare_payload();
    return result;
}

} // namespace godwitcleat::transport
