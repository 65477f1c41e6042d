/** @file dispatch_host_base.hpp Runs the dispatcher on the owning instance. */
#ifndef GODWITCLEAT_COORDINATION_DISPATCH_HOST_BASE_HPP
#define GODWITCLEAT_COORDINATION_DISPATCH_HOST_BASE_HPP

#include "coordination/store_type.hpp"
#include "coordination/term_base.hpp"
#include "coordination/worker_link_type.hpp"
#include "core/core.hpp"
#include "protocol/protocol.hpp"
#include "state/state.hpp"
#include "transport/transport.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace godwitcleat::coordination
{

/** Figures of a host. */
struct dispatch_host_settings
{
    state::dispatch_settings dispatch;
    term_settings term;
    std::string key_prefix = "godwitcleat/00/";
    /** Time between looks at what has become due. */
    core::duration pump_interval = std::chrono::milliseconds{20};
    core::duration tick_interval = std::chrono::milliseconds{100};
    core::duration count_interval = std::chrono::seconds{1};
    /** Pause before a read or write that the store refused is repeated. */
    core::duration store_retry = std::chrono::milliseconds{100};
    /** Submits are refused when the store has refused or not answered writes
     *  for this long. */
    core::duration refuse_after = std::chrono::milliseconds{400};
};

/** Parts that a host uses; all must outlive it. */
struct dispatch_host_parts
{
    store& target;
    transport::reactor& loop;
    core::clock clock;
    core::logger log;
    core::metrics& metrics;
    worker_link link;
    /** Called with true when this instance becomes the owner, else false. */
    std::function<void(bool owning)> on_owning;
    /** Returns until when starts may rely on what is known of the workers. */
    std::function<core::time_point()> starts_allowed_until;
};

/**
 * Owns the jobs while this instance has the term: loads them, runs the
 * dispatcher, sends its orders and stores its batches. Thread-safe.
 */
class dispatch_host
{
public:
    using reply = std::function<void(protocol::job_answer)>;

    dispatch_host(
        dispatch_host_parts parts, protocol::owner_record self,
        dispatch_host_settings settings);
    ~dispatch_host();
    dispatch_host(dispatch_host const&) = delete;
    auto operator=(dispatch_host const&) -> dispatch_host& = delete;

    auto start() -> void;

    /** Stops accepting and deciding, stores what is open, leaves the term. */
    auto leave(std::function<void()> on_done) -> void;

    /** Decides by other figures from now on. */
    auto set_settings(state::dispatch_settings settings) -> void;
    auto set_queues(state::queue_table_pointer queues) -> void;
    auto set_workers(std::vector<state::listed_worker> workers) -> void;
    auto set_drained(std::set<core::data_centre_id> data_centres) -> void;

    /**
     * Answers a call, or answers not_owner if this instance does not own the
     * jobs. The answer to a submit or cancel comes once it is stored.
     */
    auto call(protocol::job_call call, reply on_answer) -> void;

    /** Returns the waiting jobs by queue; empty on other instances. */
    [[nodiscard]] auto pending_by_queue() const
        -> std::map<state::queue_id, std::uint64_t>;

    /** Returns what customers have running and waiting; empty on other
     *  instances. */
    [[nodiscard]] auto customer_counts() const
        -> std::vector<state::customer_count>;

    /** Returns the owner that the store names, if any. */
    [[nodiscard]] auto owner() const -> std::optional<protocol::owner_record>;

    /** Returns the other instances that the store names, dead ones included. */
    [[nodiscard]] auto members() const -> std::vector<protocol::owner_record>;

    /** Returns true while this instance answers calls. */
    [[nodiscard]] auto is_active() const -> bool;

private:
    struct implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace godwitcleat::coordination

#endif
