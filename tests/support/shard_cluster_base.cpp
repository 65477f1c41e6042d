/** @file shard_cluster_base.cpp Event queue of the simulated cluster. */
#include "tests/support/shard_cluster_base.hpp"

#include "tests/support/shard_cluster_internal.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace godwitcleat::tests
{

using namespace std::chrono_literals;

shard_cluster::shard_cluster(cluster_options const& options)
    : options_(options)
    , random_(options.seed)
    , shards_(options.shards)
    , workers_(options.workers)
{
    configs_.push_back(
        {now_, std::make_shared<state::config_document const>()});
}

// Engines are destroyed before the event queue, because their destructors
// answer pending requests, which schedules events.
shard_cluster::~shard_cluster()
{
    for (auto const& it : owners_)
    {
        it->engine.reset();
    }
}

auto shard_cluster::schedule_at(
    core::time_point when, std::function<void()> task) -> void
{
    queue_.emplace(std::max(when, now_), std::move(task));
}

auto shard_cluster::schedule_after(
    core::duration delay, std::function<void()> task) -> void
{
    schedule_at(now_ + delay, std::move(task));
}

auto shard_cluster::run_until(core::time_point end) -> void
{
    while (!queue_.empty() && queue_.begin()->first <= end)
    {
        auto node = queue_.extract(queue_.begin());
        now_ = node.key();
        node.mapped()();
    }
    now_ = end;
}

auto shard_cluster::random_ms(std::int64_t min, std::int64_t max)
    -> core::duration
{
    return std::chrono::milliseconds{
        std::uniform_int_distribution<std::int64_t>{min, max}(random_)};
}

auto shard_cluster::chance(double share) -> bool
{
    return std::uniform_real_distribution<double>{0.0, 1.0}(random_) < share;
}

// Replays the log entry, so that the result does not depend on an engine.
auto shard_cluster::record_finished(std::size_t shard) -> void
{
    auto const id = core::shard_id{shard};
    auto& state = replayed_.try_emplace(id, id).first->second;
    for (auto const& it : shards_[shard].log.back().records)
    {
        state.apply(it);
        auto const* end = std::get_if<state::end_attempt>(&it);
        if (end != nullptr && end->outcome == state::attempt_outcome::finished)
        {
            result_.finish_stored_at.try_emplace(end->job, now_);
        }
    }
}

auto shard_cluster::job_state(core::job_id const& id) const -> state::job const*
{
    auto const it = replayed_.find(state::shard_of(id, options_.shards));
    return it == replayed_.end() ? nullptr : it->second.find_job(id);
}

auto shard_cluster::open_jobs() const -> std::vector<std::string>
{
    auto result = std::vector<std::string>{};
    for (auto const& spec : submitted_)
    {
        auto const* job = job_state(spec.id);
        if (job == nullptr || !state::is_final(job->phase))
        {
            result.push_back(fmt::format(
                "{} {}", spec.id.value,
                job == nullptr ? "unknown" : state::to_string(job->phase)));
        }
    }
    return result;
}

auto shard_cluster::run() -> cluster_result
{
    for (std::size_t i = 0; i < shards_.size(); ++i)
    {
        take_over(i);
    }
    add_workers();
    submit_jobs();
    auto const start = now_;
    for (auto const& it : options_.faults)
    {
        schedule_at(
            start + std::chrono::milliseconds{it.at_ms},
            [this, it] { inject(it); });
    }
    run_until(start + fault_phase);
    auto const end = now_ + recovery_timeout;
    while (now_ < end && !open_jobs().empty())
    {
        run_until(now_ + 1s);
    }
    result_.unfinished = open_jobs();
    // Workers report events when they are advanced, so the events are not yet
    // in the order of their times.
    auto& events = result_.history.events;
    std::stable_sort(
        events.begin(), events.end(),
        [](auto const& left, auto const& right) { return left.at < right.at; });
    return std::move(result_);
}

auto to_string(fault const& value) -> std::string
{
    constexpr std::string_view names[] = {
        "crash_owner",         "pause_owner",
        "isolate_owner",       "kill_worker",
        "disconnect_worker",   "stop_store",
        "delay_store_replies", "drain",
        "cancel_job",          "submit_urgent"};
    return fmt::format(
        "{} at {} ms, target {}, for {} ms",
        names[static_cast<std::size_t>(value.kind)], value.at_ms, value.target,
        value.duration_ms);
}

auto run_cluster(cluster_options const& options) -> cluster_result
{
    return shard_cluster{options}.run();
}

auto find_violation(cluster_result const& result)
    -> std::optional<history_violation>
{
    constexpr auto drain_bound = 4s;
    if (result.mismatched_reports > 0)
    {
        return history_violation{"report", {}};
    }
    if (auto found = find_overlap(result.history))
    {
        return found;
    }
    if (auto found = find_overcommitment(result.history))
    {
        return found;
    }
    if (auto found = find_bad_resume(result.history, result.finish_stored_at))
    {
        return found;
    }
    return find_start_after_drain(result.history, drain_bound);
}

} // namespace godwitcleat::tests
