/** @file task_history_base.hpp Checker of what workers really ran. */
#ifndef GODWITCLEAT_STANDINS_SUPPORT_TASK_HISTORY_BASE_HPP
#define GODWITCLEAT_STANDINS_SUPPORT_TASK_HISTORY_BASE_HPP

#include "core/core.hpp"
#include "state/state.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace godwitcleat::standins
{

/** What was observed, by a worker or an operator. */
enum class task_event_kind
{
    started,         ///< A worker began to run an attempt.
    ended,           ///< The attempt runs no more on the worker.
    drain_accepted,  ///< An operator was told that a data centre is out.
    undrain_accepted ///< An operator was told that it is back.
};

/** One event; times come from one clock for all observers. */
struct task_event
{
    core::time_point at;
    task_event_kind kind = task_event_kind::started;
    state::attempt_key key;
    core::worker_id worker;
    core::data_centre_id data_centre;
    std::int64_t progress = 0; ///< At the start, or at the end.
    bool finished = false;     ///< With ended: the work is done.
    bool checkpointed = false; ///< With ended: a checkpoint was written.
    std::string text;          ///< Shown in violations.
};

/** What a run consisted of. */
struct task_history
{
    std::map<core::worker_id, core::resources> capacities;
    std::map<core::job_id, core::resources> needs;
    std::vector<task_event> events; ///< In order of time.
};

/** A rule that a history breaks, with the events that show it. */
struct history_violation
{
    /** `overlap`, `overcommitment`, `resume`, `start-after-finish`, `drain`. */
    std::string rule;
    std::vector<task_event> events;
};

/** Returns the rule and the events as text for test failures. */
auto to_string(history_violation const& violation) -> std::string;

/** No job runs on two workers, or twice on one, at the same time. */
auto find_overlap(task_history const& history)
    -> std::optional<history_violation>;

/** No worker runs tasks whose needs exceed its capacity. */
auto find_overcommitment(task_history const& history)
    -> std::optional<history_violation>;

/**
 * A job's attempt starts from the checkpoint of an earlier attempt or from
 * the beginning, every attempt starts at most once, and nothing starts after
 * the job has finished and that was stored.
 * @param stored_finished time at which each finished job was stored as such.
 */
auto find_bad_resume(
    task_history const& history,
    std::map<core::job_id, core::time_point> const& stored_finished)
    -> std::optional<history_violation>;

/** Nothing starts in a drained data centre later than @p bound after. */
auto find_start_after_drain(task_history const& history, core::duration bound)
    -> std::optional<history_violation>;

} // namespace godwitcleat::standins

#endif
