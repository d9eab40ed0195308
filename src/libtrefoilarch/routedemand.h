#pragma once

#include "millis.h"

#include <cstdint>
#include <string>

namespace trefoilarch {

/** Recent demand of one route: sums that decay with
 * DedicatedPoolsOptions::mDemandDecayTime. */
struct RouteDemand
{
  std::string mService;
  std::string mRoute;
  double mCount = 0;
  double mPromptTokens = 0;
  double mOutputTokens = 0;
  /** Requests that are running or waiting at upstreams. Not a sum, but their
   * number at the last request. */
  double mOpen = 0;
  /** The longest pause that the route's streams allow. */
  Millis mMaxPause;
  /** 0 is the most urgent. */
  uint8_t mUrgency = 0;

  bool operator==(const RouteDemand&) const = default;
};

} // namespace trefoilarch
