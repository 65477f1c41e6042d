/** @file revision_times_base.cpp When the store had reached a revision. */
#include "coordination/revision_times_base.hpp"

#include <algorithm>

namespace godwitcleat::coordination
{

auto revision_times::note(std::int64_t revision, core::time_point now) -> void
{
    if (!entries_.empty() && (revision <= entries_.back().revision ||
                              now < entries_.back().at + settings_.interval))
    {
        return;
    }
    entries_.push_back({revision, now});
    if (entries_.size() > settings_.max_entries)
    {
        entries_.pop_front();
    }
}

auto revision_times::reached_by(std::int64_t revision) const
    -> std::optional<core::time_point>
{
    auto const it = std::lower_bound(
        entries_.begin(), entries_.end(), revision,
        [](entry const& entry, std::int64_t wanted)
        { return entry.revision < wanted; });
    return it == entries_.end() ? std::nullopt : std::optional{it->at};
}

} // namespace godwitcleat::coordination
