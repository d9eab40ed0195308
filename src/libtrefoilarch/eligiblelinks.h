#pragma once

#include "eligiblesets.h"
#include "rankedset.h"
#include "upstreamlink.h"

#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace trefoilarch {

/**
 * Finds the links of the upstreams that a request may go to, by EligibleSets.
 * Upstreams that have not been welcomed are left out, as their labels are not
 * known.
 */
class EligibleLinks
{
public:
  void SetClassifier(std::shared_ptr<const Classifier> aClassifier);
  /** Links have come or gone, or an upstream's labels have changed. */
  void Invalidate() { mStale = true; }

  /** Valid until Forget(), SetClassifier() or the next call. */
  RankedSet& For(const Labels& aTraffic,
                 std::map<UpstreamId, UpstreamLink>& aLinks);

private:
  void Rebuild(std::map<UpstreamId, UpstreamLink>& aLinks);

  EligibleSets mSets;
  bool mStale = true;
  std::vector<UpstreamLink*> mLinks;
  std::unordered_map<std::shared_ptr<const EligibleSet>, RankedSet> mRankedSets;
};

} // namespace trefoilarch
