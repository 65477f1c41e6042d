/** @file engine_jobs.cpp Jobs whose home is the engine's shard. */
#include "state/engine_internal.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace godwitcleat::state
{

namespace
{

// An interruptible service runner writes a checkpoint before it stops; other
// tasks of cancelled jobs are stopped immediately.
auto stop_kind_of(job_spec const& spec) -> stop_kind
{
    return spec.kind == job_kind::service && spec.interruptible
               ? stop_kind::checkpoint
               : stop_kind::stop;
}

auto job_conflict(core::job_id const& id) -> std::nullopt_t
{
    return core::fail(
        core::error_kind::conflict, fmt::format(
                                        "job \"{}\" exists with a different "
                                        "specification; choose another id",
                                        id.value));
}

} // namespace

auto shard_engine::implementation::submit(
    job_spec spec, commit_callback on_done) -> void
{
    auto const id = spec.id;
    auto const is_same_id = [&id](record const& it)
    {
        auto const* value = std::get_if<submit_job>(&it);
        return value != nullptr && value->spec.id == id;
    };
    if (auto* pending = find_pending_change(is_same_id))
    {
        if (std::get<submit_job>(pending->records.front()).spec == spec)
        {
            pending->on_done.push_back(std::move(on_done));
            return;
        }
        job_conflict(id);
        on_done(false);
        return;
    }
    if (auto const* known = state_.find_job(id))
    {
        auto const is_repeat = known->spec == spec;
        if (!is_repeat)
        {
            job_conflict(id);
        }
        on_done(is_repeat);
        return;
    }
    if (!state_.validate(submit_job{spec}))
    {
        on_done(false);
        return;
    }
    enqueue({submit_job{std::move(spec)}}, std::move(on_done));
}

auto shard_engine::implementation::cancel(
    core::job_id const& id, std::string reason, commit_callback on_done) -> void
{
    if (has_pending_change(id))
    {
        auto& value = deferred_cancels_[id];
        value.reason = std::move(reason);
        value.on_done.push_back(std::move(on_done));
        return;
    }
    auto const* known = state_.find_job(id);
    if (known != nullptr && (is_final(known->phase) || known->cancel_requested))
    {
        on_done(true);
        return;
    }
    auto value = cancel_job{id, std::move(reason)};
    if (!state_.validate(value))
    {
        on_done(false);
        return;
    }
    enqueue({std::move(value)}, std::move(on_done));
}

auto shard_engine::implementation::retry_cancels() -> void
{
    auto const deferred = std::exchange(deferred_cancels_, {});
    for (auto const& [id, value] : deferred)
    {
        for (auto const& it : value.on_done)
        {
            // The first call enqueues the record, the others are deferred.
            cancel(id, value.reason, it);
        }
    }
}

// Collects the configured jobs and service runners whose home is this shard.
auto shard_engine::implementation::load_configured_jobs() -> void
{
    configured_jobs_.clear();
    auto const is_home = [this](core::job_id const& id)
    {
        return shard_of(id, settings_.shard_count) == state_.shard();
    };
    for (auto const& [name, service] : view_.config->services)
    {
        for (auto const& id : runner_ids(service))
        {
            if (is_home(id))
            {
                configured_jobs_.emplace(id, runner_spec(service, id));
            }
        }
    }
    for (auto const& [id, batch] : view_.config->jobs)
    {
        if (is_home(id))
        {
            auto spec = batch.spec;
            spec.id = id;
            configured_jobs_.emplace(id, std::move(spec));
        }
    }
}

auto shard_engine::implementation::reconcile_configuration() -> void
{
    for (auto const& [id, spec] : configured_jobs_)
    {
        auto const* known = state_.find_job(id);
        if (has_pending_change(id))
        {
            continue;
        }
        if (known == nullptr ||
            (spec.kind == job_kind::service && is_final(known->phase)))
        {
            if (state_.validate(submit_job{spec}))
            {
                enqueue({submit_job{spec}});
            }
        }
        else if (spec.kind == job_kind::service && known->spec != spec)
        {
            replace_changed_runner(*known, spec);
        }
    }
    for (auto const& [id, known] : state_.data().jobs)
    {
        if (known.spec.kind == job_kind::service && !is_final(known.phase) &&
            !known.cancel_requested && !configured_jobs_.contains(id) &&
            !has_pending_change(id))
        {
            enqueue({cancel_job{id, "no longer in the configuration"}});
        }
    }
}

// Rolling update: replaces a running runner only while all other runners of its
// service in this shard are running, so that the service stays available.
auto shard_engine::implementation::replace_changed_runner(
    job const& known, job_spec const& configured) -> void
{
    auto const is_down = [this, &configured](auto const& it)
    {
        if (it.second.service != configured.service ||
            it.first == configured.id)
        {
            return false;
        }
        auto const* other = state_.find_job(it.first);
        return other == nullptr || other->cancel_requested ||
               has_pending_change(it.first) ||
               phase_of(*other) != job_phase::running;
    };
    if (known.cancel_requested ||
        (phase_of(known) == job_phase::running &&
         std::any_of(
             configured_jobs_.begin(), configured_jobs_.end(), is_down)))
    {
        return;
    }
    enqueue({cancel_job{configured.id, "replaced by a changed configuration"}});
}

auto shard_engine::implementation::advance_jobs() -> void
{
    for (auto const& [id, known] : state_.data().jobs)
    {
        if (is_final(known.phase))
        {
            expire_final_job(known);
        }
        else if (!known.binding || has_pending_change(id))
        {
            continue;
        }
        else if (known.cancel_requested)
        {
            stop_cancelled(known);
        }
        else if (known.binding->host != state_.shard())
        {
            poll_remote_attempt(known);
        }
    }
}

auto shard_engine::implementation::stop_cancelled(job const& known) -> void
{
    auto const key = attempt_key{known.spec.id, known.binding->number};
    auto const kind = stop_kind_of(known.spec);
    if (known.binding->host == state_.shard())
    {
        request_stop(key, kind);
        return;
    }
    auto& entry = home_entries_[known.spec.id];
    if (now_ - entry.status_requested_at >= settings_.message_retry)
    {
        entry.status_requested_at = now_;
        outbox_.emplace_back(status_request{
            state_.shard(), known.binding->host, key, true,
            kind == stop_kind::checkpoint});
    }
}

auto shard_engine::implementation::poll_remote_attempt(job const& known) -> void
{
    auto& entry = home_entries_[known.spec.id];
    auto const latest =
        std::max(entry.last_heard_at, entry.status_requested_at);
    if (now_ - latest >= settings_.status_interval)
    {
        entry.status_requested_at = now_;
        outbox_.emplace_back(status_request{
            state_.shard(), known.binding->host,
            attempt_key{known.spec.id, known.binding->number}, false, false});
    }
}

// Drops final jobs after the retention time. A job that is still configured is
// kept, because it would otherwise be submitted and run again.
auto shard_engine::implementation::expire_final_job(job const& known) -> void
{
    auto& entry = home_entries_[known.spec.id];
    if (!entry.final_since)
    {
        entry.final_since = now_;
    }
    if (now_ - *entry.final_since >= settings_.retention &&
        !configured_jobs_.contains(known.spec.id) &&
        !has_pending_change(known.spec.id))
    {
        enqueue({drop_job{known.spec.id}});
    }
}

auto shard_engine::implementation::end_binding(
    job const& known, attempt_outcome outcome, std::string checkpoint,
    std::int64_t progress, commit_callback on_done) -> void
{
    enqueue(
        {end_attempt{
            known.spec.id, known.binding->number, outcome,
            std::move(checkpoint), progress,
            outcome == attempt_outcome::finished
                ? std::string{}
                : fmt::format(
                      "attempt {} ended: {}", known.binding->number.value,
                      to_string(outcome))}},
        std::move(on_done));
}

auto shard_engine::implementation::phase_of(job const& known) const -> job_phase
{
    auto const home = home_entries_.find(known.spec.id);
    if (!known.binding)
    {
        return known.phase == job_phase::queued &&
                       home != home_entries_.end() && home->second.impossible
                   ? job_phase::impossible
                   : known.phase;
    }
    if (known.binding->host != state_.shard())
    {
        return home != home_entries_.end() && home->second.remote_running
                   ? job_phase::running
                   : known.phase;
    }
    auto const it = task_entries_.find({known.spec.id, known.binding->number});
    if (it == task_entries_.end() || !it->second.reported)
    {
        return known.phase;
    }
    return it->second.requested_stop == stop_kind::checkpoint ||
                   it->second.phase == task_phase::checkpointing
               ? job_phase::checkpointing
               : job_phase::running;
}

} // namespace godwitcleat::state
