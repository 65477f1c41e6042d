/** @file gateway_base.cpp Requests of callers, sent to backend servers. */
#include "coordination/gateway_base.hpp"

#include "coordination/admission_base.hpp"
#include "coordination/request_policy_func.hpp"
#include "coordination/retry_budget_base.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <mutex>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace godwitcleat::coordination
{

namespace
{

constexpr std::size_t shard_count = 16;
constexpr std::size_t most_attempts = 3;

/// Refusals come in thousands during an overload; more events of them would
/// push all others out of the time line.
constexpr core::duration refusal_event_interval = std::chrono::seconds{1};

/// The first attempt of an idempotent request waits at least this many mean
/// latencies before another backend server is tried.
constexpr int patience = 8;

constexpr std::string_view retry_after_s = "1";

constexpr int bad_request = 400;
constexpr int not_found = 404;
constexpr int bad_gateway = 502;
constexpr int service_unavailable = 503;
constexpr int gateway_timeout = 504;

struct service_record
{
    retry_budget budget;
    admission queue;
    std::optional<core::time_point> last_refusal_event;
};

struct service_shard
{
    std::mutex mutex;
    std::unordered_map<core::service_id, service_record> services;
};

/** One request of a caller. Only one thread works on it at a time. */
struct call
{
    transport::http_request request; ///< As backend servers get it.
    transport::http_reply reply;
    core::service_id service;
    core::request_id id;
    std::size_t slots = 0; ///< Of one backend server.
    bool idempotent = false;
    /// Latest outcome of an attempt that may have run; no later refusal can
    /// take it back.
    std::optional<attempt_outcome> uncertain;
    core::time_point began;
    core::time_point deadline;
    std::vector<core::backend_server_id> tried;
};

using call_pointer = std::shared_ptr<call>;

auto is_known_method(std::string_view method) -> bool
{
    constexpr std::array<std::string_view, 7> known{
        "GET", "HEAD", "PUT", "DELETE", "OPTIONS", "POST", "PATCH"};
    return std::find(known.begin(), known.end(), method) != known.end();
}

/** Builds an answer of the gateway itself. */
auto refusal(int status, std::string_view outcome, core::failure const& reason)
    -> transport::http_response
{
    auto response = transport::http_response{};
    response.status = status;
    response.headers.set("Content-Type", "application/json");
    response.headers.set(outcome_header, outcome);
    if (status == service_unavailable)
    {
        response.headers.set("Retry-After", retry_after_s);
    }
    auto const body = nlohmann::json{
        {"error", std::string{core::to_string(reason.kind)}},
        {"message", reason.message}};
    response.body =
        body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return response;
}

auto outcome_name(attempt_outcome outcome) -> std::string_view
{
    switch (outcome)
    {
    case attempt_outcome::answered: return "answered";
    case attempt_outcome::not_run: return "not_run";
    case attempt_outcome::unknown: return "connection_failed";
    case attempt_outcome::timed_out: return "timed_out";
    case attempt_outcome::mismatch: return "wrong_request_id";
    }
    return "unknown";
}

auto to_ms(core::duration value) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

} // namespace

struct gateway::implementation
    : std::enable_shared_from_this<gateway::implementation>
{
    gateway_parts parts;
    gateway_faults faults;
    std::atomic<bool> draining{false};
    std::atomic<std::size_t> in_flight{0};
    std::array<service_shard, shard_count> shards;

    implementation(gateway_parts with, gateway_faults having)
        : parts(std::move(with))
        , faults(having)
    {
    }

    /** Calls @p use with the record of @p service under its lock. */
    template <class Use>
    auto with_record(core::service_id const& service, Use use)
    {
        auto& shard = shards[core::stable_hash(service.value) % shard_count];
        auto const lock = std::scoped_lock{shard.mutex};
        return use(shard.services[service]);
    }

    auto queue_of(call const& it) const -> queue_state
    {
        auto const load = parts.routes.load(it.service);
        return {
            load.in_flight, load.usable * it.slots, load.own_in_flight,
            load.instances};
    }

    auto record_event(
        std::string kind, core::request_id const& id, std::string detail) const
        -> void
    {
        auto event = core::timeline_event{};
        event.part = "gateway";
        event.kind = std::move(kind);
        event.request = id;
        event.detail = std::move(detail);
        parts.events.record(std::move(event));
    }

    auto note_refusal(
        core::service_id const& service, core::request_id const& id,
        std::string const& detail) -> void
    {
        parts.counters.count("gateway_refusals_total");
        auto const now = parts.now();
        auto const due = with_record(
            service,
            [now](service_record& it)
            {
                if (it.last_refusal_event &&
                    now - *it.last_refusal_event < refusal_event_interval)
                {
                    return false;
                }
                it.last_refusal_event = now;
                return true;
            });
        if (due)
        {
            record_event("request_refused", id, detail);
        }
    }

    auto answer(call const& it, transport::http_response response) -> void
    {
        response.headers.set(request_id_header, it.id.value);
        auto const elapsed =
            std::chrono::duration<double>(parts.now() - it.began).count();
        parts.counters.observe("gateway_request_seconds", elapsed);
        it.reply(std::move(response));
        --in_flight;
    }

    /** Answers a request that certainly did not run. */
    auto refuse(call const& it, int status, core::failure const& reason) -> void
    {
        note_refusal(
            it.service, it.id,
            fmt::format("{}: {}", it.service.value, reason.message));
        answer(it, refusal(status, outcome_not_run, reason));
    }

    auto answer_unknown(call const& it, attempt_outcome last) -> void
    {
        auto const late =
            last == attempt_outcome::timed_out || parts.now() >= it.deadline;
        auto const reason = core::failure{
            late ? core::error_kind::timeout
                 : core::error_kind::unknown_outcome,
            fmt::format(
                "service \"{}\" gave no usable answer ({}); the request may "
                "have run, so check its effect before repeating it",
                it.service.value, outcome_name(last))};
        parts.counters.count("gateway_unknown_total");
        record_event("request_unknown", it.id, reason.message);
        answer(
            it,
            refusal(
                late ? gateway_timeout : bad_gateway, outcome_unknown, reason));
    }

    /** Answers a request for which no further attempt can be made. */
    auto give_up(call const& it, core::failure const& reason) -> void
    {
        if (it.uncertain && !faults.not_run_after_write)
        {
            answer_unknown(it, *it.uncertain);
            return;
        }
        refuse(it, service_unavailable, reason);
    }

    /** Returns how long to wait for one attempt. */
    auto attempt_timeout(call const& it, core::duration remaining) const
        -> core::duration
    {
        if (!it.idempotent || !it.tried.empty())
        {
            return remaining;
        }
        auto const load = parts.routes.load(it.service);
        if (load.usable < 2)
        {
            return remaining;
        }
        return std::min(
            remaining, std::max(remaining / 2, patience * load.mean_latency));
    }

    /** Makes the next attempt. */
    auto attempt(call_pointer const& it) -> void
    {
        auto const remaining = it->deadline - parts.now();
        if (to_ms(remaining) < 1)
        {
            give_up(
                *it, {core::error_kind::timeout,
                      "the deadline passed before the request was sent; retry "
                      "with a longer X-Deadline-Ms"});
            return;
        }
        auto const timeout = attempt_timeout(*it, remaining);
        auto options = choice_options{it->tried, faults.ignore_leaving};
        auto choice = parts.routes.choose(it->service, options);
        if (!choice)
        {
            give_up(*it, core::last_reason());
            return;
        }
        it->tried.push_back(choice->backend_server);
        auto request = it->request;
        request.headers.set(
            deadline_header, fmt::format("{}", to_ms(remaining)));
        request.headers.set(
            backend_server_header, choice->backend_server.value);
        auto const began = parts.now();
        auto done = std::make_shared<std::atomic<bool>>(false);
        auto const where = choice->where;
        parts.send(
            where, std::move(request), timeout,
            [self = shared_from_this(), it, done, began,
             choice = std::move(*choice)](transport::http_result result)
            {
                if (done->exchange(true))
                {
                    self->parts.counters.count(
                        "gateway_duplicate_results_total");
                    return;
                }
                self->finish(it, choice, began, std::move(result));
            });
    }

    auto finish(
        call_pointer const& it, backend_choice const& choice,
        core::time_point began, transport::http_result result) -> void
    {
        auto outcome = outcome_of(result, it->id.value);
        if (outcome == attempt_outcome::mismatch && faults.ignore_request_id)
        {
            outcome = attempt_outcome::answered;
        }
        auto const elapsed = parts.now() - began;
        if (outcome == attempt_outcome::answered)
        {
            auto const queue = queue_of(*it);
            with_record(
                it->service, [&](service_record& record)
                { record.queue.note_answer(elapsed, queue); });
            parts.routes.finish(choice, attempt_result::answered, elapsed);
            deliver(*it, std::move(*result.response));
            return;
        }
        // A timeout after a short deadline tells nothing about the server.
        auto const mean = parts.routes.load(it->service).mean_latency;
        auto const hasty =
            outcome == attempt_outcome::timed_out && elapsed < patience * mean;
        parts.routes.finish(
            choice, hasty ? attempt_result::cancelled : attempt_result::failed,
            elapsed);
        note_failure(*it, choice, outcome, result.reason);
        if (may_have_run(outcome))
        {
            it->uncertain = outcome;
        }
        if (may_try_again(*it, outcome))
        {
            parts.counters.count("gateway_retries_total");
            attempt(it);
            return;
        }
        give_up(
            *it, {core::error_kind::unavailable,
                  fmt::format(
                      "no backend server of service \"{}\" took the request; "
                      "retry later",
                      it->service.value)});
    }

    auto note_failure(
        call const& it, backend_choice const& choice, attempt_outcome outcome,
        core::failure const& reason) -> void
    {
        parts.counters.count("gateway_failed_attempts_total");
        if (outcome == attempt_outcome::mismatch)
        {
            parts.counters.count("gateway_mismatched_answers_total");
            record_event(
                "answer_dropped", it.id,
                fmt::format(
                    "{} answered with another request id",
                    choice.backend_server.value));
        }
        parts.log.debug(
            "attempt failed", {{"service", it.service.value},
                               {"request", it.id.value},
                               {"backend_server", choice.backend_server.value},
                               {"outcome", outcome_name(outcome)},
                               {"reason", reason.message}});
    }

    auto may_try_again(call const& it, attempt_outcome outcome) -> bool
    {
        auto const allowed =
            may_retry(outcome, it.idempotent) || faults.retry_non_idempotent;
        if (!allowed || it.tried.size() >= most_attempts ||
            parts.now() >= it.deadline)
        {
            return false;
        }
        auto const taken = with_record(
            it.service, [](service_record& x) { return x.budget.take(); });
        if (!taken)
        {
            parts.counters.count("gateway_retry_budget_empty_total");
        }
        return taken;
    }

    auto deliver(call const& it, transport::http_response response) -> void
    {
        // The length of an answer to HEAD is that of the absent body.
        auto const length = std::string{response.headers.get("Content-Length")};
        remove_hop_by_hop(response.headers);
        if (it.request.method == "HEAD" && !length.empty())
        {
            response.headers.set("Content-Length", length);
        }
        // Only refusals may carry it; see outcome_of().
        response.headers.remove(outcome_header);
        parts.counters.count("gateway_answers_total");
        answer(it, std::move(response));
    }

    /** Reads the call from @p request; std::nullopt with the reason. */
    auto parse(transport::http_request& request, call& into)
        -> std::optional<state::service_config>
    {
        auto target = parse_service_target(request.target);
        if (!target)
        {
            return std::nullopt;
        }
        into.service = target->service;
        auto config = parts.find_service(target->service);
        if (!config)
        {
            return core::fail(
                core::error_kind::not_found,
                fmt::format(
                    "service \"{}\" is not in the configuration; check the "
                    "name or publish its INI file with `godwitcleatctl "
                    "publish`",
                    target->service.value));
        }
        if (!is_known_method(request.method))
        {
            return core::fail(
                core::error_kind::invalid_input,
                fmt::format("method \"{}\" is not supported", request.method));
        }
        auto const allowed = parse_deadline(
            request, std::chrono::milliseconds{config->default_deadline_ms});
        if (!allowed)
        {
            return std::nullopt;
        }
        into.deadline = into.began + *allowed;
        into.slots = config->slots;
        into.idempotent = is_idempotent(request);
        request.target = std::move(target->rest);
        return config;
    }

    auto admit(call const& it) -> std::optional<core::duration>
    {
        auto const queue = queue_of(it);
        auto const remaining = it.deadline - parts.now();
        return with_record(
            it.service,
            [&](service_record& record) -> std::optional<core::duration>
            {
                record.budget.add_request();
                if (record.queue.admits(remaining, queue))
                {
                    return remaining;
                }
                if (record.queue.is_full(queue))
                {
                    parts.counters.count("gateway_queue_full_total");
                    return core::fail(
                        core::error_kind::no_capacity,
                        fmt::format(
                            "service \"{}\" has {:.0f} requests in flight for "
                            "{} slots; retry later or add runners",
                            it.service.value, queue.in_flight, queue.slots));
                }
                return core::fail(
                    core::error_kind::no_capacity,
                    fmt::format(
                        "service \"{}\" has a queue of {} ms and the request "
                        "has {} ms left; retry later",
                        it.service.value,
                        to_ms(record.queue.expected_wait(queue)),
                        to_ms(remaining)));
            });
    }
};

gateway::gateway(gateway_parts parts, gateway_faults faults)
    : implementation_(
          std::make_shared<implementation>(std::move(parts), faults))
{
}
gateway::~gateway() = default;

auto gateway::handle(
    transport::http_request request, transport::http_reply reply) -> void
{
    auto& self = *implementation_;
    ++self.in_flight;
    self.parts.counters.count("gateway_requests_total");
    auto it = std::make_shared<call>();
    it->reply = std::move(reply);
    it->began = self.parts.now();
    auto const id = request.headers.get(request_id_header);
    it->id = core::request_id{
        is_valid_request_id(id) ? std::string{id} : core::unique_id()};
    if (!self.parse(request, *it))
    {
        auto const& reason = core::last_reason();
        auto const missing = reason.kind == core::error_kind::not_found;
        self.parts.counters.count("gateway_rejects_total");
        self.answer(
            *it,
            refusal(
                missing ? not_found : bad_request, outcome_not_run, reason));
        return;
    }
    remove_hop_by_hop(request.headers);
    request.headers.set(request_id_header, it->id.value);
    request.headers.remove(outcome_header);
    it->request = std::move(request);
    if (!self.admit(*it))
    {
        self.refuse(*it, service_unavailable, core::last_reason());
        return;
    }
    self.attempt(it);
}

auto gateway::drain() -> void
{
    if (!implementation_->draining.exchange(true))
    {
        implementation_->parts.log.info(
            "draining", {{"in_flight", implementation_->in_flight.load()}});
    }
}

auto gateway::ready() const -> bool
{
    return !implementation_->draining;
}

auto gateway::in_flight() const -> std::size_t
{
    return implementation_->in_flight;
}

} // namespace godwitcleat::coordination
