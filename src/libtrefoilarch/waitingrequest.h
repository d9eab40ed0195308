#pragma once

#include "ids.h"
#include "millis.h"
#include "servicelevel.h"

#include <cstdint>
#include <set>
#include <tuple>

namespace trefoilarch {

/** A request waiting to be dispatched. */
struct WaitingRequest
{
  AttemptKey mKey;
  ServiceLevel mLevel;
  /** Estimated tokens, prompt and output; 0 for calls to plain services. */
  uint64_t mTokens = 0;
  /** Latest start that meets the first-token target. */
  Millis mStartBy;
  /** Set by the Schedule: the order of arrival. */
  uint64_t mArrival = 0;
  /** Set by the Schedule: the first-token target can't be met any more. */
  bool mLate = false;
};

/** Orders waiting requests by mStartBy, then by arrival. */
struct ByUrgency
{
  bool operator()(const WaitingRequest* aLhs, const WaitingRequest* aRhs) const
  {
    return std::tie(aLhs->mStartBy, aLhs->mArrival) <
           std::tie(aRhs->mStartBy, aRhs->mArrival);
  }
};

/** Waiting requests, the most urgent one first. */
using UrgencyQueue = std::set<const WaitingRequest*, ByUrgency>;

} // namespace trefoilarch
