/** @file config_exchange_base.hpp Configuration from other instances. */
#ifndef GODWITCLEAT_COORDINATION_CONFIG_EXCHANGE_BASE_HPP
#define GODWITCLEAT_COORDINATION_CONFIG_EXCHANGE_BASE_HPP

#include "coordination/job_router_base.hpp"
#include "core/core.hpp"
#include "protocol/protocol.hpp"
#include "transport/transport.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace godwitcleat::coordination
{

/** Times of the exchange. */
struct config_exchange_settings
{
    /** Others are asked if the store has not confirmed the configuration for
     *  this long. Watches confirm it each 1 to 1.2 s, and the answer may be on
     *  its way over a slow link. */
    core::duration max_age = std::chrono::milliseconds{2500};
    core::duration interval = std::chrono::milliseconds{500};
    /** A document of 1 MB takes 0.8 s on a link of 10 Mbit/s. Asked after
     *  max_age, another instance has answered within 6 s. */
    core::duration call_timeout = std::chrono::milliseconds{3000};
};

/** What the exchange knows of this instance's configuration. */
struct config_exchange_hooks
{
    /** Returns false if the configuration does not call for an exchange. */
    std::function<bool()> is_needed;
    /** Returns when the store has last confirmed the configuration. */
    std::function<std::optional<core::time_point>()> confirmed_at;
    std::function<std::uint64_t()> version;
    /** Returns the instances to ask, in turn. */
    std::function<std::vector<transport::endpoint>()> instances;
    /** Takes a document of a higher version. */
    std::function<void(std::string const& document)> on_newer;
};

/**
 * Asks other instances for a newer configuration while the store does not
 * confirm the present one, because the store may turn this instance away and
 * serve the others. Thread-safe.
 */
class config_exchange
{
public:
    config_exchange(
        transport::reactor& loop, core::clock clock, core::logger log,
        core::metrics& metrics, frame_call call_peer,
        config_exchange_hooks hooks, config_exchange_settings settings);
    ~config_exchange();
    config_exchange(config_exchange const&) = delete;
    auto operator=(config_exchange const&) -> config_exchange& = delete;

    auto start() -> void;

private:
    struct implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace godwitcleat::coordination

#endif
