/** @file allocation_func.hpp Counts the bytes that this program holds. */
#ifndef GODWITCLEAT_BENCH_SLOPES_ALLOCATION_FUNC_HPP
#define GODWITCLEAT_BENCH_SLOPES_ALLOCATION_FUNC_HPP

#include <cstddef>

namespace godwitcleat::bench
{

/**
 * Returns the bytes that operator new has given out and that were not freed,
 * as rounded up by the allocator. Calls of malloc are not counted.
 */
auto allocated_bytes() -> std::size_t;

} // namespace godwitcleat::bench

#endif
