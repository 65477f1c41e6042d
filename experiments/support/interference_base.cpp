/** @file interference_base.cpp Modelled interference and declared needs. */
#include "experiments/support/interference_base.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace godwitcleat::experiments
{

namespace
{

// Greatest and least excess slowdown beside a neighbour that uses the whole
// worker.
constexpr double least_on_service = 0.1;
constexpr double most_on_service = 6.0;
constexpr double least_on_batch = 0.05;
constexpr double most_on_batch = 0.8;
constexpr double least_of_service = 0.05;
constexpr double most_of_service = 0.3;

constexpr double declared_factor = 4.0; ///< Greatest error, either way.

// Errors of a report.
constexpr double report_noise = 0.05;
constexpr double outlier_share = 0.01;

} // namespace

auto uniform(std::mt19937_64& random, double low, double high) -> double
{
    return std::uniform_real_distribution<double>{low, high}(random);
}

auto log_uniform(std::mt19937_64& random, double low, double high) -> double
{
    return std::exp(uniform(random, std::log(low), std::log(high)));
}

interference_world::interference_world(
    std::mt19937_64& random, double capacity_milli, cpu_function cpu)
    : capacity_milli_(capacity_milli)
    , cpu_(std::move(cpu))
{
    for (auto t = std::size_t{0}; t < class_count; ++t)
    {
        for (auto o = std::size_t{0}; o < class_count; ++o)
        {
            table_[t][o] =
                o < service_classes
                    ? log_uniform(random, least_of_service, most_of_service)
                : t < service_classes
                    ? log_uniform(random, least_on_service, most_on_service)
                    : log_uniform(random, least_on_batch, most_on_batch);
        }
    }
}

auto interference_world::load_of(core::job_id const& id) const -> double
{
    auto const& it = truths.at(id);
    auto const cpu = cpu_ ? cpu_(id, it) : static_cast<double>(it.cpu_milli);
    return cpu * static_cast<double>(it.throttle_percent) / 100.0 /
           capacity_milli_;
}

auto interference_world::slowdown(
    state::job_spec const& task,
    std::vector<state::job_spec const*> const& others) -> double
{
    auto& own = truths.at(task.id);
    auto total = load_of(task.id);
    auto excess = 0.0;
    for (auto const* it : others)
    {
        auto const load = load_of(it->id);
        total += load;
        excess += table_[own.task_class][truths.at(it->id).task_class] * load;
    }
    // Interference grows with the load of the worker; beyond its capacity
    // the processors are shared.
    own.slowdown = 1.0 + excess * (0.5 + 0.5 * std::min(total, 1.0)) +
                   std::max(0.0, total - 1.0);
    return own.slowdown;
}

auto interference_world::follow(state::heartbeat_reply const& reply) -> void
{
    for (auto const& it : reply.commands)
    {
        if (it.kind == state::worker_command_kind::throttle)
        {
            truths.at(it.key.job).throttle_percent = it.throttle_percent;
        }
        else if (it.kind == state::worker_command_kind::start)
        {
            truths.at(it.key.job).throttle_percent = 100;
        }
    }
}

auto add_noise(state::worker_report& report, std::mt19937_64& random) -> void
{
    for (auto& it : report.tasks)
    {
        auto const noise =
            std::normal_distribution<double>{0.0, report_noise}(random);
        it.slowdown = std::max(1.0, it.slowdown * (1.0 + noise));
        if (uniform(random, 0, 1) < outlier_share)
        {
            it.slowdown *= 4.0;
        }
    }
}

auto draw_need(truth const& value, std::mt19937_64& random, double scale)
    -> core::resources
{
    auto const error =
        log_uniform(random, 1.0 / declared_factor, declared_factor);
    auto need = core::resources{};
    need.cpu_milli = std::clamp<std::int64_t>(
        static_cast<std::int64_t>(static_cast<double>(value.cpu_milli) * error),
        static_cast<std::int64_t>(250 * scale),
        static_cast<std::int64_t>(12000 * scale));
    need.memory_mb = static_cast<std::int64_t>(
        uniform(random, 500 * scale, 3000 * scale) * std::sqrt(error));
    return need;
}

auto commit_all(state::shard_engine& engine, core::time_point now) -> void
{
    while (engine.take_batch(now))
    {
        engine.batch_committed(now);
    }
}

} // namespace godwitcleat::experiments
