/** @file start_window_test.cpp Tests of the limit of starts in flight. */
#include "state/start_window_base.hpp"

#include <gtest/gtest.h>

namespace core = godwitcleat::core;
namespace state = godwitcleat::state;
using namespace std::chrono_literals;

namespace
{

constexpr auto limit = std::size_t{64};
constexpr auto interval = core::duration{100ms};

auto adapt_for(
    state::start_window& window, core::time_point& now, int intervals,
    core::duration answer_time) -> void
{
    for (auto i = 0; i < intervals; ++i)
    {
        now += interval;
        window.answered(answer_time);
        window.adapt(now, std::nullopt);
    }
}

} // namespace

// Guards against a window that stays small after a full link.
TEST(start_window, shrinks_while_answers_are_late_and_grows_again)
{
    auto window = state::start_window{};
    auto now = core::time_point{};
    adapt_for(window, now, 10, 4ms);
    EXPECT_EQ(window.size(limit), limit);
    adapt_for(window, now, 20, 500ms);
    EXPECT_TRUE(window.is_congested());
    EXPECT_EQ(window.size(limit), 2U);
    adapt_for(window, now, 40, 20ms);
    EXPECT_FALSE(window.is_congested());
    EXPECT_EQ(window.size(limit), limit);
}

// Guards against slow starts on a path that is long, but not full.
TEST(start_window, keeps_its_size_on_a_long_path)
{
    auto window = state::start_window{};
    auto now = core::time_point{};
    adapt_for(window, now, 100, 1s);
    EXPECT_EQ(window.size(limit), limit);
}

// Guards against a full link that is not noticed, because no answer comes.
TEST(start_window, shrinks_while_no_answer_comes)
{
    auto window = state::start_window{};
    auto now = core::time_point{};
    adapt_for(window, now, 10, 4ms);
    for (auto i = 0; i < 5; ++i)
    {
        now += interval;
        window.adapt(now, 300ms);
    }
    EXPECT_TRUE(window.is_congested());
    EXPECT_LT(window.size(limit), limit / 2);
}

// Guards against an idle owner that takes no answers for late ones.
TEST(start_window, is_kept_while_nothing_is_sent)
{
    auto window = state::start_window{};
    auto now = core::time_point{};
    adapt_for(window, now, 10, 4ms);
    for (auto i = 0; i < 50; ++i)
    {
        now += interval;
        window.adapt(now, std::nullopt);
    }
    EXPECT_EQ(window.size(limit), limit);
}
