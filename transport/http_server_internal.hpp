/** @file http_server_internal.hpp Connections of the HTTP server. */
#ifndef GODWITCLEAT_TRANSPORT_HTTP_SERVER_INTERNAL_HPP
#define GODWITCLEAT_TRANSPORT_HTTP_SERVER_INTERNAL_HPP

#include "transport/http_base.hpp"
#include "transport/http_internal.hpp"
#include "transport/listener_internal.hpp"

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace godwitcleat::transport
{

class http_connection;

/** Listener, limits and open connections. */
struct http_server_state : std::enable_shared_from_this<http_server_state>
{
    http_server_state(http_server_limits bounds, http_handler call)
        : limits(std::move(bounds))
        , handler(std::move(call))
    {
    }

    auto add(boost::asio::ip::tcp::socket socket) -> void;
    auto remove(std::shared_ptr<http_connection> const& connection) -> void;
    auto end_keep_alive() -> void;
    auto close_listener() -> void;
    auto close() -> void;
    /** Closes the connection that has been quiet for longest, if any is. */
    auto close_quietest() -> void;
    auto report(std::string_view limit) const -> void
    {
        if (limits.on_limit)
        {
            limits.on_limit(limit);
        }
    }

    http_server_limits limits;
    http_handler handler;
    std::shared_ptr<listener> port;
    std::atomic<std::size_t> in_flight{0};
    std::atomic<bool> last_request{false}; ///< No further keep-alive.
    std::atomic<bool> closing{false};      ///< Idle connections are closed.
    std::atomic<bool> closed{false};       ///< No further call of the handler.
    std::mutex mutex;                      ///< Guards the connections.
    std::set<std::shared_ptr<http_connection>> connections;
    std::map<std::string, std::size_t> connections_by_address;

private:
    /** @pre `mutex` is held */
    auto may_add(std::string const& address) const -> bool;
};

/** One connection; all members are used on its strand only. */
class http_connection : public std::enable_shared_from_this<http_connection>
{
public:
    http_connection(
        boost::asio::ip::tcp::socket socket, std::string remote_address,
        std::shared_ptr<http_server_state> server);
    ~http_connection();

    http_connection(http_connection const&) = delete;
    auto operator=(http_connection const&) -> http_connection& = delete;

    /** Runs @p task on the strand. */
    template <class Task>
    auto dispatch(Task task) -> void
    {
        boost::asio::dispatch(
            stream_.get_executor(),
            [self = shared_from_this(), call = std::move(task)]() mutable
            { call(*self); });
    }

    [[nodiscard]] auto executor() -> boost::asio::any_io_executor;

    auto start() -> void;

    [[nodiscard]] auto remote_address() const -> std::string const&;

    /** Returns the state that other threads may look at. */
    [[nodiscard]] auto quiet() -> quiet_time&;

    /** Closes the connection for a new one, unless a request has arrived. */
    auto close_for_another() -> void;

    /** Closes the connection unless a request has arrived or is due. */
    auto close_when_quiet() -> void;

    auto close_if_idle() -> void;

    auto close() -> void;

    auto respond(http_response response) -> void;

private:
    auto wait_for_request() -> void;

    /** Closes the connection at the end of @p time, unless it is in use. */
    auto close_after(core::duration time) -> void;

    auto on_readable(boost::beast::error_code ec) -> void;

    auto read_header() -> void;

    /** Notes that a read has ended; false if its request is over. */
    auto end_read() -> bool;

    auto on_header(boost::beast::error_code ec) -> void;

    auto read_body() -> void;

    /** Reads the next bytes of the body if there is memory for them. */
    auto read_some() -> void;

    auto on_some(boost::beast::error_code ec) -> void;

    [[nodiscard]] auto body_deadline(std::size_t received) const
        -> std::chrono::steady_clock::time_point;

    auto read_header_later() -> void;

    auto read_some_later() -> void;

    /** Runs @p task soon, as another request may have been ended; refuses the
     *  request after max_memory_wait. */
    auto wait_for_memory(std::function<void(http_connection&)> task) -> void;

    /** Refuses a request that is not read yet, so that its bytes are freed. */
    auto evict() -> void;

    /** Refuses it as soon as no read uses the parser. */
    auto refuse_evicted() -> void;

    auto refuse(boost::beast::error_code ec) -> void;

    auto refuse_with(boost::beast::http::status status) -> void;

    auto handle() -> void;

    auto make_reply() -> http_reply;

    auto write(beast_response message) -> void;

    auto on_written(boost::beast::error_code ec) -> void;

    auto linger(std::size_t dropped) -> void;

    auto begin_request() -> void;

    auto end_request() -> void;

    boost::beast::tcp_stream stream_;
    boost::asio::steady_timer idle_timer_;
    boost::asio::steady_timer memory_timer_;
    boost::beast::flat_buffer buffer_;
    std::shared_ptr<http_server_state> server_;
    std::string remote_address_;
    std::optional<
        boost::beast::http::request_parser<boost::beast::http::string_body>>
        parser_;
    beast_response response_;
    std::array<char, 4096> scrap_{};
    std::optional<budget_share> memory_; ///< Set by start().
    std::optional<core::time_point> memory_wait_begun_;
    std::chrono::steady_clock::time_point begun_at_; ///< Of the request.
    quiet_time quiet_;
    bool reading_ = false;      ///< A request has begun and is not whole.
    bool read_pending_ = false; ///< An operation uses the parser.
    bool evicted_ = false;      ///< The request is refused for its bytes.
    bool proceeding_ = false;   ///< Writes that the body may come.
    bool writing_ = false;      ///< A response, or waits after the last one.
    bool unused_ = true;        ///< No request has begun.
    bool idle_ = false;         ///< Waits for the first byte of a request.
    bool counted_ = false;      ///< Is part of the server's in_flight.
    bool closed_ = false;
    bool keep_alive_ = false;
    bool to_head_ = false;
};

} // namespace godwitcleat::transport

#endif
