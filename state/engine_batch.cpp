/** @file engine_batch.cpp Waiting records, group commits and their results. */
#include "state/engine_internal.hpp"

#include <algorithm>
#include <iterator>

namespace godwitcleat::state
{

namespace
{

// About 1 KB per record keeps a batch below half of the store's 1 MB limit.
constexpr std::size_t most_records_per_batch = 512;

// A repeated offer, together with a delayed grant of its first claim, would
// run a forgotten task again. Requests time out long before this.
constexpr core::duration forgotten_retention = std::chrono::minutes{1};

struct record_keys
{
    std::optional<core::job_id> job;
    std::optional<attempt_key> task;
};

// Returns the job or the task that a record changes.
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

auto allows_any_start(change const& value) -> bool
{
    return std::any_of(
        value.records.begin(), value.records.end(), allows_start);
}

} // namespace

auto shard_engine::implementation::enqueue(
    std::vector<record> records, done on_done) -> void
{
    auto value = change{};
    value.records = std::move(records);
    value.generation = view_.config ? view_.config->number : core::generation{};
    if (on_done)
    {
        value.on_done.push_back(std::move(on_done));
    }
    mark_busy(value);
    waiting_.push_back(std::move(value));
}

auto shard_engine::implementation::is_busy(core::job_id const& id) const -> bool
{
    return busy_jobs_.contains(id);
}

auto shard_engine::implementation::is_busy(attempt_key const& key) const -> bool
{
    return busy_tasks_.contains(key);
}

auto shard_engine::implementation::mark_busy(change const& value) -> void
{
    for (auto const& it : value.records)
    {
        auto const keys = keys_of(it);
        if (keys.job)
        {
            busy_jobs_.insert(*keys.job);
        }
        if (keys.task)
        {
            busy_tasks_.insert(*keys.task);
        }
        reconfirm_waits_ |= std::holds_alternative<reconfirm>(it);
    }
}

auto shard_engine::implementation::unmark_busy(change const& value) -> void
{
    for (auto const& it : value.records)
    {
        auto const keys = keys_of(it);
        if (keys.job)
        {
            busy_jobs_.erase(*keys.job);
        }
        if (keys.task)
        {
            busy_tasks_.erase(*keys.task);
        }
        if (std::holds_alternative<reconfirm>(it))
        {
            reconfirm_waits_ = false;
        }
    }
}

auto shard_engine::implementation::find_change(
    std::function<bool(record const&)> const& matches) -> change*
{
    auto const holds = [&matches](change const& it)
    {
        return std::any_of(it.records.begin(), it.records.end(), matches);
    };
    auto const waits = std::find_if(waiting_.begin(), waiting_.end(), holds);
    if (waits != waiting_.end())
    {
        return &*waits;
    }
    if (!flight_)
    {
        return nullptr;
    }
    auto const flies = std::find_if(flight_->begin(), flight_->end(), holds);
    return flies == flight_->end() ? nullptr : &*flies;
}

auto shard_engine::implementation::take_batch() -> std::optional<commit_batch>
{
    if (flight_ || waiting_.empty())
    {
        return std::nullopt;
    }
    auto result = commit_batch{};
    auto& records = result.batch.records;
    flight_.emplace();
    while (
        !waiting_.empty() &&
        (records.empty() || records.size() + waiting_.front().records.size() <=
                                most_records_per_batch))
    {
        auto& next = waiting_.front();
        if (allows_any_start(next))
        {
            result.allows_start = true;
            result.generation = next.generation;
        }
        records.insert(records.end(), next.records.begin(), next.records.end());
        flight_->push_back(std::move(next));
        waiting_.pop_front();
    }
    flight_allows_start_ = result.allows_start;
    result.batch.unique_id = hooks_.unique_id();
    return result;
}

auto shard_engine::implementation::batch_committed(core::time_point sent_at)
    -> void
{
    if (!flight_)
    {
        return;
    }
    auto const changes = std::exchange(flight_, std::nullopt);
    // The batch has compared the configuration generation, so it proves for
    // every task on a worker that is not drained that no drain was accepted
    // before `sent_at`.
    if (flight_allows_start_ &&
        (!start_allowed_at_ || *start_allowed_at_ < sent_at))
    {
        start_allowed_at_ = sent_at;
        due_workers_.merge(waits_for_start_);
        waits_for_start_.clear();
    }
    auto calls = std::vector<due_call>{};
    for (auto it : *changes)
    {
        unmark_busy(it);
        apply(it, calls);
    }
    retry_cancels();
    run(calls);
}

auto shard_engine::implementation::apply(
    change& value, std::vector<due_call>& calls) -> void
{
    auto reason = std::optional<core::failure>{};
    for (auto const& it : value.records)
    {
        if (state_.apply(it))
        {
            applied(it);
        }
        else if (!reason)
        {
            reason = core::last_reason();
        }
    }
    for (auto& it : value.on_done)
    {
        calls.push_back({std::move(it), reason});
    }
}

// Updates the memory that accompanies the durable state after @p value.
auto shard_engine::implementation::applied(record const& value) -> void
{
    if (auto const* it = std::get_if<submit_job>(&value))
    {
        home_[it->spec.id] = {};
        event("job_submitted", it->spec.id, {}, it->spec.team.value);
    }
    else if (auto const* it = std::get_if<cancel_job>(&value))
    {
        event("job_cancelled", it->job, {}, it->reason);
    }
    else if (auto const* it = std::get_if<bind_attempt>(&value))
    {
        auto& entry = home_[it->job];
        entry.offer.reset();
        entry.waits.clear();
        entry.evicting_host.reset();
        entry.running = false;
        entry.heard_at = now_;
        holds_.erase(it->job);
        event(
            "attempt_bound", it->job, it->binding.worker,
            attempt_text(it->binding.number));
    }
    else if (auto const* it = std::get_if<end_attempt>(&value))
    {
        home_[it->job].running = false;
        event(
            "attempt_ended", it->job, {},
            attempt_text(it->attempt) +
                " outcome=" + std::string{to_string(it->outcome)});
    }
    else if (auto const* it = std::get_if<drop_job>(&value))
    {
        home_.erase(it->job);
        event("job_dropped", it->job, {}, {});
    }
    else if (auto const* it = std::get_if<host_task>(&value))
    {
        auto const key = attempt_key{it->task.spec.id, it->task.attempt};
        release(key);
        holds_.erase(key.job);
        tasks_[key] = {};
        tasks_of_[it->task.worker].insert(key);
        due_workers_.insert(it->task.worker);
        event(
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
        event(
            "task_ended", it->key.job,
            task != nullptr ? task->worker : core::worker_id{},
            attempt_text(it->key.attempt) +
                " outcome=" + std::string{to_string(it->outcome)});
    }
    else if (auto const* it = std::get_if<forget_task>(&value))
    {
        tasks_.erase(it->key);
        forgotten_[it->key] = now_ + forgotten_retention;
        for (auto worker = tasks_of_.begin(); worker != tasks_of_.end();)
        {
            worker->second.erase(it->key);
            worker = worker->second.empty() ? tasks_of_.erase(worker)
                                            : std::next(worker);
        }
    }
    else if (auto const* it = std::get_if<decline_attempt>(&value))
    {
        event(
            "attempt_declined", it->key.job, {}, attempt_text(it->key.attempt));
    }
}

auto shard_engine::implementation::batch_rejected(batch_rejection cause) -> void
{
    if (cause == batch_rejection::not_owner)
    {
        fail_everything(
            {core::error_kind::not_owner,
             "the shard has another owner; ask that one"});
        return;
    }
    if (!flight_)
    {
        return;
    }
    auto changes = std::exchange(flight_, std::nullopt);
    auto calls = std::vector<due_call>{};
    auto kept = std::deque<change>{};
    for (auto& it : *changes)
    {
        if (allows_any_start(it))
        {
            drop_start(std::move(it), calls);
        }
        else
        {
            kept.push_back(std::move(it));
        }
    }
    waiting_.insert(
        waiting_.begin(), std::make_move_iterator(kept.begin()),
        std::make_move_iterator(kept.end()));
    retry_cancels();
    run(calls);
}

auto shard_engine::implementation::drop_start(
    change value, std::vector<due_call>& calls) -> void
{
    unmark_busy(value);
    for (auto const& it : value.records)
    {
        if (auto const* host = std::get_if<host_task>(&it))
        {
            // A granted reservation of another home's job is kept: its
            // host_task is decided again under the new configuration.
            auto const key =
                attempt_key{host->task.spec.id, host->task.attempt};
            auto const found = reservations_.find(key);
            if (found != reservations_.end() && found->second.own)
            {
                release(key);
            }
        }
    }
    for (auto& it : value.on_done)
    {
        calls.push_back(
            {std::move(it),
             core::failure{
                 core::error_kind::unavailable,
                 "the configuration has changed; repeat the request"}});
    }
}

auto shard_engine::implementation::drop_outdated_starts() -> void
{
    auto calls = std::vector<due_call>{};
    auto kept = std::deque<change>{};
    for (auto& it : waiting_)
    {
        if (allows_any_start(it) && it.generation != view_.config->number)
        {
            drop_start(std::move(it), calls);
        }
        else
        {
            kept.push_back(std::move(it));
        }
    }
    waiting_ = std::move(kept);
    run(calls);
}

auto shard_engine::implementation::fail_everything(core::failure const& reason)
    -> void
{
    auto calls = std::vector<due_call>{};
    auto const collect = [&calls, &reason](std::vector<done>& all)
    {
        for (auto& it : all)
        {
            calls.push_back({std::move(it), reason});
        }
        all.clear();
    };
    if (flight_)
    {
        for (auto& it : *flight_)
        {
            collect(it.on_done);
        }
    }
    for (auto& it : waiting_)
    {
        collect(it.on_done);
    }
    for (auto& [id, it] : cancels_)
    {
        collect(it.on_done);
    }
    flight_.reset();
    waiting_.clear();
    cancels_.clear();
    run(calls);
}

auto shard_engine::implementation::run(std::vector<due_call> const& calls)
    -> void
{
    for (auto const& it : calls)
    {
        if (it.reason)
        {
            core::fail(*it.reason);
        }
        it.on_done(!it.reason.has_value());
    }
}

} // namespace godwitcleat::state
