/** @file queue_type.hpp Queues that callers hand jobs to. */
#ifndef GODWITCLEAT_STATE_QUEUE_TYPE_HPP
#define GODWITCLEAT_STATE_QUEUE_TYPE_HPP

#include "core/core.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace godwitcleat::state
{

using queue_id = core::string_id<struct queue_tag>;

/** A queue and the rules for its jobs. */
struct queue_config
{
    queue_id queue;
    std::string host;           ///< Host name under which callers reach it.
    std::string path_prefix;    ///< Starts the path of its requests.
    core::service_id service;   ///< Whose workers run its tasks.
    std::uint32_t priority = 0; ///< 0 comes first and may evict others.
    std::uint32_t most_failures = 1; ///< Failed runs after which a task fails.
    double stretch = 1.0; ///< Allowed factor on the longest chain of work.
    std::int64_t allowance_ms = 0; ///< Added to the stretched chain.
    std::int64_t timeout_ms = 0;   ///< Longest time of one request; 0: none.
    bool needs_advice = false; ///< Starts need a ticket of an outside service.

    auto operator==(queue_config const&) const -> bool = default;
};

/** All queues of one version of the configuration. */
struct queue_table
{
    std::uint64_t version = 0; ///< 0: no configuration is known yet.
    std::map<queue_id, queue_config> queues;
    std::size_t most_body_bytes = std::size_t{256} * 1024;

    auto operator==(queue_table const&) const -> bool = default;
};

using queue_table_pointer = std::shared_ptr<queue_table const>;

/**
 * Returns the queue whose host is @p host and whose prefix is the longest that
 * @p path begins with, or null.
 */
auto find_queue(
    queue_table const& table, std::string_view host, std::string_view path)
    -> queue_config const*;

} // namespace godwitcleat::state

#endif
