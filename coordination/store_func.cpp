/** @file store_func.cpp Helpers for keys of the store. */
#include "coordination/store_type.hpp"

namespace godwitcleat::coordination
{

auto store::watch(
    std::string /*prefix*/, // NOLINT(performance-unnecessary-value-param)
    std::int64_t /*after*/, core::duration /*wait*/,
    handler<store_changes>
        on_done) // NOLINT(performance-unnecessary-value-param)
    -> void
{
    core::fail(
        core::error_kind::unavailable,
        "This store has no watches; read the range again.");
    on_done(std::nullopt);
}

auto store::reached_by(std::int64_t /*revision*/) const
    -> std::optional<core::time_point>
{
    return std::nullopt;
}

auto prefix_end(std::string prefix) -> std::string
{
    constexpr unsigned char highest = 0xff;
    while (!prefix.empty())
    {
        auto const last = static_cast<unsigned char>(prefix.back());
        if (last != highest)
        {
            prefix.back() = static_cast<char>(last + 1);
            return prefix;
        }
        prefix.pop_back();
    }
    return prefix;
}

} // namespace godwitcleat::coordination
