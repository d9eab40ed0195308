#include "wallclock.h"

#include <chrono>

namespace trefoilgate {

trefoilarch::Millis
WallNow()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return trefoilarch::Millis(
    std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

} // namespace trefoilgate
