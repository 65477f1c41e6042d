/** @file soak_faults.hpp Draws faults from a seed and takes them back. */
#ifndef GODWITCLEAT_STANDINS_SOAK_SOAK_FAULTS_HPP
#define GODWITCLEAT_STANDINS_SOAK_SOAK_FAULTS_HPP

#include "standins/soak/soak_fleet.hpp"
#include "standins/soak/soak_worker.hpp"

namespace godwitcleat::soak
{

using worker_list = std::vector<std::unique_ptr<soak_worker>>;
/** Makes a worker that has not been there before. */
using make_worker =
    std::function<std::unique_ptr<soak_worker>(std::string const& data_centre)>;

/** Causes faults in series and overlapping. Not thread-safe. */
class soak_faults
{
public:
    soak_faults(
        std::uint64_t seed, soak_check& check, soak_store& store,
        soak_fleet& fleet, worker_list& workers, make_worker make,
        bool has_customers)
        : restarts_only_(seed % 3 == 0)
        , has_customers_(has_customers)
        , random_(seed)
        , check_(check)
        , store_(store)
        , fleet_(fleet)
        , workers_(workers)
        , make_(std::move(make))
    {
    }

    /** Does what is due; begins new faults if @p begins. */
    auto tick(bool begins) -> void
    {
        for (auto i = std::size_t{0}; i < actions_.size();)
        {
            if (clock_() < actions_[i].at)
            {
                ++i;
                continue;
            }
            auto const run = std::move(actions_[i].run);
            actions_.erase(actions_.begin() + static_cast<std::ptrdiff_t>(i));
            run();
        }
        restart_ended();
        if (begins && restarts_only_)
        {
            if (!restarts_ && clock_() >= next_)
            {
                restart_data_centre();
            }
        }
        else if (begins && clock_() >= next_)
        {
            begin();
            // Many overlap with this one, and some are followed by calm.
            auto const roll = random_.below(10);
            next_ = clock_() + (roll < 4   ? draw_ms(0, 300)
                                : roll < 9 ? draw_ms(500, 4000)
                                           : draw_ms(longest_ms, 20'000));
        }
    }

    /** Tells whether a fault is in effect. */
    [[nodiscard]] auto active() const -> bool
    {
        return !actions_.empty();
    }

    /** Writes a configuration of a new version. */
    auto write_config() -> void
    {
        version_ += 1 + random_.below(5);
        auto const route = [](char const* name, char const* prefix)
        {
            return json{{"name", name},     {"host", "desk.example"},
                        {"prefix", prefix}, {"kind", "non_idempotent"},
                        {"service", "svc"}, {"timeout-ms", 3000},
                        {"stretch", 2.0},   {"target-duration-ms", 1000},
                        {"priority", 0},    {"attempts", 3}};
        };
        auto routes = json::array({route("r1", "/jobs/")});
        if (version_ % 2 == 0)
        {
            routes.push_back(route("r2", "/more/"));
        }
        auto config = json{
            {"version", version_},
            {"routes", routes},
            {"services", {{{"name", "svc"}, {"rejects-overload", false}}}},
            {"limits", {{"body-bytes", 65536}}}};
        if (has_customers_)
        {
            config["tenants"] = customers_of(version_);
        }
        check_.fault(fmt::format("configuration {}", version_));
        check_.configured(version_);
        store_.put("op/config", config.dump());
    }

private:
    struct action
    {
        core::time_point at;
        std::function<void()> run;
    };

    static constexpr auto longest_ms = std::int64_t{8000};

    auto begin() -> void
    {
        switch (random_.below(21))
        {
        case 0:
        case 1: return pause();
        case 2: return end_process(SIGKILL);
        case 3: return end_process(SIGTERM);
        case 4: return reload();
        case 5:
        case 6: return disturb_links(true);
        case 7: return disturb_links(false);
        case 8:
        case 9: return disturb_workers();
        case 10: return crash_worker();
        case 11: return replace_worker();
        case 12: return cut_data_centre();
        case 13: return disturb_store();
        case 14: return revoke();
        case 15:
        case 16:
        case 17:
        case 18:
        case 19: return restarts_ ? disturb_workers() : restart_data_centre();
        default: return random_.below(2) == 0 ? evacuate() : write_config();
        }
    }

    auto draw_ms(std::int64_t low, std::int64_t high) -> milliseconds
    {
        return milliseconds{
            low + static_cast<std::int64_t>(random_.below(
                      static_cast<std::uint64_t>(high - low + 1)))};
    }

    // The owner more often than not, because most faults matter there.
    auto draw_instance() -> instance&
    {
        auto& drawn = *fleet_.all[random_.below(fleet_.all.size())];
        auto* const owner = random_.below(10) < 6 ? find_owner() : nullptr;
        return owner != nullptr ? *owner : drawn;
    }

    auto find_owner() -> instance*
    {
        auto const name = store_.owner();
        for (auto const& it : fleet_.all)
        {
            if (it->name == name)
            {
                return it.get();
            }
        }
        return nullptr;
    }

    auto draw_worker() -> soak_worker&
    {
        return *workers_[random_.below(workers_.size())];
    }

    auto draw_trouble() -> link_trouble
    {
        return link_troubles.at(random_.below(link_troubles.size()));
    }

    auto later(milliseconds wait, std::function<void()> run) -> void
    {
        actions_.push_back({clock_() + wait, std::move(run)});
    }

    // Notes a fault now and its end after @p wait.
    auto
    spell(std::string const& text, milliseconds wait, std::function<void()> end)
        -> void
    {
        check_.fault(fmt::format("{} for {} ms", text, wait.count()));
        later(
            wait,
            [this, text, end = std::move(end)]
            {
                check_.fault("over: " + text);
                end();
            });
    }

    // Calls @p run with the worker @p id, unless it has left.
    auto with_worker(
        std::string const& id,
        std::function<void(std::unique_ptr<soak_worker>&)> const& run) -> void
    {
        for (auto& it : workers_)
        {
            if (it->settings.id == id)
            {
                return run(it);
            }
        }
    }

    auto in_data_centre(
        std::string const& place, std::function<void(soak_worker&)> const& run)
        -> void
    {
        for (auto const& it : workers_)
        {
            if (it->settings.data_centre == place)
            {
                run(*it);
            }
        }
    }

    auto restart_ended() -> void
    {
        fleet_.reap();
        for (auto const& it : fleet_.all)
        {
            if (it->pid == 0 && restarting_.insert(it.get()).second)
            {
                spell(
                    it->name + " is down", draw_ms(0, 2000),
                    [this, one = it.get()]
                    {
                        fleet_.start(*one);
                        restarting_.erase(one);
                    });
            }
        }
    }

    auto pause() -> void
    {
        auto& it = draw_instance();
        fleet_.send(it, SIGSTOP);
        spell(
            it.name + " is stopped", draw_ms(300, longest_ms),
            [this, &it] { fleet_.send(it, SIGCONT); });
    }

    auto end_process(int signal) -> void
    {
        constexpr auto grace = milliseconds{6000};
        auto& it = draw_instance();
        check_.fault(fmt::format("{} gets signal {}", it.name, signal));
        fleet_.send(it, signal);
        later(
            signal == SIGTERM ? grace : milliseconds{0},
            [this, &it, pid = it.pid]
            {
                if (it.pid == pid)
                {
                    fleet_.send(it, SIGKILL);
                }
            });
    }

    auto reload() -> void
    {
        auto& it = draw_instance();
        check_.fault(it.name + " gets other settings");
        fleet_.write_settings(it, draw_ms(500, 2200).count());
        fleet_.send(it, SIGHUP);
    }

    // Those to the peer ports or to the store, of one or all instances.
    auto disturb_links(bool peers) -> void
    {
        auto const trouble = draw_trouble();
        auto const wait = draw_ms(300, longest_ms);
        auto const* one = random_.below(2) == 0 ? &draw_instance() : nullptr;
        for (auto const& it : fleet_.all)
        {
            if (one == nullptr || one == it.get())
            {
                auto& link = peers ? it->peer_link : it->store_link;
                link.set(trouble);
                spell(
                    fmt::format(
                        "{} link {} is {}", peers ? "peer" : "store", it->name,
                        trouble.name),
                    wait, [&link] { link.set(passing); });
            }
        }
    }

    auto disturb_workers() -> void
    {
        auto const trouble = draw_trouble();
        auto const wait = draw_ms(300, longest_ms);
        auto const share = 1 + random_.below(4); // Of four workers.
        for (auto const& it : workers_)
        {
            if (random_.below(4) >= share)
            {
                continue;
            }
            it->disturb(trouble);
            spell(
                fmt::format("link {} is {}", it->settings.id, trouble.name),
                wait,
                [this, id = it->settings.id]
                { with_worker(id, [](auto& one) { one->disturb(passing); }); });
        }
    }

    auto crash_worker() -> void
    {
        auto& it = draw_worker();
        auto const in_silence = random_.below(2) == 0;
        it.crash(in_silence);
        spell(
            it.settings.id + (in_silence ? " is down in silence" : " is down"),
            draw_ms(0, 4000),
            [this, id = it.settings.id]
            { with_worker(id, [](auto& one) { one->start(); }); });
    }

    auto replace_worker() -> void
    {
        auto& it = draw_worker();
        it.drain();
        spell(
            it.settings.id + " drains and leaves", draw_ms(2500, longest_ms),
            [this, id = it.settings.id]
            {
                with_worker(
                    id,
                    [this](auto& one)
                    {
                        auto const key = "servers/" + one->settings.id;
                        one = make_(one->settings.data_centre);
                        store_.put(key, {});
                    });
            });
    }

    auto cut_data_centre() -> void
    {
        auto const place = draw_worker().settings.data_centre;
        auto const wait = draw_ms(500, longest_ms);
        cut_data_centre(place, random_.below(2) == 0, wait, [] {});
    }

    auto cut_data_centre(
        std::string const& place, bool in_silence, milliseconds wait,
        std::function<void()> then) -> void
    {
        in_data_centre(
            place, [in_silence](auto& it) { it.cut_off(true, in_silence); });
        spell(
            fmt::format(
                "workers of {} are cut off{}", place,
                in_silence ? " in silence" : ""),
            wait,
            [this, place, then = std::move(then)]
            {
                in_data_centre(place, [](auto& it) { it.cut_off(false); });
                then();
            });
    }

    auto restart_data_centre() -> void
    {
        auto const place = draw_worker().settings.data_centre;
        restarts_ = true;
        restart_data_centre(place, random_.below(2));
    }

    // In silence: the workers restart, and are cut off soon after.
    auto restart_data_centre(std::string const& place, std::uint64_t again)
        -> void
    {
        auto const down = draw_ms(300, 1000);
        auto const up = draw_ms(600, 1800);
        // Long enough that the leases lapse, mostly.
        auto const lease = workers_.front()->settings.lease_limit.count();
        auto const cut = draw_ms(lease, lease + 2000);
        auto const then = [this, place, again]
        {
            if (again > 0)
            {
                later(
                    draw_ms(2000, 4000),
                    [=, this] { restart_data_centre(place, again - 1); });
            }
            restarts_ = again > 0;
            next_ = restarts_only_ ? clock_() + draw_ms(500, 3000) : next_;
        };
        in_data_centre(place, [](auto& it) { it.crash(true); });
        spell(
            "workers of " + place + " are down in silence", down,
            [this, place]
            { in_data_centre(place, [](auto& it) { it.start(); }); });
        later(
            down + up, [=, this] { cut_data_centre(place, true, cut, then); });
        if (random_.below(3) == 0)
        {
            later(
                draw_ms(down.count(), (down + up).count()),
                [this] { kill_owner(); });
        }
    }

    auto kill_owner() -> void
    {
        if (auto* const it = find_owner())
        {
            check_.fault(it->name + " gets signal 9");
            fleet_.send(*it, SIGKILL);
        }
    }

    auto disturb_store() -> void
    {
        constexpr auto late_writes = 100; // More are never carried out.
        constexpr auto names = std::array{
            "busy", "silent", "losing answers", "late", "losing calls"};
        auto const kind = random_.below(names.size());
        store_.gateway.busy = kind == 0;
        store_.gateway.silent = kind == 1;
        store_.set(
            {kind == 2 ? 0.4 : 0, kind == 4 ? 0.4 : 0, kind == 3 ? 0.4 : 0});
        spell(
            fmt::format("store is {}", names.at(kind)),
            draw_ms(300, longest_ms),
            [this]
            {
                store_.gateway.busy = false;
                store_.gateway.silent = false;
                store_.set({});
            });
        for (auto i = 0; kind == 3 && i < late_writes; ++i)
        {
            later(
                draw_ms(100, longest_ms), [this] { store_.data.apply_late(); });
        }
    }

    auto revoke() -> void
    {
        check_.fault("store ends the lease of " + store_.owner());
        store_.revoke_owner();
        if (random_.below(3) == 0)
        {
            store_.gateway.compact();
        }
    }

    auto evacuate() -> void
    {
        auto const place = draw_worker().settings.data_centre;
        store_.put("op/evacuate/" + place, "{}");
        spell(
            place + " is drained", draw_ms(1000, longest_ms),
            [this, place] { store_.put("op/evacuate/" + place, {}); });
    }

    core::clock clock_ = core::system_clock();
    bool restarts_only_;       ///< Those of data centres alone, in some runs.
    bool const has_customers_; ///< The configuration lists them.
    core::random_source random_;
    soak_check& check_;
    soak_store& store_;
    soak_fleet& fleet_;
    worker_list& workers_;
    make_worker make_;
    std::vector<action> actions_;
    std::set<instance*> restarting_;
    core::time_point next_;
    std::uint64_t version_ = 1;
    bool restarts_ = false; ///< Of a data centre, with what follows.
};

} // namespace godwitcleat::soak

#endif
