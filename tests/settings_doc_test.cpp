/** @file settings_doc_test.cpp docs/configuration.md against the readers. */
#include "coordination/coordination.hpp"
#include "protocol/protocol.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <fstream>
#include <functional>
#include <map>
#include <optional>
#include <regex>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace core = godwitcleat::core;
namespace protocol = godwitcleat::protocol;
namespace coordination = godwitcleat::coordination;

namespace
{

/** One key as the page lists it. */
struct documented_key
{
    std::string range;
    std::string fallback; ///< The column `default`.
    std::string example;
};

using documented_section = std::map<std::string, documented_key>;
using documented_file = std::map<std::string, documented_section>;
using chosen_values = std::function<std::optional<std::string>(
    documented_section const&, documented_key const&)>;

constexpr std::string_view extra_team =
    "[team stock]\ncpu_milli = 1\nmemory_mb = 1\n";

// Returns the cells of a table row without blanks and code marks.
auto cells_of(std::string const& line) -> std::vector<std::string>
{
    auto result = std::vector<std::string>{};
    auto const cell = std::regex{R"(\|\s*([^|]*?)\s*(?=\|))"};
    auto const end = std::sregex_iterator{};
    for (auto it = std::sregex_iterator{line.begin(), line.end(), cell};
         it != end; ++it)
    {
        result.push_back(
            std::regex_replace((*it)[1].str(), std::regex{"`"}, ""));
    }
    return result;
}

// Reads the tables of one chapter of the page.
auto read_page(std::string_view chapter) -> documented_file
{
    auto file = std::ifstream{GODWITCLEAT_DOCS "/configuration.md"};
    auto const heading = std::regex{R"(### `\[([a-z]+)[^`]*\]`.*)"};
    auto result = documented_file{};
    auto section = std::string{};
    auto inside = false;
    for (auto line = std::string{}; std::getline(file, line);)
    {
        auto match = std::smatch{};
        if (line.starts_with("## "))
        {
            inside = line.starts_with(chapter);
        }
        else if (std::regex_match(line, match, heading))
        {
            section = match[1];
        }
        else if (inside && line.starts_with("| `"))
        {
            auto cells = cells_of(line);
            if (cells.at(0).starts_with('['))
            {
                section = cells[0].substr(1, cells[0].size() - 2);
                cells.erase(cells.begin());
            }
            result[section][cells.at(0)] = {
                cells.at(2), cells.at(3), cells.at(5)};
        }
    }
    return result;
}

auto write_file(documented_file const& page, chosen_values const& choose)
    -> std::string
{
    auto result = std::string{};
    for (auto const& [section, keys] : page)
    {
        auto const* name = section == "team" ? " climb" : " one";
        auto const named =
            section == "team" || section == "service" || section == "job";
        result += fmt::format("[{}{}]\n", section, named ? name : "");
        for (auto const& [key, it] : keys)
        {
            if (auto const value = choose(keys, it))
            {
                result += fmt::format("{} = {}\n", key, *value);
            }
        }
    }
    return result;
}

auto example_of(documented_section const& /*keys*/, documented_key const& it)
    -> std::optional<std::string>
{
    return it.example;
}

auto required_only(documented_section const& /*keys*/, documented_key const& it)
    -> std::optional<std::string>
{
    return it.fallback == "required" ? std::optional{it.example} : std::nullopt;
}

// A default that names another key stands for that key's value.
auto required_and_defaults(
    documented_section const& keys, documented_key const& it)
    -> std::optional<std::string>
{
    if (it.fallback == "required")
    {
        return it.example;
    }
    if (it.fallback == "none" || it.fallback == "empty")
    {
        return std::nullopt;
    }
    auto const value = it.fallback.substr(0, it.fallback.find(' '));
    auto const other = keys.find(value);
    return other == keys.end() ? value : other->second.example;
}

// Returns the keys that the reader's messages name for an unknown key.
auto keys_in_message(std::string const& message, std::string const& section)
    -> std::set<std::string>
{
    auto result = std::set<std::string>{};
    auto match = std::smatch{};
    auto const list =
        std::regex{fmt::format(R"("zz" in \[{}.*one of: (.*))", section)};
    if (std::regex_search(message, match, list))
    {
        auto const names = match[1].str();
        auto const name = std::regex{"[a-z_]+"};
        auto const end = std::sregex_iterator{};
        for (auto it = std::sregex_iterator{names.begin(), names.end(), name};
             it != end; ++it)
        {
            result.insert(it->str());
        }
    }
    return result;
}

// Compares one chapter with its reader; Parse returns an optional.
template <class Parse>
auto compare(documented_file const& page, Parse parse) -> void
{
    EXPECT_TRUE(parse(write_file(page, example_of)))
        << core::last_reason().message;
    auto const least = parse(write_file(page, required_only));
    auto const full = parse(write_file(page, required_and_defaults));
    ASSERT_TRUE(least && full) << core::last_reason().message;
    EXPECT_TRUE(*least == *full);
    for (auto const& [section, keys] : page)
    {
        auto names = std::set<std::string>{};
        for (auto const& [key, it] : keys)
        {
            names.insert(key);
            auto match = std::smatch{};
            auto const numbers = std::regex{R"((\d+) to (\d+)(\^12)?)"};
            if (!std::regex_match(it.range, match, numbers))
            {
                continue;
            }
            auto wrong = page;
            wrong[section][key].example = "x";
            EXPECT_FALSE(parse(write_file(wrong, example_of)));
            auto const expected = fmt::format(
                "from {} to {} ", match[1].str(),
                match[3].matched ? "1000000000000" : match[2].str());
            EXPECT_NE(
                core::last_reason().message.find(expected), std::string::npos)
                << key << ": " << core::last_reason().message;
        }
        auto unknown = page;
        unknown[section]["zz"] = {"", "", "1"};
        EXPECT_FALSE(parse(write_file(unknown, example_of)));
        EXPECT_EQ(keys_in_message(core::last_reason().message, section), names);
    }
}

} // namespace

// Guards against a page that lacks a key of the daemon's settings, or names a
// key, default or range that the daemon does not have.
TEST(configuration_page, matches_the_daemon_settings)
{
    auto const page = read_page("## 2.");
    ASSERT_EQ(page.size(), 9U);
    compare(
        page, [](std::string const& text)
        { return coordination::parse_daemon_settings(text, "d.ini"); });
}

// Guards against the same faults in the tables of the operators' files.
TEST(configuration_page, matches_the_operators_files)
{
    auto const page = read_page("## 1.");
    ASSERT_EQ(page.size(), 3U);
    compare(
        page,
        [](std::string const& text)
        {
            return protocol::read_config(
                std::vector<protocol::config_source>{
                    {"a.ini", std::string{extra_team} + text}},
                {});
        });
}
