#include "allocations.h"

#include <cstdlib>
#include <malloc.h>
#include <new>

// The replaced global operators must use malloc and free.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

namespace {

uint64_t sAllocated = 0;
int64_t sLive = 0;

} // namespace

void*
operator new(size_t aSize)
{
  sAllocated += aSize;
  if (void* memory = std::malloc(aSize)) {
    sLive += static_cast<int64_t>(malloc_usable_size(memory));
    return memory;
  }
  throw std::bad_alloc();
}

void
operator delete(void* aMemory) noexcept
{
  sLive -= static_cast<int64_t>(malloc_usable_size(aMemory));
  std::free(aMemory);
}

void
operator delete(void* aMemory, size_t) noexcept
{
  sLive -= static_cast<int64_t>(malloc_usable_size(aMemory));
  std::free(aMemory);
}

namespace trefoilbench {

uint64_t
AllocatedBytes()
{
  return sAllocated;
}

int64_t
LiveBytes()
{
  return sLive;
}

} // namespace trefoilbench
