#include "quarantine.h"

#include "crashupdateparts.h"

#include <algorithm>
#include <utility>

/** Exchange of information on crashing requests between entries. */
namespace trefoilarch {

namespace {

/** Datagrams may be lost, so reports are repeated for this long. */
constexpr Millis kRepeatWindow{ 3000 };

/** Reports come repeatedly from many entries; one reply serves all of them. */
constexpr Millis kClearedReportInterval{ 50 };
constexpr Millis kQuarantinedReplyInterval{ 50 };

/** Ages exclude the time that a message takes, so that the same response seems
 * to be later at each entry that is told. That matters for segments, of which
 * many entries tell each other. */
constexpr Millis kMaxMessageDelay{ 100 };

/** In a large fleet most entries get a response to a suspected segment. */
constexpr Millis kSegmentClearedInterval{ 500 };

/** Interval at which the quarantined requests are sent to entries that were
 * started later or isolated and missed them. */
constexpr Millis kQuarantineReportInterval{ 2000 };

/** Maximum number of reported requests, the most recently sent ones. Entries
 * read the others from the store. */
constexpr size_t kMaxReportedRequests = 64;

} // namespace

void
Quarantine::ReportCleared(const RequestFingerprint& aRequest, Millis aNow)
{
  const auto [reported, first] = mClearedReportedAt.try_emplace(aRequest, aNow);
  const Millis interval = mRelays && aRequest.IsSegment()
                            ? kSegmentClearedInterval
                            : kClearedReportInterval;
  if (!first && aNow - reported->second < interval) {
    return;
  }
  reported->second = aNow;
  mPendingUpdate.mCleared.push_back(
    { .mRequest = aRequest, .mAge = aNow - LastClearedAt(aRequest) });
}

std::vector<CrashUpdate>
Quarantine::TakeUpdates(bool aRepeat, Millis aNow)
{
  if (aRepeat) {
    RepeatReports(aNow);
  }
  return CrashUpdateParts(std::exchange(mPendingUpdate, {})).Take();
}

void
Quarantine::RepeatReports(Millis aNow)
{
  mContentRelays = kMaxRelays;
  mSegmentRelays = kMaxRelays;
  std::erase_if(mRecentReports, [&](const SentReport& aSent) {
    return aNow - aSent.mCrashedAt > kRepeatWindow;
  });
  if (mRelays) {
    // Several entries have forwarded the relevant reports already.
    mRecentReports.clear();
  }
  for (const SentReport& each : mRecentReports) {
    CrashReport report = each.mReport;
    report.mAge = aNow - each.mCrashedAt;
    mPendingUpdate.mReports.push_back(std::move(report));
  }
  if (aNow - mQuarantineReportedAt < kQuarantineReportInterval) {
    return;
  }
  mQuarantineReportedAt = aNow;
  std::vector<QuarantineReport> quarantined;
  for (const auto& [request, each] : mQuarantinedRequests) {
    quarantined.push_back(ReportOf(each, aNow));
  }
  std::sort(quarantined.begin(),
            quarantined.end(),
            [](const auto& aOne, const auto& aTwo) {
              return aOne.mIdleFor < aTwo.mIdleFor;
            });
  quarantined.resize(std::min(quarantined.size(), kMaxReportedRequests));
  mPendingUpdate.mQuarantined.insert(
    mPendingUpdate.mQuarantined.end(), quarantined.begin(), quarantined.end());
}

void
Quarantine::OnUpdate(const CrashUpdate& aUpdate, Millis aNow)
{
  for (const CrashReport& each : aUpdate.mReports) {
    TakeReport(each, aNow);
  }
  for (const AgedRequest& each : aUpdate.mCleared) {
    TakeCleared(each, aNow);
  }
  for (const RequestFingerprint& each : aUpdate.mProbes) {
    TakeProbe(each, aNow);
  }
  for (const QuarantineReport& each : aUpdate.mQuarantined) {
    TakeQuarantined(each, aNow);
  }
}

void
Quarantine::TakeCleared(const AgedRequest& aCleared, Millis aNow)
{
  const Millis at = aNow - aCleared.mAge;
  const auto quarantined = mQuarantinedRequests.find(aCleared.mRequest);
  if (quarantined != mQuarantinedRequests.end() &&
      quarantined->second.mSuspectSince >= at) {
    return;
  }
  const Millis delay =
    aCleared.mRequest.IsSegment() ? kMaxMessageDelay : Millis(0);
  const bool isNew =
    at > LastClearedAt(aCleared.mRequest) + delay &&
    (quarantined != mQuarantinedRequests.end() || IsSuspect(aCleared.mRequest));
  if (!isNew) {
    return;
  }
  const bool relays = mRelays && (quarantined != mQuarantinedRequests.end() ||
                                  IsWorthReporting(aCleared.mRequest));
  AnswersOf(aCleared.mRequest).Record(aCleared.mRequest, at, aNow);
  if (quarantined == mQuarantinedRequests.end() ||
      !StaysQuarantined(quarantined->second, at)) {
    Clear(aCleared.mRequest, at, "let go by another entry");
  }
  if (relays) {
    ReportCleared(aCleared.mRequest, aNow);
  }
}

bool
Quarantine::StaysQuarantined(QuarantinedRequest& aQuarantined,
                             Millis aClearedAt)
{
  mEvidence.Clear(aQuarantined.mRequest, aClearedAt);
  if (!IsCulprit(aQuarantined.mRequest)) {
    return false;
  }
  aQuarantined.mSuspectSince = SuspectSince(aQuarantined.mRequest);
  return true;
}

void
Quarantine::TakeProbe(const RequestFingerprint& aRequest, Millis aNow)
{
  const auto [probe, inserted] = mProbes.try_emplace(aRequest, aNow);
  const bool known =
    !inserted && aNow - probe->second < mOptions.mFirstProbeTimeout;
  if (known) {
    return;
  }
  probe->second = aNow;
  if (mRelays && IsWorthReporting(aRequest)) {
    mPendingUpdate.mProbes.push_back(aRequest);
  }
  const auto quarantined = mQuarantinedRequests.find(aRequest);
  if (quarantined != mQuarantinedRequests.end()) {
    OnProbe(quarantined->second, aNow);
    ReportQuarantined(quarantined->second, aNow);
  }
}

void
Quarantine::TakeReport(const CrashReport& aReport, Millis aNow)
{
  const Millis at = aNow - aReport.mAge;
  CrashReport newReport{ .mIncarnation = aReport.mIncarnation,
                         .mAge = aReport.mAge };
  for (const RequestFingerprint& each : aReport.mSuspects) {
    const Millis clearedAt = LastClearedAt(each);
    if (clearedAt < at && mEvidence.Add(aReport.mIncarnation, each, at)) {
      newReport.mSuspects.push_back(each);
    } else if (clearedAt < at) {
      continue;
    }
    if (clearedAt > Millis(0) && !mRelays) {
      ReportCleared(each, aNow);
    }
  }
  if (newReport.mSuspects.empty()) {
    return;
  }
  AddEvidence(newReport, at, aNow);
  if (mRelays) {
    Relay(newReport, aNow);
  }
}

void
Quarantine::Relay(const CrashReport& aReport, Millis aNow)
{
  for (const RequestFingerprint& each : aReport.mSuspects) {
    size_t& relays = each.IsSegment() ? mSegmentRelays : mContentRelays;
    if (!IsWorthReporting(each) || relays == 0) {
      continue;
    }
    relays--;
    // Earlier crashes were forwarded when there were enough of them.
    const auto crashes = mEvidence.CrashesOf(each);
    const bool isFirst = crashes.size() <= kMinRelayedCrashes;
    for (const auto& [incarnation, at] : crashes) {
      if (isFirst || incarnation == aReport.mIncarnation) {
        mPendingUpdate.mReports.push_back({ .mIncarnation = incarnation,
                                            .mSuspects = { each },
                                            .mAge = aNow - at });
      }
    }
  }
}

void
Quarantine::TakeQuarantined(const QuarantineReport& aQuarantined, Millis aNow)
{
  const Millis since = aNow - aQuarantined.mSuspectFor;
  const Millis lastSent = aNow - aQuarantined.mIdleFor;
  if (since <= LastClearedAt(aQuarantined.mRequest)) {
    ReportCleared(aQuarantined.mRequest, aNow);
    return;
  }
  const auto quarantined = mQuarantinedRequests.find(aQuarantined.mRequest);
  if (quarantined != mQuarantinedRequests.end()) {
    quarantined->second.mSuspectSince =
      std::max(quarantined->second.mSuspectSince, since);
    quarantined->second.mLastSent =
      std::max(quarantined->second.mLastSent, lastSent);
    return;
  }
  if (aQuarantined.mIdleFor > mOptions.mIdleTimeout) {
    return;
  }
  AddToQuarantine({ .mRequest = aQuarantined.mRequest,
                    .mSuspectSince = since,
                    .mLastSent = lastSent },
                  "told by another entry");
  if (mRelays) {
    mPendingUpdate.mQuarantined.push_back(aQuarantined);
  }
}

void
Quarantine::ReportQuarantined(QuarantinedRequest& aQuarantined, Millis aNow)
{
  if (aNow - aQuarantined.mReportedAt >= kQuarantinedReplyInterval) {
    aQuarantined.mReportedAt = aNow;
    mPendingUpdate.mQuarantined.push_back(ReportOf(aQuarantined, aNow));
  }
}

QuarantineReport
Quarantine::ReportOf(const QuarantinedRequest& aQuarantined, Millis aNow) const
{
  return { .mRequest = aQuarantined.mRequest,
           .mSuspectFor = aNow - aQuarantined.mSuspectSince,
           .mIdleFor = aNow - aQuarantined.mLastSent };
}

} // namespace trefoilarch
