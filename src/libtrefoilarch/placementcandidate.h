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
  /** Prompt tokens that wait there to be read for other entries. */
  PendingPrefill mPeerPending{};
  /** How long it has been silent to other entries, by their word. */
  Millis mPeerSilence{};
  /** How many times as long as its peers it takes to begin an answer. */
  double mSlowness = 1;
  /** Where it is as seen from the request's route. */
  PoolPosition mPoolPosition{};
};

} // namespace trefoilarch
