/** @file worker_base.cpp Simulated worker without I/O. */
#include "standins/support/worker_base.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

namespace godwitcleat::standins
{

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

namespace
{

constexpr double ns_per_ms = 1e6;

// Heartbeats that may wait for a reply; older ones count as lost.
constexpr std::size_t open_heartbeats = 64;

// Keeps the durations computed from foreign input far from overflow.
constexpr std::int64_t longest_ms = 1'000'000'000'000;

constexpr std::string_view checkpoint_prefix = "progress=";

auto limited(std::int64_t value) -> milliseconds
{
    return milliseconds{std::clamp<std::int64_t>(value, 0, longest_ms)};
}

auto parse_number(std::string_view text) -> std::optional<std::int64_t>
{
    auto value = std::int64_t{0};
    auto const* const end = text.data() + text.size();
    auto const [rest, status] = std::from_chars(text.data(), end, value);
    if (status != std::errc{} || rest != end || value < 0 || value > longest_ms)
    {
        return std::nullopt;
    }
    return value;
}

// Returns the next word of @p text and removes it.
auto take_word(std::string_view& text) -> std::string_view
{
    constexpr std::string_view blanks = " \t";
    text.remove_prefix(std::min(text.find_first_not_of(blanks), text.size()));
    auto const word = text.substr(0, text.find_first_of(blanks));
    text.remove_prefix(word.size());
    return word;
}

// Returns the work in a checkpoint that a worker has written; otherwise 0.
auto progress_of(std::string_view checkpoint) -> std::int64_t
{
    if (!checkpoint.starts_with(checkpoint_prefix))
    {
        return 0;
    }
    return parse_number(checkpoint.substr(checkpoint_prefix.size()))
        .value_or(0);
}

auto take_work(std::string_view& rest, task_script& script) -> bool
{
    auto const kind = take_word(rest);
    if (kind == "serve")
    {
        auto copy = rest;
        if (auto const number = parse_number(take_word(copy)))
        {
            script.serve_ms = *number;
            rest = copy;
        }
        return true;
    }
    script.work_ms = parse_number(take_word(rest));
    script.fails = kind == "fail";
    return script.work_ms && (kind == "work" || kind == "fail");
}

auto take_usage(std::string_view& rest, task_script& script) -> bool
{
    auto const name = take_word(rest);
    auto const value = parse_number(take_word(rest));
    if (name == "cpu")
    {
        script.cpu_milli = value;
    }
    else if (name == "memory")
    {
        script.memory_mb = value;
    }
    else
    {
        return name.empty();
    }
    return value.has_value();
}

} // namespace

auto to_string(worker_event_kind value) -> std::string_view
{
    switch (value)
    {
    case worker_event_kind::started: return "started";
    case worker_event_kind::finished: return "finished";
    case worker_event_kind::checkpointed: return "checkpointed";
    case worker_event_kind::stopped: return "stopped";
    case worker_event_kind::failed: return "failed";
    case worker_event_kind::lapsed: return "lapsed";
    }
    return "failed";
}

auto parse_task_script(std::string_view command) -> std::optional<task_script>
{
    auto script = task_script{};
    auto rest = command;
    auto valid = take_work(rest, script);
    while (valid && !rest.empty())
    {
        valid = take_usage(rest, script);
    }
    if (!valid)
    {
        return core::fail(
            core::error_kind::invalid_input,
            fmt::format(
                "\"{}\" is no task command; use `work MS`, `fail MS` or "
                "`serve [MS]`, then `cpu CPU_MILLI` or `memory MB`",
                command));
    }
    return script;
}

standin_worker::standin_worker(worker_settings settings, worker_hook hook)
    : settings_(std::move(settings))
    , hook_(std::move(hook))
{
}

auto standin_worker::is_active(task const& value) -> bool
{
    return value.phase == state::task_phase::running ||
           value.phase == state::task_phase::checkpointing;
}

auto standin_worker::rate(task const& value) -> double
{
    constexpr double percent = 100.0;
    // A task pauses while its checkpoint is written.
    return value.phase == state::task_phase::running
               ? static_cast<double>(value.throttle_percent) / percent /
                     value.slowdown
               : 0.0;
}

auto standin_worker::due(task const& value) const
    -> std::optional<core::time_point>
{
    if (value.phase == state::task_phase::checkpointing)
    {
        return value.checkpoint_end;
    }
    if (value.phase != state::task_phase::running || !value.script.work_ms)
    {
        return std::nullopt;
    }
    auto const left =
        static_cast<double>(*value.script.work_ms) * ns_per_ms - value.done_ns;
    if (left <= 0)
    {
        return now_;
    }
    auto const speed = rate(value);
    auto const wait = speed > 0 ? std::ceil(left / speed) : -1.0;
    // A task that is throttled to a standstill never ends.
    auto const longest =
        static_cast<double>(nanoseconds{milliseconds{longest_ms}}.count());
    if (wait < 0 || wait > longest)
    {
        return std::nullopt;
    }
    return now_ + nanoseconds{static_cast<nanoseconds::rep>(wait)};
}

auto standin_worker::next_event() const -> std::optional<core::time_point>
{
    auto result = std::optional<core::time_point>{};
    auto const consider = [&result](std::optional<core::time_point> time)
    {
        if (time && (!result || *time < *result))
        {
            result = time;
        }
    };
    for (auto const& [key, value] : tasks_)
    {
        consider(due(value));
    }
    if (lease_held_)
    {
        consider(lease_end_);
    }
    return result;
}

auto standin_worker::advance(core::time_point now) -> void
{
    if (lease_held_ && now >= *lease_end_)
    {
        run_until(*lease_end_);
        lapse();
    }
    run_until(now);
}

auto standin_worker::run_until(core::time_point time) -> void
{
    for (;;)
    {
        auto next = task_map::iterator{tasks_.end()};
        auto first = time;
        for (auto it = tasks_.begin(); it != tasks_.end(); ++it)
        {
            auto const end = due(it->second);
            if (end && *end <= first)
            {
                first = *end;
                next = it;
            }
        }
        progress_until(first);
        if (next == tasks_.end())
        {
            return;
        }
        complete(next->first, next->second);
        refresh();
    }
}

auto standin_worker::progress_until(core::time_point time) -> void
{
    if (time <= now_)
    {
        return;
    }
    auto const elapsed = static_cast<double>((time - now_).count());
    for (auto& [key, value] : tasks_)
    {
        value.done_ns += elapsed * rate(value);
    }
    now_ = time;
}

auto standin_worker::complete(state::attempt_key const& key, task& value)
    -> void
{
    if (value.phase == state::task_phase::checkpointing)
    {
        value.checkpoint_progress =
            static_cast<std::int64_t>(value.done_ns / ns_per_ms);
        value.checkpoint =
            fmt::format("{}{}", checkpoint_prefix, value.checkpoint_progress);
        tell(worker_event_kind::checkpointed, key, value);
        end(key, value, state::task_phase::stopped, worker_event_kind::stopped);
        return;
    }
    value.done_ns = std::max(
        value.done_ns, static_cast<double>(*value.script.work_ms) * ns_per_ms);
    if (value.script.fails)
    {
        end(key, value, state::task_phase::failed, worker_event_kind::failed);
        return;
    }
    end(key, value, state::task_phase::finished, worker_event_kind::finished);
}

auto standin_worker::lapse() -> void
{
    lease_held_ = false;
    for (auto& [key, value] : tasks_)
    {
        if (is_active(value))
        {
            end(key, value, state::task_phase::stopped,
                worker_event_kind::lapsed);
        }
    }
    refresh();
}

auto standin_worker::end(
    state::attempt_key const& key, task& value, state::task_phase phase,
    worker_event_kind kind) -> void
{
    ++changes_;
    tell(kind, key, value);
    value.phase = phase;
    value.endpoint.clear();
    if (phase != state::task_phase::finished)
    {
        // Work since the checkpoint is lost.
        value.done_ns =
            static_cast<double>(value.checkpoint_progress) * ns_per_ms;
    }
}

auto standin_worker::refresh() -> void
{
    for (auto& [key, value] : tasks_)
    {
        if (is_active(value) && settings_.interference)
        {
            auto neighbours = std::vector<state::job_spec const*>{};
            for (auto const& [other_key, other] : tasks_)
            {
                if (other_key != key && is_active(other))
                {
                    neighbours.push_back(&other.spec);
                }
            }
            value.slowdown =
                std::max(1.0, settings_.interference(value.spec, neighbours));
        }
        sample(value);
    }
}

auto standin_worker::sample(task& value) -> void
{
    constexpr std::int64_t percent = 100;
    auto entry = usage_sample{now_, {}, value.slowdown};
    if (is_active(value))
    {
        entry.usage.cpu_milli =
            value.script.cpu_milli.value_or(value.spec.need.cpu_milli) *
            value.throttle_percent / percent;
        entry.usage.memory_mb =
            value.script.memory_mb.value_or(value.spec.need.memory_mb);
        entry.usage.accelerators = value.spec.need.accelerators;
    }
    value.samples.push_back(entry);
    while (value.samples.size() > 1 &&
           value.samples[1].from <= now_ - settings_.usage_lag)
    {
        value.samples.pop_front();
    }
}

auto standin_worker::report(state::attempt_key const& key, task& value)
    -> state::task_report
{
    auto result = state::task_report{};
    result.key = key;
    result.phase = value.phase;
    result.progress = static_cast<std::int64_t>(value.done_ns / ns_per_ms);
    result.checkpoint = value.checkpoint;
    result.endpoint = value.endpoint;
    result.usage_age_ms =
        std::chrono::duration_cast<milliseconds>(settings_.usage_lag).count();
    auto const visible = now_ - settings_.usage_lag;
    for (auto const& it : value.samples)
    {
        if (it.from <= visible)
        {
            result.usage = it.usage;
            result.slowdown = it.slowdown;
        }
    }
    return result;
}

auto standin_worker::make_report(core::time_point now) -> state::worker_report
{
    advance(now);
    auto result = state::worker_report{};
    result.info = settings_.info;
    result.highest_epoch = highest_epoch_;
    result.boot = settings_.boot;
    result.sequence = ++sequence_;
    sent_.emplace(sequence_, now);
    if (sent_.size() > open_heartbeats)
    {
        sent_.erase(sent_.begin());
    }
    for (auto& [key, value] : tasks_)
    {
        result.tasks.push_back(report(key, value));
    }
    return result;
}

auto standin_worker::take_reply(
    std::uint64_t sequence, state::heartbeat_reply const& reply,
    core::time_point now) -> bool
{
    advance(now);
    auto const sent = sent_.find(sequence);
    // A start in a late reply could repeat a task that was forgotten since.
    if (sent == sent_.end() || sequence <= answered_)
    {
        core::fail(
            core::error_kind::conflict,
            fmt::format(
                "heartbeat {} is not open; it or a later one was answered",
                sequence));
        return false;
    }
    if (reply.owner_epoch < highest_epoch_)
    {
        core::fail(
            core::error_kind::stale_epoch,
            fmt::format(
                "the reply has epoch {}, but epoch {} was seen; ask the new "
                "owner",
                reply.owner_epoch.value, highest_epoch_.value));
        return false;
    }
    auto const sent_at = sent->second;
    answered_ = sequence;
    sent_.erase(sent_.begin(), std::next(sent));
    highest_epoch_ = reply.owner_epoch;
    interval_ = limited(reply.next_heartbeat_ms);
    auto const lease_end = sent_at + limited(reply.lease_ms);
    if (lease_end > now)
    {
        lease_end_ = lease_held_ ? std::max(*lease_end_, lease_end) : lease_end;
        lease_held_ = true;
    }
    // A later heartbeat has reported that the task does not run here, so that
    // the owner may already count the start as failed.
    auto const start_end = sequence == sequence_
                               ? sent_at + limited(reply.start_valid_ms)
                               : sent_at;
    for (auto const& it : reply.commands)
    {
        obey(it, start_end);
    }
    refresh();
    advance(now);
    return true;
}

auto standin_worker::obey(
    state::worker_command const& command, core::time_point start_end) -> void
{
    auto const it = tasks_.find(command.key);
    if (command.kind == state::worker_command_kind::start)
    {
        if (it == tasks_.end() && lease_held_ && now_ < start_end)
        {
            start(command);
        }
        return;
    }
    if (it == tasks_.end())
    {
        return;
    }
    auto& value = it->second;
    switch (command.kind)
    {
    case state::worker_command_kind::start: break;
    case state::worker_command_kind::stop:
        if (is_active(value))
        {
            end(it->first, value, state::task_phase::stopped,
                worker_event_kind::stopped);
        }
        break;
    case state::worker_command_kind::checkpoint:
        if (value.phase == state::task_phase::running)
        {
            ++changes_;
            value.phase = state::task_phase::checkpointing;
            value.checkpoint_end = now_ + settings_.checkpoint_delay;
        }
        break;
    case state::worker_command_kind::throttle:
        value.throttle_percent =
            std::clamp<std::int64_t>(command.throttle_percent, 0, 100);
        break;
    case state::worker_command_kind::forget:
        if (!is_active(value))
        {
            tasks_.erase(it);
        }
        break;
    }
}

auto standin_worker::start(state::worker_command const& command) -> void
{
    auto script = parse_task_script(command.spec.command);
    if (!script || settings_.fails_all_tasks)
    {
        script = task_script{};
        script->work_ms = 0;
        script->fails = true;
    }
    ++changes_;
    auto& value = tasks_[command.key];
    value.spec = command.spec;
    value.script = *script;
    value.checkpoint = command.checkpoint;
    value.checkpoint_progress = progress_of(command.checkpoint);
    value.done_ns = static_cast<double>(value.checkpoint_progress) * ns_per_ms;
    tell(worker_event_kind::started, command.key, value);
}

auto standin_worker::tell(
    worker_event_kind kind, state::attempt_key const& key, task const& value)
    -> void
{
    if (!hook_)
    {
        return;
    }
    hook_(
        {kind, key, settings_.info.worker, now_,
         static_cast<std::int64_t>(value.done_ns / ns_per_ms), value.spec});
}

auto standin_worker::set_endpoint(
    state::attempt_key const& key, std::string endpoint) -> void
{
    auto const it = tasks_.find(key);
    if (it != tasks_.end() && is_active(it->second))
    {
        ++changes_;
        it->second.endpoint = std::move(endpoint);
    }
}

auto standin_worker::lease_end() const -> std::optional<core::time_point>
{
    return lease_end_;
}

auto standin_worker::heartbeat_interval() const -> core::duration
{
    return interval_;
}

auto standin_worker::changes() const -> std::uint64_t
{
    return changes_;
}

auto standin_worker::highest_epoch() const -> core::epoch
{
    return highest_epoch_;
}

auto standin_worker::committed() const -> core::resources
{
    auto result = core::resources{};
    for (auto const& [key, value] : tasks_)
    {
        if (is_active(value))
        {
            result += value.spec.need;
        }
    }
    return result;
}

} // namespace godwitcleat::standins
