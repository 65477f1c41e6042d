/** @file runner_base.cpp Service runner that answers HTTP requests. */
#include "standins/support/runner_base.hpp"

#include <nlohmann/json.hpp>

#include <deque>
#include <map>
#include <mutex>
#include <utility>

namespace godwitcleat::standins
{

namespace
{

auto answer_to(transport::http_request const& request)
    -> transport::http_response
{
    auto const id = std::string{request.headers.get("X-Request-Id")};
    auto response = transport::http_response{};
    response.headers.set("Content-Type", "application/json");
    if (!id.empty())
    {
        response.headers.set("X-Request-Id", id);
    }
    // A body that is no UTF-8 is answered with replacement characters.
    response.body =
        nlohmann::json{
            {"request_id", id},
            {"method", request.method},
            {"target", request.target},
            {"body", request.body}}
            .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return response;
}

} // namespace

/** Slots and waiting requests. */
struct runner::implementation
    : std::enable_shared_from_this<runner::implementation>
{
    struct work
    {
        transport::http_request request;
        transport::http_reply reply;
    };

    implementation(
        transport::reactor& reactor, runner_settings values, core::clock reader,
        history& lines)
        : loop(reactor)
        , settings(std::move(values))
        , clock(std::move(reader))
        , record(lines)
    {
    }

    auto take(transport::http_request request, transport::http_reply reply)
        -> void
    {
        auto const meant = request.headers.get("X-Backend-Server");
        if (!meant.empty() && !settings.backend_server.empty() &&
            meant != settings.backend_server)
        {
            auto refusal = transport::http_response{};
            refusal.status = 421;
            refusal.headers.set("X-Outcome", "not-run");
            return reply(std::move(refusal));
        }
        auto const lock = std::scoped_lock{mutex};
        if (closed)
        {
            return;
        }
        waiting.push_back({std::move(request), std::move(reply)});
        fill_slots();
    }

    /** Starts waiting requests while slots are free; needs the lock. */
    auto fill_slots() -> void
    {
        while (active.size() < settings.slots && !waiting.empty())
        {
            auto next = std::move(waiting.front());
            waiting.pop_front();
            tell(next.request, false);
            auto const number = ++last_number;
            active.emplace(number, std::move(next));
            timers.emplace(
                number, loop.after(
                            settings.serve_time,
                            [weak = weak_from_this(), number]
                            {
                                if (auto const self = weak.lock())
                                {
                                    self->finish(number);
                                }
                            }));
        }
    }

    auto finish(std::uint64_t number) -> void
    {
        auto const lock = std::scoped_lock{mutex};
        auto done = active.extract(number);
        timers.erase(number);
        if (closed || done.empty())
        {
            return;
        }
        tell(done.mapped().request, true);
        done.mapped().reply(answer_to(done.mapped().request));
        fill_slots();
    }

    auto tell(transport::http_request const& request, bool finished) -> void
    {
        record.write(to_json(request_event{
            finished, name, settings.worker,
            std::string{request.headers.get("X-Request-Id")}, request.method,
            request.target, clock()}));
    }

    /** Drops all requests; nothing is recorded afterwards. */
    auto close() -> void
    {
        auto dropped = std::deque<work>{};
        {
            auto const lock = std::scoped_lock{mutex};
            closed = true;
            server->close();
            timers.clear();
            dropped.swap(waiting);
            for (auto& [number, entry] : active)
            {
                dropped.push_back(std::move(entry));
            }
            active.clear();
        }
    }

    transport::reactor& loop;
    runner_settings settings;
    core::clock clock;
    history& record;
    std::string name; ///< ADDRESS:PORT.
    std::optional<transport::http_server> server;
    std::mutex mutex; ///< Guards the following members.
    bool closed = false;
    std::uint64_t last_number = 0;
    std::deque<work> waiting;
    std::map<std::uint64_t, work> active;
    std::map<std::uint64_t, transport::timer_handle> timers;
};

runner::runner(std::shared_ptr<implementation> implementation)
    : implementation_(std::move(implementation))
{
}

auto runner::listen(
    transport::reactor& loop, runner_settings settings, core::clock clock,
    history& record) -> std::optional<runner>
{
    auto limits = transport::http_server_limits{};
    limits.connections = settings.connections;
    auto const where = settings.listen;
    auto state = std::make_shared<implementation>(
        loop, std::move(settings), std::move(clock), record);
    // Requests that arrive before the name is set wait for the lock.
    auto const lock = std::scoped_lock{state->mutex};
    state->server = transport::http_server::listen(
        loop, where, limits,
        [weak = std::weak_ptr{state}](
            transport::http_request request, transport::http_reply reply)
        {
            if (auto const self = weak.lock())
            {
                self->take(std::move(request), std::move(reply));
            }
        });
    if (!state->server)
    {
        return std::nullopt;
    }
    state->name = transport::to_string(state->server->local());
    return runner{state};
}

runner::~runner()
{
    if (implementation_)
    {
        implementation_->close();
    }
}

runner::runner(runner&&) noexcept = default;

auto runner::operator=(runner&& other) noexcept -> runner&
{
    if (this != &other)
    {
        if (implementation_)
        {
            implementation_->close();
        }
        implementation_ = std::move(other.implementation_);
    }
    return *this;
}

auto runner::local() const -> transport::endpoint
{
    return implementation_->server->local();
}

auto runner::running() const -> std::size_t
{
    auto const lock = std::scoped_lock{implementation_->mutex};
    return implementation_->active.size();
}

} // namespace godwitcleat::standins
