/** @file worker_base.hpp Simulated worker without I/O. */
#ifndef GODWITCLEAT_STANDINS_SUPPORT_WORKER_BASE_HPP
#define GODWITCLEAT_STANDINS_SUPPORT_WORKER_BASE_HPP

#include "core/core.hpp"
#include "state/state.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace godwitcleat::standins
{

/** What happened to a task on a worker. */
enum class worker_event_kind
{
    started,      ///< The task began or resumed.
    finished,     ///< The task did all its work.
    checkpointed, ///< A checkpoint was written.
    stopped,      ///< The task stopped on command.
    failed,       ///< The task exited with an error.
    lapsed        ///< The task was stopped because the lease lapsed.
};

auto to_string(worker_event_kind value) -> std::string_view;

/** One event of one task. */
struct worker_event
{
    worker_event_kind kind = worker_event_kind::started;
    state::attempt_key key;
    core::worker_id worker;
    core::time_point at;       ///< Time of the event, not of its discovery.
    std::int64_t progress = 0; ///< Milliseconds of work done by then.
    state::job_spec spec;
};

/** Receives events in the order of their time; must not call the worker. */
using worker_hook = std::function<void(worker_event const&)>;

/** How long a task runs and what it really uses; from the command text. */
struct task_script
{
    /** Work in milliseconds at full speed; std::nullopt: never ends. */
    std::optional<std::int64_t> work_ms;
    bool fails = false;                    ///< Exits with an error at the end.
    std::int64_t serve_ms = 0;             ///< Duration of one request.
    std::optional<std::int64_t> cpu_milli; ///< Real use; unset: the need.
    std::optional<std::int64_t> memory_mb; ///< Real use; unset: the need.
};

/**
 * Parses `work MS`, `fail MS` or `serve [MS]`, followed by any of
 * `cpu CPU_MILLI` and `memory MB`; std::nullopt with invalid_input.
 */
auto parse_task_script(std::string_view command) -> std::optional<task_script>;

/** Returns how much longer @p task takes beside @p neighbours; 1.0 or more. */
using interference_hook = std::function<double(
    state::job_spec const& task,
    std::vector<state::job_spec const*> const& neighbours)>;

/** Behaviour of one simulated worker. */
struct worker_settings
{
    state::worker_info info;
    std::uint64_t boot = 1; ///< Changes with each start of the worker.
    core::duration checkpoint_delay = std::chrono::milliseconds{200};
    core::duration usage_lag = std::chrono::seconds{2};
    bool fails_all_tasks = false;   ///< Each task fails as it starts.
    interference_hook interference; ///< Unset: tasks do not disturb others.
};

/**
 * Simulates a worker and its tasks under the lease protocol of docs/design.md,
 * 5.4. Progress is counted in milliseconds of work at full speed. Times that
 * are passed in must not decrease. Not thread-safe.
 */
class standin_worker
{
public:
    explicit standin_worker(worker_settings settings, worker_hook hook = {});

    /** Runs the tasks up to @p now and stops them if the lease has lapsed. */
    auto advance(core::time_point now) -> void;

    /** Returns the heartbeat to send at @p now. */
    auto make_report(core::time_point now) -> state::worker_report;

    /**
     * Obeys the reply to the heartbeat number @p sequence.
     * @return false with stale_epoch if the epoch is lower than the highest
     *         seen, or with conflict if this or a later heartbeat has been
     *         answered already; the reply is then ignored. Starts are taken
     *         from the reply to the latest heartbeat only.
     */
    auto take_reply(
        std::uint64_t sequence, state::heartbeat_reply const& reply,
        core::time_point now) -> bool;

    /** Sets the address of a service runner; ignored for unknown tasks. */
    auto set_endpoint(state::attempt_key const& key, std::string endpoint)
        -> void;

    /** Returns the end of the lease; std::nullopt before the first reply. */
    [[nodiscard]] auto lease_end() const -> std::optional<core::time_point>;

    /** Returns the time of the next change if no reply comes before. */
    [[nodiscard]] auto next_event() const -> std::optional<core::time_point>;

    /** Returns the time from one heartbeat to the next. */
    [[nodiscard]] auto heartbeat_interval() const -> core::duration;

    /** Returns a number that grows with each change an owner must hear of. */
    [[nodiscard]] auto changes() const -> std::uint64_t;

    [[nodiscard]] auto highest_epoch() const -> core::epoch;

    /** Returns what the running and checkpointing tasks need together. */
    [[nodiscard]] auto committed() const -> core::resources;

private:
    /** Use of a task from one time on. */
    struct usage_sample
    {
        core::time_point from;
        core::resources usage;
        double slowdown = 1.0;
    };

    struct task
    {
        state::job_spec spec;
        task_script script;
        state::task_phase phase = state::task_phase::running;
        double done_ns = 0;                   ///< Work at full speed.
        std::int64_t checkpoint_progress = 0; ///< Work in the checkpoint, ms.
        std::string checkpoint;
        std::string endpoint;
        std::int64_t throttle_percent = 100;
        double slowdown = 1.0;
        core::time_point checkpoint_end; ///< While checkpointing.
        std::deque<usage_sample> samples;
    };

    using task_map = std::map<state::attempt_key, task>;

    [[nodiscard]] static auto is_active(task const& value) -> bool;
    [[nodiscard]] static auto rate(task const& value) -> double;
    [[nodiscard]] auto due(task const& value) const
        -> std::optional<core::time_point>;
    auto run_until(core::time_point time) -> void;
    auto progress_until(core::time_point time) -> void;
    auto complete(state::attempt_key const& key, task& value) -> void;
    auto lapse() -> void;
    auto refresh() -> void;
    auto sample(task& value) -> void;
    auto report(state::attempt_key const& key, task& value)
        -> state::task_report;
    auto obey(state::worker_command const& command, core::time_point start_end)
        -> void;
    auto start(state::worker_command const& command) -> void;
    auto
    end(state::attempt_key const& key, task& value, state::task_phase phase,
        worker_event_kind kind) -> void;
    auto tell(
        worker_event_kind kind, state::attempt_key const& key,
        task const& value) -> void;

    worker_settings settings_;
    worker_hook hook_;
    core::time_point now_;
    std::optional<core::time_point> lease_end_;
    bool lease_held_ = false;
    core::epoch highest_epoch_;
    std::uint64_t sequence_ = 0;
    std::uint64_t changes_ = 0;
    std::uint64_t answered_ = 0; ///< Highest heartbeat with a reply.
    std::map<std::uint64_t, core::time_point> sent_;
    core::duration interval_ = std::chrono::milliseconds{500};
    task_map tasks_;
};

} // namespace godwitcleat::standins

#endif
