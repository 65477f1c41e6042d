/** @file revision_times_base.hpp When the store had reached a revision. */
#ifndef GODWITCLEAT_COORDINATION_REVISION_TIMES_BASE_HPP
#define GODWITCLEAT_COORDINATION_REVISION_TIMES_BASE_HPP

#include "core/core.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace godwitcleat::coordination
{

/** Figures of a record of revisions. */
struct revision_times_settings
{
    /** Shortest time between two entries. */
    core::duration interval = std::chrono::milliseconds{20};
    std::size_t max_entries = 2000;
};

/**
 * Remembers when answers of the store have shown which revision, so that a
 * change can be dated on the own clock. Not thread-safe.
 */
class revision_times
{
public:
    explicit revision_times(revision_times_settings settings = {})
        : settings_(settings)
    {
    }

    /** Takes the revision of an answer that was received at @p now. */
    auto note(std::int64_t revision, core::time_point now) -> void;

    /** Returns a time by which the store had reached @p revision; unset if no
     *  answer has shown it. */
    [[nodiscard]] auto reached_by(std::int64_t revision) const
        -> std::optional<core::time_point>;

private:
    struct entry
    {
        std::int64_t revision = 0;
        core::time_point at;
    };

    revision_times_settings settings_;
    std::deque<entry> entries_; ///< Both members increase.
};

} // namespace godwitcleat::coordination

#endif
