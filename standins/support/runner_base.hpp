/** @file runner_base.hpp Service runner that answers HTTP requests. */
#ifndef GODWITCLEAT_STANDINS_SUPPORT_RUNNER_BASE_HPP
#define GODWITCLEAT_STANDINS_SUPPORT_RUNNER_BASE_HPP

#include "core/core.hpp"
#include "standins/support/history_base.hpp"
#include "transport/transport.hpp"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

namespace godwitcleat::standins
{

/** Capacity and behaviour of one runner. */
struct runner_settings
{
    transport::endpoint listen{"127.0.0.1", 0};
    std::string worker;           ///< Name in the history.
    std::size_t slots = 8;        ///< Requests that run at once.
    std::size_t connections = 64; ///< Connections that are accepted.
    core::duration serve_time{0}; ///< Duration of one request.
    std::string backend_server;   ///< Its id; empty: not known.
};

/**
 * Answers each request with status 200 and a JSON body that repeats the
 * request id, method, target and body; one that names another backend server
 * in `X-Backend-Server` is refused with 421 and not-run. Requests beyond the
 * slots wait in the order of their arrival. Destroying the runner closes all
 * connections.
 */
class runner
{
public:
    /** Listens at once; @p record must outlive the reactor's threads. */
    static auto listen(
        transport::reactor& loop, runner_settings settings, core::clock clock,
        history& record) -> std::optional<runner>;

    ~runner();
    runner(runner&&) noexcept;
    auto operator=(runner&&) noexcept -> runner&;

    [[nodiscard]] auto local() const -> transport::endpoint;

    /** Returns the number of requests that run; at most `slots`. */
    [[nodiscard]] auto running() const -> std::size_t;

private:
    struct implementation;
    explicit runner(std::shared_ptr<implementation> implementation);
    std::shared_ptr<implementation> implementation_;
};

} // namespace godwitcleat::standins

#endif
