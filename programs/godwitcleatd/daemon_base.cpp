/** @file daemon_base.cpp Entry daemon: composition of its components. */
#include "programs/godwitcleatd/daemon_base.hpp"

#include "programs/godwitcleatd/settings_func.hpp"
#include "protocol/protocol.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace godwitcleat::daemon
{

namespace
{

constexpr auto peer_tick_interval = std::chrono::milliseconds{500};
constexpr auto drain_poll_interval = std::chrono::milliseconds{50};
constexpr auto config_fetch_timeout = std::chrono::seconds{1};

auto seed_from(std::string_view text) -> std::uint64_t
{
    return core::stable_hash(text);
}

} // namespace

entry_daemon::entry_daemon(
    coordination::daemon_settings settings, core::logger log,
    daemon_faults faults)
    : settings_(std::move(settings))
    , log_(std::move(log))
    , faults_(faults)
    , timeline_(settings_.name, settings_.timeline_events)
    , random_(seed_from(boot_id_))
    , instances_(settings_.instances_lag)
    , loop_(settings_.threads)
    , platform_client_(loop_, {})
    , backend_client_(loop_, backend_limits(settings_))
    , peer_client_(loop_, {})
    , call_peer_(coordination::make_peer_call(peer_client_))
    , store_(
          coordination::send_through(platform_client_), now_,
          log_.with_prefix("store"), store_settings(settings_))
    , config_(
          store_, now_, log_.with_prefix("config"),
          coordination::msgpack_config_codec())
    , logs_(store_, config_, now_, log_.with_prefix("shard"))
    , peers_(settings_.name, {}, peer_hooks(), log_)
    , host_(host_settings(settings_), host_hooks(), log_)
    , ownership_(
          store_, now_, log_.with_prefix("shard"), settings_.name, boot_id_,
          ownership_settings(settings_),
          {[this](auto const& change)
           {
               ownership_changed(change);
           }})
    , forwarding_(host_, peers_, call_peer_, settings_.shards, now_)
    , router_(
          now_, random_, coordination::default_policy(),
          router_settings(settings_))
    , gateway_(gateway_parts())
    , peer_server_(
          peers_, host_, timeline_,
          [this] { return config_.current().document; }, now_)
    , control_server_(control_hooks())
{
    if (settings_.instances)
    {
        fetch_instances_ = coordination::make_fetch_instances(
            platform_client_, *settings_.instances);
    }
}

entry_daemon::~entry_daemon()
{
    timers_.clear();
    loop_.stop();
}

auto entry_daemon::peer_hooks() -> coordination::peer_hooks
{
    return {
        call_peer_, [this] { return make_peer_update(); },
        [this](auto const& update)
        {
            handle_peer_update(update);
        }};
}

auto entry_daemon::host_hooks() -> coordination::shard_host_hooks
{
    auto hooks = coordination::shard_host_hooks{};
    hooks.load = [this](auto shard, auto, auto on_done)
    {
        logs_.load(shard, std::move(on_done));
    };
    hooks.append =
        [this](auto shard, auto, auto const& batch, auto number, auto on_done)
    {
        metrics_.count("log_appends");
        logs_.append(shard, batch, number, std::move(on_done));
    };
    hooks.snapshot_due = [this](auto shard)
    {
        return logs_.snapshot_due(shard);
    };
    hooks.write_snapshot = [this](auto shard, auto const& data, auto on_done)
    {
        logs_.write_snapshot(shard, data, std::move(on_done));
    };
    hooks.full = [this](auto shard)
    {
        return logs_.full(shard);
    };
    hooks.send = [this](auto request, auto on_done)
    {
        forwarding_.send(std::move(request), std::move(on_done));
    };
    hooks.former_owner_stopped = [this](auto shard, auto owner_epoch)
    {
        return former_owner_stopped(shard, owner_epoch);
    };
    hooks.on_lost = [this](auto shard)
    {
        logs_.close(shard);
        ownership_.release(shard);
    };
    hooks.config = [this]
    {
        return config_.current().document;
    };
    hooks.other_summaries = [this]
    {
        return peers_.summaries(now_());
    };
    hooks.on_event = [this](auto event)
    {
        timeline_.record(std::move(event));
    };
    hooks.post = [this](auto task)
    {
        loop_.post(std::move(task));
    };
    hooks.now = now_;
    return hooks;
}

auto entry_daemon::gateway_parts() -> coordination::gateway_parts
{
    auto const find_service = [this](core::service_id const& service)
        -> std::optional<state::service_config>
    {
        auto const document = config_.current().document;
        auto const it = document->services.find(service);
        if (it == document->services.end())
        {
            return std::nullopt;
        }
        return it->second;
    };
    auto const send =
        [this](auto const& endpoint, auto request, auto timeout, auto on_done)
    {
        backend_client_.send(
            endpoint, std::move(request), timeout, std::move(on_done));
    };
    return {
        now_,
        router_,
        find_service,
        send,
        metrics_,
        timeline_,
        log_.with_prefix("gateway")};
}

auto entry_daemon::listen() -> std::optional<bool>
{
    gateway_listener_ = transport::http_server::listen(
        loop_, settings_.gateway, limits_.for_callers(),
        [this](auto request, auto reply)
        {
            if (request.target == "/ready")
            {
                constexpr int unavailable = 503;
                auto response = transport::http_response{};
                response.status = is_ready() ? response.status : unavailable;
                reply(std::move(response));
                return;
            }
            gateway_.handle(std::move(request), std::move(reply));
        });
    if (!gateway_listener_)
    {
        return std::nullopt;
    }
    control_listener_ = transport::http_server::listen(
        loop_, settings_.control, limits_.for_workers(),
        [this](auto request, auto reply)
        { control_server_.handle(request, std::move(reply)); });
    if (!control_listener_)
    {
        return std::nullopt;
    }
    peer_listener_ = transport::frame_server::listen(
        loop_, settings_.peer, limits_.for_peers(),
        [this](auto payload, auto reply)
        { peer_server_.handle(payload, std::move(reply)); });
    if (!peer_listener_)
    {
        return std::nullopt;
    }
    return true;
}

auto entry_daemon::start_timers() -> void
{
    timers_.push_back(loop_.every(settings_.tick, [this] { tick(); }));
    timers_.push_back(
        loop_.every(peer_tick_interval, [this] { tick_peers(); }));
    if (fetch_instances_)
    {
        read_instances();
        timers_.push_back(loop_.every(
            settings_.instances_interval, [this] { read_instances(); }));
    }
}

auto entry_daemon::tick() -> void
{
    config_.tick();
    ownership_.tick();
    logs_.tick();
    host_.tick();
    forwarding_.tick();
    auto const is_new = [this](auto const& it)
    {
        return router_.is_newer(it);
    };
    for (auto& it : host_.tables(is_new))
    {
        router_.update_table(std::move(it));
    }
}

auto entry_daemon::tick_peers() -> void
{
    peers_.tick(now_());
    auto live = std::vector<core::instance_id>{};
    for (auto& it : peers_.live_instances(now_()))
    {
        live.emplace_back(std::move(it));
    }
    ownership_.set_live(live);
    metrics_.set("peers_live", static_cast<double>(live.size()));
    metrics_.set("shards_owned", static_cast<double>(host_.owned().size()));
}

auto entry_daemon::read_instances() -> void
{
    fetch_instances_(
        [this, asked = now_()](auto instances)
        {
            if (!instances)
            {
                log_.with_prefix("peer").warn(
                    "Instance list could not be read.",
                    {{"reason", core::last_reason().message}});
                return;
            }
            auto addresses = std::vector<transport::endpoint>{};
            for (auto const& it : *instances)
            {
                auto const address = transport::parse_endpoint(it.address);
                if (it.kind == "entry" && address)
                {
                    addresses.push_back(*address);
                }
            }
            peers_.add_addresses(addresses);
            instances_.update(std::move(*instances), asked);
        });
}

auto entry_daemon::make_peer_update() -> protocol::peer_update
{
    auto update = protocol::peer_update{};
    update.instance = settings_.name;
    update.boot_id = boot_id_;
    update.data_centre = settings_.data_centre;
    update.peer_address = transport::to_string(settings_.advertise_peer);
    update.control_address = transport::to_string(settings_.advertise_control);
    update.leaving = leaving_;
    update.store_reachable = ownership_.store_reachable();
    update.config = config_.current().document->number;
    update.shards = host_.owned();
    update.summaries = host_.summaries();
    update.tables = router_.tables();
    update.loads = router_.loads();
    return update;
}

auto entry_daemon::handle_peer_update(protocol::peer_update const& update)
    -> void
{
    for (auto const& it : update.shards)
    {
        host_.release_below(it.shard, it.owner_epoch);
        ownership_.observe(it.shard, it.owner_epoch);
    }
    for (auto const& it : update.tables)
    {
        router_.update_table(it);
    }
    router_.update_peer(update.instance, update.loads);
    if (update.config > config_.current().document->number)
    {
        fetch_config(update.peer_address);
    }
}

auto entry_daemon::fetch_config(std::string const& peer_address) -> void
{
    auto const address = transport::parse_endpoint(peer_address);
    if (!address)
    {
        return;
    }
    call_peer_(
        *address, protocol::config_request{}, config_fetch_timeout,
        [this](auto const& reply)
        {
            if (!reply)
            {
                return;
            }
            if (auto const* it = std::get_if<protocol::config_reply>(&*reply))
            {
                config_.offer(it->document);
            }
        });
}

auto entry_daemon::ownership_changed(
    coordination::shard_ownership const& change) -> void
{
    if (change.state == coordination::ownership_state::unconfirmed)
    {
        return;
    }
    if (change.state == coordination::ownership_state::lost)
    {
        host_.release(change.shard);
        logs_.close(change.shard);
        return;
    }
    auto const owned = host_.owned();
    auto const already_owned = std::any_of(
        owned.begin(), owned.end(),
        [&change](auto const& it) {
            return it.shard == change.shard &&
                   it.owner_epoch == change.owner_epoch;
        });
    if (already_owned)
    {
        return;
    }
    {
        auto const lock = std::scoped_lock{former_holders_mutex_};
        former_holders_[change.shard] = {change.former, now_()};
    }
    host_.release(change.shard);
    logs_.open(change.shard, change.epoch_revision);
    host_.acquire(change.shard, change.owner_epoch);
}

auto entry_daemon::former_owner_stopped(
    core::shard_id shard, core::epoch owner_epoch) -> bool
{
    auto former = former_holders{};
    {
        auto const lock = std::scoped_lock{former_holders_mutex_};
        former = former_holders_[shard];
    }
    auto const now = now_();
    return std::all_of(
        former.list.begin(), former.list.end(),
        [&](auto const& it)
        {
            auto const known_since = peers_.first_heard(it.instance, it.boot_id)
                                         .value_or(former.known_since);
            return it.instance == settings_.name ||
                   peers_.has_stepped_down(
                       it.instance, it.boot_id, shard, owner_epoch) ||
                   instances_.gone_since(it.instance.value, known_since, now)
                       .has_value();
        });
}

auto entry_daemon::drain(std::function<void()> on_done) -> void
{
    log_.info("Daemon drains.", {{"in_flight", gateway_.in_flight()}});
    leaving_ = true;
    gateway_.drain();
    // Closes each connection after its next response, so that callers reconnect
    // and few connections are idle when the listener closes.
    gateway_listener_->end_keep_alive();
    drain_deadline_ = now_() + settings_.drain_delay + settings_.drain_timeout;
    ownership_.leave([this] { log_.info("Shards have been handed over."); });
    timers_.push_back(loop_.after(
        settings_.drain_delay,
        [this, on_done = std::move(on_done)]
        {
            gateway_listener_->close_listener();
            control_listener_->close_listener();
            finish_drain(on_done);
        }));
}

auto entry_daemon::finish_drain(std::function<void()> on_done) -> void
{
    auto const is_drained = gateway_.in_flight() == 0 &&
                            gateway_listener_->is_drained() &&
                            control_listener_->is_drained();
    if (is_drained || now_() >= drain_deadline_ || faults_.cut_requests_at_stop)
    {
        log_.info(
            "Daemon stops.",
            {{"in_flight", gateway_.in_flight()},
             {"connections", gateway_listener_->open_connections() +
                                 control_listener_->open_connections()}});
        on_done();
        return;
    }
    timers_.push_back(loop_.after(
        drain_poll_interval,
        [this, on_done = std::move(on_done)] { finish_drain(on_done); }));
}

} // namespace godwitcleat::daemon
