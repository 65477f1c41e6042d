/** @file soak_check.hpp Checks the rules on what callers and workers see. */
#ifndef GODWITCLEAT_STANDINS_SOAK_SOAK_CHECK_HPP
#define GODWITCLEAT_STANDINS_SOAK_SOAK_CHECK_HPP

#include "core/core.hpp"
#include "standins/soak/soak_customers.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <fstream>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace godwitcleat::soak
{

using nlohmann::json;

/** A job as its caller hands it in: steps of equal tasks, one by one. */
struct soak_job
{
    std::string id; ///< 16 hexadecimal digits.
    std::string spec;
    int steps = 1;
    int tasks = 1; ///< Of each step.
    std::int64_t cpu_milli = 500;
    bool lasts = false; ///< Long-running.
    /** Index in customer_limits; unset in a run without customers. */
    std::optional<std::size_t> customer;
};

/**
 * Takes note of all that callers and workers see, writes it to a history and
 * reports each breach of a rule at once. Thread-safe.
 */
class soak_check
{
public:
    /** @param command is printed with a breach, so that it can be repeated. */
    soak_check(std::string const& history, std::string command)
        : command_(std::move(command))
        , history_(history)
    {
    }

    auto submitting(soak_job const& job) -> void
    {
        auto const lock = std::scoped_lock{mutex_};
        auto& it = jobs_[job.id];
        it.job = job;
        ++it.in_flight;
        write({{"event", "submit"}, {"job", job.id}, {"spec", job.spec}});
    }

    /** Takes note of a configuration that is about to be written. */
    auto configured(std::uint64_t version) -> void
    {
        auto const lock = std::scoped_lock{mutex_};
        auto const had_keys = !temporary_keys_gone_;
        temporary_keys_gone_ = has_temporary_keys(version) ? std::nullopt
                               : had_keys ? std::optional{clock_()}
                                          : temporary_keys_gone_;
    }

    /** Checks the answer to a call with a key of @p kind that was sent at
     *  @p sent. */
    auto answered(
        std::string const& id, key_kind kind, core::time_point sent, int status)
        -> void
    {
        auto const lock = std::scoped_lock{mutex_};
        auto const denied = status == 401;
        if (kind == key_kind::unknown && status == 200)
        {
            breach("KEYS an unknown key is served", id);
        }
        if (kind == key_kind::permanent && denied)
        {
            breach("KEYS a key is denied", id);
        }
        if (kind == key_kind::temporary && status == 200 &&
            temporary_keys_gone_ && sent > *temporary_keys_gone_ + calm_bound &&
            calm() > calm_bound)
        {
            breach("KEYS a removed key is served", id);
        }
    }

    /** @param refused the answer says that the job is not accepted. */
    auto submitted(std::string const& id, int status, bool refused) -> void
    {
        auto const lock = std::scoped_lock{mutex_};
        auto& it = jobs_.at(id);
        --it.in_flight;
        it.accepted = it.accepted || status == 200;
        it.only_refused = it.only_refused && refused;
        write({{"event", "submitted"}, {"job", id}, {"status", status}});
        check_refused(it);
    }

    auto cancelling(std::string const& id) -> void
    {
        auto const lock = std::scoped_lock{mutex_};
        jobs_.at(id).cancel_sent = true;
        write({{"event", "cancel"}, {"job", id}});
    }

    auto cancelled(std::string const& id, int status) -> void
    {
        auto const lock = std::scoped_lock{mutex_};
        auto& it = jobs_.at(id);
        auto const gone = status == 410 && it.accepted;
        if ((status == 200 || gone) && !it.cancelled)
        {
            it.cancelled = clock_();
        }
        write({{"event", "cancelled"}, {"job", id}, {"status", status}});
    }

    auto asked(std::string const& id, int status, std::string const& phase)
        -> void
    {
        auto const lock = std::scoped_lock{mutex_};
        auto& it = jobs_.at(id);
        write(
            {{"event", "asked"},
             {"job", id},
             {"status", status},
             {"phase", phase}});
        auto const denied = status == 410 && calm() > calm_bound;
        if (it.accepted && !it.cancel_sent &&
            (denied || phase == "failed" || phase == "cancelled"))
        {
            breach("LOST", id);
        }
        if (phase == "completed" && !it.completed)
        {
            it.completed = clock_();
            for (auto step = 0; step < it.job.steps; ++step)
            {
                check_done("MIXED", it.job, step, id);
            }
        }
    }

    auto started(
        std::string const& worker, std::int64_t capacity_milli,
        std::string const& task, std::uint64_t run, std::string const& spec)
        -> std::size_t
    {
        auto const lock = std::scoped_lock{mutex_};
        write(
            {{"event", "start"},
             {"task", task},
             {"run", run},
             {"worker", worker}});
        auto const found = jobs_.find(job_of(task));
        if (found == jobs_.end() || found->second.job.spec != spec)
        {
            breach("UNASKED nobody submitted it", task);
        }
        else
        {
            check_start(found->second, task);
        }
        for (auto const i : by_task_[task])
        {
            auto const& it = runs_[i];
            if (it.how.empty() || (it.how == "done" && it.noted))
            {
                breach(
                    it.how.empty() ? "TWICE two runs at once"
                                   : "TWICE started after a noted end",
                    task);
            }
        }
        auto const cpu = found == jobs_.end() ? 0 : found->second.job.cpu_milli;
        if ((used_[worker] += cpu) > capacity_milli)
        {
            breach("LIMIT on " + worker, task);
        }
        auto const customer =
            found == jobs_.end() ? std::nullopt : found->second.job.customer;
        if (customer && (used_by_customer_.at(*customer) += cpu) >
                            customer_limits.at(*customer))
        {
            breach(fmt::format("QUOTA of c{}", *customer), task);
        }
        runs_.push_back({task, worker, run, cpu, "", false, customer});
        by_task_[task].push_back(runs_.size() - 1);
        return runs_.size() - 1;
    }

    auto ended(std::size_t index, std::string const& how) -> void
    {
        auto const lock = std::scoped_lock{mutex_};
        auto& it = runs_.at(index);
        it.how = how;
        used_[it.worker] -= it.cpu_milli;
        if (it.customer)
        {
            used_by_customer_.at(*it.customer) -= it.cpu_milli;
        }
        write(
            {{"event", "end"},
             {"task", it.task},
             {"run", it.run},
             {"worker", it.worker},
             {"how", how}});
    }

    /** The end was acknowledged, and the lease had not lapsed since. */
    auto noted(std::size_t index) -> void
    {
        auto const lock = std::scoped_lock{mutex_};
        auto& it = runs_.at(index);
        it.noted = true;
        write({{"event", "noted"}, {"task", it.task}, {"run", it.run}});
        if (it.how == "done" && by_task_[it.task].back() != index)
        {
            breach("TWICE noted an end before a later start", it.task);
        }
    }

    auto fault(std::string const& text) -> void
    {
        auto const lock = std::scoped_lock{mutex_};
        write({{"event", "fault"}, {"text", text}});
        disturbed_at_ = clock_();
    }

    /** Checks what holds in calm; @p disturbed: a fault is in effect. */
    auto tick(bool disturbed) -> void
    {
        auto const lock = std::scoped_lock{mutex_};
        disturbed_at_ = disturbed ? clock_() : disturbed_at_;
        for (auto const& it : runs_)
        {
            auto const found = jobs_.find(job_of(it.task));
            if (it.how.empty() && found != jobs_.end() &&
                is_over(found->second.cancelled))
            {
                breach("UNASKED runs on after the cancellation", it.task);
            }
        }
    }

    auto report(std::string const& rule, std::string const& about) -> void
    {
        auto const lock = std::scoped_lock{mutex_};
        breach(rule, about);
    }

    [[nodiscard]] auto customer_of(std::string const& id) const
        -> std::optional<std::size_t>
    {
        auto const lock = std::scoped_lock{mutex_};
        return jobs_.at(id).job.customer;
    }

    /** Accepted jobs that are neither cancelled nor shown as completed. */
    [[nodiscard]] auto open(bool lasting) const -> std::vector<std::string>
    {
        auto const lock = std::scoped_lock{mutex_};
        auto result = std::vector<std::string>{};
        for (auto const& [id, it] : jobs_)
        {
            if (it.accepted && it.job.lasts == lasting && !it.cancelled &&
                !it.completed)
            {
                result.push_back(id);
            }
        }
        return result;
    }

    /** Tasks of accepted lasting jobs that are not at work. */
    [[nodiscard]] auto idle_tasks() const -> std::vector<std::string>
    {
        auto const lock = std::scoped_lock{mutex_};
        auto result = std::vector<std::string>{};
        for (auto const& [id, it] : jobs_)
        {
            auto const lasts = it.accepted && it.job.lasts && !it.cancel_sent;
            for (auto i = 0; lasts && i < it.job.tasks; ++i)
            {
                auto const task = name_task(id, 0, i);
                auto const found = by_task_.find(task);
                if (found == by_task_.end() ||
                    !runs_[found->second.back()].how.empty())
                {
                    result.push_back(task);
                }
            }
        }
        return result;
    }

    /** Prints the counts; returns the number of breaches. */
    auto summarize(std::uint64_t seed) const -> std::size_t
    {
        auto const lock = std::scoped_lock{mutex_};
        auto const count = [this](auto member)
        {
            return std::count_if(
                jobs_.begin(), jobs_.end(),
                [member](auto const& it) { return !!(it.second.*member); });
        };
        fmt::print(
            "seed={} jobs={} accepted={} cancelled={} refused={} runs={} "
            "breaches={}\n",
            seed, jobs_.size(), count(&job_state::accepted),
            count(&job_state::cancelled), count(&job_state::only_refused),
            runs_.size(), breaches_);
        std::fflush(stdout);
        return breaches_;
    }

private:
    struct job_state
    {
        soak_job job;
        int in_flight = 0;
        bool only_refused = true; ///< All answers so far.
        bool accepted = false;
        bool cancel_sent = false;
        std::optional<core::time_point> cancelled;
        std::optional<core::time_point> completed; ///< Shown first.
        std::size_t starts = 0;
    };
    struct run_state
    {
        std::string task;
        std::string worker;
        std::uint64_t run = 0;
        std::int64_t cpu_milli = 0;
        std::string how; ///< Empty while it runs.
        bool noted = false;
        std::optional<std::size_t> customer;
    };

    /** After the last fault, until the bounds of the rules hold. */
    static constexpr auto calm_bound = std::chrono::milliseconds{9000};
    /** cancel_ms and stop-ms, and a margin for a busy computer. */
    static constexpr auto over_bound = std::chrono::milliseconds{4500};
    static constexpr auto most_traces = std::size_t{5};
    static constexpr auto recent_lines = std::size_t{60};

    static auto job_of(std::string const& task) -> std::string
    {
        return task.substr(0, task.find('.'));
    }

    static auto name_task(std::string const& job, int step, int index)
        -> std::string
    {
        return fmt::format("{}.0.{}.{}", job, step, index);
    }

    [[nodiscard]] auto calm() const -> core::duration
    {
        return clock_() - disturbed_at_;
    }

    [[nodiscard]] auto
    is_over(std::optional<core::time_point> const& since) const -> bool
    {
        return since && clock_() > *since + over_bound && calm() > calm_bound;
    }

    auto check_refused(job_state const& it) -> void
    {
        if (it.in_flight == 0 && it.only_refused && it.starts > 0)
        {
            breach("REFUSED", it.job.id);
        }
    }

    auto check_start(job_state& it, std::string const& task) -> void
    {
        ++it.starts;
        check_refused(it);
        if (is_over(it.cancelled) || is_over(it.completed))
        {
            breach("UNASKED started after the job's end", task);
        }
        auto const last = task.rfind('.');
        auto const step =
            std::atoi(task.c_str() + task.rfind('.', last - 1) + 1);
        if (step > 0)
        {
            check_done("ORDER", it.job, step - 1, task);
        }
    }

    // Checks that all tasks of a step have ended done.
    auto check_done(
        char const* rule, soak_job const& job, int step,
        std::string const& about) -> void
    {
        for (auto i = 0; i < job.tasks; ++i)
        {
            auto const& runs = by_task_[name_task(job.id, step, i)];
            if (std::none_of(
                    runs.begin(), runs.end(),
                    [this](auto run) { return runs_[run].how == "done"; }))
            {
                return breach(rule, about);
            }
        }
    }

    auto write(json line) -> void
    {
        line["at_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(
                            clock_() - begun_)
                            .count();
        lines_.push_back(line.dump());
        history_ << lines_.back() << std::endl; // Whole lines survive a kill.
    }

    auto breach(std::string const& rule, std::string const& about) -> void
    {
        if (!reported_.insert(rule + about).second)
        {
            return;
        }
        write({{"event", "breach"}, {"rule", rule}, {"about", about}});
        fmt::print("BREACH {} {}\n  {}\n", rule, about, command_);
        auto const recent =
            lines_.size() - std::min(lines_.size(), recent_lines);
        for (auto i = std::size_t{0}; i < lines_.size(); ++i)
        {
            auto const& it = lines_[i];
            auto const fault = it.find(R"("fault")") != std::string::npos;
            if (breaches_ < most_traces &&
                (it.find(job_of(about)) != std::string::npos ||
                 (fault && i >= recent)))
            {
                fmt::print("  {}\n", it);
            }
        }
        std::fflush(stdout);
        ++breaches_;
    }

    core::clock clock_ = core::system_clock();
    core::time_point begun_ = clock_();
    core::time_point disturbed_at_ = begun_;
    std::string command_;
    std::ofstream history_;
    mutable std::mutex mutex_; ///< Guards all members.
    std::vector<std::string> lines_;
    std::map<std::string, job_state> jobs_;
    std::vector<run_state> runs_;
    std::map<std::string, std::vector<std::size_t>> by_task_;
    std::map<std::string, std::int64_t> used_; ///< By worker, in milli-cores.
    std::array<std::int64_t, customer_limits.size()> used_by_customer_{};
    /** Since when no configuration has the temporary keys. */
    std::optional<core::time_point> temporary_keys_gone_ = begun_;
    std::set<std::string> reported_;
    std::size_t breaches_ = 0;
};

} // namespace godwitcleat::soak

#endif
