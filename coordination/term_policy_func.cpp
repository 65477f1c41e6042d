/** @file term_policy_func.cpp Which instance ought to own the jobs. */
#include "coordination/term_policy_func.hpp"

#include <algorithm>

namespace godwitcleat::coordination
{

auto is_weaker(
    protocol::owner_record const& instance, protocol::owner_record const& other)
    -> bool
{
    constexpr auto factor = 2;
    return instance.cpu_milli > 0 &&
           other.cpu_milli > factor * instance.cpu_milli;
}

auto wait_before_taking(
    protocol::owner_record const& self,
    std::span<protocol::owner_record const> members,
    term_preference const& preference) -> core::duration
{
    if (self.cpu_milli == 0)
    {
        return {};
    }
    if (members.empty())
    {
        return preference.first_wait;
    }
    auto const weak = std::any_of(
        members.begin(), members.end(),
        [&self](auto const& it) { return is_weaker(self, it); });
    return weak ? preference.weaker_wait : core::duration{};
}

} // namespace godwitcleat::coordination
