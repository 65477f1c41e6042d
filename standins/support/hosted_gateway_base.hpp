/** @file hosted_gateway_base.hpp Serves a store as the hosting platform does.
 */
#ifndef GODWITCLEAT_STANDINS_SUPPORT_HOSTED_GATEWAY_BASE_HPP
#define GODWITCLEAT_STANDINS_SUPPORT_HOSTED_GATEWAY_BASE_HPP

#include "standins/support/handler_gate_base.hpp"
#include "standins/support/memory_store_base.hpp"
#include "transport/transport.hpp"

#include <atomic>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace godwitcleat::standins
{

/**
 * The platform's store over HTTP, with watches. Changes are noticed each 10 ms.
 * Thread-safe; @p target must outlive it.
 */
class hosted_gateway
{
public:
    hosted_gateway(memory_store& target, transport::reactor& loop);

    /**
     * Closes all connections. Waits for handlers that run; must not be called
     * by one of them. The store is not used afterwards.
     */
    ~hosted_gateway();
    hosted_gateway(hosted_gateway const&) = delete;
    auto operator=(hosted_gateway const&) -> hosted_gateway& = delete;

    /** Listens, by default on a free port; std::nullopt with unavailable. */
    auto listen(transport::endpoint const& where = {"127.0.0.1", 0})
        -> std::optional<transport::endpoint>;

    /** Drops the history, so that watches have to begin again. */
    auto compact() -> void;

    std::atomic<bool> busy = false;          ///< Answers 503 to all calls.
    std::atomic<bool> silent = false;        ///< Answers no call.
    std::atomic<bool> holds_watches = false; ///< Answers no watch.

private:
    struct event
    {
        std::string key;
        std::int64_t revision = 0;
        bool removed = false;
    };
    struct waiting_watch
    {
        std::string prefix;
        std::int64_t after = 0;
        core::time_point until;
        transport::http_reply reply;
    };

    auto
    handle(transport::http_request const& request, transport::http_reply reply)
        -> void;
    auto read_key(std::string const& key, transport::http_reply const& reply)
        -> void;
    auto read_range(
        std::string const& prefix, std::string const& after,
        transport::http_reply const& reply) -> void;
    auto commit(std::string const& body, transport::http_reply const& reply)
        -> void;
    auto leave_open(transport::http_reply const& reply) -> void;
    auto fail(transport::http_reply const& reply, int status) -> void;
    auto poll() -> void;
    auto notice_changes() -> void;
    auto answer_watch(waiting_watch const& it) -> bool;

    memory_store& store_;
    transport::reactor& loop_;
    core::clock clock_ = core::system_clock();
    handler_gate gate_; ///< Of all handlers of the server and the timer.
    std::optional<transport::http_server> server_;
    transport::timer_handle timer_;
    std::mutex mutex_;
    std::deque<event> events_;
    std::int64_t compacted_ = 0;
    std::int64_t revision_ = 0;
    std::map<std::string, coordination::store_entry> known_;
    std::vector<waiting_watch> watches_;
};

} // namespace godwitcleat::standins

#endif
