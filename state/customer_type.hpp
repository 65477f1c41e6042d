/** @file customer_type.hpp Customers that own jobs, with keys and limits. */
#ifndef GODWITCLEAT_STATE_CUSTOMER_TYPE_HPP
#define GODWITCLEAT_STATE_CUSTOMER_TYPE_HPP

#include "core/core.hpp"

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

namespace godwitcleat::state
{

using customer_id = core::string_id<struct customer_tag>;

/** The configuration of a customer. */
struct customer_config
{
    customer_id customer;
    /** Its part of the room and the starts while tasks of several customers
     *  wait is `weight` by the sum of their weights; above 0. */
    double weight = 1.0;
    /** Most that its tasks may reserve on all workers; 0: no limit. */
    core::resources limit;

    auto operator==(customer_config const&) const -> bool = default;
};

/** Allows a look-up by std::string_view. */
struct string_hash
{
    using is_transparent = void;
    auto operator()(std::string_view text) const noexcept -> std::size_t
    {
        return std::hash<std::string_view>{}(text);
    }
};

/** The customers of one version of the configuration. */
struct customer_table
{
    std::map<customer_id, customer_config> customers;
    /** Customer by API key. Keys are secrets: they are never logged. */
    std::unordered_map<std::string, customer_id, string_hash, std::equal_to<>>
        keys;

    auto operator==(customer_table const&) const -> bool = default;
};

} // namespace godwitcleat::state

#endif
