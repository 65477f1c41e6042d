/** @file interference_base.hpp Modelled interference and declared needs. */
#ifndef GODWITCLEAT_EXPERIMENTS_SUPPORT_INTERFERENCE_BASE_HPP
#define GODWITCLEAT_EXPERIMENTS_SUPPORT_INTERFERENCE_BASE_HPP

#include "core/core.hpp"
#include "state/state.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string_view>
#include <vector>

namespace godwitcleat::experiments
{

constexpr std::size_t class_count = 5;
constexpr std::size_t service_classes = 2; ///< The first ones.
constexpr auto class_names = std::array<std::string_view, class_count>{
    "desk", "lookup", "tally", "survey", "encode"};
constexpr double milli = 1000.0;

auto uniform(std::mt19937_64& random, double low, double high) -> double;
auto log_uniform(std::mt19937_64& random, double low, double high) -> double;

/** What the scheduler does not know of a job. */
struct truth
{
    std::size_t task_class = 0;
    std::int64_t cpu_milli = 0;
    double work_s = 0;
    std::int64_t throttle_percent = 100;
    double slowdown = 1.0; ///< Latest, while it runs.
};

/** Returns the processors that a task of the model uses now. */
using cpu_function =
    std::function<double(core::job_id const& id, truth const& value)>;

/** The table of interference of one seed and the true jobs. */
class interference_world
{
public:
    /** Draws the table from @p random. */
    explicit interference_world(
        std::mt19937_64& random, double capacity_milli, cpu_function cpu = {});

    /** Returns the slowdown of @p task and stores it in its truth. */
    auto slowdown(
        state::job_spec const& task,
        std::vector<state::job_spec const*> const& others) -> double;

    /** Follows the throttling that @p reply orders. */
    auto follow(state::heartbeat_reply const& reply) -> void;

    /** Returns the share of a worker's processors that the task uses. */
    [[nodiscard]] auto load_of(core::job_id const& id) const -> double;

    std::map<core::job_id, truth> truths;

private:
    double capacity_milli_;
    cpu_function cpu_;
    std::array<std::array<double, class_count>, class_count> table_{};
};

/** Adds the errors of measurement to the slowdowns of @p report. */
auto add_noise(state::worker_report& report, std::mt19937_64& random) -> void;

/**
 * Draws the declared need of a job that uses @p value.cpu_milli, with an error
 * of up to 4 times either way; @p scale multiplies its limits.
 */
auto draw_need(truth const& value, std::mt19937_64& random, double scale = 1.0)
    -> core::resources;

/** Commits all waiting records of @p engine at once. */
auto commit_all(state::shard_engine& engine, core::time_point now) -> void;

} // namespace godwitcleat::experiments

#endif
