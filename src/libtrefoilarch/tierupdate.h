#pragma once

#include "tierreport.h"

#include <cstdint>
#include <string>
#include <vector>

namespace trefoilarch {

/** An entry's reports of its tiers. Each message replaces the last one of its
 * sender; messages may be lost, duplicated, delayed or reordered. */
struct TierUpdate
{
  std::string mFrom;
  /** Identifies the process among those of the same name. */
  uint64_t mProcess = 0;
  /** Increases with each message of a process. */
  uint64_t mSequence = 0;
  std::vector<TierReport> mReports;

  bool operator==(const TierUpdate&) const = default;
};

} // namespace trefoilarch
