/** @file http_client_connection.cpp One connection of an HTTP client. */
#include "transport/http_client_internal.hpp"
#include "transport/listener_internal.hpp"

#include <fmt/format.h>

namespace godwitcleat::transport
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using beast::error_code;

namespace
{

// Bytes of header that a response may have.
constexpr std::uint32_t response_header_bytes = 64 * 1024;

// Bytes that a connection may buffer beyond one header.
constexpr std::size_t read_ahead_bytes = std::size_t{64} * 1024;

// Interim responses (100 to 199) accepted before the final one.
constexpr int interim_responses = 8;

} // namespace

client_connection::client_connection(
    std::shared_ptr<http_client_state> client, endpoint address)
    : client_(std::move(client))
    , where_(std::move(address))
    , stream_(asio::make_strand(client_->context))
    , idle_timer_(stream_.get_executor())
    , buffer_(response_header_bytes + read_ahead_bytes)
{
    buffer_.reserve(idle_buffer_bytes);
}

auto client_connection::where() const -> endpoint const&
{
    return where_;
}

auto client_connection::run(exchange_pointer request) -> void
{
    asio::post(
        stream_.get_executor(),
        [self = shared_from_this(), it = std::move(request)]() mutable
        { self->begin(std::move(it)); });
}

auto client_connection::watch() -> void
{
    asio::post(
        stream_.get_executor(),
        [self = shared_from_this()]
        {
            if (!self->request_)
            {
                self->start_watch();
            }
        });
}

auto client_connection::abort() -> void
{
    asio::post(
        stream_.get_executor(),
        [self = shared_from_this()]
        {
            self->aborted_ = true;
            self->stop_watch();
            self->stream_.close();
        });
}

auto client_connection::start_watch() -> void
{
    auto const self = shared_from_this();
    auto const round = ++watch_round_;
    watch_socket(round);
    idle_timer_.expires_after(client_->limits.idle_timeout);
    idle_timer_.async_wait(
        [self, round](error_code ec)
        {
            if (ec != asio::error::operation_aborted &&
                round == self->watch_round_)
            {
                self->client_->drop_idle(self);
            }
        });
}

auto client_connection::watch_socket(std::uint64_t round) -> void
{
    stream_.socket().async_wait(
        tcp::socket::wait_read,
        [self = shared_from_this(), round](error_code ec)
        {
            if (ec == asio::error::operation_aborted ||
                round != self->watch_round_)
            {
                return;
            }
            // With several threads, the event of the last response may arrive
            // after the response was read.
            if (!ec && is_quiet(self->stream_.socket()))
            {
                return self->watch_socket(round);
            }
            self->client_->drop_idle(self);
        });
}

auto client_connection::stop_watch() -> void
{
    ++watch_round_;
    idle_timer_.cancel();
    auto ignored = error_code{};
    stream_.socket().cancel(ignored);
}

auto client_connection::begin(exchange_pointer request) -> void
{
    request_ = std::move(request);
    progress_ = send_progress::nothing_written;
    connection_refused_ = false;
    querying_ = false;
    interim_ = 0;
    begun_ = now();
    stop_watch();
    if (aborted_)
    {
        fail(core::error_kind::shutting_down, "the client was closed");
        return;
    }
    if (begun_ >= request_->deadline)
    {
        fail_timeout();
        return;
    }
    stream_.expires_at(request_->deadline);
    if (leads_to_expected_server() && stream_.socket().is_open() &&
        is_quiet(stream_.socket()))
    {
        write();
        return;
    }
    connect();
}

auto client_connection::connect() -> void
{
    stream_.close();
    buffer_.clear();
    server_.reset();
    auto const address = to_tcp(where_);
    if (!address)
    {
        auto const& reason = core::last_reason();
        fail(reason.kind, reason.message);
        return;
    }
    stream_.async_connect(
        *address,
        [self = shared_from_this()](error_code ec) { self->on_connect(ec); });
}

auto client_connection::on_connect(error_code ec) -> void
{
    if (ec)
    {
        connection_refused_ = ec == boost::asio::error::connection_refused;
        fail(ec, core::error_kind::unavailable, "cannot connect");
        return;
    }
    stream_.socket().set_option(tcp::no_delay{true}, ec);
    if (leads_to_expected_server())
    {
        return write();
    }
    send_query();
}

auto client_connection::send_query() -> void
{
    auto query = to_beast(request_->server.query(), where_);
    if (!query)
    {
        auto const& reason = core::last_reason();
        return fail(reason.kind, reason.message);
    }
    query_ = std::move(*query);
    querying_ = true;
    write();
}

auto client_connection::write() -> void
{
    http::async_write(
        stream_, querying_ ? query_ : request_->message,
        [self = shared_from_this()](error_code ec, std::size_t n)
        { self->on_write(ec, n); });
}

auto client_connection::on_write(error_code ec, std::size_t n) -> void
{
    auto const may_be_written = n > 0 && !querying_;
    if (may_be_written)
    {
        progress_ = send_progress::maybe_written;
    }
    if (ec)
    {
        fail(
            ec,
            may_be_written ? core::error_kind::unknown_outcome
                           : core::error_kind::unavailable,
            "the connection failed while the request was sent");
        return;
    }
    read_header();
}

auto client_connection::read_header() -> void
{
    parser_.emplace();
    parser_->header_limit(response_header_bytes);
    parser_->body_limit(client_->limits.body_bytes);
    parser_->skip(request_->to_head);
    http::async_read_header(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](error_code ec, std::size_t)
        { self->on_header(ec); });
}

auto client_connection::on_header(error_code ec) -> void
{
    constexpr unsigned lowest_final_status = 200;
    if (ec)
    {
        fail_read(ec);
        return;
    }
    if (parser_->get().result() == http::status::switching_protocols)
    {
        fail(core::error_kind::protocol, "unexpected change of protocol");
        return;
    }
    if (parser_->get().result_int() < lowest_final_status)
    {
        skip_interim();
        return;
    }
    if (parser_->need_eof())
    {
        // Without a length, a complete body and one that was cut short
        // look the same.
        fail(
            core::error_kind::protocol,
            "the response has no length; the server must send "
            "Content-Length or chunks");
        return;
    }
    reserve_for_body(buffer_, *parser_);
    http::async_read(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](error_code failed, std::size_t)
        { failed ? self->fail_read(failed) : self->succeed(); });
}

auto client_connection::skip_interim() -> void
{
    if (++interim_ > interim_responses)
    {
        fail(core::error_kind::protocol, "too many interim responses");
        return;
    }
    read_header();
}

auto client_connection::succeed() -> void
{
    auto message = parser_->release();
    // Bytes beyond the response answer no request.
    auto const reusable = message.keep_alive() && buffer_.size() == 0;
    auto response = from_beast(std::move(message));
    if (request_->server.identify && !server_)
    {
        if (auto const process = request_->server.identify(response))
        {
            server_ = identified_server{*process, begun_};
        }
    }
    if (querying_)
    {
        return identified(std::move(response), reusable);
    }
    auto result = http_result{};
    result.response = std::move(response);
    result.progress = send_progress::maybe_written;
    finish(std::move(result), reusable);
}

auto client_connection::identified(http_response response, bool reusable)
    -> void
{
    if (leads_to_expected_server() && reusable)
    {
        querying_ = false;
        interim_ = 0;
        parser_.reset();
        return write();
    }
    if (leads_to_expected_server())
    {
        return fail(
            core::error_kind::unavailable,
            "the server closes each connection after one response");
    }
    auto result = http_result{};
    result.reason = core::failure{
        core::error_kind::unavailable,
        fmt::format(
            "{}: another process answers at this address", to_string(where_))};
    result.response = std::move(response);
    result.other_server = true;
    finish(std::move(result), reusable);
}

auto client_connection::fail_read(error_code ec) -> void
{
    if (ec == http::error::body_limit)
    {
        fail(
            core::error_kind::protocol,
            fmt::format(
                "the response exceeds {} bytes", client_->limits.body_bytes));
        return;
    }
    fail(
        ec,
        querying_ ? core::error_kind::unavailable
                  : core::error_kind::unknown_outcome,
        "the connection failed before the whole response arrived");
}

auto client_connection::fail(
    error_code ec, core::error_kind kind, std::string_view what) -> void
{
    if (ec == beast::error::timeout)
    {
        fail_timeout();
        return;
    }
    if (aborted_)
    {
        fail(core::error_kind::shutting_down, "the client was closed");
        return;
    }
    fail(kind, fmt::format("{}: {}", what, ec.message()));
}

auto client_connection::is_silent() const -> bool
{
    auto const heard = interim_ > 0 || (parser_ && parser_->got_some());
    auto const written = querying_ || progress_ == send_progress::maybe_written;
    return written && !heard;
}

auto client_connection::fail_timeout() -> void
{
    // Whatever silenced this connection, such as a cut that is over, has likely
    // silenced the others; each would cost its next request the whole timeout.
    if (is_silent())
    {
        client_->drop_idle_before(where_, begun_);
    }
    fail(core::error_kind::timeout, "no response before the deadline");
}

auto client_connection::fail(core::error_kind kind, std::string_view message)
    -> void
{
    auto result = http_result{};
    result.reason =
        core::failure{kind, fmt::format("{}: {}", to_string(where_), message)};
    result.progress = progress_;
    result.connection_refused = connection_refused_;
    finish(std::move(result), false);
}

auto client_connection::finish(http_result result, bool reusable) -> void
{
    auto const request = std::exchange(request_, nullptr);
    parser_.reset();
    release_body_buffer(buffer_);
    if (!reusable)
    {
        stream_.close();
    }
    // The pool comes first, so that a request sent from on_done can use
    // this connection.
    client_->release(shared_from_this(), reusable, server_);
    client_->complete(request, std::move(result));
}

} // namespace godwitcleat::transport
