/** @file history_base.cpp History of a stand-in as lines of JSON. */
#include "standins/support/history_base.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <utility>

namespace godwitcleat::standins
{

namespace
{

auto microseconds_of(core::time_point time) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::microseconds>(
               time.time_since_epoch())
        .count();
}

// Callers may send any bytes; those that are no UTF-8 are replaced.
auto line_of(nlohmann::json const& value) -> std::string
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

auto to_json(worker_event const& event) -> std::string
{
    return line_of(
        {{"type", "task"},
         {"event", std::string{to_string(event.kind)}},
         {"job", event.key.job.value},
         {"attempt", event.key.attempt.value},
         {"worker", event.worker.value},
         {"progress", event.progress},
         {"cpu_milli", event.spec.need.cpu_milli},
         {"memory_mb", event.spec.need.memory_mb},
         {"accelerators", event.spec.need.accelerators},
         {"at_us", microseconds_of(event.at)}});
}

auto to_json(request_event const& event) -> std::string
{
    return line_of(
        {{"type", "request"},
         {"event", event.finished ? "finished" : "started"},
         {"runner", event.runner},
         {"worker", event.worker},
         {"request_id", event.request_id},
         {"method", event.method},
         {"target", event.target},
         {"at_us", microseconds_of(event.at)}});
}

auto to_json(worker_process_event const& event) -> std::string
{
    return line_of(
        {{"type", "worker"},
         {"event", event.killed ? "killed" : "started"},
         {"worker", event.worker},
         {"cpu_milli", event.capacity.cpu_milli},
         {"memory_mb", event.capacity.memory_mb},
         {"accelerators", event.capacity.accelerators},
         {"data_centre", event.data_centre},
         {"at_us", microseconds_of(event.at)}});
}

auto to_json(call_event const& event) -> std::string
{
    auto line = nlohmann::json{
        {"type", "call"},
        {"request_id", event.request_id},
        {"method", event.method},
        {"gateway", event.gateway},
        {"at_us", microseconds_of(event.at)}};
    switch (event.event)
    {
    case call_event::kind::invoked: line["event"] = "invoked"; break;
    case call_event::kind::answered:
        line["event"] = "answered";
        line["status"] = event.status;
        line["outcome"] = event.outcome;
        line["own"] = event.own;
        line["latency_us"] = event.latency.count();
        break;
    case call_event::kind::failed:
        line["event"] = "failed";
        line["reason"] = event.reason;
        line["message"] = event.message;
        line["latency_us"] = event.latency.count();
        break;
    }
    return line_of(line);
}

auto to_json(gateway_stop_event const& event) -> std::string
{
    return line_of(
        {{"type", "gateway"},
         {"event", event.completed ? "stopped" : "stopping"},
         {"gateway", event.gateway},
         {"at_us", microseconds_of(event.at)}});
}

auto to_json(drain_event const& event) -> std::string
{
    return line_of(
        {{"type", "data_centre"},
         {"event", event.drained ? "drained" : "undrained"},
         {"data_centre", event.data_centre},
         {"at_us", microseconds_of(event.at)}});
}

auto to_json(job_finish_event const& event) -> std::string
{
    return line_of(
        {{"type", "job"},
         {"event", "finished"},
         {"job", event.job},
         {"at_us", microseconds_of(event.at)}});
}

auto history::open(std::string const& path) -> std::optional<history>
{
    auto result = history{};
    result.file_.reset(std::fopen(path.c_str(), "ae"));
    if (!result.file_)
    {
        return core::fail(
            core::error_kind::invalid_input,
            fmt::format(
                "cannot open history file \"{}\": {}; choose another path",
                path, std::strerror(errno)));
    }
    return result;
}

auto history::write(std::string_view line) -> void
{
    if (!file_)
    {
        return;
    }
    auto const text = fmt::format("{}\n", line);
    auto const lock = std::scoped_lock{*mutex_};
    auto const written = std::fwrite(text.data(), 1, text.size(), file_.get());
    if (written != text.size() || std::fflush(file_.get()) != 0)
    {
        // A check of an incomplete history would prove nothing.
        fmt::print(stderr, "cannot write the history file\n");
        std::abort();
    }
}

} // namespace godwitcleat::standins
