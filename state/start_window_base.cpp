/** @file start_window_base.cpp Limits the starts without an answer. */
#include "state/start_window_base.hpp"

#include <algorithm>
#include <utility>

namespace godwitcleat::state
{

namespace
{

constexpr auto adaptation_interval = std::chrono::milliseconds{100};
// Answers are late if they take this much longer than twice the time on an idle
// link. A busy owner processes its answers within 100 ms.
constexpr auto acceptable_delay =
    core::duration{std::chrono::milliseconds{100}};
constexpr auto max_size = 64.0;
constexpr auto min_size = 2.0;
constexpr auto decrease_factor = 0.8;
constexpr auto increase = 2.0;
// In each interval, so that a path that has become longer is noticed.
constexpr auto idle_rise_permille = 1;

} // namespace

auto start_window::answered(core::duration answer_time) -> void
{
    answer_time_ = std::min(answer_time_.value_or(answer_time), answer_time);
    idle_answer_time_ =
        std::min(idle_answer_time_.value_or(answer_time), answer_time);
}

auto start_window::adapt(
    core::time_point now, std::optional<core::duration> pending_age) -> void
{
    if (!is_due(now))
    {
        return;
    }
    next_adaptation_ = now + adaptation_interval;
    auto const late =
        idle_answer_time_.value_or(core::duration{}) * 2 + acceptable_delay;
    auto const measured = std::exchange(answer_time_, std::nullopt);
    if (!measured && !pending_age)
    {
        return;
    }
    auto const delay = measured ? *measured : *pending_age;
    // Without any answer so far, nothing tells a long path from a full link.
    congested_ = idle_answer_time_ && delay > late;
    size_ = congested_ ? std::max(min_size, size_ * decrease_factor)
                       : std::min(max_size, size_ + increase);
    if (idle_answer_time_)
    {
        *idle_answer_time_ += *idle_answer_time_ * idle_rise_permille / 1000;
    }
}

auto start_window::size(std::size_t limit) const -> std::size_t
{
    return std::min(limit, static_cast<std::size_t>(size_));
}

} // namespace godwitcleat::state
