/** @file shard_state_test.cpp Tests of the rules for each log record. */
#include "state/state.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace core = godwitcleat::core;
using namespace godwitcleat::state;

namespace
{

auto const shard = core::shard_id{3};

auto spec_of(std::string const& name, job_kind kind = job_kind::batch)
    -> job_spec
{
    auto spec = job_spec{};
    spec.id = core::job_id{name};
    spec.kind = kind;
    spec.need = {1000, 512, 0};
    return spec;
}

auto bind_of(std::string const& name, std::uint64_t number) -> bind_attempt
{
    return {
        core::job_id{name},
        {core::attempt_number{number}, shard, core::worker_id{"w"}}};
}

auto end_of(
    std::string const& name, std::uint64_t number, attempt_outcome outcome,
    std::string checkpoint = {}, std::int64_t progress = 0) -> end_attempt
{
    return {
        core::job_id{name},
        core::attempt_number{number},
        outcome,
        std::move(checkpoint),
        progress,
        {}};
}

auto key_of(std::string const& name, std::uint64_t number) -> attempt_key
{
    return {core::job_id{name}, core::attempt_number{number}};
}

auto host_of(std::string const& name, std::uint64_t number) -> host_task
{
    auto task = hosted_task{};
    task.spec = spec_of(name);
    task.attempt = core::attempt_number{number};
    task.home = shard;
    task.worker = core::worker_id{"w"};
    return {task};
}

auto expect_conflict(shard_state const& state, record const& value) -> void
{
    EXPECT_FALSE(state.validate(value));
    EXPECT_EQ(core::last_reason().kind, core::error_kind::conflict);
}

auto state_with_job(std::string const& name, job_kind kind = job_kind::batch)
    -> shard_state
{
    auto state = shard_state{shard};
    EXPECT_TRUE(state.apply(submit_job{spec_of(name, kind)}));
    return state;
}

auto phase_of(shard_state const& state, std::string const& name) -> job_phase
{
    return state.find_job(core::job_id{name})->phase;
}

} // namespace

// Guards against text names that the parse functions do not accept.
TEST(names, are_read_back)
{
    EXPECT_EQ(parse_job_kind(to_string(job_kind::service)), job_kind::service);
    EXPECT_EQ(
        parse_priority(to_string(priority_class::urgent)),
        priority_class::urgent);
    EXPECT_EQ(
        parse_task_phase(to_string(task_phase::stopped)), task_phase::stopped);
    EXPECT_EQ(
        parse_worker_command_kind(to_string(worker_command_kind::throttle)),
        worker_command_kind::throttle);
    EXPECT_FALSE(parse_priority("high"));
    EXPECT_EQ(core::last_reason().kind, core::error_kind::invalid_input);
}

// Guards against a policy that overcommits a worker or ignores its criterion.
TEST(placement, policies_choose_by_free_capacity)
{
    auto all = std::vector<placement_candidate>(3);
    all[0].free = {500, 4096, 0};
    all[1].free = {8000, 8192, 0};
    all[2].free = {2000, 1024, 0};
    for (auto& it : all)
    {
        it.capacity = {8000, 8192, 0};
    }
    EXPECT_EQ(first_fit()(spec_of("a"), all), 1U);
    EXPECT_EQ(best_fit()(spec_of("a"), all), 2U);
    EXPECT_EQ(spread()(spec_of("a"), all), 1U);
    all[2].task_classes = {"noisy"};
    auto const estimate = [](std::string_view, std::string_view other)
    {
        return other == "noisy" ? 2.0 : 1.0;
    };
    EXPECT_EQ(interference_aware(estimate)(spec_of("a"), all), 1U);
    EXPECT_FALSE(best_fit()(spec_of("a"), {}));
}

// Guards against two jobs with the same id and against jobs without an id.
TEST(submit, id_is_unique)
{
    auto state = state_with_job("a");
    expect_conflict(state, submit_job{spec_of("a")});
    EXPECT_FALSE(state.validate(submit_job{spec_of("")}));
    EXPECT_EQ(core::last_reason().kind, core::error_kind::invalid_input);
}

// Guards against concurrent attempts of a job and skipped attempt numbers.
TEST(bind, only_the_next_attempt_after_the_previous_has_ended)
{
    auto state = state_with_job("a");
    EXPECT_FALSE(state.validate(bind_of("b", 1)));
    EXPECT_EQ(core::last_reason().kind, core::error_kind::not_found);
    expect_conflict(state, bind_of("a", 0));
    expect_conflict(state, bind_of("a", 2));
    ASSERT_TRUE(state.apply(bind_of("a", 1)));
    EXPECT_EQ(phase_of(state, "a"), job_phase::placed);
    expect_conflict(state, bind_of("a", 2));
    ASSERT_TRUE(state.apply(end_of("a", 1, attempt_outcome::lost)));
    expect_conflict(state, bind_of("a", 1));
    EXPECT_TRUE(state.validate(bind_of("a", 2)));
}

// Guards against attempts of jobs that have ended or are cancelled.
TEST(bind, not_after_finish_or_cancel)
{
    auto state = state_with_job("a");
    ASSERT_TRUE(state.apply(bind_of("a", 1)));
    ASSERT_TRUE(state.apply(end_of("a", 1, attempt_outcome::finished)));
    EXPECT_EQ(phase_of(state, "a"), job_phase::finished);
    expect_conflict(state, bind_of("a", 2));
    expect_conflict(state, cancel_job{core::job_id{"a"}, ""});
    ASSERT_TRUE(state.apply(submit_job{spec_of("b")}));
    ASSERT_TRUE(state.apply(cancel_job{core::job_id{"b"}, "unwanted"}));
    EXPECT_EQ(phase_of(state, "b"), job_phase::cancelled);
    expect_conflict(state, bind_of("b", 1));
}

// Guards against a cancelled job that never becomes final, and against one that
// is reported as cancelled although its attempt finished.
TEST(cancel, takes_effect_when_the_bound_attempt_ends)
{
    for (auto const outcome :
         {attempt_outcome::stopped, attempt_outcome::finished})
    {
        auto state = state_with_job("a");
        ASSERT_TRUE(state.apply(bind_of("a", 1)));
        ASSERT_TRUE(state.apply(cancel_job{core::job_id{"a"}, "unwanted"}));
        EXPECT_EQ(phase_of(state, "a"), job_phase::placed);
        expect_conflict(state, cancel_job{core::job_id{"a"}, "again"});
        ASSERT_TRUE(state.apply(end_of("a", 1, outcome)));
        EXPECT_EQ(
            phase_of(state, "a"), outcome == attempt_outcome::finished
                                      ? job_phase::finished
                                      : job_phase::cancelled);
    }
}

// Guards against an outcome that is counted twice or for the wrong attempt.
TEST(end, only_the_bound_attempt_and_once)
{
    auto state = state_with_job("a");
    expect_conflict(state, end_of("a", 1, attempt_outcome::lost));
    ASSERT_TRUE(state.apply(bind_of("a", 1)));
    expect_conflict(state, end_of("a", 2, attempt_outcome::lost));
    ASSERT_TRUE(state.apply(end_of("a", 1, attempt_outcome::stopped, "c1", 7)));
    auto const* job = state.find_job(core::job_id{"a"});
    EXPECT_EQ(job->evictions, 1U);
    EXPECT_EQ(job->checkpoint, "c1");
    EXPECT_EQ(job->progress, 7);
    expect_conflict(state, end_of("a", 1, attempt_outcome::stopped));
    ASSERT_TRUE(state.apply(bind_of("a", 2)));
    ASSERT_TRUE(state.apply(end_of("a", 2, attempt_outcome::lost)));
    EXPECT_EQ(job->checkpoint, "c1");
    EXPECT_EQ(job->failures, 0U);
}

// Guards against unlimited retries of a batch job that always fails, and
// against a service that permanently loses a runner after failures.
TEST(end, fifth_failure_ends_batch_jobs_only)
{
    for (auto const kind : {job_kind::batch, job_kind::service})
    {
        auto state = state_with_job("a", kind);
        for (auto n = 1U; n <= max_failed_attempts; ++n)
        {
            EXPECT_EQ(phase_of(state, "a"), job_phase::queued);
            ASSERT_TRUE(state.apply(bind_of("a", n)));
            ASSERT_TRUE(state.apply(end_of("a", n, attempt_outcome::failed)));
        }
        EXPECT_EQ(
            phase_of(state, "a"),
            kind == job_kind::batch ? job_phase::failed : job_phase::queued);
    }
}

// Guards against reused attempt numbers, for which late messages about an
// earlier attempt would be accepted.
TEST(submit, renewed_runner_continues_attempt_numbers)
{
    auto state = state_with_job("a", job_kind::service);
    ASSERT_TRUE(state.apply(bind_of("a", 1)));
    ASSERT_TRUE(state.apply(cancel_job{core::job_id{"a"}, "removed"}));
    expect_conflict(state, submit_job{spec_of("a", job_kind::service)});
    expect_conflict(state, drop_job{core::job_id{"a"}});
    ASSERT_TRUE(state.apply(end_of("a", 1, attempt_outcome::stopped)));
    ASSERT_TRUE(state.apply(submit_job{spec_of("a", job_kind::service)}));
    EXPECT_FALSE(state.find_job(core::job_id{"a"})->cancel_requested);
    expect_conflict(state, bind_of("a", 1));
    ASSERT_TRUE(state.apply(cancel_job{core::job_id{"a"}, "removed"}));
    ASSERT_TRUE(state.apply(drop_job{core::job_id{"a"}}));
    ASSERT_TRUE(state.apply(submit_job{spec_of("a", job_kind::service)}));
    expect_conflict(state, bind_of("a", 1));
    EXPECT_TRUE(state.validate(bind_of("a", 2)));
}

// Guards against a task that is hosted twice, or after it was declined.
TEST(host, neither_known_nor_declined)
{
    auto state = shard_state{shard};
    ASSERT_TRUE(state.apply(host_of("a", 2)));
    expect_conflict(state, host_of("a", 2));
    expect_conflict(state, decline_attempt{key_of("a", 2)});
    ASSERT_TRUE(state.apply(decline_attempt{key_of("b", 2)}));
    expect_conflict(state, decline_attempt{key_of("b", 1)});
    expect_conflict(state, host_of("b", 1));
    expect_conflict(state, host_of("b", 2));
    EXPECT_TRUE(state.validate(host_of("b", 3)));
    auto invalid = host_of("c", 1);
    invalid.task.worker = {};
    EXPECT_FALSE(state.validate(invalid));
    EXPECT_EQ(core::last_reason().kind, core::error_kind::invalid_input);
}

// Guards against resources that are released twice or never, and against a
// task that is removed before its outcome is stored.
TEST(host, resources_are_free_after_the_end)
{
    auto state = shard_state{shard};
    auto const worker = core::worker_id{"w"};
    ASSERT_TRUE(state.apply(host_of("a", 1)));
    EXPECT_EQ(state.committed(worker), (core::resources{1000, 512, 0}));
    EXPECT_EQ(
        (shard_state{shard, state.data()}.committed(worker)),
        state.committed(worker));
    expect_conflict(state, forget_task{key_of("a", 1)});
    auto const end =
        end_task{key_of("a", 1), attempt_outcome::finished, "c", 9};
    ASSERT_TRUE(state.apply(end));
    EXPECT_EQ(state.committed(worker), core::resources{});
    expect_conflict(state, end);
    ASSERT_TRUE(state.apply(forget_task{key_of("a", 1)}));
    EXPECT_EQ(state.find_task(key_of("a", 1)), nullptr);
}

// Guards against invalid records that change the state, and against committed
// resources that differ from those after a recovery.
RC_GTEST_PROP(shard_state, failed_records_change_nothing, ())
{
    auto state = shard_state{shard};
    auto const names = std::vector<std::string>{"a", "b"};
    auto const steps = *rc::gen::inRange(0, 60);
    for (auto n = 0; n < steps; ++n)
    {
        auto const name = *rc::gen::elementOf(names);
        auto const number = *rc::gen::inRange<std::uint64_t>(1, 4);
        auto const outcome =
            static_cast<attempt_outcome>(*rc::gen::inRange(0, 5));
        auto const all = std::vector<record>{
            submit_job{spec_of(name)},
            cancel_job{core::job_id{name}, "x"},
            bind_of(name, number),
            end_of(name, number, outcome),
            drop_job{core::job_id{name}},
            host_of(name, number),
            end_task{key_of(name, number), outcome, "", 0},
            forget_task{key_of(name, number)},
            decline_attempt{key_of(name, number)},
            reconfirm{}};
        auto const& value = all[*rc::gen::inRange<std::size_t>(0, all.size())];
        auto const before = state.data();
        auto const is_allowed = state.validate(value).has_value();
        RC_ASSERT(state.apply(value).has_value() == is_allowed);
        RC_ASSERT(is_allowed || state.data() == before);
        RC_ASSERT(
            state.committed(core::worker_id{"w"}) ==
            shard_state(shard, state.data()).committed(core::worker_id{"w"}));
    }
}
