/** @file hash_func.hpp Stable hashes that are equal on every instance. */
#ifndef GODWITCLEAT_CORE_HASH_FUNC_HPP
#define GODWITCLEAT_CORE_HASH_FUNC_HPP

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace godwitcleat::core
{

/** Returns a 64-bit hash of @p text (FNV-1a with a final mix). */
auto stable_hash(std::string_view text) -> std::uint64_t;

/** Returns the combination of two hashes; order matters. */
auto combine_hash(std::uint64_t left, std::uint64_t right) -> std::uint64_t;

/**
 * Chooses one of @p names for @p key by rendezvous hashing.
 * @return the index of the name with the highest weight, or names.size() if
 *         there is none.
 */
auto rendezvous_choice(std::span<std::string const> names, std::uint64_t key)
    -> std::size_t;

} // namespace godwitcleat::core

#endif
