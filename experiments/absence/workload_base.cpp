/** @file workload_base.cpp Services, batch jobs and urgent jobs of one seed. */
#include "workload_base.hpp"

#include "experiments/support/choice_func.hpp"

#include <fmt/format.h>

#include <utility>

namespace godwitcleat::experiments
{

namespace
{

constexpr std::uint32_t teams = 16;
constexpr double team_quota = 0.12; ///< Share of all processors.
constexpr double desk_quota = 0.5;  ///< Of services and urgent jobs.
// Means of the distributions in make_batch(), for the arrival rate.
constexpr double mean_need_milli = 2762;
constexpr double mean_run_s = 84; ///< With a usual slowdown.

} // namespace

workload::workload(
    run_options const& options, std::mt19937_64& random,
    interference_world& world)
    : options_(options)
    , random_(random)
    , world_(world)
{
}

auto workload::batch_rate() const -> double
{
    return batch_rate_;
}

// Each runner is a service of its own, because their sizes differ.
auto workload::make_document() -> state::config_document
{
    auto document = state::config_document{};
    document.number = core::generation{1};
    auto const cpu =
        options_.instances.capacity.cpu_milli * options_.instances.workers;
    auto const memory =
        options_.instances.capacity.memory_mb * options_.instances.workers;
    auto const add_team = [&](std::string const& name, double share)
    {
        auto team = state::team_config{};
        team.team = core::team_id{name};
        team.quota.cpu_milli =
            static_cast<std::int64_t>(share * static_cast<double>(cpu));
        team.quota.memory_mb =
            static_cast<std::int64_t>(share * static_cast<double>(memory));
        document.teams[team.team] = team;
    };
    add_team("desk", desk_quota);
    for (auto n = 0U; n < teams; ++n)
    {
        add_team(fmt::format("team-{}", n), team_quota);
    }
    auto need = std::int64_t{0};
    for (auto n = 0U; n < options_.instances.services; ++n)
    {
        auto service = make_service(n);
        need += service.need.cpu_milli;
        document.services[service.service] = std::move(service);
    }
    batch_rate_ = options_.load * static_cast<double>(cpu - need) /
                  (mean_need_milli * options_.instances.scale * mean_run_s);
    return document;
}

auto workload::make_service(std::uint32_t number) -> state::service_config
{
    auto it = truth{};
    it.task_class = number % service_classes;
    it.cpu_milli = static_cast<std::int64_t>(
        uniform(random_, 1000, 4000) * options_.instances.scale);
    auto service = state::service_config{};
    service.service = core::service_id{fmt::format("{}", number)};
    service.team = core::team_id{"desk"};
    service.need = draw_need(it, random_, options_.instances.scale);
    service.task_class = class_names[it.task_class];
    service.command = fmt::format("serve cpu {}", it.cpu_milli);
    world_.truths[state::runner_ids(service).front()] = it;
    return service;
}

auto workload::make_batch() -> state::job_spec
{
    auto it = truth{};
    it.task_class =
        service_classes + random_() % (class_count - service_classes);
    it.cpu_milli = static_cast<std::int64_t>(
        log_uniform(random_, 700, 4500) * options_.instances.scale);
    it.work_s = log_uniform(random_, 20, 180);
    auto spec = state::job_spec{};
    spec.id = core::job_id{fmt::format("batch/{}", jobs_++)};
    // Demand differs by up to 4 times from team to team.
    auto const team = std::discrete_distribution<int>{
        1, 2, 3, 4, 1, 2, 3, 4, 1, 2, 3, 4, 1, 2, 3, 4}(random_);
    spec.team = core::team_id{fmt::format("team-{}", team)};
    spec.need = draw_need(it, random_, options_.instances.scale);
    spec.interruptible = uniform(random_, 0, 1) < 0.9;
    spec.expected_run_ms = static_cast<std::int64_t>(
        it.work_s * milli * log_uniform(random_, 0.25, 4));
    add(spec, it);
    return spec;
}

auto workload::make_urgent() -> state::job_spec
{
    auto it = truth{};
    it.task_class = service_classes;
    it.cpu_milli = static_cast<std::int64_t>(1500 * options_.instances.scale);
    it.work_s = 5;
    auto spec = state::job_spec{};
    spec.id = core::job_id{fmt::format("urgent/{}", jobs_++)};
    spec.team = core::team_id{"desk"};
    spec.priority = state::priority_class::urgent;
    spec.interruptible = false;
    spec.need.cpu_milli =
        static_cast<std::int64_t>(2000 * options_.instances.scale);
    spec.need.memory_mb =
        static_cast<std::int64_t>(1000 * options_.instances.scale);
    add(spec, it);
    return spec;
}

auto workload::add(state::job_spec& spec, truth const& it) -> void
{
    spec.task_class = class_names[it.task_class];
    spec.command = fmt::format(
        "work {} cpu {}", static_cast<std::int64_t>(it.work_s * milli),
        it.cpu_milli);
    world_.truths[spec.id] = it;
}

auto parse_fleet(std::string_view text) -> std::optional<fleet>
{
    return parse_choice<fleet>(
        "fleet", text,
        {{"small", {4, 50, 6, {16000, 61440, 0}, 50, 1.0}},
         {"large", {3, 65, 11, {64000, 256000, 0}, 65, 4.0}}});
}

} // namespace godwitcleat::experiments
