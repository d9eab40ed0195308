#include "bootclock.h"

#include <ctime>

namespace trefoilgate {

namespace {

constexpr int64_t kMillisPerSecond = 1000;
constexpr int64_t kNanosPerMilli = 1000000;

} // namespace

trefoilarch::Millis
BootNow()
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return trefoilarch::Millis(now.tv_sec * kMillisPerSecond +
                             now.tv_nsec / kNanosPerMilli);
}

} // namespace trefoilgate
