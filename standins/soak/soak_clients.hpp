/** @file soak_clients.hpp Callers that hand in, query and cancel jobs. */
#ifndef GODWITCLEAT_STANDINS_SOAK_SOAK_CLIENTS_HPP
#define GODWITCLEAT_STANDINS_SOAK_SOAK_CLIENTS_HPP

#include "standins/soak/soak_check.hpp"
#include "transport/transport.hpp"

#include <future>
#include <thread>

namespace godwitcleat::soak
{

/** Keeps to one instance, over open connections, until that fails it. */
class soak_caller
{
public:
    soak_caller(
        transport::reactor& loop, soak_check& check,
        std::vector<transport::endpoint> gateways, std::uint64_t seed,
        std::optional<std::size_t> customer)
        : check_(check)
        , gateways_(std::move(gateways))
        , customer_(customer)
        , random_(seed)
        , client_(loop, {})
    {
    }

    /** Hands in @p job, again after no clear answer; true if it was accepted.
     */
    auto submit(soak_job const& job) -> bool
    {
        constexpr auto most_tries = 6;
        for (auto i = 0; i < most_tries; ++i)
        {
            check_.submitting(job);
            auto const result = call("POST", job.id, encode(job));
            auto const status = result.response ? result.response->status : 0;
            auto const unsent =
                !result.response &&
                result.progress == transport::send_progress::nothing_written;
            check_.submitted(
                job.id, status,
                unsent || status == 401 || status == 429 || status == 503);
            if (status == 200 || status == 429 || status == 503)
            {
                return status == 200; // A refused job is not sent again.
            }
            pause(400);
        }
        return false;
    }

    /** Asks for its phase once. */
    auto ask(std::string const& id) -> void
    {
        auto const result = call("GET", id);
        auto const status = result.response ? result.response->status : 0;
        auto const root =
            status == 200 ? json::parse(result.response->body, nullptr, false)
                          : json::object();
        check_.asked(id, status, root.value("state", ""));
    }

    /** Cancels it, with retries; true if that was acknowledged. */
    auto cancel(std::string const& id) -> bool
    {
        constexpr auto most_tries = 20;
        for (auto i = 0; i < most_tries; ++i)
        {
            check_.cancelling(id);
            auto const result = call("DELETE", id);
            auto const status = result.response ? result.response->status : 0;
            check_.cancelled(id, status);
            if (status == 200 || status == 410)
            {
                return true;
            }
            pause(400);
        }
        return false;
    }

    /** Hands in one job, and asks for it or cancels it later. */
    auto run_job() -> void
    {
        auto job = soak_job{};
        auto const roll = random_.below(10);
        job.id = fmt::format("{:016x}", random_.below(~0ULL));
        job.tasks = static_cast<int>(1 + random_.below(4));
        job.lasts = roll >= 7 && customer_ != short_customer;
        job.customer = customer_;
        // Longer than a lease: some are at work on each worker at any time.
        auto const is_long = roll == 5 || roll == 6;
        job.steps =
            job.lasts || is_long ? 1 : static_cast<int>(1 + random_.below(2));
        job.spec = job.lasts
                       ? "serve"
                       : fmt::format(
                             "work {}", is_long ? 12'000 + random_.below(3000)
                                                : 100 + random_.below(2500));
        auto const accepted = submit(job);
        pause(2000);
        ask(job.id);
        // Most that lasts is cancelled, so that there is room for more.
        if (job.lasts ? !accepted || random_.below(8) > 0 : roll == 0)
        {
            cancel(job.id);
        }
        pause(400);
    }

private:
    static auto encode(soak_job const& job) -> std::string
    {
        auto root = json{{"spec", job.spec}, {"steps", json::array()}};
        for (auto i = 0; i < job.steps; ++i)
        {
            auto step = json{
                {"count", job.tasks},
                {"cpu", job.cpu_milli},
                {"mem-mb", 100},
                {"estimate-ms", job.lasts ? 0 : std::stol(job.spec.substr(5))}};
            if (i > 0)
            {
                step["after"] = {i - 1};
            }
            if (job.lasts)
            {
                step["long-running"] = true;
            }
            root["steps"].push_back(std::move(step));
        }
        return root.dump();
    }

    auto call(std::string method, std::string const& id, std::string body = {})
        -> transport::http_result
    {
        // The gateway answers within the deadline that it is told, or not.
        constexpr auto deadline = std::chrono::milliseconds{3000};
        constexpr auto slack = std::chrono::milliseconds{1000};
        auto request = transport::http_request{};
        request.method = std::move(method);
        request.target = "/jobs/" + id;
        request.headers.values = {
            {"Host", "desk.example"},
            {"Godwitcleat-Deadline-Ms", std::to_string(deadline.count())}};
        request.body = std::move(body);
        auto const key = customer_ ? draw_key() : key_kind::permanent;
        if (customer_)
        {
            request.headers.set("X-Api-Key", key_of(*customer_, key));
        }
        auto const sent = core::system_clock()();
        auto done = std::promise<transport::http_result>{};
        client_.send(
            gateways_[home_], std::move(request), deadline + slack,
            [&done](auto result) { done.set_value(std::move(result)); });
        auto result = done.get_future().get();
        if (customer_ && result.response)
        {
            check_.answered(id, key, sent, result.response->status);
        }
        if (!result.response || result.response->status >= 500)
        {
            home_ = random_.below(gateways_.size());
        }
        return result;
    }

    auto draw_key() -> key_kind
    {
        auto const roll = random_.below(20);
        return roll == 0   ? key_kind::unknown
               : roll <= 2 ? key_kind::temporary
                           : key_kind::permanent;
    }

    auto pause(std::uint64_t most_ms) -> void
    {
        std::this_thread::sleep_for(
            std::chrono::milliseconds{random_.below(most_ms)});
    }

    soak_check& check_;
    std::vector<transport::endpoint> gateways_;
    std::optional<std::size_t> customer_;
    core::random_source random_;
    transport::http_client client_;
    std::size_t home_ = random_.below(gateways_.size());
};

/** Threads of callers. They end when the object is destroyed. */
class soak_clients
{
public:
    soak_clients(
        transport::reactor& loop, soak_check& check,
        std::vector<transport::endpoint> const& gateways, std::uint64_t seed,
        int count, bool has_customers)
    {
        constexpr auto seeds_per_run = 1000;
        for (auto i = 0; i < count; ++i)
        {
            auto it = std::make_shared<soak_caller>(
                loop, check, gateways, seed * seeds_per_run + i,
                has_customers
                    ? std::
                          optional{static_cast<std::size_t>(i) % customer_limits.size()}
                    : std::nullopt);
            threads_.emplace_back(
                [this, it]
                {
                    while (!stopped_)
                    {
                        it->run_job();
                    }
                });
        }
    }

    ~soak_clients()
    {
        stopped_ = true;
        for (auto& it : threads_)
        {
            it.join();
        }
    }

    soak_clients(soak_clients const&) = delete;
    auto operator=(soak_clients const&) -> soak_clients& = delete;

private:
    std::atomic<bool> stopped_ = false;
    std::vector<std::thread> threads_;
};

} // namespace godwitcleat::soak

#endif
