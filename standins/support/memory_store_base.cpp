/** @file memory_store_base.cpp In-process store with faults, for tests. */
#include "standins/support/memory_store_base.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace godwitcleat::standins
{

using coordination::store_commit;
using coordination::store_lease;
using coordination::store_range;
using coordination::store_transaction;
using coordination::store_write;

namespace
{

// Largest value that the platform's store holds.
constexpr std::size_t value_limit_bytes = 1024UL * 1024;

auto round_up(core::duration value) -> core::duration
{
    return std::max(
        std::chrono::ceil<std::chrono::seconds>(value),
        std::chrono::seconds{1});
}

auto caller_failure(store_fate fate) -> core::failure
{
    if (fate == store_fate::refused)
    {
        return {
            core::error_kind::unavailable,
            "The store is down; retry when it is back."};
    }
    return {
        core::error_kind::unknown_outcome,
        "The store's reply was lost; read the key back."};
}

} // namespace

auto to_string(store_call call) -> std::string_view
{
    switch (call)
    {
    case store_call::range: return "range";
    case store_call::commit: return "commit";
    case store_call::grant: return "grant";
    case store_call::keep_alive: return "keep_alive";
    case store_call::revoke: return "revoke";
    }
    return "range";
}

auto to_string(store_fate fate) -> std::string_view
{
    switch (fate)
    {
    case store_fate::answered: return "answered";
    case store_fate::refused: return "refused";
    case store_fate::reply_lost: return "reply_lost";
    case store_fate::request_lost: return "request_lost";
    case store_fate::applied_later: return "applied_later";
    case store_fate::late: return "late";
    }
    return "answered";
}

memory_store::memory_store(core::clock clock, memory_store_hooks hooks)
    : clock_(std::move(clock))
    , hooks_(std::move(hooks))
{
}

template <class Result>
auto memory_store::run(
    store_history_entry entry,
    std::function<std::optional<Result>(store_history_entry&)> effect,
    handler<Result> on_done) -> void
{
    auto task = [this, entry = std::move(entry), effect = std::move(effect),
                 on_done = std::move(on_done)]() mutable
    {
        auto result = std::optional<Result>{};
        auto reason = core::failure{};
        auto slow = false;
        {
            auto const lock = std::scoped_lock{mutex_};
            drop_due_leases();
            slow = faults_.slow;
            entry.fate = choose(entry.call);
            entry.at = clock_();
            if (entry.fate == store_fate::answered ||
                entry.fate == store_fate::reply_lost)
            {
                result = effect(entry);
                reason = core::last_reason();
                entry.succeeded = entry.succeeded || result.has_value();
            }
            if (entry.fate == store_fate::applied_later)
            {
                late_.push_back(entry.transaction);
            }
            if (entry.fate != store_fate::answered)
            {
                result.reset();
                reason = caller_failure(entry.fate);
            }
            entry.revision = revision_;
            record(entry);
        }
        auto deliver = [result = std::move(result), reason = std::move(reason),
                        on_done = std::move(on_done)]() mutable
        {
            if (!result)
            {
                core::fail(reason);
            }
            on_done(std::move(result));
        };
        if (!queue_if(slow, deliver))
        {
            deliver();
        }
    };
    auto held = false;
    {
        auto const lock = std::scoped_lock{mutex_};
        held = faults_.held;
    }
    if (!queue_if(held, task))
    {
        task();
    }
}

auto memory_store::queue_if(bool queued, std::function<void()> task) -> bool
{
    if (queued)
    {
        auto const lock = std::scoped_lock{mutex_};
        queue_.push_back(std::move(task));
    }
    return queued;
}

auto memory_store::choose(store_call call) -> store_fate
{
    if (faults_.down)
    {
        return store_fate::refused;
    }
    if (hooks_.choose_fate)
    {
        if (auto const fate = hooks_.choose_fate(call))
        {
            return *fate;
        }
    }
    if (call == store_call::range)
    {
        return store_fate::answered;
    }
    if (faults_.lose_replies > 0)
    {
        --faults_.lose_replies;
        return store_fate::reply_lost;
    }
    if (faults_.lose_requests > 0)
    {
        --faults_.lose_requests;
        return store_fate::request_lost;
    }
    if (call == store_call::commit && faults_.apply_later > 0)
    {
        --faults_.apply_later;
        return store_fate::applied_later;
    }
    return store_fate::answered;
}

auto memory_store::record(store_history_entry const& entry) -> void
{
    if (entry.fate != store_fate::late)
    {
        ++calls_.at(static_cast<std::size_t>(entry.call));
    }
    if (hooks_.on_call)
    {
        hooks_.on_call(entry);
    }
}

auto memory_store::range(
    coordination::store_query query, handler<store_range> on_done) -> void
{
    auto entry = store_history_entry{};
    entry.call = store_call::range;
    entry.key = std::move(query.key);
    entry.range_end = std::move(query.range_end);
    run<store_range>(
        std::move(entry),
        [this, limit = query.limit, after = query.changed_after](
            store_history_entry& call) -> std::optional<store_range>
        {
            auto result = store_range{};
            result.revision = revision_;
            for (auto it = entries_.lower_bound(call.key);
                 it != entries_.end() &&
                 (call.range_end.empty() ? it->first == call.key
                                         : it->first < call.range_end);
                 ++it)
            {
                ++result.count;
                if (it->second.entry.modify_revision <= after)
                {
                    continue;
                }
                if (limit > 0 &&
                    std::cmp_greater_equal(result.entries.size(), limit))
                {
                    result.more = true;
                    continue;
                }
                result.entries.push_back(it->second.entry);
            }
            return result;
        },
        std::move(on_done));
}

auto memory_store::commit(
    store_transaction transaction, handler<store_commit> on_done) -> void
{
    auto entry = store_history_entry{};
    entry.call = store_call::commit;
    entry.transaction = std::move(transaction);
    run<store_commit>(
        std::move(entry),
        [this](store_history_entry& call)
        {
            auto const result = apply(call.transaction);
            call.succeeded = result && result->succeeded;
            return result;
        },
        std::move(on_done));
}

auto memory_store::grant(
    core::duration time_to_live, handler<store_lease> on_done) -> void
{
    auto entry = store_history_entry{};
    entry.call = store_call::grant;
    run<store_lease>(
        std::move(entry),
        [this,
         time_to_live](store_history_entry& call) -> std::optional<store_lease>
        {
            call.lease = store_lease{next_lease_};
            auto value = store_change{};
            value.revision = revision_;
            value.granted = call.lease;
            value.time_to_live = round_up(time_to_live);
            return change(value) ? std::optional{call.lease} : std::nullopt;
        },
        std::move(on_done));
}

auto memory_store::keep_alive(store_lease lease, handler<store_lease> on_done)
    -> void
{
    auto entry = store_history_entry{};
    entry.call = store_call::keep_alive;
    entry.lease = lease;
    run<store_lease>(
        std::move(entry),
        [this](store_history_entry& call) -> std::optional<store_lease>
        {
            auto const it = leases_.find(call.lease);
            if (it == leases_.end())
            {
                return core::fail(
                    core::error_kind::not_found,
                    "The lease has lapsed; grant a new one.");
            }
            it->second.end = clock_() + it->second.time_to_live;
            return call.lease;
        },
        std::move(on_done));
}

auto memory_store::revoke(store_lease lease, handler<store_lease> on_done)
    -> void
{
    auto entry = store_history_entry{};
    entry.call = store_call::revoke;
    entry.lease = lease;
    run<store_lease>(
        std::move(entry),
        [this](store_history_entry& call) -> std::optional<store_lease>
        {
            if (!leases_.contains(call.lease))
            {
                return core::fail(
                    core::error_kind::not_found, "The lease has lapsed.");
            }
            return drop_lease(call.lease) ? std::optional{call.lease}
                                          : std::nullopt;
        },
        std::move(on_done));
}

auto memory_store::apply(store_transaction const& transaction)
    -> std::optional<store_commit>
{
    for (auto const& it : transaction.compares)
    {
        auto const found = entries_.find(it.key);
        auto const actual = found == entries_.end()
                                ? std::int64_t{0}
                                : found->second.entry.modify_revision;
        if (actual != it.modify_revision)
        {
            return store_commit{false, revision_};
        }
    }
    if (!test_writes(transaction))
    {
        return std::nullopt;
    }
    auto value = store_change{};
    value.revision = revision_ + 1;
    value.writes = transaction.writes;
    auto const changed = std::ranges::any_of(
        value.writes, [this](auto const& it) { return has_effect(it); });
    if (changed && !change(value))
    {
        return std::nullopt;
    }
    return store_commit{true, revision_};
}

auto memory_store::test_writes(store_transaction const& transaction) -> bool
{
    for (auto const& it : transaction.writes)
    {
        if (it.value && it.value->size() > value_limit_bytes)
        {
            core::fail(
                core::error_kind::invalid_input,
                "The value of \"" + it.key + "\" is larger than 1 MB.");
            return false;
        }
        if (it.value && it.lease.value != 0 && !leases_.contains(it.lease))
        {
            core::fail(
                core::error_kind::not_found,
                "The lease has lapsed; grant a new one.");
            return false;
        }
    }
    return true;
}

auto memory_store::has_effect(store_write const& value) const -> bool
{
    if (value.value || value.range_end.empty())
    {
        return value.value || entries_.contains(value.key);
    }
    auto const it = entries_.lower_bound(value.key);
    return it != entries_.end() && it->first < value.range_end;
}

auto memory_store::change(store_change const& value) -> bool
{
    if (hooks_.on_change && !hooks_.on_change(value))
    {
        core::fail(
            core::error_kind::unavailable,
            "The store cannot keep the change; check its data file.");
        return false;
    }
    carry_out(value);
    return true;
}

auto memory_store::carry_out(store_change const& value) -> void
{
    revision_ = value.revision;
    if (value.granted.value != 0)
    {
        leases_[value.granted] = {
            value.time_to_live, clock_() + value.time_to_live};
        next_lease_ = std::max(next_lease_, value.granted.value + 1);
    }
    for (auto const& it : value.writes)
    {
        write(it, value.revision);
    }
    if (value.ended.value != 0)
    {
        leases_.erase(value.ended);
        std::erase_if(
            entries_, [&value](auto const& it)
            { return it.second.lease == value.ended; });
    }
}

auto memory_store::restore(store_change const& change) -> void
{
    auto const lock = std::scoped_lock{mutex_};
    carry_out(change);
}

auto memory_store::write(store_write const& value, std::int64_t revision)
    -> void
{
    if (!value.value)
    {
        auto const first = entries_.lower_bound(value.key);
        auto const last = value.range_end.empty()
                              ? entries_.upper_bound(value.key)
                              : entries_.lower_bound(value.range_end);
        entries_.erase(first, last);
        return;
    }
    auto& it = entries_[value.key];
    if (it.entry.create_revision == 0)
    {
        it.entry.create_revision = revision;
    }
    it.entry.key = value.key;
    it.entry.value = *value.value;
    it.entry.modify_revision = revision;
    it.lease = value.lease;
}

auto memory_store::drop_lease(store_lease lease) -> bool
{
    auto const used = std::ranges::any_of(
        entries_, [lease](auto const& it) { return it.second.lease == lease; });
    auto value = store_change{};
    value.revision = revision_ + (used ? 1 : 0);
    value.ended = lease;
    return change(value);
}

auto memory_store::drop_due_leases() -> void
{
    auto due = std::vector<store_lease>{};
    auto const now = clock_();
    for (auto const& [id, it] : leases_)
    {
        if (it.end <= now)
        {
            due.push_back(id);
        }
    }
    for (auto const it : due)
    {
        drop_lease(it);
    }
}

auto memory_store::set_faults(store_faults faults) -> void
{
    auto const lock = std::scoped_lock{mutex_};
    faults_ = faults;
}

auto memory_store::step(std::size_t index) -> bool
{
    auto task = std::function<void()>{};
    {
        auto const lock = std::scoped_lock{mutex_};
        if (index >= queue_.size())
        {
            return false;
        }
        auto const it = queue_.begin() + static_cast<std::ptrdiff_t>(index);
        task = std::move(*it);
        queue_.erase(it);
    }
    task();
    return true;
}

auto memory_store::run_pending() -> std::size_t
{
    auto n = std::size_t{0};
    while (step())
    {
        ++n;
    }
    return n;
}

auto memory_store::pending() const -> std::size_t
{
    auto const lock = std::scoped_lock{mutex_};
    return queue_.size();
}

auto memory_store::apply_late() -> bool
{
    auto const lock = std::scoped_lock{mutex_};
    if (late_.empty())
    {
        return false;
    }
    drop_due_leases();
    auto entry = store_history_entry{};
    entry.call = store_call::commit;
    entry.fate = store_fate::late;
    entry.at = clock_();
    entry.transaction = std::move(late_.front());
    late_.pop_front();
    auto const result = apply(entry.transaction);
    entry.succeeded = result && result->succeeded;
    entry.revision = revision_;
    record(entry);
    return true;
}

auto memory_store::expire(store_lease lease) -> void
{
    auto const lock = std::scoped_lock{mutex_};
    drop_lease(lease);
}

auto memory_store::expire_due() -> void
{
    auto const lock = std::scoped_lock{mutex_};
    drop_due_leases();
}

auto memory_store::calls(store_call call) const -> std::uint64_t
{
    auto const lock = std::scoped_lock{mutex_};
    return calls_.at(static_cast<std::size_t>(call));
}

auto memory_store::peek(std::string const& key) const
    -> std::optional<coordination::store_entry>
{
    auto const lock = std::scoped_lock{mutex_};
    auto const it = entries_.find(key);
    if (it == entries_.end())
    {
        return std::nullopt;
    }
    return it->second.entry;
}

auto memory_store::size() const -> std::size_t
{
    auto const lock = std::scoped_lock{mutex_};
    return entries_.size();
}

} // namespace godwitcleat::standins
