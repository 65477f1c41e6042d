/** @file etcd_gateway_base.cpp Serves a store over the etcd v3 JSON gateway. */
#include "standins/support/etcd_gateway_base.hpp"

#include <nlohmann/json.hpp>

#include <chrono>
#include <stdexcept>
#include <utility>

namespace godwitcleat::standins
{

namespace
{

using coordination::base64_encode;
using coordination::store_lease;
using nlohmann::json;

constexpr auto ok = 200;
constexpr auto bad_request = 400;
constexpr auto not_found = 404;
constexpr auto unavailable = 503;
constexpr auto grpc_invalid_argument = 3;
constexpr auto grpc_not_found = 5;
constexpr auto grpc_unavailable = 14;

auto bytes(json const& object, char const* name) -> std::string
{
    auto value = coordination::base64_decode(object.value(name, ""));
    if (!value)
    {
        throw std::invalid_argument{"a field is not base64"};
    }
    return std::move(*value);
}

auto integer(json const& object, char const* name) -> std::int64_t
{
    auto const it = object.find(name);
    if (it == object.end())
    {
        return 0;
    }
    return it->is_string() ? std::stoll(it->get<std::string>())
                           : it->get<std::int64_t>();
}

auto lease_of(json const& object, char const* name) -> store_lease
{
    return store_lease{static_cast<std::uint64_t>(integer(object, name))};
}

auto header(std::int64_t revision) -> json
{
    return {
        {"cluster_id", "1"},
        {"member_id", "1"},
        {"revision", std::to_string(revision)},
        {"raft_term", "1"}};
}

auto compare_of(json const& it) -> coordination::store_compare
{
    if (it.value("target", "VERSION") != "MOD" ||
        it.value("result", "EQUAL") != "EQUAL")
    {
        throw std::invalid_argument{"only MOD EQUAL is supported"};
    }
    return {bytes(it, "key"), integer(it, "mod_revision")};
}

auto write_of(json const& it) -> coordination::store_write
{
    if (auto const put = it.find("request_put"); put != it.end())
    {
        return {
            bytes(*put, "key"), bytes(*put, "value"), "",
            lease_of(*put, "lease")};
    }
    auto const& gone = it.at("request_delete_range");
    return {bytes(gone, "key"), std::nullopt, bytes(gone, "range_end"), {}};
}

auto transaction_of(json const& request) -> coordination::store_transaction
{
    auto result = coordination::store_transaction{};
    for (auto const& it : request.value("compare", json::array()))
    {
        result.compares.push_back(compare_of(it));
    }
    for (auto const& it : request.value("success", json::array()))
    {
        result.writes.push_back(write_of(it));
    }
    if (!request.value("failure", json::array()).empty())
    {
        throw std::invalid_argument{"the failure branch is not supported"};
    }
    return result;
}

auto range_body(coordination::store_range const& found) -> std::string
{
    auto answer = json{{"header", header(found.revision)}};
    for (auto const& it : found.entries)
    {
        auto entry = json{
            {"key", base64_encode(it.key)},
            {"create_revision", std::to_string(it.create_revision)},
            {"mod_revision", std::to_string(it.modify_revision)},
            {"version", "1"}};
        if (!it.value.empty())
        {
            entry["value"] = base64_encode(it.value);
        }
        answer["kvs"].push_back(std::move(entry));
    }
    if (found.more)
    {
        answer["more"] = true;
    }
    if (found.count > 0)
    {
        answer["count"] = std::to_string(found.count);
    }
    return answer.dump();
}

auto commit_body(coordination::store_commit const& done) -> std::string
{
    auto answer = json{{"header", header(done.revision)}};
    if (done.succeeded)
    {
        answer["succeeded"] = true;
    }
    return answer.dump();
}

auto reply_failure(etcd_reply const& reply) -> void
{
    auto const& reason = core::last_reason();
    switch (reason.kind)
    {
    case core::error_kind::not_found:
        return reply(
            not_found,
            etcd_error_body(
                grpc_not_found, "etcdserver: requested lease not found"));
    case core::error_kind::invalid_input:
        return reply(
            bad_request,
            etcd_error_body(grpc_invalid_argument, reason.message));
    default:
        reply(
            unavailable,
            etcd_error_body(grpc_unavailable, "etcdserver: request timed out"));
    }
}

/** Returns a handler that replies with what @p encode makes of the result. */
template <class Result, class Encode>
auto answering(etcd_reply reply, Encode encode)
    -> coordination::store::handler<Result>
{
    return [reply = std::move(reply),
            encode = std::move(encode)](std::optional<Result> result)
    {
        if (!result)
        {
            return reply_failure(reply);
        }
        reply(ok, encode(*result));
    };
}

} // namespace

auto is_write_path(std::string_view path) -> bool
{
    return path != "/v3/kv/range";
}

auto etcd_error_body(int grpc_code, std::string_view message) -> std::string
{
    // The message may quote bytes of the request that are not UTF-8.
    return json{{"error", message}, {"code", grpc_code}, {"message", message}}
        .dump(-1, ' ', false, json::error_handler_t::replace);
}

etcd_gateway::etcd_gateway(coordination::store& target)
    : store_(target)
{
}

auto etcd_gateway::handle(
    std::string_view path, std::string_view body, etcd_reply const& reply)
    -> void
{
    auto call = std::function<void()>{};
    try
    {
        auto const request = json::parse(body);
        if (path == "/v3/kv/range")
        {
            auto const lowest = integer(request, "min_mod_revision");
            auto query = coordination::store_query{
                bytes(request, "key"), bytes(request, "range_end"),
                integer(request, "limit"),
                std::max<std::int64_t>(lowest, 1) - 1};
            call = [this, reply, query = std::move(query)]
            {
                store_.range(
                    query,
                    answering<coordination::store_range>(reply, &range_body));
            };
        }
        else if (path == "/v3/kv/txn")
        {
            call = [this, reply, transaction = transaction_of(request)]
            {
                store_.commit(
                    transaction,
                    answering<coordination::store_commit>(reply, &commit_body));
            };
        }
        else if (path == "/v3/lease/grant")
        {
            call = [this, reply, seconds = integer(request, "TTL")]
            {
                store_.grant(
                    std::chrono::seconds{seconds},
                    answering<store_lease>(
                        reply,
                        [seconds](store_lease id)
                        {
                            return json{
                                {"header", header(1)},
                                {"ID", std::to_string(id.value)},
                                {"TTL", std::to_string(seconds)}}
                                .dump();
                        }));
            };
        }
        else if (path == "/v3/lease/keepalive")
        {
            call = [this, reply, id = lease_of(request, "ID")]
            {
                // etcd answers a lapsed lease with a TTL of 0, left out here.
                auto const encode = [id](bool alive)
                {
                    auto result = json{
                        {"header", header(1)},
                        {"ID", std::to_string(id.value)}};
                    if (alive)
                    {
                        // Clients only test that it is above 0.
                        result["TTL"] = "6";
                    }
                    return json{{"result", std::move(result)}}.dump() + "\n";
                };
                store_.keep_alive(
                    id,
                    [reply, encode](auto done)
                    {
                        auto const lapsed =
                            !done && core::last_reason().kind ==
                                         core::error_kind::not_found;
                        if (!done && !lapsed)
                        {
                            return reply_failure(reply);
                        }
                        reply(ok, encode(done.has_value()));
                    });
            };
        }
        else if (path == "/v3/lease/revoke")
        {
            call = [this, reply, id = lease_of(request, "ID")]
            {
                store_.revoke(
                    id, answering<store_lease>(
                            reply,
                            [](store_lease) {
                                return json{{"header", header(1)}}.dump();
                            }));
            };
        }
        else
        {
            call = [reply]
            {
                reply(not_found, "Not Found");
            };
        }
    }
    catch (std::exception const& problem)
    {
        auto const text = std::string{problem.what()};
        call = [reply, text]
        {
            reply(bad_request, etcd_error_body(grpc_invalid_argument, text));
        };
    }
    call();
}

} // namespace godwitcleat::standins
