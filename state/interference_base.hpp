/** @file interference_base.hpp Learned interference between task classes. */
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
 * that a neighbour causes if it uses all processors of the worker. A neighbour
 * is another task on the same worker.
 */
struct interference_settings
{
    double prior = 0.5;           ///< Mean for a pair not yet observed.
    double prior_variance = 1.0;  ///< Variance for such a pair.
    double noise_variance = 0.04; ///< Variance of one measured slowdown.
    double max_deviations = 2.0;  ///< Residual limit in standard deviations.
    double default_load = 0.1;    ///< Processor share of a new class.
    double load_smoothing = 0.05; ///< Weight of a new sample.
    core::duration half_life =
        std::chrono::minutes{10};  ///< Of the coefficients.
    std::size_t max_pairs = 1024;  ///< Least recently updated is evicted.
    std::size_t max_classes = 256; ///< Least recently updated is evicted.
};

/** Another task on the same worker at the time of a measurement. */
struct measured_neighbour
{
    std::string_view task_class;
    double load = 0.0; ///< Share of the worker's processors in use.
};

/** Expected excess slowdown of @p task next to @p other, which uses @p load. */
using excess_estimate = std::function<double(
    std::string_view task, std::string_view other, double load)>;

/**
 * Learns how much each task class slows down each other class. The excess
 * slowdown of a task is modelled as the sum of coefficient times load over its
 * neighbours. Each coefficient has a mean and a variance, which are updated as
 * in a Kalman filter with a diagonal covariance; both decay towards the prior
 * with the half-life. Tasks without a class are ignored and expected to cause
 * no interference. Not thread-safe.
 */
class interference_model
{
public:
    explicit interference_model(interference_settings settings = {});

    /** Updates the model with one measured slowdown; 1.0 is none. */
    auto observe(
        std::string_view task, std::span<measured_neighbour const> neighbours,
        double slowdown, core::time_point measured_at) -> void;

    /** Updates the average processor share of tasks of @p task_class. */
    auto observe_load(
        std::string_view task_class, double load, core::time_point measured_at)
        -> void;

    /** Returns the expected excess slowdown of @p task next to @p other, which
     * uses @p load. */
    [[nodiscard]] auto
    excess(std::string_view task, std::string_view other, double load) const
        -> double;

    /** Returns the average processor share of a task of this class. */
    [[nodiscard]] auto expected_load(std::string_view task_class) const
        -> double;

    /** Returns a function that reads this model, which must outlive it. */
    [[nodiscard]] auto estimate() const -> interference_estimate;

    /** Returns the number of class pairs in memory. */
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
    core::time_point latest_; ///< Latest measurement of any pair.
    std::map<pair_key, coefficient>
        coefficients_; ///< Key: slowed class, causing class.
    std::map<std::string, class_load, std::less<>> loads_;
};

/** Limits for interference mitigation on a worker. */
struct mitigation_limits
{
    double slowdown = 1.3;          ///< Limit for latency-critical tasks.
    double min_interference = 0.02; ///< Tasks that cause less are not acted on.
    core::duration throttle_trial =
        std::chrono::seconds{15}; ///< Before eviction.
};

/** A task on a worker with interference; input of choose_mitigation(). */
struct colocated_task
{
    attempt_key key;
    std::string task_class;
    core::resources need;          ///< Declared in its job.
    bool latency_critical = false; ///< Must not be slowed down.
    bool interruptible = false;    ///< May be throttled and evicted.
    double slowdown = 1.0;         ///< Last reported value.
    double load = 0.0;             ///< Last reported share of the processors.
    std::optional<core::duration> throttled_for; ///< Unset: not throttled.
};

/** An interference mitigation action on one task. */
struct mitigation_action
{
    worker_command_kind kind = worker_command_kind::throttle;
    std::size_t task = 0; ///< Index of the task to act on.
};

/** Chooses an action on a worker with interference, or std::nullopt. */
using mitigation_policy = std::function<std::optional<mitigation_action>(
    std::span<colocated_task const> tasks, excess_estimate const& estimate,
    mitigation_limits const& limits)>;

/**
 * Selects the interruptible task that is expected to interfere most with the
 * latency-critical tasks whose slowdown exceeds the limit. It is throttled
 * first, and checkpointed and evicted if throttling for throttle_trial did not
 * help. Returns std::nullopt if no latency-critical task exceeds the limit, if
 * no task is expected to cause it, or while the trial is running.
 */
auto choose_mitigation(
    std::span<colocated_task const> tasks, excess_estimate const& estimate,
    mitigation_limits const& limits) -> std::optional<mitigation_action>;

} // namespace godwitcleat::state

#endif
