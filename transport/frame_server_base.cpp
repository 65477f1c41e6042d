/** @file frame_server_base.cpp Server of request and reply frames. */
#include "transport/frame_base.hpp"
#include "transport/frame_internal.hpp"
#include "transport/listener_internal.hpp"
#include "transport/reactor_internal.hpp"

#include <atomic>
#include <mutex>
#include <set>

namespace godwitcleat::transport
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

class server_connection;

/** Listener, limits and open connections. */
struct frame_server_state : std::enable_shared_from_this<frame_server_state>
{
    frame_server_state(frame_limits bounds, frame_handler call)
        : limits(bounds)
        , handler(std::move(call))
    {
    }

    auto add(tcp::socket socket) -> void;
    auto remove(std::shared_ptr<server_connection> const& connection) -> void;
    auto close() -> void;

    frame_limits limits;
    frame_handler handler;
    std::shared_ptr<listener> port;
    std::atomic<bool> closed{false};
    std::mutex mutex; ///< Guards the connections.
    std::set<std::shared_ptr<server_connection>> connections;
};

/** One connection; all members are used on its strand only. */
class server_connection : public frame_connection
{
public:
    server_connection(
        tcp::socket socket, std::shared_ptr<frame_server_state> server)
        : frame_connection(std::move(socket), server->limits)
        , server_(std::move(server))
    {
    }

    auto reply(std::uint64_t number, std::string_view payload) -> void
    {
        --in_flight_;
        if (payload.size() > limits().frame_bytes)
        {
            close("the reply exceeds the limit");
            return;
        }
        send(number, payload);
        resume();
    }

    /** A handler that drops its reply leaves the request without one. */
    auto abandon() -> void
    {
        --in_flight_;
        resume();
    }

private:
    auto on_frame(std::uint64_t number, std::string payload) -> bool override;

    auto on_handed_over(std::uint64_t /*number*/) -> void override {}

    auto on_closed(std::string_view /*reason*/) -> void override
    {
        server_->remove(
            std::static_pointer_cast<server_connection>(shared_from_this()));
    }

    [[nodiscard]] auto may_read() const -> bool override
    {
        return in_flight_ < limits().in_flight_per_connection;
    }

    [[nodiscard]] auto is_busy() const -> bool override
    {
        return in_flight_ > 0;
    }

    std::shared_ptr<frame_server_state> server_;
    std::size_t in_flight_ = 0;
};

/** Answers one request at most once. */
class frame_reply_once
{
public:
    frame_reply_once(
        std::shared_ptr<server_connection> const& connection,
        std::uint64_t number)
        : connection_(connection)
        , number_(number)
    {
    }

    ~frame_reply_once()
    {
        auto const connection = connection_.lock();
        if (!used_.exchange(true) && connection)
        {
            connection->post([it = connection.get()] { it->abandon(); });
        }
    }

    frame_reply_once(frame_reply_once const&) = delete;
    auto operator=(frame_reply_once const&) -> frame_reply_once& = delete;

    auto send(std::string payload) -> void
    {
        auto const connection = connection_.lock();
        if (used_.exchange(true) || !connection)
        {
            return;
        }
        connection->post([it = connection.get(), number = number_,
                          content = std::move(payload)]
                         { it->reply(number, content); });
    }

private:
    // Weak, because a reply may be kept for longer than the reactor lives.
    std::weak_ptr<server_connection> connection_;
    std::uint64_t number_;
    std::atomic<bool> used_{false};
};

auto server_connection::on_frame(std::uint64_t number, std::string payload)
    -> bool
{
    if (server_->closed)
    {
        return false;
    }
    if (number == probe_number)
    {
        send(probe_number, {});
        return true;
    }
    ++in_flight_;
    auto const self =
        std::static_pointer_cast<server_connection>(shared_from_this());
    server_->handler(
        std::move(payload),
        [once = std::make_shared<frame_reply_once>(self, number)](
            std::string content) { once->send(std::move(content)); });
    return true;
}

auto frame_server_state::add(tcp::socket socket) -> void
{
    auto connection = std::shared_ptr<server_connection>{};
    {
        auto const lock = std::scoped_lock{mutex};
        if (closed || connections.size() >= limits.connections)
        {
            return;
        }
        connection = std::make_shared<server_connection>(
            std::move(socket), shared_from_this());
        connections.insert(connection);
    }
    connection->post([it = connection.get()] { it->start(); });
}

auto frame_server_state::remove(
    std::shared_ptr<server_connection> const& connection) -> void
{
    auto const lock = std::scoped_lock{mutex};
    connections.erase(connection);
}

auto frame_server_state::close() -> void
{
    port->close();
    auto open = std::set<std::shared_ptr<server_connection>>{};
    {
        auto const lock = std::scoped_lock{mutex};
        closed = true;
        open.swap(connections);
    }
    for (auto const& it : open)
    {
        it->post([connection = it.get()]
                 { connection->close("the server was closed"); });
    }
}

} // namespace

struct frame_server::implementation : frame_server_state
{
    using frame_server_state::frame_server_state;
};

frame_server::frame_server(std::shared_ptr<implementation> implementation)
    : implementation_(std::move(implementation))
{
}

auto frame_server::listen(
    reactor& loop, endpoint const& where, frame_limits limits,
    frame_handler handler) -> std::optional<frame_server>
{
    auto state = std::make_shared<implementation>(limits, std::move(handler));
    if (!listen_for(state, *loop.internal().context, where))
    {
        return std::nullopt;
    }
    return frame_server{std::move(state)};
}

frame_server::~frame_server() = default;

frame_server::frame_server(frame_server&&) noexcept = default;

auto frame_server::operator=(frame_server&&) noexcept
    -> frame_server& = default;

auto frame_server::local() const -> endpoint
{
    return implementation_->port->local();
}

auto frame_server::close() -> void
{
    implementation_->close();
}

} // namespace godwitcleat::transport
