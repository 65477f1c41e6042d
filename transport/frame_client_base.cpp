/** @file frame_client_base.cpp Client of request and reply frames. */
#include "transport/frame_base.hpp"
#include "transport/frame_internal.hpp"
#include "transport/listener_internal.hpp"
#include "transport/reactor_internal.hpp"

#include <fmt/format.h>

#include <map>
#include <mutex>
#include <unordered_map>

namespace godwitcleat::transport
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace
{

class peer_connection;

using reply_handler = std::function<void(std::optional<std::string>)>;

/** All connections of one client. */
struct frame_client_state : std::enable_shared_from_this<frame_client_state>
{
    frame_client_state(asio::io_context& loop, frame_limits bounds)
        : context(loop)
        , limits(std::move(bounds))
    {
    }

    auto call(
        endpoint const& where, std::string payload, core::time_point deadline,
        reply_handler on_done) -> void;
    auto find(endpoint const& where) -> std::shared_ptr<peer_connection>;
    auto remove(std::shared_ptr<peer_connection> const& connection) -> void;
    auto close() -> void;

    /** Calls @p on_done with a failure on a thread of the reactor. */
    auto refuse(reply_handler on_done, core::failure reason) -> void
    {
        asio::post(
            context,
            [handler = std::move(on_done), why = std::move(reason)]
            {
                core::fail(why);
                handler(std::nullopt);
            });
    }

    asio::io_context& context;
    frame_limits limits;
    std::mutex mutex; ///< Guards the following members.
    bool closed = false;
    std::map<endpoint, std::shared_ptr<peer_connection>> connections;
};

/** A request without a reply so far. */
struct open_call
{
    reply_handler on_done;
    std::unique_ptr<asio::steady_timer> timer;
    bool handed_over = false; ///< The peer may have received it.
};

/** One connection; all members are used on its strand only. */
class peer_connection : public frame_connection
{
public:
    peer_connection(
        std::shared_ptr<frame_client_state> client, endpoint address)
        : frame_connection(
              tcp::socket{asio::make_strand(client->context)}, client->limits)
        , client_(std::move(client))
        , where_(std::move(address))
        , connect_timer_(socket().get_executor())
        , probe_timer_(socket().get_executor())
    {
    }

    [[nodiscard]] auto where() const -> endpoint const&
    {
        return where_;
    }

    auto connect() -> void
    {
        auto const address = to_tcp(where_);
        if (!address)
        {
            close(core::last_reason().message);
            return;
        }
        connect_timer_.expires_after(limits().connect_timeout);
        connect_timer_.async_wait(
            [self = self()](error_code ec)
            {
                if (!ec)
                {
                    self->close("the peer did not accept in time");
                }
            });
        socket().async_connect(
            *address,
            [self = self()](error_code ec)
            {
                if (self->closed())
                {
                    return;
                }
                ec ? self->close(ec.message()) : self->on_connected();
            });
    }

    auto call(
        std::string_view payload, core::time_point deadline,
        reply_handler on_done) -> void
    {
        if (closed() || calls_.size() >= limits().in_flight_per_connection)
        {
            refuse(
                std::move(on_done), core::error_kind::unavailable,
                closed() ? "the connection was closed; retry"
                         : "too many requests are in flight; retry later");
            return;
        }
        auto const number = next_number_++;
        auto& entry = calls_[number];
        entry.on_done = std::move(on_done);
        entry.timer =
            std::make_unique<asio::steady_timer>(socket().get_executor());
        entry.timer->expires_at(deadline);
        entry.timer->async_wait(
            [self = self(), number](error_code ec)
            {
                if (!ec)
                {
                    self->expire(number);
                }
            });
        send(number, payload);
        watch_replies();
    }

private:
    auto self() -> std::shared_ptr<peer_connection>
    {
        return std::static_pointer_cast<peer_connection>(shared_from_this());
    }

    auto on_connected() -> void
    {
        // A timer that has just expired must not close the open connection.
        if (connect_timer_.cancel() == 0)
        {
            close("the peer did not accept in time");
            return;
        }
        start();
        connected_ = true;
        watch_replies();
    }

    // A connection may go silent without an error, so that only the lack of
    // replies shows it.
    auto watch_replies() -> void
    {
        if (connected_ && !closed() && !probe_armed_ && expects_reply())
        {
            heard_ = false;
            arm_probe(limits().probe_after);
        }
    }

    [[nodiscard]] auto expects_reply() const -> bool
    {
        return !calls_.empty() || expired_unheard_;
    }

    auto arm_probe(core::duration delay) -> void
    {
        probe_armed_ = true;
        probe_timer_.expires_after(delay);
        probe_timer_.async_wait(
            [self = self()](error_code ec)
            {
                if (!ec && !self->closed())
                {
                    self->check_replies();
                }
            });
    }

    auto check_replies() -> void
    {
        probe_armed_ = false;
        if (heard_)
        {
            probed_ = false;
            watch_replies();
        }
        else if (probed_)
        {
            close("the peer has gone silent");
        }
        else if (expects_reply())
        {
            probed_ = true;
            send(probe_number, {});
            arm_probe(limits().probe_timeout);
        }
    }

    auto refuse(
        reply_handler on_done, core::error_kind kind, std::string_view message)
        -> void
    {
        client_->refuse(
            std::move(on_done),
            core::failure{
                kind, fmt::format("{}: {}", to_string(where_), message)});
    }

    auto expire(std::uint64_t number) -> void
    {
        auto entry = calls_.extract(number);
        if (entry.empty())
        {
            return;
        }
        auto const unsent = withdraw(number);
        expired_unheard_ = true;
        refuse(
            std::move(entry.mapped().on_done),
            unsent ? core::error_kind::unavailable : core::error_kind::timeout,
            unsent ? "not sent before the deadline; retry"
                   : "no reply before the deadline");
    }

    auto on_frame(std::uint64_t number, std::string payload) -> bool override
    {
        heard_ = true;
        expired_unheard_ = false;
        auto entry = calls_.extract(number);
        if (entry.empty())
        {
            // The reply to a probe, or to a call that has expired.
            return number < next_number_;
        }
        asio::post(
            client_->context, [handler = std::move(entry.mapped().on_done),
                               content = std::move(payload)]() mutable
            { handler(std::move(content)); });
        return true;
    }

    auto on_handed_over(std::uint64_t number) -> void override
    {
        auto const it = calls_.find(number);
        if (it != calls_.end())
        {
            it->second.handed_over = true;
        }
    }

    auto on_closed(std::string_view reason) -> void override
    {
        connect_timer_.cancel();
        probe_timer_.cancel();
        client_->remove(self());
        auto calls = std::exchange(calls_, {});
        for (auto& [number, entry] : calls)
        {
            refuse(
                std::move(entry.on_done),
                entry.handed_over ? core::error_kind::unknown_outcome
                                  : core::error_kind::unavailable,
                fmt::format("the connection failed: {}", reason));
        }
    }

    [[nodiscard]] auto may_read() const -> bool override
    {
        return true;
    }

    [[nodiscard]] auto is_busy() const -> bool override
    {
        return !calls_.empty();
    }

    std::shared_ptr<frame_client_state> client_;
    endpoint where_;
    asio::steady_timer connect_timer_;
    asio::steady_timer probe_timer_;
    bool connected_ = false;
    bool probe_armed_ = false;
    bool probed_ = false;          ///< A probe has had no reply so far.
    bool heard_ = false;           ///< A frame came since the timer was set.
    bool expired_unheard_ = false; ///< No frame came since a call expired.
    std::uint64_t next_number_ = 1;
    std::unordered_map<std::uint64_t, open_call> calls_;
};

auto frame_client_state::call(
    endpoint const& where, std::string payload, core::time_point deadline,
    reply_handler on_done) -> void
{
    if (payload.size() > limits.frame_bytes)
    {
        refuse(
            std::move(on_done),
            {core::error_kind::invalid_input,
             fmt::format(
                 "the request of {} bytes exceeds the limit of {}; split it",
                 payload.size(), limits.frame_bytes)});
        return;
    }
    auto const connection = find(where);
    if (!connection)
    {
        refuse(std::move(on_done), core::last_reason());
        return;
    }
    connection->post([it = connection.get(), content = std::move(payload),
                      deadline, handler = std::move(on_done)]() mutable
                     { it->call(content, deadline, std::move(handler)); });
}

auto frame_client_state::find(endpoint const& where)
    -> std::shared_ptr<peer_connection>
{
    auto const lock = std::scoped_lock{mutex};
    if (closed)
    {
        core::fail(core::error_kind::unavailable, "the client was closed");
        return nullptr;
    }
    if (auto const it = connections.find(where); it != connections.end())
    {
        return it->second;
    }
    if (connections.size() >= limits.connections)
    {
        core::fail(
            core::error_kind::unavailable,
            "too many connections are open; retry later");
        return nullptr;
    }
    auto connection =
        std::make_shared<peer_connection>(shared_from_this(), where);
    connections.emplace(where, connection);
    connection->post([it = connection.get()] { it->connect(); });
    return connection;
}

auto frame_client_state::remove(
    std::shared_ptr<peer_connection> const& connection) -> void
{
    auto const lock = std::scoped_lock{mutex};
    auto const it = connections.find(connection->where());
    if (it != connections.end() && it->second == connection)
    {
        connections.erase(it);
    }
}

auto frame_client_state::close() -> void
{
    auto open = std::map<endpoint, std::shared_ptr<peer_connection>>{};
    {
        auto const lock = std::scoped_lock{mutex};
        closed = true;
        open.swap(connections);
    }
    for (auto const& [where, connection] : open)
    {
        connection->post([it = connection.get()]
                         { it->close("the client was closed"); });
    }
}

} // namespace

struct frame_client::implementation : frame_client_state
{
    using frame_client_state::frame_client_state;
};

frame_client::frame_client(reactor& loop, frame_limits limits)
    : implementation_(std::make_shared<implementation>(
          *loop.internal().context, std::move(limits)))
{
}

frame_client::~frame_client() = default;

frame_client::frame_client(frame_client&&) noexcept = default;

auto frame_client::operator=(frame_client&&) noexcept
    -> frame_client& = default;

auto frame_client::call(
    endpoint const& where, std::string payload, core::duration timeout,
    std::function<void(std::optional<std::string>)> on_done) -> void
{
    auto const deadline =
        core::time_point{std::chrono::steady_clock::now()} + timeout;
    implementation_->call(
        where, std::move(payload), deadline, std::move(on_done));
}

} // namespace godwitcleat::transport
