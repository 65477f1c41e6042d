/** @file shard_host_internal.hpp An owned shard, private to the shard host. */
#ifndef GODWITCLEAT_COORDINATION_SHARD_HOST_INTERNAL_HPP
#define GODWITCLEAT_COORDINATION_SHARD_HOST_INTERNAL_HPP

#include "coordination/shard_host_base.hpp"

#include <fmt/format.h>

namespace godwitcleat::coordination
{

/** Sets the reason of calls for a shard that is not owned here. */
inline auto fail_not_owner(core::shard_id shard) -> void
{
    core::fail(
        core::error_kind::not_owner,
        fmt::format(
            "shard {} is not owned by this instance; retry, the request is "
            "forwarded once the owner is known",
            shard.value));
}

/** Calls each of @p calls. */
inline auto run_all(std::vector<std::function<void()>> const& calls) -> void
{
    for (auto const& it : calls)
    {
        it();
    }
}

/** One owned shard. The engine is absent until the state has been loaded. */
struct shard_host::shard_entry
{
    core::shard_id shard;
    core::epoch owner_epoch;
    mutable std::mutex mutex;
    std::optional<state::shard_engine> engine;
    state::report_reader reports; ///< Of this ownership only.
    held_replies held;
    bool released = false;
    bool former_owner_stopped = false;
    core::time_point last_batch;
    core::time_point loaded_at; ///< When the engine was made.
    bool writing = false;       ///< A batch or a snapshot is being written.
    protocol::endpoint_table table;
};

} // namespace godwitcleat::coordination

#endif
