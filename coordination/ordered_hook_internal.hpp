/** @file ordered_hook_internal.hpp Calls a hook in the order of the events. */
#ifndef GODWITCLEAT_COORDINATION_ORDERED_HOOK_INTERNAL_HPP
#define GODWITCLEAT_COORDINATION_ORDERED_HOOK_INTERNAL_HPP

#include <deque>
#include <functional>
#include <mutex>
#include <utility>

namespace godwitcleat::coordination
{

/**
 * Queues events while the owner's lock is held and calls the hook without it.
 * Calls never overlap and keep the order of push(). A hook may cause further
 * events; they are delivered by the call of drain() that runs the hook.
 */
template <class Event>
class ordered_hook
{
public:
    explicit ordered_hook(std::function<void(Event const&)> hook)
        : hook_(std::move(hook))
    {
    }

    auto push(Event event) -> void
    {
        auto const lock = std::scoped_lock{mutex_};
        events_.push_back(std::move(event));
    }

    /** Must be called after push(), without locks that the hook takes. */
    auto drain() -> void
    {
        auto lock = std::unique_lock{mutex_};
        if (draining_)
        {
            return;
        }
        draining_ = true;
        while (!events_.empty())
        {
            auto const event = std::move(events_.front());
            events_.pop_front();
            lock.unlock();
            if (hook_)
            {
                hook_(event);
            }
            lock.lock();
        }
        draining_ = false;
    }

private:
    std::function<void(Event const&)> hook_;
    std::mutex mutex_;
    std::deque<Event> events_;
    bool draining_ = false;
};

} // namespace godwitcleat::coordination

#endif
