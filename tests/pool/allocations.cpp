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

void operator delete(void* memory) noexcept
{
    std::free(memory);
}

void operator delete(void* memory, std::size_t) noexcept
{
    std::free(memory);
}
