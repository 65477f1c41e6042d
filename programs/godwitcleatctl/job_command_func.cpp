/** @file job_command_func.cpp The commands submit, cancel, jobs and wait. */
#include "job_command_func.hpp"

#include "api_client_base.hpp"
#include "output_func.hpp"
#include "protocol/protocol.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <fstream>
#include <iterator>
#include <optional>
#include <thread>

namespace godwitcleat::ctl
{

namespace
{

constexpr auto poll_interval = std::chrono::seconds{1};

auto invalid_input(std::string message) -> std::nullopt_t
{
    return core::fail(core::error_kind::invalid_input, std::move(message));
}

auto spec_from_file(std::string const& path) -> std::optional<state::job_spec>
{
    auto stream = std::ifstream{path, std::ios::binary};
    if (!stream)
    {
        return invalid_input(
            fmt::format("cannot open \"{}\"; check the path", path));
    }
    auto const text = std::string{std::istreambuf_iterator<char>{stream}, {}};
    auto spec = protocol::job_spec_from_json(text);
    return spec ? spec
                : invalid_input(
                      fmt::format("{}: {}", path, core::last_reason().message));
}

auto spec_from_options(cxxopts::ParseResult const& options)
    -> std::optional<state::job_spec>
{
    auto spec = state::job_spec{};
    spec.id = core::job_id{
        options.count("id") != 0 ? options["id"].as<std::string>()
                                 : core::unique_id()};
    spec.team = core::team_id{options["team"].as<std::string>()};
    spec.priority = options.count("urgent") != 0 ? state::priority_class::urgent
                                                 : state::priority_class::batch;
    spec.task_class = options["task-class"].as<std::string>();
    spec.need = {
        options["cpu-milli"].as<std::int64_t>(),
        options["memory-mb"].as<std::int64_t>(),
        options["accelerators"].as<std::int64_t>()};
    spec.interruptible = options.count("not-interruptible") == 0;
    spec.expected_run_ms = options["expected-run-ms"].as<std::int64_t>();
    spec.deadline_s = options["deadline-s"].as<std::int64_t>();
    spec.command = options["command"].as<std::string>();
    // The decoder validates the values as it does in the daemon.
    return protocol::job_spec_from_json(protocol::to_json(spec));
}

auto run_submit(command_context& context) -> exit_status
{
    auto const spec = context.arguments.empty()
                          ? spec_from_options(context.options)
                          : spec_from_file(context.arguments.front());
    if (!spec)
    {
        return report_input_error();
    }
    auto const answer =
        context.client.post("/v1/jobs", protocol::to_json(*spec));
    if (answer.status == exit_status::unknown)
    {
        print_error(fmt::format(
            "job \"{}\" may have been submitted; submitting it again with this "
            "id is safe",
            spec->id.value));
    }
    if (answer.status != exit_status::done)
    {
        return report_failure(answer);
    }
    print_line(
        context.json ? nlohmann::json{{"job", spec->id.value}}.dump()
                     : spec->id.value);
    return exit_status::done;
}

auto run_cancel(command_context& context) -> exit_status
{
    auto const& job = context.arguments.front();
    auto const body = nlohmann::json{
        {"job", job}, {"reason", context.options["reason"].as<std::string>()}};
    auto const answer = context.client.post(
        "/v1/cancel",
        body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
    if (answer.status != exit_status::done)
    {
        return report_failure(answer);
    }
    print_line(context.json ? "{}" : fmt::format("cancelled {}", job));
    return exit_status::done;
}

// Jobs in a response; `answer` holds the error if they could not be read.
struct jobs_answer
{
    std::vector<state::job> jobs;
    api_answer answer;
};

auto read_jobs(api_client& client, std::optional<std::string> const& job)
    -> jobs_answer
{
    auto const target = job ? "/v1/jobs?job=" + transport::percent_encode(*job)
                            : std::string{"/v1/jobs"};
    auto result = jobs_answer{{}, client.get(target)};
    if (result.answer.status != exit_status::done)
    {
        return result;
    }
    auto jobs = protocol::jobs_from_json(result.answer.body);
    if (jobs && (!job || !jobs->empty()))
    {
        result.jobs = std::move(*jobs);
        return result;
    }
    result.answer.status = exit_status::refused;
    result.answer.reason =
        jobs ? core::failure{core::error_kind::not_found,
                             fmt::format(
                                 "job \"{}\" does not exist; it may have ended "
                                 "more than an hour ago",
                                 *job)}
             : core::last_reason();
    return result;
}

auto run_jobs(command_context& context) -> exit_status
{
    auto const job = context.arguments.empty()
                         ? std::nullopt
                         : std::optional{context.arguments.front()};
    auto const found = read_jobs(context.client, job);
    if (found.answer.status != exit_status::done)
    {
        return report_failure(found.answer);
    }
    if (context.json)
    {
        print_line(found.answer.body);
        return exit_status::done;
    }
    auto rows = std::vector<table_row>{};
    for (auto const& it : found.jobs)
    {
        rows.push_back(
            {it.spec.id.value, it.spec.team.value,
             std::string{to_string(it.spec.priority)},
             std::string{to_string(it.phase)},
             std::to_string(it.last_attempt.value),
             it.binding ? it.binding->worker.value : "-",
             format_resources(it.spec.need), it.reason});
    }
    print_table(
        {"JOB", "TEAM", "PRIORITY", "PHASE", "ATTEMPT", "WORKER", "NEED",
         "REASON"},
        rows);
    return exit_status::done;
}

auto print_end(command_context const& context, state::job const& job)
    -> exit_status
{
    auto const phase = to_string(job.phase);
    auto const json = nlohmann::json{
        {"job", job.spec.id.value}, {"phase", phase}, {"reason", job.reason}};
    print_line(
        context.json
            ? json.dump(
                  -1, ' ', false, nlohmann::json::error_handler_t::replace)
            : fmt::format("{} {} {}", job.spec.id.value, phase, job.reason));
    return job.phase == state::job_phase::finished ? exit_status::done
                                                   : exit_status::refused;
}

auto run_wait(command_context& context) -> exit_status
{
    auto const& job = context.arguments.front();
    auto const timeout =
        std::chrono::seconds{context.options["timeout-s"].as<std::uint32_t>()};
    auto const deadline = std::chrono::steady_clock::now() + timeout;
    while (true)
    {
        auto const found = read_jobs(context.client, job);
        auto const status = found.answer.status;
        if (status == exit_status::done && is_final(found.jobs.front().phase))
        {
            return print_end(context, found.jobs.front());
        }
        auto const& kind = found.answer.reason.kind;
        if (status == exit_status::usage || kind == core::error_kind::not_found)
        {
            return report_failure(found.answer);
        }
        if (std::chrono::steady_clock::now() + poll_interval > deadline)
        {
            print_error(fmt::format(
                "job \"{}\" did not end within {} s; wait again or check its "
                "phase with godwitcleatctl jobs",
                job, timeout.count()));
            return status == exit_status::done ? exit_status::unknown
                                               : report_failure(found.answer);
        }
        // Daemons that do not respond now may do so before the deadline.
        std::this_thread::sleep_for(poll_interval);
    }
}

auto add_submit_options(cxxopts::OptionAdder add) -> void
{
    auto const integer = [](char const* default_text)
    {
        return cxxopts::value<std::int64_t>()->default_value(default_text);
    };
    auto const text = []
    {
        return cxxopts::value<std::string>()->default_value("");
    };
    add("id", "job id (default: a new one)", cxxopts::value<std::string>(),
        "ID");
    add("team", "team whose quota is charged", text(), "TEAM");
    add("urgent", "start within seconds, ahead of all other jobs");
    add("task-class", "class of the task", text(), "CLASS");
    add("cpu-milli", "CPU in thousandths of a core", integer("1000"), "N");
    add("memory-mb", "memory in megabytes", integer("1024"), "N");
    add("accelerators", "number of accelerators", integer("0"), "N");
    add("not-interruptible", "the task must not be checkpointed and moved");
    add("expected-run-ms", "run time in ms, 0: unknown", integer("0"), "N");
    add("deadline-s", "deadline in seconds since 1970, 0: none", integer("0"),
        "N");
    add("command", "command, passed unchanged to the worker", text(), "TEXT");
}

} // namespace

auto job_commands() -> std::vector<command>
{
    auto const submit = command{
        "submit",
        "[FILE]",
        "Submits a job from a JSON file or from options; prints its id. "
        "Submitting the same job again is safe.",
        "  godwitcleatctl submit tally.json\n"
        "  godwitcleatctl submit --team stock --cpu-milli 2000 "
        "--memory-mb 4096 --command \"tally --shop 7\"\n",
        0,
        1,
        add_submit_options,
        run_submit};
    auto const cancel = command{
        "cancel",
        "JOB",
        "Cancels a job; one that is cancelled or has ended stays so.",
        "  godwitcleatctl cancel tally-7 --reason \"wrong shop\"\n",
        1,
        1,
        [](cxxopts::OptionAdder add)
        {
            add("reason", "reason, stored with the job",
                cxxopts::value<std::string>()->default_value(
                    "cancelled by an operator"),
                "TEXT");
        },
        run_cancel};
    auto const jobs = command{
        "jobs",
        "[JOB]",
        "Lists all jobs, or one.",
        "  godwitcleatctl jobs\n  godwitcleatctl jobs tally-7 --json\n",
        0,
        1,
        {},
        run_jobs};
    auto const wait = command{
        "wait",
        "JOB",
        "Waits until a job ends. Exit code 0 if it finished, 1 if it failed "
        "or was cancelled, 5 if the timeout has passed.",
        "  godwitcleatctl wait tally-7 --timeout-s 600\n",
        1,
        1,
        [](cxxopts::OptionAdder add)
        {
            add("timeout-s", "timeout in seconds",
                cxxopts::value<std::uint32_t>()->default_value("3600"), "N");
        },
        run_wait};
    return {submit, cancel, jobs, wait};
}

} // namespace godwitcleat::ctl
