/** @file instance_func.hpp Finds and calls all instances. */
#ifndef GODWITCLEAT_PROGRAMS_CTL_INSTANCE_FUNC_HPP
#define GODWITCLEAT_PROGRAMS_CTL_INSTANCE_FUNC_HPP

#include "api_client_base.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace godwitcleat::ctl
{

/** An instance as the answer to `/v1/status` lists it. */
struct instance_entry
{
    std::string name;
    std::string control_address;  ///< ADDRESS:PORT.
    std::uint64_t generation = 0; ///< As that daemon knows it.
};

/** All instances, the daemon that answered first. */
struct instance_list
{
    api_answer answer; ///< The error if its status is not done.
    std::vector<instance_entry> instances;
};

/** Reads the list of instances from the first daemon that answers. */
auto find_instances(api_client& client) -> instance_list;

/** Reads @p target from @p instance. */
auto call_instance(
    api_client& client, instance_entry const& instance, std::string_view target)
    -> api_answer;

} // namespace godwitcleat::ctl

#endif
