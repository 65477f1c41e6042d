/** @file config_follower_base.cpp Holds and publishes the configuration. */
#include "coordination/config_follower_base.hpp"

#include "coordination/guarded_internal.hpp"
#include "coordination/key_func.hpp"
#include "coordination/ordered_hook_internal.hpp"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <utility>

namespace godwitcleat::coordination
{

namespace
{

/** A publish until its outcome is certain. */
struct publication
{
    core::generation base;
    state::config_change change;
    state::config_document document;
    std::string change_value;
    std::string document_value;
    store_transaction transaction;
    store::handler<publish_outcome> on_done;
    core::time_point deadline;
    std::optional<core::time_point> retry_at;
    bool maybe_sent = false; ///< A sending had an unknown outcome.
};

using publication_pointer = std::shared_ptr<publication>;

auto single(store_range const& found) -> store_entry const*
{
    return found.entries.empty() ? nullptr : &found.entries.front();
}

} // namespace

struct config_follower::implementation
    : public guarded_base<config_follower::implementation>
{
    implementation(
        store& platform, core::clock clock, core::logger const& log,
        config_codec codec, config_follower_settings settings,
        config_follower_hooks hooks)
        : platform(platform)
        , clock(std::move(clock))
        , log(log.with_prefix("config"))
        , codec(std::move(codec))
        , settings(settings)
        , wall_us(
              hooks.wall_us ? std::move(hooks.wall_us) : &core::wall_clock_us)
        , generations(std::move(hooks.on_generation))
        , view{std::make_shared<state::config_document const>(), std::nullopt}
    {
    }

    auto read_head() -> void;
    /** Takes over what the head key holds; returns its generation. */
    auto take_head(store_range const& found) -> std::optional<core::generation>;
    auto
    set(state::config_document document, std::optional<std::int64_t> revision)
        -> bool;

    auto begin(publication_pointer const& it) -> void;
    auto prepare(publication_pointer const& it, std::int64_t head_revision)
        -> std::optional<bool>;
    auto send(publication_pointer const& it) -> void;
    auto
    on_commit(publication_pointer const& it, std::optional<store_commit> result)
        -> void;
    auto settle(publication_pointer const& it, bool is_final) -> void;
    auto compare_head(publication_pointer const& it) -> void;
    auto retry(publication_pointer const& it) -> void;
    auto conflict(publication_pointer const& it, core::generation head) -> void;
    auto accept(publication_pointer const& it) -> void;

    store& platform;
    core::clock clock;
    core::logger log;
    config_codec codec;
    config_follower_settings settings;
    std::function<std::int64_t()> wall_us;
    ordered_hook<state::config_pointer> generations;

    std::mutex mutex;
    config_view view;
    core::time_point next_read;
    bool reading = false;
    std::vector<publication_pointer> waiting; ///< For their retry_at.
};

auto config_follower::implementation::set(
    state::config_document document, std::optional<std::int64_t> revision)
    -> bool
{
    {
        auto const lock = std::scoped_lock{mutex};
        auto const present = view.document->number;
        if (document.number < present && !settings.apply_lower_generations)
        {
            return false;
        }
        if (document.number == present)
        {
            if (revision && document == *view.document)
            {
                view.head_revision = revision;
            }
            else if (revision)
            {
                log.error(
                    "Two documents have the same generation; publish again.",
                    {{"generation", present.value}});
            }
            return false;
        }
        view.document =
            std::make_shared<state::config_document const>(std::move(document));
        view.head_revision = revision;
        generations.push(view.document);
        log.info(
            "Configuration applied.",
            {{"generation", view.document->number.value},
             {"source", revision ? "store" : "peer"}});
    }
    generations.drain();
    return true;
}

auto config_follower::implementation::take_head(store_range const& found)
    -> std::optional<core::generation>
{
    auto const* const entry = single(found);
    if (entry == nullptr)
    {
        set({}, 0);
        return core::generation{};
    }
    auto document = codec.decode_document(entry->value);
    if (!document)
    {
        log.error(
            "The document in the store cannot be decoded; publish again.",
            {{"reason", core::last_reason().message}});
        return std::nullopt;
    }
    auto const number = document->number;
    set(std::move(*document), entry->modify_revision);
    return number;
}

auto config_follower::implementation::read_head() -> void
{
    auto known = std::int64_t{0};
    {
        auto const lock = std::scoped_lock{mutex};
        known = view.head_revision.value_or(0);
    }
    platform.range(
        {config_head_key(), "", 1, known},
        guarded(
            [](implementation& self, std::optional<store_range> const& found)
            {
                {
                    auto const lock = std::scoped_lock{self.mutex};
                    self.reading = false;
                }
                auto const is_unchanged =
                    found && found->entries.empty() && found->count > 0;
                if (found && !is_unchanged)
                {
                    self.take_head(*found);
                }
            }));
}

auto config_follower::implementation::begin(publication_pointer const& it)
    -> void
{
    platform.range(
        config_head_key(), "", 1,
        guarded(
            [it](implementation& self, std::optional<store_range> const& found)
            {
                auto const head = found ? self.take_head(*found) : std::nullopt;
                if (!head)
                {
                    return it->on_done(std::nullopt);
                }
                if (*head != it->base)
                {
                    return self.conflict(it, *head);
                }
                auto const* const entry = single(*found);
                auto const revision = entry ? entry->modify_revision : 0;
                if (!self.prepare(it, revision))
                {
                    return it->on_done(std::nullopt);
                }
                self.send(it);
            }));
}

auto config_follower::implementation::prepare(
    publication_pointer const& it, std::int64_t head_revision)
    -> std::optional<bool>
{
    auto const number = it->base.next();
    it->document.number = number;
    it->change.number = number;
    it->change.wall_us = wall_us();
    it->document_value = codec.encode_document(it->document);
    it->change_value = codec.encode_change(it->change);
    if (it->document_value.size() > settings.value_limit_bytes)
    {
        return core::fail(
            core::error_kind::invalid_input,
            "The document exceeds the store's value limit of " +
                std::to_string(settings.value_limit_bytes) +
                " bytes; remove entries.");
    }
    auto& transaction = it->transaction;
    transaction.compares = {{config_head_key(), head_revision}};
    transaction.writes = {
        {config_head_key(), it->document_value, "", {}},
        {config_change_key(number), it->change_value, "", {}}};
    if (number.value > settings.kept_changes)
    {
        auto const oldest_kept =
            core::generation{number.value - settings.kept_changes + 1};
        transaction.writes.push_back(
            {config_change_prefix(),
             std::nullopt,
             config_change_key(oldest_kept),
             {}});
    }
    return true;
}

auto config_follower::implementation::send(publication_pointer const& it)
    -> void
{
    platform.commit(
        it->transaction,
        guarded([it](implementation& self, std::optional<store_commit> result)
                { self.on_commit(it, result); }));
}

auto config_follower::implementation::on_commit(
    publication_pointer const& it, std::optional<store_commit> result) -> void
{
    if (result && result->succeeded)
    {
        set(it->document, result->revision);
        return accept(it);
    }
    if (result)
    {
        return settle(it, true);
    }
    if (core::last_reason().kind == core::error_kind::unknown_outcome)
    {
        it->maybe_sent = true;
        return settle(it, false);
    }
    if (it->maybe_sent)
    {
        return retry(it);
    }
    it->on_done(std::nullopt);
}

// Reads the change key back. After a failed compare the answer is final: the
// head never returns to the former revision, so no earlier sending can take
// effect later.
auto config_follower::implementation::settle(
    publication_pointer const& it, bool is_final) -> void
{
    platform.range(
        config_change_key(it->change.number), "", 1,
        guarded(
            [it, is_final](
                implementation& self, std::optional<store_range> const& found)
            {
                auto const* const entry = found ? single(*found) : nullptr;
                if (!found || (entry == nullptr && !is_final))
                {
                    return self.retry(it);
                }
                // Author, summary and time of publishing.
                if (entry != nullptr && entry->value == it->change_value)
                {
                    return self.compare_head(it);
                }
                self.conflict(it, it->change.number);
            }));
}

auto config_follower::implementation::compare_head(
    publication_pointer const& it) -> void
{
    platform.range(
        config_head_key(), "", 1,
        guarded(
            [it](implementation& self, std::optional<store_range> const& found)
            {
                auto const head = found ? self.take_head(*found) : std::nullopt;
                if (!head)
                {
                    return self.retry(it);
                }
                auto const* const entry = single(*found);
                if (entry != nullptr && *head == it->change.number &&
                    entry->value != it->document_value)
                {
                    return self.conflict(it, *head);
                }
                self.accept(it);
            }));
}

auto config_follower::implementation::retry(publication_pointer const& it)
    -> void
{
    auto const lock = std::scoped_lock{mutex};
    it->retry_at = clock() + settings.retry_interval;
    waiting.push_back(it);
}

auto config_follower::implementation::accept(publication_pointer const& it)
    -> void
{
    log.info(
        "Configuration published.", {{"generation", it->change.number.value},
                                     {"author", it->change.author}});
    it->on_done(publish_outcome{true, it->change.number, {}});
}

auto config_follower::implementation::conflict(
    publication_pointer const& it, core::generation head) -> void
{
    platform.range(
        config_change_key(it->base.next()), prefix_end(config_change_prefix()),
        static_cast<std::int64_t>(settings.kept_changes),
        guarded(
            [it, head](
                implementation& self, std::optional<store_range> const& found)
            {
                if (!found)
                {
                    core::fail(
                        core::error_kind::unavailable,
                        "Another change came first, and the store did not "
                        "tell which; nothing was published, read the "
                        "configuration and try again.");
                    return it->on_done(std::nullopt);
                }
                auto result = publish_outcome{false, head, {}};
                for (auto const& entry : found->entries)
                {
                    if (auto change = self.codec.decode_change(entry.value))
                    {
                        result.number = std::max(head, change->number);
                        result.changes.push_back(std::move(*change));
                    }
                }
                it->on_done(std::move(result));
            }));
}

config_follower::config_follower(
    store& platform, core::clock clock, core::logger const& log,
    config_codec codec, config_follower_settings settings,
    config_follower_hooks hooks)
    : implementation_(std::make_shared<implementation>(
          platform, std::move(clock), log, std::move(codec), settings,
          std::move(hooks)))
{
}

config_follower::~config_follower()
{
    implementation_->closed = true;
}

auto config_follower::tick() -> void
{
    auto& self = *implementation_;
    auto due = std::vector<publication_pointer>{};
    auto read = false;
    auto const now = self.clock();
    {
        auto const lock = std::scoped_lock{self.mutex};
        auto const first_due = std::partition(
            self.waiting.begin(), self.waiting.end(),
            [now](auto const& it) { return *it->retry_at > now; });
        due.assign(first_due, self.waiting.end());
        self.waiting.erase(first_due, self.waiting.end());
        read = !self.reading && now >= self.next_read;
        if (read)
        {
            self.reading = true;
            self.next_read = now + self.settings.read_interval;
        }
    }
    if (read)
    {
        self.read_head();
    }
    for (auto const& it : due)
    {
        if (now < it->deadline)
        {
            self.send(it);
            continue;
        }
        core::fail(
            core::error_kind::unknown_outcome,
            "The store did not tell whether the document was published; read "
            "the configuration.");
        it->on_done(std::nullopt);
    }
}

auto config_follower::offer(state::config_document document) -> bool
{
    auto& self = *implementation_;
    auto const taken = self.set(std::move(document), std::nullopt);
    if (taken)
    {
        // The next tick learns the revision that belongs to the document.
        auto const lock = std::scoped_lock{self.mutex};
        self.next_read = self.clock();
    }
    return taken;
}

auto config_follower::current() const -> config_view
{
    auto const lock = std::scoped_lock{implementation_->mutex};
    return implementation_->view;
}

auto config_follower::publish(
    core::generation base, std::string author, std::string summary,
    state::config_document document, store::handler<publish_outcome> on_done)
    -> void
{
    auto& self = *implementation_;
    auto const it = std::make_shared<publication>();
    it->base = base;
    it->change.author = std::move(author);
    it->change.summary = std::move(summary);
    it->document = std::move(document);
    it->on_done = std::move(on_done);
    it->deadline = self.clock() + self.settings.settle_time;
    self.begin(it);
}

} // namespace godwitcleat::coordination
