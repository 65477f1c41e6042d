/** @file listener_base.cpp Accepts TCP connections for both servers. */
#include "core/core.hpp"
#include "transport/listener_internal.hpp"

#include <fmt/format.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <linux/filter.h>
#include <sys/socket.h>

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

// Longer than a round trip between data centres and to callers.
constexpr auto handshake_time = std::chrono::milliseconds{200};

// Drops packets that ask for a new connection, so that none is reset when the
// socket is closed. Handshakes that have begun are completed.
auto drop_new_handshakes(int descriptor) -> void
{
    constexpr std::uint32_t tcp_flags_offset = 13;
    constexpr std::uint32_t syn_and_ack = 0x12;
    constexpr std::uint32_t syn = 0x02;
    constexpr auto whole_packet = std::uint32_t{0xffffffff};
    auto code = std::array<sock_filter, 5>{
        {BPF_STMT(BPF_LD | BPF_B | BPF_ABS, tcp_flags_offset),
         BPF_STMT(BPF_ALU | BPF_AND | BPF_K, syn_and_ack),
         BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, syn, 0, 1),
         BPF_STMT(BPF_RET | BPF_K, 0),
         BPF_STMT(BPF_RET | BPF_K, whole_packet)}};
    auto const program = sock_fprog{code.size(), code.data()};
    // Without the filter a caller may see a reset in that short time.
    static_cast<void>(::setsockopt(
        descriptor, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program));
}

auto set_options(tcp::socket& socket) -> void
{
    auto ignored = error_code{};
    socket.set_option(tcp::no_delay{true}, ignored);
}

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
    , drain_end_(context)
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
        set_options(socket);
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

auto listener::accept_waiting() -> void
{
    auto ec = error_code{};
    acceptor_.non_blocking(true, ec);
    while (!ec)
    {
        auto socket = tcp::socket{asio::make_strand(context_)};
        acceptor_.accept(socket, ec);
        if (!ec)
        {
            set_options(socket);
            handler_(std::move(socket));
        }
    }
}

auto listener::drain() -> void
{
    auto const lock = std::scoped_lock{mutex_};
    if (!acceptor_.is_open())
    {
        return;
    }
    drop_new_handshakes(acceptor_.native_handle());
    drain_end_.expires_after(handshake_time);
    drain_end_.async_wait(
        [self = shared_from_this()](error_code ec)
        {
            auto const again = std::scoped_lock{self->mutex_};
            if (!ec && self->acceptor_.is_open())
            {
                self->accept_waiting();
                self->close_acceptor();
            }
        });
}

auto listener::close() -> void
{
    auto const lock = std::scoped_lock{mutex_};
    close_acceptor();
}

auto listener::close_acceptor() -> void
{
    auto ignored = error_code{};
    acceptor_.close(ignored);
    retry_.cancel();
    drain_end_.cancel();
}

auto listener::is_open() -> bool
{
    auto const lock = std::scoped_lock{mutex_};
    return acceptor_.is_open();
}

auto listener::local() const -> endpoint
{
    return local_;
}

} // namespace godwitcleat::transport
