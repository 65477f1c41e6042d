/** @file instance_list_test.cpp What the platform's late list proves. */
#include "coordination/coordination.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <string>

namespace coordination = godwitcleat::coordination;
namespace core = godwitcleat::core;
using namespace std::chrono_literals;

namespace
{

auto at(std::chrono::seconds time) -> core::time_point
{
    return core::time_point{time};
}

/** A list that may be 10 s late, read with or without `entry-1`. */
struct list_fixture
{
    coordination::instance_history list{10s};

    auto read(std::chrono::seconds time, bool has_entry) -> void
    {
        auto entry = coordination::listed_instance{};
        entry.id = has_entry ? "entry-1" : "entry-2";
        list.update({entry}, at(time));
    }

    auto is_gone(std::chrono::seconds known_since, std::chrono::seconds now)
        -> bool
    {
        return list.gone_since("entry-1", at(known_since), at(now)).has_value();
    }
};

} // namespace

TEST(instance_history, an_instance_is_gone_when_the_lag_has_passed)
{
    auto it = list_fixture{};
    it.read(1s, true);
    it.read(20s, false);
    EXPECT_FALSE(it.is_gone(1s, 29s));
    EXPECT_TRUE(it.is_gone(1s, 30s));
    it.read(31s, true);
    EXPECT_FALSE(it.is_gone(1s, 60s));
}

// Guards against an owner that is taken for stopped, because the list does not
// show its process yet or could not be read since.
TEST(instance_history, the_absence_of_a_former_process_proves_nothing)
{
    auto it = list_fixture{};
    it.read(1s, true);
    it.read(20s, false);
    it.read(35s, false);
    EXPECT_FALSE(it.is_gone(32s, 36s));
    EXPECT_FALSE(it.is_gone(32s, 90s)) << "not read since";
    it.read(41s, false);
    EXPECT_FALSE(it.is_gone(32s, 90s)) << "may show the time before its start";
    it.read(42s, false);
    EXPECT_TRUE(it.is_gone(32s, 42s));
}

// Guards against the same for an instance that has joined a moment ago.
TEST(instance_history, an_instance_that_is_not_listed_yet_is_not_gone)
{
    auto it = list_fixture{};
    it.read(1s, false);
    it.read(40s, false);
    EXPECT_FALSE(it.is_gone(39s, 41s));
    it.read(49s, false);
    EXPECT_TRUE(it.is_gone(39s, 49s));
}
