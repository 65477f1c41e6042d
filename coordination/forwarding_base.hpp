/** @file forwarding_base.hpp Calls that any instance takes for any shard. */
#ifndef GODWITCLEAT_COORDINATION_FORWARDING_BASE_HPP
#define GODWITCLEAT_COORDINATION_FORWARDING_BASE_HPP

#include "coordination/peers_base.hpp"
#include "coordination/shard_host_base.hpp"
#include "core/core.hpp"
#include "protocol/protocol.hpp"
#include "state/state.hpp"

#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace godwitcleat::coordination
{

/** Sends jobs and queries to the owners of the shards concerned. */
class forwarding
{
public:
    using done = std::function<void(bool)>;

    /** @param shard_count number of shards of the system. */
    forwarding(
        shard_host& host, peer_set& peers, peer_call call,
        std::uint32_t shard_count, core::clock now);

    /**
     * Submits a job to its home shard, wherever that is owned. Repeated for a
     * few seconds while the shard has no owner that answers, which is safe
     * because submits and cancels are idempotent.
     */
    auto submit(state::job_spec spec, done on_done) -> void;

    /** Cancels a job in its home shard; repeated as submit() is. */
    auto cancel(core::job_id const& id, std::string reason, done on_done)
        -> void;

    /** Repeats changes that are due; call it each tick. */
    auto tick() -> void;

    /**
     * Collects jobs of all shards; those of silent owners are missing. For one
     * job, only its home shard's owner is asked; @p on_done gets std::nullopt
     * with core::last_reason() if that owner is not known or does not answer.
     */
    auto jobs(
        std::optional<core::job_id> const& wanted,
        std::function<void(std::optional<std::vector<state::job>>)> on_done)
        -> void;

    /** Collects workers of all shards; those of silent owners are missing. */
    auto workers(std::function<void(std::vector<state::worker_view>)> on_done)
        -> void;

    /** Sends a request of one shard's owner to another's. */
    auto send(
        state::shard_request request,
        std::function<void(std::optional<state::shard_reply>)> on_done) -> void;

private:
    /** One try of a change; it calls the handler exactly once. */
    using change = std::function<void(done)>;

    /** A change that waits for its next try. */
    struct waiting_change
    {
        core::time_point due;
        core::time_point deadline;
        change run;
        done on_done;
    };

    auto run_change(change const& run, core::time_point deadline, done on_done)
        -> void;
    auto submit_once(state::job_spec const& spec, done on_done) -> void;
    auto
    cancel_once(core::job_id const& id, std::string const& reason, done on_done)
        -> void;
    auto find_job(
        core::job_id const& id,
        std::function<void(std::optional<std::vector<state::job>>)> on_done)
        -> void;
    auto call_owner(
        core::shard_id shard, protocol::peer_request request,
        std::function<void(std::optional<protocol::peer_reply>)> on_done)
        -> void;

    template <class Item, class Pick>
    auto collect(
        std::vector<Item> own, protocol::peer_request const& request, Pick pick,
        std::function<void(std::vector<Item>)> on_done) -> void;

    shard_host& host_;
    peer_set& peers_;
    peer_call call_;
    std::uint32_t shard_count_;
    core::clock now_;
    std::mutex mutex_;
    std::vector<waiting_change> waiting_;
};

} // namespace godwitcleat::coordination

#endif
