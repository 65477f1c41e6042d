/** @file main_func.hpp The common part of the stand-ins' main functions. */
#ifndef GODWITCLEAT_STANDINS_SUPPORT_MAIN_FUNC_HPP
#define GODWITCLEAT_STANDINS_SUPPORT_MAIN_FUNC_HPP

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

namespace godwitcleat::standins
{

constexpr int exit_usage = 2; ///< Wrong options or arguments.

/**
 * Parses the command line, answers --help, checks that the options named
 * @p required are set, and calls @p run with the result.
 * @return the exit code of @p run, or exit_usage.
 */
template <class Run>
auto run_main(
    int count, char** arguments, cxxopts::Options options,
    std::vector<std::string> const& required, Run run) -> int
{
    try
    {
        auto const parsed = options.parse(count, arguments);
        if (parsed.count("help") > 0)
        {
            fmt::print("{}\n", options.help());
            return EXIT_SUCCESS;
        }
        for (auto const& it : required)
        {
            if (parsed.count(it) == 0)
            {
                fmt::print(
                    stderr, "option --{} is missing; set it, see --help\n", it);
                return exit_usage;
            }
        }
        return run(parsed);
    }
    catch (cxxopts::exceptions::exception const& failure)
    {
        fmt::print(stderr, "{}; see --help\n", failure.what());
        return exit_usage;
    }
}

} // namespace godwitcleat::standins

#endif
