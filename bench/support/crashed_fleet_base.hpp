/** @file crashed_fleet_base.hpp A dispatcher when a data centre crashes. */
#ifndef GODWITCLEAT_BENCH_SUPPORT_CRASHED_FLEET_BASE_HPP
#define GODWITCLEAT_BENCH_SUPPORT_CRASHED_FLEET_BASE_HPP

#include "state/state.hpp"

#include <cstddef>
#include <memory>
#include <vector>

namespace godwitcleat::bench
{

/**
 * One service on workers of three data centres with four runs each, of as many
 * jobs. The workers of one data centre have crashed at one moment; the others
 * have not answered since, so that no verdict is possible yet.
 */
class crashed_fleet
{
public:
    explicit crashed_fleet(std::size_t workers);

    /** Runs one tick, @p after the crash was heard. */
    auto tick(core::duration after) -> void;

    /** Returns the number of workers that have crashed under runs. */
    [[nodiscard]] auto crashed() const -> std::size_t
    {
        return crashed_;
    }

    /** Returns the number of crashes that were taken for common ones. */
    [[nodiscard]] auto dismissed() const -> std::size_t
    {
        return *dismissed_;
    }

private:
    struct fleet_worker
    {
        state::listed_worker info;
        std::vector<state::running_row> running;
    };

    auto start_runs(std::size_t count) -> void;
    auto hold(bool crashed_only) -> void;
    auto answer(state::hold_order const& order) -> void;
    auto worker_of(core::worker_id const& id) -> fleet_worker&;

    core::time_point now_;
    std::vector<fleet_worker> workers_; ///< By id.
    std::size_t runs_ = 0;
    std::size_t crashed_ = 0;
    std::shared_ptr<std::size_t> dismissed_;
    state::dispatcher dispatcher_;
};

} // namespace godwitcleat::bench

#endif
