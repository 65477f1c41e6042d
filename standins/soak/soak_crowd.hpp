/** @file soak_crowd.hpp Callers that keep to no limits, beside the others. */
#ifndef GODWITCLEAT_STANDINS_SOAK_SOAK_CROWD_HPP
#define GODWITCLEAT_STANDINS_SOAK_SOAK_CROWD_HPP

#include "standins/soak/soak_check.hpp"
#include "standins/support/caller_crowd_base.hpp"

#include <atomic>
#include <chrono>
#include <thread>

namespace godwitcleat::soak
{

/** Sends one crowd after the other to instances drawn from a seed, until it is
 *  destroyed. */
class soak_crowd
{
public:
    soak_crowd(
        soak_check& check, std::vector<transport::endpoint> targets,
        std::uint64_t seed)
        : check_(check)
        , targets_(std::move(targets))
        , random_(seed)
        , thread_([this] { run(); })
    {
    }

    ~soak_crowd()
    {
        stopped_ = true;
        thread_.join();
    }

    soak_crowd(soak_crowd const&) = delete;
    auto operator=(soak_crowd const&) -> soak_crowd& = delete;

private:
    static constexpr auto connections = std::size_t{24};
    static constexpr auto kb = std::size_t{1024};
    // The crowd's bodies are three times what an instance may hold.
    static constexpr auto legal_body = 2 * kb * kb;

    auto run() -> void
    {
        while (!stopped_)
        {
            pause(std::chrono::milliseconds{500 + random_.below(4000)});
            auto const& target = targets_[random_.below(targets_.size())];
            check_.fault("a crowd comes to " + transport::to_string(target));
            auto callers = standins::caller_crowd{target, connections, draw()};
            callers.send();
            pause(std::chrono::milliseconds{random_.below(3000)});
        }
    }

    /** Returns what each connection of a crowd sends. */
    auto draw() -> standins::caller_script
    {
        auto const header = [](std::string const& more)
        {
            return "POST /jobs/0123456789abcdef HTTP/1.1\r\n"
                   "Host: desk.example\r\n" +
                   more + "\r\n";
        };
        auto const chunked = header("Transfer-Encoding: chunked\r\n");
        auto const unit = std::string(kb, 'x');
        switch (random_.below(5))
        {
        case 0:
            return {
                header(fmt::format("Content-Length: {}\r\n", legal_body)), unit,
                legal_body / kb, 1};
        case 1: return {chunked, "4\r\nxxxx\r\n", legal_body / 16, 0};
        case 2: return {chunked, "400\r\n" + unit + "\r\n", 4 * kb, 0};
        case 3:
            return {header("Content-Length: 1073741824\r\n"), unit, 4 * kb, 0};
        default: return {"", "x", 0, 0};
        }
    }

    auto pause(std::chrono::milliseconds time) -> void
    {
        auto const end = std::chrono::steady_clock::now() + time;
        while (!stopped_ && std::chrono::steady_clock::now() < end)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds{20});
        }
    }

    soak_check& check_;
    std::vector<transport::endpoint> targets_;
    core::random_source random_;
    std::atomic<bool> stopped_ = false;
    std::thread thread_;
};

} // namespace godwitcleat::soak

#endif
