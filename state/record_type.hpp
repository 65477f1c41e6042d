/** @file record_type.hpp Log records: the commands that change a shard. */
#ifndef GODWITCLEAT_STATE_RECORD_TYPE_HPP
#define GODWITCLEAT_STATE_RECORD_TYPE_HPP

#include "state/job_type.hpp"

#include <string>
#include <variant>
#include <vector>

namespace godwitcleat::state
{

/** Home: adds a queued job. */
struct submit_job
{
    job_spec spec;
    auto operator==(submit_job const&) const -> bool = default;
};

/** Home: no further attempts; final at once if none is bound. */
struct cancel_job
{
    core::job_id job;
    std::string reason;
    auto operator==(cancel_job const&) const -> bool = default;
};

/** Home: binds the next attempt to a worker; decides that it may start. */
struct bind_attempt
{
    core::job_id job;
    attempt_binding binding;
    auto operator==(bind_attempt const&) const -> bool = default;
};

/** Home: the bound attempt is over. */
struct end_attempt
{
    core::job_id job;
    core::attempt_number attempt;
    attempt_outcome outcome = attempt_outcome::lost;
    std::string checkpoint;    ///< Latest checkpoint; empty: none new.
    std::int64_t progress = 0; ///< Work units done at the checkpoint.
    std::string reason;
    auto operator==(end_attempt const&) const -> bool = default;
};

/** Home: removes a job in a final phase after the retention time. */
struct drop_job
{
    core::job_id job;
    auto operator==(drop_job const&) const -> bool = default;
};

/** Host: commits resources of a worker to a task and allows its start. */
struct host_task
{
    hosted_task task;
    auto operator==(host_task const&) const -> bool = default;
};

/** Host: the task is over; its resources are free. */
struct end_task
{
    attempt_key key;
    attempt_outcome outcome = attempt_outcome::lost;
    std::string checkpoint;
    std::int64_t progress = 0;
    auto operator==(end_task const&) const -> bool = default;
};

/** Host: the home shard has stored the outcome; removes the task. */
struct forget_task
{
    attempt_key key;
    auto operator==(forget_task const&) const -> bool = default;
};

/** Host: refuses an attempt that it does not know, now and later. */
struct decline_attempt
{
    attempt_key key;
    auto operator==(decline_attempt const&) const -> bool = default;
};

/** Proves current ownership and configuration; changes nothing. */
struct reconfirm
{
    auto operator==(reconfirm const&) const -> bool = default;
};

using record = std::variant<
    submit_job, cancel_job, bind_attempt, end_attempt, drop_job, host_task,
    end_task, forget_task, decline_attempt, reconfirm>;

/** One entry of the shard's log: the records of one group commit. */
struct record_batch
{
    std::string unique_id; ///< Settles whether a lost reply was a commit.
    std::vector<record> records;
    auto operator==(record_batch const&) const -> bool = default;
};

/** Returns true if @p value lets a task start. */
auto allows_start(record const& value) -> bool;

} // namespace godwitcleat::state

#endif
