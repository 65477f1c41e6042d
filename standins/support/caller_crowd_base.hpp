/** @file caller_crowd_base.hpp Callers that nobody controls. */
#ifndef GODWITCLEAT_STANDINS_SUPPORT_CALLER_CROWD_BASE_HPP
#define GODWITCLEAT_STANDINS_SUPPORT_CALLER_CROWD_BASE_HPP

#include "transport/transport.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace godwitcleat::standins
{

/** What a connection of a crowd sends: `head` once, then `unit` many times. */
struct caller_script
{
    std::string head;
    std::string unit;
    std::size_t repeats = 0;
    std::size_t left_out = 0; ///< Bytes at the end that are not sent.

    [[nodiscard]] auto size() const -> std::size_t
    {
        return head.size() + unit.size() * repeats - left_out;
    }

    /** Returns up to @p most bytes from @p offset on. */
    [[nodiscard]] auto bytes(std::size_t offset, std::size_t most) const
        -> std::string;
};

/**
 * Connections that send the same script at the same time, read nothing and stay
 * open until the crowd is destroyed.
 */
class caller_crowd
{
public:
    caller_crowd(
        transport::endpoint const& where, std::size_t connections,
        caller_script script);
    ~caller_crowd();
    caller_crowd(caller_crowd const&) = delete;
    auto operator=(caller_crowd const&) -> caller_crowd& = delete;

    /**
     * Sends until each connection has sent all or was closed by its peer; at
     * most for 20 s, as a peer that does not read is allowed. @p piece_bytes is
     * sent on each connection in turn.
     */
    auto send(std::size_t piece_bytes = std::size_t{64} * 1024) -> void;

    /** Returns the connections that the peer has not closed. */
    [[nodiscard]] auto open() const -> std::size_t;

private:
    struct connection
    {
        int descriptor = -1;
        std::size_t sent = 0;
    };

    /** Sends the next piece; false if the connection was closed. */
    auto send_piece(connection& it, std::size_t piece_bytes) -> bool;

    caller_script script_;
    std::vector<connection> connections_;
};

} // namespace godwitcleat::standins

#endif
