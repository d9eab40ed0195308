#pragma once

#include "millis.h"

#include <cstdint>
#include <string>

namespace trefoilarch {

/** Tier 0 is the highest; the lowest tier has the highest number. */
using Tier = uint8_t;

/** The number of tiers a policy may use. */
constexpr Tier kTierCount = 4;

/**
 * The service that a request is entitled to, as its class defined it at
 * classification. It is sent with the request, so a sidecar schedules by the
 * caller's policy version even while a change is spreading.
 */
struct ServiceLevel
{
  std::string mClass;
  std::string mWorkspace;
  Tier mTier = kTierCount - 1;
  /** Guaranteed fraction of starts while the class waits, 0 to 1. */
  double mFloor = 0;
  /** Weight of the workspace among those of its class. */
  double mWeight = 1;
  Millis mFirstTokenTarget{ 1000 };
  Millis mBetweenTokenTarget{ 100 };

  bool operator==(const ServiceLevel&) const = default;
};

} // namespace trefoilarch
