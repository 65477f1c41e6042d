/** @file config_exchange_base.cpp Configuration from other instances. */
#include "coordination/config_exchange_base.hpp"

#include "coordination/guarded_internal.hpp"

#include <atomic>
#include <utility>

namespace godwitcleat::coordination
{

struct config_exchange::implementation
    : guarded_base<config_exchange::implementation>
{
    implementation(
        transport::reactor& event_loop, core::clock now, core::logger logger,
        core::metrics& counters, frame_call call, config_exchange_hooks calls,
        config_exchange_settings figures)
        : loop(event_loop)
        , clock(std::move(now))
        , log(std::move(logger))
        , metrics(counters)
        , call_peer(std::move(call))
        , hooks(std::move(calls))
        , settings(figures)
    {
    }

    auto ask_if_due() -> void;
    auto take(std::optional<std::string> const& payload) -> void;

    transport::reactor& loop;
    core::clock clock;
    core::logger log;
    core::metrics& metrics;
    frame_call call_peer;
    config_exchange_hooks hooks;
    config_exchange_settings settings;
    std::atomic<std::size_t> next_instance = 0;
    std::atomic<bool> asking = false;
    transport::timer_handle timer;
};

auto config_exchange::implementation::ask_if_due() -> void
{
    auto const confirmed = hooks.confirmed_at();
    auto const is_old = !confirmed || clock() - *confirmed >= settings.max_age;
    if (!is_old || !hooks.is_needed() || asking)
    {
        return;
    }
    auto const instances = hooks.instances();
    if (instances.empty() || asking.exchange(true))
    {
        return;
    }
    auto call = protocol::job_call{};
    call.kind = protocol::job_call_kind::config;
    call.config_version = hooks.version();
    metrics.count("config_exchange_calls_total");
    call_peer(
        instances[next_instance++ % instances.size()], protocol::encode(call),
        settings.call_timeout,
        guarded(
            [](auto& self, std::optional<std::string> const& payload)
            {
                self.asking = false;
                self.take(payload);
            }));
}

auto config_exchange::implementation::take(
    std::optional<std::string> const& payload) -> void
{
    auto const answer = payload
                            ? protocol::decode<protocol::job_answer>(*payload)
                            : std::nullopt;
    if (!answer || answer->error != core::error_kind::none ||
        answer->config_version <= hooks.version())
    {
        return;
    }
    metrics.count("config_exchange_versions_total");
    log.info(
        "Another instance has a newer configuration.",
        {{"version", answer->config_version}});
    hooks.on_newer(answer->config);
}

config_exchange::config_exchange(
    transport::reactor& loop, core::clock clock, core::logger log,
    core::metrics& metrics, frame_call call_peer, config_exchange_hooks hooks,
    config_exchange_settings settings)
    : implementation_(std::make_shared<implementation>(
          loop, std::move(clock), std::move(log), metrics, std::move(call_peer),
          std::move(hooks), settings))
{
}

config_exchange::~config_exchange()
{
    implementation_->closed = true;
}

auto config_exchange::start() -> void
{
    auto& it = *implementation_;
    it.timer = it.loop.every(
        it.settings.interval,
        it.guarded([](auto& self) { self.ask_if_due(); }));
}

} // namespace godwitcleat::coordination
