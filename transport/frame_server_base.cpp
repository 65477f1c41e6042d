/** @file frame_server_base.cpp Server of request and reply frames. */
#include "transport/frame_base.hpp"
#include "transport/frame_internal.hpp"
#include "transport/listener_internal.hpp"
#include "transport/reactor_internal.hpp"

#include <atomic>
#include <chrono>
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
        : limits(std::move(bounds))
        , handler(std::move(call))
    {
    }

    auto add(tcp::socket socket) -> void;
    auto remove(std::shared_ptr<server_connection> const& connection) -> void;
    auto close() -> void;
    auto report(std::string_view limit) const -> void
    {
        if (limits.on_limit)
        {
            limits.on_limit(limit);
        }
    }

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
        quiet_.set_quiet({});
    }

    /** Counts the bytes from now on. */
    auto open_account() -> void
    {
        auto const evict = [weak = weak_from_this()]
        {
            if (auto const self = weak.lock())
            {
                self->post([it = static_cast<server_connection*>(self.get())]
                           { it->close_for("memory"); });
            }
        };
        memory_.emplace(limits().budget, true, evict);
    }

    /** Closes the connection because a limit is reached. */
    auto close_for(std::string_view limit) -> void
    {
        if (!closed())
        {
            server_->report(limit);
            close("a limit of the server is reached");
        }
    }

    /** Returns the state that other threads may look at: quiet while no
     *  request is open. */
    [[nodiscard]] auto quiet() -> quiet_time&
    {
        return quiet_;
    }

    /** Replies to a request of @p bytes. */
    auto
    reply(std::uint64_t number, std::size_t bytes, std::string_view payload)
        -> void
    {
        note_end(bytes);
        if (payload.size() > limits().frame_bytes)
        {
            close("the reply exceeds the limit");
            return;
        }
        send(number, payload);
        resume();
    }

    /** A handler that drops its reply leaves the request without one. */
    auto abandon(std::size_t bytes) -> void
    {
        note_end(bytes);
        resume();
    }

private:
    auto on_frame(std::uint64_t number, std::string payload) -> bool override;

    auto note_end(std::size_t bytes) -> void
    {
        --in_flight_;
        in_flight_bytes_ -= bytes;
        if (in_flight_ == 0)
        {
            quiet_.set_quiet({});
            if (memory_)
            {
                memory_->begin();
            }
        }
    }

    /** Received bytes, and those of requests that have no reply yet. */
    [[nodiscard]] auto hold_input(std::size_t bytes) -> bool override
    {
        if (!memory_)
        {
            return true;
        }
        if (bytes == 0 && in_flight_ == 0)
        {
            memory_->end();
            return true;
        }
        if (in_flight_ == 0 && memory_->bytes() == 0)
        {
            memory_->begin();
        }
        if (memory_->resize(bytes + in_flight_bytes_))
        {
            return true;
        }
        server_->report("memory");
        return false;
    }

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
    std::optional<budget_share> memory_; ///< Set by open_account().
    std::size_t in_flight_ = 0;
    /** Of the requests that have no reply yet. */
    std::size_t in_flight_bytes_ = 0;
    quiet_time quiet_;
};

/** Answers one request at most once. */
class frame_reply_once
{
public:
    frame_reply_once(
        std::shared_ptr<server_connection> const& connection,
        std::uint64_t number, std::size_t bytes)
        : connection_(connection)
        , number_(number)
        , bytes_(bytes)
    {
    }

    ~frame_reply_once()
    {
        auto const connection = connection_.lock();
        if (!used_.exchange(true) && connection)
        {
            connection->post([it = connection.get(), bytes = bytes_]
                             { it->abandon(bytes); });
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
                          bytes = bytes_, content = std::move(payload)]
                         { it->reply(number, bytes, content); });
    }

private:
    // Weak, because a reply may be kept for longer than the reactor lives.
    std::weak_ptr<server_connection> connection_;
    std::uint64_t number_;
    std::size_t bytes_; ///< Of the request.
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
    auto const bytes = payload.size();
    in_flight_bytes_ += bytes;
    if (memory_)
    {
        memory_->protect();
    }
    quiet_.set_busy();
    auto const self =
        std::static_pointer_cast<server_connection>(shared_from_this());
    server_->handler(
        std::move(payload),
        [once = std::make_shared<frame_reply_once>(self, number, bytes)](
            std::string content) { once->send(std::move(content)); });
    return true;
}

auto frame_server_state::add(tcp::socket socket) -> void
{
    auto connection = std::shared_ptr<server_connection>{};
    auto quietest = std::shared_ptr<server_connection>{};
    {
        auto const lock = std::scoped_lock{mutex};
        if (closed)
        {
            return;
        }
        auto const is_full = connections.size() >= limits.connections;
        quietest = is_full ? take_quietest(connections) : nullptr;
        if (!is_full || quietest)
        {
            connection = std::make_shared<server_connection>(
                std::move(socket), shared_from_this());
            connections.insert(connection);
        }
    }
    if (quietest)
    {
        quietest->post([it = quietest.get()]
                       { it->close_for("peer_connections"); });
    }
    if (!connection)
    {
        return report("peer_connections");
    }
    connection->post(
        [it = connection.get()]
        {
            it->open_account();
            it->start();
        });
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
    auto state =
        std::make_shared<implementation>(std::move(limits), std::move(handler));
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
