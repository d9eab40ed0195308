#pragma once

#include "ids.h"
#include "millis.h"
#include "servicelevel.h"

#include <cstdint>
#include <set>
#include <tuple>

namespace trefoilarch {

/** A request that waits for its turn. */
struct WaitingRequest
{
  AttemptKey mKey;
  ServiceLevel mLevel;
  /** Estimated tokens, prompt and output; calls to plain services have 0. */
  uint64_t mTokens = 0;
  /** Last moment of a start that meets the first-token target. */
  Millis mStartBy;
  /** Kept by the Schedule: the order of arrival. */
  uint64_t mArrival = 0;
  /** Kept by the Schedule: the first-token target can't be met any more. */
  bool mLate = false;
};

/** Orders waiting requests by their last moment, then by arrival. */
struct ByUrgency
{
  bool operator()(const WaitingRequest* aLeft,
                  const WaitingRequest* aRight) const
  {
    return std::tie(aLeft->mStartBy, aLeft->mArrival) <
           std::tie(aRight->mStartBy, aRight->mArrival);
  }
};

/** Waiting requests, the most urgent one first. */
using UrgencyQueue = std::set<const WaitingRequest*, ByUrgency>;

} // namespace trefoilarch
