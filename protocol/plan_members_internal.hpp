/** @file plan_members_internal.hpp Members of jobs of steps and their messages.
 */
#ifndef GODWITCLEAT_PROTOCOL_PLAN_MEMBERS_INTERNAL_HPP
#define GODWITCLEAT_PROTOCOL_PLAN_MEMBERS_INTERNAL_HPP

#include "protocol/describe_internal.hpp"
#include "protocol/plan_message_type.hpp"

namespace godwitcleat::protocol
{

template <>
inline constexpr int enum_size<state::plan_phase> =
    static_cast<int>(state::plan_phase::cancelled) + 1;
template <>
inline constexpr int
    enum_size<job_call_kind> = static_cast<int>(job_call_kind::config) + 1;

auto visit_members(is<state::plan_step> auto& value, auto&& visit) -> void
{
    visit("tasks", value.tasks);
    visit("need", value.need);
    visit("expected_run_ms", value.expected_run_ms);
    visit("after", value.after);
    visit("checkpoints", value.checkpoints);
    visit("gang", value.gang);
    visit("same_rack", value.same_rack);
    visit("long_running", value.long_running);
    visit("parallel_copies", value.parallel_copies);
    visit("uses_spare_cpu", value.uses_spare_cpu);
    visit("label", value.label);
    visit("near_rack", value.near_rack);
    visit("most_per_worker", value.max_per_worker);
    visit("most_unavailable", value.max_unavailable);
    visit("task_class", value.task_class);
    visit("tail_target_ms", value.tail_target_ms);
}

auto visit_members(is<state::job_plan> auto& value, auto&& visit) -> void
{
    visit("id", value.id);
    visit("queue", value.queue);
    visit("command", value.command);
    visit("steps", value.steps);
    visit("occurrences", value.occurrences);
    visit("first_run_ms", value.first_run_ms);
    visit("interval_ms", value.interval_ms);
}

auto visit_members(is<state::plan_record> auto& value, auto&& visit) -> void
{
    visit("plan", value.plan);
    visit("accepted_in", value.accepted_term);
    visit("accepted_ms", value.accepted_ms);
    visit("stores_workers", value.stores_workers);
    visit("service", value.service);
    visit("customer", value.customer);
}

auto visit_members(is<state::task_progress> auto& value, auto&& visit) -> void
{
    visit("task", value.task);
    visit("failed_runs", value.failed_runs);
    visit("checkpoint", value.checkpoint);
    visit("crashed_runs", value.crashed_runs);
    visit("worker", value.worker);
}

auto visit_members(is<state::plan_progress> auto& value, auto&& visit) -> void
{
    visit("phase", value.phase);
    visit("done", value.done);
    visit("tasks", value.tasks);
    visit("any_service", value.any_service);
    visit("started", value.started);
}

auto visit_members(is<state::listed_worker> auto& value, auto&& visit) -> void
{
    visit("worker", value.worker);
    visit("address", value.address);
    visit("service", value.service);
    visit("data_centre", value.data_centre);
    visit("rack", value.rack);
    visit("labels", value.labels);
    visit("capacity", value.capacity);
    visit("draining", value.draining);
    visit("drain_left_ms", value.drain_left_ms);
    visit("born_ms", value.started_ms);
}

auto visit_members(is<state::task_name> auto& value, auto&& visit) -> void
{
    visit("job", value.job);
    visit("occurrence", value.occurrence);
    visit("step", value.step);
    visit("index", value.index);
}

auto visit_members(is<state::stored_worker> auto& value, auto&& visit) -> void
{
    visit_members(value.info, visit);
    visit("possible_tasks", value.possible_tasks);
    visit("lease_left_ms", value.lease_left_ms);
}

auto visit_members(is<job_call> auto& value, auto&& visit) -> void
{
    visit("kind", value.kind);
    visit("queue", value.queue);
    visit("job", value.job);
    visit("plan", value.plan);
    visit("relayed", value.relayed);
    visit("customer", value.customer);
    visit("config_version", value.config_version);
    visit("term", value.term);
}

auto visit_members(is<job_answer> auto& value, auto&& visit) -> void
{
    visit("error", value.error);
    visit("message", value.message);
    visit("phase", value.phase);
    visit("waiting", value.waiting);
    visit("retry_after_s", value.retry_after_s);
    visit("config_version", value.config_version);
    visit("config", value.config);
    visit("term", value.term);
}

auto visit_members(is<owner_record> auto& value, auto&& visit) -> void
{
    visit("instance", value.instance);
    visit("boot_id", value.boot_id);
    visit("address", value.address);
    visit("term", value.term);
    visit("cpu_milli", value.cpu_milli);
}

} // namespace godwitcleat::protocol

#endif
