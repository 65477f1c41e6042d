/** @file http_client_internal.hpp Pools and connections of a client. */
#ifndef GODWITCLEAT_TRANSPORT_HTTP_CLIENT_INTERNAL_HPP
#define GODWITCLEAT_TRANSPORT_HTTP_CLIENT_INTERNAL_HPP

#include "transport/http_base.hpp"
#include "transport/http_internal.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace godwitcleat::transport
{

class client_connection;

/** Returns the time of the clock that the deadlines refer to. */
inline auto now() -> core::time_point
{
    return core::time_point{std::chrono::steady_clock::now()};
}

/** One request from send() to its result. */
struct exchange
{
    explicit exchange(boost::asio::io_context& context)
        : waiting_timer(context)
    {
    }

    beast_request message;
    bool to_head = false;
    core::time_point deadline;
    std::function<void(http_result)> on_done;
    boost::asio::steady_timer waiting_timer; ///< Guarded by the client's mutex.
    server_identity server;
};

/** The process to which a connection leads. */
struct identified_server
{
    server_process process;
    core::time_point asked_at; ///< Before the process has told this.
};

/** Returns true if the request may be sent to @p server; unset: not known. */
inline auto
may_get(exchange const& request, std::optional<identified_server> const& server)
    -> bool
{
    auto const& accepts = request.server.accepts;
    return !accepts ||
           (server && accepts(server->process, now() - server->asked_at));
}

using exchange_pointer = std::shared_ptr<exchange>;
using connection_pointer = std::shared_ptr<client_connection>;

/** A connection that no request uses. */
struct idle_connection
{
    connection_pointer connection;
    core::time_point since;                  ///< Time of its last response.
    std::optional<identified_server> server; ///< Of the connection.
};

/** Connections and waiting requests of one endpoint. */
struct endpoint_pool
{
    std::set<connection_pointer> all;
    std::vector<idle_connection> idle; ///< Last used at the back.
    std::deque<exchange_pointer> waiting;

    /** Removes and returns the idle connection that suits @p request best, or
     *  null if a new one suits it better and may be opened. */
    auto take_idle(exchange const& request, bool may_open)
        -> connection_pointer;
};

/** All pools of one client. */
struct http_client_state : std::enable_shared_from_this<http_client_state>
{
    http_client_state(boost::asio::io_context& loop, http_client_limits bounds)
        : context(loop)
        , limits(bounds)
    {
    }

    auto send(endpoint const& where, exchange_pointer const& request) -> void;
    auto enqueue(
        endpoint const& where, endpoint_pool& pool,
        exchange_pointer const& request) -> void;
    auto expire(endpoint const& where, exchange_pointer const& request) -> void;
    auto open(endpoint const& where, endpoint_pool& pool) -> connection_pointer;
    auto release(
        connection_pointer const& connection, bool reusable,
        std::optional<identified_server> server) -> void;
    auto drop_idle(connection_pointer const& connection) -> void;
    /** Closes the idle connections without a response after @p time. */
    auto drop_idle_before(endpoint const& where, core::time_point time) -> void;
    auto close() -> void;

    /** Calls on_done on a thread of the reactor. */
    auto complete(exchange_pointer const& request, http_result result) -> void
    {
        boost::asio::post(
            context, [request, content = std::move(result)]() mutable
            { request->on_done(std::move(content)); });
    }

    auto refuse(
        exchange_pointer const& request, core::error_kind kind,
        std::string message) -> void
    {
        auto result = http_result{};
        result.reason = core::failure{kind, std::move(message)};
        complete(request, std::move(result));
    }

    boost::asio::io_context& context;
    http_client_limits limits;
    std::mutex mutex; ///< Guards the following members.
    bool closed = false;
    std::map<endpoint, endpoint_pool> pools;
};

/** One connection; all members are used on its strand only. */
class client_connection : public std::enable_shared_from_this<client_connection>
{
public:
    client_connection(
        std::shared_ptr<http_client_state> client, endpoint address);
    [[nodiscard]] auto where() const -> endpoint const&;

    /** Performs @p request; the pool has assigned this connection to it. */
    auto run(exchange_pointer request) -> void;

    /** Watches for a close by the server while the connection is idle. */
    auto watch() -> void;

    /** Closes the connection; a request on it fails. */
    auto abort() -> void;

private:
    auto start_watch() -> void;
    auto watch_socket(std::uint64_t round) -> void;
    auto stop_watch() -> void;
    auto begin(exchange_pointer request) -> void;
    auto connect() -> void;
    auto on_connect(boost::beast::error_code ec) -> void;
    /** Makes sure that the connection leads to the expected process. */
    auto send_query() -> void;
    auto write() -> void;
    auto on_write(boost::beast::error_code ec, std::size_t n) -> void;
    auto read_header() -> void;
    auto on_header(boost::beast::error_code ec) -> void;
    auto skip_interim() -> void;
    auto succeed() -> void;
    /** Handles the response to the query. */
    auto identified(http_response response, bool reusable) -> void;
    auto fail_read(boost::beast::error_code ec) -> void;
    auto fail(
        boost::beast::error_code ec, core::error_kind kind,
        std::string_view what) -> void;
    auto fail_timeout() -> void;
    [[nodiscard]] auto is_silent() const -> bool;
    /** Returns true if the request may be sent on this connection now. */
    [[nodiscard]] auto leads_to_expected_server() const -> bool
    {
        return may_get(*request_, server_);
    }
    auto fail(core::error_kind kind, std::string_view message) -> void;
    auto finish(http_result result, bool reusable) -> void;

    std::shared_ptr<http_client_state> client_;
    endpoint where_;
    boost::beast::tcp_stream stream_;
    boost::asio::steady_timer idle_timer_;
    boost::beast::flat_buffer buffer_;
    std::optional<
        boost::beast::http::response_parser<boost::beast::http::string_body>>
        parser_;
    exchange_pointer request_; ///< Null while idle.
    send_progress progress_ = send_progress::nothing_written;
    bool connection_refused_ = false;
    /** Process that it leads to; unset: not known. */
    std::optional<identified_server> server_;
    bool querying_ = false; ///< `query_` is on its way.
    beast_request query_;
    int interim_ = 0;
    core::time_point begun_; ///< When the request was given to the connection.
    std::uint64_t watch_round_ = 0; ///< Makes events of old watches void.
    bool aborted_ = false;
};

} // namespace godwitcleat::transport

#endif
