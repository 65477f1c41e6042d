/** @file id_type.hpp Typed identifiers, so that ids cannot be mixed up. */
#ifndef GODWITCLEAT_CORE_ID_TYPE_HPP
#define GODWITCLEAT_CORE_ID_TYPE_HPP

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace godwitcleat::core
{

/** An identifier that wraps a string; @p Tag tells kinds of ids apart. */
template <class Tag>
struct string_id
{
    std::string value; ///< The identifier as users see it.

    string_id() = default;
    explicit string_id(std::string text)
        : value(std::move(text))
    {
    }
    auto operator<=>(string_id const&) const = default; // NOLINT

    /** Returns true if no identifier is set. */
    [[nodiscard]] auto empty() const -> bool
    {
        return value.empty();
    }
};

/** An identifier or counter that wraps an integer. */
template <class Tag>
struct number_id
{
    std::uint64_t value = 0; ///< The number; 0 means none.

    number_id() = default;
    explicit constexpr number_id(std::uint64_t number)
        : value(number)
    {
    }
    auto operator<=>(number_id const&) const = default; // NOLINT

    /** Returns the following number. */
    [[nodiscard]] auto next() const -> number_id
    {
        return number_id{value + 1};
    }
};

using instance_id = string_id<struct instance_tag>;
using worker_id = string_id<struct worker_tag>;
using rack_id = string_id<struct rack_tag>;
using data_centre_id = string_id<struct data_centre_tag>;
using job_id = string_id<struct job_tag>;
using service_id = string_id<struct service_tag>;
using team_id = string_id<struct team_tag>;
using request_id = string_id<struct request_tag>;
using backend_server_id = string_id<struct backend_server_tag>;

using shard_id = number_id<struct shard_tag>;
using epoch = number_id<struct epoch_tag>;           ///< Owner's term.
using generation = number_id<struct generation_tag>; ///< Configuration.
using attempt_number = number_id<struct attempt_tag>;
using log_index = number_id<struct log_index_tag>;

} // namespace godwitcleat::core

template <class Tag>
struct std::hash<godwitcleat::core::string_id<Tag>>
{
    auto operator()(godwitcleat::core::string_id<Tag> const& id) const noexcept
        -> std::size_t
    {
        return std::hash<std::string>{}(id.value);
    }
};

template <class Tag>
struct std::hash<godwitcleat::core::number_id<Tag>>
{
    auto operator()(godwitcleat::core::number_id<Tag> const& id) const noexcept
        -> std::size_t
    {
        return std::hash<std::uint64_t>{}(id.value);
    }
};

#endif
