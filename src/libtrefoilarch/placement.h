#pragma once

#include "classifier.h"
#include "millis.h"
#include "upstreamlink.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
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

/**
 * The upstreams that one kind of traffic may go to, with the order in which
 * each prefix prefers them.
 */
class EligibleSet
{
public:
  /** Preferred members that are remembered for a prefix. */
  static constexpr size_t kPreferred = 4;
  using Preferred = std::array<uint16_t, kPreferred>;

  explicit EligibleSet(std::vector<UpstreamLink*> aMembers);

  const std::vector<UpstreamLink*>& Members() const { return mMembers; }
  /** The first members by rendezvous hash, as indexes, best first. */
  const Preferred& PreferredFor(uint64_t aPrefixHash);

private:
  friend class Placement;

  /** Prefixes are ranked in this many slots, each when it is first asked. */
  static constexpr size_t kSlots = 1024;

  Preferred Rank(uint64_t aSlot) const;

  std::vector<UpstreamLink*> mMembers;
  std::vector<uint64_t> mNameHashes;
  std::vector<Preferred> mSlots;
  std::vector<bool> mRanked;
  double mMeanScore = 0;
  Millis mNextLook;
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

  /** Upstreams, their labels or the policy have changed. */
  void Forget();
  /**
   * The upstreams for this traffic; aMayGo is asked of each of aLinks where
   * the answer is not known from before. Valid until Forget().
   */
  EligibleSet& Eligible(const Labels& aTraffic,
                        std::map<UpstreamId, UpstreamLink>& aLinks,
                        const LinkFilter& aMayGo);

  /** Up to aCount members that pass the filter, the preferred one first. */
  std::vector<UpstreamLink*> Choose(EligibleSet& aSet,
                                    uint64_t aPrefixHash,
                                    size_t aCount,
                                    const LinkFilter& aUsable,
                                    Millis aNow);

  /** How busy an upstream seems, in shares of its room; distance counts. */
  double Score(const UpstreamLink& aLink) const;

private:
  UpstreamLink* ChoosePreferred(EligibleSet& aSet,
                                uint64_t aPrefixHash,
                                const LinkFilter& aUsable,
                                Millis aNow);
  UpstreamLink* ChooseByLoad(const EligibleSet& aSet,
                             const LinkFilter& aUsable);
  UpstreamLink* ChooseFromAll(const EligibleSet& aSet,
                              const LinkFilter& aUsable);
  size_t AnyIndex(const EligibleSet& aSet);
  double MeanScore(EligibleSet& aSet, Millis aNow) const;

  struct LabelsHash
  {
    size_t operator()(const Labels& aLabels) const;
  };

  PlacementOptions mOptions;
  std::mt19937_64 mRandom;
  std::unordered_map<Labels, std::shared_ptr<EligibleSet>, LabelsHash> mSets;
  /** Sets of the same members are one. */
  std::map<std::vector<UpstreamLink*>, std::shared_ptr<EligibleSet>> mShared;
};

} // namespace trefoilarch
