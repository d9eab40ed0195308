#pragma once

#include "enginememory/memorytypes.h"
#include "ids.h"
#include "millis.h"

#include <cstdint>
#include <optional>

namespace trefoilarch {

/** What a request that is being placed may wait for. */
struct PlacementWait
{
  /** The attempt's number, kept while the request waits; 0 before. */
  uint64_t mAttempt = 0;
  /** Set if all suitable engines lack memory, and why the request isn't
   * placed. */
  std::optional<MemoryVerdict> mMemory;
  /** Whether a permit may be requested. */
  bool mMayRequest = true;
  /** The upstream whose permit this request has requested, or empty. */
  UpstreamId mUpstream;
  /** Set if all suitable upstreams have reached their rate limits: the time
   * until there may be capacity. */
  std::optional<Millis> mCapacityIn;
};

} // namespace trefoilarch
