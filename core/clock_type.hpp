/** @file clock_type.hpp Monotonic time as an injected dependency. */
#ifndef GODWITCLEAT_CORE_CLOCK_TYPE_HPP
#define GODWITCLEAT_CORE_CLOCK_TYPE_HPP

#include <atomic>
#include <chrono>
#include <ctime>
#include <functional>

namespace godwitcleat::core
{

using duration = std::chrono::nanoseconds;
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

/** Returns the current monotonic time. */
using clock = std::function<time_point()>;

/** Returns a clock that reads the system's monotonic clock. */
inline auto system_clock() -> clock
{
    return []
    {
        return time_point{std::chrono::steady_clock::now()};
    };
}

/**
 * Returns a clock that also counts the time in which the machine is suspended.
 * Leases that others measure must be judged by it.
 */
inline auto suspend_aware_clock() -> clock
{
    return []
    {
        auto now = timespec{};
        clock_gettime(CLOCK_BOOTTIME, &now);
        return time_point{
            std::chrono::seconds{now.tv_sec} +
            std::chrono::nanoseconds{now.tv_nsec}};
    };
}

/** A clock that tests move by hand. Thread-safe; must outlive its readers. */
class manual_clock
{
public:
    /** Moves the time forward by @p step. */
    auto advance(duration step) -> void
    {
        now_ += step.count();
    }

    /** Returns a clock that reads this object. */
    auto reader() -> clock
    {
        return [this]
        {
            return time_point{duration{now_.load()}};
        };
    }

private:
    std::atomic<duration::rep> now_{1'000'000'000};
};

/** Returns wall-clock time in microseconds since 1970, for logs only. */
inline auto wall_clock_us() -> std::int64_t
{
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

} // namespace godwitcleat::core

#endif
