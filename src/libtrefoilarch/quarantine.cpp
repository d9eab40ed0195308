#include "quarantine.h"

#include <algorithm>
#include <utility>

namespace trefoilarch {

namespace {

/** Each crash has many suspects, and a large fleet is told only of those that
 * were at another one before. */
constexpr size_t kRepeatedly = 2;

/** Reports that are told again at the most. */
constexpr size_t kMostRecent = 64;

} // namespace

Quarantine::Quarantine(QuarantineOptions aOptions)
  : mOptions(aOptions)
  , mEvidence(aOptions.mEvidence)
{
}

QuarantineVerdict
Quarantine::Admit(const RequestFingerprint& aRequest,
                  Millis aWaited,
                  Millis aNow)
{
  const auto held = mHeld.find(aRequest);
  if (held != mHeld.end()) {
    held->second.mLastSent = aNow;
    return TakesTrial(held->second, aNow) ? QuarantineVerdict::Run
                                          : QuarantineVerdict::Refuse;
  }
  const size_t crashes = CrashesOf(aRequest);
  if (crashes == 0) {
    return QuarantineVerdict::Run;
  }
  if (IsCulprit(aRequest)) {
    mSettling.try_emplace(aRequest, aNow);
    return QuarantineVerdict::Wait;
  }
  const bool patient = crashes > 1 || aWaited < mOptions.mFirstProbeTimeout;
  return patient && IsOnItsWay(aRequest, aNow) ? QuarantineVerdict::Wait
                                               : QuarantineVerdict::Run;
}

bool
Quarantine::TakesTrial(QuarantinedRequest& aHeld, Millis aNow) const
{
  if (aNow < aHeld.mProbeAt || aNow - mCrashAt < mOptions.mCrashFreeInterval) {
    return false;
  }
  aHeld.mProbeAt = Millis::Never();
  const size_t own =
    mEvidence.UnexplainedCrashes(aHeld.mRequest, [this](const auto& aOther) {
      return mHeld.contains(aOther);
    });
  return own + 1 < mOptions.mCrashThreshold;
}

bool
Quarantine::IsOnItsWay(const RequestFingerprint& aRequest, Millis aNow) const
{
  const auto open = mOpen.find(aRequest);
  if (open != mOpen.end() &&
      aNow - open->second.mLastSent < mOptions.mProbeTimeout) {
    return true;
  }
  const auto trial = mKeepaliveProbes.find(aRequest);
  return trial != mKeepaliveProbes.end() &&
         aNow - trial->second < mOptions.mProbeTimeout;
}

void
Quarantine::OnSent(const RequestFingerprint& aRequest, Millis aNow)
{
  if (aRequest == RequestFingerprint{}) {
    return;
  }
  Open& open = mOpen[aRequest];
  open.mCount++;
  open.mLastSent = aNow;
  if (IsWorthTelling(aRequest)) {
    mNews.mKeepaliveProbes.push_back(aRequest);
  }
}

void
Quarantine::OnAttemptEnded(const RequestFingerprint& aRequest)
{
  const auto open = mOpen.find(aRequest);
  if (open != mOpen.end() && --open->second.mCount == 0) {
    mOpen.erase(open);
  }
}

void
Quarantine::OnAnswered(const RequestFingerprint& aRequest, Millis aNow)
{
  if (aRequest == RequestFingerprint{}) {
    return;
  }
  mAnswers.Record(aRequest, aNow, aNow);
  const bool suspected = IsWorthTelling(aRequest) || mHeld.contains(aRequest);
  Clear(aRequest, aNow, "answered");
  if (suspected) {
    mNews.mCleared.push_back({ .mRequest = aRequest });
  }
}

Millis
Quarantine::InnocentAt(const RequestFingerprint& aRequest) const
{
  const auto cleared = mCleared.find(aRequest);
  const Millis at = mAnswers.At(aRequest);
  return cleared == mCleared.end() ? at : std::max(at, cleared->second);
}

void
Quarantine::OnCrash(const UpstreamIncarnation& aStart,
                    const std::vector<RequestFingerprint>& aSuspects,
                    Millis aNow)
{
  if (aSuspects.empty()) {
    return;
  }
  const CrashReport report{ .mIncarnation = aStart, .mSuspects = aSuspects };
  AddEvidence(report, aNow, aNow);
  mNews.mReports.push_back(report);
  if (mRecent.size() == kMostRecent) {
    mRecent.erase(mRecent.begin());
  }
  mRecent.push_back({ .mReport = report, .mAt = aNow });
}

void
Quarantine::OnStoreHold(const RequestFingerprint& aRequest, Millis aNow)
{
  if (InnocentAt(aRequest) == Millis(0)) {
    Put({ .mRequest = aRequest, .mSuspectSince = aNow, .mLastSent = aNow },
        "read in the store");
  }
}

void
Quarantine::OnStoreRelease(const RequestFingerprint& aRequest, Millis aNow)
{
  if (mHeld.contains(aRequest)) {
    Clear(aRequest, aNow, "let go in the store");
  }
}

bool
Quarantine::IsReleased(const RequestFingerprint& aRequest) const
{
  return !IsQuarantined(aRequest) && InnocentAt(aRequest) > Millis(0);
}

std::vector<RequestFingerprint>
Quarantine::Requests() const
{
  std::vector<RequestFingerprint> requests;
  requests.reserve(mHeld.size());
  for (const auto& [request, held] : mHeld) {
    requests.push_back(request);
  }
  return requests;
}

void
Quarantine::Release(const RequestFingerprint& aRequest, Millis aNow)
{
  Clear(aRequest, aNow, "released");
  mCleared[aRequest] = aNow;
  mNews.mCleared.push_back({ .mRequest = aRequest });
}

void
Quarantine::AddEvidence(const CrashReport& aReport, Millis aAt, Millis aNow)
{
  mCrashAt = std::max(mCrashAt, aAt);
  for (const RequestFingerprint& each : aReport.mSuspects) {
    mEvidence.Add(aReport.mIncarnation, each, aAt);
  }
  for (const RequestFingerprint& each : aReport.mSuspects) {
    // The trial has come to its end, if it was not another repeat's.
    mKeepaliveProbes.erase(each);
    if (mOpen.contains(each) && IsWorthTelling(each)) {
      mNews.mKeepaliveProbes.push_back(each);
    }
    const auto held = mHeld.find(each);
    if (held != mHeld.end()) {
      // Who still runs it has not heard.
      mNews.mQuarantined.push_back(ReportOf(held->second, aNow));
    } else if (IsCulprit(each)) {
      mSettling[each] = aNow;
    }
  }
}

void
Quarantine::Clear(const RequestFingerprint& aRequest,
                  Millis aAt,
                  const char* aWhy)
{
  mEvidence.Clear(aRequest, aAt);
  mSettling.erase(aRequest);
  mKeepaliveProbes.erase(aRequest);
  if (mHeld.erase(aRequest) > 0) {
    mCleared[aRequest] = aAt;
    mChanges.push_back({ .mRequest = aRequest, .mReason = aWhy });
  }
}

void
Quarantine::Put(const QuarantinedRequest& aHeld, const char* aWhy)
{
  mSettling.erase(aHeld.mRequest);
  const auto [held, fresh] = mHeld.try_emplace(aHeld.mRequest, aHeld);
  if (!fresh) {
    return;
  }
  held->second.mCrashes = mEvidence.IncarnationsOf(aHeld.mRequest);
  mChanges.push_back({ .mRequest = aHeld.mRequest,
                       .mHeld = true,
                       .mReason = aWhy,
                       .mCrashes = held->second.mCrashes });
  if (mHeld.size() > mOptions.mMaxHeld) {
    const auto oldest = std::min_element(
      mHeld.begin(), mHeld.end(), [](const auto& aOne, const auto& aTwo) {
        return aOne.second.mLastSent < aTwo.second.mLastSent;
      });
    const RequestFingerprint request = oldest->first;
    Clear(request, aHeld.mLastSent, "too many are held back");
  }
}

void
Quarantine::Tick(Millis aNow)
{
  for (const RequestFingerprint& each : TakeSettled(aNow)) {
    if (!IsCulprit(each)) {
      continue;
    }
    const QuarantinedRequest held{ .mRequest = each,
                                   .mSuspectSince =
                                     mEvidence.FirstCrashAt(each),
                                   .mLastSent = aNow,
                                   .mProbeAt =
                                     aNow + mOptions.mUncertainProbeDelay };
    Put(held, "crashes");
    mNews.mQuarantined.push_back(ReportOf(held, aNow));
  }
  std::erase_if(mKeepaliveProbes, [&](const auto& aEntry) {
    return aNow - aEntry.second > mOptions.mProbeTimeout;
  });
  std::erase_if(mClearedToldAt, [&](const auto& aEntry) {
    return aNow - aEntry.second > mOptions.mSettleDelay;
  });
  DropIdle(aNow);
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
    const bool due = aNow - aEntry.second >= mOptions.mSettleDelay;
    if (due) {
      settled.emplace_back(CrashesAlone(aEntry.first), aEntry.first);
    }
    return due;
  });
  std::sort(settled.rbegin(), settled.rend());
  std::vector<RequestFingerprint> requests;
  requests.reserve(settled.size());
  for (const auto& [alone, request] : settled) {
    requests.push_back(request);
  }
  return requests;
}

void
Quarantine::DropIdle(Millis aNow)
{
  std::vector<RequestFingerprint> idle;
  for (const auto& [request, held] : mHeld) {
    if (aNow - held.mLastSent > mOptions.mIdleTimeout) {
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
  for (const auto& [request, held] : mHeld) {
    all.push_back(held);
  }
  return all;
}

std::vector<QuarantineChange>
Quarantine::TakeChanges()
{
  return std::exchange(mChanges, {});
}

bool
Quarantine::IsWorthTelling(const RequestFingerprint& aRequest) const
{
  const size_t least = mRelays ? kRepeatedly : 1;
  return CrashesOf(aRequest) >= least;
}

bool
Quarantine::IsSuspect(const RequestFingerprint& aRequest) const
{
  return CrashesOf(aRequest) > 0;
}

size_t
Quarantine::CrashesOf(const RequestFingerprint& aRequest) const
{
  const size_t total = mEvidence.TotalCrashes(aRequest);
  return mEvidence.UnexplainedCrashes(
    aRequest, [&](const RequestFingerprint& aOther) {
      return mHeld.contains(aOther) || mEvidence.TotalCrashes(aOther) > total;
    });
}

size_t
Quarantine::CrashesAlone(const RequestFingerprint& aRequest) const
{
  const size_t total = mEvidence.TotalCrashes(aRequest);
  return mEvidence.UnexplainedCrashes(
    aRequest, [&](const RequestFingerprint& aOther) {
      return mHeld.contains(aOther) || mEvidence.TotalCrashes(aOther) >= total;
    });
}

bool
Quarantine::IsCulprit(const RequestFingerprint& aRequest) const
{
  const size_t crashes = CrashesOf(aRequest);
  const size_t most = mAnswers.At(aRequest) > Millis(0)
                        ? mOptions.mAnsweredCrashThreshold
                        : mOptions.mCrashThreshold;
  return crashes > most || (crashes == most && CrashesAlone(aRequest) > 0);
}

} // namespace trefoilarch
