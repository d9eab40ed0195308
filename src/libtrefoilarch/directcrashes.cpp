#include "directrouter.h"

#include <utility>

/** Handling of upstream crashes, and of requests that cause them. */
namespace trefoilarch {

void
DirectRouter::RecordAttempt(const BoundRequest& aRequest, Millis aNow)
{
  mQuarantine.OnSent(aRequest.mFeatures, aNow);
  if (mQuarantine.HasUpdate()) {
    mOptions.mOnCrashUpdate();
  }
}

bool
DirectRouter::OnConnectionLost(const PlacedAttempt& aAttempt, Millis aNow)
{
  const TrackedUpstream* tracked = FindTracked(aAttempt);
  if (aAttempt.mFeatures.IsEmpty() || tracked == nullptr ||
      !IsInService(aAttempt)) {
    return false;
  }
  const UpstreamIncarnation& incarnation = tracked->mIncarnation;
  if (mCrashDetector.OnConnectionLost(incarnation, aAttempt.mFeatures, aNow)) {
    TakeCrash({ .mIncarnation = incarnation,
                .mReason = "known",
                .mSuspects = DistinctFeatures({ aAttempt.mFeatures }) },
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
    OnIncarnationEnded(tracked->second.mIncarnation, "refused", aNow);
  }
}

void
DirectRouter::OnListening(const UpstreamId& aUpstream)
{
  const auto tracked = mTracked.find(aUpstream);
  if (tracked != mTracked.end()) {
    mCrashDetector.OnListening(tracked->second.mIncarnation);
  }
}

bool
DirectRouter::IsCrashSuspected(const PlacedAttempt& aAttempt) const
{
  const auto tracked = mTracked.find(aAttempt.mUpstream);
  return tracked != mTracked.end() &&
         tracked->second.mIncarnationNumber == aAttempt.mIncarnationNumber &&
         mCrashDetector.IsCrashSuspected(tracked->second.mIncarnation);
}

bool
DirectRouter::HasEnded(const PlacedAttempt& aAttempt) const
{
  // A successor at the same address proves it; one at another address may have
  // been listed while the process was still finishing its answers.
  const ListedUpstream* listed = mDirectory.Find(aAttempt.mUpstream);
  if (listed != nullptr && listed->mAddress == aAttempt.mAddress &&
      IsReplaced(aAttempt.mProcess, listed->Process())) {
    return true;
  }
  const auto tracked = mTracked.find(aAttempt.mUpstream);
  return tracked != mTracked.end() &&
         tracked->second.mIncarnationNumber == aAttempt.mIncarnationNumber &&
         mCrashDetector.HasEnded(tracked->second.mIncarnation);
}

void
DirectRouter::OnIncarnationEnded(const UpstreamIncarnation& aIncarnation,
                                 const char* aReason,
                                 Millis aNow)
{
  auto suspects = mCrashDetector.OnEnded(aIncarnation, aNow);
  if (!suspects.empty()) {
    mCrashCount++;
    TakeCrash({ .mIncarnation = aIncarnation,
                .mReason = aReason,
                .mSuspects = std::move(suspects) },
              aNow);
  }
}

void
DirectRouter::TakeCrash(UpstreamCrash aCrash, Millis aNow)
{
  mQuarantine.OnCrash(aCrash.mIncarnation, aCrash.mSuspects, aNow);
  mCrashes.push_back(std::move(aCrash));
  mOptions.mOnCrashUpdate();
}

void
DirectRouter::OnCrashUpdate(const CrashUpdate& aUpdate, Millis aNow)
{
  mQuarantine.OnUpdate(aUpdate, aNow);
  for (const CrashReport& each : aUpdate.mReports) {
    OnIncarnationEnded(each.mIncarnation, "told", aNow);
    mCrashDetector.OnEndReported(each.mIncarnation, aNow);
  }
  if (mQuarantine.HasUpdate()) {
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
