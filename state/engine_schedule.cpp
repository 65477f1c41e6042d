/** @file engine_schedule.cpp Queue order, placement and eviction. */
#include "state/engine_internal.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

namespace godwitcleat::state
{

namespace
{

// Bounds the comparisons per job. Jobs rarely have more distinct needs.
constexpr std::size_t max_unplaceable_needs = 32;

// Share of a team without quota, which ranks after teams with unused quota.
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

// Subtracts @p need from the first free capacity in which it fits.
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

// Returns the summary of shard @p id, or nullptr.
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
        load_configured_jobs();
    }
    if (view_.former_owner_stopped && !former_owner_stopped_at_)
    {
        former_owner_stopped_at_ = now_;
    }
    // The summaries do not account for open offers yet.
    for (auto const& [id, entry] : home_entries_)
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
        capacity_holds_,
        [this](auto const& it) { return now_ >= it.second.expires; });
    retry_cancels();
    expire_leases();
    reconcile_configuration();
    advance_jobs();
    advance_tasks();
    advance_reservations();
    expire_offers();
    schedule();
}

auto shard_engine::implementation::schedule() -> void
{
    team_uses_ = team_uses();
    unplaceable_needs_.clear();
    remaining_starts_ = settings_.starts_per_tick;
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
    usable_workers_.reset();
}

auto shard_engine::implementation::may_schedule(job const& known) const -> bool
{
    // Most jobs are running, so the phase is tested before any lookup.
    if (known.phase != job_phase::queued || known.binding ||
        known.cancel_requested || has_pending_change(known.spec.id))
    {
        return false;
    }
    auto const entry = home_entries_.find(known.spec.id);
    return entry == home_entries_.end() || !entry->second.offer;
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
        auto const use = team_uses_.find(team);
        auto const share = !quota ? share_without_quota
                           : use == team_uses_.end()
                               ? 0.0
                               : largest_share(use->second, *quota);
        return std::pair{share, first.submit_order};
    };
    // A placement changes only the rank of its own team. Submit orders are
    // unique within a shard, so no two teams have the same rank.
    using team_queue = std::deque<job const*>;
    auto ranked = std::map<std::pair<double, std::uint64_t>, team_queue>{};
    for (auto& [team, jobs] : teams)
    {
        auto const position = rank(team, *jobs.front());
        ranked.emplace(position, std::move(jobs));
    }
    while (!ranked.empty() && remaining_starts_ > 0)
    {
        auto jobs = std::move(ranked.extract(ranked.begin()).mapped());
        auto const& next = *jobs.front();
        jobs.pop_front();
        if (place_job(next))
        {
            team_uses_[next.spec.team] += next.spec.need;
            --remaining_starts_;
        }
        if (!jobs.empty())
        {
            auto const position = rank(next.spec.team, *jobs.front());
            ranked.emplace(position, std::move(jobs));
        }
    }
}

// Places the job on a worker or offers it to another shard. Returns true if one
// of them was possible.
auto shard_engine::implementation::place_job(job const& known) -> bool
{
    auto& entry = home_entries_[known.spec.id];
    auto const& need = known.spec.need;
    if (!check_possible(known))
    {
        return false;
    }
    if (!within_quota(known.spec))
    {
        entry.wait_reason = "the team's quota is used up";
        return false;
    }
    auto const evicts = may_evict(known.spec);
    auto const is_known_unplaceable = std::any_of(
        unplaceable_needs_.begin(), unplaceable_needs_.end(),
        [&need](auto const& it) { return it.fits_in(need); });
    if (!evicts && is_known_unplaceable)
    {
        entry.wait_reason = "no worker has enough free capacity";
        return false;
    }
    if (place_locally(known, entry.failed_on) ||
        offer_to_other_shard(known, false) ||
        (!entry.failed_on.empty() && place_locally(known, {})))
    {
        return true;
    }
    entry.wait_reason = "no worker has enough free capacity";
    if (evicts)
    {
        if (!is_evicting_elsewhere(entry) && evict_for(known.spec))
        {
            entry.wait_reason = "evictions are freeing capacity for the job";
            return false;
        }
        return offer_to_other_shard(known, true);
    }
    if (entry.next_offer_at.empty() &&
        unplaceable_needs_.size() < max_unplaceable_needs)
    {
        unplaceable_needs_.push_back(need);
    }
    return false;
}

auto shard_engine::implementation::place_locally(
    job const& known, std::set<core::worker_id> const& avoided) -> bool
{
    if (!usable_workers_)
    {
        usable_workers_ = usable_workers();
    }
    auto const worker = choose_worker(known.spec, avoided, *usable_workers_);
    if (!worker)
    {
        return false;
    }
    auto value = reservation{};
    value.is_home_job = true;
    value.task.spec = known.spec;
    value.task.attempt = known.last_attempt.next();
    value.task.home = state_.shard();
    value.task.worker = *worker;
    value.task.checkpoint = known.checkpoint;
    value.task.progress = known.progress;
    auto const host = host_task{value.task};
    // A task with this attempt number may still be hosted here until it is
    // forgotten.
    if (has_pending_change(attempt_key{known.spec.id, value.task.attempt}) ||
        !state_.validate(host))
    {
        return false;
    }
    reserve(std::move(value));
    add_placed_task(known.spec, *worker);
    enqueue(
        {bind_attempt{
             known.spec.id,
             {host.task.attempt, state_.shard(), host.task.worker}},
         host});
    return true;
}

// Accounts for the new task in later placements of this tick.
auto shard_engine::implementation::add_placed_task(
    job_spec const& spec, core::worker_id const& worker) -> void
{
    for (auto& it : *usable_workers_)
    {
        if (it.worker == worker)
        {
            add_task(spec, it);
        }
    }
}

// Returns true if another shard is evicting tasks for the job. If several
// shards did so, tasks would be evicted needlessly.
auto shard_engine::implementation::is_evicting_elsewhere(
    home_entry const& entry) const -> bool
{
    return entry.evicting_host && now_ < entry.evicting_until;
}

// Offers the job to one other shard. With @p allow_eviction, shards that would
// have to evict tasks for it are considered too.
auto shard_engine::implementation::offer_to_other_shard(
    job const& known, bool allow_eviction) -> bool
{
    auto& entry = home_entries_[known.spec.id];
    auto const& need = known.spec.need;
    std::erase_if(
        entry.next_offer_at,
        [this](auto const& it) { return now_ >= it.second; });
    auto const is_host_fixed = is_evicting_elsewhere(entry);
    auto const id_hash = core::stable_hash(known.spec.id.value);
    auto* best = static_cast<shard_summary*>(nullptr);
    auto best_rank = std::uint64_t{0};
    for (auto& it : view_.others)
    {
        auto const may_fit =
            allow_eviction
                ? need.fits_in(it.largest_capacity)
                : std::any_of(
                      it.largest_free.begin(), it.largest_free.end(),
                      [&need](auto const& free) { return need.fits_in(free); });
        auto const rank = core::combine_hash(id_hash, it.shard.value);
        if (may_fit && it.shard != state_.shard() &&
            !entry.next_offer_at.contains(it.shard) &&
            (!is_host_fixed || it.shard == *entry.evicting_host) &&
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
        open_offer{attempt, best->shard, now_ + settings_.reservation_validity};
    outbox_.emplace_back(offer_request{
        state_.shard(), best->shard, attempt_key{known.spec.id, attempt},
        known.spec, known.checkpoint, known.progress});
    emit_event(
        "offer_sent", known.spec.id, {},
        fmt::format("{} host={}", attempt_text(attempt), best->shard.value));
    return true;
}

// Returns the tasks of @p worker that may be evicted, ordered by the progress
// that would be lost, least first.
auto shard_engine::implementation::evictable_tasks(
    core::worker_id const& worker) const -> std::vector<hosted_task const*>
{
    auto result = std::vector<hosted_task const*>{};
    auto const loss = [this](hosted_task const* it)
    {
        auto const& entry = task_entries_.at({it->spec.id, it->attempt});
        return entry.progress -
               std::max(entry.checkpoint_progress, it->progress);
    };
    auto const hosted = tasks_by_worker_.find(worker);
    if (hosted == tasks_by_worker_.end())
    {
        return result;
    }
    for (auto const& key : hosted->second)
    {
        auto const& task = *state_.find_task(key);
        auto const& entry = task_entries_.at(key);
        if (task.spec.kind == job_kind::batch && task.spec.interruptible &&
            task.spec.priority == priority_class::batch && !task.outcome &&
            entry.reported && entry.requested_stop == stop_kind::none &&
            !has_pending_change(key))
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
            settings_.drain.services_evict);
}

// Holds capacity for a job that will be placed soon; evicts tasks if no worker
// has enough.
auto shard_engine::implementation::hold_capacity(job_spec const& spec) -> void
{
    if (capacity_holds_.contains(spec.id))
    {
        return;
    }
    if (!usable_workers_)
    {
        usable_workers_ = usable_workers();
    }
    if (auto const worker = choose_worker(spec, {}, *usable_workers_))
    {
        capacity_holds_[spec.id] =
            capacity_hold{*worker, spec.need, now_ + settings_.eviction_hold};
        return;
    }
    evict_for(spec);
}

// Requests evictions on the worker that needs the fewest of them. Returns true
// if capacity for @p spec is held or being freed.
auto shard_engine::implementation::evict_for(job_spec const& spec) -> bool
{
    if (capacity_holds_.contains(spec.id))
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
        auto free = free_capacity(name, worker.info.capacity, spec.id);
        auto chosen = std::vector<hosted_task const*>{};
        for (auto const* it : evictable_tasks(name))
        {
            if (spec.need.fits_in(free))
            {
                break;
            }
            free += it->spec.need;
            chosen.push_back(it);
        }
        if (spec.need.fits_in(free) && !chosen.empty() &&
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
    capacity_holds_[spec.id] =
        capacity_hold{worker, spec.need, now_ + settings_.eviction_hold};
    for (auto const* it : best)
    {
        emit_event(
            "eviction_requested", it->spec.id, worker,
            fmt::format("{} for={}", attempt_text(it->attempt), spec.id.value));
        request_stop({it->spec.id, it->attempt}, stop_kind::checkpoint);
    }
    return true;
}

// Returns false if the job needs more than any known worker has. This is
// concluded only while the summaries of all shards are known.
auto shard_engine::implementation::check_possible(job const& known) -> bool
{
    auto& entry = home_entries_[known.spec.id];
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
        entry.wait_reason = fmt::format(
            "no worker has {} milli-cores, {} MB and {} accelerators; reduce "
            "the needs",
            need.cpu_milli, need.memory_mb, need.accelerators);
    }
    if (is_impossible && !entry.impossible)
    {
        emit_event("job_impossible", known.spec.id, {}, entry.wait_reason);
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
        auto const entry = home_entries_.find(id);
        return entry != home_entries_.end() && entry->second.offer;
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
        if (value.is_home_job)
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
    auto const use = team_uses_.find(spec.team);
    return !quota ||
           ((use == team_uses_.end() ? core::resources{} : use->second) +
            spec.need)
               .fits_in(*quota);
}

} // namespace godwitcleat::state
