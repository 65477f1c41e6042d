/** @file revision_times_test.cpp Dating of changes by the store's revisions. */
#include "coordination/coordination.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace coordination = godwitcleat::coordination;
namespace core = godwitcleat::core;

namespace
{

auto at(std::int64_t ms) -> core::time_point
{
    return core::time_point{std::chrono::milliseconds{ms}};
}

} // namespace

TEST(revision_times, a_change_is_dated_by_the_first_answer_that_shows_it)
{
    auto times = coordination::revision_times{};
    EXPECT_FALSE(times.reached_by(1));
    times.note(10, at(100));
    times.note(20, at(200));
    times.note(30, at(300));
    EXPECT_EQ(times.reached_by(10), at(100));
    EXPECT_EQ(times.reached_by(11), at(200));
    EXPECT_EQ(times.reached_by(20), at(200));
    EXPECT_EQ(times.reached_by(30), at(300));
    EXPECT_FALSE(times.reached_by(31));
}

// Guards against a change that is dated before it happened, also by answers
// that overtake each other and by a record that has been shortened.
RC_GTEST_PROP(
    revision_times, a_change_is_never_dated_early,
    (std::vector<std::pair<std::uint8_t, std::uint8_t>> const& steps))
{
    constexpr auto interval = std::int64_t{20};
    constexpr auto entries = std::size_t{50};
    auto times = coordination::revision_times{
        {std::chrono::milliseconds{interval}, entries}};
    auto now = std::int64_t{1000};
    auto written = std::vector<std::int64_t>{now}; // Time of each revision.
    for (auto const& [pause, age] : steps)
    {
        now += pause;
        written.push_back(now);
        auto const newest = static_cast<std::int64_t>(written.size()) - 1;
        times.note(std::max<std::int64_t>(0, newest - age % 3), at(now));
    }
    for (auto i = std::size_t{0}; i < written.size(); ++i)
    {
        auto const by = times.reached_by(static_cast<std::int64_t>(i));
        RC_ASSERT(!by || *by >= at(written[i]));
    }
}
