/** @file dispatch_verdicts_internal.hpp Verdicts on crashes of workers. */
#ifndef GODWITCLEAT_STATE_DISPATCH_VERDICTS_INTERNAL_HPP
#define GODWITCLEAT_STATE_DISPATCH_VERDICTS_INTERNAL_HPP

#include "state/dispatch_internal.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace godwitcleat::state
{

/**
 * Judges all open crashes at one time. It reads the workers of their services
 * once, as there are many crashes when a data centre crashes. The workers and
 * the crashes must not change while it is used.
 */
class crash_judge
{
public:
    using worker_map =
        std::map<core::worker_id, std::unique_ptr<dispatch_worker>>;
    using former_map = std::map<core::worker_id, former_worker>;

    crash_judge(
        worker_map const& workers, former_map const& former,
        std::deque<worker_crash> const& crashes);

    /** Returns the verdict on the crash of number @p index. */
    [[nodiscard]] auto judge(std::size_t index, core::time_point now) const
        -> crash_verdict;

    /** Returns true if the workers that crashed at one moment with that of
     *  number @p index in its data centre mostly had runs of the job. */
    [[nodiscard]] auto explains(core::job_id const& job, std::size_t index)
        -> bool;

private:
    using group_key = std::pair<core::service_id, core::data_centre_id>;

    /** A worker of a service with open crashes. */
    struct worker_row
    {
        std::uint32_t group = 0;  ///< Number of its group.
        bool is_evidence = false; ///< Listed, and its process is known.
        bool is_away = false;     ///< Not listed, and it may have crashed.
        core::time_point known_since;
        core::time_point lost_at; ///< Maximum: in contact.
        core::time_point clock_at;
        std::vector<std::size_t> crashes; ///< Their numbers.
    };

    /** The crashes at one moment in one data centre. */
    struct common_jobs
    {
        std::vector<std::size_t> crashes; ///< Their numbers; empty: unset.
        std::size_t workers = 0;
        std::unordered_map<std::string_view, std::size_t> workers_by_job;
    };

    auto number_of(
        core::service_id const& service,
        core::data_centre_id const& data_centre) -> std::uint32_t;
    auto add_rows(worker_map const& workers, former_map const& former) -> void;
    /** Returns true if the worker may have crashed, or been stopped as
     *  @p announced, at one moment with @p crash. */
    [[nodiscard]] auto has_crash(
        worker_row const& row, worker_crash const& crash, bool announced) const
        -> bool;
    auto count_jobs(std::size_t index) -> void;

    std::deque<worker_crash> const& crashes_;
    std::map<group_key, std::uint32_t> groups_;
    std::vector<std::uint32_t> crash_groups_; ///< By number of the crash.
    std::map<core::service_id, std::vector<worker_row>> rows_;
    common_jobs common_;           ///< Of the last call of explains().
    std::size_t common_index_ = 0; ///< Number of its crash.
};

} // namespace godwitcleat::state

#endif
