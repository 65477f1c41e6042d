/** @file core_test.cpp Tests of the plain helpers. */
#include "core/core.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <chrono>
#include <fcntl.h>
#include <string>
#include <unistd.h>
#include <vector>

namespace core = godwitcleat::core;

// Guards against errors that do not tell the operator where to look.
TEST(ini, error_names_file_and_line)
{
    auto const file = core::parse_ini("[a]\nx = 1\nnonsense\n", "a.ini");
    ASSERT_FALSE(file.has_value());
    EXPECT_EQ(core::last_reason().kind, core::error_kind::invalid_input);
    EXPECT_NE(core::last_reason().message.find("a.ini:3:"), std::string::npos);
}

// Guards against a key that is silently ignored or silently overwritten.
TEST(ini, rejects_duplicate_and_unknown_keys)
{
    EXPECT_FALSE(core::parse_ini("[a]\nx = 1\nx = 2\n", "a.ini"));
    auto const file = core::parse_ini("[a]\nx = 1\ny = 2\n", "a.ini");
    ASSERT_TRUE(file);
    auto reader = core::ini_reader{"a.ini", file->sections.front()};
    EXPECT_EQ(reader.number("x", 0, 0, 10, "items"), 1);
    auto const problems = reader.finish();
    ASSERT_EQ(problems.size(), 1U);
    EXPECT_NE(problems.front().find("a.ini:3: key \"y\""), std::string::npos);
}

// Guards against numbers with trailing text or outside the range.
TEST(ini, checks_numbers)
{
    auto const file =
        core::parse_ini("[a]\nx = 12s\ny = 99\nz = -1\n", "a.ini");
    ASSERT_TRUE(file);
    auto reader = core::ini_reader{"a.ini", file->sections.front()};
    EXPECT_EQ(reader.number("x", 7, 0, 50, "s"), 7);
    EXPECT_EQ(reader.number("y", 7, 0, 50, "s"), 7);
    EXPECT_EQ(reader.number("z", 7, 0, 50, "s"), 7);
    EXPECT_EQ(reader.finish().size(), 3U);
}

// Guards against crashes on arbitrary bytes.
RC_GTEST_PROP(ini, survives_any_text, (std::string const& text))
{
    core::parse_ini(text, "any.ini");
}

// Guards against a rendezvous choice that moves keys between the remaining
// names when one name leaves.
RC_GTEST_PROP(hash, rendezvous_moves_only_keys_of_the_lost_name, ())
{
    auto const keys = *rc::gen::arbitrary<std::vector<std::uint64_t>>();
    auto const all = std::vector<std::string>{"a", "b", "c", "d"};
    auto const fewer = std::vector<std::string>{"a", "b", "d"};
    for (auto const key : keys)
    {
        auto const before = all[core::rendezvous_choice(all, key)];
        auto const after = fewer[core::rendezvous_choice(fewer, key)];
        RC_ASSERT(before == "c" || before == after);
    }
}

// Guards against foreign input that forges a second log line.
TEST(log, escapes_line_ends)
{
    auto line = std::string{};
    auto const log = core::logger{
        [&line](std::string_view text) { line = text; }, core::log_level::info};
    log.info("Request refused.", {{"target", "/a\nb c"}});
    EXPECT_EQ(line.find('\n'), std::string::npos);
    EXPECT_NE(line.find("target=\"/a\\nb c\""), std::string::npos);
}

namespace
{

// Reads what is in the pipe now.
auto read_all(int descriptor) -> std::string
{
    auto result = std::string{};
    auto buf = std::array<char, 4096>{};
    for (auto n = read(descriptor, buf.data(), buf.size()); n > 0;
         n = read(descriptor, buf.data(), buf.size()))
    {
        result.append(buf.data(), static_cast<std::size_t>(n));
    }
    return result;
}

} // namespace

// Guards against a reader of the log that stops reading and thereby stops the
// process, and against lines that are left out without a word.
TEST(log, a_reader_that_stops_costs_lines_only)
{
    auto ends = std::array<int, 2>{};
    ASSERT_EQ(pipe(ends.data()), 0);
    ASSERT_EQ(fcntl(ends[0], F_SETFL, O_NONBLOCK), 0);
    auto const log = core::logger{
        core::descriptor_sink(ends[1], 8192), core::log_level::info};
    auto const begun = std::chrono::steady_clock::now();
    for (auto i = 0; i < 10'000; ++i)
    {
        log.info("A line that nobody reads.", {{"number", i}});
    }
    // Without blocking, 10,000 lines take some 20 ms.
    EXPECT_LT(
        std::chrono::steady_clock::now() - begun, std::chrono::seconds{5});
    read_all(ends[0]);
    log.info("The reader is back.");
    auto const text = read_all(ends[0]);
    EXPECT_NE(text.find("lines were left out"), std::string::npos);
    EXPECT_NE(text.find("The reader is back."), std::string::npos);
    close(ends[0]);
    close(ends[1]);
}

// Guards against an unbounded time line.
TEST(timeline, keeps_the_newest_events)
{
    auto events = core::timeline{core::instance_id{"i"}, 3};
    for (auto i = 0; i < 5; ++i)
    {
        events.record({});
    }
    auto const kept = events.since(0);
    ASSERT_EQ(kept.size(), 3U);
    EXPECT_EQ(kept.front().sequence, 3U);
}

// Guards against a metrics page that the usual collectors refuse: a type once
// for each name, cumulative buckets, and a last bucket that equals the count.
TEST(metrics, writes_histograms_as_collectors_read_them)
{
    using namespace std::chrono_literals;
    auto values = core::metrics{};
    values.count("calls{kind=\"a\"}");
    values.count("calls{kind=\"b\"}", 2);
    values.observe_time("wait_seconds", 4ms);
    values.observe_time("wait_seconds", 5ms);
    values.observe_time("wait_seconds", 700ms);
    values.observe_time("wait_seconds", 60s);
    auto const text = values.text();
    auto const has = [&](std::string const& part)
    {
        return text.find(part) != std::string::npos;
    };
    EXPECT_EQ(
        text.find("# TYPE godwitcleat_calls counter"),
        text.rfind("# TYPE godwitcleat_calls counter"));
    EXPECT_TRUE(has("godwitcleat_calls{kind=\"b\"} 2\n")) << text;
    EXPECT_TRUE(has("# TYPE godwitcleat_wait_seconds histogram\n"));
    EXPECT_TRUE(has("godwitcleat_wait_seconds_bucket{le=\"0.005\"} 2\n"));
    EXPECT_TRUE(has("godwitcleat_wait_seconds_bucket{le=\"0.5\"} 2\n"));
    EXPECT_TRUE(has("godwitcleat_wait_seconds_bucket{le=\"1\"} 3\n")) << text;
    EXPECT_TRUE(has("godwitcleat_wait_seconds_bucket{le=\"+Inf\"} 4\n"));
    EXPECT_TRUE(has("godwitcleat_wait_seconds_count 4\n"));
}

// Guards against quantiles that are far off for common distributions.
TEST(metrics, estimates_quantiles)
{
    auto values = core::metrics{};
    for (auto i = 1; i <= 1000; ++i)
    {
        values.observe("latency_ms", (i * 7919) % 1000);
    }
    for (auto const& it : values.samples())
    {
        if (it.name == "latency_ms_p50")
        {
            EXPECT_NEAR(it.value, 500.0, 25.0);
        }
    }
}
