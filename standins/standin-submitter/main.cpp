/** @file main.cpp Hands in jobs of steps and records what callers see. */
#include "standins/support/history_base.hpp"
#include "standins/support/main_func.hpp"
#include "transport/transport.hpp"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <csignal>
#include <set>
#include <thread>

namespace core = godwitcleat::core;
namespace standins = godwitcleat::standins;
namespace transport = godwitcleat::transport;
using nlohmann::json;

namespace
{

constexpr std::size_t reactor_threads = 2;
constexpr auto poll_interval = std::chrono::milliseconds{300};
constexpr auto wait_interval = std::chrono::milliseconds{5};
constexpr auto connections_per_gateway = std::size_t{64};
// The gateway answers within the deadline that it is told, or not at all.
constexpr auto answer_slack = std::chrono::milliseconds{1000};

/** Options of the program. */
struct submitter_settings
{
    std::vector<transport::endpoint> gateways;
    std::string host;
    std::string prefix;
    std::string command;
    std::chrono::milliseconds duration{};
    std::chrono::milliseconds patience{}; ///< For the end of an accepted job.
    std::chrono::milliseconds deadline{};
    double rate = 0; ///< Jobs a second.
    int steps = 1;
    int tasks = 1; ///< Of each step.
    std::int64_t cpu_milli = 0;
    int classes = 0; ///< Tasks are of this many classes; 0: of none.
    bool fills = false;
    std::int64_t target_ms = 0;
    int retries = 0;
    double cancel_share = 0;
    std::uint64_t seed = 0;
};

auto make_options() -> cxxopts::Options
{
    auto options = cxxopts::Options{
        "standin-submitter",
        "Hands in jobs until the duration has passed, repeats calls without a "
        "clear answer, and waits for the ends of accepted jobs. Prints a "
        "summary; exits with 1 if an accepted job has no end."};
    auto add = options.add_options();
    add("gateway", "ADDRESS:PORT of a gateway; may be repeated",
        cxxopts::value<std::vector<std::string>>());
    add("host", "Host header",
        cxxopts::value<std::string>()->default_value("desk.example"));
    add("prefix", "path before the id of a job",
        cxxopts::value<std::string>()->default_value("/jobs/"));
    add("command", "command of the tasks",
        cxxopts::value<std::string>()->default_value("work 500"));
    add("duration-ms", "how long jobs are handed in",
        cxxopts::value<std::int64_t>()->default_value("10000"));
    add("patience-ms", "how long the end of a job is waited for",
        cxxopts::value<std::int64_t>()->default_value("60000"));
    add("deadline-ms", "longest wait for one answer",
        cxxopts::value<std::int64_t>()->default_value("3000"));
    add("rate", "jobs a second", cxxopts::value<double>()->default_value("10"));
    add("steps", "steps of a job, one after the other",
        cxxopts::value<int>()->default_value("2"));
    add("tasks", "tasks of a step", cxxopts::value<int>()->default_value("4"));
    add("cpu-milli", "processors of a task in thousandths of a core",
        cxxopts::value<std::int64_t>()->default_value("500"));
    add("classes", "number of classes of tasks that behave alike; 0: none",
        cxxopts::value<int>()->default_value("0"));
    add("fills", "the tasks use spare processors");
    add("target-ms", "tail that serving tasks have to keep; 0: none",
        cxxopts::value<std::int64_t>()->default_value("0"));
    add("retries", "how often a submit is repeated",
        cxxopts::value<int>()->default_value("4"));
    add("cancel-share", "share of the accepted jobs that are cancelled",
        cxxopts::value<double>()->default_value("0"));
    add("seed", "seed of ids and of the choice of gateways",
        cxxopts::value<std::uint64_t>()->default_value("1"));
    add("history", "file to which history is appended",
        cxxopts::value<std::string>());
    add("help", "print this text");
    return options;
}

/** One job as its caller sees it. */
struct job
{
    std::string id;
    core::time_point begun;
    int tries = 0;
    bool only_refused = true; ///< Every answer so far said "not run".
    bool cancels = false;
};
using job_pointer = std::shared_ptr<job>;

/** Counts of what callers have seen. */
struct submitter_counts
{
    std::uint64_t sent = 0;
    std::uint64_t accepted = 0;
    std::uint64_t refused = 0; ///< All tries were refused.
    std::uint64_t unknown = 0; ///< No clear answer to the last try.
    std::uint64_t completed = 0;
    std::uint64_t failed = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t lost = 0; ///< Accepted, and without an end in time.
};

/** Hands in jobs and follows them. Thread-safe. */
class submitter
{
public:
    submitter(
        transport::reactor& loop, submitter_settings settings,
        standins::history& record)
        : loop_(loop)
        , settings_(std::move(settings))
        , record_(record)
        , random_(settings_.seed)
        , client_(loop, limits())
    {
    }

    /** Returns the number of jobs without an outcome. */
    [[nodiscard]] auto open() const -> std::size_t
    {
        return open_;
    }

    [[nodiscard]] auto counts() const -> submitter_counts
    {
        auto const lock = std::scoped_lock{mutex_};
        return counts_;
    }

    auto submit() -> void
    {
        auto it = std::make_shared<job>();
        {
            auto const lock = std::scoped_lock{mutex_};
            it->id = fmt::format("{:016x}", random_.below(~0ULL));
            it->cancels = random_.unit() < settings_.cancel_share;
            ++counts_.sent;
        }
        it->begun = clock_();
        ++open_;
        try_submit(it);
    }

private:
    static auto limits() -> transport::http_client_limits
    {
        auto result = transport::http_client_limits{};
        result.connections_per_endpoint = connections_per_gateway;
        return result;
    }

    auto body() -> std::string
    {
        auto root = json{{"spec", settings_.command}};
        auto const ms = settings_.command.starts_with("work ")
                            ? std::atoi(settings_.command.c_str() + 5)
                            : 100;
        for (auto i = 0; i < settings_.steps; ++i)
        {
            auto step = json{
                {"count", settings_.tasks},
                {"cpu", settings_.cpu_milli},
                {"mem-mb", 100},
                {"estimate-ms", ms}};
            if (i > 0)
            {
                step["after"] = {i - 1};
            }
            if (settings_.command == "serve")
            {
                step["long-running"] = true;
            }
            if (settings_.classes > 0)
            {
                auto const kind = random_.below(settings_.classes);
                step["image"] =
                    fmt::format("{}-{}", settings_.fills ? "f" : "s", kind);
            }
            if (settings_.fills)
            {
                step["fills"] = true;
            }
            if (settings_.target_ms > 0)
            {
                step["target-ms"] = settings_.target_ms;
            }
            root["steps"].push_back(std::move(step));
        }
        return root.dump();
    }

    auto call(
        std::string method, std::string const& id, std::string content,
        std::function<void(transport::http_result)> on_done) -> void
    {
        auto request = transport::http_request{};
        request.method = std::move(method);
        request.target = settings_.prefix + id;
        request.headers.set("Host", settings_.host);
        request.headers.set(
            "Godwitcleat-Deadline-Ms",
            std::to_string(settings_.deadline.count()));
        request.body = std::move(content);
        auto where = transport::endpoint{};
        {
            auto const lock = std::scoped_lock{mutex_};
            where =
                settings_.gateways[random_.below(settings_.gateways.size())];
        }
        client_.send(
            where, std::move(request), settings_.deadline + answer_slack,
            std::move(on_done));
    }

    auto write(job const& it, std::string_view event, int status) -> void
    {
        auto const age = std::chrono::duration_cast<std::chrono::milliseconds>(
            clock_() - it.begun);
        record_.write(json{
            {"event", event},
            {"job", it.id},
            {"status", status},
            {"at_us", core::wall_clock_us()},
            {"age_ms",
             age.count()}}.dump());
    }

    auto try_submit(job_pointer const& it) -> void
    {
        ++it->tries;
        write(*it, "submit", 0);
        call(
            "POST", it->id, body(),
            [this, it](transport::http_result const& result)
            { submitted(it, result); });
    }

    auto submitted(job_pointer const& it, transport::http_result const& result)
        -> void
    {
        constexpr auto refusals = std::array{429, 503, 404, 400};
        auto const status = result.response ? result.response->status : 0;
        if (status == 200)
        {
            write(*it, "accepted", status);
            count(&submitter_counts::accepted);
            return follow(it);
        }
        auto const unsent =
            !result.response &&
            result.progress == transport::send_progress::nothing_written;
        auto const refused =
            unsent || std::find(refusals.begin(), refusals.end(), status) !=
                          refusals.end();
        it->only_refused = it->only_refused && refused;
        write(*it, refused ? "refused" : "unknown", status);
        if (it->tries <= settings_.retries)
        {
            return later(it, [this, it] { try_submit(it); });
        }
        count(
            it->only_refused ? &submitter_counts::refused
                             : &submitter_counts::unknown);
        write(*it, it->only_refused ? "never_accepted" : "given_up", status);
        --open_;
    }

    auto follow(job_pointer const& it) -> void
    {
        if (it->cancels)
        {
            return later(it, [this, it] { cancel(it); });
        }
        later(it, [this, it] { ask(it); });
    }

    auto cancel(job_pointer const& it) -> void
    {
        call(
            "DELETE", it->id, {},
            [this, it](transport::http_result const& result)
            {
                if (result.response && result.response->status == 200)
                {
                    write(*it, "cancelled", 200);
                    it->cancels = false;
                }
                follow(it);
            });
    }

    auto ask(job_pointer const& it) -> void
    {
        call(
            "GET", it->id, {},
            [this, it](transport::http_result const& result)
            { asked(it, result); });
    }

    auto asked(job_pointer const& it, transport::http_result const& result)
        -> void
    {
        auto const status = result.response ? result.response->status : 0;
        auto const root =
            status == 200 ? json::parse(result.response->body, nullptr, false)
                          : json{};
        auto const state = root.is_object() ? root.value("state", "") : "";
        auto const final =
            std::map<std::string_view, std::uint64_t submitter_counts::*>{
                {"completed", &submitter_counts::completed},
                {"failed", &submitter_counts::failed},
                {"cancelled", &submitter_counts::cancelled}};
        auto const end = final.find(state);
        if (end != final.end())
        {
            write(*it, "ended_" + state, status);
            count(end->second);
            --open_;
            return;
        }
        if (status == 410 || clock_() - it->begun > settings_.patience)
        {
            write(*it, status == 410 ? "denied" : "unfinished", status);
            count(&submitter_counts::lost);
            --open_;
            return;
        }
        later(it, [this, it] { ask(it); });
    }

    auto count(std::uint64_t submitter_counts::*member) -> void
    {
        auto const lock = std::scoped_lock{mutex_};
        ++(counts_.*member);
    }

    auto later(job_pointer const& it, std::function<void()> call) -> void
    {
        auto const lock = std::scoped_lock{mutex_};
        timers_[it->id] = loop_.after(poll_interval, std::move(call));
    }

    transport::reactor& loop_;
    submitter_settings settings_;
    standins::history& record_;
    core::clock clock_ = core::system_clock();
    core::random_source random_;
    transport::http_client client_;
    mutable std::mutex mutex_; ///< Guards the members below and random_.
    submitter_counts counts_;
    std::map<std::string, transport::timer_handle> timers_;
    std::atomic<std::size_t> open_ = 0;
};

auto read_settings(cxxopts::ParseResult const& from)
    -> std::optional<submitter_settings>
{
    auto result = submitter_settings{};
    for (auto const& it : from["gateway"].as<std::vector<std::string>>())
    {
        auto const where = transport::parse_endpoint(it);
        if (!where)
        {
            return std::nullopt;
        }
        result.gateways.push_back(*where);
    }
    auto const ms = [&](char const* name)
    {
        return std::chrono::milliseconds{from[name].as<std::int64_t>()};
    };
    result.host = from["host"].as<std::string>();
    result.prefix = from["prefix"].as<std::string>();
    result.command = from["command"].as<std::string>();
    result.duration = ms("duration-ms");
    result.patience = ms("patience-ms");
    result.deadline = ms("deadline-ms");
    result.rate = from["rate"].as<double>();
    result.steps = from["steps"].as<int>();
    result.tasks = from["tasks"].as<int>();
    result.cpu_milli = from["cpu-milli"].as<std::int64_t>();
    result.classes = from["classes"].as<int>();
    result.fills = from.count("fills") > 0;
    result.target_ms = from["target-ms"].as<std::int64_t>();
    result.retries = from["retries"].as<int>();
    result.cancel_share = from["cancel-share"].as<double>();
    result.seed = from["seed"].as<std::uint64_t>();
    if (result.rate <= 0 || result.steps < 1 || result.tasks < 1)
    {
        return core::fail(
            core::error_kind::invalid_input,
            "--rate, --steps and --tasks must be above 0; raise them");
    }
    return result;
}

auto run(submitter_settings const& settings, standins::history record) -> int
{
    auto loop = transport::reactor{reactor_threads};
    auto stopped = std::atomic<bool>{false};
    loop.on_signal({SIGTERM, SIGINT}, [&stopped](int) { stopped = true; });
    auto sender = submitter{loop, settings, record};
    auto const begin = std::chrono::steady_clock::now();
    auto const interval = std::chrono::duration_cast<std::chrono::nanoseconds>(
        std::chrono::duration<double>{1.0 / settings.rate});
    auto next = begin;
    while (!stopped &&
           std::chrono::steady_clock::now() - begin < settings.duration)
    {
        std::this_thread::sleep_until(next);
        next += interval;
        sender.submit();
    }
    while (sender.open() > 0)
    {
        std::this_thread::sleep_for(wait_interval);
    }
    loop.stop();
    auto const it = sender.counts();
    fmt::print(
        "sent={} accepted={} refused={} unknown={} completed={} failed={} "
        "cancelled={} lost={}\n",
        it.sent, it.accepted, it.refused, it.unknown, it.completed, it.failed,
        it.cancelled, it.lost);
    return it.lost == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

auto run_parsed(cxxopts::ParseResult const& parsed) -> int
{
    auto const settings = read_settings(parsed);
    auto record = standins::history::open(parsed["history"].as<std::string>());
    if (!settings || !record)
    {
        fmt::print(stderr, "{}\n", core::last_reason().message);
        return standins::exit_usage;
    }
    return run(*settings, std::move(*record));
}

} // namespace

auto main(int count, char** arguments) -> int
{
    return standins::run_main(
        count, arguments, make_options(), {"gateway", "history"}, run_parsed);
}
