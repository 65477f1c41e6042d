/** @file dispatch_crash_test.cpp Tests of tasks under which workers crash. */
#include "protocol/protocol.hpp"
#include "tests/support/dispatch_world_base.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace core = godwitcleat::core;
namespace protocol = godwitcleat::protocol;
namespace state = godwitcleat::state;
namespace tests = godwitcleat::tests;
using state::plan_phase;

namespace
{

constexpr auto worker_capacity = core::resources{4000, 8000, 0};
constexpr auto crash_age_ms = std::int64_t{500};
constexpr auto down_ms = std::int64_t{3000};

auto count_starts(tests::dispatch_world const& world, std::string const& task)
    -> std::ptrdiff_t
{
    return std::count_if(
        world.starts.begin(), world.starts.end(),
        [&](auto const& it) { return it.starts_with(task + "@"); });
}

auto worker_of(std::string const& start) -> std::string
{
    return start.substr(start.find('@') + 1);
}

/** A world in which tasks of jobs bad* crash their workers, which return. */
class crash_world
{
public:
    explicit crash_world(
        int workers, std::int64_t worker_down_ms = down_ms,
        int data_centres = 1)
        : worker_down_ms_(worker_down_ms)
    {
        for (auto i = 0; i < workers; ++i)
        {
            ids_.push_back(fmt::format("w{}", i));
            auto& info = world.add_worker(ids_.back(), worker_capacity).info;
            auto const dc = fmt::format("dc-{}", i % data_centres + 1);
            info.data_centre = core::data_centre_id{dc};
            info.labels.insert(dc);
        }
        world.behaviour_of = [](state::task_name const& task, auto)
        {
            auto const& id = task.job.value;
            auto const lasts = id.starts_with("long");
            auto const crashes = id.starts_with("bad");
            return tests::task_behaviour{
                lasts ? -1 : (crashes ? 60'000 : 1000), false};
        };
        world.begin_term();
        world.run_for(200);
    }

    auto crash(std::string const& id) -> void
    {
        crash(id, worker_down_ms_);
    }

    auto crash(std::string const& id, std::int64_t ms) -> void
    {
        world.restart_worker(id);
        world.worker(id).reachable = false;
        world.worker(id).unreachable_result =
            state::order_result::connection_refused;
        down_until_[id] = world.now() + std::chrono::milliseconds{ms};
        ++crashes;
    }

    /** Crashes the workers of a data centre; they return within 2 s, in an
     *  order that depends on @p seed. */
    auto crash_data_centre(std::string const& name, std::size_t seed) -> void
    {
        for (auto i = std::size_t{0}; i < ids_.size(); ++i)
        {
            if (world.worker(ids_[i]).info.data_centre.value == name)
            {
                auto const ms = (i * 7 + seed * 13) % 10 * 190 + 100;
                crash(ids_[i], static_cast<std::int64_t>(ms));
            }
        }
    }

    /** Returns the workers in the data centre of worker @p id. */
    auto beside(std::string const& id) -> std::vector<std::string>
    {
        auto const& place = world.worker(id).info.data_centre;
        auto result = std::vector<std::string>{};
        std::copy_if(
            ids_.begin(), ids_.end(), std::back_inserter(result),
            [&](auto const& it)
            { return world.worker(it).info.data_centre == place; });
        return result;
    }

    /** Begins a term whose owner hears @p first before all others. */
    auto begin_term_at(std::string const& first) -> void
    {
        world.begin_term();
        auto others = std::vector<std::string>{};
        for (auto const& id : ids_)
        {
            if (id != first && world.worker(id).reachable)
            {
                others.push_back(id);
                world.worker(id).reachable = false;
            }
        }
        run_for(30);
        for (auto const& id : others)
        {
            world.worker(id).reachable = !down_until_.contains(id);
        }
    }

    auto run_for(std::int64_t ms) -> void
    {
        for (auto i = std::int64_t{0}; i < ms; i += 10)
        {
            world.run_for(10);
            return_workers();
            for (auto const& id : ids_)
            {
                auto const& runs = world.worker(id).runs;
                if (std::any_of(runs.begin(), runs.end(), is_crashing))
                {
                    crash(id);
                }
            }
        }
    }

    tests::dispatch_world world;
    int crashes = 0;

private:
    static auto is_crashing(tests::fake_run const& run) -> bool
    {
        return run.task.job.value.starts_with("bad") &&
               run.total_ms - run.left_ms >= crash_age_ms;
    }

    auto return_workers() -> void
    {
        std::erase_if(
            down_until_,
            [&](auto const& it)
            {
                if (world.now() < it.second)
                {
                    return false;
                }
                world.return_worker(it.first);
                return true;
            });
    }

    std::int64_t worker_down_ms_;
    std::vector<std::string> ids_;
    std::map<std::string, core::time_point> down_until_;
};

auto make_long(std::string id, std::uint32_t tasks) -> state::job_plan
{
    auto plan = tests::make_plan(std::move(id), tasks, 1000);
    plan.steps.front().long_running = true;
    return plan;
}

auto last_worker_of(tests::dispatch_world const& world, std::string const& task)
    -> std::string
{
    auto const it = std::find_if(
        world.starts.rbegin(), world.starts.rend(),
        [&](auto const& start) { return start.starts_with(task + "@"); });
    return it == world.starts.rend() ? std::string{} : worker_of(*it);
}

// Runs the world and returns the times from each crash to the next start of the
// job's first task. Fails if the job ends.
auto restart_delays(crash_world& it, std::string const& job, int ms)
    -> std::vector<int>
{
    it.run_for(100); // Until the job is no longer queued.
    auto result = std::vector<int>{};
    auto crashes = it.crashes;
    auto const task = job + ".0.0.0";
    auto starts = count_starts(it.world, task);
    auto crashed_ms = std::optional<int>{};
    for (auto now_ms = 0; now_ms < ms; now_ms += 10)
    {
        it.run_for(10);
        EXPECT_EQ(it.world.phase(job), plan_phase::active);
        if (crashed_ms && count_starts(it.world, task) > starts)
        {
            result.push_back(now_ms - *std::exchange(crashed_ms, std::nullopt));
        }
        if (std::exchange(crashes, it.crashes) < it.crashes)
        {
            crashed_ms = now_ms;
            starts = count_starts(it.world, task);
        }
    }
    return result;
}

constexpr auto data_centres = 3;

// Jobs that do not end, on 18 workers in three data centres.
auto submit_innocent(crash_world& it) -> void
{
    auto const behaviour = it.world.behaviour_of;
    it.world.behaviour_of = [behaviour](auto const& task, auto run)
    {
        auto const good = task.job.value.starts_with("good");
        return good ? tests::task_behaviour{120'000, false}
                    : behaviour(task, run);
    };
    for (auto i = 0; i < 8; ++i)
    {
        ASSERT_TRUE(it.world.submit(
            tests::make_plan(fmt::format("good{}", i), 3, 1000)));
    }
    it.run_for(500);
}

// Crashes the data centre of a task each 5 s, or another one if it waits.
auto crash_under(crash_world& it, std::string const& task, int times) -> void
{
    for (auto i = 0; i < times; ++i)
    {
        auto const id = last_worker_of(it.world, task);
        it.crash_data_centre(
            it.world.worker(id).info.data_centre.value,
            static_cast<std::size_t>(i));
        it.run_for(5000);
    }
}

auto expect_innocent_active(crash_world const& it) -> void
{
    for (auto i = 0; i < 8; ++i)
    {
        EXPECT_EQ(it.world.phase(fmt::format("good{}", i)), plan_phase::active)
            << i;
    }
    EXPECT_TRUE(it.world.violations.empty());
}

auto stored_crashes(crash_world const& it) -> std::size_t
{
    auto result = std::size_t{0};
    for (auto const& [id, progress] : it.world.stored.progress)
    {
        for (auto const& task : progress.tasks)
        {
            result += task.crashed_runs.size();
        }
    }
    return result;
}

} // namespace

// Guards against one task that crashes worker after worker.
TEST(dispatch_crash, a_task_that_crashes_its_workers_starts_three_times)
{
    for (auto const workers : {4, 18})
    {
        auto it = crash_world{workers, down_ms, workers / 6 + 1};
        ASSERT_TRUE(it.world.submit(tests::make_plan("bad", 1, 1000)));
        it.run_for(60'000);
        EXPECT_LE(count_starts(it.world, "bad.0.0.0"), 3);
        EXPECT_EQ(it.world.phase("bad"), plan_phase::failed);
        EXPECT_TRUE(it.world.violations.empty());
    }
}

// Guards against a long-running job that is given up, and against a task that
// crashes worker after worker without a pause. From the fourth crash on it is
// started 6 s after its last run, and always within 9 s.
TEST(dispatch_crash, a_long_running_task_that_crashes_workers_is_delayed)
{
    auto it = crash_world{4};
    ASSERT_TRUE(it.world.submit(make_long("bad", 1)));
    auto const delays = restart_delays(it, "bad", 60'000);
    ASSERT_GE(delays.size(), 6U);
    EXPECT_LE(delays.size(), 10U);
    EXPECT_TRUE(std::is_sorted(delays.begin(), delays.begin() + 4));
    for (auto i = std::size_t{0}; i < delays.size(); ++i)
    {
        EXPECT_GE(delays[i], std::min(6000, i == 0 ? 0 : 2000 << (i - 1))) << i;
        EXPECT_LE(delays[i], 9000) << i;
    }
    EXPECT_EQ(it.world.phase("bad"), plan_phase::active);
    EXPECT_TRUE(it.world.violations.empty());
}

// Guards against a delay that begins anew with each owner, and against a job
// that is given up by the next owner.
TEST(dispatch_crash, the_delay_of_a_long_running_task_outlasts_its_owner)
{
    auto it = crash_world{4};
    ASSERT_TRUE(it.world.submit(make_long("bad", 1)));
    auto const before = restart_delays(it, "bad", 30'000);
    it.world.begin_term();
    auto const after = restart_delays(it, "bad", 40'000);
    ASSERT_GE(before.size(), 4U);
    // The new owner does not know when the last run of the former one was.
    ASSERT_GE(after.size(), 4U);
    EXPECT_LE(after.size(), 7U);
    for (auto i = std::size_t{1}; i < after.size(); ++i)
    {
        EXPECT_GE(after[i], 6000) << i;
        EXPECT_LE(after[i], 9000) << i;
    }
    EXPECT_EQ(it.world.phase("bad"), plan_phase::active);
    EXPECT_TRUE(it.world.violations.empty());
}

// Guards against a long-running gang whose members start apart, or that is
// given up.
TEST(dispatch_crash, a_long_running_gang_that_crashes_workers_is_delayed)
{
    auto it = crash_world{4};
    auto plan = make_long("bad", 2);
    plan.steps.front().gang = true;
    ASSERT_TRUE(it.world.submit(plan));
    auto const delays = restart_delays(it, "bad", 60'000);
    ASSERT_GE(delays.size(), 6U);
    EXPECT_LE(delays.size(), 10U);
    for (auto i = std::size_t{3}; i < delays.size(); ++i)
    {
        EXPECT_GE(delays[i], 6000) << i;
        EXPECT_LE(delays[i], 9000) << i;
    }
    EXPECT_EQ(
        count_starts(it.world, "bad.0.0.0"),
        count_starts(it.world, "bad.0.0.1"));
    EXPECT_EQ(it.world.phase("bad"), plan_phase::active);
    EXPECT_TRUE(it.world.violations.empty());
}

// Guards against a job that is given up because its workers crashed by
// themselves (LOST: a long-running task is started 9 s after its last run).
TEST(dispatch_crash, a_sound_long_running_task_on_crashing_workers_stays)
{
    auto it = crash_world{8};
    ASSERT_TRUE(it.world.submit(make_long("long", 3)));
    it.run_for(300);
    for (auto i = 0; i < 8; ++i)
    {
        ASSERT_EQ(it.world.running(), 3U) << i;
        it.run_for(4000);
        it.crash(last_worker_of(it.world, "long.0.0.0"));
        it.run_for(9000);
        EXPECT_EQ(it.world.phase("long"), plan_phase::active) << i;
    }
    EXPECT_EQ(it.world.running(), 3U);
    EXPECT_TRUE(it.world.violations.empty());
}

// Guards against a delay that outlasts the proof that the task is sound.
TEST(dispatch_crash, a_long_running_task_is_not_delayed_after_10_s_of_work)
{
    auto it = crash_world{4};
    ASSERT_TRUE(it.world.submit(make_long("long", 1)));
    it.run_for(300);
    auto const restart_ms = [&]
    {
        auto const starts = it.world.starts.size();
        it.crash(last_worker_of(it.world, "long.0.0.0"));
        auto ms = 0;
        for (; it.world.starts.size() == starts && ms < 20'000; ms += 10)
        {
            it.run_for(10);
        }
        it.run_for(300);
        return ms;
    };
    auto const first = restart_ms();
    for (auto i = 0; i < 4; ++i)
    {
        restart_ms();
    }
    EXPECT_GE(restart_ms(), 6000);
    it.run_for(11'000);
    EXPECT_EQ(stored_crashes(it), 0U);
    EXPECT_LE(restart_ms(), first + 500);
    it.run_for(500);
    EXPECT_LE(restart_ms(), first + 500);
}

// Guards against suspects on the only worker that wait for the proof of each
// other for longer than 9 s after their last runs.
TEST(dispatch_crash, long_running_suspects_keep_apart_for_6_s)
{
    auto it = crash_world{1};
    ASSERT_TRUE(it.world.submit(make_long("long", 3)));
    it.run_for(300);
    ASSERT_EQ(it.world.running(), 3U);
    it.crash("w0");
    it.run_for(down_ms + 500);
    ASSERT_EQ(it.world.running(), 3U);
    it.crash("w0");
    it.run_for(5500);
    EXPECT_EQ(it.world.running(), 1U);
    it.run_for(3500);
    EXPECT_EQ(it.world.running(), 3U);
    EXPECT_TRUE(it.world.violations.empty());
}

// Guards against a delayed task that keeps a worker from others.
TEST(dispatch_crash, a_delayed_long_running_task_reserves_no_worker)
{
    auto it = crash_world{1};
    auto plan = make_long("bad", 1);
    plan.steps.front().need = worker_capacity;
    ASSERT_TRUE(it.world.submit(plan));
    for (auto ms = 0; it.crashes < 5 && ms < 60'000; ms += 10)
    {
        it.run_for(10);
    }
    ASSERT_EQ(it.crashes, 5);
    it.run_for(down_ms + 500);
    ASSERT_EQ(it.world.running(), 0U);
    ASSERT_TRUE(it.world.submit(tests::make_plan("other", 1, 1000)));
    it.run_for(300);
    EXPECT_EQ(count_starts(it.world, "other.0.0.0"), 1);
}

// Guards against crashes that are not counted if the worker stays away for
// longer than its lease. Each start follows the lapse of a lease, and the third
// crash is known when its worker returns.
TEST(dispatch_crash, crashes_of_workers_that_return_after_their_lease_count)
{
    for (auto const away_ms : {8000, 20'000})
    {
        auto it = crash_world{4, away_ms};
        auto const lease_ms =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                it.world.settings.lease_limit)
                .count();
        ASSERT_TRUE(it.world.submit(tests::make_plan("bad", 1, 1000)));
        it.run_for(120'000);
        EXPECT_LE(
            count_starts(it.world, "bad.0.0.0"),
            1 + (2 * lease_ms + away_ms) / lease_ms);
        EXPECT_EQ(it.world.phase("bad"), plan_phase::failed) << away_ms;
        EXPECT_TRUE(it.world.violations.empty());
    }
}

// Guards against a worker that was only cut off: its runs have lapsed, but it
// has not crashed.
TEST(dispatch_crash, lapsed_runs_of_a_worker_that_was_cut_off_do_not_count)
{
    auto it = crash_world{2};
    ASSERT_TRUE(it.world.submit(make_long("j1", 1)));
    for (auto i = 0; i < 4; ++i)
    {
        it.run_for(1000);
        auto const id = worker_of(it.world.starts.back());
        it.world.worker(id).reachable = false;
        it.run_for(9000);
        it.world.worker(id).reachable = true;
    }
    it.run_for(3000);
    EXPECT_EQ(it.world.running(), 1U);
    EXPECT_EQ(it.world.phase("j1"), plan_phase::active);
}

// Guards against crashes that are not counted if the worker leaves the list.
TEST(dispatch_crash, a_task_whose_workers_exit_starts_three_times)
{
    auto world = tests::dispatch_world{};
    for (auto i = 0; i < 8; ++i)
    {
        world.add_worker(fmt::format("w{}", i), worker_capacity);
    }
    world.behaviour_of = [](auto const&, auto)
    {
        return tests::task_behaviour{60'000, false};
    };
    world.begin_term();
    world.run_for(200);
    ASSERT_TRUE(world.submit(tests::make_plan("bad", 1, 1000)));
    for (auto i = 0; i < 5; ++i)
    {
        world.run_for(3000);
        if (world.running() > 0)
        {
            world.exit_worker(worker_of(world.starts.back()));
        }
    }
    EXPECT_LE(world.starts.size(), 3U);
    EXPECT_EQ(world.phase("bad"), plan_phase::failed);
}

// Guards against a crash that is not counted because the start had no answer.
TEST(dispatch_crash, an_unanswered_start_counts)
{
    auto it = crash_world{2};
    auto& world = it.world;
    world.worker("w0").delays_starts = true;
    world.worker("w1").delays_starts = true;
    ASSERT_TRUE(world.submit(tests::make_plan("bad", 1, 1000)));
    for (auto i = 0; i < 1500; ++i)
    {
        for (auto const* const id : {"w0", "w1"})
        {
            if (!world.worker(id).delayed.empty())
            {
                world.carry_out_delayed(id);
                it.crash(id);
            }
        }
        it.run_for(10);
    }
    EXPECT_LE(count_starts(world, "bad.0.0.0"), 3);
    EXPECT_EQ(world.phase("bad"), plan_phase::failed);
}

// Guards against a count that begins anew with each owner.
TEST(dispatch_crash, crashes_count_across_a_change_of_owner)
{
    for (auto const workers : {4, 18})
    {
        auto it = crash_world{workers, down_ms, workers / 6 + 1};
        ASSERT_TRUE(it.world.submit(tests::make_plan("bad", 1, 1000)));
        while (it.crashes < 2)
        {
            it.run_for(10);
        }
        it.run_for(down_ms + 1000);
        it.world.begin_term();
        it.run_for(60'000);
        EXPECT_LE(count_starts(it.world, "bad.0.0.0"), 4);
        EXPECT_EQ(it.world.phase("bad"), plan_phase::failed);
    }
}

// Guards against innocent tasks that are given up with the one beside them.
TEST(dispatch_crash, tasks_beside_a_crashing_one_complete)
{
    auto it = crash_world{4};
    for (auto i = 0; i < 6; ++i)
    {
        ASSERT_TRUE(it.world.submit(
            tests::make_plan(fmt::format("good{}", i), 8, 1000)));
        ASSERT_TRUE(
            it.world.submit(tests::make_plan(fmt::format("bad{}", i), 1, 500)));
    }
    it.run_for(180'000);
    for (auto i = 0; i < 6; ++i)
    {
        EXPECT_EQ(
            it.world.phase(fmt::format("good{}", i)), plan_phase::completed);
        EXPECT_EQ(it.world.phase(fmt::format("bad{}", i)), plan_phase::failed);
    }
    EXPECT_TRUE(it.world.violations.empty());
}

// Guards against a sound long-running task that is given up.
TEST(dispatch_crash, a_long_running_task_beside_crashing_ones_stays)
{
    auto it = crash_world{3};
    ASSERT_TRUE(it.world.submit(make_long("long", 6)));
    it.run_for(2000);
    for (auto i = 0; i < 4; ++i)
    {
        ASSERT_TRUE(
            it.world.submit(tests::make_plan(fmt::format("bad{}", i), 1, 500)));
    }
    it.run_for(180'000);
    for (auto i = 0; i < 4; ++i)
    {
        EXPECT_EQ(it.world.phase(fmt::format("bad{}", i)), plan_phase::failed);
    }
    EXPECT_EQ(it.world.phase("long"), plan_phase::active);
    EXPECT_EQ(it.world.running(), 6U);
}

// Guards against a task that is given up because its workers were replaced.
TEST(dispatch_crash, a_restart_of_a_draining_worker_does_not_count)
{
    auto it = crash_world{2};
    auto& world = it.world;
    world.behaviour_of = [](auto const&, auto)
    {
        return tests::task_behaviour{5000, false};
    };
    ASSERT_TRUE(world.submit(tests::make_plan("j1", 1, 1000)));
    for (auto i = 0; i < 4; ++i)
    {
        world.run_for(500);
        ASSERT_EQ(world.running(), 1U);
        auto const id = worker_of(world.starts.back());
        world.worker(id).info.draining = true;
        world.worker(id).info.drain_left_ms = 60'000;
        world.run_for(100);
        world.worker(id).info.draining = false;
        world.restart_worker(id);
    }
    world.run_for(10'000);
    EXPECT_EQ(world.starts.size(), 5U);
    EXPECT_EQ(world.phase("j1"), plan_phase::completed);
}

// Guards against a task that is given up because its workers were cut off.
TEST(dispatch_crash, a_lapsed_lease_does_not_count)
{
    auto it = crash_world{2};
    auto& world = it.world;
    world.behaviour_of = [](auto const&, auto)
    {
        return tests::task_behaviour{30'000, false};
    };
    ASSERT_TRUE(world.submit(make_long("j1", 1)));
    for (auto i = 0; i < 4; ++i)
    {
        world.run_for(500);
        auto const id = worker_of(world.starts.back());
        world.worker(id).reachable = false;
        world.run_for(8000);
        world.worker(id).reachable = true;
    }
    world.run_for(3000);
    EXPECT_EQ(world.starts.size(), 5U);
    EXPECT_EQ(world.phase("j1"), plan_phase::active);
    EXPECT_EQ(world.running(), 1U);
}

// Guards against a long-lived task that is given up after unrelated crashes.
TEST(dispatch_crash, a_crash_after_10_s_of_work_does_not_count)
{
    auto it = crash_world{2};
    ASSERT_TRUE(it.world.submit(make_long("long", 1)));
    for (auto i = 0; i < 5; ++i)
    {
        it.run_for(15'000);
        ASSERT_EQ(it.world.running(), 1U);
        it.crash(worker_of(it.world.starts.back()));
    }
    it.run_for(15'000);
    EXPECT_EQ(it.world.phase("long"), plan_phase::active);
    EXPECT_EQ(it.world.running(), 1U);
}

// Guards against an innocent job that is given up because a new owner takes the
// run that it finds for a young one.
TEST(dispatch_crash, a_task_that_works_for_15_s_is_not_given_up_by_new_owners)
{
    auto it = crash_world{2};
    it.world.behaviour_of = [](auto const&, auto)
    {
        return tests::task_behaviour{60'000, false};
    };
    ASSERT_TRUE(it.world.submit(tests::make_plan("good", 1, 1000)));
    for (auto i = 0; i < 5; ++i)
    {
        it.run_for(15'000);
        ASSERT_EQ(it.world.running(), 1U) << i;
        it.world.begin_term();
        it.run_for(1000);
        it.crash(worker_of(it.world.starts.back()));
        it.run_for(down_ms + 1000);
    }
    EXPECT_EQ(it.world.phase("good"), plan_phase::active);
    EXPECT_TRUE(it.world.violations.empty());
}

// Guards against a task that is given up although it was being stopped.
TEST(dispatch_crash, a_crash_under_a_run_that_is_stopped_does_not_count)
{
    auto it = crash_world{2};
    auto& world = it.world;
    world.behaviour_of = [](auto const&, auto)
    {
        return tests::task_behaviour{3000, false};
    };
    world.worker("w0").stalled = true;
    world.worker("w1").stalled = true;
    world.loses_stop_orders = true;
    ASSERT_TRUE(world.submit(tests::make_plan("j1", 1, 1000)));
    for (auto i = 0; i < 4; ++i)
    {
        it.run_for(3000);
        ASSERT_EQ(world.starts.size(), i + 1U);
        ASSERT_EQ(world.running(), 1U);
        it.crash(worker_of(world.starts.back()));
        it.run_for(down_ms + 200);
    }
    world.worker("w0").stalled = false;
    world.worker("w1").stalled = false;
    it.run_for(15'000);
    EXPECT_EQ(world.phase("j1"), plan_phase::completed);
}

// Guards against innocent tasks that share a worker with a suspect needlessly.
TEST(dispatch_crash, a_suspect_and_other_tasks_keep_apart)
{
    auto it = crash_world{3};
    auto& world = it.world;
    world.behaviour_of = [](auto const&, auto)
    {
        return tests::task_behaviour{8000, false};
    };
    ASSERT_TRUE(world.submit(tests::make_plan("suspect", 1, 1000)));
    it.run_for(200);
    it.crash(worker_of(world.starts.back()));
    ASSERT_TRUE(world.submit(tests::make_plan("other", 1, 500)));
    it.run_for(200);
    auto const other = worker_of(world.starts.back());
    it.run_for(down_ms + 500);
    ASSERT_EQ(count_starts(world, "suspect.0.0.0"), 2);
    auto const suspect = worker_of(world.starts.back());
    EXPECT_NE(suspect, other);
    ASSERT_TRUE(world.submit(tests::make_plan("third", 1, 500)));
    it.run_for(200);
    ASSERT_EQ(count_starts(world, "third.0.0.0"), 1);
    EXPECT_NE(worker_of(world.starts.back()), suspect);
}

// Guards against suspects that share a worker again after two crashes, or that
// wait for ever.
TEST(dispatch_crash, suspects_run_one_after_the_other_on_the_only_worker)
{
    auto it = crash_world{1};
    ASSERT_TRUE(it.world.submit(tests::make_plan("good", 3, 1000)));
    it.run_for(300);
    ASSERT_EQ(it.world.running(), 3U);
    it.crash("w0");
    it.run_for(down_ms + 500);
    ASSERT_EQ(it.world.running(), 3U);
    it.crash("w0");
    auto most = std::size_t{0};
    for (auto i = 0; i < 2000; ++i)
    {
        it.run_for(10);
        most = std::max(most, it.world.running());
    }
    EXPECT_EQ(most, 1U);
    EXPECT_EQ(it.world.phase("good"), plan_phase::completed);
}

// Guards against long-running suspects that keep others from a worker for ever.
TEST(dispatch_crash, all_long_running_suspects_start_on_the_only_worker)
{
    auto it = crash_world{1};
    ASSERT_TRUE(it.world.submit(make_long("long", 3)));
    it.run_for(300);
    ASSERT_EQ(it.world.running(), 3U);
    it.crash("w0");
    it.run_for(60'000);
    EXPECT_EQ(it.world.running(), 3U);
}

// Guards against suspects that keep other tasks of their kind from starting.
TEST(dispatch_crash, a_waiting_suspect_does_not_block_other_tasks)
{
    auto it = crash_world{1};
    it.world.behaviour_of = [](auto const&, auto)
    {
        return tests::task_behaviour{6000, false};
    };
    // In time, so that it is placed before the other job.
    auto first = tests::make_plan("first", 2, 1000);
    first.steps.front().expected_run_ms = 6000;
    ASSERT_TRUE(it.world.submit(first));
    it.run_for(300);
    it.crash("w0");
    it.run_for(down_ms + 500);
    ASSERT_EQ(it.world.running(), 2U);
    it.crash("w0");
    it.run_for(down_ms + 500);
    ASSERT_EQ(it.world.running(), 1U);
    ASSERT_TRUE(it.world.submit(tests::make_plan("other", 1, 1000)));
    it.run_for(1000);
    EXPECT_EQ(count_starts(it.world, "other.0.0.0"), 1);
}

// Guards against suspects that keep the rest of their own step from starting.
TEST(dispatch_crash, a_waiting_suspect_does_not_block_its_own_step)
{
    auto it = crash_world{1};
    it.world.behaviour_of = [](auto const&, auto)
    {
        return tests::task_behaviour{6000, false};
    };
    ASSERT_TRUE(it.world.submit(tests::make_plan("j1", 8, 1000)));
    it.run_for(300);
    ASSERT_EQ(it.world.running(), 4U);
    it.crash("w0");
    it.run_for(down_ms + 1000);
    EXPECT_EQ(it.world.running(), 4U);
    it.run_for(60'000);
    EXPECT_EQ(it.world.phase("j1"), plan_phase::completed);
}

// Guards against a gang that waits for a worker without other suspects.
TEST(dispatch_crash, a_gang_starts_beside_another_suspect)
{
    auto it = crash_world{1};
    ASSERT_TRUE(it.world.submit(make_long("long", 1)));
    auto plan = tests::make_plan("gang", 2, 1000);
    plan.steps.front().gang = true;
    ASSERT_TRUE(it.world.submit(plan));
    it.run_for(300);
    ASSERT_EQ(it.world.running(), 3U);
    it.crash("w0");
    it.run_for(down_ms + 500);
    EXPECT_EQ(it.world.running(), 3U);
    it.run_for(2000);
    EXPECT_EQ(it.world.phase("gang"), plan_phase::completed);
    EXPECT_TRUE(it.world.violations.empty());
}

// Guards against stored progress that an update makes unreadable.
TEST(dispatch_crash, progress_without_crashes_is_readable)
{
    auto const bytes = std::string{
        "\x93\x00\xa0\x91\x93\x05\x91\x07\xa2"
        "cp",
        11};
    auto const progress = protocol::decode<state::plan_progress>(bytes);
    ASSERT_TRUE(progress);
    ASSERT_EQ(progress->tasks.size(), 1U);
    EXPECT_EQ(progress->tasks.front().task, 5U);
    EXPECT_EQ(progress->tasks.front().checkpoint, "cp");
    EXPECT_EQ(
        protocol::decode<state::plan_progress>(protocol::encode(*progress)),
        progress);
}

// Guards against long-running tasks that stay down after one crash on a small
// fleet. One may be down for at most 6 s.
TEST(dispatch_crash, long_running_tasks_start_together_after_one_crash)
{
    auto it = crash_world{2};
    ASSERT_TRUE(it.world.submit(make_long("long", 4)));
    it.run_for(300);
    ASSERT_EQ(it.world.running(), 4U);
    it.crash(worker_of(it.world.starts.front()));
    it.run_for(6000);
    EXPECT_EQ(it.world.running(), 4U);
}

// Guards against jobs that are given up after crashes of a data centre.
TEST(dispatch_crash, innocent_tasks_survive_common_crashes)
{
    auto it = crash_world{18, down_ms, data_centres};
    submit_innocent(it);
    crash_under(it, "good0.0.0.0", 10);
    it.run_for(10'000);
    expect_innocent_active(it);
    EXPECT_EQ(it.world.running(), 24U);
    EXPECT_EQ(stored_crashes(it), 0U);
}

// Guards against common crashes that count with the next owner.
TEST(dispatch_crash, innocent_tasks_survive_common_crashes_and_owners)
{
    for (auto const after_ms : {50, 400, 1000, 1800, 2600})
    {
        auto it = crash_world{18, down_ms, data_centres};
        submit_innocent(it);
        for (auto i = 0; i < 6; ++i)
        {
            crash_under(it, "good0.0.0.0", 1);
            auto const id = last_worker_of(it.world, "good0.0.0.0");
            it.crash_data_centre(
                it.world.worker(id).info.data_centre.value,
                static_cast<std::size_t>(i));
            it.run_for(after_ms);
            it.world.begin_term();
            it.run_for(5000 - after_ms);
        }
        it.run_for(10'000);
        expect_innocent_active(it);
        EXPECT_EQ(stored_crashes(it), 0U) << after_ms;
    }
}

// Guards against common crashes that count with a new owner because it heard
// one worker before the others, and none of them twice.
TEST(dispatch_crash, innocent_tasks_survive_common_crashes_after_a_new_term)
{
    for (auto const crash_ms : {300, 600, 900})
    {
        auto it = crash_world{18, down_ms, data_centres};
        it.world.holds_wait = true;
        submit_innocent(it);
        for (auto i = 0; i < 6; ++i)
        {
            auto const first = last_worker_of(it.world, "good0.0.0.0");
            it.begin_term_at(first);
            it.run_for(crash_ms);
            it.crash_data_centre(
                it.world.worker(first).info.data_centre.value,
                static_cast<std::size_t>(i));
            it.run_for(8000);
        }
        expect_innocent_active(it);
        EXPECT_EQ(stored_crashes(it), 0U) << crash_ms;
    }
}

// Guards against deadly jobs that pass for victims of common crashes with new
// owners, in one data centre and in all.
TEST(dispatch_crash, a_deadly_job_is_given_up_soon_after_new_terms)
{
    constexpr auto terms = 8;
    for (auto const* const label : {"dc-1", ""})
    {
        for (auto const term_ms : {3300, 3500, 3700, 4300})
        {
            auto it = crash_world{18, down_ms, data_centres};
            it.world.holds_wait = true;
            auto plan = tests::make_plan("bad", 12, 1000);
            plan.steps.front().label = label;
            ASSERT_TRUE(it.world.submit(plan));
            for (auto i = 0; i < terms; ++i)
            {
                it.run_for(term_ms);
                it.begin_term_at(last_worker_of(it.world, "bad.0.0.0"));
            }
            it.run_for(60'000);
            EXPECT_EQ(it.world.phase("bad"), plan_phase::failed)
                << label << ' ' << term_ms;
            // Each owner may lose one crash that it has heard of.
            EXPECT_LE(count_starts(it.world, "bad.0.0.0"), terms + 5);
        }
    }
}

// Guards against common crashes that count because the workers were away for
// longer than their leases, also if the list of workers lacked them.
TEST(dispatch_crash, innocent_tasks_survive_long_common_crashes)
{
    for (auto const listed : {true, false})
    {
        auto it = crash_world{18, 12'000, data_centres};
        submit_innocent(it);
        for (auto i = 0; i < 6; ++i)
        {
            auto const id = last_worker_of(it.world, "good0.0.0.0");
            for (auto const& other : it.beside(id))
            {
                it.crash(other);
                it.world.worker(other).listed = listed;
            }
            it.run_for(15'000);
        }
        expect_innocent_active(it);
    }
}

// Guards against common crashes that count because the workers return one after
// the other, the first of them with a task, after their leases.
TEST(dispatch_crash, innocent_tasks_survive_common_crashes_with_late_returns)
{
    for (auto const listed : {true, false})
    {
        auto it = crash_world{18, down_ms, data_centres};
        submit_innocent(it);
        for (auto i = 0; i < 5; ++i)
        {
            auto const first = last_worker_of(it.world, "good0.0.0.0");
            auto const crash = [&](std::string const& id, std::int64_t ms)
            {
                it.crash(id, ms);
                it.world.worker(id).listed = listed;
            };
            crash(first, 8000);
            auto away_ms = std::int64_t{8000};
            for (auto const& other : it.beside(first))
            {
                if (other != first)
                {
                    away_ms += 1200;
                    crash(other, away_ms);
                }
            }
            it.run_for(15'000);
        }
        expect_innocent_active(it);
        EXPECT_EQ(stored_crashes(it), 0U) << listed;
    }
}

// Guards against a task that waits for as long as a crash is open. Its third
// crash is open for 6 s and does not count.
TEST(dispatch_crash, a_task_waits_for_a_verdict_for_3_s)
{
    auto it = crash_world{18, 300, data_centres};
    it.world.behaviour_of = [](auto const&, auto)
    {
        return tests::task_behaviour{60'000, false};
    };
    auto plan = tests::make_plan("good", 1, 1000);
    plan.steps.front().label = "dc-1";
    ASSERT_TRUE(it.world.submit(plan));
    for (auto i = 0; i < 2; ++i)
    {
        it.run_for(1000);
        it.crash(last_worker_of(it.world, "good.0.0.0"));
        it.run_for(1000);
    }
    it.run_for(1000);
    ASSERT_EQ(stored_crashes(it), 2U);
    ASSERT_EQ(it.world.running(), 1U);
    auto away_ms = std::int64_t{8000};
    for (auto const* const id : {"w0", "w3", "w6", "w9", "w12", "w15"})
    {
        it.crash(id, away_ms);
        away_ms += 1200;
    }
    it.run_for(8000);
    ASSERT_EQ(it.world.running(), 0U);
    it.run_for(3500);
    EXPECT_EQ(it.world.running(), 1U);
    it.run_for(5000);
    EXPECT_EQ(it.world.phase("good"), plan_phase::active);
    EXPECT_EQ(stored_crashes(it), 2U);
    EXPECT_TRUE(it.world.violations.empty());
}

// Guards against a deadly job that is not given up because other workers of its
// data centre are gone for good.
TEST(dispatch_crash, a_deadly_job_beside_lost_workers_is_given_up)
{
    for (auto const away_ms : {300, 8000})
    {
        auto it = crash_world{18, away_ms, data_centres};
        auto plan = tests::make_plan("bad", 1, 1000);
        plan.steps.front().label = "dc-1";
        ASSERT_TRUE(it.world.submit(plan));
        for (auto const* const id : {"w3", "w6", "w9", "w12"})
        {
            it.crash(id, 200'000);
            it.world.worker(id).listed = false;
        }
        it.run_for(60'000);
        EXPECT_EQ(it.world.phase("bad"), plan_phase::failed) << away_ms;
        // A lease may lapse, and a verdict be open, before it is given up.
        EXPECT_LE(count_starts(it.world, "bad.0.0.0"), 4) << away_ms;
        EXPECT_TRUE(it.world.violations.empty());
    }
}

// Guards against a deadly job whose crash passes for a common one because other
// workers of its data centre are drained and restarted at that moment.
TEST(dispatch_crash, a_deadly_job_beside_drained_restarts_is_given_up)
{
    for (auto const leave : {false, true})
    {
        auto it = crash_world{12, down_ms, data_centres};
        auto plan = tests::make_plan("bad", 1, 1000);
        plan.steps.front().label = "dc-1";
        ASSERT_TRUE(it.world.submit(plan));
        for (auto i = 0; i < 3; ++i)
        {
            for (auto ms = 0; it.world.running() == 0 && ms < 5000; ms += 10)
            {
                it.run_for(10);
            }
            auto others = std::vector<std::string>{"w0", "w3", "w6", "w9"};
            std::erase(others, last_worker_of(it.world, "bad.0.0.0"));
            others.pop_back();
            for (auto const& id : others)
            {
                it.world.worker(id).info.draining = true;
                it.world.worker(id).info.drain_left_ms = 60'000;
            }
            auto const crashes = it.crashes;
            while (it.crashes == crashes && it.world.running() > 0)
            {
                it.run_for(10);
            }
            for (auto const& id : others)
            {
                if (leave)
                {
                    it.world.exit_worker(id);
                }
                else
                {
                    it.world.worker(id).info.draining = false;
                    it.world.restart_worker(id);
                }
            }
            it.run_for(1000);
            for (auto const& id : others)
            {
                it.world.worker(id).info.draining = false;
                if (leave)
                {
                    it.world.return_worker(id);
                }
            }
            it.run_for(down_ms);
        }
        it.run_for(20'000);
        EXPECT_EQ(it.world.phase("bad"), plan_phase::failed) << leave;
        EXPECT_LE(count_starts(it.world, "bad.0.0.0"), 3) << leave;
        EXPECT_TRUE(it.world.violations.empty());
    }
}

// Guards against deadly jobs that pass for victims of common crashes, in one
// data centre and in all.
TEST(dispatch_crash, a_deadly_job_that_crashes_many_workers_is_given_up)
{
    for (auto const* const label : {"dc-1", ""})
    {
        for (auto const common : {false, true})
        {
            auto it = crash_world{18, 300, data_centres};
            submit_innocent(it);
            auto plan = tests::make_plan("bad", 12, 1000);
            plan.steps.front().label = label;
            ASSERT_TRUE(it.world.submit(plan));
            for (auto i = 0; i < 6; ++i)
            {
                it.run_for(5000);
                if (common)
                {
                    it.crash_data_centre(
                        fmt::format("dc-{}", i % 2 + 1),
                        static_cast<std::size_t>(i));
                }
            }
            EXPECT_EQ(it.world.phase("bad"), plan_phase::failed) << label;
            for (auto i = 0; i < 12; ++i)
            {
                EXPECT_LE(
                    count_starts(it.world, fmt::format("bad.0.0.{}", i)), 3);
            }
            expect_innocent_active(it);
        }
    }
}

// Guards against deadly jobs that crash most workers of a data centre again and
// again, each another one. From the fourth run on they are started each 6 s.
TEST(dispatch_crash, many_deadly_jobs_of_a_data_centre_are_held_back)
{
    auto it = crash_world{18, 300, data_centres};
    for (auto i = 0; i < 6; ++i)
    {
        auto plan = tests::make_plan(fmt::format("bad{}", i), 1, 3000);
        plan.steps.front().label = "dc-1";
        ASSERT_TRUE(it.world.submit(plan));
    }
    it.run_for(60'000);
    for (auto i = 0; i < 6; ++i)
    {
        EXPECT_LE(count_starts(it.world, fmt::format("bad{}.0.0.0", i)), 12);
    }
}
