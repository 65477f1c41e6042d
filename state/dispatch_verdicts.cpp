/** @file dispatch_verdicts.cpp Verdicts on crashes of workers. */
#include "state/dispatch_verdicts_internal.hpp"

#include <algorithm>

namespace godwitcleat::state
{

namespace
{

// A crash of fewer workers at one moment is not common.
constexpr auto min_common_crashes = std::size_t{3};
// Workers that crash at one moment are heard of within this time.
constexpr auto common_crash_time = std::chrono::milliseconds{2500};
// After a silence that outlasts the leases they return one after the other.
constexpr auto long_silence = std::chrono::seconds{6};
constexpr auto common_return_time = std::chrono::seconds{10};

// Workers of a service, in one data centre or in all others.
struct crash_group
{
    std::size_t crashed = 0;
    std::size_t sound = 0;   // At work before and after.
    std::size_t unknown = 0; // Not heard of since.
    std::size_t away = 0;    // Unknown and not listed; may never return.

    [[nodiscard]] auto has_mostly(std::size_t count) const -> bool
    {
        return 2 * count > crashed + sound + unknown;
    }
};

} // namespace

crash_judge::crash_judge(
    worker_map const& workers, former_map const& former,
    std::deque<worker_crash> const& crashes)
    : crashes_(crashes)
{
    for (auto const& it : crashes_)
    {
        crash_groups_.push_back(number_of(it.service, it.data_centre));
        if (!it.open.empty())
        {
            rows_.try_emplace(it.service);
        }
    }
    add_rows(workers, former);
}

auto crash_judge::number_of(
    core::service_id const& service, core::data_centre_id const& data_centre)
    -> std::uint32_t
{
    auto const next = static_cast<std::uint32_t>(groups_.size());
    return groups_.try_emplace({service, data_centre}, next).first->second;
}

auto crash_judge::add_rows(worker_map const& workers, former_map const& former)
    -> void
{
    auto crashes_of =
        std::unordered_map<std::string_view, std::vector<std::size_t>>{};
    for (auto i = std::size_t{0}; i < crashes_.size(); ++i)
    {
        crashes_of[crashes_[i].worker.value].push_back(i);
    }
    for (auto const& [id, worker] : workers)
    {
        auto const& info = worker->info;
        auto const service = rows_.find(info.service);
        if (service == rows_.end())
        {
            continue;
        }
        auto& row = service->second.emplace_back();
        row.group = number_of(info.service, info.data_centre);
        row.is_evidence = worker->in_worker_list && worker->process.has_value();
        row.is_away = !worker->in_worker_list && worker->process.has_value() &&
                      worker->possible_crash_since().has_value();
        row.known_since = worker->known_since;
        row.lost_at = worker->contact == contact_state::none
                          ? worker->lost_at.value_or(core::time_point::max())
                          : core::time_point::max();
        row.clock_at = worker->clock_at;
        auto const it = crashes_of.find(id.value);
        if (it != crashes_of.end())
        {
            row.crashes = it->second;
        }
    }
    for (auto const& [id, worker] : former)
    {
        auto const service = rows_.find(worker.service);
        if (service == rows_.end() || !worker.lost_at || workers.contains(id))
        {
            continue;
        }
        auto& row = service->second.emplace_back();
        row.group = number_of(worker.service, worker.data_centre);
        row.is_away = worker.process.has_value();
        row.lost_at = *worker.lost_at;
        row.clock_at = worker.heard_at;
    }
}

auto crash_judge::has_crash(
    worker_row const& row, worker_crash const& crash, bool announced) const
    -> bool
{
    return std::any_of(
        row.crashes.begin(), row.crashes.end(),
        [&](auto i)
        {
            auto const& it = crashes_[i];
            return it.announced == announced && it.overlaps(crash);
        });
}

auto crash_judge::judge(std::size_t index, core::time_point now) const
    -> crash_verdict
{
    auto const& crash = crashes_[index];
    auto here = crash_group{};
    auto elsewhere = crash_group{};
    for (auto const& row : rows_.at(crash.service))
    {
        auto& group = row.group == crash_groups_[index] ? here : elsewhere;
        if (has_crash(row, crash, false))
        {
            ++group.crashed;
            continue;
        }
        if (has_crash(row, crash, true))
        {
            continue;
        }
        auto const was_away =
            row.known_since > crash.heard_at || row.lost_at < crash.alive_at;
        auto const was_heard = row.clock_at > crash.heard_at;
        if (row.is_away && !was_away && !was_heard)
        {
            ++group.away;
        }
        if (!row.is_evidence || was_away)
        {
            continue;
        }
        // It may have crashed before this owner knew its process. Elsewhere
        // that is rare: many data centres crash, and return, at one moment.
        auto const may_have_crashed =
            row.known_since > crash.alive_at && &group == &here;
        if (!was_heard || !may_have_crashed)
        {
            ++(was_heard ? group.sound : group.unknown);
        }
    }
    // Tasks that crash workers do so in each data centre.
    auto const most_here = here.crashed + here.unknown + here.away;
    auto const possible =
        most_here >= min_common_crashes && most_here > here.sound &&
        elsewhere.has_mostly(elsewhere.sound + elsewhere.unknown);
    if (!possible)
    {
        return crash_verdict::single;
    }
    auto const complete = here.unknown + here.away + elsewhere.unknown == 0;
    auto const is_long = crash.heard_at - crash.alive_at > long_silence;
    auto const open_time = is_long ? core::duration{common_return_time}
                                   : core::duration{common_crash_time};
    if (!complete && now < crash.heard_at + open_time)
    {
        return crash_verdict::open;
    }
    auto const is_common =
        here.crashed >= min_common_crashes && here.has_mostly(here.crashed);
    return is_common ? crash_verdict::common : crash_verdict::single;
}

auto crash_judge::explains(core::job_id const& job, std::size_t index) -> bool
{
    if (common_.crashes.empty() || common_index_ != index)
    {
        count_jobs(index);
    }
    auto const it = common_.workers_by_job.find(job.value);
    return it != common_.workers_by_job.end() &&
           2 * it->second > common_.workers;
}

auto crash_judge::count_jobs(std::size_t index) -> void
{
    common_index_ = index;
    auto crashes = std::vector<std::size_t>{};
    for (auto i = std::size_t{0}; i < crashes_.size(); ++i)
    {
        if (!crashes_[i].announced &&
            crash_groups_[i] == crash_groups_[index] &&
            crashes_[i].overlaps(crashes_[index]))
        {
            crashes.push_back(i);
        }
    }
    if (crashes == common_.crashes)
    {
        return; // Of one moment with the crash before.
    }
    // One that has crashed twice counts once.
    auto jobs_of =
        std::unordered_map<std::string_view, std::set<std::string_view>>{};
    for (auto const i : crashes)
    {
        auto& jobs = jobs_of[crashes_[i].worker.value];
        for (auto const& job : crashes_[i].jobs)
        {
            jobs.insert(job.value);
        }
    }
    common_.workers = jobs_of.size();
    common_.workers_by_job.clear();
    for (auto const& [worker, jobs] : jobs_of)
    {
        for (auto const job : jobs)
        {
            ++common_.workers_by_job[job];
        }
    }
    common_.crashes = std::move(crashes);
}

} // namespace godwitcleat::state
