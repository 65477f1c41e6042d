/** @file record_type.hpp Log records: commands that change a shard. */
#ifndef GODWITCLEAT_STATE_RECORD_TYPE_HPP
#define GODWITCLEAT_STATE_RECORD_TYPE_HPP

#include "state/job_type.hpp"

#include <string>
#include <variant>
#include <vector>

namespace godwitcleat::state
{

/** Home shard: adds a queued job. */
struct submit_job
{
    job_spec spec;
    auto operator==(submit_job const&) const -> bool = default;
};

/** Home shard: cancels a job. Without a bound attempt it is final at once;
 * otherwise it becomes final when the attempt ends. */
struct cancel_job
{
    core::job_id job;
    std::string reason;
    auto operator==(cancel_job const&) const -> bool = default;
};

/** Home shard: binds the next attempt to a worker and allows its start. */
struct bind_attempt
{
    core::job_id job;
    attempt_binding binding;
    auto operator==(bind_attempt const&) const -> bool = default;
};

/** Home shard: the bound attempt has ended. */
struct end_attempt
{
    core::job_id job;
    core::attempt_number attempt;
    attempt_outcome outcome = attempt_outcome::lost;
    std::string checkpoint;    ///< Latest checkpoint; empty: no new one.
    std::int64_t progress = 0; ///< Work units done at the checkpoint.
    std::string reason;
    auto operator==(end_attempt const&) const -> bool = default;
};

/** Home shard: removes a job that was final for the retention time. */
struct drop_job
{
    core::job_id job;
    auto operator==(drop_job const&) const -> bool = default;
};

/** Host shard: commits resources of a worker to a task, allows its start. */
struct host_task
{
    hosted_task task;
    auto operator==(host_task const&) const -> bool = default;
};

/** Host shard: the task has ended; its resources are released. */
struct end_task
{
    attempt_key key;
    attempt_outcome outcome = attempt_outcome::lost;
    std::string checkpoint;
    std::int64_t progress = 0;
    auto operator==(end_task const&) const -> bool = default;
};

/** Host shard: removes a task whose outcome the home shard has stored. */
struct forget_task
{
    attempt_key key;
    auto operator==(forget_task const&) const -> bool = default;
};

/** Host shard: permanently refuses an attempt that it does not know. */
struct decline_attempt
{
    attempt_key key;
    auto operator==(decline_attempt const&) const -> bool = default;
};

/** Changes nothing; its commit proves that the owner and its configuration are
 * current. */
struct reconfirm
{
    auto operator==(reconfirm const&) const -> bool = default;
};

using record = std::variant<
    submit_job, cancel_job, bind_attempt, end_attempt, drop_job, host_task,
    end_task, forget_task, decline_attempt, reconfirm>;

/** One entry of the shard's log: the records of a group commit. */
struct record_batch
{
    std::string unique_id; ///< Shows after a lost reply if it was committed.
    std::vector<record> records;
    auto operator==(record_batch const&) const -> bool = default;
};

/** Returns true if the commit of @p value may lead to a task start. */
auto allows_start(record const& value) -> bool;

} // namespace godwitcleat::state

#endif
