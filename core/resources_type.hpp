/** @file resources_type.hpp Amounts of processor, memory and accelerators. */
#ifndef GODWITCLEAT_CORE_RESOURCES_TYPE_HPP
#define GODWITCLEAT_CORE_RESOURCES_TYPE_HPP

#include <compare>
#include <cstdint>

namespace godwitcleat::core
{

/** Resources of a worker, or needs of a task. */
struct resources
{
    std::int64_t cpu_milli = 0;    ///< Thousandths of a core.
    std::int64_t memory_mb = 0;    ///< Megabytes (2^20 bytes).
    std::int64_t accelerators = 0; ///< Whole accelerators.

    auto operator==(resources const&) const -> bool = default;

    auto operator+=(resources const& other) -> resources&
    {
        cpu_milli += other.cpu_milli;
        memory_mb += other.memory_mb;
        accelerators += other.accelerators;
        return *this;
    }

    auto operator-=(resources const& other) -> resources&
    {
        cpu_milli -= other.cpu_milli;
        memory_mb -= other.memory_mb;
        accelerators -= other.accelerators;
        return *this;
    }

    friend auto operator+(resources left, resources const& right) -> resources
    {
        return left += right;
    }

    friend auto operator-(resources left, resources const& right) -> resources
    {
        return left -= right;
    }

    /** Returns true if every amount is at most that of @p room. */
    [[nodiscard]] auto fits_in(resources const& room) const -> bool
    {
        return cpu_milli <= room.cpu_milli && memory_mb <= room.memory_mb &&
               accelerators <= room.accelerators;
    }
};

} // namespace godwitcleat::core

#endif
