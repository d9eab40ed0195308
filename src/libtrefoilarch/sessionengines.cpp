#include "sessionengines.h"

#include <algorithm>
#include <xxhash.h>

namespace trefoilarch {

namespace {

/** Boundaries of lanes differ by less than this many engines among entries;
 * seen on calm days of 22 entries before 42 engines. */
constexpr uint32_t kNearEdge = 4;

/** Less than this is not worth fetching from another engine. */
constexpr uint32_t kLeastFetch = 1000;

uint64_t
RankOf(uint64_t aSession, const UpstreamId& aUpstream)
{
  return XXH3_64bits_withSeed(aUpstream.data(), aUpstream.size(), aSession);
}

bool
IsInLane(const PlacementCandidate& aCandidate)
{
  return aCandidate.mLane.mDistance == 0;
}

} // namespace

SessionEngines::SessionEngines(
  const std::vector<PlacementCandidate>& aCandidates,
  const PromptShape& aPrompt)
{
  if (aPrompt.mShared == 0) {
    return;
  }
  mShared = aPrompt.SharedTokens();
  const uint64_t session = aPrompt.mParts[aPrompt.mShared - 1].mId;
  const bool lane =
    std::any_of(aCandidates.begin(), aCandidates.end(), IsInLane);
  for (const PlacementCandidate& each : aCandidates) {
    const uint64_t rank = RankOf(session, each.mListed->mId);
    if (lane && !IsInLane(each)) {
      RankOutside(each, rank);
    } else {
      Rank(each, rank);
    }
  }
}

void
SessionEngines::Rank(const PlacementCandidate& aCandidate, uint64_t aRank)
{
  if (mFirst == nullptr || aRank > mFirstRank) {
    mSecond = mFirst;
    mSecondRank = mFirstRank;
    mFirst = aCandidate.mListed;
    mFirstRank = aRank;
    mFirstNearEdge = aCandidate.mLane.mFromEdge < kNearEdge;
  } else if (mSecond == nullptr || aRank > mSecondRank) {
    mSecond = aCandidate.mListed;
    mSecondRank = aRank;
  }
}

void
SessionEngines::RankOutside(const PlacementCandidate& aCandidate,
                            uint64_t aRank)
{
  const bool near = aCandidate.mLane.mFromEdge < kNearEdge;
  if (near && (mOutside == nullptr || aRank > mOutsideRank)) {
    mOutside = aCandidate.mListed;
    mOutsideRank = aRank;
  }
}

const ListedUpstream*
SessionEngines::HolderFor(const UpstreamId& aChosen, uint32_t aMissing) const
{
  if (mFirst == nullptr || mFirst->mId != aChosen) {
    return aMissing >= kLeastFetch ? mFirst : nullptr;
  }
  if (mShared < kLeastFetch) {
    return nullptr;
  }
  if (mOutside != nullptr && mOutsideRank > mFirstRank) {
    return mOutside;
  }
  return mFirstNearEdge ? mSecond : nullptr;
}

} // namespace trefoilarch
