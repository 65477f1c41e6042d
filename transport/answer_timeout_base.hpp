/** @file answer_timeout_base.hpp A time-out that follows the answer times. */
#ifndef GODWITCLEAT_TRANSPORT_ANSWER_TIMEOUT_BASE_HPP
#define GODWITCLEAT_TRANSPORT_ANSWER_TIMEOUT_BASE_HPP

#include "core/core.hpp"

#include <algorithm>

namespace godwitcleat::transport
{

/**
 * The time-out of small calls to one server: the smoothed answer time and four
 * times its mean deviation, as TCP computes its retransmission time-out (RFC
 * 6298). It doubles with each call that was not answered in time, until one is.
 * A lost answer is noticed soon, and a slow server is not asked again and
 * again. Not thread-safe.
 */
class answer_timeout
{
public:
    /** The time-out is @p most until the first answer. */
    answer_timeout(core::duration least, core::duration most)
        : least_(std::min(least, most))
        , most_(most)
        , value_(most)
    {
    }

    /** Notes a call that was answered after @p took. */
    auto answered(core::duration took) -> void
    {
        if (!known_)
        {
            known_ = true;
            mean_ = took;
            deviation_ = took / 2;
        }
        else
        {
            auto const off = took > mean_ ? took - mean_ : mean_ - took;
            deviation_ += (off - deviation_) / deviation_weight;
            mean_ += (took - mean_) / mean_weight;
        }
        value_ = std::clamp(mean_ + deviations * deviation_, least_, most_);
    }

    /** Notes a call that was not answered within value(). */
    auto expired() -> void
    {
        value_ = std::min(2 * value_, most_);
    }

    [[nodiscard]] auto value() const -> core::duration
    {
        return value_;
    }

private:
    static constexpr auto mean_weight = 8;
    static constexpr auto deviation_weight = 4;
    static constexpr auto deviations = 4;

    core::duration least_;
    core::duration most_;
    core::duration value_;
    bool known_ = false;
    core::duration mean_{};
    core::duration deviation_{};
};

} // namespace godwitcleat::transport

#endif
