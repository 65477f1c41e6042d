/** @file key_func.hpp Names of the keys in the store. */
#ifndef GODWITCLEAT_COORDINATION_KEY_FUNC_HPP
#define GODWITCLEAT_COORDINATION_KEY_FUNC_HPP

#include "core/core.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace godwitcleat::coordination
{

/**
 * Numbers in keys have a fixed width, so that key order is number order.
 * Epochs and owners have a prefix of their own, so that one range read returns
 * those of all shards without the logs and snapshots under `shard/`.
 */
auto snapshot_key(core::shard_id shard) -> std::string;
auto log_prefix(core::shard_id shard) -> std::string;
auto log_key(core::shard_id shard, core::log_index index) -> std::string;

/** Prefix of the epoch and owner keys of all shards. */
auto ownership_prefix() -> std::string;
auto epoch_key(core::shard_id shard) -> std::string;
auto owner_key(core::shard_id shard) -> std::string;

/** Key of the configuration document. */
auto config_head_key() -> std::string;
/** Prefix of the change keys. */
auto config_change_prefix() -> std::string;
auto config_change_key(core::generation number) -> std::string;

/** Returns the decimal number at the end of @p text, or std::nullopt. */
auto trailing_number(std::string_view text) -> std::optional<std::uint64_t>;

} // namespace godwitcleat::coordination

#endif
