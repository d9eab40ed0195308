#pragma once

#include "millis.h"

#include <cstdint>
#include <string>

namespace trefoilarch {

/** What came of one route lately: sums that fade by
 * DedicatedPoolsOptions::mDemandDecayTime. */
struct RouteDemand
{
  std::string mService;
  std::string mRoute;
  double mCount = 0;
  double mPromptTokens = 0;
  double mOutputTokens = 0;
  /** Requests that are at upstreams, running or waiting; no sum, but as many
   * as there were at the last request. */
  double mOpen = 0;
  /** The longest pause that the route's streams allow. */
  Millis mMaxPause;
  /** 0 is the most urgent. */
  uint8_t mUrgency = 0;

  bool operator==(const RouteDemand&) const = default;
};

} // namespace trefoilarch
