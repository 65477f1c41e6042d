/** @file job_router_base.hpp Brings calls about jobs to their owner. */
#ifndef GODWITCLEAT_COORDINATION_JOB_ROUTER_BASE_HPP
#define GODWITCLEAT_COORDINATION_JOB_ROUTER_BASE_HPP

#include "coordination/dispatch_host_base.hpp"
#include "coordination/line_budget_base.hpp"
#include "core/core.hpp"
#include "protocol/protocol.hpp"
#include "transport/transport.hpp"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace godwitcleat::coordination
{

/** Sends a frame, as transport::frame_client::call does. */
using frame_call = std::function<void(
    transport::endpoint const&, std::string, core::duration,
    std::function<void(std::optional<std::string>)>)>;

/** Returns a frame_call that sends frames by @p client. */
auto make_frame_call(transport::frame_client& client) -> frame_call;

/** Times of the calls to the owner. */
struct job_router_settings
{
    /** Longest time of a call that another instance relays or that changes no
     *  job. Others wait for the owner's answer: it comes once the store has
     *  answered, and a second try could take effect after a refusal. */
    core::duration call_timeout = std::chrono::milliseconds{1000};
    /** Pause before the owner is asked again, for example in a take-over. */
    core::duration retry = std::chrono::milliseconds{100};
    /** Longest time that an instance relays a call. */
    core::duration relay_budget = std::chrono::milliseconds{800};
    /** A call that reached no owner for this long is refused. */
    core::duration refuse_after = std::chrono::milliseconds{600};
};

/** Returns the answer to a config call. */
using config_source = std::function<protocol::job_answer(std::uint64_t known)>;

/**
 * Returns the answer to a caller whose call the owner has answered. A refusal
 * is not passed on as such if an earlier try of the call may still reach the
 * owner, which might accept that one.
 */
auto settled_answer(protocol::job_answer answer, bool maybe_done)
    -> protocol::job_answer;

/** Tries of a call that had no answer; each may still take effect. */
class unanswered_tries
{
public:
    /** A try is sent that only the owner of @p term may take; 0: any owner. */
    auto begin(core::epoch term) -> void;
    /** It was answered, or not sent. */
    auto end(core::epoch term) -> void;
    [[nodiscard]] auto any() const -> bool;
    /**
     * Returns true if a try may take effect after the owner of @p term has
     * refused the call. An earlier owner can store nothing any more, and what
     * it had stored the later one has read before it answers.
     */
    [[nodiscard]] auto may_outlive(core::epoch term) const -> bool;

private:
    std::map<core::epoch, std::size_t> tries_; ///< Number by term.
};

/**
 * Answers calls about jobs on any instance: here if it owns the jobs, else
 * through the owner's peer port, or through another instance that knows the
 * owner. All calls may be repeated, because a job has
 * the id that its caller chose. Thread-safe.
 */
class job_router
{
public:
    job_router(
        dispatch_host& host, frame_call call_peer, transport::reactor& loop,
        core::clock clock, core::logger log, job_router_settings settings,
        config_source config = {});

    /**
     * Answers @p call within @p budget. Errors besides those of the owner:
     * unavailable (certainly not done) and unknown_outcome.
     */
    auto route(
        protocol::job_call call, core::duration budget,
        dispatch_host::reply on_answer) -> void;

    /** Answers a call that another instance sent to the peer port. */
    auto handle_frame(std::string_view payload, transport::frame_reply reply)
        -> void;

private:
    struct attempt;

    auto try_once(std::shared_ptr<attempt> const& it) -> void;
    auto choose_instance(attempt const& it)
        -> std::optional<transport::endpoint>;
    /** Returns the term that a call to @p where names; 0 if the instance there
     *  is not known as the owner, so that it relays the call. */
    [[nodiscard]] auto
    term_for(attempt& it, transport::endpoint const& where) const
        -> core::epoch;
    /** Sends the call once the owner has answered a small one there. */
    auto ask_first(
        std::shared_ptr<attempt> const& it, transport::endpoint const& where)
        -> void;
    auto call_instance(
        std::shared_ptr<attempt> const& it, transport::endpoint const& where)
        -> void;
    /** @p term is that of the try. */
    auto answered(
        std::shared_ptr<attempt> const& it, core::epoch term,
        protocol::job_answer answer) -> void;
    auto retry(std::shared_ptr<attempt> const& it) -> void;
    auto finish(std::shared_ptr<attempt> const& it, protocol::job_answer answer)
        -> void;
    /** Logs which owner was asked, and why there was no answer. */
    auto log_failure(attempt& it) -> void;
    static auto note_failure(attempt& it, std::string_view cause) -> void;
    auto answer_without_owner(std::shared_ptr<attempt> const& it) -> void;

    dispatch_host& host_;
    frame_call call_peer_;
    transport::reactor& loop_;
    core::clock clock_;
    core::logger log_;
    job_router_settings settings_;
    config_source config_;
    std::atomic<std::size_t> next_member_ = 0;
    std::mutex lines_mutex_; ///< Of the member below.
    line_budget lines_;
};

} // namespace godwitcleat::coordination

#endif
