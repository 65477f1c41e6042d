/** @file http_client_base.cpp HTTP/1.1 client with pooled connections. */
#include "transport/http_base.hpp"
#include "transport/http_client_internal.hpp"
#include "transport/reactor_internal.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace godwitcleat::transport
{

using boost::beast::error_code;

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
    auto const may_open = pool.all.size() < limits.connections_per_endpoint;
    if (auto const connection = pool.take_idle(*request, may_open))
    {
        connection->run(request);
        return;
    }
    if (may_open)
    {
        open(where, pool)->run(request);
        return;
    }
    enqueue(where, pool, request);
}

auto endpoint_pool::take_idle(exchange const& request, bool may_open)
    -> connection_pointer
{
    auto const suits = [&request](idle_connection const& it)
    {
        return may_get(request, it.server);
    };
    auto it = std::find_if(idle.rbegin(), idle.rend(), suits);
    if (it == idle.rend())
    {
        if (may_open || idle.empty())
        {
            return nullptr;
        }
        it = idle.rbegin(); // Is replaced by a new connection.
    }
    auto result = it->connection;
    idle.erase(std::next(it).base());
    return result;
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
    connection_pointer const& connection, bool reusable,
    std::optional<identified_server> server) -> void
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
        pool.idle.push_back({next, now(), server});
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
    auto const it = std::find_if(
        idle.begin(), idle.end(),
        [&connection](auto const& entry)
        { return entry.connection == connection; });
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

auto http_client_state::drop_idle_before(
    endpoint const& where, core::time_point time) -> void
{
    auto const lock = std::scoped_lock{mutex};
    auto const pool = pools.find(where);
    if (pool == pools.end())
    {
        return;
    }
    std::erase_if(
        pool->second.idle,
        [&pool, time](auto const& entry)
        {
            if (entry.since >= time)
            {
                return false;
            }
            pool->second.all.erase(entry.connection);
            entry.connection->abort();
            return true;
        });
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
    std::function<void(http_result)> on_done,
    std::optional<server_identity> server) -> void
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
    state->server = std::move(server).value_or(server_identity{});
    implementation_->send(where, state);
}

auto http_client::connections(endpoint const& where) const -> std::size_t
{
    auto const lock = std::scoped_lock{implementation_->mutex};
    auto const it = implementation_->pools.find(where);
    return it == implementation_->pools.end() ? 0 : it->second.all.size();
}

} // namespace godwitcleat::transport
