/** @file explain_command_func.cpp The command explain. */
#include "explain_command_func.hpp"

#include "output_func.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <set>

namespace godwitcleat::ctl
{

namespace
{

// Lines with one of these texts show the state of an instance: its lifetime,
// its ownership of the jobs, its configuration and gaps in its log.
constexpr std::array<std::string_view, 8> context_texts{
    " term: ",          " config: ",           "Daemon starts.",
    "Daemon drains.",   "Daemon stops.",       "Settings are reloaded.",
    "Jobs are loaded.", "Lines were left out."};

// Length of a timestamp in whole seconds, as in 2026-12-04T13:36:59.
constexpr auto timestamp_length = std::size_t{19};

/** One line of a log. */
struct log_line
{
    std::string source; ///< File name; empty for standard input.
    std::string text;
    std::optional<std::int64_t> time_s; ///< Unix time; unset without timestamp.
};

auto parse_time(std::string_view text) -> std::optional<std::int64_t>
{
    auto parts = std::tm{};
    if (text.size() < timestamp_length ||
        ::strptime(
            std::string{text.substr(0, timestamp_length)}.c_str(),
            "%Y-%m-%dT%H:%M:%S", &parts) == nullptr)
    {
        return std::nullopt;
    }
    return static_cast<std::int64_t>(::timegm(&parts));
}

auto read_lines(
    std::istream& stream, std::string const& source,
    std::vector<log_line>& lines) -> void
{
    auto text = std::string{};
    while (std::getline(stream, text))
    {
        lines.push_back({source, text, parse_time(text)});
    }
}

// Returns the value of the field KEY=VALUE of a line, or an empty text.
auto value_of(std::string_view line, std::string_view key) -> std::string_view
{
    auto const prefix = fmt::format(" {}=", key);
    auto const position = line.find(prefix);
    if (position == std::string_view::npos)
    {
        return {};
    }
    auto const rest = line.substr(position + prefix.size());
    return rest.substr(0, rest.find(' '));
}

/** Workers and period of the log lines of one job. */
struct job_activity
{
    std::set<std::string, std::less<>> workers;
    std::int64_t first_s = 0; ///< Unix time of the first line.
    std::int64_t last_s = 0;  ///< Unix time of the last line.
};

auto find_activity(std::vector<log_line> const& lines, std::string_view job)
    -> std::optional<job_activity>
{
    auto result = std::optional<job_activity>{};
    for (auto const& it : lines)
    {
        if (!it.time_s || value_of(it.text, "job") != job)
        {
            continue;
        }
        if (!result)
        {
            result = job_activity{{}, *it.time_s, *it.time_s};
        }
        result->first_s = std::min(result->first_s, *it.time_s);
        result->last_s = std::max(result->last_s, *it.time_s);
        auto const worker = value_of(it.text, "worker");
        if (!worker.empty())
        {
            result->workers.emplace(worker);
        }
    }
    return result;
}

// Returns true if a line that does not name the job shows the state of an
// instance or of a worker of the job.
auto is_context(log_line const& line, job_activity const& activity) -> bool
{
    auto const worker = value_of(line.text, "worker");
    if (!worker.empty())
    {
        // Lines about other jobs on the same workers do not concern this job.
        return value_of(line.text, "job").empty() &&
               activity.workers.contains(worker);
    }
    return std::any_of(
        context_texts.begin(), context_texts.end(),
        [&line](auto text)
        { return line.text.find(text) != std::string::npos; });
}

auto run_explain(command_context& context) -> exit_status
{
    auto lines = std::vector<log_line>{};
    auto const& job = context.arguments.front();
    for (auto i = std::size_t{1}; i < context.arguments.size(); ++i)
    {
        auto const& path = context.arguments[i];
        auto file = std::ifstream{path};
        if (!file)
        {
            print_error(fmt::format(
                "cannot open \"{}\"; check the path and its permissions",
                path));
            return exit_status::usage;
        }
        read_lines(file, path.substr(path.find_last_of('/') + 1), lines);
    }
    if (context.arguments.size() == 1)
    {
        read_lines(std::cin, "", lines);
    }
    auto const activity = find_activity(lines, job);
    if (!activity)
    {
        print_error(fmt::format(
            "no line names job {}; check the id, and give the logs of all "
            "instances for that time",
            job));
        return exit_status::refused;
    }
    auto const margin_s = context.options["context-s"].as<std::int64_t>();
    std::erase_if(
        lines,
        [&](log_line const& it)
        {
            auto const names_job = value_of(it.text, "job") == job;
            auto const in_period = it.time_s &&
                                   *it.time_s >= activity->first_s - margin_s &&
                                   *it.time_s <= activity->last_s + margin_s;
            return !it.time_s ||
                   (!names_job && !(in_period && is_context(it, *activity)));
        });
    std::stable_sort(
        lines.begin(), lines.end(),
        [](auto const& left, auto const& right)
        { return left.text < right.text; });
    for (auto const& it : lines)
    {
        auto const names_job = value_of(it.text, "job") == job;
        print_line(fmt::format(
            "{} {}{}{}", names_job ? "*" : " ", it.source,
            it.source.empty() ? "" : ": ", it.text));
    }
    return exit_status::done;
}

} // namespace

auto explain_commands() -> std::vector<command>
{
    return {command{
        "explain", "JOB [LOG...]",
        "Prints the log lines of a job from all instances in order of time. "
        "They are marked with *; the other lines show the state of the "
        "instances and of the job's workers in that period. Reads standard "
        "input if no file is given; needs no daemon.",
        "  godwitcleatctl explain 5c0e7a21d94b36f8 entry-1.log entry-2.log\n"
        "  cat *.log | godwitcleatctl explain 5c0e7a21d94b36f8 --context-s 5\n",
        1, 1000,
        [](cxxopts::OptionAdder add)
        {
            add("context-s",
                "time before and after the job in which other lines are shown",
                cxxopts::value<std::int64_t>()->default_value("2"), "SECONDS");
        },
        run_explain}};
}

} // namespace godwitcleat::ctl
