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

// A daemon polls the store for a new generation once per second. Until it has
// read the other change, publishing through it fails again with a conflict.
constexpr auto max_publish_attempts = 10;
constexpr auto retry_delay = std::chrono::milliseconds{500};

// What a command drains or undrains.
struct drain_target
{
    std::string kind; ///< `data-centre` or `worker`.
    std::string name;
    bool drain = false; ///< False: undrain.
};

auto is_drained(
    state::config_document const& document, drain_target const& target) -> bool
{
    return target.kind == "worker"
               ? document.drained_workers.contains(core::worker_id{target.name})
               : document.drained_data_centres.contains(
                     core::data_centre_id{target.name});
}

template <class Set, class Id>
auto insert_or_erase(Set& entries, Id const& id, bool insert) -> void
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

auto apply_target(state::config_document& document, drain_target const& target)
    -> void
{
    if (target.kind == "worker")
    {
        insert_or_erase(
            document.drained_workers, core::worker_id{target.name},
            target.drain);
    }
    else
    {
        insert_or_erase(
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

// Prints a warning if no worker has the name. This is not an error, because the
// list of workers omits the shards that have no owner at the moment.
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
            "warning: no known worker matches {} {}; compare the name with "
            "godwitcleatctl workers",
            target.kind, target.name));
    }
}

auto report_concurrent_change(
    drain_target const& target, core::generation generation) -> exit_status
{
    print_error(fmt::format(
        "conflict: {} by another change in the meantime (generation {}); "
        "nothing was published, check that this is intended",
        describe(target), generation.value));
    return exit_status::conflict;
}

// Publishes the change of the target; retries after a conflict.
auto publish_change(
    command_context& context, drain_target const& target,
    std::string const& author) -> exit_status
{
    auto answer = api_answer{};
    for (auto i = 0; i < max_publish_attempts; ++i)
    {
        auto current = read_document(context.client);
        if (!current.document)
        {
            return report_failure(current.answer);
        }
        auto& document = *current.document;
        if (is_drained(document, target) == target.drain)
        {
            return i == 0 ? print_result(
                                context, target, document.number.value, false)
                          : report_concurrent_change(target, document.number);
        }
        apply_target(document, target);
        answer = publish_document(
            context.client, document, author, describe(target));
        if (answer.status == exit_status::done)
        {
            return print_result(
                context, target, published_generation(answer), true);
        }
        if (answer.status != exit_status::conflict)
        {
            return report_failure(answer);
        }
        std::this_thread::sleep_for(retry_delay);
    }
    return report_failure(answer);
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
    auto const status = publish_change(context, target, *author);
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
        "Drains a data centre or worker: no task starts there after a few "
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
