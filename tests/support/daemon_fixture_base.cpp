/** @file daemon_fixture_base.cpp Runs a daemon within the test process. */
#include "tests/support/daemon_fixture_base.hpp"

#include <future>
#include <thread>
#include <utility>

namespace godwitcleat::tests
{

namespace
{

constexpr auto poll_interval = std::chrono::milliseconds{5};
constexpr auto service_name = "desk";

auto any_port() -> transport::endpoint
{
    return {"127.0.0.1", 0};
}

auto document() -> state::config_document
{
    auto result = state::config_document{};
    result.number = core::generation{1};
    auto& entry = result.services[core::service_id{service_name}];
    entry.service = core::service_id{service_name};
    return result;
}

auto settings_of(transport::endpoint const& peer)
    -> coordination::daemon_settings
{
    auto result = coordination::daemon_settings{};
    result.name = core::instance_id{"entry-1"};
    result.data_centre = core::data_centre_id{"dc-1"};
    result.gateway = any_port();
    result.control = any_port();
    result.peer = any_port();
    result.store = {{"127.0.0.1", 1}}; // Nothing listens on port 1.
    result.peers = {peer};
    result.shards = 1;
    return result;
}

// Replies as a peer that has the document and owns no shards.
auto reply_to(std::string const& payload) -> std::string
{
    auto const request = protocol::decode<protocol::peer_request>(payload);
    auto reply = protocol::peer_reply{protocol::done_reply{}};
    if (request && std::holds_alternative<protocol::config_request>(*request))
    {
        reply = protocol::config_reply{document()};
    }
    else if (request && std::holds_alternative<protocol::peer_update>(*request))
    {
        // Number 0 requests the whole state instead of changes.
        reply = protocol::peer_update_reply{
            core::instance_id{"peer"}, 0, 0, std::nullopt};
    }
    return protocol::encode(reply);
}

} // namespace

auto within(std::function<bool()> const& condition, core::duration limit)
    -> bool
{
    auto const end = std::chrono::steady_clock::now() + limit;
    while (!condition())
    {
        if (std::chrono::steady_clock::now() >= end)
        {
            return false;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

daemon_fixture::daemon_fixture(
    daemon::daemon_faults faults,
    std::function<void(coordination::daemon_settings&)> const& adjust_settings)
    : client_(loop_, {})
    , peer_client_(loop_, {})
    , peer_server_(transport::frame_server::listen(
          loop_, any_port(), {},
          [](auto const& payload, auto const& reply)
          { reply(reply_to(payload)); }))
{
    auto settings = settings_of(peer_server_.value().local());
    if (adjust_settings)
    {
        adjust_settings(settings);
    }
    daemon_ = std::make_unique<daemon::entry_daemon>(
        std::move(settings), core::null_logger(), faults);
    daemon_->start().value();
}

daemon_fixture::~daemon_fixture()
{
    daemon_.reset();
    loop_.stop();
}

auto daemon_fixture::addresses() const -> daemon::daemon_addresses
{
    return daemon_->addresses();
}

auto daemon_fixture::send_peer_update(
    std::vector<protocol::endpoint_table> tables) -> void
{
    auto update = protocol::peer_update{};
    update.instance = core::instance_id{"peer"};
    update.boot_id = "b";
    update.peer_address = transport::to_string(peer_server_->local());
    update.control_address = "127.0.0.1:1";
    update.config = core::generation{1};
    update.tables = std::move(tables);
    call_peer(protocol::encode(protocol::peer_request{std::move(update)}));
}

auto daemon_fixture::send_config() -> void
{
    send_peer_update({});
}

auto daemon_fixture::send_endpoint(transport::endpoint const& runner) -> void
{
    auto const entry = state::service_endpoint{
        core::service_id{service_name}, core::backend_server_id{"desk/1"},
        transport::to_string(runner), core::data_centre_id{"dc-1"}, false};
    send_peer_update({{core::shard_id{0}, core::epoch{1}, 1, {entry}}});
}

auto daemon_fixture::call(
    transport::endpoint const& target, transport::http_request request)
    -> transport::http_result
{
    auto result = std::promise<transport::http_result>{};
    client_.send(
        target, std::move(request), event_timeout,
        [&result](auto outcome) { result.set_value(std::move(outcome)); });
    return result.get_future().get();
}

auto daemon_fixture::is_ready() -> bool
{
    auto request = transport::http_request{};
    request.target = "/ready";
    auto const result = call(addresses().gateway, std::move(request));
    constexpr int status_ok = 200;
    return result.response && result.response->status == status_ok;
}

auto daemon_fixture::call_peer(std::string payload)
    -> std::optional<std::string>
{
    auto result = std::promise<std::optional<std::string>>{};
    peer_client_.call(
        addresses().peer, std::move(payload), event_timeout,
        [&result](auto reply) { result.set_value(std::move(reply)); });
    return result.get_future().get();
}

auto daemon_fixture::begin_stop() -> void
{
    daemon_->drain([stopped = stopped_] { *stopped = true; });
}

auto daemon_fixture::end_stop() -> bool
{
    auto const result =
        within([this] { return stopped_->load(); }, event_timeout);
    daemon_.reset();
    return result;
}

} // namespace godwitcleat::tests
