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

struct PlacementOptions
{
  std::string mDataCentre;
  /** Maximum load of the preferred upstream, relative to the mean load. */
  double mLoadBound = 1.25;
  /** Added to that maximum, as a share of the capacity. */
  double mLoadSlack = 0.1;
  /** Number of random upstreams that are compared. */
  size_t mSamples = 5;
  uint64_t mSeed = 1;
};

/** Whether an upstream may currently be chosen. */
using LinkFilter = std::function<bool(const UpstreamLink&)>;

/**
 * Chooses upstreams: the preferred one by rendezvous hashing of the request's
 * prefix with bounded loads, so that upstreams keep getting the prefixes that
 * they have cached without reporting them; the others as the least loaded of a
 * few random ones, by the last reported load plus what this entry has sent
 * since.
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

  /** Load as a share of the capacity, with a surcharge for distance. */
  double Score(const UpstreamLink& aLink) const;

private:
  UpstreamLink* ChoosePreferred(RankedSet& aSet,
                                uint64_t aPrefixHash,
                                const LinkFilter& aUsable,
                                Millis aNow);
  UpstreamLink* ChooseByLoad(const RankedSet& aSet, const LinkFilter& aUsable);
  UpstreamLink* ChooseFromAll(const RankedSet& aSet, const LinkFilter& aUsable);
  size_t RandomIndex(const RankedSet& aSet);
  double MeanScore(RankedSet& aSet, Millis aNow) const;

  PlacementOptions mOptions;
  std::mt19937_64 mRandom;
};

} // namespace trefoilarch
