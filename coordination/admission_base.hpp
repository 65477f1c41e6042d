/** @file admission_base.hpp Refusal of requests that would be too late. */
#ifndef GODWITCLEAT_COORDINATION_ADMISSION_BASE_HPP
#define GODWITCLEAT_COORDINATION_ADMISSION_BASE_HPP

#include "core/core.hpp"

#include <cstddef>
#include <limits>

namespace godwitcleat::coordination
{

/** The queue of a service as this instance knows it. */
struct queue_state
{
    double in_flight = 0.0; ///< Own and peers' requests.
    std::size_t slots = 0;  ///< Requests that all usable servers serve at once.
    double own_in_flight = 0.0; ///< The part of this instance.
    std::size_t instances = 1;  ///< That send to the service.
};

/** Limits of admission; docs/EXPERIMENTS.md, section 4, measures them. */
struct admission_settings
{
    /// Requests that may wait for each slot. Without a bound, requests that
    /// time out hide their queue: the backend server still runs them, and the
    /// mean service time counts only the answers that came in time.
    double queue_per_slot = 0.5;
    /// Requests that may wait in any case. The queue of a service with few
    /// slots varies more: at 80% load of 8 slots, at least 4 requests wait in
    /// 19% of the time (Erlang C), which 0.5 per slot would refuse.
    double least_queue = 16.0;
    /// Mean service times that must be left after the wait.
    double margin = 1.5;
};

/// Only the deadline and the mean service time decide.
constexpr auto unbounded_admission =
    admission_settings{std::numeric_limits<double>::infinity(), 0.0, 1.0};

/**
 * Decides whether a request can meet its deadline behind the present queue of
 * its service, and bounds that queue. Not thread-safe.
 */
class admission
{
public:
    explicit admission(admission_settings settings = {});

    /** Notes the time of a whole answer that found @p queue. */
    auto note_answer(core::duration elapsed, queue_state queue) -> void;

    /** Returns the expected wait for a slot. */
    [[nodiscard]] auto expected_wait(queue_state queue) const -> core::duration;

    /**
     * Returns false if the request cannot be answered within @p remaining, or
     * if the queue is full. Without a queue, each request with time left is
     * admitted.
     */
    [[nodiscard]] auto admits(core::duration remaining, queue_state queue) const
        -> bool;

    /**
     * Returns true if no request is admitted, whatever its deadline is. An
     * instance may always use its equal share of the bound, because the peers'
     * counts are up to 500 ms old.
     */
    [[nodiscard]] auto is_full(queue_state queue) const -> bool;

private:
    admission_settings settings_;
    double service_ns_ = 0.0; ///< Mean time without waiting; 0: unknown.
};

} // namespace godwitcleat::coordination

#endif
