/** @file term_policy_func.hpp Which instance ought to own the jobs. */
#ifndef GODWITCLEAT_COORDINATION_TERM_POLICY_FUNC_HPP
#define GODWITCLEAT_COORDINATION_TERM_POLICY_FUNC_HPP

#include "core/core.hpp"
#include "protocol/protocol.hpp"

#include <chrono>
#include <span>

namespace godwitcleat::coordination
{

/** Times of the choice among instances of unequal size. */
struct term_preference
{
    /** An instance that is weaker than another leaves it this long to take a
     *  free ownership; a take-over needs three calls to the store. */
    core::duration weaker_wait = std::chrono::milliseconds{800};
    /** Before the first term the instances are not known yet; all processes
     *  start within 0.3 s. */
    core::duration first_wait = std::chrono::milliseconds{500};
    /** A stronger instance asks a weaker owner again after this. */
    core::duration ask_interval = std::chrono::milliseconds{1000};
};

/**
 * Returns true if @p other has more than twice the processors of @p instance.
 * Smaller differences are not worth a take-over. False if one is not told.
 */
auto is_weaker(
    protocol::owner_record const& instance, protocol::owner_record const& other)
    -> bool;

/**
 * Returns how long @p self leaves a free ownership to others. @p members are
 * the other instances that the store names, dead ones included.
 */
auto wait_before_taking(
    protocol::owner_record const& self,
    std::span<protocol::owner_record const> members,
    term_preference const& preference) -> core::duration;

} // namespace godwitcleat::coordination

#endif
