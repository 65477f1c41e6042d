/** @file measure_size_func.cpp Bytes in memory and on the wire. */
#include "bench/slopes/allocation_func.hpp"
#include "bench/slopes/measure_func.hpp"
#include "bench/support/load_base.hpp"
#include "coordination/coordination.hpp"

#include <initializer_list>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <utility>

namespace godwitcleat::bench
{

namespace
{

using sizes = std::initializer_list<std::size_t>;

constexpr std::uint64_t seed = 20261204;

// Measures @p value at each of @p at.
auto sample(
    std::string what, std::string per, sizes at,
    std::function<std::size_t(std::size_t)> const& value) -> series
{
    auto result = series{std::move(what), std::move(per), "bytes", {}};
    for (auto const n : at)
    {
        result.points.push_back(
            {static_cast<double>(n), static_cast<double>(value(n))});
    }
    return result;
}

// Returns the bytes that a shard engine of this size holds.
auto engine_bytes(shard_size const& size) -> std::size_t
{
    auto const before = allocated_bytes();
    auto const engine = loaded_engine{size};
    return allocated_bytes() - before;
}

auto router_bytes(std::size_t endpoints) -> std::size_t
{
    auto random = core::random_source{seed};
    auto const before = allocated_bytes();
    auto router = coordination::router{
        core::system_clock(), random, coordination::default_policy()};
    router.update_table(sample_table(0, endpoints));
    return allocated_bytes() - before;
}

auto router_peer_bytes(std::size_t peers) -> std::size_t
{
    constexpr std::size_t endpoints = 3'100;
    auto random = core::random_source{seed};
    auto router = coordination::router{
        core::system_clock(), random, coordination::default_policy()};
    router.update_table(sample_table(0, endpoints));
    auto const update = sample_update(1, endpoints);
    auto const before = allocated_bytes();
    for (auto n = std::size_t{0}; n < peers; ++n)
    {
        router.update_peer(core::instance_id{std::to_string(n)}, update.loads);
    }
    return allocated_bytes() - before;
}

auto snapshot_bytes(shard_size const& size) -> std::size_t
{
    return protocol::encode(
               protocol::shard_snapshot{core::log_index{1}, sample_data(size)})
        .size();
}

auto submit_bytes(std::size_t jobs) -> std::size_t
{
    auto batch = state::record_batch{core::unique_id(), {}};
    for (auto n = std::size_t{0}; n < jobs; ++n)
    {
        batch.records.emplace_back(state::submit_job{sample_spec(n)});
    }
    return protocol::encode(batch).size();
}

// Records that end @p tasks tasks of the same shard and forget them.
auto end_bytes(std::size_t tasks) -> std::size_t
{
    auto batch = state::record_batch{core::unique_id(), {}};
    for (auto n = std::size_t{0}; n < tasks; ++n)
    {
        auto const key =
            state::attempt_key{sample_spec(n).id, core::attempt_number{1}};
        auto const finished = state::attempt_outcome::finished;
        batch.records.emplace_back(state::end_task{key, finished, "", 1'000});
        batch.records.emplace_back(
            state::end_attempt{key.job, key.attempt, finished, "", 1'000, ""});
        batch.records.emplace_back(state::forget_task{key});
    }
    return protocol::encode(batch).size();
}

auto reply_bytes(std::size_t starts) -> std::size_t
{
    auto reply = state::heartbeat_reply{
        core::shard_id{7}, core::epoch{12}, 4'000, 2'000, 500, {}};
    for (auto n = std::size_t{0}; n < starts; ++n)
    {
        auto command = state::worker_command{};
        command.kind = state::worker_command_kind::start;
        command.spec = sample_spec(n);
        command.key = {command.spec.id, core::attempt_number{1}};
        reply.commands.push_back(std::move(command));
    }
    return protocol::encode(reply).size();
}

auto partial_bytes(std::size_t tasks, report_content content) -> std::size_t
{
    return protocol::encode(sample_pair(tasks, content).next).size();
}

auto update_bytes(std::size_t instances, std::size_t backends) -> std::size_t
{
    return protocol::encode(
               protocol::peer_request{sample_update(instances, backends)})
        .size();
}

// The base has no load, so that each loaded backend server is a change.
auto changes_bytes(std::size_t backends) -> std::size_t
{
    constexpr std::size_t instances = 7;
    auto const changes = coordination::changes_between(
        sample_update(instances, 0), sample_update(instances, backends));
    return protocol::encode(protocol::peer_request{changes}).size();
}

auto table_bytes(std::size_t endpoints) -> std::size_t
{
    auto update = sample_update(1, 0);
    update.tables.push_back(sample_table(0, endpoints));
    return protocol::encode(protocol::peer_request{std::move(update)}).size();
}

} // namespace

auto measure_memory() -> std::vector<series>
{
    return {
        sample(
            "memory of engine", "queued job", {100, 1'000, 5'000},
            [](std::size_t n) {
                return engine_bytes({22, 0, n, false});
            }),
        sample(
            "memory of engine", "running home task", {100, 1'000, 3'000},
            [](std::size_t n) {
                return engine_bytes({88, n, 0, false});
            }),
        sample(
            "memory of engine", "worker", {22, 88, 200, 1'400},
            [](std::size_t n) {
                return engine_bytes({n, 0, 0, false});
            }),
        sample(
            "memory of router", "endpoint", {65, 1'000, 3'100}, router_bytes),
        sample(
            "memory of router, 3100 endpoints", "peer", {1, 6, 20},
            router_peer_bytes)};
}

auto measure_bytes() -> std::vector<series>
{
    return {
        sample(
            "snapshot", "queued job", {100, 1'000, 5'000},
            [](std::size_t n) {
                return snapshot_bytes({0, 0, n, false});
            }),
        sample(
            "snapshot", "running home task", {100, 1'000, 3'000},
            [](std::size_t n) {
                return snapshot_bytes({88, n, 0, false});
            }),
        sample("log batch", "submitted job", {1, 16, 64}, submit_bytes),
        sample(
            "log batch", "start", {1, 6, 64, 256},
            [](std::size_t n)
            { return protocol::encode(sample_starts(n)).size(); }),
        sample("log batch", "ended task", {1, 16, 64}, end_bytes),
        sample(
            "heartbeat in JSON", "task", {0, 5, 15, 50},
            [](std::size_t n)
            { return protocol::to_json(sample_report(0, n)).size(); }),
        sample(
            "heartbeat, complete", "task", {0, 5, 15, 50},
            [](std::size_t n)
            {
                return protocol::encode(
                           sample_pair(n, report_content::nothing).first)
                    .size();
            }),
        sample(
            "heartbeat, no change", "task", {0, 5, 15, 50},
            [](std::size_t n)
            { return partial_bytes(n, report_content::nothing); }),
        sample(
            "heartbeat, one changed task", "task", {1, 5, 15, 50},
            [](std::size_t n)
            { return partial_bytes(n, report_content::one_task); }),
        sample(
            "heartbeat, measurements", "task", {0, 5, 15, 50},
            [](std::size_t n)
            { return partial_bytes(n, report_content::measurements); }),
        sample("heartbeat reply", "start", {0, 1, 8, 64}, reply_bytes),
        sample(
            "peer_update, 16 shards", "instance", {4, 7, 16},
            [](std::size_t n) { return update_bytes(n, 0); }),
        sample(
            "peer_update, 7 instances", "loaded backend", {0, 65, 1'000, 3'100},
            [](std::size_t n) { return update_bytes(7, n); }),
        sample(
            "peer_changes, 7 instances", "changed load", {0, 65, 1'000, 3'100},
            changes_bytes),
        sample(
            "peer_update, changed table", "endpoint", {0, 65, 1'000, 3'100},
            table_bytes)};
}

} // namespace godwitcleat::bench
