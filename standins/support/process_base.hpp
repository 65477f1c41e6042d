/** @file process_base.hpp Connects a simulated worker to the daemons. */
#ifndef GODWITCLEAT_STANDINS_SUPPORT_PROCESS_BASE_HPP
#define GODWITCLEAT_STANDINS_SUPPORT_PROCESS_BASE_HPP

#include "standins/support/history_base.hpp"
#include "standins/support/runner_base.hpp"
#include "standins/support/worker_base.hpp"
#include "transport/transport.hpp"

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace godwitcleat::standins
{

/** Settings of the process. */
struct process_settings
{
    worker_settings worker;
    std::vector<transport::endpoint> daemons; ///< Control ports, at least 1.
    std::string address = "127.0.0.1";        ///< Runners listen here.
};

/**
 * Sends heartbeats to a daemon and follows it to the owner of the rack's shard;
 * opens a runner for each service task. While a reply is held open, a change of
 * a task is reported by one more heartbeat. Thread-safe.
 */
class worker_process
{
public:
    /** The reactor must be stopped before this object is destroyed. */
    worker_process(
        transport::reactor& loop, process_settings settings, core::clock clock,
        core::logger log, history& record);

    /** Begins to send heartbeats. */
    auto start() -> void;

private:
    auto tick() -> void;
    [[nodiscard]] auto may_send(core::time_point now) const -> bool;
    auto send(core::time_point now) -> void;
    auto on_result(std::uint64_t sequence, transport::http_result result)
        -> void;
    auto on_response(
        std::uint64_t sequence, transport::http_response const& response)
        -> void;
    auto on_reply(std::uint64_t sequence, std::string_view body) -> void;
    auto send_complete() -> void;
    auto follow(std::string_view body) -> void;
    auto try_next(std::string_view reason) -> void;
    auto handle_events() -> void;
    auto open_runner(worker_event const& event) -> void;

    transport::reactor& loop_;
    process_settings settings_;
    core::clock clock_;
    core::logger log_;
    history& record_;
    transport::http_client client_;
    std::mutex mutex_;                 ///< Guards the following members.
    std::vector<worker_event> events_; ///< Not handled yet.
    standin_worker worker_;
    state::report_writer writer_;
    std::map<state::attempt_key, runner> runners_;
    std::size_t next_daemon_ = 0;
    transport::endpoint target_;
    int redirects_ = 0;          ///< In a row.
    int refusals_ = 0;           ///< Reports without a base held, in a row.
    std::size_t in_flight_ = 0;  ///< Heartbeats without a result.
    std::uint64_t latest_ = 0;   ///< Number of the latest heartbeat.
    std::uint64_t reported_ = 0; ///< Changes in the latest heartbeat.
    core::time_point sent_at_;   ///< When the latest heartbeat was sent.
    core::time_point next_send_;
    transport::timer_handle timer_;
};

} // namespace godwitcleat::standins

#endif
