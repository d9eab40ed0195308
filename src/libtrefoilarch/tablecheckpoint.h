#pragma once

#include "millis.h"

#include <compare>
#include <cstdint>

namespace trefoilarch {

/**
 * A point up to which a table's changes are known. Every change made before the
 * store's clock showed mStoreTime has a version of at most mLastChange. An
 * entry whose copy includes that version has missed no change before that time.
 */
struct TableCheckpoint
{
  /** The number of a StoreVersion. */
  uint64_t mLastChange = 0;
  /** Time of the store's own clock, not the sender's. */
  Millis mStoreTime;

  auto operator<=>(const TableCheckpoint&) const = default;
};

} // namespace trefoilarch
