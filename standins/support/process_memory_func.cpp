/** @file process_memory_func.cpp Memory of processes under test. */
#include "standins/support/process_memory_func.hpp"

#include <fmt/format.h>

#include <fstream>
#include <string>

namespace godwitcleat::standins
{

auto peak_memory_mb(pid_t pid) -> std::size_t
{
    constexpr auto kb_per_mb = std::size_t{1024};
    auto file = std::ifstream{fmt::format("/proc/{}/status", pid)};
    auto line = std::string{};
    while (std::getline(file, line))
    {
        if (line.starts_with("VmHWM:"))
        {
            return std::stoul(line.substr(line.find_first_of("0123456789"))) /
                   kb_per_mb;
        }
    }
    return 0;
}

} // namespace godwitcleat::standins
