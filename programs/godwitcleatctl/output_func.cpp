/** @file output_func.cpp Prints tables, JSON and errors. */
#include "output_func.hpp"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <ctime>

namespace godwitcleat::ctl
{

namespace
{

auto print_row(table_row const& row, std::vector<std::size_t> const& widths)
    -> void
{
    auto line = std::string{};
    for (auto i = std::size_t{0}; i < row.size(); ++i)
    {
        line += fmt::format("{:<{}}  ", row[i], widths[i]);
    }
    print_line(line.substr(0, line.find_last_not_of(' ') + 1));
}

} // namespace

auto print_line(std::string_view text) -> void
{
    fmt::print(stdout, "{}\n", text);
}

auto print_error(std::string_view text) -> void
{
    fmt::print(stderr, "godwitcleatctl: {}\n", text);
}

auto print_table(table_row const& titles, std::vector<table_row> const& rows)
    -> void
{
    auto widths = std::vector<std::size_t>{};
    for (auto const& it : titles)
    {
        widths.push_back(it.size());
    }
    for (auto const& row : rows)
    {
        for (auto i = std::size_t{0}; i < row.size(); ++i)
        {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    print_row(titles, widths);
    for (auto const& row : rows)
    {
        print_row(row, widths);
    }
}

auto report_failure(api_answer const& answer) -> exit_status
{
    print_error(fmt::format(
        "{}: {}", core::to_string(answer.reason.kind), answer.reason.message));
    return answer.status;
}

auto report_input_error() -> exit_status
{
    print_error(core::last_reason().message);
    return exit_status::usage;
}

auto format_resources(core::resources const& value) -> std::string
{
    return fmt::format(
        "{}m {}MB {}acc", value.cpu_milli, value.memory_mb, value.accelerators);
}

auto format_time(std::int64_t wall_us) -> std::string
{
    constexpr auto us_per_s = std::int64_t{1'000'000};
    auto const us = ((wall_us % us_per_s) + us_per_s) % us_per_s;
    auto const seconds = static_cast<std::time_t>((wall_us - us) / us_per_s);
    auto parts = std::tm{};
    if (gmtime_r(&seconds, &parts) == nullptr)
    {
        return fmt::format("{}us", wall_us);
    }
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:06}Z", parts, us);
}

} // namespace godwitcleat::ctl
