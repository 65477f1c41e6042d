/** @file instance_list_base.hpp The platform's lagging list of instances. */
#ifndef GODWITCLEAT_COORDINATION_INSTANCE_LIST_BASE_HPP
#define GODWITCLEAT_COORDINATION_INSTANCE_LIST_BASE_HPP

#include "core/core.hpp"
#include "transport/transport.hpp"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace godwitcleat::coordination
{

/** One instance as the platform lists it. */
struct listed_instance
{
    std::string id;
    std::string kind;    ///< `entry` or `worker`.
    std::string address; ///< ADDRESS:PORT; of the peer port for `entry`.
    core::data_centre_id data_centre;
    bool leaving = false;
};

/** Parses the list's JSON; std::nullopt with protocol. */
auto parse_instance_list(std::string_view text)
    -> std::optional<std::vector<listed_instance>>;

/** Fetches the list. */
using fetch_instances = std::function<void(
    std::function<void(std::optional<std::vector<listed_instance>>)>)>;

/** Returns a hook that reads the list at @p where by HTTP. */
auto make_fetch_instances(
    transport::http_client& client, transport::endpoint where)
    -> fetch_instances;

/**
 * Remembers when instances vanished from the list. A vanished instance is
 * certainly gone once the list's lag has passed. Thread-safe.
 */
class instance_history
{
public:
    /** @param lag longest time by which the list is late. */
    explicit instance_history(core::duration lag)
        : lag_(lag)
    {
    }

    /** Takes over the list that was asked for at @p now. */
    auto update(std::vector<listed_instance> instances, core::time_point now)
        -> void;

    [[nodiscard]] auto current() const -> std::vector<listed_instance>;

    /**
     * Returns the time since when a process of @p id that ran at or before
     * @p known_since is certainly gone; std::nullopt with not_found if it is
     * listed, vanished too recently, or may be a later process than the one
     * that vanished. An instance that was never listed counts as vanished at
     * the first reading of the list.
     */
    [[nodiscard]] auto gone_since(
        std::string const& id, core::time_point known_since,
        core::time_point now) const -> std::optional<core::time_point>;

private:
    mutable std::mutex mutex_;
    core::duration lag_;
    std::vector<listed_instance> current_;
    std::optional<core::time_point> first_update_;
    core::time_point last_update_; ///< Of `current_`.
    std::map<std::string, core::time_point> vanished_;
};

} // namespace godwitcleat::coordination

#endif
