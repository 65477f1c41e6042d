/** @file engine_test.cpp Tests of the shard engine with simulated workers. */
#include "state/state.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace core = godwitcleat::core;
using namespace godwitcleat::state;
using namespace std::chrono_literals;

namespace
{

auto is_active(task_report const& task) -> bool
{
    return task.phase == task_phase::running ||
           task.phase == task_phase::checkpointing;
}

// A worker that follows design.md 5.4.
class fake_worker
{
public:
    fake_worker(std::string const& name, std::string const& place)
    {
        info.worker = core::worker_id{name};
        info.rack = core::rack_id{"rack-" + name};
        info.data_centre = core::data_centre_id{place};
        info.capacity = {4000, 4096, 0};
    }

    auto report(core::time_point now) -> worker_report
    {
        lapse(now);
        auto value = worker_report{info, highest_, boot_, ++sequence_, {}};
        for (auto const& [key, task] : tasks)
        {
            value.tasks.push_back(task);
        }
        return value;
    }

    // Handles the reply to the heartbeat @p sequence that was sent at @p sent.
    auto accept(
        heartbeat_reply const& reply, std::uint64_t sequence,
        core::time_point sent, core::time_point now) -> void
    {
        lapse(now);
        // A reply to an abandoned heartbeat is not read.
        if (reply.owner_epoch < highest_ || sequence != sequence_)
        {
            return;
        }
        highest_ = reply.owner_epoch;
        lease_end_ = sent + std::chrono::milliseconds{reply.lease_ms};
        auto const start_end =
            sent + std::chrono::milliseconds{reply.start_valid_ms};
        for (auto const& it : reply.commands)
        {
            execute(it, now <= start_end && now <= lease_end_);
        }
        lapse(now);
    }

    auto lapse(core::time_point now) -> void
    {
        for (auto& [key, task] : tasks)
        {
            if (now > lease_end_ && is_active(task))
            {
                task.phase = task_phase::stopped;
            }
        }
    }

    auto restart() -> void
    {
        tasks.clear();
        ++boot_;
        sequence_ = 0;
        highest_ = {};
        lease_end_ = {};
    }

    auto end(core::job_id const& id, task_phase phase) -> bool
    {
        auto const found = std::find_if(
            tasks.begin(), tasks.end(),
            [&id](auto const& it)
            { return it.first.job == id && is_active(it.second); });
        if (found == tasks.end())
        {
            return false;
        }
        found->second.phase = phase;
        return true;
    }

    auto runs(core::job_id const& id) const -> bool
    {
        return std::any_of(
            tasks.begin(), tasks.end(),
            [&id](auto const& it)
            { return it.first.job == id && is_active(it.second); });
    }

    worker_info info;
    std::map<attempt_key, task_report> tasks;
    std::map<attempt_key, job_spec> specs;
    std::map<attempt_key, std::string> resumed_from;
    std::vector<attempt_key> started;
    bool connected = true;

private:
    auto execute(worker_command const& it, bool may_start) -> void
    {
        auto const found = tasks.find(it.key);
        if (it.kind == worker_command_kind::start)
        {
            if (may_start && found == tasks.end())
            {
                auto& task = tasks[it.key];
                task.key = it.key;
                task.progress = it.progress;
                task.checkpoint = it.checkpoint;
                task.endpoint =
                    it.spec.kind == job_kind::service ? "10.0.0.1:80" : "";
                specs[it.key] = it.spec;
                resumed_from[it.key] = it.checkpoint;
                started.push_back(it.key);
            }
        }
        else if (found == tasks.end())
        {
            return;
        }
        else if (it.kind == worker_command_kind::forget)
        {
            tasks.erase(found);
        }
        else if (is_active(found->second))
        {
            found->second.phase = task_phase::stopped;
            if (it.kind == worker_command_kind::checkpoint)
            {
                found->second.progress += 5;
                found->second.checkpoint =
                    fmt::format("at {}", found->second.progress);
            }
        }
    }

    core::epoch highest_;
    std::uint64_t boot_ = 1;
    std::uint64_t sequence_ = 0;
    core::time_point lease_end_;
};

auto batch_spec(
    std::string const& name, std::int64_t cpu_milli = 1000,
    priority_class priority = priority_class::batch) -> job_spec
{
    auto spec = job_spec{};
    spec.id = core::job_id{name};
    spec.priority = priority;
    spec.need = {cpu_milli, 256, 0};
    return spec;
}

// The times in the cases below are stated for this lease.
auto settings_with_short_lease() -> engine_settings
{
    auto result = engine_settings{};
    result.lease = 4s;
    return result;
}

// Engines of all shards, their log and their workers; worker N belongs to
// shard N modulo the number of shards.
class cluster
{
public:
    explicit cluster(std::uint32_t shards, engine_faults faults = {})
        : faults_(faults)
    {
        settings.shard_count = shards;
        config->number = core::generation{1};
        for (auto n = 0U; n < shards; ++n)
        {
            epochs_.emplace_back(1);
            former_stopped.push_back(true);
            engines.push_back(make_engine(n, shard_state{core::shard_id{n}}));
        }
    }

    cluster(cluster const&) = delete;
    auto operator=(cluster const&) -> cluster& = delete;

    // Engines answer their open calls on destruction and need `replies`.
    ~cluster()
    {
        engines.clear();
    }

    auto make_engine(std::size_t shard, shard_state state)
        -> std::unique_ptr<shard_engine>
    {
        auto hooks = engine_hooks{};
        hooks.on_event = [this](core::timeline_event const& it)
        {
            EXPECT_EQ(it.part, "shard");
            events.push_back(it.kind);
        };
        return std::make_unique<shard_engine>(
            epochs_[shard], std::move(state), settings, hooks, now, faults_);
    }

    // Replaces the owner; returns the former one, which cannot commit.
    auto replace(std::size_t shard) -> std::unique_ptr<shard_engine>
    {
        return replace(shard, engines[shard]->state().data());
    }

    auto replace(std::size_t shard, shard_data data)
        -> std::unique_ptr<shard_engine>
    {
        epochs_[shard] = epochs_[shard].next();
        former_stopped[shard] = false;
        auto state = shard_state{core::shard_id{shard}, std::move(data)};
        return std::exchange(
            engines[shard], make_engine(shard, std::move(state)));
    }

    auto add_worker(std::string const& name, std::string const& place = "dc1")
        -> fake_worker&
    {
        workers.push_back(std::make_unique<fake_worker>(name, place));
        return *workers.back();
    }

    auto change_config(std::function<void(config_document&)> const& edit)
        -> void
    {
        config = std::make_shared<config_document>(*config);
        config->number = config->number.next();
        edit(*config);
    }

    auto beat(std::size_t index, shard_engine* other = nullptr) -> void
    {
        auto& worker = *workers[index];
        auto& engine =
            other != nullptr ? *other : *engines[index % engines.size()];
        auto const report = worker.report(now);
        worker.accept(engine.heartbeat(report, now), report.sequence, now, now);
    }

    auto tick(std::size_t shard) -> void
    {
        tick(shard, *engines[shard], config);
    }

    auto
    tick(std::size_t shard, shard_engine& engine, config_pointer const& seen)
        -> void
    {
        auto view = cluster_view{};
        view.config = seen;
        view.former_owner_stopped = former_stopped[shard];
        for (auto n = std::size_t{0}; n < engines.size(); ++n)
        {
            if (n != shard)
            {
                view.others.push_back(engines[n]->summary(now));
            }
        }
        engine.tick(now, view);
        for (auto const& it : engine.take_requests())
        {
            requests.push_back(it);
        }
    }

    // Commits as the store does: a start under an old generation is rejected.
    auto commit(std::size_t shard) -> bool
    {
        auto const batch = engines[shard]->take_batch(now);
        if (!batch)
        {
            return false;
        }
        if (batch->allows_start && batch->generation != config->number)
        {
            engines[shard]->batch_rejected(batch_rejection::config_changed);
            return true;
        }
        engines[shard]->batch_committed(now);
        return true;
    }

    static auto home_of(shard_request const& request) -> std::size_t
    {
        return std::visit(
            [](auto const& it) { return it.home.value; }, request);
    }

    static auto host_of(shard_request const& request) -> std::size_t
    {
        return std::visit(
            [](auto const& it) { return it.host.value; }, request);
    }

    // Delivers a request; its reply is stored until deliver_reply().
    auto deliver(shard_request const& request) -> void
    {
        deliver(request, *engines[destination(request).value]);
    }

    auto deliver(shard_request const& request, shard_engine& engine) -> void
    {
        engine.handle(
            request, now,
            [this, request](std::optional<shard_reply> const& reply)
            { replies.emplace_back(request, reply); });
    }

    auto deliver_reply(
        shard_request const& request, std::optional<shard_reply> const& reply)
        -> void
    {
        auto const to = destination(request).value;
        auto const from =
            to == home_of(request) ? host_of(request) : home_of(request);
        engines[from]->replied(request, reply, now);
    }

    // Delivers and commits until nothing is left.
    auto settle() -> void
    {
        for (auto is_changed = true; is_changed;)
        {
            is_changed = !requests.empty() || !replies.empty();
            for (auto const& it : std::exchange(requests, {}))
            {
                if (!lose_request(it))
                {
                    deliver(it);
                }
            }
            for (auto const& [request, reply] : std::exchange(replies, {}))
            {
                if (!lose_reply(request))
                {
                    deliver_reply(request, reply);
                }
            }
            for (auto n = std::size_t{0}; n < engines.size(); ++n)
            {
                is_changed |= commit(n);
                for (auto const& it : engines[n]->take_requests())
                {
                    requests.push_back(it);
                }
            }
        }
    }

    auto step(core::duration length = 500ms) -> void
    {
        now += length;
        for (auto n = std::size_t{0}; n < workers.size(); ++n)
        {
            workers[n]->lapse(now);
            if (workers[n]->connected)
            {
                beat(n);
            }
        }
        for (auto n = std::size_t{0}; n < engines.size(); ++n)
        {
            tick(n);
        }
        settle();
    }

    auto steps(int count) -> void
    {
        for (auto n = 0; n < count; ++n)
        {
            step();
        }
    }

    auto home(std::string const& name) const -> std::size_t
    {
        return shard_of(core::job_id{name}, settings.shard_count).value;
    }

    auto submit(job_spec const& spec) -> void
    {
        auto& engine = *engines[home(spec.id.value)];
        engine.submit(spec, [](bool committed) { EXPECT_TRUE(committed); });
        settle();
    }

    auto find(std::string const& name) const -> job
    {
        for (auto const& it : engines[home(name)]->jobs())
        {
            if (it.spec.id.value == name)
            {
                return it;
            }
        }
        return {};
    }

    // A job id whose home is @p shard.
    auto id_at(std::size_t shard, std::string const& prefix = "job") const
        -> std::string
    {
        auto n = 0;
        while (home(fmt::format("{}{}", prefix, n)) != shard)
        {
            ++n;
        }
        return fmt::format("{}{}", prefix, n);
    }

    auto has_event(std::string const& kind) const -> bool
    {
        return std::find(events.begin(), events.end(), kind) != events.end();
    }

    engine_settings settings = settings_with_short_lease();
    std::shared_ptr<config_document> config =
        std::make_shared<config_document>();
    core::time_point now{100s};
    std::vector<std::unique_ptr<shard_engine>> engines;
    std::vector<bool> former_stopped;
    std::vector<std::unique_ptr<fake_worker>> workers;
    std::vector<shard_request> requests;
    std::vector<std::pair<shard_request, std::optional<shard_reply>>> replies;
    std::vector<std::string> events;
    std::function<bool(shard_request const&)> lose_request = [](auto const&)
    {
        return false;
    };
    std::function<bool(shard_request const&)> lose_reply = [](auto const&)
    {
        return false;
    };

private:
    engine_faults faults_;
    std::vector<core::epoch> epochs_;
};

auto const job_a = core::job_id{"a"};

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

// Guards against a job that does not run, or whose end is not stored.
TEST(engine, runs_a_job_to_its_end)
{
    auto all = cluster{1};
    auto& worker = all.add_worker("w");
    all.submit(batch_spec("a"));
    all.steps(2);
    ASSERT_TRUE(worker.runs(job_a));
    all.steps(1);
    EXPECT_EQ(all.find("a").phase, job_phase::running);
    worker.end(job_a, task_phase::finished);
    all.steps(2);
    EXPECT_EQ(all.find("a").phase, job_phase::finished);
    EXPECT_TRUE(worker.tasks.empty());
    EXPECT_TRUE(all.engines[0]->state().data().tasks.empty());
    for (auto const* kind :
         {"job_submitted", "attempt_bound", "task_committed", "start_sent",
          "task_running", "task_ended", "attempt_ended"})
    {
        EXPECT_TRUE(all.has_event(kind)) << kind;
    }
}

// Guards against an acknowledgement before the commit, and against a repeated
// submit that is refused or doubled.
TEST(engine, answers_submits_after_the_commit)
{
    auto all = cluster{1};
    auto answers = std::vector<bool>{};
    auto const note = [&answers](bool committed)
    {
        answers.push_back(committed);
    };
    all.engines[0]->submit(batch_spec("a"), note);
    all.engines[0]->submit(batch_spec("a"), note);
    EXPECT_TRUE(answers.empty());
    all.engines[0]->submit(batch_spec("a", 5), note);
    EXPECT_EQ(answers, std::vector<bool>{false});
    EXPECT_EQ(core::last_reason().kind, core::error_kind::conflict);
    all.settle();
    all.engines[0]->submit(batch_spec("a"), note);
    EXPECT_EQ(answers, (std::vector<bool>{false, true, true, true}));
}

// Guards against a second start of a lost worker's task before its lease with
// margin has passed.
TEST(engine, waits_for_the_lease_with_margin)
{
    auto all = cluster{1};
    auto& lost = all.add_worker("w1");
    all.submit(batch_spec("a"));
    all.steps(3);
    ASSERT_TRUE(lost.runs(job_a));
    auto const last = all.now;
    lost.connected = false;
    auto& other = all.add_worker("w2");
    while (all.now < last + 4050ms)
    {
        all.step(50ms);
        EXPECT_FALSE(other.runs(job_a) && lost.runs(job_a));
        EXPECT_FALSE(other.runs(job_a));
    }
    all.steps(3);
    EXPECT_TRUE(other.runs(job_a));
    EXPECT_TRUE(all.has_event("worker_lapsed"));
}

// Guards against a start that is sent longer after its commit than the drain
// bound allows.
TEST(engine, late_start_needs_a_new_commit)
{
    auto all = cluster{1};
    auto& worker = all.add_worker("w");
    all.step();
    all.submit(batch_spec("a"));
    all.tick(0);
    all.settle();
    all.now += 3s;
    all.beat(0);
    EXPECT_FALSE(worker.runs(job_a));
    auto const batch = all.engines[0]->take_batch(all.now);
    ASSERT_TRUE(batch);
    EXPECT_TRUE(batch->allows_start);
    EXPECT_EQ(batch->batch.records, std::vector<record>{reconfirm{}});
    all.engines[0]->batch_committed(all.now);
    all.beat(0);
    EXPECT_TRUE(worker.runs(job_a));
}

// Guards against starts in a drained data centre and against batch work that
// stays there.
TEST(engine, drain_moves_work)
{
    auto all = cluster{1};
    auto& first = all.add_worker("w1", "dc1");
    all.submit(batch_spec("a"));
    all.steps(3);
    ASSERT_TRUE(first.runs(job_a));
    auto& second = all.add_worker("w2", "dc2");
    all.change_config(
        [](auto& it)
        { it.drained_data_centres.insert(core::data_centre_id{"dc1"}); });
    all.submit(batch_spec("b"));
    all.steps(6);
    EXPECT_TRUE(second.runs(job_a));
    EXPECT_TRUE(second.runs(core::job_id{"b"}));
    EXPECT_EQ(first.started.size(), 1U);
    EXPECT_EQ(second.resumed_from.at({job_a, core::attempt_number{2}}), "at 5");
    EXPECT_EQ(all.find("a").evictions, 1U);
}

// Guards against the loss of a committed but unsent task when its worker is
// drained.
TEST(engine, unsent_task_on_drained_worker_is_not_started)
{
    auto all = cluster{1};
    auto& worker = all.add_worker("w");
    all.step();
    all.submit(batch_spec("a"));
    all.tick(0);
    all.settle();
    all.change_config([](auto& it)
                      { it.drained_workers.insert(core::worker_id{"w"}); });
    all.tick(0);
    all.steps(2);
    EXPECT_TRUE(worker.started.empty());
    EXPECT_EQ(all.find("a").phase, job_phase::queued);
    EXPECT_EQ(all.find("a").evictions, 0U);
    EXPECT_EQ(all.engines[0]->workers(all.now).front().state, "drained");
}

// Guards against a cancelled job that runs on.
TEST(engine, cancel_stops_the_task)
{
    auto all = cluster{1};
    auto& worker = all.add_worker("w");
    all.submit(batch_spec("a"));
    all.steps(3);
    auto answered = false;
    auto const note = [&answered](bool committed)
    {
        answered = committed;
    };
    all.engines[0]->cancel(job_a, "unwanted", note);
    EXPECT_FALSE(answered);
    all.steps(5);
    EXPECT_TRUE(answered);
    EXPECT_FALSE(worker.runs(job_a));
    EXPECT_EQ(all.find("a").phase, job_phase::cancelled);
}

// Guards against a cancel that is lost because the job's placement waits.
TEST(engine, cancel_waits_for_the_placement)
{
    auto all = cluster{1};
    all.add_worker("w");
    all.step();
    all.submit(batch_spec("a"));
    all.tick(0);
    auto answered = false;
    all.engines[0]->cancel(
        job_a, "unwanted",
        [&answered](bool committed) { answered = committed; });
    all.steps(5);
    EXPECT_TRUE(answered);
    EXPECT_EQ(all.find("a").phase, job_phase::cancelled);
}

// Guards against urgent work that waits behind batch work, and against evicted
// work that is lost or starts from the beginning.
TEST(engine, urgent_work_evicts_the_least_progress)
{
    auto all = cluster{1};
    auto& worker = all.add_worker("w");
    all.submit(batch_spec("a", 2000));
    all.submit(batch_spec("b", 2000));
    all.steps(3);
    worker.tasks.begin()->second.progress = 100;
    all.step();
    all.submit(batch_spec("u", 2000, priority_class::urgent));
    all.submit(batch_spec("c", 2000));
    all.steps(7);
    EXPECT_TRUE(worker.runs(core::job_id{"u"}));
    EXPECT_TRUE(worker.runs(job_a));
    EXPECT_EQ(all.find("b").evictions, 1U);
    worker.end(core::job_id{"u"}, task_phase::finished);
    all.steps(4);
    EXPECT_EQ(
        worker.resumed_from.at({core::job_id{"b"}, core::attempt_number{2}}),
        "at 5");
}

// Guards against placements of one tick that do not see one another's room.
TEST(engine, one_tick_never_overfills_a_worker)
{
    auto all = cluster{1};
    auto& first = all.add_worker("w1");
    auto& second = all.add_worker("w2");
    for (auto n = 0; n < 5; ++n)
    {
        all.submit(batch_spec(fmt::format("a{}", n), 2000));
    }
    all.steps(3);
    EXPECT_EQ(first.tasks.size(), 2U);
    EXPECT_EQ(second.tasks.size(), 2U);
}

// Guards against a worker that fails everything and exhausts the attempts.
TEST(engine, failing_worker_is_excluded)
{
    auto all = cluster{1};
    auto& bad = all.add_worker("w1");
    for (auto n = 0; n < 3; ++n)
    {
        all.submit(batch_spec(fmt::format("a{}", n)));
    }
    all.steps(2);
    for (auto& [key, task] : bad.tasks)
    {
        task.phase = task_phase::failed;
    }
    all.add_worker("w2");
    all.steps(3);
    EXPECT_EQ(all.engines[0]->workers(all.now).front().state, "excluded");
    EXPECT_TRUE(bad.tasks.empty());
    EXPECT_EQ(all.workers[1]->tasks.size(), 3U);
    all.steps(62);
    EXPECT_EQ(all.engines[0]->workers(all.now).front().state, "live");
}

// Guards against a job that can never run and blocks others or hides why.
TEST(engine, impossible_job_is_shown_and_retested)
{
    auto all = cluster{2};
    auto const name = all.id_at(0);
    all.add_worker("w1");
    all.submit(batch_spec(name, 9000));
    all.steps(2);
    EXPECT_EQ(all.find(name).phase, job_phase::impossible);
    EXPECT_NE(
        all.find(name).reason.find("9000 milli-cores"), std::string::npos);
    auto const next = all.id_at(0, "next");
    all.submit(batch_spec(next));
    all.steps(2);
    EXPECT_TRUE(all.workers[0]->runs(core::job_id{next}));
    all.add_worker("w2").info.capacity = {9000, 9000, 0};
    all.steps(5);
    EXPECT_TRUE(all.workers[1]->runs(core::job_id{name}));
}

// Guards against a start under an old configuration, and against other records
// that are dropped with it.
TEST(engine, rejected_batch_decides_starts_again)
{
    auto all = cluster{1};
    auto& worker = all.add_worker("w");
    all.step();
    all.submit(batch_spec("a"));
    all.tick(0);
    auto answered = false;
    all.engines[0]->submit(
        batch_spec("b"), [&answered](bool committed) { answered = committed; });
    ASSERT_TRUE(all.engines[0]->take_batch(all.now));
    EXPECT_FALSE(all.engines[0]->take_batch(all.now));
    all.change_config([](auto&) {});
    all.engines[0]->batch_rejected(batch_rejection::config_changed);
    auto const batch = all.engines[0]->take_batch(all.now);
    ASSERT_TRUE(batch);
    EXPECT_FALSE(batch->allows_start);
    EXPECT_EQ(batch->batch.records.size(), 1U);
    all.engines[0]->batch_committed(all.now);
    EXPECT_TRUE(answered);
    all.steps(2);
    EXPECT_TRUE(worker.runs(job_a));
}

// Guards against callers that are told of success by a replaced owner.
TEST(engine, replaced_owner_fails_its_callers)
{
    auto all = cluster{1};
    auto answers = std::vector<bool>{};
    all.engines[0]->submit(
        batch_spec("a"),
        [&answers](bool committed) { answers.push_back(committed); });
    ASSERT_TRUE(all.engines[0]->take_batch(all.now));
    all.engines[0]->batch_rejected(batch_rejection::not_owner);
    EXPECT_EQ(answers, std::vector<bool>{false});
    EXPECT_EQ(core::last_reason().kind, core::error_kind::not_owner);
    all.engines[0].reset();
    EXPECT_EQ(answers.size(), 1U);
}

// Guards against a team that takes more than its quota or its share.
TEST(engine, quota_limits_a_team)
{
    auto all = cluster{1};
    auto& worker = all.add_worker("w");
    all.change_config(
        [](auto& it)
        {
            auto const team = core::team_id{"t"};
            it.teams[team] = {team, {2000, 4096, 0}};
        });
    for (auto n = 0; n < 3; ++n)
    {
        auto spec = batch_spec(fmt::format("a{}", n));
        spec.team = core::team_id{"t"};
        all.submit(spec);
    }
    all.steps(3);
    EXPECT_EQ(worker.tasks.size(), 2U);
    EXPECT_NE(all.find("a2").reason.find("quota"), std::string::npos);
}

// Guards against runners that do not follow the configuration, and against a
// stop before callers have learned that the runner leaves.
TEST(engine, runners_follow_the_configuration)
{
    auto all = cluster{1};
    auto& worker = all.add_worker("w");
    auto const name = core::service_id{"desk"};
    all.change_config(
        [&name](auto& it)
        {
            auto& service = it.services[name];
            service.service = name;
            service.runners = 2;
            service.need = {1000, 256, 0};
        });
    all.steps(4);
    EXPECT_EQ(all.engines[0]->endpoints().size(), 2U);
    all.change_config([&name](auto& it) { it.services[name].runners = 1; });
    all.steps(2);
    auto const endpoints = all.engines[0]->endpoints();
    ASSERT_EQ(endpoints.size(), 2U);
    EXPECT_FALSE(endpoints[0].leaving);
    EXPECT_TRUE(endpoints[1].leaving);
    EXPECT_EQ(endpoints[1].backend_server.value, "service/desk/1#1");
    all.steps(14);
    EXPECT_EQ(all.engines[0]->endpoints().size(), 1U);
    EXPECT_EQ(worker.tasks.size(), 1U);
    all.change_config([&name](auto& it) { it.services[name].runners = 2; });
    all.steps(4);
    EXPECT_EQ(all.engines[0]->endpoints().size(), 2U);
}

// Guards against final jobs that fill the snapshot, and against a batch job of
// the configuration that is submitted and run again after its retention.
TEST(engine, final_jobs_are_dropped_unless_configured)
{
    auto all = cluster{1};
    auto& worker = all.add_worker("w");
    all.change_config([](auto& it) { it.jobs[job_a] = {batch_spec("a")}; });
    all.submit(batch_spec("b"));
    all.steps(3);
    worker.end(job_a, task_phase::finished);
    worker.end(core::job_id{"b"}, task_phase::finished);
    all.steps(2);
    all.step(all.settings.retention - 1s);
    EXPECT_EQ(all.engines[0]->jobs().size(), 2U);
    all.steps(4);
    ASSERT_EQ(all.engines[0]->jobs().size(), 1U);
    EXPECT_EQ(all.find("a").phase, job_phase::finished);
    EXPECT_EQ(worker.started.size(), 2U);
}

// Guards against batch work that starts before services, and against a team
// that gets all room because it submitted first.
TEST(engine, order_is_priority_then_share_then_submit)
{
    auto all = cluster{1};
    auto& worker = all.add_worker("w");
    all.change_config(
        [](auto& it)
        {
            for (auto const* name : {"s", "t"})
            {
                auto const team = core::team_id{name};
                it.teams[team] = {team, {4000, 4096, 0}};
            }
        });
    auto const submit = [&all](
                            std::string const& name, std::string const& team,
                            priority_class priority)
    {
        auto spec = batch_spec(name, 1000, priority);
        spec.team = core::team_id{team};
        all.submit(spec);
    };
    submit("s1", "s", priority_class::batch);
    submit("s2", "s", priority_class::batch);
    submit("s3", "s", priority_class::batch);
    submit("t1", "t", priority_class::batch);
    submit("t2", "t", priority_class::batch);
    submit("s4", "s", priority_class::service);
    all.steps(3);
    for (auto const* name : {"s4", "s1", "t1", "t2"})
    {
        EXPECT_TRUE(worker.runs(core::job_id{name})) << name;
    }
}

// Guards against a changed service whose runners all stop at once.
TEST(engine, changed_runners_are_replaced_one_by_one)
{
    auto all = cluster{1};
    auto& worker = all.add_worker("w");
    auto const name = core::service_id{"desk"};
    auto const set_need = [&name](std::int64_t cpu_milli)
    {
        return [&name, cpu_milli](config_document& it)
        {
            it.services[name].service = name;
            it.services[name].runners = 3;
            it.services[name].need = {cpu_milli, 256, 0};
        };
    };
    all.change_config(set_need(1000));
    all.steps(5);
    ASSERT_EQ(all.engines[0]->endpoints().size(), 3U);
    all.change_config(set_need(500));
    for (auto n = 0; n < 80; ++n)
    {
        all.step();
        auto const endpoints = all.engines[0]->endpoints();
        EXPECT_GE(
            std::count_if(
                endpoints.begin(), endpoints.end(),
                [](auto const& it) { return !it.leaving; }),
            2);
    }
    ASSERT_EQ(worker.tasks.size(), 3U);
    for (auto const& [key, task] : worker.tasks)
    {
        EXPECT_EQ(worker.specs[key].need.cpu_milli, 500);
    }
}

// Guards against tasks of a restarted worker that are counted as running.
TEST(engine, restarted_worker_loses_its_tasks_at_once)
{
    auto all = cluster{1};
    auto& worker = all.add_worker("w");
    all.submit(batch_spec("a"));
    all.steps(3);
    worker.restart();
    all.steps(3);
    EXPECT_TRUE(worker.runs(job_a));
    EXPECT_EQ(all.find("a").last_attempt, core::attempt_number{2});
}

// Guards against a task that runs without being known to the owner.
TEST(engine, unknown_task_is_stopped_and_forgotten)
{
    auto all = cluster{1};
    auto& worker = all.add_worker("w");
    all.step();
    auto const key = attempt_key{job_a, core::attempt_number{4}};
    worker.tasks[key].key = key;
    all.step();
    EXPECT_FALSE(worker.runs(job_a));
    all.step();
    EXPECT_TRUE(worker.tasks.empty());
}

// Guards against a second start while the former owner may renew leases.
TEST(engine, new_owner_waits_for_the_former_owner)
{
    auto all = cluster{1};
    auto& worker = all.add_worker("w");
    all.submit(batch_spec("a"));
    all.steps(3);
    worker.connected = false;
    auto const former = all.replace(0);
    for (auto n = 0; n < 40; ++n)
    {
        all.step();
        all.beat(0, former.get());
    }
    EXPECT_TRUE(worker.runs(job_a));
    EXPECT_EQ(all.find("a").last_attempt, core::attempt_number{1});
    ASSERT_EQ(all.engines[0]->workers(all.now).size(), 1U);
    EXPECT_EQ(all.engines[0]->workers(all.now).front().state, "unheard");
    all.former_stopped[0] = true;
    all.steps(10);
    EXPECT_EQ(all.find("a").phase, job_phase::queued);
    EXPECT_FALSE(worker.runs(job_a));
}

// Guards against a new owner whose empty endpoint table takes runners away
// that serve requests, as it would before the first heartbeat arrives.
TEST(engine, new_owner_knows_endpoints_after_heartbeats)
{
    auto all = cluster{1};
    auto& worker = all.add_worker("w");
    auto const name = core::service_id{"desk"};
    all.change_config(
        [&name](auto& it)
        {
            auto& service = it.services[name];
            service.service = name;
            service.runners = 1;
            service.need = {1000, 256, 0};
        });
    all.steps(4);
    ASSERT_EQ(all.engines[0]->endpoints().size(), 1U);
    EXPECT_TRUE(all.engines[0]->knows_all_endpoints());
    worker.connected = false;
    auto const former = all.replace(0);
    EXPECT_FALSE(all.engines[0]->knows_all_endpoints());
    EXPECT_TRUE(all.engines[0]->endpoints().empty());
    worker.connected = true;
    all.steps(2);
    EXPECT_TRUE(all.engines[0]->knows_all_endpoints());
    EXPECT_EQ(all.engines[0]->endpoints().size(), 1U);
}

// Guards against a worker that is counted as lapsed because the new owner heard
// it once, although only the former owner's replies reach it.
TEST(engine, lease_counts_after_the_worker_reports_the_epoch)
{
    auto all = cluster{1};
    auto& worker = all.add_worker("w");
    all.submit(batch_spec("a"));
    all.steps(3);
    worker.connected = false;
    auto const former = all.replace(0);
    all.engines[0]->heartbeat(worker.report(all.now), all.now);
    for (auto n = 0; n < 20; ++n)
    {
        all.step();
        all.beat(0, former.get());
    }
    EXPECT_TRUE(worker.runs(job_a));
    EXPECT_TRUE(all.find("a").binding);
}

// Guards against a job that only runs on workers of its home shard.
TEST(engines, job_runs_on_another_shard)
{
    auto all = cluster{2};
    auto const name = all.id_at(0);
    all.add_worker("w0").connected = false;
    auto& host = all.add_worker("w1");
    all.step();
    all.submit(batch_spec(name));
    all.steps(2);
    ASSERT_TRUE(host.runs(core::job_id{name}));
    EXPECT_EQ(all.find(name).binding->host, core::shard_id{1});
    host.end(core::job_id{name}, task_phase::finished);
    all.steps(3);
    EXPECT_EQ(all.find(name).phase, job_phase::finished);
    EXPECT_TRUE(all.engines[1]->state().data().tasks.empty());
}

// Guards against a claim of an old or unknown attempt that is granted.
TEST(engines, stale_claim_is_void)
{
    auto all = cluster{2};
    auto const name = all.id_at(0);
    all.submit(batch_spec(name));
    auto const claim = [&](std::uint64_t number)
    {
        all.deliver(claim_request{
            core::shard_id{0},
            core::shard_id{1},
            {core::job_id{name}, core::attempt_number{number}},
            core::worker_id{"w"}});
    };
    all.tick(0);
    claim(2);
    ASSERT_EQ(all.replies.size(), 1U);
    EXPECT_FALSE(std::get<claim_reply>(*all.replies[0].second).granted);
    claim(1);
    EXPECT_EQ(all.replies.size(), 1U);
    all.commit(0);
    ASSERT_EQ(all.replies.size(), 2U);
    EXPECT_TRUE(std::get<claim_reply>(*all.replies[1].second).granted);
    claim(1);
    EXPECT_EQ(all.replies.size(), 2U);
    all.commit(0);
    ASSERT_EQ(all.replies.size(), 3U);
    EXPECT_TRUE(std::get<claim_reply>(*all.replies[2].second).granted);
}

// Guards against a repeated offer that reserves room twice or runs a task that
// is over again.
TEST(engines, repeated_offer_changes_nothing)
{
    auto all = cluster{2};
    auto const name = all.id_at(0);
    all.add_worker("w0").connected = false;
    auto& host = all.add_worker("w1");
    all.step();
    auto offer = std::optional<shard_request>{};
    all.lose_request = [&offer](shard_request const& it)
    {
        offer = std::holds_alternative<offer_request>(it) ? it : offer;
        return false;
    };
    all.submit(batch_spec(name));
    all.step();
    ASSERT_TRUE(offer);
    auto const repeat = [&all, &offer]
    {
        all.deliver(*offer);
        all.settle();
        return all.engines[1]->summary(all.now).largest_free[0].cpu_milli;
    };
    EXPECT_EQ(repeat(), 3000);
    all.steps(2);
    ASSERT_TRUE(host.end(core::job_id{name}, task_phase::finished));
    all.steps(3);
    EXPECT_EQ(repeat(), 4000);
    all.steps(3);
    EXPECT_EQ(host.started.size(), 1U);
}

// Guards against urgent work that cannot evict on another shard.
TEST(engines, host_evicts_for_urgent_work)
{
    auto all = cluster{2};
    auto const name = all.id_at(0, "urgent");
    all.add_worker("w0").connected = false;
    auto& host = all.add_worker("w1");
    all.submit(batch_spec(all.id_at(1), 3000));
    all.steps(3);
    all.submit(batch_spec(name, 3000, priority_class::urgent));
    all.steps(10);
    EXPECT_TRUE(host.runs(core::job_id{name}));
    EXPECT_EQ(all.find(all.id_at(1)).evictions, 1U);
}

// Guards against an outcome that a replaced owner acknowledges although it is
// not stored, because that owner never saw the attempt bound.
TEST(engines, end_of_unseen_attempt_needs_ownership)
{
    auto all = cluster{2};
    auto const name = all.id_at(0);
    all.submit(batch_spec(name));
    all.deliver(over_request{
        core::shard_id{0},
        core::shard_id{1},
        {core::job_id{name}, core::attempt_number{1}},
        attempt_outcome::finished,
        {},
        0});
    EXPECT_TRUE(all.replies.empty());
    ASSERT_TRUE(all.engines[0]->take_batch(all.now));
    all.engines[0]->batch_rejected(batch_rejection::not_owner);
    ASSERT_EQ(all.replies.size(), 1U);
    EXPECT_FALSE(all.replies[0].second);
}

// Guards against lost replies that lose or double a task.
TEST(engines, lost_replies_are_repaired)
{
    for (auto kind = std::size_t{0}; kind < 4; ++kind)
    {
        auto all = cluster{2};
        auto const name = all.id_at(0);
        auto lost = 0;
        all.lose_reply = [&lost, kind](shard_request const& it)
        {
            return it.index() == kind && lost++ < 2;
        };
        all.add_worker("w0").connected = false;
        auto& host = all.add_worker("w1");
        all.step();
        all.submit(batch_spec(name));
        for (auto n = 0; n < 60; ++n)
        {
            all.step();
            host.end(core::job_id{name}, task_phase::finished);
        }
        EXPECT_EQ(all.find(name).phase, job_phase::finished) << kind;
        EXPECT_EQ(host.started.size(), 1U) << kind;
        EXPECT_TRUE(all.engines[1]->state().data().tasks.empty()) << kind;
    }
}

// Guards against a bound attempt that a replaced host never starts, and
// against its later start.
TEST(engines, replaced_host_declines_for_good)
{
    auto all = cluster{2};
    auto const name = all.id_at(0);
    all.add_worker("w0").connected = false;
    auto& host = all.add_worker("w1");
    all.step();
    auto is_lost = true;
    all.lose_reply = [&is_lost](shard_request const& it)
    {
        return is_lost && std::holds_alternative<claim_request>(it);
    };
    all.submit(batch_spec(name));
    all.step();
    ASSERT_TRUE(all.find(name).binding);
    all.replace(1);
    all.former_stopped[1] = true;
    is_lost = false;
    all.steps(16);
    EXPECT_TRUE(all.has_event("attempt_declined"));
    ASSERT_TRUE(host.runs(core::job_id{name}));
    EXPECT_EQ(all.find(name).last_attempt, core::attempt_number{2});
    EXPECT_EQ(host.started.size(), 1U);
}

// Guards against double runs, overfilled workers, late starts after a drain,
// a replay that differs, and jobs that never end, under any disturbance.
RC_GTEST_PROP(engines, invariants_hold_in_any_history, (std::uint64_t seed))
{
    auto it = history{seed, {}};
    it.run(300);
    it.heal(600);
    RC_ASSERT(it.violation == "");
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
