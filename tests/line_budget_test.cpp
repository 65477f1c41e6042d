/** @file line_budget_test.cpp Tests of the bound on log lines of one kind. */
#include "coordination/line_budget_base.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <utility>

namespace coordination = godwitcleat::coordination;
namespace core = godwitcleat::core;
using namespace std::chrono_literals;

// Guards against logs that grow with the load, and against lines that are left
// out without a count.
TEST(line_budget, bounds_each_kind_and_counts_what_is_left_out)
{
    auto budget = coordination::line_budget{3, 1s};
    auto now = core::time_point{} + 1h;
    auto written = 0;
    for (auto i = 0; i < 10; ++i)
    {
        written += budget.allow("a", now) ? 1 : 0;
        now += 10ms;
    }
    EXPECT_EQ(written, 3);
    EXPECT_TRUE(budget.allow("b", now));
    auto const left_out = budget.take_left_out();
    ASSERT_EQ(left_out.size(), 1U);
    EXPECT_EQ(left_out.front(), std::make_pair(std::string{"a"}, 7UL));
    EXPECT_TRUE(budget.take_left_out().empty());
    now += 1s;
    EXPECT_TRUE(budget.allow("a", now));
}
