/** @file report_test.cpp Tests of partial heartbeats and their rebuilding. */
#include "state/state.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>

namespace core = godwitcleat::core;
using namespace godwitcleat::state;
using namespace std::chrono_literals;

namespace
{

/** A worker's tasks and the writer of its heartbeats. */
struct fake_worker
{
    worker_report report;
    report_writer writer;

    explicit fake_worker(std::uint64_t boot)
    {
        report.info = {
            core::worker_id{"w"}, core::rack_id{"r"}, core::data_centre_id{"d"},
            core::resources{16'000, 60'000, 2}};
        report.boot = boot;
    }

    auto add(std::size_t number) -> void
    {
        auto task = task_report{};
        task.key = {core::job_id{fmt::format("job-{}", number)}, {}};
        task.usage = {500, 1'000, 0};
        task.usage_age_ms = 2'000;
        report.tasks.push_back(std::move(task));
        std::sort(
            report.tasks.begin(), report.tasks.end(),
            [](auto const& left, auto const& right)
            { return left.key < right.key; });
    }

    auto send(core::time_point now) -> partial_report
    {
        ++report.sequence;
        return writer.write(report, now);
    }
};

auto has_same_list(worker_report const& left, worker_report const& right)
    -> bool
{
    return left.info == right.info && left.boot == right.boot &&
           left.sequence == right.sequence &&
           std::equal(
               left.tasks.begin(), left.tasks.end(), right.tasks.begin(),
               right.tasks.end(),
               [](auto const& it, auto const& other)
               {
                   return it.key == other.key && it.phase == other.phase &&
                          it.checkpoint == other.checkpoint &&
                          it.endpoint == other.endpoint;
               });
}

/** A worker with 15 tasks whose first heartbeat was acknowledged. */
class partial_reports : public testing::Test
{
protected:
    partial_reports()
    {
        for (auto n = std::size_t{0}; n < 15; ++n)
        {
            worker.add(n);
        }
        EXPECT_TRUE(exchange());
    }

    // Delivers the next heartbeat; acknowledges it if the owner has its base.
    auto exchange() -> std::optional<worker_report>
    {
        now += 500ms;
        auto const sent = worker.send(now);
        auto rebuilt = reader.read(sent, now);
        if (rebuilt)
        {
            EXPECT_TRUE(has_same_list(*rebuilt, worker.report));
            worker.writer.acknowledge(sent.sequence);
        }
        return rebuilt;
    }

    core::time_point now{100s};
    fake_worker worker{1};
    report_reader reader;
};

} // namespace

// Guards against task lists of replaced workers that are never freed.
TEST(report_reader, forgets_silent_workers)
{
    auto reader = report_reader{};
    auto now = core::time_point{1s};
    for (auto n = 0; n < 5; ++n)
    {
        auto worker = fake_worker{1};
        worker.report.info.worker = core::worker_id{fmt::format("w-{}", n)};
        EXPECT_TRUE(reader.read(worker.send(now), now));
        now += 21min;
    }
    EXPECT_EQ(reader.retained_lists(), 1U);
}

// Guards against heartbeats whose size grows with the number of tasks.
TEST_F(partial_reports, name_changed_tasks_only)
{
    worker.report.tasks[3].phase = task_phase::finished;
    worker.report.tasks.erase(worker.report.tasks.begin());
    worker.add(20);
    auto const sent = worker.send(now);
    EXPECT_EQ(sent.base, 1U);
    EXPECT_EQ(sent.changed.size(), 2U);
    EXPECT_EQ(sent.removed.size(), 1U);
    EXPECT_TRUE(sent.samples.empty());
    EXPECT_FALSE(sent.attributes);
    auto const rebuilt = reader.read(sent, now);
    ASSERT_TRUE(rebuilt);
    EXPECT_TRUE(has_same_list(*rebuilt, worker.report));
}

// Guards against changes that are lost with a report or its reply: the next
// report is based on the last acknowledged one and repeats them.
TEST_F(partial_reports, survive_lost_replies_and_lost_reports)
{
    worker.report.tasks[2].checkpoint = "c1";
    ASSERT_TRUE(reader.read(worker.send(now), now)); // The reply is lost.
    worker.report.tasks[4].phase = task_phase::failed;
    worker.send(now); // The report is lost.
    EXPECT_TRUE(exchange());
    EXPECT_TRUE(exchange());
}

// Guards against a new owner, which does not have the base, that accepts a
// partial report as the complete task list.
TEST_F(partial_reports, are_refused_by_a_new_owner)
{
    auto other = report_reader{};
    EXPECT_FALSE(other.read(worker.send(now), now));
    EXPECT_EQ(core::last_reason().kind, core::error_kind::conflict);
    EXPECT_EQ(other.retained_lists(), 0U);
    worker.writer.reset();
    auto const complete = worker.send(now);
    EXPECT_EQ(complete.changed.size(), 15U);
    EXPECT_TRUE(other.read(complete, now));
}

// Guards against a report that is applied to the task list of an earlier boot.
TEST_F(partial_reports, of_another_boot_have_no_base)
{
    auto next = worker.send(now);
    next.boot = 2;
    EXPECT_FALSE(reader.read(next, now));
    auto restarted = fake_worker{2};
    auto const rebuilt = reader.read(restarted.send(now), now);
    ASSERT_TRUE(rebuilt);
    EXPECT_TRUE(rebuilt->tasks.empty());
}

// Guards against a late or duplicate report that replaces a newer task list.
TEST_F(partial_reports, may_be_repeated_and_overtaken)
{
    worker.report.tasks[0].phase = task_phase::finished;
    auto const early = worker.send(now);
    auto const early_list = worker.report;
    worker.report.tasks[1].phase = task_phase::finished;
    auto const late = worker.send(now);
    ASSERT_TRUE(reader.read(late, now));
    auto const overtaken = reader.read(early, now);
    ASSERT_TRUE(overtaken);
    EXPECT_TRUE(has_same_list(*overtaken, early_list));
    ASSERT_TRUE(reader.read(late, now));
    worker.writer.acknowledge(late.sequence);
    EXPECT_TRUE(exchange());
}

// Guards against old measurements that count as new: the age of a measurement
// must keep growing while reports leave it unchanged.
TEST_F(partial_reports, keep_the_time_of_measurements)
{
    worker.report.tasks[0].slowdown = 1.05; // Not significant.
    auto const first = exchange();
    ASSERT_TRUE(first);
    EXPECT_EQ(first->tasks[0].usage_age_ms, 2'500);
    EXPECT_EQ(first->tasks[0].slowdown, 1.0);
    now += 2s;
    auto const second = exchange();
    ASSERT_TRUE(second);
    EXPECT_EQ(second->tasks[0].usage_age_ms, 2'000);
    EXPECT_EQ(second->tasks[0].slowdown, 1.05);
    EXPECT_EQ(second->tasks[1].usage_age_ms, 2'000);
}

// Guards against a significant slowdown that is reported up to 2 s late.
TEST_F(partial_reports, state_significant_measurements_at_once)
{
    worker.report.tasks[0].slowdown = 1.4;
    worker.report.tasks[1].usage.cpu_milli += 200;
    auto const sent = worker.send(now);
    EXPECT_EQ(sent.changed.size(), 2U);
}

// Guards against sample positions outside the task list.
TEST_F(partial_reports, with_unknown_positions_are_refused)
{
    auto sent = worker.send(now);
    sent.sample_age_ms = 0;
    sent.samples.push_back({15, {}, 1'000});
    EXPECT_FALSE(reader.read(sent, now));
}

// Guards against a rebuilt task list that differs from that of the worker under
// random schedules of lost, late and duplicate reports and replies, new owners
// and worker restarts.
RC_GTEST_PROP(partial_report_schedules, rebuild_the_list, ())
{
    auto worker = fake_worker{1};
    auto reader = report_reader{};
    auto now = core::time_point{100s};
    auto full_reports =
        std::map<std::pair<std::uint64_t, std::uint64_t>, worker_report>{};
    auto sent = std::deque<partial_report>{};
    auto const random_below = [](int bound)
    {
        return *rc::gen::inRange(0, bound);
    };
    auto rebuilt_partial = 0;
    auto const steps = *rc::gen::inRange(1, 120);
    for (auto step = 0; step < steps; ++step)
    {
        now += std::chrono::milliseconds{random_below(900)};
        auto& tasks = worker.report.tasks;
        auto const n =
            tasks.empty()
                ? 0U
                : static_cast<std::size_t>(random_below(1000)) % tasks.size();
        switch (random_below(10))
        {
        case 0: worker.add(full_reports.size() * 7 % 1000 + 1000 * step); break;
        case 1:
            if (!tasks.empty())
            {
                tasks.erase(tasks.begin() + static_cast<std::ptrdiff_t>(n));
            }
            break;
        case 2:
            if (!tasks.empty())
            {
                tasks[n].phase = static_cast<task_phase>(random_below(5));
            }
            break;
        case 3:
            if (!tasks.empty())
            {
                tasks[n].checkpoint += "x";
            }
            break;
        case 4:
            if (!tasks.empty())
            {
                tasks[n].usage.cpu_milli += random_below(400);
            }
            break;
        case 5:
            if (random_below(8) == 0)
            {
                reader = {};
            }
            break;
        case 6:
            if (random_below(8) == 0)
            {
                worker = fake_worker{worker.report.boot + 1};
            }
            break;
        default: break;
        }
        sent.push_back(worker.send(now));
        full_reports[{worker.report.boot, worker.report.sequence}] =
            worker.report;
        while (!sent.empty() && random_below(3) != 0)
        {
            auto const at =
                random_below(4) == 0
                    ? static_cast<std::size_t>(random_below(1000)) % sent.size()
                    : sent.size() - 1;
            auto const report = sent[at];
            auto const rebuilt = reader.read(report, now);
            rebuilt_partial += rebuilt && report.base != 0 ? 1 : 0;
            if (rebuilt)
            {
                RC_ASSERT(has_same_list(
                    *rebuilt, full_reports.at({report.boot, report.sequence})));
            }
            auto const is_answered =
                random_below(4) != 0 && report.boot == worker.report.boot;
            if (is_answered && rebuilt)
            {
                worker.writer.acknowledge(report.sequence);
            }
            else if (is_answered)
            {
                worker.writer.reset();
            }
        }
        if (sent.size() > 8)
        {
            sent.pop_front();
        }
    }
    RC_CLASSIFY(rebuilt_partial > 0, "with rebuilt reports");
    // Without further losses the worker and the owner converge in one exchange.
    auto report = worker.send(now);
    if (!reader.read(report, now))
    {
        worker.writer.reset();
        report = worker.send(now);
    }
    auto const last = reader.read(report, now);
    RC_ASSERT(last.has_value());
    RC_ASSERT(has_same_list(*last, worker.report));
}
