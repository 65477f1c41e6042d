/** @file json_func.cpp JSON codecs of the control port, on nlohmann-json. */
#include "protocol/json_func.hpp"

#include "protocol/json_internal.hpp"
#include "protocol/limits_internal.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <exception>

namespace godwitcleat::protocol
{

namespace
{

auto invalid(std::string message) -> std::nullopt_t
{
    return core::fail(core::error_kind::invalid_input, std::move(message));
}

// Bytes that are not UTF-8 are replaced, because dump() would throw.
auto text_of(nlohmann::json const& value) -> std::string
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

template <class Values>
auto list_text(Values const& values) -> std::string
{
    auto result = nlohmann::json::array();
    for (auto const& it : values)
    {
        result.push_back(write_json(it));
    }
    return text_of(result);
}

auto parse(std::string_view text) -> nlohmann::json
{
    return has_bounded_depth(text)
               ? nlohmann::json::parse(text, nullptr, false)
               : nlohmann::json(nlohmann::json::value_t::discarded);
}

template <class Type>
auto from_json(std::string_view text, unknown_keys policy)
    -> std::optional<Type>
{
    auto const root = parse(text);
    if (root.is_discarded())
    {
        return invalid(
            "the body is not JSON, or it nests too deeply; check quotes, "
            "commas and braces");
    }
    auto reader = json_reader{policy};
    auto value = std::optional<Type>{std::in_place};
    reader.read(root, "", *value);
    if (!reader.problem().empty())
    {
        return invalid(reader.problem());
    }
    return value;
}

auto has_valid_amounts(core::resources const& value) -> bool
{
    auto const valid = [](std::int64_t amount)
    {
        return amount >= 0 && amount <= most_amount;
    };
    return valid(value.cpu_milli) && valid(value.memory_mb) &&
           valid(value.accelerators);
}

// Returns the first problem of a job, or an empty string.
auto find_problem(state::job_spec const& spec) -> std::string
{
    if (spec.id.empty())
    {
        return "key \"id\" is missing; add a job id";
    }
    if (spec.team.empty())
    {
        return "key \"team\" is missing; add the team whose quota is charged";
    }
    if (!has_valid_amounts(spec.need))
    {
        return fmt::format(
            "key \"need\" has an amount out of range; use 0 to {}",
            most_amount);
    }
    if (spec.expected_run_ms < 0 || spec.deadline_s < 0)
    {
        return "key \"expected_run_ms\" or \"deadline_s\" is negative; use 0 "
               "for unknown or none";
    }
    return {};
}

auto find_problem(state::team_config const& team) -> std::string
{
    if (!has_valid_amounts(team.quota))
    {
        return fmt::format(
            "key \"quota\" has an amount out of range; use 0 to {}",
            most_amount);
    }
    return {};
}

auto find_problem(state::service_config const& service) -> std::string
{
    if (!has_valid_amounts(service.need))
    {
        return fmt::format(
            "key \"need\" has an amount out of range; use 0 to {}",
            most_amount);
    }
    if (service.runners > most_runners)
    {
        return fmt::format(
            "key \"runners\" is {}; use 0 to {}", service.runners,
            most_runners);
    }
    if (service.slots == 0 || service.slots > most_slots)
    {
        return fmt::format(
            "key \"slots\" is {}; use 1 to {}", service.slots, most_slots);
    }
    if (service.connections == 0 || service.connections > most_connections)
    {
        return fmt::format(
            "key \"connections\" is {}; use 1 to {}", service.connections,
            most_connections);
    }
    if (service.default_deadline_ms <= 0 ||
        service.default_deadline_ms > most_deadline_ms)
    {
        return fmt::format(
            "key \"default_deadline_ms\" is {}; use 1 to {}",
            service.default_deadline_ms, most_deadline_ms);
    }
    return {};
}

auto find_problem(state::batch_config const& job) -> std::string
{
    return find_problem(job.spec);
}

// Returns the first problem of an entry of the document, or an empty string.
template <class Id, class Entry>
auto find_entry_problem(
    std::string_view group, Id const& key, Id const& name, Entry const& entry)
    -> std::string
{
    if (key != name)
    {
        return fmt::format(
            "key \"{}.{}\" holds the entry named \"{}\"; use the same name",
            group, key.value, name.value);
    }
    auto const problem = find_problem(entry);
    return problem.empty()
               ? problem
               : fmt::format("entry \"{}.{}\": {}", group, key.value, problem);
}

auto find_team_problem(
    state::config_document const& document, std::string_view entry,
    core::team_id const& team) -> std::string
{
    if (document.teams.contains(team))
    {
        return {};
    }
    return fmt::format(
        "entry \"{}\" names team \"{}\", which does not exist; add the team or "
        "correct the name",
        entry, team.value);
}

auto find_problem(state::config_document const& document) -> std::string
{
    auto problem = std::string{};
    auto const check = [&problem](auto const& find, auto const&... arguments)
    {
        if (problem.empty())
        {
            problem = find(arguments...);
        }
    };
    auto const check_entry = [](auto const&... arguments)
    {
        return find_entry_problem(arguments...);
    };
    for (auto const& [key, it] : document.teams)
    {
        check(check_entry, "teams", key, it.team, it);
    }
    for (auto const& [key, it] : document.services)
    {
        check(check_entry, "services", key, it.service, it);
        check(find_team_problem, document, key.value, it.team);
    }
    for (auto const& [key, it] : document.jobs)
    {
        check(check_entry, "jobs", key, it.spec.id, it);
        check(find_team_problem, document, key.value, it.spec.team);
    }
    return problem;
}

// Decodes operator input and checks what the types do not express.
template <class Type>
auto checked_from_json(std::string_view text) -> std::optional<Type>
{
    auto value = from_json<Type>(text, unknown_keys::refused);
    if (!value)
    {
        return std::nullopt;
    }
    auto problem = find_problem(*value);
    if (!problem.empty())
    {
        return invalid(std::move(problem));
    }
    return value;
}

} // namespace

auto to_json(state::worker_report const& value) -> std::string
{
    return text_of(write_json(value));
}

auto to_json(state::heartbeat_reply const& value) -> std::string
{
    return text_of(write_json(value));
}

auto to_json(state::job_spec const& value) -> std::string
{
    return text_of(write_json(value));
}

auto to_json(std::span<state::job const> values) -> std::string
{
    return list_text(values);
}

auto to_json(std::span<state::worker_view const> values) -> std::string
{
    return list_text(values);
}

auto to_json(std::span<core::timeline_event const> values) -> std::string
{
    return list_text(values);
}

auto to_json(state::config_document const& value) -> std::string
{
    return text_of(write_json(value));
}

auto to_json(core::failure const& value) -> std::string
{
    return text_of(
        {{"error", std::string{core::to_string(value.kind)}},
         {"message", value.message}});
}

auto worker_report_from_json(std::string_view text)
    -> std::optional<state::worker_report>
{
    return from_json<state::worker_report>(text, unknown_keys::ignored);
}

auto heartbeat_reply_from_json(std::string_view text)
    -> std::optional<state::heartbeat_reply>
{
    return from_json<state::heartbeat_reply>(text, unknown_keys::ignored);
}

auto job_spec_from_json(std::string_view text) -> std::optional<state::job_spec>
{
    return checked_from_json<state::job_spec>(text);
}

auto jobs_from_json(std::string_view text)
    -> std::optional<std::vector<state::job>>
{
    return from_json<std::vector<state::job>>(text, unknown_keys::ignored);
}

auto workers_from_json(std::string_view text)
    -> std::optional<std::vector<state::worker_view>>
{
    return from_json<std::vector<state::worker_view>>(
        text, unknown_keys::ignored);
}

auto timeline_from_json(std::string_view text)
    -> std::optional<std::vector<core::timeline_event>>
{
    return from_json<std::vector<core::timeline_event>>(
        text, unknown_keys::ignored);
}

auto config_document_from_json(std::string_view text)
    -> std::optional<state::config_document>
{
    return checked_from_json<state::config_document>(text);
}

auto has_bounded_depth(std::string_view text) -> bool
{
    auto depth = std::size_t{0};
    auto in_string = false;
    for (auto it = text.begin(); it != text.end(); ++it)
    {
        if (in_string && *it == '\\')
        {
            if (++it == text.end())
            {
                break;
            }
        }
        else if (*it == '"')
        {
            in_string = !in_string;
        }
        else if (!in_string && (*it == '[' || *it == '{'))
        {
            if (++depth > most_json_depth)
            {
                return false;
            }
        }
        else if (!in_string && (*it == ']' || *it == '}') && depth > 0)
        {
            --depth;
        }
    }
    return true;
}

auto failure_from_json(std::string_view text) -> core::failure
{
    auto unreadable = core::failure{
        core::error_kind::internal,
        "the error answer cannot be read; check that the address is a daemon's "
        "control port"};
    auto const root = parse(text);
    if (!root.is_object() || !root.contains("error"))
    {
        return unreadable;
    }
    auto reader = json_reader{unknown_keys::ignored};
    auto result = core::failure{};
    reader.read(root["error"], "error", result.kind);
    if (root.contains("message"))
    {
        reader.read(root["message"], "message", result.message);
    }
    return reader.problem().empty() ? result : unreadable;
}

} // namespace godwitcleat::protocol
