/** @file limiter_base.cpp Rules that admit, hold or refuse a request. */
#include "limiter_base.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <string>
#include <utility>
#include <vector>

namespace godwitcleat::experiments
{

namespace
{

using namespace std::chrono_literals;

constexpr double least_limit = 4.0;

auto share_of_slots(admission_view const& view) -> double
{
    return static_cast<double>(view.queue.slots) / view.instances;
}

/** Admits all; only the router's limit of connections refuses. */
class no_limiter : public limiter
{
public:
    auto decide(admission_view const& /*view*/) -> verdict override
    {
        return verdict::admit;
    }
};

/** The gateway's admission with the given settings. */
class estimate_limiter : public limiter
{
public:
    explicit estimate_limiter(coordination::admission_settings settings)
        : queue_(settings)
    {
    }

    auto decide(admission_view const& view) -> verdict override
    {
        return queue_.admits(view.remaining, view.queue) ? verdict::admit
                                                         : verdict::refuse;
    }

    auto note_answer(core::duration elapsed, admission_view const& view)
        -> void override
    {
        queue_.note_answer(elapsed, view.queue);
    }

private:
    coordination::admission queue_;
};

/** At most a multiple of the instance's share of all slots in flight. */
class fixed_limiter : public limiter
{
public:
    explicit fixed_limiter(double factor)
        : factor_(factor)
    {
    }

    auto decide(admission_view const& view) -> verdict override
    {
        return view.own_in_flight < factor_ * share_of_slots(view)
                   ? verdict::admit
                   : verdict::refuse;
    }

private:
    double factor_;
};

/** As fixed_limiter, but excess requests wait at the instance. */
class holding_limiter : public limiter
{
public:
    holding_limiter(double factor, hold_order order)
        : factor_(factor)
        , order_(order)
    {
    }

    auto decide(admission_view const& view) -> verdict override
    {
        return view.own_in_flight < factor_ * share_of_slots(view)
                   ? verdict::admit
                   : verdict::hold;
    }

    auto note_answer(core::duration elapsed, admission_view const& /*view*/)
        -> void override
    {
        constexpr double weight = 0.02;
        auto const ns = static_cast<double>(elapsed.count());
        mean_ns_ = mean_ns_ <= 0.0 ? ns : mean_ns_ + weight * (ns - mean_ns_);
    }

    [[nodiscard]] auto order() const -> hold_order override
    {
        return order_;
    }

    [[nodiscard]] auto needed() const -> core::duration override
    {
        constexpr double margin = 1.5;
        return core::duration{
            static_cast<core::duration::rep>(margin * mean_ns_)};
    }

private:
    double factor_;
    hold_order order_;
    double mean_ns_ = 0.0; ///< Of whole answers.
};

/**
 * Adapts a limit once in each window: additive increase while it is used,
 * multiplicative decrease when requests time out or take over three times the
 * least mean latency.
 */
class aimd_limiter : public limiter
{
public:
    auto decide(admission_view const& view) -> verdict override
    {
        return view.own_in_flight < limit_ ? verdict::admit : verdict::refuse;
    }

    auto note_answer(core::duration elapsed, admission_view const& view)
        -> void override
    {
        sum_ += static_cast<double>(elapsed.count());
        ++answers_;
        used_ = std::max(used_, view.own_in_flight);
        end_window(view.now);
    }

    auto note_timeout(admission_view const& view) -> void override
    {
        ++timeouts_;
        end_window(view.now);
    }

private:
    auto end_window(core::duration now) -> void
    {
        constexpr auto window = 200ms;
        constexpr double tolerance = 3.0;
        constexpr double decrease = 0.9;
        constexpr double increase = 0.05;
        if (now - begun_ < window || answers_ < 1.0)
        {
            return;
        }
        auto const mean = sum_ / answers_;
        least_ = std::min(least_, mean);
        if (mean > tolerance * least_ || timeouts_ > 0.05 * answers_)
        {
            limit_ = std::max(least_limit, limit_ * decrease);
        }
        else if (used_ >= limit_ / 2.0)
        {
            limit_ += std::max(1.0, limit_ * increase);
        }
        begun_ = now;
        sum_ = answers_ = timeouts_ = used_ = 0.0;
    }

    double limit_ = 40.0;
    core::duration begun_{};
    double sum_ = 0.0;
    double answers_ = 0.0;
    double timeouts_ = 0.0;
    double used_ = 0.0;
    double least_ = std::numeric_limits<double>::infinity();
};

/**
 * The limit follows the ratio of long-term to recent mean latency, as the
 * published gradient algorithms do.
 */
class gradient_limiter : public limiter
{
public:
    auto decide(admission_view const& view) -> verdict override
    {
        return view.own_in_flight < limit_ ? verdict::admit : verdict::refuse;
    }

    auto note_answer(core::duration elapsed, admission_view const& view)
        -> void override
    {
        constexpr auto window = 100ms;
        constexpr double tolerance = 1.5;
        constexpr double smoothing = 0.2;
        constexpr double long_weight = 0.02;
        constexpr double recovery = 0.95;
        sum_ += static_cast<double>(elapsed.count());
        ++answers_;
        used_ = std::max(used_, view.own_in_flight);
        if (view.now - begun_ < window)
        {
            return;
        }
        auto const mean = sum_ / answers_;
        long_ = long_ <= 0.0 ? mean : long_ + long_weight * (mean - long_);
        if (long_ > 2.0 * mean)
        {
            long_ *= recovery;
        }
        auto const gradient = std::clamp(tolerance * long_ / mean, 0.5, 1.0);
        if (used_ >= limit_ / 2.0)
        {
            auto const next = limit_ * gradient + std::sqrt(limit_);
            limit_ += smoothing * (next - limit_);
            limit_ = std::max(least_limit, limit_);
        }
        begun_ = view.now;
        sum_ = answers_ = used_ = 0.0;
    }

private:
    double limit_ = 40.0;
    core::duration begun_{};
    double sum_ = 0.0;
    double answers_ = 0.0;
    double used_ = 0.0;
    double long_ = 0.0;
};

/**
 * CoDel (RFC 8289) on arrivals: while the least latency in each interval shows
 * a standing queue, refuses one request after ever shorter pauses.
 */
class codel_limiter : public limiter
{
public:
    auto decide(admission_view const& view) -> verdict override
    {
        if (!dropping_ || view.now < next_)
        {
            return verdict::admit;
        }
        ++drops_;
        next_ = std::max(next_, view.now - interval) +
                core::duration{static_cast<core::duration::rep>(
                    static_cast<double>(interval.count()) / std::sqrt(drops_))};
        return verdict::refuse;
    }

    auto note_answer(core::duration elapsed, admission_view const& view)
        -> void override
    {
        least_ = std::min(least_, elapsed);
        if (view.now - begun_ < interval)
        {
            return;
        }
        auto const standing = least_ > target;
        if (standing && !dropping_)
        {
            next_ = view.now;
            drops_ = std::max(1.0, drops_ / 2.0);
        }
        dropping_ = standing;
        begun_ = view.now;
        least_ = core::duration::max();
    }

private:
    static constexpr core::duration interval = 100ms;
    static constexpr core::duration target = 15ms;

    bool dropping_ = false;
    double drops_ = 1.0;
    core::duration next_{};
    core::duration begun_{};
    core::duration least_ = core::duration::max();
};

using limiter_maker = std::function<std::unique_ptr<limiter>()>;

struct entry
{
    std::string_view name;
    limiter_maker make;
};

auto estimate(coordination::admission_settings settings) -> limiter_maker
{
    return [settings]
    {
        return std::make_unique<estimate_limiter>(settings);
    };
}

auto hold(hold_order order) -> limiter_maker
{
    return [order]
    {
        return std::make_unique<holding_limiter>(1.5, order);
    };
}

auto known_limiters(coordination::admission_settings bounded)
    -> std::vector<entry>
{
    return {
        {"none",
         []
         {
             return std::make_unique<no_limiter>();
         }},
        {"estimate", estimate(coordination::unbounded_admission)},
        {"bounded", estimate(bounded)},
        {"fixed",
         []
         {
             return std::make_unique<fixed_limiter>(1.5);
         }},
        {"aimd",
         []
         {
             return std::make_unique<aimd_limiter>();
         }},
        {"gradient",
         []
         {
             return std::make_unique<gradient_limiter>();
         }},
        {"codel",
         []
         {
             return std::make_unique<codel_limiter>();
         }},
        {"hold_oldest", hold(hold_order::oldest)},
        {"hold_newest", hold(hold_order::newest)},
        {"hold_deadline", hold(hold_order::deadline)}};
}

} // namespace

auto limiter::note_answer(
    core::duration /*elapsed*/, admission_view const& /*view*/) -> void
{
}

auto limiter::note_timeout(admission_view const& /*view*/) -> void {}

auto limiter::order() const -> hold_order
{
    return hold_order::oldest;
}

auto limiter::needed() const -> core::duration
{
    return {};
}

auto make_limiter(
    std::string_view name, coordination::admission_settings bounded)
    -> std::unique_ptr<limiter>
{
    auto names = std::string{};
    for (auto const& it : known_limiters(bounded))
    {
        if (it.name == name)
        {
            return it.make();
        }
        names += fmt::format("{}{}", names.empty() ? "" : ", ", it.name);
    }
    core::fail(
        core::error_kind::invalid_input,
        fmt::format("unknown limiter \"{}\"; use one of {}", name, names));
    return nullptr;
}

} // namespace godwitcleat::experiments
