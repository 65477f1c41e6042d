/** @file worker_link_type.hpp How the owner of the jobs reaches workers. */
#ifndef GODWITCLEAT_COORDINATION_WORKER_LINK_TYPE_HPP
#define GODWITCLEAT_COORDINATION_WORKER_LINK_TYPE_HPP

#include "core/core.hpp"
#include "state/state.hpp"

#include <cstdint>
#include <functional>
#include <optional>

namespace godwitcleat::coordination
{

/** Answer to a hold. */
struct hold_answer
{
    state::order_result result = state::order_result::unknown;
    std::optional<state::worker_lists> lists; ///< Set if accepted.
};

/** Answer to an order about a run. */
struct run_answer
{
    state::order_result result = state::order_result::unknown;
    std::optional<std::int64_t> clock_ms; ///< The worker's clock, if told.
};

/** Sends orders to workers. Each calls back exactly once, from any thread. */
struct worker_link
{
    std::function<void(
        state::hold_order const&, std::function<void(hold_answer)>)>
        hold;
    std::function<void(
        state::run_order const&, std::function<void(run_answer)>)>
        order;
};

} // namespace godwitcleat::coordination

#endif
