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

// Lines of these parts and messages show what an instance believed at a time.
constexpr std::array<std::string_view, 8> context_parts{
    " term: ",          " config: ",           "Daemon starts.",
    "Daemon drains.",   "Daemon stops.",       "Settings are reloaded.",
    "Jobs are loaded.", "Lines were left out."};

// Length of TIME up to whole seconds, as in 2026-12-04T13:36:59.
constexpr auto second_length = std::size_t{19};

/** One line of a log. */
struct log_line
{
    std::string source; ///< File name; empty: standard input.
    std::string text;
    std::optional<std::int64_t> second; ///< Unix time; unset: no log line.
};

auto second_of(std::string_view text) -> std::optional<std::int64_t>
{
    auto when = std::tm{};
    if (text.size() < second_length ||
        ::strptime(
            std::string{text.substr(0, second_length)}.c_str(),
            "%Y-%m-%dT%H:%M:%S", &when) == nullptr)
    {
        return std::nullopt;
    }
    return static_cast<std::int64_t>(::timegm(&when));
}

auto read_lines(
    std::istream& from, std::string const& source, std::vector<log_line>& all)
    -> void
{
    auto text = std::string{};
    while (std::getline(from, text))
    {
        all.push_back({source, text, second_of(text)});
    }
}

// Returns the value of KEY=VALUE in a line, or an empty text.
auto value_of(std::string_view line, std::string_view key) -> std::string_view
{
    auto const name = fmt::format(" {}=", key);
    auto const at = line.find(name);
    if (at == std::string_view::npos)
    {
        return {};
    }
    auto const rest = line.substr(at + name.size());
    return rest.substr(0, rest.find(' '));
}

/** What belongs to the lines of one job. */
struct job_view
{
    std::set<std::string, std::less<>> workers;
    std::int64_t first = 0; ///< Unix seconds.
    std::int64_t last = 0;
};

auto find_job(std::vector<log_line> const& all, std::string_view job)
    -> std::optional<job_view>
{
    auto result = std::optional<job_view>{};
    for (auto const& it : all)
    {
        if (!it.second || value_of(it.text, "job") != job)
        {
            continue;
        }
        if (!result)
        {
            result = job_view{{}, *it.second, *it.second};
        }
        result->first = std::min(result->first, *it.second);
        result->last = std::max(result->last, *it.second);
        auto const worker = value_of(it.text, "worker");
        if (!worker.empty())
        {
            result->workers.emplace(worker);
        }
    }
    return result;
}

auto is_context(log_line const& line, job_view const& view) -> bool
{
    auto const worker = value_of(line.text, "worker");
    if (!worker.empty())
    {
        // Lines about other jobs on the same workers say nothing here.
        return value_of(line.text, "job").empty() &&
               view.workers.contains(worker);
    }
    return std::any_of(
        context_parts.begin(), context_parts.end(),
        [&line](auto part)
        { return line.text.find(part) != std::string::npos; });
}

auto run_explain(command_context& context) -> exit_status
{
    auto all = std::vector<log_line>{};
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
        read_lines(file, path.substr(path.find_last_of('/') + 1), all);
    }
    if (context.arguments.size() == 1)
    {
        read_lines(std::cin, "", all);
    }
    auto const view = find_job(all, job);
    if (!view)
    {
        print_error(fmt::format(
            "no line names job {}; check the id, and give the logs of all "
            "instances for that time",
            job));
        return exit_status::refused;
    }
    auto const margin = context.options["context-s"].as<std::int64_t>();
    std::erase_if(
        all,
        [&](log_line const& it)
        {
            auto const own = value_of(it.text, "job") == job;
            auto const near = it.second && *it.second >= view->first - margin &&
                              *it.second <= view->last + margin;
            return !it.second || (!own && !(near && is_context(it, *view)));
        });
    std::stable_sort(
        all.begin(), all.end(),
        [](auto const& left, auto const& right)
        { return left.text < right.text; });
    for (auto const& it : all)
    {
        auto const own = value_of(it.text, "job") == job;
        print_line(fmt::format(
            "{} {}{}{}", own ? "*" : " ", it.source,
            it.source.empty() ? "" : ": ", it.text));
    }
    return exit_status::done;
}

} // namespace

auto explain_commands() -> std::vector<command>
{
    return {command{
        "explain", "JOB [LOG...]",
        "Prints the decisions about one job from the logs of all instances, "
        "in order, marked with *, and what the instances and its workers went "
        "through meanwhile. Reads standard input if no file is named; needs no "
        "daemon.",
        "  godwitcleatctl explain 5c0e7a21d94b36f8 entry-1.log entry-2.log\n"
        "  cat *.log | godwitcleatctl explain 5c0e7a21d94b36f8 --context-s 5\n",
        1, 1000,
        [](cxxopts::OptionAdder add)
        {
            add("context-s",
                "how long before and after the job other lines are shown",
                cxxopts::value<std::int64_t>()->default_value("2"), "SECONDS");
        },
        run_explain}};
}

} // namespace godwitcleat::ctl
