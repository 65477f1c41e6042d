/** @file describe_internal.hpp What the member lists of all types share. */
#ifndef GODWITCLEAT_PROTOCOL_DESCRIBE_INTERNAL_HPP
#define GODWITCLEAT_PROTOCOL_DESCRIBE_INTERNAL_HPP

#include "core/core.hpp"

#include <concepts>
#include <type_traits>

namespace godwitcleat::protocol
{

/** True for @p Type and `Type const`, so that one function serves both. */
template <class Value, class Type>
concept is = std::same_as<std::remove_const_t<Value>, Type>;

/** Number of values of an enum; its values are 0 to this minus 1. */
template <class Enum>
inline constexpr int enum_size = 0;
template <>
inline constexpr int
    enum_size<core::error_kind> = static_cast<int>(core::error_kind::internal) +
                                  1;

// Each visit_members() calls visit(name, member) for each member in order. The
// order is the msgpack format: new members go to the end.

auto visit_members(is<core::resources> auto& value, auto&& visit) -> void
{
    visit("cpu_milli", value.cpu_milli);
    visit("memory_mb", value.memory_mb);
    visit("accelerators", value.accelerators);
}

} // namespace godwitcleat::protocol

#endif
