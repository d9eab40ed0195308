#pragma once

#include <cstdint>

namespace platformtest {

/** What a thread asked of the kernel and of the heap. */
struct CallCounts
{
  uint64_t mSystemCalls = 0;
  uint64_t mAllocations = 0;
};

/**
 * Counts of the calling thread since its start. The program's own definitions
 * of the calls that an event loop makes, and of operator new, stand before the
 * libraries' and count; link callcounter.cpp to have them.
 */
CallCounts
ThreadCallCounts();

} // namespace platformtest
