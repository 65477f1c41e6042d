/** @file choice_func.hpp Options whose value is one of several names. */
#ifndef GODWITCLEAT_EXPERIMENTS_SUPPORT_CHOICE_FUNC_HPP
#define GODWITCLEAT_EXPERIMENTS_SUPPORT_CHOICE_FUNC_HPP

#include "core/core.hpp"

#include <fmt/format.h>

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace godwitcleat::experiments
{

template <class Value>
using choices = std::vector<std::pair<std::string_view, Value>>;

/**
 * Returns the value that @p text names; std::nullopt with invalid_input if it
 * names none.
 * @param option the option, for the message.
 */
template <class Value>
auto parse_choice(
    std::string_view option, std::string_view text, choices<Value> const& known)
    -> std::optional<Value>
{
    auto names = std::string{};
    for (auto const& [name, value] : known)
    {
        if (name == text)
        {
            return value;
        }
        names += fmt::format("{}{}", names.empty() ? "" : ", ", name);
    }
    return core::fail(
        core::error_kind::invalid_input,
        fmt::format("\"{}\" is no {}; use one of {}", text, option, names));
}

} // namespace godwitcleat::experiments

#endif
