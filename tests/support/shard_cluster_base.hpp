/** @file shard_cluster_base.hpp Simulated cluster of shards and workers. */
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

/** Kind of an injected fault or operator action. */
enum class fault_kind
{
    crash_owner,         ///< The owner process crashes; another one takes over.
    pause_owner,         ///< The owner process is paused and does not notice.
    isolate_owner,       ///< The owner loses the store and peers, not workers.
    kill_worker,         ///< The worker crashes and restarts without tasks.
    disconnect_worker,   ///< All messages of the worker are lost.
    stop_store,          ///< Neither commits nor take-overs are possible.
    delay_store_replies, ///< Replies of the store are late.
    drain,               ///< A data centre is drained and later undrained.
    cancel_job,          ///< An operator cancels a job.
    submit_urgent        ///< A large urgent job is submitted.
};

/** One fault in a schedule. */
struct fault
{
    std::uint32_t at_ms = 0;
    fault_kind kind = fault_kind::crash_owner;
    std::uint32_t target = 0;      ///< Index of the shard, worker or job.
    std::uint32_t duration_ms = 0; ///< For faults that last.
};

/** Describes the fault for messages about failing schedules. */
auto to_string(fault const& value) -> std::string;

/** Options of a run; equal options give equal runs. */
struct cluster_options
{
    std::uint64_t seed = 0;
    std::uint32_t shards = 3;
    std::uint32_t workers = 6;
    std::uint32_t jobs = 10;
    std::vector<fault> faults;
    state::engine_faults engine_faults; ///< Faults injected into the engines.
    core::duration worker_lease = state::engine_settings{}.lease;
};

/** Result of a run. */
struct cluster_result
{
    task_history history;
    std::map<core::job_id, core::time_point> finish_stored_at;
    std::vector<std::string> unfinished; ///< Jobs that did not become final.
    std::uint64_t starts = 0;
    std::uint64_t resumes = 0;            ///< Starts from a checkpoint.
    std::uint64_t lease_expiries = 0;     ///< Tasks stopped by a lapsed lease.
    std::uint64_t rebuilt_reports = 0;    ///< From partial heartbeats.
    std::uint64_t held_replies = 0;       ///< Replies sent after a hold.
    std::uint64_t mismatched_reports = 0; ///< Rebuilt with wrong tasks.
};

/** Runs a schedule, waits until all faults have ended and all jobs are final.
 */
auto run_cluster(cluster_options const& options) -> cluster_result;

/** Returns a violation of the rules in @p result, or std::nullopt. */
auto find_violation(cluster_result const& result)
    -> std::optional<history_violation>;

} // namespace godwitcleat::tests

#endif
