/** @file history_base.hpp History of a stand-in as lines of JSON. */
#ifndef GODWITCLEAT_STANDINS_SUPPORT_HISTORY_BASE_HPP
#define GODWITCLEAT_STANDINS_SUPPORT_HISTORY_BASE_HPP

#include "core/core.hpp"
#include "standins/support/worker_base.hpp"

#include <chrono>
#include <cstdio>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace godwitcleat::standins
{

/** Begin or end of a request in a runner. */
struct request_event
{
    bool finished = false; ///< False: the request begins to run.
    std::string runner;    ///< ADDRESS:PORT of the runner.
    std::string worker;
    std::string request_id;
    std::string method;
    std::string target;
    core::time_point at;
};

/** Start or end of a worker process. */
struct worker_process_event
{
    bool killed = false; ///< False: the process starts.
    std::string worker;
    core::resources capacity; ///< Set if the process starts.
    std::string data_centre;  ///< Set if the process starts.
    core::time_point at;
};

/** A caller sends a request or learns its outcome. */
struct call_event
{
    enum class kind
    {
        invoked,
        answered,
        failed ///< No answer came.
    };

    kind event = kind::invoked;
    std::string request_id;
    std::string method;
    std::string gateway;                 ///< ADDRESS:PORT.
    int status = 0;                      ///< If answered.
    std::string outcome;                 ///< Header X-Outcome, if answered.
    bool own = false;                    ///< Holds the request's id and body.
    std::string reason;                  ///< Kind of the error, if failed.
    std::string message;                 ///< Error message, if failed.
    std::chrono::microseconds latency{}; ///< If answered or failed.
    core::time_point at;
};

/** An operator begins or completes a planned stop of a gateway. */
struct gateway_stop_event
{
    bool completed = false;
    std::string gateway; ///< ADDRESS:PORT.
    core::time_point at;
};

/** An operator was told that a data centre is out, or brings it back. */
struct drain_event
{
    bool drained = false; ///< False: the data centre comes back.
    std::string data_centre;
    core::time_point at;
};

/** An operator was told that a job has finished, so that is stored. */
struct job_finish_event
{
    std::string job;
    core::time_point at;
};

/**
 * Returns the line of an event, without the line end. `at_us` is monotonic
 * time in microseconds, which processes of one instance can compare.
 */
auto to_json(worker_event const& event) -> std::string;
auto to_json(request_event const& event) -> std::string;
auto to_json(worker_process_event const& event) -> std::string;
auto to_json(call_event const& event) -> std::string;
auto to_json(gateway_stop_event const& event) -> std::string;
auto to_json(drain_event const& event) -> std::string;
auto to_json(job_finish_event const& event) -> std::string;

/**
 * Appends lines to a file and flushes each, so that the lines survive the end
 * of the process. Thread-safe.
 */
class history
{
public:
    /** A history that drops all lines. */
    history() = default;

    /** Opens @p path for appending; std::nullopt with invalid_input. */
    static auto open(std::string const& path) -> std::optional<history>;

    /** Appends @p line; a failed write ends the process. */
    auto write(std::string_view line) -> void;

private:
    struct file_closer
    {
        auto operator()(std::FILE* file) const -> void
        {
            std::fclose(file);
        }
    };

    std::unique_ptr<std::mutex> mutex_ = std::make_unique<std::mutex>();
    std::unique_ptr<std::FILE, file_closer> file_;
};

} // namespace godwitcleat::standins

#endif
