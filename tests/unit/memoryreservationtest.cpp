#include "virtualmemoryfleet.h"

#include <criterion/criterion.h>

#include <cstdio>

namespace {

MemoryFigures
RunPrinted(const char* aName, MemoryFleetOptions aOptions)
{
  const MemoryFigures figures = VirtualMemoryFleet(std::move(aOptions)).Run();
  std::printf("%s: sent %ld, unserved %ld, preempted %ld (urgent %ld), "
              "overfilled %ld, delayed %ld, mean delay %.1f ms, token-seconds "
              "kept unused %.0f, of dead holders %.0f\n",
              aName,
              figures.mSent,
              figures.mUnserved,
              figures.mPreempted,
              figures.mUrgentPreempted,
              figures.mOverfilled,
              figures.mDelayed,
              figures.mDelayMs / static_cast<double>(figures.mSent),
              figures.mUnusedTokenSeconds,
              figures.mDeadTokenSeconds);
  return figures;
}

} // namespace

/**
 * Prints what reservations at engines and counting by peers cost on the same
 * loads. Asserts what counting has to achieve: nearly no preemptions, none of
 * urgent requests, and a service for as many requests as without it.
 */
Test(memoryreservation, counting_prevents_preemption_without_calls_to_engines)
{
  for (const uint32_t workspaces : { 1, 24, 0 }) {
    const bool faults = workspaces == 0;
    MemoryFleetOptions options{ .mRoutes = RoutesOfK(),
                                .mWorkspaces = std::max(workspaces, 1U),
                                .mFaultPercent = faults ? 10U : 0U,
                                .mEntryFaults = faults };
    std::printf("K's routes, %u workspaces, %s\n",
                options.mWorkspaces,
                faults ? "faults" : "no faults");
    options.mMethod = MemoryMethod::None;
    const MemoryFigures none = RunPrinted("none", options);
    options.mMethod = MemoryMethod::Reservations;
    const MemoryFigures reserved = RunPrinted("reservations", options);
    options.mMethod = MemoryMethod::Counting;
    const MemoryFigures counted = RunPrinted("counting", options);
    cr_expect(none.mPreempted > 100, "the load fills the memory");
    cr_expect(counted.mPreempted * 10 <= none.mPreempted);
    cr_expect(counted.mUrgentPreempted == 0);
    cr_expect(counted.mSent * 20 >= reserved.mSent * 19);
  }
}
