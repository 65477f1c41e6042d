/** @file engines_history_test.cpp Random histories of several shards. */
#include "tests/support/engine_fixture_base.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace core = godwitcleat::core;
using namespace godwitcleat::state;
using namespace godwitcleat::tests;
using namespace std::chrono_literals;

namespace
{

// A random history of three shards with lost, delayed and repeated messages,
// replaced owners that do not notice it, lost and restarted workers, drains
// and cancellations. Each violated invariant is described in `violation`.
class history
{
public:
    history(std::uint64_t seed, engine_faults faults)
        : all(shards, faults)
        , random_(seed)
    {
        for (auto n = std::size_t{0}; n < 2 * shards; ++n)
        {
            all.add_worker(fmt::format("w{}", n), fmt::format("dc{}", n / 3));
        }
        for (auto n = std::size_t{0}; n < shards; ++n)
        {
            stored_.emplace_back(core::shard_id{n});
            pending_.emplace_back();
            former_.emplace_back();
            seen_.push_back(all.config);
        }
    }

    auto run(int rounds) -> void
    {
        for (auto n = 0; n < rounds && violation.empty(); ++n)
        {
            all.now += std::chrono::milliseconds{20 + below(300)};
            operate();
            exchange();
            check();
        }
    }

    // Ends all disturbances; every job must then become final.
    auto heal(int rounds) -> void
    {
        is_calm_ = true;
        all.change_config([](auto& it) { it.drained_data_centres.clear(); });
        drained_since_.clear();
        for (auto& it : all.workers)
        {
            it->connected = true;
        }
        for (auto n = std::size_t{0}; n < shards; ++n)
        {
            stop_former(n);
        }
        for (auto n = 0; n < rounds && violation.empty(); ++n)
        {
            all.now += 200ms;
            for (auto& it : all.workers)
            {
                end_task(*it, task_phase::finished);
            }
            exchange();
            check();
        }
        for (auto const& name : jobs_)
        {
            if (violation.empty() && !is_final(all.find(name).phase))
            {
                violation = fmt::format(
                    "job {} stays {} ({})", name,
                    to_string(all.find(name).phase), all.find(name).reason);
            }
        }
    }

    static constexpr std::size_t shards = 3;
    cluster all;
    std::string violation;

private:
    struct sent_batch
    {
        commit_batch batch;
        core::time_point sent_at;
        bool is_stored = false;
    };

    struct delayed_report
    {
        std::size_t worker;
        worker_report report;
        core::time_point sent_at;
    };

    auto below(std::uint64_t bound) -> std::uint64_t
    {
        return std::uniform_int_distribution<std::uint64_t>{0, bound - 1}(
            random_);
    }

    auto chance(std::uint64_t percent) -> bool
    {
        return below(100) < percent;
    }

    auto disturb(std::uint64_t percent) -> bool
    {
        return !is_calm_ && chance(percent);
    }

    auto any_worker() -> fake_worker&
    {
        return *all.workers[below(all.workers.size())];
    }

    auto end_task(fake_worker& worker, task_phase phase) -> void
    {
        for (auto& [key, task] : worker.tasks)
        {
            if (is_active(task) && chance(30))
            {
                task.phase = phase;
            }
        }
    }

    auto operate() -> void
    {
        if (chance(15) && jobs_.size() < 25)
        {
            auto const name = fmt::format("job{}", jobs_.size());
            auto const priority =
                chance(20) ? priority_class::urgent : priority_class::batch;
            all.engines[all.home(name)]->submit(
                batch_spec(
                    name, 800 + 100 * static_cast<std::int64_t>(below(20)),
                    priority),
                [this, name](bool committed)
                {
                    if (committed)
                    {
                        jobs_.insert(name);
                    }
                });
        }
        if (chance(2) && !jobs_.empty())
        {
            auto const& name = *jobs_.begin();
            all.engines[all.home(name)]->cancel(
                core::job_id{name}, "unwanted", [](bool) {});
        }
        if (chance(15))
        {
            end_task(
                any_worker(),
                chance(70) ? task_phase::finished : task_phase::failed);
        }
        if (chance(3))
        {
            auto& worker = any_worker();
            worker.connected = !worker.connected;
        }
        if (chance(1))
        {
            any_worker().restart();
        }
        if (chance(2))
        {
            change_drain();
        }
        auto const shard = below(shards);
        if (chance(2) && !former_[shard])
        {
            former_[shard] = all.replace(shard, stored_[shard].data());
            pending_[shard].reset();
        }
        if (chance(3))
        {
            stop_former(shard);
        }
    }

    auto change_drain() -> void
    {
        auto const place = core::data_centre_id{fmt::format("dc{}", below(2))};
        auto const is_drained = drained_since_.erase(place) > 0;
        all.change_config(
            [&](auto& it)
            {
                if (is_drained)
                {
                    it.drained_data_centres.erase(place);
                }
                else
                {
                    it.drained_data_centres.insert(place);
                }
            });
        if (!is_drained)
        {
            drained_since_[place] = all.now;
        }
    }

    auto stop_former(std::size_t shard) -> void
    {
        former_[shard].reset();
        all.former_stopped[shard] = true;
    }

    auto exchange() -> void
    {
        for (auto n = std::size_t{0}; n < all.workers.size(); ++n)
        {
            all.workers[n]->lapse(all.now);
            if (all.workers[n]->connected && (is_calm_ || chance(60)))
            {
                delayed_report it{n, all.workers[n]->report(all.now), all.now};
                disturb(15) ? reports_.push_back(it) : receive(it);
            }
        }
        for (auto const& it : std::exchange(reports_, {}))
        {
            disturb(60) ? reports_.push_back(it) : receive(it);
        }
        for (auto n = std::size_t{0}; n < shards; ++n)
        {
            // An owner may learn of a change long after it was accepted.
            if (is_calm_ || chance(10))
            {
                seen_[n] = all.config;
            }
            all.tick(n, *all.engines[n], seen_[n]);
            if (former_[n] && chance(50))
            {
                all.tick(n, *former_[n], seen_[n]);
            }
        }
        for (auto const& it : std::exchange(all.requests, {}))
        {
            deliver(it);
        }
        for (auto const& it : std::exchange(all.replies, {}))
        {
            if (disturb(20))
            {
                all.replies.push_back(it);
            }
            else
            {
                all.deliver_reply(
                    it.first, disturb(20) ? std::nullopt : it.second);
            }
        }
        for (auto n = std::size_t{0}; n < shards; ++n)
        {
            commit(n);
        }
    }

    auto receive(delayed_report const& it) -> void
    {
        auto const shard = it.worker % shards;
        auto& engine = former_[shard] && chance(50) ? *former_[shard]
                                                    : *all.engines[shard];
        auto const reply = engine.heartbeat(it.report, all.now);
        if (disturb(10))
        {
            return;
        }
        auto& worker = *all.workers[it.worker];
        auto const before = worker.started.size();
        worker.accept(reply, it.report.sequence, it.sent_at, all.now);
        auto const drained = drained_since_.find(worker.info.data_centre);
        if (worker.started.size() > before && drained != drained_since_.end() &&
            all.now > drained->second + 4s)
        {
            violation = "a task starts in a drained data centre";
        }
    }

    auto deliver(shard_request const& it) -> void
    {
        if (disturb(15))
        {
            all.requests.push_back(it);
            return;
        }
        if (disturb(10))
        {
            return;
        }
        if (disturb(10))
        {
            all.requests.push_back(it);
        }
        auto& former = former_[destination(it).value];
        former&& chance(40) ? all.deliver(it, *former) : all.deliver(it);
    }

    auto commit(std::size_t shard) -> void
    {
        auto& engine = *all.engines[shard];
        auto& sent = pending_[shard];
        if (!sent)
        {
            if (auto batch = engine.take_batch(all.now))
            {
                sent = sent_batch{std::move(*batch), all.now};
            }
        }
        if (!sent || disturb(30))
        {
            return;
        }
        if (!sent->is_stored)
        {
            if (sent->batch.allows_start &&
                sent->batch.generation != all.config->number)
            {
                sent.reset();
                engine.batch_rejected(batch_rejection::config_changed);
                return;
            }
            for (auto const& it : sent->batch.batch.records)
            {
                stored_[shard].apply(it);
            }
            sent->is_stored = true;
        }
        if (disturb(30))
        {
            return;
        }
        auto const sent_at = sent->sent_at;
        sent.reset();
        engine.batch_committed(sent_at);
        if (engine.state().data() != stored_[shard].data())
        {
            violation = "the state differs from a replay of the log";
        }
    }

    auto check() -> void
    {
        auto places = std::map<core::job_id, int>{};
        for (auto const& worker : all.workers)
        {
            auto use = core::resources{};
            worker->lapse(all.now);
            for (auto const& [key, task] : worker->tasks)
            {
                if (is_active(task))
                {
                    ++places[key.job];
                    use += worker->specs[key].need;
                }
            }
            if (!use.fits_in(worker->info.capacity))
            {
                violation = "a worker carries more than its capacity";
            }
        }
        for (auto const& [id, count] : places)
        {
            auto const* job = stored_[all.home(id.value)].find_job(id);
            if (count > 1)
            {
                violation = fmt::format("job {} runs in two places", id.value);
            }
            if (job == nullptr || job->phase == job_phase::finished)
            {
                violation = fmt::format("job {} runs again", id.value);
            }
        }
    }

    std::mt19937_64 random_;
    bool is_calm_ = false;
    std::set<std::string> jobs_;
    std::vector<shard_state> stored_;
    std::vector<std::optional<sent_batch>> pending_;
    std::vector<std::unique_ptr<shard_engine>> former_;
    std::vector<config_pointer> seen_;
    std::vector<delayed_report> reports_;
    std::map<core::data_centre_id, core::time_point> drained_since_;
};

// Returns the violation found in one of @p count histories, or "".
auto find_violation(std::uint64_t count, engine_faults faults) -> std::string
{
    for (auto seed = std::uint64_t{1}; seed <= count; ++seed)
    {
        auto it = history{seed, faults};
        it.run(400);
        if (!it.violation.empty())
        {
            return it.violation;
        }
    }
    return {};
}

} // namespace

// Guards against double runs, overfilled workers, late starts after a drain,
// a replay that differs, and jobs that never end, under any disturbance.
RC_GTEST_PROP(engines, invariants_hold_in_any_history, (std::uint64_t seed))
{
    auto it = history{seed, {}};
    it.run(300);
    it.heal(600);
    RC_ASSERT(it.violation == "");
}

// Guards against a new owner that takes a late heartbeat of a worker's earlier
// boot for a restart, and starts the tasks of the present boot elsewhere.
TEST(engines, late_heartbeat_of_an_earlier_boot_loses_no_task)
{
    constexpr std::uint64_t found_seed = 870032415900684606U;
    auto it = history{found_seed, {}};
    it.run(300);
    it.heal(600);
    EXPECT_EQ(it.violation, "");
}

// Guards against a checker that finds nothing: each fault must be found.
TEST(engines, every_fault_is_found)
{
    constexpr auto most_histories = 200;
    constexpr bool engine_faults::*all[] = {&engine_faults::ignore_lease_margin,
                                            &engine_faults::grant_stale_claims,
                                            &engine_faults::ignore_commitments,
                                            &engine_faults::start_before_commit,
                                            &engine_faults::ignore_drain,
                                            &engine_faults::resume_without_end};
    auto n = 0;
    for (auto const fault : all)
    {
        auto faults = engine_faults{};
        faults.*fault = true;
        EXPECT_NE(find_violation(most_histories, faults), "") << n;
        ++n;
    }
}
