/** @file forwarding_base.cpp Calls that any instance takes for any shard. */
#include "coordination/forwarding_base.hpp"

#include <algorithm>
#include <iterator>
#include <memory>
#include <mutex>
#include <utility>

namespace godwitcleat::coordination
{

namespace
{

// A change of a shard waits for a group commit, a query does not.
constexpr auto change_timeout = std::chrono::seconds{5};
constexpr auto query_timeout = std::chrono::seconds{1};

// A take-over of a shard lasts about 6 s; the command-line tool waits for 10 s.
constexpr auto change_deadline = std::chrono::seconds{8};
constexpr auto change_retry_interval = std::chrono::milliseconds{200};

// Returns true if another try may succeed. Changes are idempotent, so one with
// an unknown outcome may be repeated too.
auto is_worth_repeating(core::error_kind kind) -> bool
{
    switch (kind)
    {
    case core::error_kind::not_owner:
    case core::error_kind::stale_epoch:
    case core::error_kind::unavailable:
    case core::error_kind::timeout:
    case core::error_kind::unknown_outcome:
    case core::error_kind::shutting_down: return true;
    default: return false;
    }
}

// Maps the alternatives of a variant onto those of a wider one.
template <class Wide, class Narrow>
auto widened(Narrow value) -> Wide
{
    return std::visit(
        [](auto&& it) { return Wide{std::forward<decltype(it)>(it)}; },
        std::move(value));
}

auto as_shard_reply(std::optional<protocol::peer_reply> const& reply)
    -> std::optional<state::shard_reply>
{
    if (!reply)
    {
        return std::nullopt;
    }
    return std::visit(
        [](auto const& it) -> std::optional<state::shard_reply>
        {
            using type = std::decay_t<decltype(it)>;
            if constexpr (std::is_constructible_v<state::shard_reply, type>)
            {
                return state::shard_reply{it};
            }
            return core::fail(
                core::error_kind::protocol,
                "the peer sent a reply of another kind; check that all "
                "instances run the same version");
        },
        *reply);
}

auto is_done(std::optional<protocol::peer_reply> const& reply) -> bool
{
    return reply && std::holds_alternative<protocol::done_reply>(*reply);
}

} // namespace

forwarding::forwarding(
    shard_host& host, peer_set& peers, peer_call call,
    std::uint32_t shard_count, core::clock now)
    : host_(host)
    , peers_(peers)
    , call_(std::move(call))
    , shard_count_(shard_count)
    , now_(std::move(now))
{
}

auto forwarding::call_owner(
    core::shard_id shard, protocol::peer_request request,
    std::function<void(std::optional<protocol::peer_reply>)> on_done) -> void
{
    auto const owner = peers_.owner_of(shard, now_());
    if (!owner)
    {
        on_done(std::nullopt);
        return;
    }
    call_(
        owner->peer_address, std::move(request), change_timeout,
        std::move(on_done));
}

auto forwarding::submit(state::job_spec spec, done on_done) -> void
{
    run_change(
        [this, spec = std::move(spec)](done on_tried)
        { submit_once(spec, std::move(on_tried)); },
        now_() + change_deadline, std::move(on_done));
}

auto forwarding::cancel(
    core::job_id const& id, std::string reason, done on_done) -> void
{
    run_change(
        [this, id, reason = std::move(reason)](done on_tried)
        { cancel_once(id, reason, std::move(on_tried)); },
        now_() + change_deadline, std::move(on_done));
}

auto forwarding::run_change(
    change const& run, core::time_point deadline, done on_done) -> void
{
    run(
        [this, run, deadline, on_done = std::move(on_done)](bool succeeded)
        {
            auto const due = now_() + change_retry_interval;
            if (succeeded || due >= deadline ||
                !is_worth_repeating(core::last_reason().kind))
            {
                on_done(succeeded);
                return;
            }
            auto const lock = std::scoped_lock{mutex_};
            waiting_.push_back({due, deadline, run, on_done});
        });
}

auto forwarding::tick() -> void
{
    auto due = std::vector<waiting_change>{};
    {
        auto const now = now_();
        auto const lock = std::scoped_lock{mutex_};
        auto const first = std::stable_partition(
            waiting_.begin(), waiting_.end(),
            [now](auto const& it) { return it.due > now; });
        std::move(first, waiting_.end(), std::back_inserter(due));
        waiting_.erase(first, waiting_.end());
    }
    for (auto& it : due)
    {
        run_change(it.run, it.deadline, std::move(it.on_done));
    }
}

auto forwarding::submit_once(state::job_spec const& spec, done on_done) -> void
{
    auto const shard = state::shard_of(spec.id, shard_count_);
    if (host_.serves(shard))
    {
        host_.submit(spec, std::move(on_done));
        return;
    }
    call_owner(
        shard, protocol::submit_request{spec},
        [on_done = std::move(on_done)](auto const& reply)
        { on_done(is_done(reply)); });
}

auto forwarding::cancel_once(
    core::job_id const& id, std::string const& reason, done on_done) -> void
{
    auto const shard = state::shard_of(id, shard_count_);
    if (host_.serves(shard))
    {
        host_.cancel(id, reason, std::move(on_done));
        return;
    }
    call_owner(
        shard, protocol::cancel_request{id, reason},
        [on_done = std::move(on_done)](auto const& reply)
        { on_done(is_done(reply)); });
}

template <class Item, class Pick>
auto forwarding::collect(
    std::vector<Item> own, protocol::peer_request const& request, Pick pick,
    std::function<void(std::vector<Item>)> on_done) -> void
{
    struct collection
    {
        std::mutex mutex;
        std::vector<Item> items;
        std::size_t waiting = 0;
    };
    auto targets = peers_.peers(now_());
    std::erase_if(targets, [](auto const& it) { return it.suspect; });
    if (targets.empty())
    {
        on_done(std::move(own));
        return;
    }
    auto const state = std::make_shared<collection>();
    state->items = std::move(own);
    state->waiting = targets.size();
    for (auto const& it : targets)
    {
        call_(
            it.address, request, query_timeout,
            [state, pick, on_done](auto const& reply)
            {
                auto const lock = std::scoped_lock{state->mutex};
                if (reply)
                {
                    auto more = pick(*reply);
                    std::move(
                        more.begin(), more.end(),
                        std::back_inserter(state->items));
                }
                if (--state->waiting == 0)
                {
                    on_done(std::move(state->items));
                }
            });
    }
}

auto forwarding::jobs(
    std::optional<core::job_id> const& wanted,
    std::function<void(std::optional<std::vector<state::job>>)> on_done) -> void
{
    if (wanted)
    {
        find_job(*wanted, std::move(on_done));
        return;
    }
    auto const pick = [](protocol::peer_reply const& reply)
    {
        auto const* jobs = std::get_if<protocol::jobs_reply>(&reply);
        return jobs == nullptr ? std::vector<state::job>{} : jobs->jobs;
    };
    collect(
        host_.jobs(std::nullopt), protocol::jobs_request{}, pick,
        std::function<void(std::vector<state::job>)>{std::move(on_done)});
}

// Only the home shard's owner can tell that a job does not exist.
auto forwarding::find_job(
    core::job_id const& id,
    std::function<void(std::optional<std::vector<state::job>>)> on_done) -> void
{
    auto own = host_.find_job(id);
    if (own)
    {
        on_done(std::move(own));
        return;
    }
    call_owner(
        state::shard_of(id, shard_count_), protocol::jobs_request{id},
        [on_done = std::move(on_done)](auto const& reply)
        {
            auto const* jobs =
                reply ? std::get_if<protocol::jobs_reply>(&*reply) : nullptr;
            on_done(jobs ? std::optional{jobs->jobs} : std::nullopt);
        });
}

auto forwarding::workers(
    std::function<void(std::vector<state::worker_view>)> on_done) -> void
{
    auto const pick = [](protocol::peer_reply const& reply)
    {
        auto const* workers = std::get_if<protocol::workers_reply>(&reply);
        return workers == nullptr ? std::vector<state::worker_view>{}
                                  : workers->workers;
    };
    collect(
        host_.workers(), protocol::workers_request{}, pick, std::move(on_done));
}

auto forwarding::send(
    state::shard_request request,
    std::function<void(std::optional<state::shard_reply>)> on_done) -> void
{
    auto const shard = state::destination(request);
    call_owner(
        shard, widened<protocol::peer_request>(std::move(request)),
        [on_done = std::move(on_done)](auto const& reply)
        { on_done(as_shard_reply(reply)); });
}

} // namespace godwitcleat::coordination
