/** @file world.hh Stand-ins of the platform for the cases of review 3: a
 * store, runners, an operator and a client, after PROTOCOL.md. All of them run
 * on one thread; the daemons are separate processes. */
#ifndef REVIEW_STANDIN_3_WORLD_HPP
#define REVIEW_STANDIN_3_WORLD_HPP

#include "coordination/coordination.hpp"
#include "core/core.hpp"
#include "transport/transport.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <functional>
#include <future>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review
{

namespace core = godwitcleat::core;
namespace transport = godwitcleat::transport;
namespace coordination = godwitcleat::coordination;
using nlohmann::json;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

inline auto unix_ms() -> std::int64_t
{
    return core::wall_clock_us() / 1000;
}

/** Lines of record.txt, with the milliseconds since the begin. */
class recorder
{
public:
    explicit recorder(std::string const& path)
        : out_(path)
    {
    }
    auto line(std::string const& text) -> void
    {
        auto const lock = std::scoped_lock{mutex_};
        auto const ms =
            std::chrono::duration_cast<milliseconds>(steady::now() - begun_)
                .count();
        char head[32];
        std::snprintf(head, sizeof(head), "%8.3f ", double(ms) / 1000);
        out_ << head << text << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
    steady::time_point begun_ = steady::now();
};

inline auto answer(
    transport::http_reply const& reply, int status, json body = json::object())
    -> void
{
    auto response = transport::http_response{};
    response.status = status;
    response.headers.set("Content-Type", "application/json");
    response.body = body.dump();
    reply(std::move(response));
}

/** The platform's store (PROTOCOL.md, "The platform's metadata store"). */
class store
{
public:
    struct item
    {
        std::string value; // Base64.
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::uint64_t lease = 0;
    };

    /** Returns true if the request is taken care of (a disruption). */
    std::function<bool(
        transport::http_request const&, transport::http_reply const&)>
        intercept;

    auto listen(transport::reactor& loop) -> std::string
    {
        server_ = transport::http_server::listen(
            loop, {"127.0.0.1", 0}, {},
            [this](auto const& request, auto reply)
            {
                if (intercept && intercept(request, reply))
                {
                    return;
                }
                handle(request, std::move(reply));
            });
        timer_ = loop.every(milliseconds{5}, [this] { tick(); });
        return transport::to_string(server_->local());
    }

    auto
    put(std::string const& key, std::string const& text,
        std::uint64_t lease = 0) -> void
    {
        put_encoded(key, coordination::base64_encode(text), lease);
    }
    auto remove(std::string const& key) -> void
    {
        if (items_.erase(key) > 0)
        {
            ++revision_;
            events_.push_back({key, revision_, std::nullopt});
        }
    }
    [[nodiscard]] auto has(std::string const& key) const -> bool
    {
        return items_.contains(key);
    }
    [[nodiscard]] auto text_of(std::string const& key) const -> std::string
    {
        auto const it = items_.find(key);
        return it == items_.end()
                   ? ""
                   : coordination::base64_decode(it->second.value).value_or("");
    }
    auto
    handle(transport::http_request const& request, transport::http_reply reply)
        -> void
    {
        auto const path = request.target.substr(0, request.target.find('?'));
        if (path == "/api/kv-key")
        {
            auto const key = parameter(request.target, "key");
            auto const it = items_.find(key);
            return it == items_.end()
                       ? answer(reply, 404, {{"store-revision", revision_}})
                       : answer(reply, 200, json_of(key, it->second, true));
        }
        if (path == "/api/kv-range")
        {
            return range(request.target, reply);
        }
        if (path == "/api/kv-watch")
        {
            watches_.push_back(
                {parameter(request.target, "prefix"),
                 number(parameter(request.target, "after")),
                 steady::now() +
                     milliseconds{number(parameter(request.target, "wait-ms"))},
                 std::move(reply)});
            return;
        }
        if (path == "/api/kv-txn")
        {
            return commit(json::parse(request.body), reply);
        }
        if (path == "/api/kv-lease")
        {
            auto const ttl =
                json::parse(request.body).at("ttl-ms").get<std::int64_t>();
            leases_[++last_lease_] = {ttl, steady::now() + milliseconds{ttl}};
            return answer(
                reply, 200, {{"lease", last_lease_}, {"ttl-ms", ttl}});
        }
        auto const id = static_cast<std::uint64_t>(
            number(path.substr(path.find_last_of('/') + 1)));
        auto const it = leases_.find(id);
        if (it == leases_.end())
        {
            return answer(reply, 404);
        }
        if (path.starts_with("/api/kv-keep/"))
        {
            it->second.until = steady::now() + milliseconds{it->second.ttl};
            return answer(
                reply, 200, {{"lease", id}, {"ttl-ms", it->second.ttl}});
        }
        end_lease(id);
        answer(reply, 200);
    }

private:
    struct event
    {
        std::string key;
        std::int64_t revision = 0;
        std::optional<item> written;
    };
    struct watch
    {
        std::string prefix;
        std::int64_t after = 0;
        steady::time_point until;
        transport::http_reply reply;
    };
    struct lease
    {
        std::int64_t ttl = 0;
        steady::time_point until;
    };

    static auto number(std::string const& text) -> std::int64_t
    {
        return text.empty() ? 0 : std::stoll(text);
    }
    static auto parameter(std::string const& target, std::string const& name)
        -> std::string
    {
        auto at = target.find('?');
        while (at != std::string::npos)
        {
            auto const end = target.find('&', at + 1);
            auto const part = target.substr(
                at + 1, end == std::string::npos ? end : end - at - 1);
            auto const equals = part.find('=');
            if (part.substr(0, equals) == name)
            {
                auto const raw = part.substr(equals + 1);
                auto text = std::string{};
                for (auto i = std::size_t{0}; i < raw.size(); ++i)
                {
                    if (raw[i] == '%' && i + 2 < raw.size())
                    {
                        text += static_cast<char>(std::strtol(
                            raw.substr(i + 1, 2).c_str(), nullptr, 16));
                        i += 2;
                    }
                    else
                    {
                        text += raw[i];
                    }
                }
                return text;
            }
            at = end;
        }
        return {};
    }
    auto json_of(
        std::string const& key, item const& it,
        bool with_revision = false) const -> json
    {
        auto out = json{
            {"key", key},
            {"value", it.value},
            {"revision", it.revision},
            {"created", it.created},
            {"lease", it.lease}};
        if (with_revision)
        {
            out["store-revision"] = revision_;
        }
        return out;
    }
    auto range(std::string const& target, transport::http_reply const& reply)
        -> void
    {
        auto const prefix = parameter(target, "prefix");
        auto const after = parameter(target, "after");
        auto items = json::array();
        auto more = false;
        auto bytes = std::size_t{0};
        for (auto it = items_.lower_bound(prefix);
             it != items_.end() && it->first.starts_with(prefix); ++it)
        {
            if (!after.empty() && it->first <= after)
            {
                continue;
            }
            if (items.size() == 500 || bytes >= 1'000'000)
            {
                more = true;
                break;
            }
            items.push_back(json_of(it->first, it->second));
            bytes += it->second.value.size() + 120;
        }
        answer(
            reply, 200,
            {{"items", items},
             {"has-more", more},
             {"store-revision", revision_}});
    }
    auto
    put_encoded(std::string const& key, std::string value, std::uint64_t lease)
        -> void
    {
        ++revision_;
        auto& it = items_[key];
        it.created = it.created == 0 ? revision_ : it.created;
        it.value = std::move(value);
        it.revision = revision_;
        it.lease = lease;
        events_.push_back({key, revision_, it});
    }
    auto commit(json const& root, transport::http_reply const& reply) -> void
    {
        auto const count = root.at("expect").size() + root.at("writes").size() +
                           root.at("remove").size();
        if (count > 32)
        {
            return answer(reply, 400);
        }
        auto found = json::array();
        auto holds = true;
        for (auto const& it : root.at("expect"))
        {
            auto const key = it.at("key").get<std::string>();
            auto const at = items_.find(key);
            auto const revision = at == items_.end() ? 0 : at->second.revision;
            holds = holds && revision == it.at("revision").get<std::int64_t>();
            if (at != items_.end())
            {
                found.push_back(json_of(key, at->second));
            }
        }
        if (!holds)
        {
            return answer(reply, 412, {{"items", found}});
        }
        for (auto const& it : root.at("writes"))
        {
            auto const lease = it.value("lease", std::uint64_t{0});
            if (lease != 0 && !leases_.contains(lease))
            {
                return answer(reply, 404);
            }
        }
        // One revision for all writes of a call.
        for (auto const& it : root.at("writes"))
        {
            put_encoded(
                it.at("key"), it.at("value").get<std::string>(),
                it.value("lease", std::uint64_t{0}));
        }
        for (auto const& it : root.at("remove"))
        {
            remove(it.get<std::string>());
        }
        auto const last = revision_;
        for (auto const& it : root.at("writes"))
        {
            items_[it.at("key").get<std::string>()].revision = last;
        }
        // Events of one call carry its revision.
        auto left = std::min(count, events_.size());
        for (auto at = events_.rbegin(); left > 0; ++at, --left)
        {
            if (at->written && items_.contains(at->key) &&
                items_[at->key].revision == last)
            {
                at->revision = last;
                at->written->revision = last;
            }
        }
        answer(reply, 200, {{"revision", last}});
    }
    auto end_lease(std::uint64_t id) -> void
    {
        leases_.erase(id);
        auto keys = std::vector<std::string>{};
        for (auto const& [key, it] : items_)
        {
            if (it.lease == id)
            {
                keys.push_back(key);
            }
        }
        for (auto const& key : keys)
        {
            remove(key);
        }
    }
    auto tick() -> void
    {
        auto const now = steady::now();
        auto ended = std::vector<std::uint64_t>{};
        for (auto const& [id, it] : leases_)
        {
            if (now >= it.until)
            {
                ended.push_back(id);
            }
        }
        for (auto const id : ended)
        {
            end_lease(id);
        }
        while (events_.size() > 20'000)
        {
            dropped_ = events_.front().revision;
            events_.pop_front();
        }
        auto waiting = std::exchange(watches_, {});
        for (auto& it : waiting)
        {
            if (it.after < dropped_)
            {
                answer(it.reply, 410);
                continue;
            }
            auto found = json::array();
            auto const first = std::upper_bound(
                events_.begin(), events_.end(), it.after,
                [](std::int64_t after, event const& at)
                { return after < at.revision; });
            for (auto at = first; at != events_.end(); ++at)
            {
                auto const& event = *at;
                if (event.revision > it.after &&
                    event.key.starts_with(it.prefix))
                {
                    found.push_back(
                        event.written ? json_of(event.key, *event.written)
                                      : json{
                                            {"key", event.key},
                                            {"revision", event.revision},
                                            {"tombstone", true}});
                }
            }
            if (found.empty() && now < it.until)
            {
                watches_.push_back(std::move(it));
                continue;
            }
            answer(
                it.reply, 200,
                {{"events", found}, {"store-revision", revision_}});
        }
    }

    std::optional<transport::http_server> server_;
    transport::timer_handle timer_;
    std::map<std::string, item> items_;
    std::deque<event> events_;
    std::vector<watch> watches_;
    std::map<std::uint64_t, lease> leases_;
    std::uint64_t last_lease_ = 100;
    std::int64_t revision_ = 1;
    std::int64_t dropped_ = 0; ///< Last revision of the history that is gone.
};

/** What the tasks of a command do: "work=MS", "fail" (each run fails at its
 *  end), "lasts", "gang=N". */
struct behaviour
{
    std::int64_t work_ms = 100;
    bool fails = false;
    bool lasts = false;
    std::size_t gang = 0;
};

inline auto parse_behaviour(std::string const& spec) -> behaviour
{
    auto out = behaviour{};
    auto at = std::size_t{0};
    while (at < spec.size())
    {
        auto const end = std::min(spec.find(' ', at), spec.size());
        auto const word = spec.substr(at, end - at);
        at = end + 1;
        if (word.starts_with("work="))
        {
            out.work_ms = std::stoll(word.substr(5));
        }
        else if (word == "fail")
        {
            out.fails = true;
        }
        else if (word == "lasts")
        {
            out.lasts = true;
        }
        else if (word.starts_with("gang="))
        {
            out.gang = static_cast<std::size_t>(std::stoll(word.substr(5)));
        }
    }
    return out;
}

struct run_fact
{
    std::string task;
    std::uint64_t run = 0;
    std::string worker;
    steady::time_point begun;
    std::optional<steady::time_point> ended;
    std::string how; ///< Empty while it runs; "crashed" if its runner crashed.
    bool noted = false; ///< The ack-cursor has reached its end.
};

/** Limits of the deployment, as in settings and PROTOCOL.md. */
struct bounds
{
    std::int64_t hold_max_ms = 6000;
    std::int64_t stop_ms = 200;
    std::int64_t gang_wait_ms = 3000;
    std::int64_t heartbeat_ms = 1500;
};

class runner;

/** What runners share: facts for the check and groups of gangs. */
struct shared_facts
{
    std::vector<run_fact> runs;
    std::vector<runner*> runners;
    recorder* record = nullptr;
    bounds limits;
};

/** A runner (PROTOCOL.md, "Running tasks" and "Service discovery"). */
class runner
{
public:
    runner(
        transport::reactor& loop, store& registry, shared_facts& facts,
        std::string id, std::string zone, std::string service, std::int64_t cpu)
        : loop_(loop)
        , registry_(registry)
        , facts_(facts)
        , id_(std::move(id))
        , zone_(std::move(zone))
        , service_(std::move(service))
        , cpu_(cpu)
    {
        facts_.runners.push_back(this);
    }
    bool draining = false;
    [[nodiscard]] auto id() const -> std::string const&
    {
        return id_;
    }
    [[nodiscard]] auto is_up() const -> bool
    {
        return server_.has_value() && !dark_;
    }

    /** Starts a process; the port stays the same. */
    auto start() -> bool
    {
        server_ = transport::http_server::listen(
            loop_, {"127.0.0.1", port_}, {},
            [this, life = ++life_](auto const& request, auto reply)
            {
                if (life == life_ && is_up())
                {
                    handle(request, std::move(reply));
                }
                else
                {
                    lost_.push_back(std::move(reply));
                }
            });
        if (!server_)
        {
            facts_.record->line(
                "runner " + id_ +
                " does not start: " + core::last_reason().message);
            return false;
        }
        port_ = server_->local().port;
        began_ = steady::now();
        born_ = unix_ms();
        token_ = 0;
        deadline_ = 0;
        next_end_ = 1;
        beats_ = 0;
        beat();
        if (!timers_started_)
        {
            timers_started_ = true;
            tick_ = loop_.every(milliseconds{5}, [this] { tick(); });
            beat_ = loop_.every(
                milliseconds{facts_.limits.heartbeat_ms}, [this] { beat(); });
        }
        facts_.record->line("runner " + id_ + " is up");
        return true;
    }

    /** Its process is gone: connections are reset, and nothing runs any more.
     *  Its entry goes after three heartbeats of silence. */
    auto crash() -> void
    {
        facts_.record->line("runner " + id_ + " crashes");
        server_->close();
        server_.reset();
        end_life();
    }

    /** It loses power for good: nothing answers or resets connections, and
     *  nothing runs any more. */
    auto lose_power() -> void
    {
        facts_.record->line("runner " + id_ + " is without power");
        dark_ = true;
        end_life();
    }

    auto running_tasks() const -> std::vector<std::string>
    {
        auto out = std::vector<std::string>{};
        for (auto const& it : running_)
        {
            out.push_back(it.task);
        }
        return out;
    }

private:
    auto end_life() -> void
    {
        for (auto& it : held_)
        {
            lost_.push_back(std::move(it.reply));
        }
        held_.clear();
        for (auto const& it : running_)
        {
            close_fact(it.fact, "crashed");
        }
        running_.clear();
        ended_.clear();
        highest_ended_.clear();
        silent_since_ = steady::now();
    }

    struct active
    {
        std::string task;
        std::uint64_t run = 0;
        behaviour what;
        steady::time_point begun;
        std::optional<steady::time_point> works_since;
        std::optional<steady::time_point> stops_at;
        std::size_t fact = 0;
    };
    struct end_row
    {
        std::uint64_t number = 0;
        std::string task;
        std::uint64_t run = 0;
        std::string how;
        bool lease_lapsed = false; ///< Before the ack-cursor reached it.
        std::size_t fact = 0;
    };
    struct waiting_hold
    {
        steady::time_point until;
        std::uint64_t seen = 0;
        transport::http_reply reply;
    };

    [[nodiscard]] auto clock() const -> std::int64_t
    {
        return std::chrono::duration_cast<milliseconds>(steady::now() - began_)
            .count();
    }
    auto beat() -> void
    {
        if (!is_up())
        {
            if (silent_since_ &&
                steady::now() - *silent_since_ >
                    milliseconds{3 * facts_.limits.heartbeat_ms})
            {
                registry_.remove("servers/" + id_);
            }
            return;
        }
        auto entry = json{
            {"service", service_},
            {"address", transport::to_string(server_->local())},
            {"zone", zone_},
            {"version", "v1"},
            {"slots", 8},
            {"state", draining ? "draining" : "ready"},
            {"cold-ms", 0},
            {"capacity", {{"cpu", cpu_}, {"mem-mb", 64000}, {"gpu", 0}}},
            {"labels", {"a", "r1-1"}},
            {"born", born_},
            {"seq", ++beats_}};
        if (draining)
        {
            entry["remaining-ms"] = 2000;
        }
        registry_.put("servers/" + id_, entry.dump());
    }
    auto close_fact(std::size_t fact, std::string const& how) -> void
    {
        auto& it = facts_.runs[fact];
        it.ended = steady::now();
        it.how = how;
        facts_.record->line(
            "end   " + it.task + " run " + std::to_string(it.run) + " on " +
            id_ + ": " + how);
    }
    auto
    handle(transport::http_request const& request, transport::http_reply reply)
        -> void
    {
        auto const expected =
            std::string{request.headers.get("Godwitcleat-Expected-Instance")};
        if (!expected.empty() && expected != id_)
        {
            return answer(reply, 421);
        }
        auto const root = json::parse(request.body);
        auto const token = root.value("fencing-token", std::uint64_t{0});
        if (token < token_)
        {
            return refuse(reply, "fence");
        }
        token_ = token;
        if (request.target == "/api/hold")
        {
            return hold(root, std::move(reply));
        }
        if (request.target == "/api/run-start")
        {
            return begin(root, reply);
        }
        if (request.target == "/api/run-stop")
        {
            return stop(root, reply);
        }
        answer(reply, 200, {{"clock-ms", clock()}});
    }
    auto refuse(transport::http_reply const& reply, char const* reason) -> void
    {
        answer(reply, 409, {{"clock-ms", clock()}, {"reason", reason}});
    }
    auto take_deadline(json const& root) -> void
    {
        if (root.contains("deadline-ms"))
        {
            deadline_ = std::max(
                deadline_, std::min(
                               root.at("deadline-ms").get<std::int64_t>(),
                               clock() + facts_.limits.hold_max_ms));
        }
    }
    auto hold(json const& root, transport::http_reply reply) -> void
    {
        auto const cursor = root.value("ack-cursor", std::uint64_t{0});
        std::erase_if(
            ended_,
            [&](end_row const& it)
            {
                if (it.number <= cursor)
                {
                    facts_.runs[it.fact].noted = !it.lease_lapsed;
                }
                return it.number <= cursor;
            });
        take_deadline(root);
        held_.push_back(
            {steady::now() +
                 milliseconds{root.value("wait-ms", std::int64_t{0})},
             next_end_, std::move(reply)});
    }
    auto begin(json const& root, transport::http_reply const& reply) -> void
    {
        auto const task = root.at("task").get<std::string>();
        auto const number = root.at("run").get<std::uint64_t>();
        if (root.at("deadline-ms").get<std::int64_t>() < clock())
        {
            return refuse(reply, "late");
        }
        for (auto const& it : running_)
        {
            if (it.task == task && it.run == number)
            {
                return answer(reply, 200, {{"clock-ms", clock()}});
            }
        }
        take_deadline(root);
        auto const highest = highest_ended_.find(task);
        if (highest != highest_ended_.end() && number <= highest->second)
        {
            return refuse(reply, "old");
        }
        auto it = active{};
        it.task = task;
        it.run = number;
        it.what = parse_behaviour(root.value("spec", std::string{}));
        it.begun = steady::now();
        it.fact = facts_.runs.size();
        facts_.runs.push_back(
            {task, number, id_, it.begun, std::nullopt, "", false});
        facts_.record->line(
            "start " + task + " run " + std::to_string(number) + " on " + id_);
        running_.push_back(std::move(it));
        answer(reply, 200, {{"clock-ms", clock()}});
    }
    auto stop(json const& root, transport::http_reply const& reply) -> void
    {
        auto const task = root.at("task").get<std::string>();
        auto const number = root.at("run").get<std::uint64_t>();
        auto& highest = highest_ended_[task];
        highest = std::max(highest, number);
        for (auto& it : running_)
        {
            if (it.task == task && it.run == number && !it.stops_at)
            {
                it.stops_at =
                    steady::now() + milliseconds{facts_.limits.stop_ms / 2};
            }
        }
        answer(reply, 200, {{"clock-ms", clock()}});
    }
    static auto group_of(std::string const& task) -> std::string
    {
        return task.substr(0, task.find_last_of('.'));
    }
    auto end(std::size_t index, std::string const& how) -> void
    {
        auto const it = running_[index];
        running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(index));
        close_fact(it.fact, how);
        auto& highest = highest_ended_[it.task];
        highest = std::max(highest, it.run);
        ended_.push_back({next_end_++, it.task, it.run, how, false, it.fact});
        if (it.what.gang > 0)
        {
            for (auto* const other : facts_.runners)
            {
                other->end_group(
                    group_of(it.task), it.run,
                    how == "done" ? "done" : "broken");
            }
        }
    }
    auto end_group(
        std::string const& group, std::uint64_t run, std::string const& how)
        -> void
    {
        for (auto i = running_.size(); i-- > 0;)
        {
            if (i < running_.size() && running_[i].run == run &&
                group_of(running_[i].task) == group &&
                running_[i].what.gang > 0)
            {
                end(i, how);
            }
        }
    }
    [[nodiscard]] auto
    present(std::string const& group, std::uint64_t run) const -> std::size_t
    {
        auto n = std::size_t{0};
        for (auto const* const other : facts_.runners)
        {
            for (auto const& it : other->running_)
            {
                n += it.run == run && group_of(it.task) == group ? 1 : 0;
            }
        }
        return n;
    }
    auto tick() -> void
    {
        if (!is_up())
        {
            return;
        }
        auto const now = steady::now();
        auto const lapsed = clock() > deadline_;
        for (auto& it : ended_)
        {
            it.lease_lapsed = it.lease_lapsed || lapsed;
        }
        for (auto i = running_.size(); i-- > 0;)
        {
            if (i >= running_.size())
            {
                continue;
            }
            auto& it = running_[i];
            if (lapsed)
            {
                end(i, "lapsed");
                continue;
            }
            if (it.stops_at && now >= *it.stops_at)
            {
                end(i, "stopped");
                continue;
            }
            if (!it.works_since)
            {
                if (it.what.gang == 0 ||
                    present(group_of(it.task), it.run) >= it.what.gang)
                {
                    it.works_since = now;
                }
                else if (
                    now - it.begun > milliseconds{facts_.limits.gang_wait_ms})
                {
                    end(i, "alone");
                }
                continue;
            }
            if (!it.what.lasts &&
                now - *it.works_since >= milliseconds{it.what.work_ms})
            {
                end(i, it.what.fails ? "failed" : "done");
            }
        }
        std::erase_if(
            held_,
            [&](waiting_hold const& it)
            {
                if (now < it.until && it.seen >= next_end_)
                {
                    return false;
                }
                answer(it.reply, 200, lists());
                return true;
            });
    }
    [[nodiscard]] auto lists() const -> json
    {
        auto root = json{
            {"clock-ms", clock()},
            {"born", born_},
            {"running", json::array()},
            {"ended", json::array()}};
        for (auto const& it : running_)
        {
            auto percent = std::int64_t{0};
            if (it.works_since)
            {
                auto const ms = std::chrono::duration_cast<milliseconds>(
                                    steady::now() - *it.works_since)
                                    .count();
                percent = it.what.lasts ? 100
                                        : std::min<std::int64_t>(
                                              99, ms * 100 /
                                                      std::max<std::int64_t>(
                                                          1, it.what.work_ms));
            }
            root["running"].push_back({it.task, it.run, "", percent, 500});
        }
        for (auto const& it : ended_)
        {
            if (root["ended"].size() < 500)
            {
                root["ended"].push_back(
                    {it.number, it.task, it.run, it.how, ""});
            }
        }
        return root;
    }

    transport::reactor& loop_;
    store& registry_;
    shared_facts& facts_;
    std::string id_;
    std::string zone_;
    std::string service_;
    std::int64_t cpu_;
    std::optional<transport::http_server> server_;
    std::vector<transport::http_reply> lost_; ///< Never answered.
    std::uint16_t port_ = 0;
    std::uint64_t life_ = 0;
    bool dark_ = false;
    bool timers_started_ = false;
    transport::timer_handle tick_;
    transport::timer_handle beat_;
    std::optional<steady::time_point> silent_since_;
    steady::time_point began_;
    std::int64_t born_ = 0;
    std::int64_t beats_ = 0;
    std::uint64_t token_ = 0;
    std::int64_t deadline_ = 0;
    std::uint64_t next_end_ = 1;
    std::vector<active> running_;
    std::vector<end_row> ended_;
    std::map<std::string, std::uint64_t> highest_ended_;
    std::vector<waiting_hold> held_;
};

/** A daemon, started as the deploy file says. */
class daemon_process
{
public:
    daemon_process(
        std::string folder, std::string name, std::string zone,
        std::string store_address, bounds limits)
        : folder_(std::move(folder))
        , name_(std::move(name))
    {
        for (auto* const it : {&gateway, &readiness, &peer, &control, &metrics})
        {
            *it = free_port();
        }
        auto file = std::ifstream{"deploy/settings.ini"};
        auto text = std::string{std::istreambuf_iterator<char>{file}, {}};
        auto const fill =
            [&text](std::string const& key, std::string const& value)
        {
            auto const word = "{{" + key + "}}";
            for (auto at = text.find(word); at != std::string::npos;
                 at = text.find(word))
            {
                text.replace(at, word.size(), value);
            }
        };
        fill("{{ip}}", "127.0.0.1");
        fill("node-name", name_);
        fill("zone", zone);
        fill("limits.cpu-share", "0.1");
        fill("listen.front", "127.0.0.1:" + std::to_string(gateway));
        fill("port-range.0", std::to_string(peer));
        fill("port-range.1", std::to_string(control));
        fill("platform.address", store_address);
        fill("listen.readiness", "127.0.0.1:" + std::to_string(readiness));
        fill("bounds.hold-max-ms", std::to_string(limits.hold_max_ms));
        fill("bounds.stop-ms", std::to_string(limits.stop_ms));
        fill("bounds.drain-ms", "2000");
        fill("bounds.evacuate-ms", "5000");
        fill("limits.memory-mb", "260");
        for (auto at = text.find("{{ip}}:9464"); at != std::string::npos;
             at = text.find("{{ip}}:9464"))
        {
            text.replace(at, 11, "127.0.0.1:" + std::to_string(metrics));
        }
        fill("ip", "127.0.0.1");
        std::ofstream{settings()} << text;
    }
    auto start() -> void
    {
        auto const log = folder_ + "/" + name_ + ".log";
        auto const path = settings();
        pid_ = ::fork();
        if (pid_ == 0)
        {
            std::freopen(log.c_str(), "a", stdout);
            std::freopen(log.c_str(), "a", stderr);
            ::setenv("GODWITCLEAT_SETTINGS", path.c_str(), 1);
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // Ends with the stand-ins.
            for (auto fd = 3; fd < 1024; ++fd)
            {
                ::close(fd); // The sockets of the stand-ins.
            }
            ::execl("target/godwitcleatd", "target/godwitcleatd", nullptr);
            std::_Exit(127);
        }
    }
    auto signal(int number) -> void
    {
        if (pid_ > 0)
        {
            ::kill(pid_, number);
        }
    }
    auto wait() -> void
    {
        if (pid_ > 0)
        {
            ::waitpid(pid_, nullptr, 0);
            pid_ = 0;
        }
    }
    auto end() -> void
    {
        signal(SIGCONT);
        signal(SIGKILL);
        wait();
    }
    ~daemon_process()
    {
        end();
    }
    [[nodiscard]] auto front() const -> transport::endpoint
    {
        return {"127.0.0.1", gateway};
    }

    std::uint16_t gateway = 0;
    std::uint16_t readiness = 0;
    std::uint16_t peer = 0;
    std::uint16_t control = 0;
    std::uint16_t metrics = 0;

private:
    static auto free_port() -> std::uint16_t
    {
        // Below the ports that outgoing connections use.
        static auto random = std::mt19937{std::random_device{}()};
        auto loop = transport::reactor{1};
        for (;;)
        {
            auto const port =
                static_cast<std::uint16_t>(10000 + random() % 20000);
            auto const server = transport::http_server::listen(
                loop, {"127.0.0.1", port}, {}, [](auto const&, auto) {});
            if (server)
            {
                return port;
            }
        }
    }
    [[nodiscard]] auto settings() const -> std::string
    {
        return folder_ + "/" + name_ + ".ini";
    }

    std::string folder_;
    std::string name_;
    pid_t pid_ = 0;
};

/** A client's answer; status 0: none. */
struct client_answer
{
    int status = 0;
    std::string body;
};

class client
{
public:
    explicit client(recorder& record)
        : record_(record)
        , http_(loop_, {})
    {
    }
    auto call(
        std::string const& method, transport::endpoint const& where,
        std::string const& path, std::string const& body = "",
        milliseconds deadline = milliseconds{3000}) -> client_answer
    {
        auto request = transport::http_request{};
        request.method = method;
        request.target = path;
        request.body = body;
        request.headers.set("Host", "desk.example");
        request.headers.set(
            "Godwitcleat-Deadline-Ms", std::to_string(deadline.count()));
        if (!body.empty())
        {
            request.headers.set("Content-Type", "application/json");
        }
        auto done = std::make_shared<std::promise<client_answer>>();
        auto result = done->get_future();
        http_.send(
            where, std::move(request), deadline,
            [done](transport::http_result it)
            {
                done->set_value(
                    it.response
                        ? client_answer{it.response->status, it.response->body}
                        : client_answer{});
            });
        auto out = result.get();
        record_.line(
            method + " " + path + " -> " + std::to_string(out.status) + " " +
            out.body.substr(0, 120));
        return out;
    }

private:
    recorder& record_;
    transport::reactor loop_{1};
    transport::http_client http_;
};

/** All stand-ins of a case. */
struct world
{
    explicit world(std::string const& record_path, std::string folder)
        : record(record_path)
        , temporary(std::move(folder))
        , people(record)
    {
        facts.record = &record;
        store_address = on_loop([this] { return registry.listen(loop); });
    }
    ~world()
    {
        for (auto& it : daemons)
        {
            it->end();
        }
        loop.stop();
    }

    /** Runs @p task on the thread of the stand-ins. */
    template <class Task>
    auto on_loop(Task task) -> decltype(task())
    {
        using result_type = decltype(task());
        auto done = std::promise<result_type>{};
        loop.post(
            [&]
            {
                if constexpr (std::is_void_v<result_type>)
                {
                    task();
                    done.set_value();
                }
                else
                {
                    done.set_value(task());
                }
            });
        return done.get_future().get();
    }

    auto add_runners(
        int count, int zones, std::int64_t cpu,
        std::string const& service = "svc") -> void
    {
        on_loop(
            [&]
            {
                for (auto i = 0; i < count; ++i)
                {
                    auto const n = runners.size() + 1;
                    runners.push_back(std::make_unique<runner>(
                        loop, registry, facts, "i-" + std::to_string(n),
                        "dc-" + std::to_string(static_cast<int>(n) % zones + 1),
                        service, cpu));
                    runners.back()->start();
                }
            });
    }
    auto add_daemons(int count) -> void
    {
        for (auto i = 0; i < count; ++i)
        {
            auto const n = daemons.size() + 1;
            daemons.push_back(std::make_unique<daemon_process>(
                temporary, "entry-" + std::to_string(n),
                "dc-" + std::to_string(n), store_address, facts.limits));
            daemons.back()->start();
        }
    }
    /** The operator writes a configuration; @p routes is an array. */
    auto configure(std::int64_t version, json const& routes) -> void
    {
        on_loop(
            [&]
            {
                auto services = json::array();
                services.push_back(
                    {{"name", "svc"}, {"rejects-overload", false}});
                registry.put(
                    "op/config",
                    json{
                        {"version", version},
                        {"routes", routes},
                        {"services", services},
                        {"limits", {{"body-bytes", 262144}}}}
                        .dump());
                record.line(
                    "operator: configuration " + std::to_string(version) +
                    " with " + std::to_string(routes.size()) +
                    " routes is acknowledged");
            });
    }
    /** Waits until a count of the queue is answered with 200 by each daemon. */
    auto wait_ready(std::string const& prefix, milliseconds limit) -> bool
    {
        auto const until = steady::now() + limit;
        for (auto& it : daemons)
        {
            while (
                people.call("GET", it->front(), prefix, "", milliseconds{500})
                    .status != 200)
            {
                if (steady::now() > until)
                {
                    return false;
                }
                std::this_thread::sleep_for(milliseconds{100});
            }
        }
        return true;
    }
    auto facts_now() -> std::vector<run_fact>
    {
        return on_loop([this] { return facts.runs; });
    }

    steady::time_point begun = steady::now();
    recorder record;
    std::string temporary;
    transport::reactor loop{1};
    store registry;
    shared_facts facts;
    std::vector<std::unique_ptr<runner>> runners;
    std::string store_address;
    std::vector<std::unique_ptr<daemon_process>> daemons;
    client people;
};

} // namespace review

#endif
