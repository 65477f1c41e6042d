/** @file queue_type.hpp Queues to which callers submit jobs. */
#ifndef GODWITCLEAT_STATE_QUEUE_TYPE_HPP
#define GODWITCLEAT_STATE_QUEUE_TYPE_HPP

#include "core/core.hpp"
#include "state/customer_type.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace godwitcleat::state
{

using queue_id = core::string_id<struct queue_tag>;

/** The configuration of a queue. */
struct queue_config
{
    queue_id queue;
    std::string host;               ///< Host name in the requests of callers.
    std::string path_prefix;        ///< Path prefix of its requests.
    core::service_id service;       ///< Whose workers run its tasks.
    std::uint32_t priority = 0;     ///< 0 is highest and may evict others.
    std::uint32_t max_failures = 1; ///< Failed runs that fail the task.
    /** The time objective of a job is its critical path times `stretch`, plus
     *  `allowance_ms`. */
    double stretch = 1.0;
    std::int64_t allowance_ms = 0;
    std::int64_t timeout_ms = 0; ///< Timeout of a request; 0: none.
    bool needs_advice = false;   ///< Starts need an external approval.
    bool is_open = false;        ///< Calls need no key, also with customers.

    auto operator==(queue_config const&) const -> bool = default;
};

/** The queues of one version of the configuration. */
struct queue_table
{
    std::uint64_t version = 0; ///< 0: no configuration was received yet.
    std::map<queue_id, queue_config> queues;
    std::size_t max_body_bytes = std::size_t{256} * 1024;
    /** Unset: calls need no key, and jobs have no limits and shares. */
    std::optional<customer_table> customers;

    auto operator==(queue_table const&) const -> bool = default;
};

using queue_table_pointer = std::shared_ptr<queue_table const>;

/**
 * Returns the queue of @p host with the longest prefix that matches @p path,
 * or null.
 */
auto find_queue(
    queue_table const& table, std::string_view host, std::string_view path)
    -> queue_config const*;

} // namespace godwitcleat::state

#endif
