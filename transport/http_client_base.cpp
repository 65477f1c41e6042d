/** @file http_client_base.cpp HTTP/1.1 client with pooled connections. */
#include "transport/http_base.hpp"
#include "transport/http_internal.hpp"
#include "transport/listener_internal.hpp"
#include "transport/reactor_internal.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <map>
#include <mutex>
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

class client_connection;

// Bytes of header that a response may have.
constexpr std::uint32_t response_header_bytes = 64 * 1024;

// Bytes that a connection may buffer beyond one header.
constexpr std::size_t read_ahead_bytes = std::size_t{64} * 1024;

// Interim responses (100 to 199) accepted before the final one.
constexpr int interim_responses = 8;

/** One request from send() to its result. */
struct exchange
{
    explicit exchange(asio::io_context& context)
        : waiting_timer(context)
    {
    }

    beast_request message;
    bool to_head = false;
    core::time_point deadline;
    std::function<void(http_result)> on_done;
    asio::steady_timer waiting_timer; ///< Guarded by the client's mutex.
};

using exchange_pointer = std::shared_ptr<exchange>;
using connection_pointer = std::shared_ptr<client_connection>;

/** Connections and waiting requests of one endpoint. */
struct endpoint_pool
{
    std::set<connection_pointer> all;
    std::vector<connection_pointer> idle; ///< Last used at the back.
    std::deque<exchange_pointer> waiting;
};

/** All pools of one client. */
struct http_client_state : std::enable_shared_from_this<http_client_state>
{
    http_client_state(asio::io_context& loop, http_client_limits bounds)
        : context(loop)
        , limits(bounds)
    {
    }

    auto send(endpoint const& where, exchange_pointer const& request) -> void;
    auto enqueue(
        endpoint const& where, endpoint_pool& pool,
        exchange_pointer const& request) -> void;
    auto expire(endpoint const& where, exchange_pointer const& request) -> void;
    auto open(endpoint const& where, endpoint_pool& pool) -> connection_pointer;
    auto release(connection_pointer const& connection, bool reusable) -> void;
    auto drop_idle(connection_pointer const& connection) -> void;
    auto close() -> void;

    /** Calls on_done on a thread of the reactor. */
    auto complete(exchange_pointer const& request, http_result result) -> void
    {
        asio::post(
            context, [request, content = std::move(result)]() mutable
            { request->on_done(std::move(content)); });
    }

    auto refuse(
        exchange_pointer const& request, core::error_kind kind,
        std::string message) -> void
    {
        auto result = http_result{};
        result.reason = core::failure{kind, std::move(message)};
        complete(request, std::move(result));
    }

    asio::io_context& context;
    http_client_limits limits;
    std::mutex mutex; ///< Guards the following members.
    bool closed = false;
    std::map<endpoint, endpoint_pool> pools;
};

/** One connection; all members are used on its strand only. */
class client_connection : public std::enable_shared_from_this<client_connection>
{
public:
    client_connection(
        std::shared_ptr<http_client_state> client, endpoint address)
        : client_(std::move(client))
        , where_(std::move(address))
        , stream_(asio::make_strand(client_->context))
        , idle_timer_(stream_.get_executor())
        , buffer_(response_header_bytes + read_ahead_bytes)
    {
    }

    [[nodiscard]] auto where() const -> endpoint const&
    {
        return where_;
    }

    /** Performs @p request; the pool has assigned this connection to it. */
    auto run(exchange_pointer request) -> void
    {
        asio::post(
            stream_.get_executor(),
            [self = shared_from_this(), it = std::move(request)]() mutable
            { self->begin(std::move(it)); });
    }

    /** Watches for a close by the server while the connection is idle. */
    auto watch() -> void
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

    /** Closes the connection; a request on it fails. */
    auto abort() -> void
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

private:
    auto start_watch() -> void
    {
        auto const self = shared_from_this();
        auto const round = ++watch_round_;
        auto const on_event = [self, round](error_code ec)
        {
            if (ec != asio::error::operation_aborted &&
                round == self->watch_round_)
            {
                self->client_->drop_idle(self);
            }
        };
        stream_.socket().async_wait(tcp::socket::wait_read, on_event);
        idle_timer_.expires_after(client_->limits.idle_timeout);
        idle_timer_.async_wait(on_event);
    }

    auto stop_watch() -> void
    {
        ++watch_round_;
        idle_timer_.cancel();
        auto ignored = error_code{};
        stream_.socket().cancel(ignored);
    }

    auto begin(exchange_pointer request) -> void
    {
        request_ = std::move(request);
        progress_ = send_progress::nothing_written;
        interim_ = 0;
        stop_watch();
        if (aborted_)
        {
            fail(core::error_kind::shutting_down, "the client was closed");
            return;
        }
        if (core::time_point{std::chrono::steady_clock::now()} >=
            request_->deadline)
        {
            fail_timeout();
            return;
        }
        stream_.expires_at(request_->deadline);
        if (stream_.socket().is_open() && is_quiet(stream_.socket()))
        {
            write();
            return;
        }
        connect();
    }

    auto connect() -> void
    {
        stream_.close();
        buffer_.clear();
        auto const address = to_tcp(where_);
        if (!address)
        {
            auto const& reason = core::last_reason();
            fail(reason.kind, reason.message);
            return;
        }
        stream_.async_connect(
            *address, [self = shared_from_this()](error_code ec)
            { self->on_connect(ec); });
    }

    auto on_connect(error_code ec) -> void
    {
        if (ec)
        {
            fail(ec, core::error_kind::unavailable, "cannot connect");
            return;
        }
        stream_.socket().set_option(tcp::no_delay{true}, ec);
        write();
    }

    auto write() -> void
    {
        http::async_write(
            stream_, request_->message,
            [self = shared_from_this()](error_code ec, std::size_t n)
            { self->on_write(ec, n); });
    }

    auto on_write(error_code ec, std::size_t n) -> void
    {
        if (n > 0)
        {
            progress_ = send_progress::maybe_written;
        }
        if (ec)
        {
            fail(
                ec,
                n > 0 ? core::error_kind::unknown_outcome
                      : core::error_kind::unavailable,
                "the connection failed while the request was sent");
            return;
        }
        read_header();
    }

    auto read_header() -> void
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

    auto on_header(error_code ec) -> void
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
        http::async_read(
            stream_, buffer_, *parser_,
            [self = shared_from_this()](error_code failed, std::size_t)
            { failed ? self->fail_read(failed) : self->succeed(); });
    }

    auto skip_interim() -> void
    {
        if (++interim_ > interim_responses)
        {
            fail(core::error_kind::protocol, "too many interim responses");
            return;
        }
        read_header();
    }

    auto succeed() -> void
    {
        auto message = parser_->release();
        // Bytes beyond the response answer no request.
        auto const reusable = message.keep_alive() && buffer_.size() == 0;
        auto result = http_result{};
        result.response = from_beast(std::move(message));
        result.progress = send_progress::maybe_written;
        finish(std::move(result), reusable);
    }

    auto fail_read(error_code ec) -> void
    {
        if (ec == http::error::body_limit)
        {
            fail(
                core::error_kind::protocol, fmt::format(
                                                "the response exceeds {} bytes",
                                                client_->limits.body_bytes));
            return;
        }
        fail(
            ec, core::error_kind::unknown_outcome,
            "the connection failed before the whole response arrived");
    }

    auto fail(error_code ec, core::error_kind kind, std::string_view what)
        -> void
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

    auto fail_timeout() -> void
    {
        fail(core::error_kind::timeout, "no response before the deadline");
    }

    auto fail(core::error_kind kind, std::string_view message) -> void
    {
        auto result = http_result{};
        result.reason = core::failure{
            kind, fmt::format("{}: {}", to_string(where_), message)};
        result.progress = progress_;
        finish(std::move(result), false);
    }

    auto finish(http_result result, bool reusable) -> void
    {
        auto const request = std::exchange(request_, nullptr);
        parser_.reset();
        if (!reusable)
        {
            stream_.close();
        }
        // The pool comes first, so that a request sent from on_done can use
        // this connection.
        client_->release(shared_from_this(), reusable);
        client_->complete(request, std::move(result));
    }

    std::shared_ptr<http_client_state> client_;
    endpoint where_;
    beast::tcp_stream stream_;
    asio::steady_timer idle_timer_;
    beast::flat_buffer buffer_;
    std::optional<http::response_parser<http::string_body>> parser_;
    exchange_pointer request_; ///< Null while idle.
    send_progress progress_ = send_progress::nothing_written;
    int interim_ = 0;
    std::uint64_t watch_round_ = 0; ///< Makes events of old watches void.
    bool aborted_ = false;
};

auto http_client_state::send(
    endpoint const& where, exchange_pointer const& request) -> void
{
    auto const lock = std::scoped_lock{mutex};
    if (closed)
    {
        refuse(
            request, core::error_kind::shutting_down, "the client was closed");
        return;
    }
    auto& pool = pools[where];
    if (!pool.idle.empty())
    {
        auto const connection = pool.idle.back();
        pool.idle.pop_back();
        connection->run(request);
        return;
    }
    if (pool.all.size() < limits.connections_per_endpoint)
    {
        open(where, pool)->run(request);
        return;
    }
    enqueue(where, pool, request);
}

auto http_client_state::enqueue(
    endpoint const& where, endpoint_pool& pool, exchange_pointer const& request)
    -> void
{
    if (pool.waiting.size() >= limits.waiting_per_endpoint)
    {
        refuse(
            request, core::error_kind::no_capacity,
            fmt::format(
                "{}: {} requests wait already; retry later", to_string(where),
                pool.waiting.size()));
        return;
    }
    pool.waiting.push_back(request);
    request->waiting_timer.expires_at(request->deadline);
    request->waiting_timer.async_wait(
        [self = shared_from_this(), where, request](error_code ec)
        {
            if (!ec)
            {
                self->expire(where, request);
            }
        });
}

auto http_client_state::expire(
    endpoint const& where, exchange_pointer const& request) -> void
{
    auto const lock = std::scoped_lock{mutex};
    auto const pool = pools.find(where);
    if (pool == pools.end())
    {
        return;
    }
    auto& waiting = pool->second.waiting;
    auto const it = std::find(waiting.begin(), waiting.end(), request);
    if (it == waiting.end())
    {
        return;
    }
    waiting.erase(it);
    refuse(
        request, core::error_kind::timeout,
        fmt::format(
            "{}: no connection was free before the deadline",
            to_string(where)));
}

auto http_client_state::open(endpoint const& where, endpoint_pool& pool)
    -> connection_pointer
{
    auto connection =
        std::make_shared<client_connection>(shared_from_this(), where);
    pool.all.insert(connection);
    return connection;
}

auto http_client_state::release(
    connection_pointer const& connection, bool reusable) -> void
{
    auto const lock = std::scoped_lock{mutex};
    auto const it = pools.find(connection->where());
    if (closed || it == pools.end())
    {
        connection->abort();
        return;
    }
    auto& pool = it->second;
    auto next = connection;
    if (!reusable)
    {
        pool.all.erase(connection);
        next = nullptr;
    }
    if (!pool.waiting.empty())
    {
        auto const request = pool.waiting.front();
        pool.waiting.pop_front();
        request->waiting_timer.cancel();
        next = next ? next : open(connection->where(), pool);
        next->run(request);
        return;
    }
    if (next)
    {
        pool.idle.push_back(next);
        next->watch();
        return;
    }
    if (pool.all.empty())
    {
        pools.erase(it);
    }
}

auto http_client_state::drop_idle(connection_pointer const& connection) -> void
{
    auto const lock = std::scoped_lock{mutex};
    auto const pool = pools.find(connection->where());
    if (pool == pools.end())
    {
        return;
    }
    auto& idle = pool->second.idle;
    auto const it = std::find(idle.begin(), idle.end(), connection);
    if (it == idle.end())
    {
        return;
    }
    idle.erase(it);
    pool->second.all.erase(connection);
    connection->abort();
    if (pool->second.all.empty())
    {
        pools.erase(pool);
    }
}

auto http_client_state::close() -> void
{
    auto open = std::map<endpoint, endpoint_pool>{};
    {
        auto const lock = std::scoped_lock{mutex};
        closed = true;
        open.swap(pools);
        for (auto const& [where, pool] : open)
        {
            for (auto const& it : pool.waiting)
            {
                it->waiting_timer.cancel();
            }
        }
    }
    for (auto const& [where, pool] : open)
    {
        for (auto const& it : pool.waiting)
        {
            refuse(
                it, core::error_kind::shutting_down, "the client was closed");
        }
        for (auto const& it : pool.all)
        {
            it->abort();
        }
    }
}

} // namespace

struct http_client::implementation : http_client_state
{
    using http_client_state::http_client_state;
};

http_client::http_client(reactor& loop, http_client_limits limits)
    : implementation_(
          std::make_shared<implementation>(*loop.internal().context, limits))
{
}

http_client::~http_client() = default;

http_client::http_client(http_client&&) noexcept = default;

auto http_client::operator=(http_client&&) noexcept -> http_client& = default;

auto http_client::send(
    endpoint const& where, http_request request, core::duration timeout,
    std::function<void(http_result)> on_done) -> void
{
    auto state = std::make_shared<exchange>(implementation_->context);
    state->to_head = request.method == "HEAD";
    state->deadline =
        core::time_point{std::chrono::steady_clock::now()} + timeout;
    state->on_done = std::move(on_done);
    auto message = to_beast(std::move(request), where);
    if (!message)
    {
        auto const& reason = core::last_reason();
        implementation_->refuse(state, reason.kind, reason.message);
        return;
    }
    state->message = std::move(*message);
    implementation_->send(where, state);
}

auto http_client::connections(endpoint const& where) const -> std::size_t
{
    auto const lock = std::scoped_lock{implementation_->mutex};
    auto const it = implementation_->pools.find(where);
    return it == implementation_->pools.end() ? 0 : it->second.all.size();
}

} // namespace godwitcleat::transport
