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
 * Finds the links to the upstreams that are eligible for a request, using
 * EligibleSets. Upstreams that have not sent a Welcome are left out, because
 * their labels are not known yet.
 */
class EligibleLinks
{
public:
  void SetClassifier(std::shared_ptr<const Classifier> aClassifier);
  /** Must be called when links are added or removed or labels change. */
  void Invalidate() { mStale = true; }

  /** Valid until Invalidate(), SetClassifier() or the next call. */
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
