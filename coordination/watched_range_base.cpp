/** @file watched_range_base.cpp Keeps a copy of a range of the store. */
#include "coordination/watched_range_base.hpp"

#include "coordination/guarded_internal.hpp"

#include <mutex>
#include <utility>

namespace godwitcleat::coordination
{

struct watched_range::implementation
    : guarded_base<watched_range::implementation>
{
    implementation(
        store& target, transport::reactor& event_loop, core::clock reader,
        core::logger lines, std::string range_prefix,
        watched_range_settings figures, change_hook hook)
        : source(target)
        , loop(event_loop)
        , clock(std::move(reader))
        , log(std::move(lines))
        , prefix(std::move(range_prefix))
        , settings(figures)
        , on_change(std::move(hook))
    {
    }

    auto read() -> void;
    auto watch() -> void;
    auto take_range(std::optional<store_range> answer, core::time_point sent)
        -> void;
    auto
    take_changes(std::optional<store_changes> answer, core::time_point sent)
        -> void;
    auto confirm(core::time_point sent) -> void;
    auto retry() -> void;
    auto report_loss(std::string_view call) -> void;
    auto report_return() -> void;

    store& source;
    transport::reactor& loop;
    core::clock clock;
    core::logger log;
    std::string prefix;
    watched_range_settings settings;
    change_hook on_change;

    mutable std::mutex mutex;
    bool started = false;
    bool reachable = true;
    range_entries entries;
    std::int64_t revision = 0;
    std::optional<core::time_point> confirmed;
    core::time_point read_at;
    transport::timer_handle timer;
};

auto watched_range::implementation::read() -> void
{
    auto const sent = clock();
    source.range(
        prefix, prefix_end(prefix), 0,
        guarded([sent](auto& self, auto answer)
                { self.take_range(std::move(answer), sent); }));
}

auto watched_range::implementation::take_range(
    std::optional<store_range> answer, core::time_point sent) -> void
{
    if (!answer)
    {
        report_loss("read");
        return retry();
    }
    auto changed = false;
    {
        auto const lock = std::scoped_lock{mutex};
        auto fresh = range_entries{};
        for (auto& it : answer->entries)
        {
            auto key = it.key;
            fresh.emplace(std::move(key), std::move(it));
        }
        // Pages are no snapshot; a watch from the first page's revision on
        // brings what changed between them.
        changed = !confirmed || fresh.size() != entries.size();
        for (auto const& [key, it] : fresh)
        {
            auto const old = entries.find(key);
            changed = changed || old == entries.end() ||
                      old->second.modify_revision != it.modify_revision;
        }
        entries = std::move(fresh);
        revision = answer->revision;
        read_at = sent;
    }
    report_return();
    if (changed)
    {
        on_change(entries);
    }
    confirm(sent);
    watch();
}

auto watched_range::implementation::watch() -> void
{
    auto const sent = clock();
    if (sent - read_at >= settings.refresh)
    {
        return read();
    }
    source.watch(
        prefix, revision, settings.wait,
        guarded([sent](auto& self, auto answer)
                { self.take_changes(std::move(answer), sent); }));
}

auto watched_range::implementation::take_changes(
    std::optional<store_changes> answer, core::time_point sent) -> void
{
    if (!answer)
    {
        if (core::last_reason().kind == core::error_kind::not_found)
        {
            return read();
        }
        report_loss("watch");
        return retry();
    }
    auto changed = false;
    {
        auto const lock = std::scoped_lock{mutex};
        for (auto& it : answer->written)
        {
            auto& entry = entries[it.key];
            if (it.modify_revision > entry.modify_revision)
            {
                entry = std::move(it);
                changed = true;
            }
        }
        for (auto const& it : answer->removed)
        {
            changed = entries.erase(it) > 0 || changed;
        }
        revision = std::max(revision, answer->revision);
    }
    report_return();
    if (changed)
    {
        on_change(entries);
    }
    if (answer->may_be_incomplete)
    {
        return watch();
    }
    confirm(sent);
    if (settings.gap > core::duration{} && !answer->written.empty())
    {
        timer = later(loop, settings.gap, [](auto& self) { self.watch(); });
        return;
    }
    watch();
}

// Changes are handed on first, so that nobody takes an older copy as confirmed.
auto watched_range::implementation::confirm(core::time_point sent) -> void
{
    auto const lock = std::scoped_lock{mutex};
    confirmed = sent;
}

auto watched_range::implementation::retry() -> void
{
    // A watch that failed may have missed changes, so the range is read.
    timer = later(loop, settings.retry, [](auto& self) { self.read(); });
}

auto watched_range::implementation::report_loss(std::string_view call) -> void
{
    if (std::exchange(reachable, false))
    {
        log.warn(
            "Store does not answer.",
            {{"prefix", prefix},
             {"call", call},
             {"reason", core::last_reason().message}});
    }
}

auto watched_range::implementation::report_return() -> void
{
    if (!std::exchange(reachable, true))
    {
        log.info("Store answers again.", {{"prefix", prefix}});
    }
}

watched_range::watched_range(
    store& target, transport::reactor& loop, core::clock clock,
    core::logger log, std::string prefix, watched_range_settings settings,
    change_hook on_change)
    : implementation_(std::make_shared<implementation>(
          target, loop, std::move(clock), std::move(log), std::move(prefix),
          settings, std::move(on_change)))
{
}

watched_range::~watched_range()
{
    implementation_->closed = true;
}

auto watched_range::start() -> void
{
    {
        auto const lock = std::scoped_lock{implementation_->mutex};
        if (std::exchange(implementation_->started, true))
        {
            return;
        }
    }
    implementation_->read();
}

auto watched_range::confirmed_at() const -> std::optional<core::time_point>
{
    auto const lock = std::scoped_lock{implementation_->mutex};
    return implementation_->confirmed;
}

} // namespace godwitcleat::coordination
