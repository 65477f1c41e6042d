/** @file endpoint_func.cpp Text form of network addresses. */
#include "core/core.hpp"
#include "transport/endpoint_type.hpp"

#include <boost/asio/ip/address.hpp>
#include <fmt/format.h>

#include <charconv>
#include <utility>

namespace godwitcleat::transport
{

auto to_string(endpoint const& value) -> std::string
{
    if (value.address.find(':') != std::string::npos)
    {
        return fmt::format("[{}]:{}", value.address, value.port);
    }
    return fmt::format("{}:{}", value.address, value.port);
}

auto parse_endpoint(std::string_view text) -> std::optional<endpoint>
{
    auto const invalid = [text]
    {
        return core::fail(
            core::error_kind::invalid_input,
            fmt::format(
                "\"{}\" is no endpoint; use ADDRESS:PORT with an IP address "
                "in digits",
                text));
    };
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
    {
        return invalid();
    }
    auto address = text.substr(0, colon);
    if (address.front() == '[' && address.back() == ']')
    {
        address = address.substr(1, address.size() - 2);
    }
    auto ec = boost::system::error_code{};
    boost::asio::ip::make_address(std::string{address}, ec);
    auto const digits = text.substr(colon + 1);
    auto port = std::uint16_t{0};
    auto const* const end = digits.data() + digits.size();
    auto const [rest, status] = std::from_chars(digits.data(), end, port);
    if (ec || status != std::errc{} || rest != end)
    {
        return invalid();
    }
    return endpoint{std::string{address}, port};
}

} // namespace godwitcleat::transport
