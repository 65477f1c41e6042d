/** @file soak_worker.hpp A worker that keeps all rules of its platform. */
#ifndef GODWITCLEAT_STANDINS_SOAK_SOAK_WORKER_HPP
#define GODWITCLEAT_STANDINS_SOAK_SOAK_WORKER_HPP

#include "standins/soak/soak_check.hpp"
#include "standins/soak/soak_link.hpp"
#include "standins/support/handler_gate_base.hpp"

#include <functional>

namespace godwitcleat::soak
{

/** How a worker behaves. */
struct worker_settings
{
    std::string id;
    std::string data_centre;
    std::int64_t cpu_milli = 4000;
    double clock_rate = 1; ///< Its clock may be slow.
    milliseconds lease_limit{6000};
    milliseconds stop_time{20}; ///< Of each stop.
};

/** Writes a key of the platform to the store; an empty text removes it. */
using put_key =
    std::function<void(std::string const& key, std::string const& text)>;

/**
 * A worker over HTTP, behind a link. Unlike standins::hosted_runner it can
 * crash, start again under its id, be cut off and leave, and it refuses runs
 * that are over. "work N" runs for N ms, any other command until it is stopped.
 * Thread-safe.
 */
class soak_worker
{
public:
    soak_worker(
        transport::reactor& loop, link_loop& links, soak_check& check,
        put_key put, worker_settings values)
        : settings(std::move(values))
        , loop_(loop)
        , check_(check)
        , put_(std::move(put))
        , link_(links.add())
    {
        timer_ =
            loop_.every(milliseconds{5}, gate_.guarded([this] { tick(); }));
        start();
    }

    /** Waits for handlers that run; must not be called by one of them. */
    ~soak_worker()
    {
        crash();
        gate_.close();
    }

    soak_worker(soak_worker const&) = delete;
    auto operator=(soak_worker const&) -> soak_worker& = delete;

    /** Starts a life that knows nothing of earlier ones. */
    auto start() -> void
    {
        auto server = transport::http_server::listen(
            loop_, {"127.0.0.1", 0}, {},
            gate_.guarded([this](auto const& request, auto reply)
                          { handle(request, std::move(reply)); }));
        auto const lock = std::scoped_lock{mutex_};
        if (server && !server_)
        {
            link_.set_target(server->local());
            server_ = std::move(server);
            life_ = life{};
            life_.born = clock_();
            life_.born_ms = core::wall_clock_us() / 1000;
            set_link();
            if (!is_cut_)
            {
                beat();
            }
        }
    }

    /** Ends its life with all that runs. Its address refuses connections, or
     *  nothing tells its peers if @p in_silence is set. */
    auto crash(bool in_silence = false) -> void
    {
        // Closed without the lock, because its handlers take that.
        auto server = std::optional<transport::http_server>{};
        auto const lock = std::scoped_lock{mutex_};
        std::swap(server, server_);
        in_silence_ = is_cut_ ? in_silence_ : in_silence;
        set_link();
        for (auto const& it : life_.running)
        {
            check_.ended(it.index, "lost");
        }
        life_.running.clear();
    }

    /** Closes the links to the instances and to the store; it works on.
     *  @param in_silence as for a crash. */
    auto cut_off(bool is_cut, bool in_silence = false) -> void
    {
        auto const lock = std::scoped_lock{mutex_};
        is_cut_ = is_cut;
        in_silence_ = is_cut ? in_silence : in_silence_;
        set_link();
    }

    auto drain() -> void
    {
        auto const lock = std::scoped_lock{mutex_};
        life_.draining = true;
    }

    auto disturb(link_trouble const& trouble) -> void
    {
        auto const lock = std::scoped_lock{mutex_};
        if (server_ && !is_cut_)
        {
            link_.set(trouble);
        }
    }

    worker_settings const settings;

private:
    struct run
    {
        std::string task;
        std::uint64_t number = 0;
        core::time_point since;
        core::time_point until;
        std::string outcome; ///< How it ends at `until`.
        std::size_t index = 0;
    };
    struct listed_end
    {
        std::uint64_t number = 0;
        run of;
        std::string how;
        std::uint64_t lapses = 0; ///< Of the lease, when it ended.
    };
    struct held
    {
        core::time_point until;
        std::uint64_t seen = 0; ///< Ends that were listed when it came.
        transport::http_reply reply;
    };
    struct life
    {
        core::time_point born;
        std::int64_t born_ms = 0;
        bool draining = false;
        std::uint64_t token = 0;
        std::int64_t deadline_ms = 0;
        bool lapsed = true;
        std::uint64_t lapses = 0;
        std::uint64_t next_end = 1;
        std::uint64_t beats = 0;
        std::vector<run> running;
        std::vector<listed_end> ended;
        std::vector<held> answers;
        std::map<std::string, std::uint64_t> over; ///< Highest run, by task.
    };

    static constexpr auto refusing = link_trouble{"refusing", true, true};
    static constexpr auto silent =
        link_trouble{"silent", false, false, true, {}, true};
    static constexpr auto beat_interval = milliseconds{500};
    static constexpr auto notice_ms = 2000; ///< Between drain and exit.

    auto set_link() -> void
    {
        link_.set(
            server_ && !is_cut_ ? passing
            : in_silence_       ? silent
                                : refusing);
    }

    [[nodiscard]] auto clock_ms() const -> std::int64_t
    {
        auto const age =
            std::chrono::duration<double, std::milli>{clock_() - life_.born};
        return static_cast<std::int64_t>(age.count() * settings.clock_rate);
    }

    auto beat() -> void
    {
        last_beat_ = clock_();
        is_listed_ = true;
        auto const entry = json{
            {"service", "svc"},
            {"address", transport::to_string(link_.local())},
            {"zone", settings.data_centre},
            {"version", "v1"},
            {"slots", 8},
            {"state", life_.draining ? "draining" : "ready"},
            {"remaining-ms", life_.draining ? notice_ms : 0},
            {"cold-ms", 0},
            {"capacity",
             {{"cpu", settings.cpu_milli}, {"mem-mb", 64'000}, {"gpu", 0}}},
            {"labels", {"a", "r-" + settings.data_centre}},
            {"clock-ms", clock_ms()},
            {"born", life_.born_ms},
            {"seq", ++life_.beats}};
        put_("servers/" + settings.id, entry.dump());
    }

    [[nodiscard]] auto respond(int status, char const* reason = "") const
        -> transport::http_response
    {
        auto body = json{{"clock-ms", clock_ms()}, {"born", life_.born_ms}};
        if (status == 409)
        {
            body["reason"] = reason;
        }
        return {status, {}, body.dump()};
    }

    auto
    handle(transport::http_request const& request, transport::http_reply reply)
        -> void
    {
        auto const body = json::parse(request.body, nullptr, false);
        auto const id = request.headers.get("Godwitcleat-Expected-Instance");
        auto const lock = std::scoped_lock{mutex_};
        if (!server_)
        {
            return;
        }
        if (!body.is_object() || (!id.empty() && id != settings.id))
        {
            return reply(respond(body.is_object() ? 421 : 400));
        }
        end_due();
        auto const token = body.value("fencing-token", std::uint64_t{0});
        if (token < life_.token)
        {
            return reply(respond(409, "fence"));
        }
        life_.token = token;
        if (request.target == "/api/hold")
        {
            return hold(body, std::move(reply));
        }
        reply(
            request.target == "/api/run-start"  ? begin(body)
            : request.target == "/api/run-stop" ? stop(body)
                                                : respond(200));
    }

    auto hold(json const& body, transport::http_reply reply) -> void
    {
        std::erase_if(
            life_.ended,
            [this, cursor = body.value("ack-cursor", std::uint64_t{0})](
                auto const& it)
            {
                if (it.number <= cursor && it.lapses == life_.lapses)
                {
                    check_.noted(it.of.index);
                }
                return it.number <= cursor;
            });
        extend(body.value("deadline-ms", std::int64_t{0}));
        auto const wait = milliseconds{body.value("wait-ms", 0)};
        life_.answers.push_back(
            {clock_() + wait, life_.next_end, std::move(reply)});
    }

    auto extend(std::int64_t asked) -> void
    {
        auto const limit = clock_ms() + settings.lease_limit.count();
        life_.deadline_ms = std::max(life_.deadline_ms, std::min(asked, limit));
        life_.lapsed = clock_ms() > life_.deadline_ms;
    }

    auto begin(json const& body) -> transport::http_response
    {
        auto const task = body.at("task").get<std::string>();
        auto const number = body.at("run").get<std::uint64_t>();
        auto const spec = body.at("spec").get<std::string>();
        auto const deadline = body.at("deadline-ms").get<std::int64_t>();
        for (auto const& it : life_.running)
        {
            if (it.task == task && it.number == number)
            {
                return respond(200);
            }
        }
        if (deadline < clock_ms())
        {
            return respond(409, "late");
        }
        extend(deadline);
        if (life_.over[task] >= number)
        {
            return respond(409, "old");
        }
        auto const until =
            spec.starts_with("work ")
                ? clock_() + milliseconds{std::stol(spec.substr(5))}
                : core::time_point::max();
        auto const index =
            check_.started(settings.id, settings.cpu_milli, task, number, spec);
        life_.running.push_back({task, number, clock_(), until, "done", index});
        return respond(200);
    }

    auto stop(json const& body) -> transport::http_response
    {
        auto const task = body.at("task").get<std::string>();
        auto const number = body.at("run").get<std::uint64_t>();
        auto& over = life_.over[task];
        over = std::max(over, number);
        for (auto& it : life_.running)
        {
            if (it.task == task && it.number == number)
            {
                it.until = std::min(it.until, clock_() + settings.stop_time);
                it.outcome = "stopped";
            }
        }
        return respond(200);
    }

    auto end_due() -> void
    {
        if (!life_.lapsed && clock_ms() > life_.deadline_ms)
        {
            life_.lapsed = true;
            ++life_.lapses;
        }
        std::erase_if(
            life_.running,
            [this](auto const& it)
            {
                if (!life_.lapsed && clock_() < it.until)
                {
                    return false;
                }
                auto const how = life_.lapsed ? "lapsed" : it.outcome;
                check_.ended(it.index, how);
                auto& over = life_.over[it.task];
                over = std::max(over, it.number);
                life_.ended.push_back(
                    {life_.next_end++, it, how, life_.lapses});
                return true;
            });
    }

    // The platform removes the entry of a worker after three silent intervals.
    auto tick() -> void
    {
        auto const lock = std::scoped_lock{mutex_};
        auto const silence = clock_() - last_beat_;
        if (server_ && !is_cut_ && silence >= beat_interval)
        {
            beat();
        }
        else if (is_listed_ && silence >= 3 * beat_interval)
        {
            is_listed_ = false;
            put_("servers/" + settings.id, {});
        }
        if (!server_)
        {
            return;
        }
        end_due();
        std::erase_if(
            life_.answers,
            [this](auto const& it)
            {
                auto const due =
                    clock_() >= it.until || it.seen < life_.next_end;
                if (due)
                {
                    it.reply({200, {}, lists()});
                }
                return due;
            });
    }

    // In percent; what lasts is always at 100.
    [[nodiscard]] auto progress(run const& it) const -> std::int64_t
    {
        constexpr auto all = 100;
        return it.until == core::time_point::max()
                   ? all
                   : all * (clock_() - it.since) / (it.until - it.since);
    }

    [[nodiscard]] auto lists() const -> std::string
    {
        auto root = json{
            {"clock-ms", clock_ms()},
            {"born", life_.born_ms},
            {"running", json::array()},
            {"ended", json::array()}};
        for (auto const& it : life_.running)
        {
            root["running"].push_back(
                {it.task, it.number, "", progress(it), 500});
        }
        for (auto const& it : life_.ended)
        {
            root["ended"].push_back(
                {it.number, it.of.task, it.of.number, it.how, ""});
        }
        return root.dump();
    }

    transport::reactor& loop_;
    soak_check& check_;
    put_key put_;
    core::clock clock_ = core::system_clock();
    soak_link& link_;
    standins::handler_gate gate_;
    transport::timer_handle timer_;
    std::mutex mutex_;                             ///< Guards all below.
    std::optional<transport::http_server> server_; ///< None: it is down.
    bool is_cut_ = false;
    bool in_silence_ = false; ///< The last crash or cut.
    bool is_listed_ = false;
    core::time_point last_beat_;
    life life_;
};

} // namespace godwitcleat::soak

#endif
