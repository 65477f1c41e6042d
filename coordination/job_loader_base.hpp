/** @file job_loader_base.hpp Reads the stored jobs for a new owner. */
#ifndef GODWITCLEAT_COORDINATION_JOB_LOADER_BASE_HPP
#define GODWITCLEAT_COORDINATION_JOB_LOADER_BASE_HPP

#include "coordination/store_type.hpp"
#include "core/core.hpp"
#include "state/state.hpp"
#include "transport/transport.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace godwitcleat::coordination
{

/** Characters of the ids of stored jobs. */
constexpr auto job_id_digits = std::string_view{"0123456789abcdefABCDEF"};

/** Figures of a loader. */
struct job_loader_settings
{
    std::string key_prefix = "godwitcleat/00/";
    /** Pause after a read that failed. */
    core::duration retry = std::chrono::milliseconds{100};
    /** Parts that are read at the same time until one fails. */
    std::size_t parts_at_once = 4;
};

/**
 * Reads jobs, progress and workers in parts, by the first digits of the job
 * ids, so that no answer takes long on a slow link. A part that fails twice is
 * read in smaller ones; those that were read are kept. The caller must own the
 * term and write nothing meanwhile: then nobody writes, and all parts are of
 * one state. If the term key has changed at the end, all is read again. Stops
 * with the object. Thread-safe.
 */
class job_loader
{
public:
    using handler = std::function<void(state::dispatch_snapshot)>;

    job_loader(
        store& target, transport::reactor& loop, core::logger log,
        job_loader_settings settings, handler on_loaded);
    ~job_loader();
    job_loader(job_loader const&) = delete;
    auto operator=(job_loader const&) -> job_loader& = delete;

    /** Begins; the handler is called once, without `last_write_by`. */
    auto start() -> void;

private:
    struct implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace godwitcleat::coordination

#endif
