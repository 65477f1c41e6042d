/** @file shard_cluster_owners.cpp Shard owners and the store of the engine test
 * cluster. */
#include "tests/support/shard_cluster_internal.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace godwitcleat::tests
{

using namespace std::chrono_literals;

auto shard_cluster::schedule_take_over(std::size_t shard, core::time_point when)
    -> void
{
    if (std::exchange(shards_[shard].taking_over, true))
    {
        return;
    }
    at(when,
       [this, shard]
       {
           shards_[shard].taking_over = false;
           if (now_ < store_down_until_)
           {
               schedule_take_over(shard, store_down_until_ + 100ms);
               return;
           }
           take_over(shard);
       });
}

auto shard_cluster::take_over(std::size_t shard) -> void
{
    auto& record = shards_[shard];
    record.current = record.current.next();
    auto recovered = state::shard_state{core::shard_id{shard}};
    for (auto const& batch : record.log)
    {
        for (auto const& it : batch.records)
        {
            recovered.apply(it);
        }
    }
    auto settings = state::engine_settings{};
    settings.shard_count = options_.shards;
    settings.lease = options_.worker_lease;
    auto hooks = state::engine_hooks{};
    hooks.unique_id = [this]
    {
        return fmt::format("batch-{}", next_batch_++);
    };
    auto next = std::make_shared<owner>();
    next->shard = core::shard_id{shard};
    next->owner_epoch = record.current;
    next->engine = std::make_unique<state::shard_engine>(
        record.current, std::move(recovered), settings, std::move(hooks), now_,
        options_.engine_faults);
    if (record.latest)
    {
        next->former = record.latest->former;
        next->former.push_back(record.latest);
        auto const former = record.latest;
        auto const heard =
            std::max({now_, former->paused_until, former->isolated_until});
        at(heard + peer_news_delay, [this, former] { stop_owner(former); });
    }
    record.latest = next;
    owners_.push_back(next);
    owner_loop(next);
}

auto shard_cluster::stop_owner(owner_pointer const& it) -> void
{
    if (std::exchange(it->alive, false))
    {
        it->known_stopped = now_ + gone_evidence;
    }
}

auto shard_cluster::when_awake(
    owner_pointer const& it, std::function<void()> task) -> void
{
    if (!it->alive)
    {
        return;
    }
    if (now_ < it->paused_until)
    {
        at(it->paused_until,
           [this, it, task = std::move(task)] { when_awake(it, task); });
        return;
    }
    task();
}

auto shard_cluster::owner_loop(owner_pointer const& it) -> void
{
    when_awake(
        it,
        [this, it]
        {
            tick_owner(it);
            after(tick_interval, [this, it] { owner_loop(it); });
        });
}

auto shard_cluster::tick_owner(owner_pointer const& it) -> void
{
    it->engine->tick(now_, view_of(it));
    for (auto& request : it->engine->take_requests())
    {
        send(it, std::move(request));
    }
    if (auto batch = it->engine->take_batch(now_))
    {
        append(it, std::move(*batch));
    }
}

auto shard_cluster::view_of(owner_pointer const& it) -> state::cluster_view
{
    auto view = state::cluster_view{};
    view.config = config_seen();
    for (auto const& record : shards_)
    {
        if (record.latest && record.latest->alive &&
            record.latest->shard != it->shard)
        {
            view.others.push_back(record.latest->engine->summary(now_));
        }
    }
    view.former_owner_stopped = std::all_of(
        it->former.begin(), it->former.end(),
        [this](auto const& former)
        { return !former->alive && now_ >= former->known_stopped; });
    return view;
}

auto shard_cluster::config_seen() -> state::config_pointer
{
    auto const seen_until = now_ - random_ms(0, most_config_lag_ms);
    auto result = configs_.front().document;
    for (auto const& it : configs_)
    {
        if (it.accepted <= seen_until)
        {
            result = it.document;
        }
    }
    return result;
}

auto shard_cluster::append(owner_pointer const& it, state::commit_batch batch)
    -> void
{
    auto const sent = now_;
    auto const reachable = std::max(store_down_until_, it->isolated_until);
    auto const arrives = std::max(now_, reachable) + random_ms(1, 30);
    at(arrives,
       [this, it, batch = std::move(batch), sent] { commit(it, batch, sent); });
}

// The write happens here; its reply may be late, as when a lost reply is
// settled by reading back.
auto shard_cluster::commit(
    owner_pointer const& it, state::commit_batch const& batch,
    core::time_point sent) -> void
{
    auto& record = shards_[it->shard.value];
    auto const delay =
        now_ < replies_late_until_ ? random_ms(200, 4000) : random_ms(1, 10);
    if (record.current != it->owner_epoch)
    {
        after(
            delay,
            [this, it] { when_awake(it, [this, it] { stop_owner(it); }); });
        return;
    }
    auto const& config = *configs_.back().document;
    auto const stale = batch.allows_start && batch.generation != config.number;
    if (!stale)
    {
        record.log.push_back(batch.batch);
        note_finished(it->shard.value);
    }
    after(
        delay,
        [this, it, stale, sent]
        {
            when_awake(
                it,
                [it, stale, sent]
                {
                    if (stale)
                    {
                        it->engine->batch_rejected(
                            state::batch_rejection::config_changed);
                        return;
                    }
                    it->engine->batch_committed(sent);
                });
        });
}

auto shard_cluster::send(
    owner_pointer const& from, state::shard_request request) -> void
{
    auto const to = choose_owner(state::destination(request));
    auto const cut =
        now_ < from->isolated_until || (to && now_ < to->isolated_until);
    auto const answered = std::make_shared<bool>(false);
    auto const reply_to = [this, from, request, answered](
                              std::optional<state::shard_reply> const& reply)
    {
        when_awake(
            from,
            [this, from, request, reply, answered]
            {
                if (!std::exchange(*answered, true))
                {
                    from->engine->handle_reply(request, reply, now_);
                }
            });
    };
    after(call_timeout, [reply_to] { reply_to(std::nullopt); });
    if (!to || cut || chance(0.03))
    {
        return;
    }
    auto const deliver = [this, to, request, reply_to]
    {
        when_awake(
            to,
            [this, to, request, reply_to]
            {
                to->engine->handle(
                    request, now_,
                    [this, reply_to](auto reply)
                    {
                        if (!chance(0.03))
                        {
                            after(
                                random_ms(1, 5),
                                [reply_to, reply] { reply_to(reply); });
                        }
                    });
            });
    };
    after(chance(0.05) ? random_ms(100, 6000) : random_ms(1, 5), deliver);
    if (chance(0.05))
    {
        after(random_ms(1, 10000), deliver);
    }
}

} // namespace godwitcleat::tests
