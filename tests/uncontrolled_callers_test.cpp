/** @file uncontrolled_callers_test.cpp A daemon against callers that keep to no
 * limits. Each test guards against a process that ends, that outgrows the
 * memory or the descriptors of its instance, or that answers nobody else. */
#include "standins/support/caller_crowd_base.hpp"
#include "standins/support/process_memory_func.hpp"
#include "tests/support/daemon_process_base.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <chrono>
#include <cstddef>
#include <string>
#include <thread>
#include <utility>

namespace standins = godwitcleat::standins;
namespace tests = godwitcleat::tests;
using namespace std::chrono_literals;

namespace
{

// The bounds are those of an instance of 64 MB with 256 descriptors; the
// smallest real ones have 160 MB and 4,100, and more callers.
constexpr auto max_memory_mb = std::size_t{64};
constexpr auto max_descriptors = std::size_t{200};
constexpr auto crowd = std::size_t{24};
constexpr auto requests = 10; ///< Ordinary ones beside each crowd.
constexpr auto kb = std::size_t{1024};
constexpr auto legal_body = 8 * kb * kb;

auto header(std::string const& more) -> std::string
{
    return "POST /jobs/0123456789abcdef HTTP/1.1\r\nHost: desk.example\r\n" +
           more + "\r\n";
}

auto request_for(std::string const& target) -> std::string
{
    return "GET " + target + " HTTP/1.1\r\nHost: desk.example\r\n\r\n";
}

/** A body of legal size that stops one byte short. */
auto unfinished_body() -> standins::caller_script
{
    return {
        header(fmt::format("Content-Length: {}\r\n", legal_body)),
        std::string(kb, 'x'), legal_body / kb, 1};
}

/** Chunks of a body that never ends; its size is at most @p body_bytes. */
auto unfinished_chunks(std::size_t chunk_bytes, std::size_t body_bytes)
    -> standins::caller_script
{
    return {
        header("Transfer-Encoding: chunked\r\n"),
        fmt::format(
            "{:x}\r\n{}\r\n", chunk_bytes, std::string(chunk_bytes, 'x')),
        body_bytes / chunk_bytes, 0};
}

struct uncontrolled_callers : testing::Test
{
    auto SetUp() -> void override
    {
        ASSERT_TRUE(daemon.answers()) << daemon.log();
    }

    /** Checks the process while the crowd is still connected. */
    auto check() -> void
    {
        EXPECT_LE(daemon.open_descriptors(), max_descriptors);
        // The daemon reads on what the kernel has buffered for it.
        for (auto i = 0; i < requests; ++i)
        {
            EXPECT_TRUE(daemon.answers()) << daemon.log();
            std::this_thread::sleep_for(200ms);
        }
        EXPECT_TRUE(daemon.is_alive()) << daemon.log();
        EXPECT_LE(daemon.open_descriptors(), max_descriptors);
        if (standins::checks_memory)
        {
            EXPECT_LE(daemon.peak_memory_mb(), max_memory_mb);
        }
    }

    /** Checks the process against @p connections that send @p script. */
    auto check_against(
        godwitcleat::transport::endpoint const& where, std::size_t connections,
        standins::caller_script script, std::size_t piece_bytes = 64 * kb)
        -> void
    {
        auto callers =
            standins::caller_crowd{where, connections, std::move(script)};
        callers.send(piece_bytes);
        check();
    }

    tests::daemon_process daemon{{256, "memory_mb = 64\n"}};
};

} // namespace

TEST_F(uncontrolled_callers, whole_bodies_that_stop_short)
{
    check_against(daemon.gateway, crowd, unfinished_body(), legal_body);
}

TEST_F(uncontrolled_callers, bodies_in_pieces_that_stop_short)
{
    check_against(daemon.gateway, crowd, unfinished_body(), 16 * kb);
}

TEST_F(uncontrolled_callers, large_chunks_that_do_not_end)
{
    check_against(
        daemon.gateway, crowd,
        unfinished_chunks(kb * kb, legal_body - kb * kb));
}

TEST_F(uncontrolled_callers, very_small_chunks_that_do_not_end)
{
    check_against(daemon.gateway, crowd, unfinished_chunks(16, legal_body / 2));
}

TEST_F(uncontrolled_callers, whole_bodies_of_many_small_json_values)
{
    // As long as the configuration allows; the values take more than the text.
    constexpr auto values = 256 * kb / 3 - 1;
    auto const head =
        header(fmt::format("Content-Length: {}\r\n", 3 * values + 1)) + "[";
    check_against(daemon.gateway, crowd, {head, "[],", values, 0});
}

TEST_F(uncontrolled_callers, bodies_far_over_the_limit_that_are_announced)
{
    check_against(
        daemon.gateway, crowd,
        {header("Content-Length: 1073741824\r\n"), std::string(kb, 'x'),
         4 * legal_body / kb, 0});
}

TEST_F(uncontrolled_callers, bodies_far_over_the_limit_that_are_just_sent)
{
    check_against(
        daemon.gateway, crowd, unfinished_chunks(64 * kb, 4 * legal_body));
}

TEST_F(uncontrolled_callers, headers_that_do_not_end)
{
    check_against(
        daemon.gateway, 4 * crowd,
        {"GET /jobs/ HTTP/1.1\r\nHost: desk.example\r\nX-Long: ",
         std::string(kb, 'x'), 15, 0});
}

TEST_F(uncontrolled_callers, connections_that_send_nothing)
{
    check_against(daemon.gateway, 20 * crowd, {"", "x", 0, 0});
}

TEST_F(uncontrolled_callers, requests_without_reading_the_answers)
{
    check_against(
        daemon.gateway, crowd, {"", request_for("/jobs/"), 4 * kb, 0});
}

TEST_F(uncontrolled_callers, bodies_on_the_readiness_port)
{
    check_against(daemon.readiness, crowd, unfinished_body());
}

TEST_F(uncontrolled_callers, bodies_on_the_control_port)
{
    check_against(daemon.control, crowd, unfinished_body());
}

TEST_F(uncontrolled_callers, pages_of_metrics_that_are_not_read)
{
    check_against(
        daemon.metrics, crowd, {"", request_for("/metrics"), 4 * kb, 0});
}

TEST_F(uncontrolled_callers, frames_on_the_peer_port_that_stop_short)
{
    // 4 MB, the largest legal frame, and the number of a request.
    auto const begin = std::string{"\x00\x40\x00\x00\0\0\0\0\0\0\0\x01", 12};
    check_against(daemon.peer, crowd, {begin, std::string(kb, 'x'), 4 * kb, 1});
}

TEST_F(uncontrolled_callers, peer_connections_that_send_nothing)
{
    check_against(daemon.peer, 20 * crowd, {"", "x", 0, 0});
}
