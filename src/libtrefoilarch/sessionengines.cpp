#include "sessionengines.h"

#include <algorithm>
#include <xxhash.h>

namespace trefoilarch {

namespace {

/** Boundaries of pools are assumed to differ among entries by less than one
 * engine in this many. Of one to five engines, two caused the least repeated
 * prefill at 12 engines; at 42, four caused a tenth more than five. */
constexpr uint32_t kBoundaryMarginDivisor = 10;

/** They are assumed to differ by at least one engine, on either side. */
constexpr uint32_t kMinBoundaryMargin = 2;

uint64_t
RankOf(uint64_t aSession, const UpstreamId& aUpstream)
{
  return XXH3_64bits_withSeed(aUpstream.data(), aUpstream.size(), aSession);
}

bool
IsInPool(const PlacementCandidate& aCandidate)
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
  mBoundaryMargin = std::max(kMinBoundaryMargin,
                             static_cast<uint32_t>(aCandidates.size()) /
                               kBoundaryMarginDivisor);
  const uint64_t session = aPrompt.mSegments[aPrompt.mSharedSegments - 1].mId;
  const bool anyInPool =
    std::any_of(aCandidates.begin(), aCandidates.end(), IsInPool);
  for (const PlacementCandidate& each : aCandidates) {
    const uint64_t rank = RankOf(session, each.mListed->mId);
    if (anyInPool && !IsInPool(each)) {
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
    mFirstNearBoundary =
      aCandidate.mPoolPosition.mBoundaryDistance < mBoundaryMargin;
  } else if (mSecond == nullptr || aRank > mSecondRank) {
    mSecond = aCandidate.mListed;
    mSecondRank = aRank;
  }
}

void
SessionEngines::RankOutside(const PlacementCandidate& aCandidate,
                            uint64_t aRank)
{
  const bool near =
    aCandidate.mPoolPosition.mBoundaryDistance < mBoundaryMargin;
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
  return mFirstNearBoundary ? mSecond : nullptr;
}

} // namespace trefoilarch
