#pragma once

#include "classifier.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace trefoilarch {

/** Places of upstreams in the list that EligibleSets was given, rising. */
using EligibleSet = std::vector<uint32_t>;

/**
 * Finds all upstreams that a request may go to, as Classifier::IsEligible()
 * says, at a cost that hardly depends on their number: which upstreams a
 * selector names is worked out once for each policy, and the set is kept for
 * each combination of the labels that selectors ask of traffic.
 * Single-threaded.
 */
class EligibleSets
{
public:
  /** Sets kept at the most, by traffic; beyond it all are dropped. */
  explicit EligibleSets(size_t aMaxCached = 8192);

  void SetClassifier(std::shared_ptr<const Classifier> aClassifier);
  void SetUpstreams(std::vector<UpstreamView> aUpstreams);

  /** Valid until either of them is set again; empty without a classifier. */
  std::shared_ptr<const EligibleSet> For(const Labels& aTraffic);

  const std::vector<UpstreamView>& Upstreams() const { return mUpstreams; }

private:
  struct SelectorUpstreams
  {
    const Selector* mSelector = nullptr;
    EligibleSet mUpstreams;
  };

  void Prepare();
  void AddKeys(const std::vector<Requirement>& aAll);
  std::string TrafficKey(const Labels& aTraffic) const;
  std::string MatchKey(const Labels& aTraffic,
                       std::vector<const SelectorUpstreams*>& aMatching) const;
  EligibleSet Collect(const Labels& aTraffic,
                      const std::vector<const SelectorUpstreams*>& aFrom) const;

  using Sets =
    std::unordered_map<std::string, std::shared_ptr<const EligibleSet>>;

  size_t mMaxCached;
  std::shared_ptr<const Classifier> mClassifier;
  std::vector<UpstreamView> mUpstreams;
  bool mPrepared = false;
  std::vector<std::string> mKeys; /**< labels that decide, sorted */
  std::vector<SelectorUpstreams> mSelectors;
  Sets mByTraffic;
  /** The same sets by the selectors that match, so that traffic of many
   * workspaces shares one. */
  Sets mByMatch;
  std::shared_ptr<const EligibleSet> mEmptySet =
    std::make_shared<EligibleSet>();
};

} // namespace trefoilarch
