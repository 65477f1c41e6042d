/** @file history_rules_test.cpp history-check's rules on drains and finishes.
 */
#include "standins/support/history_base.hpp"
#include "standins/support/history_check_base.hpp"

#include <gtest/gtest.h>

using namespace godwitcleat;
using namespace std::chrono_literals;
using standins::worker_event_kind;

namespace
{

constexpr auto started = worker_event_kind::started;

auto at(std::chrono::milliseconds time) -> core::time_point
{
    return core::time_point{time};
}

auto worker(std::string name, std::string data_centre) -> std::string
{
    return standins::to_json(standins::worker_process_event{
        false,
        std::move(name),
        {4000, 1024, 0},
        std::move(data_centre),
        at(0ms)});
}

auto task(
    worker_event_kind kind, std::uint64_t attempt, std::string place,
    std::chrono::milliseconds time) -> std::string
{
    auto event = standins::worker_event{};
    event.kind = kind;
    event.key = {core::job_id{"a"}, core::attempt_number{attempt}};
    event.worker = core::worker_id{std::move(place)};
    event.at = at(time);
    event.spec.need = {1000, 512, 0};
    return standins::to_json(event);
}

auto drain(bool drained, std::chrono::milliseconds time) -> std::string
{
    return standins::to_json(standins::drain_event{drained, "dc-1", at(time)});
}

// Returns the broken rule, "" if there is none, "unreadable" without verdict.
auto rule_of(std::vector<std::string> const& lines) -> std::string
{
    auto const verdict = standins::check_histories(lines, {});
    if (!verdict)
    {
        return "unreadable";
    }
    return verdict->violation ? verdict->violation->rule : "";
}

} // namespace

// Guards against a check that misses a start in a drained data centre, or that
// blames one within the bound, elsewhere, or after the undrain.
TEST(history_rules, rejects_start_in_a_drained_data_centre)
{
    auto const inside = worker("w1", "dc-1");
    auto const outside = worker("w2", "dc-0");
    auto const out = drain(true, 1000ms);
    auto const back = drain(false, 5000ms);
    EXPECT_EQ(rule_of({inside, out, task(started, 1, "w1", 5000ms)}), "");
    EXPECT_EQ(rule_of({inside, out, task(started, 1, "w1", 5001ms)}), "drain");
    EXPECT_EQ(rule_of({outside, out, task(started, 1, "w2", 6000ms)}), "");
    EXPECT_EQ(rule_of({inside, out, back, task(started, 1, "w1", 6000ms)}), "");
    EXPECT_EQ(
        rule_of(
            {inside, back, drain(true, 5500ms),
             task(started, 1, "w1", 9600ms)}),
        "drain");
    EXPECT_EQ(rule_of({task(started, 1, "w1", 0ms)}), "unreadable");
}

// Guards against a check that accepts a start of a job whose finish the
// operator has been told of.
TEST(history_rules, rejects_start_after_stored_finish)
{
    auto const place = worker("w1", "dc-1");
    auto const first = task(started, 1, "w1", 10ms);
    auto const ended = task(worker_event_kind::finished, 1, "w1", 20ms);
    auto const again = task(started, 2, "w1", 40ms);
    auto const stored = [](std::chrono::milliseconds time)
    {
        return standins::to_json(standins::job_finish_event{"a", at(time)});
    };
    EXPECT_EQ(
        rule_of({place, first, ended, stored(30ms), again}),
        "start-after-finish");
    // The first mark counts: a repeated one must not move the time.
    EXPECT_EQ(
        rule_of({place, first, ended, stored(30ms), stored(50ms), again}),
        "start-after-finish");
    EXPECT_EQ(rule_of({place, first, ended, stored(30ms)}), "");
    EXPECT_EQ(rule_of({place, first, ended, again, stored(50ms)}), "");
}
