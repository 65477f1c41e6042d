/** @file process_memory_func.hpp Memory of processes under test. */
#ifndef GODWITCLEAT_STANDINS_SUPPORT_PROCESS_MEMORY_FUNC_HPP
#define GODWITCLEAT_STANDINS_SUPPORT_PROCESS_MEMORY_FUNC_HPP

#include <cstddef>
#include <sys/types.h>

namespace godwitcleat::standins
{

/** False in builds with a sanitizer, whose shadow memory and freed blocks count
 *  as resident. */
#ifdef __SANITIZE_ADDRESS__
constexpr auto checks_memory = false;
#else
constexpr auto checks_memory = true;
#endif

/** Returns the largest resident size of @p pid so far, 0 if it has ended. */
auto peak_memory_mb(pid_t pid) -> std::size_t;

} // namespace godwitcleat::standins

#endif
