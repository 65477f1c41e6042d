/** @file serving_load_test.cpp Best-effort tasks beside serving ones whose load
 * changes. */
#include "state/serving_load_base.hpp"
#include "tests/support/dispatch_world_base.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <numbers>
#include <string>

namespace core = godwitcleat::core;
namespace state = godwitcleat::state;
namespace tests = godwitcleat::tests;
using namespace std::chrono_literals;

namespace
{

constexpr auto period_s = 10.0;
constexpr auto target_ms = std::int64_t{18};

/** Logarithm of the undisturbed tail latency of a job: 5 to 11 ms. */
auto wave(double seconds, double phase) -> double
{
    constexpr auto mean = 2.0;
    constexpr auto amplitude = 0.39;
    return mean +
           amplitude *
               std::sin(2.0 * std::numbers::pi * (seconds / period_s + phase));
}

auto seconds_of(core::time_point at) -> double
{
    return std::chrono::duration<double>{at.time_since_epoch()}.count();
}

auto at(double seconds) -> core::time_point
{
    return core::time_point{std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double>{seconds})};
}

} // namespace

// Guards against best-effort tasks that are placed while the load rises, and
// against room that is kept free while it falls.
TEST(serving_load, forecasts_that_a_rise_goes_on)
{
    constexpr auto horizon = 2500ms;
    constexpr auto highest = 2.39;
    auto load = state::serving_load{};
    for (auto t = 100.0; t < 140.0; t += 0.1)
    {
        load.add(wave(t, 0.0), 1.0, at(t));
        auto const phase = std::fmod(t, period_s);
        if (t < 115.0 || phase > 5.5)
        {
            continue;
        }
        auto const forecast = load.forecast(at(t), horizon);
        ASSERT_TRUE(forecast);
        EXPECT_LE(*forecast, highest + 0.01);
        if (phase < 1.0)
        {
            EXPECT_GE(*forecast, highest - 0.1) << t; // It comes within 2.5 s.
        }
        if (phase > 4.5)
        {
            EXPECT_LE(*forecast, wave(t, 0.0) + 0.25) << t;
        }
        EXPECT_NEAR(load.level(at(t)).value(), wave(t, 0.0), 0.25) << t;
    }
}

// Guards against a load that is known only from tasks that others disturb and
// counts as much as one that is measured.
TEST(serving_load, tasks_without_neighbours_decide)
{
    auto load = state::serving_load{};
    load.add(3.0, 0.1, at(100.0));
    load.add(2.0, 1.0, at(100.0));
    EXPECT_NEAR(load.level(at(100.1)).value(), 2.09, 0.01);
}

// Guards against placement by a load that was measured long ago.
TEST(serving_load, is_unknown_without_measurements)
{
    auto load = state::serving_load{};
    EXPECT_FALSE(load.level(at(100.0)));
    EXPECT_FALSE(load.forecast(at(100.0), 2500ms));
    load.add(2.0, 1.0, at(100.0));
    EXPECT_TRUE(load.level(at(101.0)));
    EXPECT_FALSE(load.level(at(103.0)));
    EXPECT_FALSE(load.forecast(at(103.0), 2500ms));
}

namespace
{

/** What became of a played load. */
struct outcome
{
    double over_target = 0.0; ///< Share of the time of all serving tasks.
    int completed = 0;        ///< Best-effort jobs.
};

constexpr auto serving_jobs = 6;
constexpr auto workers = 8;
constexpr auto classes = 12;
constexpr auto best_effort_cpu = std::int64_t{1800};
constexpr auto worker_cpu = std::int64_t{16'000};

/** Serving jobs whose load changes, each at another time, and best-effort jobs
 *  of twelve classes beside them. */
class played_serving
{
public:
    explicit played_serving(bool followed)
    {
        world_.settings.followed_load = followed;
        for (auto i = 0; i < workers; ++i)
        {
            world_.add_worker(
                fmt::format("w{}", i), {worker_cpu, 10'000'000, 0});
        }
        world_.behaviour_of = [](state::task_name const& task, auto)
        {
            auto const serves = task.job.value.starts_with("s");
            return tests::task_behaviour{serves ? -1 : 2000, false};
        };
        world_.measurement_of = [this](auto const&, auto const& run)
        {
            return run.task.job.value.starts_with("f")
                       ? best_effort_cpu * run.pace / 100
                       : std::lround(means_[run.task]);
        };
        world_.begin_term();
        world_.run_for(300);
        for (auto i = 0; i < serving_jobs; ++i)
        {
            EXPECT_TRUE(world_.submit(serving_job(i)));
        }
    }

    auto begin_term() -> void
    {
        world_.begin_term();
    }

    /** Submits a best-effort job each 400 ms. */
    auto run_for(std::int64_t ms) -> void
    {
        constexpr auto step_ms = std::int64_t{100};
        for (auto t = std::int64_t{0}; t < ms; t += step_ms)
        {
            if (t % 400 == 0)
            {
                world_.submit(best_effort_job(submitted_++), [](bool) {});
            }
            world_.run_for(step_ms);
            count();
        }
    }

    auto result() -> outcome
    {
        auto result = outcome{};
        result.over_target = static_cast<double>(over_) /
                             static_cast<double>(std::max(counted_, 1));
        for (auto i = 0; i < submitted_; ++i)
        {
            auto const phase = world_.phase(fmt::format("f{}", i));
            result.completed += phase == state::plan_phase::completed ? 1 : 0;
        }
        return result;
    }

    [[nodiscard]] auto violations() const -> std::size_t
    {
        return world_.violations.size();
    }

private:
    static auto serving_job(int index) -> state::job_plan
    {
        auto plan = tests::make_plan(fmt::format("s{}", index), 10, 2000);
        auto& step = plan.steps.front();
        step.long_running = true;
        step.task_class = fmt::format("serving-{}", index);
        step.tail_target_ms = target_ms;
        return plan;
    }

    static auto best_effort_job(int index) -> state::job_plan
    {
        auto plan =
            tests::make_plan(fmt::format("f{}", index), 12, best_effort_cpu);
        auto& step = plan.steps.front();
        step.task_class = fmt::format("class-{}", index % classes);
        step.uses_spare_cpu = true;
        step.checkpoints = true;
        step.expected_run_ms = 2000;
        return plan;
    }

    /** Some classes press much on a serving job, each on other ones. */
    static auto excess_of(int serving, tests::fake_run const& run) -> double
    {
        constexpr auto light = 0.3;
        constexpr auto heavy = 2.5;
        auto const index = std::stoi(run.task.job.value.substr(1)) % classes;
        auto const load = static_cast<double>(best_effort_cpu * run.pace) /
                          (100.0 * static_cast<double>(worker_cpu));
        return ((serving + index) % 3 == 0 ? heavy : light) * load;
    }

    auto tail_of(
        tests::fake_dispatch_worker const& worker,
        tests::fake_run const& run) const -> double
    {
        auto const serving = std::stoi(run.task.job.value.substr(1));
        auto const phase = static_cast<double>(serving) / serving_jobs;
        auto tail = wave(seconds_of(world_.now()), phase);
        for (auto const& it : worker.runs)
        {
            tail += it.task.job.value.starts_with("f") ? excess_of(serving, it)
                                                       : 0.0;
        }
        return std::exp(tail);
    }

    auto count() -> void
    {
        for (auto i = 0; i < workers; ++i)
        {
            auto const& worker = world_.worker(fmt::format("w{}", i));
            for (auto const& it : worker.runs)
            {
                if (it.task.job.value.starts_with("s"))
                {
                    // Workers report means over about half a second.
                    auto& mean = means_[it.task];
                    mean += 0.2 * (tail_of(worker, it) - mean);
                    ++counted_;
                    over_ += mean > target_ms ? 1 : 0;
                }
            }
        }
    }

    tests::dispatch_world world_;
    std::map<state::task_name, double> means_; ///< Tail latencies.
    int submitted_ = 0;
    int counted_ = 0;
    int over_ = 0;
};

} // namespace

// Guards against serving tasks over their target because best-effort tasks were
// placed beside them at a low load, and against room that is left unused.
TEST(serving_load, best_effort_tasks_leave_room_for_the_load_to_come)
{
    constexpr auto play_ms = 60'000;
    auto by_mean = played_serving{false};
    by_mean.run_for(play_ms);
    auto followed = played_serving{true};
    followed.run_for(play_ms);
    EXPECT_LT(followed.result().over_target, by_mean.result().over_target);
    EXPECT_LE(followed.result().over_target, 0.02);
    EXPECT_GE(followed.result().completed, 0.9 * by_mean.result().completed);
    EXPECT_EQ(followed.violations(), 0U);
}

// Guards against a new owner, which has followed no load yet, that places
// best-effort tasks as if nothing disturbed the serving ones.
TEST(serving_load, a_new_owner_keeps_the_targets)
{
    auto load = played_serving{true};
    load.run_for(30'000);
    load.begin_term();
    load.run_for(30'000);
    EXPECT_LE(load.result().over_target, 0.02);
    EXPECT_GT(load.result().completed, 0);
    EXPECT_EQ(load.violations(), 0U);
}
