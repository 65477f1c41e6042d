/** @file simulation_base.cpp Placement on modelled workers with interference.
 */
#include "simulation_base.hpp"

#include "experiments/support/choice_func.hpp"
#include "experiments/support/interference_base.hpp"
#include "standins/support/worker_base.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace godwitcleat::experiments
{

namespace
{

using namespace std::chrono_literals;

constexpr auto worker_capacity = core::resources{16000, 61440, 0};
constexpr core::duration step = 100ms;
constexpr std::uint32_t steps_per_s = 10;
constexpr std::uint32_t beat_steps = 5;
// Before it, every worker has sent a heartbeat; otherwise the services crowd
// on the first few workers.
constexpr std::uint32_t publish_step = 10;
constexpr std::uint32_t batch_from_s = 30; ///< Services are placed by then.
constexpr std::uint32_t wave_period_s = 180;
constexpr std::uint32_t wave_length_s = 60;
constexpr core::duration checkpoint_delay = 2s;

class simulation
{
public:
    explicit simulation(run_options const& options)
        : options_(options)
        , random_(options.seed)
    {
        make_engine();
        make_workers();
    }

    auto run() -> run_result
    {
        auto const all = options_.warm_up_s + options_.length_s;
        view_.config = std::make_shared<state::config_document>();
        for (auto n = 0U; n < all * steps_per_s; ++n)
        {
            clock_.advance(step);
            if (n == publish_step)
            {
                publish_services();
            }
            is_measured_ = n >= options_.warm_up_s * steps_per_s;
            arrive(n);
            engine_->tick(now_(), view_);
            commit_all(*engine_, now_());
            for (auto i = std::size_t{0}; i < workers_.size(); ++i)
            {
                if ((n + i) % beat_steps == 0)
                {
                    beat(*workers_[i]);
                }
            }
            commit_all(*engine_, now_());
            if (is_measured_ && n % beat_steps == 0)
            {
                measure();
            }
        }
        return finish();
    }

private:
    auto make_engine() -> void
    {
        auto settings = state::engine_settings{};
        settings.shard_count = 1;
        settings.retention = 60s;
        auto hooks = state::engine_hooks{};
        switch (options_.placement)
        {
        case placement_kind::first_fit: hooks.place = state::first_fit(); break;
        case placement_kind::best_fit: hooks.place = state::best_fit(); break;
        case placement_kind::spread: hooks.place = state::spread(); break;
        case placement_kind::unlearned:
            hooks.place =
                state::interference_aware([](auto, auto) { return 1.1; });
            break;
        case placement_kind::learned: break;
        }
        if (options_.relief != relief_kind::worst)
        {
            hooks.mitigate = other_relief();
        }
        hooks.on_event = [this](core::timeline_event const& it)
        {
            result_.throttles +=
                is_measured_ && it.kind == "throttle_requested" ? 1 : 0;
        };
        engine_ = std::make_unique<state::shard_engine>(
            core::epoch{1}, state::shard_state{core::shard_id{0}}, settings,
            std::move(hooks), now_());
    }

    [[nodiscard]] auto other_relief() const -> state::mitigation_policy
    {
        return [kind = options_.relief](
                   std::span<state::colocated_task const> tasks, auto const&,
                   auto const&) -> std::optional<state::mitigation_action>
        {
            auto largest = std::optional<std::size_t>{};
            for (auto n = std::size_t{0}; n < tasks.size(); ++n)
            {
                if (tasks[n].interruptible &&
                    (!largest ||
                     tasks[n].need.cpu_milli > tasks[*largest].need.cpu_milli))
                {
                    largest = n;
                }
            }
            if (!largest || kind == relief_kind::none)
            {
                return std::nullopt;
            }
            return state::mitigation_action{
                state::worker_command_kind::checkpoint, *largest};
        };
    }

    auto make_workers() -> void
    {
        for (auto n = 0U; n < options_.workers; ++n)
        {
            auto settings = standins::worker_settings{};
            settings.info.worker = core::worker_id{fmt::format("worker-{}", n)};
            settings.info.rack = core::rack_id{fmt::format("rack-{}", n / 6)};
            settings.info.data_centre = core::data_centre_id{"dc"};
            settings.info.capacity = worker_capacity;
            settings.checkpoint_delay = checkpoint_delay;
            settings.usage_lag = std::chrono::milliseconds{
                static_cast<std::int64_t>(uniform(random_, 2000, 10000))};
            // The failing workers are spread over the list.
            settings.fails_all_tasks =
                options_.failing_workers > 0 &&
                n % (options_.workers / options_.failing_workers) == 0;
            settings.interference = [this](auto const& task, auto const& others)
            {
                return world_.slowdown(task, others);
            };
            workers_.push_back(std::make_unique<standins::standin_worker>(
                std::move(settings),
                [this](standins::worker_event const& it) { follow(it); }));
        }
    }

    // Each runner is a service of its own, because their sizes differ.
    auto publish_services() -> void
    {
        auto document = std::make_shared<state::config_document>();
        document->number = core::generation{1};
        for (auto n = 0U; n < options_.services; ++n)
        {
            auto const spec = make_job(n, true);
            auto service = state::service_config{};
            service.service = spec.service;
            service.team = spec.team;
            service.need = spec.need;
            service.task_class = spec.task_class;
            service.command = spec.command;
            document->services[service.service] = service;
        }
        view_.config = std::move(document);
    }

    auto make_job(std::uint32_t number, bool is_service) -> state::job_spec
    {
        auto it = truth{};
        auto spec = state::job_spec{};
        spec.id = core::job_id{
            fmt::format("{}/{}/0", is_service ? "service" : "batch", number)};
        spec.team = core::team_id{"team"};
        it.task_class =
            is_service
                ? number % service_classes
                : service_classes + random_() % (class_count - service_classes);
        spec.task_class = class_names[it.task_class];
        it.cpu_milli = static_cast<std::int64_t>(
            is_service ? uniform(random_, 1000, 4000)
                       : log_uniform(random_, 700, 4500));
        spec.need = draw_need(it, random_);
        if (is_service)
        {
            spec.service = core::service_id{fmt::format("{}", number)};
            spec.command = fmt::format("serve cpu {}", it.cpu_milli);
        }
        else
        {
            it.work_s = log_uniform(random_, 20, 180);
            spec.interruptible = uniform(random_, 0, 1) < 0.9;
            spec.command = fmt::format(
                "work {} cpu {}", static_cast<std::int64_t>(it.work_s * milli),
                it.cpu_milli);
        }
        world_.truths[spec.id] = it;
        return spec;
    }

    auto arrive(std::uint32_t number) -> void
    {
        auto const second = number / steps_per_s;
        if (second < batch_from_s)
        {
            return;
        }
        auto const is_wave =
            (second - batch_from_s) % wave_period_s < wave_length_s;
        auto const rate =
            (is_wave ? options_.wave_rate : options_.calm_rate) / steps_per_s;
        auto count = std::poisson_distribution<int>{rate}(random_);
        for (; count > 0; --count)
        {
            engine_->submit(make_job(batches_++, false), [](bool) {});
        }
    }

    auto beat(standins::standin_worker& worker) -> void
    {
        auto report = worker.make_report(now_());
        add_noise(report, noise_random_);
        auto const reply = engine_->heartbeat(report, now_());
        world_.follow(reply);
        worker.take_reply(report.sequence, reply, now_());
    }

    auto follow(standins::worker_event const& it) -> void
    {
        auto const& value = world_.truths.at(it.spec.id);
        auto const cores = static_cast<double>(value.cpu_milli) / milli;
        if (it.spec.kind == state::job_kind::service)
        {
            running_[it.spec.id] =
                it.kind == standins::worker_event_kind::started;
        }
        if (!is_measured_)
        {
            return;
        }
        if (it.kind == standins::worker_event_kind::finished)
        {
            result_.batch_work += cores * value.work_s;
            ++result_.batch_jobs;
        }
        else if (it.kind == standins::worker_event_kind::checkpointed)
        {
            ++result_.evictions;
            result_.lost_work +=
                cores * std::chrono::duration<double>(checkpoint_delay).count();
        }
    }

    auto measure() -> void
    {
        for (auto const& [id, runs] : running_)
        {
            if (runs)
            {
                slowdowns_.push_back(world_.truths.at(id).slowdown);
            }
        }
    }

    auto finish() -> run_result
    {
        for (auto const& it : engine_->jobs())
        {
            result_.failed_jobs += it.phase == state::job_phase::failed ? 1 : 0;
        }
        if (!slowdowns_.empty())
        {
            auto sum = 0.0;
            for (auto const it : slowdowns_)
            {
                sum += it;
            }
            result_.mean_slowdown =
                sum / static_cast<double>(slowdowns_.size());
            std::sort(slowdowns_.begin(), slowdowns_.end());
            result_.p99_slowdown = slowdowns_[slowdowns_.size() * 99 / 100];
        }
        return result_;
    }

    run_options options_;
    core::manual_clock clock_;
    core::clock now_ = clock_.reader();
    std::mt19937_64 random_;
    // The jobs of a seed do not depend on the policy, so the noise of reports
    // has its own sequence.
    std::mt19937_64 noise_random_{options_.seed + 1'000'000};
    interference_world world_{
        random_, static_cast<double>(worker_capacity.cpu_milli)};
    std::map<core::job_id, bool> running_; ///< Services.
    std::vector<std::unique_ptr<standins::standin_worker>> workers_;
    std::unique_ptr<state::shard_engine> engine_;
    state::cluster_view view_;
    std::uint32_t batches_ = 0;
    bool is_measured_ = false;
    std::vector<double> slowdowns_;
    run_result result_;
};

} // namespace

auto parse_placement(std::string_view text) -> std::optional<placement_kind>
{
    return parse_choice<placement_kind>(
        "policy", text,
        {{"first_fit", placement_kind::first_fit},
         {"best_fit", placement_kind::best_fit},
         {"spread", placement_kind::spread},
         {"unlearned", placement_kind::unlearned},
         {"learned", placement_kind::learned}});
}

auto parse_relief(std::string_view text) -> std::optional<relief_kind>
{
    return parse_choice<relief_kind>(
        "relief", text,
        {{"none", relief_kind::none},
         {"largest", relief_kind::largest},
         {"worst", relief_kind::worst}});
}

auto run_placement(run_options const& options) -> run_result
{
    return simulation{options}.run();
}

} // namespace godwitcleat::experiments
