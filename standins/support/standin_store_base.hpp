/** @file standin_store_base.hpp A store process for tests, with faults. */
#ifndef GODWITCLEAT_STANDINS_SUPPORT_STANDIN_STORE_BASE_HPP
#define GODWITCLEAT_STANDINS_SUPPORT_STANDIN_STORE_BASE_HPP

#include "standins/support/etcd_gateway_base.hpp"
#include "standins/support/memory_store_base.hpp"
#include "standins/support/store_data_base.hpp"

#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace godwitcleat::standins
{

/** Limits a rate over windows of one second. Not thread-safe. */
class rate_limit
{
public:
    /** @param calls_per_s 0: no limit. */
    explicit rate_limit(std::uint32_t calls_per_s)
        : calls_per_s_(calls_per_s)
    {
    }

    /** Counts one call; false if the second's calls are used up. */
    auto allow(core::time_point now) -> bool;

private:
    std::uint32_t calls_per_s_;
    std::uint32_t used_ = 0;
    core::time_point window_;
};

/** Settings of the stand-in. */
struct standin_store_settings
{
    std::string history_path;       ///< Empty: no history.
    std::uint32_t writes_per_s = 0; ///< 0: no limit.
    std::uint32_t reads_per_s = 0;  ///< 0: no limit.
};

/**
 * Serves the gateway on a memory store, with rate limits, faults and a
 * history of one JSON object a line. Thread-safe.
 */
class standin_store
{
public:
    standin_store(core::clock clock, standin_store_settings const& settings);

    /**
     * Repeats the changes of the data file @p path and appends each later one
     * before its reply. Call it before the first request.
     * @return false with a reason, see store_data::open().
     */
    auto open_data(std::string const& path, core::logger const& log) -> bool;

    /** Handles one request; @p reply is called exactly once. */
    auto handle(
        std::string_view method, std::string_view path, std::string_view body,
        etcd_reply reply) -> void;

    /** Sends delayed replies and lets leases lapse; call every few ms. */
    auto tick() -> void;

    /** Returns false if the history file cannot be written. */
    [[nodiscard]] auto history_good() const -> bool;

private:
    auto set_fault(std::string_view body, etcd_reply const& reply) -> void;
    auto write_history(store_history_entry const& entry) -> void;

    core::clock clock_;
    std::ofstream history_;
    std::optional<store_data> data_; ///< Guarded by the store's lock.
    memory_store store_;
    etcd_gateway gateway_;
    std::mutex mutex_;
    rate_limit writes_;
    rate_limit reads_;
    core::duration delay_{};
    std::multimap<core::time_point, std::function<void()>> delayed_;
};

} // namespace godwitcleat::standins

#endif
