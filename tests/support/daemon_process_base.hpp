/** @file daemon_process_base.hpp One hosted daemon as a process. */
#ifndef GODWITCLEAT_TESTS_SUPPORT_DAEMON_PROCESS_BASE_HPP
#define GODWITCLEAT_TESTS_SUPPORT_DAEMON_PROCESS_BASE_HPP

#include "standins/support/hosted_gateway_base.hpp"
#include "standins/support/memory_store_base.hpp"
#include "transport/transport.hpp"

#include <cstddef>
#include <filesystem>
#include <string>
#include <sys/types.h>

namespace godwitcleat::tests
{

/** Limits of the process that the kernel enforces or the settings lower. */
struct daemon_process_limits
{
    std::size_t descriptors = 256;
    std::string settings; ///< Further lines of the section [limits].
};

/**
 * Runs godwitcleatd, built beside the test, on loopback addresses with a
 * stand-in of the store in the test's own process, and ends it.
 */
class daemon_process
{
public:
    explicit daemon_process(daemon_process_limits limits);
    ~daemon_process();
    daemon_process(daemon_process const&) = delete;
    auto operator=(daemon_process const&) -> daemon_process& = delete;

    /** Returns true while the process has not ended. */
    [[nodiscard]] auto is_alive() const -> bool;

    /** Returns the highest resident memory so far. */
    [[nodiscard]] auto peak_memory_mb() const -> std::size_t;

    [[nodiscard]] auto open_descriptors() const -> std::size_t;

    /** Sends one ordinary request until it is answered with 200; false after
     *  30 s. */
    [[nodiscard]] auto answers() -> bool;

    /** The last lines of its log, for messages of failed tests. */
    [[nodiscard]] auto log() const -> std::string;

    transport::endpoint gateway;
    transport::endpoint readiness;
    transport::endpoint control;
    transport::endpoint peer;
    transport::endpoint metrics;

private:
    auto write_settings(daemon_process_limits const& limits) -> void;

    transport::reactor loop_{1};
    standins::memory_store store_;
    standins::hosted_gateway store_gateway_;
    transport::endpoint store_address_;
    transport::http_client client_;
    std::filesystem::path folder_;
    pid_t pid_ = 0;
};

} // namespace godwitcleat::tests

#endif
