#pragma once

#include "millis.h"

#include <cstdint>
#include <string>

namespace trefoilarch {

/** The sender's recent requests of one urgency to a service. Work is in prompt
 * tokens a second, or in requests a second if there are no prompts. */
struct TierReport
{
  std::string mService;
  /** 0 is the most urgent. */
  uint8_t mPriority = 0;
  /** Work that was requested, whether accepted or not. */
  double mDemand = 0;
  /** The part of it that was expected to start or end too late. */
  double mLate = 0;
  /** The part of it that was rejected. */
  double mRejected = 0;
  /** Time since a request was last accepted, at most kMaxAge. */
  Millis mAcceptedAge = kMaxAge;

  /** Acceptances of this age or more don't affect any decision. */
  static constexpr Millis kMaxAge{ 10000 };

  bool operator==(const TierReport&) const = default;
};

} // namespace trefoilarch
