#include "directrouter.h"

#include <utility>

/** What DirectRouter learns of upstreams that crash, and of requests that
 * crash them. */
namespace trefoilarch {

void
DirectRouter::RecordAttempt(const BoundRequest& aRequest, Millis aNow)
{
  mQuarantine.OnSent(aRequest.mFingerprint, aNow);
  if (mQuarantine.HasNews()) {
    mOptions.mOnCrashUpdate();
  }
}

bool
DirectRouter::OnConnectionLost(const PlacedAttempt& aAttempt, Millis aNow)
{
  const TrackedUpstream* tracked = FindTracked(aAttempt);
  const bool named = aAttempt.mFingerprint != RequestFingerprint{};
  if (!named || tracked == nullptr || !TakesWork(aAttempt)) {
    return false;
  }
  const UpstreamStart& start = tracked->mStart;
  if (mCrashDetector.OnConnectionLost(start, aAttempt.mFingerprint, aNow)) {
    TakeCrash({ .mStart = start,
                .mReason = "known",
                .mSuspects = { aAttempt.mFingerprint } },
              aNow);
    return false;
  }
  return true;
}

void
DirectRouter::OnConnectionRefused(const UpstreamId& aUpstream, Millis aNow)
{
  const auto tracked = mTracked.find(aUpstream);
  if (tracked != mTracked.end() && tracked->second.mListed &&
      !tracked->second.mLeaving) {
    OnIncarnationEnded(tracked->second.mStart, "refused", aNow);
  }
}

void
DirectRouter::OnListening(const UpstreamId& aUpstream)
{
  const auto tracked = mTracked.find(aUpstream);
  if (tracked != mTracked.end()) {
    mCrashDetector.OnListening(tracked->second.mStart);
  }
}

bool
DirectRouter::IsCrashSuspected(const PlacedAttempt& aAttempt) const
{
  const auto tracked = mTracked.find(aAttempt.mUpstream);
  return tracked != mTracked.end() &&
         tracked->second.mIncarnationNumber == aAttempt.mIncarnationNumber &&
         mCrashDetector.IsCrashSuspected(tracked->second.mStart);
}

void
DirectRouter::OnIncarnationEnded(const UpstreamStart& aStart,
                                 const char* aWhy,
                                 Millis aNow)
{
  auto suspects = mCrashDetector.OnEnded(aStart, aNow);
  if (!suspects.empty()) {
    mCrashCount++;
    TakeCrash(
      { .mStart = aStart, .mReason = aWhy, .mSuspects = std::move(suspects) },
      aNow);
  }
}

void
DirectRouter::TakeCrash(UpstreamCrash aCrash, Millis aNow)
{
  mQuarantine.OnCrash(aCrash.mStart, aCrash.mSuspects, aNow);
  mCrashes.push_back(std::move(aCrash));
  mOptions.mOnCrashUpdate();
}

void
DirectRouter::OnCrashUpdate(const CrashNews& aNews, Millis aNow)
{
  mQuarantine.OnNews(aNews, aNow);
  for (const CrashReport& each : aNews.mReports) {
    OnIncarnationEnded(each.mStart, "told", aNow);
  }
  if (mQuarantine.HasNews()) {
    mOptions.mOnCrashUpdate();
  }
}

void
DirectRouter::TickCrashes(Millis aNow)
{
  mCrashDetector.Expire(aNow);
  mQuarantine.Tick(aNow);
}

std::vector<UpstreamCrash>
DirectRouter::TakeCrashes()
{
  return std::exchange(mCrashes, {});
}

} // namespace trefoilarch
