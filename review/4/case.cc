// The open connections between the machines go silent; new ones work.
#include "world.h"

using namespace review;

auto main(int argc, char** argv) -> int
{
    auto const folder = open_record(argc, argv);
    auto& store = *new kv_store{"127.0.0.1"};
    auto& log = *new run_log{};
    constexpr auto hold_max_ms = 6000;
    store.put("op/config", small_config("climb-desk"));
    for (auto i = 0; i < 6; ++i)
    {
        auto settings = runner_settings{};
        settings.id = "i-00000" + std::to_string(100 + i);
        settings.zone = std::string{"zone-"} + "abc"[i % 3];
        settings.service = "climb-desk";
        settings.rack = std::string{"r-"} + "abc"[i % 3];
        settings.hold_max_ms = hold_max_ms;
        new runner{store, log, settings};
    }
    constexpr auto machines = 7;
    auto all = fleet{folder, store.address(), hold_max_ms};
    auto fronts = std::vector<std::string>{};
    auto links = std::vector<relay*>{};
    for (auto i = 0; i < machines; ++i)
    {
        auto& it = all.add(std::string{"zone-"} + "abcd"[i % 4]);
        fronts.push_back(it.front);
        links.push_back(new relay{"127.0.0.1", it.peer});
        all.start(it, "advertise_peer = " + links.back()->address());
    }
    if (!all.wait_until_ready(20000))
    {
        finish(all, 2);
    }
    sleep_ms(5000);
    constexpr auto jobs = 21;
    auto const body = json{
        {"spec", "work 800"},
        {"steps", {{{"count", 2}, {"cpu", 1100}, {"mem-mb", 512}, {"estimate-ms", 800}}}}}
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
    sleep_ms(4000);
    // Each job by a client of its own; returns how many got no answer in 14 s (finish_s).
    auto const ask_for_all = [&](char const* when)
    {
        auto unanswered = std::atomic<int>{0};
        auto clients = std::vector<std::thread>{};
        for (auto i = 0; i < jobs; ++i)
        {
            clients.emplace_back(
                [&, i]
                {
                    auto const answer = ask(
                        fronts, static_cast<std::size_t>(i), "GET", "/batch/" + job_id(i),
                        "nony24.example", "", 4);
                    unanswered += answer.status != 200 && answer.status != 410 ? 1 : 0;
                });
        }
        for (auto& it : clients)
        {
            it.join();
        }
        record("%s: %d of %d jobs got no answer", when, unanswered.load(), jobs);
        return unanswered.load();
    };
    if (ask_for_all("before") != 0)
    {
        finish(all, 2);
    }
    if (with_trouble())
    {
        for (auto i = 0; i < machines; ++i)
        {
            record("trouble: %d open connections to %s go silent",
                   links[static_cast<std::size_t>(i)]->go_silent(),
                   links[static_cast<std::size_t>(i)]->address().c_str());
        }
    }
    sleep_ms(6000);
    auto lost = ask_for_all("6 s after");
    sleep_ms(15000);
    lost = std::min(lost, ask_for_all("over 35 s after"));
    auto const alive = all.all_run();
    record_logs(all, {"This instance owns the jobs"});
    record("all machines still run: %s", alive ? "yes" : "no");
    finish(all, lost > 0 || !alive ? 1 : 0);
}
