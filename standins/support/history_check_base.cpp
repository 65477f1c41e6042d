/** @file history_check_base.cpp Checks histories of workers and callers. */
#include "standins/support/history_check_base.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace godwitcleat::standins
{

namespace
{

using nlohmann::json;
using std::chrono::microseconds;

constexpr int first_error_status = 400;

/** One parsed line. */
struct record
{
    std::int64_t at_us = 0;
    json value;
    std::string line;
};

/** All that is known about one request of a caller. */
struct call
{
    record invoked;
    std::optional<record> ended;
};

/** Marks of a planned stop. */
struct stop_window
{
    record begin;
    record end;
};

auto text_of(record const& from, char const* key) -> std::string
{
    return from.value.at(key).get<std::string>();
}

auto has(record const& from, std::string_view type, std::string_view event)
    -> bool
{
    return from.value.at("type") == type && from.value.at("event") == event;
}

auto is_of(record const& from, std::string_view type) -> bool
{
    return from.value.at("type") == type;
}

auto resources_of(record const& from) -> core::resources
{
    return {
        from.value.at("cpu_milli").get<std::int64_t>(),
        from.value.at("memory_mb").get<std::int64_t>(),
        from.value.at("accelerators").get<std::int64_t>()};
}

// Sorts by time; lines of one file with equal times keep their order.
auto parse(std::vector<std::string> const& lines) -> std::vector<record>
{
    auto result = std::vector<record>{};
    for (auto const& it : lines)
    {
        auto entry = record{0, json::parse(it), it};
        entry.at_us = entry.value.at("at_us").get<std::int64_t>();
        result.push_back(std::move(entry));
    }
    std::stable_sort(
        result.begin(), result.end(),
        [](record const& left, record const& right)
        { return left.at_us < right.at_us; });
    return result;
}

/** Converts the lines of workers into the events of the task checker. */
class task_reader
{
public:
    auto read(record const& from) -> void
    {
        if (is_of(from, "worker"))
        {
            // A killed process records no end of its tasks.
            end_all(from);
            if (has(from, "worker", "started"))
            {
                history_.capacities[worker_of(from)] = resources_of(from);
                data_centres_[worker_of(from)] =
                    core::data_centre_id{text_of(from, "data_centre")};
            }
        }
        else if (is_of(from, "data_centre"))
        {
            auto event = task_event{};
            event.at = core::time_point{microseconds{from.at_us}};
            event.kind = has(from, "data_centre", "drained")
                             ? task_event_kind::drain_accepted
                             : task_event_kind::undrain_accepted;
            event.data_centre =
                core::data_centre_id{text_of(from, "data_centre")};
            event.text = from.line;
            history_.events.push_back(std::move(event));
        }
        else if (is_of(from, "job"))
        {
            finishes_.emplace(
                core::job_id{text_of(from, "job")},
                core::time_point{microseconds{from.at_us}});
        }
        else if (is_of(from, "task"))
        {
            read_task(from);
        }
    }

    [[nodiscard]] auto history() const -> task_history const&
    {
        return history_;
    }

    /** Returns when the finish of each job was known to be stored. */
    [[nodiscard]] auto finishes() const
        -> std::map<core::job_id, core::time_point> const&
    {
        return finishes_;
    }

private:
    static auto worker_of(record const& from) -> core::worker_id
    {
        return core::worker_id{text_of(from, "worker")};
    }

    auto read_task(record const& from) -> void
    {
        auto event = task_event{};
        event.at = core::time_point{microseconds{from.at_us}};
        event.key.job = core::job_id{text_of(from, "job")};
        event.key.attempt = core::attempt_number{
            from.value.at("attempt")
                .get<decltype(core::attempt_number::value)>()};
        event.worker = worker_of(from);
        event.progress = from.value.at("progress").get<std::int64_t>();
        event.text = from.line;
        auto const place = std::pair{event.worker, event.key};
        if (has(from, "task", "started"))
        {
            history_.needs[event.key.job] = resources_of(from);
            event.data_centre = data_centres_.at(event.worker);
            open_.emplace(place, event);
            history_.events.push_back(std::move(event));
            return;
        }
        if (has(from, "task", "checkpointed"))
        {
            checkpoints_[place] = event.progress;
            return;
        }
        if (open_.erase(place) == 0)
        {
            return;
        }
        event.kind = task_event_kind::ended;
        event.finished = has(from, "task", "finished");
        auto const written = checkpoints_.find(place);
        if (written != checkpoints_.end())
        {
            event.checkpointed = true;
            event.progress = written->second;
        }
        history_.events.push_back(std::move(event));
    }

    auto end_all(record const& from) -> void
    {
        for (auto it = open_.begin(); it != open_.end();)
        {
            if (it->first.first != worker_of(from))
            {
                ++it;
                continue;
            }
            auto event = it->second;
            event.kind = task_event_kind::ended;
            event.at = core::time_point{microseconds{from.at_us}};
            event.text = from.line;
            history_.events.push_back(std::move(event));
            it = open_.erase(it);
        }
    }

    using place = std::pair<core::worker_id, state::attempt_key>;
    task_history history_;
    std::map<core::worker_id, core::data_centre_id> data_centres_;
    std::map<core::job_id, core::time_point> finishes_;
    std::map<place, task_event> open_;
    std::map<place, std::int64_t> checkpoints_;
};

auto lines_of(history_violation const& from) -> line_violation
{
    auto result = line_violation{from.rule, {}};
    for (auto const& it : from.events)
    {
        result.lines.push_back(it.text);
    }
    return result;
}

auto find_task_violation(
    task_reader const& tasks, history_check_settings const& settings)
    -> std::optional<line_violation>
{
    auto const& history = tasks.history();
    if (auto const it = find_overlap(history))
    {
        return lines_of(*it);
    }
    if (auto const it = find_overcommitment(history))
    {
        return lines_of(*it);
    }
    if (auto const it = find_bad_resume(history, tasks.finishes()))
    {
        return lines_of(*it);
    }
    if (auto const it = find_start_after_drain(history, settings.start_bound))
    {
        return lines_of(*it);
    }
    return std::nullopt;
}

auto find_unfinished(
    task_history const& history, std::vector<std::string> const& jobs)
    -> std::optional<line_violation>
{
    for (auto const& job : jobs)
    {
        auto const finished = std::any_of(
            history.events.begin(), history.events.end(),
            [&job](task_event const& event)
            { return event.finished && event.key.job.value == job; });
        if (!finished)
        {
            return line_violation{
                "not-finished",
                {fmt::format("no worker finished job \"{}\"", job)}};
        }
    }
    return std::nullopt;
}

/** Requests as the runners and the callers saw them. */
class request_reader
{
public:
    auto read(record const& from) -> void
    {
        if (has(from, "request", "started"))
        {
            runs_[text_of(from, "request_id")].push_back(from);
        }
        else if (has(from, "call", "invoked"))
        {
            calls_[text_of(from, "request_id")].invoked = from;
        }
        else if (is_of(from, "call"))
        {
            calls_.at(text_of(from, "request_id")).ended = from;
        }
        else if (has(from, "gateway", "stopping"))
        {
            stops_[text_of(from, "gateway")].begin = from;
        }
        else if (has(from, "gateway", "stopped"))
        {
            stops_.at(text_of(from, "gateway")).end = from;
        }
    }

    [[nodiscard]] auto find() const -> std::optional<line_violation>
    {
        for (auto const& [id, lines] : runs_)
        {
            if (lines.size() > 1 && text_of(lines.front(), "method") == "POST")
            {
                return line_violation{
                    "post-ran-twice", {lines[0].line, lines[1].line}};
            }
        }
        for (auto const& [id, it] : calls_)
        {
            if (!it.ended)
            {
                return line_violation{"not-answered", {it.invoked.line}};
            }
            if (auto problem = find_in_answer(id, it))
            {
                return problem;
            }
        }
        return std::nullopt;
    }

    /** Throws std::out_of_range if the marks of the stop are missing. */
    [[nodiscard]] auto
    find_in_stop(std::string const& gateway, core::duration drain_delay) const
        -> std::optional<line_violation>
    {
        auto const& window = stops_.at(gateway);
        auto const last = window.end.value.at("at_us").get<std::int64_t>();
        auto const refused_from =
            window.begin.at_us +
            std::chrono::duration_cast<microseconds>(drain_delay).count();
        for (auto const& [id, it] : calls_)
        {
            auto const inside = it.ended &&
                                it.ended->at_us >= window.begin.at_us &&
                                it.invoked.at_us <= last;
            if (!inside || !has_failed(*it.ended))
            {
                continue;
            }
            // The listener may close only after the drain delay.
            auto const refused = has(*it.ended, "call", "failed") &&
                                 text_of(*it.ended, "reason") == "refused" &&
                                 text_of(it.invoked, "gateway") == gateway &&
                                 it.ended->at_us >= refused_from;
            if (!refused)
            {
                return line_violation{
                    "planned-stop",
                    {window.begin.line, it.invoked.line, it.ended->line}};
            }
        }
        return std::nullopt;
    }

    auto count(history_counts& into) const -> void
    {
        for (auto const& [id, lines] : runs_)
        {
            into.runs += lines.size();
        }
        into.calls = calls_.size();
        for (auto const& [id, it] : calls_)
        {
            auto const failed = !it.ended || has_failed(*it.ended);
            ++(failed ? into.calls_failed : into.calls_ok);
        }
    }

private:
    static auto has_failed(record const& ended) -> bool
    {
        return has(ended, "call", "failed") ||
               ended.value.at("status").get<int>() >= first_error_status;
    }

    [[nodiscard]] auto
    find_in_answer(std::string const& id, call const& it) const
        -> std::optional<line_violation>
    {
        if (!has(*it.ended, "call", "answered"))
        {
            return std::nullopt;
        }
        auto const run = runs_.find(id);
        if (text_of(*it.ended, "outcome") == "not-run" && run != runs_.end())
        {
            return line_violation{
                "not-run-but-ran", {run->second.front().line, it.ended->line}};
        }
        if (!has_failed(*it.ended) && !it.ended->value.at("own").get<bool>())
        {
            return line_violation{
                "wrong-answer", {it.invoked.line, it.ended->line}};
        }
        return std::nullopt;
    }

    std::map<std::string, std::vector<record>> runs_;
    std::map<std::string, call> calls_;
    std::map<std::string, stop_window> stops_;
};

auto check(
    std::vector<std::string> const& lines,
    history_check_settings const& settings) -> history_verdict
{
    auto tasks = task_reader{};
    auto requests = request_reader{};
    for (auto const& it : parse(lines))
    {
        tasks.read(it);
        requests.read(it);
    }
    auto result = history_verdict{};
    requests.count(result.counts);
    auto const count = [&tasks](task_event_kind kind)
    {
        auto const& events = tasks.history().events;
        return static_cast<std::size_t>(std::count_if(
            events.begin(), events.end(),
            [kind](task_event const& event) { return event.kind == kind; }));
    };
    result.counts.task_starts = count(task_event_kind::started);
    result.counts.drains = count(task_event_kind::drain_accepted);
    result.counts.finishes = tasks.finishes().size();
    result.violation = find_task_violation(tasks, settings);
    if (!result.violation)
    {
        result.violation =
            find_unfinished(tasks.history(), settings.finished_jobs);
    }
    if (!result.violation)
    {
        result.violation = requests.find();
    }
    if (!result.violation && !settings.planned_stop.empty())
    {
        result.violation =
            requests.find_in_stop(settings.planned_stop, settings.drain_delay);
    }
    return result;
}

} // namespace

auto check_histories(
    std::vector<std::string> const& lines,
    history_check_settings const& settings) -> std::optional<history_verdict>
{
    try
    {
        return check(lines, settings);
    }
    catch (json::exception const& problem)
    {
        return core::fail(
            core::error_kind::invalid_input,
            fmt::format("a history line cannot be read: {}", problem.what()));
    }
    catch (std::out_of_range const&)
    {
        return core::fail(
            core::error_kind::invalid_input,
            "a start of a worker, an invocation or a mark of a planned stop "
            "is missing; pass all histories of the run");
    }
}

} // namespace godwitcleat::standins
