#include "maxminshares.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace trefoilarch {

double
MaxMinLevel(std::vector<ShareClaim> aClaims, double aCapacity)
{
  std::erase_if(aClaims, [](const ShareClaim& aClaim) {
    return !std::isfinite(aClaim.mDemand) || aClaim.mDemand <= 0 ||
           !std::isfinite(aClaim.mWeight) || aClaim.mWeight <= 0;
  });
  // Those with the least demand for their weight are satisfied first.
  std::sort(aClaims.begin(),
            aClaims.end(),
            [](const ShareClaim& aLhs, const ShareClaim& aRhs) {
              return aLhs.mDemand / aLhs.mWeight < aRhs.mDemand / aRhs.mWeight;
            });
  double weights = 0;
  for (const ShareClaim& claim : aClaims) {
    weights += claim.mWeight;
  }
  double left = std::max(aCapacity, 0.0);
  for (const ShareClaim& claim : aClaims) {
    if (claim.mDemand * weights > left * claim.mWeight) {
      return left / weights;
    }
    left -= claim.mDemand;
    weights -= claim.mWeight;
  }
  return std::numeric_limits<double>::infinity();
}

} // namespace trefoilarch
