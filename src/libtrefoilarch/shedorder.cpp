#include "shedorder.h"

#include <algorithm>

namespace trefoilarch {

void
ShedOrder::Add(const RequestId& aId, Tier aTier)
{
  const Tier tier = std::min<Tier>(aTier, kTierCount - 1);
  const auto [position, added] =
    mPositions.try_emplace(aId, Position{ tier, mNextNumber });
  if (added) {
    mTiers.at(tier).emplace(mNextNumber++, aId);
  }
}

void
ShedOrder::Remove(const RequestId& aId)
{
  const auto position = mPositions.find(aId);
  if (position == mPositions.end()) {
    return;
  }
  mTiers.at(position->second.mTier).erase(position->second.mNumber);
  mPositions.erase(position);
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
