#pragma once

#include "ids.h"
#include "servicelevel.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>

namespace trefoilarch {

/**
 * The requests that may still be shed, in shedding order: the lowest tier
 * first, within a tier the latest arrival first.
 */
class ShedOrder
{
public:
  void Add(const RequestId& aId, Tier aTier);
  void Remove(const RequestId& aId);
  /** The first request to shed among those of tiers lower than aTier. */
  std::optional<RequestId> FirstBelow(Tier aTier) const;

private:
  struct Position
  {
    Tier mTier = 0;
    uint64_t mNumber = 0;
  };

  std::array<std::map<uint64_t, RequestId>, kTierCount> mTiers;
  std::unordered_map<RequestId, Position> mPositions;
  uint64_t mNextNumber = 0;
};

} // namespace trefoilarch
