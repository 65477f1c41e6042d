/** @file simulation_base.cpp Event queue that drives the request path. */
#include "simulation_base.hpp"

#include "event_type.hpp"
#include "limiter_base.hpp"
#include "tally_func.hpp"
#include "workload_func.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <queue>
#include <random>
#include <utility>

namespace godwitcleat::experiments
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint64_t server_connections = 64;
constexpr core::duration one_way = 1500us;
constexpr core::duration exchange_interval = 500ms;
constexpr core::duration repeat_first = 100ms;
constexpr core::duration repeat_at_once = 10ms;

/// As in the gateway.
constexpr std::size_t most_attempts = 3;
constexpr int patience = 8;

/// A lost backend server leaves the table when its lease has lapsed.
constexpr core::duration loss_notice = 12300ms;

struct server
{
    core::backend_server_id id;
    std::deque<std::size_t> queue; ///< Attempts.
    std::uint64_t running = 0;
    bool lost = false;
};

/** What an instance keeps for one service. */
struct service_part
{
    core::service_id id;
    coordination::retry_budget budget;
    std::unique_ptr<limiter> admission;
    std::deque<std::size_t> held; ///< Requests in order of arrival.
    double in_flight = 0.0;
};

struct instance
{
    std::unique_ptr<core::random_source> random;
    std::unique_ptr<coordination::router> router;
    std::vector<service_part> services;
};

struct attempt
{
    std::size_t request = 0;
    std::uint32_t instance = 0;
    std::uint32_t server = 0;
    bool open = true;
    core::duration sent{};
    coordination::backend_choice choice;
};

struct update
{
    std::size_t from = 0;
    std::vector<protocol::backend_load> loads;
};

class simulation
{
public:
    explicit simulation(run_options const& options)
        : options_(options)
        , requests_(make_workload(options))
        , engine_(options.seed + 1'000'003)
        , tallies_(service_count(options))
    {
        for (auto& it : tallies_)
        {
            it.good_by_bucket.resize(
                static_cast<std::size_t>(end_time(options) / bucket) + 100);
        }
        for (std::size_t i = 0; i < options_.backends; ++i)
        {
            servers_.emplace_back().id =
                core::backend_server_id{fmt::format("service/{}#1", i)};
        }
        add_instances();
        if (options_.what == scenario::half_lost)
        {
            push(change_time(options_), event_kind::loss);
            push(change_time(options_) + loss_notice, event_kind::table);
        }
    }

    auto run() -> std::vector<run_result>
    {
        auto next = std::size_t{0};
        auto const first_tries = requests_.size();
        auto const end = end_time(options_) + 3s;
        while (next < first_tries || !events_.empty())
        {
            if (next < first_tries &&
                (events_.empty() || requests_[next].at <= events_.top().at))
            {
                move_to(requests_[next].at);
                arrive(next++);
                continue;
            }
            auto const it = events_.top();
            events_.pop();
            if (it.at > end)
            {
                break;
            }
            move_to(it.at);
            handle(it);
        }
        auto result = std::vector<run_result>{};
        for (std::size_t i = 0; i < tallies_.size(); ++i)
        {
            auto const answered = std::count_if(
                requests_.begin(), requests_.end(),
                [i](auto const& it) { return it.good && it.service == i; });
            result.push_back(summary(
                options_, tallies_[i], i, static_cast<double>(answered)));
        }
        return result;
    }

private:
    auto add_instances() -> void
    {
        for (std::size_t i = 0; i < options_.instances; ++i)
        {
            auto& it = instances_.emplace_back();
            it.random =
                std::make_unique<core::random_source>(options_.seed * 1000 + i);
            auto settings = coordination::router_settings{};
            settings.connections = options_.connections;
            it.router = std::make_unique<coordination::router>(
                clock_.reader(), *it.random, coordination::default_policy(),
                settings);
            it.router->update_table(table(1));
            for (std::size_t k = 0; k < service_count(options_); ++k)
            {
                auto& part = it.services.emplace_back();
                part.id = service_name(k);
                part.admission =
                    make_limiter(options_.limiter, options_.bounded);
            }
            push(below(exchange_interval), event_kind::exchange, i);
        }
    }

    static auto service_name(std::size_t index) -> core::service_id
    {
        return core::service_id{fmt::format("service{}", index)};
    }

    auto table(std::uint64_t version) const -> protocol::endpoint_table
    {
        auto result = protocol::endpoint_table{
            core::shard_id{1}, core::epoch{1}, version, {}};
        for (std::size_t k = 0; k < service_count(options_); ++k)
        {
            for (std::size_t i = 0; i < servers_.size(); ++i)
            {
                auto const member =
                    options_.shared_servers || i % service_count(options_) == k;
                if (member && !servers_[i].lost)
                {
                    result.endpoints.push_back(
                        {service_name(k), servers_[i].id,
                         fmt::format("127.0.0.1:{}", 10'000 + i),
                         core::data_centre_id{"a"}, false});
                }
            }
        }
        return result;
    }

    auto push(
        core::duration at, event_kind kind, std::size_t a = 0,
        std::size_t b = 0) -> void
    {
        events_.push({at, order_++, kind, a, b});
    }

    auto below(core::duration bound) -> core::duration
    {
        return core::duration{std::uniform_int_distribution<std::int64_t>{
            0, bound.count() - 1}(engine_)};
    }

    auto move_to(core::duration at) -> void
    {
        clock_.advance(at - now_);
        now_ = at;
    }

    auto part_of(request const& it) -> service_part&
    {
        return instances_[it.instance].services[it.service];
    }

    auto tally_of(request const& it) -> tally&
    {
        return tallies_[it.service];
    }

    auto is_measured(request const& it) const -> bool
    {
        return requests_[it.first].at >= warm_up;
    }

    auto view_of(request const& it) -> admission_view
    {
        auto const& part = part_of(it);
        auto const load = instances_[it.instance].router->load(part.id);
        return {
            now_,
            it.at + it.deadline - now_,
            {load.in_flight, load.usable * slots, load.own_in_flight,
             load.instances},
            part.in_flight,
            static_cast<double>(options_.instances)};
    }

    auto arrive(std::size_t id) -> void
    {
        auto& it = requests_[id];
        if (it.first == id && is_measured(it))
        {
            ++tally_of(it).first_tries;
        }
        auto& part = part_of(it);
        part.budget.add_request();
        switch (part.admission->decide(view_of(it)))
        {
        case verdict::admit: send(id); return;
        case verdict::hold:
            part.held.push_back(id);
            // A held request that is not sent by then is refused.
            push(it.at + it.deadline, event_kind::expire, id);
            return;
        case verdict::refuse: refuse(id); return;
        }
    }

    /** Answers `not run`; the caller may repeat the request. */
    auto refuse(std::size_t id) -> void
    {
        auto const it = requests_[id];
        tally_of(it).result.refused += is_measured(it) ? 1 : 0;
        if (it.repeats == 0)
        {
            return;
        }
        auto again = it;
        again.tried.clear();
        again.uncertain = false;
        --again.repeats;
        again.instance = static_cast<std::uint32_t>(
            std::uniform_int_distribution<std::size_t>{
                0, instances_.size() - 1}(engine_));
        auto const doublings = options_.callers.most - it.repeats;
        auto const pause = repeat_first * (1 << doublings);
        again.at = now_ + 2 * one_way +
                   (options_.callers.backoff ? pause / 2 + below(pause)
                                             : core::duration{repeat_at_once});
        if (again.at >= end_time(options_))
        {
            return;
        }
        tally_of(it).result.repeats += is_measured(it) ? 1 : 0;
        requests_.push_back(std::move(again));
        push(requests_.back().at, event_kind::repeat, requests_.size() - 1);
    }

    /** Ends a request for which no further attempt can be made. */
    auto give_up(std::size_t id) -> void
    {
        auto const& it = requests_[id];
        if (!it.uncertain)
        {
            refuse(id);
            return;
        }
        tally_of(it).result.late += is_measured(it) ? 1 : 0;
    }

    auto attempt_timeout(request const& it, core::duration remaining)
        -> core::duration
    {
        auto const load = instances_[it.instance].router->load(part_of(it).id);
        if (!it.idempotent || !it.tried.empty() || load.usable < 2)
        {
            return remaining;
        }
        return std::min(
            remaining, std::max(remaining / 2, patience * load.mean_latency));
    }

    auto send(std::size_t id) -> void
    {
        auto& it = requests_[id];
        auto const remaining = it.at + it.deadline - now_;
        if (remaining < 1ms)
        {
            give_up(id);
            return;
        }
        auto const timeout = attempt_timeout(it, remaining);
        auto& part = part_of(it);
        auto const choice =
            instances_[it.instance].router->choose(part.id, {it.tried});
        if (!choice)
        {
            give_up(id);
            return;
        }
        it.tried.push_back(choice->backend_server);
        ++part.in_flight;
        auto const to = static_cast<std::uint32_t>(choice->where.port - 10'000);
        attempts_.push_back({id, it.instance, to, true, now_, *choice});
        push(now_ + one_way, event_kind::reach, attempts_.size() - 1);
        push(now_ + timeout, event_kind::timeout, attempts_.size() - 1);
    }

    /** Sends held requests while the limit allows. */
    auto send_held(std::uint32_t at, std::uint32_t service) -> void
    {
        auto& part = instances_[at].services[service];
        while (!part.held.empty())
        {
            auto const chosen = next_held(part);
            auto const id = *chosen;
            auto const& it = requests_[id];
            if (it.at + it.deadline - now_ < part.admission->needed())
            {
                part.held.erase(chosen);
                refuse(id);
                continue;
            }
            if (part.admission->decide(view_of(requests_[id])) !=
                verdict::admit)
            {
                return;
            }
            part.held.erase(chosen);
            send(id);
        }
    }

    auto next_held(service_part& part) -> std::deque<std::size_t>::iterator
    {
        switch (part.admission->order())
        {
        case hold_order::oldest: return part.held.begin();
        case hold_order::newest: return std::prev(part.held.end());
        case hold_order::deadline: break;
        }
        return std::min_element(
            part.held.begin(), part.held.end(),
            [this](auto a, auto b)
            {
                return requests_[a].at + requests_[a].deadline <
                       requests_[b].at + requests_[b].deadline;
            });
    }

    auto expire(std::size_t id) -> void
    {
        auto& held = part_of(requests_[id]).held;
        auto const it = std::find(held.begin(), held.end(), id);
        if (it != held.end())
        {
            held.erase(it);
            refuse(id);
        }
    }

    auto handle(event const& it) -> void
    {
        switch (it.kind)
        {
        case event_kind::repeat: arrive(it.a); return;
        case event_kind::reach: reach(it.a); return;
        case event_kind::served: served(it.a); return;
        case event_kind::answer: answer(it.a); return;
        case event_kind::refused: fail(it.a, false); return;
        case event_kind::timeout: fail(it.a, true); return;
        case event_kind::expire: expire(it.a); return;
        case event_kind::exchange: exchange(it.a); return;
        case event_kind::counts:
            instances_[it.a].router->update_peer(
                core::instance_id{fmt::format("i{}", updates_[it.b].from)},
                updates_[it.b].loads);
            return;
        case event_kind::loss:
            for (std::size_t i = 0; i < servers_.size() / 2; ++i)
            {
                servers_[i].lost = true;
            }
            return;
        case event_kind::table:
            for (auto& to : instances_)
            {
                to.router->update_table(table(2));
            }
            return;
        }
    }

    auto reach(std::size_t id) -> void
    {
        auto& to = servers_[attempts_[id].server];
        if (to.lost)
        {
            return;
        }
        if (to.running + to.queue.size() >= server_connections)
        {
            push(now_ + one_way, event_kind::refused, id);
            return;
        }
        to.queue.push_back(id);
        start_next(to);
    }

    auto start_next(server& it) -> void
    {
        while (it.running < slots && !it.queue.empty())
        {
            auto const id = it.queue.front();
            it.queue.pop_front();
            ++it.running;
            push(
                now_ + requests_[attempts_[id].request].work,
                event_kind::served, id);
        }
    }

    auto served(std::size_t id) -> void
    {
        auto& at = servers_[attempts_[id].server];
        if (at.lost)
        {
            return;
        }
        --at.running;
        auto const& it = requests_[attempts_[id].request];
        tally_of(it).work += std::chrono::duration<double>(it.work).count();
        push(now_ + one_way, event_kind::answer, id);
        start_next(at);
    }

    auto answer(std::size_t id) -> void
    {
        auto& it = attempts_[id];
        if (!it.open)
        {
            return;
        }
        it.open = false;
        auto& asked = requests_[it.request];
        auto& part = part_of(asked);
        part.admission->note_answer(now_ - it.sent, view_of(asked));
        --part.in_flight;
        instances_[it.instance].router->finish(
            it.choice, coordination::attempt_result::answered, now_ - it.sent);
        auto& into = tally_of(asked);
        into.used_work += std::chrono::duration<double>(asked.work).count();
        into.good_by_bucket.at(static_cast<std::size_t>(now_ / bucket)) += 1.0;
        if (is_measured(asked))
        {
            requests_[asked.first].good = true;
            into.latencies.push_back(now_ - asked.at);
        }
        if (now_ >= warm_up && now_ < end_time(options_))
        {
            ++into.good;
        }
        send_held(it.instance, asked.service);
    }

    /** Ends an attempt without an answer and tries another server. */
    auto fail(std::size_t id, bool may_have_run) -> void
    {
        auto& it = attempts_[id];
        if (!it.open)
        {
            return;
        }
        it.open = false;
        auto& asked = requests_[it.request];
        auto& part = part_of(asked);
        auto& router = *instances_[it.instance].router;
        auto const elapsed = now_ - it.sent;
        auto const mean = router.load(part.id).mean_latency;
        auto const hasty = may_have_run && elapsed < patience * mean;
        part.admission->note_timeout(view_of(asked));
        --part.in_flight;
        router.finish(
            it.choice,
            hasty ? coordination::attempt_result::cancelled
                  : coordination::attempt_result::failed,
            elapsed);
        asked.uncertain = asked.uncertain || may_have_run;
        auto const outcome = may_have_run
                                 ? coordination::attempt_outcome::timed_out
                                 : coordination::attempt_outcome::not_run;
        auto const again = coordination::may_retry(outcome, asked.idempotent) &&
                           asked.tried.size() < most_attempts &&
                           now_ < asked.at + asked.deadline &&
                           part.budget.take();
        if (again)
        {
            ++tally_of(asked).result.retries;
            send(it.request);
        }
        else
        {
            give_up(it.request);
        }
        send_held(it.instance, asked.service);
    }

    auto exchange(std::size_t from) -> void
    {
        if (now_ > end_time(options_))
        {
            return;
        }
        updates_.push_back({from, instances_[from].router->loads()});
        for (std::size_t to = 0; to < instances_.size(); ++to)
        {
            if (to != from)
            {
                push(
                    now_ + one_way, event_kind::counts, to,
                    updates_.size() - 1);
            }
        }
        push(now_ + exchange_interval, event_kind::exchange, from);
    }

    run_options options_;
    std::deque<request> requests_; ///< First tries by time, then repeats.
    std::mt19937_64 engine_;
    std::vector<tally> tallies_;
    core::manual_clock clock_;
    core::duration now_{};
    std::uint64_t order_ = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::vector<server> servers_;
    std::vector<instance> instances_;
    std::deque<attempt> attempts_;
    std::deque<update> updates_;
};

} // namespace

auto run_overload(run_options const& options) -> std::vector<run_result>
{
    return simulation{options}.run();
}

} // namespace godwitcleat::experiments
