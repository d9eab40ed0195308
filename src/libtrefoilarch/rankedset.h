#pragma once

#include "upstreamlink.h"

#include <array>
#include <cstdint>
#include <vector>

namespace trefoilarch {

/**
 * Upstreams that one kind of traffic may go to, with the order in which each
 * prefix prefers them: by rendezvous hash, so that when one goes only its own
 * prefixes move.
 */
class RankedSet
{
public:
  /** Preferred members that are remembered for a prefix. */
  static constexpr size_t kPreferred = 4;

  explicit RankedSet(std::vector<UpstreamLink*> aMembers);

  const std::vector<UpstreamLink*>& Members() const { return mMembers; }
  /** The prefix's first members, best first, then null where there are few. */
  std::array<UpstreamLink*, kPreferred> PreferredFor(uint64_t aPrefixHash);

  /** The members' mean busyness, as last worked out. */
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
