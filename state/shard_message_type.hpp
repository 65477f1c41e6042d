/** @file shard_message_type.hpp Messages between owners of shards. */
#ifndef GODWITCLEAT_STATE_SHARD_MESSAGE_TYPE_HPP
#define GODWITCLEAT_STATE_SHARD_MESSAGE_TYPE_HPP

#include "state/job_type.hpp"

#include <optional>
#include <string>
#include <variant>

namespace godwitcleat::state
{

/** Home to host: asks whether the host can run the attempt. */
struct offer_request
{
    core::shard_id home;
    core::shard_id host;
    attempt_key key;
    job_spec spec;
    std::string checkpoint;
    std::int64_t progress = 0;
};

/** Host to home: the reserved worker, or none. */
struct offer_reply
{
    std::optional<core::worker_id> worker;
    std::string reason;      ///< Why it was refused.
    bool makes_room = false; ///< Evictions make room for the job.
};

/** Host to home: asks for the right to start the attempt. */
struct claim_request
{
    core::shard_id home;
    core::shard_id host;
    attempt_key key;
    core::worker_id worker;
};

/** Home to host: whether the attempt is bound to the host's worker. */
struct claim_reply
{
    bool granted = false;
};

/** Host to home: the attempt is over. Repeated until acknowledged. */
struct over_request
{
    core::shard_id home;
    core::shard_id host;
    attempt_key key;
    attempt_outcome outcome = attempt_outcome::lost;
    std::string checkpoint;
    std::int64_t progress = 0;
};

/** Home to host: the outcome is stored. */
struct over_reply
{
    bool stored = false;
};

/** Home to host: asks for the state of a silent attempt, or stops it. */
struct status_request
{
    core::shard_id home;
    core::shard_id host;
    attempt_key key;
    bool stop = false;       ///< Ask the host to stop the task.
    bool checkpoint = false; ///< With stop: write a checkpoint first.
};

/** Host to home. */
struct status_reply
{
    bool known = false;   ///< False: declined for good, it never ran.
    bool running = false; ///< The worker has reported it as running.
};

using shard_request =
    std::variant<offer_request, claim_request, over_request, status_request>;
using shard_reply =
    std::variant<offer_reply, claim_reply, over_reply, status_reply>;

/** Returns the shard that @p request is addressed to. */
auto destination(shard_request const& request) -> core::shard_id;

} // namespace godwitcleat::state

#endif
