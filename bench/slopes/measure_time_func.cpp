/** @file measure_time_func.cpp Processor time at several sizes. */
#include "bench/slopes/measure_func.hpp"
#include "bench/support/load_base.hpp"
#include "coordination/coordination.hpp"
#include "standins/support/memory_store_base.hpp"

#include <initializer_list>

#include <algorithm>
#include <ctime>
#include <functional>
#include <limits>
#include <string>
#include <utility>

namespace godwitcleat::bench
{

namespace
{

using sizes = std::initializer_list<std::size_t>;

constexpr int repetitions = 15;

// Returns the processor time of this thread in microseconds.
auto processor_time() -> double
{
    constexpr double per_second = 1e6;
    constexpr double per_nanosecond = 1e-3;
    auto now = std::timespec{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) * per_second +
           static_cast<double>(now.tv_nsec) * per_nanosecond;
}

// Other programs of the machine only add to the time, so the lowest counts.
auto lowest_time(
    std::function<void()> const& run,
    std::function<void()> const& restore = [] {}) -> double
{
    auto best = std::numeric_limits<double>::max();
    for (auto n = 0; n < repetitions; ++n)
    {
        auto const from = processor_time();
        run();
        best = std::min(best, processor_time() - from);
        restore();
    }
    return best;
}

auto sample(
    std::string what, std::string per, sizes at,
    std::function<double(std::size_t)> const& value) -> series
{
    auto result = series{std::move(what), std::move(per), "us", {}};
    for (auto const n : at)
    {
        result.points.push_back({static_cast<double>(n), value(n)});
    }
    return result;
}

auto tick_time(shard_size const& size) -> double
{
    auto shard = loaded_engine{size};
    return lowest_time(
        [&shard] { shard.tick(); }, [&shard] { shard.drop_starts(); });
}

// Computes what the owner of a shard tells its peers after each tick.
auto views_time(shard_size const& size) -> double
{
    auto shard = loaded_engine{size};
    return lowest_time(
        [&shard]
        {
            auto const endpoints = shard.engine().endpoints();
            auto const summary = shard.engine().summary(shard.now());
        });
}

// Applies and encodes one batch of starts, as the owner does at each commit.
auto commit_time(std::size_t starts) -> double
{
    auto const batch = sample_starts(starts);
    auto data = sample_data({0, 0, starts, true});
    auto shard = state::shard_state{core::shard_id{0}, data};
    return lowest_time(
        [&]
        {
            auto const bytes = protocol::encode(batch);
            for (auto const& it : batch.records)
            {
                shard.apply(it);
            }
        },
        [&] {
            shard = state::shard_state{core::shard_id{0}, data};
        });
}

// Reads, decodes and applies @p batches batches of 6 starts, without network.
auto replay_time(std::size_t batches) -> double
{
    constexpr std::size_t starts = 6;
    auto time = core::manual_clock{};
    auto platform = standins::memory_store{time.reader()};
    auto const id = core::shard_id{1};
    platform.commit(
        {{}, {{coordination::epoch_key(id), "1", "", {}}}}, [](auto) {});
    auto const revision =
        platform.peek(coordination::epoch_key(id))->modify_revision;
    auto const all = sample_starts(batches * starts);
    for (auto n = std::size_t{0}; n < batches; ++n)
    {
        auto batch = state::record_batch{core::unique_id(), {}};
        auto const from =
            all.records.begin() + static_cast<std::ptrdiff_t>(2 * starts * n);
        batch.records.assign(
            from, from + static_cast<std::ptrdiff_t>(2 * starts));
        platform.commit(
            {{},
             {{coordination::log_key(id, core::log_index{n + 1}),
               protocol::encode(batch),
               "",
               {}}}},
            [](auto) {});
    }
    auto const data = sample_data({0, 0, batches * starts, true});
    return lowest_time(
        [&]
        {
            auto log = coordination::shard_log{
                platform,
                time.reader(),
                core::null_logger(),
                id,
                revision,
                coordination::msgpack_shard_log_codec()};
            auto shard = state::shard_state{core::shard_id{0}, data};
            log.recover(
                [&shard](auto found)
                {
                    for (auto const& batch : found->batches)
                    {
                        for (auto const& it : batch.records)
                        {
                            shard.apply(it);
                        }
                    }
                });
        });
}

} // namespace

auto measure_time() -> std::vector<series>
{
    return {
        sample(
            "engine tick, 88 workers", "queued job", {0, 425, 1'700, 5'000},
            [](std::size_t n) {
                return tick_time({88, 88, n, false});
            }),
        sample(
            "engine tick, no tasks", "worker", {22, 88, 200, 1'400},
            [](std::size_t n) {
                return tick_time({n, 0, 0, false});
            }),
        sample(
            "engine tick, 88 workers", "running task", {0, 440, 1'320, 4'000},
            [](std::size_t n) {
                return tick_time({88, n, 0, false});
            }),
        sample(
            "engine tick, 88 workers, 1320 tasks", "placed job", {0, 1, 8, 64},
            [](std::size_t n) {
                return tick_time({88, 1'320, n, true});
            }),
        sample(
            "engine views, 88 workers", "running task", {0, 440, 1'320, 4'000},
            [](std::size_t n) {
                return views_time({88, n, 0, false});
            }),
        sample("group commit", "start", {1, 6, 64, 256}, commit_time),
        sample("replay", "batch of 6 starts", {16, 64, 256}, replay_time)};
}

} // namespace godwitcleat::bench
