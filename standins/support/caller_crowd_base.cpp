/** @file caller_crowd_base.cpp Callers that nobody controls. */
#include "standins/support/caller_crowd_base.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace godwitcleat::standins
{

namespace
{

constexpr auto max_send_time = std::chrono::seconds{20};
constexpr auto poll_ms = 100;

auto open_connection(transport::endpoint const& where) -> int
{
    auto const descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    auto address = sockaddr_in{};
    address.sin_family = AF_INET;
    address.sin_port = htons(where.port);
    ::inet_pton(AF_INET, where.address.c_str(), &address.sin_addr);
    if (::connect(
            descriptor, reinterpret_cast<sockaddr*>(&address),
            sizeof address) != 0)
    {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

} // namespace

auto caller_script::bytes(std::size_t offset, std::size_t most) const
    -> std::string
{
    most = std::min(most, size() - std::min(offset, size()));
    auto result = std::string{};
    if (offset < head.size())
    {
        result = head.substr(offset, most);
    }
    while (result.size() < most)
    {
        auto const at = offset + result.size() - head.size();
        result.append(
            unit, at % unit.size(),
            std::min(most - result.size(), unit.size() - at % unit.size()));
    }
    return result;
}

caller_crowd::caller_crowd(
    transport::endpoint const& where, std::size_t connections,
    caller_script script)
    : script_(std::move(script))
{
    for (auto i = std::size_t{0}; i < connections; ++i)
    {
        auto const descriptor = open_connection(where);
        if (descriptor >= 0)
        {
            connections_.push_back({descriptor, 0});
        }
    }
}

caller_crowd::~caller_crowd()
{
    for (auto const& it : connections_)
    {
        if (it.descriptor >= 0)
        {
            ::close(it.descriptor);
        }
    }
}

auto caller_crowd::send(std::size_t piece_bytes) -> void
{
    auto const end = std::chrono::steady_clock::now() + max_send_time;
    while (std::chrono::steady_clock::now() < end)
    {
        auto entries = std::vector<pollfd>{};
        auto senders = std::vector<connection*>{};
        for (auto& it : connections_)
        {
            if (it.descriptor >= 0 && it.sent < script_.size())
            {
                entries.push_back({it.descriptor, POLLOUT, 0});
                senders.push_back(&it);
            }
        }
        if (entries.empty())
        {
            return;
        }
        ::poll(entries.data(), entries.size(), poll_ms);
        for (auto i = std::size_t{0}; i < entries.size(); ++i)
        {
            if (entries[i].revents != 0 &&
                !send_piece(*senders[i], piece_bytes))
            {
                ::close(std::exchange(senders[i]->descriptor, -1));
            }
        }
    }
}

auto caller_crowd::send_piece(connection& it, std::size_t piece_bytes) -> bool
{
    auto const piece = script_.bytes(it.sent, piece_bytes);
    auto const n = ::send(
        it.descriptor, piece.data(), piece.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n < 0)
    {
        return errno == EAGAIN || errno == EWOULDBLOCK;
    }
    it.sent += static_cast<std::size_t>(n);
    return true;
}

auto caller_crowd::open() const -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(
        connections_.begin(), connections_.end(),
        [](connection const& it)
        {
            auto byte = char{};
            return it.descriptor >= 0 &&
                   ::recv(it.descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) !=
                       0;
        }));
}

} // namespace godwitcleat::standins
