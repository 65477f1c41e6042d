/** @file instance_list_base.cpp The platform's lagging list of instances. */
#include "coordination/instance_list_base.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace godwitcleat::coordination
{

namespace
{

constexpr auto fetch_timeout = std::chrono::seconds{2};

auto parse_entry(nlohmann::json const& value) -> listed_instance
{
    auto result = listed_instance{};
    result.id = value.at("id").get<std::string>();
    result.kind = value.at("kind").get<std::string>();
    result.address = value.value("address", "");
    result.data_centre.value = value.value("data_centre", "");
    result.leaving = value.value("state", "live") == "leaving";
    return result;
}

} // namespace

auto parse_instance_list(std::string_view text)
    -> std::optional<std::vector<listed_instance>>
{
    try
    {
        auto result = std::vector<listed_instance>{};
        auto const document = nlohmann::json::parse(text);
        for (auto const& it : document.at("instances"))
        {
            result.push_back(parse_entry(it));
        }
        return result;
    }
    catch (nlohmann::json::exception const& error)
    {
        return core::fail(
            core::error_kind::protocol,
            fmt::format(
                "the instance list cannot be read: {}; check the address in "
                "[platform] instances",
                error.what()));
    }
}

auto make_fetch_instances(
    transport::http_client& client, transport::endpoint where)
    -> fetch_instances
{
    return [&client, where = std::move(where)](auto on_done)
    {
        auto request = transport::http_request{};
        request.target = "/v1/instances";
        client.send(
            where, std::move(request), fetch_timeout,
            [on_done = std::move(on_done)](transport::http_result const& result)
            {
                if (!result.response)
                {
                    core::fail(result.reason);
                    on_done(std::nullopt);
                    return;
                }
                on_done(parse_instance_list(result.response->body));
            });
    };
}

auto instance_history::update(
    std::vector<listed_instance> instances, core::time_point now) -> void
{
    auto const lock = std::scoped_lock{mutex_};
    first_update_ = first_update_.value_or(now);
    last_update_ = now;
    for (auto const& it : current_)
    {
        vanished_.emplace(it.id, now);
    }
    for (auto const& it : instances)
    {
        vanished_.erase(it.id);
    }
    current_ = std::move(instances);
}

auto instance_history::current() const -> std::vector<listed_instance>
{
    auto const lock = std::scoped_lock{mutex_};
    return current_;
}

auto instance_history::gone_since(
    std::string const& id, core::time_point known_since,
    core::time_point now) const -> std::optional<core::time_point>
{
    auto const lock = std::scoped_lock{mutex_};
    auto const listed = std::any_of(
        current_.begin(), current_.end(),
        [&id](auto const& it) { return it.id == id; });
    auto const it = vanished_.find(id);
    auto const vanished = it == vanished_.end() ? first_update_ : it->second;
    if (listed || !vanished || now - *vanished < lag_)
    {
        return core::fail(
            core::error_kind::not_found,
            "the instance is listed or vanished too recently; wait for the "
            "list's lag to pass");
    }
    // A list shows nothing of a process that has started within its lag.
    auto const shows_it_from = known_since + lag_;
    if (*vanished >= shows_it_from)
    {
        return *vanished + lag_;
    }
    if (last_update_ < shows_it_from)
    {
        return core::fail(
            core::error_kind::not_found,
            "the list may not show this process yet; read it again when its "
            "lag has passed");
    }
    return std::max(*vanished + lag_, shows_it_from);
}

} // namespace godwitcleat::coordination
