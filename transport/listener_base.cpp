/** @file listener_base.cpp Accepts TCP connections for both servers. */
#include "core/core.hpp"
#include "transport/listener_internal.hpp"

#include <fmt/format.h>

#include <array>
#include <chrono>

namespace godwitcleat::transport
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace
{

// When the process is out of file descriptors, accept fails at once; a pause
// keeps the loop from using a whole core.
constexpr auto accept_pause = std::chrono::milliseconds{50};

} // namespace

auto to_tcp(endpoint const& where) -> std::optional<tcp::endpoint>
{
    auto ec = error_code{};
    auto const address = asio::ip::make_address(where.address, ec);
    if (ec)
    {
        return core::fail(
            core::error_kind::invalid_input,
            fmt::format(
                "\"{}\" is no IP address; use an address in digits",
                where.address));
    }
    return tcp::endpoint{address, where.port};
}

auto is_quiet(tcp::socket& socket) -> bool
{
    auto ec = error_code{};
    socket.non_blocking(true, ec);
    if (ec)
    {
        return false;
    }
    auto buf = std::array<char, 1>{};
    socket.receive(asio::buffer(buf), tcp::socket::message_peek, ec);
    return ec == asio::error::would_block;
}

listener::listener(asio::io_context& context)
    : context_(context)
    , acceptor_(context)
    , retry_(context)
{
}

auto listener::open(asio::io_context& context, endpoint const& where)
    -> std::shared_ptr<listener>
{
    auto const address = to_tcp(where);
    if (!address)
    {
        return nullptr;
    }
    auto result = std::make_shared<listener>(context);
    auto ec = error_code{};
    auto& acceptor = result->acceptor_;
    acceptor.open(address->protocol(), ec);
    if (!ec)
    {
        acceptor.set_option(tcp::acceptor::reuse_address{true}, ec);
    }
    if (!ec)
    {
        acceptor.bind(*address, ec);
    }
    if (!ec)
    {
        acceptor.listen(tcp::acceptor::max_listen_connections, ec);
    }
    if (ec)
    {
        core::fail(
            core::error_kind::unavailable,
            fmt::format(
                "cannot listen on {}: {}; choose a free port", to_string(where),
                ec.message()));
        return nullptr;
    }
    auto const bound = acceptor.local_endpoint(ec);
    result->local_ = endpoint{bound.address().to_string(), bound.port()};
    return result;
}

auto listener::start(socket_handler handler) -> void
{
    handler_ = std::move(handler);
    accept();
}

auto listener::accept() -> void
{
    auto const lock = std::scoped_lock{mutex_};
    if (!acceptor_.is_open())
    {
        return;
    }
    acceptor_.async_accept(
        asio::make_strand(context_),
        [self = shared_from_this()](error_code ec, tcp::socket socket)
        { self->on_accept(ec, std::move(socket)); });
}

auto listener::on_accept(error_code ec, tcp::socket socket) -> void
{
    if (ec == asio::error::operation_aborted)
    {
        return;
    }
    if (ec && ec != asio::error::connection_aborted)
    {
        retry_later();
        return;
    }
    if (!ec)
    {
        auto ignored = error_code{};
        socket.set_option(tcp::no_delay{true}, ignored);
        handler_(std::move(socket));
    }
    accept();
}

auto listener::retry_later() -> void
{
    auto const lock = std::scoped_lock{mutex_};
    retry_.expires_after(accept_pause);
    retry_.async_wait([self = shared_from_this()](error_code ec)
                      { ec ? void() : self->accept(); });
}

auto listener::close() -> void
{
    auto const lock = std::scoped_lock{mutex_};
    auto ignored = error_code{};
    acceptor_.close(ignored);
    retry_.cancel();
}

auto listener::local() const -> endpoint
{
    return local_;
}

} // namespace godwitcleat::transport
