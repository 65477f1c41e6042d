/** @file customer_shares_base.cpp Limits and shares of customers. */
#include "state/customer_shares_base.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace godwitcleat::state
{

namespace
{

// Long enough that a customer with short tasks does not alternate between
// within and beyond its share, short enough that past use is forgotten within
// a few jobs.
constexpr auto use_decay_time = std::chrono::seconds{5};

// A difference of the use by weight below this is rounding.
constexpr auto use_tolerance = 1e-9;

auto part_of(std::int64_t amount, std::int64_t capacity) -> double
{
    return capacity > 0
               ? static_cast<double>(amount) / static_cast<double>(capacity)
               : 0.0;
}

auto is_above_mean(double normalised_use, double use, double weight) -> bool
{
    auto const mean = weight > 0.0 ? use / weight : 0.0;
    return normalised_use > mean * (1.0 + use_tolerance) + use_tolerance;
}

auto is_within(std::int64_t amount, std::int64_t limit) -> bool
{
    return limit == 0 || amount <= limit;
}

} // namespace

auto customer_shares::account_of(customer_id const& customer)
    -> customer_account&
{
    auto const [it, inserted] = accounts_.try_emplace(customer);
    if (inserted)
    {
        it->second.customer = customer;
    }
    return it->second;
}

auto customer_shares::set_customers(customer_table const& table) -> void
{
    for (auto const& [id, config] : table.customers)
    {
        auto& account = account_of(id);
        account.weight = config.weight;
        account.limit = config.limit;
    }
}

auto customer_shares::set_capacity(core::resources const& capacity) -> void
{
    capacity_ = capacity;
}

auto customer_shares::advance(core::time_point now) -> void
{
    auto const elapsed =
        std::chrono::duration<double>{now - advanced_at_.value_or(now)};
    advanced_at_ = now;
    auto const factor =
        std::exp(-elapsed / std::chrono::duration<double>{use_decay_time});
    for (auto& [id, account] : accounts_)
    {
        auto const use = use_of(account);
        account.mean_use = use + (account.mean_use - use) * factor;
    }
}

auto customer_shares::begin_pass() -> void
{
    for (auto& [id, account] : accounts_)
    {
        account.contends = false;
    }
}

// All jobs without a customer share one account of weight 1, so that callers
// without a key cannot push out customers through an open queue.
auto customer_shares::compare() -> void
{
    contending_use_ = 0.0;
    contending_weight_ = 0.0;
    for (auto const& [id, account] : accounts_)
    {
        if (account.contends)
        {
            contending_use_ += normalised_use(account) * account.weight;
            contending_weight_ += account.weight;
        }
    }
}

auto customer_shares::fits(
    customer_account const& account, core::resources const& need) -> bool
{
    auto const total = account.running + account.unseen + need;
    auto const& limit = account.limit;
    return is_within(total.cpu_milli, limit.cpu_milli) &&
           is_within(total.memory_mb, limit.memory_mb) &&
           is_within(total.accelerators, limit.accelerators);
}

auto customer_shares::is_beyond_share(customer_account const& account) const
    -> bool
{
    return is_above_mean(
        normalised_use(account), contending_use_, contending_weight_);
}

auto customer_shares::would_be_beyond_share(
    customer_account const& account) const -> bool
{
    if (account.contends)
    {
        return is_beyond_share(account);
    }
    auto const use = normalised_use(account);
    return is_above_mean(
        use, contending_use_ + use * account.weight,
        contending_weight_ + account.weight);
}

auto customer_shares::set_unseen(
    customer_account& account, core::resources const& possible) -> void
{
    auto const bound =
        [](std::int64_t amount, std::int64_t limit, std::int64_t found)
    {
        // A former limit may have been higher.
        auto const applies = limit > 0 && found < limit;
        return applies ? std::min(amount, limit - found) : amount;
    };
    auto const& limit = account.limit;
    auto const& found = account.found;
    account.unseen = {
        bound(possible.cpu_milli, limit.cpu_milli, found.cpu_milli),
        bound(possible.memory_mb, limit.memory_mb, found.memory_mb),
        bound(possible.accelerators, limit.accelerators, found.accelerators)};
}

auto customer_shares::normalised_use(customer_account const& account) const
    -> double
{
    return std::max(use_of(account), account.mean_use) / account.weight;
}

auto customer_shares::entitled_cpu_milli(customer_account const& account) const
    -> std::int64_t
{
    auto const others = account.contends ? contending_weight_
                                         : contending_weight_ + account.weight;
    auto const share = static_cast<std::int64_t>(
        static_cast<double>(capacity_.cpu_milli) * account.weight /
        std::max(others, account.weight));
    auto const entitled = std::max(share, account.running.cpu_milli);
    auto const limited = account.limit.cpu_milli > 0
                             ? std::min(entitled, account.limit.cpu_milli)
                             : entitled;
    return std::max<std::int64_t>(limited, 1);
}

auto customer_shares::accounts() -> std::map<customer_id, customer_account>&
{
    return accounts_;
}

auto customer_shares::accounts() const
    -> std::map<customer_id, customer_account> const&
{
    return accounts_;
}

auto customer_shares::use_of(customer_account const& account) const -> double
{
    auto const used = account.running + account.unseen;
    return std::max(
        {part_of(used.cpu_milli, capacity_.cpu_milli),
         part_of(used.memory_mb, capacity_.memory_mb),
         part_of(used.accelerators, capacity_.accelerators)});
}

} // namespace godwitcleat::state
