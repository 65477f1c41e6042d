/** @file shard_base.hpp The durable state of a shard. */
#ifndef GODWITCLEAT_STATE_SHARD_BASE_HPP
#define GODWITCLEAT_STATE_SHARD_BASE_HPP

#include "state/record_type.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace godwitcleat::state
{

/** Number of failed attempts after which a batch job fails. Replaying the log
 * depends on it, so it must be equal in all instances and is not a setting. */
inline constexpr std::uint32_t max_failed_attempts = 5;

/** The content of a snapshot; plain data for the codecs. */
struct shard_data
{
    std::map<core::job_id, job> jobs; ///< Jobs whose home is this shard.
    std::map<attempt_key, hosted_task>
        tasks; ///< Tasks on workers of this shard.
    std::map<core::job_id, core::attempt_number>
        declined; ///< Highest declined attempt of each job.
    std::uint64_t next_submit_order = 1;
    auto operator==(shard_data const&) const -> bool = default;
};

/**
 * State machine of a shard. Every record is validated before it is applied; an
 * invalid record changes nothing. Not thread-safe.
 */
class shard_state
{
public:
    explicit shard_state(core::shard_id shard)
        : shard_(shard)
    {
    }
    shard_state(core::shard_id shard, shard_data data);

    /**
     * Returns true if @p value is valid in the current state; otherwise
     * std::nullopt with not_found, conflict or invalid_input.
     */
    [[nodiscard]] auto validate(record const& value) const
        -> std::optional<bool>;

    /** Validates and applies @p value; fails with the errors of validate(). */
    auto apply(record const& value) -> std::optional<bool>;

    [[nodiscard]] auto shard() const -> core::shard_id
    {
        return shard_;
    }
    [[nodiscard]] auto data() const -> shard_data const&
    {
        return data_;
    }

    /** Returns the job, or nullptr if it is unknown. */
    [[nodiscard]] auto find_job(core::job_id const& id) const -> job const*;

    /** Returns the hosted task, or nullptr if it is unknown. */
    [[nodiscard]] auto find_task(attempt_key const& key) const
        -> hosted_task const*;

    /** Returns the resources committed to unfinished tasks on @p worker. */
    [[nodiscard]] auto committed(core::worker_id const& worker) const
        -> core::resources;

private:
    core::shard_id shard_;
    shard_data data_;
    std::map<core::worker_id, core::resources> committed_;
};

/** Returns the home shard of a job if there are @p count shards. */
auto shard_of(core::job_id const& id, std::uint32_t count) -> core::shard_id;

/** Returns the shard of a rack's workers if there are @p count shards. */
auto shard_of(core::rack_id const& id, std::uint32_t count) -> core::shard_id;

} // namespace godwitcleat::state

#endif
