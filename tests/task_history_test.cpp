/** @file task_history_test.cpp The checker rejects hand-made bad histories. */
#include "standins/support/task_history_base.hpp"

#include <gtest/gtest.h>

#include <chrono>

using namespace godwitcleat;
using namespace std::chrono_literals;
using standins::task_event;
using standins::task_event_kind;

namespace
{

constexpr auto drain_bound = 4s;

auto event(
    core::duration at, task_event_kind kind, std::uint64_t attempt,
    std::string worker) -> task_event
{
    auto result = task_event{};
    result.at = core::time_point{at};
    result.kind = kind;
    result.key = {core::job_id{"job"}, core::attempt_number{attempt}};
    result.worker = core::worker_id{std::move(worker)};
    result.data_centre = core::data_centre_id{"dc"};
    return result;
}

auto history(std::vector<task_event> events) -> standins::task_history
{
    auto result = standins::task_history{};
    result.capacities[core::worker_id{"a"}] = {1000, 100, 0};
    result.capacities[core::worker_id{"b"}] = {1000, 100, 0};
    result.needs[core::job_id{"job"}] = {600, 10, 0};
    result.needs[core::job_id{"other"}] = {600, 10, 0};
    result.events = std::move(events);
    return result;
}

} // namespace

// Guards against a checker that misses a job running in two places.
TEST(task_history, rejects_overlap)
{
    auto const bad = history(
        {event(1s, task_event_kind::started, 1, "a"),
         event(2s, task_event_kind::started, 2, "b")});
    ASSERT_TRUE(standins::find_overlap(bad));
    auto const good = history(
        {event(1s, task_event_kind::started, 1, "a"),
         event(2s, task_event_kind::ended, 1, "a"),
         event(3s, task_event_kind::started, 2, "b")});
    EXPECT_FALSE(standins::find_overlap(good));
}

// Guards against a checker that compares one task at a time with capacity.
TEST(task_history, rejects_overcommitment)
{
    auto second = event(2s, task_event_kind::started, 1, "a");
    second.key.job = core::job_id{"other"};
    auto const bad =
        history({event(1s, task_event_kind::started, 1, "a"), second});
    EXPECT_TRUE(standins::find_overcommitment(bad));
    auto const good = history(
        {event(1s, task_event_kind::started, 1, "a"),
         event(2s, task_event_kind::ended, 1, "a"), second});
    EXPECT_FALSE(standins::find_overcommitment(good));
}

// Guards against a checker that accepts an invented checkpoint, a second
// start of one attempt, or work after the job was stored as finished.
TEST(task_history, rejects_bad_resume)
{
    auto resumed = event(3s, task_event_kind::started, 2, "b");
    resumed.progress = 50;
    auto stopped = event(2s, task_event_kind::ended, 1, "a");
    stopped.progress = 50;
    auto const first = event(1s, task_event_kind::started, 1, "a");
    EXPECT_TRUE(
        standins::find_bad_resume(history({first, stopped, resumed}), {}));
    stopped.checkpointed = true;
    auto const good = history({first, stopped, resumed});
    EXPECT_FALSE(standins::find_bad_resume(good, {}));
    EXPECT_TRUE(standins::find_bad_resume(
        good, {{core::job_id{"job"}, core::time_point{2500ms}}}));
    auto again = first;
    again.at = core::time_point{4s};
    EXPECT_TRUE(
        standins::find_bad_resume(history({first, stopped, again}), {}));
}

// Guards against a checker that misses starts in a drained data centre.
TEST(task_history, rejects_start_after_drain)
{
    auto const drained = event(1s, task_event_kind::drain_accepted, 0, "");
    auto const undrained = event(5s, task_event_kind::undrain_accepted, 0, "");
    auto const early = event(5s, task_event_kind::started, 1, "a");
    auto const late = event(6s, task_event_kind::started, 1, "a");
    EXPECT_FALSE(standins::find_start_after_drain(
        history({drained, early}), drain_bound));
    EXPECT_TRUE(standins::find_start_after_drain(
        history({drained, late}), drain_bound));
    EXPECT_FALSE(standins::find_start_after_drain(
        history({drained, undrained, late}), drain_bound));
}
