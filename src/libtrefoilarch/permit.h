#pragma once

#include "millis.h"
#include "upstreamlimits.h"

#include <cstdint>

namespace trefoilarch {

/** A request of an entry to the issuer of an upstream's permits. */
struct PermitRequest
{
  /** Identifies the request among those of the entry. */
  uint64_t mNumber = 0;
  /** The limit as known to the entry. */
  LimitReport mLimit;
  /** Number of requests waiting to be sent to the upstream. */
  uint32_t mCount = 1;
  /** Urgency of the waiting request; 0 is the most urgent. */
  uint8_t mUrgency = 0;
  /** Number of preferred issuers that did not reply. */
  uint32_t mRank = 0;

  bool operator==(const PermitRequest&) const = default;
};

/** The issuer's reply. */
struct PermitReply
{
  uint64_t mNumber = 0;
  /** Number of permits; 0 if denied. */
  uint32_t mGranted = 0;
  /** If denied: delay before the next request. */
  Millis mWait;
  /** If denied: the delay applies to requests of this urgency and to less
   * urgent ones. */
  uint8_t mFromUrgency = 0;

  bool operator==(const PermitReply&) const = default;
};

} // namespace trefoilarch
