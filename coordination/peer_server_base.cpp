/** @file peer_server_base.cpp Requests of other daemons on the peer port. */
#include "coordination/peer_server_base.hpp"

#include <type_traits>
#include <utility>

namespace godwitcleat::coordination
{

namespace
{

auto last_error() -> protocol::error_reply
{
    auto const& reason = core::last_reason();
    return {reason.kind, reason.message};
}

// Sends done_reply, or the reason of the failure.
auto reply_done(peer_server::reply send) -> std::function<void(bool)>
{
    return [send = std::move(send)](bool done)
    {
        if (done)
        {
            send(protocol::done_reply{});
            return;
        }
        send(last_error());
    };
}

} // namespace

peer_server::peer_server(
    peer_set& peers, shard_host& host, core::timeline& events,
    std::function<state::config_pointer()> config, core::clock now)
    : peers_(peers)
    , host_(host)
    , events_(events)
    , config_(std::move(config))
    , now_(std::move(now))
{
}

auto peer_server::handle(
    std::string const& payload, std::function<void(std::string)> send) -> void
{
    auto const reply_to =
        [send = std::move(send)](protocol::peer_reply const& value)
    {
        send(protocol::encode(value));
    };
    auto request = protocol::decode<protocol::peer_request>(payload);
    if (!request)
    {
        reply_to(last_error());
        return;
    }
    std::visit(
        [&](auto const& it)
        {
            using type = std::decay_t<decltype(it)>;
            if constexpr (std::is_constructible_v<state::shard_request, type>)
            {
                host_.handle(
                    it,
                    [reply_to](std::optional<state::shard_reply> value)
                    {
                        if (!value)
                        {
                            reply_to(last_error());
                            return;
                        }
                        std::visit(reply_to, std::move(*value));
                    });
            }
            else
            {
                answer(it, reply_to);
            }
        },
        *request);
}

auto peer_server::answer(
    protocol::peer_update const& request, reply const& send) -> void
{
    send(peers_.received(request, now_()));
}

auto peer_server::answer(
    protocol::peer_changes const& request, reply const& send) -> void
{
    send(peers_.received(request, now_()));
}

auto peer_server::answer(
    protocol::config_request const& /*request*/, reply const& send) -> void
{
    send(protocol::config_reply{*config_()});
}

auto peer_server::answer(
    protocol::submit_request const& request, reply const& send) -> void
{
    host_.submit(request.spec, reply_done(send));
}

auto peer_server::answer(
    protocol::cancel_request const& request, reply const& send) -> void
{
    host_.cancel(request.job, request.reason, reply_done(send));
}

auto peer_server::answer(
    protocol::jobs_request const& request, reply const& send) -> void
{
    if (!request.job)
    {
        send(protocol::jobs_reply{host_.jobs(std::nullopt)});
        return;
    }
    auto found = host_.find_job(*request.job);
    if (!found)
    {
        send(last_error());
        return;
    }
    send(protocol::jobs_reply{std::move(*found)});
}

auto peer_server::answer(
    protocol::workers_request const& /*request*/, reply const& send) -> void
{
    send(protocol::workers_reply{host_.workers()});
}

auto peer_server::answer(
    protocol::timeline_request const& request, reply const& send) -> void
{
    send(protocol::timeline_reply{events_.since(request.after)});
}

} // namespace godwitcleat::coordination
