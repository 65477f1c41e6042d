/** @file json_internal.hpp Writes and reads JSON values by their members. */
#ifndef GODWITCLEAT_PROTOCOL_JSON_INTERNAL_HPP
#define GODWITCLEAT_PROTOCOL_JSON_INTERNAL_HPP

#include "protocol/members_internal.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace godwitcleat::protocol
{

/** Returns the names of all values of @p Enum, in order. */
template <class Enum>
auto enum_names() -> std::vector<std::string_view>
{
    auto names = std::vector<std::string_view>{};
    for (auto i = 0; i < enum_size<Enum>; ++i)
    {
        names.push_back(to_string(static_cast<Enum>(i)));
    }
    return names;
}

/** Returns @p value as JSON: structs and maps as objects, sets as arrays. */
template <class Type>
auto write_json(Type const& value) -> nlohmann::json
{
    if constexpr (described<Type const>)
    {
        auto result = nlohmann::json::object();
        visit_members(
            value, [&result](char const* name, auto const& member)
            { result[name] = write_json(member); });
        return result;
    }
    else if constexpr (std::is_enum_v<Type>)
    {
        return std::string{to_string(value)};
    }
    else if constexpr (
        is_instance<Type, core::string_id> ||
        is_instance<Type, core::number_id>)
    {
        return value.value;
    }
    else if constexpr (is_instance<Type, std::optional>)
    {
        return value ? write_json(*value) : nlohmann::json(nullptr);
    }
    else if constexpr (is_instance<Type, std::map>)
    {
        auto result = nlohmann::json::object();
        for (auto const& [id, element] : value)
        {
            result[id.value] = write_json(element);
        }
        return result;
    }
    else if constexpr (
        is_instance<Type, std::vector> || is_instance<Type, std::set>)
    {
        auto result = nlohmann::json::array();
        for (auto const& it : value)
        {
            result.push_back(write_json(it));
        }
        return result;
    }
    else
    {
        return value;
    }
}

/** What to do with keys that no member has. */
enum class unknown_keys
{
    refused, ///< Operator input: a misspelt key must not be lost.
    ignored  ///< Heartbeats: the other side may be of a newer release.
};

/** Reads values; the first problem ends the reading. */
class json_reader
{
public:
    explicit json_reader(unknown_keys policy)
        : policy_(policy)
    {
    }

    /** Returns the first problem, with its key; empty if there is none. */
    [[nodiscard]] auto problem() const -> std::string const&
    {
        return problem_;
    }

    /** Reads @p value; @p path names it in problems, empty for the root. */
    template <class Type>
    auto read(nlohmann::json const& from, std::string const& path, Type& value)
        -> void
    {
        if (!problem_.empty())
        {
            return;
        }
        if constexpr (described<Type>)
        {
            read_members(from, path, value);
        }
        else if constexpr (std::is_enum_v<Type>)
        {
            read_enum(from, path, value);
        }
        else if constexpr (
            is_instance<Type, core::string_id> ||
            is_instance<Type, core::number_id>)
        {
            read(from, path, value.value);
        }
        else if constexpr (is_instance<Type, std::optional>)
        {
            value.reset();
            if (!from.is_null())
            {
                read(from, path, value.emplace());
            }
        }
        else if constexpr (is_instance<Type, std::map>)
        {
            read_map(from, path, value);
        }
        else if constexpr (
            is_instance<Type, std::vector> || is_instance<Type, std::set>)
        {
            read_list(from, path, value);
        }
        else if constexpr (std::is_same_v<Type, std::string>)
        {
            expect(from.is_string(), path, "is not a string; put it in quotes")
                ? static_cast<void>(value = from.get<std::string>())
                : void();
        }
        else if constexpr (std::is_same_v<Type, bool>)
        {
            expect(
                from.is_boolean(), path,
                "is not a truth value; use true or false")
                ? static_cast<void>(value = from.get<bool>())
                : void();
        }
        else
        {
            read_number(from, path, value);
        }
    }

private:
    auto expect(bool holds, std::string const& path, std::string_view message)
        -> bool
    {
        if (!holds && problem_.empty())
        {
            problem_ = path.empty()
                           ? fmt::format("the JSON text {}", message)
                           : fmt::format("key \"{}\" {}", path, message);
        }
        return holds;
    }

    static auto join(std::string const& path, std::string_view key)
        -> std::string
    {
        return path.empty() ? std::string{key}
                            : fmt::format("{}.{}", path, key);
    }

    template <class Number>
    auto read_number(
        nlohmann::json const& from, std::string const& path, Number& value)
        -> void
    {
        if constexpr (std::is_floating_point_v<Number>)
        {
            if (expect(from.is_number(), path, "is not a number; correct it"))
            {
                value = from.get<Number>();
            }
        }
        else if (in_range<Number>(from))
        {
            value = from.get<Number>();
        }
        else
        {
            using limits = std::numeric_limits<Number>;
            expect(
                false, path,
                fmt::format(
                    "is {}; use a whole number from {} to {}", shown(from),
                    limits::min(), limits::max()));
        }
    }

    template <class Number>
    static auto in_range(nlohmann::json const& from) -> bool
    {
        if (from.is_number_unsigned())
        {
            return std::in_range<Number>(from.get<std::uint64_t>());
        }
        return from.is_number_integer() &&
               std::in_range<Number>(from.get<std::int64_t>());
    }

    // Quotes scalars only: the input may be large.
    static auto shown(nlohmann::json const& from) -> std::string
    {
        return from.is_number() ? from.dump() : std::string{from.type_name()};
    }

    template <class Enum>
    auto
    read_enum(nlohmann::json const& from, std::string const& path, Enum& value)
        -> void
    {
        auto const names = enum_names<Enum>();
        for (auto i = std::size_t{0}; i < names.size(); ++i)
        {
            if (from.is_string() &&
                from.get_ref<std::string const&>() == names[i])
            {
                value = static_cast<Enum>(i);
                return;
            }
        }
        expect(
            false, path,
            fmt::format("is unknown; use one of: {}", fmt::join(names, ", ")));
    }

    template <described Type>
    auto read_members(
        nlohmann::json const& from, std::string const& path, Type& value)
        -> void
    {
        if (!expect(from.is_object(), path, "is not an object; use {...}"))
        {
            return;
        }
        auto known = std::vector<std::string_view>{};
        visit_members(
            value,
            [&](char const* name, auto& member)
            {
                known.emplace_back(name);
                if (auto const it = from.find(name); it != from.end())
                {
                    read(*it, join(path, name), member);
                }
            });
        if (policy_ == unknown_keys::refused)
        {
            refuse_unknown(from, path, known);
        }
    }

    auto refuse_unknown(
        nlohmann::json const& from, std::string const& path,
        std::vector<std::string_view> const& known) -> void
    {
        for (auto const& [key, element] : from.items())
        {
            expect(
                std::find(known.begin(), known.end(), key) != known.end(),
                join(path, key),
                fmt::format(
                    "is unknown; remove it or use one of: {}",
                    fmt::join(known, ", ")));
        }
    }

    template <class Map>
    auto
    read_map(nlohmann::json const& from, std::string const& path, Map& value)
        -> void
    {
        value.clear();
        if (!expect(from.is_object(), path, "is not an object; use {...}"))
        {
            return;
        }
        for (auto const& [key, element] : from.items())
        {
            auto const id = typename Map::key_type{key};
            read(element, join(path, key), value[id]);
        }
    }

    template <class List>
    auto
    read_list(nlohmann::json const& from, std::string const& path, List& value)
        -> void
    {
        value.clear();
        if (!expect(from.is_array(), path, "is not a list; use [...]"))
        {
            return;
        }
        for (auto const& it : from)
        {
            auto element = typename List::value_type{};
            read(it, fmt::format("{}[]", path), element);
            value.insert(value.end(), std::move(element));
        }
    }

    unknown_keys policy_;
    std::string problem_;
};

} // namespace godwitcleat::protocol

#endif
