/** @file etcd_gateway_base.hpp Serves a store over the etcd v3 JSON gateway. */
#ifndef GODWITCLEAT_STANDINS_SUPPORT_ETCD_GATEWAY_BASE_HPP
#define GODWITCLEAT_STANDINS_SUPPORT_ETCD_GATEWAY_BASE_HPP

#include "coordination/coordination.hpp"

#include <functional>
#include <string>
#include <string_view>

namespace godwitcleat::standins
{

/** Answers of the gateway, without the HTTP server. */
using etcd_reply = std::function<void(int status, std::string body)>;

/**
 * Carries out requests of the etcd v3 JSON gateway on a store. Compares other
 * than of the modify_revision for equality, and failure branches, are refused
 * with 400. Thread-safe if the store is; @p target must outlive it.
 */
class etcd_gateway
{
public:
    explicit etcd_gateway(coordination::store& target);

    /** Handles one POST; @p reply is called exactly once. */
    auto handle(
        std::string_view path, std::string_view body, etcd_reply const& reply)
        -> void;

private:
    coordination::store& store_;
};

/** Returns true if calls to @p path count as writes of the store. */
auto is_write_path(std::string_view path) -> bool;

/** Returns an error body in the gateway's form. */
auto etcd_error_body(int grpc_code, std::string_view message) -> std::string;

} // namespace godwitcleat::standins

#endif
