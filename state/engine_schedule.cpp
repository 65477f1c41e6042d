/** @file engine_schedule.cpp Order of the queue, placement and eviction. */
#include "state/engine_internal.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

namespace godwitcleat::state
{

namespace
{

// Bounds the comparisons per job; needs are few in practice.
constexpr std::size_t most_remembered_needs = 32;

// Of a team without quota: it comes after teams that have quota left.
constexpr double share_without_quota = 1.0;

auto share(std::int64_t use, std::int64_t quota) -> double
{
    return quota > 0 ? static_cast<double>(use) / static_cast<double>(quota)
                     : 0.0;
}

auto largest_share(core::resources const& use, core::resources const& quota)
    -> double
{
    return std::max(
        {share(use.cpu_milli, quota.cpu_milli),
         share(use.memory_mb, quota.memory_mb),
         share(use.accelerators, quota.accelerators)});
}

// Subtracts @p need from the first free room in which it fits.
auto subtract_from(shard_summary& host, core::resources const& need) -> void
{
    for (auto& it : host.largest_free)
    {
        if (need.fits_in(it))
        {
            it -= need;
            return;
        }
    }
}

// Returns the shard of @p others with this id, or nullptr.
auto find_shard(std::vector<shard_summary>& others, core::shard_id id)
    -> shard_summary*
{
    auto const it = std::find_if(
        others.begin(), others.end(),
        [id](shard_summary const& value) { return value.shard == id; });
    return it == others.end() ? nullptr : &*it;
}

} // namespace

auto shard_engine::implementation::tick(cluster_view const& view) -> void
{
    auto const former = view_.config;
    view_ = view;
    if (former && former->number > view_.config->number)
    {
        view_.config = former;
    }
    if (!former || former != view_.config)
    {
        drop_outdated_starts();
        load_wanted();
    }
    if (view_.former_owner_stopped && !former_stopped_at_)
    {
        former_stopped_at_ = now_;
    }
    // Summaries are older than offers that were sent since.
    for (auto const& [id, entry] : home_)
    {
        auto const* known = entry.offer ? state_.find_job(id) : nullptr;
        if (known == nullptr)
        {
            continue;
        }
        if (auto* host = find_shard(view_.others, entry.offer->host))
        {
            subtract_from(*host, known->spec.need);
        }
    }
    std::erase_if(
        holds_, [this](auto const& it) { return now_ >= it.second.expires; });
    retry_cancels();
    follow_leases();
    follow_configuration();
    follow_jobs();
    follow_tasks();
    follow_reservations();
    follow_offers();
    schedule();
}

auto shard_engine::implementation::schedule() -> void
{
    uses_ = team_uses();
    without_room_.clear();
    starts_left_ = settings_.starts_per_tick;
    auto queues = std::map<priority_class, std::vector<job const*>>{};
    for (auto const& [id, known] : state_.data().jobs)
    {
        if (may_schedule(known))
        {
            queues[known.spec.priority].push_back(&known);
        }
    }
    for (auto& [priority, queue] : queues)
    {
        std::sort(
            queue.begin(), queue.end(),
            [](job const* left, job const* right)
            { return left->submit_order < right->submit_order; });
        schedule_class(queue);
    }
    usable_.reset();
}

auto shard_engine::implementation::may_schedule(job const& known) const -> bool
{
    // Most jobs are running, so the phase is tested before any look-up.
    if (known.phase != job_phase::queued || known.binding ||
        known.cancel_requested || is_busy(known.spec.id))
    {
        return false;
    }
    auto const entry = home_.find(known.spec.id);
    return entry == home_.end() || !entry->second.offer;
}

auto shard_engine::implementation::schedule_class(
    std::vector<job const*> const& queue) -> void
{
    auto teams = std::map<core::team_id, std::deque<job const*>>{};
    for (auto const* it : queue)
    {
        teams[it->spec.team].push_back(it);
    }
    auto const rank = [this](core::team_id const& team, job const& first)
    {
        auto const quota = quota_of(team);
        auto const use = uses_.find(team);
        auto const share = !quota ? share_without_quota
                           : use == uses_.end()
                               ? 0.0
                               : largest_share(use->second, *quota);
        return std::pair{share, first.submit_order};
    };
    // A placement changes the rank of its own team only. Submit orders are
    // unique in a shard, so that no two teams have the same rank.
    using team_queue = std::deque<job const*>;
    auto ranked = std::map<std::pair<double, std::uint64_t>, team_queue>{};
    for (auto& [team, jobs] : teams)
    {
        auto const place = rank(team, *jobs.front());
        ranked.emplace(place, std::move(jobs));
    }
    while (!ranked.empty() && starts_left_ > 0)
    {
        auto jobs = std::move(ranked.extract(ranked.begin()).mapped());
        auto const& next = *jobs.front();
        jobs.pop_front();
        if (place_job(next))
        {
            uses_[next.spec.team] += next.spec.need;
            --starts_left_;
        }
        if (!jobs.empty())
        {
            auto const place = rank(next.spec.team, *jobs.front());
            ranked.emplace(place, std::move(jobs));
        }
    }
}

// Returns true if a placement or an offer was made.
auto shard_engine::implementation::place_job(job const& known) -> bool
{
    auto& entry = home_[known.spec.id];
    auto const& need = known.spec.need;
    if (!test_possible(known))
    {
        return false;
    }
    if (!within_quota(known.spec))
    {
        entry.waits = "the team's quota is used up";
        return false;
    }
    auto const evicts = may_evict(known.spec);
    auto const has_no_room = std::any_of(
        without_room_.begin(), without_room_.end(),
        [&need](auto const& it) { return it.fits_in(need); });
    if (!evicts && has_no_room)
    {
        entry.waits = "no worker has room";
        return false;
    }
    if (place_here(known, entry.failed_on) || offer_elsewhere(known, false) ||
        (!entry.failed_on.empty() && place_here(known, {})))
    {
        return true;
    }
    entry.waits = "no worker has room";
    if (evicts)
    {
        if (!is_room_made(entry) && evict_for(known.spec))
        {
            entry.waits = "room is being made by evictions";
            return false;
        }
        return offer_elsewhere(known, true);
    }
    if (entry.not_before.empty() &&
        without_room_.size() < most_remembered_needs)
    {
        without_room_.push_back(need);
    }
    return false;
}

auto shard_engine::implementation::place_here(
    job const& known, std::set<core::worker_id> const& avoided) -> bool
{
    if (!usable_)
    {
        usable_ = usable_workers();
    }
    auto const worker = choose_worker(known.spec, avoided, *usable_);
    if (!worker)
    {
        return false;
    }
    auto value = reservation{};
    value.own = true;
    value.task.spec = known.spec;
    value.task.attempt = known.last_attempt.next();
    value.task.home = state_.shard();
    value.task.worker = *worker;
    value.task.checkpoint = known.checkpoint;
    value.task.progress = known.progress;
    auto const host = host_task{value.task};
    // A task of this number may still be hosted here until it is forgotten.
    if (is_busy(attempt_key{known.spec.id, value.task.attempt}) ||
        !state_.test(host))
    {
        return false;
    }
    reserve(std::move(value));
    note_placed(known.spec, *worker);
    enqueue(
        {bind_attempt{
             known.spec.id,
             {host.task.attempt, state_.shard(), host.task.worker}},
         host});
    return true;
}

// Shows the new task to later placements of this tick.
auto shard_engine::implementation::note_placed(
    job_spec const& spec, core::worker_id const& worker) -> void
{
    for (auto& it : *usable_)
    {
        if (it.worker == worker)
        {
            describe_task(spec, it);
        }
    }
}

// Returns true if another shard evicts for the job. Room that several shards
// make for one job would evict work for nothing.
auto shard_engine::implementation::is_room_made(home_entry const& entry) const
    -> bool
{
    return entry.evicting_host && now_ < entry.evicting_until;
}

// Offers the job to one other shard; @p without_room also tries shards that
// would have to evict for it.
auto shard_engine::implementation::offer_elsewhere(
    job const& known, bool without_room) -> bool
{
    auto& entry = home_[known.spec.id];
    auto const& need = known.spec.need;
    std::erase_if(
        entry.not_before, [this](auto const& it) { return now_ >= it.second; });
    auto const is_bound = is_room_made(entry);
    auto const id_hash = core::stable_hash(known.spec.id.value);
    auto* best = static_cast<shard_summary*>(nullptr);
    auto best_rank = std::uint64_t{0};
    for (auto& it : view_.others)
    {
        auto const has_room =
            without_room
                ? need.fits_in(it.largest_capacity)
                : std::any_of(
                      it.largest_free.begin(), it.largest_free.end(),
                      [&need](auto const& room) { return need.fits_in(room); });
        auto const rank = core::combine_hash(id_hash, it.shard.value);
        if (has_room && it.shard != state_.shard() &&
            !entry.not_before.contains(it.shard) &&
            (!is_bound || it.shard == *entry.evicting_host) &&
            (best == nullptr || rank < best_rank))
        {
            best = &it;
            best_rank = rank;
        }
    }
    if (best == nullptr)
    {
        return false;
    }
    subtract_from(*best, need);
    auto const attempt = known.last_attempt.next();
    entry.offer =
        open_offer{attempt, best->shard, now_ + settings_.reservation};
    outbox_.emplace_back(offer_request{
        state_.shard(), best->shard, attempt_key{known.spec.id, attempt},
        known.spec, known.checkpoint, known.progress});
    event(
        "offer_sent", known.spec.id, {},
        fmt::format("{} host={}", attempt_text(attempt), best->shard.value));
    return true;
}

// Returns the tasks of @p worker that may be evicted, lowest loss of progress
// first.
auto shard_engine::implementation::victims(core::worker_id const& worker) const
    -> std::vector<hosted_task const*>
{
    auto result = std::vector<hosted_task const*>{};
    auto const loss = [this](hosted_task const* it)
    {
        auto const& entry = tasks_.at({it->spec.id, it->attempt});
        return entry.progress -
               std::max(entry.checkpoint_progress, it->progress);
    };
    auto const hosted = tasks_of_.find(worker);
    if (hosted == tasks_of_.end())
    {
        return result;
    }
    for (auto const& key : hosted->second)
    {
        auto const& task = *state_.find_task(key);
        auto const& entry = tasks_.at(key);
        if (task.spec.kind == job_kind::batch && task.spec.interruptible &&
            task.spec.priority == priority_class::batch && !task.outcome &&
            entry.reported && entry.wanted == stop_kind::none && !is_busy(key))
        {
            result.push_back(&task);
        }
    }
    std::stable_sort(
        result.begin(), result.end(),
        [&loss](auto const* left, auto const* right)
        { return loss(left) < loss(right); });
    return result;
}

auto shard_engine::implementation::may_evict(job_spec const& spec) const -> bool
{
    return spec.priority == priority_class::urgent ||
           (spec.priority == priority_class::service &&
            settings_.absence.services_evict);
}

// Keeps room for a job that will be placed soon, and makes it if there is none.
auto shard_engine::implementation::hold_room(job_spec const& spec) -> void
{
    if (holds_.contains(spec.id))
    {
        return;
    }
    if (!usable_)
    {
        usable_ = usable_workers();
    }
    if (auto const worker = choose_worker(spec, {}, *usable_))
    {
        holds_[spec.id] =
            room_hold{*worker, spec.need, now_ + settings_.eviction_hold};
        return;
    }
    evict_for(spec);
}

// Requests evictions on the worker where the fewest tasks must leave. Returns
// true if room for @p spec is being made.
auto shard_engine::implementation::evict_for(job_spec const& spec) -> bool
{
    if (holds_.contains(spec.id))
    {
        return true;
    }
    auto best = std::vector<hosted_task const*>{};
    for (auto const& [name, worker] : workers_)
    {
        if (!is_usable(worker) || !spec.need.fits_in(worker.info.capacity))
        {
            continue;
        }
        auto room = free_room(name, worker.info.capacity, spec.id);
        auto chosen = std::vector<hosted_task const*>{};
        for (auto const* it : victims(name))
        {
            if (spec.need.fits_in(room))
            {
                break;
            }
            room += it->spec.need;
            chosen.push_back(it);
        }
        if (spec.need.fits_in(room) && !chosen.empty() &&
            (best.empty() || chosen.size() < best.size()))
        {
            best = std::move(chosen);
        }
    }
    if (best.empty())
    {
        return false;
    }
    auto const worker = best.front()->worker;
    holds_[spec.id] =
        room_hold{worker, spec.need, now_ + settings_.eviction_hold};
    for (auto const* it : best)
    {
        event(
            "eviction_requested", it->spec.id, worker,
            fmt::format("{} for={}", attempt_text(it->attempt), spec.id.value));
        want_stop({it->spec.id, it->attempt}, stop_kind::checkpoint);
    }
    return true;
}

// Returns false if the job's needs exceed every known worker. That is decided
// only while every shard has a summary.
auto shard_engine::implementation::test_possible(job const& known) -> bool
{
    auto& entry = home_[known.spec.id];
    auto const& need = known.spec.need;
    auto const fits_here = std::any_of(
        workers_.begin(), workers_.end(),
        [&need](auto const& it)
        { return need.fits_in(it.second.info.capacity); });
    auto const fits_elsewhere = std::any_of(
        view_.others.begin(), view_.others.end(),
        [&need](auto const& it) { return need.fits_in(it.largest_capacity); });
    auto const knows_workers =
        !workers_.empty() ||
        std::any_of(
            view_.others.begin(), view_.others.end(),
            [](auto const& it)
            { return it.largest_capacity != core::resources{}; });
    auto const is_impossible = !fits_here && !fits_elsewhere && knows_workers &&
                               view_.others.size() + 1 == settings_.shard_count;
    if (is_impossible)
    {
        entry.waits = fmt::format(
            "no worker has {} milli-cores, {} MB and {} accelerators; reduce "
            "the needs",
            need.cpu_milli, need.memory_mb, need.accelerators);
    }
    if (is_impossible && !entry.impossible)
    {
        event("job_impossible", known.spec.id, {}, entry.waits);
    }
    entry.impossible = is_impossible;
    return !is_impossible;
}

auto shard_engine::implementation::team_uses() const
    -> std::map<core::team_id, core::resources>
{
    auto result = std::map<core::team_id, core::resources>{};
    auto const has_offer = [this](core::job_id const& id)
    {
        auto const entry = home_.find(id);
        return entry != home_.end() && entry->second.offer;
    };
    for (auto const& [id, known] : state_.data().jobs)
    {
        if (known.binding || has_offer(id))
        {
            result[known.spec.team] += known.spec.need;
        }
    }
    for (auto const& [key, value] : reservations_)
    {
        if (value.own)
        {
            result[value.task.spec.team] += value.task.spec.need;
        }
    }
    for (auto const& other : view_.others)
    {
        for (auto const& [team, use] : other.team_use)
        {
            result[team] += use;
        }
    }
    return result;
}

auto shard_engine::implementation::quota_of(core::team_id const& team) const
    -> std::optional<core::resources>
{
    auto const it = view_.config->teams.find(team);
    if (it == view_.config->teams.end() ||
        it->second.quota == core::resources{})
    {
        return std::nullopt;
    }
    return it->second.quota;
}

auto shard_engine::implementation::within_quota(job_spec const& spec) const
    -> bool
{
    auto const quota = quota_of(spec.team);
    auto const use = uses_.find(spec.team);
    return !quota ||
           ((use == uses_.end() ? core::resources{} : use->second) + spec.need)
               .fits_in(*quota);
}

} // namespace godwitcleat::state
