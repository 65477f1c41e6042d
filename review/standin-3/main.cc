/** @file main.cc The cases of review 3 that are scripts. Usage:
 *  standin-3 CASE RECORD FOLDER; exits with 1 if the rule was broken, 0 if it
 *  held, 2 if the case could not run. TROUBLE=0 leaves the disruption out. */
#include "world.hh"

#include <fmt/format.h>

#include <random>

namespace
{

using namespace review;
using namespace std::chrono_literals;

constexpr auto held = 0;
constexpr auto broken = 1;
constexpr auto not_run = 2;

auto has_trouble() -> bool
{
    auto const* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string{value} != "0";
}

auto route(std::string const& name, std::string const& prefix, int attempts)
    -> json
{
    return {
        {"name", name},     {"host", "desk.example"},     {"prefix", prefix},
        {"service", "svc"}, {"attempts", attempts},       {"priority", 0},
        {"stretch", 2.0},   {"target-duration-ms", 1000}, {"timeout-ms", 3000}};
}

auto job_id(int n) -> std::string
{
    return fmt::format(
        "{:016x}", 0x5c0e7a2100000000ULL + static_cast<unsigned>(n));
}

auto job(std::string const& spec, int tasks, int cpu, int estimate_ms)
    -> std::string
{
    return json{
        {"spec", spec},
        {"steps",
         {{{"count", tasks},
           {"cpu", cpu},
           {"mem-mb", 64},
           {"estimate-ms", estimate_ms}}}}}
        .dump();
}

auto state_of(world& it, std::string const& path) -> std::string
{
    for (auto& daemon : it.daemons)
    {
        auto const answer = it.people.call("GET", daemon->front(), path);
        if (answer.status == 200)
        {
            return json::parse(answer.body).value("state", "");
        }
        if (answer.status == 410)
        {
            return "410";
        }
    }
    return "";
}

/** BUDGET: a route goes and comes back while a task of it runs for the last
 *  time that its attempts allow. */
auto run_budget(world& it) -> int
{
    constexpr auto attempts = 2;
    it.add_runners(6, 2, 8000);
    auto const desk = route("desk", "/desk/", attempts);
    auto const other = route("other", "/other/", attempts);
    it.configure(2, json::array({desk, other}));
    it.add_daemons(3);
    if (!it.wait_ready("/desk/", 15s))
    {
        return not_run;
    }
    std::this_thread::sleep_for(1s);
    if (it.people
            .call(
                "POST", it.daemons[0]->front(), "/desk/" + job_id(1),
                job("work=4000 fail", 1, 500, 4000))
            .status != 200)
    {
        return not_run;
    }
    auto const failed_runs = [&]
    {
        auto const facts = it.facts_now();
        return std::count_if(
            facts.begin(), facts.end(),
            [](auto const& fact) { return fact.how == "failed"; });
    };
    auto const limit = steady::now() + 60s;
    while (failed_runs() < attempts - 1 || it.facts_now().size() < attempts)
    {
        if (steady::now() > limit)
        {
            return not_run;
        }
        std::this_thread::sleep_for(50ms);
    }
    // The last run that the budget allows is at work for 4 s.
    std::this_thread::sleep_for(500ms);
    if (has_trouble())
    {
        it.configure(5, json::array({other}));
    }
    std::this_thread::sleep_for(7s);
    if (has_trouble())
    {
        it.configure(9, json::array({desk, other}));
    }
    std::this_thread::sleep_for(8s);
    it.record.line("state: " + state_of(it, "/desk/" + job_id(1)));
    auto failed_before = std::size_t{0};
    auto beyond = 0;
    for (auto const& fact : it.facts_now())
    {
        auto n = std::size_t{0};
        for (auto const& before : it.facts_now())
        {
            n += before.how == "failed" && before.noted && before.ended &&
                         *before.ended < fact.begun
                     ? 1
                     : 0;
        }
        if (n >= attempts)
        {
            it.record.line(fmt::format(
                "BROKEN start of {} run {} after {} runs have ended failed",
                fact.task, fact.run, n));
            ++beyond;
        }
        failed_before = std::max(failed_before, n);
    }
    return beyond > 0 ? broken : failed_runs() == attempts ? held : not_run;
}

/** MIXED: a runner loses power for good as long-running jobs are started on it,
 *  and the owner is killed. The next owner's count leaves these jobs out. */
auto run_pending(world& it) -> int
{
    constexpr auto jobs = 5;
    constexpr auto tasks = 6;
    // visible_ms + 2 s.
    constexpr auto shown_after = 5000ms;
    it.add_runners(8, 4, 64'000);
    it.configure(2, json::array({route("watch", "/watch/", 3)}));
    it.add_daemons(4);
    if (!it.wait_ready("/watch/", 15s))
    {
        return not_run;
    }
    std::this_thread::sleep_for(1s);
    auto const body = json{
        {"spec", "lasts"},
        {"steps",
         {{{"count", tasks},
           {"cpu", 1000},
           {"mem-mb", 64},
           {"estimate-ms", 300},
           {"long-running",
            true}}}}}.dump();
    auto accepted = std::map<std::string, steady::time_point>{};
    auto const submit = [&](int n, daemon_process const& to)
    {
        auto const id = job_id(n);
        if (it.people.call("POST", to.front(), "/watch/" + id, body).status ==
            200)
        {
            accepted[id] = steady::now();
        }
    };
    submit(0, *it.daemons[0]);
    std::this_thread::sleep_for(3500ms);
    auto* owner = static_cast<daemon_process*>(nullptr);
    auto const record_of_owner = it.on_loop(
        [&] { return it.registry.text_of("godwitcleat/00/live/owner"); });
    for (auto i = std::size_t{0}; i < it.daemons.size(); ++i)
    {
        auto const name = fmt::format("entry-{}", i + 1);
        owner = record_of_owner.find(name) == std::string::npos
                    ? owner
                    : it.daemons[i].get();
    }
    auto const facts = it.facts_now();
    if (owner == nullptr || facts.size() < tasks)
    {
        return not_run;
    }
    if (has_trouble())
    {
        // One runner of eight; tasks that last are packed on it.
        it.on_loop(
            [&]
            {
                for (auto const& one : it.runners)
                {
                    if (one->id() == facts.back().worker)
                    {
                        one->lose_power();
                    }
                }
            });
    }
    for (auto i = 1; i <= jobs; ++i)
    {
        submit(i, *owner);
    }
    std::this_thread::sleep_for(300ms);
    if (has_trouble())
    {
        it.record.line("the owner is killed");
        owner->end();
        owner->start();
    }
    auto wrong = 0;
    auto right = 0;
    auto const ask = [&](daemon_process const& one)
    {
        auto const asked = steady::now();
        auto const got = it.people.call("GET", one.front(), "/watch/");
        auto begun = std::set<std::string>{};
        for (auto const& fact : it.facts_now())
        {
            begun.insert(fact.task.substr(0, 16));
        }
        auto const waiting = std::count_if(
            accepted.begin(), accepted.end(),
            [&](auto const& job) {
                return !begun.contains(job.first) &&
                       job.second + shown_after < asked;
            });
        if (got.status != 200)
        {
            return;
        }
        auto const count =
            json::parse(got.body).at("pending-count").template get<int>();
        auto const is_wrong = 2 * count < waiting;
        (is_wrong ? wrong : right) += 1;
        if (is_wrong)
        {
            it.record.line(fmt::format(
                "BROKEN pending-count {} while {} jobs, accepted over 5 s "
                "before, have not begun",
                count, waiting));
        }
    };
    auto const end = steady::now() + 20s;
    while (steady::now() < end)
    {
        for (auto const& one : it.daemons)
        {
            // The others have run without a disruption all the while.
            if (one.get() != owner)
            {
                ask(*one);
            }
        }
        std::this_thread::sleep_for(200ms);
    }
    it.record.line(fmt::format("{} wrong counts, {} right ones", wrong, right));
    return wrong > 0 ? broken : right > 0 ? held : not_run;
}

} // namespace

auto main(int count, char** arguments) -> int
{
    if (count < 4)
    {
        return not_run;
    }
    auto const name = std::string{arguments[1]};
    auto it = world{arguments[2], arguments[3]};
    auto result = not_run;
    if (name == "budget")
    {
        result = run_budget(it);
    }
    else if (name == "pending")
    {
        result = run_pending(it);
    }
    it.record.line(fmt::format("exit {}", result));
    for (auto& daemon : it.daemons)
    {
        daemon->end();
    }
    return result;
}
