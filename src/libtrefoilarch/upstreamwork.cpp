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
  Change(+1, aNow);
  mPending.Add(aWork.mUrgency, aWork.mPrefill);
}

void
UpstreamWork::OnStarted(const AttemptWork& aWork)
{
  mPending.Subtract(aWork.mUrgency, aWork.mPrefill);
}

void
UpstreamWork::OnEnded(const AttemptWork& aWork, bool aStarted, Millis aNow)
{
  if (!aStarted) {
    OnStarted(aWork);
  }
  mOpen -= std::min(mOpen, 1U);
  Change(-1, aNow);
}

void
UpstreamWork::OnReport(const ReportedLoad& aLoad, Millis aAt)
{
  if (mReport && aAt < mReportedAt) {
    return;
  }
  mReport = aLoad;
  mReportedAt = aAt;
  while (!mSinceReport.empty() && mSinceReport.front().mAt <= aAt) {
    mSinceReport.pop_front();
  }
}

void
UpstreamWork::Change(int aBy, Millis aNow)
{
  // What no report that still counts can be older than is forgotten.
  while (!mSinceReport.empty() &&
         aNow - mSinceReport.front().mAt > kReportSpan) {
    mSinceReport.pop_front();
  }
  mSinceReport.push_back({ .mAt = aNow, .mBy = aBy });
}

double
UpstreamWork::Busy(Millis aNow) const
{
  if (!mReport || aNow - mReportedAt > kReportSpan) {
    return mOpen;
  }
  double busy = static_cast<double>(mReport->mRunning) +
                static_cast<double>(mReport->mWaiting);
  for (const LoadChange& each : mSinceReport) {
    busy += each.mBy;
  }
  return std::max<double>(busy, mOpen);
}

Millis
UpstreamWork::ReportAge(Millis aNow) const
{
  return mReport ? std::min(aNow - mReportedAt, kReportSpan) : kReportSpan;
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
