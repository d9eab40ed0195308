#pragma once

#include "ids.h"

#include <compare>
#include <cstdint>

namespace trefoilarch {

/** One start of an upstream's process, named alike at every entry. */
struct UpstreamIncarnation
{
  UpstreamId mUpstream;
  /** Unix milliseconds; 0 where the upstream does not tell it: then all starts
   * under its id are taken for one. */
  int64_t mStartTime = 0;

  auto operator<=>(const UpstreamIncarnation&) const = default;
};

} // namespace trefoilarch
