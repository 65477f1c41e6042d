/** @file admission_base.cpp Refusal of requests that would be too late. */
#include "coordination/admission_base.hpp"

#include <algorithm>

namespace godwitcleat::coordination
{

namespace
{

/// Weight of one answer in the mean service time.
constexpr double answer_weight = 0.02;

/** Returns the rounds of service that pass before a new request starts. */
auto rounds_before(queue_state queue) -> double
{
    if (queue.slots == 0)
    {
        return 0.0;
    }
    auto const slots = static_cast<double>(queue.slots);
    return std::max(0.0, queue.in_flight + 1.0 - slots) / slots;
}

} // namespace

admission::admission(admission_settings settings)
    : settings_(settings)
{
}

auto admission::note_answer(core::duration elapsed, queue_state queue) -> void
{
    // An answer that waited for a slot took `1 + rounds` service times.
    auto const sample =
        static_cast<double>(elapsed.count()) / (1.0 + rounds_before(queue));
    service_ns_ = service_ns_ <= 0.0
                      ? sample
                      : service_ns_ + answer_weight * (sample - service_ns_);
}

auto admission::expected_wait(queue_state queue) const -> core::duration
{
    return core::duration{
        static_cast<core::duration::rep>(service_ns_ * rounds_before(queue))};
}

auto admission::admits(core::duration remaining, queue_state queue) const
    -> bool
{
    if (remaining <= core::duration::zero())
    {
        return false;
    }
    if (is_full(queue))
    {
        return false;
    }
    auto const wait = expected_wait(queue);
    if (wait <= core::duration::zero())
    {
        return true;
    }
    auto const service = core::duration{
        static_cast<core::duration::rep>(settings_.margin * service_ns_)};
    return wait + service <= remaining;
}

auto admission::is_full(queue_state queue) const -> bool
{
    auto const slots = static_cast<double>(queue.slots);
    auto const most =
        slots +
        std::max(settings_.queue_per_slot * slots, settings_.least_queue);
    auto const share =
        most / static_cast<double>(std::max<std::size_t>(queue.instances, 1));
    return queue.slots > 0 && queue.in_flight >= most &&
           queue.own_in_flight >= share;
}

} // namespace godwitcleat::coordination
