/** @file retry_budget_base.hpp Bound on the retries of a service. */
#ifndef GODWITCLEAT_COORDINATION_RETRY_BUDGET_BASE_HPP
#define GODWITCLEAT_COORDINATION_RETRY_BUDGET_BASE_HPP

namespace godwitcleat::coordination
{

/**
 * A token bucket: each request adds a fraction of a token, each retry takes
 * one. Retries therefore stay below that fraction of the requests, plus the
 * size of the bucket. Not thread-safe.
 */
class retry_budget
{
public:
    /** @param fraction tokens per request; @param size most tokens kept. */
    explicit retry_budget(double fraction = 0.1, double size = 10.0);

    /** Counts one request from a caller. */
    auto add_request() -> void;

    /** Takes a token; false if there is none. */
    auto take() -> bool;

private:
    double fraction_;
    double size_;
    double tokens_;
};

} // namespace godwitcleat::coordination

#endif
