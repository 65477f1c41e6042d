/** @file limits_internal.hpp Ranges of the values that operators set. */
#ifndef GODWITCLEAT_PROTOCOL_LIMITS_INTERNAL_HPP
#define GODWITCLEAT_PROTOCOL_LIMITS_INTERNAL_HPP

#include <cstddef>
#include <cstdint>

namespace godwitcleat::protocol
{

/** Largest need, quota or time; sums of many fit in std::int64_t. */
inline constexpr auto most_amount = std::int64_t{1'000'000'000'000};

/** Runners of one service; the snapshots of all shards must hold them. */
inline constexpr auto most_runners = std::uint32_t{10'000};

inline constexpr auto most_slots = std::uint32_t{1'000};
inline constexpr auto most_connections = std::uint32_t{65'535};
inline constexpr auto most_deadline_ms = std::int64_t{3'600'000};

/** Levels of JSON; the deepest message, a published document, nests 6. */
inline constexpr auto most_json_depth = std::size_t{32};

/** Bytes of a packed document; the store holds values of up to 1 MB. */
inline constexpr auto most_document_bytes = std::size_t{1'000'000};

} // namespace godwitcleat::protocol

#endif
