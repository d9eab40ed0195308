#pragma once

#include "allocations.h"

#include <chrono>
#include <cstdint>
#include <cstdio>

namespace trefoilbench {

/** Accumulates the time and allocated bytes of one kind of operation. */
class Cost
{
public:
  template<typename Operation>
  auto Add(Operation aOperation)
  {
    const uint64_t bytes = AllocatedBytes();
    const auto startTime = std::chrono::steady_clock::now();
    auto actions = aOperation();
    const auto duration = std::chrono::steady_clock::now() - startTime;
    mNanoseconds += std::chrono::nanoseconds(duration).count();
    mBytes += AllocatedBytes() - bytes;
    ++mCount;
    return actions;
  }

  void Print(const char* aName) const
  {
    if (mCount == 0) {
      return;
    }
    std::printf("  %-10s %7lld ns %7llu bytes\n",
                aName,
                static_cast<long long>(mNanoseconds / mCount),
                static_cast<unsigned long long>(mBytes / mCount));
  }

private:
  int64_t mNanoseconds = 0;
  uint64_t mBytes = 0;
  int64_t mCount = 0;
};

} // namespace trefoilbench
