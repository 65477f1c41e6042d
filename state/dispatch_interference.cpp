/** @file dispatch_interference.cpp Limits the interference with serving tasks.
 *
 * Best-effort tasks use spare processors and run beside serving tasks, which
 * have a target for their tail latency. How much a class of tasks lengthens the
 * tail latency of another is learned from the measurements of the workers, as
 * the logarithm of the factor on the undisturbed tail latency.
 */
#include "state/dispatch_internal.hpp"

#include <algorithm>
#include <cmath>

namespace godwitcleat::state
{

namespace
{

// The workers report means over half a second.
constexpr auto observation_interval = std::chrono::milliseconds{500};
constexpr auto measurement_lag = std::chrono::milliseconds{600};
// A smaller share of a worker's processors has no measurable effect.
constexpr auto min_load = 0.005;
// Weight of a new measurement in the mean undisturbed tail latency.
constexpr auto undisturbed_tail_rate = 0.05;
// Assumed undisturbed tail latency, as a share of the target, until the first
// measurement.
constexpr auto initial_tail_share = 0.45;
// Weight of a task with best-effort neighbours in the load of its job. What
// they cost it is only expected.
constexpr auto disturbed_weight = 0.1;
// Most best-effort tasks end within this time.
constexpr auto forecast_horizon = std::chrono::milliseconds{2500};
// Share of the headroom below a target that the expected excess may use. Unless
// the load of the serving tasks is followed, the rest is left for its changes.
constexpr auto usable_headroom = 0.9;
constexpr auto usable_headroom_followed = 1.0;
// Share of the headroom below a target, by the latest measurement, that newly
// started tasks may use. 0.35 with a followed load left over 2% of the
// intervals of long-running jobs without service (docs/design/hard-load.md).
constexpr auto usable_headroom_now = 0.25;
constexpr auto usable_headroom_now_followed = 0.3;
// Serving tasks rarely use more than this share of their processors.
constexpr auto serving_use_percent = 50;

// Tail latencies, in percent of the target, at which best-effort tasks beside a
// serving task are slowed down, paused, and sped up again.
constexpr auto slow_down_percent = 95;
constexpr auto pause_percent = 250;
constexpr auto speed_up_percent = 75;
// An order takes effect after 100 ms, and measurements lag by half a second.
constexpr auto pace_interval = std::chrono::milliseconds{650};
constexpr auto min_time_below_target = std::chrono::milliseconds{1000};
constexpr auto pace_retry = std::chrono::milliseconds{400};
// After this time over its target, all best-effort tasks beside a serving task
// are paused; a target may be exceeded for at most 4 s.
constexpr auto max_time_over_target = std::chrono::milliseconds{2200};
// No best-effort task is placed on a worker for this long after a serving task
// was near its target.
constexpr auto near_target_pause = std::chrono::milliseconds{1000};
constexpr auto pace_step = std::uint32_t{25};
constexpr auto min_pace = std::uint32_t{12};
constexpr auto full_pace = std::uint32_t{100};

auto share_of(dispatch_worker const& worker, std::int64_t cpu_milli) -> double
{
    return static_cast<double>(cpu_milli) /
           std::max<double>(
               1.0, static_cast<double>(worker.info.capacity.cpu_milli));
}

} // namespace

auto tail_model_settings(bool follows_load) -> interference_settings
{
    // Variance of one measurement: around the mean of a class it contains the
    // changes of the load.
    constexpr auto noise_around_mean = 0.25;
    constexpr auto noise_around_load = 0.05;
    auto settings = interference_settings{};
    settings.prior = 2.0;
    settings.prior_variance = 4.0;
    settings.noise_variance =
        follows_load ? noise_around_load : noise_around_mean;
    settings.half_life = std::chrono::minutes{2};
    return settings;
}

auto dispatcher::implementation::undisturbed_tail(
    task_class_id task_class, std::int64_t target) -> double&
{
    return undisturbed_tails
        .try_emplace(
            task_class, initial_tail_share * static_cast<double>(target))
        .first->second;
}

auto dispatcher::implementation::coefficient(
    task_class_id serving, task_class_id best_effort) -> double
{
    constexpr auto half = 32U;
    auto const [it, inserted] = coefficient_cache.try_emplace(
        serving.value << half | best_effort.value);
    if (inserted)
    {
        it->second = interference.excess(
            task_class_names[serving.value],
            task_class_names[best_effort.value], 1.0);
    }
    return it->second;
}

auto dispatcher::implementation::learn_interference(
    dispatch_worker& worker, core::time_point now) -> void
{
    // Measurements still contain the effect of a run that has just ended.
    if (worker.serving_runs == 0 ||
        now - worker.last_observed_at < observation_interval ||
        now - worker.best_effort_ended_at < measurement_lag)
    {
        return;
    }
    worker.last_observed_at = now;
    auto neighbours = std::vector<measured_neighbour>{};
    auto load = 0.0;
    for (auto const& run : worker.runs)
    {
        if (run.uses_spare_cpu && run.seen_running && run.measurement > 0)
        {
            neighbours.push_back(
                {task_class_names[run.task_class.value],
                 share_of(worker, run.measurement)});
            load += neighbours.back().load;
        }
    }
    for (auto const& run : worker.runs)
    {
        if (run.tail_target_ms == 0 || !run.seen_running ||
            run.measurement <= 0)
        {
            continue;
        }
        auto& base = undisturbed_tail(run.task_class, run.tail_target_ms);
        auto const tail = static_cast<double>(run.measurement);
        auto const target = static_cast<double>(run.tail_target_ms);
        if (load < min_load)
        {
            base += undisturbed_tail_rate * (std::min(tail, target) - base);
            follow_load(run, std::min(tail, target), 0.0, now);
            continue;
        }
        auto const level = load_level(run, now).value_or(std::log(base));
        interference.observe(
            task_class_names[run.task_class.value], neighbours,
            1.0 + std::max(0.0, std::log(tail) - level), now);
        follow_load(run, tail, excess_of_neighbours(worker, run), now);
    }
    worker.estimates_valid = false;
}

auto dispatcher::implementation::excess_of_neighbours(
    dispatch_worker const& worker, run_entry const& serving) -> double
{
    auto result = 0.0;
    for (auto const& it : worker.runs)
    {
        if (it.uses_spare_cpu && it.seen_running && it.measurement > 0)
        {
            result += coefficient(serving.task_class, it.task_class) *
                      share_of(worker, it.measurement);
        }
    }
    return result;
}

auto dispatcher::implementation::follow_load(
    run_entry const& run, double tail, double excess, core::time_point now)
    -> void
{
    if (settings.followed_load && run.job)
    {
        auto& load = run.job->load;
        load = load ? std::move(load) : std::make_unique<serving_load>();
        load->add(
            std::log(tail) - excess, excess > 0.0 ? disturbed_weight : 1.0,
            now);
    }
}

auto dispatcher::implementation::load_level(
    run_entry const& run, core::time_point now) const -> std::optional<double>
{
    return run.job && run.job->load ? run.job->load->level(now) : std::nullopt;
}

auto dispatcher::implementation::add_serving_class(
    dispatch_worker& worker, run_entry const& run, core::time_point now) -> void
{
    auto const target = static_cast<double>(run.tail_target_ms);
    auto const tail = std::max(1.0, static_cast<double>(run.measurement));
    auto const follows = settings.followed_load;
    auto const recent_limit =
        (follows ? usable_headroom_now_followed : usable_headroom_now) *
        std::max(0.0, std::log(target / tail));
    auto const coming = run.job && run.job->load
                            ? run.job->load->forecast(now, forecast_horizon)
                            : std::nullopt;
    auto const undisturbed = coming.value_or(
        std::log(undisturbed_tail(run.task_class, run.tail_target_ms)));
    auto const limit = (follows ? usable_headroom_followed : usable_headroom) *
                       std::max(0.0, std::log(target) - undisturbed);
    for (auto& it : worker.serving_classes)
    {
        if (it.task_class == run.task_class)
        {
            it.excess_limit = std::min(it.excess_limit, limit);
            it.recent_excess_limit =
                std::min(it.recent_excess_limit, recent_limit);
            return;
        }
    }
    auto it = serving_class{};
    it.task_class = run.task_class;
    it.excess_limit = limit;
    it.recent_excess_limit = recent_limit;
    worker.serving_classes.push_back(it);
}

auto dispatcher::implementation::update_estimates(
    dispatch_worker& worker, core::time_point now) -> void
{
    if (worker.estimates_valid)
    {
        return;
    }
    worker.estimates_valid = true;
    worker.serving_classes.clear();
    auto serving_cpu = std::int64_t{0};
    auto best_effort_cpu = std::int64_t{0};
    auto loads = std::map<task_class_id, std::int64_t>{};
    auto recent = std::map<task_class_id, std::int64_t>{};
    for (auto const& run : worker.runs)
    {
        if (run.uses_spare_cpu)
        {
            loads[run.task_class] += run.cpu_demand;
            best_effort_cpu += run.cpu_demand;
            if (now - run.ordered_at < measurement_lag)
            {
                recent[run.task_class] += run.cpu_demand;
            }
        }
        if (run.tail_target_ms > 0)
        {
            serving_cpu += run.need.cpu_milli;
            add_serving_class(worker, run, now);
        }
    }
    for (auto& it : worker.serving_classes)
    {
        for (auto const& [best_effort, cpu] : loads)
        {
            it.excess +=
                coefficient(it.task_class, best_effort) * share_of(worker, cpu);
        }
        // Measurements do not contain the effect of recent starts yet.
        for (auto const& [best_effort, cpu] : recent)
        {
            it.recent_excess +=
                coefficient(it.task_class, best_effort) * share_of(worker, cpu);
        }
    }
    auto const unused = serving_cpu * (100 - serving_use_percent) / 100;
    worker.spare_cpu_milli = worker.free().cpu_milli + unused - best_effort_cpu;
}

auto dispatcher::implementation::tolerates(
    dispatch_worker& worker, plan_step const& spec, task_class_id task_class,
    bool waited_long, core::time_point now) -> bool
{
    update_estimates(worker, now);
    if (now < worker.near_target_until)
    {
        return false;
    }
    if (waited_long)
    {
        return worker.spare_cpu_milli >= 0;
    }
    if (worker.spare_cpu_milli < spec.need.cpu_milli)
    {
        return false;
    }
    auto const load = share_of(worker, spec.need.cpu_milli);
    return std::all_of(
        worker.serving_classes.begin(), worker.serving_classes.end(),
        [&](serving_class const& it)
        {
            auto const more = load * coefficient(it.task_class, task_class);
            return it.excess + more <= it.excess_limit &&
                   it.recent_excess + more <= it.recent_excess_limit;
        });
}

// Returns the maximum share of a serving class's headroom that is used once the
// step is placed.
auto dispatcher::implementation::expected_interference(
    dispatch_worker& worker, plan_step const& spec, task_class_id task_class)
    -> double
{
    auto const load = share_of(worker, spec.need.cpu_milli);
    auto result = 0.0;
    for (auto const& it : worker.serving_classes)
    {
        auto const excess =
            it.excess + load * coefficient(it.task_class, task_class);
        result = std::max(result, excess / std::max(it.excess_limit, 0.1));
    }
    return result;
}

auto dispatcher::implementation::add_pace_orders(
    dispatch_worker& worker, core::time_point now) -> void
{
    worker.estimates_valid = false;
    if (worker.serving_runs == 0)
    {
        return;
    }
    auto const* most_affected = static_cast<run_entry const*>(nullptr);
    auto max_percent = std::int64_t{0};
    auto over_too_long = false;
    for (auto& run : worker.runs)
    {
        if (run.tail_target_ms == 0 || !run.seen_running)
        {
            continue;
        }
        auto const percent = run.measurement * 100 / run.tail_target_ms;
        if (percent < slow_down_percent)
        {
            run.over_target_since.reset();
        }
        else
        {
            run.over_target_since = run.over_target_since.value_or(now);
            over_too_long = over_too_long || now - *run.over_target_since >=
                                                 max_time_over_target;
        }
        if (percent > max_percent)
        {
            max_percent = percent;
            most_affected = &run;
        }
    }
    if (max_percent >= speed_up_percent)
    {
        worker.below_target_since = now;
    }
    repeat_pace_orders(worker, now);
    if (max_percent >= slow_down_percent)
    {
        worker.near_target_until = now + near_target_pause;
        slow_down(worker, *most_affected, over_too_long, now);
    }
    else if (now - worker.below_target_since >= min_time_below_target)
    {
        speed_up(worker, now);
    }
}

auto dispatcher::implementation::slow_down(
    dispatch_worker& worker, run_entry const& serving, bool pause_all,
    core::time_point now) -> void
{
    // The class with the largest expected effect is slowed down first.
    auto expected_excess = std::map<task_class_id, double>{};
    auto recent = false;
    for (auto const& run : worker.runs)
    {
        if (!run.uses_spare_cpu || run.stop_requested || run.pace == 0)
        {
            continue;
        }
        recent = recent || (run.pace < full_pace &&
                            now - run.pace_sent_at < pace_interval);
        expected_excess[run.task_class] +=
            coefficient(serving.task_class, run.task_class) *
            share_of(worker, std::max<std::int64_t>(run.measurement, 1));
    }
    if (expected_excess.empty() || (recent && !pause_all))
    {
        return;
    }
    auto const worst = std::max_element(
        expected_excess.begin(), expected_excess.end(),
        [](auto const& left, auto const& right)
        { return left.second < right.second; });
    auto const worst_class = worst->first;
    auto const far_over =
        serving.measurement * 100 >= serving.tail_target_ms * pause_percent;
    for (auto& run : worker.runs)
    {
        auto const selected = run.task_class == worst_class || pause_all;
        if (!run.uses_spare_cpu || run.stop_requested || !selected)
        {
            continue;
        }
        auto const pace = pause_all || far_over ? 0 : run.pace / 2;
        set_pace(worker, run, pace < min_pace ? 0 : pace, now);
    }
}

auto dispatcher::implementation::repeat_pace_orders(
    dispatch_worker& worker, core::time_point now) -> void
{
    for (auto& run : worker.runs)
    {
        if (run.seen_running && !run.stop_requested &&
            run.pace != run.confirmed_pace &&
            now - run.pace_sent_at >= pace_retry)
        {
            run.pace_sent_at = now;
            auto order = make_order(worker, run, run_order_kind::pace, now);
            order.percent = run.pace;
            orders.push_back(std::move(order));
        }
    }
}

auto dispatcher::implementation::speed_up(
    dispatch_worker& worker, core::time_point now) -> void
{
    for (auto& run : worker.runs)
    {
        if (!run.uses_spare_cpu || run.stop_requested ||
            run.pace == full_pace || now - run.pace_sent_at < pace_interval)
        {
            continue;
        }
        set_pace(worker, run, std::min(run.pace + pace_step, full_pace), now);
        // One at a time, so that the cause of new interference is known.
        return;
    }
}

auto dispatcher::implementation::set_pace(
    dispatch_worker& worker, run_entry& run, std::uint32_t pace,
    core::time_point now) -> void
{
    if (pace == run.pace)
    {
        return;
    }
    run.pace = pace;
    run.pace_sent_at = now;
    auto order = make_order(worker, run, run_order_kind::pace, now);
    order.percent = pace;
    orders.push_back(std::move(order));
}

} // namespace godwitcleat::state
