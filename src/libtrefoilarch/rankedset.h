#pragma once

#include "upstreamlink.h"

#include <array>
#include <cstdint>
#include <vector>

namespace trefoilarch {

/**
 * The upstreams eligible for one kind of traffic, ranked for each prefix by
 * rendezvous hashing, so that removing an upstream moves only the prefixes that
 * preferred it.
 */
class RankedSet
{
public:
  /** Number of preferred members kept per prefix. */
  static constexpr size_t kPreferred = 4;

  explicit RankedSet(std::vector<UpstreamLink*> aMembers);

  const std::vector<UpstreamLink*>& Members() const { return mMembers; }
  /** The prefix's preferred members, best first; null where there are fewer. */
  std::array<UpstreamLink*, kPreferred> PreferredFor(uint64_t aPrefixHash);

  /** The members' mean load score when it was last computed. */
  double mMeanLoadScore = 0;
  Millis mNextUpdateAt;

private:
  using Ranking = std::array<uint16_t, kPreferred>;

  Ranking Rank(uint64_t aSlot) const;

  std::vector<UpstreamLink*> mMembers;
  std::vector<uint64_t> mNameHashes;
  std::vector<Ranking> mSlots;
  std::vector<bool> mRanked;
};

} // namespace trefoilarch
