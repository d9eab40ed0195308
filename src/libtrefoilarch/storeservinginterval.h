#pragma once

#include "millis.h"

#include <compare>

namespace trefoilarch {

/**
 * An interval of the store's own clock during which it responded to entries
 * without a significant gap.
 */
struct StoreServingInterval
{
  Millis mSince;
  /** Time of the latest known response. */
  Millis mUntil;

  auto operator<=>(const StoreServingInterval&) const = default;
};

} // namespace trefoilarch
