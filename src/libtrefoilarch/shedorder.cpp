#include "shedorder.h"

#include <algorithm>

namespace trefoilarch {

void
ShedOrder::Add(const RequestId& aId, Tier aTier)
{
  const Tier tier = std::min<Tier>(aTier, kTierCount - 1);
  const auto [place, added] =
    mPlaces.try_emplace(aId, Place{ tier, mNextNumber });
  if (added) {
    mTiers.at(tier).emplace(mNextNumber++, aId);
  }
}

void
ShedOrder::Remove(const RequestId& aId)
{
  const auto place = mPlaces.find(aId);
  if (place == mPlaces.end()) {
    return;
  }
  mTiers.at(place->second.mTier).erase(place->second.mNumber);
  mPlaces.erase(place);
}

std::optional<RequestId>
ShedOrder::FirstBelow(Tier aTier) const
{
  for (size_t tier = kTierCount; tier-- > size_t{ aTier } + 1;) {
    if (!mTiers.at(tier).empty()) {
      return mTiers.at(tier).rbegin()->second;
    }
  }
  return std::nullopt;
}

} // namespace trefoilarch
