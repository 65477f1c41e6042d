/** @file msgpack_func.hpp msgpack codecs of messages, log and snapshots. */
#ifndef GODWITCLEAT_PROTOCOL_MSGPACK_FUNC_HPP
#define GODWITCLEAT_PROTOCOL_MSGPACK_FUNC_HPP

#include "protocol/peer_type.hpp"
#include "protocol/plan_message_type.hpp"
#include "state/state.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace godwitcleat::protocol
{

/** A snapshot: the state after the log entry `applied`. */
struct shard_snapshot
{
    core::log_index applied;
    state::shard_data data;
};

auto encode(peer_request const& value) -> std::string;
auto encode(peer_reply const& value) -> std::string;
auto encode(state::record_batch const& value) -> std::string;
auto encode(shard_snapshot const& value) -> std::string;
auto encode(state::config_document const& value) -> std::string;
auto encode(state::config_change const& value) -> std::string;
auto encode(state::partial_report const& value) -> std::string;
auto encode(state::heartbeat_reply const& value) -> std::string;
auto encode(state::plan_record const& value) -> std::string;
auto encode(state::plan_progress const& value) -> std::string;
auto encode(std::vector<state::stored_worker> const& value) -> std::string;
auto encode(job_call const& value) -> std::string;
auto encode(job_answer const& value) -> std::string;
auto encode(owner_record const& value) -> std::string;

/**
 * Decodes a value of type @p Type, one of those that encode() takes.
 * @return std::nullopt with protocol if the bytes are malformed; memory use
 *         is bounded by the size of @p bytes.
 */
template <class Type>
auto decode(std::string_view bytes) -> std::optional<Type>;

extern template auto decode(std::string_view) -> std::optional<peer_request>;
extern template auto decode(std::string_view) -> std::optional<peer_reply>;
extern template auto decode(std::string_view)
    -> std::optional<state::record_batch>;
extern template auto decode(std::string_view) -> std::optional<shard_snapshot>;
extern template auto decode(std::string_view)
    -> std::optional<state::config_document>;
extern template auto decode(std::string_view)
    -> std::optional<state::config_change>;
extern template auto decode(std::string_view)
    -> std::optional<state::partial_report>;
extern template auto decode(std::string_view)
    -> std::optional<state::heartbeat_reply>;
extern template auto decode(std::string_view)
    -> std::optional<state::plan_record>;
extern template auto decode(std::string_view)
    -> std::optional<state::plan_progress>;
extern template auto decode(std::string_view)
    -> std::optional<std::vector<state::stored_worker>>;
extern template auto decode(std::string_view) -> std::optional<job_call>;
extern template auto decode(std::string_view) -> std::optional<job_answer>;
extern template auto decode(std::string_view) -> std::optional<owner_record>;

} // namespace godwitcleat::protocol

#endif
