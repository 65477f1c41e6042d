/** @file shard_cluster_base.hpp Engines, workers and faults in one process. */
#ifndef GODWITCLEAT_TESTS_SUPPORT_SHARD_CLUSTER_BASE_HPP
#define GODWITCLEAT_TESTS_SUPPORT_SHARD_CLUSTER_BASE_HPP

#include "standins/support/task_history_base.hpp"
#include "state/state.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace godwitcleat::tests
{

using standins::find_bad_resume;
using standins::find_overcommitment;
using standins::find_overlap;
using standins::find_start_after_drain;
using standins::history_violation;
using standins::task_event;
using standins::task_event_kind;
using standins::task_history;

/** Something that goes wrong, or that operators do. */
enum class fault_kind
{
    crash_owner,   ///< The owner's process dies; another takes over.
    pause_owner,   ///< The owner stops for a while, unaware of it.
    isolate_owner, ///< The owner loses the store and its peers, not workers.
    kill_worker,   ///< The worker dies and restarts with no tasks.
    cut_worker,    ///< The worker's messages are lost for a while.
    stop_store,    ///< No commits, no take-overs.
    lose_replies,  ///< Replies of the store arrive much later.
    drain,         ///< A data centre is taken out, and brought back later.
    cancel_job,    ///< An operator cancels a job.
    submit_urgent  ///< An urgent job arrives that needs much room.
};

/** One fault of a schedule. */
struct fault
{
    std::uint32_t at_ms = 0;
    fault_kind kind = fault_kind::crash_owner;
    std::uint32_t target = 0;      ///< Number of the shard, worker or job.
    std::uint32_t duration_ms = 0; ///< How long it lasts, where it lasts.
};

/** Returns the fault as text for failing schedules. */
auto to_string(fault const& value) -> std::string;

/** A schedule; the same options give the same run. */
struct cluster_options
{
    std::uint64_t seed = 0;
    std::uint32_t shards = 3;
    std::uint32_t workers = 6;
    std::uint32_t jobs = 10;
    std::vector<fault> faults;
    state::engine_faults engine_faults; ///< Planted faults.
    core::duration worker_lease = state::engine_settings{}.lease;
};

/** What a run showed. */
struct cluster_result
{
    task_history history;
    std::map<core::job_id, core::time_point> stored_finished;
    std::vector<std::string> unfinished; ///< Jobs that never became final.
    std::uint64_t starts = 0;
    std::uint64_t resumes = 0; ///< Starts from a checkpoint.
    std::uint64_t lapses = 0;  ///< Tasks stopped because a lease lapsed.
    std::uint64_t rebuilt_reports = 0; ///< Heartbeats built on others.
    std::uint64_t held_replies = 0;    ///< Heartbeats answered a second time.
    std::uint64_t wrong_reports = 0;   ///< Rebuilt ones with another list.
};

/** Runs a schedule, heals everything and waits for the jobs. */
auto run_cluster(cluster_options const& options) -> cluster_result;

/** Returns the first violation of any rule in @p result. */
auto find_violation(cluster_result const& result)
    -> std::optional<history_violation>;

} // namespace godwitcleat::tests

#endif
