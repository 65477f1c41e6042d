/** @file instances_base.cpp The platform's lagging list of instances. */
#include "standins/support/instances_base.hpp"

#include "transport/transport.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace godwitcleat::standins
{

namespace
{

constexpr std::size_t longest_id = 64;

constexpr std::array all_kinds{instance_kind::entry, instance_kind::worker};

constexpr std::array all_states{
    instance_state::live, instance_state::leaving, instance_state::gone};

constexpr std::array<std::string_view, 5> all_keys{
    "id", "kind", "address", "data_centre", "state"};

auto invalid(std::string_view key, std::string_view remedy) -> std::nullopt_t
{
    return core::fail(
        core::error_kind::invalid_input,
        fmt::format("key \"{}\" is not valid; {}", key, remedy));
}

auto is_id(std::string_view text) -> bool
{
    return !text.empty() && text.size() <= longest_id &&
           std::all_of(
               text.begin(), text.end(),
               [](char it)
               {
                   return (it >= '0' && it <= '9') ||
                          (it >= 'a' && it <= 'z') ||
                          (it >= 'A' && it <= 'Z') || it == '-' || it == '_' ||
                          it == '.';
               });
}

auto text_of(nlohmann::json const& from, char const* key) -> std::string
{
    auto const it = from.find(key);
    return it != from.end() && it->is_string() ? it->get<std::string>()
                                               : std::string{};
}

template <class Values>
auto named(Values const& values, std::string_view text)
    -> std::optional<typename Values::value_type>
{
    auto const it = std::find_if(
        values.begin(), values.end(),
        [text](auto const value) { return to_string(value) == text; });
    return it == values.end() ? std::nullopt : std::optional{*it};
}

auto check_keys(nlohmann::json const& value) -> bool
{
    for (auto const& [key, content] : value.items())
    {
        if (std::find(all_keys.begin(), all_keys.end(), key) == all_keys.end())
        {
            invalid(key, "it is unknown; remove it");
            return false;
        }
    }
    return true;
}

} // namespace

auto to_string(instance_kind value) -> std::string_view
{
    return value == instance_kind::entry ? "entry" : "worker";
}

auto to_string(instance_state value) -> std::string_view
{
    switch (value)
    {
    case instance_state::live: return "live";
    case instance_state::leaving: return "leaving";
    case instance_state::gone: return "gone";
    }
    return "gone";
}

auto instance_entry_from_json(std::string_view text)
    -> std::optional<instance_entry>
{
    constexpr std::string_view id_remedy =
        "use 1 to 64 letters, digits, '-', '_' or '.'";
    auto const value = nlohmann::json::parse(text, nullptr, false);
    if (!value.is_object())
    {
        return core::fail(
            core::error_kind::invalid_input,
            "the entry is no JSON object; send {\"id\": ...}");
    }
    if (!check_keys(value))
    {
        return std::nullopt;
    }
    auto entry = instance_entry{};
    entry.id = core::instance_id{text_of(value, "id")};
    if (!is_id(entry.id.value))
    {
        return invalid("id", id_remedy);
    }
    auto const state = named(all_states, text_of(value, "state"));
    if (!state)
    {
        return invalid("state", "use live, leaving or gone");
    }
    entry.state = *state;
    if (entry.state == instance_state::gone)
    {
        return entry;
    }
    auto const kind = named(all_kinds, text_of(value, "kind"));
    if (!kind)
    {
        return invalid("kind", "use entry or worker");
    }
    entry.kind = *kind;
    entry.address = text_of(value, "address");
    if (!transport::parse_endpoint(entry.address))
    {
        return invalid("address", "use ADDRESS:PORT");
    }
    entry.data_centre = core::data_centre_id{text_of(value, "data_centre")};
    if (!is_id(entry.data_centre.value))
    {
        return invalid("data_centre", id_remedy);
    }
    return entry;
}

instance_list::instance_list(core::duration lag)
    : lag_(lag)
{
}

auto instance_list::change(instance_entry entry, core::time_point now) -> void
{
    settle(now);
    pending_.emplace_back(now + lag_, std::move(entry));
}

auto instance_list::settle(core::time_point now) -> void
{
    while (!pending_.empty() && pending_.front().first <= now)
    {
        auto entry = std::move(pending_.front().second);
        pending_.pop_front();
        if (entry.state == instance_state::gone)
        {
            visible_.erase(entry.id);
            continue;
        }
        auto const id = entry.id;
        visible_.insert_or_assign(id, std::move(entry));
    }
}

auto instance_list::to_json(core::time_point now) -> std::string
{
    settle(now);
    auto entries = nlohmann::json::array();
    for (auto const& [id, it] : visible_)
    {
        entries.push_back(
            {{"id", id.value},
             {"kind", std::string{to_string(it.kind)}},
             {"address", it.address},
             {"data_centre", it.data_centre.value},
             {"state", std::string{to_string(it.state)}}});
    }
    return nlohmann::json{{"instances", std::move(entries)}}.dump();
}

} // namespace godwitcleat::standins
