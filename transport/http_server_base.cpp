/** @file http_server_base.cpp HTTP/1.1 server. */
#include "transport/http_server_internal.hpp"
#include "transport/reactor_internal.hpp"

namespace godwitcleat::transport
{

namespace asio = boost::asio;
using asio::ip::tcp;

auto http_server_state::add(tcp::socket socket) -> void
{
    auto ec = boost::system::error_code{};
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
        quietest = may_come && is_full ? take_quietest(connections) : nullptr;
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

auto http_server_state::close_quietest() -> void
{
    auto quietest = std::shared_ptr<http_connection>{};
    {
        auto const lock = std::scoped_lock{mutex};
        quietest = take_quietest(connections);
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
