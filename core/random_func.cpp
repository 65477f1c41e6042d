/** @file random_func.cpp Unique ids from the system's entropy source. */
#include "core/random_base.hpp"

#include <fmt/format.h>

namespace godwitcleat::core
{

auto unique_id() -> std::string
{
    thread_local std::mt19937_64 engine{[]
                                        {
                                            std::random_device device;
                                            auto const high =
                                                std::uint64_t{device()} << 32U;
                                            return high | device();
                                        }()};
    return fmt::format("{:016x}", engine());
}

} // namespace godwitcleat::core
