/** @file request_policy_func.hpp Rules for retries and outcomes of requests. */
#ifndef GODWITCLEAT_COORDINATION_REQUEST_POLICY_FUNC_HPP
#define GODWITCLEAT_COORDINATION_REQUEST_POLICY_FUNC_HPP

#include "core/core.hpp"
#include "transport/transport.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace godwitcleat::coordination
{

/// Names of the header fields that the gateway reads or writes.
constexpr std::string_view request_id_header = "X-Request-Id";
constexpr std::string_view deadline_header = "X-Deadline-Ms";
constexpr std::string_view outcome_header = "X-Outcome";
/// Id of the backend server that is meant; another one refuses with 421.
constexpr std::string_view backend_server_header = "X-Backend-Server";

/// Values of the header X-Outcome.
constexpr std::string_view outcome_not_run = "not-run";
constexpr std::string_view outcome_unknown = "unknown";

/** What is known after one attempt. */
enum class attempt_outcome
{
    answered,  ///< The whole answer to this request arrived.
    not_run,   ///< The request certainly did not run.
    unknown,   ///< It may have run; the connection failed.
    timed_out, ///< It may have run; no answer in time.
    mismatch   ///< It may have run; the answer belongs to another request.
};

/** Returns true if the request may run more than once. */
auto is_idempotent(transport::http_request const& request) -> bool;

/** Returns true if another attempt is allowed after @p outcome. */
auto may_retry(attempt_outcome outcome, bool idempotent) -> bool;

/** Returns true if the work may have been done. */
auto may_have_run(attempt_outcome outcome) -> bool;

/** Returns the outcome of an attempt to send the request @p id. */
auto outcome_of(transport::http_result const& result, std::string_view id)
    -> attempt_outcome;

/**
 * Returns true if a caller may choose @p id: 1 to 128 letters, digits, `-`,
 * `_`, `.` or `:`.
 */
auto is_valid_request_id(std::string_view id) -> bool;

/**
 * Returns the time that the caller allows, or @p by_default without the
 * header; std::nullopt with invalid_input unless it is from 1 to 600000 ms.
 */
auto parse_deadline(
    transport::http_request const& request, core::duration by_default)
    -> std::optional<core::duration>;

/** A target `/s/SERVICE/...`, split. */
struct service_target
{
    core::service_id service;
    std::string rest; ///< Path and query for the backend server, from `/`.
};

/** Splits a target; std::nullopt with not_found if it has another form. */
auto parse_service_target(std::string_view target)
    -> std::optional<service_target>;

/**
 * Removes the fields that concern one connection only (RFC 9110, 7.6.1), those
 * that `Connection` names, and the body length, which the transport sets.
 */
auto remove_hop_by_hop(transport::http_headers& headers) -> void;

} // namespace godwitcleat::coordination

#endif
