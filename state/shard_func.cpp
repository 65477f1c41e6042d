/** @file shard_func.cpp Maps jobs and racks to shards. */
#include "state/shard_base.hpp"

#include <string_view>

namespace godwitcleat::state
{

namespace
{

auto shard_of_text(std::string_view text, std::uint32_t count) -> core::shard_id
{
    return core::shard_id{core::stable_hash(text) % count};
}

} // namespace

auto shard_of(core::job_id const& id, std::uint32_t count) -> core::shard_id
{
    return shard_of_text(id.value, count);
}

auto shard_of(core::rack_id const& id, std::uint32_t count) -> core::shard_id
{
    return shard_of_text(id.value, count);
}

} // namespace godwitcleat::state
