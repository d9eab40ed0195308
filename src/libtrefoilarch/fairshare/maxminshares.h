#pragma once

#include <vector>

namespace trefoilarch {

/** What one workspace requests of a common capacity. */
struct ShareClaim
{
  /** In the unit of the capacity; negative and infinite demands count as 0. */
  double mDemand = 0;
  /** Positive. */
  double mWeight = 1;

  bool operator==(const ShareClaim&) const = default;
};

/**
 * The level of weighted max-min shares: a claim's share is the lesser of its
 * demand and its weight times the level. Infinite if the capacity satisfies all
 * demands. The shares then add up to the capacity, and a claim's share is at
 * least the lesser of its demand and its weight's part of the capacity. Costs
 * O(n log n).
 */
double
MaxMinLevel(std::vector<ShareClaim> aClaims, double aCapacity);

} // namespace trefoilarch
