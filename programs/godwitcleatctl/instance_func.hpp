/** @file instance_func.hpp Lists and queries the instances. */
#ifndef GODWITCLEAT_PROGRAMS_CTL_INSTANCE_FUNC_HPP
#define GODWITCLEAT_PROGRAMS_CTL_INSTANCE_FUNC_HPP

#include "api_client_base.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace godwitcleat::ctl
{

/** An instance in the response to `/v1/status`. */
struct instance_entry
{
    std::string name;
    std::string control_address;  ///< ADDRESS:PORT.
    std::uint64_t generation = 0; ///< As known to the daemon that responded.
};

/** All instances; the first one is the daemon that responded. */
struct instance_list
{
    api_answer answer; ///< Holds the error if its status is not done.
    std::vector<instance_entry> instances;
};

/** Reads the list of instances from the first daemon that responds. */
auto find_instances(api_client& client) -> instance_list;

/** Sends GET @p target to the control port of @p instance. */
auto query_instance(
    api_client& client, instance_entry const& instance, std::string_view target)
    -> api_answer;

} // namespace godwitcleat::ctl

#endif
