/** @file dispatch_work_test.cpp Time objectives by the work that is measured.
 */
#include "tests/support/played_load_base.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <vector>

namespace state = godwitcleat::state;
namespace tests = godwitcleat::tests;

namespace
{

constexpr auto even = std::size_t{0};
constexpr auto uneven = std::size_t{1};

/** Jobs of two steps with 8 tasks of 1 s, and such ones with one task of 7 s.
 *  All declare 1 s. */
auto even_and_uneven_jobs() -> std::vector<tests::load_class>
{
    auto load = tests::large_reservations();
    load.tasks = 8;
    load.run_ms = 1000;
    load.declared_run_ms = 1000;
    load.jobs_per_s = 2.0;
    auto longer = load;
    longer.queue.queue = state::queue_id{"uneven"};
    longer.longest_factor = 7;
    return {load, longer};
}

/** 96 cores. */
auto world_by(bool measured) -> std::unique_ptr<tests::dispatch_world>
{
    auto world = tests::make_world(24, 4000, 10);
    world->settings.measured_objectives = measured;
    world->begin_term();
    return world;
}

// The load needs 76 cores at 1.0.
constexpr auto overload = 1.7;

} // namespace

// Guards against jobs that wait behind all others because one of their tasks
// has taken longer than declared, although their callers give them the time.
TEST(dispatch_work, a_job_with_a_longer_task_is_not_taken_for_a_late_one)
{
    auto const world = world_by(true);
    auto load = tests::played_load{*world, even_and_uneven_jobs()};
    load.run_for(tests::warm_up_ms + tests::play_ms, overload);
    load.finish(tests::finish_ms);
    EXPECT_GE(
        load.result_at(uneven).credit(), 0.8 * load.result_at(even).credit());
    EXPECT_GE(load.result_at(even).credit(), 0.9);
    EXPECT_TRUE(world->violations.empty());
}

// Guards against a new owner that does not know the measured work, and keeps
// jobs back or runs them twice.
TEST(dispatch_work, jobs_end_under_a_new_owner_that_has_measured_nothing)
{
    auto const world = world_by(true);
    auto load = tests::played_load{*world, even_and_uneven_jobs()};
    load.run_for(tests::warm_up_ms + tests::play_ms / 2, overload);
    world->begin_term();
    load.run_for(tests::play_ms / 2, overload);
    load.finish(tests::finish_ms);
    EXPECT_EQ(world->running(), 0U);
    EXPECT_GE(load.whole(), 0.5);
    EXPECT_TRUE(world->violations.empty());
}
