#include "pool/allocations.h"

#include <cstdlib>
#include <new>

namespace {

std::size_t bytes = 0;

}

std::size_t allocatedBytes()
{
    return bytes;
}

void* operator new(std::size_t size)
{
    bytes += size;
    if (void* const memory = std::malloc(size == 0 ? 1 : size))
        return memory;
    throw std::bad_alloc();
}

// The temporary buffers of stable sorts are allocated this way and released by the operator below.
void* operator new(std::size_t size, const std::nothrow_t&) noexcept
{
    bytes += size;
    return std::malloc(size == 0 ? 1 : size);
}

void operator delete(void* memory) noexcept
{
    std::free(memory);
}

void operator delete(void* memory, std::size_t) noexcept
{
    std::free(memory);
}
