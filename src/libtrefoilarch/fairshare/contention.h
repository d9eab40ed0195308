#pragma once

#include "../servicelevel.h"

#include <array>

namespace trefoilarch {

/** How much the requests of a service compete for its engines, as one entry
 * measures it now. */
struct Contention
{
  /**
   * By tier: 0 if nothing waits, 1 if requests of the tier just meet their
   * bounds, above 1 if they don't. Measured in what binds, engine time or
   * memory. May be noisy and differ between entries.
   */
  std::array<double, kTierCount> mPressure{};

  bool operator==(const Contention&) const = default;
};

} // namespace trefoilarch
