/** @file store_data_base.hpp The store stand-in's data file. */
#ifndef GODWITCLEAT_STANDINS_SUPPORT_STORE_DATA_BASE_HPP
#define GODWITCLEAT_STANDINS_SUPPORT_STORE_DATA_BASE_HPP

#include "standins/support/memory_store_base.hpp"

#include <fstream>
#include <functional>
#include <optional>
#include <string>

namespace godwitcleat::standins
{

/**
 * An append-only file of store changes, one line for each: the hash of the
 * record in 16 hexadecimal digits, a blank, the record in JSON. Not
 * thread-safe.
 */
class store_data
{
public:
    /**
     * Opens or creates the file and passes its changes to @p replay in order.
     * A last line without its line end was never answered; it is cut off with
     * a warning. @return std::nullopt with invalid_input for any other damage,
     * or with unavailable if the file cannot be read or written.
     */
    static auto open(
        std::string const& path,
        std::function<void(store_change const&)> const& replay,
        core::logger const& log) -> std::optional<store_data>;

    /** Appends @p change and flushes it; false if that failed once. */
    auto append(store_change const& change) -> bool;

private:
    explicit store_data(std::string const& path);

    std::ofstream file_;
};

} // namespace godwitcleat::standins

#endif
