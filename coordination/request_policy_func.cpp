/** @file request_policy_func.cpp Rules for retries and outcomes of requests. */
#include "coordination/request_policy_func.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <chrono>
#include <vector>

namespace godwitcleat::coordination
{

namespace
{

constexpr std::string_view service_prefix = "/s/";
constexpr std::size_t longest_request_id = 128;
constexpr std::int64_t longest_deadline_ms = 600'000;
constexpr int service_unavailable = 503;
constexpr int misdirected_request = 421;

constexpr std::array<std::string_view, 5> idempotent_methods{
    "GET", "HEAD", "PUT", "DELETE", "OPTIONS"};

constexpr std::array<std::string_view, 9> hop_by_hop{
    "Keep-Alive",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Proxy-Connection",
    "Content-Length"};

auto trim(std::string_view text) -> std::string_view
{
    constexpr std::string_view blanks = " \t";
    auto const first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
    {
        return {};
    }
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

auto split_list(std::string_view text) -> std::vector<std::string>
{
    auto result = std::vector<std::string>{};
    while (!text.empty())
    {
        auto const comma = std::min(text.find(','), text.size());
        auto const item = trim(text.substr(0, comma));
        if (!item.empty())
        {
            result.emplace_back(item);
        }
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return result;
}

auto same_name(std::string_view left, std::string_view right) -> bool
{
    return std::equal(
        left.begin(), left.end(), right.begin(), right.end(),
        [](unsigned char a, unsigned char b)
        { return std::tolower(a) == std::tolower(b); });
}

/** The rules of the gateway need these, so no sender may have them removed. */
auto is_protected(std::string_view name) -> bool
{
    return same_name(name, request_id_header) ||
           same_name(name, deadline_header) ||
           same_name(name, outcome_header) ||
           same_name(name, "Idempotency-Key");
}

} // namespace

auto is_idempotent(transport::http_request const& request) -> bool
{
    return std::find(
               idempotent_methods.begin(), idempotent_methods.end(),
               request.method) != idempotent_methods.end() ||
           !request.headers.get("Idempotency-Key").empty();
}

auto may_retry(attempt_outcome outcome, bool idempotent) -> bool
{
    switch (outcome)
    {
    case attempt_outcome::answered: return false;
    case attempt_outcome::not_run: return true;
    case attempt_outcome::unknown:
    case attempt_outcome::timed_out:
    case attempt_outcome::mismatch: return idempotent;
    }
    return false;
}

auto may_have_run(attempt_outcome outcome) -> bool
{
    return outcome != attempt_outcome::not_run;
}

auto outcome_of(transport::http_result const& result, std::string_view id)
    -> attempt_outcome
{
    if (!result.response)
    {
        if (result.progress == transport::send_progress::nothing_written)
        {
            return attempt_outcome::not_run;
        }
        return result.reason.kind == core::error_kind::timeout
                   ? attempt_outcome::timed_out
                   : attempt_outcome::unknown;
    }
    auto const& headers = result.response->headers;
    // A backend server that does not repeat the id is accepted: its connection
    // carries one request at a time and is closed after a timeout.
    auto const answered = headers.get(request_id_header);
    if (!answered.empty() && answered != id)
    {
        return attempt_outcome::mismatch;
    }
    auto const status = result.response->status;
    auto const refused =
        (status == misdirected_request || status == service_unavailable) &&
        headers.get(outcome_header) == outcome_not_run;
    return refused ? attempt_outcome::not_run : attempt_outcome::answered;
}

auto is_valid_request_id(std::string_view id) -> bool
{
    return !id.empty() && id.size() <= longest_request_id &&
           std::all_of(
               id.begin(), id.end(),
               [](unsigned char it)
               {
                   constexpr std::string_view others = "-_.:";
                   return std::isalnum(it) != 0 ||
                          others.find(static_cast<char>(it)) !=
                              std::string_view::npos;
               });
}

auto parse_deadline(
    transport::http_request const& request, core::duration by_default)
    -> std::optional<core::duration>
{
    auto const text = request.headers.get(deadline_header);
    if (text.empty())
    {
        return by_default;
    }
    auto ms = std::int64_t{0};
    auto const* const end = text.data() + text.size();
    auto const [rest, ec] = std::from_chars(text.data(), end, ms);
    if (ec != std::errc{} || rest != end || ms < 1 || ms > longest_deadline_ms)
    {
        return core::fail(
            core::error_kind::invalid_input,
            fmt::format(
                "{} is \"{}\"; use whole milliseconds from 1 to {}",
                deadline_header, text, longest_deadline_ms));
    }
    return std::chrono::milliseconds{ms};
}

auto parse_service_target(std::string_view target)
    -> std::optional<service_target>
{
    auto const tail = target.substr(0, service_prefix.size()) == service_prefix
                          ? target.substr(service_prefix.size())
                          : std::string_view{};
    auto const end = std::min(tail.find_first_of("/?"), tail.size());
    if (end == 0)
    {
        return core::fail(
            core::error_kind::not_found,
            fmt::format(
                "no service at \"{}\"; use a target of the form "
                "/s/SERVICE/PATH",
                target));
    }
    auto rest = std::string{tail.substr(end)};
    if (rest.empty() || rest.front() != '/')
    {
        rest.insert(rest.begin(), '/');
    }
    return service_target{
        core::service_id{std::string{tail.substr(0, end)}}, std::move(rest)};
}

auto remove_hop_by_hop(transport::http_headers& headers) -> void
{
    auto names = std::vector<std::string>{};
    for (auto const& [name, value] : headers.values)
    {
        if (same_name(name, "Connection"))
        {
            auto const list = split_list(value);
            names.insert(names.end(), list.begin(), list.end());
        }
    }
    for (auto const& name : names)
    {
        if (!is_protected(name))
        {
            headers.remove(name);
        }
    }
    headers.remove("Connection");
    for (auto const name : hop_by_hop)
    {
        headers.remove(name);
    }
}

} // namespace godwitcleat::coordination
