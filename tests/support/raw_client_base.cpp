/** @file raw_client_base.cpp A blocking socket that sends arbitrary bytes. */
#include "tests/support/raw_client_base.hpp"

#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace godwitcleat::tests
{

raw_client::raw_client(transport::endpoint const& where)
    : descriptor_(::socket(AF_INET, SOCK_STREAM, 0))
{
    auto address = sockaddr_in{};
    address.sin_family = AF_INET;
    address.sin_port = htons(where.port);
    ::inet_pton(AF_INET, where.address.c_str(), &address.sin_addr);
    if (::connect(
            descriptor_, reinterpret_cast<sockaddr*>(&address),
            sizeof address) != 0)
    {
        throw std::runtime_error{"the server accepts no connection"};
    }
}

raw_client::~raw_client()
{
    if (descriptor_ >= 0)
    {
        ::close(descriptor_);
    }
}

raw_client::raw_client(raw_client&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1))
{
}

auto raw_client::write(std::string_view bytes) const -> bool
{
    while (!bytes.empty())
    {
        auto const n =
            ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n <= 0)
        {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

auto raw_client::end_writing() const -> void
{
    ::shutdown(descriptor_, SHUT_WR);
}

auto raw_client::read_to_end(std::chrono::milliseconds limit) const
    -> std::optional<std::string>
{
    auto result = std::string{};
    auto buf = std::array<char, 4096>{};
    while (true)
    {
        auto entry = pollfd{descriptor_, POLLIN, 0};
        if (::poll(&entry, 1, static_cast<int>(limit.count())) != 1)
        {
            return std::nullopt;
        }
        auto const n = ::recv(descriptor_, buf.data(), buf.size(), 0);
        if (n <= 0)
        {
            return result;
        }
        result.append(buf.data(), static_cast<std::size_t>(n));
    }
}

} // namespace godwitcleat::tests
