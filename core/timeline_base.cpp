/** @file timeline_base.cpp Events of this process for the merged time line. */
#include "core/timeline_base.hpp"

#include "core/clock_type.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace godwitcleat::core
{

timeline::timeline(instance_id instance, std::size_t capacity)
    : instance_(std::move(instance))
    , capacity_(capacity)
{
}

auto timeline::record(timeline_event event) -> void
{
    auto const lock = std::scoped_lock{mutex_};
    event.wall_us = wall_clock_us();
    event.sequence = next_sequence_++;
    event.instance = instance_.value;
    events_.push_back(std::move(event));
    if (events_.size() > capacity_)
    {
        events_.pop_front();
    }
}

auto timeline::since(std::uint64_t after) const -> std::vector<timeline_event>
{
    auto const lock = std::scoped_lock{mutex_};
    auto result = std::vector<timeline_event>{};
    std::copy_if(
        events_.begin(), events_.end(), std::back_inserter(result),
        [after](auto const& it) { return it.sequence > after; });
    return result;
}

} // namespace godwitcleat::core
