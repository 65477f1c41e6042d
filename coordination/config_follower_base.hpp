/** @file config_follower_base.hpp Holds and publishes the configuration. */
#ifndef GODWITCLEAT_COORDINATION_CONFIG_FOLLOWER_BASE_HPP
#define GODWITCLEAT_COORDINATION_CONFIG_FOLLOWER_BASE_HPP

#include "coordination/store_type.hpp"
#include "core/core.hpp"
#include "protocol/protocol.hpp"
#include "state/state.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace godwitcleat::coordination
{

/** Codecs of the configuration keys. None may be empty. */
struct config_codec
{
    std::function<std::string(state::config_document const&)> encode_document;
    std::function<std::optional<state::config_document>(std::string_view)>
        decode_document;
    std::function<std::string(state::config_change const&)> encode_change;
    std::function<std::optional<state::config_change>(std::string_view)>
        decode_change;
};

/** Returns the msgpack codecs of the protocol library. */
auto msgpack_config_codec() -> config_codec;

/** Times and limits of a follower. */
struct config_follower_settings
{
    core::duration read_interval = std::chrono::seconds{1};
    core::duration retry_interval = std::chrono::milliseconds{200};
    /** A publish with unknown outcome is settled for this long. */
    core::duration settle_time = std::chrono::seconds{10};
    std::uint64_t kept_changes = 200;
    std::size_t value_limit_bytes = 1024UL * 1024; ///< Of the store's values.
    /** Fault for tests that prove the history checks; off in use. */
    bool apply_lower_generations = false;
};

/** Hooks of a follower. Each may be empty. */
struct config_follower_hooks
{
    /** Called for each new generation, in order, never by two threads. */
    std::function<void(state::config_pointer const&)> on_generation;
    std::function<std::int64_t()> wall_us; ///< Default: core::wall_clock_us.
};

/** The document with the store revision that it stands for. */
struct config_view
{
    state::config_pointer document; ///< Never null; generation 0 at first.
    /** modify_revision of `config/head` with this document; std::nullopt while
     *  the document is known from a peer only. 0: the key is absent. */
    std::optional<std::int64_t> head_revision;
};

/** How a publish ended. */
struct publish_outcome
{
    bool accepted = false;
    core::generation number; ///< Of the accepted document, or of the head.
    /** After a conflict: the changes since the base, oldest first. */
    std::vector<state::config_change> changes;
};

/**
 * Follows `config/head` and publishes to it; see docs/design.md 5.8. The
 * generation never decreases. Thread-safe.
 */
class config_follower
{
public:
    config_follower(
        store& platform, core::clock clock, core::logger const& log,
        config_codec codec, config_follower_settings settings = {},
        config_follower_hooks hooks = {});
    ~config_follower();
    config_follower(config_follower const&) = delete;
    auto operator=(config_follower const&) -> config_follower& = delete;

    /** Reads the head and repeats publishes; call every 50 ms or so. */
    auto tick() -> void;

    /** Takes a peer's document if its generation is higher. */
    auto offer(state::config_document document) -> bool;

    /** Returns the current document and its revision in the store. */
    [[nodiscard]] auto current() const -> config_view;

    /**
     * Publishes @p document, whose number is set here, in place of generation
     * @p base. A conflict is a result. Without a result the handler finds
     * invalid_input, unavailable (certainly not published) or
     * unknown_outcome.
     */
    auto publish(
        core::generation base, std::string author, std::string summary,
        state::config_document document,
        store::handler<publish_outcome> on_done) -> void;

private:
    struct implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace godwitcleat::coordination

#endif
