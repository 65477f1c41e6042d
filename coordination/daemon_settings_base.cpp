/** @file daemon_settings_base.cpp Reads and checks the daemon's settings. */
#include "coordination/daemon_settings_base.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace godwitcleat::coordination
{

namespace
{

// A worker must be able to lose three heartbeats without losing its lease.
constexpr auto heartbeats_per_lease = 4;

class settings_reader
{
public:
    explicit settings_reader(core::ini_file const& file)
        : file_(file)
    {
    }

    auto read() -> std::optional<daemon_settings>
    {
        read_instance();
        read_outside();
        read_scheduler();
        read_gateway();
        read_hosted();
        read_limits();
        check_sections();
        check_times();
        check_ports();
        if (!problems_.empty())
        {
            return core::fail(
                core::error_kind::invalid_input,
                fmt::format("{}", fmt::join(problems_, "\n")));
        }
        return std::move(settings_);
    }

private:
    // Reads the section `name`, or an empty one if the file has none.
    template <class Read>
    auto in_section(std::string_view name, Read read) -> void
    {
        known_.emplace(name);
        auto section = core::ini_section{std::string{name}, 1, {}};
        for (auto const& it : file_.sections)
        {
            if (it.name == name)
            {
                section = it;
            }
        }
        auto reader = core::ini_reader{file_.path, section};
        read(reader);
        for (auto& problem : reader.finish())
        {
            problems_.push_back(std::move(problem));
        }
    }

    static auto read_ms(
        core::ini_reader& reader, std::string_view key, core::duration& value,
        std::int64_t least, std::int64_t most) -> void
    {
        using ms = std::chrono::milliseconds;
        auto const fallback = std::chrono::duration_cast<ms>(value).count();
        value = ms{reader.number(key, fallback, least, most, "milliseconds")};
    }

    template <class Number>
    static auto read_number(
        core::ini_reader& reader, std::string_view key, Number& value,
        std::int64_t least, std::int64_t most, std::string_view unit) -> void
    {
        value = static_cast<Number>(reader.number(
            key, static_cast<std::int64_t>(value), least, most, unit));
    }

    // Reports an address that cannot be parsed or has no port.
    static auto
    parse(core::ini_reader& reader, std::string_view key, std::string_view text)
        -> std::optional<transport::endpoint>
    {
        auto address = transport::parse_endpoint(text);
        if (!address)
        {
            reader.problem(
                key, fmt::format("is \"{}\"; use ADDRESS:PORT", text));
        }
        else if (address->port == 0)
        {
            reader.problem(key, "has port 0; use a port from 1 to 65535");
        }
        return address;
    }

    static auto required_address(core::ini_reader& reader, std::string_view key)
        -> transport::endpoint
    {
        auto const text = reader.required_text(key);
        return text.empty()
                   ? transport::endpoint{}
                   : parse(reader, key, text).value_or(transport::endpoint{});
    }

    static auto address_or(
        core::ini_reader& reader, std::string_view key,
        transport::endpoint const& fallback) -> transport::endpoint
    {
        auto const text = reader.text(key, "");
        return text.empty() ? fallback
                            : parse(reader, key, text).value_or(fallback);
    }

    static auto addresses(core::ini_reader& reader)
        -> std::vector<transport::endpoint>
    {
        auto result = std::vector<transport::endpoint>{};
        for (auto const& text : reader.list("addresses"))
        {
            if (auto address = parse(reader, "addresses", text))
            {
                result.push_back(std::move(*address));
            }
        }
        return result;
    }

    auto read_instance() -> void
    {
        in_section(
            "instance",
            [this](core::ini_reader& reader)
            {
                auto& it = settings_;
                it.name = core::instance_id{reader.required_text("name")};
                it.data_centre =
                    core::data_centre_id{reader.required_text("data_centre")};
                constexpr auto milli = 1000.0;
                it.cpu_milli = static_cast<std::uint32_t>(
                    milli *
                    reader.decimal("processors", 1.0, 0.001, 1024.0, "cores"));
                it.gateway = required_address(reader, "gateway");
                it.control = required_address(reader, "control");
                it.peer = required_address(reader, "peer");
                it.advertise_gateway =
                    address_or(reader, "advertise_gateway", it.gateway);
                it.advertise_control =
                    address_or(reader, "advertise_control", it.control);
                it.advertise_peer =
                    address_or(reader, "advertise_peer", it.peer);
            });
    }

    auto read_outside() -> void
    {
        in_section(
            "store",
            [this](core::ini_reader& reader)
            {
                settings_.store = addresses(reader);
                if (reader.list("addresses").empty())
                {
                    reader.problem(
                        "addresses", "is missing; add ADDRESS:PORT, ...");
                }
                read_ms(
                    reader, "timeout_ms", settings_.store_timeout, 50, 60'000);
            });
        in_section(
            "platform",
            [this](core::ini_reader& reader)
            {
                auto const text = reader.text("instances", "");
                if (!text.empty())
                {
                    settings_.instances = parse(reader, "instances", text);
                }
                read_ms(
                    reader, "instances_interval_ms",
                    settings_.instances_interval, 100, 600'000);
                read_ms(
                    reader, "instances_lag_ms", settings_.instances_lag, 0,
                    3'600'000);
            });
        in_section(
            "peers", [this](core::ini_reader& reader)
            { settings_.peers = addresses(reader); });
    }

    auto read_scheduler() -> void
    {
        in_section(
            "scheduler",
            [this](core::ini_reader& reader)
            {
                auto& it = settings_;
                read_number(reader, "shards", it.shards, 1, 1024, "shards");
                read_ms(reader, "heartbeat_ms", it.heartbeat, 10, 60'000);
                read_ms(reader, "lease_ms", it.lease, 40, 600'000);
                read_ms(reader, "tick_ms", it.tick, 1, 10'000);
                read_ms(
                    reader, "start_validity_ms", it.start_validity, 10, 60'000);
            });
    }

    auto read_gateway() -> void
    {
        in_section(
            "gateway",
            [this](core::ini_reader& reader)
            {
                auto& it = settings_;
                read_number(
                    reader, "connections_per_backend",
                    it.connections_per_backend, 1, 1024, "connections");
                read_number(
                    reader, "retry_percent", it.retry_percent, 0, 100,
                    "retries per 100 requests");
                read_number(
                    reader, "most_in_flight", it.most_in_flight, 1, 1'000'000,
                    "requests");
            });
    }

    auto read_hosted() -> void
    {
        known_.emplace("hosted");
        auto const given = std::any_of(
            file_.sections.begin(), file_.sections.end(),
            [](auto const& it) { return it.name == "hosted"; });
        if (!given)
        {
            return;
        }
        in_section(
            "hosted",
            [this](core::ini_reader& reader)
            {
                auto& it = settings_.hosted.emplace();
                it.readiness = required_address(reader, "readiness");
                auto const metrics = reader.text("metrics", "");
                if (!metrics.empty())
                {
                    it.metrics = parse(reader, "metrics", metrics);
                }
                read_ms(
                    reader, "lease_limit_ms", it.lease_limit, 1000, 600'000);
                read_ms(
                    reader, "owner_lease_ms", it.owner_lease, 1000, 600'000);
                read_ms(
                    reader, "start_validity_ms", it.start_validity, 100,
                    60'000);
                read_ms(reader, "stop_ms", it.stop_time, 1, 60'000);
                // The watches of both ranges are answered each 1.2 s.
                read_ms(
                    reader, "worker_notice_ms", it.worker_notice, 1600,
                    600'000);
                read_ms(
                    reader, "data_centre_notice_ms", it.data_centre_notice,
                    1600, 600'000);
                read_ms(reader, "commit_delay_ms", it.commit_delay, 0, 10'000);
                read_ms(reader, "look_gap_ms", it.poll_pause, 0, 10'000);
                read_ms(reader, "retention_ms", it.retention, 1000, 86'400'000);
                it.measured_objectives =
                    choose(reader, "objectives", "declared", "measured");
                it.followed_load =
                    choose(reader, "serving_load", "mean", "followed");
                check_hosted(reader, it);
            });
    }

    /** Returns true if the text of @p key is @p second, false if it is
     *  @p first, the default. */
    static auto choose(
        core::ini_reader& reader, std::string_view key, std::string_view first,
        std::string_view second) -> bool
    {
        auto const text = reader.text(key, first);
        if (text != first && text != second)
        {
            reader.problem(key, fmt::format("must be {} or {}", first, second));
        }
        return text == second;
    }

    static auto
    check_hosted(core::ini_reader& reader, hosted_settings const& it) -> void
    {
        if (it.start_validity >= it.lease_limit)
        {
            reader.problem(
                "start_validity_ms",
                "is not below lease_limit_ms; make it at most half of it");
        }
    }

    auto read_limits() -> void
    {
        in_section(
            "log",
            [this](core::ini_reader& reader)
            {
                auto const text = reader.text("level", "info");
                auto const level = core::parse_log_level(text);
                if (!level)
                {
                    reader.problem(
                        "level",
                        fmt::format(
                            "is \"{}\"; use debug, info, warn or error", text));
                }
                settings_.level = level.value_or(core::log_level::info);
            });
        in_section(
            "limits",
            [this](core::ini_reader& reader)
            {
                auto& it = settings_;
                read_number(reader, "threads", it.threads, 1, 256, "threads");
                read_number(
                    reader, "memory_mb", it.memory_mb, 0, 1 << 20, "MB");
                read_number(
                    reader, "request_memory_mb", it.request_memory_mb, 0,
                    1 << 20, "MB");
                read_number(
                    reader, "connections", it.connections, 0, 1'000'000,
                    "connections");
                read_number(
                    reader, "connections_per_address",
                    it.connections_per_address, 0, 1'000'000, "connections");
                read_number(
                    reader, "min_body_rate", it.min_body_bytes_per_s, 1,
                    1 << 30, "bytes per second");
                read_ms(reader, "body_grace_ms", it.body_grace, 100, 600'000);
                read_number(
                    reader, "timeline_events", it.timeline_events, 1,
                    10'000'000, "events");
                read_ms(reader, "drain_delay_ms", it.drain_delay, 0, 600'000);
                read_ms(
                    reader, "drain_timeout_ms", it.drain_timeout, 0, 3'600'000);
            });
    }

    auto check_sections() -> void
    {
        for (auto const& it : file_.sections)
        {
            if (!known_.contains(it.name))
            {
                problems_.push_back(fmt::format(
                    "{}:{}: section [{}] is unknown; remove it or use one of: "
                    "{}",
                    file_.path, it.line, it.name, fmt::join(known_, ", ")));
            }
        }
    }

    auto check_times() -> void
    {
        if (settings_.lease < heartbeats_per_lease * settings_.heartbeat)
        {
            problems_.push_back(fmt::format(
                "{}: keys \"lease_ms\" and \"heartbeat_ms\" in [scheduler] "
                "conflict; make the lease at least {} heartbeats long",
                file_.path, heartbeats_per_lease));
        }
    }

    auto check_ports() -> void
    {
        auto const all = std::vector<
            std::pair<std::string_view, transport::endpoint const&>>{
            {"gateway", settings_.gateway},
            {"control", settings_.control},
            {"peer", settings_.peer}};
        auto used = std::map<std::uint16_t, std::string_view>{};
        for (auto const& [key, address] : all)
        {
            auto const [it, inserted] = used.emplace(address.port, key);
            if (!inserted && address.port != 0)
            {
                problems_.push_back(fmt::format(
                    "{}: keys \"{}\" and \"{}\" in [instance] both use port "
                    "{}; give each its own port",
                    file_.path, it->second, key, address.port));
            }
        }
    }

    core::ini_file const& file_;
    daemon_settings settings_;
    std::set<std::string, std::less<>> known_;
    std::vector<std::string> problems_;
};

} // namespace

auto parse_daemon_settings(std::string_view text, std::string_view path)
    -> std::optional<daemon_settings>
{
    auto const file = core::parse_ini(text, path);
    return file ? settings_reader{*file}.read() : std::nullopt;
}

auto keys_that_need_a_restart(
    daemon_settings const& before, daemon_settings const& now)
    -> std::vector<std::string>
{
    auto result = std::vector<std::string>{};
    auto const check = [&](bool same, char const* key)
    {
        if (!same)
        {
            result.emplace_back(key);
        }
    };
    check(before.name == now.name, "[instance] name");
    check(before.data_centre == now.data_centre, "[instance] data_centre");
    check(before.cpu_milli == now.cpu_milli, "[instance] processors");
    check(before.gateway == now.gateway, "[instance] gateway");
    check(before.control == now.control, "[instance] control");
    check(before.peer == now.peer, "[instance] peer");
    check(
        before.advertise_peer == now.advertise_peer,
        "[instance] advertise_peer");
    check(before.store == now.store, "[store] addresses");
    check(before.store_timeout == now.store_timeout, "[store] timeout_ms");
    check(before.threads == now.threads, "[limits] threads");
    check(before.memory_mb == now.memory_mb, "[limits] memory_mb");
    check(
        before.request_memory_mb == now.request_memory_mb,
        "[limits] request_memory_mb");
    check(before.connections == now.connections, "[limits] connections");
    check(
        before.connections_per_address == now.connections_per_address,
        "[limits] connections_per_address");
    check(
        before.min_body_bytes_per_s == now.min_body_bytes_per_s,
        "[limits] min_body_rate");
    check(before.body_grace == now.body_grace, "[limits] body_grace_ms");
    check(
        before.most_in_flight == now.most_in_flight,
        "[gateway] most_in_flight");
    check(before.hosted.has_value() == now.hosted.has_value(), "[hosted]");
    if (before.hosted && now.hosted)
    {
        check(
            before.hosted->readiness == now.hosted->readiness,
            "[hosted] readiness");
        check(
            before.hosted->metrics == now.hosted->metrics, "[hosted] metrics");
        check(
            before.hosted->owner_lease == now.hosted->owner_lease,
            "[hosted] owner_lease_ms");
    }
    return result;
}

auto load_daemon_settings(std::string const& path)
    -> std::optional<daemon_settings>
{
    auto const file = core::read_ini(path);
    return file ? settings_reader{*file}.read() : std::nullopt;
}

} // namespace godwitcleat::coordination
