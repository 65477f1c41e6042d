/** @file drain_command_func.cpp The commands drain and undrain. */
#include "config_command_func.hpp"
#include "output_func.hpp"
#include "protocol/protocol.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <optional>
#include <thread>

namespace godwitcleat::ctl
{

namespace
{

// A daemon reads the head each second, so a conflict may repeat until it has
// the change that came first.
constexpr auto most_tries = 10;
constexpr auto retry_delay = std::chrono::milliseconds{500};

// The entry that a command changes.
struct drain_target
{
    std::string kind; ///< `data-centre` or `worker`.
    std::string name;
    bool drain = false; ///< Otherwise undrain.
};

auto is_in(state::config_document const& document, drain_target const& target)
    -> bool
{
    return target.kind == "worker"
               ? document.drained_workers.contains(core::worker_id{target.name})
               : document.drained_data_centres.contains(
                     core::data_centre_id{target.name});
}

template <class Set, class Id>
auto change_set(Set& entries, Id const& id, bool insert) -> void
{
    if (insert)
    {
        entries.insert(id);
    }
    else
    {
        entries.erase(id);
    }
}

auto change(state::config_document& document, drain_target const& target)
    -> void
{
    if (target.kind == "worker")
    {
        change_set(
            document.drained_workers, core::worker_id{target.name},
            target.drain);
    }
    else
    {
        change_set(
            document.drained_data_centres, core::data_centre_id{target.name},
            target.drain);
    }
}

auto describe(drain_target const& target) -> std::string
{
    return fmt::format(
        "{} {} {}", target.kind, target.name,
        target.drain ? "drained" : "undrained");
}

auto print_result(
    command_context const& context, drain_target const& target,
    std::uint64_t generation, bool changed) -> exit_status
{
    auto const text =
        changed
            ? fmt::format("{} in generation {}", describe(target), generation)
            : fmt::format("{} already, nothing published", describe(target));
    auto const json =
        nlohmann::json{{"generation", generation}, {"changed", changed}};
    print_line(context.json ? json.dump() : text);
    return exit_status::done;
}

// The document may name what has no worker now, because the list of workers
// lacks shards without an owner. So a wrong name is a warning, after the drain.
auto warn_if_unknown(command_context& context, drain_target const& target)
    -> void
{
    auto const answer = context.client.get("/v1/workers");
    auto const workers = answer.status == exit_status::done
                             ? protocol::workers_from_json(answer.body)
                             : std::nullopt;
    auto const is_known =
        !workers ||
        std::any_of(
            workers->begin(), workers->end(),
            [&target](auto const& it)
            {
                return target.name == (target.kind == "worker"
                                           ? it.info.worker.value
                                           : it.info.data_centre.value);
            });
    if (!is_known)
    {
        print_error(fmt::format(
            "warning: no worker of {} {} is known; compare the name with "
            "godwitcleatctl workers",
            target.kind, target.name));
    }
}

auto report_same_change(drain_target const& target, core::generation generation)
    -> exit_status
{
    print_error(fmt::format(
        "conflict: another change has {} meanwhile (generation {}); nothing "
        "was published, check that this is intended",
        describe(target), generation.value));
    return exit_status::conflict;
}

auto publish_target(
    command_context& context, drain_target const& target,
    std::string const& author) -> exit_status
{
    auto last = api_answer{};
    for (auto i = 0; i < most_tries; ++i)
    {
        auto read = read_document(context.client);
        if (!read.document)
        {
            return report(read.answer);
        }
        auto& document = *read.document;
        if (is_in(document, target) == target.drain)
        {
            return i == 0 ? print_result(
                                context, target, document.number.value, false)
                          : report_same_change(target, document.number);
        }
        change(document, target);
        last = publish_document(
            context.client, document, author, describe(target));
        if (last.status == exit_status::done)
        {
            return print_result(
                context, target, published_generation(last), true);
        }
        if (last.status != exit_status::conflict)
        {
            return report(last);
        }
        std::this_thread::sleep_for(retry_delay);
    }
    return report(last);
}

auto run_drain(command_context& context, bool drain) -> exit_status
{
    auto const target =
        drain_target{context.arguments[0], context.arguments[1], drain};
    if ((target.kind != "data-centre" && target.kind != "worker") ||
        target.name.empty())
    {
        print_error(fmt::format(
            "\"{}\" cannot be drained; use data-centre NAME or worker NAME",
            target.kind));
        return exit_status::usage;
    }
    auto const author = author_of(context);
    if (!author)
    {
        return report_input_error();
    }
    auto const status = publish_target(context, target, *author);
    if (drain && status == exit_status::done)
    {
        warn_if_unknown(context, target);
    }
    return status;
}

} // namespace

auto drain_commands() -> std::vector<command>
{
    auto const drain = command{
        "drain",
        "data-centre NAME | worker NAME",
        "Takes a data centre or worker out: no task starts there after a few "
        "seconds, and running tasks are moved.",
        "  godwitcleatctl drain data-centre north\n"
        "  godwitcleatctl drain worker n-17\n",
        2,
        2,
        add_author,
        [](command_context& context)
        {
            return run_drain(context, true);
        }};
    auto const undrain = command{
        "undrain",
        "data-centre NAME | worker NAME",
        "Puts a drained data centre or worker back into use.",
        "  godwitcleatctl undrain data-centre north\n",
        2,
        2,
        add_author,
        [](command_context& context)
        {
            return run_drain(context, false);
        }};
    return {drain, undrain};
}

} // namespace godwitcleat::ctl
