#include "crashevidence.h"

#include <algorithm>

namespace trefoilarch {

CrashEvidence::CrashEvidence(CrashEvidenceOptions aOptions)
  : mOptions(aOptions)
{
}

bool
CrashEvidence::Add(const UpstreamIncarnation& aStart,
                   const RequestFingerprint& aRequest,
                   Millis aAt)
{
  Suspect& suspect = mSuspects[aRequest];
  if (aAt <= suspect.mClearedAt || suspect.mCrashes.contains(aStart)) {
    return false;
  }
  suspect.mCrashes[aStart] = aAt;
  const auto [crash, fresh] = mCrashes.try_emplace(aStart);
  crash->second.mSuspects.insert(aRequest);
  crash->second.mAt = fresh ? aAt : std::min(crash->second.mAt, aAt);
  mPairs++;
  while (mPairs > mOptions.mMaxPairs && mCrashes.size() > 1) {
    DropOldest();
  }
  return true;
}

void
CrashEvidence::Clear(const RequestFingerprint& aRequest, Millis aAt)
{
  const auto place = mSuspects.find(aRequest);
  if (place == mSuspects.end()) {
    return;
  }
  Suspect& suspect = place->second;
  suspect.mClearedAt = std::max(suspect.mClearedAt, aAt);
  std::erase_if(suspect.mCrashes, [&](const auto& aEntry) {
    const auto& [start, at] = aEntry;
    if (at > aAt) {
      return false;
    }
    const auto crash = mCrashes.find(start);
    crash->second.mSuspects.erase(aRequest);
    if (crash->second.mSuspects.empty()) {
      mCrashes.erase(crash);
    }
    mPairs--;
    return true;
  });
}

size_t
CrashEvidence::UnexplainedCrashes(const RequestFingerprint& aRequest,
                                  const IsExplanation& aExplains) const
{
  const auto place = mSuspects.find(aRequest);
  if (place == mSuspects.end()) {
    return 0;
  }
  const auto counts = [&](const auto& aEntry) {
    const auto& suspects = mCrashes.at(aEntry.first).mSuspects;
    return std::none_of(
      suspects.begin(), suspects.end(), [&](const RequestFingerprint& aOther) {
        return aOther != aRequest && aExplains(aOther);
      });
  };
  const auto& crashes = place->second.mCrashes;
  return static_cast<size_t>(
    std::count_if(crashes.begin(), crashes.end(), counts));
}

std::vector<UpstreamIncarnation>
CrashEvidence::IncarnationsOf(const RequestFingerprint& aRequest) const
{
  std::vector<UpstreamIncarnation> starts;
  const auto place = mSuspects.find(aRequest);
  if (place != mSuspects.end()) {
    for (const auto& [start, at] : place->second.mCrashes) {
      starts.push_back(start);
    }
  }
  return starts;
}

Millis
CrashEvidence::FirstCrashAt(const RequestFingerprint& aRequest) const
{
  const auto place = mSuspects.find(aRequest);
  if (place == mSuspects.end() || place->second.mCrashes.empty()) {
    return {};
  }
  const auto& crashes = place->second.mCrashes;
  return std::min_element(crashes.begin(),
                          crashes.end(),
                          [](const auto& aOne, const auto& aTwo) {
                            return aOne.second < aTwo.second;
                          })
    ->second;
}

void
CrashEvidence::Expire(Millis aNow)
{
  std::vector<UpstreamIncarnation> old;
  for (const auto& [start, crash] : mCrashes) {
    if (aNow - crash.mAt > mOptions.mRetention) {
      old.push_back(start);
    }
  }
  for (const UpstreamIncarnation& each : old) {
    Drop(each);
  }
  std::erase_if(mSuspects, [&](const auto& aEntry) {
    const Suspect& suspect = aEntry.second;
    return suspect.mCrashes.empty() &&
           aNow - suspect.mClearedAt > mOptions.mRetention;
  });
}

size_t
CrashEvidence::TotalCrashes(const RequestFingerprint& aRequest) const
{
  const auto place = mSuspects.find(aRequest);
  return place == mSuspects.end() ? 0 : place->second.mCrashes.size();
}

void
CrashEvidence::Drop(const UpstreamIncarnation& aStart)
{
  const auto crash = mCrashes.find(aStart);
  for (const RequestFingerprint& each : crash->second.mSuspects) {
    const auto suspect = mSuspects.find(each);
    suspect->second.mCrashes.erase(aStart);
    mPairs--;
    if (suspect->second.mCrashes.empty() &&
        suspect->second.mClearedAt == Millis(0)) {
      mSuspects.erase(suspect);
    }
  }
  mCrashes.erase(crash);
}

void
CrashEvidence::DropOldest()
{
  const auto oldest = std::min_element(
    mCrashes.begin(), mCrashes.end(), [](const auto& aOne, const auto& aTwo) {
      return aOne.second.mAt < aTwo.second.mAt;
    });
  Drop(UpstreamIncarnation(oldest->first));
}

} // namespace trefoilarch
