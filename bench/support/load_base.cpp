/** @file load_base.cpp Sample data of a chosen size for measurements. */
#include "bench/support/load_base.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <utility>

namespace godwitcleat::bench
{

namespace
{

constexpr std::size_t team_count = 64;
constexpr std::size_t shard_count = 16;
constexpr std::size_t workers_per_rack = 11;
constexpr std::size_t data_centre_count = 8;
constexpr std::size_t reported_workers = 8; // In shard_summary::largest_free.

constexpr auto worker_capacity = core::resources{64'000, 256'000, 2};
constexpr auto task_need = core::resources{1'000, 4'000, 0};
constexpr auto quota = core::resources{10'000'000, 40'000'000, 1'000};
constexpr auto start_time = core::time_point{std::chrono::hours{1}};

auto sample_team(std::size_t index) -> core::team_id
{
    return core::team_id{fmt::format("team-{:02}", index % team_count)};
}

auto sample_task(std::size_t index, std::size_t worker) -> state::hosted_task
{
    auto value = state::hosted_task{};
    value.spec = sample_spec(index);
    value.attempt = core::attempt_number{1};
    value.home = core::shard_id{0};
    value.worker = sample_worker(worker).worker;
    return value;
}

auto sample_binding(state::hosted_task const& task) -> state::attempt_binding
{
    return {task.attempt, task.home, task.worker};
}

auto recovered(shard_size const& size) -> state::shard_state
{
    return {core::shard_id{0}, sample_data(size)};
}

} // namespace

auto sample_spec(std::size_t index) -> state::job_spec
{
    auto value = state::job_spec{};
    value.id = core::job_id{fmt::format("stock-tally/{:08}", index)};
    value.team = sample_team(index);
    value.task_class = "tally";
    value.need = task_need;
    value.expected_run_ms = 600'000;
    value.command =
        "stock-tally --depot 17 --from 2026-12-03 --until 2026-12-04 --strict";
    return value;
}

auto sample_worker(std::size_t index) -> state::worker_info
{
    auto value = state::worker_info{};
    auto const rack = index / workers_per_rack;
    value.worker = core::worker_id{fmt::format("worker-{:05}", index)};
    value.rack = core::rack_id{fmt::format("rack-{:04}", rack)};
    value.data_centre =
        core::data_centre_id{fmt::format("dc-{}", rack % data_centre_count)};
    value.capacity = worker_capacity;
    return value;
}

auto sample_report(std::size_t index, std::size_t tasks) -> state::worker_report
{
    auto value = state::worker_report{};
    value.info = sample_worker(index);
    value.highest_epoch = core::epoch{1};
    value.boot = 1;
    value.sequence = 1;
    for (auto n = std::size_t{0}; n < tasks; ++n)
    {
        auto task = state::task_report{};
        task.key = {sample_spec(index * tasks + n).id, core::attempt_number{1}};
        task.progress = 123'456;
        task.usage = task_need;
        task.usage_age_ms = 1'500;
        task.slowdown = 1.25;
        value.tasks.push_back(std::move(task));
    }
    return value;
}

auto sample_pair(std::size_t tasks, report_content content) -> report_pair
{
    auto const start = core::time_point{std::chrono::seconds{1}};
    auto value = report_pair{};
    value.full = sample_report(0, tasks);
    value.first = value.writer.write(value.full, start);
    value.writer.acknowledge(value.full.sequence++);
    value.next_at = start + std::chrono::seconds{1};
    if (content == report_content::one_task && tasks > 0)
    {
        value.full.tasks.front().phase = state::task_phase::finished;
    }
    if (content == report_content::measurements)
    {
        value.next_at += state::report_limits{}.sample_interval;
        for (auto& it : value.full.tasks)
        {
            it.usage.cpu_milli += 50;
        }
    }
    value.next =
        state::report_writer{value.writer}.write(value.full, value.next_at);
    return value;
}

auto sample_data(shard_size const& size) -> state::shard_data
{
    auto data = state::shard_data{};
    auto const add = [&data](state::job value)
    {
        value.submit_order = data.next_submit_order++;
        auto id = value.spec.id;
        data.jobs.emplace(std::move(id), std::move(value));
    };
    for (auto n = std::size_t{0}; n < size.running; ++n)
    {
        auto const worker = n % std::max<std::size_t>(size.workers, 1);
        auto task = sample_task(n, worker);
        auto home = state::job{};
        home.spec = task.spec;
        home.phase = state::job_phase::placed;
        home.last_attempt = task.attempt;
        home.binding = sample_binding(task);
        add(std::move(home));
        data.tasks.emplace(
            state::attempt_key{task.spec.id, task.attempt}, std::move(task));
    }
    for (auto n = std::size_t{0}; n < size.queued; ++n)
    {
        auto waiting = state::job{};
        waiting.spec = sample_spec(size.running + n);
        waiting.spec.need = size.fits ? task_need : worker_capacity;
        add(std::move(waiting));
    }
    return data;
}

auto sample_starts(std::size_t starts) -> state::record_batch
{
    auto batch = state::record_batch{core::unique_id(), {}};
    for (auto n = std::size_t{0}; n < starts; ++n)
    {
        auto const task = sample_task(n, n);
        batch.records.emplace_back(
            state::bind_attempt{task.spec.id, sample_binding(task)});
        batch.records.emplace_back(state::host_task{task});
    }
    return batch;
}

auto sample_table(std::size_t shard, std::size_t endpoints)
    -> protocol::endpoint_table
{
    constexpr std::size_t runners_per_service = 65;
    constexpr std::size_t addresses = 250;
    auto table = protocol::endpoint_table{};
    table.shard = core::shard_id{shard};
    table.owner_epoch = core::epoch{1};
    table.version = 1;
    for (auto n = std::size_t{0}; n < endpoints; ++n)
    {
        auto it = state::service_endpoint{};
        it.service = core::service_id{
            fmt::format("service-{:03}", n / runners_per_service)};
        it.backend_server = core::backend_server_id{fmt::format(
            "service/{}/{}#1", it.service.value, n % runners_per_service)};
        it.address =
            fmt::format("10.7.{}.{}:8080", n / addresses, 1 + n % addresses);
        it.data_centre = core::data_centre_id{"dc-1"};
        table.endpoints.push_back(std::move(it));
    }
    return table;
}

auto sample_update(std::size_t instances, std::size_t backends)
    -> protocol::peer_update
{
    auto update = protocol::peer_update{};
    update.instance = core::instance_id{"entry-01"};
    update.boot_id = core::unique_id();
    update.data_centre = core::data_centre_id{"dc-1"};
    update.peer_address = "10.0.0.1:7003";
    update.control_address = "10.0.0.1:7002";
    update.config = core::generation{1'500};
    for (auto n = std::size_t{0}; n < shard_count; ++n)
    {
        auto const shard =
            protocol::owned_shard{core::shard_id{n}, core::epoch{12}};
        update.seen.push_back(shard);
        if (n % instances != 0)
        {
            continue;
        }
        auto summary = state::shard_summary{};
        summary.shard = shard.shard;
        summary.owner_epoch = shard.owner_epoch;
        summary.largest_free.assign(reported_workers, worker_capacity);
        summary.largest_capacity = worker_capacity;
        for (auto team = std::size_t{0}; team < team_count; ++team)
        {
            summary.team_use.emplace(sample_team(team), worker_capacity);
        }
        update.summaries.push_back(std::move(summary));
        update.shards.push_back(shard);
    }
    for (auto const& it : sample_table(0, backends).endpoints)
    {
        update.loads.push_back({it.backend_server, 1});
    }
    return update;
}

auto sample_view() -> state::cluster_view
{
    auto document = state::config_document{};
    document.number = core::generation{1};
    for (auto n = std::size_t{0}; n < team_count; ++n)
    {
        auto const team = sample_team(n);
        document.teams.emplace(team, state::team_config{team, quota});
    }
    auto view = state::cluster_view{};
    view.config =
        std::make_shared<state::config_document const>(std::move(document));
    view.former_owner_stopped = true;
    return view;
}

loaded_engine::loaded_engine(shard_size const& size)
    : now_(start_time)
    , view_(sample_view())
    , engine_(core::epoch{1}, recovered(size), {}, {}, start_time)
{
    constexpr auto past_former_leases = std::chrono::seconds{10};
    tick();
    now_ += past_former_leases;
    auto reports = std::vector<state::worker_report>{};
    for (auto n = std::size_t{0}; n < size.workers; ++n)
    {
        reports.push_back(sample_report(n, 0));
    }
    for (auto n = std::size_t{0}; n < size.running; ++n)
    {
        auto task = state::task_report{};
        task.key = {sample_spec(n).id, core::attempt_number{1}};
        task.usage = task_need;
        reports[n % size.workers].tasks.push_back(std::move(task));
    }
    for (auto const& it : reports)
    {
        engine_.heartbeat(it, now_);
    }
    tick();
    drop_starts();
}

auto loaded_engine::tick() -> void
{
    engine_.tick(now_, view_);
}

auto loaded_engine::drop_starts() -> std::size_t
{
    auto dropped = std::size_t{0};
    while (auto const batch = engine_.take_batch(now_))
    {
        dropped += batch->batch.records.size();
        engine_.batch_rejected(state::batch_rejection::config_changed);
        if (!batch->allows_start)
        {
            break;
        }
    }
    return dropped;
}

} // namespace godwitcleat::bench
