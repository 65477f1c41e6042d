/** @file shard_cluster_base.cpp Engines, workers and faults in one process. */
#include "tests/support/shard_cluster_base.hpp"

#include "standins/support/worker_base.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <utility>

namespace godwitcleat::tests
{

namespace
{

using namespace std::chrono_literals;

constexpr auto tick_interval = 50ms;
constexpr auto store_lease = 6s;
constexpr auto peer_news_delay = 1s; // Until a former owner hears of another.
constexpr auto gone_evidence = 3s;   // Until a dead owner is known as dead.
constexpr auto call_timeout = 1s;
constexpr auto chaos_time = 40s;
constexpr auto healing_time = 240s;
constexpr auto most_config_lag_ms = 1500;
constexpr double most_clock_drift = 0.009; // Of the 2% that leases allow for.

/** One process that owns, or believes to own, a shard. */
struct owner
{
    core::shard_id shard;
    core::epoch owner_epoch;
    std::unique_ptr<state::shard_engine> engine;
    bool alive = true; ///< False: dead or stepped down.
    core::time_point paused_until;
    core::time_point isolated_until; ///< Cut off from store and peers.
    core::time_point known_stopped;  ///< When others know that it stopped.
    std::vector<std::shared_ptr<owner>> former;
};

using owner_pointer = std::shared_ptr<owner>;

/** One shard in the store. */
struct shard_record
{
    std::vector<state::record_batch> log;
    core::epoch current;
    owner_pointer latest;
    bool taking_over = false;
};

/** One worker and its connection. */
struct worker_entry
{
    state::worker_info info;
    std::unique_ptr<standins::standin_worker> worker;
    std::uint64_t boot = 0;
    core::time_point cut_until;
    double clock_rate = 1.0;
    std::map<state::attempt_key, task_event> running;
    std::set<state::attempt_key> checkpointed;
};

/** One generation of the configuration and when it was accepted. */
struct config_version
{
    core::time_point accepted;
    state::config_pointer document;
};

class shard_cluster
{
public:
    explicit shard_cluster(cluster_options const& options);
    ~shard_cluster();
    shard_cluster(shard_cluster const&) = delete;
    auto operator=(shard_cluster const&) -> shard_cluster& = delete;
    auto run() -> cluster_result;

private:
    auto at(core::time_point when, std::function<void()> task) -> void;
    auto after(core::duration delay, std::function<void()> task) -> void;
    auto run_until(core::time_point end) -> void;
    auto random_ms(std::int64_t least, std::int64_t most) -> core::duration;
    auto chance(double share) -> bool;

    auto add_workers() -> void;
    auto boot_worker(std::size_t i) -> void;
    auto observe(std::size_t i, standins::worker_event const& event) -> void;
    auto kill_worker(std::size_t i) -> void;
    auto worker_time(worker_entry const& entry) const -> core::time_point;
    static auto true_time(worker_entry const& entry, core::time_point at)
        -> core::time_point;
    auto heartbeat_loop(std::size_t i) -> void;
    auto worker_tick_loop(std::size_t i) -> void;
    auto deliver_heartbeat(
        std::size_t i, owner_pointer const& to,
        state::worker_report const& report) -> void;
    auto choose_owner(core::shard_id shard) -> owner_pointer;

    auto take_over(std::size_t shard) -> void;
    auto schedule_take_over(std::size_t shard, core::time_point when) -> void;
    auto stop_owner(owner_pointer const& it) -> void;
    auto owner_loop(owner_pointer const& it) -> void;
    auto tick_owner(owner_pointer const& it) -> void;
    auto when_awake(owner_pointer const& it, std::function<void()> task)
        -> void;
    auto append(owner_pointer const& it, state::commit_batch batch) -> void;
    auto commit(
        owner_pointer const& it, state::commit_batch const& batch,
        core::time_point sent) -> void;
    auto send(owner_pointer const& from, state::shard_request request) -> void;
    auto view_of(owner_pointer const& it) -> state::cluster_view;
    auto config_seen() -> state::config_pointer;

    auto submit_jobs() -> void;
    auto submit(state::job_spec spec) -> void;
    auto inject(fault const& value) -> void;
    auto
    change_config(std::function<void(state::config_document&)> const& change)
        -> void;
    auto drain(core::data_centre_id const& data_centre, core::duration length)
        -> void;
    auto open_jobs() const -> std::vector<std::string>;
    auto job_state(core::job_id const& id) const -> state::job const*;
    auto note_finished(std::size_t shard) -> void;

    cluster_options options_;
    std::mt19937_64 engine_;
    core::time_point now_{1s};
    std::multimap<core::time_point, std::function<void()>> queue_;
    std::vector<shard_record> shards_;
    std::vector<owner_pointer> owners_; ///< All that ever were.
    std::vector<worker_entry> workers_;
    std::vector<config_version> configs_;
    std::vector<state::job_spec> submitted_;
    core::time_point store_down_until_;
    core::time_point replies_late_until_;
    std::uint64_t next_batch_ = 1;
    std::map<core::shard_id, state::shard_state> replayed_;
    cluster_result result_;
};

shard_cluster::shard_cluster(cluster_options const& options)
    : options_(options)
    , engine_(options.seed)
    , shards_(options.shards)
    , workers_(options.workers)
{
    configs_.push_back(
        {now_, std::make_shared<state::config_document const>()});
}

// An engine answers what waits when it is destroyed, and the answers use the
// queue.
shard_cluster::~shard_cluster()
{
    for (auto const& it : owners_)
    {
        it->engine.reset();
    }
}

auto shard_cluster::at(core::time_point when, std::function<void()> task)
    -> void
{
    queue_.emplace(std::max(when, now_), std::move(task));
}

auto shard_cluster::after(core::duration delay, std::function<void()> task)
    -> void
{
    at(now_ + delay, std::move(task));
}

auto shard_cluster::run_until(core::time_point end) -> void
{
    while (!queue_.empty() && queue_.begin()->first <= end)
    {
        auto node = queue_.extract(queue_.begin());
        now_ = node.key();
        node.mapped()();
    }
    now_ = end;
}

auto shard_cluster::random_ms(std::int64_t least, std::int64_t most)
    -> core::duration
{
    return std::chrono::milliseconds{
        std::uniform_int_distribution<std::int64_t>{least, most}(engine_)};
}

auto shard_cluster::chance(double share) -> bool
{
    return std::uniform_real_distribution<double>{0.0, 1.0}(engine_) < share;
}

// Workers ---------------------------------------------------------------

auto shard_cluster::add_workers() -> void
{
    auto constexpr per_rack = 2U;
    for (std::size_t i = 0; i < workers_.size(); ++i)
    {
        auto& entry = workers_[i];
        auto const rack = i / per_rack;
        entry.info.worker = core::worker_id{fmt::format("worker-{}", i)};
        entry.info.rack = core::rack_id{fmt::format("rack-{}", rack)};
        entry.info.data_centre =
            core::data_centre_id{fmt::format("dc-{}", rack % 2)};
        entry.info.capacity = {4000, 16000, 1};
        result_.history.capacities[entry.info.worker] = entry.info.capacity;
        auto const drift =
            std::uniform_real_distribution<double>{-1.0, 1.0}(engine_);
        entry.clock_rate = 1.0 + drift * most_clock_drift;
        boot_worker(i);
        heartbeat_loop(i);
        worker_tick_loop(i);
    }
}

auto shard_cluster::worker_time(worker_entry const& entry) const
    -> core::time_point
{
    auto const elapsed =
        std::chrono::duration<double, std::nano>(now_.time_since_epoch()) *
        entry.clock_rate;
    return core::time_point{
        std::chrono::duration_cast<core::duration>(elapsed)};
}

auto shard_cluster::true_time(worker_entry const& entry, core::time_point at)
    -> core::time_point
{
    auto const elapsed =
        std::chrono::duration<double, std::nano>(at.time_since_epoch()) /
        entry.clock_rate;
    return core::time_point{
        std::chrono::duration_cast<core::duration>(elapsed)};
}

auto shard_cluster::boot_worker(std::size_t i) -> void
{
    auto& entry = workers_[i];
    ++entry.boot;
    auto settings = standins::worker_settings{};
    settings.info = entry.info;
    settings.boot = entry.boot;
    entry.worker = std::make_unique<standins::standin_worker>(
        settings,
        [this, i](standins::worker_event const& event) { observe(i, event); });
}

auto shard_cluster::kill_worker(std::size_t i) -> void
{
    auto& entry = workers_[i];
    for (auto [key, event] : std::exchange(entry.running, {}))
    {
        event.at = now_;
        event.kind = task_event_kind::ended;
        event.text = "worker killed";
        result_.history.events.push_back(event);
    }
    boot_worker(i);
}

auto shard_cluster::worker_tick_loop(std::size_t i) -> void
{
    workers_[i].worker->advance(worker_time(workers_[i]));
    after(tick_interval, [this, i] { worker_tick_loop(i); });
}

auto shard_cluster::heartbeat_loop(std::size_t i) -> void
{
    auto& entry = workers_[i];
    auto const report = entry.worker->make_report(worker_time(entry));
    auto const shard = state::shard_of(entry.info.rack, options_.shards);
    auto const to = choose_owner(shard);
    auto const lost = now_ < entry.cut_until || chance(0.03) || !to;
    if (!lost)
    {
        auto const delay =
            chance(0.05) ? random_ms(100, 3000) : random_ms(1, 5);
        after(
            delay,
            [this, i, to, report]
            {
                when_awake(
                    to, [this, i, to, report]
                    { deliver_heartbeat(i, to, report); });
            });
        if (chance(0.02))
        {
            after(
                random_ms(1, 2000),
                [this, i, to, report]
                {
                    when_awake(
                        to, [this, i, to, report]
                        { deliver_heartbeat(i, to, report); });
                });
        }
    }
    after(random_ms(450, 550), [this, i] { heartbeat_loop(i); });
}

// Workers mostly know the latest owner, but may still know a former one.
auto shard_cluster::choose_owner(core::shard_id shard) -> owner_pointer
{
    auto const& latest = shards_[shard.value].latest;
    if (latest && !latest->former.empty() && chance(0.2))
    {
        auto const& former = latest->former.back();
        if (former->alive)
        {
            return former;
        }
    }
    return latest && latest->alive ? latest : nullptr;
}

auto shard_cluster::deliver_heartbeat(
    std::size_t i, owner_pointer const& to, state::worker_report const& report)
    -> void
{
    auto const reply = to->engine->heartbeat(report, now_);
    auto const boot = workers_[i].boot;
    if (now_ < workers_[i].cut_until || chance(0.03))
    {
        return;
    }
    auto const delay = chance(0.05) ? random_ms(100, 5000) : random_ms(1, 5);
    after(
        delay,
        [this, i, boot, report, reply]
        {
            auto& entry = workers_[i];
            if (entry.boot == boot && now_ >= entry.cut_until)
            {
                entry.worker->take_reply(
                    report.sequence, reply, worker_time(entry));
            }
        });
}

auto shard_cluster::observe(std::size_t i, standins::worker_event const& event)
    -> void
{
    auto& entry = workers_[i];
    if (event.kind == standins::worker_event_kind::checkpointed)
    {
        entry.checkpointed.insert(event.key);
        return;
    }
    auto seen = task_event{};
    seen.at = true_time(entry, event.at);
    seen.key = event.key;
    seen.worker = entry.info.worker;
    seen.data_centre = entry.info.data_centre;
    seen.progress = event.progress;
    seen.text = std::string{standins::to_string(event.kind)};
    if (event.kind == standins::worker_event_kind::started)
    {
        entry.running[event.key] = seen;
        ++result_.starts;
        result_.resumes += event.progress > 0 ? 1 : 0;
    }
    else
    {
        seen.kind = task_event_kind::ended;
        seen.finished = event.kind == standins::worker_event_kind::finished;
        seen.checkpointed = entry.checkpointed.contains(event.key);
        entry.running.erase(event.key);
    }
    result_.history.events.push_back(seen);
}

// Owners ----------------------------------------------------------------

auto shard_cluster::schedule_take_over(std::size_t shard, core::time_point when)
    -> void
{
    if (std::exchange(shards_[shard].taking_over, true))
    {
        return;
    }
    at(when,
       [this, shard]
       {
           shards_[shard].taking_over = false;
           if (now_ < store_down_until_)
           {
               schedule_take_over(shard, store_down_until_ + 100ms);
               return;
           }
           take_over(shard);
       });
}

auto shard_cluster::take_over(std::size_t shard) -> void
{
    auto& record = shards_[shard];
    record.current = record.current.next();
    auto recovered = state::shard_state{core::shard_id{shard}};
    for (auto const& batch : record.log)
    {
        for (auto const& it : batch.records)
        {
            recovered.apply(it);
        }
    }
    auto settings = state::engine_settings{};
    settings.shard_count = options_.shards;
    auto hooks = state::engine_hooks{};
    hooks.unique_id = [this]
    {
        return fmt::format("batch-{}", next_batch_++);
    };
    auto next = std::make_shared<owner>();
    next->shard = core::shard_id{shard};
    next->owner_epoch = record.current;
    next->engine = std::make_unique<state::shard_engine>(
        record.current, std::move(recovered), settings, std::move(hooks), now_,
        options_.engine_faults);
    if (record.latest)
    {
        next->former = record.latest->former;
        next->former.push_back(record.latest);
        auto const former = record.latest;
        auto const heard =
            std::max({now_, former->paused_until, former->isolated_until});
        at(heard + peer_news_delay, [this, former] { stop_owner(former); });
    }
    record.latest = next;
    owners_.push_back(next);
    owner_loop(next);
}

auto shard_cluster::stop_owner(owner_pointer const& it) -> void
{
    if (std::exchange(it->alive, false))
    {
        it->known_stopped = now_ + gone_evidence;
    }
}

auto shard_cluster::when_awake(
    owner_pointer const& it, std::function<void()> task) -> void
{
    if (!it->alive)
    {
        return;
    }
    if (now_ < it->paused_until)
    {
        at(it->paused_until,
           [this, it, task = std::move(task)] { when_awake(it, task); });
        return;
    }
    task();
}

auto shard_cluster::owner_loop(owner_pointer const& it) -> void
{
    when_awake(
        it,
        [this, it]
        {
            tick_owner(it);
            after(tick_interval, [this, it] { owner_loop(it); });
        });
}

auto shard_cluster::tick_owner(owner_pointer const& it) -> void
{
    it->engine->tick(now_, view_of(it));
    for (auto& request : it->engine->take_requests())
    {
        send(it, std::move(request));
    }
    if (auto batch = it->engine->take_batch(now_))
    {
        append(it, std::move(*batch));
    }
}

auto shard_cluster::view_of(owner_pointer const& it) -> state::cluster_view
{
    auto view = state::cluster_view{};
    view.config = config_seen();
    for (auto const& record : shards_)
    {
        if (record.latest && record.latest->alive &&
            record.latest->shard != it->shard)
        {
            view.others.push_back(record.latest->engine->summary(now_));
        }
    }
    view.former_owner_stopped = std::all_of(
        it->former.begin(), it->former.end(),
        [this](auto const& former)
        { return !former->alive && now_ >= former->known_stopped; });
    return view;
}

auto shard_cluster::config_seen() -> state::config_pointer
{
    auto const seen_until = now_ - random_ms(0, most_config_lag_ms);
    auto result = configs_.front().document;
    for (auto const& it : configs_)
    {
        if (it.accepted <= seen_until)
        {
            result = it.document;
        }
    }
    return result;
}

auto shard_cluster::append(owner_pointer const& it, state::commit_batch batch)
    -> void
{
    auto const sent = now_;
    auto const reachable = std::max(store_down_until_, it->isolated_until);
    auto const arrives = std::max(now_, reachable) + random_ms(1, 30);
    at(arrives,
       [this, it, batch = std::move(batch), sent] { commit(it, batch, sent); });
}

// The write happens here; its reply may be late, as when a lost reply is
// settled by reading back.
auto shard_cluster::commit(
    owner_pointer const& it, state::commit_batch const& batch,
    core::time_point sent) -> void
{
    auto& record = shards_[it->shard.value];
    auto const delay =
        now_ < replies_late_until_ ? random_ms(200, 4000) : random_ms(1, 10);
    if (record.current != it->owner_epoch)
    {
        after(
            delay,
            [this, it] { when_awake(it, [this, it] { stop_owner(it); }); });
        return;
    }
    auto const& config = *configs_.back().document;
    auto const stale = batch.allows_start && batch.generation != config.number;
    if (!stale)
    {
        record.log.push_back(batch.batch);
        note_finished(it->shard.value);
    }
    after(
        delay,
        [this, it, stale, sent]
        {
            when_awake(
                it,
                [it, stale, sent]
                {
                    if (stale)
                    {
                        it->engine->batch_rejected(
                            state::batch_rejection::config_changed);
                        return;
                    }
                    it->engine->batch_committed(sent);
                });
        });
}

auto shard_cluster::send(
    owner_pointer const& from, state::shard_request request) -> void
{
    auto const to = choose_owner(state::destination(request));
    auto const cut =
        now_ < from->isolated_until || (to && now_ < to->isolated_until);
    auto const answered = std::make_shared<bool>(false);
    auto const reply_to = [this, from, request, answered](
                              std::optional<state::shard_reply> const& reply)
    {
        when_awake(
            from,
            [this, from, request, reply, answered]
            {
                if (!std::exchange(*answered, true))
                {
                    from->engine->replied(request, reply, now_);
                }
            });
    };
    after(call_timeout, [reply_to] { reply_to(std::nullopt); });
    if (!to || cut || chance(0.03))
    {
        return;
    }
    auto const deliver = [this, to, request, reply_to]
    {
        when_awake(
            to,
            [this, to, request, reply_to]
            {
                to->engine->handle(
                    request, now_,
                    [this, reply_to](auto reply)
                    {
                        if (!chance(0.03))
                        {
                            after(
                                random_ms(1, 5),
                                [reply_to, reply] { reply_to(reply); });
                        }
                    });
            });
    };
    after(chance(0.05) ? random_ms(100, 6000) : random_ms(1, 5), deliver);
    if (chance(0.05))
    {
        after(random_ms(1, 10000), deliver);
    }
}

// Jobs and faults ---------------------------------------------------------

auto shard_cluster::submit_jobs() -> void
{
    for (std::uint32_t i = 0; i < options_.jobs; ++i)
    {
        auto spec = state::job_spec{};
        spec.id = core::job_id{fmt::format("job-{}", i)};
        spec.team = core::team_id{i % 2 == 0 ? "red" : "blue"};
        spec.need = {
            1000 * static_cast<std::int64_t>(1 + engine_() % 3), 2000,
            engine_() % 5 == 0 ? 1 : 0};
        spec.interruptible = engine_() % 4 != 0;
        spec.task_class = i % 2 == 0 ? "tally" : "survey";
        spec.command = engine_() % 8 == 0
                           ? "fail 300"
                           : fmt::format("work {}", 500 + engine_() % 8000);
        submitted_.push_back(spec);
        at(now_ + random_ms(0, 15000), [this, spec] { submit(spec); });
    }
}

// Operators repeat a submit until it is acknowledged.
auto shard_cluster::submit(state::job_spec spec) -> void
{
    result_.history.needs[spec.id] = spec.need;
    auto const acknowledged = std::make_shared<bool>(false);
    auto const to = choose_owner(state::shard_of(spec.id, options_.shards));
    if (to)
    {
        when_awake(
            to,
            [to, spec, acknowledged]
            {
                to->engine->submit(
                    spec, [acknowledged](bool done) { *acknowledged |= done; });
            });
    }
    after(
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
    after(
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
    case fault_kind::cut_worker:
        workers_[worker].cut_until = now_ + length;
        break;
    case fault_kind::stop_store: store_down_until_ = now_ + length; break;
    case fault_kind::lose_replies: replies_late_until_ = now_ + length; break;
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
            when_awake(
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

// Results -----------------------------------------------------------------

// Replays the whole log, so that the result does not depend on an engine.
auto shard_cluster::note_finished(std::size_t shard) -> void
{
    auto const id = core::shard_id{shard};
    auto& state = replayed_.try_emplace(id, id).first->second;
    for (auto const& it : shards_[shard].log.back().records)
    {
        state.apply(it);
        auto const* end = std::get_if<state::end_attempt>(&it);
        if (end != nullptr && end->outcome == state::attempt_outcome::finished)
        {
            result_.stored_finished.try_emplace(end->job, now_);
        }
    }
}

auto shard_cluster::job_state(core::job_id const& id) const -> state::job const*
{
    auto const it = replayed_.find(state::shard_of(id, options_.shards));
    return it == replayed_.end() ? nullptr : it->second.find_job(id);
}

auto shard_cluster::open_jobs() const -> std::vector<std::string>
{
    auto result = std::vector<std::string>{};
    for (auto const& spec : submitted_)
    {
        auto const* job = job_state(spec.id);
        if (job == nullptr || !state::is_final(job->phase))
        {
            result.push_back(fmt::format(
                "{} {}", spec.id.value,
                job == nullptr ? "unknown" : state::to_string(job->phase)));
        }
    }
    return result;
}

auto shard_cluster::run() -> cluster_result
{
    for (std::size_t i = 0; i < shards_.size(); ++i)
    {
        take_over(i);
    }
    add_workers();
    submit_jobs();
    auto const start = now_;
    for (auto const& it : options_.faults)
    {
        at(start + std::chrono::milliseconds{it.at_ms},
           [this, it] { inject(it); });
    }
    run_until(start + chaos_time);
    auto const end = now_ + healing_time;
    while (now_ < end && !open_jobs().empty())
    {
        run_until(now_ + 1s);
    }
    result_.unfinished = open_jobs();
    // A worker tells of an event when it is advanced, which is later than the
    // event.
    auto& events = result_.history.events;
    std::stable_sort(
        events.begin(), events.end(),
        [](auto const& left, auto const& right) { return left.at < right.at; });
    return std::move(result_);
}

} // namespace

auto to_string(fault const& value) -> std::string
{
    constexpr std::string_view names[] = {
        "crash_owner", "pause_owner",  "isolate_owner", "kill_worker",
        "cut_worker",  "stop_store",   "lose_replies",  "drain",
        "cancel_job",  "submit_urgent"};
    return fmt::format(
        "{} at {} ms, target {}, for {} ms",
        names[static_cast<std::size_t>(value.kind)], value.at_ms, value.target,
        value.duration_ms);
}

auto run_cluster(cluster_options const& options) -> cluster_result
{
    return shard_cluster{options}.run();
}

auto find_violation(cluster_result const& result)
    -> std::optional<history_violation>
{
    constexpr auto drain_bound = 4s;
    if (auto found = find_overlap(result.history))
    {
        return found;
    }
    if (auto found = find_overcommitment(result.history))
    {
        return found;
    }
    if (auto found = find_bad_resume(result.history, result.stored_finished))
    {
        return found;
    }
    return find_start_after_drain(result.history, drain_bound);
}

} // namespace godwitcleat::tests
