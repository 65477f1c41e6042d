/** @file daemon_fixture_base.hpp One daemon in the test's process. */
#ifndef GODWITCLEAT_TESTS_SUPPORT_DAEMON_FIXTURE_BASE_HPP
#define GODWITCLEAT_TESTS_SUPPORT_DAEMON_FIXTURE_BASE_HPP

#include "programs/godwitcleatd/daemon_base.hpp"
#include "protocol/protocol.hpp"

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace godwitcleat::tests
{

/** Bound for events that must happen; only a failing test reaches it. */
inline constexpr auto patience = std::chrono::seconds{30};

/** Polls @p condition; returns false if it does not hold within @p limit. */
auto within(std::function<bool()> const& condition, core::duration limit)
    -> bool;

/**
 * A daemon on free ports of 127.0.0.1 without a store. It learns the
 * configuration and the endpoints from a peer that the fixture plays.
 */
class daemon_fixture
{
public:
    explicit daemon_fixture(
        daemon::daemon_faults faults = {},
        std::function<void(coordination::daemon_settings&)> const& change = {});
    ~daemon_fixture();
    daemon_fixture(daemon_fixture const&) = delete;
    auto operator=(daemon_fixture const&) -> daemon_fixture& = delete;

    [[nodiscard]] auto where() const -> daemon::daemon_addresses;

    /** Tells the daemon of generation 1, with the service `desk`. */
    auto teach_config() -> void;

    /** The same, and of one runner of the service. */
    auto teach_endpoint(transport::endpoint const& runner) -> void;

    /** Sends one request and waits for the outcome. */
    auto
    call(transport::endpoint const& target, transport::http_request request)
        -> transport::http_result;

    /** Returns the status of GET /ready. */
    auto is_ready() -> bool;

    /** Sends one payload to the peer port; std::nullopt without a reply. */
    auto call_peer(std::string payload) -> std::optional<std::string>;

    /** Begins a planned stop. */
    auto begin_stop() -> void;

    /** Waits for its end and destroys the daemon, as the program does. */
    auto end_stop() -> bool;

    /** Returns the fixture's own event loop, for callers and runners. */
    auto loop() -> transport::reactor&
    {
        return loop_;
    }

private:
    auto teach(std::vector<protocol::endpoint_table> tables) -> void;

    transport::reactor loop_{2};
    transport::http_client client_;
    transport::frame_client peers_;
    std::optional<transport::frame_server> peer_;
    std::unique_ptr<daemon::entry_daemon> daemon_;
    std::shared_ptr<std::atomic<bool>> stopped_ =
        std::make_shared<std::atomic<bool>>(false);
};

} // namespace godwitcleat::tests

#endif
