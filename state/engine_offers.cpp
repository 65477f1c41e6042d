/** @file engine_offers.cpp The protocol between home and host shards. */
#include "state/engine_internal.hpp"

#include <fmt/format.h>

namespace godwitcleat::state
{

namespace
{

// Returns a callback that answers @p good after the commit. Without a commit
// there is no answer, and the other shard repeats its request.
auto answer_after_commit(shard_engine::answer on_answer, shard_reply good)
    -> shard_engine::done
{
    return [on_answer = std::move(on_answer),
            good = std::move(good)](bool committed)
    {
        on_answer(committed ? std::optional{good} : std::nullopt);
    };
}

auto answer_later(shard_engine::answer const& on_answer) -> void
{
    core::fail(
        core::error_kind::unavailable,
        "the shard cannot decide now; repeat the request");
    on_answer(std::nullopt);
}

auto refusal(std::string reason) -> offer_reply
{
    return {std::nullopt, std::move(reason), false};
}

} // namespace

auto shard_engine::implementation::handle(
    shard_request const& request, answer on_answer) -> void
{
    if (auto const* offer = std::get_if<offer_request>(&request))
    {
        on_answer(on_offer(*offer));
    }
    else if (auto const* claim = std::get_if<claim_request>(&request))
    {
        on_claim(*claim, std::move(on_answer));
    }
    else if (auto const* over = std::get_if<over_request>(&request))
    {
        on_over(*over, std::move(on_answer));
    }
    else if (auto const* status = std::get_if<status_request>(&request))
    {
        on_status(*status, std::move(on_answer));
    }
}

auto shard_engine::implementation::on_offer(offer_request const& request)
    -> offer_reply
{
    auto const known = reservations_.find(request.key);
    if (known != reservations_.end())
    {
        return {known->second.task.worker, {}, false};
    }
    auto const declined = state_.data().declined.find(request.key.job);
    if (state_.find_task(request.key) != nullptr || is_busy(request.key) ||
        forgotten_.contains(request.key) ||
        (declined != state_.data().declined.end() &&
         request.key.attempt <= declined->second))
    {
        return refusal("the attempt is known already or was declined");
    }
    if (!view_.config)
    {
        return refusal("the configuration is not known yet");
    }
    auto usable = usable_workers();
    auto const worker = choose_worker(request.spec, {}, usable);
    if (!worker)
    {
        if (may_evict(request.spec) && evict_for(request.spec))
        {
            auto result = refusal("room is being made by evictions");
            result.makes_room = true;
            return result;
        }
        return refusal("no worker has room");
    }
    auto value = reservation{};
    value.task.spec = request.spec;
    value.task.attempt = request.key.attempt;
    value.task.home = request.home;
    value.task.worker = *worker;
    value.task.checkpoint = request.checkpoint;
    value.task.progress = request.progress;
    value.expires = now_ + settings_.reservation;
    value.next_claim = now_ + settings_.message_retry;
    outbox_.emplace_back(
        claim_request{request.home, state_.shard(), request.key, *worker});
    reserve(std::move(value));
    return {worker, {}, false};
}

auto shard_engine::implementation::on_claim(
    claim_request const& request, answer on_answer) -> void
{
    auto const binding =
        attempt_binding{request.key.attempt, request.host, request.worker};
    auto const is_same = [&request, &binding](record const& it)
    {
        auto const* value = std::get_if<bind_attempt>(&it);
        return value != nullptr && value->job == request.key.job &&
               value->binding == binding;
    };
    if (auto* waits = find_change(is_same))
    {
        waits->on_done.push_back(
            answer_after_commit(std::move(on_answer), claim_reply{true}));
        return;
    }
    auto const* known = state_.find_job(request.key.job);
    if (known != nullptr && known->binding == binding)
    {
        home_[request.key.job].heard_at = now_;
        // An owner that was replaced without its knowledge may still see the
        // binding of an attempt that is over, so ownership is proved first.
        auto const grant = [this, request, binding,
                            on_answer = std::move(on_answer)](bool committed)
        {
            auto const* job = state_.find_job(request.key.job);
            if (!committed)
            {
                on_answer(std::nullopt);
                return;
            }
            on_answer(claim_reply{job != nullptr && job->binding == binding});
        };
        enqueue({reconfirm{}}, grant);
        return;
    }
    if (faults_.grant_stale_claims && known != nullptr &&
        request.key.attempt <= known->last_attempt)
    {
        on_answer(claim_reply{true});
        return;
    }
    auto value = bind_attempt{request.key.job, binding};
    if (known == nullptr || !state_.test(value))
    {
        on_answer(claim_reply{false});
        return;
    }
    if (is_busy(request.key.job) || !view_.config)
    {
        answer_later(on_answer);
        return;
    }
    enqueue(
        {std::move(value)},
        answer_after_commit(std::move(on_answer), claim_reply{true}));
}

auto shard_engine::implementation::on_over(
    over_request const& request, answer on_answer) -> void
{
    auto const is_same = [&request](record const& it)
    {
        auto const* value = std::get_if<end_attempt>(&it);
        return value != nullptr && value->job == request.key.job &&
               value->attempt == request.key.attempt;
    };
    if (auto* waits = find_change(is_same))
    {
        waits->on_done.push_back(
            answer_after_commit(std::move(on_answer), over_reply{true}));
        return;
    }
    if (is_busy(request.key.job))
    {
        answer_later(on_answer);
        return;
    }
    auto const* known = state_.find_job(request.key.job);
    if (known == nullptr || request.key.attempt > known->last_attempt)
    {
        // Either the job was dropped, or this owner was replaced without its
        // knowledge and a later one bound the attempt.
        enqueue(
            {reconfirm{}},
            answer_after_commit(std::move(on_answer), over_reply{true}));
        return;
    }
    if (!known->binding || known->binding->number != request.key.attempt ||
        known->binding->host != request.host)
    {
        // The outcome was stored before, or the attempt was never bound there.
        on_answer(over_reply{true});
        return;
    }
    end_binding(
        *known, request.outcome, request.checkpoint, request.progress,
        answer_after_commit(std::move(on_answer), over_reply{true}));
}

auto shard_engine::implementation::on_status(
    status_request const& request, answer on_answer) -> void
{
    auto const* task = state_.find_task(request.key);
    if (task != nullptr)
    {
        auto& entry = tasks_[request.key];
        if (request.stop && !task->outcome)
        {
            want_stop(
                request.key,
                request.checkpoint ? stop_kind::checkpoint : stop_kind::stop);
        }
        on_answer(status_reply{true, entry.reported && !task->outcome});
        return;
    }
    auto const reserved = reservations_.find(request.key);
    if (reserved != reservations_.end() &&
        (!request.stop || is_busy(request.key)))
    {
        on_answer(status_reply{true, false});
        return;
    }
    // The home has bound the attempt and wants it stopped, or the reservation
    // was lost: the attempt never runs here.
    release(request.key);
    decline(
        request.key,
        answer_after_commit(std::move(on_answer), status_reply{false, false}));
}

// Refuses an attempt for good; @p on_done runs once that is durable.
auto shard_engine::implementation::decline(attempt_key const& key, done on_done)
    -> void
{
    auto const is_same = [&key](record const& it)
    {
        auto const* value = std::get_if<decline_attempt>(&it);
        return value != nullptr && value->key == key;
    };
    if (auto* waits = find_change(is_same))
    {
        if (on_done)
        {
            waits->on_done.push_back(std::move(on_done));
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

auto shard_engine::implementation::replied(
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
    else if (auto const* over = std::get_if<over_request>(&request))
    {
        auto const* reply = std::get_if<over_reply>(&*it);
        auto const value = forget_task{over->key};
        if (reply != nullptr && reply->stored && !is_busy(over->key) &&
            state_.test(value))
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
    auto const found = home_.find(request.key.job);
    if (found == home_.end() || !found->second.offer ||
        found->second.offer->host != request.host ||
        found->second.offer->attempt != request.key.attempt)
    {
        return;
    }
    auto& entry = found->second;
    if (it && it->worker)
    {
        entry.offer->expires = now_ + settings_.reservation;
        return;
    }
    entry.offer.reset();
    auto const makes_room = it && it->makes_room;
    entry.not_before[request.host] =
        now_ + (makes_room ? settings_.room_retry : settings_.message_retry);
    if (makes_room && !is_room_made(entry))
    {
        auto const is_urgent = request.spec.priority == priority_class::urgent;
        entry.evicting_host = request.host;
        entry.evicting_until = now_ + (is_urgent ? settings_.urgent_room_wait
                                                 : settings_.eviction_hold);
    }
    entry.waits = it ? it->reason : "the offer was not answered";
}

auto shard_engine::implementation::on_claim_reply(
    claim_request const& request, claim_reply const& it) -> void
{
    auto const found = reservations_.find(request.key);
    if (found == reservations_.end() || found->second.own ||
        found->second.granted || found->second.task.worker != request.worker)
    {
        return;
    }
    if (!it.granted)
    {
        release(request.key);
        return;
    }
    found->second.granted = true;
    host_granted(found->second);
}

// Commits a granted task, or refuses it if its worker may not start it now.
auto shard_engine::implementation::host_granted(reservation const& value)
    -> void
{
    auto const key = attempt_key{value.task.spec.id, value.task.attempt};
    if (is_busy(key) || !view_.config)
    {
        return;
    }
    auto const worker = workers_.find(value.task.worker);
    auto const is_startable =
        worker != workers_.end() && !worker->second.lapsed &&
        (faults_.ignore_drain || !is_drained_worker(value.task.worker));
    auto const record = host_task{value.task};
    if (is_startable && state_.test(record))
    {
        enqueue({record});
        return;
    }
    auto const over = over_request{value.task.home,
                                   state_.shard(),
                                   key,
                                   attempt_outcome::not_started,
                                   {},
                                   0};
    release(key);
    // One message is enough: if it is lost, the home's status_request gives
    // the same result.
    decline(
        key,
        [this, over](bool committed)
        {
            if (committed)
            {
                outbox_.emplace_back(over);
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
    auto& entry = home_[request.key.job];
    entry.heard_at = now_;
    entry.running = it.known && it.running;
    if (!it.known && !is_busy(request.key.job))
    {
        end_binding(*known, attempt_outcome::not_started, {}, 0, {});
    }
}

auto shard_engine::implementation::reserve(reservation value) -> void
{
    auto const key = attempt_key{value.task.spec.id, value.task.attempt};
    reserved_[value.task.worker] += value.task.spec.need;
    if (value.task.spec.priority == priority_class::batch)
    {
        workers_.at(value.task.worker).batch_placed_at = now_;
    }
    reservations_.insert_or_assign(key, std::move(value));
}

auto shard_engine::implementation::release(attempt_key const& key) -> void
{
    auto const it = reservations_.find(key);
    if (it == reservations_.end())
    {
        return;
    }
    auto const& task = it->second.task;
    auto const sum = reserved_.find(task.worker);
    sum->second -= task.spec.need;
    if (sum->second == core::resources{})
    {
        reserved_.erase(sum);
    }
    reservations_.erase(it);
}

// Repeats claims, commits granted tasks and drops reservations that were never
// claimed in time.
auto shard_engine::implementation::follow_reservations() -> void
{
    auto expired = std::vector<attempt_key>{};
    auto granted = std::vector<reservation>{};
    for (auto& [key, value] : reservations_)
    {
        if (value.own || is_busy(key))
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
        release(key);
    }
    std::erase_if(
        forgotten_, [this](auto const& it) { return now_ >= it.second; });
    for (auto const& value : granted)
    {
        host_granted(value);
    }
}

// Gives up offers whose claim did not come in time.
auto shard_engine::implementation::follow_offers() -> void
{
    for (auto& [id, entry] : home_)
    {
        if (entry.offer && now_ >= entry.offer->expires && !is_busy(id))
        {
            entry.not_before[entry.offer->host] =
                now_ + settings_.message_retry;
            entry.offer.reset();
        }
    }
}

} // namespace godwitcleat::state
