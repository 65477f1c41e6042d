/** @file dispatch_interference.cpp Keeps serving tasks undisturbed.
 *
 * Steps that use spare processors run beside serving tasks. How much a class of
 * tasks lengthens the tail of another is learned from the workers' figures, as
 * the logarithm of the factor on the undisturbed tail.
 */
#include "state/dispatch_internal.hpp"

#include <algorithm>
#include <cmath>

namespace godwitcleat::state
{

namespace
{

// The workers' figures are means over half a second.
constexpr auto lesson_interval = std::chrono::milliseconds{500};
constexpr auto figure_lag = std::chrono::milliseconds{600};
// Less than this share of a worker's processors disturbs nobody measurably.
constexpr auto least_load = 0.005;
constexpr auto base_rate = 0.05; // Weight of a new undisturbed tail.
// Until an undisturbed tail was seen, it is taken as this share of the target.
constexpr auto first_base = 0.45;
// Share of the room below a target that may be used up by expected excess. The
// rest is for the serving tasks' own load, which changes within seconds.
constexpr auto usable_room = 0.9;
// Share of the room below a target, by its latest figure, that tasks which are
// started now may use up.
constexpr auto usable_room_now = 0.25;
// Serving tasks use this share of their processors at most, usually.
constexpr auto serving_use_percent = 50;

// Shares of a serving task's target at which the tasks beside it are slowed
// down, stopped, and get their share back.
constexpr auto slow_down_percent = 95;
constexpr auto stop_percent = 250;
constexpr auto speed_up_percent = 75;
// An order takes 100 ms to act, and the figures lag by half a second.
constexpr auto pace_interval = std::chrono::milliseconds{650};
constexpr auto calm_time = std::chrono::milliseconds{1000};
constexpr auto pace_retry = std::chrono::milliseconds{400};
// A serving task that is over its target for this long has all tasks beside it
// stopped; 4 s is the longest time that is allowed.
constexpr auto longest_over = std::chrono::milliseconds{2200};
// No further task is placed beside one that was near its target.
constexpr auto hot_time = std::chrono::milliseconds{1000};
constexpr auto pace_step = std::uint32_t{25};
constexpr auto least_pace = std::uint32_t{12};
constexpr auto full_pace = std::uint32_t{100};

auto share_of(dispatch_worker const& worker, std::int64_t cpu_milli) -> double
{
    return static_cast<double>(cpu_milli) /
           std::max<double>(
               1.0, static_cast<double>(worker.info.capacity.cpu_milli));
}

} // namespace

auto learning_settings() -> interference_settings
{
    auto settings = interference_settings{};
    settings.prior = 2.0;
    settings.prior_variance = 4.0;
    settings.noise_variance = 0.25;
    settings.half_life = std::chrono::minutes{2};
    return settings;
}

auto dispatcher::implementation::base_tail(
    class_number task_class, std::int64_t target) -> double&
{
    return base_tails
        .try_emplace(task_class, first_base * static_cast<double>(target))
        .first->second;
}

auto dispatcher::implementation::coefficient(
    class_number serving, class_number filling) -> double
{
    constexpr auto half = 32U;
    auto const [it, inserted] =
        coefficients.try_emplace(serving.value << half | filling.value);
    if (inserted)
    {
        it->second = interference.excess(
            class_names[serving.value], class_names[filling.value], 1.0);
    }
    return it->second;
}

auto dispatcher::implementation::learn_interference(
    dispatch_worker& worker, core::time_point now) -> void
{
    // A run that has just ended still shows in the others' figures.
    if (worker.serving == 0 || now - worker.learned_at < lesson_interval ||
        now - worker.spare_ended_at < figure_lag)
    {
        return;
    }
    worker.learned_at = now;
    auto neighbours = std::vector<measured_neighbour>{};
    auto load = 0.0;
    for (auto const& run : worker.runs)
    {
        if (run.uses_spare_cpu && run.listed && run.measure > 0)
        {
            neighbours.push_back(
                {class_names[run.task_class.value],
                 share_of(worker, run.measure)});
            load += neighbours.back().load;
        }
    }
    for (auto const& run : worker.runs)
    {
        if (run.tail_target_ms == 0 || !run.listed || run.measure <= 0)
        {
            continue;
        }
        auto& base = base_tail(run.task_class, run.tail_target_ms);
        auto const tail = static_cast<double>(run.measure);
        if (load < least_load)
        {
            auto const most = static_cast<double>(run.tail_target_ms);
            base += base_rate * (std::min(tail, most) - base);
            continue;
        }
        interference.observe(
            class_names[run.task_class.value], neighbours,
            1.0 + std::max(0.0, std::log(tail / base)), now);
    }
    worker.assessed = false;
}

auto dispatcher::implementation::add_served(
    dispatch_worker& worker, run_entry const& run) -> void
{
    auto const target = static_cast<double>(run.tail_target_ms);
    auto const tail = std::max(1.0, static_cast<double>(run.measure));
    auto const now_left =
        usable_room_now * std::max(0.0, std::log(target / tail));
    for (auto& it : worker.served)
    {
        if (it.task_class == run.task_class)
        {
            it.limit_now = std::min(it.limit_now, now_left);
            return;
        }
    }
    auto it = serving_class{};
    it.task_class = run.task_class;
    it.limit =
        usable_room *
        std::max(
            0.0,
            std::log(target / base_tail(run.task_class, run.tail_target_ms)));
    it.limit_now = now_left;
    worker.served.push_back(it);
}

auto dispatcher::implementation::assess(
    dispatch_worker& worker, core::time_point now) -> void
{
    if (worker.assessed)
    {
        return;
    }
    worker.assessed = true;
    worker.served.clear();
    auto serving_cpu = std::int64_t{0};
    auto filling_cpu = std::int64_t{0};
    auto loads = std::map<class_number, std::int64_t>{};
    auto recent = std::map<class_number, std::int64_t>{};
    for (auto const& run : worker.runs)
    {
        if (run.uses_spare_cpu)
        {
            loads[run.task_class] += run.cpu_demand;
            filling_cpu += run.cpu_demand;
            if (now - run.ordered_at < figure_lag)
            {
                recent[run.task_class] += run.cpu_demand;
            }
        }
        if (run.tail_target_ms > 0)
        {
            serving_cpu += run.need.cpu_milli;
            add_served(worker, run);
        }
    }
    for (auto& it : worker.served)
    {
        for (auto const& [filling, cpu] : loads)
        {
            it.excess +=
                coefficient(it.task_class, filling) * share_of(worker, cpu);
        }
        // The figures do not show what was started just now.
        for (auto const& [filling, cpu] : recent)
        {
            it.recent +=
                coefficient(it.task_class, filling) * share_of(worker, cpu);
        }
    }
    auto const unused = serving_cpu * (100 - serving_use_percent) / 100;
    worker.spare_cpu = worker.free().cpu_milli + unused - filling_cpu;
}

auto dispatcher::implementation::bears(
    dispatch_worker& worker, plan_step const& spec, class_number task_class,
    bool waits_long, core::time_point now) -> bool
{
    assess(worker, now);
    if (now < worker.hot_until)
    {
        return false;
    }
    if (waits_long)
    {
        return worker.spare_cpu >= 0;
    }
    if (worker.spare_cpu < spec.need.cpu_milli)
    {
        return false;
    }
    auto const load = share_of(worker, spec.need.cpu_milli);
    return std::all_of(
        worker.served.begin(), worker.served.end(),
        [&](serving_class const& it)
        {
            auto const more = load * coefficient(it.task_class, task_class);
            return it.excess + more <= it.limit &&
                   it.recent + more <= it.limit_now;
        });
}

// Returns the largest share of a serving class's room that the step would use.
auto dispatcher::implementation::disturbance(
    dispatch_worker& worker, plan_step const& spec, class_number task_class)
    -> double
{
    auto const load = share_of(worker, spec.need.cpu_milli);
    auto result = 0.0;
    for (auto const& it : worker.served)
    {
        auto const excess =
            it.excess + load * coefficient(it.task_class, task_class);
        result = std::max(result, excess / std::max(it.limit, 0.1));
    }
    return result;
}

auto dispatcher::implementation::add_pace_orders(
    dispatch_worker& worker, core::time_point now) -> void
{
    worker.assessed = false;
    if (worker.serving == 0)
    {
        return;
    }
    auto const* hottest = static_cast<run_entry const*>(nullptr);
    auto most = std::int64_t{0};
    auto over_long = false;
    for (auto& run : worker.runs)
    {
        if (run.tail_target_ms == 0 || !run.listed)
        {
            continue;
        }
        auto const percent = run.measure * 100 / run.tail_target_ms;
        if (percent < slow_down_percent)
        {
            run.over_since.reset();
        }
        else
        {
            run.over_since = run.over_since.value_or(now);
            over_long = over_long || now - *run.over_since >= longest_over;
        }
        if (percent > most)
        {
            most = percent;
            hottest = &run;
        }
    }
    if (most >= speed_up_percent)
    {
        worker.calm_since = now;
    }
    repeat_pace_orders(worker, now);
    if (most >= slow_down_percent)
    {
        worker.hot_until = now + hot_time;
        slow_down(worker, *hottest, over_long, now);
    }
    else if (now - worker.calm_since >= calm_time)
    {
        speed_up(worker, now);
    }
}

auto dispatcher::implementation::slow_down(
    dispatch_worker& worker, run_entry const& serving, bool stop_all,
    core::time_point now) -> void
{
    // The class that is expected to disturb most is slowed first.
    auto blame = std::map<class_number, double>{};
    auto recent = false;
    for (auto const& run : worker.runs)
    {
        if (!run.uses_spare_cpu || run.stop_wanted || run.pace == 0)
        {
            continue;
        }
        recent = recent ||
                 (run.pace < full_pace && now - run.paced_at < pace_interval);
        blame[run.task_class] +=
            coefficient(serving.task_class, run.task_class) *
            share_of(worker, std::max<std::int64_t>(run.measure, 1));
    }
    if (blame.empty() || (recent && !stop_all))
    {
        return;
    }
    auto const worst = std::max_element(
        blame.begin(), blame.end(),
        [](auto const& left, auto const& right)
        { return left.second < right.second; });
    auto const worst_class = worst->first;
    auto const far_over =
        serving.measure * 100 >= serving.tail_target_ms * stop_percent;
    for (auto& run : worker.runs)
    {
        auto const blamed = run.task_class == worst_class || stop_all;
        if (!run.uses_spare_cpu || run.stop_wanted || !blamed)
        {
            continue;
        }
        auto const pace = stop_all || far_over ? 0 : run.pace / 2;
        set_pace(worker, run, pace < least_pace ? 0 : pace, now);
    }
}

auto dispatcher::implementation::repeat_pace_orders(
    dispatch_worker& worker, core::time_point now) -> void
{
    for (auto& run : worker.runs)
    {
        if (run.listed && !run.stop_wanted && run.pace != run.confirmed_pace &&
            now - run.paced_at >= pace_retry)
        {
            run.paced_at = now;
            auto order = order_for(worker, run, run_order_kind::pace);
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
        if (!run.uses_spare_cpu || run.stop_wanted || run.pace == full_pace ||
            now - run.paced_at < pace_interval)
        {
            continue;
        }
        set_pace(worker, run, std::min(run.pace + pace_step, full_pace), now);
        // One at a time, so that the cause of a new excess is known.
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
    run.paced_at = now;
    auto order = order_for(worker, run, run_order_kind::pace);
    order.percent = pace;
    orders.push_back(std::move(order));
}

} // namespace godwitcleat::state
