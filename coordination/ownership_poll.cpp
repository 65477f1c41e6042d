/** @file ownership_poll.cpp Finding, taking and handing over shards. */
#include "coordination/key_func.hpp"
#include "coordination/ownership_internal.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace godwitcleat::coordination
{

auto ownership::implementation::poll() -> void
{
    auto query = store_query{};
    {
        auto const lock = std::scoped_lock{mutex};
        query = keys.query();
    }
    platform.range(
        std::move(query),
        guarded(
            [](implementation& self, std::optional<store_range> const& found)
            {
                auto is_whole = true;
                {
                    auto const lock = std::scoped_lock{self.mutex};
                    self.note_answer(found.has_value());
                    is_whole = !found || self.keys.update(*found);
                    self.polling = !is_whole;
                    if (found && is_whole)
                    {
                        self.on_poll(self.keys.content());
                    }
                }
                if (!is_whole)
                {
                    // A key was deleted; read all of them at once, because the
                    // shard may have no owner.
                    self.poll();
                    return;
                }
                self.run_actions();
            }));
}

auto ownership::implementation::on_poll(store_range const& found) -> void
{
    auto shards = polled_shards{};
    for (std::uint32_t i = 0; i < settings.shard_count; ++i)
    {
        shards[core::shard_id{i}];
    }
    for (auto const& it : found.entries)
    {
        add_entry(shards, it);
    }
    owners.clear();
    for (auto const& [shard, it] : shards)
    {
        if (it.owner)
        {
            owners[shard] = instance_of(*it.owner);
            absent_since.erase(shard);
            if (owners[shard] != instance)
            {
                handed_to.erase(shard);
            }
        }
        if (shard.value >= settings.shard_count || taking.contains(shard))
        {
            continue;
        }
        if (held.contains(shard))
        {
            check_held(shard, it, found.revision);
        }
        else if (it.owner)
        {
            check_own_key(shard, it);
        }
        else
        {
            check_absent(shard, it);
        }
    }
    rebalance(shards);
}

auto ownership::implementation::check_held(
    core::shard_id shard, polled_shard const& it, std::int64_t revision) -> void
{
    auto const& mine = held.at(shard);
    if (revision < mine.revision)
    {
        return; // Read before the take-over.
    }
    if (it.epoch_revision != mine.revision || !it.owner ||
        it.owner->modify_revision != mine.revision)
    {
        lose(shard, "another owner or no owner key in the store");
    }
}

// The store names this process as the owner of a shard that it does not hold:
// the reply to a take-over was lost, or the shard was given up and the key is
// still there.
auto ownership::implementation::check_own_key(
    core::shard_id shard, polled_shard const& it) -> void
{
    auto const& value = it.owner->value;
    if (text_of_line(value, 0) != instance.value ||
        text_of_line(value, 1) != boot_id)
    {
        return;
    }
    auto const revision = it.owner->modify_revision;
    auto const former = given_up.find(shard);
    auto const current =
        !leaving && current_lease && value == identity(*current_lease) &&
        it.epoch_revision == revision &&
        (former == given_up.end() || former->second < revision);
    if (current && state_now(clock()) == ownership_state::owned)
    {
        hold(shard, {it.owner_epoch, revision}, it.holders);
    }
    else if (!current)
    {
        // The same epoch is never held twice: a batch of its former engine
        // could still take effect beside the new one.
        delete_owner_key(shard, revision);
    }
}

auto ownership::implementation::check_absent(
    core::shard_id shard, polled_shard const& it) -> void
{
    auto const now = clock();
    auto const since = absent_since.try_emplace(shard, now).first->second;
    if (leaving || state_now(now) != ownership_state::owned)
    {
        return;
    }
    auto const rank = static_cast<core::duration::rep>(rank_of(shard));
    if (now - since >= settings.candidate_delay * rank)
    {
        take(shard, it);
    }
}

auto ownership::implementation::rebalance(polled_shards const& shards) -> void
{
    auto const now = clock();
    auto const unowned = std::any_of(
        shards.begin(), shards.end(),
        [](auto const& it) { return !it.second.owner; });
    if (leaving || unowned || now < next_rebalance ||
        state_now(now) != ownership_state::owned)
    {
        return;
    }
    auto counts = std::map<core::instance_id, std::size_t>{};
    for (auto const& [shard, owner] : owners)
    {
        ++counts[owner];
    }
    for (auto const& [shard, mine] : held)
    {
        auto const target = proposed(shard);
        if (target == instance || now < avoid_until[target] ||
            held.size() <= counts[target] + 1)
        {
            continue;
        }
        next_rebalance = now + settings.rebalance_interval;
        handed_to[shard] = target;
        auto const revision = mine.revision;
        auto const moved = shard;
        lose(moved, "handed over for balance");
        delete_owner_key(moved, revision);
        return;
    }
}

auto ownership::implementation::take(
    core::shard_id shard, polled_shard const& it) -> void
{
    taking.insert(shard);
    auto const lease = *current_lease;
    auto const next = it.owner_epoch.next();
    auto const holders = succeeded_by({instance, boot_id}, it.holders);
    auto transaction = store_transaction{
        {{owner_key(shard), 0}, {epoch_key(shard), it.epoch_revision}},
        {{epoch_key(shard), epoch_value(next, holders), "", {}},
         {owner_key(shard), identity(lease), "", lease}}};
    actions.emplace_back(
        [this, shard, next, lease, holders, transaction]
        {
            platform.commit(
                transaction,
                guarded(
                    [shard, next, lease, holders](
                        implementation& self,
                        std::optional<store_commit> result)
                    { self.on_taken(shard, next, lease, holders, result); }));
        });
}

auto ownership::implementation::on_taken(
    core::shard_id shard, core::epoch owner_epoch, store_lease lease,
    std::vector<shard_holder> const& holders,
    std::optional<store_commit> result) -> void
{
    {
        auto const lock = std::scoped_lock{mutex};
        note_answer(result.has_value());
        taking.erase(shard);
        if (result && result->succeeded && current_lease == lease && !leaving)
        {
            absent_since.erase(shard);
            hold(shard, {owner_epoch, result->revision}, holders);
            if (auto const it = handed_to.find(shard); it != handed_to.end())
            {
                avoid_until[it->second] = clock() + settings.avoid_interval;
            }
        }
        handed_to.erase(shard);
        if (!result)
        {
            // The next poll shows whether the take-over took effect.
            next_poll = clock();
        }
    }
    changes.drain();
}

auto ownership::implementation::delete_owner_key(
    core::shard_id shard, std::int64_t revision) -> void
{
    actions.emplace_back(
        [this, shard, revision]
        {
            platform.commit(
                {{{owner_key(shard), revision}},
                 {{owner_key(shard), std::nullopt, "", {}}}},
                guarded(
                    [](implementation& self, std::optional<store_commit> result)
                    {
                        // If it failed, the next poll finds the key again.
                        auto const lock = std::scoped_lock{self.mutex};
                        self.note_answer(result.has_value());
                    }));
        });
}

} // namespace godwitcleat::coordination
