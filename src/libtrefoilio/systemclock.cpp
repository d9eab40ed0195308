#include "systemclock.h"

#include <chrono>

namespace trefoilio {

using namespace std::chrono;

trefoilarch::Millis
MonotonicNow()
{
  const auto since = steady_clock::now().time_since_epoch();
  return trefoilarch::Millis(duration_cast<milliseconds>(since).count());
}

int64_t
UnixSeconds()
{
  const auto since = system_clock::now().time_since_epoch();
  return duration_cast<seconds>(since).count();
}

} // namespace trefoilio
