#pragma once

#include "allocations.h"

#include <chrono>
#include <cstdint>
#include <cstdio>

namespace trefoilbench {

/** Sums up what one kind of event costs in time and allocated bytes. */
class Cost
{
public:
  template<typename Event>
  auto Add(Event aEvent)
  {
    const uint64_t bytes = AllocatedBytes();
    const auto begin = std::chrono::steady_clock::now();
    auto actions = aEvent();
    const auto took = std::chrono::steady_clock::now() - begin;
    mNanoseconds += std::chrono::nanoseconds(took).count();
    mBytes += AllocatedBytes() - bytes;
    ++mEvents;
    return actions;
  }

  void Print(const char* aName) const
  {
    if (mEvents == 0) {
      return;
    }
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

} // namespace trefoilbench
