/** @file engine_base.cpp Construction and public interface of the engine. */
#include "state/engine_internal.hpp"

#include <fmt/format.h>

namespace godwitcleat::state
{

auto attempt_text(core::attempt_number number) -> std::string
{
    return fmt::format("attempt={}", number.value);
}

auto with_margin(core::duration length, engine_settings const& settings)
    -> core::duration
{
    auto const count = static_cast<double>(length.count());
    return core::duration{static_cast<core::duration::rep>(
        count * (1.0 + settings.clock_rate_margin))};
}

shard_engine::implementation::implementation(
    core::epoch owner_epoch, shard_state recovered, engine_settings settings,
    engine_hooks hooks, core::time_point now, engine_faults faults)
    : epoch_(owner_epoch)
    , state_(std::move(recovered))
    , settings_(settings)
    , hooks_(std::move(hooks))
    , faults_(faults)
    , now_(now)
    , created_at_(now)
{
    if (!hooks_.place)
    {
        hooks_.place = interference_aware(interference_.estimate());
    }
    if (!hooks_.mitigate)
    {
        hooks_.mitigate = choose_mitigation;
    }
    if (!hooks_.unique_id)
    {
        hooks_.unique_id = core::unique_id;
    }
    // The first owner of a shard has no predecessor whose leases could still
    // be valid.
    if (epoch_.value <= 1)
    {
        former_owner_stopped_at_ = now;
    }
    for (auto const& [key, task] : state_.data().tasks)
    {
        task_entries_[key].recovered = true;
        // A former owner may have throttled the task; only tasks with a class
        // are ever throttled.
        if (!task.spec.task_class.empty())
        {
            task_entries_[key].throttle_percent = 100;
        }
        tasks_by_worker_[task.worker].insert(key);
    }
    for (auto const& [id, job] : state_.data().jobs)
    {
        home_entries_[id].last_heard_at = now;
    }
}

shard_engine::shard_engine(
    core::epoch owner_epoch, shard_state recovered, engine_settings settings,
    engine_hooks hooks, core::time_point now, engine_faults faults)
    : implementation_(std::make_unique<implementation>(
          owner_epoch, std::move(recovered), settings, std::move(hooks), now,
          faults))
{
}

shard_engine::~shard_engine()
{
    if (implementation_)
    {
        implementation_->fail_open_calls(
            {core::error_kind::unknown_outcome,
             "this instance no longer owns the shard; repeat the call"});
    }
}

shard_engine::shard_engine(shard_engine&&) noexcept = default;

auto shard_engine::operator=(shard_engine&& other) noexcept -> shard_engine&
{
    // The previous state is destroyed with `other`, which fails its open calls.
    std::swap(implementation_, other.implementation_);
    return *this;
}

auto shard_engine::submit(job_spec spec, commit_callback on_done) -> void
{
    implementation_->submit(std::move(spec), std::move(on_done));
}

auto shard_engine::cancel(
    core::job_id const& id, std::string reason, commit_callback on_done) -> void
{
    implementation_->cancel(id, std::move(reason), std::move(on_done));
}

auto shard_engine::heartbeat(worker_report const& report, core::time_point now)
    -> heartbeat_reply
{
    implementation_->now_ = now;
    return implementation_->heartbeat(report);
}

auto shard_engine::refresh_reply(
    core::worker_id const& worker, std::uint64_t boot, std::uint64_t sequence,
    core::time_point now) -> std::optional<heartbeat_reply>
{
    implementation_->now_ = now;
    return implementation_->refresh_reply(worker, boot, sequence);
}

auto shard_engine::take_due_workers() -> std::set<core::worker_id>
{
    return std::exchange(implementation_->due_workers_, {});
}

auto shard_engine::handle(
    shard_request const& request, core::time_point now, reply_callback on_reply)
    -> void
{
    implementation_->now_ = now;
    implementation_->handle(request, std::move(on_reply));
}

auto shard_engine::handle_reply(
    shard_request const& request, std::optional<shard_reply> const& reply,
    core::time_point now) -> void
{
    implementation_->now_ = now;
    implementation_->handle_reply(request, reply);
}

auto shard_engine::tick(core::time_point now, cluster_view const& view) -> void
{
    implementation_->now_ = now;
    implementation_->tick(view);
}

auto shard_engine::take_requests() -> std::vector<shard_request>
{
    return std::exchange(implementation_->outbox_, {});
}

auto shard_engine::take_batch(core::time_point now)
    -> std::optional<commit_batch>
{
    implementation_->now_ = now;
    return implementation_->take_batch();
}

auto shard_engine::batch_committed(core::time_point sent_at) -> void
{
    implementation_->batch_committed(sent_at);
}

auto shard_engine::batch_rejected(batch_rejection cause) -> void
{
    implementation_->batch_rejected(cause);
}

auto shard_engine::state() const -> shard_state const&
{
    return implementation_->state_;
}

auto shard_engine::jobs() const -> std::vector<job>
{
    return implementation_->jobs();
}

auto shard_engine::workers(core::time_point now) const
    -> std::vector<worker_view>
{
    return implementation_->workers(now);
}

auto shard_engine::endpoints() const -> std::vector<service_endpoint>
{
    return implementation_->endpoints();
}

auto shard_engine::knows_all_endpoints() const -> bool
{
    return implementation_->knows_all_endpoints();
}

auto shard_engine::summary(core::time_point now) const -> shard_summary
{
    return implementation_->summary(now);
}

} // namespace godwitcleat::state
