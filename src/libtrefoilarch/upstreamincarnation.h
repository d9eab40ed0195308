#pragma once

#include "ids.h"

#include <compare>
#include <cstdint>

namespace trefoilarch {

/** One run of an upstream's process, identified alike at every entry. */
struct UpstreamIncarnation
{
  UpstreamId mUpstream;
  /** Unix milliseconds; 0 if the upstream does not report it. All runs under
   * its id then count as one. */
  int64_t mStartTime = 0;

  auto operator<=>(const UpstreamIncarnation&) const = default;
};

} // namespace trefoilarch
