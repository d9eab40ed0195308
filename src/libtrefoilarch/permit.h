#pragma once

#include "millis.h"
#include "upstreamlimits.h"

#include <cstdint>

namespace trefoilarch {

/** An entry asks the issuer of an upstream's permits for some. */
struct PermitRequest
{
  /** Tells the entry's asks apart. */
  uint64_t mNumber = 0;
  /** The limit as the entry knows it. */
  LimitReport mLimit;
  /** How many requests want to go there. */
  uint32_t mCount = 1;
  /** Of the request that wants to go there; 0 is the most urgent. */
  uint8_t mUrgency = 0;
  /** How many entries would rather be asked, and gave no answer. */
  uint32_t mRank = 0;

  bool operator==(const PermitRequest&) const = default;
};

/** What the issuer answers. */
struct PermitReply
{
  uint64_t mNumber = 0;
  /** Permits; 0: denied. */
  uint32_t mGranted = 0;
  /** Where it is denied: when to ask again. */
  Millis mWait;
  /** Where it is denied: requests of this urgency, and less urgent ones,
   * need not ask before. */
  uint8_t mFromUrgency = 0;

  bool operator==(const PermitReply&) const = default;
};

} // namespace trefoilarch
