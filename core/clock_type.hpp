/** @file clock_type.hpp Monotonic time as an injected dependency. */
#ifndef GODWITCLEAT_CORE_CLOCK_TYPE_HPP
#define GODWITCLEAT_CORE_CLOCK_TYPE_HPP

#include <atomic>
#include <chrono>
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
