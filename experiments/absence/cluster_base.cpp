/** @file cluster_base.cpp The engines of all shards, without a network. */
#include "cluster_base.hpp"

#include "experiments/support/interference_base.hpp"

#include <algorithm>
#include <variant>

namespace godwitcleat::experiments
{

engine_cluster::engine_cluster(
    std::uint32_t shards, state::engine_settings settings,
    std::function<void(core::timeline_event const&)> const& on_event,
    core::clock now)
    : now_(std::move(now))
{
    settings.shard_count = shards;
    for (auto n = 0U; n < shards; ++n)
    {
        auto hooks = state::engine_hooks{};
        hooks.on_event = on_event;
        engines_.push_back(std::make_unique<state::shard_engine>(
            core::epoch{1}, state::shard_state{core::shard_id{n}}, settings,
            std::move(hooks), now_()));
    }
}

auto engine_cluster::engine(core::shard_id id) -> state::shard_engine&
{
    return *engines_.at(id.value);
}

auto engine_cluster::submit(state::job_spec spec) -> void
{
    auto const shards = static_cast<std::uint32_t>(engines_.size());
    auto& home = engine(state::shard_of(spec.id, shards));
    home.submit(std::move(spec), [](bool) {});
}

auto engine_cluster::heartbeat(state::worker_report const& report)
    -> state::heartbeat_reply
{
    auto const shards = static_cast<std::uint32_t>(engines_.size());
    return engine(state::shard_of(report.info.rack, shards))
        .heartbeat(report, now_());
}

auto engine_cluster::tick(state::config_pointer const& config, bool updates)
    -> void
{
    if (updates || summaries_.empty())
    {
        summaries_.clear();
        for (auto const& it : engines_)
        {
            summaries_.push_back(it->summary(now_()));
        }
    }
    for (auto n = std::size_t{0}; n < engines_.size(); ++n)
    {
        auto view = state::cluster_view{};
        view.config = config;
        view.others = summaries_;
        view.others.erase(view.others.begin() + static_cast<std::ptrdiff_t>(n));
        engines_[n]->tick(now_(), view);
    }
}

auto engine_cluster::settle() -> void
{
    do
    {
        for (auto const& it : engines_)
        {
            commit_all(*it, now_());
        }
    } while (deliver());
}

// Returns true if there was a request.
auto engine_cluster::deliver() -> bool
{
    auto requests = std::vector<state::shard_request>{};
    for (auto const& it : engines_)
    {
        auto const part = it->take_requests();
        requests.insert(requests.end(), part.begin(), part.end());
    }
    for (auto const& request : requests)
    {
        engine(state::destination(request))
            .handle(
                request, now_(),
                [this, request](auto const& reply)
                { replies_.emplace_back(request, reply); });
    }
    for (auto const& it : engines_)
    {
        commit_all(*it, now_());
    }
    for (auto const& [request, reply] : std::exchange(replies_, {}))
    {
        auto const home =
            std::visit([](auto const& it) { return it.home; }, request);
        auto const host =
            std::visit([](auto const& it) { return it.host; }, request);
        auto const to = state::destination(request);
        engine(to == home ? host : home).handle_reply(request, reply, now_());
    }
    return !requests.empty();
}

auto engine_cluster::queued() const -> std::size_t
{
    auto result = std::size_t{0};
    for (auto const& engine : engines_)
    {
        auto const& jobs = engine->state().data().jobs;
        result += static_cast<std::size_t>(std::count_if(
            jobs.begin(), jobs.end(),
            [](auto const& it)
            { return it.second.phase == state::job_phase::queued; }));
    }
    return result;
}

} // namespace godwitcleat::experiments
