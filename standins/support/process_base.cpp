/** @file process_base.cpp Connects a simulated worker to the daemons. */
#include "standins/support/process_base.hpp"

#include "protocol/protocol.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace godwitcleat::standins
{

namespace
{

constexpr int status_ok = 200;
constexpr int status_not_owner = 421;

// The simulated time moves in these steps; it bounds how late a task stops
// after the end of its lease.
constexpr auto tick_period = std::chrono::milliseconds{5};

// How long a daemon may hold a reply open.
constexpr auto reply_hold = std::chrono::milliseconds{1000};

// A second more than the hold. Three heartbeats fit into a lease of 12 s, even
// if two get no answer.
constexpr auto heartbeat_timeout = std::chrono::seconds{2};

// Least time between heartbeats that report changes, so that many short tasks
// are reported together.
constexpr auto change_gap = std::chrono::milliseconds{50};

// One whose reply is held and one that reports a change.
constexpr std::size_t most_in_flight = 2;

// A daemon that asks for complete reports again and again is left.
constexpr int most_refusals = 3;

// Pause before the next daemon is tried, so that an outage of all daemons
// causes few calls.
constexpr auto retry_pause = std::chrono::milliseconds{100};

// Daemons that disagree about the owner are left after this many answers.
constexpr int most_redirects = 3;

auto owner_of(std::string_view body) -> std::optional<transport::endpoint>
{
    auto const value = nlohmann::json::parse(body, nullptr, false);
    if (!value.is_object())
    {
        return std::nullopt;
    }
    auto const it = value.find("owner");
    if (it == value.end() || !it->is_string())
    {
        return std::nullopt;
    }
    return transport::parse_endpoint(it->get<std::string>());
}

} // namespace

worker_process::worker_process(
    transport::reactor& loop, process_settings settings, core::clock clock,
    core::logger log, history& record)
    : loop_(loop)
    , settings_(std::move(settings))
    , clock_(std::move(clock))
    , log_(std::move(log))
    , record_(record)
    , client_(loop, {})
    , worker_(
          settings_.worker,
          [this](worker_event const& event) { events_.push_back(event); })
    , target_(settings_.daemons.front())
    , next_send_(clock_())
{
}

auto worker_process::start() -> void
{
    auto const lock = std::scoped_lock{mutex_};
    timer_ = loop_.every(tick_period, [this] { tick(); });
}

auto worker_process::tick() -> void
{
    auto const lock = std::scoped_lock{mutex_};
    auto const now = clock_();
    worker_.advance(now);
    handle_events();
    if (may_send(now))
    {
        send(now);
    }
}

auto worker_process::may_send(core::time_point now) const -> bool
{
    if (in_flight_ == 0 && now >= next_send_)
    {
        return true;
    }
    return in_flight_ < most_in_flight && reported_ != worker_.changes() &&
           now >= sent_at_ + change_gap;
}

auto worker_process::send(core::time_point now) -> void
{
    auto report = writer_.write(worker_.make_report(now), now);
    report.hold_ms = static_cast<std::uint32_t>(reply_hold.count());
    reported_ = worker_.changes();
    handle_events();
    auto request = transport::http_request{};
    request.method = "POST";
    request.target = "/v1/heartbeat";
    request.headers.set("Content-Type", "application/msgpack");
    request.body = protocol::encode(report);
    ++in_flight_;
    latest_ = report.sequence;
    sent_at_ = now;
    next_send_ = now + worker_.heartbeat_interval();
    client_.send(
        target_, std::move(request), heartbeat_timeout,
        [this, sequence = report.sequence](transport::http_result result)
        { on_result(sequence, std::move(result)); });
}

auto worker_process::on_result(
    std::uint64_t sequence, transport::http_result result) -> void
{
    auto const lock = std::scoped_lock{mutex_};
    --in_flight_;
    auto const is_reply =
        result.response && result.response->status == status_ok;
    if (!is_reply && sequence != latest_)
    {
        return; // The later heartbeat shows which daemon to ask.
    }
    if (!result.response)
    {
        try_next(result.reason.message);
        return;
    }
    on_response(sequence, *result.response);
}

auto worker_process::on_response(
    std::uint64_t sequence, transport::http_response const& response) -> void
{
    if (response.status == status_ok)
    {
        on_reply(sequence, response.body);
        return;
    }
    if (response.status == status_not_owner)
    {
        follow(response.body);
        return;
    }
    try_next(fmt::format("status {}", response.status));
}

auto worker_process::on_reply(std::uint64_t sequence, std::string_view body)
    -> void
{
    auto const reply = protocol::decode<state::heartbeat_reply>(body);
    if (!reply)
    {
        try_next(core::last_reason().message);
        return;
    }
    if (reply->full_report_requested)
    {
        send_complete();
        return;
    }
    refusals_ = 0;
    if (!worker_.take_reply(sequence, *reply, clock_()))
    {
        if (sequence != latest_)
        {
            return; // It was overtaken by the reply to a later heartbeat.
        }
        auto const reason = core::last_reason().message;
        handle_events();
        try_next(reason);
        return;
    }
    writer_.acknowledge(sequence);
    redirects_ = 0;
    next_send_ = sent_at_ + worker_.heartbeat_interval();
    handle_events();
}

// The owner does not hold the report that the latest one builds on.
auto worker_process::send_complete() -> void
{
    writer_.reset();
    if (++refusals_ > most_refusals)
    {
        refusals_ = 0;
        try_next("complete reports were refused");
        return;
    }
    next_send_ = clock_();
}

auto worker_process::follow(std::string_view body) -> void
{
    auto const owner = owner_of(body);
    if (!owner || ++redirects_ > most_redirects)
    {
        try_next(owner ? "too many changes of owner" : "owner not known");
        return;
    }
    log_.info("following the owner", {{"owner", to_string(*owner)}});
    target_ = *owner;
    writer_.reset(); // The new owner holds no report.
    next_send_ = clock_();
}

auto worker_process::try_next(std::string_view reason) -> void
{
    redirects_ = 0;
    next_daemon_ = (next_daemon_ + 1) % settings_.daemons.size();
    log_.warn(
        "heartbeat failed",
        {{"daemon", to_string(target_)}, {"reason", reason}});
    target_ = settings_.daemons[next_daemon_];
    next_send_ = clock_() + retry_pause;
}

auto worker_process::handle_events() -> void
{
    for (auto const& it : std::exchange(events_, {}))
    {
        record_.write(to_json(it));
        log_.info(
            "task changed", {{"event", to_string(it.kind)},
                             {"job", it.key.job.value},
                             {"attempt", it.key.attempt.value}});
        if (it.kind == worker_event_kind::started)
        {
            open_runner(it);
        }
        else if (it.kind != worker_event_kind::checkpointed)
        {
            runners_.erase(it.key);
        }
    }
}

auto worker_process::open_runner(worker_event const& event) -> void
{
    if (event.spec.kind != state::job_kind::service)
    {
        return;
    }
    auto const script = parse_task_script(event.spec.command);
    if (!script)
    {
        return;
    }
    auto settings = runner_settings{};
    settings.listen.address = settings_.address;
    settings.worker = event.worker.value;
    settings.backend_server = state::backend_server_of(event.key).value;
    settings.serve_time = std::chrono::milliseconds{script->serve_ms};
    auto opened = runner::listen(loop_, settings, clock_, record_);
    if (!opened)
    {
        log_.error(
            "cannot open a runner", {{"reason", core::last_reason().message}});
        return;
    }
    worker_.set_endpoint(event.key, transport::to_string(opened->local()));
    runners_.emplace(event.key, std::move(*opened));
}

} // namespace godwitcleat::standins
