/** @file term_base.cpp Which instance owns the jobs, and its writes. */
#include "coordination/term_base.hpp"

#include "coordination/guarded_internal.hpp"
#include "coordination/key_func.hpp"
#include "coordination/watched_range_base.hpp"

#include <fmt/format.h>

#include <charconv>
#include <mutex>
#include <utility>

namespace godwitcleat::coordination
{

namespace
{

/** Value of the term key. */
struct term_value
{
    std::uint64_t term = 0;
    std::uint64_t writes = 0; ///< Writes of this term so far.
};

auto to_text(term_value const& value) -> std::string
{
    return fmt::format("{}.{}", value.term, value.writes);
}

auto parse_term(std::string_view text) -> std::optional<term_value>
{
    auto result = term_value{};
    auto const* const end = text.data() + text.size();
    auto const first = std::from_chars(text.data(), end, result.term);
    if (first.ec != std::errc{} || first.ptr == end || *first.ptr != '.')
    {
        return std::nullopt;
    }
    auto const second = std::from_chars(first.ptr + 1, end, result.writes);
    if (second.ec != std::errc{} || second.ptr != end)
    {
        return std::nullopt;
    }
    return result;
}

// Version of the rules by which an owner grants leases: they end with its
// writes (1), and only a process of a worker that the owner knows gets them
// (2).
constexpr auto lease_rules = 2;

} // namespace

struct term_keeper::implementation : guarded_base<term_keeper::implementation>
{
    enum class phase
    {
        following, ///< Another instance owns the jobs, or none does.
        taking,    ///< Trying to become the owner.
        owning,
        left
    };

    implementation(
        store& source, transport::reactor& event_loop, core::clock reader,
        core::logger lines, std::string const& prefix,
        protocol::owner_record own, term_settings figures, term_hooks calls)
        : target(source)
        , loop(event_loop)
        , clock(std::move(reader))
        , log(std::move(lines))
        , live_prefix(prefix + "live/")
        , owner_key(live_prefix + "owner")
        , candidate_key(live_prefix + "candidate")
        , member_key(live_prefix + "member/" + own.instance.value)
        , term_key(prefix + "term")
        , lease_limit_key(prefix + "lease-limit")
        , self(std::move(own))
        , settings(figures)
        , hooks(std::move(calls))
    {
    }

    /** Begins to follow what the instances write; once. */
    auto follow() -> void
    {
        followed.emplace(
            target, loop, clock, log, live_prefix, watched_range_settings{},
            guarded([](auto& keeper, range_entries const& it)
                    { keeper.take_live(it); }));
        followed->start();
    }

    /** Returns true if no other process owns the jobs; needs the lock. */
    [[nodiscard]] auto is_free() const -> bool
    {
        // A record of this instance with another boot id is that of an earlier
        // process, which has ended.
        return !named || (named->instance == self.instance &&
                          named->boot_id != self.boot_id);
    }

    /** Returns true if this process has begun a term after @p number. */
    [[nodiscard]] auto is_over(std::uint64_t number) const -> bool
    {
        auto const lock = std::scoped_lock{mutex};
        return current.term != number;
    }

    /** Returns true while this process owns the jobs in term @p number. */
    [[nodiscard]] auto owns(std::uint64_t number) const -> bool
    {
        auto const lock = std::scoped_lock{mutex};
        return state == phase::owning && current.term == number;
    }

    auto take_live(range_entries const& entries) -> void;
    auto is_asked_to_yield(range_entries const& entries) -> bool;
    auto ask_for_jobs() -> void;
    auto yield() -> void;
    auto take_members(range_entries const& entries) -> void;
    auto publish() -> void;
    auto try_to_take() -> void;
    auto grant() -> void;
    auto read_term(store_lease granted, core::time_point sent) -> void;
    auto read_lease_limit(
        store_lease granted, core::time_point sent, store_range term) -> void;
    auto take(
        store_lease granted, core::time_point sent, store_range const& term,
        store_range const& lease_limit) -> void;
    /** Returns the value of the lease limit key for a term. */
    [[nodiscard]] auto lease_limit_text(std::uint64_t number) const
        -> std::string
    {
        auto const ms = std::chrono::duration_cast<std::chrono::milliseconds>(
            settings.lease_after_write);
        return fmt::format("{}.{}.{}", number, ms.count(), lease_rules);
    }
    auto taken(
        std::optional<store_commit> answer, store_lease granted,
        core::time_point sent, term_value const& next) -> void;
    auto check_taken(
        store_lease granted, core::time_point sent, term_value const& next)
        -> void;
    auto
    own(store_lease granted, core::time_point sent, term_value const& next,
        std::int64_t revision) -> void;
    auto give_up(store_lease granted) -> void;
    auto retry_later() -> void;
    auto renew() -> void;
    auto renewed(
        std::optional<store_lease> answer, store_lease held,
        core::time_point sent) -> void;
    auto take_again() -> void;
    auto read_own_term(
        std::uint64_t in_term, store_lease granted, core::time_point sent,
        int tries) -> void;
    auto restore_owner_key(
        std::uint64_t in_term, store_lease granted, core::time_point sent,
        int tries, std::int64_t revision) -> void;
    auto end_restored_lease(std::uint64_t in_term, store_lease granted) -> void;
    auto resume_writes(std::uint64_t in_term) -> void;
    auto lose(std::string_view cause) -> void;
    auto send_write(std::uint64_t in_term) -> void;
    auto written(std::optional<store_commit> answer, std::uint64_t in_term)
        -> void;
    auto check_written(std::uint64_t in_term) -> void;
    auto finish_write(write_result result) -> void;

    store& target;
    transport::reactor& loop;
    core::clock clock;
    core::logger log;
    std::string live_prefix;
    std::string owner_key;
    std::string candidate_key; ///< Names an instance that asks for the jobs.
    std::string member_key;
    std::string term_key;
    /** Names the last term whose leases are bound to its writes, and the limit.
     */
    std::string lease_limit_key;
    protocol::owner_record self;
    term_settings settings;
    term_hooks hooks;

    mutable std::mutex mutex;
    phase state = phase::following;
    std::optional<protocol::owner_record> named; ///< By the owner key.
    std::int64_t named_revision = 0;
    std::vector<protocol::owner_record> members; ///< Without this instance.
    store_lease lease;
    core::time_point valid_until;
    std::optional<core::time_point> free_since; ///< No owner was seen since.
    std::int64_t owned_revision = 0;            ///< Of the take-over.
    term_value current;
    std::int64_t term_revision = 0;
    /** When the former owner's last write had been carried out; unset if its
     *  leases are not bound to its writes. */
    std::optional<core::time_point> former_write_by;
    core::time_point last_write; ///< Result of term_keeper::last_write_at().
    core::time_point write_sent; ///< First time that the open write was sent.
    /** The owner key is being restored. Writes wait, as each one moves the
     *  revision of the term key. */
    bool taking_again = false;
    bool write_waits = false; ///< Until `taking_again` is false.

    std::vector<store_write> writes;
    std::function<void(write_result)> on_written;
    bool maybe_written = false;

    transport::timer_handle publish_timer;
    transport::timer_handle retry_timer;
    transport::timer_handle ask_timer;
    transport::timer_handle renew_timer;
    transport::timer_handle write_timer;
    transport::timer_handle restore_timer;
    std::optional<watched_range> followed;
};

auto term_keeper::implementation::take_members(range_entries const& entries)
    -> void
{
    auto const prefix = live_prefix + "member/";
    auto found = std::vector<protocol::owner_record>{};
    auto published = false;
    for (auto it = entries.lower_bound(prefix);
         it != entries.end() && it->first.starts_with(prefix); ++it)
    {
        auto record =
            protocol::decode<protocol::owner_record>(it->second.value);
        if (!record)
        {
            log.warn(
                "The record of an instance cannot be read.",
                {{"key", it->first}});
            continue;
        }
        if (record->instance == self.instance)
        {
            published = record->boot_id == self.boot_id;
            continue;
        }
        found.push_back(std::move(*record));
    }
    auto leaves = false;
    {
        auto const lock = std::scoped_lock{mutex};
        members = std::move(found);
        leaves = state == phase::left;
    }
    if (!published && !leaves)
    {
        publish();
    }
}

auto term_keeper::implementation::publish() -> void
{
    auto record = self;
    record.term = {};
    auto transaction = store_transaction{};
    transaction.writes = {{member_key, protocol::encode(record), "", {}}};
    target.commit(
        std::move(transaction),
        guarded(
            [](auto& it, auto answer)
            {
                if (!answer)
                {
                    it.publish_timer = it.later(
                        it.loop, it.settings.renew_interval,
                        [](auto& keeper) { keeper.publish(); });
                }
            }));
}

auto term_keeper::implementation::take_live(range_entries const& entries)
    -> void
{
    take_members(entries);
    auto lost = false;
    {
        auto const lock = std::scoped_lock{mutex};
        auto const it = entries.find(owner_key);
        named.reset();
        named_revision = 0;
        if (it != entries.end())
        {
            named = protocol::decode<protocol::owner_record>(it->second.value);
            named_revision = it->second.modify_revision;
        }
        // A record that is older than the own term is a late view.
        lost = state == phase::owning && named &&
               named->boot_id != self.boot_id &&
               named->term.value > current.term;
    }
    if (lost)
    {
        lose("the store names another owner");
    }
    if (is_asked_to_yield(entries))
    {
        return yield();
    }
    try_to_take();
    ask_for_jobs();
}

auto term_keeper::implementation::is_asked_to_yield(
    range_entries const& entries) -> bool
{
    auto const it = entries.find(candidate_key);
    if (it == entries.end())
    {
        return false;
    }
    auto const candidate =
        protocol::decode<protocol::owner_record>(it->second.value);
    auto const lock = std::scoped_lock{mutex};
    // An older request was made to a former owner.
    return candidate && state == phase::owning && is_weaker(self, *candidate) &&
           it->second.modify_revision > owned_revision;
}

// Asks a weaker owner to hand the jobs over, again and again while it is one.
auto term_keeper::implementation::ask_for_jobs() -> void
{
    {
        auto const lock = std::scoped_lock{mutex};
        if (state != phase::following || !named || !is_weaker(*named, self))
        {
            return;
        }
        ask_timer = later(
            loop, settings.preference.ask_interval,
            [](auto& it) { it.ask_for_jobs(); });
    }
    target.grant(
        settings.lease,
        guarded(
            [](auto& it, auto granted)
            {
                if (!granted)
                {
                    return; // It is asked for again.
                }
                auto record = it.self;
                record.term = {};
                auto transaction = store_transaction{};
                // One candidate at a time is enough.
                transaction.compares = {{it.candidate_key, 0}};
                transaction.writes = {
                    {it.candidate_key, protocol::encode(record), "", *granted}};
                it.target.commit(std::move(transaction), [](auto) {});
            }));
}

auto term_keeper::implementation::yield() -> void
{
    auto held = store_lease{};
    {
        auto const lock = std::scoped_lock{mutex};
        held = lease;
    }
    lose("an instance with more processors asks for the jobs");
    target.revoke(held, [](auto) {});
}

auto term_keeper::implementation::try_to_take() -> void
{
    {
        auto const lock = std::scoped_lock{mutex};
        if (state != phase::following || !is_free())
        {
            free_since.reset();
            return;
        }
        free_since = free_since.value_or(clock());
        // The jobs that this instance's earlier process owned are its own.
        auto const wait =
            named ? core::duration{}
                  : wait_before_taking(self, members, settings.preference);
        auto const waited = clock() - *free_since;
        if (waited < wait)
        {
            retry_timer =
                later(loop, wait - waited, [](auto& it) { it.try_to_take(); });
            return;
        }
        state = phase::taking;
    }
    grant();
}

auto term_keeper::implementation::grant() -> void
{
    auto const sent = clock();
    target.grant(
        settings.lease, guarded(
                            [sent](auto& it, auto answer)
                            {
                                if (!answer)
                                {
                                    return it.retry_later();
                                }
                                it.read_term(*answer, sent);
                            }));
}

auto term_keeper::implementation::read_term(
    store_lease granted, core::time_point sent) -> void
{
    target.range(
        term_key, "", 1,
        guarded(
            [granted, sent](auto& it, auto answer)
            {
                if (!answer)
                {
                    return it.retry_later();
                }
                it.read_lease_limit(granted, sent, std::move(*answer));
            }));
}

auto term_keeper::implementation::read_lease_limit(
    store_lease granted, core::time_point sent, store_range term) -> void
{
    target.range(
        lease_limit_key, "", 1,
        guarded(
            [granted, sent, term = std::move(term)](auto& it, auto answer)
            {
                if (!answer)
                {
                    return it.retry_later();
                }
                it.take(granted, sent, term, *answer);
            }));
}

auto term_keeper::implementation::take(
    store_lease granted, core::time_point sent, store_range const& term,
    store_range const& lease_limit) -> void
{
    auto next = term_value{1, 0};
    auto revision = std::int64_t{0};
    if (!term.entries.empty())
    {
        auto const value = parse_term(term.entries.front().value);
        if (!value)
        {
            log.error(
                "The term in the store cannot be read; delete the key.",
                {{"key", term_key}});
            return retry_later();
        }
        next.term = value->term + 1;
        revision = term.entries.front().modify_revision;
    }
    auto transaction = store_transaction{};
    auto taken_meanwhile = false;
    {
        auto const lock = std::scoped_lock{mutex};
        // The owner key may have been written since the lease was asked for.
        taken_meanwhile = !is_free();
        self.term = core::epoch{next.term};
        // An owner of an earlier release grants leases without writing, or by
        // calls that another process of the worker may take.
        former_write_by.reset();
        if (!lease_limit.entries.empty() && lease_limit.entries.front().value ==
                                                lease_limit_text(next.term - 1))
        {
            former_write_by = target.reached_by(revision).value_or(clock());
        }
        transaction.compares = {
            {owner_key, named_revision}, {term_key, revision}};
        transaction.writes = {
            {owner_key, protocol::encode(self), "", granted},
            {term_key, to_text(next), "", {}},
            {lease_limit_key, lease_limit_text(next.term), "", {}}};
    }
    if (taken_meanwhile)
    {
        target.revoke(granted, [](auto) {});
        return retry_later();
    }
    target.commit(
        std::move(transaction),
        guarded([granted, sent, next](auto& it, auto answer)
                { it.taken(std::move(answer), granted, sent, next); }));
}

auto term_keeper::implementation::taken(
    std::optional<store_commit> answer, store_lease granted,
    core::time_point sent, term_value const& next) -> void
{
    if (answer && answer->succeeded)
    {
        return own(granted, sent, next, answer->revision);
    }
    auto const unknown =
        !answer && core::last_reason().kind != core::error_kind::unavailable;
    if (unknown)
    {
        return check_taken(granted, sent, next);
    }
    target.revoke(granted, [](auto) {});
    retry_later();
}

auto term_keeper::implementation::check_taken(
    store_lease granted, core::time_point sent, term_value const& next) -> void
{
    target.range(
        term_key, "", 1,
        guarded(
            [granted, sent, next](auto& it, auto answer)
            {
                auto const ours =
                    answer && !answer->entries.empty() &&
                    answer->entries.front().value == to_text(next);
                if (!ours)
                {
                    return it.give_up(granted);
                }
                // The value does not tell who wrote it; the owner key does.
                auto const revision = answer->entries.front().modify_revision;
                it.target.range(
                    it.owner_key, "", 1,
                    it.guarded(
                        [granted, sent, next,
                         revision](auto& keeper, auto owner)
                        {
                            auto const named =
                                owner && !owner->entries.empty()
                                    ? protocol::decode<protocol::owner_record>(
                                          owner->entries.front().value)
                                    : std::nullopt;
                            if (named &&
                                named->boot_id == keeper.self.boot_id &&
                                named->term.value == next.term)
                            {
                                return keeper.own(
                                    granted, sent, next, revision);
                            }
                            keeper.give_up(granted);
                        }));
            }));
}

// The take-over may still be carried out. Under its lease it would name this
// instance as the owner beside a later take-over with another lease.
auto term_keeper::implementation::give_up(store_lease granted) -> void
{
    target.revoke(
        granted, guarded(
                     [granted](auto& it, auto answer)
                     {
                         if (answer)
                         {
                             return it.retry_later();
                         }
                         it.retry_timer = it.later(
                             it.loop, it.settings.retry_interval,
                             [granted](auto& keeper)
                             { keeper.give_up(granted); });
                     }));
}

auto term_keeper::implementation::own(
    store_lease granted, core::time_point sent, term_value const& next,
    std::int64_t revision) -> void
{
    // A write of an earlier term can have no effect any more.
    finish_write(write_result::lost);
    {
        auto const lock = std::scoped_lock{mutex};
        if (state != phase::taking)
        {
            return;
        }
        write_timer = {};
        taking_again = false;
        write_waits = false;
        state = phase::owning;
        lease = granted;
        valid_until = sent + settings.lease - settings.margin;
        current = next;
        term_revision = revision;
        owned_revision = revision;
        last_write = sent;
        free_since.reset();
        named = self;
        renew_timer =
            later(loop, settings.renew_interval, [](auto& it) { it.renew(); });
    }
    log.info("This instance owns the jobs.", {{"term", next.term}});
    hooks.on_acquired(core::epoch{next.term}, former_write_by);
}

auto term_keeper::implementation::retry_later() -> void
{
    auto const lock = std::scoped_lock{mutex};
    if (state != phase::taking)
    {
        return;
    }
    state = phase::following;
    retry_timer = later(
        loop, settings.retry_interval, [](auto& it) { it.try_to_take(); });
}

auto term_keeper::implementation::renew() -> void
{
    auto const sent = clock();
    auto held = store_lease{};
    {
        auto const lock = std::scoped_lock{mutex};
        if (state != phase::owning)
        {
            return;
        }
        held = lease;
        renew_timer =
            later(loop, settings.renew_interval, [](auto& it) { it.renew(); });
    }
    target.keep_alive(
        held, guarded([held, sent](auto& it, auto answer)
                      { it.renewed(std::move(answer), held, sent); }));
}

auto term_keeper::implementation::renewed(
    std::optional<store_lease> answer, store_lease held, core::time_point sent)
    -> void
{
    {
        auto const lock = std::scoped_lock{mutex};
        if (held != lease)
        {
            return; // The owner key was restored with another lease meanwhile.
        }
    }
    if (answer)
    {
        auto const lock = std::scoped_lock{mutex};
        if (state == phase::owning)
        {
            valid_until =
                std::max(valid_until, sent + settings.lease - settings.margin);
        }
        return;
    }
    if (core::last_reason().kind == core::error_kind::not_found)
    {
        take_again();
    }
}

// The lease has lapsed. The term goes on if no other instance has begun one.
auto term_keeper::implementation::take_again() -> void
{
    // The write without an outcome may move the term key once meanwhile.
    constexpr auto max_tries = 2;
    auto in_term = std::uint64_t{0};
    {
        auto const lock = std::scoped_lock{mutex};
        valid_until = core::time_point{};
        if (state != phase::owning || std::exchange(taking_again, true))
        {
            return;
        }
        in_term = current.term;
    }
    log.warn("The owner's lease has lapsed.", {{"term", in_term}});
    auto const sent = clock();
    target.grant(
        settings.lease,
        guarded(
            [in_term, sent](auto& it, auto granted)
            {
                if (!granted)
                {
                    return it.resume_writes(in_term);
                }
                it.read_own_term(in_term, *granted, sent, max_tries);
            }));
}

auto term_keeper::implementation::read_own_term(
    std::uint64_t in_term, store_lease granted, core::time_point sent,
    int tries) -> void
{
    target.range(
        term_key, "", 1,
        guarded(
            [in_term, granted, sent, tries](auto& it, auto answer)
            {
                if (!answer || !it.owns(in_term))
                {
                    it.target.revoke(granted, [](auto) {});
                    return it.resume_writes(in_term);
                }
                auto const value =
                    answer->entries.empty()
                        ? std::nullopt
                        : parse_term(answer->entries.front().value);
                if (tries == 0 || !value || value->term != in_term)
                {
                    it.target.revoke(granted, [](auto) {});
                    it.lose("another instance has taken the jobs");
                    return it.resume_writes(in_term);
                }
                it.restore_owner_key(
                    in_term, granted, sent, tries,
                    answer->entries.front().modify_revision);
            }));
}

auto term_keeper::implementation::restore_owner_key(
    std::uint64_t in_term, store_lease granted, core::time_point sent,
    int tries, std::int64_t revision) -> void
{
    auto transaction = store_transaction{};
    transaction.compares = {{owner_key, 0}, {term_key, revision}};
    transaction.writes = {{owner_key, protocol::encode(self), "", granted}};
    target.commit(
        std::move(transaction),
        guarded(
            [in_term, granted, sent, tries](auto& it, auto answer)
            {
                if (answer && !answer->succeeded)
                {
                    return it.read_own_term(in_term, granted, sent, tries - 1);
                }
                auto restored = false;
                if (answer)
                {
                    auto const lock = std::scoped_lock{it.mutex};
                    restored =
                        it.state == phase::owning && it.current.term == in_term;
                    if (restored)
                    {
                        it.lease = granted;
                        it.valid_until =
                            sent + it.settings.lease - it.settings.margin;
                    }
                }
                if (!restored)
                {
                    return it.end_restored_lease(in_term, granted);
                }
                it.resume_writes(in_term);
            }));
}

// The owner key may have been written with this lease, or may still be. Nobody
// could take the jobs until it lapses.
auto term_keeper::implementation::end_restored_lease(
    std::uint64_t in_term, store_lease granted) -> void
{
    target.revoke(
        granted, guarded(
                     [in_term, granted](auto& it, auto answer)
                     {
                         auto const ended =
                             answer || core::last_reason().kind ==
                                           core::error_kind::not_found;
                         if (ended)
                         {
                             return it.resume_writes(in_term);
                         }
                         it.restore_timer = it.later(
                             it.loop, it.settings.retry_interval,
                             [in_term, granted](auto& keeper)
                             { keeper.end_restored_lease(in_term, granted); });
                     }));
}

auto term_keeper::implementation::resume_writes(std::uint64_t in_term) -> void
{
    auto waits = false;
    {
        auto const lock = std::scoped_lock{mutex};
        if (current.term != in_term)
        {
            return;
        }
        taking_again = false;
        waits = std::exchange(write_waits, false);
    }
    if (waits)
    {
        send_write(in_term);
    }
}

auto term_keeper::implementation::lose(std::string_view cause) -> void
{
    {
        auto const lock = std::scoped_lock{mutex};
        if (state != phase::owning)
        {
            return;
        }
        state = phase::following;
        valid_until = core::time_point{};
    }
    log.warn(
        "This instance no longer owns the jobs.",
        {{"term", current.term}, {"cause", cause}});
    hooks.on_lost(cause);
    retry_timer = later(
        loop, settings.retry_interval, [](auto& it) { it.try_to_take(); });
}

auto term_keeper::implementation::send_write(std::uint64_t in_term) -> void
{
    auto transaction = store_transaction{};
    {
        auto const lock = std::scoped_lock{mutex};
        if (current.term != in_term)
        {
            return;
        }
        if (taking_again)
        {
            write_waits = true;
            return;
        }
        transaction.compares = {{term_key, term_revision}};
        transaction.writes = writes;
        transaction.writes.push_back(
            {term_key, to_text({current.term, current.writes + 1}), "", {}});
    }
    target.commit(
        std::move(transaction),
        guarded([in_term](auto& it, auto answer)
                { it.written(std::move(answer), in_term); }));
}

auto term_keeper::implementation::written(
    std::optional<store_commit> answer, std::uint64_t in_term) -> void
{
    if (is_over(in_term))
    {
        return;
    }
    if (answer && answer->succeeded)
    {
        auto const lock = std::unique_lock{mutex};
        term_revision = answer->revision;
        last_write = write_sent;
        ++current.writes;
    }
    if (answer)
    {
        return answer->succeeded ? finish_write(write_result::stored)
                                 : check_written(in_term);
    }
    auto const kind = core::last_reason().kind;
    auto const not_done = kind == core::error_kind::unavailable ||
                          kind == core::error_kind::invalid_input;
    if (kind == core::error_kind::invalid_input)
    {
        log.error(
            "The store refuses a write as malformed.",
            {{"reason", core::last_reason().message}});
    }
    if (not_done && !maybe_written)
    {
        return finish_write(write_result::not_stored);
    }
    // The write may still happen, so that only the same one may follow.
    maybe_written = maybe_written || !not_done;
    write_timer = later(
        loop, settings.write_retry,
        [in_term](auto& it) { it.send_write(in_term); });
}

auto term_keeper::implementation::check_written(std::uint64_t in_term) -> void
{
    target.range(
        term_key, "", 1,
        guarded(
            [in_term](auto& it, auto answer)
            {
                if (it.is_over(in_term))
                {
                    return;
                }
                if (!answer)
                {
                    it.write_timer = it.later(
                        it.loop, it.settings.write_retry,
                        [in_term](auto& keeper)
                        { keeper.check_written(in_term); });
                    return;
                }
                auto const expected =
                    to_text({it.current.term, it.current.writes + 1});
                if (!answer->entries.empty() &&
                    answer->entries.front().value == expected)
                {
                    {
                        auto const lock = std::scoped_lock{it.mutex};
                        it.term_revision =
                            answer->entries.front().modify_revision;
                        it.last_write = it.write_sent;
                        ++it.current.writes;
                    }
                    return it.finish_write(write_result::stored);
                }
                it.finish_write(write_result::lost);
                it.lose("a write was refused");
            }));
}

auto term_keeper::implementation::finish_write(write_result result) -> void
{
    auto call = std::function<void(write_result)>{};
    {
        auto const lock = std::scoped_lock{mutex};
        call = std::exchange(on_written, nullptr);
        writes.clear();
        maybe_written = false;
    }
    if (call)
    {
        call(result);
    }
}

term_keeper::term_keeper(
    store& target, transport::reactor& loop, core::clock clock,
    core::logger log, std::string const& key_prefix,
    protocol::owner_record self, term_settings settings, term_hooks hooks)
    : implementation_(std::make_shared<implementation>(
          target, loop, std::move(clock), std::move(log), key_prefix,
          std::move(self), settings, std::move(hooks)))
{
}

term_keeper::~term_keeper()
{
    implementation_->closed = true;
}

auto term_keeper::start() -> void
{
    implementation_->follow();
}

auto term_keeper::leave(std::function<void()> on_done) -> void
{
    auto was_owner = false;
    auto held = store_lease{};
    {
        auto const lock = std::scoped_lock{implementation_->mutex};
        was_owner = implementation_->state == implementation::phase::owning;
        implementation_->state = implementation::phase::left;
        implementation_->valid_until = core::time_point{};
        held = implementation_->lease;
    }
    auto transaction = store_transaction{};
    transaction.writes = {{implementation_->member_key, std::nullopt, "", {}}};
    implementation_->target.commit(std::move(transaction), [](auto) {});
    if (!was_owner)
    {
        return on_done();
    }
    implementation_->target.revoke(
        held, [on_done = std::move(on_done)](auto) { on_done(); });
}

auto term_keeper::step_down(std::string_view cause) -> void
{
    implementation_->lose(cause);
}

auto term_keeper::is_valid() const -> bool
{
    auto const now = implementation_->clock();
    auto const lock = std::scoped_lock{implementation_->mutex};
    return implementation_->state == implementation::phase::owning &&
           now < implementation_->valid_until;
}

auto term_keeper::last_write_at() const -> core::time_point
{
    auto const lock = std::scoped_lock{implementation_->mutex};
    return implementation_->last_write;
}

auto term_keeper::owner() const -> std::optional<protocol::owner_record>
{
    auto const lock = std::scoped_lock{implementation_->mutex};
    return implementation_->named;
}

auto term_keeper::members() const -> std::vector<protocol::owner_record>
{
    auto const lock = std::scoped_lock{implementation_->mutex};
    return implementation_->members;
}

auto term_keeper::write(
    std::vector<store_write> writes, std::function<void(write_result)> on_done)
    -> void
{
    auto in_term = std::uint64_t{0};
    {
        auto const lock = std::scoped_lock{implementation_->mutex};
        implementation_->writes = std::move(writes);
        implementation_->on_written = std::move(on_done);
        implementation_->maybe_written = false;
        implementation_->write_sent = implementation_->clock();
        in_term = implementation_->current.term;
    }
    implementation_->send_write(in_term);
}

} // namespace godwitcleat::coordination
