/** @file config_command_func.cpp The commands check, publish and config. */
#include "config_command_func.hpp"

#include "instance_func.hpp"
#include "output_func.hpp"
#include "protocol/protocol.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <utility>

namespace godwitcleat::ctl
{

namespace
{

auto read_config_file(std::string const& path)
    -> std::optional<protocol::config_source>
{
    auto stream = std::ifstream{path, std::ios::binary};
    if (!stream)
    {
        return core::fail(
            core::error_kind::not_found,
            fmt::format("cannot open \"{}\"; check its permissions", path));
    }
    return protocol::config_source{
        path, std::string{std::istreambuf_iterator<char>{stream}, {}}};
}

// Returns the sorted paths of all *.ini files in the folder and its subfolders.
auto find_config_files(std::string const& folder)
    -> std::optional<std::vector<std::string>>
{
    auto paths = std::vector<std::string>{};
    auto ec = std::error_code{};
    auto it = std::filesystem::recursive_directory_iterator{folder, ec};
    for (; !ec && it != std::filesystem::recursive_directory_iterator{};
         it.increment(ec))
    {
        if (it->path().extension() == ".ini" && it->is_regular_file(ec))
        {
            paths.push_back(it->path().string());
        }
    }
    if (ec)
    {
        return core::fail(
            core::error_kind::invalid_input,
            fmt::format(
                "cannot read the folder \"{}\" ({}); check the path", folder,
                ec.message()));
    }
    if (paths.empty())
    {
        // Publishing an empty folder would remove all services.
        return core::fail(
            core::error_kind::invalid_input,
            fmt::format(
                "no *.ini file is below \"{}\"; check the path", folder));
    }
    std::sort(paths.begin(), paths.end());
    return paths;
}

auto read_config_folder(
    std::string const& folder, state::config_document const& base)
    -> std::optional<state::config_document>
{
    auto const paths = find_config_files(folder);
    if (!paths)
    {
        return std::nullopt;
    }
    auto sources = std::vector<protocol::config_source>{};
    for (auto const& path : *paths)
    {
        auto source = read_config_file(path);
        if (!source)
        {
            return std::nullopt;
        }
        sources.push_back(std::move(*source));
    }
    return protocol::read_config(sources, base);
}

auto run_check(command_context& context) -> exit_status
{
    auto const document = read_config_folder(context.arguments.front(), {});
    if (!document)
    {
        return report_input_error();
    }
    print_line(fmt::format(
        "no problems: {} teams, {} services, {} jobs", document->teams.size(),
        document->services.size(), document->jobs.size()));
    return exit_status::done;
}

auto report_conflict(api_answer const& answer, core::generation base)
    -> exit_status
{
    report_failure(answer);
    print_error(fmt::format("changes since generation {}:", base.value));
    for (auto const& line : conflicting_changes(answer))
    {
        print_error("  " + line);
    }
    print_error("nothing was published; merge these changes and publish again");
    return exit_status::conflict;
}

// Returns a conflict if --base is given and is not the current generation.
auto check_base(command_context const& context, core::generation current)
    -> exit_status
{
    if (context.options.count("base") == 0)
    {
        return exit_status::done;
    }
    auto const base = context.options["base"].as<std::uint64_t>();
    if (base == current.value)
    {
        return exit_status::done;
    }
    print_error(fmt::format(
        "conflict: the current generation is {}, not {}; compare with publish "
        "--dry-run, then publish without --base",
        current.value, base));
    return exit_status::conflict;
}

auto summary_of(
    command_context const& context, std::vector<std::string> const& changes)
    -> std::string
{
    constexpr auto max_length = std::size_t{200};
    if (context.options.count("summary") != 0)
    {
        return context.options["summary"].as<std::string>();
    }
    return fmt::format("{}", fmt::join(changes, "; ")).substr(0, max_length);
}

auto publish(
    command_context& context, state::config_document const& document,
    std::vector<std::string> const& changes) -> exit_status
{
    auto const author = author_of(context);
    if (!author)
    {
        return report_input_error();
    }
    auto const answer = publish_document(
        context.client, document, *author, summary_of(context, changes));
    if (answer.status == exit_status::conflict)
    {
        return report_conflict(answer, document.number);
    }
    if (answer.status != exit_status::done)
    {
        return report_failure(answer);
    }
    if (context.json)
    {
        print_line(answer.body);
        return exit_status::done;
    }
    print_line(
        fmt::format("published generation {}", published_generation(answer)));
    return exit_status::done;
}

auto run_publish(command_context& context) -> exit_status
{
    auto const base = read_document(context.client);
    if (!base.document)
    {
        return report_failure(base.answer);
    }
    auto const status = check_base(context, base.document->number);
    if (status != exit_status::done)
    {
        return status;
    }
    auto const document =
        read_config_folder(context.arguments.front(), *base.document);
    if (!document)
    {
        return report_input_error();
    }
    auto const changes = protocol::describe_changes(*base.document, *document);
    if (!context.json)
    {
        for (auto const& line : changes)
        {
            print_line(line);
        }
    }
    if (context.options.count("dry-run") != 0 || changes.empty())
    {
        auto const generation = base.document->number.value;
        print_line(
            context.json
                ? nlohmann::
                      json{{"generation", generation}, {"changes", changes}}
                          .dump()
                : fmt::format(
                      "{} changes to generation {}, nothing published",
                      changes.size(), generation));
        return exit_status::done;
    }
    return publish(context, *document, changes);
}

auto show_document(command_context& context) -> exit_status
{
    auto const answer = context.client.get("/v1/config");
    if (answer.status != exit_status::done)
    {
        return report_failure(answer);
    }
    constexpr auto indent = 2;
    print_line(nlohmann::json::parse(answer.body).dump(indent));
    return exit_status::done;
}

auto run_config(command_context& context) -> exit_status
{
    if (context.options.count("document") != 0)
    {
        return show_document(context);
    }
    auto const found = find_instances(context.client);
    if (found.answer.status != exit_status::done)
    {
        return report_failure(found.answer);
    }
    auto rows = std::vector<table_row>{};
    auto json_rows = nlohmann::json::array();
    for (auto const& it : found.instances)
    {
        auto const answer = query_instance(context.client, it, "/v1/status");
        auto const reached = answer.status == exit_status::done;
        auto const generation = reached
                                    ? nlohmann::json::parse(answer.body)
                                          .value("generation", std::uint64_t{0})
                                    : it.generation;
        rows.push_back(
            {it.name, std::to_string(generation), reached ? "yes" : "no"});
        json_rows.push_back(
            {{"instance", it.name},
             {"generation", generation},
             {"reached", reached}});
    }
    context.json ? print_line(json_rows.dump())
                 : print_table({"INSTANCE", "GENERATION", "REACHED"}, rows);
    return exit_status::done;
}

} // namespace

auto config_commands() -> std::vector<command>
{
    auto const check = command{
        "check",
        "DIR",
        "Checks all *.ini files below DIR; needs no daemon.",
        "  godwitcleatctl check services/\n",
        1,
        1,
        {},
        run_check};
    auto const publish = command{
        "publish",
        "DIR",
        "Publishes all *.ini files below DIR as one change. Teams, services "
        "and jobs that are not in the files are removed; drained data centres "
        "and workers stay drained.",
        "  godwitcleatctl publish services/ --dry-run\n"
        "  godwitcleatctl publish services/ --author ann --base 41\n",
        1,
        1,
        [](cxxopts::OptionAdder add)
        {
            add_author(add);
            add("summary",
                "description of the change (default: list of changes)",
                cxxopts::value<std::string>(), "TEXT");
            add("base", "publish only if this is the current generation",
                cxxopts::value<std::uint64_t>(), "GEN");
            add("dry-run", "show the changes and publish nothing");
        },
        run_publish};
    auto const config = command{
        "config",
        "",
        "Shows the current generation on each instance.",
        "  godwitcleatctl config\n"
        "  godwitcleatctl config --document\n",
        0,
        0,
        [](cxxopts::OptionAdder add)
        { add("document", "show the configuration document instead"); },
        run_config};
    return {check, publish, config};
}

} // namespace godwitcleat::ctl
