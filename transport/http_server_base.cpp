/** @file http_server_base.cpp HTTP/1.1 server. */
#include "transport/http_base.hpp"
#include "transport/http_internal.hpp"
#include "transport/listener_internal.hpp"
#include "transport/reactor_internal.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <set>

namespace godwitcleat::transport
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using beast::error_code;

namespace
{

class http_connection;

// Bytes that a connection may buffer beyond one header.
constexpr std::size_t read_ahead_bytes = std::size_t{64} * 1024;

// After the last response, input is read and dropped within these bounds. A
// close with unread input would send a reset, which can destroy the response
// before the caller has read it.
constexpr auto linger_time = std::chrono::seconds{1};
constexpr std::size_t linger_bytes = std::size_t{4} * 1024 * 1024;

// A caller sends its first request within a round trip of connecting. A server
// that closes waits this long for it, because a close in between would reset
// the connection under the request.
constexpr auto first_request_time = std::chrono::seconds{1};

auto status_of(error_code ec) -> std::optional<http::status>
{
    if (ec == http::error::body_limit)
    {
        return http::status::payload_too_large;
    }
    if (ec == http::error::header_limit || ec == http::error::buffer_overflow)
    {
        return http::status::request_header_fields_too_large;
    }
    auto const& parse_errors =
        http::make_error_code(http::error::bad_method).category();
    if (ec.category() == parse_errors && ec != http::error::end_of_stream &&
        ec != http::error::partial_message)
    {
        return http::status::bad_request;
    }
    return std::nullopt;
}

/** Listener, limits and open connections. */
struct http_server_state : std::enable_shared_from_this<http_server_state>
{
    http_server_state(http_server_limits bounds, http_handler call)
        : limits(bounds)
        , handler(std::move(call))
    {
    }

    auto add(tcp::socket socket) -> void;
    auto remove(std::shared_ptr<http_connection> const& connection) -> void;
    auto end_keep_alive() -> void;
    auto close_listener() -> void;
    auto close() -> void;

    http_server_limits limits;
    http_handler handler;
    std::shared_ptr<listener> port;
    std::atomic<std::size_t> in_flight{0};
    std::atomic<bool> last_request{false}; ///< No further keep-alive.
    std::atomic<bool> closing{false};      ///< Idle connections are closed.
    std::atomic<bool> closed{false};       ///< No further call of the handler.
    std::mutex mutex;                      ///< Guards the connections.
    std::set<std::shared_ptr<http_connection>> connections;
};

/** One connection; all members are used on its strand only. */
class http_connection : public std::enable_shared_from_this<http_connection>
{
public:
    http_connection(
        tcp::socket socket, std::shared_ptr<http_server_state> server)
        : stream_(std::move(socket))
        , idle_timer_(stream_.get_executor())
        , buffer_(server->limits.header_bytes + read_ahead_bytes)
        , server_(std::move(server))
    {
        buffer_.reserve(idle_buffer_bytes);
    }

    ~http_connection()
    {
        end_request();
    }

    http_connection(http_connection const&) = delete;
    auto operator=(http_connection const&) -> http_connection& = delete;

    /** Runs @p task on the strand. */
    template <class Task>
    auto dispatch(Task task) -> void
    {
        asio::dispatch(
            stream_.get_executor(),
            [self = shared_from_this(), call = std::move(task)]() mutable
            { call(*self); });
    }

    [[nodiscard]] auto executor() -> asio::any_io_executor
    {
        return stream_.get_executor();
    }

    auto start() -> void
    {
        auto ec = error_code{};
        auto const remote = stream_.socket().remote_endpoint(ec);
        if (ec)
        {
            close();
            return;
        }
        remote_address_ = remote.address().to_string();
        wait_for_request();
    }

    /** Closes the connection unless a request has arrived or is due. */
    auto close_when_quiet() -> void
    {
        if (idle_ && unused_)
        {
            close_after(first_request_time);
            return;
        }
        close_if_idle();
    }

    auto close_if_idle() -> void
    {
        // A request may have arrived that is not read yet; it is answered.
        if (idle_ && is_quiet(stream_.socket()))
        {
            close();
        }
    }

    auto close() -> void
    {
        idle_ = false;
        closed_ = true;
        stream_.close();
        idle_timer_.cancel();
        end_request();
        server_->remove(shared_from_this());
    }

    auto respond(http_response response) -> void
    {
        if (closed_)
        {
            return;
        }
        auto const asked = std::string_view{response.headers.get("Connection")};
        keep_alive_ = keep_alive_ && asked != "close";
        write(to_beast(std::move(response), to_head_));
    }

private:
    auto wait_for_request() -> void
    {
        if (buffer_.size() > 0)
        {
            read_header();
            return;
        }
        idle_ = true;
        auto const self = shared_from_this();
        // Waiting without reading leaves the input in the socket, so that
        // close_if_idle can tell whether a request has arrived.
        stream_.socket().async_wait(
            tcp::socket::wait_read,
            [self](error_code ec) { self->on_readable(ec); });
        close_after(server_->limits.idle_timeout);
        if (server_->closing)
        {
            close_when_quiet();
        }
    }

    /** Closes the connection at the end of @p time, unless it is in use. */
    auto close_after(core::duration time) -> void
    {
        idle_timer_.expires_after(time);
        idle_timer_.async_wait(
            [self = shared_from_this()](error_code ec)
            {
                if (!ec)
                {
                    self->close_if_idle();
                }
            });
    }

    auto on_readable(error_code ec) -> void
    {
        if (!idle_)
        {
            return;
        }
        idle_ = false;
        idle_timer_.cancel();
        if (ec)
        {
            close();
            return;
        }
        read_header();
    }

    auto read_header() -> void
    {
        unused_ = false;
        begin_request();
        parser_.emplace();
        parser_->header_limit(
            static_cast<std::uint32_t>(server_->limits.header_bytes));
        parser_->body_limit(server_->limits.body_bytes);
        stream_.expires_after(server_->limits.read_timeout);
        http::async_read_header(
            stream_, buffer_, *parser_,
            [self = shared_from_this()](error_code ec, std::size_t)
            { self->on_header(ec); });
    }

    auto on_header(error_code ec) -> void
    {
        if (ec)
        {
            refuse(ec);
            return;
        }
        auto const expected = parser_->get()[http::field::expect];
        if (!beast::iequals(expected, "100-continue"))
        {
            read_body();
            return;
        }
        static constexpr std::string_view proceed =
            "HTTP/1.1 100 Continue\r\n\r\n";
        asio::async_write(
            stream_, asio::buffer(proceed.data(), proceed.size()),
            [self = shared_from_this()](error_code failed, std::size_t)
            { failed ? self->close() : self->read_body(); });
    }

    auto read_body() -> void
    {
        reserve_for_body(buffer_, *parser_);
        http::async_read(
            stream_, buffer_, *parser_,
            [self = shared_from_this()](error_code ec, std::size_t)
            { ec ? self->refuse(ec) : self->handle(); });
    }

    auto refuse(error_code ec) -> void
    {
        auto const status = status_of(ec);
        if (!status)
        {
            close();
            return;
        }
        keep_alive_ = false;
        to_head_ = false;
        auto response = http_response{};
        response.status = static_cast<int>(*status);
        write(to_beast(std::move(response), false));
    }

    auto handle() -> void
    {
        if (server_->closed)
        {
            close();
            return;
        }
        release_body_buffer(buffer_);
        auto message = parser_->release();
        keep_alive_ = message.keep_alive();
        to_head_ = message.method() == http::verb::head;
        auto request = from_beast(std::move(message));
        request.remote_address = remote_address_;
        server_->handler(std::move(request), make_reply());
    }

    auto make_reply() -> http_reply;

    auto write(beast_response message) -> void
    {
        keep_alive_ = keep_alive_ && !server_->last_request;
        message.keep_alive(keep_alive_);
        response_ = std::move(message);
        stream_.expires_after(server_->limits.write_timeout);
        http::async_write(
            stream_, response_,
            [self = shared_from_this()](error_code ec, std::size_t)
            { self->on_written(ec); });
    }

    auto on_written(error_code ec) -> void
    {
        end_request();
        if (ec)
        {
            close();
            return;
        }
        if (keep_alive_)
        {
            wait_for_request();
            return;
        }
        stream_.socket().shutdown(tcp::socket::shutdown_send, ec);
        stream_.expires_after(linger_time);
        linger(0);
    }

    auto linger(std::size_t dropped) -> void
    {
        stream_.async_read_some(
            asio::buffer(scrap_),
            [self = shared_from_this(), dropped](error_code ec, std::size_t n)
            {
                if (ec || dropped + n > linger_bytes)
                {
                    self->close();
                    return;
                }
                self->linger(dropped + n);
            });
    }

    auto begin_request() -> void
    {
        if (!counted_)
        {
            counted_ = true;
            ++server_->in_flight;
        }
    }

    auto end_request() -> void
    {
        if (counted_)
        {
            counted_ = false;
            --server_->in_flight;
        }
    }

    beast::tcp_stream stream_;
    asio::steady_timer idle_timer_;
    beast::flat_buffer buffer_;
    std::shared_ptr<http_server_state> server_;
    std::string remote_address_;
    std::optional<http::request_parser<http::string_body>> parser_;
    beast_response response_;
    std::array<char, 4096> scrap_{};
    bool unused_ = true;   ///< No request has begun.
    bool idle_ = false;    ///< Waits for the first byte of a request.
    bool counted_ = false; ///< Is part of the server's in_flight.
    bool closed_ = false;
    bool keep_alive_ = false;
    bool to_head_ = false;
};

/** Answers one request; a handler that drops it unused causes a 500. */
class reply_once
{
public:
    explicit reply_once(std::weak_ptr<http_connection> connection)
        : connection_(std::move(connection))
    {
    }

    ~reply_once()
    {
        auto response = http_response{};
        response.status = static_cast<int>(http::status::internal_server_error);
        send(std::move(response));
    }

    reply_once(reply_once const&) = delete;
    auto operator=(reply_once const&) -> reply_once& = delete;

    auto send(http_response response) -> void
    {
        if (used_.exchange(true))
        {
            return;
        }
        if (auto const connection = connection_.lock())
        {
            connection->dispatch(
                [content = std::move(response)](http_connection& it) mutable
                { it.respond(std::move(content)); });
        }
    }

private:
    // Weak, because a reply may be kept for longer than the reactor lives.
    std::weak_ptr<http_connection> connection_;
    std::atomic<bool> used_{false};
};

auto http_connection::make_reply() -> http_reply
{
    return [once = std::make_shared<reply_once>(weak_from_this())](
               http_response response)
    {
        once->send(std::move(response));
    };
}

auto http_server_state::add(tcp::socket socket) -> void
{
    auto connection = std::shared_ptr<http_connection>{};
    {
        auto const lock = std::scoped_lock{mutex};
        if (closed || connections.size() >= limits.connections)
        {
            return;
        }
        connection = std::make_shared<http_connection>(
            std::move(socket), shared_from_this());
        connections.insert(connection);
    }
    connection->dispatch([](http_connection& it) { it.start(); });
}

auto http_server_state::remove(
    std::shared_ptr<http_connection> const& connection) -> void
{
    auto const lock = std::scoped_lock{mutex};
    connections.erase(connection);
}

auto http_server_state::end_keep_alive() -> void
{
    last_request = true;
}

auto http_server_state::close_listener() -> void
{
    last_request = true;
    closing = true;
    port->drain();
    auto const lock = std::scoped_lock{mutex};
    for (auto const& it : connections)
    {
        asio::post(it->executor(), [it] { it->close_when_quiet(); });
    }
}

auto http_server_state::close() -> void
{
    last_request = true;
    closing = true;
    port->close();
    auto open = std::set<std::shared_ptr<http_connection>>{};
    {
        auto const lock = std::scoped_lock{mutex};
        closed = true;
        open.swap(connections);
    }
    for (auto const& it : open)
    {
        asio::post(it->executor(), [it] { it->close(); });
    }
}

} // namespace

struct http_server::implementation : http_server_state
{
    using http_server_state::http_server_state;
};

http_server::http_server(std::shared_ptr<implementation> implementation)
    : implementation_(std::move(implementation))
{
}

auto http_server::listen(
    reactor& loop, endpoint const& where, http_server_limits limits,
    http_handler handler) -> std::optional<http_server>
{
    auto state = std::make_shared<implementation>(limits, std::move(handler));
    if (!listen_for(state, *loop.internal().context, where))
    {
        return std::nullopt;
    }
    return http_server{std::move(state)};
}

http_server::~http_server() = default;

http_server::http_server(http_server&&) noexcept = default;

auto http_server::operator=(http_server&&) noexcept -> http_server& = default;

auto http_server::local() const -> endpoint
{
    return implementation_->port->local();
}

auto http_server::in_flight() const -> std::size_t
{
    return implementation_->in_flight;
}

auto http_server::open_connections() const -> std::size_t
{
    auto const lock = std::scoped_lock{implementation_->mutex};
    return implementation_->connections.size();
}

auto http_server::is_drained() const -> bool
{
    return !implementation_->port->is_open() && open_connections() == 0;
}

auto http_server::end_keep_alive() -> void
{
    implementation_->end_keep_alive();
}

auto http_server::close_listener() -> void
{
    implementation_->close_listener();
}

auto http_server::close() -> void
{
    implementation_->close();
}

} // namespace godwitcleat::transport
