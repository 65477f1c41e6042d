/** @file ini_base.hpp INI files with checked keys, units and ranges. */
#ifndef GODWITCLEAT_CORE_INI_BASE_HPP
#define GODWITCLEAT_CORE_INI_BASE_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace godwitcleat::core
{

/** One `key = value` line. */
struct ini_entry
{
    std::string key;
    std::string value;
    int line = 0; ///< Line in the file, from 1.
};

/** One `[name]` block. */
struct ini_section
{
    std::string name;
    int line = 0; ///< Line of the first entry, from 1.
    std::vector<ini_entry> entries;
};

/** A parsed INI file. */
struct ini_file
{
    std::string path;
    std::vector<ini_section> sections; ///< In file order.
};

/**
 * Parses INI text.
 * @param path name used in error messages.
 * @return the file, or std::nullopt with invalid_input that names file and
 *         line of the first error.
 */
auto parse_ini(std::string_view text, std::string_view path)
    -> std::optional<ini_file>;

/** Returns the content of a file, or std::nullopt with not_found. */
auto read_file(std::string const& path) -> std::optional<std::string>;

/** Reads and parses the file @p path; also fails with not_found. */
auto read_ini(std::string const& path) -> std::optional<ini_file>;

/**
 * Reads the keys of one section. Each problem is collected as a message with
 * file, line, key and remedy; `finish` adds one for each key never asked for.
 */
class ini_reader
{
public:
    ini_reader(std::string path, ini_section const& section);

    /** Returns the text of @p key, or @p fallback if it is absent. */
    auto text(std::string_view key, std::string_view fallback) -> std::string;

    /** Returns the text of @p key; its absence is a problem. */
    auto required_text(std::string_view key) -> std::string;

    /** Returns a whole number; @p unit is named in the message. */
    auto number(
        std::string_view key, std::int64_t fallback, std::int64_t least,
        std::int64_t most, std::string_view unit) -> std::int64_t;

    /** Returns a number that may have decimals, as `0.25`. */
    auto decimal(
        std::string_view key, double fallback, double least, double most,
        std::string_view unit) -> double;

    /** Returns yes/no as a bool. */
    auto yes_no(std::string_view key, bool fallback) -> bool;

    /** Returns a comma-separated list without blanks. */
    auto list(std::string_view key) -> std::vector<std::string>;

    /** Adds a problem about @p key. */
    auto problem(std::string_view key, std::string_view message) -> void;

    /** Adds problems for unknown keys and returns all. */
    auto finish() -> std::vector<std::string>;

private:
    auto find(std::string_view key) -> ini_entry const*;

    std::string path_;
    ini_section const& section_;
    std::set<std::string, std::less<>> asked_;
    std::vector<std::string> problems_;
};

} // namespace godwitcleat::core

#endif
