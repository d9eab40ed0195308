#include "upstreamwork.h"

#include <algorithm>

namespace trefoilarch {

namespace {

/** A report says nothing any more after this; a few answers' distance. */
constexpr Millis kReportSpan{ 3000 };

} // namespace

void
UpstreamWork::OnSent(const AttemptWork& aWork, Millis aNow)
{
  if (mOpen == 0) {
    mBusySince = aNow;
  }
  mOpen++;
  mSinceReport++;
  mPending.Add(aWork.mUrgency, aWork.mPrefill);
}

void
UpstreamWork::OnStarted(const AttemptWork& aWork)
{
  mPending.Subtract(aWork.mUrgency, aWork.mPrefill);
}

void
UpstreamWork::OnEnded(const AttemptWork& aWork, bool aStarted)
{
  if (!aStarted) {
    OnStarted(aWork);
  }
  mOpen -= std::min(mOpen, 1U);
  mSinceReport--;
}

void
UpstreamWork::OnReport(const ReportedLoad& aLoad, Millis aNow)
{
  mReport = aLoad;
  mReportedAt = aNow;
  mSinceReport = 0;
}

double
UpstreamWork::Busy(Millis aNow) const
{
  if (!mReport || aNow - mReportedAt > kReportSpan) {
    return mOpen;
  }
  const double busy = static_cast<double>(mReport->mRunning) +
                      static_cast<double>(mReport->mWaiting) + mSinceReport;
  return std::max<double>(busy, mOpen);
}

Millis
UpstreamWork::Silence(Millis aNow) const
{
  if (mOpen == 0) {
    return Millis(0);
  }
  return std::max(Millis(0), aNow - std::max(mHeard, mBusySince));
}

} // namespace trefoilarch
