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

/** LOST: for 20 s, runners crash now and then; jobs whose tasks never fail have
 *  to be completed, as only ends "failed" count as attempts. */
auto run_crashes(world& it) -> int
{
    constexpr auto jobs = 30;
    constexpr auto tasks = 8;
    it.add_runners(16, 4, 8000);
    it.configure(2, json::array({route("survey", "/survey/", 4)}));
    it.add_daemons(3);
    if (!it.wait_ready("/survey/", 15s))
    {
        return not_run;
    }
    std::this_thread::sleep_for(1s);
    auto random = std::mt19937{7};
    for (auto i = 0; i < 2 * jobs; ++i)
    {
        // Each 660 ms a job; each second or so, one or two of 16 runners crash
        // and are back after 330 ms.
        auto down = std::vector<std::size_t>{};
        if (has_trouble() && i % 3 != 2)
        {
            down = {random() % it.runners.size(), random() % it.runners.size()};
        }
        for (auto const n : down)
        {
            it.on_loop(
                [&]
                {
                    if (it.runners[n]->is_up())
                    {
                        it.runners[n]->crash();
                    }
                });
        }
        if (i % 2 == 0)
        {
            auto const where =
                it.daemons[static_cast<std::size_t>(i / 2) % 3]->front();
            if (it.people
                    .call(
                        "POST", where, "/survey/" + job_id(i / 2),
                        job("work=3000", tasks, 2000, 3000))
                    .status != 200)
            {
                return not_run;
            }
        }
        std::this_thread::sleep_for(330ms);
        for (auto const n : down)
        {
            it.on_loop(
                [&]
                {
                    if (!it.runners[n]->is_up())
                    {
                        it.runners[n]->start();
                    }
                });
        }
    }
    auto lost = 0;
    auto open = std::set<int>{};
    for (auto i = 0; i < jobs; ++i)
    {
        open.insert(i);
    }
    auto const patience = steady::now() + 60s;
    while (!open.empty() && steady::now() < patience)
    {
        for (auto i = 0; i < jobs; ++i)
        {
            auto const state =
                open.contains(i) ? state_of(it, "/survey/" + job_id(i)) : "";
            if (state == "completed")
            {
                open.erase(i);
            }
            if (state == "failed" || state == "cancelled" || state == "410")
            {
                it.record.line(
                    "BROKEN job " + job_id(i) + " is shown as " + state);
                open.erase(i);
                ++lost;
            }
        }
        std::this_thread::sleep_for(500ms);
    }
    auto failed = 0;
    auto crashed = 0;
    for (auto const& fact : it.facts_now())
    {
        failed += fact.how == "failed" ? 1 : 0;
        crashed += fact.how == "crashed" ? 1 : 0;
    }
    it.record.line(fmt::format(
        "{} jobs, {} runs: {} ended failed, {} gone with their runner; {} jobs "
        "shown as failed without cause, {} not ended",
        jobs, it.facts_now().size(), failed, crashed, lost, open.size()));
    return failed > 0     ? not_run
           : lost > 0     ? broken
           : open.empty() ? held
                          : not_run;
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

/** LOST: jobs that run many times come at once. As DEPLOY.md says, a process
 *  that exceeds its memory is killed, and restarted after a short delay. */
auto run_memory(world& it) -> int
{
    constexpr auto limit = std::int64_t{260} * 1024 * 1024;
    constexpr auto normal_rate = 6.59;
    constexpr auto burst = 2.6;
    constexpr auto burst_s = 4;
    constexpr auto finish = 14s;
    constexpr auto repeats = 1488; // Each hour for 62 days.
    it.add_runners(16, 4, 8000);
    it.configure(2, json::array({route("survey", "/survey/", 4)}));
    it.add_daemons(3);
    if (!it.wait_ready("/survey/", 15s))
    {
        return not_run;
    }
    std::this_thread::sleep_for(1s);
    auto kills = std::vector<int>(it.daemons.size());
    auto most = std::int64_t{0};
    auto end = std::atomic<bool>{false};
    auto const keep_limit = [&]
    {
        for (auto i = std::size_t{0}; i < it.daemons.size(); ++i)
        {
            auto& daemon = *it.daemons[i];
            auto const bytes = daemon.memory();
            most = std::max(most, bytes);
            if (bytes > limit)
            {
                ++kills[i];
                it.record.line(fmt::format(
                    "{} has more than its 260 MB and is killed ({})",
                    daemon.name(), kills[i]));
                daemon.end();
                std::this_thread::sleep_for(500ms);
                daemon.start();
            }
        }
    };
    auto platform = std::thread{[&]
                                {
                                    while (!end)
                                    {
                                        keep_limit();
                                        std::this_thread::sleep_for(20ms);
                                    }
                                }};
    auto const rate = normal_rate * (has_trouble() ? burst : 1.0);
    auto const jobs = static_cast<int>(rate * burst_s);
    auto accepted = std::vector<std::string>{};
    auto const sent_until = steady::now() + 10s; // Some calls get no answer.
    for (auto i = 0; i < jobs && steady::now() < sent_until; ++i)
    {
        // Two steps of eight tasks, as in the table of the deployment.
        auto const step = json{
            {"count", 8},
            {"cpu", 1800},
            {"mem-mb", 3200},
            {"estimate-ms", 1700}};
        auto body = json{
            {"spec", "work=1700"},
            {"steps", {step, step}},
            {"repeat-count", repeats},
            {"interval-ms", 3'600'000},
            {"first-run-ms", unix_ms() + 3'600'000}};
        body["steps"][1]["after"] = {0};
        auto const id = job_id(i);
        for (auto n = std::size_t{0}; n < 2; ++n)
        {
            auto const& daemon =
                *it.daemons
                     [(static_cast<std::size_t>(i) + n) % it.daemons.size()];
            if (it.people
                    .call("POST", daemon.front(), "/survey/" + id, body.dump())
                    .status == 200)
            {
                accepted.push_back(id);
                break;
            }
        }
        std::this_thread::sleep_for(
            milliseconds{static_cast<int>(1000 / rate)});
    }
    // finish_s after the end of the traffic, and some time to recover.
    std::this_thread::sleep_for(finish + 16s);
    auto asked = 0;
    auto lost = 0;
    for (auto const& id : accepted)
    {
        if (steady::now() - it.begun > 90s)
        {
            break;
        }
        ++asked;
        auto const state = state_of(it, "/survey/" + id);
        if (state != "queued" && state != "active")
        {
            ++lost;
            it.record.line(
                "BROKEN accepted job " + id +
                " gets no answer at any instance");
        }
    }
    end = true;
    platform.join();
    it.record.line(fmt::format(
        "{} jobs accepted; {} asked for, {} without an answer; instances used "
        "{} MB at most and were killed {}, {} and {} times",
        accepted.size(), asked, lost, most / 1024 / 1024, kills[0], kills[1],
        kills[2]));
    return accepted.empty() ? not_run : lost > 0 ? broken : held;
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
    if (name == "crashes")
    {
        result = run_crashes(it);
    }
    else if (name == "memory")
    {
        result = run_memory(it);
    }
    else if (name == "budget")
    {
        result = run_budget(it);
    }
    it.record.line(fmt::format("exit {}", result));
    for (auto& daemon : it.daemons)
    {
        daemon->end();
    }
    return result;
}
