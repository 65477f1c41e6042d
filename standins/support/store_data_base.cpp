/** @file store_data_base.cpp The store stand-in's data file. */
#include "standins/support/store_data_base.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <filesystem>
#include <string_view>
#include <system_error>
#include <utility>

namespace godwitcleat::standins
{

namespace
{

using coordination::base64_decode;
using coordination::base64_encode;
using nlohmann::json;

constexpr std::size_t hash_digits = 16;

auto hash_text(std::string_view record) -> std::string
{
    return fmt::format("{:016x}", core::stable_hash(record));
}

// Keys are binary, so they are encoded as well.
auto to_json(coordination::store_write const& value) -> json
{
    auto result = json{
        {"key", base64_encode(value.key)},
        {"range_end", base64_encode(value.range_end)},
        {"lease", value.lease.value}};
    if (value.value)
    {
        result["value"] = base64_encode(*value.value);
    }
    return result;
}

auto to_line(store_change const& change) -> std::string
{
    auto record = json{
        {"revision", change.revision},
        {"granted", change.granted.value},
        {"time_to_live_ns", change.time_to_live.count()},
        {"ended", change.ended.value},
        {"writes", json::array()}};
    for (auto const& it : change.writes)
    {
        record["writes"].push_back(to_json(it));
    }
    auto const text = record.dump();
    return hash_text(text) + ' ' + text + '\n';
}

auto decode_write(json const& value) -> std::optional<coordination::store_write>
{
    auto const key = base64_decode(value.at("key").get<std::string>());
    auto const end = base64_decode(value.at("range_end").get<std::string>());
    if (!key || !end)
    {
        return std::nullopt;
    }
    auto result = coordination::store_write{*key, std::nullopt, *end, {}};
    value.at("lease").get_to(result.lease.value);
    if (value.contains("value"))
    {
        result.value = base64_decode(value.at("value").get<std::string>());
        if (!result.value)
        {
            return std::nullopt;
        }
    }
    return result;
}

// Returns std::nullopt if the line is damaged.
auto decode(std::string_view line) -> std::optional<store_change>
{
    if (line.size() <= hash_digits + 1 ||
        hash_text(line.substr(hash_digits + 1)) != line.substr(0, hash_digits))
    {
        return std::nullopt;
    }
    try
    {
        auto const record = json::parse(line.substr(hash_digits + 1));
        auto result = store_change{};
        record.at("revision").get_to(result.revision);
        record.at("granted").get_to(result.granted.value);
        result.time_to_live = core::duration{
            record.at("time_to_live_ns").get<core::duration::rep>()};
        record.at("ended").get_to(result.ended.value);
        for (auto const& it : record.at("writes"))
        {
            auto write = decode_write(it);
            if (!write)
            {
                return std::nullopt;
            }
            result.writes.push_back(std::move(*write));
        }
        return result;
    }
    catch (json::exception const&)
    {
        return std::nullopt;
    }
}

// Returns the bytes of the complete lines, or std::nullopt with a reason.
auto replay_file(
    std::string const& path,
    std::function<void(store_change const&)> const& replay)
    -> std::optional<std::uintmax_t>
{
    auto file = std::ifstream{path, std::ios::binary};
    auto line = std::string{};
    auto complete = std::uintmax_t{0};
    for (auto number = 1; std::getline(file, line) && !file.eof(); ++number)
    {
        auto const change = decode(line);
        if (!change)
        {
            return core::fail(
                core::error_kind::invalid_input,
                fmt::format(
                    "{}:{}: the record is damaged, although the store "
                    "acknowledged it; restore the file from a copy, or "
                    "remove it to start with an empty store",
                    path, number));
        }
        replay(*change);
        complete += line.size() + 1;
    }
    if (file.bad())
    {
        return core::fail(
            core::error_kind::unavailable,
            fmt::format("{}: the file cannot be read; check it", path));
    }
    return complete;
}

} // namespace

store_data::store_data(std::string const& path)
    : file_(path, std::ios::binary | std::ios::app)
{
}

auto store_data::open(
    std::string const& path,
    std::function<void(store_change const&)> const& replay,
    core::logger const& log) -> std::optional<store_data>
{
    auto ec = std::error_code{};
    if (std::filesystem::exists(path, ec))
    {
        auto const complete = replay_file(path, replay);
        if (!complete)
        {
            return std::nullopt;
        }
        auto const size = std::filesystem::file_size(path, ec);
        if (!ec && size > *complete)
        {
            log.warn(
                "The data file's last record is incomplete and was never "
                "acknowledged; it is cut off.",
                {{"path", path},
                 {"offset", *complete},
                 {"bytes", size - *complete}});
            std::filesystem::resize_file(path, *complete, ec);
        }
    }
    auto result = store_data{path};
    if (ec || !result.file_.good())
    {
        return core::fail(
            core::error_kind::unavailable,
            fmt::format("{}: the file cannot be written; check it", path));
    }
    return result;
}

auto store_data::append(store_change const& change) -> bool
{
    file_ << to_line(change) << std::flush;
    return file_.good();
}

} // namespace godwitcleat::standins
