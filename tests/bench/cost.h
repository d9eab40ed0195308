#pragma once

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <new>

/** Bytes allocated so far by the program that includes this header, once. */
inline uint64_t sAllocated = 0;

// A replacement of the global operators has to come down to malloc and free.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

void*
operator new(size_t aSize)
{
  sAllocated += aSize;
  if (void* memory = std::malloc(aSize))
    return memory;
  throw std::bad_alloc();
}

void
operator delete(void* aMemory) noexcept
{
  std::free(aMemory);
}

void
operator delete(void* aMemory, size_t) noexcept
{
  std::free(aMemory);
}

namespace bench {

/** Sums up what one kind of event costs. */
class Cost
{
public:
  template<typename Event>
  auto Add(Event aEvent)
  {
    const uint64_t bytes = sAllocated;
    const auto begin = std::chrono::steady_clock::now();
    auto actions = aEvent();
    const auto took = std::chrono::steady_clock::now() - begin;
    mNanoseconds += std::chrono::nanoseconds(took).count();
    mBytes += sAllocated - bytes;
    ++mEvents;
    return actions;
  }

  void Print(const char* aName) const
  {
    if (mEvents == 0)
      return;
    std::printf("  %-10s %7lld ns %7llu bytes\n",
                aName,
                static_cast<long long>(mNanoseconds / mEvents),
                static_cast<unsigned long long>(mBytes / mEvents));
  }

private:
  int64_t mNanoseconds = 0;
  uint64_t mBytes = 0;
  int64_t mEvents = 0;
};

} // namespace bench
