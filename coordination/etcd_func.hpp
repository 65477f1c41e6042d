/** @file etcd_func.hpp Messages of the etcd v3 JSON gateway protocol. */
#ifndef GODWITCLEAT_COORDINATION_ETCD_FUNC_HPP
#define GODWITCLEAT_COORDINATION_ETCD_FUNC_HPP

#include "coordination/store_type.hpp"
#include "core/core.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace godwitcleat::coordination
{

/**
 * Source: the HTTP/JSON mapping of etcd's rpc.proto. Keys and values are
 * base64, 64-bit integers are strings, and members with default values (0,
 * false, empty) are left out of answers.
 */
auto etcd_range_body(store_query const& query) -> std::string;
auto etcd_commit_body(store_transaction const& transaction) -> std::string;
auto etcd_grant_body(std::int64_t seconds) -> std::string;
auto etcd_lease_body(store_lease lease) -> std::string;

/** Each returns std::nullopt with protocol if @p body is no such answer. */
auto etcd_range_answer(std::string_view body) -> std::optional<store_range>;
auto etcd_commit_answer(std::string_view body) -> std::optional<store_commit>;
auto etcd_grant_answer(std::string_view body) -> std::optional<store_lease>;
auto etcd_revoke_answer(std::string_view body) -> std::optional<bool>;

/** Returns the remaining seconds, 0 if the lease has lapsed. */
auto etcd_keep_alive_answer(std::string_view body)
    -> std::optional<std::int64_t>;

/** Returns the gRPC status code of an error body, or std::nullopt. */
auto etcd_error_code(std::string_view body) -> std::optional<std::int64_t>;

/** Returns @p bytes in base64 with padding. */
auto base64_encode(std::string_view bytes) -> std::string;

/** Returns the bytes; std::nullopt with protocol if @p text is no base64. */
auto base64_decode(std::string_view text) -> std::optional<std::string>;

} // namespace godwitcleat::coordination

#endif
