/** @file peers_base.cpp The other daemons: membership, state, requests. */
#include "coordination/peers_base.hpp"

#include "coordination/peer_changes_func.hpp"

#include <algorithm>
#include <utility>

namespace godwitcleat::coordination
{

namespace
{

// Turns a reply frame into a reply; an error_reply becomes a failure.
auto decode_reply(std::optional<std::string> const& payload)
    -> std::optional<protocol::peer_reply>
{
    if (!payload)
    {
        return std::nullopt;
    }
    auto reply = protocol::decode<protocol::peer_reply>(*payload);
    if (!reply)
    {
        return std::nullopt;
    }
    if (auto const* error = std::get_if<protocol::error_reply>(&*reply))
    {
        return core::fail(error->kind, error->message);
    }
    return reply;
}

// A peer that leaves or restarts may still send older tables of a shard; only
// a higher epoch, or a higher version of the same epoch, replaces a table.
auto is_newer(
    protocol::endpoint_table const& table,
    std::pair<core::epoch, std::uint64_t> const& known) -> bool
{
    return std::pair{table.owner_epoch, table.version} > known;
}

auto owns_below(
    protocol::peer_update const& update, core::shard_id shard,
    core::epoch current) -> bool
{
    return std::any_of(
        update.shards.begin(), update.shards.end(),
        [&](auto const& it)
        { return it.shard == shard && it.owner_epoch < current; });
}

} // namespace

auto make_peer_call(transport::frame_client& client) -> peer_call
{
    return [&client](
               transport::endpoint const& where,
               protocol::peer_request const& request, core::duration timeout,
               auto on_done)
    {
        client.call(
            where, protocol::encode(request), timeout,
            [on_done =
                 std::move(on_done)](std::optional<std::string> const& payload)
            { on_done(decode_reply(payload)); });
    };
}

peer_set::peer_set(
    core::instance_id self, peer_settings settings, peer_hooks hooks,
    core::logger const& log)
    : self_(std::move(self))
    , settings_(settings)
    , hooks_(std::move(hooks))
    , log_(log.with_prefix("peer"))
{
}

auto peer_set::add_addresses(std::span<transport::endpoint const> addresses)
    -> void
{
    auto const lock = std::scoped_lock{mutex_};
    addresses_.insert(addresses.begin(), addresses.end());
}

auto peer_set::tick(core::time_point now) -> void
{
    auto update = hooks_.own_update();
    auto targets = std::vector<transport::endpoint>{};
    {
        auto const lock = std::scoped_lock{mutex_};
        update.number = ++number_;
        update.seen = seen_epochs(update);
        for (auto const& it : addresses_)
        {
            // A slow peer gets one update at a time, so that updates cannot
            // pile up.
            if (in_flight_.insert(it).second)
            {
                targets.push_back(it);
            }
        }
        for (auto& [id, peer] : peers_)
        {
            auto const suspect = is_suspect(peer, now);
            if (suspect != std::exchange(peer.suspect, suspect))
            {
                log_.warn(
                    suspect ? "Peer is silent." : "Peer is back.",
                    {{"peer", id.value}});
            }
        }
    }
    auto const tables = std::exchange(update.tables, {});
    auto const state =
        std::make_shared<protocol::peer_update const>(std::move(update));
    for (auto const& it : targets)
    {
        send_update(it, state, tables);
    }
}

auto peer_set::make_request(
    peer_link const& link, protocol::peer_update const& update,
    std::span<protocol::endpoint_table const> tables) const
    -> protocol::peer_request
{
    auto missing = std::vector<protocol::endpoint_table>{};
    for (auto const& it : tables)
    {
        auto const known = link.known.find(it.shard);
        if (known == link.known.end() || is_newer(it, known->second))
        {
            missing.push_back(it);
        }
    }
    if (link.state == nullptr)
    {
        auto whole = update;
        whole.tables = std::move(missing);
        return whole;
    }
    auto changes = changes_between(*link.state, update);
    changes.tables = std::move(missing);
    changes.known_version = link.known_version;
    return changes;
}

auto peer_set::send_update(
    transport::endpoint const& address, update_pointer const& update,
    std::span<protocol::endpoint_table const> tables) -> void
{
    auto link = peer_link{};
    {
        auto const lock = std::scoped_lock{mutex_};
        link = links_[address];
    }
    hooks_.call(
        address, make_request(link, *update, tables), settings_.call_timeout,
        [this, address,
         update](std::optional<protocol::peer_reply> const& reply)
        {
            auto const* const answer =
                reply ? std::get_if<protocol::peer_update_reply>(&*reply)
                      : nullptr;
            handle_reply(address, update, answer);
        });
}

auto peer_set::handle_reply(
    transport::endpoint const& address, update_pointer const& sent,
    protocol::peer_update_reply const* reply) -> void
{
    auto const lock = std::scoped_lock{mutex_};
    in_flight_.erase(address);
    if (reply != nullptr && reply->instance == self_)
    {
        addresses_.erase(address);
        return;
    }
    auto& link = links_[address];
    if (reply == nullptr || reply->number != sent->number)
    {
        // Without a reply it is not known which state the peer holds.
        link = {};
        return;
    }
    link.state = sent;
    if (!reply->known)
    {
        return;
    }
    link.known_version = reply->known_version;
    link.known.clear();
    for (auto const& it : *reply->known)
    {
        link.known[it.shard] = {it.owner_epoch, it.version};
    }
}

auto peer_set::received(protocol::peer_update update, core::time_point now)
    -> protocol::peer_update_reply
{
    auto reply = protocol::peer_update_reply{};
    reply.instance = self_;
    if (update.instance == self_)
    {
        return reply;
    }
    {
        auto const lock = std::scoped_lock{mutex_};
        auto const& kept = peers_[update.instance].update;
        if (kept.boot_id == update.boot_id && kept.number > update.number)
        {
            // It was delayed on the way.
            reply.number = kept.number;
            return reply;
        }
        apply(update, now);
        reply.number = update.number;
        reply.known_version = known_version_;
        reply.known = known_tables();
    }
    hooks_.on_update(update);
    return reply;
}

auto peer_set::received(protocol::peer_changes changes, core::time_point now)
    -> protocol::peer_update_reply
{
    auto reply = protocol::peer_update_reply{};
    reply.instance = self_;
    auto update = protocol::peer_update{};
    {
        auto const lock = std::scoped_lock{mutex_};
        auto const it = peers_.find(changes.instance);
        if (it == peers_.end() ||
            it->second.update.boot_id != changes.boot_id ||
            it->second.update.number != changes.base)
        {
            return reply;
        }
        auto const sender_has = changes.known_version;
        update = with_changes(it->second.update, std::move(changes));
        apply(update, now);
        reply.number = update.number;
        reply.known_version = known_version_;
        if (sender_has != known_version_)
        {
            reply.known = known_tables();
        }
    }
    hooks_.on_update(update);
    return reply;
}

auto peer_set::apply(protocol::peer_update& update, core::time_point now)
    -> void
{
    take_tables(update.tables);
    auto& peer = peers_[update.instance];
    if (peer.update.boot_id != update.boot_id)
    {
        peer.process_seen = now;
    }
    if (!peer.update.boot_id.empty() && peer.update.boot_id != update.boot_id)
    {
        log_.info("Peer has restarted.", {{"peer", update.instance.value}});
        // The new process holds no state and none of the tables.
        links_.erase(peer.address);
    }
    auto const tables = std::exchange(update.tables, {});
    peer.update = update;
    update.tables = tables;
    peer.last_seen = now;
    if (auto const where = transport::parse_endpoint(update.peer_address))
    {
        peer.address = *where;
        addresses_.insert(*where);
    }
}

auto peer_set::take_tables(std::vector<protocol::endpoint_table>& tables)
    -> void
{
    std::erase_if(
        tables,
        [this](auto const& table)
        {
            auto const it = known_here_.find(table.shard);
            return it != known_here_.end() && !is_newer(table, it->second);
        });
    for (auto const& it : tables)
    {
        known_here_[it.shard] = {it.owner_epoch, it.version};
        ++known_version_;
    }
}

auto peer_set::known_tables() const -> std::vector<protocol::endpoint_table>
{
    auto result = std::vector<protocol::endpoint_table>{};
    for (auto const& [shard, version] : known_here_)
    {
        result.push_back({shard, version.first, version.second, {}});
    }
    return result;
}

auto peer_set::is_suspect(peer_info const& peer, core::time_point now) const
    -> bool
{
    return now - peer.last_seen > settings_.suspect_after;
}

auto peer_set::peers(core::time_point now) const -> std::vector<peer_info>
{
    auto const lock = std::scoped_lock{mutex_};
    auto result = std::vector<peer_info>{};
    for (auto const& [id, peer] : peers_)
    {
        result.push_back(peer);
        result.back().suspect = is_suspect(peer, now);
    }
    return result;
}

auto peer_set::live_instances(core::time_point now) const
    -> std::vector<std::string>
{
    auto const lock = std::scoped_lock{mutex_};
    auto result = std::vector<std::string>{self_.value};
    for (auto const& [id, peer] : peers_)
    {
        if (!is_suspect(peer, now) && !peer.update.leaving)
        {
            result.push_back(id.value);
        }
    }
    std::sort(result.begin(), result.end());
    return result;
}

auto peer_set::owner_of(core::shard_id shard, core::time_point now) const
    -> std::optional<shard_owner>
{
    auto const lock = std::scoped_lock{mutex_};
    auto best = std::optional<shard_owner>{};
    for (auto const& [id, peer] : peers_)
    {
        for (auto const& it : peer.update.shards)
        {
            auto const better = !best || it.owner_epoch > best->owner_epoch;
            if (it.shard == shard && better && !is_suspect(peer, now))
            {
                best = shard_owner{
                    id, it.owner_epoch, peer.address,
                    peer.update.control_address};
            }
        }
    }
    if (!best)
    {
        return core::fail(
            core::error_kind::unavailable,
            "no live instance is known to own the shard; retry in a few "
            "seconds");
    }
    return best;
}

auto peer_set::summaries(core::time_point now) const
    -> std::vector<state::shard_summary>
{
    auto const lock = std::scoped_lock{mutex_};
    auto newest = std::map<core::shard_id, state::shard_summary>{};
    for (auto const& [id, peer] : peers_)
    {
        if (is_suspect(peer, now))
        {
            continue;
        }
        for (auto const& it : peer.update.summaries)
        {
            auto& kept = newest[it.shard];
            if (kept.owner_epoch <= it.owner_epoch)
            {
                kept = it;
            }
        }
    }
    auto result = std::vector<state::shard_summary>{};
    for (auto& [shard, summary] : newest)
    {
        result.push_back(std::move(summary));
    }
    return result;
}

auto peer_set::has_stepped_down(
    core::instance_id const& instance, std::string const& boot_id,
    core::shard_id shard, core::epoch current) const -> bool
{
    auto const lock = std::scoped_lock{mutex_};
    auto const it = peers_.find(instance);
    if (it == peers_.end())
    {
        return false;
    }
    auto const& update = it->second.update;
    auto const acknowledged = std::any_of(
        update.seen.begin(), update.seen.end(),
        [&](auto const& seen)
        { return seen.shard == shard && seen.owner_epoch >= current; });
    return acknowledged &&
           (update.boot_id != boot_id || !owns_below(update, shard, current));
}

auto peer_set::first_heard(
    core::instance_id const& instance, std::string const& boot_id) const
    -> std::optional<core::time_point>
{
    auto const lock = std::scoped_lock{mutex_};
    auto const it = peers_.find(instance);
    if (it == peers_.end() || it->second.update.boot_id != boot_id)
    {
        return core::fail(
            core::error_kind::not_found,
            "this process of the instance has not been heard; wait for its "
            "update");
    }
    return it->second.process_seen;
}

auto peer_set::seen_epochs(protocol::peer_update const& own) const
    -> std::vector<protocol::owned_shard>
{
    auto highest = std::map<core::shard_id, core::epoch>{};
    auto const add = [&highest](auto const& shards)
    {
        for (auto const& it : shards)
        {
            auto& kept = highest[it.shard];
            kept = std::max(kept, it.owner_epoch);
        }
    };
    add(own.shards);
    for (auto const& [id, peer] : peers_)
    {
        add(peer.update.shards);
    }
    auto result = std::vector<protocol::owned_shard>{};
    for (auto const& [shard, owner_epoch] : highest)
    {
        result.push_back({shard, owner_epoch});
    }
    return result;
}

} // namespace godwitcleat::coordination
