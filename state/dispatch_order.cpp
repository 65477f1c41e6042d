/** @file dispatch_order.cpp Order in which steps of jobs are placed. */
#include "state/dispatch_internal.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace godwitcleat::state
{

namespace
{

// Half of the starts are divided among the queues in proportion to what was
// submitted, so that no class is starved; the others go by rank.
constexpr auto guaranteed_percent = 50;
// Share of expired steps, so that the oldest job always makes progress.
constexpr auto expired_percent = 5;
// Bounds what a queue catches up on after its tasks have found no room.
constexpr auto max_owed_starts = 64.0;
constexpr auto offered_decay_time = std::chrono::seconds{10};
} // namespace

auto objective_ms(std::int64_t path_ms, queue_config const& queue)
    -> std::int64_t
{
    return static_cast<std::int64_t>(
               queue.stretch * static_cast<double>(path_ms)) +
           queue.allowance_ms;
}

auto dispatcher::implementation::is_schedulable(
    ready_step const& it, std::int64_t now_ms) -> bool
{
    auto const* const queue = find_queue(*it.job);
    return queue != nullptr && !queue->needs_advice &&
           it.job->steps[it.step].not_before_ms <= now_ms;
}

auto dispatcher::implementation::rank_of(
    ready_step const& it, std::int64_t now_ms) const -> step_rank
{
    auto const& job = *it.job;
    auto const& step = job.steps[it.step];
    auto const& queue = *find_queue(job);
    auto const beyond = is_held_back(job, step) ? 1U : 0U;
    auto const begin = std::max(job.record.accepted_ms, step.not_before_ms);
    if (job.spec(step).long_running)
    {
        return {step_group::long_running, beyond, queue.priority, 0, 0, begin};
    }
    auto const objective = objective_ms(
        settings.measured_objectives ? job.path_ms(step) : job.critical_path_ms,
        queue);
    auto const end = now_ms + job.remaining_ms(step);
    auto const due = begin + objective;
    auto const late = begin + late_factor * objective;
    if (end > late)
    {
        return {step_group::expired, beyond, 0, 0, 0, due};
    }
    auto const not_begun = job.start_ordered || job.started ? 0U : 1U;
    return {step_group::valuable, beyond,    queue.priority,
            end > due ? 1U : 0U,  not_begun, due};
}

auto dispatcher::implementation::count_offered(
    queue_state& queue, job_plan const& plan) -> void
{
    for (auto const& step : plan.steps)
    {
        queue.offered_tasks += step.long_running ? 0 : step.tasks;
    }
}

auto dispatcher::implementation::decay_offered(core::time_point now) -> void
{
    auto const elapsed = std::chrono::duration<double>{
        now - std::exchange(offered_decayed_at, now)};
    auto const factor =
        std::exp(-elapsed / std::chrono::duration<double>{offered_decay_time});
    for (auto& [id, queue] : queue_states)
    {
        queue.offered_tasks *= factor;
    }
}

auto dispatcher::implementation::make_flows(std::int64_t now_ms)
    -> std::vector<step_flow>
{
    auto long_running = step_flow{};
    auto expired = step_flow{};
    auto flows = std::vector<step_flow>{};
    auto flow_of = std::unordered_map<queue_state*, std::size_t>{};
    auto offered = 0.0;
    for (auto i = std::size_t{0}; i < ready_steps.size(); ++i)
    {
        auto const& it = ready_steps[i];
        if (!is_schedulable(it, now_ms))
        {
            continue;
        }
        auto const rank = rank_of(it, now_ms);
        if (rank.group != step_group::valuable)
        {
            auto& flow =
                rank.group == step_group::expired ? expired : long_running;
            flow.add(rank, i);
            continue;
        }
        auto* const queue = it.job->queue;
        auto const [found, inserted] = flow_of.try_emplace(queue, flows.size());
        if (inserted)
        {
            flows.push_back({queue, {}, {}, 0.0, &queue->owed_starts});
            offered += queue->offered_tasks;
        }
        flows[found->second].add(rank, i);
    }
    for (auto& it : flows)
    {
        auto const part = offered > 0.0
                              ? it.queue->offered_tasks / offered
                              : 1.0 / static_cast<double>(flows.size());
        it.share = part * guaranteed_percent / 100;
    }
    if (!expired.is_empty())
    {
        expired.share = static_cast<double>(expired_percent) / 100;
        expired.owed_starts = &expired_owed_starts;
        flows.push_back(std::move(expired));
    }
    if (!long_running.is_empty())
    {
        flows.push_back(std::move(long_running));
    }
    for (auto& it : flows)
    {
        for (auto* const list : {&it.within_share, &it.beyond_share})
        {
            std::sort(list->steps.begin(), list->steps.end());
        }
    }
    return flows;
}

auto dispatcher::implementation::next_flow(
    std::vector<step_flow>& flows, bool beyond_first) -> step_flow*
{
    auto const owed = [](step_flow const& it)
    {
        return it.owed_starts != nullptr && *it.owed_starts >= 1.0
                   ? *it.owed_starts
                   : 0.0;
    };
    auto const front = [beyond_first](step_flow & it) -> auto const&
    {
        auto const& list = it.front(beyond_first);
        return list.steps[list.next];
    };
    auto const goes_first = [&](step_flow& left, step_flow& right)
    {
        auto const& a = front(left).first;
        auto const& b = front(right).first;
        if (a.beyond_share != b.beyond_share)
        {
            return beyond_first ? a.beyond_share > b.beyond_share
                                : a.beyond_share < b.beyond_share;
        }
        auto const a_long_running = a.group == step_group::long_running;
        if (a_long_running != (b.group == step_group::long_running))
        {
            return a_long_running;
        }
        if (owed(left) != owed(right))
        {
            return owed(left) > owed(right);
        }
        return front(left) < front(right);
    };
    auto* best = static_cast<step_flow*>(nullptr);
    for (auto& it : flows)
    {
        if (!it.is_empty() && (best == nullptr || goes_first(it, *best)))
        {
            best = &it;
        }
    }
    return best;
}

auto dispatcher::implementation::charge_starts(
    std::vector<step_flow>& flows, step_flow& flow, std::size_t starts) -> void
{
    auto const n = static_cast<double>(starts);
    if (flow.owed_starts != nullptr)
    {
        auto& owed = *flow.owed_starts;
        owed = owed >= 1.0 ? owed - n : std::max(owed - n, 0.0);
    }
    for (auto& it : flows)
    {
        if (it.owed_starts != nullptr && (!it.is_empty() || &it == &flow))
        {
            *it.owed_starts =
                std::min(*it.owed_starts + n * it.share, max_owed_starts);
        }
    }
}

auto dispatcher::implementation::queue_counts() const
    -> std::map<queue_id, queue_task_counts>
{
    auto result = std::map<queue_id, queue_task_counts>{};
    for (auto const& [id, queue] : queue_states)
    {
        result[id].starts = queue.starts;
    }
    auto const now_ms = hooks.unix_ms();
    for (auto const& it : ready_steps)
    {
        if (is_schedulable(it, now_ms))
        {
            result[it.job->record.plan.queue]
                .ready[rank_of(it, now_ms).urgency()] +=
                it.job->steps[it.step].ready_tasks.size();
        }
    }
    return result;
}

} // namespace godwitcleat::state
