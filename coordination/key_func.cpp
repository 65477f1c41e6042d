/** @file key_func.cpp Names of the keys in the store. */
#include "coordination/key_func.hpp"

#include <fmt/format.h>

#include <charconv>

namespace godwitcleat::coordination
{

auto snapshot_key(core::shard_id shard) -> std::string
{
    return fmt::format("shard/{:02}/snapshot", shard.value);
}

auto log_prefix(core::shard_id shard) -> std::string
{
    return fmt::format("shard/{:02}/log/", shard.value);
}

auto log_key(core::shard_id shard, core::log_index index) -> std::string
{
    return fmt::format("{}{:020}", log_prefix(shard), index.value);
}

auto ownership_prefix() -> std::string
{
    return "ownership/";
}

auto epoch_key(core::shard_id shard) -> std::string
{
    return fmt::format("ownership/{:02}/epoch", shard.value);
}

auto owner_key(core::shard_id shard) -> std::string
{
    return fmt::format("ownership/{:02}/owner", shard.value);
}

auto config_head_key() -> std::string
{
    return "config/head";
}

auto config_change_prefix() -> std::string
{
    return "config/change/";
}

auto config_change_key(core::generation number) -> std::string
{
    return fmt::format("config/change/{:020}", number.value);
}

auto trailing_number(std::string_view text) -> std::optional<std::uint64_t>
{
    auto const last = text.find_last_not_of("0123456789");
    auto const digits =
        last == std::string_view::npos ? text : text.substr(last + 1);
    auto value = std::uint64_t{0};
    auto const* const end = digits.data() + digits.size();
    auto const [stop, ec] = std::from_chars(digits.data(), end, value);
    if (ec != std::errc{} || stop != end)
    {
        return std::nullopt;
    }
    return value;
}

} // namespace godwitcleat::coordination
