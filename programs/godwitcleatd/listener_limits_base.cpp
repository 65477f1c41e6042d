/** @file listener_limits_base.cpp Limits of the daemon's listeners. */
#include "programs/godwitcleatd/listener_limits_base.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <sys/resource.h>
#include <unistd.h>
#include <utility>

namespace godwitcleat::daemon
{

namespace
{

constexpr auto mb = std::size_t{1024} * 1024;
// The rest of an instance's memory is for jobs, the platform's answers, buffers
// of connections and the allocator.
constexpr auto request_memory_divisor = std::size_t{4};
// One body of the largest legal size, its buffer, and the reserved part.
constexpr auto min_request_memory_mb = std::size_t{12};

// Parts of the descriptors of the process. Those that are left serve
// connections to the store, workers and peers: up to 4 to each of 350 workers
// where a process may open 4,100.
constexpr auto callers_divisor = std::size_t{2};
constexpr auto workers_divisor = std::size_t{4};
constexpr auto checks_divisor = std::size_t{32};
constexpr auto peers_divisor = std::size_t{16};
constexpr auto min_connections = std::size_t{8};
constexpr auto max_check_connections = std::size_t{64};

auto machine_memory_mb() -> std::size_t
{
    auto const pages = std::max<long>(::sysconf(_SC_PHYS_PAGES), 0);
    auto const page_bytes = std::max<long>(::sysconf(_SC_PAGESIZE), 0);
    return static_cast<std::size_t>(pages) *
           static_cast<std::size_t>(page_bytes) / mb;
}

auto max_descriptors() -> std::size_t
{
    constexpr auto fallback = std::size_t{1024};
    auto limit = rlimit{};
    return ::getrlimit(RLIMIT_NOFILE, &limit) == 0
               ? static_cast<std::size_t>(limit.rlim_cur)
               : fallback;
}

auto request_memory_mb(coordination::daemon_settings const& settings)
    -> std::size_t
{
    if (settings.request_memory_mb > 0)
    {
        return settings.request_memory_mb;
    }
    auto const memory =
        settings.memory_mb > 0 ? settings.memory_mb : machine_memory_mb();
    return std::max(memory / request_memory_divisor, min_request_memory_mb);
}

auto make_budget(
    coordination::daemon_settings const& settings, core::clock const& clock)
    -> std::shared_ptr<transport::memory_budget>
{
    auto limits = transport::memory_budget_limits{};
    limits.bytes = request_memory_mb(settings) * mb;
    return std::make_shared<transport::memory_budget>(limits, clock);
}

} // namespace

listener_limits::listener_limits(
    coordination::daemon_settings const& settings, core::clock clock,
    core::logger log, core::metrics& metrics)
    : settings_(settings)
    , clock_(std::move(clock))
    , log_(std::move(log))
    , metrics_(metrics)
    , descriptors_(max_descriptors())
    , budget_(make_budget(settings, clock_))
{
}

auto listener_limits::for_callers() -> transport::http_server_limits
{
    auto const by_descriptors = std::min(
        settings_.most_in_flight,
        std::max(descriptors_ / callers_divisor, min_connections));
    auto result = http_limits(
        settings_.connections > 0 ? settings_.connections : by_descriptors);
    result.connections_per_address = settings_.connections_per_address;
    return result;
}

auto listener_limits::for_workers() -> transport::http_server_limits
{
    return http_limits(std::min(
        transport::http_server_limits{}.connections,
        std::max(descriptors_ / workers_divisor, min_connections)));
}

auto listener_limits::for_checks() -> transport::http_server_limits
{
    return http_limits(std::clamp(
        descriptors_ / checks_divisor, min_connections, max_check_connections));
}

auto listener_limits::for_peers() -> transport::frame_limits
{
    auto result = transport::frame_limits{};
    result.connections = std::clamp(
        descriptors_ / peers_divisor, min_connections, result.connections);
    result.budget = budget_;
    result.on_limit = on_limit();
    return result;
}

auto listener_limits::http_limits(std::size_t connections)
    -> transport::http_server_limits
{
    auto result = transport::http_server_limits{};
    result.connections = connections;
    result.min_body_bytes_per_s = settings_.min_body_bytes_per_s;
    result.body_grace = settings_.body_grace;
    result.budget = budget_;
    result.on_limit = on_limit();
    return result;
}

auto listener_limits::on_limit() -> std::function<void(std::string_view)>
{
    return [this](std::string_view limit)
    {
        metrics_.count(
            fmt::format("listener_limits_total{{limit=\"{}\"}}", limit));
        {
            auto const lock = std::scoped_lock{mutex_};
            if (!lines_.allow(limit, clock_()))
            {
                return;
            }
        }
        log_.warn(
            "A limit has closed a connection or refused a request.",
            {{"limit", limit},
             {"request_bytes", budget_->used()},
             {"max_request_bytes", budget_->limits().bytes}});
    };
}

auto listener_limits::report_use() -> void
{
    metrics_.set("request_bytes", static_cast<double>(budget_->used()));
    metrics_.set(
        "max_request_bytes", static_cast<double>(budget_->limits().bytes));
}

} // namespace godwitcleat::daemon
