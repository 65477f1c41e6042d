/** @file held_replies_base.hpp Heartbeats whose replies are held open. */
#ifndef GODWITCLEAT_COORDINATION_HELD_REPLIES_BASE_HPP
#define GODWITCLEAT_COORDINATION_HELD_REPLIES_BASE_HPP

#include "core/core.hpp"
#include "state/state.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace godwitcleat::coordination
{

/** Gets the reply, or std::nullopt with core::last_reason(); called once. */
using heartbeat_answer =
    std::function<void(std::optional<state::heartbeat_reply>)>;

/** A heartbeat that waits for its reply. */
struct held_reply
{
    core::worker_id worker;
    std::uint64_t boot = 0;
    std::uint64_t sequence = 0;
    core::time_point end; ///< When it is answered at the latest.
    heartbeat_answer answer;
};

/** At most one held reply for each worker. Not thread-safe. */
class held_replies
{
public:
    /** Holds @p value; its worker must have no held reply. */
    auto add(held_reply value) -> void;

    /** Removes and returns the held reply of @p worker. */
    auto take(core::worker_id const& worker) -> std::optional<held_reply>;

    /**
     * The same, unless that reply answers heartbeat @p sequence of @p boot or a
     * later one.
     */
    auto take_before(
        core::worker_id const& worker, std::uint64_t boot,
        std::uint64_t sequence) -> std::optional<held_reply>;

    /** Removes and returns the replies whose hold has ended at @p now. */
    auto take_ended(core::time_point now) -> std::vector<held_reply>;

    /** Removes and returns all. */
    auto take_all() -> std::vector<held_reply>;

private:
    std::map<core::worker_id, held_reply> held_;
    std::set<std::pair<core::time_point, core::worker_id>> ends_;
};

} // namespace godwitcleat::coordination

#endif
