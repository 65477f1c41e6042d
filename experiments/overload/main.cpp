/** @file main.cpp Compares admission rules; see docs/EXPERIMENTS.md. */
#include "experiments/support/figures_func.hpp"
#include "limiter_base.hpp"
#include "simulation_base.hpp"
#include "standins/support/main_func.hpp"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <thread>

namespace
{

namespace core = godwitcleat::core;
namespace experiments = godwitcleat::experiments;

/** One run: a limiter, a load and a seed. */
struct row
{
    experiments::run_options options;
    std::vector<experiments::run_result> services;
};

auto make_options() -> cxxopts::Options
{
    auto options = cxxopts::Options{
        "overload", "Drives admission, retry budget and router of several "
                    "entry instances against modelled backend servers."};
    auto add = options.add_options();
    add("limiters", "names, separated by commas",
        cxxopts::value<std::vector<std::string>>()->default_value(
            "none,estimate,bounded,fixed,aimd,gradient,codel,hold_newest,"
            "hold_deadline"));
    add("loads", "percent of all slots, separated by commas",
        cxxopts::value<std::vector<double>>()->default_value(
            "50,75,90,100,110,125,150,175,200,225,250"));
    add("scenario", "steady, step, two_services, half_lost",
        cxxopts::value<std::string>()->default_value("steady"));
    add("seed", "first seed",
        cxxopts::value<std::uint64_t>()->default_value("1"));
    add("seeds", "number of seeds",
        cxxopts::value<std::uint64_t>()->default_value("10"));
    add("instances", "entry instances",
        cxxopts::value<std::size_t>()->default_value("6"));
    add("backends", "backend servers",
        cxxopts::value<std::size_t>()->default_value("50"));
    add("mean-ms", "mean service time in ms (exponential)",
        cxxopts::value<double>()->default_value("50"));
    add("deadlines", "pairs of ms and percent of the requests",
        cxxopts::value<std::vector<double>>()->default_value(
            "2000,50,500,30,200,20"));
    add("idempotent", "percent of the requests",
        cxxopts::value<double>()->default_value("50"));
    add("repeat", "percent of callers that repeat a refused request",
        cxxopts::value<double>()->default_value("50"));
    add("no-backoff", "callers repeat after 10 ms");
    add("connections", "most per backend server and instance",
        cxxopts::value<std::uint32_t>()->default_value("9"));
    add("queue-per-slot", "of the limiter `bounded`",
        cxxopts::value<double>()->default_value("0.5"));
    add("margin", "of the limiter `bounded`, in mean service times",
        cxxopts::value<double>()->default_value("1.5"));
    add("shared", "two services use the same backend servers");
    add("length-s", "measured seconds, after 2 s of warm-up",
        cxxopts::value<int>()->default_value("8"));
    add("threads", "runs at the same time",
        cxxopts::value<std::size_t>()->default_value("2"));
    add("csv", "append one line for each run to this file",
        cxxopts::value<std::string>());
    add("help", "print this text");
    return options;
}

auto to_deadlines(std::vector<double> const& pairs)
    -> std::vector<experiments::deadline_share>
{
    auto result = std::vector<experiments::deadline_share>{};
    for (std::size_t i = 0; i + 1 < pairs.size(); i += 2)
    {
        result.push_back(
            {experiments::from_seconds(pairs[i] / 1000.0),
             pairs[i + 1] / 100.0});
    }
    return result;
}

auto to_run_options(cxxopts::ParseResult const& args)
    -> std::optional<experiments::run_options>
{
    auto result = experiments::run_options{};
    auto const what =
        experiments::parse_scenario(args["scenario"].as<std::string>());
    if (!what)
    {
        return std::nullopt;
    }
    result.what = *what;
    result.instances = args["instances"].as<std::size_t>();
    result.backends = args["backends"].as<std::size_t>();
    result.mean_service =
        experiments::from_seconds(args["mean-ms"].as<double>() / 1000.0);
    result.deadlines =
        to_deadlines(args["deadlines"].as<std::vector<double>>());
    result.idempotent = args["idempotent"].as<double>() / 100.0;
    result.callers.fraction = args["repeat"].as<double>() / 100.0;
    result.callers.backoff = args.count("no-backoff") == 0;
    result.connections = args["connections"].as<std::uint32_t>();
    result.bounded.queue_per_slot = args["queue-per-slot"].as<double>();
    result.bounded.margin = args["margin"].as<double>();
    result.shared_servers = args.count("shared") > 0;
    result.length = std::chrono::seconds{args["length-s"].as<int>()};
    if (result.instances < 2 || result.backends < 2 || result.deadlines.empty())
    {
        return core::fail(
            core::error_kind::invalid_input,
            "use at least 2 instances, 2 backends and one deadline");
    }
    return result;
}

/** Returns the runs in the order of the table. */
auto make_rows(cxxopts::ParseResult const& args)
    -> std::optional<std::vector<row>>
{
    auto const common = to_run_options(args);
    if (!common)
    {
        return std::nullopt;
    }
    auto result = std::vector<row>{};
    for (auto const& name : args["limiters"].as<std::vector<std::string>>())
    {
        if (!experiments::make_limiter(name))
        {
            return std::nullopt;
        }
        for (auto const load : args["loads"].as<std::vector<double>>())
        {
            for (std::uint64_t i = 0; i < args["seeds"].as<std::uint64_t>();
                 ++i)
            {
                auto it = *common;
                it.limiter = name;
                it.load = load / 100.0;
                it.seed = args["seed"].as<std::uint64_t>() + i;
                result.push_back({std::move(it), {}});
            }
        }
    }
    return result;
}

auto run_all(std::vector<row>& rows, std::size_t threads) -> void
{
    auto next = std::atomic<std::size_t>{0};
    auto const work = [&]
    {
        for (auto i = next++; i < rows.size(); i = next++)
        {
            rows[i].services = experiments::run_overload(rows[i].options);
        }
    };
    auto pool = std::vector<std::jthread>{};
    for (std::size_t i = 1; i < threads; ++i)
    {
        pool.emplace_back(work);
    }
    work();
}

using figure = double (*)(experiments::run_result const&);

auto print_group(
    std::span<row const> group, std::size_t service,
    std::vector<figure> const& figures) -> void
{
    auto const& first = group.front().options;
    fmt::print("{:<14} {:>5.0f} {}", first.limiter, first.load * 100, service);
    for (auto const get : figures)
    {
        auto values = std::vector<double>{};
        for (auto const& it : group)
        {
            values.push_back(get(it.services[service]));
        }
        auto const it = experiments::spread_of(std::move(values));
        auto const digits = it.greatest < 10.0 ? 3 : 0;
        fmt::print(
            " | {:.{}f} ({:.{}f}-{:.{}f})", it.median, digits, it.least, digits,
            it.greatest, digits);
    }
    fmt::print("\n");
}

auto print_table(std::vector<row> const& rows, std::size_t seeds) -> void
{
    using result = experiments::run_result;
    auto const figures = std::vector<figure>{
        [](result const& it) { return it.goodput; },
        [](result const& it) { return it.good_ratio; },
        [](result const& it) { return it.p50_ms; },
        [](result const& it) { return it.p99_ms; },
        [](result const& it) { return static_cast<double>(it.refused); },
        [](result const& it) { return static_cast<double>(it.late); },
        [](result const& it) { return it.wasted; },
        [](result const& it) { return static_cast<double>(it.retries); },
        [](result const& it) { return static_cast<double>(it.repeats); },
        [](result const& it)
        {
            return it.recovery_ms;
        }};
    fmt::print(
        "limiter load service | goodput/s | good ratio | p50 ms | p99 ms | "
        "refused | late | wasted | retries | repeats | recovery ms\n");
    for (std::size_t i = 0; i + seeds <= rows.size(); i += seeds)
    {
        auto const group = std::span{rows}.subspan(i, seeds);
        for (std::size_t k = 0; k < group.front().services.size(); ++k)
        {
            print_group(group, k, figures);
        }
    }
}

/** Returns pairs of milliseconds and percent. */
auto deadlines_text(experiments::run_options const& options) -> std::string
{
    auto result = std::string{};
    for (auto const& it : options.deadlines)
    {
        result += fmt::format(
            "{}{}:{:.0f}", result.empty() ? "" : " ",
            std::chrono::duration_cast<std::chrono::milliseconds>(it.deadline)
                .count(),
            it.share * 100.0);
    }
    return result;
}

auto append_csv(
    std::string const& path, std::string const& scenario,
    std::vector<row> const& rows) -> void
{
    auto out = std::ofstream{path, std::ios::app};
    if (out.tellp() == std::streampos{0})
    {
        out << "limiter,scenario,load,instances,backends,mean_ms,deadlines,"
               "backoff,seed,service,offered,goodput,good_ratio,p50_ms,p99_ms,"
               "refused,late,"
               "wasted,retries,repeats,recovery_ms\n";
    }
    for (auto const& [with, services] : rows)
    {
        for (std::size_t k = 0; k < services.size(); ++k)
        {
            auto const& it = services[k];
            out << fmt::format(
                "{},{},{:.0f},{},{},{},{},{:d},{},{},{:.1f},{:.1f},{:.4f},{:."
                "2f},"
                "{:.2f},{},{},{:.4f},{},{},{:.0f}\n",
                with.limiter, scenario, with.load * 100, with.instances,
                with.backends,
                std::chrono::duration<double, std::milli>(with.mean_service)
                    .count(),
                deadlines_text(with), with.callers.backoff, with.seed, k,
                it.offered, it.goodput, it.good_ratio, it.p50_ms, it.p99_ms,
                it.refused, it.late, it.wasted, it.retries, it.repeats,
                it.recovery_ms);
        }
    }
}

auto run(cxxopts::ParseResult const& args) -> int
{
    auto rows = make_rows(args);
    if (!rows || rows->empty())
    {
        fmt::print(stderr, "{}\n", core::last_reason().message);
        return 2;
    }
    run_all(*rows, args["threads"].as<std::size_t>());
    print_table(*rows, args["seeds"].as<std::uint64_t>());
    if (args.count("csv") > 0)
    {
        append_csv(
            args["csv"].as<std::string>(), args["scenario"].as<std::string>(),
            *rows);
    }
    return 0;
}

} // namespace

auto main(int count, char** arguments) -> int
{
    return godwitcleat::standins::run_main(
        count, arguments, make_options(), {}, run);
}
