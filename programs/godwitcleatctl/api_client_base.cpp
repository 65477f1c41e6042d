/** @file api_client_base.cpp Client of the daemons' control API. */
#include "api_client_base.hpp"

#include "protocol/protocol.hpp"

#include <fmt/format.h>

#include <future>
#include <memory>
#include <utility>

namespace godwitcleat::ctl
{

namespace
{

auto exit_status_of(core::error_kind kind) -> exit_status
{
    switch (kind)
    {
    case core::error_kind::conflict: return exit_status::conflict;
    case core::error_kind::timeout:
    case core::error_kind::unknown_outcome: return exit_status::unknown;
    default: return exit_status::refused;
    }
}

auto answer_from_response(
    transport::http_response response, transport::endpoint const& daemon)
    -> api_answer
{
    constexpr auto first_error_status = 300;
    if (response.status < first_error_status)
    {
        return {exit_status::done, std::move(response.body), {}, daemon};
    }
    auto reason = protocol::failure_from_json(response.body);
    if (reason.kind == core::error_kind::internal)
    {
        reason.message =
            fmt::format("status {}: {}", response.status, reason.message);
    }
    auto const status = exit_status_of(reason.kind);
    return {status, std::move(response.body), std::move(reason), daemon};
}

auto answer_without_response(
    transport::http_result const& result, transport::endpoint const& daemon,
    bool changes_state) -> api_answer
{
    auto const name = transport::to_string(daemon);
    if (changes_state &&
        result.progress == transport::send_progress::maybe_written)
    {
        return {
            exit_status::unknown,
            {},
            {core::error_kind::unknown_outcome,
             fmt::format(
                 "{} did not respond ({}); the command may have taken effect, "
                 "so check the state before repeating it",
                 name, result.reason.message)},
            daemon};
    }
    return {
        exit_status::unreachable,
        {},
        {core::error_kind::unavailable,
         fmt::format(
             "{} cannot be reached ({}); check the address or use another "
             "daemon with --daemon",
             name, result.reason.message)},
        daemon};
}

} // namespace

api_client::api_client(
    transport::http_client& client, std::vector<transport::endpoint> daemons,
    core::duration timeout)
    : client_(client)
    , daemons_(std::move(daemons))
    , timeout_(timeout)
{
}

auto api_client::send(
    transport::endpoint const& daemon, transport::http_request request)
    -> transport::http_result
{
    // Shared, because the handler may still use the promise when get() returns.
    auto const result =
        std::make_shared<std::promise<transport::http_result>>();
    auto future = result->get_future();
    client_.send(
        daemon, std::move(request), timeout_,
        [result](transport::http_result value)
        { result->set_value(std::move(value)); });
    return future.get();
}

auto api_client::call(transport::http_request const& request) -> api_answer
{
    auto answer = api_answer{
        exit_status::usage,
        {},
        {core::error_kind::invalid_input,
         "no daemon is named; use --daemon ADDRESS:PORT or set "
         "GODWITCLEAT_DAEMON"},
        {}};
    for (auto const& daemon : daemons_)
    {
        auto result = send(daemon, request);
        if (!result.response)
        {
            answer = answer_without_response(
                result, daemon, request.method != "GET");
            if (answer.status == exit_status::unknown)
            {
                return answer;
            }
            continue;
        }
        answer = answer_from_response(std::move(*result.response), daemon);
        if (answer.reason.kind != core::error_kind::shutting_down)
        {
            return answer;
        }
    }
    return answer;
}

auto api_client::get(std::string_view target) -> api_answer
{
    auto request = transport::http_request{};
    request.target = std::string{target};
    return call(request);
}

auto api_client::post(std::string_view target, std::string const& body)
    -> api_answer
{
    auto request = transport::http_request{};
    request.method = "POST";
    request.target = std::string{target};
    request.headers.set("Content-Type", "application/json");
    request.body = body;
    return call(request);
}

auto api_client::get_from(
    transport::endpoint const& daemon, std::string_view target) -> api_answer
{
    auto request = transport::http_request{};
    request.target = std::string{target};
    auto result = send(daemon, std::move(request));
    return result.response
               ? answer_from_response(std::move(*result.response), daemon)
               : answer_without_response(result, daemon, false);
}

} // namespace godwitcleat::ctl
