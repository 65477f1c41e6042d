/** @file hosted_runner_base.cpp A worker of the hosting platform, over HTTP. */
#include "standins/support/hosted_runner_base.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace godwitcleat::standins
{

namespace
{

using nlohmann::json;

constexpr auto tick_interval = std::chrono::milliseconds{5};
constexpr auto beat_interval = std::chrono::milliseconds{200};
constexpr auto serving_tail_ms = 8;
constexpr auto used_milli = 1000;
// The platform's limit of a lease in the tests.
constexpr auto lease_limit_ms = std::int64_t{2000};

auto respond(transport::http_reply const& reply, int status, json const& body)
    -> void
{
    auto response = transport::http_response{};
    response.status = status;
    response.body = body.dump();
    reply(std::move(response));
}

} // namespace

auto runner_history::begin(runner_start start) -> std::size_t
{
    auto const lock = std::scoped_lock{mutex_};
    if (on_line)
    {
        on_line(json{
            {"event", "start"},
            {"at_us", core::wall_clock_us()},
            {"task", start.task},
            {"run", start.run},
            {"worker", start.worker}}
                    .dump());
    }
    starts_.push_back(std::move(start));
    return starts_.size() - 1;
}

auto runner_history::end(std::size_t index, core::time_point at, bool done)
    -> void
{
    auto const lock = std::scoped_lock{mutex_};
    auto& it = starts_.at(index);
    it.ended = at;
    it.done = done;
    if (on_line)
    {
        on_line(json{
            {"event", done ? "done" : "end"},
            {"at_us", core::wall_clock_us()},
            {"task", it.task},
            {"run", it.run},
            {"worker", it.worker}}
                    .dump());
    }
}

auto runner_history::all() const -> std::vector<runner_start>
{
    auto const lock = std::scoped_lock{mutex_};
    return starts_;
}

hosted_runner::hosted_runner(
    coordination::store& store, transport::reactor& loop,
    runner_history& history, hosted_runner_settings settings)
    : store_(store)
    , loop_(loop)
    , history_(history)
    , settings_(std::move(settings))
    , born_(clock_())
    , born_ms_(core::wall_clock_us() / 1000)
{
}

hosted_runner::~hosted_runner()
{
    if (server_)
    {
        server_->close(); // A request during the wait is not answered.
    }
    gate_.close();
    for (auto const& it : running_)
    {
        history_.end(it.history, clock_(), false);
    }
}

auto hosted_runner::start() -> std::optional<bool>
{
    server_ = transport::http_server::listen(
        loop_, {"127.0.0.1", 0}, {},
        gate_.guarded([this](auto const& request, auto reply)
                      { handle(request, std::move(reply)); }));
    if (!server_)
    {
        return std::nullopt;
    }
    beat();
    timers_.push_back(
        loop_.every(tick_interval, gate_.guarded([this] { tick(); })));
    timers_.push_back(
        loop_.every(beat_interval, gate_.guarded([this] { beat(); })));
    return true;
}

auto hosted_runner::clock_ms() const -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               clock_() - born_)
        .count();
}

auto hosted_runner::beat() -> void
{
    if (!registers)
    {
        return;
    }
    auto const entry = json{
        {"service", settings_.service},
        {"address", transport::to_string(server_->local())},
        {"zone", settings_.data_centre},
        {"version", "v1"},
        {"slots", 8},
        {"state", draining ? "draining" : "ready"},
        {"remaining-ms", draining ? 1000 : 0},
        {"cold-ms", 0},
        {"capacity",
         {{"cpu", settings_.cpu_milli},
          {"mem-mb", settings_.memory_mb},
          {"gpu", 0}}},
        {"labels", {"a", settings_.rack}},
        {"born", born_ms_},
        {"seq", ++beats_}};
    store_.commit(
        {{}, {{"servers/" + settings_.id, entry.dump(), "", {}}}}, [](auto) {});
}

auto hosted_runner::handle(
    transport::http_request const& request, transport::http_reply reply) -> void
{
    auto const expected = request.headers.get("Godwitcleat-Expected-Instance");
    if (!expected.empty() && expected != settings_.id)
    {
        return respond(reply, 421, json::object());
    }
    if (request.target == "/api/hold")
    {
        return hold(request.body, std::move(reply));
    }
    if (request.target == "/api/run-start")
    {
        return begin(request.body, reply);
    }
    if (request.target == "/api/run-stop")
    {
        return stop(request.body, reply);
    }
    respond(reply, 200, {{"clock-ms", clock_ms()}});
}

auto hosted_runner::hold(std::string const& body, transport::http_reply reply)
    -> void
{
    auto const root = json::parse(body);
    auto const token = root.value("fencing-token", std::uint64_t{0});
    auto const lock = std::scoped_lock{mutex_};
    if (token < token_)
    {
        return respond(
            reply, 409, {{"clock-ms", clock_ms()}, {"reason", "fence"}});
    }
    token_ = token;
    auto const acknowledged = root.value("ack-cursor", std::uint64_t{0});
    std::erase_if(
        ended_,
        [acknowledged](auto const& it) { return it.number <= acknowledged; });
    if (root.contains("deadline-ms"))
    {
        auto const asked = root.at("deadline-ms").get<std::int64_t>();
        deadline_ms_ = std::max(
            deadline_ms_, std::min(asked, clock_ms() + lease_limit_ms));
    }
    auto const wait =
        std::chrono::milliseconds{root.value("wait-ms", std::int64_t{0})};
    held_.push_back({clock_() + wait, next_end_, std::move(reply)});
}

auto hosted_runner::begin(
    std::string const& body, transport::http_reply const& reply) -> void
{
    auto const root = json::parse(body);
    auto const task = root.at("task").get<std::string>();
    auto const number = root.at("run").get<std::uint64_t>();
    auto const lock = std::scoped_lock{mutex_};
    auto const refuse = [&](char const* reason)
    {
        respond(reply, 409, {{"clock-ms", clock_ms()}, {"reason", reason}});
    };
    auto const token = root.value("fencing-token", std::uint64_t{0});
    if (token < token_)
    {
        return refuse("fence");
    }
    token_ = token;
    auto const deadline = root.at("deadline-ms").get<std::int64_t>();
    if (deadline < clock_ms())
    {
        return refuse("late");
    }
    for (auto const& it : ended_)
    {
        if (it.task == task && it.run >= number)
        {
            return refuse("old");
        }
    }
    deadline_ms_ =
        std::max(deadline_ms_, std::min(deadline, clock_ms() + lease_limit_ms));
    auto const now = clock_();
    running_.push_back(
        make_run(task, number, root.value("spec", std::string{})));
    ++orders_;
    auto const lost =
        static_cast<double>(orders_ % 100) < settings_.late_share * 100;
    if (!lost)
    {
        respond(reply, 200, {{"clock-ms", clock_ms()}});
        return;
    }
    held_.push_back({now + std::chrono::seconds{2}, ~0ULL, reply});
}

auto hosted_runner::make_run(
    std::string task, std::uint64_t number, std::string const& command) -> run
{
    constexpr auto work = std::string_view{"work "};
    auto const now = clock_();
    auto result = run{};
    result.until = now + std::chrono::milliseconds{settings_.run_ms};
    result.outcome = "done";
    if (command == "fail")
    {
        result.until = now;
        result.outcome = "failed";
    }
    else if (command == "serve")
    {
        result.until = core::time_point::max();
    }
    else if (command.starts_with(work))
    {
        auto ms = std::int64_t{0};
        std::from_chars(
            command.data() + work.size(), command.data() + command.size(), ms);
        result.until = now + std::chrono::milliseconds{ms};
    }
    result.history =
        history_.begin({task, number, settings_.id, now, {}, false});
    result.task = std::move(task);
    result.number = number;
    return result;
}

auto hosted_runner::stop(
    std::string const& body, transport::http_reply const& reply) -> void
{
    auto const root = json::parse(body);
    auto const lock = std::scoped_lock{mutex_};
    if (root.value("fencing-token", std::uint64_t{0}) < token_)
    {
        return respond(
            reply, 409, {{"clock-ms", clock_ms()}, {"reason", "fence"}});
    }
    for (auto i = std::size_t{0}; i < running_.size(); ++i)
    {
        if (running_[i].task == root.at("task").get<std::string>() &&
            running_[i].number == root.at("run").get<std::uint64_t>())
        {
            end(i, "stopped");
            break;
        }
    }
    respond(reply, 200, {{"clock-ms", clock_ms()}});
}

auto hosted_runner::end(std::size_t index, std::string how) -> void
{
    auto const& it = running_[index];
    history_.end(it.history, clock_(), how == "done");
    ended_.push_back({next_end_++, it.task, it.number, std::move(how)});
    running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(index));
}

auto hosted_runner::tick() -> void
{
    auto const lock = std::scoped_lock{mutex_};
    auto const now = clock_();
    auto const lapsed = clock_ms() > deadline_ms_;
    for (auto i = running_.size(); i-- > 0;)
    {
        if (lapsed)
        {
            end(i, "lapsed");
        }
        else if (now >= running_[i].until)
        {
            end(i, running_[i].outcome);
        }
    }
    std::erase_if(
        held_,
        [&](held const& it)
        {
            if (now < it.until && it.seen >= next_end_)
            {
                return false;
            }
            auto response = transport::http_response{};
            response.body = lists();
            it.reply(std::move(response));
            return true;
        });
}

auto hosted_runner::lists() const -> std::string
{
    auto root = json{
        {"clock-ms", clock_ms()},
        {"born", born_ms_},
        {"running", json::array()},
        {"ended", json::array()}};
    for (auto const& it : running_)
    {
        // Serving tasks report their tail in ms, others their milli-cores.
        auto const serves = it.until == core::time_point::max();
        root["running"].push_back(
            {it.task, it.number, "", 50,
             serves ? serving_tail_ms : used_milli});
    }
    for (auto const& it : ended_)
    {
        root["ended"].push_back({it.number, it.task, it.run, it.how, ""});
    }
    return root.dump();
}

} // namespace godwitcleat::standins
