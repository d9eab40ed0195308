#include "storeuptime.h"

#include <algorithm>

namespace trefoilarch {

StoreUptime::StoreUptime(StoreUptimeOptions aOptions)
  : mOptions(aOptions)
{
}

bool
StoreUptime::OnAnswer(Millis aReading)
{
  // Answers may overtake each other, but not by so much.
  const bool clockWasReset =
    mRun && aReading + mOptions.mMinOutage < mRun->mSince;
  if (clockWasReset) {
    mRun.reset();
  }
  return OnPeerReport({ .mSince = aReading, .mUntil = aReading });
}

bool
StoreUptime::OnPeerReport(const StoreServingInterval& aTold)
{
  if (!mRun) {
    mRun = aTold;
    return false;
  }
  const bool isBefore = aTold.mUntil + mOptions.mMinOutage < mRun->mSince;
  if (isBefore) {
    return false;
  }
  const bool isAfter = aTold.mSince > mRun->mUntil + mOptions.mMinOutage;
  mSawOutage = mSawOutage || isAfter;
  mRun->mSince = isAfter ? aTold.mSince : std::min(mRun->mSince, aTold.mSince);
  mRun->mUntil = std::max(mRun->mUntil, aTold.mUntil);
  return isAfter;
}

} // namespace trefoilarch
