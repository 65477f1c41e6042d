/** @file allocation_func.cpp The counting operator new of this program. */
#include "bench/slopes/allocation_func.hpp"

#include <atomic>
#include <cstdlib>
#include <malloc.h>
#include <new>

namespace
{

std::atomic<std::size_t> held{0};

// The allocator keeps its size field in front of each block.
constexpr std::size_t block_header = sizeof(std::size_t);

auto block_size(void* block) -> std::size_t
{
    return malloc_usable_size(block) + block_header;
}

} // namespace

auto godwitcleat::bench::allocated_bytes() -> std::size_t
{
    return held.load();
}

auto operator new(std::size_t size) -> void*
{
    auto* const block = std::malloc(size == 0 ? 1 : size);
    if (block == nullptr)
    {
        throw std::bad_alloc{};
    }
    held += block_size(block);
    return block;
}

auto operator delete(void* block) noexcept -> void
{
    if (block != nullptr)
    {
        held -= block_size(block);
        std::free(block);
    }
}

auto operator delete(void* block, std::size_t /*size*/) noexcept -> void
{
    operator delete(block);
}
