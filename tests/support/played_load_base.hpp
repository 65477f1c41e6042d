/** @file played_load_base.hpp Jobs that arrive at a steady rate. */
#ifndef GODWITCLEAT_TESTS_SUPPORT_PLAYED_LOAD_BASE_HPP
#define GODWITCLEAT_TESTS_SUPPORT_PLAYED_LOAD_BASE_HPP

#include "tests/support/dispatch_world_base.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace godwitcleat::tests
{

constexpr auto warm_up_ms = 3000;
constexpr auto play_ms = 20'000;
constexpr auto finish_ms = 60'000; ///< Maximum wait for the last job.

/** Jobs of one queue that arrive at a steady rate. */
struct load_class
{
    state::queue_config queue;
    double jobs_per_s = 1.0;
    std::uint32_t steps = 1; ///< One after the other.
    std::uint32_t tasks = 1; ///< Of each step.
    std::int64_t run_ms = 1000;
    std::int64_t declared_run_ms = 1000;
    std::int64_t longest_factor =
        1; ///< One task of each job takes as much more.
    core::resources need{1000, 100, 0}; ///< Of each task.
    state::customer_id customer;
};

/** What became of the jobs of a load_class. */
struct load_result
{
    int jobs = 0;
    int refused = 0;
    int in_time = 0; ///< Completed within the time objective.
    int late = 0;    ///< Completed within three times the time objective.
    int accepted = 0;

    /** Returns the share of the jobs in time; a late one counts 0.15. */
    [[nodiscard]] auto credit() const -> double
    {
        constexpr auto late_credit = 0.15;
        return jobs == 0 ? 1.0 : (in_time + late_credit * late) / jobs;
    }
};

/** Submits jobs to a dispatch_world and follows them. */
class played_load
{
public:
    /** Adds the queues; sets the run time of tasks by the queue of their job.
     */
    played_load(dispatch_world& world, std::vector<load_class> classes);

    /** Sets how many jobs of class @p load arrive. */
    auto set_rate(std::size_t load, double jobs_per_s) -> void
    {
        classes_.at(load).jobs_per_s = jobs_per_s;
    }

    /** Submits jobs for @p ms, at @p factor times their rates. */
    auto run_for(std::int64_t ms, double factor = 1.0) -> void;

    /** Waits until all jobs have ended, at most for @p ms. */
    auto finish(std::int64_t ms) -> void;

    [[nodiscard]] auto result_of(std::string const& queue) const
        -> load_result const&;

    /** Returns what became of the jobs of class @p load. */
    [[nodiscard]] auto result_at(std::size_t load) const -> load_result const&
    {
        return results_.at(load);
    }

    /** Returns the share of the tasks of all jobs whose job has credit. */
    [[nodiscard]] auto whole() const -> double;

private:
    struct open_job
    {
        std::string id;
        std::size_t load = 0; ///< Index of its load_class.
        std::int64_t sent_ms = 0;
    };

    auto submit(std::size_t load) -> void;
    auto step() -> void;
    [[nodiscard]] auto now_ms() const -> std::int64_t;

    dispatch_world& world_;
    std::vector<load_class> classes_;
    std::vector<double> due_; ///< Jobs of each class to submit.
    std::vector<load_result> results_;
    std::vector<open_job> open_;
    int submitted_ = 0;
};

/** Small jobs with a tight time objective; 225 tasks a second. */
auto quick_checks() -> load_class;

/** Large jobs with more time; 1,000 tasks a second. */
auto large_reservations() -> load_class;

/** Returns a world of @p workers whose starts are answered after @p answer_ms,
 *  which with 64 starts at a time limits how many there are in a second. */
auto make_world(int workers, std::int64_t cpu_milli, std::int64_t answer_ms)
    -> std::unique_ptr<dispatch_world>;

} // namespace godwitcleat::tests

#endif
