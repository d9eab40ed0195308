#include "sessionengines.h"

#include <algorithm>
#include <xxhash.h>

namespace trefoilarch {

namespace {

/** Boundaries of lanes are taken to differ among entries by less than one
 * engine in so many. Of one to five engines, two left least to be read again
 * at 12 engines; at 42, four left a tenth more than five. */
constexpr uint32_t kEdgePart = 10;

/** ...and by one engine at the least, on either side. */
constexpr uint32_t kLeastEdge = 2;

uint64_t
RankOf(uint64_t aSession, const UpstreamId& aUpstream)
{
  return XXH3_64bits_withSeed(aUpstream.data(), aUpstream.size(), aSession);
}

bool
IsInLane(const PlacementCandidate& aCandidate)
{
  return aCandidate.mPoolPosition.mDistance == 0;
}

} // namespace

SessionEngines::SessionEngines(
  const std::vector<PlacementCandidate>& aCandidates,
  const PromptShape& aPrompt)
{
  if (aPrompt.mSharedSegments == 0) {
    return;
  }
  mEdge =
    std::max(kLeastEdge, static_cast<uint32_t>(aCandidates.size()) / kEdgePart);
  const uint64_t session = aPrompt.mSegments[aPrompt.mSharedSegments - 1].mId;
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
    mFirstNearEdge = aCandidate.mPoolPosition.mBoundaryDistance < mEdge;
  } else if (mSecond == nullptr || aRank > mSecondRank) {
    mSecond = aCandidate.mListed;
    mSecondRank = aRank;
  }
}

void
SessionEngines::RankOutside(const PlacementCandidate& aCandidate,
                            uint64_t aRank)
{
  const bool near = aCandidate.mPoolPosition.mBoundaryDistance < mEdge;
  if (near && (mOutside == nullptr || aRank > mOutsideRank)) {
    mOutside = aCandidate.mListed;
    mOutsideRank = aRank;
  }
}

const ListedUpstream*
SessionEngines::HolderFor(const UpstreamId& aChosen) const
{
  if (mFirst == nullptr || mFirst->mId != aChosen) {
    return mFirst;
  }
  if (mOutside != nullptr && mOutsideRank > mFirstRank) {
    return mOutside;
  }
  return mFirstNearEdge ? mSecond : nullptr;
}

} // namespace trefoilarch
