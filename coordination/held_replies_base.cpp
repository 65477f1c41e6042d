/** @file held_replies_base.cpp Heartbeats whose replies are held open. */
#include "coordination/held_replies_base.hpp"

namespace godwitcleat::coordination
{

auto held_replies::add(held_reply value) -> void
{
    ends_.emplace(value.end, value.worker);
    auto name = value.worker;
    held_.emplace(std::move(name), std::move(value));
}

auto held_replies::take(core::worker_id const& worker)
    -> std::optional<held_reply>
{
    auto node = held_.extract(worker);
    if (node.empty())
    {
        return std::nullopt;
    }
    ends_.erase({node.mapped().end, worker});
    return std::move(node.mapped());
}

auto held_replies::take_before(
    core::worker_id const& worker, std::uint64_t boot, std::uint64_t sequence)
    -> std::optional<held_reply>
{
    auto const it = held_.find(worker);
    auto const is_newer = it != held_.end() && it->second.boot == boot &&
                          it->second.sequence >= sequence;
    return is_newer ? std::nullopt : take(worker);
}

auto held_replies::take_ended(core::time_point now) -> std::vector<held_reply>
{
    auto result = std::vector<held_reply>{};
    while (!ends_.empty() && ends_.begin()->first <= now)
    {
        auto const worker = ends_.begin()->second;
        result.push_back(std::move(*take(worker)));
    }
    return result;
}

auto held_replies::take_all() -> std::vector<held_reply>
{
    auto result = std::vector<held_reply>{};
    for (auto& [worker, value] : held_)
    {
        result.push_back(std::move(value));
    }
    held_.clear();
    ends_.clear();
    return result;
}

} // namespace godwitcleat::coordination
