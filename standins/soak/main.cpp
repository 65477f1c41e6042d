/** @file main.cpp Runs daemons under random faults and checks the rules. */
#include "standins/soak/soak_clients.hpp"
#include "standins/soak/soak_crowd.hpp"
#include "standins/soak/soak_faults.hpp"
#include "standins/support/main_func.hpp"

namespace
{

namespace core = godwitcleat::core;
namespace soak = godwitcleat::soak;
namespace standins = godwitcleat::standins;
namespace transport = godwitcleat::transport;
using namespace std::chrono_literals;

constexpr std::size_t threads = 3;
constexpr auto start_limit = 30s;
constexpr auto end_limit = 60s;    ///< Of the faults, after the last began.
constexpr auto calm_time = 12s;    ///< Then all that lasts is at work.
constexpr auto finish_limit = 40s; ///< Of accepted jobs, in calm.
constexpr auto cancel_time = 7s;   ///< Then nothing cancelled is at work.

auto make_options() -> cxxopts::Options
{
    auto options = cxxopts::Options{
        "soak",
        "Runs instances as processes, with a store, workers and callers, under "
        "faults drawn from a seed, and checks what callers and workers see. "
        "Exits with 1 after a breach of a rule."};
    auto add = options.add_options();
    add("daemon", "path of godwitcleatd", cxxopts::value<std::string>());
    add("folder", "folder for logs and the history; it is emptied",
        cxxopts::value<std::string>());
    add("seed", "seed of the faults and of the jobs",
        cxxopts::value<std::uint64_t>()->default_value("1"));
    add("duration-s", "how long faults begin",
        cxxopts::value<int>()->default_value("45"));
    add("instances", "number of instances",
        cxxopts::value<int>()->default_value("4"));
    add("workers", "number of workers",
        cxxopts::value<int>()->default_value("12"));
    add("clients", "number of callers",
        cxxopts::value<int>()->default_value("8"));
    add("data-centres", "number of data centres",
        cxxopts::value<int>()->default_value("3"));
    add("help", "print this text");
    return options;
}

/** All parts of one run. */
class soak_run
{
public:
    explicit soak_run(cxxopts::ParseResult const& options)
        : options_(options)
        , seed_(options["seed"].as<std::uint64_t>())
        , folder_(options["folder"].as<std::string>())
        , check_((prepare() / "soak.history").string(), command())
        , store_(loop_, seed_)
        , fleet_(
              options["daemon"].as<std::string>(), folder_, links_, check_,
              store_.address, lease_limit_)
        , faults_(
              seed_, check_, store_, fleet_, workers_,
              [this](auto const& place) { return make_worker(place); },
              has_customers_)
    {
    }

    ~soak_run()
    {
        workers_.clear();
        loop_.stop();
    }

    soak_run(soak_run const&) = delete;
    auto operator=(soak_run const&) -> soak_run& = delete;

    auto run() -> int
    {
        if (start())
        {
            {
                auto const clients = soak::soak_clients{
                    loop_,         check_, gateways(), seed_, number("clients"),
                    has_customers_};
                auto const crowd = has_crowd_
                                       ? std::make_unique<soak::soak_crowd>(
                                             check_, gateways(), seed_)
                                       : nullptr;
                auto const duration =
                    std::chrono::seconds{number("duration-s")};
                wait(duration, true, [] { return false; });
                wait(end_limit, false, [this] { return !faults_.active(); });
            }
            check_.fault("no more faults");
            settle();
        }
        else
        {
            check_.report("START", "no owner, or an instance is not ready");
        }
        return check_.summarize(seed_) == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
    }

private:
    auto prepare() -> std::filesystem::path const&
    {
        std::filesystem::remove_all(folder_);
        std::filesystem::create_directories(folder_);
        return folder_;
    }

    auto number(char const* option) const -> int
    {
        return options_[option].as<int>();
    }

    auto command() const -> std::string
    {
        return fmt::format(
            "soak --daemon {} --folder {} --seed {} --duration-s {} "
            "--instances {} --workers {} --clients {} --data-centres {}",
            options_["daemon"].as<std::string>(), folder_.string(), seed_,
            number("duration-s"), number("instances"), number("workers"),
            number("clients"), number("data-centres"));
    }

    auto make_worker(std::string const& place)
        -> std::unique_ptr<soak::soak_worker>
    {
        auto settings = soak::worker_settings{};
        settings.id = fmt::format("i-{:08x}", ++last_worker_);
        settings.data_centre = place;
        settings.lease_limit = lease_limit_;
        settings.clock_rate = last_worker_ % 3 == 0 ? 0.98 : 1;
        settings.stop_time = last_worker_ % 2 == 0 ? 150ms : 20ms;
        return std::make_unique<soak::soak_worker>(
            loop_, links_, check_,
            [this](auto const& key, auto const& text)
            { store_.put(key, text); },
            std::move(settings));
    }

    auto place(int i) const -> std::string
    {
        return fmt::format("dc-{}", i % number("data-centres") + 1);
    }

    auto gateways() const -> std::vector<transport::endpoint>
    {
        auto result = std::vector<transport::endpoint>{};
        for (auto const& it : fleet_.all)
        {
            result.push_back(it->gateway);
        }
        return result;
    }

    auto start() -> bool
    {
        check_.fault(
            fmt::format("the longest lease is {} ms", lease_limit_.count()));
        faults_.write_config();
        for (auto i = 0; i < number("workers"); ++i)
        {
            workers_.push_back(make_worker(place(i)));
        }
        for (auto i = 0; i < number("instances"); ++i)
        {
            fleet_.add(fmt::format("entry-{}", i + 1), place(i));
        }
        return wait(
            start_limit, false,
            [this] { return !store_.owner().empty() && ready(); });
    }

    auto ready() -> bool
    {
        auto client = transport::http_client{loop_, {}};
        for (auto const& it : fleet_.all)
        {
            auto request = transport::http_request{};
            request.target = "/api/ready";
            auto done = std::promise<int>{};
            client.send(
                it->readiness, std::move(request), 1s,
                [&done](auto result) {
                    done.set_value(
                        result.response ? result.response->status : 0);
                });
            if (done.get_future().get() != 200)
            {
                return false;
            }
        }
        return true;
    }

    // Ticks until @p until holds; false after @p limit.
    template <class Condition>
    auto wait(core::duration limit, bool begins, Condition until) -> bool
    {
        auto const end = std::chrono::steady_clock::now() + limit;
        while (!until())
        {
            if (std::chrono::steady_clock::now() >= end)
            {
                return false;
            }
            faults_.tick(begins);
            check_.tick(faults_.active());
            std::this_thread::sleep_for(20ms);
        }
        return true;
    }

    // In calm: what was accepted comes to its end, what lasts is at work, and
    // what is cancelled stops.
    auto settle() -> void
    {
        // Jobs are hidden from other customers.
        auto callers = std::vector<std::unique_ptr<soak::soak_caller>>{};
        for (auto i = std::size_t{0}; i < soak::customer_limits.size(); ++i)
        {
            callers.push_back(std::make_unique<soak::soak_caller>(
                loop_, check_, gateways(), seed_,
                has_customers_ ? std::optional{i} : std::nullopt));
        }
        auto const caller_of = [&](std::string const& job) -> auto&
        {
            return *callers.at(check_.customer_of(job).value_or(0));
        };
        auto const complete = [&]
        {
            for (auto const& it : check_.open(false))
            {
                caller_of(it).ask(it);
            }
            return check_.open(false).empty();
        };
        wait(calm_time, false, [] { return false; });
        if (!wait(finish_limit, false, complete))
        {
            check_.report("LOST not completed", check_.open(false).front());
        }
        if (!wait(
                calm_time, false, [&] { return check_.idle_tasks().empty(); }))
        {
            check_.report("LOST not at work", check_.idle_tasks().front());
        }
        for (auto const& it : check_.open(true))
        {
            if (!caller_of(it).cancel(it))
            {
                check_.report("ACKS not cancelled", it);
            }
        }
        wait(cancel_time, false, [] { return false; });
    }

    cxxopts::ParseResult const& options_;
    std::uint64_t seed_;
    bool const has_customers_ = seed_ % 2 == 0;
    bool const has_crowd_ = seed_ % 4 >= 2;
    std::chrono::milliseconds lease_limit_{
        core::random_source{seed_}.below(4) == 0 ? 6000 : 10'000};
    std::filesystem::path folder_;
    soak::link_loop links_;
    transport::reactor loop_{threads};
    soak::soak_check check_;
    soak::soak_store store_;
    soak::worker_list workers_;
    soak::soak_fleet fleet_;
    soak::soak_faults faults_;
    int last_worker_ = 0;
};

} // namespace

auto main(int count, char** arguments) -> int
{
    return standins::run_main(
        count, arguments, make_options(), {"daemon", "folder"},
        [](auto const& options) { return soak_run{options}.run(); });
}
