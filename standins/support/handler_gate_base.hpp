/** @file handler_gate_base.hpp Handlers that end before their object does. */
#ifndef GODWITCLEAT_STANDINS_SUPPORT_HANDLER_GATE_BASE_HPP
#define GODWITCLEAT_STANDINS_SUPPORT_HANDLER_GATE_BASE_HPP

#include <atomic>
#include <memory>
#include <mutex>
#include <shared_mutex>
#include <utility>

namespace godwitcleat::standins
{

/**
 * Lets an object be destroyed while the reactor runs. A server or timer may
 * still call a handler after it was closed or cancelled. Holding the object
 * alive in the handler would not suffice here, because the store and the
 * history that the handler uses may be destroyed right after the object.
 */
class handler_gate
{
public:
    /** Wraps a handler that must not run once close() has returned. */
    template <class Handler>
    [[nodiscard]] auto guarded(Handler handler) const
    {
        return [state = state_, handler = std::move(handler)](auto&&... args)
        {
            auto const lock = std::shared_lock{state->mutex};
            if (!state->closed)
            {
                handler(std::forward<decltype(args)>(args)...);
            }
        };
    }

    /** Waits for handlers that run; must not be called by one of them. */
    auto close() -> void
    {
        // Set before the wait, so that new handlers do not prolong it.
        state_->closed = true;
        auto const lock = std::scoped_lock{state_->mutex};
    }

private:
    struct shared_state
    {
        std::shared_mutex mutex; ///< Shared by the handlers that run.
        std::atomic<bool> closed = false;
    };

    std::shared_ptr<shared_state> state_ = std::make_shared<shared_state>();
};

} // namespace godwitcleat::standins

#endif
