/** @file job_router_base.cpp Brings calls about jobs to their owner. */
#include "coordination/job_router_base.hpp"

#include <algorithm>
#include <atomic>
#include <memory>
#include <mutex>
#include <utility>

namespace godwitcleat::coordination
{

namespace
{

auto name_of(protocol::job_call_kind kind) -> std::string_view
{
    switch (kind)
    {
    case protocol::job_call_kind::submit: return "submit";
    case protocol::job_call_kind::cancel: return "cancel";
    case protocol::job_call_kind::phase: return "phase";
    case protocol::job_call_kind::count: return "count";
    case protocol::job_call_kind::config: return "config";
    }
    return "unknown";
}

} // namespace

auto settled_answer(protocol::job_answer answer, bool maybe_done)
    -> protocol::job_answer
{
    auto const refused = answer.error == core::error_kind::unavailable ||
                         answer.error == core::error_kind::no_capacity;
    if (refused && maybe_done)
    {
        answer.error = core::error_kind::unknown_outcome;
        answer.retry_after_s = 0;
    }
    return answer;
}

auto unanswered_tries::begin(core::epoch term) -> void
{
    ++tries_[term];
}

auto unanswered_tries::end(core::epoch term) -> void
{
    auto const it = tries_.find(term);
    if (it != tries_.end() && --it->second == 0)
    {
        tries_.erase(it);
    }
}

auto unanswered_tries::any() const -> bool
{
    return !tries_.empty();
}

auto unanswered_tries::may_outlive(core::epoch term) const -> bool
{
    return !tries_.empty() &&
           (tries_.begin()->first.value == 0 || term.value == 0 ||
            tries_.rbegin()->first >= term);
}

/** One call until it has an answer. */
struct job_router::attempt
{
    [[nodiscard]] auto changes_jobs() const -> bool
    {
        return call.kind == protocol::job_call_kind::submit ||
               call.kind == protocol::job_call_kind::cancel;
    }

    protocol::job_call call;
    dispatch_host::reply on_answer;
    core::time_point begun;
    core::time_point deadline;
    std::atomic<std::size_t> tries = 0;
    std::atomic<bool> answered = false;
    std::mutex mutex;            ///< Of the members below.
    unanswered_tries unanswered; ///< Of a call that changes jobs.
    core::epoch term;            ///< The latest one that an answer has named.
    bool given_up = false;       ///< Answered without the owner.
    std::string last_failure;    ///< Why the last try had no final answer.
    transport::timer_handle timer;
    transport::timer_handle deadline_timer;

    /** Notes that the call is sent now to the owner of @p to; false if it must
     *  not be sent, because it was given up. */
    auto begin_try(core::epoch to) -> bool
    {
        auto const lock = std::scoped_lock{mutex};
        if (!given_up && changes_jobs())
        {
            unanswered.begin(to);
        }
        return !given_up;
    }

    /** Notes the end of a try to which there is an answer, or none was sent. */
    auto end_try(core::epoch to) -> void
    {
        auto const lock = std::scoped_lock{mutex};
        unanswered.end(to);
    }

    /** Returns true if the call may take effect; it is not sent again. */
    auto give_up() -> bool
    {
        auto const lock = std::scoped_lock{mutex};
        given_up = true;
        return unanswered.any();
    }

    [[nodiscard]] auto may_take_effect() -> bool
    {
        auto const lock = std::scoped_lock{mutex};
        return unanswered.any();
    }
};

auto make_frame_call(transport::frame_client& client) -> frame_call
{
    return [&client](
               transport::endpoint const& where, std::string payload,
               core::duration timeout,
               std::function<void(std::optional<std::string>)> on_done)
    {
        client.call(where, std::move(payload), timeout, std::move(on_done));
    };
}

job_router::job_router(
    dispatch_host& host, frame_call call_peer, transport::reactor& loop,
    core::clock clock, core::logger log, job_router_settings settings,
    config_source config)
    : host_(host)
    , call_peer_(std::move(call_peer))
    , loop_(loop)
    , clock_(std::move(clock))
    , log_(std::move(log))
    , settings_(settings)
    , config_(std::move(config))
{
}

auto job_router::route(
    protocol::job_call call, core::duration budget,
    dispatch_host::reply on_answer) -> void
{
    auto const it = std::make_shared<attempt>();
    it->call = std::move(call);
    it->on_answer = std::move(on_answer);
    it->begun = clock_();
    it->deadline = it->begun + budget;
    // The owner answers a submit once it is stored, which may be too late.
    it->deadline_timer =
        loop_.after(budget, [this, it] { answer_without_owner(it); });
    try_once(it);
}

auto job_router::finish(
    std::shared_ptr<attempt> const& it, protocol::job_answer answer) -> void
{
    if (it->answered.exchange(true))
    {
        return;
    }
    it->deadline_timer = {}; // Its task holds the attempt.
    it->on_answer(std::move(answer));
}

auto job_router::answer_without_owner(std::shared_ptr<attempt> const& it)
    -> void
{
    auto const maybe_done = it->give_up();
    auto answer = protocol::job_answer{};
    answer.error = maybe_done ? core::error_kind::unknown_outcome
                              : core::error_kind::unavailable;
    answer.message = maybe_done
                         ? "the owner of the jobs did not answer in time; ask "
                           "again with the same id"
                         : "the owner of the jobs cannot be reached; retry";
    log_failure(*it);
    finish(it, std::move(answer));
}

auto job_router::log_failure(attempt& it) -> void
{
    {
        auto const lock = std::scoped_lock{lines_mutex_};
        if (it.answered || !lines_.allow("unreached", clock_()))
        {
            return;
        }
    }
    auto cause = std::string{};
    {
        auto const lock = std::scoped_lock{it.mutex};
        cause = it.last_failure;
    }
    auto const owner = host_.owner();
    log_.info(
        "A call did not reach the owner.",
        {{"call", name_of(it.call.kind)},
         {"job", it.call.job.value},
         {"owner", owner ? owner->instance.value : ""},
         {"term", owner ? owner->term.value : 0},
         {"tries", it.tries.load()},
         {"relayed", it.call.relayed},
         {"cause", cause}});
}

auto job_router::note_failure(attempt& it, std::string_view cause) -> void
{
    auto const lock = std::scoped_lock{it.mutex};
    it.last_failure = cause;
}

auto job_router::try_once(std::shared_ptr<attempt> const& it) -> void
{
    if (host_.is_active())
    {
        if (!it->begin_try({}))
        {
            return;
        }
        // A copy, because the call may have to be sent again.
        return host_.call(
            it->call,
            [this, it](auto answer) { answered(it, {}, std::move(answer)); });
    }
    auto const where = choose_instance(*it);
    ++it->tries;
    if (!where)
    {
        return retry(it);
    }
    // Jobs that an owner cannot take yet would fill its link, and what another
    // instance relays has no certain outcome if it is not answered in time.
    auto const is_relayed = term_for(*it, *where).value == 0;
    if (it->changes_jobs() && (it->tries > 1 || is_relayed))
    {
        return ask_first(it, *where);
    }
    call_instance(it, *where);
}

// The owner is asked first. If this instance's view of it is out of date, for
// example because the store turns it away, another instance knows better.
auto job_router::choose_instance(attempt const& it)
    -> std::optional<transport::endpoint>
{
    auto const owner = host_.owner();
    if (owner && it.tries % 2 == 0)
    {
        return transport::parse_endpoint(owner->address);
    }
    if (it.call.relayed)
    {
        return std::nullopt;
    }
    auto const others = host_.members();
    if (others.empty())
    {
        return std::nullopt;
    }
    auto const n = next_member_++ % others.size();
    return transport::parse_endpoint(others[n].address);
}

auto job_router::term_for(attempt& it, transport::endpoint const& where) const
    -> core::epoch
{
    auto const owner = host_.owner();
    if (!it.changes_jobs() || !owner ||
        transport::parse_endpoint(owner->address) != where)
    {
        return {};
    }
    auto const lock = std::scoped_lock{it.mutex};
    return std::max(owner->term, it.term);
}

auto job_router::ask_first(
    std::shared_ptr<attempt> const& it, transport::endpoint const& where)
    -> void
{
    auto call = protocol::job_call{};
    call.kind = protocol::job_call_kind::phase;
    call.job = it->call.job;
    call.relayed = it->call.relayed;
    call_peer_(
        where, protocol::encode(call),
        std::min(settings_.call_timeout, it->deadline - clock_()),
        [this, it, where](std::optional<std::string> payload)
        {
            auto const answer =
                payload ? protocol::decode<protocol::job_answer>(*payload)
                        : std::nullopt;
            if (!answer)
            {
                note_failure(*it, core::last_reason().message);
                return retry(it);
            }
            // The owner knows the job, or that there is none.
            if (answer->error == core::error_kind::none ||
                answer->error == core::error_kind::not_found)
            {
                return call_instance(it, where);
            }
            note_failure(*it, answer->message);
            retry(it);
        });
}

auto job_router::call_instance(
    std::shared_ptr<attempt> const& it, transport::endpoint const& where)
    -> void
{
    auto call = it->call;
    call.term = term_for(*it, where);
    // Until there is an answer the owner may carry the call out.
    if (!it->begin_try(call.term))
    {
        return;
    }
    auto const left = it->deadline - clock_();
    call_peer_(
        where, protocol::encode(call),
        call.term.value != 0 ? left : std::min(settings_.call_timeout, left),
        [this, it, term = call.term](std::optional<std::string> payload)
        {
            if (!payload)
            {
                note_failure(*it, core::last_reason().message);
                if (core::last_reason().kind == core::error_kind::unavailable)
                {
                    it->end_try(term); // Nothing was sent.
                }
                return retry(it);
            }
            auto answer = protocol::decode<protocol::job_answer>(*payload);
            if (!answer)
            {
                note_failure(*it, core::last_reason().message);
                return retry(it);
            }
            answered(it, term, std::move(*answer));
        });
}

auto job_router::answered(
    std::shared_ptr<attempt> const& it, core::epoch term,
    protocol::job_answer answer) -> void
{
    auto may_outlive = false;
    {
        auto const lock = std::scoped_lock{it->mutex};
        it->term = std::max(it->term, answer.term);
        it->unanswered.end(term);
        if (answer.error == core::error_kind::unknown_outcome &&
            it->changes_jobs())
        {
            it->unanswered.begin(answer.term);
        }
        may_outlive = it->unanswered.may_outlive(answer.term);
    }
    if (answer.error == core::error_kind::not_owner ||
        answer.error == core::error_kind::unknown_outcome)
    {
        note_failure(*it, answer.message);
        return retry(it);
    }
    finish(it, settled_answer(std::move(answer), may_outlive));
}

auto job_router::retry(std::shared_ptr<attempt> const& it) -> void
{
    auto const now = clock_();
    auto const refuses =
        !it->may_take_effect() && now - it->begun >= settings_.refuse_after;
    if (refuses || now + settings_.retry >= it->deadline)
    {
        return answer_without_owner(it);
    }
    it->timer = loop_.after(
        settings_.retry,
        [this, it]
        {
            it->timer = {}; // Its task holds the attempt.
            try_once(it);
        });
}

auto job_router::handle_frame(
    std::string_view payload, transport::frame_reply reply) -> void
{
    auto call = protocol::decode<protocol::job_call>(payload);
    if (!call)
    {
        auto answer = protocol::job_answer{};
        answer.error = core::error_kind::invalid_input;
        answer.message = core::last_reason().message;
        return reply(protocol::encode(answer));
    }
    if (call->kind == protocol::job_call_kind::config)
    {
        // Answered here, because each instance has its own configuration.
        auto const answer =
            config_ ? config_(call->config_version) : protocol::job_answer{};
        return reply(protocol::encode(answer));
    }
    auto on_answer = [reply = std::move(reply)](auto const& answer)
    {
        reply(protocol::encode(answer));
    };
    // One that names a term may be taken by that owner alone.
    if (host_.is_active() || call->relayed || call->term.value != 0)
    {
        return host_.call(std::move(*call), std::move(on_answer));
    }
    call->relayed = true;
    route(std::move(*call), settings_.relay_budget, std::move(on_answer));
}

} // namespace godwitcleat::coordination
