/** @file peer_changes_func.cpp Differences between states of one daemon. */
#include "coordination/peer_changes_func.hpp"

#include <algorithm>
#include <map>
#include <span>
#include <tuple>
#include <utility>

namespace godwitcleat::coordination
{

namespace
{

auto is_same(state::shard_summary const& a, state::shard_summary const& b)
    -> bool
{
    auto const members = [](state::shard_summary const& it)
    {
        return std::tie(
            it.shard, it.owner_epoch, it.largest_free, it.largest_capacity,
            it.team_use);
    };
    return members(a) == members(b);
}

auto changed_summaries(
    std::span<state::shard_summary const> base,
    std::span<state::shard_summary const> present)
    -> std::vector<state::shard_summary>
{
    auto result = std::vector<state::shard_summary>{};
    for (auto const& it : present)
    {
        auto const known = std::any_of(
            base.begin(), base.end(),
            [&it](auto const& former) { return is_same(it, former); });
        if (!known)
        {
            result.push_back(it);
        }
    }
    return result;
}

using load_counts = std::map<core::backend_server_id, std::uint32_t>;

auto counts_of(std::span<protocol::backend_load const> loads) -> load_counts
{
    auto result = load_counts{};
    for (auto const& it : loads)
    {
        result[it.backend_server] = it.in_flight;
    }
    return result;
}

auto changed_loads(
    std::span<protocol::backend_load const> base,
    std::span<protocol::backend_load const> present)
    -> std::vector<protocol::backend_load>
{
    auto former = counts_of(base);
    auto result = std::vector<protocol::backend_load>{};
    for (auto const& it : present)
    {
        auto const known = former.extract(it.backend_server);
        if (known.empty() || known.mapped() != it.in_flight)
        {
            result.push_back(it);
        }
    }
    for (auto const& [id, count] : former)
    {
        result.push_back({id, 0});
    }
    return result;
}

auto merge_summaries(
    std::vector<state::shard_summary>& into,
    std::vector<state::shard_summary> changed) -> void
{
    for (auto& it : changed)
    {
        auto const known = std::find_if(
            into.begin(), into.end(),
            [&it](auto const& former) { return former.shard == it.shard; });
        if (known == into.end())
        {
            into.push_back(std::move(it));
        }
        else
        {
            *known = std::move(it);
        }
    }
}

// A summary is kept for as long as its shard is owned.
auto drop_summaries_of_others(protocol::peer_update& update) -> void
{
    std::erase_if(
        update.summaries,
        [&update](auto const& summary)
        {
            return std::none_of(
                update.shards.begin(), update.shards.end(),
                [&summary](auto const& it)
                { return it.shard == summary.shard; });
        });
}

auto merge_loads(
    std::vector<protocol::backend_load>& into,
    std::span<protocol::backend_load const> changed) -> void
{
    auto counts = counts_of(into);
    for (auto const& it : changed)
    {
        counts[it.backend_server] = it.in_flight;
    }
    into.clear();
    for (auto const& [id, count] : counts)
    {
        if (count > 0)
        {
            into.push_back({id, count});
        }
    }
}

} // namespace

auto changes_between(
    protocol::peer_update const& base, protocol::peer_update const& present)
    -> protocol::peer_changes
{
    auto result = protocol::peer_changes{};
    result.instance = present.instance;
    result.boot_id = present.boot_id;
    result.base = base.number;
    result.number = present.number;
    result.leaving = present.leaving;
    result.store_reachable = present.store_reachable;
    result.config = present.config;
    if (present.shards != base.shards)
    {
        result.shards = present.shards;
    }
    result.summaries = changed_summaries(base.summaries, present.summaries);
    result.loads = changed_loads(base.loads, present.loads);
    if (present.seen != base.seen)
    {
        result.seen = present.seen;
    }
    return result;
}

auto with_changes(protocol::peer_update base, protocol::peer_changes changes)
    -> protocol::peer_update
{
    base.number = changes.number;
    base.leaving = changes.leaving;
    base.store_reachable = changes.store_reachable;
    base.config = changes.config;
    if (changes.shards)
    {
        base.shards = std::move(*changes.shards);
    }
    merge_summaries(base.summaries, std::move(changes.summaries));
    drop_summaries_of_others(base);
    base.tables = std::move(changes.tables);
    merge_loads(base.loads, changes.loads);
    if (changes.seen)
    {
        base.seen = std::move(*changes.seen);
    }
    return base;
}

} // namespace godwitcleat::coordination
