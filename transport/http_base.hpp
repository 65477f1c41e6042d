/** @file http_base.hpp HTTP/1.1 server and client. */
#ifndef GODWITCLEAT_TRANSPORT_HTTP_BASE_HPP
#define GODWITCLEAT_TRANSPORT_HTTP_BASE_HPP

#include "core/core.hpp"
#include "transport/closing_pointer_base.hpp"
#include "transport/endpoint_type.hpp"
#include "transport/http_type.hpp"
#include "transport/memory_budget_base.hpp"
#include "transport/reactor_base.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace godwitcleat::transport
{

/** Limits of one HTTP server. */
struct http_server_limits
{
    std::size_t header_bytes = std::size_t{16} * 1024;
    std::size_t body_bytes = std::size_t{8} * 1024 * 1024;
    /** For one more, the connection is closed that has waited longest for a
     *  request or for the rest of one, but at least for 1 s for the rest and
     * for 2 s after a response; if there is none, the new one. */
    std::size_t connections = 4096;
    std::size_t connections_per_address = 0; ///< More are closed; 0: no limit.
    core::duration read_timeout = std::chrono::seconds{10}; ///< One request.
    /** Within `read_timeout`, a body has to arrive at this rate or faster once
     *  `body_grace` has passed since the request began. */
    std::size_t min_body_bytes_per_s = std::size_t{16} * 1024;
    core::duration body_grace = std::chrono::seconds{5};
    core::duration idle_timeout = std::chrono::seconds{60};
    core::duration write_timeout = std::chrono::seconds{30}; ///< One response.
    /** Counts the bytes of requests and responses; null: without limit. */
    std::shared_ptr<memory_budget> budget;
    /** Called each time that a limit closes a connection or refuses a request.
     *  Called on threads of the reactor. */
    std::function<void(std::string_view limit)> on_limit;
};

/**
 * Sends the response; must be called exactly once, from any thread. Status 500
 * is sent if all copies are destroyed without a call.
 */
using http_reply = std::function<void(http_response)>;

/** Handles one request. */
using http_handler = std::function<void(http_request, http_reply)>;

/**
 * Serves HTTP/1.1 with keep-alive; one request at a time on a connection.
 * Malformed or oversized requests get 400, 413 or 431 and a closed
 * connection, requests for which there is no memory 503.
 */
class http_server
{
public:
    /**
     * Listens on @p where at once.
     * @return the server, or std::nullopt with unavailable.
     */
    static auto listen(
        reactor& loop, endpoint const& where, http_server_limits limits,
        http_handler handler) -> std::optional<http_server>;

    ~http_server();
    http_server(http_server&&) noexcept;
    auto operator=(http_server&&) noexcept -> http_server&;

    /** Returns the address with the port in use. */
    [[nodiscard]] auto local() const -> endpoint;

    /** Returns the number of requests not yet fully answered. */
    [[nodiscard]] auto in_flight() const -> std::size_t;

    /** Returns the number of connections, idle ones included. */
    [[nodiscard]] auto open_connections() const -> std::size_t;

    /** Returns true if the port and all connections are closed. */
    [[nodiscard]] auto is_drained() const -> bool;

    /** Closes each connection after its next response. */
    auto end_keep_alive() -> void;

    /**
     * Stops new connections, closes idle ones, and closes the port after
     * 200 ms. A new connection gets 1 s for its first request, and requests in
     * flight finish with `Connection: close`.
     */
    auto close_listener() -> void;

    /** Closes all connections. */
    auto close() -> void;

private:
    struct implementation;
    explicit http_server(std::shared_ptr<implementation> implementation);
    closing_pointer<implementation> implementation_;
};

/** What is known about a request that got no response. */
enum class send_progress
{
    nothing_written, ///< No byte was handed to the connection.
    maybe_written    ///< The server may have received and run the request.
};

/** Result of one request. */
struct http_result
{
    std::optional<http_response> response; ///< The whole response.
    core::failure reason;                  ///< Set if there is no response.
    send_progress progress = send_progress::nothing_written;
    /** The host answered that no process listens at the address. */
    bool connection_refused = false;
    /** The request was not sent, because another process answers there;
     *  `response` is its answer to server_identity::query. */
    bool other_server = false;
};

/** What a response tells of the process that gave it. */
struct server_process
{
    std::int64_t started_ms = 0; ///< Unix time of its start.
    std::int64_t clock_ms = 0;   ///< Its own steady clock.
};

/**
 * Ties a request to one server process. A connection leads to the same process
 * until it is closed, while an address may have another one at any time.
 */
struct server_identity
{
    /** Returns true if a process may get the request; the second argument is
     *  the time since it was asked. Unset: any may. */
    std::function<bool(server_process const&, core::duration)> accepts;
    /** Makes the request that is sent first on a connection whose process is
     *  not known, if `accepts` is set. Any process may get it, so it must not
     *  change anything. Called on a thread of the reactor, as `identify` and
     *  `accepts`; the latter by send() as well. */
    std::function<http_request()> query;
    /** Returns the process that gave a response, or std::nullopt if that does
     *  not tell. */
    std::function<std::optional<server_process>(http_response const&)> identify;
};

/** Limits of one HTTP client. */
struct http_client_limits
{
    std::size_t connections_per_endpoint = 9;
    std::size_t waiting_per_endpoint = 64; ///< Requests waiting for one.
    std::size_t body_bytes = std::size_t{8} * 1024 * 1024;
    core::duration idle_timeout = std::chrono::seconds{20};
};

/**
 * Sends requests over pooled connections, one request at a time on each. A
 * request is never repeated by the client. A pooled connection that the
 * server has closed is replaced before anything is written. A connection
 * whose request failed or timed out is closed. If a request timed out without
 * a byte of a response, so are the idle connections to that endpoint that have
 * had no response since it was sent.
 */
class http_client
{
public:
    http_client(reactor& loop, http_client_limits limits);
    ~http_client();
    http_client(http_client&&) noexcept;
    auto operator=(http_client&&) noexcept -> http_client&;

    /**
     * Sends @p request to @p where. @p on_done is called exactly once on a
     * thread of the reactor, at the latest when @p timeout has passed. Reasons
     * of failure: invalid_input, no_capacity (too many requests wait),
     * unavailable (nothing was written), unknown_outcome, timeout, protocol
     * (the response cannot be used) and shutting_down. A response must carry
     * its length; one that ends with its connection is a failure. With
     * @p server, the request is sent only to the process that it names; a query
     * on a new connection takes part of the timeout.
     */
    auto send(
        endpoint const& where, http_request request, core::duration timeout,
        std::function<void(http_result)> on_done,
        std::optional<server_identity> server = std::nullopt) -> void;

    /** Returns the number of connections open to @p where. */
    [[nodiscard]] auto connections(endpoint const& where) const -> std::size_t;

private:
    struct implementation;
    closing_pointer<implementation> implementation_;
};

} // namespace godwitcleat::transport

#endif
