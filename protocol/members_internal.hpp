/** @file members_internal.hpp Members of all types that the codecs handle. */
#ifndef GODWITCLEAT_PROTOCOL_MEMBERS_INTERNAL_HPP
#define GODWITCLEAT_PROTOCOL_MEMBERS_INTERNAL_HPP

#include "protocol/describe_internal.hpp"
#include "protocol/msgpack_func.hpp"
#include "protocol/peer_type.hpp"
#include "protocol/plan_members_internal.hpp"

#include <cstddef>

namespace godwitcleat::protocol
{

template <>
inline constexpr int
    enum_size<state::job_kind> = static_cast<int>(state::job_kind::service) + 1;
template <>
inline constexpr int enum_size<state::priority_class> =
    static_cast<int>(state::priority_class::batch) + 1;
template <>
inline constexpr int enum_size<state::job_phase> =
    static_cast<int>(state::job_phase::impossible) + 1;
template <>
inline constexpr int enum_size<state::attempt_outcome> =
    static_cast<int>(state::attempt_outcome::not_started) + 1;
template <>
inline constexpr int enum_size<state::task_phase> =
    static_cast<int>(state::task_phase::stopped) + 1;
template <>
inline constexpr int enum_size<state::worker_command_kind> =
    static_cast<int>(state::worker_command_kind::forget) + 1;

// Each visit_members() calls visit(name, member) for each member in order. The
// order is the msgpack format: new members go to the end.

auto visit_members(is<core::timeline_event> auto& value, auto&& visit) -> void
{
    visit("wall_us", value.wall_us);
    visit("sequence", value.sequence);
    visit("instance", value.instance);
    visit("part", value.part);
    visit("kind", value.kind);
    visit("job", value.job);
    visit("worker", value.worker);
    visit("request", value.request);
    visit("detail", value.detail);
}

auto visit_members(is<state::job_spec> auto& value, auto&& visit) -> void
{
    visit("id", value.id);
    visit("team", value.team);
    visit("kind", value.kind);
    visit("priority", value.priority);
    visit("service", value.service);
    visit("task_class", value.task_class);
    visit("need", value.need);
    visit("interruptible", value.interruptible);
    visit("expected_run_ms", value.expected_run_ms);
    visit("deadline_s", value.deadline_s);
    visit("command", value.command);
}

auto visit_members(is<state::attempt_binding> auto& value, auto&& visit) -> void
{
    visit("number", value.number);
    visit("host", value.host);
    visit("worker", value.worker);
}

auto visit_members(is<state::job> auto& value, auto&& visit) -> void
{
    visit("spec", value.spec);
    visit("phase", value.phase);
    visit("last_attempt", value.last_attempt);
    visit("binding", value.binding);
    visit("failures", value.failures);
    visit("evictions", value.evictions);
    visit("cancel_requested", value.cancel_requested);
    visit("checkpoint", value.checkpoint);
    visit("progress", value.progress);
    visit("reason", value.reason);
    visit("submit_order", value.submit_order);
}

auto visit_members(is<state::hosted_task> auto& value, auto&& visit) -> void
{
    visit("spec", value.spec);
    visit("attempt", value.attempt);
    visit("home", value.home);
    visit("worker", value.worker);
    visit("checkpoint", value.checkpoint);
    visit("progress", value.progress);
    visit("outcome", value.outcome);
    visit("end_checkpoint", value.end_checkpoint);
    visit("end_progress", value.end_progress);
}

auto visit_members(is<state::attempt_key> auto& value, auto&& visit) -> void
{
    visit("job", value.job);
    visit("attempt", value.attempt);
}

auto visit_members(is<state::worker_info> auto& value, auto&& visit) -> void
{
    visit("worker", value.worker);
    visit("rack", value.rack);
    visit("data_centre", value.data_centre);
    visit("capacity", value.capacity);
}

auto visit_members(is<state::task_report> auto& value, auto&& visit) -> void
{
    visit("key", value.key);
    visit("phase", value.phase);
    visit("progress", value.progress);
    visit("checkpoint", value.checkpoint);
    visit("endpoint", value.endpoint);
    visit("usage", value.usage);
    visit("usage_age_ms", value.usage_age_ms);
    visit("slowdown", value.slowdown);
}

auto visit_members(is<state::worker_report> auto& value, auto&& visit) -> void
{
    visit("info", value.info);
    visit("highest_epoch", value.highest_epoch);
    visit("boot", value.boot);
    visit("sequence", value.sequence);
    visit("tasks", value.tasks);
}

auto visit_members(is<state::worker_attributes> auto& value, auto&& visit)
    -> void
{
    visit("data_centre", value.data_centre);
    visit("capacity", value.capacity);
}

auto visit_members(is<state::usage_sample> auto& value, auto&& visit) -> void
{
    visit("position", value.position);
    visit("usage", value.usage);
    visit("slowdown_milli", value.slowdown_milli);
}

auto visit_members(is<state::partial_report> auto& value, auto&& visit) -> void
{
    visit("worker", value.worker);
    visit("rack", value.rack);
    visit("highest_epoch", value.highest_epoch);
    visit("boot", value.boot);
    visit("sequence", value.sequence);
    visit("base", value.base);
    visit("hold_ms", value.hold_ms);
    visit("sample_age_ms", value.sample_age_ms);
    visit("samples", value.samples);
    visit("removed", value.removed);
    visit("changed", value.changed);
    visit("place", value.attributes);
}

auto visit_members(is<state::worker_command> auto& value, auto&& visit) -> void
{
    visit("kind", value.kind);
    visit("key", value.key);
    visit("spec", value.spec);
    visit("checkpoint", value.checkpoint);
    visit("progress", value.progress);
    visit("throttle_percent", value.throttle_percent);
}

auto visit_members(is<state::heartbeat_reply> auto& value, auto&& visit) -> void
{
    visit("shard", value.shard);
    visit("owner_epoch", value.owner_epoch);
    visit("lease_ms", value.lease_ms);
    visit("start_valid_ms", value.start_valid_ms);
    visit("next_heartbeat_ms", value.next_heartbeat_ms);
    visit("commands", value.commands);
    visit("full_wanted", value.full_report_requested);
}

auto visit_members(is<state::worker_view> auto& value, auto&& visit) -> void
{
    visit("info", value.info);
    visit("shard", value.shard);
    visit("committed", value.committed);
    visit("tasks", value.tasks);
    visit("state", value.state);
}

auto visit_members(is<state::team_config> auto& value, auto&& visit) -> void
{
    visit("team", value.team);
    visit("quota", value.quota);
}

auto visit_members(is<state::service_config> auto& value, auto&& visit) -> void
{
    visit("service", value.service);
    visit("team", value.team);
    visit("runners", value.runners);
    visit("slots", value.slots);
    visit("connections", value.connections);
    visit("need", value.need);
    visit("interruptible", value.interruptible);
    visit("task_class", value.task_class);
    visit("default_deadline_ms", value.default_deadline_ms);
    visit("command", value.command);
}

auto visit_members(is<state::batch_config> auto& value, auto&& visit) -> void
{
    visit("spec", value.spec);
}

auto visit_members(is<state::config_document> auto& value, auto&& visit) -> void
{
    visit("number", value.number);
    visit("teams", value.teams);
    visit("services", value.services);
    visit("jobs", value.jobs);
    visit("drained_data_centres", value.drained_data_centres);
    visit("drained_workers", value.drained_workers);
}

auto visit_members(is<state::config_change> auto& value, auto&& visit) -> void
{
    visit("number", value.number);
    visit("author", value.author);
    visit("summary", value.summary);
    visit("wall_us", value.wall_us);
}

auto visit_members(is<state::submit_job> auto& value, auto&& visit) -> void
{
    visit("spec", value.spec);
}

auto visit_members(is<state::cancel_job> auto& value, auto&& visit) -> void
{
    visit("job", value.job);
    visit("reason", value.reason);
}

auto visit_members(is<state::bind_attempt> auto& value, auto&& visit) -> void
{
    visit("job", value.job);
    visit("binding", value.binding);
}

auto visit_members(is<state::end_attempt> auto& value, auto&& visit) -> void
{
    visit("job", value.job);
    visit("attempt", value.attempt);
    visit("outcome", value.outcome);
    visit("checkpoint", value.checkpoint);
    visit("progress", value.progress);
    visit("reason", value.reason);
}

auto visit_members(is<state::drop_job> auto& value, auto&& visit) -> void
{
    visit("job", value.job);
}

auto visit_members(is<state::host_task> auto& value, auto&& visit) -> void
{
    visit("task", value.task);
}

auto visit_members(is<state::end_task> auto& value, auto&& visit) -> void
{
    visit("key", value.key);
    visit("outcome", value.outcome);
    visit("checkpoint", value.checkpoint);
    visit("progress", value.progress);
}

auto visit_members(is<state::forget_task> auto& value, auto&& visit) -> void
{
    visit("key", value.key);
}

auto visit_members(is<state::decline_attempt> auto& value, auto&& visit) -> void
{
    visit("key", value.key);
}

auto visit_members(is<state::reconfirm> auto& /*value*/, auto&& /*visit*/)
    -> void
{
}

auto visit_members(is<state::record_batch> auto& value, auto&& visit) -> void
{
    visit("unique_id", value.unique_id);
    visit("records", value.records);
}

auto visit_members(is<state::shard_data> auto& value, auto&& visit) -> void
{
    visit("jobs", value.jobs);
    visit("tasks", value.tasks);
    visit("declined", value.declined);
    visit("next_submit_order", value.next_submit_order);
}

auto visit_members(is<shard_snapshot> auto& value, auto&& visit) -> void
{
    visit("applied", value.applied);
    visit("data", value.data);
}

auto visit_members(is<state::shard_summary> auto& value, auto&& visit) -> void
{
    visit("shard", value.shard);
    visit("owner_epoch", value.owner_epoch);
    visit("largest_free", value.largest_free);
    visit("largest_capacity", value.largest_capacity);
    visit("team_use", value.team_use);
}

auto visit_members(is<state::service_endpoint> auto& value, auto&& visit)
    -> void
{
    visit("service", value.service);
    visit("backend_server", value.backend_server);
    visit("address", value.address);
    visit("data_centre", value.data_centre);
    visit("leaving", value.leaving);
}

auto visit_members(is<state::offer_request> auto& value, auto&& visit) -> void
{
    visit("home", value.home);
    visit("host", value.host);
    visit("key", value.key);
    visit("spec", value.spec);
    visit("checkpoint", value.checkpoint);
    visit("progress", value.progress);
}

auto visit_members(is<state::offer_reply> auto& value, auto&& visit) -> void
{
    visit("worker", value.worker);
    visit("reason", value.reason);
    visit("makes_room", value.eviction_started);
}

auto visit_members(is<state::claim_request> auto& value, auto&& visit) -> void
{
    visit("home", value.home);
    visit("host", value.host);
    visit("key", value.key);
    visit("worker", value.worker);
}

auto visit_members(is<state::claim_reply> auto& value, auto&& visit) -> void
{
    visit("granted", value.granted);
}

auto visit_members(is<state::attempt_ended_request> auto& value, auto&& visit)
    -> void
{
    visit("home", value.home);
    visit("host", value.host);
    visit("key", value.key);
    visit("outcome", value.outcome);
    visit("checkpoint", value.checkpoint);
    visit("progress", value.progress);
}

auto visit_members(is<state::attempt_ended_reply> auto& value, auto&& visit)
    -> void
{
    visit("stored", value.stored);
}

auto visit_members(is<state::status_request> auto& value, auto&& visit) -> void
{
    visit("home", value.home);
    visit("host", value.host);
    visit("key", value.key);
    visit("stop", value.stop);
    visit("checkpoint", value.checkpoint);
}

auto visit_members(is<state::status_reply> auto& value, auto&& visit) -> void
{
    visit("known", value.known);
    visit("running", value.running);
}

auto visit_members(is<owned_shard> auto& value, auto&& visit) -> void
{
    visit("shard", value.shard);
    visit("owner_epoch", value.owner_epoch);
}

auto visit_members(is<endpoint_table> auto& value, auto&& visit) -> void
{
    visit("shard", value.shard);
    visit("owner_epoch", value.owner_epoch);
    visit("version", value.version);
    visit("endpoints", value.endpoints);
}

auto visit_members(is<backend_load> auto& value, auto&& visit) -> void
{
    visit("backend_server", value.backend_server);
    visit("in_flight", value.in_flight);
}

auto visit_members(is<peer_update> auto& value, auto&& visit) -> void
{
    visit("instance", value.instance);
    visit("boot_id", value.boot_id);
    visit("number", value.number);
    visit("data_centre", value.data_centre);
    visit("peer_address", value.peer_address);
    visit("control_address", value.control_address);
    visit("leaving", value.leaving);
    visit("store_reachable", value.store_reachable);
    visit("config", value.config);
    visit("shards", value.shards);
    visit("summaries", value.summaries);
    visit("tables", value.tables);
    visit("loads", value.loads);
    visit("seen", value.seen);
}

auto visit_members(is<peer_changes> auto& value, auto&& visit) -> void
{
    visit("instance", value.instance);
    visit("boot_id", value.boot_id);
    visit("base", value.base);
    visit("number", value.number);
    visit("known_version", value.known_version);
    visit("leaving", value.leaving);
    visit("store_reachable", value.store_reachable);
    visit("config", value.config);
    visit("shards", value.shards);
    visit("summaries", value.summaries);
    visit("tables", value.tables);
    visit("loads", value.loads);
    visit("seen", value.seen);
}

auto visit_members(is<peer_update_reply> auto& value, auto&& visit) -> void
{
    visit("instance", value.instance);
    visit("number", value.number);
    visit("known_version", value.known_version);
    visit("known", value.known);
}

auto visit_members(is<config_request> auto& /*value*/, auto&& /*visit*/) -> void
{
}

auto visit_members(is<config_reply> auto& value, auto&& visit) -> void
{
    visit("document", value.document);
}

auto visit_members(is<submit_request> auto& value, auto&& visit) -> void
{
    visit("spec", value.spec);
}

auto visit_members(is<cancel_request> auto& value, auto&& visit) -> void
{
    visit("job", value.job);
    visit("reason", value.reason);
}

auto visit_members(is<jobs_request> auto& value, auto&& visit) -> void
{
    visit("job", value.job);
}

auto visit_members(is<jobs_reply> auto& value, auto&& visit) -> void
{
    visit("jobs", value.jobs);
}

auto visit_members(is<workers_request> auto& /*value*/, auto&& /*visit*/)
    -> void
{
}

auto visit_members(is<workers_reply> auto& value, auto&& visit) -> void
{
    visit("workers", value.workers);
}

auto visit_members(is<timeline_request> auto& value, auto&& visit) -> void
{
    visit("after", value.after);
}

auto visit_members(is<timeline_reply> auto& value, auto&& visit) -> void
{
    visit("events", value.events);
}

auto visit_members(is<done_reply> auto& /*value*/, auto&& /*visit*/) -> void {}

auto visit_members(is<error_reply> auto& value, auto&& visit) -> void
{
    visit("kind", value.kind);
    visit("message", value.message);
}

/** Ignores a member; used to test whether a type has a description. */
struct ignore_member
{
    auto operator()(char const* /*name*/, auto& /*member*/) const -> void {}
};

/** True for types whose members are described above. */
template <class Type>
concept described = requires(Type& value)
{
    visit_members(value, ignore_member{});
};

/** Returns the number of members of @p value. */
template <described Type>
auto member_count(Type const& value) -> std::size_t
{
    auto n = std::size_t{0};
    visit_members(value, [&n](char const*, auto const&) { ++n; });
    return n;
}

/** True for instances of the class template @p Template. */
template <class Type, template <class...> class Template>
inline constexpr bool is_instance = false;
template <class... Parts, template <class...> class Template>
inline constexpr bool is_instance<Template<Parts...>, Template> = true;

} // namespace godwitcleat::protocol

#endif
