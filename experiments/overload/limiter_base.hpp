/** @file limiter_base.hpp Rules that admit, hold or refuse a request. */
#ifndef GODWITCLEAT_EXPERIMENTS_OVERLOAD_LIMITER_BASE_HPP
#define GODWITCLEAT_EXPERIMENTS_OVERLOAD_LIMITER_BASE_HPP

#include "coordination/coordination.hpp"

#include <memory>
#include <string_view>

namespace godwitcleat::experiments
{

/** What an instance knows when a request of one service arrives. */
struct admission_view
{
    core::duration now{};
    core::duration remaining{};      ///< Until the caller's deadline.
    coordination::queue_state queue; ///< As the gateway builds it.
    double own_in_flight = 0.0;      ///< Requests of this instance.
    double instances = 1.0;          ///< Entry instances.
};

enum class verdict
{
    admit,
    hold, ///< Wait at the instance until one of its requests ends.
    refuse
};

/** Which held request is sent first. */
enum class hold_order
{
    oldest,
    newest,
    deadline
};

/** Admission of one service at one instance. */
class limiter
{
public:
    limiter() = default;
    limiter(limiter const&) = delete;
    auto operator=(limiter const&) -> limiter& = delete;
    virtual ~limiter() = default;

    virtual auto decide(admission_view const& view) -> verdict = 0;

    /** Notes an answer after @p elapsed. */
    virtual auto note_answer(core::duration elapsed, admission_view const& view)
        -> void;

    /** Notes an attempt without an answer. */
    virtual auto note_timeout(admission_view const& view) -> void;

    [[nodiscard]] virtual auto order() const -> hold_order;

    /** Returns the time below which a held request is refused. */
    [[nodiscard]] virtual auto needed() const -> core::duration;
};

/**
 * Returns a new limiter, or null with invalid_input.
 * @param bounded settings of the limiter `bounded`.
 */
auto make_limiter(
    std::string_view name, coordination::admission_settings bounded = {})
    -> std::unique_ptr<limiter>;

} // namespace godwitcleat::experiments

#endif
