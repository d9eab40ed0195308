#pragma once

#include "millis.h"

#include <compare>
#include <cstdint>

namespace trefoilarch {

/**
 * What entries tell each other of a table of the store: every change of it
 * that was made before the store's clock read mStoreTime has a version of
 * mLastChange or less. An entry whose copy goes that far missed nothing.
 */
struct TableCheckpoint
{
  uint64_t mLastChange = 0;
  /** The store's own clock, not the teller's. */
  Millis mStoreTime;

  auto operator<=>(const TableCheckpoint&) const = default;
};

} // namespace trefoilarch
