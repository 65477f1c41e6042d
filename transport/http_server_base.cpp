/** @file http_server_base.cpp HTTP/1.1 server. */
#include "transport/http_base.hpp"
#include "transport/http_internal.hpp"
#include "transport/listener_internal.hpp"
#include "transport/reactor_internal.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <limits>
#include <map>
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

// A request that finds no memory waits for that of an ended one.
constexpr auto memory_retry = std::chrono::milliseconds{20};
constexpr auto max_memory_wait = std::chrono::seconds{1};
constexpr std::string_view retry_after_s = "1";

// A request whose rest has not arrived for this long gives way to a new
// connection.
constexpr auto max_quiet_request = std::chrono::seconds{1};
// So does one whose caller has not read its response for this long. Callers
// wait for 3 s.
constexpr auto max_quiet_response = std::chrono::seconds{5};
// So does one that has served requests and had none for this long; callers
// often send several, one after the other.
constexpr auto min_idle_time = std::chrono::seconds{2};

auto now() -> core::time_point
{
    return core::time_point{std::chrono::steady_clock::now()};
}

/** When a connection was last active, for a look from other threads. */
class quiet_time
{
public:
    /** It may be closed for another one after @p time. */
    auto set_quiet(core::duration time) -> void
    {
        since_ = (now() + time).time_since_epoch().count();
    }

    /** Its request is in progress. */
    auto set_busy() -> void
    {
        since_ = never;
    }

    /** Returns the time since when it may be closed for another one, or
     *  std::nullopt. */
    [[nodiscard]] auto since() const -> std::optional<core::time_point>
    {
        auto const result = core::time_point{core::duration{since_.load()}};
        return result <= now() ? std::optional{result} : std::nullopt;
    }

private:
    static constexpr auto never =
        std::numeric_limits<core::duration::rep>::max();

    std::atomic<core::duration::rep> since_ = never;
};

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
        : limits(std::move(bounds))
        , handler(std::move(call))
    {
    }

    auto add(tcp::socket socket) -> void;
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
    auto take_quietest() -> std::shared_ptr<http_connection>;
    /** @pre `mutex` is held */
    auto may_add(std::string const& address) const -> bool;
};

/** One connection; all members are used on its strand only. */
class http_connection : public std::enable_shared_from_this<http_connection>
{
public:
    http_connection(
        tcp::socket socket, std::string remote_address,
        std::shared_ptr<http_server_state> server)
        : stream_(std::move(socket))
        , idle_timer_(stream_.get_executor())
        , memory_timer_(stream_.get_executor())
        , buffer_(server->limits.header_bytes + read_ahead_bytes)
        , server_(std::move(server))
        , remote_address_(std::move(remote_address))
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
        if (closed_)
        {
            return;
        }
        auto const evict = [weak = weak_from_this()]
        {
            if (auto const self = weak.lock())
            {
                self->dispatch([](http_connection& it) { it.evict(); });
            }
        };
        memory_.emplace(server_->limits.budget, false, evict);
        wait_for_request();
    }

    [[nodiscard]] auto remote_address() const -> std::string const&
    {
        return remote_address_;
    }

    /** Returns the state that other threads may look at. */
    [[nodiscard]] auto quiet() -> quiet_time&
    {
        return quiet_;
    }

    /** Closes the connection for a new one, unless a request has arrived. */
    auto close_for_another() -> void
    {
        if (closed_)
        {
            return;
        }
        if (reading_ || writing_ || (idle_ && is_quiet(stream_.socket())))
        {
            server_->report("connections");
            return close();
        }
        server_->close_quietest();
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
        reading_ = false;
        closed_ = true;
        stream_.close();
        idle_timer_.cancel();
        memory_timer_.cancel();
        end_request();
        server_->remove(shared_from_this());
    }

    auto respond(http_response response) -> void
    {
        if (closed_)
        {
            return;
        }
        if (memory_)
        {
            memory_->force(response.body.size());
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
        quiet_.set_quiet(unused_ ? core::duration{} : min_idle_time);
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
        reading_ = true;
        quiet_.set_quiet(max_quiet_request);
        begun_at_ = now();
        memory_->begin();
        if (!memory_->resize(server_->limits.header_bytes))
        {
            return read_header_later();
        }
        parser_.emplace();
        parser_->header_limit(
            static_cast<std::uint32_t>(server_->limits.header_bytes));
        parser_->body_limit(server_->limits.body_bytes);
        stream_.expires_at(begun_at_ + server_->limits.read_timeout);
        memory_wait_begun_.reset();
        read_pending_ = true;
        http::async_read_header(
            stream_, buffer_, *parser_,
            [self = shared_from_this()](error_code ec, std::size_t)
            { self->on_header(ec); });
    }

    auto on_header(error_code ec) -> void
    {
        read_pending_ = false;
        if (!reading_)
        {
            return; // It was ended meanwhile.
        }
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
        proceeding_ = true;
        asio::async_write(
            stream_, asio::buffer(proceed.data(), proceed.size()),
            [self = shared_from_this()](error_code failed, std::size_t)
            {
                self->proceeding_ = false;
                failed ? self->close() : self->read_body();
            });
    }

    auto read_body() -> void
    {
        parser_->eager(true);
        if (parser_->is_done())
        {
            handle();
            return;
        }
        reserve_for_body(buffer_, *parser_);
        read_some();
    }

    /** Reads the next bytes of the body if there is memory for them. */
    auto read_some() -> void
    {
        if (closed_ || !reading_)
        {
            return;
        }
        auto const received = parser_->get().body().size();
        if (!memory_->resize(
                received + buffer_.capacity() +
                next_read_bytes(buffer_, *parser_)))
        {
            return read_some_later();
        }
        memory_wait_begun_.reset();
        stream_.expires_at(body_deadline(received));
        read_pending_ = true;
        http::async_read_some(
            stream_, buffer_, *parser_,
            [self = shared_from_this()](error_code ec, std::size_t)
            { self->on_some(ec); });
    }

    auto on_some(error_code ec) -> void
    {
        read_pending_ = false;
        if (!reading_)
        {
            return; // It was ended meanwhile.
        }
        if (ec == beast::error::timeout)
        {
            server_->report("body_rate");
        }
        if (ec)
        {
            refuse(ec);
        }
        else if (parser_->is_done())
        {
            handle();
        }
        else
        {
            read_some();
        }
    }

    [[nodiscard]] auto body_deadline(std::size_t received) const
        -> std::chrono::steady_clock::time_point
    {
        auto const& limits = server_->limits;
        auto const rate = static_cast<double>(
            std::max<std::size_t>(limits.min_body_bytes_per_s, 1));
        auto const at_rate =
            limits.body_grace + std::chrono::duration_cast<core::duration>(
                                    std::chrono::duration<double>{
                                        static_cast<double>(received) / rate});
        return begun_at_ + std::min(limits.read_timeout, at_rate);
    }

    auto read_header_later() -> void
    {
        wait_for_memory([](http_connection& it) { it.read_header(); });
    }

    auto read_some_later() -> void
    {
        wait_for_memory([](http_connection& it) { it.read_some(); });
    }

    /** Tries again soon, as another request may have been ended; refuses the
     *  request after max_memory_wait. */
    template <class Task>
    auto wait_for_memory(Task task) -> void
    {
        memory_wait_begun_ = memory_wait_begun_.value_or(now());
        if (now() - *memory_wait_begun_ >= max_memory_wait)
        {
            return evict();
        }
        stream_.expires_never();
        memory_timer_.expires_after(memory_retry);
        memory_timer_.async_wait(
            [self = shared_from_this(), task](error_code ec)
            {
                if (!ec && !self->closed_ && self->reading_)
                {
                    task(*self);
                }
            });
    }

    /** Refuses a request that is not read yet, so that its bytes are freed. */
    auto evict() -> void
    {
        if (closed_ || !reading_)
        {
            return;
        }
        server_->report("memory");
        if (proceeding_)
        {
            return close(); // A second write must not overtake that one.
        }
        // What is under way must not go on with the freed parser.
        auto ignored = error_code{};
        stream_.socket().cancel(ignored);
        refuse_with(http::status::service_unavailable);
    }

    auto refuse(error_code ec) -> void
    {
        auto const status = status_of(ec);
        if (!status)
        {
            close();
            return;
        }
        refuse_with(*status);
    }

    auto refuse_with(http::status status) -> void
    {
        reading_ = false;
        quiet_.set_busy();
        memory_timer_.cancel();
        keep_alive_ = false;
        to_head_ = false;
        auto response = http_response{};
        response.status = static_cast<int>(status);
        if (status == http::status::service_unavailable)
        {
            response.headers.set("Retry-After", retry_after_s);
        }
        write(to_beast(std::move(response), false));
    }

    auto handle() -> void
    {
        if (server_->closed)
        {
            close();
            return;
        }
        reading_ = false;
        quiet_.set_busy();
        memory_->protect();
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
        writing_ = true;
        quiet_.set_quiet(max_quiet_response);
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
            writing_ = false;
            wait_for_request();
            return;
        }
        if (!read_pending_)
        {
            parser_.reset(); // May hold the body of a refused request.
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
        if (memory_)
        {
            memory_->end();
        }
        if (counted_)
        {
            counted_ = false;
            --server_->in_flight;
        }
    }

    beast::tcp_stream stream_;
    asio::steady_timer idle_timer_;
    asio::steady_timer memory_timer_;
    beast::flat_buffer buffer_;
    std::shared_ptr<http_server_state> server_;
    std::string remote_address_;
    std::optional<http::request_parser<http::string_body>> parser_;
    beast_response response_;
    std::array<char, 4096> scrap_{};
    std::optional<budget_share> memory_; ///< Set by start().
    std::optional<core::time_point> memory_wait_begun_;
    std::chrono::steady_clock::time_point begun_at_; ///< Of the request.
    quiet_time quiet_;
    bool reading_ = false;      ///< A request has begun and is not whole.
    bool read_pending_ = false; ///< An operation uses the parser.
    bool proceeding_ = false;   ///< Writes that the body may come.
    bool writing_ = false;      ///< A response, or waits after the last one.
    bool unused_ = true;        ///< No request has begun.
    bool idle_ = false;         ///< Waits for the first byte of a request.
    bool counted_ = false;      ///< Is part of the server's in_flight.
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
    auto ec = error_code{};
    auto const remote = socket.remote_endpoint(ec);
    if (ec)
    {
        return;
    }
    auto address = remote.address().to_string();
    auto connection = std::shared_ptr<http_connection>{};
    auto quietest = std::shared_ptr<http_connection>{};
    {
        auto const lock = std::scoped_lock{mutex};
        if (closed)
        {
            return;
        }
        auto const may_come = may_add(address);
        auto const is_full = connections.size() >= limits.connections;
        quietest = may_come && is_full ? take_quietest() : nullptr;
        if (may_come && (!is_full || quietest))
        {
            ++connections_by_address[address];
            connection = std::make_shared<http_connection>(
                std::move(socket), std::move(address), shared_from_this());
            connections.insert(connection);
        }
    }
    if (quietest)
    {
        quietest->dispatch([](http_connection& it) { it.close_for_another(); });
    }
    if (!connection)
    {
        return report("connections");
    }
    connection->dispatch([](http_connection& it) { it.start(); });
}

auto http_server_state::may_add(std::string const& address) const -> bool
{
    auto const it = connections_by_address.find(address);
    return limits.connections_per_address == 0 ||
           it == connections_by_address.end() ||
           it->second < limits.connections_per_address;
}

auto http_server_state::take_quietest() -> std::shared_ptr<http_connection>
{
    auto result = std::shared_ptr<http_connection>{};
    auto longest = core::time_point::max();
    for (auto const& it : connections)
    {
        auto const since = it->quiet().since();
        if (since && *since < longest)
        {
            longest = *since;
            result = it;
        }
    }
    if (result)
    {
        result->quiet().set_busy(); // It is not taken again.
    }
    return result;
}

auto http_server_state::close_quietest() -> void
{
    auto quietest = std::shared_ptr<http_connection>{};
    {
        auto const lock = std::scoped_lock{mutex};
        quietest = take_quietest();
    }
    if (quietest)
    {
        quietest->dispatch([](http_connection& it) { it.close_for_another(); });
    }
}

auto http_server_state::remove(
    std::shared_ptr<http_connection> const& connection) -> void
{
    auto const lock = std::scoped_lock{mutex};
    if (connections.erase(connection) == 0)
    {
        return;
    }
    auto const it = connections_by_address.find(connection->remote_address());
    if (it != connections_by_address.end() && --it->second == 0)
    {
        connections_by_address.erase(it);
    }
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
    auto state =
        std::make_shared<implementation>(std::move(limits), std::move(handler));
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
