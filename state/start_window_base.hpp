/** @file start_window_base.hpp Limits the starts without an answer. */
#ifndef GODWITCLEAT_STATE_START_WINDOW_BASE_HPP
#define GODWITCLEAT_STATE_START_WINDOW_BASE_HPP

#include "core/core.hpp"

#include <cstddef>
#include <optional>

namespace godwitcleat::state
{

/**
 * The number of starts that may be without an answer at a time. It shrinks
 * while answers take much longer than on an idle link, so that starts do not
 * hold up the renewal of leases (delay-based congestion control), and grows
 * again afterwards. Not thread-safe.
 */
class start_window
{
public:
    /** Counts an answer that came @p answer_time after its start. */
    auto answered(core::duration answer_time) -> void;

    /** Returns true if adapt() is due. */
    [[nodiscard]] auto is_due(core::time_point now) const -> bool
    {
        return now >= next_adaptation_;
    }

    /**
     * Adapts the window, if it is due.
     * @param pending_age median age of the starts without an answer; unset if
     *        they are too few to tell a full link from silent workers.
     */
    auto adapt(core::time_point now, std::optional<core::duration> pending_age)
        -> void;

    /** Returns the window, at most @p limit. */
    [[nodiscard]] auto size(std::size_t limit) const -> std::size_t;

    /** Returns true while answers are late because of the load. */
    [[nodiscard]] auto is_congested() const -> bool
    {
        return congested_;
    }

private:
    /** Shortest answer time so far, which rises slowly. */
    std::optional<core::duration> idle_answer_time_;
    /** Shortest answer time of this interval. */
    std::optional<core::duration> answer_time_;
    core::time_point next_adaptation_;
    double size_ = 64.0;
    bool congested_ = false;
};

} // namespace godwitcleat::state

#endif
