/** @file router_base.cpp Choice of a backend server for a request. */
#include "coordination/router_base.hpp"

#include "coordination/router_internal.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <map>
#include <mutex>
#include <set>
#include <unordered_map>
#include <utility>

namespace godwitcleat::coordination
{

using namespace routing;

namespace
{

constexpr std::size_t shard_count = 16;

/// Weight of one answer in the latency estimate of a backend server.
constexpr double backend_weight = 0.1;

/// Weight of one answer in the mean of a service.
constexpr double service_weight = 0.01;

/// Recent probe answers that the quantile is taken from.
constexpr std::size_t probe_history = 128;

/// Reports of free slots that are kept for one backend server.
constexpr std::uint32_t most_idle_reports = 8;

} // namespace

struct router::implementation
{
    core::clock now;
    core::random_source& random;
    routing_policy policy;
    router_settings settings;
    mutable std::mutex tables_mutex; ///< Taken before a shard's mutex.
    std::map<core::shard_id, protocol::endpoint_table> tables;
    std::array<service_shard, shard_count> shards;

    auto shard_for(core::service_id const& service) -> service_shard&
    {
        return shards[core::stable_hash(service.value) % shard_count];
    }

    /** Requires tables_mutex. */
    auto is_newer(protocol::endpoint_table const& table) const -> bool
    {
        auto const found = tables.find(table.shard);
        auto const present =
            found == tables.end()
                ? std::pair{core::epoch{}, std::uint64_t{0}}
                : std::pair{found->second.owner_epoch, found->second.version};
        return std::pair{table.owner_epoch, table.version} > present;
    }

    /** Requires tables_mutex. */
    auto refresh(core::service_id const& service) -> void
    {
        auto list = std::vector<state::service_endpoint>{};
        for (auto const& [id, table] : tables)
        {
            std::copy_if(
                table.endpoints.begin(), table.endpoints.end(),
                std::back_inserter(list),
                [&](auto const& it) { return it.service == service; });
        }
        auto& shard = shard_for(service);
        auto const lock = std::scoped_lock{shard.mutex};
        replace_endpoints(shard.services[service], list);
    }

    /** Returns the indexes of the backend servers that may be chosen. */
    auto candidates(
        service_state const& state, choice_options const& options,
        core::time_point at) const -> std::vector<std::size_t>
    {
        auto trusted = std::vector<std::size_t>{};
        auto suspect = std::vector<std::size_t>{};
        for (std::size_t i = 0; i < state.backends.size(); ++i)
        {
            auto const& it = state.backends[i];
            auto const excluded =
                std::find(
                    options.excluded.begin(), options.excluded.end(),
                    it.endpoint.backend_server) != options.excluded.end();
            auto const open =
                it.listed && (!it.endpoint.leaving || options.include_leaving);
            if (!open || excluded || it.in_flight >= settings.connections)
            {
                continue;
            }
            auto const doubtful = it.failures >= settings.suspect_after;
            // After its pause a suspect gets one request at a time.
            auto const blocked =
                doubtful && (at < it.suspect_until || it.in_flight > 0);
            (blocked ? suspect : trusted).push_back(i);
        }
        return trusted.empty() ? suspect : trusted;
    }

    auto view_of(
        service_state const& state, std::vector<std::size_t> const& usable,
        core::time_point at) const -> std::vector<backend_view>
    {
        auto const weights = peer_weights(state, at, settings.peer_silence);
        auto result = std::vector<backend_view>{};
        result.reserve(usable.size());
        for (auto const i : usable)
        {
            auto const& it = state.backends[i];
            auto const latency =
                latency_now(state, it, at, settings.latency_memory);
            auto view = backend_view{
                it.in_flight, peers_in_flight(it, weights),
                to_duration(latency), it.idle_reports, std::nullopt};
            for (auto const& pooled : state.probes)
            {
                if (pooled.backend_server == it.endpoint.backend_server)
                {
                    view.probe = pooled.probe;
                }
            }
            result.push_back(view);
        }
        return result;
    }

    /** Updates probes and reports after a choice. */
    auto consume(service_state& state, backend& chosen) const -> void
    {
        if (chosen.idle_reports > 0)
        {
            --chosen.idle_reports;
        }
        for (auto& it : state.probes)
        {
            if (it.backend_server == chosen.endpoint.backend_server)
            {
                ++it.probe.in_flight;
                ++it.uses;
            }
        }
        std::erase_if(
            state.probes,
            [this](auto const& it) { return it.uses >= settings.probe_uses; });
    }

    auto note_failure(backend& it, core::time_point at) const -> void
    {
        ++it.failures;
        if (it.failures < settings.suspect_after)
        {
            return;
        }
        auto const doublings =
            std::min(it.failures - settings.suspect_after, 10U);
        auto const pause = settings.suspect_first * (1U << doublings);
        it.suspect_until = at + std::min(pause, settings.suspect_longest);
    }
};

router::router(
    core::clock now, core::random_source& random, routing_policy policy,
    router_settings settings)
    : implementation_(new implementation{
          std::move(now), random, std::move(policy), settings, {}, {}, {}})
{
}
router::~router() = default;

auto router::update_table(protocol::endpoint_table table) -> bool
{
    auto& self = *implementation_;
    auto const lock = std::scoped_lock{self.tables_mutex};
    if (!self.is_newer(table))
    {
        return false;
    }
    auto& present = self.tables[table.shard];
    auto affected = std::set<core::service_id>{};
    for (auto const* list : {&present.endpoints, &table.endpoints})
    {
        for (auto const& it : *list)
        {
            affected.insert(it.service);
        }
    }
    present = std::move(table);
    for (auto const& service : affected)
    {
        self.refresh(service);
    }
    return true;
}

auto router::is_newer(protocol::endpoint_table const& table) const -> bool
{
    auto const lock = std::scoped_lock{implementation_->tables_mutex};
    return implementation_->is_newer(table);
}

auto router::has_tables() const -> bool
{
    auto const lock = std::scoped_lock{implementation_->tables_mutex};
    return !implementation_->tables.empty();
}

auto router::tables() const -> std::vector<protocol::endpoint_table>
{
    auto const lock = std::scoped_lock{implementation_->tables_mutex};
    auto result = std::vector<protocol::endpoint_table>{};
    for (auto const& [id, table] : implementation_->tables)
    {
        result.push_back(table);
    }
    return result;
}

auto router::update_peer(
    core::instance_id const& peer,
    std::span<protocol::backend_load const> loads, core::duration age) -> void
{
    auto const counted = implementation_->now() - age;
    auto counts = std::unordered_map<core::backend_server_id, std::uint32_t>{};
    for (auto const& it : loads)
    {
        counts[it.backend_server] = it.in_flight;
    }
    for (auto& shard : implementation_->shards)
    {
        auto const lock = std::scoped_lock{shard.mutex};
        for (auto& [service, state] : shard.services)
        {
            auto const index = peer_index(state, peer);
            auto sum = 0.0;
            for (auto& it : state.backends)
            {
                auto const found = counts.find(it.endpoint.backend_server);
                auto const n = found == counts.end() ? 0 : found->second;
                it.peers.resize(state.peers.size());
                it.peers[index] = n;
                sum += n;
            }
            auto const size = std::max<std::size_t>(state.backends.size(), 1);
            state.peers[index] = {
                peer, counted, sum / static_cast<double>(size)};
        }
    }
}

auto router::remove_peer(core::instance_id const& peer) -> void
{
    for (auto& shard : implementation_->shards)
    {
        auto const lock = std::scoped_lock{shard.mutex};
        for (auto& [service, state] : shard.services)
        {
            auto const index = peer_index(state, peer);
            auto const at = static_cast<std::ptrdiff_t>(index);
            state.peers.erase(state.peers.begin() + at);
            for (auto& it : state.backends)
            {
                if (index < it.peers.size())
                {
                    it.peers.erase(it.peers.begin() + at);
                }
            }
        }
    }
}

auto router::loads() const -> std::vector<protocol::backend_load>
{
    auto result = std::vector<protocol::backend_load>{};
    for (auto const& shard : implementation_->shards)
    {
        auto const lock = std::scoped_lock{shard.mutex};
        for (auto const& [service, state] : shard.services)
        {
            for (auto const& it : state.backends)
            {
                if (it.in_flight > 0)
                {
                    result.push_back(
                        {it.endpoint.backend_server, it.in_flight});
                }
            }
        }
    }
    return result;
}

auto router::report_idle(
    core::service_id const& service,
    core::backend_server_id const& backend_server) -> void
{
    auto& shard = implementation_->shard_for(service);
    auto const lock = std::scoped_lock{shard.mutex};
    auto* const it = find(shard.services[service], backend_server);
    if (it != nullptr)
    {
        it->idle_reports = std::min(it->idle_reports + 1, most_idle_reports);
    }
}

auto router::record_probe(
    core::service_id const& service,
    core::backend_server_id const& backend_server, backend_probe probe) -> void
{
    auto& self = *implementation_;
    auto& shard = self.shard_for(service);
    auto const lock = std::scoped_lock{shard.mutex};
    auto& state = shard.services[service];
    if (state.recent_load.size() < probe_history)
    {
        state.recent_load.push_back(probe.in_flight);
    }
    else
    {
        state.recent_load[state.recent_next] = probe.in_flight;
        state.recent_next = (state.recent_next + 1) % probe_history;
    }
    std::erase_if(
        state.probes,
        [&](auto const& it) { return it.backend_server == backend_server; });
    state.probes.push_back({backend_server, probe, self.now(), 0});
    if (state.probes.size() > self.settings.probe_pool)
    {
        state.probes.erase(state.probes.begin());
    }
}

auto router::choose(core::service_id const& service, choice_options options)
    -> std::optional<backend_choice>
{
    auto& self = *implementation_;
    auto const at = self.now();
    auto& shard = self.shard_for(service);
    auto const lock = std::scoped_lock{shard.mutex};
    auto const found = shard.services.find(service);
    if (found == shard.services.end() ||
        std::none_of(
            found->second.backends.begin(), found->second.backends.end(),
            [&](auto const& it)
            { return is_open(it) || (it.listed && options.include_leaving); }))
    {
        return core::fail(
            core::error_kind::unavailable,
            fmt::format(
                "service \"{}\" has no running backend server; retry later or "
                "check its runners with `godwitcleatctl services`",
                service.value));
    }
    auto& state = found->second;
    std::erase_if(
        state.probes,
        [&](auto const& it) { return at - it.at > self.settings.probe_age; });
    auto const usable = self.candidates(state, options, at);
    if (usable.empty())
    {
        return core::fail(
            core::error_kind::no_capacity,
            fmt::format(
                "all backend servers of service \"{}\" are busy; retry later",
                service.value));
    }
    auto const views = self.view_of(state, usable, at);
    auto const index = self.policy(
        {views, to_duration(state.mean_ns), state.turn++,
         hot_limit(state, self.settings.hot_quantile)},
        self.random);
    auto& chosen = state.backends[usable.at(index)];
    ++chosen.in_flight;
    self.consume(state, chosen);
    return backend_choice{
        service, chosen.endpoint.backend_server, chosen.where};
}

auto router::finish(
    backend_choice const& choice, attempt_result result, core::duration elapsed)
    -> void
{
    auto& self = *implementation_;
    auto const at = self.now();
    auto& shard = self.shard_for(choice.service);
    auto const lock = std::scoped_lock{shard.mutex};
    auto& state = shard.services[choice.service];
    auto* const it = find(state, choice.backend_server);
    if (it == nullptr || it->in_flight == 0)
    {
        return;
    }
    --it->in_flight;
    auto const ns = static_cast<double>(elapsed.count());
    if (result == attempt_result::answered)
    {
        it->failures = 0;
        auto const before =
            latency_now(state, *it, at, self.settings.latency_memory);
        it->latency_ns =
            before <= 0.0 ? ns : before + backend_weight * (ns - before);
        it->latency_at = at;
        auto const mean = state.mean_ns;
        state.mean_ns = mean <= 0.0 ? ns : mean + service_weight * (ns - mean);
    }
    if (result == attempt_result::failed)
    {
        self.note_failure(*it, at);
    }
    if (!it->listed && it->in_flight == 0)
    {
        auto const id = choice.backend_server;
        std::erase_if(
            state.backends,
            [&](auto const& b) { return b.endpoint.backend_server == id; });
    }
}

auto router::load(core::service_id const& service) const -> service_load
{
    auto& self = *implementation_;
    auto& shard = self.shard_for(service);
    auto const lock = std::scoped_lock{shard.mutex};
    auto const found = shard.services.find(service);
    if (found == shard.services.end())
    {
        return {};
    }
    auto const& state = found->second;
    auto const weights =
        peer_weights(state, self.now(), self.settings.peer_silence);
    auto result = service_load{
        0, 0.0, to_duration(state.mean_ns), 0.0, weights.size() + 1};
    for (auto const& it : state.backends)
    {
        if (is_open(it))
        {
            ++result.usable;
            result.own_in_flight += it.in_flight;
            result.in_flight += it.in_flight + peers_in_flight(it, weights);
        }
    }
    return result;
}

} // namespace godwitcleat::coordination
