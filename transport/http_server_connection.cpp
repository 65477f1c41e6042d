/** @file http_server_connection.cpp One connection of the HTTP server. */
#include "transport/http_server_internal.hpp"

#include <algorithm>

namespace godwitcleat::transport
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using beast::error_code;

namespace
{

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

} // namespace

http_connection::http_connection(
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

http_connection::~http_connection()
{
    end_request();
}

auto http_connection::executor() -> asio::any_io_executor
{
    return stream_.get_executor();
}

auto http_connection::start() -> void
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

auto http_connection::remote_address() const -> std::string const&
{
    return remote_address_;
}

auto http_connection::quiet() -> quiet_time&
{
    return quiet_;
}

auto http_connection::close_for_another() -> void
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

auto http_connection::close_when_quiet() -> void
{
    if (idle_ && unused_)
    {
        close_after(first_request_time);
        return;
    }
    close_if_idle();
}

auto http_connection::close_if_idle() -> void
{
    // A request may have arrived that is not read yet; it is answered.
    if (idle_ && is_quiet(stream_.socket()))
    {
        close();
    }
}

auto http_connection::close() -> void
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

auto http_connection::respond(http_response response) -> void
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

auto http_connection::wait_for_request() -> void
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

auto http_connection::close_after(core::duration time) -> void
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

auto http_connection::on_readable(error_code ec) -> void
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

auto http_connection::read_header() -> void
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

auto http_connection::end_read() -> bool
{
    read_pending_ = false;
    if (reading_ && evicted_)
    {
        refuse_evicted();
    }
    return reading_;
}

auto http_connection::on_header(error_code ec) -> void
{
    if (!end_read())
    {
        return;
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
    static constexpr std::string_view proceed = "HTTP/1.1 100 Continue\r\n\r\n";
    proceeding_ = true;
    asio::async_write(
        stream_, asio::buffer(proceed.data(), proceed.size()),
        [self = shared_from_this()](error_code failed, std::size_t)
        {
            self->proceeding_ = false;
            if (self->closed_)
            {
                return;
            }
            failed ? self->close() : self->read_body();
        });
}

auto http_connection::read_body() -> void
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

auto http_connection::read_some() -> void
{
    if (closed_ || !reading_)
    {
        return;
    }
    auto const received = parser_->get().body().size();
    if (!memory_->resize(
            received + buffer_.capacity() + next_read_bytes(buffer_, *parser_)))
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

auto http_connection::on_some(error_code ec) -> void
{
    if (!end_read())
    {
        return;
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

auto http_connection::body_deadline(std::size_t received) const
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

auto http_connection::read_header_later() -> void
{
    wait_for_memory([](http_connection& it) { it.read_header(); });
}

auto http_connection::read_some_later() -> void
{
    wait_for_memory([](http_connection& it) { it.read_some(); });
}

auto http_connection::wait_for_memory(
    std::function<void(http_connection&)> task) -> void
{
    memory_wait_begun_ = memory_wait_begun_.value_or(now());
    if (now() - *memory_wait_begun_ >= max_memory_wait)
    {
        return evict();
    }
    stream_.expires_never();
    memory_timer_.expires_after(memory_retry);
    memory_timer_.async_wait(
        [self = shared_from_this(), task = std::move(task)](error_code ec)
        {
            if (!ec && !self->closed_ && self->reading_)
            {
                task(*self);
            }
        });
}

auto http_connection::evict() -> void
{
    if (closed_ || !reading_ || evicted_)
    {
        return;
    }
    server_->report("memory");
    if (proceeding_)
    {
        return close(); // A second write must not overtake that one.
    }
    evicted_ = true;
    refuse_evicted();
}

auto http_connection::refuse_evicted() -> void
{
    if (!read_pending_)
    {
        return refuse_with(http::status::service_unavailable);
    }
    // The read's handler refuses the request. A read of several steps, one of
    // which has just ended, is not stopped by this call but by the next one.
    auto ignored = error_code{};
    stream_.socket().cancel(ignored);
    memory_timer_.expires_after(memory_retry);
    memory_timer_.async_wait(
        [self = shared_from_this()](error_code ec)
        {
            if (!ec && !self->closed_ && self->reading_)
            {
                self->refuse_evicted();
            }
        });
}

auto http_connection::refuse(error_code ec) -> void
{
    auto const status = status_of(ec);
    if (!status)
    {
        close();
        return;
    }
    refuse_with(*status);
}

auto http_connection::refuse_with(http::status status) -> void
{
    reading_ = false;
    parser_.reset(); // May hold a body.
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

auto http_connection::handle() -> void
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

auto http_connection::write(beast_response message) -> void
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

auto http_connection::on_written(error_code ec) -> void
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
    stream_.socket().shutdown(tcp::socket::shutdown_send, ec);
    stream_.expires_after(linger_time);
    linger(0);
}

auto http_connection::linger(std::size_t dropped) -> void
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

auto http_connection::begin_request() -> void
{
    if (!counted_)
    {
        counted_ = true;
        ++server_->in_flight;
    }
}

auto http_connection::end_request() -> void
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

auto http_connection::make_reply() -> http_reply
{
    return [once = std::make_shared<reply_once>(weak_from_this())](
               http_response response)
    {
        once->send(std::move(response));
    };
}

} // namespace godwitcleat::transport
