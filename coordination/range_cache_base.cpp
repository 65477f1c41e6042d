/** @file range_cache_base.cpp Keys of the store that are read repeatedly. */
#include "coordination/range_cache_base.hpp"

#include <utility>

namespace godwitcleat::coordination
{

range_cache::range_cache(std::string key, std::string range_end)
    : key_(std::move(key))
    , range_end_(std::move(range_end))
{
}

auto range_cache::query() const -> store_query
{
    return {key_, range_end_, 0, revision_};
}

auto range_cache::update(store_range const& changed) -> bool
{
    auto const is_older = changed.revision < revision_;
    for (auto const& it : changed.entries)
    {
        entries_.insert_or_assign(it.key, it);
    }
    // Entries that were deleted are in no answer; the count shows them.
    if (is_older || std::cmp_not_equal(entries_.size(), changed.count))
    {
        entries_.clear();
        revision_ = 0;
        return false;
    }
    revision_ = changed.revision;
    return true;
}

auto range_cache::content() const -> store_range
{
    auto result = store_range{};
    result.revision = revision_;
    result.count = static_cast<std::int64_t>(entries_.size());
    for (auto const& [key, entry] : entries_)
    {
        result.entries.push_back(entry);
    }
    return result;
}

} // namespace godwitcleat::coordination
