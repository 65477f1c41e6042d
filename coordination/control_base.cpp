/** @file control_base.cpp The control port: operators and workers. */
#include "coordination/control_base.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <charconv>
#include <utility>

namespace godwitcleat::coordination
{

namespace
{

using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_unavailable = 503;

auto json_response(int status, std::string body) -> transport::http_response
{
    auto response = transport::http_response{};
    response.status = status;
    response.headers.set("Content-Type", "application/json");
    response.body = std::move(body);
    return response;
}

constexpr std::string_view msgpack_type = "application/msgpack";

auto is_msgpack(transport::http_request const& request) -> bool
{
    return request.headers.get("Content-Type") == msgpack_type;
}

auto parse_heartbeat(transport::http_request const& request)
    -> std::optional<state::partial_report>
{
    if (is_msgpack(request))
    {
        return protocol::decode<state::partial_report>(request.body);
    }
    auto const report = protocol::worker_report_from_json(request.body);
    return report ? std::optional{state::complete_report(*report)}
                  : std::nullopt;
}

// Answers in the format of the heartbeat.
auto heartbeat_response(state::heartbeat_reply const& reply, bool as_msgpack)
    -> transport::http_response
{
    if (!as_msgpack)
    {
        return json_response(status_ok, protocol::to_json(reply));
    }
    auto response = transport::http_response{};
    response.headers.set("Content-Type", msgpack_type);
    response.body = protocol::encode(reply);
    return response;
}

auto failure_response(core::failure const& reason) -> transport::http_response
{
    return json_response(http_status(reason.kind), protocol::to_json(reason));
}

auto path_of(std::string_view target) -> std::string_view
{
    return target.substr(0, target.find('?'));
}

auto hex_digit(char letter) -> int
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr int lower_case_bit = 0x20;
    auto const lower = letter >= 'A' && letter <= 'F'
                           ? static_cast<char>(letter | lower_case_bit)
                           : letter;
    auto const at = digits.find(lower);
    return at == std::string_view::npos ? -1 : static_cast<int>(at);
}

// Decodes %XX; other letters stand for themselves.
auto percent_decoded(std::string_view text) -> std::string
{
    constexpr int base = 16;
    auto result = std::string{};
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        auto const has_code = text[i] == '%' && i + 2 < text.size() &&
                              hex_digit(text[i + 1]) >= 0 &&
                              hex_digit(text[i + 2]) >= 0;
        if (!has_code)
        {
            result += text[i];
            continue;
        }
        result += static_cast<char>(
            hex_digit(text[i + 1]) * base + hex_digit(text[i + 2]));
        i += 2;
    }
    return result;
}

// Returns the value of `key=` in the query, or an empty text.
auto query_value(std::string_view target, std::string_view key) -> std::string
{
    auto const question = target.find('?');
    auto rest = question == std::string_view::npos
                    ? std::string_view{}
                    : target.substr(question + 1);
    while (!rest.empty())
    {
        auto const pair = rest.substr(0, rest.find('&'));
        auto const equals = pair.find('=');
        if (pair.substr(0, equals) == key && equals != std::string_view::npos)
        {
            return percent_decoded(pair.substr(equals + 1));
        }
        rest.remove_prefix(std::min(pair.size() + 1, rest.size()));
    }
    return {};
}

// Sends 200 with an empty object, or the failure.
auto reply_done(transport::http_reply reply) -> control_hooks::done
{
    return [reply = std::move(reply)](bool done)
    {
        reply(
            done ? json_response(status_ok, "{}")
                 : failure_response(core::last_reason()));
    };
}

// Names from peers may hold bytes that are not UTF-8, for which dump() throws.
auto text_of(json const& value) -> std::string
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

auto parse_body(std::string const& body) -> json
{
    return protocol::has_bounded_depth(body) ? json::parse(body, nullptr, false)
                                             : json(json::value_t::discarded);
}

auto parse_cancel(std::string const& body)
    -> std::optional<std::pair<core::job_id, std::string>>
{
    auto const document = parse_body(body);
    auto const valid = document.is_object() && document.contains("job") &&
                       document["job"].is_string();
    if (!valid)
    {
        return core::fail(
            core::error_kind::invalid_input,
            "key \"job\" is missing; send {\"job\": ID, \"reason\": TEXT}");
    }
    auto reason = std::string{"cancelled by an operator"};
    if (document.contains("reason") && document["reason"].is_string())
    {
        reason = document["reason"].get<std::string>();
    }
    return std::pair{
        core::job_id{document["job"].get<std::string>()}, std::move(reason)};
}

auto parse_publish(std::string const& body) -> std::optional<publish_command>
{
    auto const root = parse_body(body);
    auto const valid = root.is_object() && root.contains("base") &&
                       root["base"].is_number_unsigned() &&
                       root.contains("document");
    if (!valid)
    {
        return core::fail(
            core::error_kind::invalid_input,
            "the body has no \"base\" or \"document\"; send {\"base\": GEN, "
            "\"author\": TEXT, \"summary\": TEXT, \"document\": {...}}");
    }
    auto document =
        protocol::config_document_from_json(root["document"].dump());
    if (!document)
    {
        return std::nullopt;
    }
    auto const text = [&root](char const* key)
    {
        return root.contains(key) && root[key].is_string()
                   ? root[key].get<std::string>()
                   : std::string{};
    };
    return publish_command{
        core::generation{root["base"].get<std::uint64_t>()}, text("author"),
        text("summary"), std::move(*document)};
}

auto publish_response(std::optional<publish_outcome> const& result)
    -> transport::http_response
{
    if (!result)
    {
        return failure_response(core::last_reason());
    }
    if (result->accepted)
    {
        return json_response(
            status_ok, json{{"generation", result->number.value}}.dump());
    }
    auto body = json::parse(protocol::to_json(core::failure{
        core::error_kind::conflict,
        "another change came first; read the configuration again, repeat the "
        "change on it and publish again"}));
    body["changes"] = json::array();
    for (auto const& it : result->changes)
    {
        body["changes"].push_back(
            {{"number", it.number.value},
             {"author", it.author},
             {"summary", it.summary}});
    }
    return json_response(
        http_status(core::error_kind::conflict), text_of(body));
}

auto status_json(daemon_status const& status) -> std::string
{
    auto shards = json::array();
    for (auto const& it : status.shards)
    {
        shards.push_back(
            {{"shard", it.shard.value}, {"epoch", it.owner_epoch.value}});
    }
    auto peers = json::array();
    for (auto const& it : status.peers)
    {
        auto owned = json::array();
        for (auto const& shard : it.shards)
        {
            owned.push_back(shard.value);
        }
        peers.push_back(
            {{"instance", it.instance.value},
             {"control_address", it.control_address},
             {"generation", it.config.value},
             {"suspect", it.suspect},
             {"shards", owned}});
    }
    return text_of(json{
        {"instance", status.instance.value},
        {"boot_id", status.boot_id},
        {"data_centre", status.data_centre.value},
        {"ready", status.ready},
        {"generation", status.config.value},
        {"store_reachable", status.store_reachable},
        {"shards", shards},
        {"peers", peers}});
}

auto services_json(std::vector<state::service_endpoint> const& endpoints)
    -> std::string
{
    auto grouped = std::map<std::string, json>{};
    for (auto const& it : endpoints)
    {
        auto& list =
            grouped.try_emplace(it.service.value, json::array()).first->second;
        list.push_back(
            {{"backend_server", it.backend_server.value},
             {"address", it.address},
             {"data_centre", it.data_centre.value},
             {"leaving", it.leaving}});
    }
    auto result = json::array();
    for (auto const& [service, list] : grouped)
    {
        result.push_back({{"service", service}, {"endpoints", list}});
    }
    return text_of(result);
}

auto parse_sequence(std::string_view text) -> std::uint64_t
{
    auto result = std::uint64_t{0};
    std::from_chars(text.data(), text.data() + text.size(), result);
    return result;
}

} // namespace

auto http_status(core::error_kind kind) -> int
{
    constexpr int internal_error = 500;
    switch (kind)
    {
    case core::error_kind::invalid_input:
    case core::error_kind::protocol: return 400;
    case core::error_kind::not_found: return 404;
    case core::error_kind::conflict: return 409;
    case core::error_kind::not_owner: return 421;
    case core::error_kind::no_capacity:
    case core::error_kind::quota_exceeded: return 429;
    case core::error_kind::stale_epoch:
    case core::error_kind::unavailable:
    case core::error_kind::shutting_down: return status_unavailable;
    case core::error_kind::timeout:
    case core::error_kind::unknown_outcome: return 504;
    case core::error_kind::none:
    case core::error_kind::internal: return internal_error;
    }
    return internal_error;
}

control_server::control_server(control_hooks hooks)
    : hooks_(std::move(hooks))
{
    add_worker_routes();
    add_job_routes();
    add_config_routes();
    add_status_routes();
}

auto control_server::handle(
    transport::http_request const& request, transport::http_reply reply) -> void
{
    auto const key =
        fmt::format("{} {}", request.method, path_of(request.target));
    auto const it = routes_.find(key);
    if (it == routes_.end())
    {
        reply(failure_response(
            {core::error_kind::not_found,
             fmt::format(
                 "\"{}\" is no call of the control port; the calls are listed "
                 "in docs/design.md, section 5.11",
                 key)}));
        return;
    }
    it->second(request, std::move(reply));
}

auto control_server::add_worker_routes() -> void
{
    routes_["POST /v1/heartbeat"] = [this](auto const& request, auto reply)
    {
        auto report = parse_heartbeat(request);
        if (!report)
        {
            reply(failure_response(core::last_reason()));
            return;
        }
        hooks_.heartbeat(
            std::move(*report),
            [reply = std::move(reply),
             as_msgpack = is_msgpack(request)](heartbeat_result const& result)
            {
                if (result.reply)
                {
                    reply(heartbeat_response(*result.reply, as_msgpack));
                    return;
                }
                auto body = json::parse(protocol::to_json(core::failure{
                    core::error_kind::not_owner,
                    "another instance owns the rack's shard; send the "
                    "heartbeat to \"owner\""}));
                body["owner"] = result.owner;
                reply(json_response(
                    http_status(core::error_kind::not_owner), text_of(body)));
            });
    };
    routes_["GET /v1/workers"] = [this](auto const&, auto reply)
    {
        hooks_.workers(
            [reply = std::move(reply)](auto const& workers)
            { reply(json_response(status_ok, protocol::to_json(workers))); });
    };
}

auto control_server::add_job_routes() -> void
{
    routes_["POST /v1/jobs"] = [this](auto const& request, auto reply)
    {
        auto spec = protocol::job_spec_from_json(request.body);
        if (!spec)
        {
            reply(failure_response(core::last_reason()));
            return;
        }
        hooks_.submit(std::move(*spec), reply_done(std::move(reply)));
    };
    routes_["POST /v1/cancel"] = [this](auto const& request, auto reply)
    {
        auto command = parse_cancel(request.body);
        if (!command)
        {
            reply(failure_response(core::last_reason()));
            return;
        }
        hooks_.cancel(
            std::move(command->first), std::move(command->second),
            reply_done(std::move(reply)));
    };
    routes_["GET /v1/jobs"] = [this](auto const& request, auto reply)
    {
        auto wanted = std::optional<core::job_id>{};
        if (auto id = query_value(request.target, "job"); !id.empty())
        {
            wanted = core::job_id{std::move(id)};
        }
        hooks_.jobs(
            wanted,
            [reply = std::move(reply)](auto const& jobs)
            {
                reply(
                    jobs ? json_response(status_ok, protocol::to_json(*jobs))
                         : failure_response(core::last_reason()));
            });
    };
    routes_["GET /v1/services"] = [this](auto const&, auto reply)
    {
        reply(json_response(status_ok, services_json(hooks_.endpoints())));
    };
}

auto control_server::add_config_routes() -> void
{
    routes_["GET /v1/config"] = [this](auto const&, auto reply)
    {
        reply(json_response(status_ok, protocol::to_json(*hooks_.config())));
    };
    routes_["POST /v1/config"] = [this](auto const& request, auto reply)
    {
        auto command = parse_publish(request.body);
        if (!command)
        {
            reply(failure_response(core::last_reason()));
            return;
        }
        hooks_.publish(
            std::move(*command), [reply = std::move(reply)](auto const& it)
            { reply(publish_response(it)); });
    };
}

auto control_server::add_status_routes() -> void
{
    routes_["GET /v1/status"] = [this](auto const&, auto reply)
    {
        reply(json_response(status_ok, status_json(hooks_.status())));
    };
    routes_["GET /v1/metrics"] = [this](auto const&, auto reply)
    {
        auto response = transport::http_response{};
        response.headers.set("Content-Type", "text/plain; version=0.0.4");
        response.body = hooks_.metrics();
        reply(std::move(response));
    };
    routes_["GET /v1/timeline"] = [this](auto const& request, auto reply)
    {
        auto const after = parse_sequence(query_value(request.target, "after"));
        reply(json_response(
            status_ok, protocol::to_json(hooks_.timeline(after))));
    };
    routes_["GET /ready"] = [this](auto const&, auto reply)
    {
        auto const ready = hooks_.status().ready;
        reply(json_response(ready ? status_ok : status_unavailable, "{}"));
    };
}

} // namespace godwitcleat::coordination
