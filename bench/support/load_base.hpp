/** @file load_base.hpp Sample data of a chosen size for measurements. */
#ifndef GODWITCLEAT_BENCH_SUPPORT_LOAD_BASE_HPP
#define GODWITCLEAT_BENCH_SUPPORT_LOAD_BASE_HPP

#include "protocol/protocol.hpp"
#include "state/state.hpp"

#include <cstddef>
#include <vector>

namespace godwitcleat::bench
{

/** Size of one shard. */
struct shard_size
{
    std::size_t workers = 0;
    std::size_t running = 0; ///< Tasks, dealt to the workers in turn.
    std::size_t queued = 0;  ///< Jobs that wait.
    bool fits = false;       ///< Whether waiting jobs find room.
};

/** Returns the job of number @p index. */
auto sample_spec(std::size_t index) -> state::job_spec;

/** Returns worker @p index: 64 cores, 250 GB and two accelerators. */
auto sample_worker(std::size_t index) -> state::worker_info;

/** Returns a heartbeat of worker @p index with @p tasks running tasks. */
auto sample_report(std::size_t index, std::size_t tasks)
    -> state::worker_report;

/** Returns the durable state of a shard of this size. */
auto sample_data(shard_size const& size) -> state::shard_data;

/** Returns one batch with @p starts starts: bind_attempt and host_task. */
auto sample_starts(std::size_t starts) -> state::record_batch;

/** Returns the table of one shard with @p endpoints service runners. */
auto sample_table(std::size_t shard, std::size_t endpoints)
    -> protocol::endpoint_table;

/**
 * Returns the update of one of @p instances daemons that share 16 shards and
 * 64 teams, with requests in flight to @p backends backend servers.
 */
auto sample_update(std::size_t instances, std::size_t backends)
    -> protocol::peer_update;

/** Returns a view with 64 teams that have quotas and no other shards. */
auto sample_view() -> state::cluster_view;

/** What a heartbeat after the first one states. */
enum class report_content
{
    nothing,     ///< No change.
    one_task,    ///< A new phase of one task.
    measurements ///< Other measurements of all tasks.
};

/** An answered heartbeat with all tasks, and the next one of the worker. */
struct report_pair
{
    state::report_writer writer; ///< Has written the first one.
    state::worker_report full;   ///< The next one in full.
    state::partial_report first;
    state::partial_report next;
    core::time_point next_at;
};

/** Returns the heartbeats of a worker with @p tasks tasks. */
auto sample_pair(std::size_t tasks, report_content content) -> report_pair;

/** A shard engine whose workers have all sent one heartbeat. */
class loaded_engine
{
public:
    explicit loaded_engine(shard_size const& size);

    /** Runs one tick at the same time as before. */
    auto tick() -> void;

    /** Drops the starts that the last tick decided, so that the next tick
     *  decides them again. Returns the number of dropped records. */
    auto drop_starts() -> std::size_t;

    [[nodiscard]] auto engine() -> state::shard_engine&
    {
        return engine_;
    }
    [[nodiscard]] auto now() const -> core::time_point
    {
        return now_;
    }

private:
    core::time_point now_;
    state::cluster_view view_;
    state::shard_engine engine_;
};

} // namespace godwitcleat::bench

#endif
