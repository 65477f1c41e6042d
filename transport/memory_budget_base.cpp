/** @file memory_budget_base.cpp Account of the bytes of requests in progress.
 */
#include "transport/memory_budget_base.hpp"

#include <utility>

namespace godwitcleat::transport
{

memory_budget::memory_budget(memory_budget_limits limits, core::clock clock)
    : limits_(limits)
    , clock_(std::move(clock))
{
}

auto memory_budget::used() const -> std::size_t
{
    auto const lock = std::scoped_lock{mutex_};
    return used_;
}

auto memory_budget::may_hold(std::size_t used, bool is_small) const -> bool
{
    auto const reserved = limits_.bytes / limits_.reserved_part;
    return used <= limits_.bytes - (is_small ? 0 : reserved);
}

auto memory_budget::choose_victim(
    budget_share const& asking, core::time_point now) -> std::function<void()>
{
    if (now < next_eviction_)
    {
        return {};
    }
    next_eviction_ = now + limits_.eviction_pause;
    auto* victim = static_cast<budget_share*>(nullptr);
    auto most = 0.0;
    for (auto* const it : shares_)
    {
        auto const age = now - it->begun_;
        if (it == &asking || !it->evictable_ || age < limits_.min_age)
        {
            continue;
        }
        auto const cost = static_cast<double>(it->bytes_) *
                          std::chrono::duration<double>{age}.count();
        if (cost > most)
        {
            most = cost;
            victim = it;
        }
    }
    if (victim == nullptr)
    {
        return {};
    }
    victim->evictable_ = false;
    return victim->evict_;
}

budget_share::budget_share(
    std::shared_ptr<memory_budget> budget, bool privileged,
    std::function<void()> evict)
    : budget_(std::move(budget))
    , privileged_(privileged)
    , evict_(std::move(evict))
{
    if (budget_)
    {
        auto const lock = std::scoped_lock{budget_->mutex_};
        budget_->shares_.insert(this);
    }
}

budget_share::~budget_share()
{
    end();
    if (budget_)
    {
        auto const lock = std::scoped_lock{budget_->mutex_};
        budget_->shares_.erase(this);
    }
}

auto budget_share::begin() -> void
{
    if (budget_)
    {
        auto const now = budget_->clock_();
        auto const lock = std::scoped_lock{budget_->mutex_};
        begun_ = now;
        evictable_ = true;
    }
}

auto budget_share::protect() -> void
{
    if (budget_)
    {
        auto const lock = std::scoped_lock{budget_->mutex_};
        evictable_ = false;
    }
}

auto budget_share::resize(std::size_t bytes) -> bool
{
    if (!budget_)
    {
        return true;
    }
    auto const now = budget_->clock_();
    auto evict = std::function<void()>{};
    {
        auto const lock = std::scoped_lock{budget_->mutex_};
        auto const is_small =
            privileged_ || bytes <= budget_->limits_.small_bytes;
        auto const total = budget_->used_ - bytes_ + bytes;
        if (bytes <= bytes_ || budget_->may_hold(total, is_small))
        {
            set(bytes);
            return true;
        }
        evict = budget_->choose_victim(*this, now);
    }
    if (evict)
    {
        evict();
    }
    return false;
}

auto budget_share::force(std::size_t bytes) -> void
{
    if (budget_)
    {
        auto const lock = std::scoped_lock{budget_->mutex_};
        set(bytes);
    }
}

auto budget_share::end() -> void
{
    if (budget_)
    {
        auto const lock = std::scoped_lock{budget_->mutex_};
        evictable_ = false;
        if (!budget_->limits_.keep_on_release)
        {
            set(0);
        }
        bytes_ = 0;
    }
}

auto budget_share::bytes() const -> std::size_t
{
    if (!budget_)
    {
        return 0;
    }
    auto const lock = std::scoped_lock{budget_->mutex_};
    return bytes_;
}

auto budget_share::set(std::size_t bytes) -> void
{
    budget_->used_ = budget_->used_ - bytes_ + bytes;
    bytes_ = bytes;
}

} // namespace godwitcleat::transport
