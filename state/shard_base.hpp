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

/** Failed attempts after which a batch job is failed. It is a rule of the log,
 * so it is equal in all instances and not a setting. */
inline constexpr std::uint32_t most_failed_attempts = 5;

/** Everything that a snapshot holds. Plain data, so that codecs can fill it. */
struct shard_data
{
    std::map<core::job_id, job> jobs;         ///< Jobs at home here.
    std::map<attempt_key, hosted_task> tasks; ///< Tasks hosted here.
    std::map<core::job_id, core::attempt_number>
        declined; ///< Highest declined attempt of each job.
    std::uint64_t next_submit_order = 1;
    auto operator==(shard_data const&) const -> bool = default;
};

/**
 * Applies records to a shard's data. Every record is tested before it is
 * applied; a record that fails the test changes nothing. Not thread-safe.
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
     * Returns true if @p value may be applied now; otherwise std::nullopt
     * with not_found, conflict or invalid_input.
     */
    [[nodiscard]] auto test(record const& value) const -> std::optional<bool>;

    /** Tests and applies @p value; the same errors as test(). */
    auto apply(record const& value) -> std::optional<bool>;

    [[nodiscard]] auto shard() const -> core::shard_id
    {
        return shard_;
    }
    [[nodiscard]] auto data() const -> shard_data const&
    {
        return data_;
    }

    /** Returns the job, or nullptr. */
    [[nodiscard]] auto find_job(core::job_id const& id) const -> job const*;

    /** Returns the hosted task, or nullptr. */
    [[nodiscard]] auto find_task(attempt_key const& key) const
        -> hosted_task const*;

    /** Returns the resources committed on @p worker by tasks not over. */
    [[nodiscard]] auto committed(core::worker_id const& worker) const
        -> core::resources;

private:
    core::shard_id shard_;
    shard_data data_;
    std::map<core::worker_id, core::resources> committed_;
};

/** Returns the home shard of a job among @p count shards, from 0. */
auto shard_of(core::job_id const& id, std::uint32_t count) -> core::shard_id;

/** Returns the shard that owns a rack's workers among @p count, from 0. */
auto shard_of(core::rack_id const& id, std::uint32_t count) -> core::shard_id;

} // namespace godwitcleat::state

#endif
