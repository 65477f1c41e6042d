/** @file hosted_daemon_base.cpp Entry daemon on the hosting platform. */
#include "programs/godwitcleatd/hosted_daemon_base.hpp"

#include <fmt/ranges.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <sys/resource.h>
#include <utility>

namespace godwitcleat::daemon
{

namespace
{

constexpr auto drain_poll_interval = std::chrono::milliseconds{50};
// The settings file is polled for changes that come without a signal.
constexpr auto settings_poll_interval = std::chrono::milliseconds{1000};
// Enough for the watches, the lease renewal, a few reads and one write.
constexpr auto store_connections = std::size_t{8};
// One hold and a burst of starts; further starts wait for a connection.
constexpr auto worker_connections = std::size_t{4};
// The owner's lease stays valid if three renewals in a row are lost.
constexpr auto renewals_per_lease = 5;
// A host that is down does not answer a connection attempt; the router then
// tries another instance.
constexpr auto peer_connect_timeout = std::chrono::milliseconds{300};
constexpr auto max_waiting_orders = std::size_t{512};

auto set_process_metrics(core::metrics& metrics) -> void
{
    auto usage = rusage{};
    if (::getrusage(RUSAGE_SELF, &usage) != 0)
    {
        return;
    }
    constexpr auto us_per_s = 1e6;
    constexpr auto bytes_per_kb = 1024.0;
    auto const seconds = [](timeval const& value)
    {
        return static_cast<double>(value.tv_sec) +
               static_cast<double>(value.tv_usec) / us_per_s;
    };
    metrics.set(
        "process_cpu_seconds",
        seconds(usage.ru_utime) + seconds(usage.ru_stime));
    metrics.set(
        "process_peak_memory_bytes",
        static_cast<double>(usage.ru_maxrss) * bytes_per_kb);
}

// Escapes the value of a metric label.
auto escape_label_value(std::string_view text) -> std::string
{
    auto result = std::string{};
    for (auto const character : text)
    {
        if (character == '"' || character == '\\')
        {
            result += '\\';
        }
        result += character == '\n' ? ' ' : character;
    }
    return result;
}

auto store_limits() -> transport::http_client_limits
{
    auto limits = transport::http_client_limits{};
    limits.connections_per_endpoint = store_connections;
    return limits;
}

auto worker_limits() -> transport::http_client_limits
{
    auto limits = transport::http_client_limits{};
    limits.connections_per_endpoint = worker_connections;
    limits.waiting_per_endpoint = max_waiting_orders;
    return limits;
}

auto peer_limits() -> transport::frame_limits
{
    auto limits = transport::frame_limits{};
    limits.connect_timeout = peer_connect_timeout;
    return limits;
}

auto host_settings(coordination::hosted_settings const& from)
    -> coordination::dispatch_host_settings
{
    auto result = coordination::dispatch_host_settings{};
    auto& it = result.dispatch;
    it.lease_limit = from.lease_limit;
    it.start_validity = from.start_validity;
    it.stop_time = from.stop_time;
    it.commit_delay = from.commit_delay;
    it.poll_pause = from.poll_pause;
    it.retention = from.retention;
    it.measured_objectives = from.measured_objectives;
    it.followed_load = from.followed_load;
    it.previous_owner_validity = from.owner_lease;
    result.term.lease = from.owner_lease;
    result.term.lease_after_write = it.lease_after_write;
    result.term.renew_interval = from.owner_lease / renewals_per_lease;
    return result;
}

} // namespace

hosted_daemon::hosted_daemon(
    coordination::daemon_settings settings, core::logger log,
    std::string settings_path)
    : settings_(std::move(settings))
    , settings_path_(std::move(settings_path))
    , log_(std::move(log))
    , loop_(settings_.threads)
    , store_client_(loop_, store_limits())
    , worker_client_(loop_, worker_limits())
    , peer_client_(loop_, peer_limits())
    , store_(
          store_client_, {settings_.store.front(), settings_.store_timeout},
          now_, &metrics_)
    , host_(host_parts(), make_owner_record(), host_settings(*settings_.hosted))
    , router_(
          host_, coordination::make_frame_call(peer_client_), loop_, now_,
          log_.with_prefix("router"), {},
          [this](auto known) { return directory_.config_above(known); })
    , api_(
          [this](auto call, auto time_limit, auto on_answer)
          { router_.route(std::move(call), time_limit, std::move(on_answer)); },
          log_.with_prefix("gateway"), metrics_)
    , directory_(
          store_, loop_, now_, log_.with_prefix("config"),
          {settings_.hosted->worker_notice,
           settings_.hosted->data_centre_notice},
          directory_hooks())
    , config_exchange_(
          loop_, now_, log_.with_prefix("config"), metrics_,
          coordination::make_frame_call(peer_client_), config_exchange_hooks(),
          {})
{
}

hosted_daemon::~hosted_daemon()
{
    timers_.clear();
    loop_.stop();
}

auto hosted_daemon::make_owner_record() const -> protocol::owner_record
{
    return {
        settings_.name,
        boot_id_,
        transport::to_string(settings_.advertise_peer),
        {},
        settings_.cpu_milli};
}

auto hosted_daemon::host_parts() -> coordination::dispatch_host_parts
{
    return {
        store_,
        loop_,
        now_,
        log_,
        metrics_,
        platform::make_worker_link(worker_client_, {}),
        [this](bool is_owner) { directory_.follow_workers(is_owner); },
        [this]
        {
            return directory_.starts_allowed_until();
        }};
}

auto hosted_daemon::directory_hooks() -> platform::directory_hooks
{
    return {
        [this](auto queues)
        {
            api_.set_queues(queues);
            host_.set_queues(std::move(queues));
        },
        [this](auto drained) { host_.set_drained(std::move(drained)); },
        [this](auto workers)
        {
            host_.set_workers(std::move(workers));
        }};
}

// The owner comes first, because it has to reach the store.
auto hosted_daemon::config_exchange_hooks()
    -> coordination::config_exchange_hooks
{
    auto const instances = [this]
    {
        auto result = std::vector<transport::endpoint>{};
        auto const add = [&result](protocol::owner_record const& it)
        {
            if (auto where = transport::parse_endpoint(it.address))
            {
                result.push_back(std::move(*where));
            }
        };
        auto const owner = host_.owner();
        if (owner && owner->instance != settings_.name)
        {
            add(*owner);
        }
        for (auto const& it : host_.members())
        {
            add(it);
        }
        return result;
    };
    return {
        [this] { return directory_.has_customers(); },
        [this] { return directory_.config_confirmed_at(); },
        [this] { return directory_.config_version(); }, instances,
        [this](auto const& document)
        {
            directory_.take_config(document);
        }};
}

auto hosted_daemon::is_ready() const -> bool
{
    return !leaving_ && api_.has_queues();
}

auto hosted_daemon::listen() -> std::optional<bool>
{
    auto const handle_readiness =
        [this](auto const& /*request*/, auto const& reply)
    {
        constexpr int unavailable = 503;
        auto response = transport::http_response{};
        response.status = is_ready() ? response.status : unavailable;
        reply(std::move(response));
    };
    auto const handle_control = [this](auto const& request, auto const& reply)
    {
        constexpr int not_found = 404;
        auto response = transport::http_response{};
        if (request.target == "/v1/metrics")
        {
            response.body = metrics_page();
        }
        else
        {
            response.status = not_found;
        }
        reply(std::move(response));
    };
    gateway_listener_ = transport::http_server::listen(
        loop_, settings_.gateway, limits_.for_callers(),
        [this](auto const& request, auto reply)
        { api_.handle(request, std::move(reply)); });
    readiness_listener_ = transport::http_server::listen(
        loop_, settings_.hosted->readiness, limits_.for_checks(),
        handle_readiness);
    control_listener_ = transport::http_server::listen(
        loop_, settings_.control, limits_.for_checks(), handle_control);
    peer_listener_ = transport::frame_server::listen(
        loop_, settings_.peer, limits_.for_peers(),
        [this](auto const& payload, auto reply)
        { router_.handle_frame(payload, std::move(reply)); });
    if (!gateway_listener_ || !readiness_listener_ || !control_listener_ ||
        !peer_listener_)
    {
        return std::nullopt;
    }
    return true;
}

// A failure is only logged, so that the daemon serves callers without metrics.
auto hosted_daemon::listen_for_metrics() -> void
{
    if (!settings_.hosted->metrics)
    {
        return;
    }
    metrics_listener_ = transport::http_server::listen(
        loop_, *settings_.hosted->metrics, limits_.for_checks(),
        [this](auto const& request, auto const& reply)
        {
            constexpr int not_found = 404;
            auto response = transport::http_response{};
            auto const is_metrics_path = request.target == "/metrics";
            response.status = is_metrics_path ? response.status : not_found;
            response.body = is_metrics_path ? metrics_page() : "";
            response.headers.set("Content-Type", "text/plain; version=0.0.4");
            reply(std::move(response));
        });
    if (!metrics_listener_)
    {
        log_.warn(
            "Metrics listener did not start.",
            {{"reason", core::last_reason().message}});
    }
}

auto hosted_daemon::metrics_page() -> std::string
{
    auto const confirmed = directory_.config_confirmed_at();
    metrics_.set(
        "config_version", static_cast<double>(directory_.config_version()));
    if (confirmed)
    {
        metrics_.set(
            "config_age_seconds",
            std::chrono::duration<double>(now_() - *confirmed).count());
    }
    limits_.report_use();
    set_process_metrics(metrics_);
    auto text = metrics_.text();
    // Queue names are external input, so they are written to the page only and
    // do not become permanent entries of `metrics_`.
    constexpr auto max_queues = 100;
    auto n = 0;
    for (auto const& [queue, jobs] : host_.pending_by_queue())
    {
        if (++n > max_queues)
        {
            break;
        }
        text += fmt::format(
            "godwitcleat_queue_jobs_waiting{{queue=\"{}\"}} {}\n",
            escape_label_value(queue.value), jobs);
    }
    return text + customer_metrics();
}

// Names of customers are external input as well.
auto hosted_daemon::customer_metrics() const -> std::string
{
    constexpr auto max_customers = std::size_t{100};
    auto text = std::string{};
    auto counts = host_.customer_counts();
    counts.resize(std::min(counts.size(), max_customers));
    for (auto const& it : counts)
    {
        auto const add = [&](std::string_view name, auto value)
        {
            text += fmt::format(
                "godwitcleat_customer_{}{{customer=\"{}\"}} {}\n", name,
                escape_label_value(it.customer.value), value);
        };
        add("running_cpu_milli", it.running.cpu_milli);
        add("running_memory_mb", it.running.memory_mb);
        add("limit_cpu_milli", it.limit.cpu_milli);
        add("limit_memory_mb", it.limit.memory_mb);
        add("waiting_tasks", it.waiting_tasks);
        add("refused_jobs", it.refused_jobs);
        add("weight", it.weight);
        add("use_by_weight", it.use_by_weight);
        add("beyond_share", it.beyond_share ? 1 : 0);
    }
    return text;
}

auto hosted_daemon::start() -> std::optional<bool>
{
    if (!listen())
    {
        return std::nullopt;
    }
    log_.info(
        "Daemon starts.",
        {{"instance", settings_.name.value},
         {"boot_id", boot_id_},
         {"gateway", transport::to_string(settings_.gateway)},
         {"store", transport::to_string(settings_.store.front())}});
    listen_for_metrics();
    watch_settings_file();
    directory_.start();
    config_exchange_.start();
    host_.start();
    return true;
}

// The platform changes the file with or without sending a signal.
auto hosted_daemon::watch_settings_file() -> void
{
    loop_.on_each_signal(SIGHUP, [this] { reload("signal"); });
    if (settings_path_.empty())
    {
        return;
    }
    settings_text_ = core::read_file(settings_path_).value_or("");
    timers_.push_back(loop_.every(
        settings_poll_interval,
        [this]
        {
            auto const text = core::read_file(settings_path_);
            auto changed = false;
            {
                auto const lock = std::scoped_lock{reload_mutex_};
                changed = text && *text != settings_text_;
            }
            if (changed)
            {
                reload("the file has changed");
            }
        }));
}

auto hosted_daemon::reload(std::string_view cause) -> void
{
    auto const lock = std::scoped_lock{reload_mutex_};
    auto text = core::read_file(settings_path_);
    auto settings =
        text ? coordination::parse_daemon_settings(*text, settings_path_)
             : std::nullopt;
    if (!settings || !settings->hosted)
    {
        log_.warn(
            "Settings were not reloaded; the previous ones stay in force.",
            {{"cause", cause},
             {"reason", settings ? "section [hosted] is missing"
                                 : core::last_reason().message}});
        settings_text_ = text.value_or(settings_text_);
        return;
    }
    settings_text_ = std::move(*text);
    auto const restart_keys =
        coordination::keys_that_need_a_restart(settings_, *settings);
    log_.info(
        "Settings are reloaded.",
        {{"cause", cause},
         {"changed", settings_ != *settings},
         {"need_restart", fmt::format("{}", fmt::join(restart_keys, ", "))}});
    apply_settings(std::move(*settings));
}

auto hosted_daemon::apply_settings(coordination::daemon_settings settings)
    -> void
{
    settings_.level = settings.level;
    settings_.drain_delay = settings.drain_delay;
    settings_.drain_timeout = settings.drain_timeout;
    auto const previous = *settings_.hosted;
    settings_.hosted = std::move(settings.hosted);
    settings_.hosted->readiness = previous.readiness;
    settings_.hosted->owner_lease = previous.owner_lease;
    log_.set_level(settings_.level);
    host_.set_settings(host_settings(*settings_.hosted).dispatch);
    directory_.set_drain_limits(
        {settings_.hosted->worker_notice,
         settings_.hosted->data_centre_notice});
}

auto hosted_daemon::drain(std::function<void()> on_done) -> void
{
    log_.info(
        "Daemon drains.", {{"in_flight", gateway_listener_->in_flight()}});
    leaving_ = true;
    gateway_listener_->end_keep_alive();
    drain_deadline_ = now_() + settings_.drain_delay + settings_.drain_timeout;
    host_.leave([this]
                { log_.info("Ownership of the jobs has been handed over."); });
    timers_.push_back(loop_.after(
        settings_.drain_delay,
        [this, on_done = std::move(on_done)]
        {
            gateway_listener_->close_listener();
            finish_drain(on_done);
        }));
}

auto hosted_daemon::finish_drain(std::function<void()> on_done) -> void
{
    auto const is_drained =
        gateway_listener_->in_flight() == 0 && gateway_listener_->is_drained();
    if (is_drained || now_() >= drain_deadline_)
    {
        log_.info(
            "Daemon stops.",
            {{"in_flight", gateway_listener_->in_flight()},
             {"connections", gateway_listener_->open_connections()}});
        on_done();
        return;
    }
    timers_.push_back(loop_.after(
        drain_poll_interval,
        [this, on_done = std::move(on_done)] { finish_drain(on_done); }));
}

} // namespace godwitcleat::daemon
