/** @file daemon_fixture_base.hpp Runs a daemon within the test process. */
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

/** Limit for events that must happen; only a failing test reaches it. */
inline constexpr auto event_timeout = std::chrono::seconds{30};

/** Polls @p condition; returns false if it does not hold within @p limit. */
auto within(std::function<bool()> const& condition, core::duration limit)
    -> bool;

/**
 * A daemon that listens on free ports of 127.0.0.1 and has no store. The
 * fixture acts as a peer that sends it the configuration and the endpoints.
 */
class daemon_fixture
{
public:
    explicit daemon_fixture(
        daemon::daemon_faults faults = {},
        std::function<void(coordination::daemon_settings&)> const&
            adjust_settings = {});
    ~daemon_fixture();
    daemon_fixture(daemon_fixture const&) = delete;
    auto operator=(daemon_fixture const&) -> daemon_fixture& = delete;

    [[nodiscard]] auto addresses() const -> daemon::daemon_addresses;

    /** Announces generation 1, which contains the service `desk`. */
    auto send_config() -> void;

    /** Announces generation 1 and one runner of the service. */
    auto send_endpoint(transport::endpoint const& runner) -> void;

    /** Sends one HTTP request and waits for the result. */
    auto
    call(transport::endpoint const& target, transport::http_request request)
        -> transport::http_result;

    /** Returns true if GET /ready returns status 200. */
    auto is_ready() -> bool;

    /** Sends a payload to the peer port; returns the reply, if there is one. */
    auto call_peer(std::string payload) -> std::optional<std::string>;

    /** Starts a planned stop. */
    auto begin_stop() -> void;

    /**
     * Waits for the end of the planned stop and destroys the daemon, as the
     * program does. Returns false if the stop takes longer than event_timeout.
     */
    auto end_stop() -> bool;

    /** Returns the event loop of the fixture, for callers and runners. */
    auto loop() -> transport::reactor&
    {
        return loop_;
    }

private:
    auto send_peer_update(std::vector<protocol::endpoint_table> tables) -> void;

    transport::reactor loop_{2};
    transport::http_client client_;
    transport::frame_client peer_client_;
    std::optional<transport::frame_server> peer_server_;
    std::unique_ptr<daemon::entry_daemon> daemon_;
    std::shared_ptr<std::atomic<bool>> stopped_ =
        std::make_shared<std::atomic<bool>>(false);
};

} // namespace godwitcleat::tests

#endif
