/** @file gateway_base.hpp Requests of callers, sent to backend servers. */
#ifndef GODWITCLEAT_COORDINATION_GATEWAY_BASE_HPP
#define GODWITCLEAT_COORDINATION_GATEWAY_BASE_HPP

#include "coordination/router_base.hpp"
#include "core/core.hpp"
#include "state/state.hpp"
#include "transport/transport.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>

namespace godwitcleat::coordination
{

/**
 * Sends a request to a backend server and calls the handler exactly once, at
 * the latest when the timeout has passed; see transport::http_client::send().
 */
using backend_send = std::function<void(
    transport::endpoint const& where, transport::http_request request,
    core::duration timeout,
    std::function<void(transport::http_result)> on_done)>;

/** Returns the configuration of a service, or std::nullopt if it has none. */
using service_lookup = std::function<std::optional<state::service_config>(
    core::service_id const& service)>;

/** Faults for tests that prove the history checks. All are off in use. */
struct gateway_faults
{
    bool retry_non_idempotent = false; ///< Retries after unknown outcomes.
    bool not_run_after_write = false;  ///< Says not-run after a write.
    bool ignore_request_id = false;    ///< Accepts any answer.
    bool ignore_leaving = false;       ///< Sends to leaving servers.
};

/** What a gateway uses; the references must outlive its requests. */
struct gateway_parts
{
    core::clock now;
    router& routes;
    service_lookup find_service;
    backend_send send;
    core::metrics& counters;
    core::timeline& events;
    core::logger log;
};

/**
 * Handles callers' requests to `/s/SERVICE/...` by the rules of section 5.9 of
 * docs/design.md. A backend server gets the target without `/s/SERVICE`.
 * Refusals have a JSON body `{"error": KIND, "message": TEXT}`. Thread-safe;
 * state is in shards by service, each under its own lock.
 */
class gateway
{
public:
    explicit gateway(gateway_parts parts, gateway_faults faults = {});
    ~gateway();
    gateway(gateway const&) = delete;
    auto operator=(gateway const&) -> gateway& = delete;

    /** Handles @p request; calls @p reply exactly once, from any thread. */
    auto handle(transport::http_request request, transport::http_reply reply)
        -> void;

    /**
     * Makes ready() false. Requests are still handled, because the balancer
     * notices late; in_flight() tells when the last one is answered.
     */
    auto drain() -> void;

    /** Returns true if the balancer may send requests here. */
    [[nodiscard]] auto ready() const -> bool;

    /** Returns the number of requests not yet answered. */
    [[nodiscard]] auto in_flight() const -> std::size_t;

private:
    struct implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace godwitcleat::coordination

#endif
