// One runner of twelve fails all that it starts for 6.5 s. Tasks that last must run there later.
#include "world.h"

using namespace review;

auto main(int argc, char** argv) -> int
{
    auto const folder = open_record(argc, argv);
    auto& store = *new kv_store{"127.0.0.1"};
    auto& log = *new run_log{};
    constexpr auto hold_max_ms = 6000;
    constexpr auto machines = 12;
    constexpr auto tasks = 5; // Of 3.2 cores; they fill a runner of 16 cores.
    store.put("op/config", small_config("climb-desk"));
    auto runners = std::map<std::string, runner*>{};
    for (auto i = 0; i < machines; ++i)
    {
        auto settings = runner_settings{};
        settings.id = "i-00000" + std::to_string(100 + i);
        settings.zone = std::string{"zone-"} + "abc"[i % 3];
        settings.service = "climb-desk";
        settings.rack = std::string{"r-"} + "abc"[i % 3];
        settings.hold_max_ms = hold_max_ms;
        runners[settings.id] = new runner{store, log, settings};
    }
    auto all = fleet{folder, store.address(), hold_max_ms};
    auto fronts = std::vector<std::string>{};
    for (auto const* const zone : {"zone-a", "zone-b", "zone-c"})
    {
        fronts.push_back(all.add(zone).front);
    }
    for (auto& it : all.daemons)
    {
        all.start(it);
    }
    if (!all.wait_until_ready(20000))
    {
        finish(all, 2);
    }
    sleep_ms(5000);
    auto const body =
        json{
            {"spec", "lasts"},
            {"steps",
             {{{"count", tasks},
               {"cpu", 3200},
               {"mem-mb", 6400},
               {"estimate-ms", 320},
               {"long-running", true},
               {"image", "im-1"},
               {"target-ms", 60}}}}}
            .dump();
    auto const submit = [&](int number)
    {
        auto const answer = ask(
            fronts, static_cast<std::size_t>(number), "POST", "/lasting/" + job_id(number),
            "nony24.example", body, 4);
        if (answer.status != 200)
        {
            finish(all, 2);
        }
    };
    for (auto i = 1; i < machines; ++i)
    {
        submit(i);
    }
    sleep_ms(4000);
    // The one runner on which nothing runs gets the tasks of the next job.
    auto free = static_cast<runner*>(nullptr);
    for (auto const& [id, it] : runners)
    {
        if (log.count_on(id) == 0)
        {
            free = it;
        }
    }
    if (free == nullptr || log.count("", "") != tasks * (machines - 1))
    {
        finish(all, 2);
    }
    if (with_trouble())
    {
        free->fail_starts(true);
    }
    submit(machines);
    sleep_ms(6500);
    if (with_trouble())
    {
        free->fail_starts(false);
    }
    auto worst = tasks;
    // 30 s later at the latest, 6 s after its last run, each task has to be at work.
    sleep_ms(30000);
    for (auto i = 0; i < 30; ++i)
    {
        worst = std::min(worst, log.count(job_id(machines), ""));
        sleep_ms(1000);
    }
    ask(fronts, 0, "GET", "/lasting/" + job_id(machines), "nony24.example", "", 4);
    record_logs(all, {"A worker is avoided", "Tasks start.", "reserved for a long-running"});
    record("from 30 s to 60 s after the runner was sound again: %d of %d tasks at work; free on "
           "it: %d cores in thousandths",
           worst, tasks, 16000 - 3200 * log.count_on(free->id()));
    finish(all, worst < tasks ? 1 : 0);
}
