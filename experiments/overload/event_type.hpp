/** @file event_type.hpp Events of the simulated request path. */
#ifndef GODWITCLEAT_EXPERIMENTS_OVERLOAD_EVENT_TYPE_HPP
#define GODWITCLEAT_EXPERIMENTS_OVERLOAD_EVENT_TYPE_HPP

#include "core/core.hpp"

#include <cstddef>
#include <cstdint>
#include <tuple>

namespace godwitcleat::experiments
{

enum class event_kind
{
    repeat,   ///< A caller repeats a refused request.
    reach,    ///< An attempt reaches its backend server.
    served,   ///< A backend server finishes an attempt.
    answer,   ///< The answer reaches the instance.
    refused,  ///< The refusal of a full backend server reaches it.
    timeout,  ///< The instance gives up an attempt.
    expire,   ///< A held request can wait no longer.
    exchange, ///< An instance sends its counts.
    counts,   ///< A peer's counts arrive.
    loss,     ///< Half the backend servers stop.
    table     ///< The instances learn of it.
};

struct event
{
    core::duration at{};
    std::uint64_t order = 0; ///< Ties are handled in order of creation.
    event_kind kind = event_kind::loss;
    std::size_t a = 0;
    std::size_t b = 0;

    auto operator>(event const& other) const -> bool
    {
        return std::tie(at, order) > std::tie(other.at, other.order);
    }
};

} // namespace godwitcleat::experiments

#endif
