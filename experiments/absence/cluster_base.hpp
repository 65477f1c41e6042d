/** @file cluster_base.hpp The engines of all shards, without a network. */
#ifndef GODWITCLEAT_EXPERIMENTS_ABSENCE_CLUSTER_BASE_HPP
#define GODWITCLEAT_EXPERIMENTS_ABSENCE_CLUSTER_BASE_HPP

#include "state/state.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace godwitcleat::experiments
{

/**
 * Engines of all shards. Commits take no time, and requests between owners
 * are delivered within the tick; summaries are as old as a peer update.
 */
class engine_cluster
{
public:
    engine_cluster(
        std::uint32_t shards, state::engine_settings settings,
        std::function<void(core::timeline_event const&)> const& on_event,
        core::clock now);

    auto submit(state::job_spec spec) -> void;
    auto heartbeat(state::worker_report const& report)
        -> state::heartbeat_reply;

    /** Ticks all engines; @p updates renews the summaries first. */
    auto tick(state::config_pointer const& config, bool updates) -> void;

    /** Commits and delivers until nothing is left. */
    auto settle() -> void;

    /** Returns the number of jobs that wait for a placement. */
    [[nodiscard]] auto queued() const -> std::size_t;

private:
    using sent_reply =
        std::pair<state::shard_request, std::optional<state::shard_reply>>;

    auto deliver() -> bool;
    auto engine(core::shard_id id) -> state::shard_engine&;

    core::clock now_;
    std::vector<state::shard_summary> summaries_;
    std::vector<sent_reply> replies_; ///< Engines answer on destruction.
    std::vector<std::unique_ptr<state::shard_engine>> engines_;
};

} // namespace godwitcleat::experiments

#endif
