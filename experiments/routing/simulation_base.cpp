/** @file simulation_base.cpp Event queue that drives the router's decisions. */
#include "simulation_base.hpp"

#include "experiments/support/choice_func.hpp"
#include "experiments/support/figures_func.hpp"
#include "workload_func.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <deque>
#include <memory>
#include <queue>
#include <random>
#include <tuple>
#include <utility>

namespace godwitcleat::experiments
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint64_t connections = 64;
constexpr core::duration deadline = 2s;
constexpr core::duration first_timeout = 1s; ///< Half of the deadline.
constexpr std::size_t most_attempts = 3;
constexpr core::duration longest_table_delay = 500ms;
constexpr int slow_factor = 10;
constexpr std::size_t latency_samples = 16;
constexpr std::size_t probes_per_request = 3; ///< As published.

/// Bytes of the IP and TCP headers and the frame of a message.
constexpr std::size_t message_bytes = 56;

/// Table versions in an update that carries positions.
constexpr std::size_t version_bytes = 8;

auto const service = core::service_id{"desk"};

enum class event_kind
{
    reach,    ///< An attempt reaches its backend server.
    served,   ///< A backend server finishes an attempt.
    answer,   ///< The answer reaches the instance.
    refused,  ///< The refusal of a full backend server reaches it.
    timeout,  ///< The instance gives up an attempt.
    exchange, ///< An instance sends its counts.
    counts,   ///< A peer's counts arrive.
    probe,    ///< A probe reaches a backend server.
    probed,   ///< The answer to a probe arrives.
    idle,     ///< A report of a free slot arrives.
    table,    ///< A new table arrives.
    fault     ///< The scenario's change happens.
};

struct event
{
    core::duration at{};
    std::uint64_t order = 0; ///< Ties are handled in order of creation.
    event_kind kind = event_kind::fault;
    std::size_t a = 0;
    std::size_t b = 0;

    auto operator>(event const& other) const -> bool
    {
        return std::tie(at, order) > std::tie(other.at, other.order);
    }
};

struct server
{
    core::backend_server_id id;
    std::deque<std::size_t> queue; ///< Attempts.
    std::uint64_t running = 0;
    int slowness = 1;
    bool frozen = false;
    /// Latest latencies by the requests in flight at the arrival.
    std::array<std::deque<core::duration>, connections + 1> latencies;
};

/** Returns the median of recent latencies at the load nearest to now's. */
auto latency_at(server const& it) -> core::duration
{
    auto const now =
        std::min<std::size_t>(it.running + it.queue.size(), connections);
    for (std::size_t distance = 0; distance <= connections; ++distance)
    {
        for (auto const at : {now - std::min(now, distance), now + distance})
        {
            if (at <= connections && !it.latencies[at].empty())
            {
                auto sorted = it.latencies[at];
                std::sort(sorted.begin(), sorted.end());
                return sorted[sorted.size() / 2];
            }
        }
    }
    return {};
}

struct instance
{
    std::unique_ptr<core::random_source> random;
    std::unique_ptr<coordination::router> router;
    coordination::retry_budget budget;
    bool alive = true;
    bool knows_leaving = false;
};

struct attempt
{
    std::size_t request = 0;
    std::uint32_t instance = 0;
    std::uint32_t server = 0;
    bool open = true;
    core::duration sent{};
    core::duration reached{};
    std::uint64_t found = 0; ///< Requests at the backend server on arrival.
    coordination::backend_choice choice;
};

struct update
{
    std::size_t from = 0;
    core::duration counted{};
    std::vector<protocol::backend_load> loads;
};

class simulation
{
public:
    explicit simulation(run_options const& options)
        : options_(options)
        , workload_(make_workload(options))
        , tried_(workload_.size())
        , engine_(options.seed + 1'000'003)
    {
        add_servers();
        add_instances();
        if (options_.what != scenario::steady &&
            options_.what != scenario::load_step)
        {
            push(fault_time(options_), event_kind::fault);
        }
    }

    auto run() -> run_result
    {
        auto next = std::size_t{0};
        auto const end = end_time(options_);
        while (next < workload_.size() || !events_.empty())
        {
            auto const arrival =
                next < workload_.size() &&
                (events_.empty() || workload_[next].at <= events_.top().at);
            if (arrival)
            {
                move_to(workload_[next].at);
                arrive(next++);
                continue;
            }
            auto const it = events_.top();
            events_.pop();
            if (it.at > end + deadline)
            {
                break;
            }
            move_to(it.at);
            handle(it);
        }
        fill_quantiles(result_, latencies_);
        auto const seconds = std::chrono::duration<double>(end).count();
        result_.bytes_per_s = static_cast<double>(bytes_) / seconds /
                              static_cast<double>(options_.instances);
        return result_;
    }

private:
    auto add_servers() -> void
    {
        for (std::size_t i = 0; i < options_.backends; ++i)
        {
            servers_.emplace_back().id =
                core::backend_server_id{fmt::format("service/desk/{}#1", i)};
        }
    }

    auto add_instances() -> void
    {
        auto const policy =
            options_.policy == "default"
                ? coordination::default_policy()
                : *coordination::parse_routing_policy(options_.policy);
        for (std::size_t i = 0; i < options_.instances; ++i)
        {
            auto& it = instances_.emplace_back();
            it.random =
                std::make_unique<core::random_source>(options_.seed * 1000 + i);
            it.router = std::make_unique<coordination::router>(
                clock_.reader(), *it.random, policy, options_.router);
            it.router->update_table(
                table(1, options_.what == scenario::returning, false));
            if (options_.exchange > core::duration::zero())
            {
                push(below(options_.exchange), event_kind::exchange, i);
            }
        }
        if (options_.policy == "idle_queue")
        {
            for (std::size_t i = 0; i < servers_.size() * slots; ++i)
            {
                push({}, event_kind::idle, pick_instance(), i / slots);
            }
        }
    }

    /** Returns the table; @p absent and @p leaving concern server 0. */
    auto table(std::uint64_t version, bool absent, bool leaving) const
        -> protocol::endpoint_table
    {
        auto result = protocol::endpoint_table{
            core::shard_id{1}, core::epoch{1}, version, {}};
        for (std::size_t i = absent ? 1 : 0; i < servers_.size(); ++i)
        {
            result.endpoints.push_back(
                {service, servers_[i].id,
                 fmt::format("127.0.0.1:{}", 10'000 + i),
                 core::data_centre_id{"a"}, leaving && i == 0});
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

    auto pick_instance() -> std::size_t
    {
        return std::uniform_int_distribution<std::size_t>{
            0, instances_.size() - 1}(engine_);
    }

    auto move_to(core::duration at) -> void
    {
        clock_.advance(at - now_);
        now_ = at;
    }

    auto is_measured(std::size_t request) const -> bool
    {
        return workload_[request].at >= warm_up;
    }

    auto arrive(std::size_t request) -> void
    {
        auto at = workload_[request].instance;
        if (!instances_[at].alive)
        {
            // The balancer spreads its requests over the others.
            auto const others = instances_.size() - 1;
            at = 1 + static_cast<std::uint32_t>(request % others);
        }
        instances_[at].budget.add_request();
        if (options_.policy == "probing")
        {
            send_probes(at);
        }
        send(request, at);
    }

    auto send_probes(std::uint32_t from) -> void
    {
        for (std::size_t i = 0; i < probes_per_request; ++i)
        {
            push(
                now_ + one_way, event_kind::probe, from,
                instances_[from].random->below(servers_.size()));
            bytes_ += message_bytes;
        }
    }

    auto send(std::size_t request, std::uint32_t from) -> void
    {
        auto& source = instances_[from];
        auto& tried = tried_[request];
        auto const choice = source.router->choose(service, {tried});
        if (!choice)
        {
            result_.refusals += is_measured(request) ? 1 : 0;
            return;
        }
        tried.push_back(choice->backend_server);
        auto const to = static_cast<std::uint32_t>(choice->where.port - 10'000);
        if (to == 0 && source.knows_leaving)
        {
            ++result_.to_leaving;
        }
        auto const left = workload_[request].at + deadline - now_;
        auto const limit =
            tried.size() == 1 ? std::min(left, first_timeout) : left;
        attempts_.push_back({request, from, to, true, now_, {}, 0, *choice});
        push(now_ + one_way, event_kind::reach, attempts_.size() - 1);
        push(now_ + limit, event_kind::timeout, attempts_.size() - 1);
    }

    auto handle(event const& it) -> void
    {
        switch (it.kind)
        {
        case event_kind::reach: reach(it.a); return;
        case event_kind::served: served(it.a); return;
        case event_kind::answer: answer(it.a); return;
        case event_kind::refused:
        case event_kind::timeout: fail(it.a); return;
        case event_kind::exchange: exchange(it.a); return;
        case event_kind::counts: counts(it.a, it.b); return;
        case event_kind::probe: probe(it.a, it.b); return;
        case event_kind::probed: probed(it.a, it.b); return;
        case event_kind::idle:
            instances_[it.a].router->report_idle(service, servers_[it.b].id);
            return;
        case event_kind::table: receive_table(it.a); return;
        case event_kind::fault: fault(); return;
        }
    }

    auto reach(std::size_t id) -> void
    {
        auto& it = attempts_[id];
        auto& to = servers_[it.server];
        it.reached = now_;
        it.found = to.running + to.queue.size();
        if (it.found >= connections)
        {
            push(now_ + one_way, event_kind::refused, id);
            return;
        }
        to.queue.push_back(id);
        start_next(to);
    }

    auto start_next(server& it) -> void
    {
        while (!it.frozen && it.running < slots && !it.queue.empty())
        {
            auto const id = it.queue.front();
            it.queue.pop_front();
            ++it.running;
            auto const work = workload_[attempts_[id].request].work;
            push(now_ + it.slowness * work, event_kind::served, id);
        }
    }

    auto served(std::size_t id) -> void
    {
        auto const& it = attempts_[id];
        auto& at = servers_[it.server];
        if (at.frozen)
        {
            return;
        }
        --at.running;
        auto& recent = at.latencies.at(it.found);
        recent.push_back(now_ - it.reached);
        if (recent.size() > latency_samples)
        {
            recent.pop_front();
        }
        push(now_ + one_way, event_kind::answer, id);
        start_next(at);
        if (options_.policy == "idle_queue" && at.running < slots)
        {
            push(now_ + one_way, event_kind::idle, pick_instance(), it.server);
            bytes_ += message_bytes;
        }
    }

    auto answer(std::size_t id) -> void
    {
        auto& it = attempts_[id];
        if (!it.open)
        {
            result_.wasted += instances_[it.instance].alive ? 1 : 0;
            return;
        }
        it.open = false;
        instances_[it.instance].router->finish(
            it.choice, coordination::attempt_result::answered, now_ - it.sent);
        if (is_measured(it.request))
        {
            latencies_.push_back(now_ - workload_[it.request].at);
        }
    }

    /** Ends an attempt without an answer and tries another server. */
    auto fail(std::size_t id) -> void
    {
        auto& it = attempts_[id];
        if (!it.open)
        {
            return;
        }
        it.open = false;
        auto& from = instances_[it.instance];
        from.router->finish(
            it.choice, coordination::attempt_result::failed, now_ - it.sent);
        auto const request = it.request;
        auto const late = now_ >= workload_[request].at + deadline;
        if (!late && tried_[request].size() < most_attempts &&
            from.budget.take())
        {
            ++result_.retries;
            send(request, it.instance);
            return;
        }
        if (is_measured(request))
        {
            ++result_.failures;
            // A failed request counts with the whole deadline, so that a
            // policy cannot improve its quantiles by failing.
            latencies_.push_back(deadline);
        }
    }

    auto exchange(std::size_t from) -> void
    {
        auto const& it = instances_[from];
        if (!it.alive || now_ > end_time(options_))
        {
            return;
        }
        updates_.push_back({from, now_, it.router->loads()});
        auto size = message_bytes + version_bytes;
        for (auto const& load : updates_.back().loads)
        {
            size += options_.indexed ? 0 : load.backend_server.value.size() + 2;
        }
        size += options_.indexed ? servers_.size() : 0;
        for (std::size_t to = 0; to < instances_.size(); ++to)
        {
            if (to != from && instances_[to].alive)
            {
                push(
                    now_ + one_way, event_kind::counts, to,
                    updates_.size() - 1);
                bytes_ += size;
            }
        }
        push(now_ + options_.exchange, event_kind::exchange, from);
    }

    auto counts(std::size_t to, std::size_t index) -> void
    {
        auto const& it = updates_[index];
        // The age of a count is its delay on the network, which the receiver
        // cannot see; it assumes none.
        instances_[to].router->update_peer(
            core::instance_id{fmt::format("i{}", it.from)}, it.loads);
    }

    auto probe(std::size_t from, std::size_t at) -> void
    {
        auto const& it = servers_[at];
        if (it.frozen)
        {
            return;
        }
        probes_.push_back(
            {static_cast<std::uint32_t>(it.running + it.queue.size()),
             latency_at(it)});
        probe_servers_.push_back(at);
        bytes_ += message_bytes;
        push(now_ + one_way, event_kind::probed, from, probes_.size() - 1);
    }

    auto probed(std::size_t to, std::size_t index) -> void
    {
        instances_[to].router->record_probe(
            service, servers_[probe_servers_[index]].id, probes_[index]);
    }

    auto fault() -> void
    {
        auto& first = servers_.front();
        switch (options_.what)
        {
        case scenario::slow: first.slowness = slow_factor; return;
        case scenario::frozen: first.frozen = true; return;
        case scenario::leaving:
        case scenario::returning: send_tables(); return;
        case scenario::instance_lost: lose_instance(); return;
        case scenario::steady:
        case scenario::load_step: return;
        }
    }

    auto send_tables() -> void
    {
        for (std::size_t i = 0; i < instances_.size(); ++i)
        {
            push(now_ + below(longest_table_delay), event_kind::table, i);
        }
    }

    auto receive_table(std::size_t to) -> void
    {
        auto const leaving = options_.what == scenario::leaving;
        instances_[to].router->update_table(table(2, false, leaving));
        instances_[to].knows_leaving = leaving;
    }

    auto lose_instance() -> void
    {
        instances_.front().alive = false;
        for (auto& it : attempts_)
        {
            if (it.open && it.instance == 0)
            {
                it.open = false;
                ++result_.lost;
            }
        }
    }

    run_options options_;
    std::vector<request> workload_;
    std::vector<std::vector<core::backend_server_id>> tried_;
    std::mt19937_64 engine_;
    core::manual_clock clock_;
    core::duration now_{};
    std::uint64_t order_ = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::vector<server> servers_;
    std::vector<instance> instances_;
    std::deque<attempt> attempts_;
    std::deque<update> updates_;
    std::deque<coordination::backend_probe> probes_;
    std::deque<std::size_t> probe_servers_;
    std::vector<core::duration> latencies_;
    std::uint64_t bytes_ = 0;
    run_result result_;
};

} // namespace

auto parse_scenario(std::string_view text) -> std::optional<scenario>
{
    return parse_choice<scenario>(
        "scenario", text,
        {{"steady", scenario::steady},
         {"slow", scenario::slow},
         {"frozen", scenario::frozen},
         {"leaving", scenario::leaving},
         {"returning", scenario::returning},
         {"instance_lost", scenario::instance_lost},
         {"load_step", scenario::load_step}});
}

auto run_routers(run_options const& options) -> run_result
{
    return simulation{options}.run();
}

} // namespace godwitcleat::experiments
