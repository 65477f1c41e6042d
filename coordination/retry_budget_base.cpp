/** @file retry_budget_base.cpp Bound on the retries of a service. */
#include "coordination/retry_budget_base.hpp"

#include <algorithm>

namespace godwitcleat::coordination
{

retry_budget::retry_budget(double fraction, double size)
    : fraction_(fraction)
    , size_(size)
    , tokens_(size)
{
}

auto retry_budget::add_request() -> void
{
    tokens_ = std::min(size_, tokens_ + fraction_);
}

auto retry_budget::take() -> bool
{
    if (tokens_ < 1.0)
    {
        return false;
    }
    tokens_ -= 1.0;
    return true;
}

} // namespace godwitcleat::coordination
