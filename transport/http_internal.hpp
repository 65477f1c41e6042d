/** @file http_internal.hpp Conversion between messages and Beast's types. */
#ifndef GODWITCLEAT_TRANSPORT_HTTP_INTERNAL_HPP
#define GODWITCLEAT_TRANSPORT_HTTP_INTERNAL_HPP

#include "transport/endpoint_type.hpp"
#include "transport/http_type.hpp"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>

namespace godwitcleat::transport
{

using beast_request =
    boost::beast::http::request<boost::beast::http::string_body>;
using beast_response =
    boost::beast::http::response<boost::beast::http::string_body>;

/** Beast reads into the free capacity of a buffer, but only 512 bytes at a time
 *  if there is none, each in a turn of the event loop of its own. */
constexpr auto idle_buffer_bytes = std::size_t{4} * 1024;
constexpr auto max_read_bytes = std::size_t{64} * 1024;

/** Returns the most bytes that the next read of a body yields. */
template <class Parser>
auto next_read_bytes(
    boost::beast::flat_buffer const& buffer, Parser const& parser)
    -> std::size_t
{
    auto const left = parser.content_length_remaining();
    auto const wanted = left ? *left : std::uint64_t{max_read_bytes};
    return std::max<std::size_t>(
        std::min<std::uint64_t>(wanted, max_read_bytes), buffer.size());
}

/** Makes room for the rest of a body; @p parser has read the header. */
template <class Parser>
auto reserve_for_body(boost::beast::flat_buffer& buffer, Parser const& parser)
    -> void
{
    buffer.reserve(
        std::max(next_read_bytes(buffer, parser), idle_buffer_bytes));
}

/** Frees what reserve_for_body() has added; keeps unread bytes. */
inline auto release_body_buffer(boost::beast::flat_buffer& buffer) -> void
{
    if (buffer.capacity() > idle_buffer_bytes)
    {
        buffer.shrink_to_fit();
        buffer.reserve(idle_buffer_bytes);
    }
}

/** Takes the parts of a received message, without hop-by-hop headers. */
auto from_beast(beast_request&& message) -> http_request;
auto from_beast(beast_response&& message) -> http_response;

/**
 * Builds the message to send to @p where; framing headers are set from the
 * body, hop-by-hop headers are left out.
 * @return std::nullopt with invalid_input if a part cannot be sent.
 */
auto to_beast(http_request&& request, endpoint const& where)
    -> std::optional<beast_request>;

/**
 * Builds a response; a status, a header name or a value that cannot be sent
 * gives status 500. @p to_head: the request was HEAD, so no body is sent.
 */
auto to_beast(http_response&& response, bool to_head) -> beast_response;

} // namespace godwitcleat::transport

#endif
