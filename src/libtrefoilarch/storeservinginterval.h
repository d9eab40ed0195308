#pragma once

#include "millis.h"

#include <compare>

namespace trefoilarch {

/**
 * A span, on the store's own clock, in which the store answered some entry
 * again and again without a gap that matters.
 */
struct StoreServingInterval
{
  Millis mSince;
  /** The newest answer that is known. */
  Millis mUntil;

  auto operator<=>(const StoreServingInterval&) const = default;
};

} // namespace trefoilarch
