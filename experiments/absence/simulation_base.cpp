/** @file simulation_base.cpp A data centre that is taken out and brought back.
 */
#include "simulation_base.hpp"

#include "cluster_base.hpp"
#include "experiments/support/interference_base.hpp"
#include "sample_func.hpp"
#include "standins/support/worker_base.hpp"
#include "workload_base.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

namespace godwitcleat::experiments
{

namespace
{

using namespace std::chrono_literals;

constexpr core::duration step = 100ms;
constexpr std::uint32_t steps_per_s = 10;
constexpr std::uint32_t beat_steps = 5;
constexpr std::uint32_t publish_step = 10; ///< All workers are known by then.
constexpr std::uint32_t batch_from_s = 10; ///< Services are placed by then.
constexpr double urgent_limit_s = 2.4;
constexpr double percentile = 0.99;

// A task loads its data in its first seconds and then uses more processors.
constexpr core::duration start_length = 5s;

constexpr std::uint32_t return_window_s = 60;
constexpr std::uint32_t regain_window_s = 10;
constexpr double regain_share = 0.9;

auto seconds(core::duration value) -> double
{
    return std::chrono::duration<double>(value).count();
}

auto with_retention(state::engine_settings settings) -> state::engine_settings
{
    settings.retention = 60s;
    return settings;
}

/** What is collected during a phase. */
struct samples
{
    double work = 0;
    std::vector<double> slowdowns;
    std::vector<double> urgent;
    std::vector<double> queue;
    std::map<core::team_id, double> by_team;
};

/** What the simulation knows of a batch job beyond its truth. */
struct batch_entry
{
    state::job_spec spec;
    std::int64_t best = 0; ///< Milliseconds of work done, at most so far.
    core::time_point submitted;
    std::size_t submitted_in = 0; ///< Phase.
    bool started = false;
    core::time_point started_at;                ///< Latest start.
    std::optional<core::time_point> evicted_at; ///< Until the next start.
    bool checkpointed = false;
};

class simulation
{
public:
    simulation(
        run_options const& options, state::engine_settings const& settings)
        : options_(options)
        , fleet_(options.instances)
        , random_(options.seed)
        , cluster_(
              options.shards, with_retention(settings),
              [this](auto const& it)
              { result_.throttles += it.kind == "throttle_requested" ? 1 : 0; },
              clock_.reader())
    {
        make_workers();
    }

    auto run() -> run_result
    {
        config_ = std::make_shared<state::config_document>();
        auto const out_from = options_.warm_up_s + options_.before_s;
        auto const out_to = out_from + options_.out_s;
        for (auto n = 0U; n < (out_to + options_.after_s) * steps_per_s; ++n)
        {
            clock_.advance(step);
            if (n == publish_step)
            {
                config_ = std::make_shared<state::config_document>(
                    workload_.make_document());
            }
            if (n == options_.warm_up_s * steps_per_s)
            {
                phase_ = 0;
            }
            if (n == out_from * steps_per_s)
            {
                take_out();
            }
            if (n == out_to * steps_per_s)
            {
                bring_back();
            }
            advance(n);
        }
        return finish();
    }

private:
    auto advance(std::uint32_t n) -> void
    {
        arrive(n / steps_per_s);
        cluster_.tick(config_, n % beat_steps == 0);
        cluster_.settle();
        for (auto i = std::size_t{0}; i < workers_.size(); ++i)
        {
            if ((n + i) % beat_steps == 0)
            {
                beat(i);
            }
        }
        cluster_.settle();
        follow_services();
        if (phase_ && n % beat_steps == 0)
        {
            measure(n);
        }
    }

    auto make_workers() -> void
    {
        for (auto n = 0U; n < fleet_.workers; ++n)
        {
            auto settings = standins::worker_settings{};
            auto const rack = n / fleet_.rack_size;
            settings.info.worker =
                core::worker_id{fmt::format("worker-{:02}", n)};
            settings.info.rack = core::rack_id{fmt::format("rack-{}", rack)};
            settings.info.data_centre = core::data_centre_id{
                fmt::format("dc-{}", rack % fleet_.data_centres)};
            settings.info.capacity = fleet_.capacity;
            settings.checkpoint_delay = options_.checkpoint_delay;
            settings.usage_lag = std::chrono::milliseconds{
                static_cast<std::int64_t>(uniform(random_, 2000, 10000))};
            settings.interference = [this](auto const& task, auto const& others)
            {
                return world_.slowdown(task, others);
            };
            infos_.push_back(settings.info);
            workers_.push_back(std::make_unique<standins::standin_worker>(
                std::move(settings),
                [this](standins::worker_event const& it) { follow(it); }));
        }
    }

    auto submit(state::job_spec const& spec) -> void
    {
        auto entry = batch_entry{};
        entry.spec = spec;
        entry.submitted = now_();
        entry.submitted_in = phase_.value_or(phase_count);
        batches_[spec.id] = entry;
        cluster_.submit(spec);
    }

    auto arrive(std::uint32_t second) -> void
    {
        if (second < batch_from_s)
        {
            return;
        }
        auto const draw = [this](double rate)
        {
            return std::poisson_distribution<int>{rate / steps_per_s}(random_);
        };
        for (auto count = draw(workload_.batch_rate()); count > 0; --count)
        {
            submit(workload_.make_batch());
        }
        for (auto count = draw(options_.urgent_rate); count > 0; --count)
        {
            submit(workload_.make_urgent());
        }
    }

    // Takes out the data centre that runs the most services.
    auto take_out() -> void
    {
        auto runners = std::map<core::data_centre_id, std::uint32_t>{};
        for (auto i = std::size_t{0}; i < infos_.size(); ++i)
        {
            for (auto const& id : tasks_on_[infos_[i].worker])
            {
                runners[infos_[i].data_centre] += is_service(id) ? 1 : 0;
            }
        }
        drained_ = std::max_element(
                       runners.begin(), runners.end(),
                       [](auto const& left, auto const& right)
                       { return left.second < right.second; })
                       ->first;
        publish([this](auto& it) { it.drained_data_centres.insert(drained_); });
        phase_ = static_cast<std::size_t>(phase::out);
        out_at_ = now_();
    }

    auto bring_back() -> void
    {
        publish([](auto& it) { it.drained_data_centres.clear(); });
        phase_ = static_cast<std::size_t>(phase::after);
        back_at_ = now_();
    }

    template <class Edit>
    auto publish(Edit edit) -> void
    {
        auto document = std::make_shared<state::config_document>(*config_);
        document->number = document->number.next();
        edit(*document);
        config_ = std::move(document);
    }

    [[nodiscard]] auto is_service(core::job_id const& id) const -> bool
    {
        return !batches_.contains(id);
    }

    [[nodiscard]] auto is_out(std::size_t worker) const -> bool
    {
        return out_at_ && !back_at_ && infos_[worker].data_centre == drained_;
    }

    auto cpu_of(core::job_id const& id, truth const& value) const -> double
    {
        auto const it = batches_.find(id);
        auto const is_new = it != batches_.end() &&
                            now_() - it->second.started_at < start_length;
        return static_cast<double>(value.cpu_milli) *
               (is_new ? options_.start_factor : 1.0);
    }

    [[nodiscard]] auto is_off(std::size_t worker) const -> bool
    {
        return options_.notice_s > 0 && is_out(worker) &&
               now_() - *out_at_ >= std::chrono::seconds{options_.notice_s};
    }

    auto beat(std::size_t index) -> void
    {
        if (is_off(index))
        {
            return;
        }
        auto& worker = *workers_[index];
        auto report = worker.make_report(now_());
        for (auto const& it : report.tasks)
        {
            count_progress(it);
            if (is_out(index) && is_movable(it))
            {
                result_.cleared_s = seconds(now_() - *out_at_);
            }
        }
        add_noise(report, noise_random_);
        auto const reply = cluster_.heartbeat(report);
        world_.follow(reply);
        worker.take_reply(report.sequence, reply, now_());
    }

    [[nodiscard]] auto is_movable(state::task_report const& it) const -> bool
    {
        auto const found = batches_.find(it.key.job);
        return (found == batches_.end() || found->second.spec.interruptible) &&
               (it.phase == state::task_phase::running ||
                it.phase == state::task_phase::checkpointing);
    }

    // Counts work that was not done before.
    auto count_progress(state::task_report const& it) -> void
    {
        auto const found = batches_.find(it.key.job);
        if (found == batches_.end() || it.progress <= found->second.best)
        {
            return;
        }
        auto& entry = found->second;
        auto const cores =
            static_cast<double>(world_.truths.at(it.key.job).cpu_milli) / milli;
        auto const work =
            cores * static_cast<double>(it.progress - entry.best) / milli;
        entry.best = it.progress;
        if (phase_)
        {
            samples_[*phase_].work += work;
            samples_[*phase_].by_team[entry.spec.team] += work;
        }
        if (back_at_)
        {
            auto const second =
                static_cast<std::size_t>(seconds(now_() - *back_at_));
            work_after_.resize(std::max(work_after_.size(), second + 1));
            work_after_[second] += work;
        }
    }

    auto follow(standins::worker_event const& it) -> void
    {
        using kind = standins::worker_event_kind;
        if (it.kind == kind::started)
        {
            tasks_on_[it.worker].insert(it.spec.id);
        }
        else if (it.kind != kind::checkpointed)
        {
            tasks_on_[it.worker].erase(it.spec.id);
        }
        auto const found = batches_.find(it.spec.id);
        if (found == batches_.end())
        {
            follow_runner(it);
        }
        else if (it.kind == kind::started)
        {
            follow_start(it, found->second);
        }
        else
        {
            follow_end(it, found->second);
        }
    }

    auto follow_runner(standins::worker_event const& it) -> void
    {
        if (it.kind == standins::worker_event_kind::started)
        {
            running_[it.spec.id] = it.worker;
        }
        else
        {
            running_.erase(it.spec.id);
        }
    }

    auto follow_start(standins::worker_event const& it, batch_entry& entry)
        -> void
    {
        if (phase_ && it.progress < entry.best)
        {
            result_.phases[*phase_].lost_work +=
                static_cast<double>(world_.truths.at(it.spec.id).cpu_milli) /
                milli * static_cast<double>(entry.best - it.progress) / milli;
        }
        entry.started_at = now_();
        entry.checkpointed = false;
        if (entry.evicted_at)
        {
            resumed_.push_back(seconds(now_() - *entry.evicted_at));
            entry.evicted_at.reset();
        }
        auto const is_urgent =
            entry.spec.priority == state::priority_class::urgent;
        if (is_urgent && !entry.started && entry.submitted_in < phase_count)
        {
            samples_[entry.submitted_in].urgent.push_back(
                seconds(now_() - entry.submitted));
        }
        entry.started = true;
    }

    auto follow_end(standins::worker_event const& it, batch_entry& entry)
        -> void
    {
        if (it.kind == standins::worker_event_kind::checkpointed)
        {
            entry.checkpointed = true;
            entry.evicted_at = now_();
            result_.forced += entry.spec.interruptible ? 0 : 1;
            if (phase_)
            {
                auto& to = result_.phases[*phase_];
                ++to.evictions;
                to.lost_work += static_cast<double>(
                                    world_.truths.at(it.spec.id).cpu_milli) /
                                milli * seconds(options_.checkpoint_delay);
            }
        }
        else if (it.kind != standins::worker_event_kind::finished)
        {
            result_.killed += entry.checkpointed ? 0 : 1;
        }
    }

    auto follow_services() -> void
    {
        if (!phase_)
        {
            return;
        }
        auto missing = fleet_.services;
        for (auto const& [id, worker] : running_)
        {
            missing -= is_serving(worker) ? 1 : 0;
        }
        result_.phases[*phase_].missing_runner_s +=
            missing * seconds(core::duration{step});
        if (missing > 0 && out_at_)
        {
            result_.restored_s = seconds(now_() - *out_at_);
        }
    }

    [[nodiscard]] auto is_serving(core::worker_id const& worker) const -> bool
    {
        auto const it = std::find_if(
            infos_.begin(), infos_.end(),
            [&worker](auto const& info) { return info.worker == worker; });
        return !is_out(static_cast<std::size_t>(it - infos_.begin()));
    }

    auto measure(std::uint32_t n) -> void
    {
        auto& to = samples_[*phase_];
        for (auto const& [id, worker] : running_)
        {
            to.slowdowns.push_back(world_.truths.at(id).slowdown);
        }
        if (n % steps_per_s == 0)
        {
            measure_queue(to);
            measure_returned();
        }
    }

    auto measure_queue(samples& to) -> void
    {
        to.queue.push_back(static_cast<double>(cluster_.queued()));
    }

    auto measure_returned() -> void
    {
        if (!back_at_ ||
            now_() - *back_at_ >= std::chrono::seconds{return_window_s})
        {
            return;
        }
        for (auto const& info : infos_)
        {
            if (info.data_centre != drained_)
            {
                continue;
            }
            auto load = 0.0;
            for (auto const& id : tasks_on_[info.worker])
            {
                auto const& value = world_.truths.at(id);
                load += world_.load_of(id);
                return_slowdowns_.push_back(value.slowdown);
            }
            return_loads_.push_back(load);
        }
    }

    auto finish() -> run_result
    {
        // Urgent jobs that never started count with their wait so far.
        for (auto const& [id, it] : batches_)
        {
            if (it.spec.priority == state::priority_class::urgent &&
                !it.started && it.submitted_in < phase_count &&
                now_() - it.submitted > 3s)
            {
                samples_[it.submitted_in].urgent.push_back(
                    seconds(now_() - it.submitted));
            }
        }
        auto const lengths = std::array<std::uint32_t, phase_count>{
            options_.before_s, options_.out_s, options_.after_s};
        for (auto i = std::size_t{0}; i < phase_count; ++i)
        {
            finish_phase(samples_[i], lengths[i], result_.phases[i]);
        }
        result_.resumed_s = mean(resumed_);
        result_.return_load = quantile(return_loads_, percentile);
        result_.return_slowdown = quantile(return_slowdowns_, percentile);
        result_.regained_s = regained();
        return result_;
    }

    static auto
    finish_phase(samples& from, std::uint32_t length_s, phase_result& to)
        -> void
    {
        to.work_per_min = from.work * 60 / length_s;
        to.mean_slowdown = mean(from.slowdowns);
        to.p99_slowdown = quantile(from.slowdowns, percentile);
        auto const late = std::count_if(
            from.urgent.begin(), from.urgent.end(),
            [](double it) { return it > urgent_limit_s; });
        to.urgent_late = from.urgent.empty()
                             ? 0
                             : static_cast<double>(late) /
                                   static_cast<double>(from.urgent.size());
        to.urgent_p99_s = quantile(from.urgent, percentile);
        to.urgent_worst_s = quantile(from.urgent, 1.0);
        to.queue = mean(from.queue);
        to.fairness = jain(from.by_team);
    }

    [[nodiscard]] auto regained() const -> double
    {
        auto const wanted = regain_share * result_.phases.front().work_per_min /
                            60 * regain_window_s;
        for (auto n = std::size_t{0}; n + regain_window_s < work_after_.size();
             ++n)
        {
            auto sum = 0.0;
            for (auto i = n; i < n + regain_window_s; ++i)
            {
                sum += work_after_[i];
            }
            if (sum >= wanted)
            {
                return static_cast<double>(n);
            }
        }
        return static_cast<double>(work_after_.size());
    }

    run_options options_;
    fleet fleet_;
    core::manual_clock clock_;
    core::clock now_ = clock_.reader();
    std::mt19937_64 random_;
    // The jobs of a seed do not depend on the policy, so the noise of reports
    // has its own sequence.
    std::mt19937_64 noise_random_{options_.seed + 1'000'000};
    interference_world world_{
        random_, static_cast<double>(fleet_.capacity.cpu_milli),
        [this](auto const& id, auto const& value)
        {
            return cpu_of(id, value);
        }};
    workload workload_{options_, random_, world_};
    engine_cluster cluster_;
    std::vector<state::worker_info> infos_;
    std::vector<std::unique_ptr<standins::standin_worker>> workers_;
    state::config_pointer config_;
    std::map<core::job_id, batch_entry> batches_;     ///< With urgent jobs.
    std::map<core::job_id, core::worker_id> running_; ///< Services.
    std::map<core::worker_id, std::set<core::job_id>> tasks_on_;
    core::data_centre_id drained_;
    std::optional<core::time_point> out_at_;
    std::optional<core::time_point> back_at_;
    std::optional<std::size_t> phase_; ///< Unset in the warm-up.
    std::array<samples, phase_count> samples_;
    std::vector<double> resumed_;
    std::vector<double> return_loads_;
    std::vector<double> return_slowdowns_;
    std::vector<double> work_after_; ///< By second since the return.
    run_result result_;
};

} // namespace

auto run_absence(
    run_options const& options, state::engine_settings const& settings)
    -> run_result
{
    return simulation{options, settings}.run();
}

} // namespace godwitcleat::experiments
