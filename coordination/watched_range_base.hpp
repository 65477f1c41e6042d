/** @file watched_range_base.hpp Keeps a copy of a range of the store. */
#ifndef GODWITCLEAT_COORDINATION_WATCHED_RANGE_BASE_HPP
#define GODWITCLEAT_COORDINATION_WATCHED_RANGE_BASE_HPP

#include "coordination/store_type.hpp"
#include "core/core.hpp"
#include "transport/transport.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace godwitcleat::coordination
{

/** Times of a watched range. */
struct watched_range_settings
{
    /** Longest wait of one watch; a silent connection shows after it. */
    core::duration wait = std::chrono::seconds{1};
    /** Pause after changes, so that one answer brings several. */
    core::duration gap{};
    /** Pause after a failed call. */
    core::duration retry = std::chrono::milliseconds{150};
    /** The whole range is read again after this, should a watch miss a change.
     */
    core::duration refresh = std::chrono::seconds{5};
};

/** Keys of the range with their entries. */
using range_entries = std::map<std::string, store_entry, std::less<>>;

/**
 * Reads the range with a prefix and follows its changes by watches. Where the
 * store has no watches, or has dropped the history, the range is read again.
 * Thread-safe.
 */
class watched_range
{
public:
    /** Called after each change, never by two threads at once. */
    using change_hook = std::function<void(range_entries const&)>;

    watched_range(
        store& target, transport::reactor& loop, core::clock clock,
        core::logger log, std::string prefix, watched_range_settings settings,
        change_hook on_change);
    ~watched_range();
    watched_range(watched_range const&) = delete;
    auto operator=(watched_range const&) -> watched_range& = delete;

    /** Starts to follow the range; repeated calls have no effect. */
    auto start() -> void;

    /** Returns when the copy was last known to be complete, if ever. */
    [[nodiscard]] auto confirmed_at() const -> std::optional<core::time_point>;

private:
    struct implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace godwitcleat::coordination

#endif
