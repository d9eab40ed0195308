#include "slowdetector.h"

namespace trefoilarch {

bool
SlowDetector::Update(double aFactor, Millis aNow)
{
  const bool pastBound =
    mSlowSince ? aFactor < kNormalFactor : aFactor > kSlowFactor;
  if (!pastBound) {
    mPastBoundSince.reset();
    return false;
  }
  if (!mPastBoundSince) {
    mPastBoundSince = aNow;
  }
  if (aNow - *mPastBoundSince < kDuration) {
    return false;
  }
  mSlowSince = mSlowSince ? std::nullopt : mPastBoundSince;
  mPastBoundSince.reset();
  return true;
}

} // namespace trefoilarch
