/** @file main.cpp Compares drain policies; see docs/EXPERIMENTS.md. */
#include "experiments/support/figures_func.hpp"
#include "simulation_base.hpp"
#include "standins/support/main_func.hpp"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace
{

using namespace std::chrono_literals;
namespace core = godwitcleat::core;
namespace experiments = godwitcleat::experiments;
namespace state = godwitcleat::state;

/** One column of the results. */
struct column
{
    std::string name;
    std::function<double(experiments::run_result const&)> read;
};

/** Results of one seed. */
struct row
{
    std::uint64_t seed = 0;
    experiments::run_result result;
};

// The engine's behaviour before it had rules for absence.
auto without_rules() -> state::drain_settings
{
    auto result = state::drain_settings{};
    result.services_evict = false;
    result.grace = state::drain_grace::none;
    result.checkpoints_per_s = 0;
    result.ramp_interval = 0s;
    return result;
}

auto policies() -> std::vector<std::pair<std::string, state::engine_settings>>
{
    auto result = std::vector<std::pair<std::string, state::engine_settings>>{};
    auto const add = [&result](std::string const& name, auto edit)
    {
        auto settings = state::engine_settings{};
        settings.drain = state::drain_settings{};
        edit(settings.drain);
        result.emplace_back(name, settings);
    };
    using state::drain_grace;
    add("none", [](auto& it) { it = without_rules(); });
    add("batch_at_once",
        [](auto& it)
        {
            it = without_rules();
            it.services_first = false;
        });
    add("evict",
        [](auto& it)
        {
            it = without_rules();
            it.services_evict = true;
        });
    add("finishing",
        [](auto& it)
        {
            it = without_rules();
            it.services_evict = true;
            it.grace = drain_grace::finishing;
        });
    add("run_on",
        [](auto& it)
        {
            it = without_rules();
            it.services_evict = true;
            it.grace = drain_grace::all;
        });
    add("paced",
        [](auto& it)
        {
            it = without_rules();
            it.services_evict = true;
            it.checkpoints_per_s = 2;
        });
    add("ramp_1s",
        [](auto& it)
        {
            it = without_rules();
            it.services_evict = true;
            it.ramp_interval = 1s;
        });
    add("ramp_5s",
        [](auto& it)
        {
            it = without_rules();
            it.services_evict = true;
            it.ramp_interval = 5s;
        });
    return result;
}

auto phase_columns(std::string const& name, std::size_t index)
    -> std::vector<column>
{
    using value = double;
    auto const add = [&](std::string const& what, auto member)
    {
        return column{
            name + "_" + what,
            [index, member](experiments::run_result const& it)
            {
                return static_cast<value>(it.phases[index].*member);
            }};
    };
    using it = experiments::phase_result;
    return {
        add("work_per_min", &it::work_per_min),
        add("evictions", &it::evictions),
        add("lost_work", &it::lost_work),
        add("mean_slowdown", &it::mean_slowdown),
        add("p99_slowdown", &it::p99_slowdown),
        add("urgent_p99_s", &it::urgent_p99_s),
        add("urgent_worst_s", &it::urgent_worst_s),
        add("urgent_late", &it::urgent_late),
        add("queue", &it::queue),
        add("fairness", &it::fairness),
        add("missing_runner_s", &it::missing_runner_s)};
}

auto columns() -> std::vector<column>
{
    auto result = std::vector<column>{};
    auto const names = std::vector<std::string>{"before", "out", "after"};
    for (auto n = std::size_t{0}; n < names.size(); ++n)
    {
        auto const part = phase_columns(names[n], n);
        result.insert(result.end(), part.begin(), part.end());
    }
    auto const add = [&result](std::string const& name, auto member)
    {
        result.push_back(
            {name, [member](experiments::run_result const& it)
             {
                 return static_cast<double>(it.*member);
             }});
    };
    using it = experiments::run_result;
    add("restored_s", &it::restored_s);
    add("cleared_s", &it::cleared_s);
    add("resumed_s", &it::resumed_s);
    add("regained_s", &it::regained_s);
    add("return_load", &it::return_load);
    add("return_slowdown", &it::return_slowdown);
    add("killed", &it::killed);
    add("forced", &it::forced);
    add("throttles", &it::throttles);
    return result;
}

auto make_options() -> cxxopts::Options
{
    auto options = cxxopts::Options{
        "absence", "Takes a data centre out and brings it back, with the shard "
                   "engine and modelled workers."};
    auto add = options.add_options();
    add("policy", "names of policies, separated by commas, or all",
        cxxopts::value<std::string>()->default_value("all"));
    add("fleet", "small or large",
        cxxopts::value<std::string>()->default_value("small"));
    add("seed", "first seed",
        cxxopts::value<std::uint64_t>()->default_value("1"));
    add("seeds", "number of seeds",
        cxxopts::value<std::uint64_t>()->default_value("10"));
    add("load", "share of the room that batch jobs ask for",
        cxxopts::value<double>()->default_value("0.9"));
    add("checkpoint-ms", "time to write a checkpoint",
        cxxopts::value<std::int64_t>()->default_value("1000"));
    add("shards", "number of shards",
        cxxopts::value<std::uint32_t>()->default_value("1"));
    add("start-factor",
        "processors of a task in its first 5 s, times its usual "
        "ones",
        cxxopts::value<double>()->default_value("2"));
    add("notice",
        "seconds from the drain until the instances are off; 0: never",
        cxxopts::value<std::uint32_t>()->default_value("0"));
    add("csv", "append one line for each seed and policy to this file",
        cxxopts::value<std::string>());
    add("help", "print this text");
    return options;
}

// Returns the median, the least and the greatest value.
auto describe(std::vector<row> const& rows, column const& which) -> std::string
{
    auto values = std::vector<double>{};
    for (auto const& it : rows)
    {
        values.push_back(which.read(it.result));
    }
    auto const it = experiments::spread_of(std::move(values));
    return fmt::format(
        "{:.2f} ({:.2f}-{:.2f})", it.median, it.least, it.greatest);
}

// Prints one line for each figure and one column for each policy.
auto print_table(
    std::vector<std::pair<std::string, std::vector<row>>> const& results)
    -> void
{
    fmt::print("| figure |");
    for (auto const& [name, rows] : results)
    {
        fmt::print(" {} |", name);
    }
    fmt::print("\n|---|");
    for (auto n = std::size_t{0}; n < results.size(); ++n)
    {
        fmt::print("---|");
    }
    for (auto const& it : columns())
    {
        fmt::print("\n| {} |", it.name);
        for (auto const& [name, rows] : results)
        {
            fmt::print(" {} |", describe(rows, it));
        }
    }
    fmt::print("\n");
}

auto append_csv(
    std::string const& path, std::string const& fleet,
    std::vector<std::pair<std::string, std::vector<row>>> const& results)
    -> void
{
    auto out = std::ofstream{path, std::ios::app};
    auto const all = columns();
    if (out.tellp() == std::streampos{0})
    {
        out << "fleet,policy,seed";
        for (auto const& it : all)
        {
            out << ',' << it.name;
        }
        out << '\n';
    }
    for (auto const& [name, rows] : results)
    {
        for (auto const& it : rows)
        {
            out << fmt::format("{},{},{}", fleet, name, it.seed);
            for (auto const& which : all)
            {
                out << fmt::format(",{:.4f}", which.read(it.result));
            }
            out << '\n';
        }
    }
}

auto run(cxxopts::ParseResult const& args) -> int
{
    auto const fleet =
        experiments::parse_fleet(args["fleet"].as<std::string>());
    if (!fleet)
    {
        fmt::print(stderr, "{}\n", core::last_reason().message);
        return 2;
    }
    auto options = experiments::run_options{};
    options.instances = *fleet;
    options.start_factor = args["start-factor"].as<double>();
    options.shards = args["shards"].as<std::uint32_t>();
    options.notice_s = args["notice"].as<std::uint32_t>();
    options.load = args["load"].as<double>();
    options.checkpoint_delay =
        std::chrono::milliseconds{args["checkpoint-ms"].as<std::int64_t>()};
    auto const first = args["seed"].as<std::uint64_t>();
    auto const seeds =
        std::max<std::uint64_t>(args["seeds"].as<std::uint64_t>(), 1);
    auto const wanted = args["policy"].as<std::string>();
    auto results = std::vector<std::pair<std::string, std::vector<row>>>{};
    for (auto const& [name, settings] : policies())
    {
        if (wanted != "all" &&
            fmt::format(",{},", wanted).find(fmt::format(",{},", name)) ==
                std::string::npos)
        {
            continue;
        }
        auto& rows = results.emplace_back(name, std::vector<row>{}).second;
        for (options.seed = first; options.seed < first + seeds; ++options.seed)
        {
            rows.push_back(
                {options.seed, experiments::run_absence(options, settings)});
        }
    }
    if (results.empty())
    {
        fmt::print(stderr, "absence: \"{}\" is no policy\n", wanted);
        return 2;
    }
    print_table(results);
    if (args.count("csv") > 0)
    {
        append_csv(
            args["csv"].as<std::string>(), args["fleet"].as<std::string>(),
            results);
    }
    return 0;
}

} // namespace

auto main(int count, char** arguments) -> int
{
    return godwitcleat::standins::run_main(
        count, arguments, make_options(), {}, run);
}
