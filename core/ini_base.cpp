/** @file ini_base.cpp INI files with checked keys, on libinih. */
#include "core/ini_base.hpp"

#include "core/error_type.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <ini.h>

#include <algorithm>
#include <charconv>
#include <cstring>
#include <fstream>
#include <iterator>
#include <utility>

namespace godwitcleat::core
{

namespace
{

// State of one parse. libinih reports no line numbers to its handler, so the
// line reader counts them.
struct parse_state
{
    std::string_view rest;
    int line = 0;
    ini_file file;
    std::string problem;
};

auto read_line(char* buf, int size, void* stream) -> char*
{
    auto& state = *static_cast<parse_state*>(stream);
    if (state.rest.empty())
    {
        return nullptr;
    }
    ++state.line;
    auto const end = state.rest.find('\n');
    auto const n = end == std::string_view::npos ? state.rest.size() : end + 1;
    auto const room = static_cast<std::size_t>(size) - 1;
    if (n > room && state.problem.empty())
    {
        state.problem = fmt::format(
            "{}:{}: line has {} characters; split it, {} is the limit",
            state.file.path, state.line, n, room);
    }
    auto const copied = std::min(n, room);
    std::memcpy(buf, state.rest.data(), copied);
    buf[copied] = '\0';
    state.rest.remove_prefix(n);
    return buf;
}

auto handle_entry(
    void* user, char const* section, char const* name, char const* value) -> int
{
    auto& state = *static_cast<parse_state*>(user);
    auto& sections = state.file.sections;
    auto it = std::find_if(
        sections.begin(), sections.end(),
        [section](auto const& each) { return each.name == section; });
    if (it == sections.end())
    {
        sections.push_back({section, state.line, {}});
        it = std::prev(sections.end());
    }
    auto const twice = std::any_of(
        it->entries.begin(), it->entries.end(),
        [name](auto const& each) { return each.key == name; });
    if (twice && state.problem.empty())
    {
        state.problem = fmt::format(
            "{}:{}: key \"{}\" stands twice in [{}]; remove one of them",
            state.file.path, state.line, name, section);
    }
    it->entries.push_back({name, value, state.line});
    return 1;
}

auto trimmed(std::string_view text) -> std::string_view
{
    constexpr std::string_view blanks = " \t";
    auto const first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
    {
        return {};
    }
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

} // namespace

auto parse_ini(std::string_view text, std::string_view path)
    -> std::optional<ini_file>
{
    auto state = parse_state{};
    state.rest = text;
    state.file.path = std::string{path};
    if (text.find('\0') != std::string_view::npos)
    {
        return fail(
            error_kind::invalid_input,
            fmt::format("{}: file holds a NUL byte; save it as text", path));
    }
    auto const bad_line =
        ini_parse_stream(read_line, &state, handle_entry, &state);
    if (!state.problem.empty())
    {
        return fail(error_kind::invalid_input, state.problem);
    }
    if (bad_line != 0)
    {
        return fail(
            error_kind::invalid_input,
            fmt::format(
                "{}:{}: line is neither \"[section]\" nor \"key = value\"; "
                "correct or remove it",
                path, bad_line));
    }
    return std::move(state.file);
}

auto read_file(std::string const& path) -> std::optional<std::string>
{
    auto stream = std::ifstream{path, std::ios::binary};
    if (!stream)
    {
        return fail(
            error_kind::not_found,
            fmt::format(
                "cannot open \"{}\"; check the path and its permissions",
                path));
    }
    return std::string{std::istreambuf_iterator<char>{stream}, {}};
}

auto read_ini(std::string const& path) -> std::optional<ini_file>
{
    auto const text = read_file(path);
    return text ? parse_ini(*text, path) : std::nullopt;
}

ini_reader::ini_reader(std::string path, ini_section const& section)
    : path_(std::move(path))
    , section_(section)
{
}

auto ini_reader::find(std::string_view key) -> ini_entry const*
{
    asked_.emplace(key);
    auto const& entries = section_.entries;
    auto const it = std::find_if(
        entries.begin(), entries.end(),
        [key](auto const& each) { return each.key == key; });
    return it == entries.end() ? nullptr : &*it;
}

auto ini_reader::text(std::string_view key, std::string_view fallback)
    -> std::string
{
    auto const* entry = find(key);
    return entry == nullptr ? std::string{fallback} : entry->value;
}

auto ini_reader::required_text(std::string_view key) -> std::string
{
    auto const* entry = find(key);
    if (entry == nullptr || entry->value.empty())
    {
        problem(key, "is missing; add it");
        return {};
    }
    return entry->value;
}

namespace
{

// Returns the value of @p text if it is a number from @p least to @p most.
template <class Number>
auto parse_number(std::string_view text, Number least, Number most)
    -> std::optional<Number>
{
    auto result = Number{};
    auto const* const end = text.data() + text.size();
    auto const [rest, ec] = std::from_chars(text.data(), end, result);
    auto const good =
        ec == std::errc{} && rest == end && result >= least && result <= most;
    return good ? std::optional{result} : std::nullopt;
}

} // namespace

auto ini_reader::number(
    std::string_view key, std::int64_t fallback, std::int64_t least,
    std::int64_t most, std::string_view unit) -> std::int64_t
{
    auto const* entry = find(key);
    if (entry == nullptr)
    {
        return fallback;
    }
    auto const result = parse_number(entry->value, least, most);
    if (!result)
    {
        problem(
            key, fmt::format(
                     "is \"{}\"; use a whole number from {} to {} ({})",
                     entry->value, least, most, unit));
    }
    return result.value_or(fallback);
}

auto ini_reader::decimal(
    std::string_view key, double fallback, double least, double most,
    std::string_view unit) -> double
{
    auto const* entry = find(key);
    if (entry == nullptr)
    {
        return fallback;
    }
    auto const result = parse_number(entry->value, least, most);
    if (!result)
    {
        problem(
            key, fmt::format(
                     "is \"{}\"; use a number from {} to {} ({})", entry->value,
                     least, most, unit));
    }
    return result.value_or(fallback);
}

auto ini_reader::yes_no(std::string_view key, bool fallback) -> bool
{
    auto const* entry = find(key);
    if (entry == nullptr)
    {
        return fallback;
    }
    if (entry->value != "yes" && entry->value != "no")
    {
        problem(key, fmt::format("is \"{}\"; use yes or no", entry->value));
        return fallback;
    }
    return entry->value == "yes";
}

auto ini_reader::list(std::string_view key) -> std::vector<std::string>
{
    auto result = std::vector<std::string>{};
    auto const* entry = find(key);
    auto rest =
        entry == nullptr ? std::string_view{} : std::string_view{entry->value};
    while (!rest.empty())
    {
        auto const comma = std::min(rest.find(','), rest.size());
        auto const item = trimmed(rest.substr(0, comma));
        if (!item.empty())
        {
            result.emplace_back(item);
        }
        rest.remove_prefix(std::min(comma + 1, rest.size()));
    }
    return result;
}

auto ini_reader::problem(std::string_view key, std::string_view message) -> void
{
    auto const* entry = find(key);
    problems_.push_back(fmt::format(
        "{}:{}: key \"{}\" in [{}] {}", path_,
        entry == nullptr ? section_.line : entry->line, key, section_.name,
        message));
}

auto ini_reader::finish() -> std::vector<std::string>
{
    auto const known = std::vector<std::string>{asked_.begin(), asked_.end()};
    for (auto const& it : section_.entries)
    {
        if (!asked_.contains(it.key))
        {
            problem(
                it.key, fmt::format(
                            "is unknown; remove it or use one of: {}",
                            fmt::join(known, ", ")));
        }
    }
    return problems_;
}

} // namespace godwitcleat::core
