/** @file frame_base.hpp Request and reply frames over TCP between daemons. */
#ifndef GODWITCLEAT_TRANSPORT_FRAME_BASE_HPP
#define GODWITCLEAT_TRANSPORT_FRAME_BASE_HPP

#include "core/core.hpp"
#include "transport/closing_pointer_base.hpp"
#include "transport/endpoint_type.hpp"
#include "transport/memory_budget_base.hpp"
#include "transport/reactor_base.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace godwitcleat::transport
{

/** Limits of frame connections. */
struct frame_limits
{
    std::size_t frame_bytes = std::size_t{4} * 1024 * 1024;
    /** For one more, the connection is closed that has been idle longest. */
    std::size_t connections = 256;
    std::size_t in_flight_per_connection = 1024;
    /** Longest time without a frame, within one frame or within one write. */
    core::duration idle_timeout = std::chrono::seconds{30};
    core::duration connect_timeout = std::chrono::seconds{2};
    /** A client whose calls have got no frame for this long sends a probe. */
    core::duration probe_after = std::chrono::milliseconds{300};
    /** It closes the connection if nothing arrives for this long after it. */
    core::duration probe_timeout = std::chrono::milliseconds{700};
    /** Of a server: counts the bytes of received frames; null: no limit. */
    std::shared_ptr<memory_budget> budget;
    /** Of a server: called each time that a limit closes a connection. */
    std::function<void(std::string_view limit)> on_limit;
};

/** Sends the reply payload; must be called at most once. */
using frame_reply = std::function<void(std::string payload)>;

/** Handles one request payload. */
using frame_handler = std::function<void(std::string payload, frame_reply)>;

/**
 * Accepts connections of frames: a 4-byte length, an 8-byte request number,
 * both big-endian, and the payload. Replies carry the request's number and
 * may come in any order. Number 0 is a probe, which the server answers at once
 * with an empty payload. A malformed or oversized frame closes its connection.
 */
class frame_server
{
public:
    /** Listens at once; std::nullopt with unavailable. */
    static auto listen(
        reactor& loop, endpoint const& where, frame_limits limits,
        frame_handler handler) -> std::optional<frame_server>;

    ~frame_server();
    frame_server(frame_server&&) noexcept;
    auto operator=(frame_server&&) noexcept -> frame_server&;

    [[nodiscard]] auto local() const -> endpoint;
    auto close() -> void;

private:
    struct implementation;
    explicit frame_server(std::shared_ptr<implementation> implementation);
    closing_pointer<implementation> implementation_;
};

/**
 * Sends frames over one connection for each endpoint, reopened as needed. A
 * connection that has gone silent is noticed by probes and closed; its open
 * calls end with unknown_outcome.
 */
class frame_client
{
public:
    frame_client(reactor& loop, frame_limits limits);
    ~frame_client();
    frame_client(frame_client&&) noexcept;
    auto operator=(frame_client&&) noexcept -> frame_client&;

    /**
     * Sends @p payload. @p on_done is called exactly once on a thread of the
     * reactor with the reply, or with std::nullopt and last_reason() of kind
     * unavailable (nothing was sent), invalid_input (the payload exceeds
     * frame_bytes; nothing was sent), timeout or unknown_outcome.
     */
    auto call(
        endpoint const& where, std::string payload, core::duration timeout,
        std::function<void(std::optional<std::string>)> on_done) -> void;

private:
    struct implementation;
    closing_pointer<implementation> implementation_;
};

} // namespace godwitcleat::transport

#endif
