/** @file dispatch_calm_load_test.cpp Admission while nothing waits. */
#include "tests/support/played_load_base.hpp"

#include <gtest/gtest.h>

namespace state = godwitcleat::state;
namespace tests = godwitcleat::tests;

using tests::finish_ms;
using tests::play_ms;
using tests::warm_up_ms;

// Guards against refusals on days that can be served.
TEST(dispatch_admission, nothing_is_refused_while_tasks_start_at_once)
{
    auto const world = tests::make_world(40, 200'000, 30);
    auto load = tests::played_load{
        *world, {tests::quick_checks(), tests::large_reservations()}};
    load.run_for(warm_up_ms);
    load.run_for(2000, 2.0);
    load.run_for(play_ms);
    load.finish(finish_ms);
    for (auto const* const queue : {"check", "reserve"})
    {
        EXPECT_EQ(load.result_of(queue).refused, 0) << queue;
        EXPECT_GE(load.result_of(queue).credit(), 0.95) << queue;
    }
}
