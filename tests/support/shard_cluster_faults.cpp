/** @file shard_cluster_faults.cpp Jobs and faults of the simulated cluster. */
#include "tests/support/shard_cluster_internal.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace godwitcleat::tests
{

using namespace std::chrono_literals;

auto shard_cluster::submit_jobs() -> void
{
    for (std::uint32_t i = 0; i < options_.jobs; ++i)
    {
        auto spec = state::job_spec{};
        spec.id = core::job_id{fmt::format("job-{}", i)};
        spec.team = core::team_id{i % 2 == 0 ? "red" : "blue"};
        spec.need = {
            1000 * static_cast<std::int64_t>(1 + random_() % 3), 2000,
            random_() % 5 == 0 ? 1 : 0};
        spec.interruptible = random_() % 4 != 0;
        spec.task_class = i % 2 == 0 ? "tally" : "survey";
        spec.command = random_() % 8 == 0
                           ? "fail 300"
                           : fmt::format("work {}", 500 + random_() % 8000);
        submitted_.push_back(spec);
        schedule_at(now_ + random_ms(0, 15000), [this, spec] { submit(spec); });
    }
}

// Repeats the submit until it is acknowledged, as operators do.
auto shard_cluster::submit(state::job_spec spec) -> void
{
    result_.history.needs[spec.id] = spec.need;
    auto const acknowledged = std::make_shared<bool>(false);
    auto const to = choose_owner(state::shard_of(spec.id, options_.shards));
    if (to)
    {
        run_when_resumed(
            to,
            [to, spec, acknowledged]
            {
                to->engine->submit(
                    spec, [acknowledged](bool done) { *acknowledged |= done; });
            });
    }
    schedule_after(
        2s,
        [this, spec, acknowledged]
        {
            if (!*acknowledged)
            {
                submit(spec);
            }
        });
}

auto shard_cluster::change_config(
    std::function<void(state::config_document&)> const& change) -> void
{
    auto next = *configs_.back().document;
    next.number = next.number.next();
    change(next);
    configs_.push_back(
        {now_,
         std::make_shared<state::config_document const>(std::move(next))});
}

auto shard_cluster::drain(
    core::data_centre_id const& data_centre, core::duration length) -> void
{
    if (configs_.back().document->drained_data_centres.contains(data_centre))
    {
        return;
    }
    auto const note = [this, data_centre](task_event_kind kind)
    {
        auto event = task_event{};
        event.at = now_;
        event.kind = kind;
        event.data_centre = data_centre;
        result_.history.events.push_back(event);
    };
    change_config([&](auto& document)
                  { document.drained_data_centres.insert(data_centre); });
    note(task_event_kind::drain_accepted);
    schedule_after(
        length,
        [this, data_centre, note]
        {
            change_config(
                [&](auto& document)
                { document.drained_data_centres.erase(data_centre); });
            note(task_event_kind::undrain_accepted);
        });
}

auto shard_cluster::inject(fault const& value) -> void
{
    auto const length = std::chrono::milliseconds{value.duration_ms};
    auto const shard = value.target % options_.shards;
    auto const worker = value.target % options_.workers;
    auto const latest = shards_[shard].latest;
    switch (value.kind)
    {
    case fault_kind::crash_owner:
        stop_owner(latest);
        schedule_take_over(shard, now_ + store_lease);
        break;
    case fault_kind::pause_owner:
    case fault_kind::isolate_owner:
    {
        auto& until = value.kind == fault_kind::pause_owner
                          ? latest->paused_until
                          : latest->isolated_until;
        until = std::max(until, now_ + length);
        if (length > store_lease)
        {
            schedule_take_over(shard, now_ + store_lease);
        }
        break;
    }
    case fault_kind::kill_worker: kill_worker(worker); break;
    case fault_kind::disconnect_worker:
        workers_[worker].disconnected_until = now_ + length;
        break;
    case fault_kind::stop_store: store_down_until_ = now_ + length; break;
    case fault_kind::delay_store_replies:
        replies_delayed_until_ = now_ + length;
        break;
    case fault_kind::drain:
        drain(
            core::data_centre_id{fmt::format("dc-{}", value.target % 2)},
            length);
        break;
    case fault_kind::cancel_job:
    {
        auto const& id = submitted_[value.target % submitted_.size()].id;
        auto const to = choose_owner(state::shard_of(id, options_.shards));
        if (to)
        {
            run_when_resumed(
                to,
                [to, id] {
                    to->engine->cancel(
                        id, "cancelled by the test", [](bool) {});
                });
        }
        break;
    }
    case fault_kind::submit_urgent:
    {
        auto spec = state::job_spec{};
        spec.id = core::job_id{fmt::format("urgent-{}", value.at_ms)};
        spec.team = core::team_id{"red"};
        spec.priority = state::priority_class::urgent;
        spec.need = {4000, 4000, 0};
        spec.interruptible = false;
        spec.command = "work 1000";
        submitted_.push_back(spec);
        submit(spec);
        break;
    }
    }
}

} // namespace godwitcleat::tests
