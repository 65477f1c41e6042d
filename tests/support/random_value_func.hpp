/** @file random_value_func.hpp Random values of the protocol's types. */
#ifndef GODWITCLEAT_TESTS_SUPPORT_RANDOM_VALUE_FUNC_HPP
#define GODWITCLEAT_TESTS_SUPPORT_RANDOM_VALUE_FUNC_HPP

#include "protocol/members_internal.hpp"
#include "protocol/protocol.hpp"

#include <rapidcheck.h>

#include <concepts>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace godwitcleat::tests
{

/** Which strings random values hold. */
enum class strings
{
    any_bytes, ///< As msgpack carries them.
    printable  ///< As JSON carries them without loss.
};

inline auto random_string(strings kind) -> std::string
{
    if (kind == strings::any_bytes)
    {
        return *rc::gen::arbitrary<std::string>();
    }
    auto const n = *rc::gen::inRange(1, 12);
    return *rc::gen::container<std::string>(
        n, rc::gen::inRange<char>(' ', '\x7f'));
}

/** Sets @p value and all its members to random values. */
template <class Type>
auto fill(Type& value, strings kind) -> void
{
    if constexpr (protocol::described<Type>)
    {
        protocol::visit_members(
            value, [kind](char const*, auto& member) { fill(member, kind); });
    }
    else if constexpr (std::is_enum_v<Type>)
    {
        value =
            static_cast<Type>(*rc::gen::inRange(0, protocol::enum_size<Type>));
    }
    else if constexpr (std::is_same_v<Type, std::string>)
    {
        value = random_string(kind);
    }
    else if constexpr (
        protocol::is_instance<Type, core::string_id> ||
        protocol::is_instance<Type, core::number_id>)
    {
        fill(value.value, kind);
    }
    else if constexpr (protocol::is_instance<Type, std::optional>)
    {
        value.reset();
        if (*rc::gen::arbitrary<bool>())
        {
            fill(value.emplace(), kind);
        }
    }
    else if constexpr (
        protocol::is_instance<Type, std::vector> ||
        protocol::is_instance<Type, std::set> ||
        protocol::is_instance<Type, std::map>)
    {
        value.clear();
        for (auto n = *rc::gen::inRange(0, 4); n > 0; --n)
        {
            if constexpr (protocol::is_instance<Type, std::vector>)
            {
                fill(value.emplace_back(), kind);
            }
            else
            {
                auto key = typename Type::key_type{};
                fill(key, kind);
                if constexpr (protocol::is_instance<Type, std::set>)
                {
                    value.insert(std::move(key));
                }
                else
                {
                    fill(value[std::move(key)], kind);
                }
            }
        }
    }
    else
    {
        value = *rc::gen::arbitrary<Type>();
    }
}

template <class... Types>
auto fill(std::variant<Types...>& value, strings kind) -> void
{
    auto const index = *rc::gen::inRange<std::size_t>(0, sizeof...(Types));
    auto n = std::size_t{0};
    auto const fill_if = [&]<class Type>(std::type_identity<Type>)
    {
        if (n++ == index)
        {
            fill(value.template emplace<Type>(), kind);
        }
    };
    (fill_if(std::type_identity<Types>{}), ...);
}

template <class Type>
auto random_value(strings kind) -> Type
{
    auto value = Type{};
    fill(value, kind);
    return value;
}

/** True if values can be compared; variants and vectors claim it always. */
template <class Type>
inline constexpr bool has_equality = std::equality_comparable<Type>;
template <class... Types>
inline constexpr bool has_equality<std::variant<Types...>> = false;
template <class Type>
inline constexpr bool has_equality<std::vector<Type>> = has_equality<Type>;

} // namespace godwitcleat::tests

#endif
