/** @file view_command_func.cpp Commands that show the state of the system. */
#include "view_command_func.hpp"

#include "api_client_base.hpp"
#include "output_func.hpp"
#include "protocol/protocol.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <nlohmann/json.hpp>

namespace godwitcleat::ctl
{

namespace
{

auto yes_no(bool value) -> std::string
{
    return value ? "yes" : "no";
}

// Sends GET `target`; prints the body unchanged with --json, otherwise with
// `show_body`.
auto show_target(
    command_context& context, std::string_view target,
    std::function<exit_status(std::string const& body)> const& show_body)
    -> exit_status
{
    auto const answer = context.client.get(target);
    if (answer.status != exit_status::done)
    {
        return report_failure(answer);
    }
    if (!context.json)
    {
        return show_body(answer.body);
    }
    print_line(answer.body);
    return exit_status::done;
}

auto show_services(std::string const& body) -> exit_status
{
    auto rows = std::vector<table_row>{};
    for (auto const& service : nlohmann::json::parse(body))
    {
        for (auto const& it : service.at("endpoints"))
        {
            rows.push_back(
                {service.value("service", ""), it.value("backend_server", ""),
                 it.value("address", ""), it.value("data_centre", ""),
                 yes_no(it.value("leaving", false))});
        }
    }
    print_table(
        {"SERVICE", "BACKEND_SERVER", "ADDRESS", "DATA_CENTRE", "LEAVING"},
        rows);
    return exit_status::done;
}

auto show_workers(std::string const& body) -> exit_status
{
    auto const workers = protocol::workers_from_json(body);
    if (!workers)
    {
        print_error(core::last_reason().message);
        return exit_status::refused;
    }
    auto rows = std::vector<table_row>{};
    for (auto const& it : *workers)
    {
        rows.push_back(
            {it.info.worker.value, it.info.rack.value,
             it.info.data_centre.value, std::to_string(it.shard.value),
             it.state, std::to_string(it.tasks), format_resources(it.committed),
             format_resources(it.info.capacity)});
    }
    print_table(
        {"WORKER", "RACK", "DATA_CENTRE", "SHARD", "STATE", "TASKS",
         "COMMITTED", "CAPACITY"},
        rows);
    return exit_status::done;
}

// Returns the numbers of an instance's shards, which the daemon lists as
// objects or as plain numbers.
auto shard_numbers(nlohmann::json const& owner) -> std::string
{
    auto numbers = std::vector<std::uint64_t>{};
    for (auto const& it : owner.value("shards", nlohmann::json::array()))
    {
        numbers.push_back(
            it.is_object() ? it.value("shard", std::uint64_t{0})
                           : it.get<std::uint64_t>());
    }
    return numbers.empty() ? "-" : fmt::format("{}", fmt::join(numbers, ","));
}

auto show_status(std::string const& body) -> exit_status
{
    auto const root = nlohmann::json::parse(body);
    print_line(fmt::format(
        "instance {} in {}: ready={} store_reachable={}",
        root.value("instance", ""), root.value("data_centre", ""),
        yes_no(root.value("ready", false)),
        yes_no(root.value("store_reachable", false))));
    auto const generation_of = [](nlohmann::json const& it)
    {
        return std::to_string(it.value("generation", std::uint64_t{0}));
    };
    auto rows = std::vector<table_row>{
        {root.value("instance", ""), "-", generation_of(root), "no",
         shard_numbers(root)}};
    for (auto const& it : root.value("peers", nlohmann::json::array()))
    {
        rows.push_back(
            {it.value("instance", ""), it.value("control_address", ""),
             generation_of(it), yes_no(it.value("suspect", false)),
             shard_numbers(it)});
    }
    print_table(
        {"INSTANCE", "CONTROL", "GENERATION", "SUSPECT", "SHARDS"}, rows);
    return exit_status::done;
}

auto print_body(std::string const& body) -> exit_status
{
    print_line(body);
    return exit_status::done;
}

// Returns a command without arguments that shows one response of a daemon.
auto view_command(
    std::string_view name, std::string_view summary, std::string_view examples,
    std::string_view target, exit_status (*show_body)(std::string const& body))
    -> command
{
    return {
        name,
        "",
        summary,
        examples,
        0,
        0,
        {},
        [target, show_body](command_context& context)
        {
            return show_target(context, target, show_body);
        }};
}

} // namespace

auto view_commands() -> std::vector<command>
{
    return {
        view_command(
            "services", "Lists the backend servers of all services.",
            "  godwitcleatctl services\n", "/v1/services", show_services),
        view_command(
            "workers",
            "Lists all workers with their state and committed resources.",
            "  godwitcleatctl workers --json\n", "/v1/workers", show_workers),
        view_command(
            "status", "Shows the daemon, its peers and the owners of shards.",
            "  godwitcleatctl status --daemon 10.0.0.4:7001\n", "/v1/status",
            show_status),
        view_command(
            "metrics", "Shows the daemon's metrics as Prometheus text.",
            "  godwitcleatctl metrics\n", "/v1/metrics", print_body)};
}

} // namespace godwitcleat::ctl
