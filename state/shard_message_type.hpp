/** @file shard_message_type.hpp Messages between shard owners. */
#ifndef GODWITCLEAT_STATE_SHARD_MESSAGE_TYPE_HPP
#define GODWITCLEAT_STATE_SHARD_MESSAGE_TYPE_HPP

#include "state/job_type.hpp"

#include <optional>
#include <string>
#include <variant>

namespace godwitcleat::state
{

/** Home to host: offers the attempt to one of the host's workers. */
struct offer_request
{
    core::shard_id home;
    core::shard_id host;
    attempt_key key;
    job_spec spec;
    std::string checkpoint;
    std::int64_t progress = 0;
};

/** Host to home: the worker reserved for the attempt, or none. */
struct offer_reply
{
    std::optional<core::worker_id> worker;
    std::string reason;            ///< Why the offer was refused.
    bool eviction_started = false; ///< The host evicts tasks for the job.
};

/** Host to home: asks for permission to start the attempt. */
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

/** Host to home: the attempt has ended. Repeated until acknowledged. */
struct attempt_ended_request
{
    core::shard_id home;
    core::shard_id host;
    attempt_key key;
    attempt_outcome outcome = attempt_outcome::lost;
    std::string checkpoint;
    std::int64_t progress = 0;
};

/** Home to host: whether the outcome is stored. */
struct attempt_ended_reply
{
    bool stored = false;
};

/** Home to host: queries an attempt without news, or stops it. */
struct status_request
{
    core::shard_id home;
    core::shard_id host;
    attempt_key key;
    bool stop = false;       ///< The host must stop the task.
    bool checkpoint = false; ///< With stop: checkpoint it first.
};

/** Host to home: the state of the attempt. */
struct status_reply
{
    bool known = false;   ///< False: it never ran and never will.
    bool running = false; ///< The worker reported it as running.
};

using shard_request = std::variant<
    offer_request, claim_request, attempt_ended_request, status_request>;
using shard_reply =
    std::variant<offer_reply, claim_reply, attempt_ended_reply, status_reply>;

/** Returns the shard that @p request is addressed to. */
auto destination(shard_request const& request) -> core::shard_id;

} // namespace godwitcleat::state

#endif
