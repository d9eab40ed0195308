#include "quarantine.h"

#include <algorithm>

/** Decisions on prompt segments that requests share. */
namespace trefoilarch {

namespace {

/** A request shows nothing about a segment if another one of its segments may
 * be the cause of this many crashes, and of this part of the segment's. */
constexpr size_t kMinSuspectCrashes = 2;
constexpr size_t kSuspectPart = 3;

/** A segment at this many times the crashes that suffice needs fewer without
 * another explanation. */
constexpr size_t kFrequentFactor = 2;

/** Maximum number of probes of a quarantined segment, by all entries. */
constexpr uint32_t kMaxProbes = 2;

} // namespace

QuarantineVerdict
Quarantine::AdmitSegment(const RequestFingerprint& aSegment,
                         const RequestFeatures& aRequest,
                         Millis aNow)
{
  if (!IsSegmentCulprit(aSegment)) {
    return QuarantineVerdict::Run;
  }
  mSettling.try_emplace(aSegment, aNow);
  // A request that has all the segments that may be the cause would crash its
  // upstream. One that has only some of them shows which it is.
  return SegmentCrashes(aSegment, aRequest, true) > 0 ? QuarantineVerdict::Wait
                                                      : QuarantineVerdict::Run;
}

size_t
Quarantine::SegmentThreshold(const RequestFingerprint& aSegment) const
{
  return mSegmentAnswers.At(aSegment) > Millis(0)
           ? mOptions.mAnsweredSegmentThreshold
           : mOptions.mSegmentThreshold;
}

Millis
Quarantine::SuspectSince(const RequestFingerprint& aFeature) const
{
  return aFeature.IsSegment()
           ? mEvidence.SinceLast(
               aFeature, SegmentThreshold(aFeature), mOptions.mSegmentSpacing)
           : mEvidence.SinceLast(aFeature, mOptions.mCrashThreshold, Millis(0));
}

size_t
Quarantine::SegmentCrashes(const RequestFingerprint& aSegment,
                           const RequestFeatures& aRequest,
                           bool aWithEqual) const
{
  const size_t total = mEvidence.TotalCrashes(aSegment);
  const auto explains = [&](const RequestFingerprint& aOther) {
    const bool quarantined = mQuarantinedRequests.contains(aOther);
    if (!aOther.IsSegment()) {
      // A request that was quarantined for its content explains the crashes of
      // its segments only if it was at all of them.
      return quarantined && mEvidence.TotalCrashes(aOther) >= total;
    }
    if (quarantined || aRequest.HasSegment(aOther)) {
      return quarantined;
    }
    const size_t other = mEvidence.TotalCrashes(aOther);
    return other > total || (aWithEqual && other == total);
  };
  return mEvidence.UnexplainedCrashes(
    aSegment, explains, mOptions.mSegmentSpacing);
}

bool
Quarantine::IsSegmentCulprit(const RequestFingerprint& aSegment) const
{
  const size_t threshold = SegmentThreshold(aSegment);
  const size_t total = mEvidence.TotalCrashes(aSegment);
  if (total < threshold) {
    return false;
  }
  // Two causes that are often at the same crashes explain most of each other's.
  const bool isFrequent = total >= kFrequentFactor * threshold;
  return SegmentCrashes(aSegment, {}, false) >=
         (isFrequent ? kMinSuspectCrashes : threshold);
}

Millis
Quarantine::SettleDelayOf(const RequestFingerprint& aRequest) const
{
  const bool ambiguous =
    aRequest.IsSegment() && SegmentCrashes(aRequest, {}, true) == 0;
  return ambiguous ? mOptions.mAmbiguityDelay : mOptions.mSettleDelay;
}

Millis
Quarantine::ProbeDelay(const RequestFingerprint& aFeature)
{
  if (!aFeature.IsSegment()) {
    return mOptions.mUncertainProbeDelay;
  }
  const int64_t range =
    mOptions.mProbeJitterPerEntry.Count() * static_cast<int64_t>(mEntries);
  return mOptions.mUncertainProbeDelay +
         Millis(std::uniform_int_distribution<int64_t>(0, range)(mRandom));
}

bool
Quarantine::IsSegmentProbe(const RequestFingerprint& aSegment,
                           const RequestFeatures& aRequest) const
{
  const size_t crashes = std::max(
    kMinSuspectCrashes, mEvidence.TotalCrashes(aSegment) / kSuspectPart);
  return mEvidence.TotalCrashes(aRequest.mContent) == 0 &&
         std::all_of(aRequest.mSegments.begin(),
                     aRequest.mSegments.end(),
                     [&](const RequestFingerprint& aOther) {
                       return aOther == aSegment ||
                              mEvidence.TotalCrashes(aOther) < crashes;
                     });
}

void
Quarantine::OnProbe(QuarantinedRequest& aQuarantined, Millis aNow)
{
  aQuarantined.mProbes++;
  const bool mayRepeat = aQuarantined.mRequest.IsSegment() &&
                         aQuarantined.mProbes < kMaxProbes &&
                         aQuarantined.mProbeAt != Millis::Never();
  aQuarantined.mProbeAt = mayRepeat ? aNow + mOptions.mProbeRepeatDelay +
                                        ProbeDelay(aQuarantined.mRequest)
                                    : Millis::Never();
}

void
Quarantine::OnCrashOfQuarantined(QuarantinedRequest& aQuarantined)
{
  // Requests in progress may crash upstreams after the quarantine; only a crash
  // after a probe confirms it.
  if (aQuarantined.mRequest.IsSegment() && aQuarantined.mProbes > 0 &&
      !HasRival(aQuarantined.mRequest)) {
    aQuarantined.mProbeAt = Millis::Never();
  }
}

bool
Quarantine::HasRival(const RequestFingerprint& aSegment) const
{
  const size_t crashes = std::max(
    kMinSuspectCrashes, mEvidence.TotalCrashes(aSegment) / kSuspectPart);
  return mEvidence.HasCompanion(
    aSegment, [&](const RequestFingerprint& aOther) {
      return aOther.IsSegment() && !mQuarantinedRequests.contains(aOther) &&
             mEvidence.TotalCrashes(aOther) >= crashes;
    });
}

} // namespace trefoilarch
