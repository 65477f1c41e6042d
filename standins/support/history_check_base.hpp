/** @file history_check_base.hpp Checks histories of workers and callers. */
#ifndef GODWITCLEAT_STANDINS_SUPPORT_HISTORY_CHECK_BASE_HPP
#define GODWITCLEAT_STANDINS_SUPPORT_HISTORY_CHECK_BASE_HPP

#include "standins/support/task_history_base.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace godwitcleat::standins
{

/** What is checked beyond the rules that hold for every run. */
struct history_check_settings
{
    /** Jobs that a worker must have finished. */
    std::vector<std::string> finished_jobs;
    /** Gateway (ADDRESS:PORT) with a planned stop; empty: none. */
    std::string planned_stop;
    /** The listener of a stopping gateway stays open at least this long. */
    core::duration drain_delay = std::chrono::seconds{2};
    /** No task starts in a drained data centre later than this. */
    core::duration start_bound = std::chrono::seconds{4};
};

/** A rule that a history breaks, with the lines that show it. */
struct line_violation
{
    std::string rule;
    std::vector<std::string> lines;
};

/** How much a history contains, to show that a check is not empty. */
struct history_counts
{
    std::size_t task_starts = 0;
    std::size_t calls = 0;        ///< Requests that callers sent.
    std::size_t calls_ok = 0;     ///< Answered with a status below 400.
    std::size_t runs = 0;         ///< Requests that runners began to run.
    std::size_t calls_failed = 0; ///< No answer, or status 400 or more.
    std::size_t drains = 0;       ///< Data centres that were taken out.
    std::size_t finishes = 0;     ///< Jobs whose finish was stored.
};

/** Result of a check. */
struct history_verdict
{
    std::optional<line_violation> violation; ///< The first one.
    history_counts counts;
};

/**
 * Checks the lines of all histories of one run, each file's lines in order.
 * Lines have type `task`, `request`, `worker`, `call`, `gateway`,
 * `data_centre` or `job`; see history_base.hpp. Rules: `overlap`,
 * `overcommitment`, `resume`, `start-after-finish`, `drain`, `not-finished`,
 * `post-ran-twice`, `not-run-but-ran`, `wrong-answer`, `not-answered` and
 * `planned-stop`.
 * @return std::nullopt with invalid_input if a line cannot be read or is
 *         missing, because a check of an incomplete history proves nothing.
 */
auto check_histories(
    std::vector<std::string> const& lines,
    history_check_settings const& settings) -> std::optional<history_verdict>;

} // namespace godwitcleat::standins

#endif
