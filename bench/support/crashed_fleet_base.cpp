/** @file crashed_fleet_base.cpp A dispatcher when a data centre crashes. */
#include "bench/support/crashed_fleet_base.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <utility>

namespace godwitcleat::bench
{

namespace
{

constexpr std::size_t data_centre_count = 3;
constexpr std::size_t runs_per_worker = 4;
constexpr auto worker_capacity = core::resources{4000, 8000, 0};
constexpr auto start_time = core::time_point{std::chrono::hours{1}};
constexpr auto step_time = std::chrono::milliseconds{10};
// Answers come one after the other.
constexpr auto answer_pause = std::chrono::microseconds{10};
constexpr auto max_steps = 1000;

auto unix_ms(core::time_point time) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               time.time_since_epoch())
        .count();
}

auto sample_queues() -> state::queue_table_pointer
{
    auto queue = state::queue_config{};
    queue.queue = state::queue_id{"q"};
    queue.service = core::service_id{"s"};
    queue.max_failures = 3;
    queue.stretch = 2.0;
    queue.allowance_ms = 1000;
    auto table = state::queue_table{};
    table.version = 1;
    table.queues.insert_or_assign(queue.queue, queue);
    return std::make_shared<state::queue_table const>(std::move(table));
}

auto sample_plan(std::size_t index) -> state::job_plan
{
    auto plan = state::job_plan{};
    plan.id = core::job_id{fmt::format("{:016x}", index)};
    plan.queue = state::queue_id{"q"};
    plan.command = "work";
    auto& step = plan.steps.emplace_back();
    step.tasks = 1;
    step.need = {1000, 100, 0};
    step.expected_run_ms = 60'000;
    return plan;
}

auto hooks_at(core::time_point time, std::shared_ptr<std::size_t> dismissed)
    -> state::dispatch_hooks
{
    auto hooks = state::dispatch_hooks{};
    hooks.unix_ms = [time]
    {
        return unix_ms(time);
    };
    hooks.on_event = [count = std::move(dismissed)](auto message, auto const&)
    {
        *count += message.ends_with("does not count.") ? 1 : 0;
    };
    return hooks;
}

} // namespace

crashed_fleet::crashed_fleet(std::size_t workers)
    : now_(start_time)
    , dismissed_(std::make_shared<std::size_t>(0))
    , dispatcher_(
          core::epoch{1}, {}, {}, hooks_at(start_time, dismissed_), start_time)
{
    dispatcher_.set_queues(sample_queues());
    auto listed = std::vector<state::listed_worker>{};
    for (auto i = std::size_t{0}; i < workers; ++i)
    {
        auto info = state::listed_worker{};
        info.worker = core::worker_id{fmt::format("w{:06}", i)};
        info.address = fmt::format("127.0.0.1:{}", i + 1);
        info.service = core::service_id{"s"};
        info.data_centre =
            core::data_centre_id{fmt::format("dc-{}", i % data_centre_count)};
        info.capacity = worker_capacity;
        info.started_ms = 1;
        listed.push_back(info);
        workers_.push_back({std::move(info), {}});
    }
    dispatcher_.set_workers(listed, now_);
    start_runs(workers * runs_per_worker);
    now_ += step_time;
    for (auto i = std::size_t{0}; i < workers; i += data_centre_count)
    {
        workers_[i].info.started_ms = 2;
        crashed_ += workers_[i].running.empty() ? 0 : 1;
        workers_[i].running.clear();
    }
    // The first answer shows the restart, the second one the lost runs.
    hold(true);
    hold(true);
}

auto crashed_fleet::start_runs(std::size_t count) -> void
{
    for (auto i = std::size_t{0}; i < count; ++i)
    {
        dispatcher_.submit(sample_plan(i), now_, [](bool) {});
    }
    for (auto i = 0; i < max_steps && runs_ < count; ++i)
    {
        now_ += step_time;
        dispatcher_.limit_leases(now_);
        dispatcher_.tick(now_);
        hold(false);
        for (auto const& order : dispatcher_.take_orders(now_))
        {
            worker_of(order.worker)
                .running.push_back({order.task, order.run, {}, 1, 0});
            ++runs_;
            dispatcher_.order_answered(
                order, state::order_result::accepted, std::nullopt, now_);
        }
        if (dispatcher_.take_batch(now_))
        {
            dispatcher_.batch_committed(now_);
        }
    }
    hold(false);
}

auto crashed_fleet::hold(bool crashed_only) -> void
{
    for (auto const& order : dispatcher_.take_holds(now_))
    {
        if (!crashed_only || worker_of(order.worker).info.started_ms > 1)
        {
            now_ += answer_pause;
            answer(order);
        }
    }
}

auto crashed_fleet::answer(state::hold_order const& order) -> void
{
    auto const& worker = worker_of(order.worker);
    auto lists = state::worker_lists{};
    lists.started_ms = worker.info.started_ms;
    lists.clock_ms = unix_ms(now_);
    lists.running = worker.running;
    dispatcher_.hold_answered(
        order, state::order_result::accepted, lists, now_);
}

auto crashed_fleet::worker_of(core::worker_id const& id) -> fleet_worker&
{
    return *std::lower_bound(
        workers_.begin(), workers_.end(), id,
        [](auto const& it, auto const& sought)
        { return it.info.worker < sought; });
}

auto crashed_fleet::tick(core::duration after) -> void
{
    dispatcher_.tick(now_ + after);
}

} // namespace godwitcleat::bench
