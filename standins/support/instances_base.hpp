/** @file instances_base.hpp The platform's lagging list of instances. */
#ifndef GODWITCLEAT_STANDINS_SUPPORT_INSTANCES_BASE_HPP
#define GODWITCLEAT_STANDINS_SUPPORT_INSTANCES_BASE_HPP

#include "core/core.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace godwitcleat::standins
{

/** What an instance is. */
enum class instance_kind
{
    entry, ///< Runs the daemon.
    worker ///< Runs tasks.
};

/** State of an instance in the list. */
enum class instance_state
{
    live,
    leaving, ///< Will be taken away.
    gone     ///< Is removed from the list.
};

/** One instance. */
struct instance_entry
{
    core::instance_id id;
    instance_kind kind = instance_kind::entry;
    std::string address; ///< ADDRESS:PORT.
    core::data_centre_id data_centre;
    instance_state state = instance_state::live;
};

auto to_string(instance_kind value) -> std::string_view;
auto to_string(instance_state value) -> std::string_view;

/**
 * Parses one entry with the keys `id`, `kind`, `address`, `data_centre` and
 * `state`; for the state `gone`, `id` and `state` suffice.
 * @return std::nullopt with invalid_input that names the key.
 */
auto instance_entry_from_json(std::string_view text)
    -> std::optional<instance_entry>;

/**
 * A list of instances whose changes become visible after a fixed lag. Does no
 * I/O; times that are passed in must not decrease. Not thread-safe.
 */
class instance_list
{
public:
    explicit instance_list(core::duration lag);

    /** Sets or removes one entry. */
    auto change(instance_entry entry, core::time_point now) -> void;

    /** Returns `{"instances": [...]}` in the order of the ids. */
    auto to_json(core::time_point now) -> std::string;

private:
    auto settle(core::time_point now) -> void;

    core::duration lag_;
    std::deque<std::pair<core::time_point, instance_entry>> pending_;
    std::map<core::instance_id, instance_entry> visible_;
};

} // namespace godwitcleat::standins

#endif
