#include "processcontinuity.h"

namespace trefoilarch {

void
ProcessContinuity::OnAccepted(Millis aStarted, Millis aAccepted)
{
  if (aStarted >= mRunningAt && aAccepted - mRunningAt < kMinRestartTime) {
    mRunningAt = aStarted;
    mAcceptedAt = aStarted;
  }
}

} // namespace trefoilarch
