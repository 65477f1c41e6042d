/** @file instance_func.cpp Lists and queries the instances. */
#include "instance_func.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace godwitcleat::ctl
{

auto find_instances(api_client& client) -> instance_list
{
    auto result = instance_list{client.get("/v1/status"), {}};
    if (result.answer.status != exit_status::done)
    {
        return result;
    }
    auto const root = nlohmann::json::parse(result.answer.body);
    result.instances.push_back(
        {root.value("instance", ""), transport::to_string(result.answer.daemon),
         root.value("generation", std::uint64_t{0})});
    for (auto const& it : root.value("peers", nlohmann::json::array()))
    {
        result.instances.push_back(
            {it.value("instance", ""), it.value("control_address", ""),
             it.value("generation", std::uint64_t{0})});
    }
    return result;
}

auto query_instance(
    api_client& client, instance_entry const& instance, std::string_view target)
    -> api_answer
{
    auto const address = transport::parse_endpoint(instance.control_address);
    if (!address)
    {
        return {exit_status::unreachable, {}, core::last_reason(), {}};
    }
    return client.get_from(*address, target);
}

} // namespace godwitcleat::ctl
