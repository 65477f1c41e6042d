/** @file record_func.cpp Properties of records and shard messages. */
#include "state/record_type.hpp"
#include "state/shard_message_type.hpp"

namespace godwitcleat::state
{

auto allows_start(record const& value) -> bool
{
    return std::holds_alternative<bind_attempt>(value) ||
           std::holds_alternative<host_task>(value) ||
           std::holds_alternative<reconfirm>(value);
}

auto destination(shard_request const& request) -> core::shard_id
{
    // Claims and ends of attempts go from a host to the home shard; other
    // requests go from the home shard to a host.
    if (auto const* claim = std::get_if<claim_request>(&request))
    {
        return claim->home;
    }
    if (auto const* ended = std::get_if<attempt_ended_request>(&request))
    {
        return ended->home;
    }
    if (auto const* offer = std::get_if<offer_request>(&request))
    {
        return offer->host;
    }
    return std::get<status_request>(request).host;
}

} // namespace godwitcleat::state
