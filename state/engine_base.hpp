/** @file engine_base.hpp The owner of one shard as a state machine without I/O.
 */
#ifndef GODWITCLEAT_STATE_ENGINE_BASE_HPP
#define GODWITCLEAT_STATE_ENGINE_BASE_HPP

#include "state/absence_func.hpp"
#include "state/config_type.hpp"
#include "state/interference_base.hpp"
#include "state/placement_func.hpp"
#include "state/shard_base.hpp"
#include "state/shard_message_type.hpp"
#include "state/worker_type.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace godwitcleat::state
{

/** Times and limits of an engine; see docs/design.md 5.4 and 5.5. */
struct engine_settings
{
    core::duration lease = std::chrono::seconds{12};
    double clock_rate_margin = 0.02; ///< Share added for clock rate drift.
    core::duration heartbeat_interval = std::chrono::milliseconds{500};
    core::duration start_validity = std::chrono::seconds{2};
    core::duration commit_to_start = std::chrono::seconds{2};
    core::duration reservation = std::chrono::seconds{3};
    core::duration message_retry = std::chrono::seconds{1};
    core::duration status_interval = std::chrono::seconds{5};
    /// Time between `leaving` and the planned stop of a service runner.
    core::duration leaving_grace = std::chrono::seconds{5};
    core::duration eviction_hold =
        std::chrono::seconds{10}; ///< Room is kept for urgent work.
    /// An urgent job asks another shard to evict after so long.
    core::duration urgent_room_wait = std::chrono::seconds{3};
    /// Offers to a shard that makes room are repeated after so long.
    core::duration room_retry = std::chrono::milliseconds{100};
    core::duration retention = std::chrono::minutes{60};
    core::duration exclusion_first = std::chrono::seconds{30};
    core::duration exclusion_most = std::chrono::minutes{10};
    std::uint32_t excluding_failures = 3; ///< In a row on one worker.
    std::uint32_t starts_per_tick = 64;
    std::uint32_t shard_count = 16;
    absence_settings absence;
    relief_limits relief;
    core::duration relief_patience =
        std::chrono::seconds{3}; ///< A slowdown above the limit lasts so long.
    std::int64_t throttle_percent = 30; ///< Of a throttled task.
};

/** Free room and use of one shard, as other shards see it. */
struct shard_summary
{
    core::shard_id shard;
    core::epoch owner_epoch;
    std::vector<core::resources> largest_free; ///< At most 8 workers.
    core::resources largest_capacity; ///< Per amount, over all its workers.
    std::map<core::team_id, core::resources> team_use; ///< By home jobs.
};

/** What the engine needs to know of the rest of the system. */
struct cluster_view
{
    config_pointer config;             ///< Never null.
    std::vector<shard_summary> others; ///< Of the other shards.
    bool former_owner_stopped = false; ///< It renews no lease any more.
};

/** A batch that waits for its commit. */
struct commit_batch
{
    record_batch batch;
    bool allows_start = false;   ///< Compare the configuration generation.
    core::generation generation; ///< Under which starts were decided.
};

/** Why a batch was not committed, for certain. */
enum class batch_rejection
{
    config_changed, ///< Starts are decided again, the rest is retried.
    not_owner       ///< The epoch has changed; the engine must be dropped.
};

/** An endpoint of a service runner. */
struct service_endpoint
{
    core::service_id service;
    core::backend_server_id backend_server; ///< JOB#ATTEMPT.
    std::string address;                    ///< ADDRESS:PORT.
    core::data_centre_id data_centre;
    bool leaving = false; ///< Gets no new requests.
    auto operator==(service_endpoint const&) const -> bool = default;
};

/** One worker as operators see it. */
struct worker_view
{
    worker_info info;
    core::shard_id shard;
    core::resources committed;
    std::uint32_t tasks = 0;
    std::string state; ///< `live`, `unheard`, `lapsed`, `drained`, `excluded`.
};

/** Test-only faults; each breaks one rule so that checkers can be proved. */
struct engine_faults
{
    bool ignore_lease_margin =
        false; ///< Treats a silent worker as lapsed at once.
    bool grant_stale_claims = false;  ///< Grants claims of old attempts.
    bool ignore_commitments = false;  ///< Places without looking at room.
    bool start_before_commit = false; ///< Sends starts of uncommitted tasks.
    bool ignore_drain = false;        ///< Starts in drained data centres.
    bool resume_without_end = false;  ///< New attempt at eviction request.
};

/** Hooks of an engine. Each may be empty. */
struct engine_hooks
{
    /// Default: interference_aware() with what the engine has learned.
    placement_policy place;
    relief_policy relieve; ///< Default: choose_relief().
    std::function<void(core::timeline_event)> on_event;
    std::function<std::string()> unique_id; ///< Default: core::unique_id.
};

/**
 * Decides for one shard: queue, placement, leases of workers, attempts,
 * evictions and the protocol with other shards. All inputs are calls with the
 * current time; all outputs are returned or queued. A change is answered only
 * after its batch was committed. Not thread-safe: the caller holds the shard's
 * lock. After batch_rejected(not_owner) only destruction is allowed.
 * Destruction answers all open calls, with unknown_outcome.
 */
class shard_engine
{
public:
    /** Called once: true after the commit, false with core::last_reason(). */
    using done = std::function<void(bool committed)>;
    /** Called once with the reply, or std::nullopt with last_reason(). */
    using answer = std::function<void(std::optional<shard_reply>)>;

    shard_engine(
        core::epoch owner_epoch, shard_state recovered,
        engine_settings settings, engine_hooks hooks, core::time_point now,
        engine_faults faults = {});
    ~shard_engine();
    shard_engine(shard_engine&&) noexcept;
    auto operator=(shard_engine&&) noexcept -> shard_engine&;

    /** Adds a job. Repeating the same spec succeeds, another one conflicts. */
    auto submit(job_spec spec, done on_done) -> void;

    /** Cancels a job; succeeds if it is final or cancelled already. */
    auto cancel(core::job_id const& id, std::string reason, done on_done)
        -> void;

    /** Handles a heartbeat of a worker of this shard. */
    auto heartbeat(worker_report const& report, core::time_point now)
        -> heartbeat_reply;

    /**
     * Answers the latest heartbeat of @p worker once more, with a lease from
     * @p now and the commands that are due now. The heartbeat is not counted
     * as a new one.
     * @return std::nullopt if that heartbeat is not number @p sequence of
     *         @p boot, or the worker's lease has lapsed since.
     */
    auto answer_again(
        core::worker_id const& worker, std::uint64_t boot,
        std::uint64_t sequence, core::time_point now)
        -> std::optional<heartbeat_reply>;

    /**
     * Returns the workers for which a command has become due since the last
     * call, perhaps with some that have none.
     */
    auto take_due_workers() -> std::set<core::worker_id>;

    /** Handles a request of another shard's owner. */
    auto
    handle(shard_request const& request, core::time_point now, answer on_answer)
        -> void;

    /** Handles the reply to a request from take_requests(). */
    auto replied(
        shard_request const& request, std::optional<shard_reply> const& reply,
        core::time_point now) -> void;

    /** Advances leases, retries, placement, evictions and retention. */
    auto tick(core::time_point now, cluster_view const& view) -> void;

    /** Returns requests to send to owners of other shards. */
    auto take_requests() -> std::vector<shard_request>;

    /**
     * Returns the waiting records as one batch, or std::nullopt if there are
     * none or a batch is in flight.
     */
    auto take_batch(core::time_point now) -> std::optional<commit_batch>;

    /** The batch in flight, sent at @p sent_at, is in the log: applies it. */
    auto batch_committed(core::time_point sent_at) -> void;

    /** The batch in flight is certainly not in the log. */
    auto batch_rejected(batch_rejection cause) -> void;

    [[nodiscard]] auto state() const -> shard_state const&;
    [[nodiscard]] auto jobs() const -> std::vector<job>;
    [[nodiscard]] auto workers(core::time_point now) const
        -> std::vector<worker_view>;
    [[nodiscard]] auto endpoints() const -> std::vector<service_endpoint>;

    /**
     * Returns true if each worker with service tasks has sent a heartbeat to
     * this engine. Before that, endpoints() lacks runners that may be serving.
     */
    [[nodiscard]] auto knows_all_endpoints() const -> bool;
    [[nodiscard]] auto summary(core::time_point now) const -> shard_summary;

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace godwitcleat::state

#endif
