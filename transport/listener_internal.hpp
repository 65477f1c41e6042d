/** @file listener_internal.hpp Accepts TCP connections for both servers. */
#ifndef GODWITCLEAT_TRANSPORT_LISTENER_INTERNAL_HPP
#define GODWITCLEAT_TRANSPORT_LISTENER_INTERNAL_HPP

#include "core/core.hpp"
#include "transport/endpoint_type.hpp"

#include <boost/asio.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <limits>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>

namespace godwitcleat::transport
{

/** Returns the library's form of @p where; the address must be valid. */
auto to_tcp(endpoint const& where)
    -> std::optional<boost::asio::ip::tcp::endpoint>;

/** Returns true if the peer has sent nothing and has not closed. */
auto is_quiet(boost::asio::ip::tcp::socket& socket) -> bool;

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

    static auto now() -> core::time_point
    {
        return core::time_point{std::chrono::steady_clock::now()};
    }

    std::atomic<core::duration::rep> since_ = never;
};

/**
 * Returns the one of @p connections that has been quiet for longest, marked as
 * busy so that it is not taken again; null if none is quiet.
 */
template <class Connections>
auto take_quietest(Connections const& connections) ->
    typename Connections::value_type
{
    auto result = typename Connections::value_type{};
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
        result->quiet().set_busy();
    }
    return result;
}

/** A listening socket. Thread-safe. */
class listener : public std::enable_shared_from_this<listener>
{
public:
    using socket_handler = std::function<void(boost::asio::ip::tcp::socket)>;

    /** Listens on @p where; nullptr with unavailable. */
    static auto open(boost::asio::io_context& context, endpoint const& where)
        -> std::shared_ptr<listener>;

    explicit listener(boost::asio::io_context& context);

    /** Passes each connection, on a strand of its own, to @p handler. */
    auto start(socket_handler handler) -> void;

    /**
     * Stops new connections and closes the port after 200 ms. Connections that
     * callers see as established by then are passed on.
     */
    auto drain() -> void;

    auto close() -> void;
    [[nodiscard]] auto is_open() -> bool;
    [[nodiscard]] auto local() const -> endpoint;

private:
    auto accept() -> void;
    auto
    on_accept(boost::system::error_code ec, boost::asio::ip::tcp::socket socket)
        -> void;
    auto retry_later() -> void;
    auto accept_waiting() -> void;
    auto close_acceptor() -> void;

    boost::asio::io_context& context_;
    std::mutex mutex_; ///< Guards the acceptor and the timer.
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer retry_;
    boost::asio::steady_timer drain_end_;
    socket_handler handler_;
    endpoint local_;
};

/**
 * Opens the port of @p state, a server's implementation, and passes each
 * connection to its add() while it exists.
 * @return false with unavailable if the port cannot be opened.
 */
template <class State>
auto listen_for(
    std::shared_ptr<State> const& state, boost::asio::io_context& context,
    endpoint const& where) -> bool
{
    state->port = listener::open(context, where);
    if (!state->port)
    {
        return false;
    }
    state->port->start(
        [weak = std::weak_ptr{state}](boost::asio::ip::tcp::socket socket)
        {
            if (auto const self = weak.lock())
            {
                self->add(std::move(socket));
            }
        });
    return true;
}

} // namespace godwitcleat::transport

#endif
