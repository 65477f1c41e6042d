/** @file error_func.cpp Per-thread storage of the last failure. */
#include "core/error_type.hpp"

#include <utility>

namespace godwitcleat::core
{

namespace
{

auto slot() -> failure&
{
    thread_local failure reason;
    return reason;
}

} // namespace

auto to_string(error_kind kind) -> std::string_view
{
    switch (kind)
    {
    case error_kind::none: return "none";
    case error_kind::invalid_input: return "invalid_input";
    case error_kind::not_found: return "not_found";
    case error_kind::conflict: return "conflict";
    case error_kind::not_owner: return "not_owner";
    case error_kind::stale_epoch: return "stale_epoch";
    case error_kind::no_capacity: return "no_capacity";
    case error_kind::quota_exceeded: return "quota_exceeded";
    case error_kind::unavailable: return "unavailable";
    case error_kind::timeout: return "timeout";
    case error_kind::unknown_outcome: return "unknown_outcome";
    case error_kind::protocol: return "protocol";
    case error_kind::shutting_down: return "shutting_down";
    case error_kind::internal: return "internal";
    }
    return "internal";
}

auto fail(error_kind kind, std::string message) -> std::nullopt_t
{
    slot() = failure{kind, std::move(message)};
    return std::nullopt;
}

auto fail(failure const& reason) -> std::nullopt_t
{
    slot() = reason;
    return std::nullopt;
}

auto last_reason() -> failure const&
{
    return slot();
}

} // namespace godwitcleat::core
