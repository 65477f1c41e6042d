/** @file shard_log_recovery.cpp Recovery of one shard's log. */
#include "coordination/key_func.hpp"
#include "coordination/shard_log_internal.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace godwitcleat::coordination
{

auto shard_log::implementation::read_snapshot(log_recovery_pointer const& it)
    -> void
{
    platform.range(
        snapshot_key(shard), "", 1,
        guarded(
            [it](implementation& self, std::optional<store_range> const& found)
            {
                if (!found)
                {
                    return it->on_done(std::nullopt);
                }
                if (auto const* const entry = single(found))
                {
                    auto snapshot = self.codec.decode_snapshot(entry->value);
                    if (!snapshot)
                    {
                        return it->on_done(std::nullopt);
                    }
                    it->applied = snapshot->applied;
                    it->result.data = std::move(snapshot->data);
                    it->snapshot_revision = entry->modify_revision;
                    it->snapshot_bytes = entry->value.size();
                }
                self.read_page(it);
            }));
}

auto shard_log::implementation::read_page(log_recovery_pointer const& it)
    -> void
{
    auto limit = std::int64_t{0};
    {
        auto const lock = std::scoped_lock{mutex};
        limit = page_entries;
    }
    // Entries up to `applied` can only stem from a write that took effect
    // after a snapshot had covered it, so they are not read.
    platform.range(
        log_key(shard, it->applied.next()), prefix_end(log_prefix(shard)),
        limit,
        guarded(
            [it](implementation& self, std::optional<store_range> page)
            {
                if (!page)
                {
                    // The page may exceed the body limit of the HTTP client.
                    auto const lock = std::scoped_lock{self.mutex};
                    self.page_entries =
                        std::max<std::int64_t>(1, self.page_entries / 2);
                }
                if (!page || !self.take_page(it, *page))
                {
                    return it->on_done(std::nullopt);
                }
                if (page->more && it->complete)
                {
                    return self.read_page(it);
                }
                self.check_epoch(it);
            }));
}

auto shard_log::implementation::take_page(
    log_recovery_pointer const& it, store_range const& page) -> bool
{
    for (auto const& entry : page.entries)
    {
        if (trailing_number(entry.key) != it->applied.next().value)
        {
            it->complete = false;
            return true;
        }
        auto batch = codec.decode_batch(entry.value);
        if (!batch)
        {
            return false;
        }
        it->result.batches.push_back(std::move(*batch));
        it->batch_bytes += entry.value.size();
        it->applied = it->applied.next();
    }
    return true;
}

// The reads are several calls. Only an owner of a later epoch can have written
// between them, so an unchanged epoch proves that they belong together.
auto shard_log::implementation::check_epoch(log_recovery_pointer const& it)
    -> void
{
    platform.range(
        epoch_key(shard), "", 1,
        guarded(
            [it](implementation& self, std::optional<store_range> const& found)
            {
                if (!found)
                {
                    return it->on_done(std::nullopt);
                }
                if (revision_of(found) != self.epoch_revision)
                {
                    return it->on_done(core::fail(
                        core::error_kind::stale_epoch,
                        "The shard has a newer owner; drop it."));
                }
                if (!it->complete)
                {
                    return it->on_done(core::fail(
                        core::error_kind::protocol,
                        "An entry of the shard's log is missing after " +
                            std::to_string(it->applied.value) +
                            "; restore the store's keys."));
                }
                self.finish_recovery(it);
            }));
}

auto shard_log::implementation::finish_recovery(log_recovery_pointer const& it)
    -> void
{
    {
        auto const lock = std::scoped_lock{mutex};
        recovered = true;
        applied = it->applied;
        snapshot_revision = it->snapshot_revision;
        snapshot_bytes = it->snapshot_bytes;
        batch_bytes = it->batch_bytes;
        batches = it->result.batches.size();
        batches_since_try = batches;
    }
    log.info(
        "Log recovered.", {{"shard", shard.value},
                           {"index", it->applied.value},
                           {"batches", it->result.batches.size()}});
    it->on_done(std::move(it->result));
}

} // namespace godwitcleat::coordination
