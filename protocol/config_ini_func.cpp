/** @file config_ini_func.cpp Reads and compares configuration documents. */
#include "protocol/config_ini_func.hpp"

#include "protocol/json_internal.hpp"
#include "protocol/limits_internal.hpp"
#include "protocol/msgpack_func.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>

namespace godwitcleat::protocol
{

namespace
{

// libinih cuts section titles after 49 characters.
constexpr auto most_name_length = std::size_t{40};

// One `[KIND NAME]` line of a file.
struct section_header
{
    std::string path;
    std::string title; ///< The text between the brackets.
    std::string kind;
    std::string name;
    int line = 0;
};

// A section with its position.
struct source_section
{
    section_header header;
    core::ini_section section;
};

auto is_name(std::string_view text) -> bool
{
    constexpr std::string_view allowed =
        "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
    return !text.empty() && text.size() <= most_name_length &&
           text.find_first_not_of(allowed) == std::string_view::npos;
}

// Splits the text into section headers. The INI parser joins sections of the
// same name and drops empty ones, so the headers are read here.
auto find_headers(config_source const& source) -> std::vector<section_header>
{
    constexpr std::string_view blanks = " \t\r";
    constexpr std::string_view byte_order_mark = "\xef\xbb\xbf";
    auto result = std::vector<section_header>{};
    auto rest = std::string_view{source.text};
    if (rest.starts_with(byte_order_mark))
    {
        rest.remove_prefix(byte_order_mark.size());
    }
    for (auto line = 1; !rest.empty(); ++line)
    {
        auto const end = std::min(rest.find('\n'), rest.size());
        auto text = rest.substr(0, end);
        rest.remove_prefix(std::min(end + 1, rest.size()));
        text.remove_prefix(
            std::min(text.find_first_not_of(blanks), text.size()));
        auto const close = text.find(']');
        if (!text.starts_with('[') || close == std::string_view::npos)
        {
            continue;
        }
        auto const title = text.substr(1, close - 1);
        auto const blank = std::min(title.find(' '), title.size());
        auto const name = title.substr(std::min(blank + 1, title.size()));
        result.push_back(
            {source.path, std::string{title},
             std::string{title.substr(0, blank)}, std::string{name}, line});
    }
    return result;
}

class config_reader
{
public:
    explicit config_reader(state::config_document const& base)
    {
        document_.number = base.number;
        document_.drained_data_centres = base.drained_data_centres;
        document_.drained_workers = base.drained_workers;
    }

    auto read(std::span<config_source const> sources)
        -> std::optional<state::config_document>
    {
        for (auto const& source : sources)
        {
            collect(source);
        }
        for (auto const& it : sections_)
        {
            read_section(it);
        }
        check_size();
        if (!problems_.empty())
        {
            return core::fail(
                core::error_kind::invalid_input,
                fmt::format("{}", fmt::join(problems_, "\n")));
        }
        return std::move(document_);
    }

private:
    auto collect(config_source const& source) -> void
    {
        auto const file = core::parse_ini(source.text, source.path);
        if (!file)
        {
            problems_.push_back(core::last_reason().message);
            return;
        }
        auto headers = find_headers(source);
        check_sections(*file, headers);
        for (auto& header : headers)
        {
            if (is_valid(header))
            {
                auto section = section_of(*file, header);
                sections_.push_back({std::move(header), std::move(section)});
            }
        }
    }

    // Each parsed section must have a header, or it would be lost.
    auto check_sections(
        core::ini_file const& file, std::vector<section_header> const& headers)
        -> void
    {
        for (auto const& it : file.sections)
        {
            auto const located = std::any_of(
                headers.begin(), headers.end(),
                [&it](auto const& header) { return header.title == it.name; });
            if (!located)
            {
                problems_.push_back(fmt::format(
                    "{}:{}: key \"{}\" stands below no readable section line; "
                    "put it below a line such as [service NAME]",
                    file.path, it.line, it.entries.front().key));
            }
        }
    }

    static auto
    section_of(core::ini_file const& file, section_header const& header)
        -> core::ini_section
    {
        auto const it = std::find_if(
            file.sections.begin(), file.sections.end(),
            [&header](auto const& each) { return each.name == header.title; });
        if (it == file.sections.end())
        {
            return {header.title, header.line, {}};
        }
        return {it->name, header.line, it->entries};
    }

    // Checks kind and name, and that no other section has the same ones.
    auto is_valid(section_header const& header) -> bool
    {
        auto const place = fmt::format("{}:{}", header.path, header.line);
        auto const& kind = header.kind;
        if (kind != "team" && kind != "service" && kind != "job")
        {
            problems_.push_back(fmt::format(
                "{}: section [{}] is unknown; use [team NAME], [service NAME] "
                "or [job NAME]",
                place, header.title));
            return false;
        }
        if (!is_name(header.name))
        {
            problems_.push_back(fmt::format(
                "{}: section [{}] has no valid name; use 1 to {} letters, "
                "digits, dots, hyphens and underscores",
                place, header.title, most_name_length));
            return false;
        }
        auto const [it, inserted] = places_.emplace(header.title, place);
        if (!inserted)
        {
            problems_.push_back(fmt::format(
                "{}: section [{}] stands already at {}; remove or rename one "
                "of them",
                place, header.title, it->second));
        }
        return inserted;
    }

    auto read_section(source_section const& source) -> void
    {
        auto reader = core::ini_reader{source.header.path, source.section};
        auto const& kind = source.header.kind;
        if (kind == "team")
        {
            read_team(reader, source);
        }
        else if (kind == "service")
        {
            read_service(reader, source);
        }
        else
        {
            read_job(reader, source);
        }
        for (auto& problem : reader.finish())
        {
            problems_.push_back(std::move(problem));
        }
    }

    static auto has_key(source_section const& source, std::string_view key)
        -> bool
    {
        auto const& entries = source.section.entries;
        return std::any_of(
            entries.begin(), entries.end(),
            [key](auto const& it) { return it.key == key; });
    }

    static auto required_amount(
        core::ini_reader& reader, source_section const& source,
        std::string_view key, std::string_view unit) -> std::int64_t
    {
        auto const value = reader.number(key, 1, 1, most_amount, unit);
        if (!has_key(source, key))
        {
            reader.problem(key, fmt::format("is missing; add it ({})", unit));
        }
        return value;
    }

    static auto
    read_resources(core::ini_reader& reader, source_section const& source)
        -> core::resources
    {
        return {
            required_amount(
                reader, source, "cpu_milli", "thousandths of a core"),
            required_amount(reader, source, "memory_mb", "megabytes"),
            reader.number(
                "accelerators", 0, 0, most_amount, "whole accelerators")};
    }

    auto read_team_name(core::ini_reader& reader) -> core::team_id
    {
        auto team = reader.required_text("team");
        if (!team.empty() && !places_.contains("team " + team))
        {
            reader.problem(
                "team", fmt::format(
                            "is \"{0}\", which does not exist; add [team {0}] "
                            "or correct the name",
                            team));
        }
        return core::team_id{std::move(team)};
    }

    auto read_team(core::ini_reader& reader, source_section const& source)
        -> void
    {
        auto const id = core::team_id{source.header.name};
        document_.teams[id] = {id, read_resources(reader, source)};
    }

    template <class Number>
    static auto read_count(
        core::ini_reader& reader, std::string_view key, Number fallback,
        Number least, Number most, std::string_view unit) -> Number
    {
        return static_cast<Number>(
            reader.number(key, fallback, least, most, unit));
    }

    auto read_service(core::ini_reader& reader, source_section const& source)
        -> void
    {
        auto service = state::service_config{};
        service.service = core::service_id{source.header.name};
        service.team = read_team_name(reader);
        service.runners = read_count(
            reader, "runners", service.runners, 0U, most_runners, "runners");
        service.slots = read_count(
            reader, "slots", service.slots, 1U, most_slots,
            "requests that one runner serves at once");
        service.connections = read_count(
            reader, "connections", service.connections, 1U, most_connections,
            "connections that one runner accepts");
        service.need = read_resources(reader, source);
        service.interruptible =
            reader.yes_no("interruptible", service.interruptible);
        service.task_class = reader.text("task_class", "");
        service.default_deadline_ms = reader.number(
            "default_deadline_ms", service.default_deadline_ms, 1,
            most_deadline_ms, "milliseconds");
        service.command = reader.text("command", "");
        document_.services[service.service] = service;
    }

    auto read_job(core::ini_reader& reader, source_section const& source)
        -> void
    {
        auto spec = state::job_spec{};
        spec.id = core::job_id{source.header.name};
        spec.team = read_team_name(reader);
        spec.priority = read_priority(reader);
        spec.task_class = reader.text("task_class", "");
        spec.need = read_resources(reader, source);
        spec.interruptible = reader.yes_no("interruptible", spec.interruptible);
        spec.expected_run_ms = reader.number(
            "expected_run_ms", 0, 0, most_amount,
            "milliseconds, 0 for unknown");
        spec.deadline_s = reader.number(
            "deadline_s", 0, 0, most_amount, "seconds since 1970, 0 for none");
        spec.command = reader.text("command", "");
        document_.jobs[spec.id].spec = spec;
    }

    static auto read_priority(core::ini_reader& reader) -> state::priority_class
    {
        auto const text = reader.text("priority", "batch");
        if (text == "urgent")
        {
            return state::priority_class::urgent;
        }
        if (text != "batch")
        {
            reader.problem(
                "priority",
                fmt::format("is \"{}\"; use urgent or batch", text));
        }
        return state::priority_class::batch;
    }

    auto check_size() -> void
    {
        auto const n = encode(document_).size();
        if (n > most_document_bytes)
        {
            problems_.push_back(fmt::format(
                "the document has {} bytes, and the store holds {}; remove "
                "services or jobs, or shorten commands",
                n, most_document_bytes));
        }
    }

    state::config_document document_;
    std::vector<source_section> sections_;
    std::map<std::string, std::string> places_; ///< Of each section title.
    std::vector<std::string> problems_;
};

// Returns a JSON value in at most 60 characters.
auto short_text(nlohmann::json const& value) -> std::string
{
    constexpr auto most_length = std::size_t{60};
    auto text =
        value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    if (value.is_string() && !value.get_ref<std::string const&>().empty())
    {
        text = text.substr(1, text.size() - 2);
    }
    return text.size() <= most_length ? text
                                      : text.substr(0, most_length - 3) + "...";
}

// Returns `KEY OLD -> NEW` for each member that differs.
template <class Entry>
auto member_changes(Entry const& from, Entry const& to) -> std::string
{
    auto const before = write_json(from).flatten();
    auto const after = write_json(to).flatten();
    auto changes = std::vector<std::string>{};
    for (auto const& [pointer, value] : after.items())
    {
        if (before.at(pointer) != value)
        {
            // The last part of the pointer is the key of the INI file.
            changes.push_back(fmt::format(
                "{} {} -> {}", pointer.substr(pointer.rfind('/') + 1),
                short_text(before.at(pointer)), short_text(value)));
        }
    }
    return fmt::format("{}", fmt::join(changes, ", "));
}

template <class Map>
auto compare_entries(
    std::string_view kind, Map const& from, Map const& to,
    std::vector<std::string>& lines) -> void
{
    for (auto const& [id, entry] : from)
    {
        if (!to.contains(id))
        {
            lines.push_back(fmt::format("{} {} removed", kind, id.value));
        }
    }
    for (auto const& [id, entry] : to)
    {
        auto const it = from.find(id);
        if (it == from.end())
        {
            lines.push_back(fmt::format("{} {} added", kind, id.value));
        }
        else if (!(it->second == entry))
        {
            lines.push_back(fmt::format(
                "{} {}: {}", kind, id.value,
                member_changes(it->second, entry)));
        }
    }
}

template <class Set>
auto compare_drained(
    std::string_view kind, Set const& from, Set const& to,
    std::vector<std::string>& lines) -> void
{
    for (auto const& id : from)
    {
        if (!to.contains(id))
        {
            lines.push_back(fmt::format("{} {} undrained", kind, id.value));
        }
    }
    for (auto const& id : to)
    {
        if (!from.contains(id))
        {
            lines.push_back(fmt::format("{} {} drained", kind, id.value));
        }
    }
}

} // namespace

auto read_config(
    std::span<config_source const> sources, state::config_document const& base)
    -> std::optional<state::config_document>
{
    return config_reader{base}.read(sources);
}

auto describe_changes(
    state::config_document const& from, state::config_document const& to)
    -> std::vector<std::string>
{
    auto lines = std::vector<std::string>{};
    compare_entries("team", from.teams, to.teams, lines);
    compare_entries("service", from.services, to.services, lines);
    compare_entries("job", from.jobs, to.jobs, lines);
    compare_drained(
        "data centre", from.drained_data_centres, to.drained_data_centres,
        lines);
    compare_drained("worker", from.drained_workers, to.drained_workers, lines);
    return lines;
}

} // namespace godwitcleat::protocol
