/** @file daemon_control.cpp Hooks of the control server, and start-up. */
#include "programs/godwitcleatd/daemon_base.hpp"

#include <utility>

namespace godwitcleat::daemon
{

auto entry_daemon::control_hooks() -> coordination::control_hooks
{
    auto hooks = coordination::control_hooks{};
    hooks.heartbeat = [this](auto const& report, auto on_done)
    {
        metrics_.count("heartbeats");
        auto const shard = state::shard_of(report.rack, settings_.shards);
        host_.heartbeat(
            report,
            [this, shard, on_done = std::move(on_done)](auto reply)
            {
                auto result =
                    coordination::heartbeat_result{std::move(reply), {}};
                auto const owner = result.reply
                                       ? std::nullopt
                                       : peers_.owner_of(shard, now_());
                if (owner)
                {
                    result.owner = owner->control_address;
                }
                on_done(std::move(result));
            });
    };
    hooks.submit = [this](auto spec, auto on_done)
    {
        forwarding_.submit(std::move(spec), std::move(on_done));
    };
    hooks.cancel = [this](auto const& id, auto reason, auto on_done)
    {
        forwarding_.cancel(id, std::move(reason), std::move(on_done));
    };
    hooks.jobs = [this](auto const& job, auto on_done)
    {
        forwarding_.jobs(job, std::move(on_done));
    };
    hooks.workers = [this](auto on_done)
    {
        forwarding_.workers(std::move(on_done));
    };
    hooks.endpoints = [this]
    {
        auto result = std::vector<state::service_endpoint>{};
        for (auto const& table : router_.tables())
        {
            result.insert(
                result.end(), table.endpoints.begin(), table.endpoints.end());
        }
        return result;
    };
    hooks.config = [this]
    {
        return config_.current().document;
    };
    hooks.publish = [this](auto command, auto on_done)
    {
        config_.publish(
            command.base, std::move(command.author), std::move(command.summary),
            std::move(command.document), std::move(on_done));
    };
    hooks.status = [this]
    {
        return status();
    };
    hooks.metrics = [this]
    {
        limits_.report_use();
        return metrics_.text();
    };
    hooks.timeline = [this](auto after)
    {
        return timeline_.since(after);
    };
    return hooks;
}

auto entry_daemon::start() -> std::optional<bool>
{
    peers_.add_addresses(settings_.peers);
    started_at_ = now_();
    if (!listen())
    {
        return std::nullopt;
    }
    start_timers();
    log_.info(
        "Daemon is running.", {{"instance", settings_.name.value},
                               {"boot_id", boot_id_},
                               {"data_centre", settings_.data_centre.value}});
    return true;
}

} // namespace godwitcleat::daemon
