/** @file hosted_gateway_base.cpp Serves a store as the hosting platform does.
 */
#include "standins/support/hosted_gateway_base.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace godwitcleat::standins
{

namespace
{

using nlohmann::json;

constexpr auto poll_interval = std::chrono::milliseconds{10};
// The page size of the platform.
constexpr auto page_items = std::size_t{500};

auto respond(
    transport::http_reply const& reply, int status, json const& body = {})
    -> void
{
    auto response = transport::http_response{};
    response.status = status;
    response.body = body.is_null() ? "{}" : body.dump();
    reply(std::move(response));
}

auto item_of(coordination::store_entry const& entry) -> json
{
    return {
        {"key", entry.key},
        {"value", coordination::base64_encode(entry.value)},
        {"revision", entry.modify_revision},
        {"created", entry.create_revision},
        {"lease", 0}};
}

auto unescape(std::string_view text) -> std::string
{
    auto result = std::string{};
    for (auto i = std::size_t{0}; i < text.size(); ++i)
    {
        if (text[i] == '%' && i + 2 < text.size())
        {
            auto const digits = std::string{text.substr(i + 1, 2)};
            result +=
                static_cast<char>(std::strtol(digits.c_str(), nullptr, 16));
            i += 2;
        }
        else
        {
            result += text[i];
        }
    }
    return result;
}

auto parameter(std::string_view target, std::string_view name) -> std::string
{
    auto at = target.find('?');
    while (at != std::string_view::npos)
    {
        auto const end = target.find('&', at + 1);
        auto const part = target.substr(at + 1, end - at - 1);
        auto const equals = part.find('=');
        if (part.substr(0, equals) == name)
        {
            return unescape(part.substr(equals + 1));
        }
        at = end;
    }
    return {};
}

auto number(std::string const& text) -> std::int64_t
{
    return text.empty() ? 0 : std::stoll(text);
}

} // namespace

hosted_gateway::hosted_gateway(memory_store& target, transport::reactor& loop)
    : store_(target)
    , loop_(loop)
{
}

hosted_gateway::~hosted_gateway()
{
    if (server_)
    {
        server_->close(); // A request during the wait is not answered.
    }
    gate_.close();
}

auto hosted_gateway::listen(transport::endpoint const& where)
    -> std::optional<transport::endpoint>
{
    server_ = transport::http_server::listen(
        loop_, where, {},
        gate_.guarded([this](auto const& request, auto reply)
                      { handle(request, std::move(reply)); }));
    if (!server_)
    {
        return std::nullopt;
    }
    timer_ = loop_.every(poll_interval, gate_.guarded([this] { poll(); }));
    return server_->local();
}

auto hosted_gateway::handle(
    transport::http_request const& request, transport::http_reply reply) -> void
{
    if (silent)
    {
        return leave_open(reply);
    }
    if (busy)
    {
        return respond(reply, 503);
    }
    auto const& target = request.target;
    auto const path = target.substr(0, target.find('?'));
    if (path == "/api/kv-key")
    {
        return read_key(parameter(target, "key"), reply);
    }
    if (path == "/api/kv-range")
    {
        return read_range(
            parameter(target, "prefix"), parameter(target, "after"), reply);
    }
    if (path == "/api/kv-watch")
    {
        auto const wait =
            std::chrono::milliseconds{number(parameter(target, "wait-ms"))};
        auto it = waiting_watch{
            parameter(target, "prefix"), number(parameter(target, "after")),
            clock_() + wait, std::move(reply)};
        auto const lock = std::scoped_lock{mutex_};
        watches_.push_back(std::move(it));
        return;
    }
    if (path == "/api/kv-txn")
    {
        return commit(request.body, reply);
    }
    if (path == "/api/kv-lease")
    {
        auto const ms = json::parse(request.body).at("ttl-ms").get<int>();
        return store_.grant(
            std::chrono::milliseconds{ms},
            [this, reply, ms](auto lease)
            {
                if (!lease)
                {
                    return fail(reply, 503);
                }
                respond(reply, 200, {{"lease", lease->value}, {"ttl-ms", ms}});
            });
    }
    auto const id = coordination::store_lease{static_cast<std::uint64_t>(
        number(path.substr(path.find_last_of('/') + 1)))};
    auto const answer = [this, reply](auto lease)
    {
        lease ? respond(reply, 200) : fail(reply, 404);
    };
    if (path.starts_with("/api/kv-keep/"))
    {
        return store_.keep_alive(id, answer);
    }
    if (path.starts_with("/api/kv-lease-end/"))
    {
        return store_.revoke(id, answer);
    }
    respond(reply, 404);
}

auto hosted_gateway::read_key(
    std::string const& key, transport::http_reply const& reply) -> void
{
    store_.range(
        {key, "", 1, 0},
        [reply](auto range)
        {
            if (!range)
            {
                return respond(reply, 503);
            }
            if (range->entries.empty())
            {
                return respond(reply, 404);
            }
            auto body = item_of(range->entries.front());
            body["store-revision"] = range->revision;
            respond(reply, 200, body);
        });
}

auto hosted_gateway::read_range(
    std::string const& prefix, std::string const& after,
    transport::http_reply const& reply) -> void
{
    store_.range(
        {prefix, coordination::prefix_end(prefix), 0, 0},
        [reply, after](auto range)
        {
            if (!range)
            {
                return respond(reply, 503);
            }
            auto items = json::array();
            auto more = false;
            for (auto const& it : range->entries)
            {
                if (it.key <= after)
                {
                    continue;
                }
                if (items.size() == page_items)
                {
                    more = true;
                    break;
                }
                items.push_back(item_of(it));
            }
            respond(
                reply, 200,
                {{"items", items},
                 {"has-more", more},
                 {"store-revision", range->revision}});
        });
}

auto hosted_gateway::commit(
    std::string const& body, transport::http_reply const& reply) -> void
{
    auto const root = json::parse(body);
    auto transaction = coordination::store_transaction{};
    for (auto const& it : root.at("expect"))
    {
        transaction.compares.push_back(
            {it.at("key").get<std::string>(),
             it.at("revision").get<std::int64_t>()});
    }
    for (auto const& it : root.at("writes"))
    {
        transaction.writes.push_back(
            {it.at("key").get<std::string>(),
             coordination::base64_decode(it.at("value").get<std::string>()), "",
             coordination::store_lease{it.value("lease", std::uint64_t{0})}});
    }
    for (auto const& it : root.at("remove"))
    {
        transaction.writes.push_back(
            {it.get<std::string>(), std::nullopt, "", {}});
    }
    store_.commit(
        std::move(transaction),
        [this, reply](auto result)
        {
            if (!result)
            {
                return fail(reply, 503);
            }
            if (!result->succeeded)
            {
                return respond(reply, 412, {{"items", json::array()}});
            }
            respond(reply, 200, {{"revision", result->revision}});
        });
}

// The server would send 500 if the reply were dropped.
auto hosted_gateway::leave_open(transport::http_reply const& reply) -> void
{
    auto const lock = std::scoped_lock{mutex_};
    watches_.push_back({"\xff", 0, core::time_point::max(), reply});
}

// An answer that is lost does not come; 500 would say that nothing was done.
auto hosted_gateway::fail(transport::http_reply const& reply, int status)
    -> void
{
    auto const kind = core::last_reason().kind;
    if (kind == core::error_kind::unknown_outcome)
    {
        return leave_open(reply);
    }
    respond(reply, kind == core::error_kind::unavailable ? 503 : status);
}

auto hosted_gateway::compact() -> void
{
    auto const lock = std::scoped_lock{mutex_};
    compacted_ = revision_;
    events_.clear();
}

auto hosted_gateway::poll() -> void
{
    store_.expire_due();
    notice_changes();
    auto const lock = std::scoped_lock{mutex_};
    if (silent || busy || holds_watches)
    {
        return;
    }
    std::erase_if(
        watches_, [this](auto const& it) { return answer_watch(it); });
}

auto hosted_gateway::notice_changes() -> void
{
    auto read = std::optional<coordination::store_range>{};
    store_.range(
        {std::string(1, '\x01'), "\xff", 0, 0},
        [&read](auto range) { read = std::move(range); });
    if (!read)
    {
        return;
    }
    auto const lock = std::scoped_lock{mutex_};
    auto fresh = std::map<std::string, coordination::store_entry>{};
    for (auto& it : read->entries)
    {
        if (it.modify_revision > revision_)
        {
            events_.push_back({it.key, it.modify_revision, false});
        }
        auto key = it.key;
        fresh.emplace(std::move(key), std::move(it));
    }
    for (auto const& [key, it] : known_)
    {
        if (!fresh.contains(key))
        {
            events_.push_back({key, read->revision, true});
        }
    }
    known_ = std::move(fresh);
    revision_ = std::max(revision_, read->revision);
}

// Returns true if the watch was answered.
auto hosted_gateway::answer_watch(waiting_watch const& it) -> bool
{
    if (it.after < compacted_)
    {
        respond(it.reply, 410);
        return true;
    }
    auto found = json::array();
    for (auto const& event : events_)
    {
        if (event.revision <= it.after || !event.key.starts_with(it.prefix))
        {
            continue;
        }
        auto const known = known_.find(event.key);
        if (event.removed || known == known_.end())
        {
            found.push_back(
                {{"key", event.key},
                 {"revision", event.revision},
                 {"tombstone", true}});
            continue;
        }
        found.push_back(item_of(known->second));
    }
    if (found.empty() && clock_() < it.until)
    {
        return false;
    }
    respond(it.reply, 200, {{"events", found}, {"store-revision", revision_}});
    return true;
}

} // namespace godwitcleat::standins
