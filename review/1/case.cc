// A zone of runners is cut off for 5.5 s; connections into it are reset. Its runners work on.
#include "world.h"

using namespace review;

auto main(int argc, char** argv) -> int
{
    auto const folder = open_record(argc, argv);
    auto& store = *new kv_store{"127.0.0.1"};
    auto& log = *new run_log{};
    constexpr auto hold_max_ms = 10000;
    store.put("op/config", small_config("lanyard-stock"));
    auto runners = std::vector<runner*>{};
    // The runners of zone d come first in the order of ids, so that they get tasks.
    for (auto const* const zone : {"d", "a", "b", "c"})
    {
        for (auto i = 0; i < 3; ++i)
        {
            auto const n = static_cast<int>(runners.size());
            auto settings = runner_settings{};
            settings.id = "i-00000" + std::to_string(100 + n);
            settings.zone = std::string{"zone-"} + zone;
            settings.service = "lanyard-stock";
            settings.rack = std::string{"r-"} + zone;
            settings.hold_max_ms = hold_max_ms;
            runners.push_back(new runner{store, log, settings});
        }
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
    constexpr auto jobs = 6;
    auto const body = json{
        {"spec", "work 12000"},
        {"steps", {{{"count", 4}, {"cpu", 3500}, {"mem-mb", 1024}, {"estimate-ms", 12000}}}}}
                          .dump();
    for (auto i = 0; i < jobs; ++i)
    {
        auto const answer = ask(
            fronts, static_cast<std::size_t>(i), "POST", "/batch/" + job_id(i), "nony24.example",
            body, 4);
        if (answer.status != 200)
        {
            finish(all, 2);
        }
    }
    sleep_ms(3000);
    auto const zone_of_cut = std::string{"zone-d"};
    if (with_trouble())
    {
        record("trouble: %s is cut off for 5.5 s, with resets", zone_of_cut.c_str());
        for (auto* const it : runners)
        {
            if (it->zone() == zone_of_cut)
            {
                it->cut_off(true);
            }
        }
    }
    sleep_ms(5500);
    if (with_trouble())
    {
        for (auto* const it : runners)
        {
            if (it->zone() == zone_of_cut)
            {
                it->cut_off(false);
            }
        }
    }
    sleep_ms(16000);
    for (auto i = 0; i < jobs; ++i)
    {
        ask(fronts, static_cast<std::size_t>(i), "GET", "/batch/" + job_id(i), "nony24.example",
            "", 4);
    }
    record_logs(
        all, {"This instance owns the jobs", "The process of a worker has ended",
              "Runs of a worker are lost"});
    record("starts of a task that still ran elsewhere, or had ended done: %zu", log.twice.size());
    finish(all, log.twice.empty() ? 0 : 1);
}
