/** @file timeline_command_func.cpp The command timeline. */
#include "instance_func.hpp"
#include "output_func.hpp"
#include "protocol/protocol.hpp"
#include "view_command_func.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <span>
#include <tuple>
#include <utility>

namespace godwitcleat::ctl
{

namespace
{

using events = std::vector<core::timeline_event>;

auto sort_key(core::timeline_event const& event)
{
    return std::tie(event.wall_us, event.instance, event.sequence);
}

// Appends the events of one instance, or prints an error and returns false.
auto append_events(
    api_client& client, instance_entry const& instance, events& all) -> bool
{
    auto const answer =
        query_instance(client, instance, "/v1/timeline?after=0");
    if (answer.status != exit_status::done)
    {
        print_error(fmt::format(
            "cannot get the events of instance {}: {}", instance.name,
            answer.reason.message));
        return false;
    }
    auto found = protocol::timeline_from_json(answer.body);
    if (!found)
    {
        print_error(fmt::format(
            "cannot parse the events of instance {}: {}", instance.name,
            core::last_reason().message));
        return false;
    }
    std::move(found->begin(), found->end(), std::back_inserter(all));
    return true;
}

// Removes the events whose member differs from the value of the option, if any.
template <class Member>
auto filter(
    command_context const& context, char const* option, Member member,
    events& all) -> void
{
    if (context.options.count(option) == 0)
    {
        return;
    }
    auto const value = context.options[option].as<std::string>();
    std::erase_if(
        all, [&](auto const& it) { return (it.*member).value != value; });
}

auto print_event(core::timeline_event const& event) -> void
{
    auto line = fmt::format(
        "{} {} {} {}", format_time(event.wall_us), event.instance, event.part,
        event.kind);
    auto const append = [&line](std::string_view key, std::string const& value)
    {
        if (!value.empty())
        {
            line += fmt::format(" {}={}", key, value);
        }
    };
    append("job", event.job.value);
    append("worker", event.worker.value);
    append("request", event.request.value);
    append("detail", event.detail);
    print_line(line);
}

auto run_timeline(command_context& context) -> exit_status
{
    auto const found = find_instances(context.client);
    if (found.answer.status != exit_status::done)
    {
        return report_failure(found.answer);
    }
    auto all = events{};
    auto instances_read = 0;
    for (auto const& it : found.instances)
    {
        instances_read += append_events(context.client, it, all) ? 1 : 0;
    }
    if (instances_read == 0)
    {
        return exit_status::unreachable;
    }
    filter(context, "job", &core::timeline_event::job, all);
    filter(context, "worker", &core::timeline_event::worker, all);
    filter(context, "request", &core::timeline_event::request, all);
    std::sort(
        all.begin(), all.end(),
        [](auto const& left, auto const& right)
        { return sort_key(left) < sort_key(right); });
    if (context.json)
    {
        print_line(
            protocol::to_json(std::span<core::timeline_event const>{all}));
        return exit_status::done;
    }
    std::for_each(all.begin(), all.end(), print_event);
    return exit_status::done;
}

} // namespace

auto timeline_commands() -> std::vector<command>
{
    return {command{
        "timeline", "",
        "Shows the events of all instances in order of time. Times are those "
        "of the instances' own clocks.",
        "  godwitcleatctl timeline --job tally-7\n", 0, 0,
        [](cxxopts::OptionAdder add)
        {
            add("job", "only events of this job", cxxopts::value<std::string>(),
                "JOB");
            add("worker", "only events of this worker",
                cxxopts::value<std::string>(), "WORKER");
            add("request", "only events of this request",
                cxxopts::value<std::string>(), "REQUEST");
        },
        run_timeline}};
}

} // namespace godwitcleat::ctl
