#pragma once

#include "requestfingerprint.h"
#include "upstreamincarnation.h"

#include <vector>

namespace trefoilarch {

/** An upstream process that ended with requests in progress. */
struct UpstreamCrash
{
  UpstreamIncarnation mIncarnation;
  /** The event that revealed the crash. */
  const char* mReason = "";
  /** The requests of this entry that were in progress. */
  std::vector<RequestFingerprint> mSuspects;
};

} // namespace trefoilarch
