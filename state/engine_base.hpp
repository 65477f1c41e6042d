/** @file engine_base.hpp Shard engine: the owner of one shard, without I/O. */
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

/** Intervals and limits of an engine; see docs/design.md 5.4 and 5.5. */
struct engine_settings
{
    core::duration lease = std::chrono::seconds{12};
    /// Fraction by which waits are lengthened to allow for clock rate drift.
    double clock_rate_margin = 0.02;
    core::duration heartbeat_interval = std::chrono::milliseconds{500};
    /// A worker refuses a start that arrives later than this after it sent the
    /// heartbeat that the start answers.
    core::duration start_validity = std::chrono::seconds{2};
    /// A start is sent at most this long after the commit that allows it.
    core::duration max_commit_to_start = std::chrono::seconds{2};
    /// Lifetime of an offer, and of a reservation until its claim is granted.
    core::duration reservation_validity = std::chrono::seconds{3};
    /// Interval at which unanswered messages to other shards are repeated.
    core::duration message_retry = std::chrono::seconds{1};
    /// An attempt on another shard is polled after this long without news.
    core::duration status_interval = std::chrono::seconds{5};
    /// Time between marking a service endpoint as `leaving` and stopping its
    /// runner.
    core::duration leaving_grace = std::chrono::seconds{5};
    /// How long the capacity freed by evictions is held for the job.
    core::duration eviction_hold = std::chrono::seconds{10};
    /// An urgent job whose host evicts for it waits this long before another
    /// shard is asked to evict.
    core::duration urgent_eviction_wait = std::chrono::seconds{3};
    /// Interval of offers to a shard that is evicting for the job.
    core::duration eviction_offer_retry = std::chrono::milliseconds{100};
    /// Final jobs are dropped after this long.
    core::duration retention = std::chrono::minutes{60};
    /// Length of a failing worker's first exclusion; it doubles each time.
    core::duration initial_exclusion = std::chrono::seconds{30};
    core::duration max_exclusion = std::chrono::minutes{10};
    /// Consecutive failures that exclude a worker.
    std::uint32_t failures_before_exclusion = 3;
    /// Limit of placements and offers in one tick.
    std::uint32_t starts_per_tick = 64;
    std::uint32_t shard_count = 16;
    drain_settings drain;
    mitigation_limits mitigation; ///< Limits for interference.
    /// A slowdown must exceed the limit for this long before the engine acts.
    core::duration mitigation_delay = std::chrono::seconds{3};
    std::int64_t throttle_percent = 30; ///< CPU share of a throttled task.
};

/** Free capacity and usage of one shard, published to the other shards. */
struct shard_summary
{
    core::shard_id shard;
    core::epoch owner_epoch;
    std::vector<core::resources> largest_free; ///< Of at most 8 workers.
    core::resources largest_capacity;          ///< Maximum of each resource.
    std::map<core::team_id, core::resources> team_use; ///< Of its home jobs.
};

/** Cluster state that the engine uses as input. */
struct cluster_view
{
    config_pointer config;             ///< Never null.
    std::vector<shard_summary> others; ///< Summaries of the other shards.
    bool former_owner_stopped = false; ///< It no longer renews worker leases.
};

/** A batch to be committed to the shard's log. */
struct commit_batch
{
    record_batch batch;
    bool allows_start = false;   ///< Commit only if `generation` is current.
    core::generation generation; ///< Configuration that its starts assume.
};

/** Why a batch was definitely not committed. */
enum class batch_rejection
{
    config_changed, ///< Starts are decided again; other records are retried.
    not_owner       ///< The epoch has changed; the engine must be destroyed.
};

/** An endpoint of a service runner. */
struct service_endpoint
{
    core::service_id service;
    core::backend_server_id backend_server; ///< JOB#ATTEMPT.
    std::string address;                    ///< ADDRESS:PORT.
    core::data_centre_id data_centre;
    bool leaving = false; ///< Must get no new requests.
    auto operator==(service_endpoint const&) const -> bool = default;
};

/** Status of one worker for operators. */
struct worker_view
{
    worker_info info;
    core::shard_id shard;
    core::resources committed;
    std::uint32_t tasks = 0;
    std::string state; ///< `live`, `unheard`, `lapsed`, `drained`, `excluded`.
};

/** Faults for tests. Each breaks one rule, so that tests can verify that their
 * invariant checks detect it. */
struct engine_faults
{
    /// Treats a worker as lapsed after two heartbeat intervals of silence.
    bool ignore_lease_margin = false;
    bool grant_stale_claims = false;  ///< Grants claims of superseded attempts.
    bool ignore_commitments = false;  ///< Ignores used capacity.
    bool start_before_commit = false; ///< Starts uncommitted tasks.
    bool ignore_drain = false;        ///< Starts tasks on drained workers.
    /// Issues the next attempt when an eviction is requested, before the
    /// evicted attempt has ended.
    bool resume_without_end = false;
};

/** Policies and callbacks of an engine. Each may be empty. */
struct engine_hooks
{
    /// Default: interference_aware() with the engine's interference model.
    placement_policy place;
    mitigation_policy mitigate; ///< Default: choose_mitigation().
    std::function<void(core::timeline_event)> on_event;
    std::function<std::string()> unique_id; ///< Default: core::unique_id.
};

/**
 * Makes the decisions of one shard: job queue, placement, worker leases,
 * attempts, evictions and the protocol with other shards. It performs no I/O:
 * inputs are function calls with the current time, outputs are returned or
 * queued. A change is acknowledged only after its batch was committed. Not
 * thread-safe: the caller holds the shard's lock. After
 * batch_rejected(not_owner), the engine may only be destroyed. The destructor
 * fails all open calls with unknown_outcome.
 */
class shard_engine
{
public:
    /** Called once: true after the commit, or false with last_reason(). */
    using commit_callback = std::function<void(bool committed)>;
    /** Called once with the reply, or std::nullopt with last_reason(). */
    using reply_callback = std::function<void(std::optional<shard_reply>)>;

    shard_engine(
        core::epoch owner_epoch, shard_state recovered,
        engine_settings settings, engine_hooks hooks, core::time_point now,
        engine_faults faults = {});
    ~shard_engine();
    shard_engine(shard_engine&&) noexcept;
    auto operator=(shard_engine&&) noexcept -> shard_engine&;

    /**
     * Adds a job. Repeating the call with the same specification succeeds; a
     * different specification for the same id fails with conflict.
     */
    auto submit(job_spec spec, commit_callback on_done) -> void;

    /** Cancels a job; succeeds if it is already final or cancelled. */
    auto
    cancel(core::job_id const& id, std::string reason, commit_callback on_done)
        -> void;

    /** Handles a heartbeat of a worker of this shard. */
    auto heartbeat(worker_report const& report, core::time_point now)
        -> heartbeat_reply;

    /**
     * Returns a new reply to the latest heartbeat of @p worker, with a lease
     * that starts at @p now and the commands that are due now. The heartbeat
     * does not count as a new one.
     * @return std::nullopt with conflict if the latest heartbeat is not number
     *         @p sequence of @p boot, or the worker's lease has lapsed since.
     */
    auto refresh_reply(
        core::worker_id const& worker, std::uint64_t boot,
        std::uint64_t sequence, core::time_point now)
        -> std::optional<heartbeat_reply>;

    /**
     * Returns the workers for which a command may have become due since the
     * last call.
     */
    auto take_due_workers() -> std::set<core::worker_id>;

    /** Handles a request from the owner of another shard. */
    auto handle(
        shard_request const& request, core::time_point now,
        reply_callback on_reply) -> void;

    /**
     * Handles the reply to a request from take_requests(); std::nullopt if
     * there was none.
     */
    auto handle_reply(
        shard_request const& request, std::optional<shard_reply> const& reply,
        core::time_point now) -> void;

    /** Expires leases, repeats messages, places jobs and drops old ones. */
    auto tick(core::time_point now, cluster_view const& view) -> void;

    /** Returns and clears the requests to send to other shards' owners. */
    auto take_requests() -> std::vector<shard_request>;

    /**
     * Returns the queued records as one batch, or std::nullopt if there are
     * none or a batch is already in flight.
     */
    auto take_batch(core::time_point now) -> std::optional<commit_batch>;

    /** Applies the batch in flight, which was sent at @p sent_at and is now in
     * the log. */
    auto batch_committed(core::time_point sent_at) -> void;

    /** Handles the definite rejection of the batch in flight. */
    auto batch_rejected(batch_rejection cause) -> void;

    [[nodiscard]] auto state() const -> shard_state const&;
    [[nodiscard]] auto jobs() const -> std::vector<job>;
    [[nodiscard]] auto workers(core::time_point now) const
        -> std::vector<worker_view>;
    [[nodiscard]] auto endpoints() const -> std::vector<service_endpoint>;

    /**
     * Returns true if every worker with service tasks has sent a heartbeat to
     * this engine. Until then, endpoints() may lack running service runners.
     */
    [[nodiscard]] auto knows_all_endpoints() const -> bool;
    [[nodiscard]] auto summary(core::time_point now) const -> shard_summary;

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace godwitcleat::state

#endif
