/** @file reactor_base.hpp Threads that run network handlers and timers. */
#ifndef GODWITCLEAT_TRANSPORT_REACTOR_BASE_HPP
#define GODWITCLEAT_TRANSPORT_REACTOR_BASE_HPP

#include "core/core.hpp"

#include <initializer_list>

#include <functional>
#include <memory>

namespace godwitcleat::transport
{

/** Cancels its timer when destroyed or cancelled. */
class timer_handle
{
public:
    timer_handle();
    ~timer_handle();
    timer_handle(timer_handle&&) noexcept;
    auto operator=(timer_handle&&) noexcept -> timer_handle&;

    /** Stops further calls; a call that has begun may still finish. */
    auto cancel() -> void;

private:
    friend class reactor;
    struct implementation;
    std::shared_ptr<implementation> implementation_;
};

/**
 * Owns the event loop and its threads. Handlers run on any of the threads,
 * several at a time. Must outlive all servers and clients that use it.
 */
class reactor
{
public:
    /** @param threads number of threads, at least 1. */
    explicit reactor(std::size_t threads);
    ~reactor();
    reactor(reactor const&) = delete;
    auto operator=(reactor const&) -> reactor& = delete;

    /** Runs @p task soon on a thread of the reactor. */
    auto post(std::function<void()> task) -> void;

    /** Runs @p task once after @p delay. */
    [[nodiscard]] auto after(core::duration delay, std::function<void()> task)
        -> timer_handle;

    /** Runs @p task each @p period; calls never overlap. */
    [[nodiscard]] auto every(core::duration period, std::function<void()> task)
        -> timer_handle;

    /** Calls @p handler once for the first of @p signals. */
    auto on_signal(
        std::initializer_list<int> signals, std::function<void(int)> handler)
        -> void;

    /** Calls @p handler each time that @p signal arrives. */
    auto on_each_signal(int signal, std::function<void()> handler) -> void;

    /** Stops the loop and joins the threads; no handler runs afterwards. */
    auto stop() -> void;

    struct implementation;
    /** Returns the event loop, for this library only. */
    auto internal() -> implementation&;

private:
    std::unique_ptr<implementation> implementation_;
};

} // namespace godwitcleat::transport

#endif
