#include "upstreamwork.h"

#include <algorithm>

namespace trefoilarch {

namespace {

/** A report is ignored at a higher age: the time of a few responses. */
constexpr Millis kMaxReportAge{ 3000 };

} // namespace

void
UpstreamWork::OnSent(const AttemptWork& aWork, Millis aNow)
{
  if (mOpen == 0) {
    mBusySince = aNow;
  }
  mOpen++;
  RecordChange(+1, aNow);
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
  RecordChange(-1, aNow);
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
UpstreamWork::RecordChange(int aDelta, Millis aNow)
{
  // Drops changes that are older than any report that still counts.
  while (!mSinceReport.empty() &&
         aNow - mSinceReport.front().mAt > kMaxReportAge) {
    mSinceReport.pop_front();
  }
  mSinceReport.push_back({ .mAt = aNow, .mDelta = aDelta });
}

double
UpstreamWork::Busy(Millis aNow) const
{
  if (!mReport || aNow - mReportedAt > kMaxReportAge) {
    return mOpen;
  }
  double busy = static_cast<double>(mReport->mRunning) +
                static_cast<double>(mReport->mWaiting);
  for (const LoadChange& each : mSinceReport) {
    busy += each.mDelta;
  }
  return std::max<double>(busy, mOpen);
}

Millis
UpstreamWork::ReportAge(Millis aNow) const
{
  return mReport ? std::min(aNow - mReportedAt, kMaxReportAge) : kMaxReportAge;
}

Millis
UpstreamWork::Silence(Millis aNow) const
{
  if (mOpen == 0) {
    return Millis(0);
  }
  return std::max(Millis(0), aNow - std::max(mReceivedAt, mBusySince));
}

} // namespace trefoilarch
