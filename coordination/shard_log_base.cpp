/** @file shard_log_base.cpp Recovery and writing of one shard's log. */
#include "coordination/shard_log_base.hpp"

#include "coordination/guarded_internal.hpp"
#include "coordination/key_func.hpp"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <utility>

namespace godwitcleat::coordination
{

namespace
{

/** An append or a snapshot until its outcome is certain. */
struct operation
{
    store_transaction transaction;
    std::string key;                  ///< The key that tells the outcome.
    std::int64_t former_revision = 0; ///< Of that key before the write.
    std::function<bool(std::string const&)> is_ours; ///< Tests its value.
    std::optional<std::int64_t> config_revision;
    std::size_t bytes = 0;
    bool is_snapshot = false;
    shard_log::done on_done;
    core::time_point sent_at;
    std::optional<core::time_point> unknown_since; ///< First unknown sending.
    std::optional<core::time_point> retry_at;
};

using operation_pointer = std::shared_ptr<operation>;

/** A recovery that is reading. */
struct recovery
{
    recovered_log result;
    core::log_index applied;
    std::int64_t snapshot_revision = 0;
    std::size_t snapshot_bytes = 0;
    std::size_t batch_bytes = 0;
    bool complete = true; ///< No log entry is missing.
    store::handler<recovered_log> on_done;
};

using recovery_pointer = std::shared_ptr<recovery>;

auto single(std::optional<store_range> const& found) -> store_entry const*
{
    return found && !found->entries.empty() ? &found->entries.front() : nullptr;
}

/** Returns true if @p entry is what @p it wrote. */
auto written_by(operation const& it, store_entry const* entry) -> bool
{
    return entry != nullptr && entry->modify_revision != it.former_revision &&
           it.is_ours(entry->value);
}

auto revision_of(std::optional<store_range> const& found) -> std::int64_t
{
    auto const* const entry = single(found);
    return entry == nullptr ? 0 : entry->modify_revision;
}

} // namespace

struct shard_log::implementation
    : public guarded_base<shard_log::implementation>
{
    implementation(
        store& platform, core::clock clock, core::logger const& log,
        core::shard_id shard, std::int64_t epoch_revision,
        shard_log_codec codec, shard_log_settings settings)
        : platform(platform)
        , clock(std::move(clock))
        , log(log.with_prefix("shard"))
        , shard(shard)
        , epoch_revision(epoch_revision)
        , codec(std::move(codec))
        , settings(settings)
        , page_entries(settings.page_entries)
    {
    }

    auto read_snapshot(recovery_pointer const& it) -> void;
    auto read_page(recovery_pointer const& it) -> void;
    auto take_page(recovery_pointer const& it, store_range const& page) -> bool;
    auto check_epoch(recovery_pointer const& it) -> void;
    auto finish_recovery(recovery_pointer const& it) -> void;

    auto start(operation_pointer const& it) -> std::optional<bool>;
    auto send(operation_pointer const& it) -> void;
    auto
    on_commit(operation_pointer const& it, std::optional<store_commit> result)
        -> void;
    auto read_key(operation_pointer const& it) -> void;
    auto find_cause(operation_pointer const& it) -> void;
    auto find_config_cause(operation_pointer const& it) -> void;
    auto settle(operation_pointer const& it, std::optional<log_outcome> cause)
        -> void;
    auto retry(operation_pointer const& it) -> void;
    auto committed(
        operation_pointer const& it, core::time_point sent_at,
        std::int64_t revision) -> void;
    auto finish(operation_pointer const& it, log_result result) -> void;
    auto size_locked() const -> std::size_t
    {
        return snapshot_bytes + batch_bytes;
    }

    store& platform;
    core::clock clock;
    core::logger log;
    core::shard_id shard;
    std::int64_t epoch_revision;
    shard_log_codec codec;
    shard_log_settings settings;

    std::mutex mutex;
    std::int64_t page_entries;
    bool recovered = false;
    core::log_index applied;
    std::int64_t snapshot_revision = 0;
    std::size_t snapshot_bytes = 0;
    std::size_t batch_bytes = 0;
    std::uint64_t batches = 0;           ///< Since the last written snapshot.
    std::uint64_t batches_since_try = 0; ///< Or since a too large one.
    operation_pointer current;
};

auto shard_log::implementation::read_snapshot(recovery_pointer const& it)
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

auto shard_log::implementation::read_page(recovery_pointer const& it) -> void
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
    recovery_pointer const& it, store_range const& page) -> bool
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
auto shard_log::implementation::check_epoch(recovery_pointer const& it) -> void
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

auto shard_log::implementation::finish_recovery(recovery_pointer const& it)
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

auto shard_log::implementation::start(operation_pointer const& it)
    -> std::optional<bool>
{
    {
        auto const lock = std::scoped_lock{mutex};
        if (!recovered || current)
        {
            return core::fail(
                core::error_kind::conflict,
                "The log is not recovered or a write is in flight; wait.");
        }
        current = it;
        it->transaction.compares.push_back({epoch_key(shard), epoch_revision});
        it->transaction.compares.push_back({it->key, it->former_revision});
        if (it->config_revision)
        {
            it->transaction.compares.push_back(
                {config_head_key(), *it->config_revision});
        }
    }
    send(it);
    return true;
}

auto shard_log::implementation::send(operation_pointer const& it) -> void
{
    {
        auto const lock = std::scoped_lock{mutex};
        it->retry_at.reset();
        it->sent_at = clock();
    }
    platform.commit(
        it->transaction,
        guarded([it](implementation& self, std::optional<store_commit> result)
                { self.on_commit(it, result); }));
}

auto shard_log::implementation::on_commit(
    operation_pointer const& it, std::optional<store_commit> result) -> void
{
    if (result && result->succeeded)
    {
        // An earlier sending cannot have taken effect, because the compares
        // of this one held.
        return committed(it, it->sent_at, result->revision);
    }
    if (result)
    {
        return find_cause(it);
    }
    if (core::last_reason().kind != core::error_kind::unknown_outcome)
    {
        return retry(it);
    }
    if (!it->unknown_since)
    {
        it->unknown_since = it->sent_at;
    }
    read_key(it);
}

auto shard_log::implementation::read_key(operation_pointer const& it) -> void
{
    platform.range(
        it->key, "", 1,
        guarded(
            [it](implementation& self, std::optional<store_range> const& found)
            {
                auto const* const entry = single(found);
                if (written_by(*it, entry))
                {
                    return self.committed(
                        it, it->unknown_since.value_or(it->sent_at),
                        entry->modify_revision);
                }
                // Absent is no answer yet: the write may take effect later.
                // Repeating it ends in a commit or in a failed compare.
                self.retry(it);
            }));
}

// A compare has failed. The cause is read before the written key: once the
// epoch or the configuration has changed, no earlier sending can take effect,
// so the key that is read afterwards is final.
auto shard_log::implementation::find_cause(operation_pointer const& it) -> void
{
    platform.range(
        epoch_key(shard), "", 1,
        guarded(
            [it](implementation& self, std::optional<store_range> const& found)
            {
                if (!found)
                {
                    return self.retry(it);
                }
                if (revision_of(found) != self.epoch_revision)
                {
                    return self.settle(it, log_outcome::epoch_changed);
                }
                if (it->config_revision)
                {
                    return self.find_config_cause(it);
                }
                self.settle(it, std::nullopt);
            }));
}

auto shard_log::implementation::find_config_cause(operation_pointer const& it)
    -> void
{
    platform.range(
        config_head_key(), "", 1,
        guarded(
            [it](implementation& self, std::optional<store_range> const& found)
            {
                if (!found)
                {
                    return self.retry(it);
                }
                auto const changed = revision_of(found) != *it->config_revision;
                self.settle(
                    it, changed ? std::optional{log_outcome::config_changed}
                                : std::nullopt);
            }));
}

auto shard_log::implementation::settle(
    operation_pointer const& it, std::optional<log_outcome> cause) -> void
{
    platform.range(
        it->key, "", 1,
        guarded(
            [it, cause](
                implementation& self, std::optional<store_range> const& found)
            {
                if (!found)
                {
                    return self.retry(it);
                }
                auto const* const entry = single(found);
                if (written_by(*it, entry))
                {
                    return self.committed(
                        it, it->unknown_since.value_or(it->sent_at),
                        entry->modify_revision);
                }
                if (cause == log_outcome::epoch_changed)
                {
                    return self.finish(it, {*cause, it->sent_at});
                }
                if (revision_of(found) != it->former_revision)
                {
                    self.log.error(
                        "Another process writes this shard's log.",
                        {{"shard", self.shard.value}, {"key", it->key}});
                    return self.finish(
                        it, {log_outcome::epoch_changed, it->sent_at});
                }
                if (!cause)
                {
                    return self.retry(it);
                }
                self.finish(it, {*cause, it->sent_at});
            }));
}

auto shard_log::implementation::retry(operation_pointer const& it) -> void
{
    auto const lock = std::scoped_lock{mutex};
    it->retry_at = clock() + settings.retry_interval;
}

auto shard_log::implementation::committed(
    operation_pointer const& it, core::time_point sent_at,
    std::int64_t revision) -> void
{
    {
        auto const lock = std::scoped_lock{mutex};
        if (it->is_snapshot)
        {
            snapshot_revision = revision;
            snapshot_bytes = it->bytes;
            batch_bytes = 0;
            batches = 0;
            batches_since_try = 0;
        }
        else
        {
            applied = applied.next();
            batch_bytes += it->bytes;
            ++batches;
            ++batches_since_try;
        }
    }
    finish(it, {log_outcome::committed, sent_at});
}

auto shard_log::implementation::finish(
    operation_pointer const& it, log_result result) -> void
{
    {
        auto const lock = std::scoped_lock{mutex};
        current.reset();
    }
    it->on_done(result);
}

shard_log::shard_log(
    store& platform, core::clock clock, core::logger const& log,
    core::shard_id shard, std::int64_t epoch_revision, shard_log_codec codec,
    shard_log_settings settings)
    : implementation_(std::make_shared<implementation>(
          platform, std::move(clock), log, shard, epoch_revision,
          std::move(codec), settings))
{
}

shard_log::~shard_log()
{
    if (implementation_)
    {
        implementation_->closed = true;
    }
}

shard_log::shard_log(shard_log&&) noexcept = default;

auto shard_log::operator=(shard_log&& other) noexcept -> shard_log&
{
    std::swap(implementation_, other.implementation_);
    return *this;
}

auto shard_log::recover(store::handler<recovered_log> on_done) -> void
{
    auto const it = std::make_shared<recovery>();
    it->on_done = std::move(on_done);
    implementation_->read_snapshot(it);
}

auto shard_log::append(
    state::record_batch const& batch,
    std::optional<std::int64_t> config_revision, done on_done)
    -> std::optional<bool>
{
    auto& self = *implementation_;
    auto const it = std::make_shared<operation>();
    auto value = self.codec.encode_batch(batch);
    if (value.size() > self.settings.value_limit_bytes)
    {
        return core::fail(
            core::error_kind::invalid_input,
            "The batch exceeds the store's value limit; split it.");
    }
    {
        auto const lock = std::scoped_lock{self.mutex};
        it->key = log_key(self.shard, self.applied.next());
    }
    it->is_ours =
        [&codec = self.codec, id = batch.unique_id](std::string const& text)
    {
        auto const found = codec.decode_batch(text);
        return found && found->unique_id == id;
    };
    it->config_revision = config_revision;
    it->bytes = value.size();
    it->on_done = std::move(on_done);
    it->transaction.writes.push_back({it->key, std::move(value), "", {}});
    return self.start(it);
}

auto shard_log::snapshot_due() const -> bool
{
    auto const& self = *implementation_;
    auto const lock = std::scoped_lock{implementation_->mutex};
    auto const full = self.size_locked() >= self.settings.full_bytes;
    auto const wait = full || self.batches > self.batches_since_try
                          ? self.settings.full_snapshot_batches
                          : self.settings.snapshot_batches;
    return self.batches_since_try >= wait;
}

auto shard_log::write_snapshot(state::shard_data const& data, done on_done)
    -> std::optional<bool>
{
    auto& self = *implementation_;
    auto const it = std::make_shared<operation>();
    auto applied = core::log_index{};
    {
        auto const lock = std::scoped_lock{self.mutex};
        applied = self.applied;
        it->former_revision = self.snapshot_revision;
    }
    auto value = self.codec.encode_snapshot({applied, data});
    if (value.size() > self.settings.value_limit_bytes)
    {
        {
            auto const lock = std::scoped_lock{self.mutex};
            self.snapshot_bytes = value.size();
            self.batch_bytes = 0;
            self.batches_since_try = 0;
        }
        self.log.error(
            "Snapshot exceeds the store's value limit; submits are refused.",
            {{"shard", self.shard.value}, {"bytes", value.size()}});
        on_done({log_outcome::too_large, self.clock()});
        return true;
    }
    it->key = snapshot_key(self.shard);
    it->is_ours = [value](std::string const& text)
    {
        return text == value;
    };
    it->bytes = value.size();
    it->is_snapshot = true;
    it->on_done = std::move(on_done);
    it->transaction.writes.push_back({it->key, std::move(value), "", {}});
    it->transaction.writes.push_back(
        {log_key(self.shard, core::log_index{}),
         std::nullopt,
         log_key(self.shard, applied.next()),
         {}});
    return self.start(it);
}

auto shard_log::size_bytes() const -> std::size_t
{
    auto const lock = std::scoped_lock{implementation_->mutex};
    return implementation_->size_locked();
}

auto shard_log::full() const -> bool
{
    return size_bytes() >= implementation_->settings.full_bytes;
}

auto shard_log::busy() const -> bool
{
    auto const lock = std::scoped_lock{implementation_->mutex};
    return implementation_->current != nullptr;
}

auto shard_log::tick() -> void
{
    auto& self = *implementation_;
    auto due = operation_pointer{};
    {
        auto const lock = std::scoped_lock{self.mutex};
        auto const& it = self.current;
        if (it && it->retry_at && *it->retry_at <= self.clock())
        {
            due = it;
            due->retry_at.reset();
        }
    }
    if (due)
    {
        self.send(due);
    }
}

} // namespace godwitcleat::coordination
