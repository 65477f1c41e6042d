/** @file job_loader_base.cpp Reads the stored jobs for a new owner. */
#include "coordination/job_loader_base.hpp"

#include "coordination/guarded_internal.hpp"
#include "protocol/protocol.hpp"

#include <fmt/format.h>

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace godwitcleat::coordination
{

namespace
{

// Parts of more digits are not split: that many hold a job each at most.
constexpr auto max_digits = std::size_t{6};
// The first failure may be that of another part beside it.
constexpr auto failures_before_split = 2;

enum class part_kind
{
    job,
    progress
};

/** Keys that are read in one call. */
struct load_part
{
    part_kind kind = part_kind::job;
    std::string digits; ///< First ones of the ids.
    int failures = 0;
};

auto with_more_digits(load_part const& whole) -> std::deque<load_part>
{
    auto result = std::deque<load_part>{};
    for (auto const digit : job_id_digits)
    {
        result.push_back({whole.kind, whole.digits + digit, 0});
    }
    return result;
}

} // namespace

struct job_loader::implementation : guarded_base<job_loader::implementation>
{
    implementation(
        store& source, transport::reactor& event_loop, core::logger lines,
        job_loader_settings figures, handler on_done)
        : target(source)
        , loop(event_loop)
        , log(std::move(lines))
        , settings(std::move(figures))
        , term_key(settings.key_prefix + "term")
        , on_loaded(std::move(on_done))
    {
    }

    auto begin() -> void;
    auto read_parts() -> void;
    /** Returns the part to read next, if any; needs the lock. */
    auto take_part() -> std::optional<load_part>;
    auto read(load_part part) -> void;
    auto answered(load_part part, std::optional<store_range> const& answer)
        -> void;
    /** Returns false if a value holds no bytes. */
    auto add(load_part const& part, store_range const& answer) -> bool;
    auto failed(load_part part) -> void;
    auto probe() -> void;
    auto read_workers() -> void;
    auto check_term() -> void;
    auto finish() -> void;
    /** Reads a key that exists once; repeats a read that fails. */
    template <class Take>
    auto read_key(std::string const& key, Take take) -> void;
    [[nodiscard]] auto prefix_of(part_kind kind) const -> std::string
    {
        return settings.key_prefix +
               (kind == part_kind::job ? "job/" : "progress/");
    }

    store& target;
    transport::reactor& loop;
    core::logger log;
    job_loader_settings settings;
    std::string term_key;
    handler on_loaded;

    std::mutex mutex;
    std::int64_t term_revision = 0; ///< Of the term key at the beginning.
    std::deque<load_part> waiting;
    std::size_t open = 0; ///< Parts that are being read.
    std::size_t at_once = 1;
    bool pausing = false; ///< After a failure.
    bool parts_read = false;
    std::map<std::string, state::plan_record> jobs;
    std::map<std::string, state::plan_progress> progress;
    state::dispatch_snapshot snapshot;
    transport::timer_handle timer;
};

template <class Take>
auto job_loader::implementation::read_key(std::string const& key, Take take)
    -> void
{
    target.range(
        key, "", 1,
        guarded(
            [key, take](auto& self, auto answer)
            {
                if (answer)
                {
                    return take(self, std::move(*answer));
                }
                self.timer = self.later(
                    self.loop, self.settings.retry,
                    [key, take](auto& it) { it.read_key(key, take); });
            }));
}

auto job_loader::implementation::begin() -> void
{
    read_key(
        term_key,
        [](auto& self, auto term)
        {
            {
                auto const lock = std::scoped_lock{self.mutex};
                self.term_revision = term.entries.empty()
                                         ? 0
                                         : term.entries.front().modify_revision;
                self.at_once = self.settings.parts_at_once;
                self.parts_read = false;
                self.jobs.clear();
                self.progress.clear();
                self.snapshot = {};
                self.waiting = with_more_digits({part_kind::job, {}, 0});
                for (auto& it : with_more_digits({part_kind::progress, {}, 0}))
                {
                    self.waiting.push_back(std::move(it));
                }
            }
            self.read_parts();
        });
}

auto job_loader::implementation::take_part() -> std::optional<load_part>
{
    if (pausing || open >= at_once || waiting.empty())
    {
        return std::nullopt;
    }
    if (waiting.front().failures >= failures_before_split &&
        waiting.front().digits.size() < max_digits)
    {
        auto parts = with_more_digits(waiting.front());
        waiting.pop_front();
        waiting.insert(waiting.begin(), parts.begin(), parts.end());
    }
    auto result = std::move(waiting.front());
    waiting.pop_front();
    ++open;
    return result;
}

auto job_loader::implementation::read_parts() -> void
{
    auto done = false;
    for (;;)
    {
        auto part = std::optional<load_part>{};
        {
            auto const lock = std::scoped_lock{mutex};
            part = take_part();
            if (!part)
            {
                done = !pausing && open == 0 && waiting.empty() &&
                       !std::exchange(parts_read, true);
                break;
            }
        }
        read(std::move(*part));
    }
    if (done)
    {
        read_workers();
    }
}

auto job_loader::implementation::read(load_part part) -> void
{
    auto const key = prefix_of(part.kind) + part.digits;
    target.range(
        key, prefix_end(key), 0,
        guarded([part = std::move(part)](auto& self, auto answer)
                { self.answered(part, answer); }));
}

auto job_loader::implementation::answered(
    load_part part, std::optional<store_range> const& answer) -> void
{
    if (!answer || !add(part, *answer))
    {
        return failed(std::move(part));
    }
    {
        auto const lock = std::scoped_lock{mutex};
        --open;
    }
    read_parts();
}

auto job_loader::implementation::add(
    load_part const& part, store_range const& answer) -> bool
{
    auto const prefix = prefix_of(part.kind);
    for (auto const& it : answer.entries)
    {
        // A damaged answer must not lose a job.
        if (!it.readable)
        {
            core::fail(
                core::error_kind::protocol,
                fmt::format("the value of {} is no base64", it.key));
            return false;
        }
        auto const lock = std::scoped_lock{mutex};
        auto const id = it.key.substr(prefix.size());
        auto const is_job = part.kind == part_kind::job;
        auto record = is_job ? protocol::decode<state::plan_record>(it.value)
                             : std::nullopt;
        auto value = is_job ? std::nullopt
                            : protocol::decode<state::plan_progress>(it.value);
        if (record)
        {
            jobs.insert_or_assign(id, std::move(*record));
        }
        else if (value)
        {
            progress.insert_or_assign(id, std::move(*value));
        }
        else
        {
            log.error(
                is_job ? "A stored job cannot be read."
                       : "Stored progress cannot be read.",
                {{"key", it.key}});
        }
    }
    return true;
}

auto job_loader::implementation::failed(load_part part) -> void
{
    log.warn(
        "Jobs were not loaded; reading again.",
        {{"part", prefix_of(part.kind) + part.digits},
         {"reason", core::last_reason().message}});
    {
        auto const lock = std::scoped_lock{mutex};
        --open;
        ++part.failures;
        waiting.push_front(std::move(part));
        at_once = 1;
        if (std::exchange(pausing, true))
        {
            return;
        }
    }
    timer = later(loop, settings.retry, [](auto& self) { self.probe(); });
}

// While the store does not answer at all, smaller parts do not help.
auto job_loader::implementation::probe() -> void
{
    read_key(
        term_key,
        [](auto& self, auto const& /*term*/)
        {
            {
                auto const lock = std::scoped_lock{self.mutex};
                self.pausing = false;
            }
            self.read_parts();
        });
}

auto job_loader::implementation::read_workers() -> void
{
    read_key(
        settings.key_prefix + "workers",
        [](auto& self, auto answer)
        {
            if (!answer.entries.empty())
            {
                auto const& entry = answer.entries.front();
                auto const written_by =
                    self.target.reached_by(entry.modify_revision);
                auto known =
                    protocol::decode<std::vector<state::stored_worker>>(
                        entry.value);
                if (!known)
                {
                    self.log.error("Stored workers cannot be read.");
                }
                auto const lock = std::scoped_lock{self.mutex};
                self.snapshot.workers_written_by = written_by;
                self.snapshot.workers_readable = known.has_value();
                self.snapshot.workers =
                    known.value_or(std::vector<state::stored_worker>{});
            }
            self.check_term();
        });
}

// Each write of an owner changes the term key.
auto job_loader::implementation::check_term() -> void
{
    read_key(
        term_key,
        [](auto& self, auto term)
        {
            auto const revision =
                term.entries.empty() ? 0 : term.entries.front().modify_revision;
            auto unchanged = false;
            {
                auto const lock = std::scoped_lock{self.mutex};
                unchanged = revision == self.term_revision;
            }
            if (unchanged)
            {
                return self.finish();
            }
            self.log.warn("Jobs have changed meanwhile; reading again.");
            self.begin();
        });
}

auto job_loader::implementation::finish() -> void
{
    auto result = state::dispatch_snapshot{};
    {
        auto const lock = std::scoped_lock{mutex};
        result = std::exchange(snapshot, {});
        for (auto& [id, record] : jobs)
        {
            result.jobs.push_back(std::move(record));
        }
        for (auto& [id, value] : progress)
        {
            result.progress.emplace_back(core::job_id{id}, std::move(value));
        }
        jobs.clear();
        progress.clear();
    }
    on_loaded(std::move(result));
}

job_loader::job_loader(
    store& target, transport::reactor& loop, core::logger log,
    job_loader_settings settings, handler on_loaded)
    : implementation_(std::make_shared<implementation>(
          target, loop, std::move(log), std::move(settings),
          std::move(on_loaded)))
{
}

job_loader::~job_loader()
{
    implementation_->closed = true;
}

auto job_loader::start() -> void
{
    implementation_->begin();
}

} // namespace godwitcleat::coordination
