/** @file timeline_base.hpp Events of this process for the merged time line. */
#ifndef GODWITCLEAT_CORE_TIMELINE_BASE_HPP
#define GODWITCLEAT_CORE_TIMELINE_BASE_HPP

#include "core/id_type.hpp"

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace godwitcleat::core
{

/** One event of the time line. Empty ids mean that none applies. */
struct timeline_event
{
    std::int64_t wall_us = 0;   ///< Microseconds since 1970, UTC.
    std::uint64_t sequence = 0; ///< Order within the process, from 1.
    std::string instance;       ///< Process that recorded it.
    std::string part;           ///< Log prefix of the part.
    std::string kind;           ///< Fixed name such as `task_started`.
    job_id job;                 ///< Job concerned.
    worker_id worker;           ///< Worker concerned.
    request_id request;         ///< Request concerned.
    std::string detail;         ///< Free text for people.
};

/** A bounded ring of events; the oldest is dropped first. Thread-safe. */
class timeline
{
public:
    /** @param capacity number of events kept. */
    timeline(instance_id instance, std::size_t capacity);

    /** Stores @p event after it has set time, sequence and instance. */
    auto record(timeline_event event) -> void;

    /** Returns events with a sequence above @p after, oldest first. */
    [[nodiscard]] auto since(std::uint64_t after) const
        -> std::vector<timeline_event>;

private:
    mutable std::mutex mutex_;
    instance_id instance_;
    std::size_t capacity_;
    std::uint64_t next_sequence_ = 1;
    std::deque<timeline_event> events_;
};

} // namespace godwitcleat::core

#endif
