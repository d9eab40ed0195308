#pragma once

#include <cstdint>
#include <sys/types.h>

namespace bench {

/** Resources used by a process so far, as counted by the kernel. */
struct ProcessUsage
{
  double mProcessorSeconds = 0;
  double mMemoryMegabytes = 0; /**< resident, without file-backed pages */
  uint64_t mThreads = 0;
};

/** Returns the usage of a child process, or zeros if it has exited. */
ProcessUsage
UsageOf(pid_t aProcess);

} // namespace bench
