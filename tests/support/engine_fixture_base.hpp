/** @file engine_fixture_base.hpp Shard engines with simulated workers. */
#ifndef GODWITCLEAT_TESTS_SUPPORT_ENGINE_FIXTURE_BASE_HPP
#define GODWITCLEAT_TESTS_SUPPORT_ENGINE_FIXTURE_BASE_HPP

#include "state/state.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace godwitcleat::tests
{

using namespace godwitcleat::state;
using namespace std::chrono_literals;

inline auto is_active(task_report const& task) -> bool
{
    return task.phase == task_phase::running ||
           task.phase == task_phase::checkpointing;
}

// A simulated worker that implements the protocol of design.md 5.4.
class fake_worker
{
public:
    fake_worker(std::string const& name, std::string const& data_centre)
    {
        info.worker = core::worker_id{name};
        info.rack = core::rack_id{"rack-" + name};
        info.data_centre = core::data_centre_id{data_centre};
        info.capacity = {4000, 4096, 0};
    }

    auto report(core::time_point now) -> worker_report
    {
        expire_lease(now);
        auto value =
            worker_report{info, highest_epoch_, boot_, ++sequence_, {}};
        for (auto const& [key, task] : tasks)
        {
            value.tasks.push_back(task);
        }
        return value;
    }

    // Handles the reply to heartbeat @p sequence, which was sent at @p sent.
    auto handle_reply(
        heartbeat_reply const& reply, std::uint64_t sequence,
        core::time_point sent, core::time_point now) -> void
    {
        expire_lease(now);
        // The worker ignores replies to any but its latest heartbeat.
        if (reply.owner_epoch < highest_epoch_ || sequence != sequence_)
        {
            return;
        }
        highest_epoch_ = reply.owner_epoch;
        lease_end_ = sent + std::chrono::milliseconds{reply.lease_ms};
        auto const start_end =
            sent + std::chrono::milliseconds{reply.start_valid_ms};
        for (auto const& it : reply.commands)
        {
            execute(it, now <= start_end && now <= lease_end_);
        }
        expire_lease(now);
    }

    auto expire_lease(core::time_point now) -> void
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
        highest_epoch_ = {};
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

    core::epoch highest_epoch_;
    std::uint64_t boot_ = 1;
    std::uint64_t sequence_ = 0;
    core::time_point lease_end_;
};

inline auto batch_spec(
    std::string const& name, std::int64_t cpu_milli = 1000,
    priority_class priority = priority_class::batch) -> job_spec
{
    auto spec = job_spec{};
    spec.id = core::job_id{name};
    spec.priority = priority;
    spec.need = {cpu_milli, 256, 0};
    return spec;
}

// The tests that use the fixture are timed for this lease.
inline auto settings_with_short_lease() -> engine_settings
{
    auto result = engine_settings{};
    result.lease = 4s;
    return result;
}

// The engines of all shards and their workers. Worker N belongs to shard N
// modulo the number of shards. Tests deliver messages and commits explicitly.
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

    // The destructors of the engines fail open calls, which uses `replies`.
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

    // Replaces the owner of a shard; returns the former one, which can no
    // longer commit.
    auto replace_owner(std::size_t shard) -> std::unique_ptr<shard_engine>
    {
        return replace_owner(shard, engines[shard]->state().data());
    }

    auto replace_owner(std::size_t shard, shard_data data)
        -> std::unique_ptr<shard_engine>
    {
        epochs_[shard] = epochs_[shard].next();
        former_stopped[shard] = false;
        auto state = shard_state{core::shard_id{shard}, std::move(data)};
        return std::exchange(
            engines[shard], make_engine(shard, std::move(state)));
    }

    auto
    add_worker(std::string const& name, std::string const& data_centre = "dc1")
        -> fake_worker&
    {
        workers.push_back(std::make_unique<fake_worker>(name, data_centre));
        return *workers.back();
    }

    auto change_config(std::function<void(config_document&)> const& edit)
        -> void
    {
        config = std::make_shared<config_document>(*config);
        config->number = config->number.next();
        edit(*config);
    }

    auto send_heartbeat(std::size_t index, shard_engine* other = nullptr)
        -> void
    {
        auto& worker = *workers[index];
        auto& engine =
            other != nullptr ? *other : *engines[index % engines.size()];
        auto const report = worker.report(now);
        worker.handle_reply(
            engine.heartbeat(report, now), report.sequence, now, now);
    }

    auto tick(std::size_t shard) -> void
    {
        tick(shard, *engines[shard], config);
    }

    auto tick(
        std::size_t shard, shard_engine& engine,
        config_pointer const& known_config) -> void
    {
        auto view = cluster_view{};
        view.config = known_config;
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

    // Commits a batch as the store does: rejects starts that were decided under
    // an outdated configuration.
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

    // Delivers a request; its reply is queued in `replies`.
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
        auto const receiver = destination(request).value;
        auto const sender =
            receiver == home_of(request) ? host_of(request) : home_of(request);
        engines[sender]->handle_reply(request, reply, now);
    }

    // Delivers all messages and commits all batches until none are left.
    auto settle() -> void
    {
        for (auto has_progress = true; has_progress;)
        {
            has_progress = !requests.empty() || !replies.empty();
            for (auto const& it : std::exchange(requests, {}))
            {
                if (!should_lose_request(it))
                {
                    deliver(it);
                }
            }
            for (auto const& [request, reply] : std::exchange(replies, {}))
            {
                if (!should_lose_reply(request))
                {
                    deliver_reply(request, reply);
                }
            }
            for (auto n = std::size_t{0}; n < engines.size(); ++n)
            {
                has_progress |= commit(n);
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
            workers[n]->expire_lease(now);
            if (workers[n]->connected)
            {
                send_heartbeat(n);
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

    auto home_shard(std::string const& name) const -> std::size_t
    {
        return shard_of(core::job_id{name}, settings.shard_count).value;
    }

    auto submit(job_spec const& spec) -> void
    {
        auto& engine = *engines[home_shard(spec.id.value)];
        engine.submit(spec, [](bool committed) { EXPECT_TRUE(committed); });
        settle();
    }

    auto find(std::string const& name) const -> job
    {
        for (auto const& it : engines[home_shard(name)]->jobs())
        {
            if (it.spec.id.value == name)
            {
                return it;
            }
        }
        return {};
    }

    // Returns a job id whose home is @p shard.
    auto job_id_at(std::size_t shard, std::string const& prefix = "job") const
        -> std::string
    {
        auto n = 0;
        while (home_shard(fmt::format("{}{}", prefix, n)) != shard)
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
    std::function<bool(shard_request const&)> should_lose_request =
        [](auto const&)
    {
        return false;
    };
    std::function<bool(shard_request const&)> should_lose_reply =
        [](auto const&)
    {
        return false;
    };

private:
    engine_faults faults_;
    std::vector<core::epoch> epochs_;
};

inline auto const job_a = core::job_id{"a"};

} // namespace godwitcleat::tests

#endif
