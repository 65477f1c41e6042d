/** @file guarded_internal.hpp Handlers that stop with the object they serve. */
#ifndef GODWITCLEAT_COORDINATION_GUARDED_INTERNAL_HPP
#define GODWITCLEAT_COORDINATION_GUARDED_INTERNAL_HPP

#include "core/core.hpp"
#include "transport/transport.hpp"

#include <atomic>
#include <memory>
#include <utility>

namespace godwitcleat::coordination
{

/** Base of implementations whose handlers the store may call late. */
template <class Self>
class guarded_base : public std::enable_shared_from_this<Self>
{
public:
    /** Wraps a handler that must not run after `closed` was set. */
    template <class Handler>
    auto guarded(Handler handler)
    {
        return [self = this->weak_from_this(),
                handler = std::move(handler)](auto... args)
        {
            auto const alive = self.lock();
            if (alive && !alive->closed)
            {
                handler(*alive, std::move(args)...);
            }
        };
    }

    /** Runs @p task with this object after @p delay, unless `closed` is set. */
    template <class Task>
    auto later(transport::reactor& loop, core::duration delay, Task task)
        -> transport::timer_handle
    {
        return loop.after(delay, guarded(std::move(task)));
    }

    std::atomic<bool> closed = false; ///< Set when the owner is destroyed.
};

} // namespace godwitcleat::coordination

#endif
