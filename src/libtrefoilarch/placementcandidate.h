#pragma once

#include "dedicatedpools.h"
#include "upstreamdirectory.h"
#include "upstreamwork.h"

namespace trefoilarch {

/** An upstream that may be chosen. */
struct PlacementCandidate
{
  const ListedUpstream* mListed = nullptr;
  const UpstreamWork* mWork = nullptr;
  /** It has just started and is still slow. */
  bool mCold = false;
  /** Prompt tokens of other entries not yet prefilled there. */
  PendingPrefill mPeerPending{};
  /** How long it has sent nothing to peers, as they report. */
  Millis mPeerSilence{};
  /** How many times as long as its peers it takes to start a response. */
  double mSlowness = 1;
  /** How long its work takes now relative to the usual time; 1 if unknown. */
  double mWorkFactor = 1;
  /** Its position relative to the pool of the request's route. */
  PoolPosition mPoolPosition{};
};

} // namespace trefoilarch
