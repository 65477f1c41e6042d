/** @file gateway_test.cpp History checks of the gateway on a fake network. */
#include "coordination/coordination.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace coordination = godwitcleat::coordination;
namespace core = godwitcleat::core;
namespace protocol = godwitcleat::protocol;
namespace state = godwitcleat::state;
namespace transport = godwitcleat::transport;
using namespace std::chrono_literals;

namespace
{

constexpr int servers = 4;
constexpr int first_port = 1000;

/** What the network does with one attempt. */
enum class fate
{
    answer,     ///< Runs and answers after the delay, unless too late.
    duplicate,  ///< As answer, and the result arrives twice.
    lost,       ///< Runs; the answer is lost.
    lost_early, ///< The request is lost after it was written.
    run_late,   ///< Runs after the caller was told of a timeout.
    cut_after,  ///< Runs; the connection is cut before the answer ends.
    cut_before, ///< The connection is cut before the request is read.
    refused,    ///< No connection; nothing is written.
    not_run,    ///< The server itself says not-run.
    swapped,    ///< Runs; the answer to another request arrives.
    misdirected ///< Another backend server has the address now, and says so.
};

struct attempt_plan
{
    fate what = fate::answer;
    int delay_ms = 5;
};

struct request_plan
{
    bool idempotent = false;
    int gap_ms = 1; ///< After the request before.
};

struct table_plan
{
    int at_ms = 0;
    unsigned leaving = 0; ///< Bit for each server.
};

struct schedule
{
    std::vector<request_plan> requests;
    std::vector<attempt_plan> attempts; ///< In order; then all answer.
    std::vector<table_plan> tables;
};

/** What callers and backend servers saw. */
struct history
{
    struct entry
    {
        bool idempotent = false;
        int runs = 0;
        std::vector<transport::http_response> replies;
    };
    std::map<std::string, entry> requests;
    int sent_to_leaving = 0;
};

auto body_for(std::string_view id) -> std::string
{
    return "answer to " + std::string{id};
}

/** Returns the rules that @p seen breaks. */
auto violations(history const& seen) -> std::vector<std::string>
{
    auto result = std::vector<std::string>{};
    auto const expect = [&](bool holds, std::string const& rule)
    {
        if (!holds)
        {
            result.push_back(rule);
        }
    };
    for (auto const& [id, it] : seen.requests)
    {
        expect(it.replies.size() == 1, id + ": exactly one reply");
        expect(it.idempotent || it.runs <= 1, id + ": at most once");
        for (auto const& reply : it.replies)
        {
            auto const outcome = reply.headers.get("X-Outcome");
            expect(reply.headers.get("X-Request-Id") == id, id + ": own id");
            if (reply.status == 200)
            {
                expect(reply.body == body_for(id), id + ": own whole answer");
                expect(it.runs > 0, id + ": an answer means that it ran");
            }
            else if (outcome == "not-run")
            {
                expect(it.runs == 0, id + ": true not-run");
                expect(reply.status == 503, id + ": status of not-run");
            }
            else
            {
                expect(
                    outcome == "unknown" &&
                        (reply.status == 502 || reply.status == 504),
                    id + ": outcome of a failure");
            }
        }
    }
    expect(seen.sent_to_leaving == 0, "nothing new to leaving servers");
    return result;
}

/** Runs a gateway against a schedule with a manual clock. */
class fake_network
{
public:
    explicit fake_network(
        schedule plan, coordination::gateway_faults faults = {})
        : plan_(std::move(plan))
        , router_(clock_.reader(), random_, coordination::default_policy())
        , gateway_(
              {clock_.reader(), router_,
               [this](core::service_id const& it) { return lookup(it); },
               [this](auto const& where, auto request, auto timeout, auto done)
               { send(where, std::move(request), timeout, std::move(done)); },
               counters_, events_, core::null_logger()},
              faults)
    {
        set_table(0);
    }

    auto run() -> history
    {
        auto at = core::duration{};
        for (std::size_t i = 0; i < plan_.requests.size(); ++i)
        {
            at += std::chrono::milliseconds{plan_.requests[i].gap_ms};
            later(at, [this, i] { call(plan_.requests[i], i); });
        }
        for (auto const& it : plan_.tables)
        {
            later(
                std::chrono::milliseconds{it.at_ms},
                [this, it] { set_table(it.leaving); });
        }
        drain_queue();
        return seen_;
    }

    /** Handles one request to its end. */
    auto handle(transport::http_request request) -> transport::http_response
    {
        auto result = transport::http_response{};
        gateway_.handle(
            std::move(request), [&](auto it) { result = std::move(it); });
        drain_queue();
        return result;
    }

    auto gateway() -> coordination::gateway&
    {
        return gateway_;
    }

    auto sent() const -> std::vector<transport::http_request> const&
    {
        return sent_;
    }

    auto asked() const -> std::vector<int> const&
    {
        return asked_;
    }

    auto counter(std::string const& name) const -> double
    {
        for (auto const& it : counters_.samples())
        {
            if (it.name == name)
            {
                return it.value;
            }
        }
        return 0.0;
    }

    auto set_table(unsigned leaving) -> void
    {
        leaving_ = leaving;
        auto table = protocol::endpoint_table{
            core::shard_id{1}, core::epoch{1}, ++version_, {}};
        for (int i = 0; i < servers; ++i)
        {
            auto const name = std::to_string(first_port + i);
            table.endpoints.push_back(
                {core::service_id{"desk"}, core::backend_server_id{name},
                 "127.0.0.1:" + name, core::data_centre_id{"a"},
                 ((leaving >> static_cast<unsigned>(i)) & 1U) != 0});
        }
        router_.update_table(std::move(table));
    }

private:
    auto lookup(core::service_id const& it) const
        -> std::optional<state::service_config>
    {
        if (it.value != "desk")
        {
            return std::nullopt;
        }
        auto result = state::service_config{};
        result.service = it;
        result.default_deadline_ms = 100;
        return result;
    }

    auto later(core::duration delay, std::function<void()> what) -> void
    {
        queue_.emplace(now_ + delay, std::move(what));
    }

    auto drain_queue() -> void
    {
        while (!queue_.empty())
        {
            auto const it = queue_.begin();
            auto const what = std::move(it->second);
            clock_.advance(it->first - now_);
            now_ = it->first;
            queue_.erase(it);
            what();
        }
    }

    auto call(request_plan const& plan, std::size_t index) -> void
    {
        auto const id = "r" + std::to_string(index);
        seen_.requests[id].idempotent = plan.idempotent;
        auto request = transport::http_request{};
        request.method = plan.idempotent ? "GET" : "POST";
        request.target = "/s/desk/check";
        request.headers.set("X-Request-Id", id);
        gateway_.handle(
            std::move(request), [this, id](auto it)
            { seen_.requests[id].replies.push_back(std::move(it)); });
    }

    auto run_work(std::string const& id) -> void
    {
        ++seen_.requests[id].runs;
    }

    using handler = std::function<void(transport::http_result)>;

    auto send(
        transport::endpoint const& where, transport::http_request request,
        core::duration timeout, handler done) -> void
    {
        auto const server = static_cast<unsigned>(where.port - first_port);
        seen_.sent_to_leaving += ((leaving_ >> server) & 1U) != 0 ? 1 : 0;
        auto const plan = next_ < plan_.attempts.size()
                              ? plan_.attempts[next_++]
                              : attempt_plan{};
        auto const id = std::string{request.headers.get("X-Request-Id")};
        sent_.push_back(std::move(request));
        asked_.push_back(where.port);
        auto const delay =
            core::duration{std::chrono::milliseconds{plan.delay_ms}};
        act(plan.what, id, delay, timeout, std::move(done));
    }

    auto
    act(fate what, std::string const& id, core::duration delay,
        core::duration timeout, handler done) -> void
    {
        using progress = transport::send_progress;
        auto const fail =
            [this,
             done](core::duration after, core::error_kind kind, progress how)
        {
            later(after, [=] { done({std::nullopt, {kind, "planned"}, how}); });
        };
        auto const runs = what != fate::lost_early &&
                          what != fate::cut_before && what != fate::refused &&
                          what != fate::not_run && what != fate::misdirected;
        if (runs)
        {
            later(
                what == fate::run_late ? timeout + delay : delay / 2,
                [this, id] { run_work(id); });
        }
        auto const cut = what == fate::cut_after || what == fate::cut_before;
        auto const silent = what == fate::lost || what == fate::lost_early ||
                            what == fate::run_late;
        if (what == fate::refused)
        {
            fail(
                std::min(delay, timeout), core::error_kind::unavailable,
                progress::nothing_written);
        }
        else if (silent || delay >= timeout)
        {
            fail(timeout, core::error_kind::timeout, progress::maybe_written);
        }
        else if (cut)
        {
            fail(delay, core::error_kind::unavailable, progress::maybe_written);
        }
        else
        {
            respond(what, id, delay, done);
        }
    }

    auto respond(
        fate what, std::string const& id, core::duration delay,
        handler const& done) -> void
    {
        auto result = transport::http_result{};
        result.response = transport::http_response{};
        result.progress = transport::send_progress::maybe_written;
        auto const shown = what == fate::swapped ? id + "x" : id;
        result.response->headers.set("x-request-id", shown);
        result.response->headers.set("Connection", "close, X-Hop");
        result.response->headers.set("X-Hop", "1");
        result.response->body = body_for(shown);
        if (what == fate::not_run)
        {
            result.response->status = 503;
            result.response->headers.set("X-Outcome", "not-run");
        }
        if (what == fate::misdirected)
        {
            result.response->status = 421;
            result.response->headers.set("X-Outcome", "not-run");
        }
        later(delay, [=] { done(result); });
        if (what == fate::duplicate)
        {
            later(delay + 1ms, [=] { done(result); });
        }
    }

    schedule plan_;
    core::manual_clock clock_;
    core::random_source random_{3};
    core::metrics counters_;
    core::timeline events_{core::instance_id{"i"}, 100};
    history seen_;
    std::multimap<core::duration, std::function<void()>> queue_;
    core::duration now_{};
    std::size_t next_ = 0;
    std::uint64_t version_ = 0;
    unsigned leaving_ = 0;
    std::vector<transport::http_request> sent_;
    std::vector<int> asked_; ///< Ports, which name the servers, as `sent_`.
    coordination::router router_;
    coordination::gateway gateway_;
};

auto any_schedule() -> rc::Gen<schedule>
{
    auto const request = rc::gen::build<request_plan>(
        rc::gen::set(&request_plan::idempotent),
        rc::gen::set(&request_plan::gap_ms, rc::gen::inRange(0, 20)));
    auto const attempt = rc::gen::build<attempt_plan>(
        rc::gen::set(
            &attempt_plan::what,
            rc::gen::map(
                rc::gen::inRange(0, static_cast<int>(fate::misdirected) + 1),
                [](int it) { return static_cast<fate>(it); })),
        rc::gen::set(&attempt_plan::delay_ms, rc::gen::inRange(0, 130)));
    auto const table = rc::gen::build<table_plan>(
        rc::gen::set(&table_plan::at_ms, rc::gen::inRange(0, 400)),
        rc::gen::set(&table_plan::leaving, rc::gen::inRange(0U, 16U)));
    return rc::gen::build<schedule>(
        rc::gen::set(
            &schedule::requests,
            rc::gen::container<std::vector<request_plan>>(request)),
        rc::gen::set(
            &schedule::attempts,
            rc::gen::container<std::vector<attempt_plan>>(attempt)),
        rc::gen::set(
            &schedule::tables,
            rc::gen::container<std::vector<table_plan>>(table)));
}

auto text_of(std::vector<std::string> const& lines) -> std::string
{
    auto result = std::string{};
    for (auto const& it : lines)
    {
        result += it + "\n";
    }
    return result;
}

/** Expects that only the gateway with the fault breaks @p rule. */
auto expect_caught(
    schedule const& plan, coordination::gateway_faults faults,
    std::string const& rule) -> void
{
    auto const sound = violations(fake_network{plan}.run());
    EXPECT_TRUE(sound.empty()) << text_of(sound);
    auto const found = text_of(violations(fake_network{plan, faults}.run()));
    EXPECT_NE(found.find(rule), std::string::npos) << found;
}

auto get(std::string target) -> transport::http_request
{
    auto result = transport::http_request{};
    result.target = std::move(target);
    return result;
}

} // namespace

// Guards against a second run, a false not-run, a foreign or partial answer, a
// missing or second reply, and requests to leaving servers.
RC_GTEST_PROP(gateway, history_holds_on_any_schedule, ())
{
    auto network = fake_network{*any_schedule()};
    auto const found = violations(network.run());
    RC_LOG(text_of(found));
    RC_ASSERT(found.empty());
    RC_ASSERT(network.gateway().in_flight() == 0U);
}

// Guards against a checker that accepts a second run.
TEST(gateway_checker, rejects_retries_of_non_idempotent_requests)
{
    expect_caught(
        {{{false, 1}}, {{fate::cut_after, 5}}, {}},
        {.retry_non_idempotent = true}, "at most once");
}

// Guards against a checker that accepts a not-run that is false at once or
// only later.
TEST(gateway_checker, rejects_false_not_run)
{
    for (auto const what : {fate::cut_after, fate::lost, fate::run_late})
    {
        expect_caught(
            {{{false, 1}}, {{what, 5}}, {}}, {.not_run_after_write = true},
            "true not-run");
    }
}

// Guards against a not-run that a later refusal makes of an attempt that ran.
TEST(gateway_checker, rejects_not_run_after_an_earlier_attempt_ran)
{
    auto const plan = schedule{
        {{true, 1}},
        {{fate::cut_after, 1}, {fate::not_run, 1}, {fate::refused, 1}},
        {}};
    expect_caught(plan, {.not_run_after_write = true}, "true not-run");
}

// Guards against a checker that accepts the answer to another request.
TEST(gateway_checker, rejects_foreign_answers)
{
    expect_caught(
        {{{false, 1}, {true, 1}}, {{fate::swapped, 5}, {fate::swapped, 5}}, {}},
        {.ignore_request_id = true}, "own whole answer");
}

// Guards against a checker that accepts requests to leaving servers.
TEST(gateway_checker, rejects_requests_to_leaving_servers)
{
    auto plan = schedule{};
    plan.requests.resize(30);
    plan.tables = {{1, 7U}};
    expect_caught(plan, {.ignore_leaving = true}, "leaving servers");
}

// Guards against refusals that do not tell the caller what to do.
TEST(gateway, refusals_name_outcome_and_remedy)
{
    auto network = fake_network{{}};
    auto const unknown = network.handle(get("/s/stock/x"));
    EXPECT_EQ(unknown.status, 404);
    EXPECT_EQ(unknown.headers.get("X-Outcome"), "not-run");
    EXPECT_NE(unknown.body.find("godwitcleatctl publish"), std::string::npos);
    EXPECT_EQ(network.handle(get("/elsewhere")).status, 404);
    auto request = get("/s/desk/x");
    request.headers.set("X-Deadline-Ms", "soon");
    EXPECT_EQ(network.handle(request).status, 400);
    network.set_table(15U);
    auto const none = network.handle(get("/s/desk/x"));
    EXPECT_EQ(none.status, 503);
    EXPECT_EQ(none.headers.get("X-Outcome"), "not-run");
    EXPECT_FALSE(none.headers.get("Retry-After").empty());
    EXPECT_TRUE(network.sent().empty());
}

// Guards against fields of one connection that reach the other one, and
// against a lost request id or deadline.
TEST(gateway, passes_end_to_end_fields_only)
{
    auto network = fake_network{{}};
    auto request = get("/s/desk/a/b?c=d");
    request.headers.values = {
        {"connection", "X-Private, X-Request-Id"},
        {"X-Private", "1"},
        {"TE", "trailers"},
        {"Accept", "text/plain"},
        {"X-Request-Id", "mine-1"}};
    auto const answer = network.handle(request);
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.headers.get("X-Request-Id"), "mine-1");
    EXPECT_TRUE(answer.headers.get("X-Hop").empty());
    EXPECT_TRUE(answer.headers.get("Connection").empty());
    ASSERT_EQ(network.sent().size(), 1U);
    auto const& sent = network.sent().front();
    EXPECT_EQ(sent.target, "/a/b?c=d");
    EXPECT_TRUE(sent.headers.get("X-Private").empty());
    EXPECT_TRUE(sent.headers.get("TE").empty());
    EXPECT_EQ(sent.headers.get("Accept"), "text/plain");
    EXPECT_EQ(sent.headers.get("X-Request-Id"), "mine-1");
    EXPECT_EQ(sent.headers.get("X-Deadline-Ms"), "100");
}

// Guards against a request that a later backend server at the address runs.
TEST(gateway, a_request_for_a_former_backend_server_goes_to_another)
{
    auto network = fake_network{{{}, {{fate::misdirected, 5}}, {}}};
    auto request = get("/s/desk/a");
    request.method = "POST";
    request.headers.set("X-Backend-Server", "mine");
    EXPECT_EQ(network.handle(request).status, 200);
    ASSERT_EQ(network.sent().size(), 2U);
    auto const first = network.sent()[0].headers.get("X-Backend-Server");
    auto const second = network.sent()[1].headers.get("X-Backend-Server");
    EXPECT_EQ(first, std::to_string(network.asked()[0]));
    EXPECT_EQ(second, std::to_string(network.asked()[1]));
    EXPECT_NE(first, second);
}

// Guards against ids that could be used to forge header fields.
TEST(gateway, replaces_invalid_request_ids)
{
    auto network = fake_network{{}};
    auto request = get("/s/desk/a");
    request.headers.set("X-Request-Id", "a b");
    auto const answer = network.handle(request);
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.headers.get("X-Request-Id").size(), 16U);
}

// Guards against retries that multiply the load when everything fails.
TEST(gateway, retries_stay_within_the_budget)
{
    auto plan = schedule{};
    plan.requests.assign(400, {true, 1});
    plan.attempts.assign(2000, {fate::cut_before, 1});
    auto network = fake_network{plan};
    network.run();
    EXPECT_LE(network.counter("gateway_retries_total"), 50.0);
    EXPECT_GE(network.counter("gateway_retries_total"), 40.0);
}

// Guards against mismatches that nobody sees.
TEST(gateway, counts_dropped_answers)
{
    auto network = fake_network{{{}, {{fate::swapped, 5}}, {}}};
    EXPECT_EQ(network.handle(get("/s/desk/a")).status, 200);
    EXPECT_EQ(network.counter("gateway_mismatched_answers_total"), 1.0);
}

// Guards against requests that the balancer still sends being dropped during
// the drain delay.
TEST(gateway, drain_keeps_answering)
{
    auto network = fake_network{{}};
    EXPECT_TRUE(network.gateway().ready());
    network.gateway().drain();
    EXPECT_FALSE(network.gateway().ready());
    EXPECT_EQ(network.handle(get("/s/desk/a")).status, 200);
    EXPECT_EQ(network.gateway().in_flight(), 0U);
}
