/** @file ownership_base.cpp Which shards this instance owns. */
#include "coordination/ownership_base.hpp"

#include "coordination/key_func.hpp"
#include "coordination/ordered_hook_internal.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <set>
#include <utility>

namespace godwitcleat::coordination
{

namespace
{

/** A shard that this instance holds. Owner and epoch key were put by one
 *  transaction, so both have the same modify_revision. */
struct held_shard
{
    core::epoch owner_epoch;
    std::int64_t revision = 0;
    ownership_state announced = ownership_state::owned;
};

/** The keys of one shard as the last poll returned them. */
struct polled_shard
{
    std::optional<store_entry> owner;
    core::epoch owner_epoch;
    std::int64_t epoch_revision = 0;
    std::vector<shard_holder> holders; ///< Owner of the epoch, then former.
};

// Bounds the epoch key's value; more instances than this never share a shard.
constexpr std::size_t most_holders = 32;

using polled_shards = std::map<core::shard_id, polled_shard>;

auto text_of_line(std::string_view text, std::size_t line) -> std::string_view
{
    for (std::size_t i = 0; i < line; ++i)
    {
        auto const end = text.find('\n');
        text = end == std::string_view::npos ? "" : text.substr(end + 1);
    }
    return text.substr(0, text.find('\n'));
}

auto instance_of(store_entry const& owner) -> core::instance_id
{
    return core::instance_id{std::string{text_of_line(owner.value, 0)}};
}

// The value of an epoch key: the epoch, then one line `INSTANCE BOOT` for each
// holder.
auto epoch_value(
    core::epoch owner_epoch, std::vector<shard_holder> const& holders)
    -> std::string
{
    auto result = std::to_string(owner_epoch.value);
    for (auto const& it : holders)
    {
        result += "\n" + it.instance.value + " " + it.boot_id;
    }
    return result;
}

auto parse_holders(std::string_view value) -> std::vector<shard_holder>
{
    auto result = std::vector<shard_holder>{};
    for (std::size_t i = 1; i <= most_holders; ++i)
    {
        auto const line = text_of_line(value, i);
        auto const blank = line.find(' ');
        if (blank == std::string_view::npos)
        {
            break;
        }
        result.push_back(
            {core::instance_id{std::string{line.substr(0, blank)}},
             std::string{line.substr(blank + 1)}});
    }
    return result;
}

// Returns the holders after @p next takes over. A later process of an instance
// replaces an earlier one, which must have died to free its addresses.
auto succeeded_by(shard_holder next, std::vector<shard_holder> holders)
    -> std::vector<shard_holder>
{
    std::erase_if(
        holders,
        [&next](auto const& it) { return it.instance == next.instance; });
    holders.insert(holders.begin(), std::move(next));
    holders.resize(std::min(holders.size(), most_holders));
    return holders;
}

auto former_of(std::vector<shard_holder> holders) -> std::vector<shard_holder>
{
    if (!holders.empty())
    {
        holders.erase(holders.begin());
    }
    return holders;
}

auto add_entry(polled_shards& shards, store_entry entry) -> void
{
    auto const path =
        std::string_view{entry.key}.substr(ownership_prefix().size());
    auto const slash = path.find('/');
    auto const number = trailing_number(path.substr(0, slash));
    if (slash == std::string_view::npos || !number)
    {
        return;
    }
    auto& it = shards[core::shard_id{*number}];
    if (path.substr(slash) == "/epoch")
    {
        it.owner_epoch = core::epoch{
            trailing_number(text_of_line(entry.value, 0)).value_or(0)};
        it.holders = parse_holders(entry.value);
        it.epoch_revision = entry.modify_revision;
    }
    else
    {
        it.owner = std::move(entry);
    }
}

} // namespace

auto to_string(ownership_state value) -> std::string_view
{
    switch (value)
    {
    case ownership_state::owned: return "owned";
    case ownership_state::unconfirmed: return "unconfirmed";
    case ownership_state::lost: return "lost";
    }
    return "lost";
}

struct ownership::implementation
    : public std::enable_shared_from_this<ownership::implementation>
{
    implementation(
        store& platform, core::clock clock, core::logger const& log,
        core::instance_id instance, std::string boot_id,
        ownership_settings settings, ownership_hooks hooks)
        : platform(platform)
        , clock(std::move(clock))
        , log(log.with_prefix("shard"))
        , instance(std::move(instance))
        , boot_id(std::move(boot_id))
        , settings(settings)
        , changes(std::move(hooks.on_change))
        , live{this->instance.value}
    {
    }

    /** Wraps a handler that must not run after destruction. */
    template <class Handler>
    auto guarded(Handler handler)
    {
        return [self = weak_from_this(), handler = std::move(handler)](auto arg)
        {
            auto const alive = self.lock();
            if (alive && !alive->closed)
            {
                handler(*alive, std::move(arg));
            }
        };
    }

    /** Notes whether the store answered; call with the handler's result. */
    auto note_answer(bool has_result, bool is_renewal = false) -> void;
    auto identity(store_lease lease) const -> std::string;
    auto state_now(core::time_point now) const -> ownership_state;
    auto lease_length() const -> core::duration;
    auto rank_of(core::shard_id shard) const -> std::size_t;
    auto proposed(core::shard_id shard) const -> core::instance_id;

    auto hold(
        core::shard_id shard, held_shard value,
        std::vector<shard_holder> const& holders) -> void;
    auto lose(core::shard_id shard, std::string_view cause) -> void;
    auto lose_all(std::string_view cause) -> void;
    auto announce(core::time_point now) -> void;

    auto grant() -> void;
    auto renew(store_lease lease) -> void;
    auto poll() -> void;
    auto on_poll(store_range const& found) -> void;
    auto check_held(
        core::shard_id shard, polled_shard const& it, std::int64_t revision)
        -> void;
    auto check_own_key(core::shard_id shard, polled_shard const& it) -> void;
    auto check_absent(core::shard_id shard, polled_shard const& it) -> void;
    auto rebalance(polled_shards const& shards) -> void;
    auto take(core::shard_id shard, polled_shard const& it) -> void;
    auto on_taken(
        core::shard_id shard, core::epoch owner_epoch, store_lease lease,
        std::vector<shard_holder> const& holders,
        std::optional<store_commit> result) -> void;
    auto delete_owner_key(core::shard_id shard, std::int64_t revision) -> void;
    auto finish_leaving() -> void;
    auto run_actions() -> void;

    store& platform;
    core::clock clock;
    core::logger log;
    core::instance_id instance;
    std::string boot_id;
    ownership_settings settings;
    std::atomic<bool> closed = false;
    ordered_hook<shard_ownership> changes;

    mutable std::mutex mutex;
    std::vector<std::string> live; ///< Sorted.
    std::map<core::shard_id, held_shard> held;
    std::map<core::shard_id, core::instance_id> owners;
    /** Owner keys up to this revision are given up and must be deleted. */
    std::map<core::shard_id, std::int64_t> given_up;
    std::map<core::shard_id, core::time_point> absent_since;
    std::map<core::shard_id, core::instance_id> handed_to;
    std::map<core::instance_id, core::time_point> avoid_until;
    std::set<core::shard_id> taking;
    /** Store calls to make once the lock is released. */
    std::vector<std::function<void()>> actions;
    std::optional<store_lease> current_lease;
    core::time_point renewed_at; ///< Sending of the last good renewal.
    core::time_point next_renew;
    core::time_point next_grant;
    core::time_point next_poll;
    core::time_point next_rebalance;
    bool renewing = false;
    bool granting = false;
    bool polling = false;
    bool reachable = true;
    bool leaving = false;
    bool revoking = false;
    std::function<void()> on_left;
};

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

auto ownership::implementation::poll() -> void
{
    platform.range(
        ownership_prefix(), prefix_end(ownership_prefix()), 0,
        guarded(
            [](implementation& self, std::optional<store_range> const& found)
            {
                {
                    auto const lock = std::scoped_lock{self.mutex};
                    self.note_answer(found.has_value());
                    self.polling = false;
                    if (found)
                    {
                        self.on_poll(*found);
                    }
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
