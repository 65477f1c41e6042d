/** @file hash_func.cpp Stable hashes that are equal on every instance. */
#include "core/hash_func.hpp"

namespace godwitcleat::core
{

namespace
{

constexpr std::uint64_t fnv_offset_basis = 14695981039346656037U;
constexpr std::uint64_t fnv_prime = 1099511628211U;

// Finaliser of splitmix64. FNV-1a alone spreads short keys poorly over the
// high bits, on which rendezvous hashing compares.
auto mix(std::uint64_t value) -> std::uint64_t
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

} // namespace

auto stable_hash(std::string_view text) -> std::uint64_t
{
    auto hash = fnv_offset_basis;
    for (auto const letter : text)
    {
        hash ^= static_cast<unsigned char>(letter);
        hash *= fnv_prime;
    }
    return mix(hash);
}

auto combine_hash(std::uint64_t left, std::uint64_t right) -> std::uint64_t
{
    return mix(left * fnv_prime + right);
}

auto rendezvous_choice(std::span<std::string const> names, std::uint64_t key)
    -> std::size_t
{
    auto best = names.size();
    auto best_weight = std::uint64_t{0};
    for (std::size_t i = 0; i < names.size(); ++i)
    {
        auto const weight = combine_hash(stable_hash(names[i]), key);
        if (best == names.size() || weight > best_weight)
        {
            best = i;
            best_weight = weight;
        }
    }
    return best;
}

} // namespace godwitcleat::core
