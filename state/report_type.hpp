/** @file report_type.hpp Partial heartbeats, which contain only changes. */
#ifndef GODWITCLEAT_STATE_REPORT_TYPE_HPP
#define GODWITCLEAT_STATE_REPORT_TYPE_HPP

#include "state/worker_type.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace godwitcleat::state
{

/** Worker attributes that only complete reports contain. */
struct worker_attributes
{
    core::data_centre_id data_centre;
    core::resources capacity;

    auto operator==(worker_attributes const&) const -> bool = default;
};

/** Measured resource use of one task that is otherwise unchanged. */
struct usage_sample
{
    std::uint32_t position = 0; ///< Index in the task list ordered by key.
    core::resources usage;
    std::int64_t slowdown_milli = 1000; ///< In thousandths.

    auto operator==(usage_sample const&) const -> bool = default;
};

/**
 * A heartbeat that contains the changes since an earlier one of the same boot,
 * its base. Without a base it is complete: `changed` lists all tasks.
 */
struct partial_report
{
    core::worker_id worker;
    core::rack_id rack;
    core::epoch highest_epoch;
    std::uint64_t boot = 0;
    std::uint64_t sequence = 0;
    std::uint64_t base = 0;    ///< Sequence of the base; 0: none.
    std::uint32_t hold_ms = 0; ///< How long the reply may be held open.
    /// Age of the measurements of all tasks that are not in `changed`; unset:
    /// their measurements are those of the base.
    std::optional<std::int64_t> sample_age_ms;
    std::vector<usage_sample> samples; ///< Only with `sample_age_ms`.
    std::vector<attempt_key> removed;
    std::vector<task_report> changed;            ///< New and changed tasks.
    std::optional<worker_attributes> attributes; ///< Only without a base.
};

} // namespace godwitcleat::state

#endif
