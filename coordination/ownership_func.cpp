/** @file ownership_func.cpp Values of the owner and epoch keys. */
#include "coordination/key_func.hpp"
#include "coordination/ownership_internal.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace godwitcleat::coordination
{

auto text_of_line(std::string_view text, std::size_t line) -> std::string_view
{
    for (std::size_t i = 0; i < line; ++i)
    {
        auto const end = text.find('\n');
        text = end == std::string_view::npos ? "" : text.substr(end + 1);
    }
    return text.substr(0, text.find('\n'));
}

auto instance_of(store_entry const& owner) -> core::instance_id
{
    return core::instance_id{std::string{text_of_line(owner.value, 0)}};
}

auto epoch_value(
    core::epoch owner_epoch, std::vector<shard_holder> const& holders)
    -> std::string
{
    auto result = std::to_string(owner_epoch.value);
    for (auto const& it : holders)
    {
        result += "\n" + it.instance.value + " " + it.boot_id;
    }
    return result;
}

namespace
{

auto parse_holders(std::string_view value) -> std::vector<shard_holder>
{
    auto result = std::vector<shard_holder>{};
    for (std::size_t i = 1; i <= most_holders; ++i)
    {
        auto const line = text_of_line(value, i);
        auto const blank = line.find(' ');
        if (blank == std::string_view::npos)
        {
            break;
        }
        result.push_back(
            {core::instance_id{std::string{line.substr(0, blank)}},
             std::string{line.substr(blank + 1)}});
    }
    return result;
}

} // namespace

// A later process of an instance replaces an earlier one, which must have died
// to free its addresses.
auto succeeded_by(shard_holder next, std::vector<shard_holder> holders)
    -> std::vector<shard_holder>
{
    std::erase_if(
        holders,
        [&next](auto const& it) { return it.instance == next.instance; });
    holders.insert(holders.begin(), std::move(next));
    holders.resize(std::min(holders.size(), most_holders));
    return holders;
}

auto former_of(std::vector<shard_holder> holders) -> std::vector<shard_holder>
{
    if (!holders.empty())
    {
        holders.erase(holders.begin());
    }
    return holders;
}

auto add_entry(polled_shards& shards, store_entry entry) -> void
{
    auto const path =
        std::string_view{entry.key}.substr(ownership_prefix().size());
    auto const slash = path.find('/');
    auto const number = trailing_number(path.substr(0, slash));
    if (slash == std::string_view::npos || !number)
    {
        return;
    }
    auto& it = shards[core::shard_id{*number}];
    if (path.substr(slash) == "/epoch")
    {
        it.owner_epoch = core::epoch{
            trailing_number(text_of_line(entry.value, 0)).value_or(0)};
        it.holders = parse_holders(entry.value);
        it.epoch_revision = entry.modify_revision;
    }
    else
    {
        it.owner = std::move(entry);
    }
}

auto to_string(ownership_state value) -> std::string_view
{
    switch (value)
    {
    case ownership_state::owned: return "owned";
    case ownership_state::unconfirmed: return "unconfirmed";
    case ownership_state::lost: return "lost";
    }
    return "lost";
}

} // namespace godwitcleat::coordination
