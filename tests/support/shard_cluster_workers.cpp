/** @file shard_cluster_workers.cpp Workers of the simulated cluster. */
#include "tests/support/shard_cluster_internal.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace godwitcleat::tests
{

using namespace std::chrono_literals;

auto shard_cluster::add_workers() -> void
{
    auto constexpr per_rack = 2U;
    for (std::size_t i = 0; i < workers_.size(); ++i)
    {
        auto& entry = workers_[i];
        auto const rack = i / per_rack;
        entry.info.worker = core::worker_id{fmt::format("worker-{}", i)};
        entry.info.rack = core::rack_id{fmt::format("rack-{}", rack)};
        entry.info.data_centre =
            core::data_centre_id{fmt::format("dc-{}", rack % 2)};
        entry.info.capacity = {4000, 16000, 1};
        result_.history.capacities[entry.info.worker] = entry.info.capacity;
        auto const drift =
            std::uniform_real_distribution<double>{-1.0, 1.0}(random_);
        entry.clock_rate = 1.0 + drift * max_clock_drift;
        boot_worker(i);
        send_heartbeat(i);
        advance_worker(i);
    }
}

auto shard_cluster::worker_time(worker_entry const& entry) const
    -> core::time_point
{
    auto const elapsed =
        std::chrono::duration<double, std::nano>(now_.time_since_epoch()) *
        entry.clock_rate;
    return core::time_point{
        std::chrono::duration_cast<core::duration>(elapsed)};
}

auto shard_cluster::true_time(worker_entry const& entry, core::time_point at)
    -> core::time_point
{
    auto const elapsed =
        std::chrono::duration<double, std::nano>(at.time_since_epoch()) /
        entry.clock_rate;
    return core::time_point{
        std::chrono::duration_cast<core::duration>(elapsed)};
}

auto shard_cluster::boot_worker(std::size_t i) -> void
{
    auto& entry = workers_[i];
    ++entry.boot;
    auto settings = standins::worker_settings{};
    settings.info = entry.info;
    settings.boot = entry.boot;
    entry.worker = std::make_unique<standins::standin_worker>(
        settings, [this, i](standins::worker_event const& event)
        { record_worker_event(i, event); });
    entry.writer.reset();
}

auto shard_cluster::kill_worker(std::size_t i) -> void
{
    auto& entry = workers_[i];
    for (auto [key, event] : std::exchange(entry.running, {}))
    {
        event.at = now_;
        event.kind = task_event_kind::ended;
        event.text = "worker killed";
        result_.history.events.push_back(event);
    }
    boot_worker(i);
}

auto shard_cluster::advance_worker(std::size_t i) -> void
{
    workers_[i].worker->advance(worker_time(workers_[i]));
    schedule_after(tick_interval, [this, i] { advance_worker(i); });
}

auto shard_cluster::send_heartbeat(std::size_t i) -> void
{
    auto& entry = workers_[i];
    auto const full = entry.worker->make_report(worker_time(entry));
    auto const report = entry.writer.write(full, worker_time(entry));
    auto const shard = state::shard_of(entry.info.rack, options_.shards);
    auto const to = choose_owner(shard);
    auto const lost = now_ < entry.disconnected_until || chance(0.03) || !to;
    if (!lost)
    {
        auto const delay =
            chance(0.05) ? random_ms(100, 3000) : random_ms(1, 5);
        schedule_after(
            delay,
            [this, i, to, report, tasks = full.tasks]
            {
                run_when_resumed(
                    to, [this, i, to, report, tasks]
                    { deliver_heartbeat(i, to, report, tasks); });
            });
        if (chance(0.02))
        {
            schedule_after(
                random_ms(1, 2000),
                [this, i, to, report, tasks = full.tasks]
                {
                    run_when_resumed(
                        to, [this, i, to, report, tasks]
                        { deliver_heartbeat(i, to, report, tasks); });
                });
        }
    }
    schedule_after(random_ms(450, 550), [this, i] { send_heartbeat(i); });
}

// Returns the latest owner, or sometimes the one before it, because workers may
// not yet know of the change.
auto shard_cluster::choose_owner(core::shard_id shard) -> owner_pointer
{
    auto const& latest = shards_[shard.value].latest;
    if (latest && !latest->previous_owners.empty() && chance(0.2))
    {
        auto const& previous = latest->previous_owners.back();
        if (previous->alive)
        {
            return previous;
        }
    }
    return latest && latest->alive ? latest : nullptr;
}

auto shard_cluster::deliver_heartbeat(
    std::size_t i, owner_pointer const& to, state::partial_report const& report,
    std::vector<state::task_report> const& tasks) -> void
{
    auto const rebuilt = to->reports.read(report, now_);
    if (!rebuilt)
    {
        auto reply = state::heartbeat_reply{};
        reply.full_report_requested = true;
        send_reply(i, report.sequence, reply);
        return;
    }
    check_rebuilt_report(report, *rebuilt, tasks);
    auto const reply = to->engine->heartbeat(*rebuilt, now_);
    if (!reply.commands.empty() || chance(0.5))
    {
        send_reply(i, report.sequence, reply);
        return;
    }
    // Simulates a held reply.
    schedule_after(
        random_ms(1, 1000),
        [this, i, to, report]
        {
            run_when_resumed(
                to, [this, i, to, report]
                { answer_held_heartbeat(i, to, report); });
        });
}

auto shard_cluster::answer_held_heartbeat(
    std::size_t i, owner_pointer const& to, state::partial_report const& report)
    -> void
{
    auto const reply = to->engine->refresh_reply(
        report.worker, report.boot, report.sequence, now_);
    if (reply)
    {
        ++result_.held_replies;
        send_reply(i, report.sequence, *reply);
    }
}

// Counts rebuilt reports whose tasks differ from those of the worker; the
// engine treats the report as the complete list of tasks.
auto shard_cluster::check_rebuilt_report(
    state::partial_report const& report, state::worker_report const& rebuilt,
    std::vector<state::task_report> const& tasks) -> void
{
    auto const is_equal = std::equal(
        tasks.begin(), tasks.end(), rebuilt.tasks.begin(), rebuilt.tasks.end(),
        [](auto const& left, auto const& right)
        {
            return left.key == right.key && left.phase == right.phase &&
                   left.checkpoint == right.checkpoint &&
                   left.endpoint == right.endpoint;
        });
    result_.rebuilt_reports += report.base != 0 ? 1 : 0;
    result_.mismatched_reports += is_equal ? 0 : 1;
}

auto shard_cluster::send_reply(
    std::size_t i, std::uint64_t sequence, state::heartbeat_reply const& reply)
    -> void
{
    auto const boot = workers_[i].boot;
    if (now_ < workers_[i].disconnected_until || chance(0.03))
    {
        return;
    }
    auto const delay = chance(0.05) ? random_ms(100, 5000) : random_ms(1, 5);
    schedule_after(
        delay,
        [this, i, boot, sequence, reply]
        {
            auto& entry = workers_[i];
            if (entry.boot != boot || now_ < entry.disconnected_until)
            {
                return;
            }
            if (reply.full_report_requested)
            {
                entry.writer.reset();
            }
            else if (entry.worker->take_reply(
                         sequence, reply, worker_time(entry)))
            {
                entry.writer.acknowledge(sequence);
            }
        });
}

auto shard_cluster::record_worker_event(
    std::size_t i, standins::worker_event const& event) -> void
{
    auto& entry = workers_[i];
    if (event.kind == standins::worker_event_kind::checkpointed)
    {
        entry.checkpointed.insert(event.key);
        return;
    }
    auto seen = task_event{};
    seen.at = true_time(entry, event.at);
    seen.key = event.key;
    seen.worker = entry.info.worker;
    seen.data_centre = entry.info.data_centre;
    seen.progress = event.progress;
    seen.text = std::string{standins::to_string(event.kind)};
    if (event.kind == standins::worker_event_kind::started)
    {
        entry.running[event.key] = seen;
        ++result_.starts;
        result_.resumes += event.progress > 0 ? 1 : 0;
    }
    else
    {
        seen.kind = task_event_kind::ended;
        seen.finished = event.kind == standins::worker_event_kind::finished;
        result_.lease_expiries +=
            event.kind == standins::worker_event_kind::lapsed ? 1 : 0;
        seen.checkpointed = entry.checkpointed.contains(event.key);
        entry.running.erase(event.key);
    }
    result_.history.events.push_back(seen);
}

} // namespace godwitcleat::tests
