#include "storeuptime.h"

#include <algorithm>

namespace trefoilarch {

StoreUptime::StoreUptime(StoreUptimeOptions aOptions)
  : mOptions(aOptions)
{
}

bool
StoreUptime::OnResponse(Millis aStoreTime)
{
  // Responses may overtake each other, but not by this much.
  const bool clockWasReset =
    mInterval && aStoreTime + mOptions.mMinOutage < mInterval->mSince;
  if (clockWasReset) {
    mInterval.reset();
  }
  return OnPeerReport({ .mSince = aStoreTime, .mUntil = aStoreTime });
}

bool
StoreUptime::OnPeerReport(const StoreServingInterval& aReport)
{
  if (!mInterval) {
    mInterval = aReport;
    return false;
  }
  const bool isBefore =
    aReport.mUntil + mOptions.mMinOutage < mInterval->mSince;
  if (isBefore) {
    return false;
  }
  const bool isAfter = aReport.mSince > mInterval->mUntil + mOptions.mMinOutage;
  mSawOutage = mSawOutage || isAfter;
  mInterval->mSince =
    isAfter ? aReport.mSince : std::min(mInterval->mSince, aReport.mSince);
  mInterval->mUntil = std::max(mInterval->mUntil, aReport.mUntil);
  return isAfter;
}

} // namespace trefoilarch
