/** @file main.cpp Compares routing policies; see docs/EXPERIMENTS.md. */
#include "experiments/support/figures_func.hpp"
#include "simulation_base.hpp"
#include "standins/support/main_func.hpp"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>

namespace
{

namespace core = godwitcleat::core;
namespace coordination = godwitcleat::coordination;
namespace experiments = godwitcleat::experiments;

/** Results of one seed. */
struct row
{
    std::uint64_t seed = 0;
    experiments::run_result routed;
    experiments::run_result bound;
};

auto make_options() -> cxxopts::Options
{
    auto options = cxxopts::Options{
        "routing", "Drives the router of several entry instances against "
                   "modelled backend servers."};
    auto add = options.add_options();
    add("policy", "policy name or `default`",
        cxxopts::value<std::string>()->default_value("default"));
    add("scenario",
        "steady, slow, frozen, leaving, returning, instance_lost, load_step",
        cxxopts::value<std::string>()->default_value("steady"));
    add("seed", "first seed",
        cxxopts::value<std::uint64_t>()->default_value("1"));
    add("seeds", "number of seeds",
        cxxopts::value<std::uint64_t>()->default_value("10"));
    add("instances", "entry instances",
        cxxopts::value<std::size_t>()->default_value("6"));
    add("backends", "backend servers",
        cxxopts::value<std::size_t>()->default_value("50"));
    add("load", "percent of all slots",
        cxxopts::value<double>()->default_value("80"));
    add("service", "exponential or lognormal service times",
        cxxopts::value<std::string>()->default_value("exponential"));
    add("sigma", "of lognormal service times",
        cxxopts::value<double>()->default_value("1.0"));
    add("mean-ms", "mean service time in ms",
        cxxopts::value<double>()->default_value("20"));
    add("exchange-ms", "interval of peer updates in ms; 0: none",
        cxxopts::value<int>()->default_value("500"));
    add("indexed", "peer updates carry positions instead of names");
    add("connections", "most per backend server and instance",
        cxxopts::value<std::uint32_t>()->default_value("9"));
    add("hot-quantile", "of probing: the limit between cold and hot",
        cxxopts::value<double>()->default_value("0.84"));
    add("length-s", "measured seconds, after 2 s of warm-up",
        cxxopts::value<int>()->default_value("8"));
    add("csv", "append one line for each seed to this file",
        cxxopts::value<std::string>());
    add("help", "print this text");
    return options;
}

auto to_run_options(cxxopts::ParseResult const& args)
    -> std::optional<experiments::run_options>
{
    auto result = experiments::run_options{};
    result.policy = args["policy"].as<std::string>();
    if (result.policy != "default" &&
        !coordination::parse_routing_policy(result.policy))
    {
        return std::nullopt;
    }
    auto const what =
        experiments::parse_scenario(args["scenario"].as<std::string>());
    if (!what)
    {
        return std::nullopt;
    }
    result.what = *what;
    result.seed = args["seed"].as<std::uint64_t>();
    result.instances = args["instances"].as<std::size_t>();
    result.backends = args["backends"].as<std::size_t>();
    result.load = args["load"].as<double>() / 100.0;
    result.lognormal = args["service"].as<std::string>() == "lognormal";
    result.sigma = args["sigma"].as<double>();
    result.mean_service = std::chrono::microseconds{
        static_cast<std::int64_t>(args["mean-ms"].as<double>() * 1000.0)};
    result.exchange = std::chrono::milliseconds{args["exchange-ms"].as<int>()};
    result.indexed = args.count("indexed") > 0;
    result.length = std::chrono::seconds{args["length-s"].as<int>()};
    result.router.connections = args["connections"].as<std::uint32_t>();
    result.router.hot_quantile = args["hot-quantile"].as<double>();
    if (result.instances < 2 || result.backends < 2 || result.load <= 0.0)
    {
        return core::fail(
            core::error_kind::invalid_input,
            "use at least 2 instances, 2 backends and a load above 0");
    }
    return result;
}

/** Prints median, least and greatest of one figure. */
auto print_spread(std::string_view name, std::vector<double> values) -> void
{
    auto const it = experiments::spread_of(std::move(values));
    fmt::print(
        "{:<12} {:>10.2f} {:>10.2f} {:>10.2f}\n", name, it.median, it.least,
        it.greatest);
}

auto print_summary(std::vector<row> const& rows) -> void
{
    fmt::print(
        "{:<12} {:>10} {:>10} {:>10}\n", "figure", "median", "least",
        "greatest");
    auto const print = [&](std::string_view name, auto get)
    {
        auto values = std::vector<double>{};
        std::transform(
            rows.begin(), rows.end(), std::back_inserter(values),
            [&](row const& it) { return static_cast<double>(get(it)); });
        print_spread(name, std::move(values));
    };
    print("p50_ms", [](auto const& it) { return it.routed.p50_ms; });
    print("p99_ms", [](auto const& it) { return it.routed.p99_ms; });
    print("p99.9_ms", [](auto const& it) { return it.routed.p999_ms; });
    print("bound_p99", [](auto const& it) { return it.bound.p99_ms; });
    print(
        "p99_ratio",
        [](auto const& it) { return it.routed.p99_ms / it.bound.p99_ms; });
    print("refusals", [](auto const& it) { return it.routed.refusals; });
    print("failures", [](auto const& it) { return it.routed.failures; });
    print("lost", [](auto const& it) { return it.routed.lost; });
    print("retries", [](auto const& it) { return it.routed.retries; });
    print("wasted", [](auto const& it) { return it.routed.wasted; });
    print("to_leaving", [](auto const& it) { return it.routed.to_leaving; });
    print("bytes_per_s", [](auto const& it) { return it.routed.bytes_per_s; });
}

auto append_csv(
    std::string const& path, cxxopts::ParseResult const& args,
    std::vector<row> const& rows) -> void
{
    auto out = std::ofstream{path, std::ios::app};
    if (out.tellp() == std::streampos{0})
    {
        out << "policy,scenario,load,instances,backends,service,exchange_ms,"
               "seed,p50_ms,p99_ms,p999_ms,bound_p99_ms,answers,refusals,"
               "failures,lost,retries,wasted,to_leaving,bytes_per_s\n";
    }
    for (auto const& [seed, it, bound] : rows)
    {
        out << fmt::format(
            "{},{},{},{},{},{},{},{},{:.3f},{:.3f},{:.3f},{:.3f},{},{},{},{},"
            "{},{},{},{:.0f}\n",
            args["policy"].as<std::string>(),
            args["scenario"].as<std::string>(), args["load"].as<double>(),
            args["instances"].as<std::size_t>(),
            args["backends"].as<std::size_t>(),
            args["service"].as<std::string>(), args["exchange-ms"].as<int>(),
            seed, it.p50_ms, it.p99_ms, it.p999_ms, bound.p99_ms, it.answers,
            it.refusals, it.failures, it.lost, it.retries, it.wasted,
            it.to_leaving, it.bytes_per_s);
    }
}

auto run(cxxopts::ParseResult const& args) -> int
{
    auto options = to_run_options(args);
    if (!options)
    {
        fmt::print(stderr, "{}\n", core::last_reason().message);
        return 2;
    }
    auto rows = std::vector<row>{};
    auto const seeds =
        std::max<std::uint64_t>(args["seeds"].as<std::uint64_t>(), 1);
    for (std::uint64_t i = 0; i < seeds; ++i)
    {
        rows.push_back(
            {options->seed, experiments::run_routers(*options),
             experiments::run_omniscient(*options)});
        ++options->seed;
    }
    print_summary(rows);
    if (args.count("csv") > 0)
    {
        append_csv(args["csv"].as<std::string>(), args, rows);
    }
    return 0;
}

} // namespace

auto main(int count, char** arguments) -> int
{
    return godwitcleat::standins::run_main(
        count, arguments, make_options(), {}, run);
}
