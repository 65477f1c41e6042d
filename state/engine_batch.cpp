/** @file engine_batch.cpp Pending records, group commits and their results. */
#include "state/engine_internal.hpp"

#include <algorithm>
#include <iterator>

namespace godwitcleat::state
{

namespace
{

// About 1 KB per record keeps a batch below half of the store's 1 MB limit.
constexpr std::size_t max_records_per_batch = 512;

// Without this record of forgotten tasks, a repeated offer and a delayed grant
// of its first claim would run a task again. Requests time out well before.
constexpr core::duration forgotten_task_retention = std::chrono::minutes{1};

struct record_keys
{
    std::optional<core::job_id> job;
    std::optional<attempt_key> task;
};

// Returns the job or the task that the record changes.
auto keys_of(record const& value) -> record_keys
{
    return std::visit(
        [](auto const& it) -> record_keys
        {
            using type = std::decay_t<decltype(it)>;
            if constexpr (std::is_same_v<type, submit_job>)
            {
                return {it.spec.id, {}};
            }
            else if constexpr (std::is_same_v<type, host_task>)
            {
                return {{}, attempt_key{it.task.spec.id, it.task.attempt}};
            }
            else if constexpr (requires { it.job; })
            {
                return {it.job, {}};
            }
            else if constexpr (requires { it.key; })
            {
                return {{}, it.key};
            }
            else
            {
                return {};
            }
        },
        value);
}

auto allows_any_start(pending_change const& value) -> bool
{
    return std::any_of(
        value.records.begin(), value.records.end(), allows_start);
}

} // namespace

auto shard_engine::implementation::enqueue(
    std::vector<record> records, commit_callback on_done) -> void
{
    auto value = pending_change{};
    value.records = std::move(records);
    value.generation = view_.config ? view_.config->number : core::generation{};
    if (on_done)
    {
        value.on_done.push_back(std::move(on_done));
    }
    mark_pending(value);
    queued_changes_.push_back(std::move(value));
}

auto shard_engine::implementation::has_pending_change(
    core::job_id const& id) const -> bool
{
    return pending_jobs_.contains(id);
}

auto shard_engine::implementation::has_pending_change(
    attempt_key const& key) const -> bool
{
    return pending_tasks_.contains(key);
}

auto shard_engine::implementation::mark_pending(pending_change const& value)
    -> void
{
    for (auto const& it : value.records)
    {
        auto const keys = keys_of(it);
        if (keys.job)
        {
            pending_jobs_.insert(*keys.job);
        }
        if (keys.task)
        {
            pending_tasks_.insert(*keys.task);
        }
        reconfirm_pending_ |= std::holds_alternative<reconfirm>(it);
    }
}

auto shard_engine::implementation::clear_pending(pending_change const& value)
    -> void
{
    for (auto const& it : value.records)
    {
        auto const keys = keys_of(it);
        if (keys.job)
        {
            pending_jobs_.erase(*keys.job);
        }
        if (keys.task)
        {
            pending_tasks_.erase(*keys.task);
        }
        if (std::holds_alternative<reconfirm>(it))
        {
            reconfirm_pending_ = false;
        }
    }
}

auto shard_engine::implementation::find_pending_change(
    std::function<bool(record const&)> const& matches) -> pending_change*
{
    auto const holds = [&matches](pending_change const& it)
    {
        return std::any_of(it.records.begin(), it.records.end(), matches);
    };
    auto const queued =
        std::find_if(queued_changes_.begin(), queued_changes_.end(), holds);
    if (queued != queued_changes_.end())
    {
        return &*queued;
    }
    if (!changes_in_flight_)
    {
        return nullptr;
    }
    auto const in_flight = std::find_if(
        changes_in_flight_->begin(), changes_in_flight_->end(), holds);
    return in_flight == changes_in_flight_->end() ? nullptr : &*in_flight;
}

auto shard_engine::implementation::take_batch() -> std::optional<commit_batch>
{
    if (changes_in_flight_ || queued_changes_.empty())
    {
        return std::nullopt;
    }
    auto result = commit_batch{};
    auto& records = result.batch.records;
    changes_in_flight_.emplace();
    while (!queued_changes_.empty() &&
           (records.empty() ||
            records.size() + queued_changes_.front().records.size() <=
                max_records_per_batch))
    {
        auto& next = queued_changes_.front();
        if (allows_any_start(next))
        {
            result.allows_start = true;
            result.generation = next.generation;
        }
        records.insert(records.end(), next.records.begin(), next.records.end());
        changes_in_flight_->push_back(std::move(next));
        queued_changes_.pop_front();
    }
    in_flight_allows_start_ = result.allows_start;
    result.batch.unique_id = hooks_.unique_id();
    return result;
}

auto shard_engine::implementation::batch_committed(core::time_point sent_at)
    -> void
{
    if (!changes_in_flight_)
    {
        return;
    }
    auto const changes = std::exchange(changes_in_flight_, std::nullopt);
    // The commit has verified the configuration generation. For tasks on
    // workers that are not drained, it proves that no drain was accepted before
    // `sent_at`.
    if (in_flight_allows_start_ &&
        (!last_start_commit_at_ || *last_start_commit_at_ < sent_at))
    {
        last_start_commit_at_ = sent_at;
        due_workers_.merge(workers_awaiting_start_);
        workers_awaiting_start_.clear();
    }
    auto callbacks = std::vector<due_callback>{};
    for (auto it : *changes)
    {
        clear_pending(it);
        apply(it, callbacks);
    }
    retry_cancels();
    run_callbacks(callbacks);
}

auto shard_engine::implementation::apply(
    pending_change& value, std::vector<due_callback>& callbacks) -> void
{
    auto reason = std::optional<core::failure>{};
    for (auto const& it : value.records)
    {
        if (state_.apply(it))
        {
            update_volatile_state(it);
        }
        else if (!reason)
        {
            reason = core::last_reason();
        }
    }
    for (auto& it : value.on_done)
    {
        callbacks.push_back({std::move(it), reason});
    }
}

// Updates the volatile state after @p value was applied to the durable state.
auto shard_engine::implementation::update_volatile_state(record const& value)
    -> void
{
    if (auto const* it = std::get_if<submit_job>(&value))
    {
        home_entries_[it->spec.id] = {};
        emit_event("job_submitted", it->spec.id, {}, it->spec.team.value);
    }
    else if (auto const* it = std::get_if<cancel_job>(&value))
    {
        emit_event("job_cancelled", it->job, {}, it->reason);
    }
    else if (auto const* it = std::get_if<bind_attempt>(&value))
    {
        auto& entry = home_entries_[it->job];
        entry.offer.reset();
        entry.wait_reason.clear();
        entry.evicting_host.reset();
        entry.remote_running = false;
        entry.last_heard_at = now_;
        capacity_holds_.erase(it->job);
        emit_event(
            "attempt_bound", it->job, it->binding.worker,
            attempt_text(it->binding.number));
    }
    else if (auto const* it = std::get_if<end_attempt>(&value))
    {
        home_entries_[it->job].remote_running = false;
        emit_event(
            "attempt_ended", it->job, {},
            attempt_text(it->attempt) +
                " outcome=" + std::string{to_string(it->outcome)});
    }
    else if (auto const* it = std::get_if<drop_job>(&value))
    {
        home_entries_.erase(it->job);
        emit_event("job_dropped", it->job, {}, {});
    }
    else if (auto const* it = std::get_if<host_task>(&value))
    {
        auto const key = attempt_key{it->task.spec.id, it->task.attempt};
        release_reservation(key);
        capacity_holds_.erase(key.job);
        task_entries_[key] = {};
        tasks_by_worker_[it->task.worker].insert(key);
        due_workers_.insert(it->task.worker);
        emit_event(
            "task_committed", key.job, it->task.worker,
            attempt_text(key.attempt));
    }
    else if (auto const* it = std::get_if<end_task>(&value))
    {
        auto const* task = state_.find_task(it->key);
        if (task != nullptr)
        {
            due_workers_.insert(task->worker);
        }
        emit_event(
            "task_ended", it->key.job,
            task != nullptr ? task->worker : core::worker_id{},
            attempt_text(it->key.attempt) +
                " outcome=" + std::string{to_string(it->outcome)});
    }
    else if (auto const* it = std::get_if<forget_task>(&value))
    {
        task_entries_.erase(it->key);
        forgotten_tasks_[it->key] = now_ + forgotten_task_retention;
        for (auto worker = tasks_by_worker_.begin();
             worker != tasks_by_worker_.end();)
        {
            worker->second.erase(it->key);
            worker = worker->second.empty() ? tasks_by_worker_.erase(worker)
                                            : std::next(worker);
        }
    }
    else if (auto const* it = std::get_if<decline_attempt>(&value))
    {
        emit_event(
            "attempt_declined", it->key.job, {}, attempt_text(it->key.attempt));
    }
}

auto shard_engine::implementation::batch_rejected(batch_rejection cause) -> void
{
    if (cause == batch_rejection::not_owner)
    {
        fail_open_calls(
            {core::error_kind::not_owner,
             "the shard is owned by another instance; ask that instance"});
        return;
    }
    if (!changes_in_flight_)
    {
        return;
    }
    auto changes = std::exchange(changes_in_flight_, std::nullopt);
    auto callbacks = std::vector<due_callback>{};
    auto kept = std::deque<pending_change>{};
    for (auto& it : *changes)
    {
        if (allows_any_start(it))
        {
            drop_start(std::move(it), callbacks);
        }
        else
        {
            kept.push_back(std::move(it));
        }
    }
    queued_changes_.insert(
        queued_changes_.begin(), std::make_move_iterator(kept.begin()),
        std::make_move_iterator(kept.end()));
    retry_cancels();
    run_callbacks(callbacks);
}

auto shard_engine::implementation::drop_start(
    pending_change value, std::vector<due_callback>& callbacks) -> void
{
    clear_pending(value);
    for (auto const& it : value.records)
    {
        if (auto const* host = std::get_if<host_task>(&it))
        {
            // A granted reservation for another shard's job is kept: its
            // host_task is decided again under the new configuration.
            auto const key =
                attempt_key{host->task.spec.id, host->task.attempt};
            auto const found = reservations_.find(key);
            if (found != reservations_.end() && found->second.is_home_job)
            {
                release_reservation(key);
            }
        }
    }
    for (auto& it : value.on_done)
    {
        callbacks.push_back(
            {std::move(it),
             core::failure{
                 core::error_kind::unavailable,
                 "the configuration has changed; repeat the request"}});
    }
}

auto shard_engine::implementation::drop_outdated_starts() -> void
{
    auto callbacks = std::vector<due_callback>{};
    auto kept = std::deque<pending_change>{};
    for (auto& it : queued_changes_)
    {
        if (allows_any_start(it) && it.generation != view_.config->number)
        {
            drop_start(std::move(it), callbacks);
        }
        else
        {
            kept.push_back(std::move(it));
        }
    }
    queued_changes_ = std::move(kept);
    run_callbacks(callbacks);
}

auto shard_engine::implementation::fail_open_calls(core::failure const& reason)
    -> void
{
    auto callbacks = std::vector<due_callback>{};
    auto const collect =
        [&callbacks, &reason](std::vector<commit_callback>& open)
    {
        for (auto& it : open)
        {
            callbacks.push_back({std::move(it), reason});
        }
        open.clear();
    };
    if (changes_in_flight_)
    {
        for (auto& it : *changes_in_flight_)
        {
            collect(it.on_done);
        }
    }
    for (auto& it : queued_changes_)
    {
        collect(it.on_done);
    }
    for (auto& [id, it] : deferred_cancels_)
    {
        collect(it.on_done);
    }
    changes_in_flight_.reset();
    queued_changes_.clear();
    deferred_cancels_.clear();
    run_callbacks(callbacks);
}

auto shard_engine::implementation::run_callbacks(
    std::vector<due_callback> const& callbacks) -> void
{
    for (auto const& it : callbacks)
    {
        if (it.reason)
        {
            core::fail(*it.reason);
        }
        it.on_done(!it.reason.has_value());
    }
}

} // namespace godwitcleat::state
