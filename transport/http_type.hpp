/** @file http_type.hpp HTTP messages without the library's types. */
#ifndef GODWITCLEAT_TRANSPORT_HTTP_TYPE_HPP
#define GODWITCLEAT_TRANSPORT_HTTP_TYPE_HPP

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace godwitcleat::transport
{

/**
 * Header fields in order; names are compared without case. Hop-by-hop fields
 * are removed from received messages and are not sent, except that a response
 * with `Connection: close` closes its connection. Content-Length is set from
 * the body, except in a response to HEAD without a body.
 */
struct http_headers
{
    std::vector<std::pair<std::string, std::string>> values;

    /** Returns the first value of @p name, or an empty view. */
    [[nodiscard]] auto get(std::string_view name) const -> std::string_view;

    /** Replaces all values of @p name by @p value. */
    auto set(std::string_view name, std::string_view value) -> void;

    /** Removes all values of @p name. */
    auto remove(std::string_view name) -> void;
};

/** A request with its whole body. */
struct http_request
{
    std::string method = "GET"; ///< In capitals.
    std::string target = "/";   ///< Path and query, as received.
    http_headers headers;
    std::string body;
    std::string remote_address; ///< Set by the server.
};

/** A response with its whole body. */
struct http_response
{
    int status = 200;
    http_headers headers;
    std::string body;
};

/**
 * Returns @p text for a part of a target: all but letters, digits and the
 * characters of @p plain become %XX.
 */
auto percent_encode(std::string_view text, std::string_view plain = "-._~")
    -> std::string;

} // namespace godwitcleat::transport

#endif
