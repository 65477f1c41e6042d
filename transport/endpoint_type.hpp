/** @file endpoint_type.hpp Network addresses. */
#ifndef GODWITCLEAT_TRANSPORT_ENDPOINT_TYPE_HPP
#define GODWITCLEAT_TRANSPORT_ENDPOINT_TYPE_HPP

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace godwitcleat::transport
{

/** An IP address and a port. Names are not resolved. */
struct endpoint
{
    std::string address;    ///< IPv4 or IPv6 address in digits.
    std::uint16_t port = 0; ///< 0: the system chooses when listening.

    // clang-tidy 14 takes the defaulted comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(endpoint const&) const = default;
};

/** Returns `ADDRESS:PORT`, IPv6 addresses in brackets. */
auto to_string(endpoint const& value) -> std::string;

/** Parses `ADDRESS:PORT`; std::nullopt with invalid_input. */
auto parse_endpoint(std::string_view text) -> std::optional<endpoint>;

} // namespace godwitcleat::transport

#endif
