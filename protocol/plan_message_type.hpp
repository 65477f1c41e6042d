/** @file plan_message_type.hpp Calls about jobs of steps between instances. */
#ifndef GODWITCLEAT_PROTOCOL_PLAN_MESSAGE_TYPE_HPP
#define GODWITCLEAT_PROTOCOL_PLAN_MESSAGE_TYPE_HPP

#include "core/core.hpp"
#include "state/state.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace godwitcleat::protocol
{

/** What a caller wants of a job or queue. */
enum class job_call_kind
{
    submit, ///< Accept `plan`.
    cancel, ///< Cancel `job`.
    phase,  ///< Tell the phase of `job`.
    count,  ///< Tell how many jobs of `queue` wait for their first start.
    config  ///< Return a configuration above `config_version`.
};

/** A call that the owner of the jobs answers. */
struct job_call
{
    job_call_kind kind = job_call_kind::phase;
    state::queue_id queue;
    core::job_id job;
    std::optional<state::job_plan> plan; ///< Of a submit.
    bool relayed = false; ///< Sent by an instance that is not its origin.
    state::customer_id customer;      ///< By its key; empty: it had none.
    std::uint64_t config_version = 0; ///< Of a config call: known by it.
    /** Only the owner of this term may take the call; 0: any owner. */
    core::epoch term;
};

/** The owner's answer. */
struct job_answer
{
    core::error_kind error = core::error_kind::none;
    std::string message; ///< Set with an error; names the remedy.
    state::plan_phase phase = state::plan_phase::queued;
    std::uint64_t waiting = 0;
    std::int64_t retry_after_s = 0;   ///< When to submit again; 0: not known.
    std::uint64_t config_version = 0; ///< Of `config`; 0: none is newer.
    std::string config;               ///< The document as the store holds it.
    core::epoch term; ///< Of the owner that answers; 0: it is none.
};

/** The owner of the jobs, as the store names it. */
struct owner_record
{
    core::instance_id instance;
    std::string boot_id; ///< Changes with each start of the process.
    std::string address; ///< ADDRESS:PORT of its peer port.
    core::epoch term;
    std::uint32_t cpu_milli = 0; ///< Its processors; 0: not told.

    auto operator==(owner_record const&) const -> bool = default;
};

} // namespace godwitcleat::protocol

#endif
