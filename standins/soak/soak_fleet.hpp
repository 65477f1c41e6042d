/** @file soak_fleet.hpp The daemons as processes, and the store they use. */
#ifndef GODWITCLEAT_STANDINS_SOAK_SOAK_FLEET_HPP
#define GODWITCLEAT_STANDINS_SOAK_SOAK_FLEET_HPP

#include "protocol/protocol.hpp"
#include "standins/soak/soak_check.hpp"
#include "standins/soak/soak_link.hpp"
#include "standins/support/hosted_gateway_base.hpp"
#include "standins/support/process_memory_func.hpp"

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace godwitcleat::soak
{

/** Shares of the instances' calls of the store that go wrong. */
struct store_trouble
{
    double lost_replies = 0;
    double lost_requests = 0;
    double late_writes = 0; ///< Get no answer and are carried out later.
};

/** The platform's store over HTTP. Calls of the platform itself never fail. */
class soak_store
{
public:
    soak_store(transport::reactor& loop, std::uint64_t seed)
        : random_(seed)
        , data(
              core::system_clock(),
              {[this](auto const& entry) { notice(entry); },
               [this](auto call)
               {
                   return choose(call);
               }})
        , gateway(data, loop)
        , address(gateway.listen().value())
    {
    }

    auto set(store_trouble trouble) -> void
    {
        auto const lock = std::scoped_lock{mutex_};
        trouble_ = trouble;
    }

    /** Ends the lease of the owner. */
    auto revoke_owner() -> void
    {
        data.expire(coordination::store_lease{owner_lease_.exchange(0)});
    }

    /** Writes as the platform; an empty text removes. */
    auto put(std::string const& key, std::string const& text) -> void
    {
        auto value = text.empty() ? std::nullopt : std::optional{text};
        by_platform = true;
        data.commit({{}, {{key, std::move(value), "", {}}}}, [](auto) {});
        by_platform = false;
    }

    /** The name of the owner in office; empty: none. */
    [[nodiscard]] auto owner() const -> std::string
    {
        auto const entry = data.peek(owner_key);
        auto const record =
            entry ? protocol::decode<protocol::owner_record>(entry->value)
                  : std::nullopt;
        return record ? record->instance.value : "";
    }

private:
    auto choose(standins::store_call call)
        -> std::optional<standins::store_fate>
    {
        using standins::store_fate;
        if (by_platform || call == standins::store_call::range)
        {
            return store_fate::answered;
        }
        auto const lock = std::scoped_lock{mutex_};
        auto const roll = random_.unit();
        auto const lost = trouble_.lost_replies + trouble_.lost_requests;
        auto const late =
            call == standins::store_call::commit ? trouble_.late_writes : 0;
        return roll < trouble_.lost_replies ? store_fate::reply_lost
               : roll < lost                ? store_fate::request_lost
               : roll < lost + late         ? store_fate::applied_later
                                            : store_fate::answered;
    }

    auto notice(standins::store_history_entry const& entry) -> void
    {
        for (auto const& it : entry.transaction.writes)
        {
            if (it.key == owner_key && entry.succeeded)
            {
                owner_lease_ = it.lease.value;
            }
        }
    }

    static constexpr auto owner_key = "godwitcleat/00/live/owner";
    /** Set while the platform itself calls the store. */
    static inline thread_local auto by_platform = false;

    core::random_source random_;
    std::mutex mutex_;
    store_trouble trouble_;
    std::atomic<std::uint64_t> owner_lease_ = 0;

public:
    standins::memory_store data;
    standins::hosted_gateway gateway;
    transport::endpoint address;
};

/** One instance: its process, its ports and the links to and from it. */
struct instance
{
    std::string name;
    std::string data_centre;
    transport::endpoint gateway;
    transport::endpoint readiness;
    transport::endpoint control;
    transport::endpoint peer;
    soak_link& peer_link;
    soak_link& store_link;
    pid_t pid = 0;     ///< 0: not running.
    bool ends = false; ///< It has been asked to.
};

/** The instances. Not thread-safe. */
class soak_fleet
{
public:
    soak_fleet(
        std::string daemon, std::filesystem::path folder, link_loop& links,
        soak_check& check, transport::endpoint store, milliseconds lease_limit)
        : daemon_(std::move(daemon))
        , folder_(std::move(folder))
        , links_(links)
        , check_(check)
        , store_(std::move(store))
        , lease_limit_(lease_limit)
    {
    }

    /** Ends all processes. */
    ~soak_fleet()
    {
        for (auto const& it : all)
        {
            if (it->pid != 0)
            {
                kill(it->pid, SIGKILL);
                waitpid(it->pid, nullptr, 0);
            }
        }
    }

    soak_fleet(soak_fleet const&) = delete;
    auto operator=(soak_fleet const&) -> soak_fleet& = delete;

    /** Starts one more instance. */
    auto add(std::string const& name, std::string const& data_centre) -> void
    {
        all.push_back(std::make_unique<instance>(instance{
            name, data_centre, free_endpoint(), free_endpoint(),
            free_endpoint(), free_endpoint(), links_.add(), links_.add()}));
        auto& it = *all.back();
        it.peer_link.set_target(it.peer);
        it.store_link.set_target(store_);
        write_settings(it, 2200);
        start(it);
    }

    auto start(instance& it) -> void
    {
        auto const log = (folder_ / (it.name + ".log")).string();
        auto const settings = settings_of(it);
        it.ends = false;
        it.pid = fork();
        if (it.pid != 0)
        {
            return;
        }
        prctl(PR_SET_PDEATHSIG, SIGKILL); // No instance outlives the soak.
        dup2(open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644), 1);
        dup2(STDOUT_FILENO, STDERR_FILENO);
        // The links' sockets must not stay open in the instance.
        close_range(STDERR_FILENO + 1, ~0U, 0);
        execl(
            daemon_.c_str(), daemon_.c_str(), "--settings", settings.c_str(),
            nullptr);
        _exit(EXIT_FAILURE);
    }

    auto send(instance& it, int signal) -> void
    {
        if (it.pid != 0)
        {
            it.ends = it.ends || signal == SIGKILL || signal == SIGTERM;
            kill(it.pid, signal);
        }
    }

    auto write_settings(instance const& it, std::int64_t drain_ms) -> void
    {
        using transport::to_string;
        std::ofstream{settings_of(it)} << fmt::format(
            "[instance]\nname = {}\ndata_centre = {}\nprocessors = 1\n"
            "gateway = {}\npeer = {}\nadvertise_peer = {}\ncontrol = {}\n"
            "[store]\naddresses = {}\ntimeout_ms = 1000\n"
            "[hosted]\nreadiness = {}\nlease_limit_ms = {}\nstop_ms = 200\n"
            "worker_notice_ms = 2000\ndata_centre_notice_ms = 5000\n"
            "[limits]\nthreads = 1\nmemory_mb = {}\ndrain_delay_ms = {}\n"
            "drain_timeout_ms = 2800\n",
            it.name, it.data_centre, to_string(it.gateway), to_string(it.peer),
            to_string(it.peer_link.local()), to_string(it.control),
            to_string(it.store_link.local()), to_string(it.readiness),
            lease_limit_.count(), memory_mb, drain_ms);
    }

    /** Notes ended processes; reports those that nobody asked to end, and those
     *  that have outgrown their memory. */
    auto reap() -> void
    {
        for (auto const& it : all)
        {
            if (standins::checks_memory && it->pid != 0 &&
                standins::peak_memory_mb(it->pid) > memory_mb)
            {
                check_.report("MEMORY", it->name);
            }
            auto status = 0;
            if (it->pid != 0 && waitpid(it->pid, &status, WNOHANG) == it->pid)
            {
                it->pid = 0;
                auto const text =
                    fmt::format("{} has ended, status {}", it->name, status);
                it->ends ? check_.fault(text) : check_.report("PROCESS", text);
            }
        }
    }

    std::vector<std::unique_ptr<instance>> all;

private:
    static constexpr auto memory_mb = std::size_t{64}; ///< Of an instance.

    // Ports below the ephemeral ones, on a loopback address of this process, so
    // that soaks at the same time do not meet.
    auto free_endpoint() -> transport::endpoint
    {
        auto const pid = static_cast<std::uint32_t>(getpid());
        auto const address = fmt::format(
            "127.{}.{}.{}", 1 + (pid >> 16U & 0x7fU), pid >> 8U & 0xffU,
            pid & 0xffU);
        return {address, ++next_port_};
    }

    [[nodiscard]] auto settings_of(instance const& it) const -> std::string
    {
        return (folder_ / (it.name + ".ini")).string();
    }

    std::string daemon_;
    std::filesystem::path folder_;
    link_loop& links_;
    soak_check& check_;
    transport::endpoint store_;
    milliseconds lease_limit_;
    std::uint16_t next_port_ = 20'000;
};

} // namespace godwitcleat::soak

#endif
