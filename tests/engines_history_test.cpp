/** @file engines_history_test.cpp Randomised tests of several shards. */
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

// A random history of three shards: lost, delayed and repeated messages, owners
// that are replaced without noticing, lost and restarted workers, drains and
// cancellations. `violation` describes the violated invariant, if any.
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
            stored_states_.emplace_back(core::shard_id{n});
            pending_batches_.emplace_back();
            former_owners_.emplace_back();
            known_configs_.push_back(all.config);
        }
    }

    auto run(int rounds) -> void
    {
        for (auto n = 0; n < rounds && violation.empty(); ++n)
        {
            all.now += std::chrono::milliseconds{20 + random_below(300)};
            run_random_operations();
            exchange_messages();
            check();
        }
    }

    // Stops injecting faults; every job must then become final.
    auto run_undisturbed(int rounds) -> void
    {
        is_undisturbed_ = true;
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
            exchange_messages();
            check();
        }
        for (auto const& name : submitted_jobs_)
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

    auto random_below(std::uint64_t bound) -> std::uint64_t
    {
        return std::uniform_int_distribution<std::uint64_t>{0, bound - 1}(
            random_);
    }

    auto chance(std::uint64_t percent) -> bool
    {
        return random_below(100) < percent;
    }

    auto should_disturb(std::uint64_t percent) -> bool
    {
        return !is_undisturbed_ && chance(percent);
    }

    auto any_worker() -> fake_worker&
    {
        return *all.workers[random_below(all.workers.size())];
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

    auto run_random_operations() -> void
    {
        if (chance(15) && submitted_jobs_.size() < 25)
        {
            auto const name = fmt::format("job{}", submitted_jobs_.size());
            auto const priority =
                chance(20) ? priority_class::urgent : priority_class::batch;
            all.engines[all.home_shard(name)]->submit(
                batch_spec(
                    name,
                    800 + 100 * static_cast<std::int64_t>(random_below(20)),
                    priority),
                [this, name](bool committed)
                {
                    if (committed)
                    {
                        submitted_jobs_.insert(name);
                    }
                });
        }
        if (chance(2) && !submitted_jobs_.empty())
        {
            auto const& name = *submitted_jobs_.begin();
            all.engines[all.home_shard(name)]->cancel(
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
            toggle_drain();
        }
        auto const shard = random_below(shards);
        if (chance(2) && !former_owners_[shard])
        {
            former_owners_[shard] =
                all.replace_owner(shard, stored_states_[shard].data());
            pending_batches_[shard].reset();
        }
        if (chance(3))
        {
            stop_former(shard);
        }
    }

    auto toggle_drain() -> void
    {
        auto const data_centre =
            core::data_centre_id{fmt::format("dc{}", random_below(2))};
        auto const is_drained = drained_since_.erase(data_centre) > 0;
        all.change_config(
            [&](auto& it)
            {
                if (is_drained)
                {
                    it.drained_data_centres.erase(data_centre);
                }
                else
                {
                    it.drained_data_centres.insert(data_centre);
                }
            });
        if (!is_drained)
        {
            drained_since_[data_centre] = all.now;
        }
    }

    auto stop_former(std::size_t shard) -> void
    {
        former_owners_[shard].reset();
        all.former_stopped[shard] = true;
    }

    auto exchange_messages() -> void
    {
        for (auto n = std::size_t{0}; n < all.workers.size(); ++n)
        {
            all.workers[n]->expire_lease(all.now);
            if (all.workers[n]->connected && (is_undisturbed_ || chance(60)))
            {
                delayed_report it{n, all.workers[n]->report(all.now), all.now};
                should_disturb(15) ? delayed_reports_.push_back(it)
                                   : receive(it);
            }
        }
        for (auto const& it : std::exchange(delayed_reports_, {}))
        {
            should_disturb(60) ? delayed_reports_.push_back(it) : receive(it);
        }
        for (auto n = std::size_t{0}; n < shards; ++n)
        {
            // An owner may receive a configuration long after it was accepted.
            if (is_undisturbed_ || chance(10))
            {
                known_configs_[n] = all.config;
            }
            all.tick(n, *all.engines[n], known_configs_[n]);
            if (former_owners_[n] && chance(50))
            {
                all.tick(n, *former_owners_[n], known_configs_[n]);
            }
        }
        for (auto const& it : std::exchange(all.requests, {}))
        {
            deliver(it);
        }
        for (auto const& it : std::exchange(all.replies, {}))
        {
            if (should_disturb(20))
            {
                all.replies.push_back(it);
            }
            else
            {
                all.deliver_reply(
                    it.first, should_disturb(20) ? std::nullopt : it.second);
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
        auto& engine = former_owners_[shard] && chance(50)
                           ? *former_owners_[shard]
                           : *all.engines[shard];
        auto const reply = engine.heartbeat(it.report, all.now);
        if (should_disturb(10))
        {
            return;
        }
        auto& worker = *all.workers[it.worker];
        auto const before = worker.started.size();
        worker.handle_reply(reply, it.report.sequence, it.sent_at, all.now);
        auto const drained = drained_since_.find(worker.info.data_centre);
        if (worker.started.size() > before && drained != drained_since_.end() &&
            all.now > drained->second + 4s)
        {
            violation = "a task started in a drained data centre";
        }
    }

    auto deliver(shard_request const& it) -> void
    {
        if (should_disturb(15))
        {
            all.requests.push_back(it);
            return;
        }
        if (should_disturb(10))
        {
            return;
        }
        if (should_disturb(10))
        {
            all.requests.push_back(it);
        }
        auto& former = former_owners_[destination(it).value];
        former&& chance(40) ? all.deliver(it, *former) : all.deliver(it);
    }

    auto commit(std::size_t shard) -> void
    {
        auto& engine = *all.engines[shard];
        auto& sent = pending_batches_[shard];
        if (!sent)
        {
            if (auto batch = engine.take_batch(all.now))
            {
                sent = sent_batch{std::move(*batch), all.now};
            }
        }
        if (!sent || should_disturb(30))
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
                stored_states_[shard].apply(it);
            }
            sent->is_stored = true;
        }
        if (should_disturb(30))
        {
            return;
        }
        auto const sent_at = sent->sent_at;
        sent.reset();
        engine.batch_committed(sent_at);
        if (engine.state().data() != stored_states_[shard].data())
        {
            violation = "the engine's state differs from a replay of its log";
        }
    }

    auto check() -> void
    {
        auto active_attempts = std::map<core::job_id, int>{};
        for (auto const& worker : all.workers)
        {
            auto use = core::resources{};
            worker->expire_lease(all.now);
            for (auto const& [key, task] : worker->tasks)
            {
                if (is_active(task))
                {
                    ++active_attempts[key.job];
                    use += worker->specs[key].need;
                }
            }
            if (!use.fits_in(worker->info.capacity))
            {
                violation = "the tasks of a worker exceed its capacity";
            }
        }
        for (auto const& [id, count] : active_attempts)
        {
            auto const* job =
                stored_states_[all.home_shard(id.value)].find_job(id);
            if (count > 1)
            {
                violation = fmt::format("job {} runs on two workers", id.value);
            }
            if (job == nullptr || job->phase == job_phase::finished)
            {
                violation = fmt::format("job {} runs again", id.value);
            }
        }
    }

    std::mt19937_64 random_;
    bool is_undisturbed_ = false;
    std::set<std::string> submitted_jobs_;
    std::vector<shard_state> stored_states_;
    std::vector<std::optional<sent_batch>> pending_batches_;
    std::vector<std::unique_ptr<shard_engine>> former_owners_;
    std::vector<config_pointer> known_configs_;
    std::vector<delayed_report> delayed_reports_;
    std::map<core::data_centre_id, core::time_point> drained_since_;
};

// Returns the first violation found in @p count histories, or "".
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

// Guards against duplicate runs, overcommitted workers, starts after a drain, a
// state that differs from the log, and jobs that never end, under any faults.
RC_GTEST_PROP(engines, invariants_hold_in_any_history, (std::uint64_t seed))
{
    auto it = history{seed, {}};
    it.run(300);
    it.run_undisturbed(600);
    RC_ASSERT(it.violation == "");
}

// Guards against a new owner that treats a late heartbeat of a worker's former
// boot as a restart and starts the tasks of the current boot elsewhere.
TEST(engines, late_heartbeat_of_an_earlier_boot_loses_no_task)
{
    constexpr std::uint64_t found_seed = 870032415900684606U;
    auto it = history{found_seed, {}};
    it.run(300);
    it.run_undisturbed(600);
    EXPECT_EQ(it.violation, "");
}

// Guards against ineffective invariant checks: every injected fault must be
// detected.
TEST(engines, every_fault_is_found)
{
    constexpr auto max_histories = 200;
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
        EXPECT_NE(find_violation(max_histories, faults), "") << n;
        ++n;
    }
}
