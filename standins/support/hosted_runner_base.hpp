/** @file hosted_runner_base.hpp A worker of the hosting platform, over HTTP. */
#ifndef GODWITCLEAT_STANDINS_SUPPORT_HOSTED_RUNNER_BASE_HPP
#define GODWITCLEAT_STANDINS_SUPPORT_HOSTED_RUNNER_BASE_HPP

#include "standins/support/handler_gate_base.hpp"
#include "standins/support/memory_store_base.hpp"
#include "transport/transport.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace godwitcleat::standins
{

/** A start that a runner has carried out, for checks. */
struct runner_start
{
    std::string task; ///< JOB.OCCURRENCE.STEP.INDEX.
    std::uint64_t run = 0;
    std::string worker;
    core::time_point begun;
    core::time_point ended; ///< Set when the run is over.
    bool done = false;
};

/** Collects the starts of all runners. Thread-safe. */
class runner_history
{
public:
    /** Called with each start and each end as a line of JSON; may be empty. */
    std::function<void(std::string const&)> on_line;

    auto begin(runner_start start) -> std::size_t;
    auto end(std::size_t index, core::time_point at, bool done) -> void;
    [[nodiscard]] auto all() const -> std::vector<runner_start>;

private:
    mutable std::mutex mutex_;
    std::vector<runner_start> starts_;
};

/** How a runner behaves. */
struct hosted_runner_settings
{
    std::string id;
    std::string service = "svc";
    std::string data_centre = "dc-1";
    std::string rack = "r1-1";
    std::int64_t cpu_milli = 4000;
    std::int64_t memory_mb = 64'000;
    /** Of a task whose command does not say it; see hosted_runner. */
    std::int64_t run_ms = 150;
    double late_share = 0.0; ///< Of the starts that get no answer in time.
};

/**
 * Registers itself in the store, obeys fences and leases, keeps both lists and
 * holds answers. It starts whatever it is told, as a runner that does not
 * guard its capacity. The command "work N" runs for N ms, "fail" fails at once,
 * and "serve" runs until it is stopped. Thread-safe.
 */
class hosted_runner
{
public:
    hosted_runner(
        coordination::store& store, transport::reactor& loop,
        runner_history& history, hosted_runner_settings settings);

    /**
     * Closes all connections. Waits for handlers that run; must not be called
     * by one of them. @p store and @p history are not used afterwards.
     */
    ~hosted_runner();
    hosted_runner(hosted_runner const&) = delete;
    auto operator=(hosted_runner const&) -> hosted_runner& = delete;

    /** Listens and registers; std::nullopt with unavailable. */
    auto start() -> std::optional<bool>;

    std::atomic<bool> draining = false;
    std::atomic<bool> registers = true; ///< False: writes no more entries.

private:
    struct run
    {
        std::string task;
        std::uint64_t number = 0;
        core::time_point until;
        std::string outcome; ///< How it ends at `until`.
        std::size_t history = 0;
    };
    struct ended
    {
        std::uint64_t number = 0;
        std::string task;
        std::uint64_t run = 0;
        std::string how;
    };
    struct held
    {
        core::time_point until;
        std::uint64_t seen = 0; ///< Ends that were listed when it came.
        transport::http_reply reply;
    };

    auto
    handle(transport::http_request const& request, transport::http_reply reply)
        -> void;
    auto hold(std::string const& body, transport::http_reply reply) -> void;
    auto begin(std::string const& body, transport::http_reply const& reply)
        -> void;
    auto stop(std::string const& body, transport::http_reply const& reply)
        -> void;
    [[nodiscard]] auto
    make_run(std::string task, std::uint64_t number, std::string const& command)
        -> run;
    auto tick() -> void;
    auto beat() -> void;
    auto end(std::size_t index, std::string how) -> void;
    [[nodiscard]] auto clock_ms() const -> std::int64_t;
    [[nodiscard]] auto lists() const -> std::string;

    coordination::store& store_;
    transport::reactor& loop_;
    runner_history& history_;
    hosted_runner_settings settings_;
    core::clock clock_ = core::system_clock();
    core::time_point born_;
    std::int64_t born_ms_ = 0;
    handler_gate gate_; ///< Of all handlers of the server and the timers.
    std::optional<transport::http_server> server_;
    std::vector<transport::timer_handle> timers_;
    std::mutex mutex_;
    std::uint64_t token_ = 0;
    std::int64_t deadline_ms_ = 0;
    std::uint64_t next_end_ = 1;
    std::uint64_t beats_ = 0;
    std::uint64_t orders_ = 0;
    std::vector<run> running_;
    std::vector<ended> ended_;
    std::vector<held> held_;
};

} // namespace godwitcleat::standins

#endif
