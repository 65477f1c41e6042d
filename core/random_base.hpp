/** @file random_base.hpp Seeded random numbers as an injected dependency. */
#ifndef GODWITCLEAT_CORE_RANDOM_BASE_HPP
#define GODWITCLEAT_CORE_RANDOM_BASE_HPP

#include <cstdint>
#include <mutex>
#include <random>
#include <string>

namespace godwitcleat::core
{

/** A thread-safe generator; the same seed gives the same sequence. */
class random_source
{
public:
    explicit random_source(std::uint64_t seed)
        : engine_(seed)
    {
    }

    /** Returns a number from 0 to @p bound - 1; @p bound must be above 0. */
    auto below(std::uint64_t bound) -> std::uint64_t
    {
        auto const lock = std::scoped_lock{mutex_};
        return std::uniform_int_distribution<std::uint64_t>{0, bound - 1}(
            engine_);
    }

    /** Returns a number from 0 up to but not including 1. */
    auto unit() -> double
    {
        auto const lock = std::scoped_lock{mutex_};
        return std::uniform_real_distribution<double>{0.0, 1.0}(engine_);
    }

private:
    std::mutex mutex_;
    std::mt19937_64 engine_;
};

/** Returns a 16-digit id that no other process or call is likely to return. */
auto unique_id() -> std::string;

} // namespace godwitcleat::core

#endif
