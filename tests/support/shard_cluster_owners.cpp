/** @file shard_cluster_owners.cpp Owners and store of the simulated cluster. */
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
    schedule_at(
        when,
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
    record.current_epoch = record.current_epoch.next();
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
    next->owner_epoch = record.current_epoch;
    next->engine = std::make_unique<state::shard_engine>(
        record.current_epoch, std::move(recovered), settings, std::move(hooks),
        now_, options_.engine_faults);
    if (record.latest)
    {
        next->previous_owners = record.latest->previous_owners;
        next->previous_owners.push_back(record.latest);
        auto const previous = record.latest;
        auto const notified_at =
            std::max({now_, previous->paused_until, previous->isolated_until});
        schedule_at(
            notified_at + ownership_notice_delay,
            [this, previous] { stop_owner(previous); });
    }
    record.latest = next;
    owners_.push_back(next);
    run_owner(next);
}

auto shard_cluster::stop_owner(owner_pointer const& it) -> void
{
    if (std::exchange(it->alive, false))
    {
        it->known_stopped_at = now_ + failure_detection_delay;
    }
}

auto shard_cluster::run_when_resumed(
    owner_pointer const& it, std::function<void()> task) -> void
{
    if (!it->alive)
    {
        return;
    }
    if (now_ < it->paused_until)
    {
        schedule_at(
            it->paused_until,
            [this, it, task = std::move(task)] { run_when_resumed(it, task); });
        return;
    }
    task();
}

auto shard_cluster::run_owner(owner_pointer const& it) -> void
{
    run_when_resumed(
        it,
        [this, it]
        {
            tick_owner(it);
            schedule_after(tick_interval, [this, it] { run_owner(it); });
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
    view.config = lagging_config();
    for (auto const& record : shards_)
    {
        if (record.latest && record.latest->alive &&
            record.latest->shard != it->shard)
        {
            view.others.push_back(record.latest->engine->summary(now_));
        }
    }
    view.former_owner_stopped = std::all_of(
        it->previous_owners.begin(), it->previous_owners.end(),
        [this](auto const& previous)
        { return !previous->alive && now_ >= previous->known_stopped_at; });
    return view;
}

auto shard_cluster::lagging_config() -> state::config_pointer
{
    auto const seen_until = now_ - random_ms(0, max_config_lag_ms);
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
    schedule_at(
        arrives, [this, it, batch = std::move(batch), sent]
        { commit(it, batch, sent); });
}

// Writes the batch at once. The reply may be late, which also stands for a lost
// reply whose result the owner determines by reading back.
auto shard_cluster::commit(
    owner_pointer const& it, state::commit_batch const& batch,
    core::time_point sent) -> void
{
    auto& record = shards_[it->shard.value];
    auto const delay =
        now_ < replies_delayed_until_ ? random_ms(200, 4000) : random_ms(1, 10);
    if (record.current_epoch != it->owner_epoch)
    {
        schedule_after(
            delay, [this, it]
            { run_when_resumed(it, [this, it] { stop_owner(it); }); });
        return;
    }
    auto const& config = *configs_.back().document;
    auto const stale = batch.allows_start && batch.generation != config.number;
    if (!stale)
    {
        record.log.push_back(batch.batch);
        record_finished(it->shard.value);
    }
    schedule_after(
        delay,
        [this, it, stale, sent]
        {
            run_when_resumed(
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
    auto const disconnected =
        now_ < from->isolated_until || (to && now_ < to->isolated_until);
    auto const answered = std::make_shared<bool>(false);
    auto const reply_to = [this, from, request, answered](
                              std::optional<state::shard_reply> const& reply)
    {
        run_when_resumed(
            from,
            [this, from, request, reply, answered]
            {
                if (!std::exchange(*answered, true))
                {
                    from->engine->handle_reply(request, reply, now_);
                }
            });
    };
    schedule_after(call_timeout, [reply_to] { reply_to(std::nullopt); });
    if (!to || disconnected || chance(0.03))
    {
        return;
    }
    auto const deliver = [this, to, request, reply_to]
    {
        run_when_resumed(
            to,
            [this, to, request, reply_to]
            {
                to->engine->handle(
                    request, now_,
                    [this, reply_to](auto reply)
                    {
                        if (!chance(0.03))
                        {
                            schedule_after(
                                random_ms(1, 5),
                                [reply_to, reply] { reply_to(reply); });
                        }
                    });
            });
    };
    schedule_after(
        chance(0.05) ? random_ms(100, 6000) : random_ms(1, 5), deliver);
    if (chance(0.05))
    {
        schedule_after(random_ms(1, 10000), deliver);
    }
}

} // namespace godwitcleat::tests
