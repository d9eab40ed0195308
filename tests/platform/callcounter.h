#pragma once

#include <cstdint>

namespace platformtest {

/** System calls and allocations of a thread. */
struct CallCounts
{
  uint64_t mSystemCalls = 0;
  uint64_t mAllocations = 0;
};

/**
 * Counts of the calling thread since its start. The program's definitions of
 * the system calls that an event loop makes, and of operator new, replace those
 * of the libraries; link callcounter.cpp to use them.
 */
CallCounts
ThreadCallCounts();

} // namespace platformtest
