/** @file soak_customers.hpp Customers of a run, their keys and their limits. */
#ifndef GODWITCLEAT_STANDINS_SOAK_SOAK_CUSTOMERS_HPP
#define GODWITCLEAT_STANDINS_SOAK_SOAK_CUSTOMERS_HPP

#include "core/core.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <array>
#include <cstdint>
#include <string>

namespace godwitcleat::soak
{

/** Most that the tasks of each customer may reserve. The last one hands in no
 *  long-running jobs, so that its limit is free again once all jobs end. */
constexpr auto customer_limits = std::array<std::int64_t, 3>{8000, 8000, 4000};
constexpr auto short_customer = customer_limits.size() - 1;

/** How a key relates to the configurations of a run. */
enum class key_kind
{
    permanent, ///< In all of them.
    temporary, ///< In some of them.
    unknown    ///< In none.
};

inline auto key_of(std::size_t customer, key_kind kind) -> std::string
{
    switch (kind)
    {
    case key_kind::permanent: return fmt::format("key-{}", customer);
    case key_kind::temporary: return fmt::format("key-{}-temporary", customer);
    case key_kind::unknown: break;
    }
    return "key-of-nobody";
}

/** Returns true if the configuration of @p version has the temporary keys. */
inline auto has_temporary_keys(std::uint64_t version) -> bool
{
    return version % 3 == 0;
}

/** Returns the customers as a configuration of @p version holds them. */
inline auto customers_of(std::uint64_t version) -> nlohmann::json
{
    auto result = nlohmann::json::array();
    for (auto i = std::size_t{0}; i < customer_limits.size(); ++i)
    {
        auto keys = nlohmann::json::array({key_of(i, key_kind::permanent)});
        if (has_temporary_keys(version))
        {
            keys.push_back(key_of(i, key_kind::temporary));
        }
        result.push_back(
            {{"name", fmt::format("c{}", i)},
             {"api-keys", std::move(keys)},
             {"weight", static_cast<double>(i + 1)},
             {"max-count",
              {{"cpu", customer_limits.at(i)}, {"mem-mb", 0}, {"gpu", 0}}}});
    }
    return result;
}

} // namespace godwitcleat::soak

#endif
