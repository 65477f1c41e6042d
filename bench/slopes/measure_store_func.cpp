/** @file measure_store_func.cpp Store calls of a cluster by kind. */
#include "bench/slopes/measure_func.hpp"
#include "bench/support/load_base.hpp"
#include "coordination/coordination.hpp"
#include "standins/support/memory_store_base.hpp"

#include <fmt/format.h>

#include <array>
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace godwitcleat::bench
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto step_length = milliseconds{100}; // The daemon's tick.
constexpr std::int64_t most_writes_per_second = 250;
constexpr std::uint32_t default_shards = 16;

constexpr auto kinds = std::array{
    standins::store_call::range, standins::store_call::commit,
    standins::store_call::grant, standins::store_call::keep_alive,
    standins::store_call::revoke};

using call_counts = std::map<standins::store_call, std::uint64_t>;

/** Ownership, configuration follower and shard logs of one instance. */
class member
{
public:
    member(
        standins::memory_store& platform, core::manual_clock& time,
        core::instance_id const& name, std::uint32_t shards)
        : platform_(platform)
        , time_(time)
        , interval_(core::duration{seconds{shards}} / most_writes_per_second)
        , config_(
              platform, time.reader(), core::null_logger(),
              coordination::msgpack_config_codec())
        , ownership_(
              platform, time.reader(), core::null_logger(), name,
              core::unique_id(), settings_for(shards),
              {[this](auto const& it)
               {
                   changed(it);
               }})
    {
    }

    auto set_live(std::vector<core::instance_id> const& all) -> void
    {
        ownership_.set_live(all);
    }

    auto leave() -> void
    {
        ownership_.leave([] {});
    }

    // With @p batch, appends it to each log whose batch interval has passed.
    auto tick(state::record_batch const* batch) -> void
    {
        config_.tick();
        ownership_.tick();
        for (auto& it : logs_)
        {
            auto& log = it.second;
            log.writer->tick();
            if (!log.recovered)
            {
                log.writer->recover([&log](auto found)
                                    { log.recovered = found.has_value(); });
            }
            else if (
                batch != nullptr && !log.writer->busy() &&
                time_.reader()() - log.last >= interval_)
            {
                write(log, *batch);
            }
        }
    }

    [[nodiscard]] auto shards() const -> std::size_t
    {
        return logs_.size();
    }

private:
    struct open_log
    {
        std::unique_ptr<coordination::shard_log> writer;
        bool recovered = false;
        core::time_point last;
    };

    static auto settings_for(std::uint32_t shards)
        -> coordination::ownership_settings
    {
        auto result = coordination::ownership_settings{};
        result.shard_count = shards;
        return result;
    }

    auto write(open_log& log, state::record_batch const& batch) -> void
    {
        log.last = time_.reader()();
        if (log.writer->snapshot_due())
        {
            log.writer->write_snapshot({}, [](auto) {});
            return;
        }
        auto it = batch;
        it.unique_id = core::unique_id();
        log.writer->append(it, config_.current().head_revision, [](auto) {});
    }

    auto changed(coordination::shard_ownership const& it) -> void
    {
        if (it.state == coordination::ownership_state::lost)
        {
            logs_.erase(it.shard);
            return;
        }
        if (logs_.contains(it.shard))
        {
            return;
        }
        logs_[it.shard].writer = std::make_unique<coordination::shard_log>(
            platform_, time_.reader(), core::null_logger(), it.shard,
            it.epoch_revision, coordination::msgpack_shard_log_codec());
    }

    standins::memory_store& platform_;
    core::manual_clock& time_;
    core::duration interval_;
    std::map<core::shard_id, open_log> logs_;
    coordination::config_follower config_;
    coordination::ownership ownership_;
};

/** Instances that share one store and one manual clock. */
class cluster
{
public:
    cluster(std::size_t instances, std::uint32_t shards)
        : shards_(shards)
    {
        for (auto n = std::size_t{0}; n < instances; ++n)
        {
            names_.emplace_back(fmt::format("entry-{:02}", n));
        }
        members_.resize(instances);
        for (auto n = std::size_t{0}; n < instances; ++n)
        {
            start(n);
        }
    }

    auto start(std::size_t index) -> void
    {
        members_[index] =
            std::make_unique<member>(store_, time_, names_[index], shards_);
        members_[index]->set_live(names_);
    }

    auto leave(std::size_t index) -> void
    {
        members_[index]->leave();
    }

    /** Ends an instance without notice; the others know it at once. */
    auto kill(std::size_t index) -> void
    {
        members_[index].reset();
        auto live = names_;
        live.erase(live.begin() + static_cast<std::ptrdiff_t>(index));
        for (auto const& it : members_)
        {
            if (it)
            {
                it->set_live(live);
            }
        }
    }

    auto run(core::duration length, state::record_batch const* batch = nullptr)
        -> void
    {
        for (auto done = core::duration{}; done < length; done += step_length)
        {
            time_.advance(step_length);
            for (auto const& it : members_)
            {
                if (it)
                {
                    it->tick(batch);
                }
            }
        }
    }

    [[nodiscard]] auto counts() const -> call_counts
    {
        auto result = call_counts{};
        for (auto const kind : kinds)
        {
            result[kind] = store_.calls(kind);
        }
        return result;
    }

    [[nodiscard]] auto instances() const -> std::size_t
    {
        return members_.size();
    }

    /** Returns the number of shards that are served. */
    [[nodiscard]] auto served() const -> std::size_t
    {
        auto result = std::size_t{0};
        for (auto const& it : members_)
        {
            result += it ? it->shards() : 0;
        }
        return result;
    }

private:
    std::uint32_t shards_;
    core::manual_clock time_;
    standins::memory_store store_{time_.reader()};
    std::vector<core::instance_id> names_;
    std::vector<std::unique_ptr<member>> members_;
};

// What happens while calls are counted.
enum class phase
{
    idle,       // Nothing is written.
    start_peak, // Every shard commits as often as its interval allows.
    restart     // Instances restart one after the other, each 10 s, at the
                // peak.
};

constexpr auto settle_time = seconds{30};
constexpr auto count_time = seconds{60};
constexpr auto restart_interval = seconds{10};
constexpr auto leave_time = seconds{2};

auto restart_all(cluster& all, state::record_batch const& batch)
    -> core::duration
{
    for (auto n = std::size_t{0}; n < all.instances(); ++n)
    {
        all.leave(n);
        all.run(leave_time, &batch);
        all.start(n);
        all.run(restart_interval - leave_time, &batch);
    }
    return restart_interval * static_cast<std::int64_t>(all.instances());
}

// Returns the calls per second of each kind.
auto rates(phase what, std::size_t instances, std::uint32_t shards)
    -> std::map<standins::store_call, double>
{
    auto const peak_starts = sample_starts(
        1'300 / static_cast<std::size_t>(most_writes_per_second) + 1);
    auto all = cluster{instances, shards};
    all.run(settle_time);
    auto const before = all.counts();
    auto length = core::duration{count_time};
    if (what == phase::restart)
    {
        length = restart_all(all, peak_starts);
    }
    else
    {
        all.run(length, what == phase::start_peak ? &peak_starts : nullptr);
    }
    auto result = std::map<standins::store_call, double>{};
    for (auto const& [kind, n] : all.counts())
    {
        result[kind] = static_cast<double>(n - before.at(kind)) /
                       std::chrono::duration<double>{length}.count();
    }
    return result;
}

// Returns the seconds until all shards have an owner again after an instance
// ended without notice, @p delay after the cluster had settled.
auto take_over_time(core::duration delay) -> double
{
    constexpr std::size_t instances = 7;
    constexpr auto longest = seconds{60};
    auto all = cluster{instances, default_shards};
    all.run(settle_time + delay);
    all.kill(0);
    auto passed = core::duration{};
    while (all.served() < default_shards && passed < longest)
    {
        all.run(step_length);
        passed += step_length;
    }
    return std::chrono::duration<double>{passed}.count();
}

auto add_series(
    std::vector<series>& all, phase what, std::string const& name,
    std::string const& per,
    std::vector<std::pair<std::size_t, std::uint32_t>> const& at) -> void
{
    auto by_kind = std::map<standins::store_call, series>{};
    for (auto const& [instances, shards] : at)
    {
        auto const size = static_cast<double>(
            per == "instance" ? instances : std::size_t{shards});
        for (auto const& [kind, rate] : rates(what, instances, shards))
        {
            auto& it = by_kind[kind];
            it.what = fmt::format("{} {}", name, to_string(kind));
            it.per = per;
            it.unit = "calls/s";
            it.points.push_back({size, rate});
        }
    }
    for (auto& [kind, it] : by_kind)
    {
        all.push_back(std::move(it));
    }
}

} // namespace

auto measure_store() -> std::vector<series>
{
    auto result = std::vector<series>{};
    auto const phases = std::array{
        std::pair{phase::idle, "idle"},
        std::pair{phase::start_peak, "start peak"},
        std::pair{phase::restart, "restart of all"}};
    for (auto const& [what, name] : phases)
    {
        add_series(
            result, what, std::string{name} + ", 16 shards:", "instance",
            {{4, default_shards}, {7, default_shards}, {16, default_shards}});
        add_series(
            result, what, std::string{name} + ", 7 instances:", "shard",
            {{7, 8}, {7, default_shards}, {7, 64}});
    }
    auto take_over = series{"owner again after a kill", "ms of delay", "s", {}};
    for (auto delay = milliseconds{0}; delay < seconds{2};
         delay += milliseconds{400})
    {
        take_over.points.push_back(
            {static_cast<double>(delay.count()), take_over_time(delay)});
    }
    result.push_back(std::move(take_over));
    return result;
}

} // namespace godwitcleat::bench
