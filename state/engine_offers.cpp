/** @file engine_offers.cpp The protocol between home and host shards. */
#include "state/engine_internal.hpp"

#include <fmt/format.h>

namespace godwitcleat::state
{

namespace
{

// Returns a callback that replies @p reply after the commit. Without a commit
// there is no reply, and the other shard repeats its request.
auto reply_after_commit(
    shard_engine::reply_callback on_reply, shard_reply reply)
    -> shard_engine::commit_callback
{
    return [on_reply = std::move(on_reply),
            reply = std::move(reply)](bool committed)
    {
        on_reply(committed ? std::optional{reply} : std::nullopt);
    };
}

auto reply_unavailable(shard_engine::reply_callback const& on_reply) -> void
{
    core::fail(
        core::error_kind::unavailable,
        "the shard cannot process the request now; repeat it");
    on_reply(std::nullopt);
}

auto refusal(std::string reason) -> offer_reply
{
    return {std::nullopt, std::move(reason), false};
}

} // namespace

auto shard_engine::implementation::handle(
    shard_request const& request, reply_callback on_reply) -> void
{
    if (auto const* offer = std::get_if<offer_request>(&request))
    {
        on_reply(on_offer(*offer));
    }
    else if (auto const* claim = std::get_if<claim_request>(&request))
    {
        on_claim(*claim, std::move(on_reply));
    }
    else if (auto const* ended = std::get_if<attempt_ended_request>(&request))
    {
        on_attempt_end(*ended, std::move(on_reply));
    }
    else if (auto const* status = std::get_if<status_request>(&request))
    {
        on_status(*status, std::move(on_reply));
    }
}

auto shard_engine::implementation::on_offer(offer_request const& request)
    -> offer_reply
{
    auto const reserved = reservations_.find(request.key);
    if (reserved != reservations_.end())
    {
        return {reserved->second.task.worker, {}, false};
    }
    auto const declined = state_.data().declined.find(request.key.job);
    if (state_.find_task(request.key) != nullptr ||
        has_pending_change(request.key) ||
        forgotten_tasks_.contains(request.key) ||
        (declined != state_.data().declined.end() &&
         request.key.attempt <= declined->second))
    {
        return refusal("the attempt is already known or was declined");
    }
    if (!view_.config)
    {
        return refusal("the configuration is not loaded yet");
    }
    auto usable = usable_workers();
    auto const worker = choose_worker(request.spec, {}, usable);
    if (!worker)
    {
        if (may_evict(request.spec) && evict_for(request.spec))
        {
            auto result = refusal("evictions are freeing capacity for the job");
            result.eviction_started = true;
            return result;
        }
        return refusal("no worker has enough free capacity");
    }
    auto value = reservation{};
    value.task.spec = request.spec;
    value.task.attempt = request.key.attempt;
    value.task.home = request.home;
    value.task.worker = *worker;
    value.task.checkpoint = request.checkpoint;
    value.task.progress = request.progress;
    value.expires = now_ + settings_.reservation_validity;
    value.next_claim = now_ + settings_.message_retry;
    outbox_.emplace_back(
        claim_request{request.home, state_.shard(), request.key, *worker});
    reserve(std::move(value));
    return {worker, {}, false};
}

auto shard_engine::implementation::on_claim(
    claim_request const& request, reply_callback on_reply) -> void
{
    auto const binding =
        attempt_binding{request.key.attempt, request.host, request.worker};
    auto const is_same = [&request, &binding](record const& it)
    {
        auto const* value = std::get_if<bind_attempt>(&it);
        return value != nullptr && value->job == request.key.job &&
               value->binding == binding;
    };
    if (auto* pending = find_pending_change(is_same))
    {
        pending->on_done.push_back(
            reply_after_commit(std::move(on_reply), claim_reply{true}));
        return;
    }
    auto const* known = state_.find_job(request.key.job);
    if (known != nullptr && known->binding == binding)
    {
        home_entries_[request.key.job].last_heard_at = now_;
        // A replaced owner that has not noticed its replacement may still hold
        // the binding of an attempt that has ended, so the claim is granted
        // only after a commit has proved ownership.
        auto const grant = [this, request, binding,
                            on_reply = std::move(on_reply)](bool committed)
        {
            auto const* job = state_.find_job(request.key.job);
            if (!committed)
            {
                on_reply(std::nullopt);
                return;
            }
            on_reply(claim_reply{job != nullptr && job->binding == binding});
        };
        enqueue({reconfirm{}}, grant);
        return;
    }
    if (faults_.grant_stale_claims && known != nullptr &&
        request.key.attempt <= known->last_attempt)
    {
        on_reply(claim_reply{true});
        return;
    }
    auto value = bind_attempt{request.key.job, binding};
    if (known == nullptr || !state_.validate(value))
    {
        on_reply(claim_reply{false});
        return;
    }
    if (has_pending_change(request.key.job) || !view_.config)
    {
        reply_unavailable(on_reply);
        return;
    }
    enqueue(
        {std::move(value)},
        reply_after_commit(std::move(on_reply), claim_reply{true}));
}

auto shard_engine::implementation::on_attempt_end(
    attempt_ended_request const& request, reply_callback on_reply) -> void
{
    auto const is_same = [&request](record const& it)
    {
        auto const* value = std::get_if<end_attempt>(&it);
        return value != nullptr && value->job == request.key.job &&
               value->attempt == request.key.attempt;
    };
    if (auto* pending = find_pending_change(is_same))
    {
        pending->on_done.push_back(
            reply_after_commit(std::move(on_reply), attempt_ended_reply{true}));
        return;
    }
    if (has_pending_change(request.key.job))
    {
        reply_unavailable(on_reply);
        return;
    }
    auto const* known = state_.find_job(request.key.job);
    if (known == nullptr || request.key.attempt > known->last_attempt)
    {
        // Either the job was dropped, or this owner was replaced without
        // noticing and its successor bound the attempt.
        enqueue(
            {reconfirm{}},
            reply_after_commit(std::move(on_reply), attempt_ended_reply{true}));
        return;
    }
    if (!known->binding || known->binding->number != request.key.attempt ||
        known->binding->host != request.host)
    {
        // The outcome is already stored, or the attempt was never bound there.
        on_reply(attempt_ended_reply{true});
        return;
    }
    end_binding(
        *known, request.outcome, request.checkpoint, request.progress,
        reply_after_commit(std::move(on_reply), attempt_ended_reply{true}));
}

auto shard_engine::implementation::on_status(
    status_request const& request, reply_callback on_reply) -> void
{
    auto const* task = state_.find_task(request.key);
    if (task != nullptr)
    {
        auto& entry = task_entries_[request.key];
        if (request.stop && !task->outcome)
        {
            request_stop(
                request.key,
                request.checkpoint ? stop_kind::checkpoint : stop_kind::stop);
        }
        on_reply(status_reply{true, entry.reported && !task->outcome});
        return;
    }
    auto const reserved = reservations_.find(request.key);
    if (reserved != reservations_.end() &&
        (!request.stop || has_pending_change(request.key)))
    {
        on_reply(status_reply{true, false});
        return;
    }
    // The home shard has bound the attempt, but wants it stopped before it was
    // committed here, or its reservation was lost. It will never run here.
    release_reservation(request.key);
    decline(
        request.key,
        reply_after_commit(std::move(on_reply), status_reply{false, false}));
}

// Declines an attempt permanently; @p on_done runs after the commit.
auto shard_engine::implementation::decline(
    attempt_key const& key, commit_callback on_done) -> void
{
    auto const is_same = [&key](record const& it)
    {
        auto const* value = std::get_if<decline_attempt>(&it);
        return value != nullptr && value->key == key;
    };
    if (auto* pending = find_pending_change(is_same))
    {
        if (on_done)
        {
            pending->on_done.push_back(std::move(on_done));
        }
        return;
    }
    auto const declined = state_.data().declined.find(key.job);
    if (declined != state_.data().declined.end() &&
        key.attempt <= declined->second)
    {
        if (on_done)
        {
            on_done(true);
        }
        return;
    }
    enqueue({decline_attempt{key}}, std::move(on_done));
}

auto shard_engine::implementation::handle_reply(
    shard_request const& request, std::optional<shard_reply> const& it) -> void
{
    if (auto const* offer = std::get_if<offer_request>(&request))
    {
        auto const* reply = it ? std::get_if<offer_reply>(&*it) : nullptr;
        on_offer_reply(
            *offer, reply != nullptr ? std::optional{*reply} : std::nullopt);
        return;
    }
    if (!it)
    {
        return;
    }
    if (auto const* claim = std::get_if<claim_request>(&request))
    {
        if (auto const* reply = std::get_if<claim_reply>(&*it))
        {
            on_claim_reply(*claim, *reply);
        }
    }
    else if (auto const* ended = std::get_if<attempt_ended_request>(&request))
    {
        auto const* reply = std::get_if<attempt_ended_reply>(&*it);
        auto const value = forget_task{ended->key};
        if (reply != nullptr && reply->stored &&
            !has_pending_change(ended->key) && state_.validate(value))
        {
            enqueue({value});
        }
    }
    else if (auto const* status = std::get_if<status_request>(&request))
    {
        if (auto const* reply = std::get_if<status_reply>(&*it))
        {
            on_status_reply(*status, *reply);
        }
    }
}

auto shard_engine::implementation::on_offer_reply(
    offer_request const& request, std::optional<offer_reply> const& it) -> void
{
    auto const found = home_entries_.find(request.key.job);
    if (found == home_entries_.end() || !found->second.offer ||
        found->second.offer->host != request.host ||
        found->second.offer->attempt != request.key.attempt)
    {
        return;
    }
    auto& entry = found->second;
    if (it && it->worker)
    {
        entry.offer->expires = now_ + settings_.reservation_validity;
        return;
    }
    entry.offer.reset();
    auto const eviction_started = it && it->eviction_started;
    entry.next_offer_at[request.host] =
        now_ + (eviction_started ? settings_.eviction_offer_retry
                                 : settings_.message_retry);
    if (eviction_started && !is_evicting_elsewhere(entry))
    {
        auto const is_urgent = request.spec.priority == priority_class::urgent;
        entry.evicting_host = request.host;
        entry.evicting_until =
            now_ + (is_urgent ? settings_.urgent_eviction_wait
                              : settings_.eviction_hold);
    }
    entry.wait_reason = it ? it->reason : "the offer got no reply";
}

auto shard_engine::implementation::on_claim_reply(
    claim_request const& request, claim_reply const& it) -> void
{
    auto const found = reservations_.find(request.key);
    if (found == reservations_.end() || found->second.is_home_job ||
        found->second.granted || found->second.task.worker != request.worker)
    {
        return;
    }
    if (!it.granted)
    {
        release_reservation(request.key);
        return;
    }
    found->second.granted = true;
    host_granted_task(found->second);
}

// Commits a task whose claim was granted, or declines it if its worker may no
// longer start it.
auto shard_engine::implementation::host_granted_task(reservation const& value)
    -> void
{
    auto const key = attempt_key{value.task.spec.id, value.task.attempt};
    if (has_pending_change(key) || !view_.config)
    {
        return;
    }
    auto const worker = workers_.find(value.task.worker);
    auto const is_startable =
        worker != workers_.end() && !worker->second.lapsed &&
        (faults_.ignore_drain || !is_drained_worker(value.task.worker));
    auto const record = host_task{value.task};
    if (is_startable && state_.validate(record))
    {
        enqueue({record});
        return;
    }
    auto const ended = attempt_ended_request{value.task.home,
                                             state_.shard(),
                                             key,
                                             attempt_outcome::not_started,
                                             {},
                                             0};
    release_reservation(key);
    // The message is not repeated: if it is lost, the home shard's
    // status_request has the same effect.
    decline(
        key,
        [this, ended](bool committed)
        {
            if (committed)
            {
                outbox_.emplace_back(ended);
            }
        });
}

auto shard_engine::implementation::on_status_reply(
    status_request const& request, status_reply const& it) -> void
{
    auto const* known = state_.find_job(request.key.job);
    if (known == nullptr || !known->binding ||
        known->binding->number != request.key.attempt ||
        known->binding->host != request.host)
    {
        return;
    }
    auto& entry = home_entries_[request.key.job];
    entry.last_heard_at = now_;
    entry.remote_running = it.known && it.running;
    if (!it.known && !has_pending_change(request.key.job))
    {
        end_binding(*known, attempt_outcome::not_started, {}, 0, {});
    }
}

auto shard_engine::implementation::reserve(reservation value) -> void
{
    auto const key = attempt_key{value.task.spec.id, value.task.attempt};
    reserved_by_worker_[value.task.worker] += value.task.spec.need;
    if (value.task.spec.priority == priority_class::batch)
    {
        workers_.at(value.task.worker).batch_placed_at = now_;
    }
    reservations_.insert_or_assign(key, std::move(value));
}

auto shard_engine::implementation::release_reservation(attempt_key const& key)
    -> void
{
    auto const it = reservations_.find(key);
    if (it == reservations_.end())
    {
        return;
    }
    auto const& task = it->second.task;
    auto const sum = reserved_by_worker_.find(task.worker);
    sum->second -= task.spec.need;
    if (sum->second == core::resources{})
    {
        reserved_by_worker_.erase(sum);
    }
    reservations_.erase(it);
}

// Repeats claims, commits granted tasks and releases reservations whose claim
// was not granted in time.
auto shard_engine::implementation::advance_reservations() -> void
{
    auto expired = std::vector<attempt_key>{};
    auto granted = std::vector<reservation>{};
    for (auto& [key, value] : reservations_)
    {
        if (value.is_home_job || has_pending_change(key))
        {
            continue;
        }
        if (value.granted)
        {
            granted.push_back(value);
        }
        else if (now_ >= value.expires)
        {
            expired.push_back(key);
        }
        else if (now_ >= value.next_claim)
        {
            value.next_claim = now_ + settings_.message_retry;
            outbox_.emplace_back(claim_request{
                value.task.home, state_.shard(), key, value.task.worker});
        }
    }
    for (auto const& key : expired)
    {
        release_reservation(key);
    }
    std::erase_if(
        forgotten_tasks_, [this](auto const& it) { return now_ >= it.second; });
    for (auto const& value : granted)
    {
        host_granted_task(value);
    }
}

// Withdraws offers that were not claimed in time.
auto shard_engine::implementation::expire_offers() -> void
{
    for (auto& [id, entry] : home_entries_)
    {
        if (entry.offer && now_ >= entry.offer->expires &&
            !has_pending_change(id))
        {
            entry.next_offer_at[entry.offer->host] =
                now_ + settings_.message_retry;
            entry.offer.reset();
        }
    }
}

} // namespace godwitcleat::state
