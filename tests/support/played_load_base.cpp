/** @file played_load_base.cpp Jobs that arrive at a steady rate. */
#include "tests/support/played_load_base.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace godwitcleat::tests
{

namespace
{

constexpr auto step_ms = std::int64_t{10};
constexpr auto late_factor = 3;
constexpr auto ms_per_s = 1000.0;

auto make_job(load_class const& load, std::string id) -> state::job_plan
{
    auto plan = make_plan(std::move(id), load.tasks, load.need.cpu_milli);
    plan.queue = load.queue.queue;
    plan.steps.front().need = load.need;
    plan.steps.front().expected_run_ms = load.declared_run_ms;
    for (auto i = std::uint32_t{1}; i < load.steps; ++i)
    {
        plan.steps.push_back(plan.steps.front());
        plan.steps.back().after = {i - 1};
    }
    return plan;
}

auto make_queue(std::string name, std::uint32_t priority, double stretch)
    -> state::queue_config
{
    auto queue = state::queue_config{};
    queue.queue = state::queue_id{std::move(name)};
    queue.service = core::service_id{"s"};
    queue.priority = priority;
    queue.max_failures = 3;
    queue.stretch = stretch;
    queue.allowance_ms = priority == 0 ? 300 : 1000;
    return queue;
}

} // namespace

played_load::played_load(dispatch_world& world, std::vector<load_class> classes)
    : world_(world)
    , classes_(std::move(classes))
    , due_(classes_.size(), 0.0)
    , results_(classes_.size())
{
    for (auto const& it : classes_)
    {
        world_.add_queue(it.queue);
    }
    world_.behaviour_of = [this](auto const& task, auto)
    {
        auto const& id = task.job.value;
        auto const& load = classes_.at(std::stoul(id.substr(0, id.find('-'))));
        auto const is_longest = task.step == 0 && task.index == 0;
        return task_behaviour{
            load.run_ms * (is_longest ? load.longest_factor : 1), false};
    };
}

auto played_load::run_for(std::int64_t ms, double factor) -> void
{
    for (auto t = std::int64_t{0}; t < ms; t += step_ms)
    {
        for (auto i = std::size_t{0}; i < classes_.size(); ++i)
        {
            due_[i] += classes_[i].jobs_per_s * factor * step_ms / ms_per_s;
            for (; due_[i] >= 1.0; due_[i] -= 1.0)
            {
                submit(i);
            }
        }
        step();
    }
}

auto played_load::finish(std::int64_t ms) -> void
{
    for (auto t = std::int64_t{0}; t < ms && !open_.empty(); t += step_ms)
    {
        step();
    }
}

auto played_load::result_of(std::string const& queue) const
    -> load_result const&
{
    auto const it = std::find_if(
        classes_.begin(), classes_.end(),
        [&](auto const& load) { return load.queue.queue.value == queue; });
    return results_.at(static_cast<std::size_t>(it - classes_.begin()));
}

auto played_load::whole() const -> double
{
    auto earned = 0.0;
    auto owed = 0.0;
    for (auto i = std::size_t{0}; i < classes_.size(); ++i)
    {
        auto const tasks = static_cast<double>(
            results_[i].jobs *
            static_cast<int>(classes_[i].steps * classes_[i].tasks));
        earned += results_[i].credit() * tasks;
        owed += tasks;
    }
    return owed > 0.0 ? earned / owed : 1.0;
}

auto played_load::submit(std::size_t load) -> void
{
    auto id = fmt::format("{}-{}", load, submitted_++);
    ++results_[load].jobs;
    open_.push_back({id, load, now_ms()});
    world_.submit(
        make_job(classes_[load], id),
        [this, load, id](bool stored)
        {
            results_[load].accepted += stored ? 1 : 0;
            if (!stored)
            {
                ++results_[load].refused;
                std::erase_if(
                    open_, [&](open_job const& it) { return it.id == id; });
            }
        },
        classes_[load].customer);
}

auto played_load::step() -> void
{
    world_.run_for(step_ms);
    std::erase_if(
        open_,
        [&](open_job const& it)
        {
            if (world_.phase(it.id) != state::plan_phase::completed)
            {
                return false;
            }
            auto const& load = classes_[it.load];
            auto const path =
                static_cast<double>(load.steps - 1 + load.longest_factor) *
                static_cast<double>(load.run_ms);
            auto const objective = load.queue.stretch * path +
                                   static_cast<double>(load.queue.allowance_ms);
            auto const took = static_cast<double>(now_ms() - it.sent_ms);
            auto& result = results_[it.load];
            result.in_time += took <= objective ? 1 : 0;
            result.late +=
                took > objective && took <= late_factor * objective ? 1 : 0;
            return true;
        });
}

auto played_load::now_ms() const -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               world_.now().time_since_epoch())
        .count();
}

auto quick_checks() -> load_class
{
    auto load = load_class{};
    load.queue = make_queue("check", 0, 1.5);
    load.jobs_per_s = 12.5;
    load.steps = 2;
    load.tasks = 9;
    load.run_ms = 800;
    load.declared_run_ms = 700;
    return load;
}

auto large_reservations() -> load_class
{
    auto load = load_class{};
    load.queue = make_queue("reserve", 2, 2.0);
    load.jobs_per_s = 25;
    load.steps = 2;
    load.tasks = 20;
    load.run_ms = 1700;
    load.declared_run_ms = 1700;
    return load;
}

auto make_world(int workers, std::int64_t cpu_milli, std::int64_t answer_ms)
    -> std::unique_ptr<dispatch_world>
{
    auto world = std::make_unique<dispatch_world>();
    for (auto i = 0; i < workers; ++i)
    {
        world->add_worker(fmt::format("w{:02}", i), {cpu_milli, 10'000'000, 0});
    }
    world->begin_term();
    world->run_for(300);
    world->answer_delay_ms = answer_ms;
    return world;
}

} // namespace godwitcleat::tests
