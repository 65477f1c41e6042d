/** @file shard_cluster_internal.hpp Internals of the simulated cluster. */
#ifndef GODWITCLEAT_TESTS_SUPPORT_SHARD_CLUSTER_INTERNAL_HPP
#define GODWITCLEAT_TESTS_SUPPORT_SHARD_CLUSTER_INTERNAL_HPP

#include "standins/support/worker_base.hpp"
#include "tests/support/shard_cluster_base.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace godwitcleat::tests
{

constexpr auto tick_interval = std::chrono::milliseconds{50};
constexpr auto store_lease = std::chrono::seconds{6};
constexpr auto ownership_notice_delay =
    std::chrono::seconds{1}; // Until a previous owner learns of a new one.
constexpr auto failure_detection_delay =
    std::chrono::seconds{3}; // Until peers detect a crashed owner.
constexpr auto call_timeout = std::chrono::seconds{1};
constexpr auto fault_phase = std::chrono::seconds{40};
constexpr auto recovery_timeout = std::chrono::seconds{240};
constexpr auto max_config_lag_ms = 1500;
constexpr double max_clock_drift =
    0.009; // Leases allow for 2% between two clocks.

/** A process that owns a shard or has not yet noticed that it lost it. */
struct owner
{
    core::shard_id shard;
    core::epoch owner_epoch;
    std::unique_ptr<state::shard_engine> engine;
    state::report_reader reports;
    bool alive = true; ///< False: crashed or stepped down.
    core::time_point paused_until;
    core::time_point isolated_until;   ///< Without store and peers.
    core::time_point known_stopped_at; ///< When peers know that it stopped.
    std::vector<std::shared_ptr<owner>> previous_owners;
};

using owner_pointer = std::shared_ptr<owner>;

/** A shard in the store. */
struct shard_record
{
    std::vector<state::record_batch> log;
    core::epoch current_epoch;
    owner_pointer latest;
    bool taking_over = false;
};

/** A worker and its connection. */
struct worker_entry
{
    state::worker_info info;
    std::unique_ptr<standins::standin_worker> worker;
    state::report_writer writer;
    std::uint64_t boot = 0;
    core::time_point disconnected_until;
    double clock_rate = 1.0;
    std::map<state::attempt_key, task_event> running;
    std::set<state::attempt_key> checkpointed;
};

/** A generation of the configuration and when it was accepted. */
struct config_version
{
    core::time_point accepted;
    state::config_pointer document;
};

/** Discrete event simulation of a cluster with a simulated clock. */
class shard_cluster
{
public:
    explicit shard_cluster(cluster_options const& options);
    ~shard_cluster();
    shard_cluster(shard_cluster const&) = delete;
    auto operator=(shard_cluster const&) -> shard_cluster& = delete;
    auto run() -> cluster_result;

private:
    auto schedule_at(core::time_point when, std::function<void()> task) -> void;
    auto schedule_after(core::duration delay, std::function<void()> task)
        -> void;
    auto run_until(core::time_point end) -> void;
    auto random_ms(std::int64_t min, std::int64_t max) -> core::duration;
    auto chance(double share) -> bool;

    auto add_workers() -> void;
    auto boot_worker(std::size_t i) -> void;
    auto record_worker_event(std::size_t i, standins::worker_event const& event)
        -> void;
    auto kill_worker(std::size_t i) -> void;
    auto worker_time(worker_entry const& entry) const -> core::time_point;
    static auto true_time(worker_entry const& entry, core::time_point at)
        -> core::time_point;
    auto send_heartbeat(std::size_t i) -> void;
    auto advance_worker(std::size_t i) -> void;
    auto deliver_heartbeat(
        std::size_t i, owner_pointer const& to,
        state::partial_report const& report,
        std::vector<state::task_report> const& tasks) -> void;
    auto answer_held_heartbeat(
        std::size_t i, owner_pointer const& to,
        state::partial_report const& report) -> void;
    auto send_reply(
        std::size_t i, std::uint64_t sequence,
        state::heartbeat_reply const& reply) -> void;
    auto check_rebuilt_report(
        state::partial_report const& report,
        state::worker_report const& rebuilt,
        std::vector<state::task_report> const& tasks) -> void;
    auto choose_owner(core::shard_id shard) -> owner_pointer;

    auto take_over(std::size_t shard) -> void;
    auto schedule_take_over(std::size_t shard, core::time_point when) -> void;
    auto stop_owner(owner_pointer const& it) -> void;
    auto run_owner(owner_pointer const& it) -> void;
    auto tick_owner(owner_pointer const& it) -> void;
    auto run_when_resumed(owner_pointer const& it, std::function<void()> task)
        -> void;
    auto append(owner_pointer const& it, state::commit_batch batch) -> void;
    auto commit(
        owner_pointer const& it, state::commit_batch const& batch,
        core::time_point sent) -> void;
    auto send(owner_pointer const& from, state::shard_request request) -> void;
    auto view_of(owner_pointer const& it) -> state::cluster_view;
    auto lagging_config() -> state::config_pointer;

    auto submit_jobs() -> void;
    auto submit(state::job_spec spec) -> void;
    auto inject(fault const& value) -> void;
    auto
    change_config(std::function<void(state::config_document&)> const& change)
        -> void;
    auto drain(core::data_centre_id const& data_centre, core::duration length)
        -> void;
    auto open_jobs() const -> std::vector<std::string>;
    auto job_state(core::job_id const& id) const -> state::job const*;
    auto record_finished(std::size_t shard) -> void;

    cluster_options options_;
    std::mt19937_64 random_;
    core::time_point now_{std::chrono::seconds{1}};
    std::multimap<core::time_point, std::function<void()>> queue_;
    std::vector<shard_record> shards_;
    std::vector<owner_pointer> owners_; ///< All current and previous owners.
    std::vector<worker_entry> workers_;
    std::vector<config_version> configs_;
    std::vector<state::job_spec> submitted_;
    core::time_point store_down_until_;
    core::time_point replies_delayed_until_;
    std::uint64_t next_batch_ = 1;
    std::map<core::shard_id, state::shard_state> replayed_;
    cluster_result result_;
};

} // namespace godwitcleat::tests

#endif
