/** @file etcd_store_base.hpp The store over the etcd v3 JSON gateway. */
#ifndef GODWITCLEAT_COORDINATION_ETCD_STORE_BASE_HPP
#define GODWITCLEAT_COORDINATION_ETCD_STORE_BASE_HPP

#include "coordination/store_type.hpp"
#include "core/core.hpp"
#include "transport/transport.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace godwitcleat::coordination
{

/** Addresses and limits of the store. */
struct etcd_store_settings
{
    std::vector<transport::endpoint> addresses; ///< At least one.
    /** Of one call over all addresses. Below the renewal interval of
     *  ownership_settings, so that an outage is noticed before the lease
     *  lapses. */
    core::duration timeout = std::chrono::milliseconds{1800};
};

/** Sends one HTTP request, as transport::http_client::send does. */
using etcd_send = std::function<void(
    transport::endpoint const&, transport::http_request, core::duration,
    std::function<void(transport::http_result)>)>;

/** Returns a function that sends through @p client, which must outlive it. */
auto send_through(transport::http_client& client) -> etcd_send;

/**
 * The store over the published etcd v3 JSON gateway protocol. The next address
 * is tried only when nothing was written to the former one. Errors besides
 * those of store: invalid_input (the store refused the request as malformed or
 * too large) and not_found (the lease has lapsed); in both cases nothing was
 * done. Handlers run on the threads of the sender.
 */
class etcd_store : public store
{
public:
    etcd_store(
        etcd_send send, core::clock clock, core::logger const& log,
        etcd_store_settings settings);
    ~etcd_store() override;

    using store::range;
    auto range(store_query query, handler<store_range> on_done)
        -> void override;
    auto commit(store_transaction transaction, handler<store_commit> on_done)
        -> void override;
    auto grant(core::duration time_to_live, handler<store_lease> on_done)
        -> void override;
    auto keep_alive(store_lease lease, handler<store_lease> on_done)
        -> void override;
    auto revoke(store_lease lease, handler<store_lease> on_done)
        -> void override;

private:
    struct implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace godwitcleat::coordination

#endif
