#include "crashevidence.h"

#include <algorithm>

namespace trefoilarch {

CrashEvidence::CrashEvidence(CrashEvidenceOptions aOptions)
  : mOptions(aOptions)
{
}

bool
CrashEvidence::Add(const UpstreamIncarnation& aIncarnation,
                   const RequestFingerprint& aRequest,
                   Millis aAt)
{
  Suspect& suspect = mSuspects[aRequest];
  if (aAt <= suspect.mClearedAt || suspect.mCrashes.contains(aIncarnation)) {
    return false;
  }
  suspect.mCrashes[aIncarnation] = aAt;
  const auto [crash, inserted] = mCrashes.try_emplace(aIncarnation);
  crash->second.mSuspects.insert(aRequest);
  crash->second.mCrashedAt =
    inserted ? aAt : std::min(crash->second.mCrashedAt, aAt);
  mPairCount++;
  while (mPairCount > mOptions.mMaxPairs && mCrashes.size() > 1) {
    RemoveOldestCrash();
  }
  return true;
}

void
CrashEvidence::Clear(const RequestFingerprint& aRequest, Millis aAt)
{
  const auto it = mSuspects.find(aRequest);
  if (it == mSuspects.end()) {
    return;
  }
  Suspect& suspect = it->second;
  suspect.mClearedAt = std::max(suspect.mClearedAt, aAt);
  std::erase_if(suspect.mCrashes, [&](const auto& aEntry) {
    const auto& [incarnation, at] = aEntry;
    if (at > aAt) {
      return false;
    }
    const auto crash = mCrashes.find(incarnation);
    crash->second.mSuspects.erase(aRequest);
    if (crash->second.mSuspects.empty()) {
      mCrashes.erase(crash);
    }
    mPairCount--;
    return true;
  });
}

size_t
CrashEvidence::UnexplainedCrashes(const RequestFingerprint& aRequest,
                                  const IsExplanation& aIsExplanation) const
{
  const auto it = mSuspects.find(aRequest);
  if (it == mSuspects.end()) {
    return 0;
  }
  const auto isUnexplained = [&](const auto& aEntry) {
    const auto& suspects = mCrashes.at(aEntry.first).mSuspects;
    return std::none_of(
      suspects.begin(), suspects.end(), [&](const RequestFingerprint& aOther) {
        return aOther != aRequest && aIsExplanation(aOther);
      });
  };
  const auto& crashes = it->second.mCrashes;
  return static_cast<size_t>(
    std::count_if(crashes.begin(), crashes.end(), isUnexplained));
}

std::vector<UpstreamIncarnation>
CrashEvidence::IncarnationsOf(const RequestFingerprint& aRequest) const
{
  std::vector<UpstreamIncarnation> incarnations;
  const auto it = mSuspects.find(aRequest);
  if (it != mSuspects.end()) {
    for (const auto& [incarnation, at] : it->second.mCrashes) {
      incarnations.push_back(incarnation);
    }
  }
  return incarnations;
}

Millis
CrashEvidence::FirstCrashAt(const RequestFingerprint& aRequest) const
{
  const auto it = mSuspects.find(aRequest);
  if (it == mSuspects.end() || it->second.mCrashes.empty()) {
    return {};
  }
  const auto& crashes = it->second.mCrashes;
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
  std::vector<UpstreamIncarnation> expired;
  for (const auto& [incarnation, crash] : mCrashes) {
    if (aNow - crash.mCrashedAt > mOptions.mRetention) {
      expired.push_back(incarnation);
    }
  }
  for (const UpstreamIncarnation& each : expired) {
    RemoveCrash(each);
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
  const auto it = mSuspects.find(aRequest);
  return it == mSuspects.end() ? 0 : it->second.mCrashes.size();
}

void
CrashEvidence::RemoveCrash(const UpstreamIncarnation& aIncarnation)
{
  const auto crash = mCrashes.find(aIncarnation);
  for (const RequestFingerprint& each : crash->second.mSuspects) {
    const auto suspect = mSuspects.find(each);
    suspect->second.mCrashes.erase(aIncarnation);
    mPairCount--;
    if (suspect->second.mCrashes.empty() &&
        suspect->second.mClearedAt == Millis(0)) {
      mSuspects.erase(suspect);
    }
  }
  mCrashes.erase(crash);
}

void
CrashEvidence::RemoveOldestCrash()
{
  const auto oldest = std::min_element(
    mCrashes.begin(), mCrashes.end(), [](const auto& aOne, const auto& aTwo) {
      return aOne.second.mCrashedAt < aTwo.second.mCrashedAt;
    });
  RemoveCrash(UpstreamIncarnation(oldest->first));
}

} // namespace trefoilarch
