#pragma once

#include "ids.h"
#include "placementcandidate.h"
#include "prompt.h"

#include <cstdint>
#include <vector>

namespace trefoilarch {

/**
 * The engines that are likely to have a session's segments cached. Every
 * session has a first engine, by rendezvous hash among those of its route's
 * pool, and a second one for when that is busy. Entries don't need to report
 * what they sent where.
 *
 * Entries compute the pools from the demand that each of them knows, so their
 * boundaries differ by a few engines, and a session's first engine with them.
 * If so, the engine that is first at other entries is returned as the holder:
 * fetching a prefix costs a ninth of another prefill.
 */
class SessionEngines
{
public:
  SessionEngines(const std::vector<PlacementCandidate>& aCandidates,
                 const PromptShape& aPrompt);

  /** Null if the prompt has no session. */
  const ListedUpstream* First() const { return mFirst; }
  /** Null if there is no other. */
  const ListedUpstream* Second() const { return mSecond; }
  /** An engine that may have cached what the chosen one lacks, or null. */
  const ListedUpstream* HolderFor(const UpstreamId& aChosen) const;

private:
  void Rank(const PlacementCandidate& aCandidate, uint64_t aRank);
  void RankOutside(const PlacementCandidate& aCandidate, uint64_t aRank);

  const ListedUpstream* mFirst = nullptr;
  const ListedUpstream* mSecond = nullptr;
  /** Just outside the pool, or null. */
  const ListedUpstream* mOutside = nullptr;
  uint64_t mFirstRank = 0;
  uint64_t mSecondRank = 0;
  uint64_t mOutsideRank = 0;
  /** The first engine is just inside the pool. */
  bool mFirstNearBoundary = false;
  /** Engines near a boundary, on either side. */
  uint32_t mBoundaryMargin = 0;
};

} // namespace trefoilarch
