#include "crashevidence.h"

#include <algorithm>
#include <utility>

namespace trefoilarch {

namespace {

/** The part of the pairs that is removed when there are too many. */
constexpr size_t kTrimDivisor = 4;

} // namespace

CrashEvidence::CrashEvidence(CrashEvidenceOptions aOptions)
  : mOptions(aOptions)
{
}

bool
CrashEvidence::Add(const UpstreamIncarnation& aIncarnation,
                   const RequestFingerprint& aFeature,
                   Millis aAt)
{
  Suspect& suspect = mSuspects[aFeature];
  if (aAt <= suspect.mClearedAt || suspect.mCrashes.contains(aIncarnation)) {
    return false;
  }
  suspect.mCrashes[aIncarnation] = aAt;
  const auto [crash, inserted] = mCrashes.try_emplace(aIncarnation);
  crash->second.mSuspects.insert(aFeature);
  crash->second.mCrashedAt =
    inserted ? aAt : std::min(crash->second.mCrashedAt, aAt);
  mPairCount++;
  if (mPairCount > mOptions.mMaxPairs) {
    RemoveSingles();
  }
  while (mPairCount > mOptions.mMaxPairs && mCrashes.size() > 1) {
    RemoveOldestCrash();
  }
  return true;
}

void
CrashEvidence::Clear(const RequestFingerprint& aFeature, Millis aAt)
{
  const auto it = mSuspects.find(aFeature);
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
    crash->second.mSuspects.erase(aFeature);
    if (crash->second.mSuspects.empty()) {
      mCrashes.erase(crash);
    }
    mPairCount--;
    return true;
  });
}

size_t
CrashEvidence::UnexplainedCrashes(const RequestFingerprint& aFeature,
                                  const IsExplanation& aIsExplanation,
                                  Millis aSpacing) const
{
  const auto it = mSuspects.find(aFeature);
  if (it == mSuspects.end()) {
    return 0;
  }
  std::vector<Millis> unexplained;
  for (const auto& [incarnation, at] : it->second.mCrashes) {
    const auto& suspects = mCrashes.at(incarnation).mSuspects;
    const bool explained = std::any_of(
      suspects.begin(), suspects.end(), [&](const RequestFingerprint& aOther) {
        return aOther != aFeature && aIsExplanation(aOther);
      });
    if (!explained) {
      unexplained.push_back(at);
    }
  }
  std::sort(unexplained.begin(), unexplained.end());
  size_t count = 0;
  Millis last;
  for (const Millis at : unexplained) {
    if (count == 0 || at - last >= aSpacing) {
      count++;
      last = at;
    }
  }
  return count;
}

bool
CrashEvidence::HasCompanion(const RequestFingerprint& aFeature,
                            const IsCompanion& aIsCompanion) const
{
  const auto it = mSuspects.find(aFeature);
  return it != mSuspects.end() &&
         std::any_of(it->second.mCrashes.begin(),
                     it->second.mCrashes.end(),
                     [&](const auto& aEntry) {
                       const auto& all = mCrashes.at(aEntry.first).mSuspects;
                       return std::any_of(
                         all.begin(), all.end(), [&](const auto& aOther) {
                           return aOther != aFeature && aIsCompanion(aOther);
                         });
                     });
}

std::map<UpstreamIncarnation, Millis>
CrashEvidence::CrashesOf(const RequestFingerprint& aFeature) const
{
  const auto it = mSuspects.find(aFeature);
  return it == mSuspects.end() ? std::map<UpstreamIncarnation, Millis>()
                               : it->second.mCrashes;
}

std::vector<UpstreamIncarnation>
CrashEvidence::IncarnationsOf(const RequestFingerprint& aFeature) const
{
  std::vector<UpstreamIncarnation> incarnations;
  const auto it = mSuspects.find(aFeature);
  if (it != mSuspects.end()) {
    for (const auto& [incarnation, at] : it->second.mCrashes) {
      incarnations.push_back(incarnation);
    }
  }
  return incarnations;
}

Millis
CrashEvidence::FirstCrashAt(const RequestFingerprint& aFeature) const
{
  const auto it = mSuspects.find(aFeature);
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

Millis
CrashEvidence::SinceLast(const RequestFingerprint& aFeature,
                         size_t aCount,
                         Millis aSpacing) const
{
  std::vector<Millis> times;
  for (const auto& [incarnation, at] : CrashesOf(aFeature)) {
    times.push_back(at);
  }
  std::sort(times.rbegin(), times.rend());
  Millis since;
  size_t count = 0;
  for (const Millis at : times) {
    if (count < aCount && (count == 0 || since - at >= aSpacing)) {
      count++;
      since = at;
    }
  }
  return since;
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
CrashEvidence::TotalCrashes(const RequestFingerprint& aFeature) const
{
  const auto it = mSuspects.find(aFeature);
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
CrashEvidence::RemoveSingles()
{
  std::vector<std::pair<Millis, UpstreamIncarnation>> oldest;
  for (const auto& [incarnation, crash] : mCrashes) {
    oldest.emplace_back(crash.mCrashedAt, incarnation);
  }
  std::sort(oldest.begin(), oldest.end());
  // The latest crash is still being reported.
  oldest.pop_back();
  for (const auto& [at, incarnation] : oldest) {
    if (mPairCount <= mOptions.mMaxPairs - mOptions.mMaxPairs / kTrimDivisor) {
      return;
    }
    const auto crash = mCrashes.find(incarnation);
    std::erase_if(crash->second.mSuspects, [&](const auto& aFeature) {
      const auto suspect = mSuspects.find(aFeature);
      if (suspect->second.mCrashes.size() > 1) {
        return false;
      }
      suspect->second.mCrashes.clear();
      if (suspect->second.mClearedAt == Millis(0)) {
        mSuspects.erase(suspect);
      }
      mPairCount--;
      return true;
    });
    if (crash->second.mSuspects.empty()) {
      mCrashes.erase(crash);
    }
  }
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
