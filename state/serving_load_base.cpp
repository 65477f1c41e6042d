/** @file serving_load_base.cpp Tail latency of a job whose load changes. */
#include "state/serving_load_base.hpp"

#include <algorithm>

namespace godwitcleat::state
{

namespace
{

// A rise is measured over this number of half seconds.
constexpr auto rise_bins = std::int64_t{2};
constexpr auto max_age_bins = std::int64_t{4};

} // namespace

auto serving_load::number_of(core::time_point now) -> std::int64_t
{
    return now.time_since_epoch() / bin_length;
}

auto serving_load::add(double log_tail, double weight, core::time_point now)
    -> void
{
    auto const number = number_of(now);
    auto& it = bins_.at(static_cast<std::size_t>(number) % bins);
    if (it.number != number)
    {
        it = {number, 0.0, 0.0};
    }
    it.sum += weight * log_tail;
    it.weight += weight;
}

auto serving_load::newest(std::int64_t number, std::int64_t most) const
    -> bin const*
{
    for (auto i = std::int64_t{0}; i < most; ++i)
    {
        auto const& it = bins_.at(static_cast<std::size_t>(number - i) % bins);
        if (it.number == number - i && it.weight > 0.0)
        {
            return &it;
        }
    }
    return nullptr;
}

auto serving_load::level(core::time_point now) const -> std::optional<double>
{
    auto const* const last = newest(number_of(now), max_age_bins);
    if (last == nullptr)
    {
        return std::nullopt;
    }
    auto const* const before = newest(last->number - 1, 1);
    auto const sum = last->sum + (before == nullptr ? 0.0 : before->sum);
    auto const weight =
        last->weight + (before == nullptr ? 0.0 : before->weight);
    return sum / weight;
}

auto serving_load::forecast(core::time_point now, core::duration horizon) const
    -> std::optional<double>
{
    auto const* const last = newest(number_of(now), max_age_bins);
    if (last == nullptr)
    {
        return std::nullopt;
    }
    auto highest = last->mean();
    for (auto const& it : bins_)
    {
        if (it.weight > 0.0 &&
            last->number - it.number < static_cast<std::int64_t>(bins))
        {
            highest = std::max(highest, it.mean());
        }
    }
    auto const* const earlier = newest(last->number - rise_bins, rise_bins);
    if (earlier == nullptr)
    {
        return highest;
    }
    auto const rise = (last->mean() - earlier->mean()) /
                      static_cast<double>(last->number - earlier->number);
    auto const steps = static_cast<double>(horizon / bin_length);
    return std::min(highest, last->mean() + std::max(rise, 0.0) * steps);
}

} // namespace godwitcleat::state
