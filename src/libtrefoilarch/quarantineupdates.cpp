#include "quarantine.h"

#include "crashupdateparts.h"

#include <algorithm>
#include <utility>

/** What entries tell each other of requests that crash upstreams. */
namespace trefoilarch {

namespace {

/** Datagrams may be lost: what is so recent is told again. */
constexpr Millis kRecent{ 3000 };

/** Reports come from many entries and are told again: one answer to all. */
constexpr Millis kClearedPause{ 50 };

/** What is in force is told this often, for entries that have heard nothing
 * of it: they started later or were cut off. */
constexpr Millis kHeldPause{ 2000 };

/** The youngest or last sent ones that are told; an entry that has to know of
 * more reads them in the store. */
constexpr size_t kMostHeldTold = 64;

} // namespace

void
Quarantine::TellCleared(const RequestFingerprint& aRequest, Millis aNow)
{
  const auto [told, first] = mClearedToldAt.try_emplace(aRequest, aNow);
  if (!first && aNow - told->second < kClearedPause) {
    return;
  }
  told->second = aNow;
  mNews.mCleared.push_back(
    { .mRequest = aRequest, .mAge = aNow - InnocentAt(aRequest) });
}

std::vector<CrashUpdate>
Quarantine::TakeUpdates(bool aAgain, Millis aNow)
{
  if (aAgain) {
    Repeat(aNow);
  }
  return CrashUpdateParts(std::exchange(mNews, {})).Take();
}

void
Quarantine::Repeat(Millis aNow)
{
  std::erase_if(mRecent,
                [&](const Told& aTold) { return aNow - aTold.mAt > kRecent; });
  if (mRelays) {
    // Several entries have passed on what matters.
    mRecent.clear();
  }
  for (const Told& each : mRecent) {
    CrashReport report = each.mReport;
    report.mAge = aNow - each.mAt;
    mNews.mReports.push_back(std::move(report));
  }
  if (aNow - mHeldToldAt < kHeldPause) {
    return;
  }
  mHeldToldAt = aNow;
  std::vector<QuarantineReport> held;
  for (const auto& [request, each] : mHeld) {
    held.push_back(ReportOf(each, aNow));
  }
  std::sort(held.begin(), held.end(), [](const auto& aOne, const auto& aTwo) {
    return aOne.mIdleFor < aTwo.mIdleFor;
  });
  held.resize(std::min(held.size(), kMostHeldTold));
  mNews.mQuarantined.insert(mNews.mQuarantined.end(), held.begin(), held.end());
}

void
Quarantine::OnUpdate(const CrashUpdate& aNews, Millis aNow)
{
  for (const CrashReport& each : aNews.mReports) {
    TakeReport(each, aNow);
  }
  for (const AgedRequest& each : aNews.mCleared) {
    TakeCleared(each, aNow);
  }
  for (const RequestFingerprint& each : aNews.mKeepaliveProbes) {
    TakeTrial(each, aNow);
  }
  for (const QuarantineReport& each : aNews.mQuarantined) {
    TakeHeld(each, aNow);
  }
}

void
Quarantine::TakeCleared(const AgedRequest& aCleared, Millis aNow)
{
  const Millis at = aNow - aCleared.mAge;
  const auto held = mHeld.find(aCleared.mRequest);
  if (held != mHeld.end() && held->second.mSuspectSince >= at) {
    return;
  }
  const bool news = at > InnocentAt(aCleared.mRequest) &&
                    (held != mHeld.end() || IsSuspect(aCleared.mRequest));
  if (!news) {
    return;
  }
  const bool relays =
    mRelays && (held != mHeld.end() || IsWorthTelling(aCleared.mRequest));
  mAnswers.Record(aCleared.mRequest, at, aNow);
  Clear(aCleared.mRequest, at, "let go by another entry");
  if (relays) {
    mNews.mCleared.push_back(aCleared);
  }
}

void
Quarantine::TakeTrial(const RequestFingerprint& aRequest, Millis aNow)
{
  const auto [trial, fresh] = mKeepaliveProbes.try_emplace(aRequest, aNow);
  const bool known =
    !fresh && aNow - trial->second < mOptions.mFirstProbeTimeout;
  if (known) {
    return;
  }
  trial->second = aNow;
  if (mRelays && IsWorthTelling(aRequest)) {
    mNews.mKeepaliveProbes.push_back(aRequest);
  }
  const auto held = mHeld.find(aRequest);
  if (held != mHeld.end()) {
    held->second.mProbeAt = Millis::Never();
    mNews.mQuarantined.push_back(ReportOf(held->second, aNow));
  }
}

void
Quarantine::TakeReport(const CrashReport& aReport, Millis aNow)
{
  const Millis at = aNow - aReport.mAge;
  CrashReport fresh{ .mIncarnation = aReport.mIncarnation,
                     .mAge = aReport.mAge };
  for (const RequestFingerprint& each : aReport.mSuspects) {
    const Millis innocentAt = InnocentAt(each);
    if (innocentAt < at && mEvidence.Add(aReport.mIncarnation, each, at)) {
      fresh.mSuspects.push_back(each);
    } else if (innocentAt < at) {
      continue;
    }
    if (innocentAt > Millis(0) && !mRelays) {
      TellCleared(each, aNow);
    }
  }
  if (fresh.mSuspects.empty()) {
    return;
  }
  AddEvidence(fresh, at, aNow);
  if (mRelays) {
    Relay(fresh.mSuspects, aNow);
  }
}

void
Quarantine::Relay(const std::vector<RequestFingerprint>& aSuspects, Millis aNow)
{
  for (const RequestFingerprint& each : aSuspects) {
    if (!IsWorthTelling(each)) {
      continue;
    }
    const Millis age = aNow - mEvidence.FirstCrashAt(each);
    for (const UpstreamIncarnation& start : mEvidence.IncarnationsOf(each)) {
      mNews.mReports.push_back(
        { .mIncarnation = start, .mSuspects = { each }, .mAge = age });
    }
  }
}

void
Quarantine::TakeHeld(const QuarantineReport& aHeld, Millis aNow)
{
  const Millis since = aNow - aHeld.mSuspectFor;
  const Millis lastSent = aNow - aHeld.mIdleFor;
  if (since <= InnocentAt(aHeld.mRequest)) {
    TellCleared(aHeld.mRequest, aNow);
    return;
  }
  const auto held = mHeld.find(aHeld.mRequest);
  if (held != mHeld.end()) {
    held->second.mSuspectSince = std::min(held->second.mSuspectSince, since);
    held->second.mLastSent = std::max(held->second.mLastSent, lastSent);
    return;
  }
  if (aHeld.mIdleFor > mOptions.mIdleTimeout) {
    return;
  }
  Put({ .mRequest = aHeld.mRequest,
        .mSuspectSince = since,
        .mLastSent = lastSent },
      "told by another entry");
  if (mRelays) {
    mNews.mQuarantined.push_back(aHeld);
  }
}

QuarantineReport
Quarantine::ReportOf(const QuarantinedRequest& aHeld, Millis aNow) const
{
  return { .mRequest = aHeld.mRequest,
           .mSuspectFor = aNow - aHeld.mSuspectSince,
           .mIdleFor = aNow - aHeld.mLastSent };
}

} // namespace trefoilarch
