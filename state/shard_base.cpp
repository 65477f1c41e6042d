/** @file shard_base.cpp Validates and applies the records of a shard. */
#include "state/shard_base.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace godwitcleat::state
{

namespace
{

using outcome = std::optional<bool>;

auto conflict(std::string message) -> outcome
{
    return core::fail(core::error_kind::conflict, std::move(message));
}

auto unknown_job(core::job_id const& id) -> outcome
{
    return core::fail(
        core::error_kind::not_found,
        fmt::format("job \"{}\" does not exist; check its id", id.value));
}

auto key_text(attempt_key const& key) -> std::string
{
    return fmt::format("{}#{}", key.job.value, key.attempt.value);
}

// A service runner in a final phase may be submitted again, because its service
// can return to the configuration. Its attempt numbers continue.
auto is_resubmittable(job const& known) -> bool
{
    return known.spec.kind == job_kind::service && is_final(known.phase);
}

auto is_valid(job_spec const& spec) -> bool
{
    return !spec.id.empty() && spec.need.cpu_milli >= 0 &&
           spec.need.memory_mb >= 0 && spec.need.accelerators >= 0;
}

// Checks whether a record may be applied to the data.
class record_validator
{
public:
    explicit record_validator(shard_data const& data)
        : data_(data)
    {
    }

    auto operator()(submit_job const& value) const -> outcome
    {
        if (!is_valid(value.spec))
        {
            return core::fail(
                core::error_kind::invalid_input,
                fmt::format(
                    "job \"{}\" needs an id and no negative resource amount",
                    value.spec.id.value));
        }
        auto const it = data_.jobs.find(value.spec.id);
        if (it != data_.jobs.end() && !is_resubmittable(it->second))
        {
            return conflict(fmt::format(
                "job \"{}\" already exists; choose another id",
                value.spec.id.value));
        }
        return true;
    }

    auto operator()(cancel_job const& value) const -> outcome
    {
        auto const it = data_.jobs.find(value.job);
        if (it == data_.jobs.end())
        {
            return unknown_job(value.job);
        }
        if (is_final(it->second.phase) || it->second.cancel_requested)
        {
            return conflict(fmt::format(
                "job \"{}\" has already ended or is being cancelled",
                value.job.value));
        }
        return true;
    }

    auto operator()(bind_attempt const& value) const -> outcome
    {
        auto const it = data_.jobs.find(value.job);
        if (it == data_.jobs.end())
        {
            return unknown_job(value.job);
        }
        auto const& job = it->second;
        if (is_final(job.phase) || job.cancel_requested)
        {
            return conflict(fmt::format(
                "job \"{}\" has ended or is being cancelled; it cannot start",
                value.job.value));
        }
        if (job.binding)
        {
            return conflict(fmt::format(
                "attempt {} of job \"{}\" has not ended",
                job.binding->number.value, value.job.value));
        }
        if (value.binding.number != job.last_attempt.next())
        {
            return conflict(fmt::format(
                "attempt {} of job \"{}\" is not the next attempt",
                value.binding.number.value, value.job.value));
        }
        return true;
    }

    auto operator()(end_attempt const& value) const -> outcome
    {
        auto const it = data_.jobs.find(value.job);
        if (it == data_.jobs.end())
        {
            return unknown_job(value.job);
        }
        auto const& binding = it->second.binding;
        if (!binding || binding->number != value.attempt)
        {
            return conflict(fmt::format(
                "attempt {} of job \"{}\" is not bound", value.attempt.value,
                value.job.value));
        }
        return true;
    }

    auto operator()(drop_job const& value) const -> outcome
    {
        auto const it = data_.jobs.find(value.job);
        if (it == data_.jobs.end())
        {
            return unknown_job(value.job);
        }
        if (!is_final(it->second.phase))
        {
            return conflict(
                fmt::format("job \"{}\" has not ended", value.job.value));
        }
        return true;
    }

    auto operator()(host_task const& value) const -> outcome
    {
        auto const key = attempt_key{value.task.spec.id, value.task.attempt};
        if (!is_valid(value.task.spec) || value.task.worker.empty() ||
            key.attempt.value == 0 || value.task.outcome)
        {
            return core::fail(
                core::error_kind::invalid_input,
                fmt::format(
                    "task {} needs an id, an attempt, a worker and no outcome",
                    key_text(key)));
        }
        if (data_.tasks.contains(key))
        {
            return conflict(
                fmt::format("task {} is already hosted", key_text(key)));
        }
        if (is_declined(key))
        {
            return conflict(fmt::format("task {} was declined", key_text(key)));
        }
        return true;
    }

    auto operator()(end_task const& value) const -> outcome
    {
        auto const it = data_.tasks.find(value.key);
        if (it == data_.tasks.end())
        {
            return unknown_task(value.key);
        }
        if (it->second.outcome)
        {
            return conflict(
                fmt::format("task {} has already ended", key_text(value.key)));
        }
        return true;
    }

    auto operator()(forget_task const& value) const -> outcome
    {
        auto const it = data_.tasks.find(value.key);
        if (it == data_.tasks.end())
        {
            return unknown_task(value.key);
        }
        if (!it->second.outcome)
        {
            return conflict(
                fmt::format("task {} has not ended", key_text(value.key)));
        }
        return true;
    }

    auto operator()(decline_attempt const& value) const -> outcome
    {
        if (data_.tasks.contains(value.key))
        {
            return conflict(fmt::format(
                "task {} is hosted by this shard", key_text(value.key)));
        }
        if (is_declined(value.key))
        {
            return conflict(fmt::format(
                "task {} was already declined", key_text(value.key)));
        }
        return true;
    }

    auto operator()(reconfirm const& /*value*/) const -> outcome
    {
        return true;
    }

private:
    [[nodiscard]] auto is_declined(attempt_key const& key) const -> bool
    {
        auto const it = data_.declined.find(key.job);
        return it != data_.declined.end() && key.attempt <= it->second;
    }

    static auto unknown_task(attempt_key const& key) -> outcome
    {
        return core::fail(
            core::error_kind::not_found,
            fmt::format("task {} is not hosted by this shard", key_text(key)));
    }

    shard_data const& data_;
};

// Returns the phase of @p job after one of its attempts ended.
auto phase_after(job const& job, attempt_outcome ended) -> job_phase
{
    // A service runner never finishes: it is placed again until cancelled.
    auto const is_service = job.spec.kind == job_kind::service;
    if (ended == attempt_outcome::finished && !is_service)
    {
        return job_phase::finished;
    }
    if (job.cancel_requested)
    {
        return job_phase::cancelled;
    }
    if (job.failures >= max_failed_attempts && !is_service)
    {
        return job_phase::failed;
    }
    return job_phase::queued;
}

// Applies a valid record.
class record_applier
{
public:
    record_applier(
        shard_data& data, std::map<core::worker_id, core::resources>& committed)
        : data_(data)
        , committed_(committed)
    {
    }

    auto operator()(submit_job const& value) -> void
    {
        auto& job = data_.jobs[value.spec.id];
        auto const declined = data_.declined.find(value.spec.id);
        auto last = job.last_attempt;
        if (declined != data_.declined.end())
        {
            last = std::max(last, declined->second);
        }
        job = {};
        job.spec = value.spec;
        job.last_attempt = last;
        job.submit_order = data_.next_submit_order++;
    }

    auto operator()(cancel_job const& value) -> void
    {
        auto& job = data_.jobs[value.job];
        job.cancel_requested = true;
        job.reason = value.reason;
        if (!job.binding)
        {
            job.phase = job_phase::cancelled;
        }
    }

    auto operator()(bind_attempt const& value) -> void
    {
        auto& job = data_.jobs[value.job];
        job.last_attempt = value.binding.number;
        job.binding = value.binding;
        job.phase = job_phase::placed;
    }

    auto operator()(end_attempt const& value) -> void
    {
        auto& job = data_.jobs[value.job];
        job.binding.reset();
        job.failures += value.outcome == attempt_outcome::failed ? 1 : 0;
        job.evictions += value.outcome == attempt_outcome::stopped ? 1 : 0;
        if (!value.checkpoint.empty())
        {
            job.checkpoint = value.checkpoint;
            job.progress = value.progress;
        }
        if (!value.reason.empty() && !job.cancel_requested)
        {
            job.reason = value.reason;
        }
        job.phase = phase_after(job, value.outcome);
    }

    auto operator()(drop_job const& value) -> void
    {
        auto const it = data_.jobs.find(value.job);
        // The id of a service runner may be submitted again. The highest
        // attempt number is kept, so that the numbers of the new job are
        // above those that hosts have declined.
        if (it->second.spec.kind == job_kind::service)
        {
            auto& last = data_.declined[value.job];
            last = std::max(last, it->second.last_attempt);
        }
        data_.jobs.erase(it);
    }

    auto operator()(host_task const& value) -> void
    {
        auto const& task = value.task;
        data_.tasks[attempt_key{task.spec.id, task.attempt}] = task;
        committed_[task.worker] += task.spec.need;
    }

    auto operator()(end_task const& value) -> void
    {
        auto& task = data_.tasks[value.key];
        task.outcome = value.outcome;
        task.end_checkpoint = value.checkpoint;
        task.end_progress = value.progress;
        auto& sum = committed_[task.worker];
        sum -= task.spec.need;
        if (sum == core::resources{})
        {
            committed_.erase(task.worker);
        }
    }

    auto operator()(forget_task const& value) -> void
    {
        data_.tasks.erase(value.key);
    }

    auto operator()(decline_attempt const& value) -> void
    {
        data_.declined[value.key.job] = value.key.attempt;
    }

    auto operator()(reconfirm const& /*value*/) -> void {}

private:
    shard_data& data_;
    std::map<core::worker_id, core::resources>& committed_;
};

} // namespace

shard_state::shard_state(core::shard_id shard, shard_data data)
    : shard_(shard)
    , data_(std::move(data))
{
    for (auto const& [key, task] : data_.tasks)
    {
        if (!task.outcome)
        {
            committed_[task.worker] += task.spec.need;
        }
    }
}

auto shard_state::validate(record const& value) const -> std::optional<bool>
{
    return std::visit(record_validator{data_}, value);
}

auto shard_state::apply(record const& value) -> std::optional<bool>
{
    if (!validate(value))
    {
        return std::nullopt;
    }
    std::visit(record_applier{data_, committed_}, value);
    return true;
}

auto shard_state::find_job(core::job_id const& id) const -> job const*
{
    auto const it = data_.jobs.find(id);
    return it == data_.jobs.end() ? nullptr : &it->second;
}

auto shard_state::find_task(attempt_key const& key) const -> hosted_task const*
{
    auto const it = data_.tasks.find(key);
    return it == data_.tasks.end() ? nullptr : &it->second;
}

auto shard_state::committed(core::worker_id const& worker) const
    -> core::resources
{
    auto const it = committed_.find(worker);
    return it == committed_.end() ? core::resources{} : it->second;
}

} // namespace godwitcleat::state
