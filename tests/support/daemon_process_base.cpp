/** @file daemon_process_base.cpp One hosted daemon as a process. */
#include "tests/support/daemon_process_base.hpp"

#include "standins/support/process_memory_func.hpp"

#include <fmt/format.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <future>
#include <sstream>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace godwitcleat::tests
{

using namespace std::chrono_literals;

namespace
{

// Bound for events that must happen; it is reached only by a failing test.
constexpr auto patience = 30s;

constexpr auto config =
    R"({"version":2,"routes":[{"name":"r1","host":"desk.example",)"
    R"("prefix":"/jobs/","kind":"non_idempotent","timeout-ms":3000,)"
    R"("target-duration-ms":500,"priority":0,"service":"svc","attempts":3,)"
    R"("stretch":2.0}],"services":[],"limits":{"body-bytes":262144}})";

// A loopback address of this process and ports below the ephemeral ones, so
// that tests at the same time do not meet.
auto endpoint_of(std::uint16_t port) -> transport::endpoint
{
    auto const pid = static_cast<std::uint32_t>(getpid());
    auto const address = fmt::format(
        "127.{}.{}.{}", 1 + (pid >> 16U & 0x7fU), pid >> 8U & 0xffU,
        pid & 0xffU);
    return {address, port};
}

auto daemon_path() -> std::string
{
    auto const self = std::filesystem::read_symlink("/proc/self/exe");
    return (self.parent_path() / "godwitcleatd").string();
}

auto last_lines(std::filesystem::path const& path) -> std::string
{
    constexpr auto max_bytes = std::size_t{4000};
    auto file = std::ifstream{path};
    auto text = std::ostringstream{};
    text << file.rdbuf();
    auto const all = text.str();
    return all.substr(all.size() - std::min(all.size(), max_bytes));
}

} // namespace

daemon_process::daemon_process(daemon_process_limits limits)
    : gateway(endpoint_of(21'001))
    , readiness(endpoint_of(21'002))
    , control(endpoint_of(21'003))
    , peer(endpoint_of(21'004))
    , metrics(endpoint_of(21'005))
    , store_(core::suspend_aware_clock())
    , store_gateway_(store_, loop_)
    , store_address_(store_gateway_.listen().value())
    , client_(loop_, {})
    , folder_(
          std::filesystem::temp_directory_path() /
          fmt::format("godwitcleat-daemon-{}", getpid()))
{
    std::filesystem::create_directories(folder_);
    write_settings(limits);
    store_.commit({{}, {{"op/config", config, "", {}}}}, [](auto) {});
    auto const path = daemon_path();
    auto const settings = (folder_ / "settings.ini").string();
    auto const log = (folder_ / "log").string();
    pid_ = fork();
    if (pid_ != 0)
    {
        return;
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL); // The daemon does not outlive the test.
    dup2(open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644), STDOUT_FILENO);
    dup2(STDOUT_FILENO, STDERR_FILENO);
    close_range(STDERR_FILENO + 1, ~0U, 0);
    auto const bound = rlimit{limits.descriptors, limits.descriptors};
    setrlimit(RLIMIT_NOFILE, &bound);
    execl(path.c_str(), path.c_str(), "--settings", settings.c_str(), nullptr);
    _exit(EXIT_FAILURE);
}

daemon_process::~daemon_process()
{
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    loop_.stop();
    auto ignored = std::error_code{};
    std::filesystem::remove_all(folder_, ignored);
}

auto daemon_process::write_settings(daemon_process_limits const& limits) -> void
{
    using transport::to_string;
    std::ofstream{folder_ / "settings.ini"} << fmt::format(
        "[instance]\nname = i-1\ndata_centre = dc-1\nprocessors = 1\n"
        "gateway = {}\npeer = {}\ncontrol = {}\n"
        "[store]\naddresses = {}\ntimeout_ms = 1000\n"
        "[hosted]\nreadiness = {}\nmetrics = {}\n"
        "[limits]\nthreads = 1\n{}",
        to_string(gateway), to_string(peer), to_string(control),
        to_string(store_address_), to_string(readiness), to_string(metrics),
        limits.settings);
}

auto daemon_process::is_alive() const -> bool
{
    auto status = siginfo_t{};
    waitid(
        P_PID, static_cast<id_t>(pid_), &status, WEXITED | WNOHANG | WNOWAIT);
    return status.si_pid == 0;
}

auto daemon_process::peak_memory_mb() const -> std::size_t
{
    return standins::peak_memory_mb(pid_);
}

auto daemon_process::open_descriptors() const -> std::size_t
{
    auto n = std::size_t{0};
    auto ec = std::error_code{};
    auto it = std::filesystem::directory_iterator{
        fmt::format("/proc/{}/fd", pid_), ec};
    for (; !ec && it != std::filesystem::directory_iterator{}; it.increment(ec))
    {
        ++n;
    }
    return n;
}

auto daemon_process::answers() -> bool
{
    auto const end = std::chrono::steady_clock::now() + patience;
    while (std::chrono::steady_clock::now() < end && is_alive())
    {
        auto request = transport::http_request{};
        request.target = "/jobs/";
        request.headers.set("Host", "desk.example");
        auto done = std::make_shared<std::promise<bool>>();
        client_.send(
            gateway, std::move(request), 5s,
            [done](auto const& result)
            {
                constexpr auto ok = 200;
                done->set_value(
                    result.response && result.response->status == ok);
            });
        if (done->get_future().get())
        {
            return true;
        }
        std::this_thread::sleep_for(100ms);
    }
    return false;
}

auto daemon_process::log() const -> std::string
{
    return last_lines(folder_ / "log");
}

} // namespace godwitcleat::tests
