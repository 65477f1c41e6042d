/** @file micro_bench.cpp Processor time of the frequent operations. */
#include "bench/support/crashed_fleet_base.hpp"
#include "bench/support/load_base.hpp"
#include "coordination/coordination.hpp"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>

namespace core = godwitcleat::core;
namespace state = godwitcleat::state;
namespace protocol = godwitcleat::protocol;
namespace coordination = godwitcleat::coordination;
namespace bench = godwitcleat::bench;

namespace
{

constexpr std::uint64_t seed = 20261204;

auto size_of(benchmark::State const& run) -> std::size_t
{
    return static_cast<std::size_t>(run.range(0));
}

auto set_bytes(benchmark::State& run, std::string_view encoded) -> void
{
    run.counters["bytes"] = static_cast<double>(encoded.size());
}

// One service with all backend servers; one choice and its end.
auto route(benchmark::State& run) -> void
{
    auto table = bench::sample_table(0, size_of(run));
    auto const service = core::service_id{"climb-desk"};
    for (auto& it : table.endpoints)
    {
        it.service = service;
    }
    auto random = core::random_source{seed};
    auto router = coordination::router{
        core::system_clock(), random, coordination::default_policy()};
    router.update_table(table);
    for (auto _ : run)
    {
        auto const choice = router.choose(service);
        if (!choice)
        {
            run.SkipWithError("no backend server was chosen");
            break;
        }
        router.finish(
            *choice, coordination::attempt_result::answered,
            std::chrono::milliseconds{5});
    }
}

// Runs ticks of a shard with 15 tasks on each worker and @p queued jobs. The
// decided starts are dropped outside the measured time.
auto run_ticks(benchmark::State& run, std::size_t queued) -> void
{
    constexpr std::size_t tasks_per_worker = 15;
    auto const workers = size_of(run);
    auto shard = bench::loaded_engine{
        {workers, workers * tasks_per_worker, queued, true}};
    for (auto _ : run)
    {
        auto const from = std::chrono::steady_clock::now();
        shard.tick();
        auto const until = std::chrono::steady_clock::now();
        run.SetIterationTime(
            std::chrono::duration<double>{until - from}.count());
        if (shard.drop_starts() != 2 * queued)
        {
            run.SkipWithError("the tick did not place the job");
            break;
        }
    }
}

auto tick_without_job(benchmark::State& run) -> void
{
    run_ticks(run, 0);
}

auto place_one_job(benchmark::State& run) -> void
{
    run_ticks(run, 1);
}

// Verdicts on crashes are looked for each 200 ms and are due after 2.5 s.
constexpr auto verdict_interval =
    core::duration{std::chrono::milliseconds{200}};
constexpr auto verdict_due = core::duration{std::chrono::milliseconds{2600}};

auto seconds_of_tick(bench::crashed_fleet& fleet, core::duration after)
    -> double
{
    auto const from = std::chrono::steady_clock::now();
    fleet.tick(after);
    auto const until = std::chrono::steady_clock::now();
    return std::chrono::duration<double>{until - from}.count();
}

// A third of the workers has crashed at one moment. `open`: one look at their
// crashes while no verdict is possible; else the one that settles all of them.
// The tick before, without a look, is subtracted.
auto judge_crashes(benchmark::State& run, bool open) -> void
{
    for (auto _ : run)
    {
        auto fleet = bench::crashed_fleet{size_of(run)};
        fleet.tick({});
        auto const without = seconds_of_tick(fleet, verdict_interval / 2);
        auto const with =
            seconds_of_tick(fleet, open ? verdict_interval : verdict_due);
        run.SetIterationTime(std::max(0.0, with - without));
        run.counters["crashes"] = static_cast<double>(fleet.crashed());
        auto const early = open ? fleet.dismissed() : 0;
        fleet.tick(verdict_due);
        if (early > 0 || fleet.dismissed() != fleet.crashed())
        {
            run.SkipWithError("the crashes were not judged when expected");
            break;
        }
    }
}

auto handle_heartbeat(benchmark::State& run) -> void
{
    auto shard = bench::loaded_engine{{1, size_of(run), 0, true}};
    auto report = bench::sample_report(0, size_of(run));
    for (auto _ : run)
    {
        ++report.sequence;
        benchmark::DoNotOptimize(shard.engine().heartbeat(report, shard.now()));
    }
}

auto write_log_line(benchmark::State& run) -> void
{
    auto const log = core::logger{
        [](auto line) { benchmark::DoNotOptimize(line); },
        core::log_level::info};
    for (auto _ : run)
    {
        log.info(
            "Shard was acquired.",
            {{"shard", 7}, {"epoch", 12}, {"jobs", 425}});
    }
}

auto encode_peer_update(benchmark::State& run) -> void
{
    auto const update =
        protocol::peer_request{bench::sample_update(7, size_of(run))};
    for (auto _ : run)
    {
        benchmark::DoNotOptimize(protocol::encode(update));
    }
    set_bytes(run, protocol::encode(update));
}

auto decode_peer_update(benchmark::State& run) -> void
{
    auto const bytes = protocol::encode(
        protocol::peer_request{bench::sample_update(7, size_of(run))});
    for (auto _ : run)
    {
        benchmark::DoNotOptimize(
            protocol::decode<protocol::peer_request>(bytes));
    }
    set_bytes(run, bytes);
}

auto encode_record_batch(benchmark::State& run) -> void
{
    auto const batch = bench::sample_starts(size_of(run));
    for (auto _ : run)
    {
        benchmark::DoNotOptimize(protocol::encode(batch));
    }
    set_bytes(run, protocol::encode(batch));
}

auto decode_record_batch(benchmark::State& run) -> void
{
    auto const bytes = protocol::encode(bench::sample_starts(size_of(run)));
    for (auto _ : run)
    {
        benchmark::DoNotOptimize(protocol::decode<state::record_batch>(bytes));
    }
    set_bytes(run, bytes);
}

auto encode_heartbeat(benchmark::State& run) -> void
{
    auto const report = bench::sample_report(0, size_of(run));
    for (auto _ : run)
    {
        benchmark::DoNotOptimize(protocol::to_json(report));
    }
    set_bytes(run, protocol::to_json(report));
}

auto decode_heartbeat(benchmark::State& run) -> void
{
    auto const text = protocol::to_json(bench::sample_report(0, size_of(run)));
    for (auto _ : run)
    {
        benchmark::DoNotOptimize(protocol::worker_report_from_json(text));
    }
    set_bytes(run, text);
}

auto encode_partial(benchmark::State& run, bench::report_content content)
    -> void
{
    auto pair = bench::sample_pair(size_of(run), content);
    for (auto _ : run)
    {
        ++pair.full.sequence;
        benchmark::DoNotOptimize(
            protocol::encode(pair.writer.write(pair.full, pair.next_at)));
    }
    set_bytes(run, protocol::encode(pair.next));
}

auto decode_partial(benchmark::State& run, bench::report_content content)
    -> void
{
    auto const pair = bench::sample_pair(size_of(run), content);
    auto const bytes = protocol::encode(pair.next);
    auto reader = state::report_reader{};
    reader.read(pair.first, pair.next_at);
    for (auto _ : run)
    {
        auto const report = protocol::decode<state::partial_report>(bytes);
        auto const rebuilt = reader.read(*report, pair.next_at);
        if (!rebuilt)
        {
            run.SkipWithError("the report was not rebuilt");
            break;
        }
    }
    set_bytes(run, bytes);
}

auto encode_snapshot(benchmark::State& run) -> void
{
    auto const snapshot = protocol::shard_snapshot{
        core::log_index{1}, bench::sample_data({0, 0, size_of(run), true})};
    for (auto _ : run)
    {
        benchmark::DoNotOptimize(protocol::encode(snapshot));
    }
    set_bytes(run, protocol::encode(snapshot));
}

} // namespace

// NOLINTBEGIN(*-avoid-non-const-global-variables,cert-err58-cpp)
BENCHMARK(route)->Arg(50)->Arg(65)->Arg(3'100);
BENCHMARK(tick_without_job)->UseManualTime()->Arg(22)->Arg(200)->Arg(1'400);
BENCHMARK(place_one_job)->UseManualTime()->Arg(22)->Arg(200)->Arg(1'400);
BENCHMARK_CAPTURE(judge_crashes, open, true)
    ->UseManualTime()
    ->Iterations(20)
    ->Arg(100)
    ->Arg(300)
    ->Arg(1'000);
BENCHMARK_CAPTURE(judge_crashes, settled, false)
    ->UseManualTime()
    ->Iterations(20)
    ->Arg(100)
    ->Arg(300)
    ->Arg(1'000);
BENCHMARK(handle_heartbeat)->Arg(5)->Arg(15)->Arg(50);
BENCHMARK(write_log_line);
BENCHMARK(encode_peer_update)->Arg(50)->Arg(3'100);
BENCHMARK(decode_peer_update)->Arg(50)->Arg(3'100);
BENCHMARK(encode_record_batch)->Arg(1)->Arg(6)->Arg(64);
BENCHMARK(decode_record_batch)->Arg(1)->Arg(6)->Arg(64);
BENCHMARK(encode_heartbeat)->Arg(5)->Arg(15)->Arg(50);
BENCHMARK(decode_heartbeat)->Arg(5)->Arg(15)->Arg(50);
BENCHMARK_CAPTURE(encode_partial, idle, bench::report_content::nothing)
    ->Arg(15);
BENCHMARK_CAPTURE(encode_partial, changed, bench::report_content::one_task)
    ->Arg(15);
BENCHMARK_CAPTURE(encode_partial, round, bench::report_content::measurements)
    ->Arg(15);
BENCHMARK_CAPTURE(decode_partial, idle, bench::report_content::nothing)
    ->Arg(15);
BENCHMARK_CAPTURE(decode_partial, changed, bench::report_content::one_task)
    ->Arg(15);
BENCHMARK_CAPTURE(decode_partial, round, bench::report_content::measurements)
    ->Arg(15);
BENCHMARK(encode_snapshot)->Arg(100)->Arg(1'000)->Arg(5'000);
// NOLINTEND(*-avoid-non-const-global-variables,cert-err58-cpp)
BENCHMARK_MAIN();
