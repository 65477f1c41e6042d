/** @file ownership_base.cpp Which shards this instance owns. */
#include "coordination/key_func.hpp"
#include "coordination/ownership_internal.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace godwitcleat::coordination
{

auto ownership::implementation::note_answer(bool has_result, bool is_renewal)
    -> void
{
    auto const kind = core::last_reason().kind;
    auto const answered =
        has_result || (kind != core::error_kind::unavailable &&
                       kind != core::error_kind::unknown_outcome);
    auto const lapsed = current_lease && clock() - renewed_at >= lease_length();
    if (answered && !reachable && lapsed && !is_renewal)
    {
        // After an outage the renewal tells whether the lease has survived.
        next_renew = clock();
        return;
    }
    reachable = answered;
}

auto ownership::implementation::identity(store_lease lease) const -> std::string
{
    return fmt::format("{}\n{}\n{}", instance.value, boot_id, lease.value);
}

auto ownership::implementation::lease_length() const -> core::duration
{
    return std::chrono::duration_cast<core::duration>(
        settings.lease * (1.0 - settings.clock_rate_margin));
}

auto ownership::implementation::state_now(core::time_point now) const
    -> ownership_state
{
    if (!current_lease)
    {
        return ownership_state::lost;
    }
    if (now - renewed_at < settings.unconfirmed_after)
    {
        return ownership_state::owned;
    }
    // A lease that lapsed while the store was reachable, for example because
    // this process was paused, may have gone to another owner. While the store
    // is down, nobody else can take the shards.
    auto const lapsed = now - renewed_at >= lease_length();
    return lapsed && reachable ? ownership_state::lost
                               : ownership_state::unconfirmed;
}

auto ownership::implementation::rank_of(core::shard_id shard) const
    -> std::size_t
{
    auto names = live;
    auto rank = std::size_t{0};
    while (!names.empty())
    {
        auto const best = core::rendezvous_choice(names, shard.value);
        if (names.at(best) == instance.value)
        {
            return rank;
        }
        names.erase(names.begin() + static_cast<std::ptrdiff_t>(best));
        ++rank;
    }
    return rank;
}

auto ownership::implementation::proposed(core::shard_id shard) const
    -> core::instance_id
{
    return core::instance_id{
        live.at(core::rendezvous_choice(live, shard.value))};
}

auto ownership::implementation::hold(
    core::shard_id shard, held_shard value,
    std::vector<shard_holder> const& holders) -> void
{
    held[shard] = value;
    changes.push(
        {shard, ownership_state::owned, value.owner_epoch, value.revision,
         former_of(holders)});
    log.info(
        "Shard taken.",
        {{"shard", shard.value}, {"epoch", value.owner_epoch.value}});
}

auto ownership::implementation::lose(
    core::shard_id shard, std::string_view cause) -> void
{
    auto const it = held.find(shard);
    if (it == held.end())
    {
        return;
    }
    auto const former = it->second;
    held.erase(it);
    given_up[shard] = former.revision;
    changes.push(
        {shard,
         ownership_state::lost,
         former.owner_epoch,
         former.revision,
         {}});
    log.info(
        "Shard given up.", {{"shard", shard.value},
                            {"epoch", former.owner_epoch.value},
                            {"cause", cause}});
}

auto ownership::implementation::lose_all(std::string_view cause) -> void
{
    while (!held.empty())
    {
        lose(held.begin()->first, cause);
    }
}

auto ownership::implementation::announce(core::time_point now) -> void
{
    auto const state = state_now(now);
    for (auto& [shard, it] : held)
    {
        if (it.announced != state)
        {
            it.announced = state;
            changes.push({shard, state, it.owner_epoch, it.revision, {}});
        }
    }
}

auto ownership::implementation::grant() -> void
{
    auto const sent_at = clock();
    platform.grant(
        settings.lease,
        guarded(
            [sent_at](implementation& self, std::optional<store_lease> result)
            {
                auto const lock = std::scoped_lock{self.mutex};
                self.note_answer(result.has_value());
                self.granting = false;
                self.next_grant = self.clock() + self.settings.retry_interval;
                if (result && !self.leaving)
                {
                    self.current_lease = result;
                    self.renewed_at = sent_at;
                    self.next_renew = sent_at + self.settings.renew_interval;
                }
            }));
}

auto ownership::implementation::renew(store_lease lease) -> void
{
    auto const sent_at = clock();
    platform.keep_alive(
        lease,
        guarded(
            [lease,
             sent_at](implementation& self, std::optional<store_lease> result)
            {
                {
                    auto const lock = std::scoped_lock{self.mutex};
                    self.note_answer(result.has_value(), true);
                    self.renewing = false;
                    if (self.current_lease != lease)
                    {
                        return;
                    }
                    self.next_renew =
                        result ? sent_at + self.settings.renew_interval
                               : self.clock() + self.settings.retry_interval;
                    if (result)
                    {
                        self.renewed_at = sent_at;
                    }
                    else if (
                        core::last_reason().kind == core::error_kind::not_found)
                    {
                        self.current_lease.reset();
                        self.lose_all("the store lease has lapsed");
                    }
                }
                self.changes.drain();
            }));
}

auto ownership::implementation::finish_leaving() -> void
{
    auto call = std::function<void()>{};
    {
        auto const lock = std::scoped_lock{mutex};
        revoking = false;
        current_lease.reset();
        std::swap(call, on_left);
    }
    if (call)
    {
        call();
    }
}

auto ownership::implementation::run_actions() -> void
{
    changes.drain();
    auto calls = std::vector<std::function<void()>>{};
    {
        auto const lock = std::scoped_lock{mutex};
        calls.swap(actions);
    }
    for (auto const& it : calls)
    {
        it();
    }
}

ownership::ownership(
    store& platform, core::clock clock, core::logger const& log,
    core::instance_id instance, std::string boot_id,
    ownership_settings settings, ownership_hooks hooks)
    : implementation_(std::make_shared<implementation>(
          platform, std::move(clock), log, std::move(instance),
          std::move(boot_id), settings, std::move(hooks)))
{
}

ownership::~ownership()
{
    implementation_->closed = true;
}

auto ownership::set_live(std::vector<core::instance_id> const& instances)
    -> void
{
    auto& self = *implementation_;
    auto names = std::set<std::string>{self.instance.value};
    for (auto const& it : instances)
    {
        names.insert(it.value);
    }
    auto const lock = std::scoped_lock{self.mutex};
    self.live.assign(names.begin(), names.end());
}

auto ownership::tick() -> void
{
    auto& self = *implementation_;
    {
        auto const lock = std::scoped_lock{self.mutex};
        auto const now = self.clock();
        if (self.current_lease && !self.leaving &&
            self.state_now(now) == ownership_state::lost)
        {
            self.lose_all("the store lease may have lapsed");
            self.actions.emplace_back(
                [&self, lease = *self.current_lease]
                { self.platform.revoke(lease, [](auto) {}); });
            self.current_lease.reset();
        }
        self.announce(now);
        if (!self.current_lease && !self.granting && !self.leaving &&
            now >= self.next_grant)
        {
            self.granting = true;
            self.actions.emplace_back([&self] { self.grant(); });
        }
        if (self.current_lease && !self.renewing && !self.leaving &&
            now >= self.next_renew)
        {
            self.renewing = true;
            self.actions.emplace_back([&self, lease = *self.current_lease]
                                      { self.renew(lease); });
        }
        if (!self.polling && !self.leaving && now >= self.next_poll)
        {
            self.polling = true;
            self.next_poll = now + self.settings.poll_interval;
            self.actions.emplace_back([&self] { self.poll(); });
        }
        if (self.leaving && self.current_lease && !self.revoking &&
            now >= self.next_renew)
        {
            self.revoking = true;
            self.next_renew = now + self.settings.retry_interval;
            auto const lapsed = now - self.renewed_at >= self.settings.lease;
            self.actions.emplace_back(
                [&self, lapsed, lease = *self.current_lease]
                {
                    if (lapsed)
                    {
                        return self.finish_leaving();
                    }
                    self.platform.revoke(
                        lease,
                        self.guarded(
                            [](implementation& it,
                               std::optional<store_lease> done)
                            {
                                auto const gone =
                                    done || core::last_reason().kind ==
                                                core::error_kind::not_found;
                                if (gone)
                                {
                                    return it.finish_leaving();
                                }
                                auto const held = std::scoped_lock{it.mutex};
                                it.revoking = false;
                            }));
                });
        }
    }
    self.run_actions();
}

auto ownership::observe(core::shard_id shard, core::epoch seen) -> void
{
    auto& self = *implementation_;
    {
        auto const lock = std::scoped_lock{self.mutex};
        auto const it = self.held.find(shard);
        if (it != self.held.end() && it->second.owner_epoch < seen)
        {
            self.lose(shard, "a higher epoch was seen");
        }
    }
    self.changes.drain();
}

auto ownership::release(core::shard_id shard) -> void
{
    auto& self = *implementation_;
    {
        auto const lock = std::scoped_lock{self.mutex};
        auto const it = self.held.find(shard);
        if (it == self.held.end())
        {
            return;
        }
        auto const revision = it->second.revision;
        self.lose(shard, "released");
        self.delete_owner_key(shard, revision);
    }
    self.run_actions();
}

auto ownership::leave(std::function<void()> on_done) -> void
{
    auto& self = *implementation_;
    auto nothing_to_do = false;
    {
        auto const lock = std::scoped_lock{self.mutex};
        self.leaving = true;
        self.lose_all("this instance is leaving");
        self.next_renew = self.clock();
        nothing_to_do = !self.current_lease;
        self.on_left = std::move(on_done);
    }
    self.changes.drain();
    if (nothing_to_do)
    {
        self.finish_leaving();
    }
    tick();
}

auto ownership::find(core::shard_id shard) const -> shard_ownership
{
    auto const& self = *implementation_;
    auto const lock = std::scoped_lock{self.mutex};
    auto const it = self.held.find(shard);
    if (it == self.held.end())
    {
        return {shard, ownership_state::lost, {}, 0, {}};
    }
    return {
        shard,
        self.state_now(self.clock()),
        it->second.owner_epoch,
        it->second.revision,
        {}};
}

auto ownership::held() const -> std::vector<shard_ownership>
{
    auto const& self = *implementation_;
    auto const lock = std::scoped_lock{self.mutex};
    auto result = std::vector<shard_ownership>{};
    auto const state = self.state_now(self.clock());
    for (auto const& [shard, it] : self.held)
    {
        if (state != ownership_state::lost)
        {
            result.push_back({shard, state, it.owner_epoch, it.revision, {}});
        }
    }
    return result;
}

auto ownership::owners() const -> std::map<core::shard_id, core::instance_id>
{
    auto const lock = std::scoped_lock{implementation_->mutex};
    return implementation_->owners;
}

auto ownership::store_reachable() const -> bool
{
    auto const lock = std::scoped_lock{implementation_->mutex};
    return implementation_->reachable;
}

} // namespace godwitcleat::coordination
