/** @file dispatch_restart_test.cpp Calls to workers that were restarted. */
#include "tests/support/dispatch_world_base.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace core = godwitcleat::core;
namespace state = godwitcleat::state;
namespace tests = godwitcleat::tests;

namespace
{

constexpr auto worker_capacity = core::resources{4000, 8000, 0};
// After this time on a worker's clock, its deadlines are far ahead on that of a
// process that has just begun.
constexpr auto former_clock_ms = std::int64_t{1'000'000};
// Steps of the time of day at a restart; none: the start time is the same.
constexpr auto clock_steps_ms =
    std::array<std::optional<std::int64_t>, 3>{0, std::nullopt, -100'000};
constexpr auto step_ms = std::int64_t{10};
// Longer than any lease.
constexpr auto long_absence_ms = std::int64_t{15'000};

// A long-running task on w1; w2 is listed later. Holds wait for ends, so that a
// restart is seen when the one that waits has timed out.
auto world_with_serving_task() -> std::unique_ptr<tests::dispatch_world>
{
    auto world = std::make_unique<tests::dispatch_world>();
    world->settings.lease_limit = std::chrono::seconds{10};
    world->holds_wait = true;
    world->add_worker("w1", worker_capacity).clock_ms = former_clock_ms;
    world->add_worker("w2", worker_capacity).listed = false;
    world->behaviour_of = [](state::task_name const& task, auto)
    {
        return tests::task_behaviour{
            task.job.value == "short" ? 300 : -1, false};
    };
    world->begin_term();
    world->run_for(200);
    auto plan = tests::make_plan("serve", 1, 1000);
    plan.steps.front().long_running = true;
    EXPECT_TRUE(world->submit(std::move(plan)));
    world->run_for(1000);
    EXPECT_EQ(world->running(), 1U);
    return world;
}

// Cuts w1 off, which works on, while w2 may take over its tasks.
auto cut_off(tests::dispatch_world& world) -> void
{
    world.worker("w1").reachable = false;
    world.worker("w2").listed = true;
}

} // namespace

// Guards against two runs after a start for the former process of a worker has
// given its new one a longer lease than the owner counts.
TEST(restarted_worker, a_start_for_its_former_process_prolongs_no_lease)
{
    constexpr auto delays_ms = std::array{50, 300, 600, 900, 1200, 1500};
    for (auto i = std::size_t{0}; i < 3 * delays_ms.size(); ++i)
    {
        auto const delay_ms = delays_ms.at(i / 3);
        auto const world = world_with_serving_task();
        world->restart_worker("w1", clock_steps_ms.at(i % 3));
        world->run_for(delay_ms);
        ASSERT_TRUE(world->submit(tests::make_plan("short", 1, 500)));
        auto const serves = [&world]
        {
            auto const& runs = world->worker("w1").runs;
            return std::any_of(
                runs.begin(), runs.end(),
                [](tests::fake_run const& it)
                { return it.task.job.value == "serve"; });
        };
        for (auto n = 0; n < 300 && !serves(); ++n)
        {
            world->run_for(10);
        }
        ASSERT_TRUE(serves()) << "no run after the restart";
        world->run_for(100);
        cut_off(*world);
        world->run_for(long_absence_ms);
        EXPECT_EQ(world->violations, std::vector<std::string>{}) << delay_ms;
        EXPECT_EQ(world->worker("w2").runs.size(), 1U) << delay_ms;
    }
}

// Guards against two runs after the new process of a worker has taken a start
// that no answer told of, and is never heard again.
TEST(restarted_worker, a_restart_that_is_never_seen_causes_no_second_run)
{
    auto const world = world_with_serving_task();
    world->worker("w1").loses_answers = true;
    world->restart_worker("w1");
    world->run_for(50);
    auto plan = tests::make_plan("serve", 1, 500);
    plan.id = core::job_id{"later"};
    plan.steps.front().long_running = true;
    ASSERT_TRUE(world->submit(std::move(plan)));
    world->run_for(500);
    cut_off(*world);
    world->run_for(long_absence_ms);
    EXPECT_EQ(world->violations, std::vector<std::string>{});
    EXPECT_EQ(world->worker("w2").runs.size(), 2U);
}

// Guards against a second run after the new process of a worker, which the
// owner has heard, has carried out a start for the former one by itself.
TEST(restarted_worker, carries_out_no_late_start_once_it_was_heard)
{
    for (auto const late_ms : {2000, 6000, 12'000})
    {
        auto const world = world_with_serving_task();
        auto& worker = world->worker("w1");
        worker.keeps_delayed = true;
        worker.delays_starts = true;
        auto plan = tests::make_plan("later", 1, 500);
        plan.steps.front().long_running = true;
        ASSERT_TRUE(world->submit(std::move(plan)));
        world->run_for(300);
        ASSERT_EQ(worker.delayed.size(), 1U);
        worker.delays_starts = false;
        world->restart_worker("w1");
        world->run_for(2000);
        cut_off(*world);
        world->run_for(late_ms - 2000);
        auto const starts = world->starts.size();
        world->carry_out_delayed("w1");
        EXPECT_EQ(world->starts.size(), starts) << late_ms;
        world->run_for(long_absence_ms);
        EXPECT_EQ(world->violations, std::vector<std::string>{}) << late_ms;
    }
}

namespace
{

// The start of "later" is kept by the former process of w1; its call ends
// without an answer after @p answered_after_ms.
auto restart_with_late_start(
    tests::dispatch_world& world, std::int64_t answered_after_ms) -> void
{
    auto& worker = world.worker("w1");
    worker.keeps_delayed = true;
    worker.delays_starts = true;
    auto const delay_ms =
        std::exchange(world.answer_delay_ms, answered_after_ms);
    auto plan = tests::make_plan("later", 1, 500);
    plan.steps.front().long_running = true;
    ASSERT_TRUE(world.submit(std::move(plan)));
    for (auto n = 0; n < 50 && worker.delayed.empty(); ++n)
    {
        world.run_for(step_ms);
    }
    ASSERT_EQ(worker.delayed.size(), 1U);
    world.answer_delay_ms = delay_ms;
    worker.delays_starts = false;
    world.restart_worker("w1");
}

// Returns the time from the restart until the new process hears the higher
// token; the owner has heard of the restart one step before.
auto time_until_fenced(std::int64_t answered_after_ms) -> std::int64_t
{
    auto const world = world_with_serving_task();
    auto const token = world->worker("w1").token;
    restart_with_late_start(*world, answered_after_ms);
    auto passed_ms = std::int64_t{0};
    while (!(token < world->worker("w1").token) && passed_ms < 10'000)
    {
        world->run_for(step_ms);
        passed_ms += step_ms;
    }
    return passed_ms;
}

} // namespace

// Guards against a second run at once after the owner has heard the new process
// by a look with the former token, under which that process carries out a start
// for the former one by itself.
TEST(restarted_worker, a_late_start_before_the_higher_token_runs_alone)
{
    // Shorter than any lease that the owner counts on.
    constexpr auto absence_ms = std::int64_t{3000};
    for (auto const answered_after_ms : {3000, 5000, 6000})
    {
        auto const fenced_ms = time_until_fenced(answered_after_ms);
        ASSERT_LT(fenced_ms, 10'000);
        for (auto const before_ms : {3 * step_ms, 2 * step_ms, step_ms})
        {
            auto const world = world_with_serving_task();
            auto& worker = world->worker("w1");
            restart_with_late_start(*world, answered_after_ms);
            world->run_for(fenced_ms - before_ms);
            cut_off(*world);
            auto const starts = world->starts.size();
            world->carry_out_delayed("w1");
            ASSERT_EQ(world->starts.size(), starts + 1);
            world->run_for(absence_ms);
            EXPECT_EQ(world->violations, std::vector<std::string>{})
                << answered_after_ms << ", " << before_ms;
            worker.reachable = true;
            world->run_for(long_absence_ms);
            EXPECT_EQ(world->violations, std::vector<std::string>{})
                << answered_after_ms << ", " << before_ms;
            EXPECT_EQ(world->running(), 2U);
        }
    }
}

// Guards against a start again, as its call has no answer, of a run that the
// new process has begun by itself and lists.
TEST(restarted_worker, a_late_start_that_its_new_process_lists_runs_alone)
{
    constexpr auto answered_after_ms = 6000;
    auto const fenced_ms = time_until_fenced(answered_after_ms);
    auto const world = world_with_serving_task();
    restart_with_late_start(*world, answered_after_ms);
    world->run_for(fenced_ms - step_ms);
    world->carry_out_delayed("w1");
    world->worker("w2").listed = true;
    world->run_for(long_absence_ms);
    EXPECT_EQ(world->violations, std::vector<std::string>{});
    EXPECT_EQ(world->running(), 2U);
}

// Guards against two runs after the owner that has sent a start to the former
// process of a worker was replaced.
TEST(restarted_worker, a_new_owner_waits_for_no_start_of_the_former_one)
{
    auto const world = world_with_serving_task();
    world->restart_worker("w1");
    world->run_for(50);
    auto plan = tests::make_plan("later", 1, 500);
    plan.steps.front().long_running = true;
    ASSERT_TRUE(world->submit(std::move(plan)));
    world->run_for(50);
    cut_off(*world);
    world->begin_term();
    world->run_for(long_absence_ms);
    EXPECT_EQ(world->violations, std::vector<std::string>{});
    EXPECT_EQ(world->worker("w2").runs.size(), 2U);
}

// Guards against done tasks that are started again because their ends were
// forgotten for an acknowledgement of ends of the worker's former process.
TEST(restarted_worker, an_acknowledgement_for_its_former_process_forgets_no_end)
{
    constexpr auto offsets = 60;
    auto world = tests::dispatch_world{};
    world.settings.poll_pause = std::chrono::milliseconds{100};
    world.add_worker("w1", worker_capacity).clock_ms = former_clock_ms;
    world.behaviour_of = [](auto const&, auto)
    {
        return tests::task_behaviour{10, false};
    };
    world.begin_term();
    world.run_for(200);
    for (auto i = 0; i < offsets; ++i)
    {
        ASSERT_TRUE(world.submit(
            tests::make_plan(fmt::format("before-{}", i), 4, 100)));
        world.run_for(500);
        ASSERT_TRUE(
            world.submit(tests::make_plan(fmt::format("at-{}", i), 4, 100)));
        world.run_for(std::int64_t{10} * (i / 3));
        auto const starts = world.starts.size();
        world.restart_worker("w1", clock_steps_ms.at(i % 3));
        ASSERT_TRUE(
            world.submit(tests::make_plan(fmt::format("after-{}", i), 4, 100)));
        world.run_for(3000);
        auto ran = std::multiset<std::string>{
            world.starts.begin() + static_cast<std::ptrdiff_t>(starts),
            world.starts.end()};
        for (auto const& it : ran)
        {
            auto const is_new = it.starts_with("after-");
            EXPECT_TRUE(!is_new || ran.count(it) == 1)
                << it << " restart after " << 10 * (i / 3) << " ms";
        }
    }
    EXPECT_EQ(world.violations, std::vector<std::string>{});
}

// Guards against starts that exceed the capacity of a new process, of which
// only the entry of the former one is known.
TEST(restarted_worker, gets_no_start_while_its_former_process_is_listed)
{
    for (auto const clock_step_ms : {0, -100'000})
    {
        auto world = tests::dispatch_world{};
        auto& worker = world.add_worker("w1", worker_capacity);
        world.begin_term();
        world.run_for(200);
        worker.listed_started_ms = worker.info.started_ms;
        world.restart_worker("w1", clock_step_ms);
        ASSERT_TRUE(world.submit(tests::make_plan("short", 1, 500)));
        world.run_for(1000);
        EXPECT_EQ(world.starts, std::vector<std::string>{}) << clock_step_ms;
        worker.listed_started_ms.reset();
        world.run_for(1000);
        EXPECT_EQ(world.starts.size(), 1U) << clock_step_ms;
    }
}

// Random silent restarts and cuts of workers and changes of the owner: no task
// runs in two places, and none is started again after its end was noted.
RC_GTEST_PROP(restarted_worker, silent_restarts_keep_the_rules, ())
{
    constexpr auto workers = 3;
    auto world = tests::dispatch_world{};
    world.settings.lease_limit = std::chrono::seconds{10};
    world.holds_wait = true;
    for (auto i = 0; i < workers; ++i)
    {
        world.add_worker(fmt::format("w{}", i), worker_capacity).clock_ms =
            former_clock_ms * (1 + i);
    }
    world.behaviour_of = [](state::task_name const& task, auto)
    {
        return tests::task_behaviour{
            task.job.value.starts_with("serve") ? -1 : 150, false};
    };
    world.begin_term();
    world.run_for(200);
    auto jobs = 0;
    auto const events =
        *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
            rc::gen::tuple(
                rc::gen::inRange(0, 10), rc::gen::inRange(0, workers),
                rc::gen::inRange(1, 200)));
    for (auto const& [kind, which, pause] : events)
    {
        auto const id = fmt::format("w{}", which);
        auto& worker = world.worker(id);
        switch (kind)
        {
        case 0: world.restart_worker(id); break;
        case 1:
            // The same start time as before, and earlier ones.
            world.restart_worker(
                id, pause % 2 == 0 ? std::optional{std::int64_t{-1000} * pause}
                                   : std::nullopt);
            break;
        case 2: worker.reachable = !worker.reachable; break;
        case 3: worker.loses_answers = !worker.loses_answers; break;
        case 4: world.begin_term(); break;
        case 5:
        {
            auto plan =
                tests::make_plan(fmt::format("serve{}", jobs++), 2, 500);
            plan.steps.front().long_running = true;
            world.submit(std::move(plan));
            break;
        }
        default:
            world.submit(
                tests::make_plan(fmt::format("short{}", jobs++), 2, 500));
            break;
        }
        world.run_for(std::int64_t{10} * pause);
    }
    world.run_for(long_absence_ms);
    if (!world.violations.empty())
    {
        RC_FAIL(world.violations.front());
    }
}

// A dispatcher that is in contact with the first process of w1.
struct owner_of_one_worker
{
    explicit owner_of_one_worker(
        state::dispatch_hooks hooks = {}, core::time_point begun = {})
        : now(begun)
        , owner(core::epoch{1}, {}, {}, std::move(hooks), begun)
    {
        auto const queue = tests::make_queue();
        auto queues = state::queue_table{};
        queues.version = 1;
        queues.queues.insert_or_assign(queue.queue, queue);
        owner.set_queues(std::make_shared<state::queue_table const>(queues));
        auto info = state::listed_worker{};
        info.worker = core::worker_id{"w1"};
        info.address = "127.0.0.1:1";
        info.service = core::service_id{"s"};
        info.capacity = worker_capacity;
        owner.set_workers(std::vector{info}, now);
    }

    auto next_hold() -> state::hold_order
    {
        auto const holds = owner.take_holds(now);
        EXPECT_EQ(holds.size(), 1U);
        return holds.empty() ? state::hold_order{} : holds.front();
    }

    /** The clock of the worker has stood still for @p stopped. */
    auto answer(
        state::hold_order const& hold, std::int64_t process,
        core::duration stopped = {}) -> void
    {
        auto lists = state::worker_lists{};
        lists.started_ms = process;
        lists.clock_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                             now.time_since_epoch() - stopped)
                             .count();
        owner.hold_answered(hold, state::order_result::accepted, lists, now);
    }

    /** Goes on until there are orders, for 0.5 s at most. */
    auto first_orders() -> std::vector<state::run_order>
    {
        auto orders = std::vector<state::run_order>{};
        for (auto i = 0; i < 50 && orders.empty(); ++i)
        {
            now += std::chrono::milliseconds{10};
            owner.limit_leases(now);
            owner.tick(now);
            orders = owner.take_orders(now);
            if (owner.take_batch(now))
            {
                owner.batch_committed(now);
            }
        }
        return orders;
    }

    core::time_point now;
    state::dispatcher owner;
};

// Guards against orders and renewals that may reach another process than the
// one whose clock and runs the owner knows.
TEST(restarted_worker, every_order_names_the_process_that_it_is_meant_for)
{
    auto it = owner_of_one_worker{};
    auto const first = it.next_hold();
    EXPECT_EQ(first.process, std::nullopt);
    EXPECT_EQ(first.deadline_ms, std::nullopt);
    EXPECT_EQ(first.acknowledged, 0U);
    it.answer(first, 77);
    auto const second = it.next_hold();
    ASSERT_TRUE(second.process);
    EXPECT_EQ(second.process->started_ms, 77);
    EXPECT_TRUE(second.deadline_ms);
}

// Guards against a lease on the clock of the former process, which an answer
// has told that arrives after the new one was heard.
TEST(restarted_worker, a_late_answer_of_its_former_process_sets_no_clock)
{
    auto it = owner_of_one_worker{};
    auto const first = it.next_hold();
    it.answer(first, 77);
    auto start = state::run_order{};
    start.worker = first.worker;
    start.token = first.token;
    it.answer(it.next_hold(), 88);
    it.answer(it.next_hold(), 88);
    it.owner.order_answered(
        start, state::order_result::accepted, former_clock_ms, it.now);
    auto const hold = it.next_hold();
    ASSERT_TRUE(hold.process);
    EXPECT_EQ(hold.process->started_ms, 88);
    ASSERT_TRUE(hold.deadline_ms);
    EXPECT_LT(*hold.deadline_ms, former_clock_ms);
}

// Guards against a look that waits for the time-out of one at a process that is
// gone, and against a late answer of that one that counts for the new process.
TEST(restarted_worker, is_looked_at_while_a_look_waits_at_its_former_process)
{
    auto it = owner_of_one_worker{};
    it.answer(it.next_hold(), 77);
    it.answer(it.next_hold(), 77);
    auto const waiting = it.next_hold();
    ASSERT_EQ(waiting.process.value().started_ms, 77);
    auto order = state::run_order{};
    order.worker = waiting.worker;
    order.token = waiting.token;
    it.owner.order_answered(
        order, state::order_result::other_process, std::nullopt, it.now);
    auto const next = it.next_hold();
    EXPECT_EQ(next.process, std::nullopt);
    EXPECT_EQ(next.acknowledged, 0U);
    it.answer(next, 88);
    auto lists = state::worker_lists{};
    lists.started_ms = 77;
    lists.ended.push_back({9, {core::job_id{"j"}, 0, 0, 0}, {}, {}, {}});
    using state::order_result;
    for (auto const result :
         {order_result::accepted, order_result::unknown,
          order_result::other_process, order_result::other_worker})
    {
        auto const hold = it.next_hold();
        EXPECT_EQ(hold.process.value().started_ms, 88);
        EXPECT_EQ(hold.acknowledged, 0U);
        auto const has_lists = result == order_result::accepted;
        it.owner.hold_answered(
            waiting, result, has_lists ? std::optional{lists} : std::nullopt,
            it.now);
        EXPECT_TRUE(it.owner.take_holds(it.now).empty());
        it.answer(hold, 88);
    }
}

// Guards against an innocent task that is given up: a start that waited for its
// connection while the restart was seen counted as a crash.
TEST(restarted_worker, only_a_start_that_may_have_been_sent_counts_as_a_crash)
{
    using state::order_result;
    struct expectation
    {
        order_result result;
        bool heard_after_start; ///< The former process.
        int crashes;
    };
    for (auto const& [result, heard_after_start, expected] :
         {expectation{order_result::other_process, true, 0},
          expectation{order_result::not_sent, true, 0},
          expectation{order_result::unknown, true, 1},
          expectation{order_result::unknown, false, 0}})
    {
        auto now = core::time_point{std::chrono::seconds{100}};
        auto crashes = 0;
        auto hooks = state::dispatch_hooks{};
        hooks.unix_ms = []
        {
            return std::int64_t{1'000'000};
        };
        hooks.on_event = [&crashes](auto message, auto const&)
        {
            crashes += message == "A worker crashed under a task." ? 1 : 0;
        };
        auto it = owner_of_one_worker{hooks, now};
        it.answer(it.next_hold(), 77);
        it.answer(it.next_hold(), 77);
        it.owner.submit(tests::make_plan("j", 1, 1000), now, [](bool) {});
        auto const orders = it.first_orders();
        ASSERT_EQ(orders.size(), 1U);
        if (heard_after_start)
        {
            it.answer(it.next_hold(), 77);
        }
        it.answer(it.next_hold(), 88);
        it.answer(it.next_hold(), 88);
        EXPECT_EQ(crashes, 0);
        it.owner.order_answered(orders.front(), result, std::nullopt, it.now);
        EXPECT_EQ(crashes, expected) << state::to_string(result);
        it.now += std::chrono::seconds{1};
        it.owner.limit_leases(it.now);
        it.owner.tick(it.now);
        EXPECT_EQ(it.owner.take_orders(it.now).size(), 1U) << "not tried again";
    }
}

// Guards against a second start while an unanswered one may have been carried
// out by a worker that was suspended.
TEST(restarted_worker, a_clock_that_stood_still_repeats_no_unanswered_start)
{
    auto hooks = state::dispatch_hooks{};
    hooks.unix_ms = []
    {
        return std::int64_t{1'000'000};
    };
    auto it =
        owner_of_one_worker{hooks, core::time_point{std::chrono::hours{1}}};
    it.answer(it.next_hold(), 77);
    it.answer(it.next_hold(), 77);
    it.owner.submit(tests::make_plan("j", 1, 1000), it.now, [](bool) {});
    auto const orders = it.first_orders();
    ASSERT_EQ(orders.size(), 1U);
    constexpr auto stopped = std::chrono::milliseconds{800};
    it.now += stopped;
    it.answer(it.next_hold(), 77, stopped);
    it.answer(it.next_hold(), 77, stopped);
    it.owner.order_answered(
        orders.front(), state::order_result::unknown, std::nullopt, it.now);
    EXPECT_TRUE(it.first_orders().empty());
}
