#pragma once

#include "ids.h"
#include "placementcandidate.h"
#include "prompt.h"

#include <cstdint>
#include <vector>

namespace trefoilarch {

/**
 * The engines at which a session's parts are likely to be. Every session has
 * a first engine by rendezvous hash among those of its route's lane, and a
 * second one for when that is busy: entries need not tell each other what they
 * sent where.
 *
 * Entries work out the lanes by the demand that each of them sees, so that
 * their boundaries differ by a few engines, and with them a session's first
 * engine. Where that may be so, the engine that is first elsewhere is named as
 * the holder: to fetch what it holds costs a ninth of reading it again.
 */
class SessionEngines
{
public:
  SessionEngines(const std::vector<PlacementCandidate>& aCandidates,
                 const PromptShape& aPrompt);

  /** Null where the prompt is no session's. */
  const ListedUpstream* First() const { return mFirst; }
  /** Null where there is no other. */
  const ListedUpstream* Second() const { return mSecond; }
  /** An engine that may hold what the chosen one lacks, or null. */
  const ListedUpstream* HolderFor(const UpstreamId& aChosen) const;

private:
  void Rank(const PlacementCandidate& aCandidate, uint64_t aRank);
  void RankOutside(const PlacementCandidate& aCandidate, uint64_t aRank);

  const ListedUpstream* mFirst = nullptr;
  const ListedUpstream* mSecond = nullptr;
  /** Just outside the lane, or null. */
  const ListedUpstream* mOutside = nullptr;
  uint64_t mFirstRank = 0;
  uint64_t mSecondRank = 0;
  uint64_t mOutsideRank = 0;
  /** The first one is just inside the lane. */
  bool mFirstNearEdge = false;
  /** So many engines are near a boundary, on either side. */
  uint32_t mEdge = 0;
};

} // namespace trefoilarch
