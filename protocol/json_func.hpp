/** @file json_func.hpp JSON codecs of the control port. */
#ifndef GODWITCLEAT_PROTOCOL_JSON_FUNC_HPP
#define GODWITCLEAT_PROTOCOL_JSON_FUNC_HPP

#include "core/core.hpp"
#include "state/state.hpp"

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace godwitcleat::protocol
{

/**
 * Returns false if @p text nests deeper than any message does. Such text must
 * not be parsed: nlohmann-json keeps about 65 bytes for each level and writes
 * levels recursively, so that one body could exhaust memory or the stack.
 */
auto has_bounded_depth(std::string_view text) -> bool;

/** Operator commands and worker heartbeats; keys are the members' names. */
auto to_json(state::worker_report const& value) -> std::string;
auto to_json(state::heartbeat_reply const& value) -> std::string;
auto to_json(state::job_spec const& value) -> std::string;
auto to_json(std::span<state::job const> values) -> std::string;
auto to_json(std::span<state::worker_view const> values) -> std::string;
auto to_json(std::span<core::timeline_event const> values) -> std::string;
auto to_json(state::config_document const& value) -> std::string;

/** Returns `{"error": KIND, "message": TEXT}`. */
auto to_json(core::failure const& value) -> std::string;

/** Each returns std::nullopt with invalid_input that names the key. */
auto worker_report_from_json(std::string_view text)
    -> std::optional<state::worker_report>;
auto heartbeat_reply_from_json(std::string_view text)
    -> std::optional<state::heartbeat_reply>;
auto job_spec_from_json(std::string_view text)
    -> std::optional<state::job_spec>;
auto jobs_from_json(std::string_view text)
    -> std::optional<std::vector<state::job>>;
auto workers_from_json(std::string_view text)
    -> std::optional<std::vector<state::worker_view>>;
auto timeline_from_json(std::string_view text)
    -> std::optional<std::vector<core::timeline_event>>;
auto config_document_from_json(std::string_view text)
    -> std::optional<state::config_document>;

/** Returns the failure that to_json(failure) wrote; kind internal if none. */
auto failure_from_json(std::string_view text) -> core::failure;

} // namespace godwitcleat::protocol

#endif
