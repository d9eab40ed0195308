#pragma once

#include <cstdint>
#include <sys/types.h>

namespace bench {

/** What a process has used so far, as the kernel counts it. */
struct ProcessUsage
{
  double mProcessorSeconds = 0;
  double mMemoryMegabytes = 0; /**< resident, without shared pages of files */
  uint64_t mThreads = 0;
};

/** Of a process that this program started; zero where it is gone. */
ProcessUsage
UsageOf(pid_t aProcess);

} // namespace bench
