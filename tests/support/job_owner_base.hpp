/** @file job_owner_base.hpp Owners of the jobs and their stores, for tests. */
#ifndef GODWITCLEAT_TESTS_SUPPORT_JOB_OWNER_BASE_HPP
#define GODWITCLEAT_TESTS_SUPPORT_JOB_OWNER_BASE_HPP

#include "coordination/coordination.hpp"
#include "core/core.hpp"
#include "transport/transport.hpp"

#include <string>
#include <utility>

namespace godwitcleat::tests
{

/** Passes all calls on but watches, which it does not have. */
class forwarding_store : public coordination::store
{
public:
    explicit forwarding_store(coordination::store& target)
        : target_(target)
    {
    }

    using store::range;
    auto range(
        coordination::store_query query,
        handler<coordination::store_range> on_done) -> void override
    {
        target_.range(std::move(query), std::move(on_done));
    }

    auto commit(
        coordination::store_transaction transaction,
        handler<coordination::store_commit> on_done) -> void override
    {
        target_.commit(std::move(transaction), std::move(on_done));
    }

    auto grant(
        core::duration time_to_live, handler<coordination::store_lease> on_done)
        -> void override
    {
        target_.grant(time_to_live, std::move(on_done));
    }

    auto keep_alive(
        coordination::store_lease lease,
        handler<coordination::store_lease> on_done) -> void override
    {
        target_.keep_alive(lease, std::move(on_done));
    }

    auto revoke(
        coordination::store_lease lease,
        handler<coordination::store_lease> on_done) -> void override
    {
        target_.revoke(lease, std::move(on_done));
    }

protected:
    coordination::store& target_;
};

/** Returns the host of instance @p name, which has no workers. */
inline auto host_without_workers(
    coordination::store& store, transport::reactor& loop,
    core::metrics& metrics, std::string const& name)
    -> coordination::dispatch_host
{
    return {
        {store,
         loop,
         core::suspend_aware_clock(),
         core::null_logger(),
         metrics,
         {[](auto const&, auto const&) {},
          [](auto const&, auto const&) {
          }},
         [](bool) {},
         []
         {
             return core::time_point{};
         }},
        {core::instance_id{name}, "boot-" + name, "127.0.0.1:1", {}, 0},
        {}};
}

} // namespace godwitcleat::tests

#endif
