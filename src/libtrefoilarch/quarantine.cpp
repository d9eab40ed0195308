#include "quarantine.h"

#include <algorithm>
#include <utility>

namespace trefoilarch {

namespace {

/** Reports of cleared features are at most this far apart. */
constexpr Millis kMaxClearedInterval{ 500 };

/** A row that is older than this has been read by all entries. */
constexpr Millis kMaxRowDelay{ 10000 };

/** Maximum number of reports that are sent again. */
constexpr size_t kMaxRecentReports = 64;

} // namespace

Quarantine::Quarantine(QuarantineOptions aOptions)
  : mOptions(aOptions)
  , mEvidence(aOptions.mEvidence)
  , mRandom(aOptions.mSeed)
{
}

QuarantineVerdict
Quarantine::Admit(const RequestFeatures& aRequest, Millis aWaited, Millis aNow)
{
  if (const auto verdict = AdmitQuarantined(aRequest, aNow)) {
    return *verdict;
  }
  QuarantineVerdict verdict = AdmitContent(aRequest.mContent, aWaited, aNow);
  for (const RequestFingerprint& each : aRequest.mSegments) {
    verdict = std::max(verdict, AdmitSegment(each, aRequest, aNow));
  }
  return verdict;
}

std::optional<QuarantineVerdict>
Quarantine::AdmitQuarantined(const RequestFeatures& aRequest, Millis aNow)
{
  std::vector<QuarantinedRequest*> found;
  const auto look = [&](const RequestFingerprint& aFeature) {
    const auto quarantined = mQuarantinedRequests.find(aFeature);
    if (quarantined != mQuarantinedRequests.end()) {
      quarantined->second.mLastSent = aNow;
      found.push_back(&quarantined->second);
    }
  };
  look(aRequest.mContent);
  std::for_each(aRequest.mSegments.begin(), aRequest.mSegments.end(), look);
  if (found.empty()) {
    return std::nullopt;
  }
  const bool probes =
    found.size() == 1 && StartsProbe(*found.front(), aRequest, aNow);
  return probes ? QuarantineVerdict::Run : QuarantineVerdict::Refuse;
}

const RequestFingerprint*
Quarantine::QuarantinedFeature(const RequestFeatures& aRequest) const
{
  if (mQuarantinedRequests.contains(aRequest.mContent)) {
    return &aRequest.mContent;
  }
  const auto segment = std::find_if(
    aRequest.mSegments.begin(),
    aRequest.mSegments.end(),
    [this](const auto& aOne) { return mQuarantinedRequests.contains(aOne); });
  return segment == aRequest.mSegments.end() ? nullptr : &*segment;
}

Millis
Quarantine::RetryDelay(const RequestFeatures& aRequest, Millis aNow) const
{
  Millis delay = mOptions.mUncertainProbeDelay;
  const auto add = [&](const RequestFingerprint& aFeature) {
    const auto quarantined = mQuarantinedRequests.find(aFeature);
    if (quarantined == mQuarantinedRequests.end()) {
      return;
    }
    const Millis probeAt = quarantined->second.mProbeAt;
    const bool probes = aFeature.IsSegment() && probeAt != Millis::Never();
    delay = std::max(delay, probes ? probeAt - aNow : mOptions.mIdleTimeout);
  };
  add(aRequest.mContent);
  std::for_each(aRequest.mSegments.begin(), aRequest.mSegments.end(), add);
  return delay;
}

QuarantineVerdict
Quarantine::AdmitContent(const RequestFingerprint& aRequest,
                         Millis aWaited,
                         Millis aNow)
{
  const size_t crashes = AttributedCrashes(aRequest);
  if (crashes == 0) {
    return QuarantineVerdict::Run;
  }
  if (IsCulprit(aRequest)) {
    mSettling.try_emplace(aRequest, aNow);
    return QuarantineVerdict::Wait;
  }
  const bool mayWait = crashes > 1 || aWaited < mOptions.mFirstProbeTimeout;
  return mayWait && IsProbeRunning(aRequest, aNow) ? QuarantineVerdict::Wait
                                                   : QuarantineVerdict::Run;
}

bool
Quarantine::StartsProbe(QuarantinedRequest& aQuarantined,
                        const RequestFeatures& aRequest,
                        Millis aNow)
{
  if (aNow < aQuarantined.mProbeAt ||
      aNow - mLastCrashAt < mOptions.mCrashFreeInterval) {
    return false;
  }
  if (aQuarantined.mRequest.IsSegment()) {
    return IsSegmentProbe(aQuarantined.mRequest, aRequest);
  }
  aQuarantined.mProbeAt = Millis::Never();
  const size_t own = mEvidence.UnexplainedCrashes(
    aQuarantined.mRequest, [this](const auto& aOther) {
      return mQuarantinedRequests.contains(aOther);
    });
  return own + 1 < mOptions.mCrashThreshold;
}

bool
Quarantine::IsProbeRunning(const RequestFingerprint& aRequest,
                           Millis aNow) const
{
  const auto attempts = mOpenAttempts.find(aRequest);
  if (attempts != mOpenAttempts.end() &&
      aNow - attempts->second.mLastSent < mOptions.mProbeTimeout) {
    return true;
  }
  const auto probe = mProbes.find(aRequest);
  return probe != mProbes.end() &&
         aNow - probe->second < mOptions.mProbeTimeout;
}

void
Quarantine::OnSent(const RequestFeatures& aRequest, Millis aNow)
{
  if (aRequest.IsEmpty()) {
    return;
  }
  OpenAttempts& attempts = mOpenAttempts[aRequest.mContent];
  attempts.mCount++;
  attempts.mLastSent = aNow;
  if (IsWorthReporting(aRequest.mContent)) {
    mPendingUpdate.mProbes.push_back(aRequest.mContent);
  }
  for (const RequestFingerprint& each : aRequest.mSegments) {
    const auto quarantined = mQuarantinedRequests.find(each);
    if (quarantined != mQuarantinedRequests.end()) {
      OnProbe(quarantined->second, aNow);
      mPendingUpdate.mProbes.push_back(each);
    }
  }
}

void
Quarantine::OnAttemptEnded(const RequestFeatures& aRequest)
{
  const auto attempts = mOpenAttempts.find(aRequest.mContent);
  if (attempts != mOpenAttempts.end() && --attempts->second.mCount == 0) {
    mOpenAttempts.erase(attempts);
  }
}

void
Quarantine::OnAnswered(const RequestFeatures& aRequest, Millis aNow)
{
  if (aRequest.IsEmpty()) {
    return;
  }
  const auto clear = [&](const RequestFingerprint& aFeature) {
    AnswersOf(aFeature).Record(aFeature, aNow, aNow);
    const bool suspected =
      IsWorthReporting(aFeature) || mQuarantinedRequests.contains(aFeature);
    Clear(aFeature, aNow, "answered");
    if (suspected) {
      ReportCleared(aFeature, aNow);
    }
  };
  clear(aRequest.mContent);
  std::for_each(aRequest.mSegments.begin(), aRequest.mSegments.end(), clear);
}

RecentAnswers&
Quarantine::AnswersOf(const RequestFingerprint& aFeature)
{
  return aFeature.IsSegment() ? mSegmentAnswers : mAnswers;
}

const RecentAnswers&
Quarantine::AnswersOf(const RequestFingerprint& aFeature) const
{
  return aFeature.IsSegment() ? mSegmentAnswers : mAnswers;
}

Millis
Quarantine::LastClearedAt(const RequestFingerprint& aRequest) const
{
  const auto cleared = mCleared.find(aRequest);
  const Millis at = AnswersOf(aRequest).At(aRequest);
  return cleared == mCleared.end() ? at : std::max(at, cleared->second);
}

void
Quarantine::OnCrash(const UpstreamIncarnation& aIncarnation,
                    const std::vector<RequestFingerprint>& aSuspects,
                    Millis aNow)
{
  if (aSuspects.empty()) {
    return;
  }
  const CrashReport report{ .mIncarnation = aIncarnation,
                            .mSuspects = aSuspects };
  AddEvidence(report, aNow, aNow);
  mPendingUpdate.mReports.push_back(report);
  if (mRecentReports.size() == kMaxRecentReports) {
    mRecentReports.erase(mRecentReports.begin());
  }
  mRecentReports.push_back({ .mReport = report, .mCrashedAt = aNow });
}

void
Quarantine::OnStoreHold(const RequestFingerprint& aRequest, Millis aNow)
{
  // A row that was read before its release is late by seconds. A response
  // before the quarantine does not void it.
  const auto cleared = mCleared.find(aRequest);
  const bool isLate = cleared != mCleared.end() &&
                      aNow - cleared->second < kMaxRowDelay &&
                      mEvidence.TotalCrashes(aRequest) == 0;
  if (!isLate) {
    AddToQuarantine(
      { .mRequest = aRequest, .mSuspectSince = aNow, .mLastSent = aNow },
      "read in the store");
  }
}

void
Quarantine::OnStoreRelease(const RequestFingerprint& aRequest, Millis aNow)
{
  if (mQuarantinedRequests.contains(aRequest)) {
    Clear(aRequest, aNow, "let go in the store");
  }
}

bool
Quarantine::IsReleased(const RequestFingerprint& aRequest) const
{
  return !IsQuarantined(aRequest) && mCleared.contains(aRequest);
}

std::vector<RequestFingerprint>
Quarantine::Requests() const
{
  std::vector<RequestFingerprint> requests;
  requests.reserve(mQuarantinedRequests.size());
  for (const auto& [request, quarantined] : mQuarantinedRequests) {
    requests.push_back(request);
  }
  return requests;
}

void
Quarantine::Release(const RequestFingerprint& aRequest, Millis aNow)
{
  Clear(aRequest, aNow, "released");
  mCleared[aRequest] = aNow;
  mPendingUpdate.mCleared.push_back({ .mRequest = aRequest });
}

void
Quarantine::AddEvidence(const CrashReport& aReport, Millis aAt, Millis aNow)
{
  mLastCrashAt = std::max(mLastCrashAt, aAt);
  for (const RequestFingerprint& each : aReport.mSuspects) {
    mEvidence.Add(aReport.mIncarnation, each, aAt);
  }
  for (const RequestFingerprint& each : aReport.mSuspects) {
    // The crash ends the probe, unless it was another repeat that crashed.
    mProbes.erase(each);
    if (mOpenAttempts.contains(each) && IsWorthReporting(each)) {
      mPendingUpdate.mProbes.push_back(each);
    }
    const auto quarantined = mQuarantinedRequests.find(each);
    if (quarantined != mQuarantinedRequests.end()) {
      // An entry that still sends it missed the quarantine.
      ReportQuarantined(quarantined->second, aNow);
      OnCrashOfQuarantined(quarantined->second);
    } else if (IsCulprit(each)) {
      const auto [settling, isNew] = mSettling.try_emplace(each, aNow);
      // Some requests with a suspected segment go on, and so may its crashes.
      if (!each.IsSegment()) {
        settling->second = aNow;
      }
    }
  }
}

void
Quarantine::Clear(const RequestFingerprint& aRequest,
                  Millis aAt,
                  const char* aReason)
{
  mEvidence.Clear(aRequest, aAt);
  if (!aRequest.IsSegment() || !IsCulprit(aRequest)) {
    mSettling.erase(aRequest);
  }
  mProbes.erase(aRequest);
  if (mQuarantinedRequests.erase(aRequest) > 0) {
    mCleared[aRequest] = aAt;
    mChanges.push_back({ .mRequest = aRequest, .mReason = aReason });
  }
}

void
Quarantine::AddToQuarantine(const QuarantinedRequest& aQuarantined,
                            const char* aReason)
{
  mSettling.erase(aQuarantined.mRequest);
  const auto [quarantined, inserted] =
    mQuarantinedRequests.try_emplace(aQuarantined.mRequest, aQuarantined);
  if (!inserted) {
    return;
  }
  quarantined->second.mCrashes =
    mEvidence.IncarnationsOf(aQuarantined.mRequest);
  mChanges.push_back({ .mRequest = aQuarantined.mRequest,
                       .mHeld = true,
                       .mReason = aReason,
                       .mCrashes = quarantined->second.mCrashes });
  if (mQuarantinedRequests.size() > mOptions.mMaxHeld) {
    const auto oldest =
      std::min_element(mQuarantinedRequests.begin(),
                       mQuarantinedRequests.end(),
                       [](const auto& aOne, const auto& aTwo) {
                         return aOne.second.mLastSent < aTwo.second.mLastSent;
                       });
    const RequestFingerprint request = oldest->first;
    Clear(request, aQuarantined.mLastSent, "too many are held back");
  }
}

void
Quarantine::Tick(Millis aNow)
{
  for (const RequestFingerprint& each : TakeSettled(aNow)) {
    if (!IsCulprit(each)) {
      continue;
    }
    const QuarantinedRequest quarantined{ .mRequest = each,
                                          .mSuspectSince = SuspectSince(each),
                                          .mLastSent = aNow,
                                          .mProbeAt = aNow + ProbeDelay(each) };
    AddToQuarantine(quarantined, "crashes");
    mPendingUpdate.mQuarantined.push_back(ReportOf(quarantined, aNow));
  }
  std::erase_if(mProbes, [&](const auto& aEntry) {
    return aNow - aEntry.second > mOptions.mProbeTimeout;
  });
  std::erase_if(mClearedReportedAt, [&](const auto& aEntry) {
    return aNow - aEntry.second > kMaxClearedInterval;
  });
  ReleaseIdle(aNow);
  std::erase_if(mCleared, [&](const auto& aEntry) {
    return aNow - aEntry.second > mOptions.mIdleTimeout;
  });
  mEvidence.Expire(aNow);
}

std::vector<RequestFingerprint>
Quarantine::TakeSettled(Millis aNow)
{
  std::vector<std::pair<size_t, RequestFingerprint>> settled;
  std::erase_if(mSettling, [&](const auto& aEntry) {
    const RequestFingerprint& request = aEntry.first;
    const bool due = aNow - aEntry.second >= SettleDelayOf(request);
    if (due) {
      settled.emplace_back(request.IsSegment()
                             ? SegmentCrashes(request, {}, true)
                             : UnambiguousCrashes(request),
                           request);
    }
    return due;
  });
  std::sort(settled.rbegin(), settled.rend());
  std::vector<RequestFingerprint> requests;
  requests.reserve(settled.size());
  for (const auto& [unambiguous, request] : settled) {
    requests.push_back(request);
  }
  return requests;
}

void
Quarantine::ReleaseIdle(Millis aNow)
{
  std::vector<RequestFingerprint> idle;
  for (const auto& [request, quarantined] : mQuarantinedRequests) {
    if (aNow - quarantined.mLastSent > mOptions.mIdleTimeout) {
      idle.push_back(request);
    }
  }
  for (const RequestFingerprint& each : idle) {
    Clear(each, aNow, "not sent for long");
  }
}

std::vector<QuarantinedRequest>
Quarantine::Quarantined() const
{
  std::vector<QuarantinedRequest> all;
  for (const auto& [request, quarantined] : mQuarantinedRequests) {
    all.push_back(quarantined);
  }
  return all;
}

std::vector<QuarantineChange>
Quarantine::TakeChanges()
{
  return std::exchange(mChanges, {});
}

bool
Quarantine::IsWorthReporting(const RequestFingerprint& aRequest) const
{
  const size_t minCrashes = mRelays ? kMinRelayedCrashes : 1;
  const size_t crashes = aRequest.IsSegment() ? mEvidence.TotalCrashes(aRequest)
                                              : AttributedCrashes(aRequest);
  return crashes >= minCrashes;
}

bool
Quarantine::IsSuspect(const RequestFingerprint& aRequest) const
{
  return aRequest.IsSegment() ? mEvidence.TotalCrashes(aRequest) > 0
                              : AttributedCrashes(aRequest) > 0;
}

size_t
Quarantine::AttributedCrashes(const RequestFingerprint& aRequest) const
{
  const size_t total = mEvidence.TotalCrashes(aRequest);
  return mEvidence.UnexplainedCrashes(
    aRequest, [&](const RequestFingerprint& aOther) {
      return mQuarantinedRequests.contains(aOther) ||
             (!aOther.IsSegment() && mEvidence.TotalCrashes(aOther) > total);
    });
}

size_t
Quarantine::UnambiguousCrashes(const RequestFingerprint& aRequest) const
{
  const size_t total = mEvidence.TotalCrashes(aRequest);
  return mEvidence.UnexplainedCrashes(
    aRequest, [&](const RequestFingerprint& aOther) {
      return mQuarantinedRequests.contains(aOther) ||
             (!aOther.IsSegment() && mEvidence.TotalCrashes(aOther) >= total);
    });
}

bool
Quarantine::IsCulprit(const RequestFingerprint& aRequest) const
{
  if (aRequest.IsSegment()) {
    return IsSegmentCulprit(aRequest);
  }
  const size_t crashes = AttributedCrashes(aRequest);
  const size_t threshold = mAnswers.At(aRequest) > Millis(0)
                             ? mOptions.mAnsweredCrashThreshold
                             : mOptions.mCrashThreshold;
  return crashes > threshold ||
         (crashes == threshold && UnambiguousCrashes(aRequest) > 0);
}

} // namespace trefoilarch
