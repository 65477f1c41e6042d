/** @file omniscient_base.cpp One queue that knows all free slots. */
#include "simulation_base.hpp"
#include "workload_func.hpp"

#include <algorithm>
#include <queue>

namespace godwitcleat::experiments
{

namespace
{

/** Returns the slots that an omniscient queue uses at @p at. */
auto usable_slots(run_options const& options, core::duration at) -> std::size_t
{
    auto const after = at >= fault_time(options);
    auto const without = (after && (options.what == scenario::slow ||
                                    options.what == scenario::frozen ||
                                    options.what == scenario::leaving)) ||
                         (!after && options.what == scenario::returning);
    return (options.backends - (without ? 1 : 0)) * slots;
}

} // namespace

auto run_omniscient(run_options const& options) -> run_result
{
    auto busy = std::priority_queue<
        core::duration, std::vector<core::duration>, std::greater<>>{};
    auto latencies = std::vector<core::duration>{};
    for (auto const& it : make_workload(options))
    {
        auto start = it.at + one_way;
        while (!busy.empty() && busy.top() <= start)
        {
            busy.pop();
        }
        // First come, first served: the request takes the slot that is free
        // first, after the ones of the requests before it.
        while (busy.size() >= usable_slots(options, start))
        {
            start = std::max(start, busy.top());
            busy.pop();
        }
        busy.push(start + it.work);
        if (it.at >= warm_up)
        {
            latencies.push_back(start + it.work + one_way - it.at);
        }
    }
    auto result = run_result{};
    fill_quantiles(result, latencies);
    return result;
}

} // namespace godwitcleat::experiments
