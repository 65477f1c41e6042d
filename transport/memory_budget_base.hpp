/** @file memory_budget_base.hpp Account of the bytes of requests in progress.
 */
#ifndef GODWITCLEAT_TRANSPORT_MEMORY_BUDGET_BASE_HPP
#define GODWITCLEAT_TRANSPORT_MEMORY_BUDGET_BASE_HPP

#include "core/core.hpp"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <set>

namespace godwitcleat::transport
{

class budget_share;

/** Limits of a memory budget. */
struct memory_budget_limits
{
    std::size_t bytes = 0; ///< Of all requests in progress.
    /** A share of at most this size may also use the reserved part. A body of
     *  64 KB takes twice that, and its header. */
    std::size_t small_bytes = std::size_t{144} * 1024;
    /** An eighth of the budget is reserved for small shares. */
    std::size_t reserved_part = 8;
    /** A request that takes longer may be ended for the bytes that it holds. */
    core::duration min_age = std::chrono::milliseconds{500};
    /** Pause between two requests that are ended, so that their bytes are given
     *  back before another one is chosen. */
    core::duration eviction_pause = std::chrono::milliseconds{10};
    bool keep_on_release = false; ///< A planted leak, for tests only.
};

/**
 * The bytes that a process holds for requests and responses in progress. Each
 * connection has a share. While the budget is used up, the share with the
 * largest product of bytes and age of its request is ended: it has made least
 * progress for what it holds. Thread-safe.
 */
class memory_budget : public std::enable_shared_from_this<memory_budget>
{
public:
    memory_budget(memory_budget_limits limits, core::clock clock);

    /** Returns the bytes that all shares hold. */
    [[nodiscard]] auto used() const -> std::size_t;

    [[nodiscard]] auto limits() const -> memory_budget_limits const&
    {
        return limits_;
    }

private:
    friend class budget_share;

    [[nodiscard]] auto may_hold(std::size_t used, bool is_small) const -> bool;
    /** Returns what ends the request that makes room, if one may be ended. */
    auto choose_victim(budget_share const& asking, core::time_point now)
        -> std::function<void()>;

    memory_budget_limits const limits_;
    core::clock const clock_;
    mutable std::mutex mutex_; ///< Guards all below and in all shares.
    std::size_t used_ = 0;
    core::time_point next_eviction_;
    std::set<budget_share*> shares_;
};

/** The bytes of one connection. Thread-safe; outlives no budget. */
class budget_share
{
public:
    /** @param budget null: nothing is counted or limited.
     *  @param privileged may use the reserved part whatever its size is.
     *  @param evict ends the request; called on any thread, must only post. */
    budget_share(
        std::shared_ptr<memory_budget> budget, bool privileged,
        std::function<void()> evict);
    ~budget_share();
    budget_share(budget_share const&) = delete;
    auto operator=(budget_share const&) -> budget_share& = delete;

    /** A request begins; from now on its age counts, and it may be ended. */
    auto begin() -> void;

    /** The request was handed over; it is not ended any more. */
    auto protect() -> void;

    /**
     * Holds @p bytes from now on.
     * @return false if they do not fit; the share is then as before, and
     *         another request may have been ended to make room.
     */
    [[nodiscard]] auto resize(std::size_t bytes) -> bool;

    /** Holds @p bytes even if they do not fit, for what cannot be refused. */
    auto force(std::size_t bytes) -> void;

    /** Holds nothing; its request is over. */
    auto end() -> void;

    [[nodiscard]] auto bytes() const -> std::size_t;

private:
    friend class memory_budget;

    auto set(std::size_t bytes) -> void;

    std::shared_ptr<memory_budget> const budget_;
    bool const privileged_;
    std::function<void()> const evict_;
    std::size_t bytes_ = 0;
    core::time_point begun_;
    bool evictable_ = false;
};

} // namespace godwitcleat::transport

#endif
