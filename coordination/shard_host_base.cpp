/** @file shard_host_base.cpp The shards that this instance owns. */
#include "coordination/shard_host_internal.hpp"

#include <algorithm>
#include <utility>

namespace godwitcleat::coordination
{

namespace
{

// A silent worker must not hide changes of the others, such as a drain, for
// longer. Several heartbeats (500 ms) fit in.
constexpr auto longest_table_wait = std::chrono::seconds{2};

} // namespace

shard_host::shard_host(
    shard_host_settings settings, shard_host_hooks hooks,
    core::logger const& log)
    : settings_(settings)
    , hooks_(std::move(hooks))
    , log_(log.with_prefix("shard"))
{
}

shard_host::~shard_host() = default;

auto shard_host::find(core::shard_id shard) const -> entry_pointer
{
    auto const lock = std::scoped_lock{mutex_};
    auto const it = entries_.find(shard);
    return it == entries_.end() ? nullptr : it->second;
}

auto shard_host::entries() const -> std::vector<entry_pointer>
{
    auto const lock = std::scoped_lock{mutex_};
    auto result = std::vector<entry_pointer>{};
    result.reserve(entries_.size());
    for (auto const& [shard, entry] : entries_)
    {
        result.push_back(entry);
    }
    return result;
}

auto shard_host::acquire(core::shard_id shard, core::epoch owner_epoch) -> void
{
    release_below(shard, owner_epoch);
    auto entry = std::make_shared<shard_entry>();
    entry->shard = shard;
    entry->owner_epoch = owner_epoch;
    entry->table.shard = shard;
    entry->table.owner_epoch = owner_epoch;
    {
        auto const lock = std::scoped_lock{mutex_};
        if (!entries_.emplace(shard, entry).second)
        {
            return;
        }
    }
    log_.info(
        "Loading shard.",
        {{"shard", shard.value}, {"epoch", owner_epoch.value}});
    hooks_.load(
        shard, owner_epoch,
        [this, entry](std::optional<state::shard_state> state)
        {
            if (state)
            {
                loaded(entry, std::move(*state));
                return;
            }
            log_.warn(
                "Shard was not loaded, it is given up.",
                {{"shard", entry->shard.value},
                 {"reason", core::last_reason().message}});
            release(entry->shard);
            hooks_.on_lost(entry->shard);
        });
}

auto shard_host::loaded(entry_pointer const& entry, state::shard_state state)
    -> void
{
    auto hooks = state::engine_hooks{};
    hooks.on_event = hooks_.on_event;
    auto const lock = std::scoped_lock{entry->mutex};
    if (entry->released)
    {
        return;
    }
    entry->engine.emplace(
        entry->owner_epoch, std::move(state), settings_.engine,
        std::move(hooks), hooks_.now(), settings_.faults);
    entry->loaded_at = hooks_.now();
    log_.info(
        "Shard is served.",
        {{"shard", entry->shard.value}, {"epoch", entry->owner_epoch.value}});
}

auto shard_host::release(core::shard_id shard) -> void
{
    auto entry = entry_pointer{};
    {
        auto const lock = std::scoped_lock{mutex_};
        auto const it = entries_.find(shard);
        if (it == entries_.end())
        {
            return;
        }
        entry = std::exchange(it->second, nullptr);
        entries_.erase(it);
    }
    auto held = std::vector<held_reply>{};
    {
        auto const lock = std::scoped_lock{entry->mutex};
        entry->released = true;
        entry->engine.reset();
        held = entry->held.take_all();
    }
    log_.info("Shard is released.", {{"shard", shard.value}});
    // The answers ask for the new owner, which the caller may be changing.
    for (auto& it : held)
    {
        hooks_.post(
            [shard, answer = std::move(it.answer)]
            {
                fail_not_owner(shard);
                answer(std::nullopt);
            });
    }
}

auto shard_host::release_below(core::shard_id shard, core::epoch owner_epoch)
    -> void
{
    auto const entry = find(shard);
    if (entry && entry->owner_epoch < owner_epoch)
    {
        release(shard);
    }
}

auto shard_host::tick() -> void
{
    auto const own = summaries();
    auto const others = hooks_.other_summaries();
    for (auto const& entry : entries())
    {
        auto seen = own;
        seen.insert(seen.end(), others.begin(), others.end());
        std::erase_if(
            seen, [&](auto const& it) { return it.shard == entry->shard; });
        tick_entry(entry, seen);
    }
}

auto shard_host::tick_entry(
    entry_pointer const& entry,
    std::vector<state::shard_summary> const& summaries) -> void
{
    auto requests = std::vector<state::shard_request>{};
    auto batch = std::optional<state::commit_batch>{};
    auto snapshot = std::optional<state::shard_data>{};
    auto answers = std::vector<std::function<void()>>{};
    {
        auto const lock = std::scoped_lock{entry->mutex};
        if (!entry->engine)
        {
            return;
        }
        if (!entry->former_owner_stopped)
        {
            entry->former_owner_stopped =
                hooks_.former_owner_stopped(entry->shard, entry->owner_epoch);
        }
        auto const now = hooks_.now();
        auto view = state::cluster_view{
            hooks_.config(), summaries, entry->former_owner_stopped};
        entry->engine->tick(now, view);
        answers = end_holds(*entry, now);
        requests = entry->engine->take_requests();
        refresh_table(*entry);
        if (!entry->writing && hooks_.snapshot_due(entry->shard))
        {
            entry->writing = true;
            snapshot = entry->engine->state().data();
        }
        if (!entry->writing &&
            now - entry->last_batch >= settings_.batch_interval)
        {
            batch = entry->engine->take_batch(now);
        }
        if (batch)
        {
            entry->last_batch = now;
            entry->writing = true;
        }
    }
    run_all(answers);
    send_requests(entry, std::move(requests));
    if (batch)
    {
        send_batch(entry, *batch);
    }
    if (snapshot)
    {
        start_snapshot(entry, *snapshot);
    }
}

auto shard_host::start_snapshot(
    entry_pointer const& entry, state::shard_data const& data) -> void
{
    hooks_.write_snapshot(
        entry->shard, data,
        [this, entry](append_result result)
        {
            if (result == append_result::not_owner)
            {
                lost(entry);
                return;
            }
            auto const lock = std::scoped_lock{entry->mutex};
            entry->writing = false;
        });
}

auto shard_host::refresh_table(shard_entry& entry) -> void
{
    // A table of this epoch replaces the former owner's at every gateway. An
    // incomplete one would take runners away that serve requests.
    auto const waits = entry.table.version == 0 &&
                       !entry.engine->knows_all_endpoints() &&
                       hooks_.now() - entry.loaded_at < longest_table_wait;
    if (waits)
    {
        return;
    }
    auto endpoints = entry.engine->endpoints();
    if (entry.table.version == 0 || endpoints != entry.table.endpoints)
    {
        entry.table.endpoints = std::move(endpoints);
        ++entry.table.version;
    }
}

auto shard_host::send_requests(
    entry_pointer const& entry, std::vector<state::shard_request> requests)
    -> void
{
    for (auto& request : requests)
    {
        auto const reply_to =
            [this, entry,
             request](std::optional<state::shard_reply> const& reply)
        {
            auto const lock = std::scoped_lock{entry->mutex};
            if (entry->engine)
            {
                entry->engine->handle_reply(request, reply, hooks_.now());
            }
        };
        if (!serves(state::destination(request)))
        {
            hooks_.send(std::move(request), reply_to);
            continue;
        }
        // The answer may come while the other shard's lock is held. Posting it
        // keeps a thread from holding two shards' locks.
        hooks_.post(
            [this, request, reply_to]
            {
                handle(
                    request, [this, reply_to](auto reply)
                    { hooks_.post([reply_to, reply] { reply_to(reply); }); });
            });
    }
}

auto shard_host::send_batch(
    entry_pointer const& entry, state::commit_batch const& batch) -> void
{
    auto const sent_at = hooks_.now();
    auto generation = std::optional<core::generation>{};
    if (batch.allows_start)
    {
        generation = batch.generation;
    }
    hooks_.append(
        entry->shard, entry->owner_epoch, batch.batch, generation,
        [this, entry, sent_at](append_result result)
        { batch_done(entry, result, sent_at); });
}

auto shard_host::batch_done(
    entry_pointer const& entry, append_result result, core::time_point sent_at)
    -> void
{
    if (result == append_result::not_owner)
    {
        lost(entry);
        return;
    }
    auto answers = std::vector<std::function<void()>>{};
    {
        auto const lock = std::scoped_lock{entry->mutex};
        entry->writing = false;
        if (!entry->engine)
        {
            return;
        }
        if (result == append_result::committed)
        {
            entry->engine->batch_committed(sent_at);
            answers = end_holds(*entry, hooks_.now());
        }
        else
        {
            entry->engine->batch_rejected(
                state::batch_rejection::config_changed);
        }
    }
    run_all(answers);
}

auto shard_host::lost(entry_pointer const& entry) -> void
{
    log_.warn("Shard has another owner.", {{"shard", entry->shard.value}});
    {
        auto const lock = std::scoped_lock{entry->mutex};
        if (entry->engine)
        {
            entry->engine->batch_rejected(state::batch_rejection::not_owner);
        }
    }
    if (find(entry->shard) == entry)
    {
        release(entry->shard);
        hooks_.on_lost(entry->shard);
    }
}

auto shard_host::submit(state::job_spec spec, done on_done) -> void
{
    auto const shard = state::shard_of(spec.id, settings_.engine.shard_count);
    if (hooks_.full(shard))
    {
        core::fail(
            core::error_kind::no_capacity,
            "shard full: it holds too many jobs; cancel jobs or wait until "
            "finished ones are removed");
        on_done(false);
        return;
    }
    if (auto const entry = find(shard))
    {
        auto const lock = std::scoped_lock{entry->mutex};
        if (entry->engine)
        {
            entry->engine->submit(std::move(spec), std::move(on_done));
            return;
        }
    }
    fail_not_owner(shard);
    on_done(false);
}

auto shard_host::cancel(
    core::job_id const& id, std::string reason, done on_done) -> void
{
    auto const shard = state::shard_of(id, settings_.engine.shard_count);
    if (auto const entry = find(shard))
    {
        auto const lock = std::scoped_lock{entry->mutex};
        if (entry->engine)
        {
            entry->engine->cancel(id, std::move(reason), std::move(on_done));
            return;
        }
    }
    fail_not_owner(shard);
    on_done(false);
}

auto shard_host::handle(state::shard_request const& request, answer on_answer)
    -> void
{
    auto const shard = state::destination(request);
    if (auto const entry = find(shard))
    {
        auto const lock = std::scoped_lock{entry->mutex};
        if (entry->engine)
        {
            entry->engine->handle(request, hooks_.now(), std::move(on_answer));
            return;
        }
    }
    fail_not_owner(shard);
    on_answer(std::nullopt);
}

auto shard_host::serves(core::shard_id shard) const -> bool
{
    auto const entry = find(shard);
    if (!entry)
    {
        return false;
    }
    auto const lock = std::scoped_lock{entry->mutex};
    return entry->engine.has_value();
}

auto shard_host::owned() const -> std::vector<protocol::owned_shard>
{
    auto result = std::vector<protocol::owned_shard>{};
    for (auto const& entry : entries())
    {
        result.push_back({entry->shard, entry->owner_epoch});
    }
    return result;
}

auto shard_host::jobs(std::optional<core::job_id> const& wanted) const
    -> std::vector<state::job>
{
    auto result = std::vector<state::job>{};
    for (auto const& entry : entries())
    {
        auto const lock = std::scoped_lock{entry->mutex};
        if (!entry->engine)
        {
            continue;
        }
        for (auto& it : entry->engine->jobs())
        {
            if (!wanted || it.spec.id == *wanted)
            {
                result.push_back(std::move(it));
            }
        }
    }
    return result;
}

auto shard_host::find_job(core::job_id const& id) const
    -> std::optional<std::vector<state::job>>
{
    auto const home = state::shard_of(id, settings_.engine.shard_count);
    auto const entry = find(home);
    if (!entry)
    {
        fail_not_owner(home);
        return std::nullopt;
    }
    auto const lock = std::scoped_lock{entry->mutex};
    if (!entry->engine)
    {
        fail_not_owner(home);
        return std::nullopt;
    }
    auto result = entry->engine->jobs();
    std::erase_if(result, [&id](auto const& it) { return it.spec.id != id; });
    return result;
}

auto shard_host::workers() const -> std::vector<state::worker_view>
{
    auto result = std::vector<state::worker_view>{};
    for (auto const& entry : entries())
    {
        auto const lock = std::scoped_lock{entry->mutex};
        if (entry->engine)
        {
            auto views = entry->engine->workers(hooks_.now());
            std::move(views.begin(), views.end(), std::back_inserter(result));
        }
    }
    return result;
}

auto shard_host::summaries() const -> std::vector<state::shard_summary>
{
    auto result = std::vector<state::shard_summary>{};
    for (auto const& entry : entries())
    {
        auto const lock = std::scoped_lock{entry->mutex};
        if (entry->engine)
        {
            result.push_back(entry->engine->summary(hooks_.now()));
        }
    }
    return result;
}

auto shard_host::tables(
    std::function<bool(protocol::endpoint_table const&)> const& wanted) const
    -> std::vector<protocol::endpoint_table>
{
    auto result = std::vector<protocol::endpoint_table>{};
    for (auto const& entry : entries())
    {
        auto const lock = std::scoped_lock{entry->mutex};
        if (entry->table.version > 0 && wanted(entry->table))
        {
            result.push_back(entry->table);
        }
    }
    return result;
}

} // namespace godwitcleat::coordination
