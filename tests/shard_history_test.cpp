/** @file shard_history_test.cpp Histories of shards under injected faults. */
#include "tests/support/shard_cluster_base.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdlib>
#include <string>
#include <vector>

using namespace godwitcleat;
using tests::fault_kind;

namespace
{

constexpr std::uint32_t fault_window_ms = 30000;

auto arbitrary_fault() -> rc::Gen<tests::fault>
{
    return rc::gen::build<tests::fault>(
        rc::gen::set(
            &tests::fault::at_ms,
            rc::gen::inRange<std::uint32_t>(0, fault_window_ms)),
        rc::gen::set(
            &tests::fault::kind, rc::gen::map(
                                     rc::gen::inRange(0, 10), [](int n)
                                     { return static_cast<fault_kind>(n); })),
        rc::gen::set(
            &tests::fault::target, rc::gen::inRange<std::uint32_t>(0, 60)),
        rc::gen::set(
            &tests::fault::duration_ms,
            rc::gen::inRange<std::uint32_t>(200, 15000)));
}

auto describe(tests::cluster_options const& options) -> std::string
{
    auto text = fmt::format("seed {}", options.seed);
    for (auto const& it : options.faults)
    {
        text += "\n  " + to_string(it);
    }
    return text;
}

auto arbitrary_options() -> tests::cluster_options
{
    auto options = tests::cluster_options{};
    options.seed = *rc::gen::arbitrary<std::uint32_t>();
    auto const n = *rc::gen::inRange<std::size_t>(0, 10);
    options.faults =
        *rc::gen::container<std::vector<tests::fault>>(n, arbitrary_fault());
    return options;
}

// Returns true if one of 300 schedules with the injected engine fault violates
// @p rule.
auto detects(
    state::engine_faults injected, std::string const& rule,
    std::vector<fault_kind> const& kinds) -> bool
{
    constexpr std::uint64_t max_schedules = 300;
    for (std::uint64_t seed = 1; seed <= max_schedules; ++seed)
    {
        auto options = tests::cluster_options{};
        options.seed = seed;
        options.engine_faults = injected;
        for (std::uint32_t i = 0; i < 12; ++i)
        {
            auto const n = static_cast<std::uint32_t>(seed + i);
            options.faults.push_back(
                {2000 + i * 2000, kinds[i % kinds.size()], n, 8000});
        }
        auto const found = tests::find_violation(tests::run_cluster(options));
        if (found && found->rule == rule)
        {
            return true;
        }
    }
    return false;
}

} // namespace

// Guards against attempts that overlap, overcommitted workers, lost or wrong
// checkpoints, starts in drained data centres, and jobs that never end.
RC_GTEST_PROP(shard_history, holds_under_faults, ())
{
    auto const options = arbitrary_options();
    auto const result = tests::run_cluster(options);
    auto const violation = tests::find_violation(result);
    if (violation)
    {
        RC_FAIL(describe(options) + "\n" + to_string(*violation));
    }
    if (!result.unfinished.empty())
    {
        RC_FAIL(describe(options) + "\nopen: " + result.unfinished.front());
    }
}

// Guards against a simulation that does not exercise starts, resumes, partial
// reports and held replies, so that the other tests would check nothing.
TEST(shard_history, exercises_starts_and_resumes)
{
    auto starts = std::uint64_t{0};
    auto resumes = std::uint64_t{0};
    auto rebuilt = std::uint64_t{0};
    auto held = std::uint64_t{0};
    for (std::uint64_t seed = 1; seed <= 60; ++seed)
    {
        auto options = tests::cluster_options{};
        options.seed = seed;
        options.faults = {
            {3000, fault_kind::drain, 0, 8000},
            {15000, fault_kind::submit_urgent, 1, 0}};
        auto const result = tests::run_cluster(options);
        EXPECT_TRUE(result.unfinished.empty()) << result.unfinished.front();
        starts += result.starts;
        resumes += result.resumes;
        rebuilt += result.rebuilt_reports;
        held += result.held_replies;
    }
    EXPECT_GT(starts, 450U);
    EXPECT_GT(resumes, 10U);
    EXPECT_GT(rebuilt, 5'000U);
    EXPECT_GT(held, 1'000U);
}

// Guards against a worker lease that is shorter than a take-over: the tasks of
// a shard would stop whenever its owner crashes.
TEST(shard_history, killed_owner_stops_no_task)
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed)
    {
        auto options = tests::cluster_options{};
        options.seed = seed;
        options.faults = {
            {8000, fault_kind::crash_owner, 0, 0},
            {12000, fault_kind::crash_owner, 1, 0},
            {16000, fault_kind::crash_owner, 2, 0}};
        auto const result = tests::run_cluster(options);
        EXPECT_EQ(result.lease_expiries, 0U) << "seed " << seed;
        EXPECT_FALSE(tests::find_violation(result));
        EXPECT_TRUE(result.unfinished.empty());
    }
}

// The tests below guard against checks that do not detect a faulty engine.
TEST(shard_history, finds_a_lease_that_is_not_waited_for)
{
    auto injected = state::engine_faults{};
    injected.ignore_lease_margin = true;
    EXPECT_TRUE(detects(injected, "overlap", {fault_kind::disconnect_worker}));
}

TEST(shard_history, finds_granted_stale_claims)
{
    auto injected = state::engine_faults{};
    injected.grant_stale_claims = true;
    EXPECT_TRUE(detects(
        injected, "overlap",
        {fault_kind::crash_owner, fault_kind::delay_store_replies,
         fault_kind::pause_owner}));
}

TEST(shard_history, finds_ignored_commitments)
{
    auto injected = state::engine_faults{};
    injected.ignore_commitments = true;
    EXPECT_TRUE(
        detects(injected, "overcommitment", {fault_kind::submit_urgent}));
}

TEST(shard_history, finds_starts_before_commit)
{
    auto injected = state::engine_faults{};
    injected.start_before_commit = true;
    EXPECT_TRUE(detects(
        injected, "overlap",
        {fault_kind::crash_owner, fault_kind::pause_owner,
         fault_kind::isolate_owner}));
}

TEST(shard_history, finds_ignored_drains)
{
    auto injected = state::engine_faults{};
    injected.ignore_drain = true;
    EXPECT_TRUE(detects(injected, "drain", {fault_kind::drain}));
}

TEST(shard_history, finds_attempts_before_the_previous_has_ended)
{
    auto injected = state::engine_faults{};
    injected.resume_without_end = true;
    EXPECT_TRUE(detects(
        injected, "overlap", {fault_kind::drain, fault_kind::submit_urgent}));
}
