/** @file shard_log_base.cpp Writing of one shard's log. */
#include "coordination/shard_log_base.hpp"

#include "coordination/key_func.hpp"
#include "coordination/shard_log_internal.hpp"

#include <mutex>
#include <utility>

namespace godwitcleat::coordination
{

namespace
{

/** Returns true if @p entry is what @p it wrote. */
auto written_by(log_operation const& it, store_entry const* entry) -> bool
{
    return entry != nullptr && entry->modify_revision != it.former_revision &&
           it.is_ours(entry->value);
}

} // namespace

auto shard_log::implementation::start(log_operation_pointer const& it)
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

auto shard_log::implementation::send(log_operation_pointer const& it) -> void
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
    log_operation_pointer const& it, std::optional<store_commit> result) -> void
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

auto shard_log::implementation::read_or_retry(
    std::string key, log_operation_pointer const& it,
    std::function<void(implementation&, std::optional<store_range> const&)>
        on_read) -> void
{
    platform.range(
        std::move(key), "", 1,
        guarded(
            [it, on_read = std::move(on_read)](
                implementation& self, std::optional<store_range> const& found)
            { found ? on_read(self, found) : self.retry(it); }));
}

auto shard_log::implementation::read_key(log_operation_pointer const& it)
    -> void
{
    read_or_retry(
        it->key, it,
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
        });
}

// A compare has failed. The cause is read before the written key: once the
// epoch or the configuration has changed, no earlier sending can take effect,
// so the key that is read afterwards is final.
auto shard_log::implementation::find_cause(log_operation_pointer const& it)
    -> void
{
    read_or_retry(
        epoch_key(shard), it,
        [it](implementation& self, std::optional<store_range> const& found)
        {
            if (revision_of(found) != self.epoch_revision)
            {
                return self.settle(it, log_outcome::epoch_changed);
            }
            if (it->config_revision)
            {
                return self.find_config_cause(it);
            }
            self.settle(it, std::nullopt);
        });
}

auto shard_log::implementation::find_config_cause(
    log_operation_pointer const& it) -> void
{
    read_or_retry(
        config_head_key(), it,
        [it](implementation& self, std::optional<store_range> const& found)
        {
            auto const changed = revision_of(found) != *it->config_revision;
            self.settle(
                it, changed ? std::optional{log_outcome::config_changed}
                            : std::nullopt);
        });
}

auto shard_log::implementation::settle(
    log_operation_pointer const& it, std::optional<log_outcome> cause) -> void
{
    read_or_retry(
        it->key, it,
        [it,
         cause](implementation& self, std::optional<store_range> const& found)
        {
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
        });
}

auto shard_log::implementation::retry(log_operation_pointer const& it) -> void
{
    auto const lock = std::scoped_lock{mutex};
    it->retry_at = clock() + settings.retry_interval;
}

auto shard_log::implementation::committed(
    log_operation_pointer const& it, core::time_point sent_at,
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
    log_operation_pointer const& it, log_result result) -> void
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
    auto const it = std::make_shared<log_recovery>();
    it->on_done = std::move(on_done);
    implementation_->read_snapshot(it);
}

auto shard_log::append(
    state::record_batch const& batch,
    std::optional<std::int64_t> config_revision, done on_done)
    -> std::optional<bool>
{
    auto& self = *implementation_;
    auto const it = std::make_shared<log_operation>();
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
    auto const it = std::make_shared<log_operation>();
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
    auto due = log_operation_pointer{};
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
