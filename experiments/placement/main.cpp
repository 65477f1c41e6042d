/** @file main.cpp Compares placement policies; see docs/EXPERIMENTS.md. */
#include "experiments/support/figures_func.hpp"
#include "simulation_base.hpp"
#include "standins/support/main_func.hpp"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <string>
#include <utility>
#include <vector>

namespace
{

namespace core = godwitcleat::core;
namespace experiments = godwitcleat::experiments;

/** Results of one seed. */
struct row
{
    std::uint64_t seed = 0;
    experiments::run_result result;
};

auto make_options() -> cxxopts::Options
{
    auto options = cxxopts::Options{
        "placement", "Drives the shard engine against modelled workers whose "
                     "tasks disturb one another."};
    auto add = options.add_options();
    add("policy", "first_fit, best_fit, spread, unlearned or learned",
        cxxopts::value<std::string>()->default_value("learned"));
    add("relief", "none, largest or worst",
        cxxopts::value<std::string>()->default_value("worst"));
    add("seed", "first seed",
        cxxopts::value<std::uint64_t>()->default_value("1"));
    add("seeds", "number of seeds",
        cxxopts::value<std::uint64_t>()->default_value("10"));
    add("calm-rate", "batch jobs per second between waves",
        cxxopts::value<double>()->default_value("0.4"));
    add("wave-rate", "batch jobs per second in a wave",
        cxxopts::value<double>()->default_value("2.0"));
    add("csv", "append one line for each seed to this file",
        cxxopts::value<std::string>());
    add("help", "print this text");
    return options;
}

template <class Read>
auto print(std::string const& name, std::vector<row> const& rows, Read read)
    -> void
{
    auto values = std::vector<double>{};
    for (auto const& it : rows)
    {
        values.push_back(static_cast<double>(read(it.result)));
    }
    auto const it = experiments::spread_of(std::move(values));
    fmt::print(
        "{} {:.3f} ({:.3f}-{:.3f})\n", name, it.median, it.least, it.greatest);
}

auto print_summary(std::vector<row> const& rows) -> void
{
    print(
        "mean_slowdown", rows, [](auto const& it) { return it.mean_slowdown; });
    print("p99_slowdown", rows, [](auto const& it) { return it.p99_slowdown; });
    print("batch_work", rows, [](auto const& it) { return it.batch_work; });
    print("batch_jobs", rows, [](auto const& it) { return it.batch_jobs; });
    print("evictions", rows, [](auto const& it) { return it.evictions; });
    print("lost_work", rows, [](auto const& it) { return it.lost_work; });
    print("throttles", rows, [](auto const& it) { return it.throttles; });
    print("failed_jobs", rows, [](auto const& it) { return it.failed_jobs; });
}

auto append_csv(
    std::string const& path, cxxopts::ParseResult const& args,
    std::vector<row> const& rows) -> void
{
    auto out = std::ofstream{path, std::ios::app};
    if (out.tellp() == std::streampos{0})
    {
        out << "policy,relief,seed,mean_slowdown,p99_slowdown,batch_work,"
               "batch_jobs,evictions,lost_work,throttles,failed_jobs\n";
    }
    for (auto const& [seed, it] : rows)
    {
        out << fmt::format(
            "{},{},{},{:.4f},{:.4f},{:.1f},{},{},{:.1f},{},{}\n",
            args["policy"].as<std::string>(), args["relief"].as<std::string>(),
            seed, it.mean_slowdown, it.p99_slowdown, it.batch_work,
            it.batch_jobs, it.evictions, it.lost_work, it.throttles,
            it.failed_jobs);
    }
}

auto run(cxxopts::ParseResult const& args) -> int
{
    auto const placement =
        experiments::parse_placement(args["policy"].as<std::string>());
    auto const relief =
        placement ? experiments::parse_relief(args["relief"].as<std::string>())
                  : std::nullopt;
    if (!relief)
    {
        fmt::print(stderr, "{}\n", core::last_reason().message);
        return 2;
    }
    auto options = experiments::run_options{};
    options.placement = *placement;
    options.relief = *relief;
    options.seed = args["seed"].as<std::uint64_t>();
    options.calm_rate = args["calm-rate"].as<double>();
    options.wave_rate = args["wave-rate"].as<double>();
    auto const seeds =
        std::max<std::uint64_t>(args["seeds"].as<std::uint64_t>(), 1);
    auto rows = std::vector<row>{};
    for (std::uint64_t i = 0; i < seeds; ++i)
    {
        rows.push_back({options.seed, experiments::run_placement(options)});
        ++options.seed;
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
