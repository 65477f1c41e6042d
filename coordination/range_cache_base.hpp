/** @file range_cache_base.hpp Keys of the store that are read repeatedly. */
#ifndef GODWITCLEAT_COORDINATION_RANGE_CACHE_BASE_HPP
#define GODWITCLEAT_COORDINATION_RANGE_CACHE_BASE_HPP

#include "coordination/store_type.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace godwitcleat::coordination
{

/**
 * Completes the answers to a repeated read of a range, so that each read
 * transfers changed keys only. Not thread-safe.
 */
class range_cache
{
public:
    /** Caches the keys from @p key to before @p range_end, or @p key alone. */
    range_cache(std::string key, std::string range_end);

    /** Returns what to read next: all keys at first, then changed ones. */
    [[nodiscard]] auto query() const -> store_query;

    /**
     * Merges the answer to query().
     * @return false if keys were deleted, or the store went back; the range
     *     must then be read again, and query() asks for all keys.
     */
    auto update(store_range const& changed) -> bool;

    /** Returns all keys as of the latest answer. */
    [[nodiscard]] auto content() const -> store_range;

private:
    std::string key_;
    std::string range_end_;
    std::map<std::string, store_entry> entries_;
    std::int64_t revision_ = 0; ///< Of the latest answer; 0: none.
};

} // namespace godwitcleat::coordination

#endif
