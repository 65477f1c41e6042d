/** @file line_budget_base.hpp Bounds the log lines of each kind. */
#ifndef GODWITCLEAT_COORDINATION_LINE_BUDGET_BASE_HPP
#define GODWITCLEAT_COORDINATION_LINE_BUDGET_BASE_HPP

#include "core/core.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace godwitcleat::coordination
{

/**
 * Allows so many lines of each kind in a period and counts the others. Kinds
 * are texts of the code, so that their number is bounded. Not thread-safe.
 */
class line_budget
{
public:
    /** At 10 us for a line, 200 lines a second of one kind take 0.2% of a core.
     */
    static constexpr auto default_lines = std::uint64_t{200};

    explicit line_budget(
        std::uint64_t lines = default_lines,
        core::duration period = std::chrono::seconds{1})
        : lines_(lines)
        , period_(period)
    {
    }

    /** Returns true if a line of this kind may be written. */
    auto allow(std::string_view kind, core::time_point now) -> bool
    {
        auto it = kinds_.find(kind);
        if (it == kinds_.end())
        {
            it = kinds_.emplace(std::string{kind}, window{now, 0, 0}).first;
        }
        auto& use = it->second;
        if (now - use.begun >= period_)
        {
            use.begun = now;
            use.written = 0;
        }
        if (use.written >= lines_)
        {
            ++use.left_out;
            return false;
        }
        ++use.written;
        return true;
    }

    /** Returns the lines left out since the last call, by kind. */
    auto take_left_out() -> std::vector<std::pair<std::string, std::uint64_t>>
    {
        auto result = std::vector<std::pair<std::string, std::uint64_t>>{};
        for (auto& [kind, use] : kinds_)
        {
            if (use.left_out > 0)
            {
                result.emplace_back(kind, std::exchange(use.left_out, 0));
            }
        }
        return result;
    }

private:
    struct window
    {
        core::time_point begun;
        std::uint64_t written = 0;
        std::uint64_t left_out = 0;
    };

    std::uint64_t lines_;
    core::duration period_;
    std::map<std::string, window, std::less<>> kinds_;
};

} // namespace godwitcleat::coordination

#endif
