/** @file main.cpp Prints the measured slopes that docs/CAPACITY.md uses. */
#include "bench/slopes/measure_func.hpp"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <fstream>
#include <functional>
#include <iostream>
#include <iterator>
#include <map>
#include <string>

namespace bench = godwitcleat::bench;

namespace
{

auto groups()
    -> std::map<std::string, std::function<std::vector<bench::series>()>>
{
    return {
        {"memory", bench::measure_memory},
        {"bytes", bench::measure_bytes},
        {"time", bench::measure_time},
        {"store", bench::measure_store}};
}

auto run(std::string const& what, std::string const& csv) -> int
{
    auto result = std::vector<bench::series>{};
    for (auto const& [name, measure] : groups())
    {
        if (what == "all" || what == name)
        {
            auto found = measure();
            result.insert(
                result.end(), std::make_move_iterator(found.begin()),
                std::make_move_iterator(found.end()));
        }
    }
    if (result.empty())
    {
        std::cerr << fmt::format(
            "unknown group {}; use memory, bytes, time, store or all\n", what);
        return 1;
    }
    bench::print(std::cout, result);
    if (csv.empty())
    {
        return 0;
    }
    auto out = std::ofstream{csv};
    bench::write_csv(out, result);
    out.close();
    if (!out)
    {
        std::cerr << fmt::format("cannot write {}\n", csv);
        return 1;
    }
    return 0;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    auto options = cxxopts::Options{"slopes", "Measures slopes."};
    options.add_options()(
        "what", "memory, bytes, time, store or all",
        cxxopts::value<std::string>()->default_value("all"))(
        "csv", "also write the points to this file",
        cxxopts::value<std::string>()->default_value(""))("help", "show help");
    try
    {
        auto const parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0)
        {
            std::cout << options.help();
            return 0;
        }
        return run(
            parsed["what"].as<std::string>(), parsed["csv"].as<std::string>());
    }
    catch (cxxopts::exceptions::exception const& error)
    {
        std::cerr << error.what() << '\n';
        return 1;
    }
}
