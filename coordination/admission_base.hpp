/** @file admission_base.hpp Refusal of requests that would be too late. */
#ifndef GODWITCLEAT_COORDINATION_ADMISSION_BASE_HPP
#define GODWITCLEAT_COORDINATION_ADMISSION_BASE_HPP

#include "core/core.hpp"

#include <cstddef>

namespace godwitcleat::coordination
{

/** The queue of a service as this instance knows it. */
struct queue_state
{
    double in_flight = 0.0; ///< Own and peers' requests.
    std::size_t slots = 0;  ///< Requests that all usable servers serve at once.
};

/**
 * Decides whether a request can meet its deadline behind the present queue of
 * its service. Not thread-safe.
 */
class admission
{
public:
    /** Notes the time of a whole answer that found @p queue. */
    auto note_answer(core::duration elapsed, queue_state queue) -> void;

    /** Returns the expected wait for a slot. */
    [[nodiscard]] auto expected_wait(queue_state queue) const -> core::duration;

    /**
     * Returns false if the request cannot be answered within @p remaining.
     * Without a queue, each request with time left is admitted.
     */
    [[nodiscard]] auto admits(core::duration remaining, queue_state queue) const
        -> bool;

private:
    double service_ns_ = 0.0; ///< Mean time without waiting; 0: unknown.
};

} // namespace godwitcleat::coordination

#endif
