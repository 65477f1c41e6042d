/** @file interference_base.hpp Learned interference between classes of tasks.
 */
#ifndef GODWITCLEAT_STATE_INTERFERENCE_BASE_HPP
#define GODWITCLEAT_STATE_INTERFERENCE_BASE_HPP

#include "state/placement_func.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace godwitcleat::state
{

/**
 * Parameters of the model. A coefficient is the excess slowdown (slowdown - 1)
 * that a neighbour causes if it uses all processors of the worker.
 */
struct interference_settings
{
    double prior = 0.5;           ///< Coefficient of an unknown pair.
    double prior_variance = 1.0;  ///< Of the coefficient.
    double noise_variance = 0.04; ///< Of one reported slowdown.
    double most_deviations = 2.0; ///< A residual counts at most as this.
    double unknown_load = 0.1;    ///< Processor share of an unknown class.
    double load_rate = 0.05;      ///< Weight of a new report of the share.
    core::duration half_life = std::chrono::minutes{10}; ///< Of what it learns.
    std::size_t most_pairs = 1024;  ///< The least recently seen is dropped.
    std::size_t most_classes = 256; ///< The least recently seen is dropped.
};

/** A neighbour of a task at the time of a measurement. */
struct measured_neighbour
{
    std::string_view task_class;
    double load = 0.0; ///< Share of the worker's processors in use.
};

/** Expected excess slowdown of @p task beside @p other, which uses @p load. */
using excess_estimate = std::function<double(
    std::string_view task, std::string_view other, double load)>;

/**
 * Learns how much each class of tasks slows each other class. The excess
 * slowdown of a task is modelled as the sum of coefficient times load over its
 * neighbours. Each coefficient has a mean and a variance, which are updated as
 * in a Kalman filter with a diagonal covariance; both return to the prior with
 * the half-life. Tasks without class are not learned and expected to disturb
 * nothing. Not thread-safe.
 */
class interference_model
{
public:
    explicit interference_model(interference_settings settings = {});

    /** Learns from one measured slowdown; 1.0 is none. */
    auto observe(
        std::string_view task, std::span<measured_neighbour const> neighbours,
        double slowdown, core::time_point measured_at) -> void;

    /** Learns the processor share that tasks of @p task_class use. */
    auto observe_load(
        std::string_view task_class, double load, core::time_point measured_at)
        -> void;

    /** Returns the excess slowdown that a neighbour with @p load causes. */
    [[nodiscard]] auto
    excess(std::string_view task, std::string_view other, double load) const
        -> double;

    /** Returns the processor share that a task of this class uses. */
    [[nodiscard]] auto usual_load(std::string_view task_class) const -> double;

    /** Returns an estimate that reads this model, which must outlive it. */
    [[nodiscard]] auto estimate() const -> interference_estimate;

    /** Returns the number of pairs in memory. */
    [[nodiscard]] auto pairs() const -> std::size_t;

private:
    struct coefficient
    {
        double mean = 0.0;
        double variance = 0.0;
        core::time_point updated;
    };

    struct class_load
    {
        double share = 0.0;
        core::time_point updated;
    };

    using pair_key = std::pair<std::string, std::string>;

    [[nodiscard]] auto decayed(coefficient value, core::time_point now) const
        -> coefficient;

    interference_settings settings_;
    core::time_point latest_;                      ///< Of all measurements.
    std::map<pair_key, coefficient> coefficients_; ///< Disturbed, disturbing.
    std::map<std::string, class_load, std::less<>> loads_;
};

/** Limits for acting on a disturbed worker. */
struct relief_limits
{
    double slowdown = 1.3;           ///< Of a latency-critical task.
    double least_disturbance = 0.02; ///< Tasks that cause less are left alone.
    core::duration throttle_trial = std::chrono::seconds{15}; ///< Then evict.
};

/** A task on a disturbed worker, as choose_relief() sees it. */
struct disturbed_task
{
    attempt_key key;
    std::string task_class;
    core::resources need;          ///< As declared.
    bool latency_critical = false; ///< It must not be slowed.
    bool interruptible = false;    ///< It may be throttled and evicted.
    double slowdown = 1.0;         ///< As last reported.
    double load = 0.0; ///< Share of the processors, as last reported.
    std::optional<core::duration> throttled_for; ///< Unset: at full speed.
};

/** What to do with one task of a disturbed worker. */
struct relief_action
{
    worker_command_kind kind = worker_command_kind::throttle;
    std::size_t task = 0; ///< Index of the task to act on.
};

/** Chooses an action on a disturbed worker, or std::nullopt. */
using relief_policy = std::function<std::optional<relief_action>(
    std::span<disturbed_task const> tasks, excess_estimate const& estimate,
    relief_limits const& limits)>;

/**
 * Acts on the interruptible task that is expected to disturb the latency-
 * critical tasks above the limit most: throttles it first, and checkpoints and
 * evicts it if it has been throttled for the length of the trial. Returns
 * std::nullopt if no such task is above the limit, none can be blamed, or a
 * trial is still running.
 */
auto choose_relief(
    std::span<disturbed_task const> tasks, excess_estimate const& estimate,
    relief_limits const& limits) -> std::optional<relief_action>;

} // namespace godwitcleat::state

#endif
