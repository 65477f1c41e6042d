/** @file dispatch_type.hpp What the dispatcher hears of workers and tells them.
 */
#ifndef GODWITCLEAT_STATE_DISPATCH_TYPE_HPP
#define GODWITCLEAT_STATE_DISPATCH_TYPE_HPP

#include "core/core.hpp"
#include "state/plan_type.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace godwitcleat::state
{

/** A worker that is called by its owner, as the list of workers shows it. */
struct listed_worker
{
    core::worker_id worker;
    std::string address; ///< ADDRESS:PORT.
    core::service_id service;
    core::data_centre_id data_centre;
    std::string rack;
    std::set<std::string> labels; ///< Rack included.
    core::resources capacity;
    bool draining = false;
    std::int64_t drain_left_ms = 0; ///< Least time until it leaves.
    std::int64_t born_ms = 0;       ///< Unix time of its start; 0: not told.

    auto operator==(listed_worker const&) const -> bool = default;
};

/** Fencing token of the orders to one worker; it never falls. */
using fencing_token = core::number_id<struct fencing_token_tag>;

/** Number of a run of a task; rises with each start. */
using run_number = core::number_id<struct run_number_tag>;

/** How a run ended, as the worker says. */
enum class run_end
{
    done,        ///< The work is done.
    failed,      ///< Through its own fault or the worker's.
    stopped,     ///< On order.
    lapsed,      ///< The worker's lease lapsed.
    gang_broken, ///< Another member of its gang ended.
    gang_missing ///< The other members of its gang did not come.
};

auto to_string(run_end value) -> std::string_view;

/** A run that a worker says it is running. */
struct running_row
{
    task_name task;
    run_number run;
    std::string checkpoint;   ///< Latest one; empty: none.
    std::int64_t percent = 0; ///< Of its work that is done.
    std::int64_t measure = 0; ///< Tail in ms if it serves, else milli-cores.
};

/** A run that has ended and that the worker keeps until it is acknowledged. */
struct ended_row
{
    std::uint64_t number = 0; ///< Rises by one within the worker's life.
    task_name task;
    run_number run;
    run_end how = run_end::failed;
    std::string checkpoint;
};

/** Both lists of a worker. */
struct worker_lists
{
    std::int64_t born_ms = 0;  ///< Identifies the worker's life; 0: not told.
    std::int64_t clock_ms = 0; ///< The worker's own clock.
    std::vector<running_row> running;
    std::vector<ended_row> ended;
};

/** Renews a worker's lease, acknowledges ends and asks for both lists. */
struct hold_order
{
    core::worker_id worker;
    std::string address;
    fencing_token token;
    std::optional<std::int64_t> deadline_ms; ///< On the worker's clock.
    std::uint64_t acknowledged = 0; ///< Ends up to this may be forgotten.
    core::duration wait{};          ///< Longest time to wait for an end.
    core::time_point sent_at;       ///< When the order was made.
    std::uint64_t life = 0;         ///< Set and read by the dispatcher.
};

/** What to do with a run. */
enum class run_order_kind
{
    start,
    stop,
    pace
};

/** An order about one run. */
struct run_order
{
    run_order_kind kind = run_order_kind::start;
    core::worker_id worker;
    std::string address;
    fencing_token token;
    task_name task;
    run_number run;
    std::string command;          ///< Of a start.
    std::string checkpoint;       ///< Of a start; empty: from the beginning.
    std::int64_t deadline_ms = 0; ///< Of a start, on the worker's clock.
    std::uint32_t percent = 100;  ///< Of pace.
};

/** What a worker answered to an order. */
enum class order_result
{
    accepted,     ///< Done, or done before.
    fenced,       ///< The worker has seen a higher token.
    old_run,      ///< A run that is as high has ended or was stopped there.
    late,         ///< The order came after its deadline.
    no_room,      ///< The worker has no room.
    refused,      ///< Refused for another reason; not done.
    unhealthy,    ///< The worker does nothing at present; not done.
    other_worker, ///< Another worker answers at that address; not done.
    not_sent,     ///< Nothing was sent.
    unknown       ///< No answer; it may be done, now or later.
};

auto to_string(order_result value) -> std::string_view;

/** Figures of a dispatcher. */
struct dispatch_settings
{
    /** Longest lease that a worker grants. */
    core::duration lease_limit = std::chrono::seconds{6};
    /** How long a former owner may act after its term has ended. */
    core::duration former_owner_validity = std::chrono::seconds{3};
    /** Longest time in which a start may be carried out. */
    core::duration start_validity = std::chrono::milliseconds{1500};
    /** Longest time that a worker holds an answer. */
    core::duration hold_wait = std::chrono::milliseconds{1000};
    /** Ends of tasks are stored at the latest after this. */
    core::duration commit_delay = std::chrono::milliseconds{300};
    /** Time between an answer with ends and the next look at its worker. */
    core::duration look_gap = std::chrono::milliseconds{40};
    /** Longest time that a worker needs to stop a run. */
    core::duration stop_time = std::chrono::milliseconds{900};
    /** How long jobs are kept after their end. */
    core::duration retention = std::chrono::seconds{180};
    /** Most bytes of one batch, below the store's limit of a transaction. */
    std::size_t most_batch_bytes = std::size_t{512} * 1024;
    /** Most writes of one batch, below the store's limit of a transaction. */
    std::size_t most_batch_writes = 28;
};

/** Jobs and progress that have to be written together. */
struct dispatch_batch
{
    std::vector<plan_record> accepted;
    std::vector<std::pair<core::job_id, plan_progress>> progress;
    std::vector<core::job_id> forgotten;
    std::optional<std::vector<listed_worker>> workers; ///< Set if changed.

    [[nodiscard]] auto empty() const -> bool
    {
        return accepted.empty() && progress.empty() && forgotten.empty() &&
               !workers;
    }
};

/** Everything that a new owner reads from the store. */
struct dispatch_snapshot
{
    std::vector<plan_record> jobs;
    std::vector<std::pair<core::job_id, plan_progress>> progress;
    std::vector<listed_worker> workers;
};

} // namespace godwitcleat::state

#endif
