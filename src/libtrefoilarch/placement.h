#pragma once

#include "millis.h"
#include "rankedset.h"
#include "upstreamlink.h"

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace trefoilarch {

/** How upstreams are compared. */
struct PlacementOptions
{
  std::string mDataCentre;
  /** The preferred upstream may be this many times as busy as the mean... */
  double mLoadBound = 1.25;
  /** ...and by this much more, in shares of its room. */
  double mLoadSlack = 0.1;
  /** Upstreams that are looked at to find one that is not busy. */
  size_t mSamples = 5;
  uint64_t mSeed = 1;
};

/** Whether an upstream may be chosen just now. */
using LinkFilter = std::function<bool(const UpstreamLink&)>;

/**
 * Chooses upstreams: one for the request's prefix, by rendezvous hash with a
 * bound on load, so that upstreams keep seeing the prefixes that they have
 * cached without any word from them; the others by the last known load plus
 * what this entry has sent since, the least of a few drawn by chance.
 */
class Placement
{
public:
  explicit Placement(PlacementOptions aOptions);

  /** Up to aCount members that pass the filter, the preferred one first. */
  std::vector<UpstreamLink*> Choose(RankedSet& aSet,
                                    uint64_t aPrefixHash,
                                    size_t aCount,
                                    const LinkFilter& aUsable,
                                    Millis aNow);

  /** How busy an upstream seems, in shares of its room; distance counts. */
  double Score(const UpstreamLink& aLink) const;

private:
  UpstreamLink* ChoosePreferred(RankedSet& aSet,
                                uint64_t aPrefixHash,
                                const LinkFilter& aUsable,
                                Millis aNow);
  UpstreamLink* ChooseByLoad(const RankedSet& aSet, const LinkFilter& aUsable);
  UpstreamLink* ChooseFromAll(const RankedSet& aSet, const LinkFilter& aUsable);
  size_t AnyIndex(const RankedSet& aSet);
  double MeanScore(RankedSet& aSet, Millis aNow) const;

  PlacementOptions mOptions;
  std::mt19937_64 mRandom;
};

} // namespace trefoilarch
