/** @file main.cpp Compares rules by which customers share the room of workers.
 */
#include "state/state.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace
{

namespace core = godwitcleat::core;
namespace state = godwitcleat::state;

constexpr auto cores = 96;
constexpr auto step_ms = 10;
constexpr auto played_ms = 60'000;
constexpr auto tasks_per_job = 8;
constexpr auto run_ms = 1000;
/** A job is in time if its last task ends within this time. */
constexpr auto objective_ms = 3000;

/** Jobs of one customer. */
struct customer_load
{
    double weight = 1.0;
    double jobs_per_s = 2.0;
    /** Jobs come only in the first `on_ms` of each `period_ms`, at a rate that
     *  keeps the mean. */
    int period_ms = 0;
    int on_ms = 0;
};

struct waiting_job
{
    int submitted_ms = 0;
    int waiting = tasks_per_job;
    int running = 0;
};

/** A customer in a play. */
struct customer_run
{
    customer_load load;
    std::deque<waiting_job> jobs; ///< With tasks that wait.
    int running = 0;
    double due = 0.0;
    double offered = 0.0;    ///< Submitted tasks, decaying over 10 s.
    double start_tag = 0.0;  ///< Of start-time fair queueing.
    double finish_tag = 0.0; ///< Of the task before.
    double owed = 0.0;       ///< Of the shares by submitted work.
    int submitted = 0;
    int in_time = 0;
    int longest_wait_ms = 0;
};

/** Returns the customer whose task starts next; one that has waiting tasks. */
using rule = std::function<std::size_t(std::vector<customer_run>&, int now_ms)>;

template <class Key>
auto lowest(std::vector<customer_run> const& customers, Key key) -> std::size_t
{
    auto best = customers.size();
    for (auto i = std::size_t{0}; i < customers.size(); ++i)
    {
        if (!customers[i].jobs.empty() &&
            (best == customers.size() || key(i) < key(best)))
        {
            best = i;
        }
    }
    return best;
}

auto first_come() -> rule
{
    return [](auto& customers, int)
    {
        return lowest(
            customers, [&](std::size_t i)
            { return customers[i].jobs.front().submitted_ms; });
    };
}

auto weighted_dominant_shares() -> rule
{
    return [](auto& customers, int)
    {
        return lowest(
            customers, [&](std::size_t i)
            { return customers[i].running / customers[i].load.weight; });
    };
}

auto start_time_fair_queueing() -> rule
{
    return [virtual_time = 0.0](auto& customers, int) mutable
    {
        auto const next = lowest(
            customers, [&](std::size_t i)
            { return std::max(virtual_time, customers[i].finish_tag); });
        if (next == customers.size())
        {
            return next;
        }
        auto& it = customers[next];
        it.start_tag = std::max(virtual_time, it.finish_tag);
        it.finish_tag = it.start_tag + 1.0 / it.load.weight;
        virtual_time = it.start_tag;
        return next;
    };
}

auto shares_by_submitted_work() -> rule
{
    return [](auto& customers, int)
    {
        auto offered = 0.0;
        for (auto const& it : customers)
        {
            offered += it.jobs.empty() ? 0.0 : it.offered;
        }
        for (auto& it : customers)
        {
            it.owed +=
                it.jobs.empty() || offered == 0.0 ? 0.0 : it.offered / offered;
        }
        auto const next = lowest(
            customers, [&](std::size_t i) { return -customers[i].owed; });
        if (next < customers.size())
        {
            customers[next].owed -= 1.0;
        }
        return next;
    };
}

/** The product's rule, with its own code. */
auto customers_within_their_share_first() -> rule
{
    auto shares = std::make_shared<state::customer_shares>();
    return [shares](auto& customers, int now_ms)
    {
        constexpr auto milli = 1000;
        shares->set_capacity({std::int64_t{cores} * milli, 0, 0});
        auto const account_of = [&](std::size_t i) -> state::customer_account&
        {
            return shares->account_of(state::customer_id{std::to_string(i)});
        };
        for (auto i = std::size_t{0}; i < customers.size(); ++i)
        {
            auto& account = account_of(i);
            account.weight = customers[i].load.weight;
            account.running.cpu_milli = customers[i].running * milli;
            account.contends = !customers[i].jobs.empty();
        }
        shares->advance(core::time_point{std::chrono::milliseconds{now_ms}});
        shares->compare();
        return lowest(
            customers,
            [&](std::size_t i)
            {
                return std::pair{
                    shares->is_beyond_share(account_of(i)),
                    customers[i].jobs.front().submitted_ms};
            });
    };
}

auto submit(customer_run& it, int now_ms) -> void
{
    auto const& load = it.load;
    auto rate = load.jobs_per_s;
    if (load.period_ms > 0)
    {
        auto const on = now_ms % load.period_ms < load.on_ms;
        rate = on ? rate * load.period_ms / load.on_ms : 0.0;
    }
    constexpr auto ms_per_s = 1000.0;
    constexpr auto decay_ms = 10'000.0;
    it.offered *= 1.0 - step_ms / decay_ms;
    for (it.due += rate * step_ms / ms_per_s; it.due >= 1.0; it.due -= 1.0)
    {
        it.jobs.emplace_back().submitted_ms = now_ms;
        ++it.submitted;
        it.offered += tasks_per_job;
    }
}

auto play(rule const& next, std::vector<customer_load> const& loads)
    -> std::vector<customer_run>
{
    struct run
    {
        int end_ms = 0;
        std::size_t customer = 0;
        bool last = false; ///< Of its job, whose submit time follows.
        int submitted_ms = 0;
    };
    auto customers = std::vector<customer_run>{};
    for (auto const& it : loads)
    {
        customers.emplace_back().load = it;
    }
    auto runs = std::deque<run>{}; // All take the same time.
    for (auto now_ms = 0; now_ms < played_ms; now_ms += step_ms)
    {
        for (; !runs.empty() && runs.front().end_ms <= now_ms; runs.pop_front())
        {
            auto const& it = runs.front();
            --customers[it.customer].running;
            customers[it.customer].in_time +=
                it.last && now_ms - it.submitted_ms <= objective_ms ? 1 : 0;
        }
        for (auto& it : customers)
        {
            submit(it, now_ms);
        }
        while (runs.size() < cores)
        {
            auto const i = next(customers, now_ms);
            if (i == customers.size())
            {
                break;
            }
            auto& it = customers[i];
            auto& job = it.jobs.front();
            ++it.running;
            it.longest_wait_ms =
                std::max(it.longest_wait_ms, now_ms - job.submitted_ms);
            auto const last = --job.waiting == 0;
            runs.push_back({now_ms + run_ms, i, last, job.submitted_ms});
            if (last)
            {
                it.jobs.pop_front();
            }
        }
    }
    return customers;
}

auto print(
    std::string_view load_name, std::string_view rule_name,
    std::vector<customer_run> const& customers) -> void
{
    constexpr auto percent = 100.0;
    auto const part = [&](customer_run const& it)
    {
        return percent * it.in_time / std::max(1, it.submitted);
    };
    auto worst = percent;
    auto wait_ms = 0;
    for (auto i = std::size_t{1}; i < customers.size(); ++i)
    {
        worst = std::min(worst, part(customers[i]));
        wait_ms = std::max(wait_ms, customers[i].longest_wait_ms);
    }
    auto const& first = customers.front();
    fmt::print(
        "| {} | {} | {:.0f} | {:.1f} | {} | {} |\n", load_name, rule_name,
        worst, wait_ms / 1000.0, first.in_time, first.submitted);
}

auto loads() -> std::vector<std::pair<std::string, std::vector<customer_load>>>
{
    auto const calm = std::vector<customer_load>(5);
    auto hot = calm;
    hot.front().jobs_per_s *= 8;
    auto in_bursts = hot;
    in_bursts.front().period_ms = 12'000;
    in_bursts.front().on_ms = 3000;
    auto overload = std::vector<customer_load>(5, {1.0, 4.0, 0, 0});
    overload.front().weight = 3.0;
    return {
        {"all at 83% of the room", calm},
        {"first at 8 times", hot},
        {"first at 8 times, in bursts", in_bursts},
        {"all at 167%, first has weight 3", overload}};
}

} // namespace

auto main() -> int
{
    fmt::print(
        "| load | rule | worst other, % in time | longest wait of others, s | "
        "first: in time | of jobs |\n|---|---|---|---|---|---|\n");
    for (auto const& [name, load] : loads())
    {
        print(name, "first come", play(first_come(), load));
        print(
            name, "weighted dominant shares",
            play(weighted_dominant_shares(), load));
        print(
            name, "start-time fair queueing",
            play(start_time_fair_queueing(), load));
        print(
            name, "shares by submitted work",
            play(shares_by_submitted_work(), load));
        print(
            name, "within their share first (as built)",
            play(customers_within_their_share_first(), load));
    }
}
